#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
# After the deploy file's build and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/leverproxy ] && [ -x review/standin/target/release/review-standin ] || exit 2
exec review/standin/target/release/review-standin held-back review/3/record.txt
