#!/bin/sh
# Runs the case; exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=$PWD:$PWD/review/lib2 PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/10/scenario.py
