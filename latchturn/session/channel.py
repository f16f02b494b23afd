"""The command channel: when a connection to discovery is opened, given up and replaced."""

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
    """Keeps a connection to the command channel and asks there for the events after the last one applied.

    A list change counts as received 6 s after a reachable discovery has it, whatever became of earlier connections. So
    a connection that delivers nothing is given up before that. The time limits grow with each such connection in a row:
    otherwise an overloaded discovery that answers late would never get to deliver anything.
    """

    def __init__(self) -> None:
        self.cursor = 0  # number of the last event applied
        self.address = ("", 0)
        self.connect_count = 0  # by which a timer for an earlier connection is recognized
        self.silent_connections = 0  # connections in a row that have delivered nothing
        self.last_received_us = 0  # latest frame, or the start of the latest connect
        self.has_answered = False  # whether the latest connection has delivered a frame

    def connect(self, channel_address: tuple[str, int]) -> None:
        """Connect at once, in place of any earlier connection, and ask for the events after the last one applied."""
        self.address = channel_address
        self.connect_count += 1
        self.has_answered = False
        self.last_received_us = self.core.now
        self.core.record_event(
            TraceEvent.CHANNEL_CONNECTING, reason=f"{channel_address[0]}:{channel_address[1]} after event {self.cursor}"
        )
        timeout_us = self._grown_timeout(CHANNEL_CONNECT_TIMEOUT_US, CHANNEL_CONNECT_TIMEOUT_MAX_US)
        self.core.effects.append(ConnectChannel(channel_address, self.cursor, timeout_us))

    def change_address(self, channel_address: tuple[str, int]) -> None:
        """Connect to the address of a new configuration at once, if it differs.

        Without the comparison, configurations in quick succession would each end the connection to the same address
        before it has delivered anything.
        """
        if channel_address != self.address:
            self.silent_connections = 0
            self.connect(channel_address)

    def _grown_timeout(self, base_us: int, max_us: int) -> int:
        """A time limit, grown with the connections in a row that have delivered nothing."""
        return min(max_us, int(base_us * CHANNEL_TIMEOUT_GROWTH ** min(self.silent_connections, 10)))

    def frame_received(self, number: int) -> None:
        """Record a frame with events or an empty one."""
        if not self.has_answered:
            self.core.record_event(
                TraceEvent.CHANNEL_ANSWERED,
                reason=f"event {number}, after {self.silent_connections} connections without a frame",
            )
        self.has_answered, self.silent_connections, self.last_received_us = True, 0, self.core.now

    def check(self) -> None:
        """Replace a connection that has been silent for too long; called by each sweep."""
        if self.core.now - self.last_received_us <= self._grown_timeout(CHANNEL_SILENCE_US, CHANNEL_SILENCE_MAX_US):
            return
        self.core.counters["channel_silent"] += 1
        self.core.record_event(
            TraceEvent.CHANNEL_LOST, reason=f"silent, after {self.silent_connections} connections without a frame"
        )
        self.silent_connections += not self.has_answered
        self.connect(self.address)

    def connection_lost(self, reason: str) -> None:
        """Schedule the next connect after a lost connection: at once after the first loss, else after a pause."""
        self.core.counters["channel_reconnects"] += 1
        self.core.record_event(
            TraceEvent.CHANNEL_LOST, reason=f"{reason}, after {self.silent_connections} connections without a frame"
        )
        pause_us = CHANNEL_RECONNECT_PAUSE_US if self.silent_connections else 0
        self.silent_connections += 1
        self.timers.set(int(pause_us * self.core.random.uniform(0.5, 1.0)), TimerKind.CHANNEL, self.connect_count)
