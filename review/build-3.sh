#!/usr/bin/env bash
# Checks the stand-ins of review/kit-3 and the scripts of the cases. They need Node.js alone, and nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit-3/*.mjs 1[1-5]/*.mjs; do
	node --check "$file"
done
