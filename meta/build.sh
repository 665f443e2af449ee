#!/usr/bin/env bash
# build.sh [TARGET...]: configures and builds the targets, or everything, in the
# folder `build` (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
quiet=(--quiet)
if [ -t 1 ]; then
    quiet=()
fi
ninja -C "$build" "${quiet[@]}" "$@"
