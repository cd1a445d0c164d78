#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Needs no network: the packages have no dependencies.
cd "$(dirname "$0")" || exit 2
for package in standin-2 standin-3; do
    (cd "$package" && exec cargo build --release --offline --locked) || exit 2
done
