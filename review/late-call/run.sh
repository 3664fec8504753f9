#!/usr/bin/env bash
set -u
cd "$(dirname "$0")/../.."
exec node review/late-call/case.mjs
