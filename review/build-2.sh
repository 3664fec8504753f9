#!/bin/sh
# Checks the stand-ins and cases of the second review. They are plain modules for Node and need no bundle; the programs
# under test are those of the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.mjs stand-ins-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
    [ ! -f "$file" ] || node --check "$file"
done
for file in ../target/medlarledge-control.cjs ../target/medlarledge-entry.cjs; do
    [ -f "$file" ] || { echo "missing: run the build of the deploy file first" >&2; exit 1; }
done
