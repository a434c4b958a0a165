#!/usr/bin/env bash
# A demo on loopback: a stand-in Consul, one stand-in engine registered there, and a dispatcher that reads it.
# Ends with Ctrl-C, and takes down only what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
export PIP_DISABLE_PIP_VERSION_CHECK=1 PYTHONUNBUFFERED=1
test -x .demo-venv/bin/cottonhold || { python3 -m venv .demo-venv && .demo-venv/bin/pip -q install -e '.[agent]'; }
run=.demo-venv/bin/cottonhold
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; wait' EXIT
$run emulate consul --listen 127.0.0.1:18500 & started+=($!)
sleep 1
$run emulate engine --id e1 --consul 127.0.0.1:18500 & started+=($!)
sleep 1
echo "a MySQL client may connect to 127.0.0.1:13306 (user app, no password, database dw), for example:"
echo "  /* service=lookup,ref=9b1f03aa5c7e2d41,allow=1500 */ SELECT day FROM sales_17.orders"
echo "drain the engine: curl -X PUT '127.0.0.1:18500/v1/agent/service/maintenance/e1?enable=true'"
$run serve --config deploy/demo.jsonnet & started+=($!)
wait "${started[2]}"
