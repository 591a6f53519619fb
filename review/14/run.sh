#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/platform/gateway.js ] && [ -f target/platform/agent.js ] && [ -d node_modules/smol-toml ] || exit 2
exec node review/common-3/run.js 14
