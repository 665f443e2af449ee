#!/usr/bin/env bash
# Installs into a temporary folder and builds and runs the example there.
set -euo pipefail
source="$(cd "$(dirname "$0")/.." && pwd)"
build="$1"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/installed" >/dev/null
cp -r "$source/examples/embed" "$work/embed"
cmake -S "$work/embed" -B "$work/build" -G Ninja \
    -DCMAKE_PREFIX_PATH="$work/installed" >/dev/null
ninja -C "$work/build" --quiet
"$work/build/embed_coordination" >"$work/output"
cat "$work/output"
diff "$work/output" - <<'EXPECTED'
one holds the lease: 1, two holds it: 0
first: accepted
second: conflict
EXPECTED
