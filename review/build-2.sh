#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Needs no network: the package has no dependencies.
cd "$(dirname "$0")/standin-2" || exit 2
exec cargo build --release --offline --locked
