#!/usr/bin/env bash
# Builds the system, starts it whole on this machine with stand-ins for the
# outside, brings out one version of a model, then a second one while requests
# flow, and prints what happened. Ctrl-C stops everything at any moment.
#   ENGINES=4  ENTRIES=2  MIB=32   sizes
#   CONTENT_RATE=0  bytes a second of the origin's link, 0: unlimited
#   KEEP=1     stay up at the end until Ctrl-C
set -euo pipefail
cd "$(dirname "$0")/.."
engines=${ENGINES:-4}
entries=${ENTRIES:-2}
bytes=$((${MIB:-32} * 1024 * 1024))
rate=${CONTENT_RATE:-0}
bin=build
pids=()
scratch=$(mktemp -d)

cleanup() {
  trap '' INT TERM
  # Those started last stop first: load, agents, entries, stand-ins.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || continue
    wait "${pids[i]}" 2>/dev/null || true
  done
  rm -rf "$scratch"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say() { printf '%s\n' "$*"; }
fail() {
  say "demo: $*" >&2
  tail -n 5 "$scratch"/*.err >&2 || true
  exit 1
}

start() { # name, program and arguments; output in $scratch/name.out
  local name=$1
  shift
  "$@" >"$scratch/$name.out" 2>"$scratch/$name.err" &
  pids+=($!)
}

await_lines() { # name, count
  for _ in $(seq 600); do
    [ "$(wc -l <"$scratch/$1.out")" -ge "$2" ] 2>/dev/null && return
    sleep 0.05
  done
  fail "$1 did not start"
}

field() { # name of a process, key: from what it announced
  sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$scratch/$1.out" | head -n 1
}

standin() { # kind, number from 1
  sed -n "s/.*\"kind\":\"$1\",\"address\":\"\([^\"]*\)\".*/\1/p" \
    "$scratch/standins.out" | sed -n "${2}p"
}

ctl() { "$bin/deckpitchctl" --entry="$operators" "$@"; }

ready() { # "ready of wanted" of the pool for those weights; else nothing
  ctl status --output=json 2>/dev/null |
    grep -o "\"name\":\"chat\"[^}]*" | grep -F "\"weights\":\"$1\"" |
    sed -n 's/.*"ready":\([0-9]*\),"wanted":\([0-9]*\).*/\1 of \2/p' || true
}

await_ready() { # weights
  local now="" last=""
  for _ in $(seq 1200); do
    now=$(ready "$1")
    [ -n "$now" ] && [ "$now" != "$last" ] && say "  $1: $now ready"
    [ "$now" = "$engines of $engines" ] && return
    last=$now
    sleep 0.05
  done
  ctl status >&2 || true
  fail "$1 did not reach $engines of $engines"
}

apply() { # version
  cat >"$scratch/pools.json" <<POOLS
[
  {"kind": "pools", "value": {
    "name": "chat", "kind": "engine", "model": "demo", "version": "$1",
    "readiness": [{"dataCentre": "lahore", "ready": $engines}]}},
  {"kind": "pools", "value": {
    "name": "orders", "kind": "service", "path": "/orders"}}
]
POOLS
  ctl apply --file="$scratch/pools.json" >"$scratch/apply.txt" ||
    fail "apply: $(cat "$scratch/apply.txt")"
}

settings() { # file, JSON
  printf '%s\n' "$2" >"$scratch/$1.json"
}

counter() { # of content at the origin: weights
  curl -sf "http://$origin/_standin/counters" |
    sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"
}

say "== build"
scripts/setup.sh
cmake -S . -B "$bin" -G Ninja >"$scratch/cmake.log" || fail "$(cat "$scratch/cmake.log")"
ninja -C "$bin" -j "${JOBS:-$(nproc)}" --quiet deckpitchd deckpitchctl deckpitch-standins deckpitch-load

say "== start stand-ins, $entries entries, $engines engines and one service with an agent each"
start standins "$bin/deckpitch-standins" --kind=all --engines="$engines" --services=1
await_lines standins $((engines + 4))
platform=$(standin platform 1)
origin=$(standin origin 1)
for version in 1 2; do
  curl -sf -X PUT "http://$origin/_standin/weights/demo@$version" \
    -d "{\"bytes\":$bytes,\"chunkBytes\":1048576,\"seed\":$version}" >/dev/null
done
curl -sf -X PUT "http://$origin/_standin/faults" -d "{\"bytesPerSecond\":$rate}" >/dev/null

controls="" requests="" operators=""
for i in $(seq "$entries"); do
  settings "entry-$i" "{\"role\": \"entry\", \"instance\": \"entry-$i\",
    \"dataCentre\": \"lahore\", \"platform\": \"$platform\",
    \"entries\": [$controls], \"drainLimitMs\": 10000}"
  start "entry-$i" "$bin/deckpitchd" --settings="$scratch/entry-$i.json"
  await_lines "entry-$i" 1
  controls+="${controls:+, }\"$(field "entry-$i" control)\""
  requests+="${requests:+,}$(field "entry-$i" requests)"
  operators+="${operators:+,}$(field "entry-$i" operator)"
done

for i in $(seq $((engines + 1))); do
  upstream="{\"name\": \"engine\", \"kind\": \"engine\", \"address\": \"$(standin engine "$i")\"}"
  [ "$i" -le "$engines" ] ||
    upstream="{\"name\": \"service\", \"kind\": \"service\", \"pool\": \"orders\",
      \"address\": \"$(standin service 1)\"}"
  settings "agent-$i" "{\"role\": \"agent\", \"instance\": \"agent-$i\",
    \"dataCentre\": \"lahore\", \"entries\": [$controls], \"drainLimitMs\": 10000,
    \"upstream\": $upstream, \"weights\": {\"origin\": \"$origin\"}}"
  start "agent-$i" "$bin/deckpitchd" --settings="$scratch/agent-$i.json"
done
for i in $(seq $((engines + 1))); do await_lines "agent-$i" 1; done

say "== apply demo@1"
begin=$(date +%s%N)
apply 1
await_ready demo@1
first_ms=$((($(date +%s%N) - begin) / 1000000))

say "== ask for addresses, then stream an answer"
address=$(curl -sf "http://${requests%%,*}/v1/addresses" |
  sed -n 's/.*"entries":\["\([^"]*\)".*/\1/p')
say "  entry $address"
curl -sfN "http://$address/v1/chat/completions" -d '{"model": "chat", "stream": true,
  "max_tokens": 4, "messages": [{"role": "user", "content": "hello"}]}' |
  sed -n 's/.*"token":"\([^"]*\)".*"weights":"\([^"]*\)".*/  \2: \1/p'
say "  service: $(curl -sf -X POST -H 'Idempotency-Key: demo-1' "http://$address/orders/1" -d basket)"

say "== apply demo@2 while requests flow"
start load "$bin/deckpitch-load" --entries="$requests" --model=chat --callers=8 \
  --requests=200000 --seconds=300 --pause_ms=5 --output=json
load=${pids[-1]}
begin=$(date +%s%N)
apply 2
await_ready demo@2
second_ms=$((($(date +%s%N) - begin) / 1000000))
sleep 1 # some requests wholly after the change
kill -TERM "$load"
wait "$load" || load_failed=1
report=$(cat "$scratch/load.out")
number() { printf '%s' "$report" | sed -n "s/.*\"$1\":\([0-9.E+-]*\).*/\1/p"; }

say "== result"
say "requests sent                       $(number sent)"
say "whole answers                       $(number whole)"
say "answers from mixed or partial weights $(number mixed)"
say "not run / unknown / broken          $(number notRun) / $(number unknown) / $(number broken)"
say "whole answers by weights            $(printf '%s' "$report" | sed -n 's/.*"wholeByWeights":\({[^}]*}\).*/\1/p')"
say "seconds to $engines of $engines, demo@1            $(printf '%d.%03d' $((first_ms / 1000)) $((first_ms % 1000)))"
say "seconds to $engines of $engines, demo@2            $(printf '%d.%03d' $((second_ms / 1000)) $((second_ms % 1000)))"
for version in 1 2; do
  read_bytes=$(counter "demo@$version")
  say "origin bytes in copies, demo@$version      $(printf '%d.%02d' $((read_bytes / bytes)) $((read_bytes % bytes * 100 / bytes)))"
done
[ "${load_failed:-0}" = 0 ] || fail "an answer was mixed"
if [ "${KEEP:-0}" = 1 ]; then
  say "== up: entries $requests, operators $operators; Ctrl-C stops"
  wait
fi
say "== stop"
