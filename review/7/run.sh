#!/bin/sh
# Bad clients that send a hundred writes of 64 KiB values at once.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
player=review/standin-2/target/release/standin-2
[ -x target/release/leverproxy ] && [ -x "$player" ] || exit 2
exec "$player" commands-in-memory review/7
