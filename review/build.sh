#!/usr/bin/env bash
# The stand-ins are plain modules for Node without dependencies: building them is checking that they can be parsed.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand-ins/*.mjs review/*/case.mjs; do
    node --check "$file"
done
