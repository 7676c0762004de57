#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Run deploy/system.toml's build and
# review/build-2.sh first. RECORD names another file than record.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/endivelock ] && [ -x target/review2-standin ] || exit 2
exec target/review2-standin feeds "${RECORD:-$here/record.txt}"
