#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11, review/12 and review/14. They are plain JavaScript, so that only their syntax is checked; their one library, smol-toml, comes with the project's own packages.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules/smol-toml ] || npm ci --silent --no-audit --no-fund
shopt -s nullglob
for file in review/common-3/*.js review/{11,12,13,14}/*.js; do node --check "$file"; done
