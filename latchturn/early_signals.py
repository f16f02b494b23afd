"""Signals that come while the program starts or ends: held until it listens for them, ignored once it does no more.

Owns their handlers before `net` has installed its own and after it has given them up. Without, SIGHUP and SIGUSR1 would
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


def ignore() -> None:
    """Ignore the signals from now on: the program ends, and the interpreter gives its handlers up on the way out."""
    for number in HELD:
        signal.signal(number, signal.SIG_IGN)


def take() -> list[int]:
    """The numbers of the signals that have been held, in their order; they are held no more."""
    numbers, _received[:] = list(_received), []
    return numbers
