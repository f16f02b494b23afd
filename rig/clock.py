"""The one clock of a trial: Unix microseconds, as the program and the exchanges read it."""

from __future__ import annotations

import time

SECOND = 1_000_000
MILLISECOND = 1_000


def now_us() -> int:
    """Unix microseconds."""
    return time.time_ns() // 1000
