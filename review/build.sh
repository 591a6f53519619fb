#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain JavaScript, so that only their syntax is checked; their one library, smol-toml, comes with the project's own packages.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules/smol-toml ] || npm ci --silent --no-audit --no-fund
for file in review/common/*.js review/*/case.js; do node --check "$file"; done
