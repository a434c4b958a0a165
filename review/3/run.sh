#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first"; exit 2; }
.venv/bin/python "review/3/scenario.py"
code=$?
test "$code" -le 2 || code=2
exit "$code"
