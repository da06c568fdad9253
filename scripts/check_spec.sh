#!/usr/bin/env bash
# Model-checks docs/spec/*.pml with spin. Each model must hold in all reachable
# states. Each of its mutants, which a MUTATE_ macro enables, must violate an
# assertion.
set -euo pipefail
cd "$(dirname "$0")/.."
export spec_dir=$PWD/docs/spec
work=$(mktemp -d)
export work
trap 'rm -rf "$work"' EXIT

# Explores all states of a model. Prints the numbers of errors and of states; in
# place of the states, "unreadable" when spin rejects the model, or
# "incomplete" when the search reaches its maximum depth.
run_model() {
  local spec=$1 macro=$2 dir
  dir=$(mktemp -d -p "$work")
  cd "$dir"
  if ! spin ${macro:+-D"$macro"} -a "$spec_dir/$spec.pml" >spin.log 2>&1 ||
    grep -q '^error' spin.log; then
    cat spin.log >&2
    echo "1 unreadable"
    return
  fi
  cc -O1 -w -DSAFETY -DNOREDUCE -o pan pan.c
  ./pan -m1000000 >pan.log 2>&1 || true
  if grep -q 'max search depth too small' pan.log; then
    echo "0 incomplete"
    return
  fi
  echo "$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)" \
    "$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)"
}

# Fails when a model has an error, or a mutant of it has none.
check_model() {
  local spec=$1 macro=${2:-} errors states
  read -r errors states < <(run_model "$spec" "$macro")
  if [ -z "$macro" ]; then
    echo "$spec: $errors errors in $states states"
    [ "$errors" = 0 ] && [ "$states" != incomplete ]
  elif [ "$errors" -gt 0 ] && [ "$states" != unreadable ]; then
    echo "$spec: mutant $macro caught"
  else
    echo "$spec: mutant $macro NOT caught ($errors errors, $states states)"
    return 1
  fi
}
export -f run_model check_model

for spec in order contract; do
  echo "$spec"
  grep -o 'MUTATE_[A-Z][A-Z_]*' "$spec_dir/$spec.pml" | sort -u | sed "s/^/$spec /"
done | xargs -P "$(nproc)" -L 1 bash -c 'check_model "$@"' check_model
