#!/usr/bin/env bash
# Compiles the stand-ins of the cases; they need no library beside Python's own.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q shared [1-5]
