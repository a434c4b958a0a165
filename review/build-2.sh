#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of the deploy file. The stand-ins are Python modules that run in
# the environment of that build (.venv) and need nothing more, so this checks only that they load.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=$PWD:$PWD/review/lib2 PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python -c "import rig"
