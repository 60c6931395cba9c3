#!/bin/sh
# Checks the models with Spin, and their broken variants: those that have to hold, and those that have to fail.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
model=$here/leases.pml
ends=
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
run() { # what is wanted, definitions
    wanted=$1
    shift
    spin -a "$@" "$model" >spin.log
    ${CC:-cc} -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c
    ./pan $ends -m200000 >pan.log
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
    echo "$* $wanted: $errors errors, $(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log) states"
    if grep -q "search depth too small" pan.log; then echo "not searched whole"; exit 1; fi
    case $wanted in holds) [ "$errors" = 0 ] ;; fails) [ "$errors" != 0 ] ;; esac
}
run holds -DONE
run holds -DORDER
run holds -DSUM
run fails -DNO_SILENCE
run fails -DNO_MARGIN
run fails -DTRUST_CLOCK
run fails -DORDER -DNO_FENCE
# Processes of this one may wait for ever: only its claims count.
model=$here/registers.pml
ends=-E
run holds -DONE
run fails -DEMPTY_VOTES
run fails -DEARLY
run fails -DCHANGE -DNO_CARRY -DNO_OLD
