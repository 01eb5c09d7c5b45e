#!/usr/bin/env bash
# Starts a node with stand-ins, submits one clearance mark under an operation id, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/../.."
directory=$(mktemp -d)
pids=()
stop_all() {
	kill "${pids[@]}" 2>/dev/null || true
	wait "${pids[@]}" 2>/dev/null || true
	rm -r "$directory"
}
trap stop_all EXIT

run() {
	node "$@" >"$directory/output" &
	pids+=("$!")
}

stand_in=packages/stand-ins/dist/run-stand-in.js
run "$stand_in" log --listen 127.0.0.1:17000
run "$stand_in" vm-list --listen 127.0.0.1:17001
run "$stand_in" target --id malipo-01 --listen 127.0.0.1:17101
cp examples/operations/bilberryd.jsonc "$directory"
head -c 24 /dev/urandom | base64 >"$directory/fleet.key"
run packages/daemon/dist/bilberryd.js --settings "$directory/bilberryd.jsonc"
until curl -sf -o /dev/null http://127.0.0.1:18082/-/readyz; do sleep 0.1; done
node packages/cli/dist/bilberryctl.js --node http://127.0.0.1:18082 --token example-token \
	catalogue apply examples/operations/malipo.jsonc

front=http://127.0.0.1:18080
ask() {
	curl -s -D "$directory/head" -o "$directory/body" "$@"
	grep -iE '^(HTTP|bilberrydoor-)' "$directory/head" | tr -d '\r'
	cat "$directory/body"
	echo
	echo
}

echo '1. Without an id the work is refused, and the answer offers an id.'
ask -X POST -d 'section 17 cleared' "$front/malipo/clearances"
id=$(grep -i '^operation-id:' "$directory/head" | tr -d '\r' | cut -d' ' -f2)

echo '2. With the id the work runs.'
ask -X POST -d 'section 17 cleared' -H "Operation-Id: $id" "$front/malipo/clearances"

echo '3. The same request again gets the same answer; the target does not run it again.'
ask -X POST -d 'section 17 cleared' -H "Operation-Id: $id" "$front/malipo/clearances"

echo '4. Another request under the id learns nothing.'
ask -X POST -d 'section 18 cleared' -H "Operation-Id: $id" "$front/malipo/clearances"

echo '5. A lookup tells the state.'
ask "$front/-/operations/$id"
