#!/usr/bin/env bash
# Installs, builds, starts three halls on loopback with stand-ins for the
# outside systems, and sends a few requests. With --keep all goes on running.
set -euo pipefail
cd "$(dirname "$0")/.."
meta/install.sh
meta/build.sh daleshelfd daleshelf standin-platform standin-engine standin-service
bin="$(cd "${BUILD_DIR:-build}" && pwd)/bin"
work="$(mktemp -d)"
pids=()
keep=no
if [ "${1:-}" = "--keep" ]; then
    keep=yes
fi

stop_all() {
    if [ "${#pids[@]}" -gt 0 ]; then
        kill "${pids[@]}" 2>/dev/null || true
        wait "${pids[@]}" 2>/dev/null || true
    fi
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a program until it says that it is ready.
start() {
    local name="$1"
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    for _ in $(seq 1 200); do
        if grep -q '^ready' "$work/$name.out"; then
            return
        fi
        if ! kill -0 "${pids[-1]}" 2>/dev/null; then
            break
        fi
        sleep 0.05
    done
    echo "$name did not start:" >&2
    cat "$work/$name.log" >&2
    exit 1
}
address_of() { sed -n 's/^ready //p' "$work/$1.out"; }
field_of() { sed -n "s/^ready.*$2=\([^ ]*\).*/\1/p" "$work/$1.out"; }
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

echo "== stand-ins"
start platform "$bin/standin-platform"
for hall in a b c; do
    start "engine-$hall" "$bin/standin-engine" --model caption-7b
done
start index "$bin/standin-service" --name index
platform="http://$(address_of platform)"

echo "== entry hosts of three halls"
operator_token=operator-secret
seeds=""
for hall in a b c; do
    cat >"$work/entry-$hall.toml" <<SETTINGS
[host]
id = "entry-$hall"
hall = "$hall"
[callers]
port = 0
[operators]
port = 0
token_sha256 = "$(digest $operator_token)"
[peers]
port = 0
seeds = [$seeds]
[platform]
url = "$platform"
[traces]
endpoint = "$platform/v1/traces"
SETTINGS
    "$bin/daleshelfd" --settings "$work/entry-$hall.toml" --check-settings
    start "entry-$hall" "$bin/daleshelfd" --settings "$work/entry-$hall.toml"
    if [ -z "$seeds" ]; then
        seeds="\"$(field_of "entry-$hall" peers)\""
    fi
done

echo "== configuration"
sed -e "s|@STUDIO_KEY_SHA256@|$(digest studio-key)|" \
    -e "s|@REGISTRY_KEY_SHA256@|$(digest registry-key)|" \
    -e "s|@ENGINE_A@|http://$(address_of engine-a)|" \
    -e "s|@ENGINE_B@|http://$(address_of engine-b)|" \
    -e "s|@ENGINE_C@|http://$(address_of engine-c)|" \
    -e "s|@SERVICE@|http://$(address_of index)|" \
    examples/quickstart/configuration.json >"$work/configuration.json"
export DALESHELF_TOKEN="$operator_token"
DALESHELF_URL="http://$(field_of entry-a operators)"
export DALESHELF_URL
"$bin/daleshelf" apply -f "$work/configuration.json"
"$bin/daleshelf" get upstream

echo "== the other entry hosts, as entry-a sees them"
for _ in $(seq 1 200); do
    if [ "$("$bin/daleshelf" hosts | grep -c alive)" = 2 ]; then
        break
    fi
    sleep 0.05
done
"$bin/daleshelf" hosts

for hall in a b c; do
    entry="http://$(field_of "entry-$hall" callers)"
    for _ in $(seq 1 100); do
        if curl -sf -o /dev/null -H 'Authorization: Bearer studio-key' \
            "$entry/v1/models" && [ "$(curl -s \
            -H 'Authorization: Bearer studio-key' "$entry/v1/models" |
            grep -c captions)" = 1 ]; then
            break
        fi
        sleep 0.05
    done
done

echo "== a streamed completion through hall b"
curl -sfN "http://$(field_of entry-b callers)/v1/completions" \
    -H 'Authorization: Bearer studio-key' \
    -d '{"model":"captions","prompt":"a title for a mountain film","max_tokens":6,"stream":true}'

echo "== a whole chat answer through hall c"
answer="$(curl -sf "http://$(field_of entry-c callers)/v1/chat/completions" \
    -H 'Authorization: Bearer studio-key' \
    -d '{"model":"captions","messages":[{"role":"user","content":"rewrite the caption"}],"max_tokens":6}')"
echo "$answer"
id="$(echo "$answer" | sed 's/.*"id":"\([^"]*\)".*/\1/')"

echo "== the same answer again by its id, through hall a"
curl -sf "http://$(field_of entry-a callers)/v1/requests/$id" \
    -H 'Authorization: Bearer studio-key'
echo

echo "== a plain service through hall a"
curl -sf "http://$(field_of entry-a callers)/services/index/packages/brenta" \
    -H 'Authorization: Bearer registry-key'
echo

if [ "$keep" = yes ]; then
    echo "== running; callers: http://$(field_of entry-a callers)," \
        "operators: $DALESHELF_URL, token: $operator_token"
    echo "   press Enter to stop everything"
    read -r _ || true
fi

echo "== planned stop"
for pid in "${pids[@]: -3}"; do
    kill -TERM "$pid"
    wait "$pid"
done
echo "all entry hosts ended cleanly"
