#!/usr/bin/env bash
# Runs the small deployment on the loopback interface: the platform's emulator,
# 8 entries in 3 zones, 50 backend servers with 8 slots and 8 workers, as real
# processes. Usage: deploy/local.sh DIR; DIR gets settings, logs and process
# numbers. Ends everything that it started on SIGINT or SIGTERM.
set -eu
dir=${1:?usage: deploy/local.sh DIR}
mkdir -p "$dir"
dir=$(cd "$dir" && pwd)
top=$(cd "$(dirname "$0")/.." && pwd)
(cd "$top" && go build -o "$dir/" ./cmd/endivelock ./cmd/endivelock-bench)
cd "$dir"
pids=()
stop() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; }
trap stop EXIT
trap 'exit 0' INT TERM

zones=(a b c)
entries=()
for n in 0 1 2 3 4 5 6 7; do
  zone=${zones[$((n % 3))]}
  entries+=(--entry "e$n,$zone,127.0.0.1:$((7300 + n))")
  cat > "e$n.yaml" <<Y
name: e$n
zone: $zone
zones: [a, b, c]
listen:
  callers: 127.0.0.1:$((7000 + n))
  operators: 127.0.0.1:$((7100 + n))
  forward: 127.0.0.1:$((7200 + n))
  peers: 127.0.0.1:$((7300 + n))
platform: http://127.0.0.1:9000
servers:
  status: /slots
Y
done

start() { local name=$1; shift; "$@" > "$name.out" 2> "$name.log" & pids+=($!); echo $! > "$name.pid"; }
start platform ./endivelock-bench platform "${entries[@]}"
for n in 0 1 2 3 4 5 6 7; do start "e$n" ./endivelock serve --config "e$n.yaml"; done
start backends ./endivelock-bench backend --zone a --zone b --zone c
start workers ./endivelock-bench worker --zone a --zone b --zone c

curl -s --retry 40 --retry-delay 1 --retry-connrefused -o plans.out -X PUT -H 'If-Match: "0"' \
  -d '{"plans":[{"name":"quotes","customer":"nordkueste"},{"name":"beds","customer":"georgia"}]}' http://127.0.0.1:7100/plans
curl -s -o allowances.out -X PUT -H 'If-Match: "0"' \
  -d '{"allowances":[{"plan":"quotes","slots":300,"size":{"cpu":300000,"memory":1000000,"accelerators":0}},{"plan":"beds","slots":300,"size":{"cpu":300000,"memory":1000000,"accelerators":0}}]}' http://127.0.0.1:7100/allowances
for n in 0 1 2 3 4 5 6 7; do
  until curl -sf -o /dev/null "http://127.0.0.1:$((7100 + n))/readyz"; do sleep 0.2; done
done
echo "ready: callers at 127.0.0.1:7000 to 7007, operators at 7100 to 7107"
wait
