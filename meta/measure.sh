#!/usr/bin/env bash
# Runs all measurements of docs/MEASUREMENTS.md, one JSON line a figure.
# About fifteen minutes; nothing else should run on the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
meta/install.sh
meta/build.sh
bin="${BUILD_DIR:-build}/bin"
"$bin/routing_benchmark" --benchmark_format=json
"$bin/poison_benchmark" --benchmark_format=json
"$bin/measure_overhead"
"$bin/measure_control"
for move in cheapest finish_only cache_only recompute_only; do
    "$bin/measure_policy" --rate 90 --seconds 9 --repeats 3 \
        --routings affinity --policy "{\"move\":\"$move\"}"
done
for flood in count prompt output; do
    for basis in work requests; do
        "$bin/measure_policy" --rate 60 --seconds 9 --repeats 3 --calm \
            --routings affinity --flood "$flood" --flood-rate 60 \
            --policy "{\"fair_share\":\"$basis\"}"
    done
done
for mix in camav brenta; do
    "$bin/measure_policy" --mix "$mix" --rate 90 --seconds 9 --repeats 5
done
