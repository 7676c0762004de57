#!/bin/sh
# A runner loses power and returns under its id; later it is lost for good.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/endivelock ] || exit 2
exec target/review-standin reborn review/4/record.txt
