#!/bin/sh
# Builds the stand-ins of the cases. They need the Python of the deploy file's build and nothing else.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -m compileall -q review
