"""The command channel: when it is asked again, and for what."""

from __future__ import annotations

from .component import Component
from .inputs_and_effects import ConnectChannel
from .limits import (
    CHANNEL_CONNECT_TIMEOUT_MAX_US,
    CHANNEL_CONNECT_TIMEOUT_US,
    CHANNEL_RECONNECT_PAUSE_US,
    CHANNEL_SILENCE_MAX_US,
    CHANNEL_SILENCE_US,
    CHANNEL_TIMEOUT_GROWTH,
)
from .timers import TimerKind
from .trace import TraceEvent


class Channel(Component):
    """The command channel: when it is asked again, and for what.

    A change counts as told 6 s after discovery has it and can be reached, whatever came of earlier calls. So a
    connection that tells nothing is given up before that, but with more patience after each that told nothing: a
    crowded discovery that answers late would else never be heard.
    """

    def __init__(self) -> None:
        self.cursor = 0  # number of the last event that was taken in
        self.address = ("", 0)
        self.connect_count = 0
        self.silent_connections = 0  # connections to it in a row that told nothing
        self.last_received_us = 0
        self.has_answered = False  # whether the connection asked for last has told anything

    def connect(self, channel: tuple[str, int]) -> None:
        """Ask the command channel for what follows the last event taken in, at once."""
        self.address = channel
        self.connect_count += 1
        self.has_answered = False
        self.last_received_us = self.core.now
        self.core.record(TraceEvent.CHANNEL_CONNECTING, reason=f"{channel[0]}:{channel[1]} after event {self.cursor}")
        timeout_us = self._grown_timeout(CHANNEL_CONNECT_TIMEOUT_US, CHANNEL_CONNECT_TIMEOUT_MAX_US)
        self.core.effects.append(ConnectChannel(channel, self.cursor, timeout_us))

    def change_address(self, channel: tuple[str, int]) -> None:
        """A new configuration names an address: another one is asked at once.

        Guards against configurations in quick succession, each of which would end a connection to the same one
        before it has told anything.
        """
        if channel != self.address:
            self.silent_connections = 0
            self.connect(channel)

    def _grown_timeout(self, first_us: int, most_us: int) -> int:
        """A time limit, grown with the connections that told nothing."""
        return min(most_us, int(first_us * CHANNEL_TIMEOUT_GROWTH ** min(self.silent_connections, 10)))

    def frame_received(self, number: int) -> None:
        """A frame has come, empty or not."""
        if not self.has_answered:
            self.core.record(
                TraceEvent.CHANNEL_ANSWERED, reason=f"event {number}, after {self.silent_connections} that told nothing"
            )
        self.has_answered, self.silent_connections, self.last_received_us = True, 0, self.core.now

    def check(self) -> None:
        """Now and then: give up a connection that has fallen silent."""
        if self.core.now - self.last_received_us <= self._grown_timeout(CHANNEL_SILENCE_US, CHANNEL_SILENCE_MAX_US):
            return
        self.core.counters["channel_silent"] += 1
        self.core.record(TraceEvent.CHANNEL_LOST, reason=f"silent; {self.silent_connections} before it told nothing")
        self.silent_connections += not self.has_answered
        self.connect(self.address)

    def connection_lost(self, reason: str) -> None:
        """The connection is no more. The first new one is asked for at once."""
        self.core.counters["channel_reconnects"] += 1
        self.core.record(TraceEvent.CHANNEL_LOST, reason=f"{reason}; {self.silent_connections} before it told nothing")
        pause = CHANNEL_RECONNECT_PAUSE_US if self.silent_connections else 0
        self.silent_connections += 1
        self.timers.set(int(pause * self.core.random.uniform(0.5, 1.0)), TimerKind.CHANNEL, self.connect_count)
