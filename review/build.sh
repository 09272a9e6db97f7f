#!/usr/bin/env bash
# Builds the stand-ins that the scripted cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/harness ./review/_harness
