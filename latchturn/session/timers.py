"""The timers of the reducer. This is the only place where a timer is set and cancelled."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum, auto

from .component import Component


@dataclass(slots=True, eq=False)
class Timer:
    """An entry of the heap. A cancelled timer stays there with `subject` None until it is due."""

    kind: TimerKind
    subject: object


class TimerKind(Enum):
    """What is due, and in the comments what `Timer.subject` is."""

    DECISION_MODULE = auto()  # a timer of the decision module; subject: its token
    DEADLINE = auto()  # the final answer of a call; subject: the call
    ATTEMPT = auto()  # the time-out of an attempt; subject: the attempt
    GIVE_UP = auto()  # the write of a give-up; subject: the attempt
    RECONNECT = auto()  # the next connect to an exchange; subject: the exchange
    PARTIAL_MESSAGE = auto()  # the rest of a partial message on a link; subject: the link
    ANSWER_HOLD = auto()  # the next byte after an answer whose end is uncertain; subject: its link
    READY = auto()  # the end of the wait for group states after the start; it only wakes the reducer
    DRAIN = auto()  # the next search for idle connections during a drain; subject: the number of the drain
    CHANNEL = auto()  # the next connect to the command channel; subject: the number of connects before
    SWEEP = auto()  # the next run of the housekeeping
    END_VERDICT = auto()  # the verdict of the other process about an end; subject: the id of the call
    RELEASE = auto()  # the confirmation of a release; subject: the pending release
    TERM = auto()  # one of the time limits after SIGTERM
    CLOSE = auto()  # the next search for idle connections before the exit


class Timers(Component):
    """A heap of timers, ordered by due time and then by the order in which they were set."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timer]] = []
        self.sequence = 0

    def set(self, delay_us: int, kind: TimerKind, subject: object = None) -> Timer:
        """Set a timer that is due after `delay_us`."""
        self.sequence += 1
        timer = Timer(kind, subject)
        heapq.heappush(self.heap, (self.core.now + delay_us, self.sequence, timer))
        return timer

    @staticmethod
    def cancel(timer: Timer | None) -> None:
        """Cancel a timer and drop its subject, which would otherwise stay in memory until the timer is due."""
        if timer is not None:
            timer.subject = None
