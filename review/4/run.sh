#!/usr/bin/env bash
set -u
cd "$(dirname "$0")/../.."
exec node review/4/case.mjs
