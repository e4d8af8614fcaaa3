#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain modules that need no dependency, so this only checks that
# each of them can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
for file in [0-9]/run.sh; do bash -n "$file"; done
