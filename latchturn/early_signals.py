"""Handlers for SIGHUP and SIGUSR1 while the program starts and ends.

They are active before `net` installs its handlers and after `net` has removed them; without them, these signals would
end the process. Signals during the start are recorded and handled later; signals during the end are ignored.

The `run` command of the deploy file ignores both signals while the interpreter starts. A SIGHUP lost in that time does
no harm: the configuration is read afterwards, so the program starts with the file that the signal was sent for.
"""

from __future__ import annotations

import signal
from types import FrameType

SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
_received: list[int] = []


def _receive(number: int, _: FrameType | None) -> None:
    _received.append(number)


def record() -> None:
    """Record these signals from now on, until other handlers replace this one."""
    for number in SIGNALS:
        signal.signal(number, _receive)


def ignore() -> None:
    """Ignore these signals from now on.

    Called at the end of the program. The interpreter restores the default handlers when it exits, but a signal that
    is ignored stays ignored.
    """
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def take_recorded() -> list[int]:
    """Return the numbers of the recorded signals in order of arrival, and clear the record."""
    numbers, _received[:] = list(_received), []
    return numbers
