#!/usr/bin/env bash
# Runs the benchmarks of a build directory. Prints one JSON object per line.
#   scripts/bench.sh BUILD [-s SCENARIO] [-n SEEDS] [-w WINDOW_MS] [-o ORDERS]
# Without -s it runs all scenarios, then fleet_bench and bench/process_bench.py
# when fleet_bench was built.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: scripts/bench.sh BUILD [-s SCENARIO] [-n SEEDS] [-w MS] [-o ORDERS]}
shift
scenario='' seeds=5 window=3000 orders=1000000
while getopts 's:n:w:o:' option; do
  case $option in
    s) scenario=$OPTARG ;;
    n) seeds=$OPTARG ;;
    w) window=$OPTARG ;;
    o) orders=$OPTARG ;;
    *) exit 2 ;;
  esac
done
bench=$build/bin/decisions_bench
common=(-n "$seeds" -w "$window")
jobs=4
if [ -n "$scenario" ]; then
  exec "$bench" -s "$scenario" "${common[@]}" -o "$orders"
fi
# The orders are split over processes with disjoint seeds. The cost scenario
# runs after them and alone, because other processes would distort its times.
order_parts=8
{
  for ((part = 0; part < order_parts; ++part)); do
    echo "-s orders -o $((orders / order_parts)) --first-seed $((part * 100000 + 1))"
  done
  for name in $("$bench" --list); do
    case $name in orders|cost) continue ;; esac
    for deployment in peachline heizventil; do
      echo "-s $name -d $deployment ${common[*]}"
    done
  done
} | xargs -P "$jobs" -I{} sh -c "$bench {}"
"$bench" -s cost -n "$seeds"
if [ -x "$build/bin/fleet_bench" ]; then
  "$build/bin/fleet_bench"
  python3 bench/process_bench.py "$build"
fi
