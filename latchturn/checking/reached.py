"""Line coverage of the reducer by random walks in every scope."""

from __future__ import annotations

import os
from pathlib import Path

from .scopes import EXHAUSTIVE
from .walks import walk

SESSION_FOLDER = Path(__file__).parent.parent / "session"


def unreached_lines(walks: int, steps: int) -> dict[str, list[int]]:
    """For each file of the reducer, the lines that no walk reached: `walks` of `steps` choices in every scope."""
    import coverage  # imported here because only this function needs it

    tracer = coverage.Coverage(include=[os.fspath(SESSION_FOLDER / "*.py")], data_file=None)
    tracer.start()
    try:
        for scope in (*EXHAUSTIVE, "wide"):
            for seed in range(1, walks + 1):
                walk(seed, steps, scope)
    finally:
        tracer.stop()
    found = {}
    for path in sorted(SESSION_FOLDER.glob("*.py")):
        _, _, _, lines, _ = tracer.analysis2(os.fspath(path))
        found[f"session/{path.name}"] = sorted(lines)
    return found
