#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python in common2/ and in the folders of the cases, run with
# the interpreter that the build of the deploy file leaves; so there is nothing to compile, and this only checks them.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/common2/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    test -e "$file" || continue
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
