#!/bin/bash
# The models: each property holds, and breaks with each of its guards taken out. Usage: models.sh FOLDER
folder=$(cd "$1" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work" || exit 1
fails=0
check() {  # what, errors wanted (0 or 1), model, defines
  local what=$1 wanted=$2 model=$3
  shift 3
  rm -f pan* ./*.trail
  spin "$@" -a "$folder/$model" >spin.log 2>&1 && cc -O2 -DSAFETY -DNOREDUCE -w -o pan pan.c 2>>spin.log ||
    { echo "FAILED: $what: does not build"; cat spin.log; fails=1; return; }
  ./pan -m1000000 >pan.log 2>&1
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
  if ! grep -q "errors: " pan.log || grep -q "max search depth too small" pan.log || [ "$((errors > 0))" -ne "$wanted" ]; then
    echo "FAILED: $what: $errors errors"; cat pan.log; fails=1
  else
    echo "$what: as it must ($(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log | head -1) states)"
  fi
}
check "loan: one unit, one user" 0 loan.pml
check "loan without its guards" 1 loan.pml -DNOGUARD
check "loan without the wait after a start" 1 loan.pml -DNOWAIT
check "loan counted from the grant's arrival" 1 loan.pml -DFROMGRANT
exit $fails
