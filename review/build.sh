#!/bin/sh
# Builds what the scripts start beside `target/bin/daleshelfd`. The stand-ins
# are Python programs, with the project's own tests/soak/http_wire.py: nothing
# is to be compiled, so this only checks that they can be run.
set -e
cd "$(dirname "$0")/.."
for file in review/standins/*.py review/[0-9]/*.py tests/soak/http_wire.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
