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
    # A broken variant fails after few states, so that compiling it fast counts for more.
    case $wanted in holds) level=-O2 ;; fails) level=-O0 ;; esac
    ${CC:-cc} $level -w -DSAFETY -o pan pan.c
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
# Processes of those below may wait for ever: only their claims count.
model=$here/registers.pml
ends=-E
run holds -DWIPE -DPOWER
run holds -DTRIES=2 -DOTHER=2 -DRESTART -DWIPE
run holds -DTRIES=2 -DRESTART -DDESCENDING -DWIPE
run holds -DTRIES=2 -DRESTART -DPOWER
run fails -DTRIES=2 -DRESTART -DNO_LIFE
run fails -DWIPE -DEMPTY_VOTES
run fails -DWIPE -DEARLY_DUMP
run fails -DPOWER -DEARLY
run fails -DTRIES=2 -DOTHER=2 -DWIPE -DLEARNED_COUNTS
model=$here/membership.pml
run holds -DWIPES=0 -DPROPOSERS=2
run holds -DBELOW
run holds -DAROUND
run holds -DABOVE
run holds -DCLASH -DWIPES=0
run holds -DJOINT -DWIPES=0
run fails -DWIPES=0 -DNO_CARRY
run fails -DWIPES=0 -DSWAP
run fails -DCLASH -DWIPES=0 -DNO_OLD
run fails -DEMPTY_VOTES
run fails -DFIRST_HELLO
run fails -DBELOW -DANY_DUMP
run fails -DFEW_DUMPS
run fails -DEARLY_DUMP
model=$here/promotion.pml
run holds -DREAD
run holds -DREAD -DROUNDS=1 -DASKS=2
run holds -DDUTY
run holds -DDUTY -DCHECKED
run holds -DLOG
run holds -DLOG -DTOLD_AT_ONCE
run holds -DLOG -DREPLICA_RESTARTS
run fails -DREAD -DROUNDS=1 -DFORGETFUL
run fails -DREAD -DROUNDS=1 -DLEASE_BEFORE_NEWS
run fails -DREAD -DROUNDS=1 -DNO_WAIT
run fails -DREAD -DROUNDS=1 -DFROM_ANSWER
run fails -DDUTY -DNO_CONFIRM
run fails -DDUTY -DNO_FENCE
run fails -DDUTY -DCHECKED -DNO_FENCE
run fails -DDUTY -DSTAND_DOWN_AT_ONCE
run fails -DDUTY -DCHECKED -DSTAND_DOWN_AT_ONCE
run fails -DLOG -DONE_HEARD
run fails -DLOG -DEARLY_ROWS
run fails -DLOG -DSTAND_DOWN_AT_ONCE
run fails -DLOG -DSTAND_DOWN_AT_ONCE -DTOLD_AT_ONCE
run fails -DLOG -DREPLICA_RESTARTS -DTOLD_AT_ONCE
