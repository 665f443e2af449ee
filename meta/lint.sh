#!/usr/bin/env bash
# Checks the format of all sources and runs the linter over them.
# With --changed REV only over sources that differ from that revision.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
mapfile -t sources < <(git ls-files '*.cpp' '*.hpp' | grep -v '/generated/')
clang-format-14 --dry-run --Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"
units="$PWD/(libraries|services|utilities|standins|tests|benchmarks|examples)/(?!.*generated)"
if [ "${1:-}" = "--changed" ]; then
    changed="$(git diff --name-only "$2" -- '*.cpp' | grep -v generated |
        paste -sd'|')"
    if [ -z "$changed" ]; then
        echo "linter: nothing changed"
        exit 0
    fi
    units="$PWD/($changed)"
fi
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
if ! run-clang-tidy-14 -p "$build" -quiet -j "$(nproc)" "$units" \
    >"$log" 2>/dev/null; then
    sed 's/\x1b\[[0-9;]*m//g' "$log" | grep -E '(error|warning):' | sort -u
    echo "linter: faults found"
    exit 1
fi
echo "linter: clean"
