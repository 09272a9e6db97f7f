#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/harness ./review/_harness3
