#!/bin/sh
# Builds the stand-ins that the cases start. Needs no network: the package has no dependencies.
cd "$(dirname "$0")/standin" || exit 2
exec cargo build --release --offline --locked
