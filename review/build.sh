#!/bin/sh
# Run after the `build` line of deploy/balancer.toml. The stand-ins are Python and need the standard library alone:
# this checks that they compile with the interpreter that the scripts use.
cd "$(dirname "$0")/.." || exit 2
for file in review/fleet.py review/[1-3]/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
