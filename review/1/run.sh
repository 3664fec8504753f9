#!/usr/bin/env bash
set -u
cd "$(dirname "$0")/../.."
exec node review/1/case.mjs
