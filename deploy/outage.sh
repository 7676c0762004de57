#!/usr/bin/env bash
# Takes the platform's emulator of deploy/local.sh away under load while entries
# are drained, killed, paused and started. Usage: deploy/outage.sh DIR
set -eu
dir=${1:?usage: deploy/outage.sh DIR}
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$dir"
say() { echo "$(date +%T) $1"; }
faults() { curl -s -X PUT -d "$1" http://127.0.0.1:9000/admin/faults; }
restart() { ./endivelock serve --config "e$1.yaml" >> "e$1.out" 2>> "e$1.log" & echo $! > "e$1.pid"; }
./endivelock-bench load "$top/deploy/load.yaml" --duration 45s > outage.out 2> outage.err &
load=$!
sleep 4
say 'platform down'; faults '{"outage":true}'
sleep 3
say 'drain e0'; kill -TERM "$(cat e0.pid)"
while kill -0 "$(cat e0.pid)" 2>/dev/null; do sleep 0.1; done
restart 0
sleep 3
say 'kill e1'; kill -KILL "$(cat e1.pid)"
sleep 2
restart 1
say 'pause e5'; kill -STOP "$(cat e5.pid)"
sleep 6
say 'resume e5'; kill -CONT "$(cat e5.pid)"
sleep 6
say 'platform up, answers of appends lost'; faults '{"lossy":0.5}'
sleep 6
say 'platform healthy'; faults '{}'
wait "$load"
cat outage.out
for n in 0 1 2 3 4 5 6 7; do curl -s "http://127.0.0.1:$((7100 + n))/status"; done
