#!/usr/bin/env bash
# Plays this build of the proxy beside an earlier one: lab/versions.sh [COMMIT [TEST...]]; without one, the commit in
# lab/earlier.
# The earlier one is built in a folder of its own, from this repository's history, and kept for the next time.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:-$(grep -v '^#' lab/earlier)}
if ! hash=$(git rev-parse --quiet --verify "$commit^{commit}"); then
    echo "lab/versions.sh: commit $commit is not in this clone: fetch the whole history of main" \
        "(git fetch --unshallow), or name another in lab/earlier" >&2
    exit 1
fi
place=$PWD/target/versions
program=$place/$hash/leverproxy
if [ ! -x "$program" ]; then
    rm -rf "${place:?}/$hash"
    mkdir -p "$place/$hash/source"
    git archive "$hash" | tar -x -C "$place/$hash/source"
    # In a target folder that no other commit shares: cargo tells workspaces of the same layout apart by the times of files
    # alone, and would take another commit's crates for this one's.
    (cd "$place/$hash/source" && CARGO_TARGET_DIR=$place/$hash/target cargo build -p leverproxy --locked)
    cp "$place/$hash/target/debug/leverproxy" "$program.part"
    mv "$program.part" "$program"
    rm -rf "${place:?}/$hash/target"
fi
echo "lab/versions.sh: beside $(git log -1 --format='%h, %s' "$hash")"
cargo build -p leverproxy --locked
LEVERPROXY_EARLIER=$program cargo test -p testbed --test versions --locked --no-fail-fast -- --ignored "${@:2}"
