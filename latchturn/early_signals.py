"""Signals that come while the program starts: they are held until it listens for them.

Owns the handlers from the first line of the program until `net` installs its own. Without them SIGHUP and SIGUSR1 would
end the process. The deploy line ignores both before that, while the interpreter starts; the configuration is read later
than that, so a file that such a SIGHUP was for is the one that the program starts with.
"""

from __future__ import annotations

import signal
from types import FrameType

HELD = (signal.SIGHUP, signal.SIGUSR1)
_received: list[int] = []


def _receive(number: int, _: FrameType | None) -> None:
    _received.append(number)


def hold() -> None:
    """Hold the signals from now on, until somebody else listens for them."""
    for number in HELD:
        signal.signal(number, _receive)


def take() -> list[int]:
    """The numbers of the signals that have been held, in their order; they are held no more."""
    numbers, _received[:] = list(_received), []
    return numbers
