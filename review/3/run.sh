#!/usr/bin/env bash
set -u
cd "$(dirname "$0")/../.."
exec node review/3/case.mjs
