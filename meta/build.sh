#!/usr/bin/env bash
# Configures and builds into the folder `build` (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C "$build" --quiet
