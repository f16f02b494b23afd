"""The clock of a trial: Unix microseconds, the same clock that the program and the exchanges read."""

from __future__ import annotations

import time

SECOND = 1_000_000  # in microseconds
MILLISECOND = 1_000  # in microseconds


def now_us() -> int:
    """Return the present time in Unix microseconds."""
    return time.time_ns() // 1000
