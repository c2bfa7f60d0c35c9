#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || exit 2
PYTHONPATH=.. timeout -k 5 112 ../../.venv/bin/python case.py
code=$?
grep -q ' result ' record.txt || exit 2
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
