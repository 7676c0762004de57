#!/bin/sh
# Runners lose power and return under their ids; short tasks run there at once.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/endivelock ] || exit 2
exec target/review-standin acks review/3/record.txt
