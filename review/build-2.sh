#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are plain modules of Node.js without dependencies, so there is nothing
# to compile: only their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
