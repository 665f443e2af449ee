#!/usr/bin/env bash
# Fuzzes all that comes from outside: meta/fuzz.sh SECONDS [TARGET...]
# Each target (store, peers, http) gets SECONDS, from a corpus that the
# project's own writers have written; SEED sets where it begins (1), RUNS the
# number of inputs in place of the time. A find ends the run with 1; the input
# is kept in the folder that is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="$1"
shift
targets=("${@:-store}")
if [ "$#" -eq 0 ]; then
    targets=(store peers http)
fi
build="${FUZZ_DIR:-build-fuzz}"
CXX=clang++-14 cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DDALESHELF_FUZZ=ON >/dev/null
ninja -C "$build" --quiet store_fuzz peers_fuzz http_fuzz make_corpus
corpus="$build/corpus"
"$build/tests/fuzz/make_corpus" "$corpus"
limit=(-max_total_time="$seconds")
if [ -n "${RUNS:-}" ]; then
    limit=(-runs="$RUNS")
fi
finds="$build/finds"
mkdir -p "$finds"
echo "fuzz: inputs that are found are kept in $finds"
children=()
for target in "${targets[@]}"; do
    "$build/tests/fuzz/${target}_fuzz" "${limit[@]}" -seed="${SEED:-1}" \
        -max_len=8192 -timeout=10 -print_final_stats=1 \
        -artifact_prefix="$finds/$target-" "$corpus/$target" \
        >"$build/$target.log" 2>&1 &
    children+=("$target:$!")
done
result=0
for child in "${children[@]}"; do
    target="${child%%:*}"
    if wait "${child##*:}"; then
        echo "fuzz: $target: $(grep number_of_executed "$build/$target.log")"
    else
        echo "fuzz: $target: FOUND"
        grep -E "does not hold|ERROR|runtime error|Test unit" \
            "$build/$target.log" || tail -n 20 "$build/$target.log"
        result=1
    fi
done
exit "$result"
