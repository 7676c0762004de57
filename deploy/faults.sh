#!/usr/bin/env bash
# Brings faults into deploy/local.sh under load. Usage: deploy/faults.sh DIR CASE
# with CASE one of servers (one backend server answers crossed, one is paused, one
# fails everything, for 5 s) and zone (the log is slow by 0.7 s, then zone a is cut
# from the platform, one of its entries is killed and a list is edited elsewhere).
set -eu
dir=${1:?usage: deploy/faults.sh DIR CASE}
case=${2:?usage: deploy/faults.sh DIR CASE}
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$dir"
faults() { curl -s -X PUT -d "$1" http://127.0.0.1:9000/admin/faults; }
conduct() { curl -s -X PUT -d "$2" "http://127.0.0.1:19999/conduct/$1"; }
edit() {
  local begin; begin=$(date +%s%N)
  ./endivelock allowances --entry "$1" --json > allowances.json
  ./endivelock allowances --entry "$1" --set allowances.json > edit.out
  echo "edit at $1: exit code $?, $((($(date +%s%N) - begin) / 1000000)) ms"
}
./endivelock-bench load "$top/deploy/load.yaml" --duration 22s > faults.out 2> faults.err &
load=$!
sleep 3
case $case in
  servers)
    conduct 3 '{"crossed":true}'; conduct 4 '{"paused":true}'; conduct 5 '{"fail":true}'
    sleep 5
    for n in 3 4 5; do conduct $n '{}'; done
    ;;
  zone)
    faults '{"slow":"700ms"}'
    edit http://127.0.0.1:7100
    sleep 3
    faults '{"cut":["a"]}'
    sleep 1
    kill -KILL "$(cat e0.pid)"
    sleep 2
    edit http://127.0.0.1:7101
    sleep 3
    for n in 1 2 3 6; do curl -s "http://127.0.0.1:$((7100 + n))/status"; done
    faults '{}'
    ./endivelock serve --config e0.yaml >> e0.out 2>> e0.log & echo $! > e0.pid
    ;;
  *) echo "case $case does not exist" >&2; exit 2 ;;
esac
wait "$load"
cat faults.out
