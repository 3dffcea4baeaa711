#!/usr/bin/env bash
# Generates the Python code of all messages; needs Debian's thrift-compiler.
set -euo pipefail
cd "$(dirname "$0")"
out=src/persimmonferry_wire/generated
rm -rf "$out"
mkdir -p "$out"
for file in messages/*.thrift; do
  thrift --gen py:slots -out src "$file"
done
touch "$out/__init__.py"
find "$out" -name constants.py -delete
rm -f src/__init__.py
