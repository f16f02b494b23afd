"""The timers: the one heap, and the one place where a timer is set and withdrawn."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum, auto

from .component import Component


@dataclass(slots=True, eq=False)
class Timer:
    """`subject` None: it was withdrawn, and nothing hangs on it any more."""

    kind: TimerKind
    subject: object


class TimerKind(Enum):
    DECISION_MODULE = auto()  # a token of the module's
    DEADLINE = auto()  # of a call
    ATTEMPT = auto()  # time-out
    GIVE_UP = auto()  # its bytes should have left
    RECONNECT = auto()  # to an exchange
    PARTIAL_MESSAGE = auto()  # a link's message should be whole
    READY = auto()  # what is not told by now is not waited for
    DRAIN = auto()  # idle connections are to be closed
    CHANNEL = auto()  # the command channel is to be asked again
    SWEEP = auto()
    TERM = auto()
    CLOSE = auto()  # idle connections are to be closed as the program ends


class Timers(Component):
    """The timers: the one heap, and the one place where a timer is set and withdrawn."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timer]] = []
        self.sequence = 0

    def set(self, delay_us: int, kind: TimerKind, subject: object = None) -> Timer:
        self.sequence += 1
        timer = Timer(kind, subject)
        heapq.heappush(self.heap, (self.core.now + delay_us, self.sequence, timer))
        return timer

    @staticmethod
    def cancel(timer: Timer | None) -> None:
        """Guards the memory: a call that is over must not hang on a timer for its whole wait."""
        if timer is not None:
            timer.subject = None
