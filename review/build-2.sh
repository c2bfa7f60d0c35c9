#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python files without dependencies, compiled with the build's interpreter.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q --invalidation-mode checked-hash review/stand_ins_2
