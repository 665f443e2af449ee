#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are Python with its standard
# library alone: nothing is compiled, their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - kit2/*.py [4-8]/*.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
CHECK
