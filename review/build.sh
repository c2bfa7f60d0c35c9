#!/bin/sh
# Builds what the cases start, after the build of the deploy file. The stand-ins need only the standard library.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stand_ins review/[0-9]*/case.py
