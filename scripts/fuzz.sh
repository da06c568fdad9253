#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each with its corpus.
#   scripts/fuzz.sh            20,000 inputs per target, fixed seed, as in CI
#   scripts/fuzz.sh 120        120 seconds per target, random seed
# Failing inputs are kept in build/fuzz/findings, and inputs that reach new code
# in build/fuzz/found.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/fuzz
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_CXX_COMPILER=clang++ -DCORIANDERRAIL_FUZZ=ON \
  -DCORIANDERRAIL_TESTS=OFF >/dev/null
cmake --build "$build" --target fuzz
mkdir -p "$build/findings"
if [ $# -gt 0 ]; then
  limits=("-max_total_time=$1")
else
  limits=(-seed=1 -runs=20000)
fi
failed=0
for target in "$build"/bin/*_fuzz; do
  name=$(basename "$target" _fuzz)
  found="$build/found/$name"
  mkdir -p "$found"
  echo "fuzz: $name"
  log="$build/$name.log"
  "$target" "${limits[@]}" -max_len=4096 -verbosity=0 -print_final_stats=1 \
    -artifact_prefix="$build/findings/$name-" "$found" \
    "tests/fuzz/corpus/$name" >"$log" 2>&1 || failed=1
  grep -E "number_of_executed_units|ERROR|runtime error|SUMMARY" "$log" || true
done
[ "$failed" -eq 0 ] || { echo "fuzz: failed, inputs in $build/findings"; exit 1; }
echo "fuzz: clean"
