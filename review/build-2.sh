#!/bin/sh
# Compiles the stand-ins of cases 6 to 10; they need no library beside Python's own.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q tests 6 7 8 9 10
