#!/bin/sh
# Builds the stand-ins of the cases review/11 to review/15. To be run after the build of the deploy file; needs no network.
# The stand-ins under review/stand-ins-3 are plain modules that Node runs as they are, so they are only checked here.
cd "$(dirname "$0")/.." || exit 2
for file in review/stand-ins-3/*.mjs review/1[1-5]/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file" || exit 1
done
