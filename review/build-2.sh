#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain JavaScript and need no build. Checks that they and the program can start.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/bilberrydoor.mjs
for file in review/kit-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
	if [ -f "$file" ]; then
		node --check "$file"
	fi
done
