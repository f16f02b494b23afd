#!/bin/sh
# Builds what the scripts of the cases start besides the program: the stand-ins are Python and need no more than a
# check that they compile with the interpreter of the deploy file's build. Nothing is written.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -B -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
print("review: the stand-ins compile")
'
