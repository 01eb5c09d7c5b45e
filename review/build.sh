#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript and need no build. Checks that the project and all of them can start.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/bilberrydoor.mjs
test -f packages/core/dist/routing/rendezvous-ranking.js
for file in review/kit/*.mjs review/*/run.mjs; do
	node --check "$file"
done
