"""The command channel: when it is asked again, and for what."""

from __future__ import annotations

from .limits import CHANNEL_CONNECT_US, CHANNEL_PAUSE_US
from .part import Part
from .timers import TimerKind
from .trace import TraceEvent
from .words import Follow


class Channel(Part):
    """The command channel: when it is asked again, and for what."""

    def __init__(self) -> None:
        self.cursor = 0  # number of the last event that was taken in
        self.address = ("", 0)
        self.times_asked = 0
        self.lost = 0  # connections to it in a row that told nothing
        self.heard_us = 0
        self.answers = False  # whether the connection asked for last has told anything

    def follow(self, channel: tuple[str, int]) -> None:
        """Ask the command channel for what follows the last event taken in, at once."""
        self.address = channel
        self.times_asked += 1
        self.answers = False
        self.heard_us = self.core.now
        self.core.note(TraceEvent.CHANNEL_ASKED, reason=f"{channel[0]}:{channel[1]} after event {self.cursor}")
        self.core.effects.append(Follow(channel, self.cursor, CHANNEL_CONNECT_US))

    def heard(self, number: int) -> None:
        """A frame has come, empty or not."""
        if not self.answers:
            self.core.note(TraceEvent.CHANNEL_TOLD, reason=f"event {number}, after {self.lost} that told nothing")
        self.answers, self.lost, self.heard_us = True, 0, self.core.now

    def ended(self, reason: str) -> None:
        """What it would have told counts as told 2 s later, so the first new connection is at once."""
        self.core.counters["channel_reconnects"] += 1
        self.core.note(TraceEvent.CHANNEL_LOST, reason=f"{reason}; {self.lost} before it told nothing")
        pause = CHANNEL_PAUSE_US if self.lost else 0
        self.lost += 1
        self.timers.set(int(pause * self.core.random.uniform(0.5, 1.0)), TimerKind.CHANNEL, self.times_asked)
