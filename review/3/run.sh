#!/usr/bin/env bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it plays the same without the disruption, and has to exit with 0.
set -u
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review/harness" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec "$root/target/review/harness" moved-route "$here/record.txt" "$root"
