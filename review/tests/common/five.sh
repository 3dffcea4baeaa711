#!/bin/sh
# Runs a case five times with and once without its disturbance: tests/common/five.sh N
cd "$(dirname "$0")/../.." || exit 2
for run in 1 2 3 4 5; do
    "./$1/run.sh" >/dev/null 2>&1
    echo "case $1, run $run: exit $?"
done
TROUBLE=0 "./$1/run.sh" >/dev/null 2>&1
echo "case $1, TROUBLE=0: exit $?"
