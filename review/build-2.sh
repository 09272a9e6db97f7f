#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec go build -o target/review-2/harness ./review/_harness2
