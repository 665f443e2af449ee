#!/usr/bin/env bash
# One short seed, then every seed that has ever failed.
# usage: run_ci.sh PROGRAM
set -euo pipefail
here="$(dirname "$0")"
program="$1"
export PYTHONDONTWRITEBYTECODE=1
/usr/bin/python3 "$here/soak.py" --program "$program" --seed 1 --seconds 8 \
    --resting 0.03
/usr/bin/python3 "$here/soak.py" --program "$program" --seed 2 --seconds 24 \
    --rollouts
/usr/bin/python3 "$here/soak.py" --program "$program" --seed 3 --seconds 16 \
    --rebirths
while IFS= read -r line; do
    arguments="${line%%:*}"
    if [ -z "$arguments" ] || [ "${line:0:1}" = "#" ]; then
        continue
    fi
    # shellcheck disable=SC2086 # several arguments
    /usr/bin/python3 "$here/soak.py" --program "$program" $arguments
done <"$here/regressions.txt"
