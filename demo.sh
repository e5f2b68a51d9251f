#!/usr/bin/env bash
# Builds the whole system, runs it on loopback with stand-ins, sends a recorded
# day through it, and exits 0 only if the outcomes are as stated beside the
# trace and the books balance.
set -euo pipefail
cd "$(dirname "$0")"

readonly PLATFORM=127.0.0.1:7100
readonly TRACE=traces/carnaval
readonly WORKSPACES="cusape-depots cusape-sales cusape-drivers cusape-bookings cusape-small"
readonly BIG_BUDGET=200000
readonly SMALL_BUDGET=987 # as the trace's stated outcomes need

cargo build --workspace --bins
bin=$PWD/${CARGO_TARGET_DIR:-target}/debug
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

start() { # NAME PROGRAM ARGUMENTS...
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

ctl() { "$bin/snipegate-ctl" --platform "$PLATFORM" "$@"; }

await() { # WHAT COMMAND...
  local what=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "$what did not come up" >&2
  tail -n 20 "$work"/*.log >&2
  exit 1
}

answers() { # ADDRESS PATH
  local status
  exec 3<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
  printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&3
  read -r _ status _ <&3
  exec 3>&-
  [ "$status" = 200 ]
}

echo "== starting the stand-ins and three VMs"
start platform snipegate-standin-platform --listen "$PLATFORM"
for number in 1 2 3; do
  start "runner-$number" snipegate-standin-engine --listen "127.0.0.1:711$number" \
    --name "runner-$number" --models planner,assistant --slots 16
done
for number in 1 2; do
  start "booking-$number" snipegate-standin-engine --listen "127.0.0.1:712$number" \
    --name "booking-$number"
done
data_centres=(mvd-centro mvd-este canelones)
seeds=127.0.0.1:7200,127.0.0.1:7300,127.0.0.1:7400
directories=()
vms=()
for index in 0 1 2; do
  base=$((7200 + 100 * index))
  place=(--vm "vm-$((index + 1))" --data-centre "${data_centres[index]}" --region uy-sur
    --platform "$PLATFORM" --seed "$seeds")
  start "keeper-$index" snipegate-keeper "${place[@]}" \
    --listen "127.0.0.1:$base" --guard "127.0.0.1:$((base + 1))"
  start "router-$index" snipegate-router "${place[@]}" --keeper "127.0.0.1:$base" \
    --listen "127.0.0.1:$((base + 10))" --peer-listen "127.0.0.1:$((base + 11))" \
    --guard "127.0.0.1:$((base + 12))"
  start "directory-$index" snipegate-directory "${place[@]}" --keeper "127.0.0.1:$base" \
    --listen "127.0.0.1:$((base + 20))" --guard "127.0.0.1:$((base + 21))"
  directories+=(--directory "127.0.0.1:$((base + 20))")
  vms+=("{\"vm\":\"vm-$((index + 1))\",\"data_centre\":\"${data_centres[index]}\",\"state\":\"live\"}")
done
await "the platform" ctl workspace list
curl_vms() {
  local body
  body="[$(IFS=,; echo "${vms[*]}")]"
  exec 3<>"/dev/tcp/${PLATFORM%:*}/${PLATFORM#*:}"
  printf 'PUT /v1/vms HTTP/1.0\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
    "${#body}" "$body" >&3
  cat <&3 >/dev/null
  exec 3>&-
}
curl_vms

echo "== configuration and budgets"
ctl load-config demo/config
for index in 0 1 2; do
  await "router $index" answers "127.0.0.1:$((7210 + 100 * index))" /ready
  await "directory $index" answers "127.0.0.1:$((7220 + 100 * index))" /ready
done
number=0
keys=()
for workspace in $WORKSPACES; do
  number=$((number + 1))
  amount=$BIG_BUDGET
  [ "$workspace" = cusape-small ] && amount=$SMALL_BUDGET
  ctl budget top-up "$workspace" "$amount" --workspace "$workspace" \
    --operation "$(printf '%032x' $number)"
  keys+=(--key "$workspace=demo-key-$workspace")
done

echo "== a recorded day, served at its own speed"
outcome=0
"$bin/snipegate-load" run "${directories[@]}" --trace "$TRACE.jsonl" "${keys[@]}" \
  --json "$work/result.json" --expected "$TRACE.expected.json" || outcome=$?

echo "== books"
ctl status
for workspace in $WORKSPACES; do
  ctl --json budget show "$workspace" --workspace "$workspace" >"$work/budget-$workspace.json"
done
python3 demo/check-books "$work/result.json" "$TRACE.expected.json" "$work"/budget-*.json || outcome=1
exit "$outcome"
