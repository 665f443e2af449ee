#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
exec timeout 110 python3 -B "$(dirname "$0")/case.py"
