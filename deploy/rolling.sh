#!/usr/bin/env bash
# Stops every entry of deploy/local.sh in turn under load and starts it again.
# Usage: deploy/rolling.sh DIR SIGNAL, with SIGNAL one of TERM and KILL. Prints
# for each entry how long a resource of it had no living owner, then the load's
# summary.
set -eu
dir=${1:?usage: deploy/rolling.sh DIR SIGNAL}
signal=${2:?usage: deploy/rolling.sh DIR SIGNAL}
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$dir"
./endivelock-bench load "$top/deploy/load.yaml" --duration 66s > rolling.out 2> rolling.err &
load=$!
sleep 3
owned() { curl -s "http://127.0.0.1:$((7100 + $1))/servers" "http://127.0.0.1:$((7100 + $1))/workers" | grep -o "\"owner\":\"e$2#$3\"" | wc -l; }
for n in 0 1 2 3 4 5 6 7; do
  watch=$(((n + 3) % 8))
  [ $((watch % 3)) = $((n % 3)) ] || watch=$(((n + 6) % 8))
  [ $((watch % 3)) = $((n % 3)) ] || watch=$(((n + 5) % 8))
  life=$(curl -s "http://127.0.0.1:$((7100 + n))/status" | sed 's/.*#\([0-9]*\)".*/\1/')
  begin=$(date +%s%N)
  kill "-$signal" "$(cat "e$n.pid")"
  left=1
  while [ "$left" != 0 ] && [ $(($(date +%s%N) - begin)) -lt 10000000000 ]; do left=$(owned "$watch" "$n" "$life"); sleep 0.02; done
  echo "e$n: owned again after $((($(date +%s%N) - begin) / 1000000)) ms"
  while kill -0 "$(cat "e$n.pid")" 2>/dev/null; do sleep 0.1; done
  ./endivelock serve --config "e$n.yaml" >> "e$n.out" 2>> "e$n.log" & echo $! > "e$n.pid"
  until curl -sf -o /dev/null "http://127.0.0.1:$((7100 + n))/readyz"; do sleep 0.1; done
  sleep 2
done
wait "$load"
cat rolling.out
