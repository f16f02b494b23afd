"""The command channel: when connections to discovery are opened and given up.

Owns the connections and the number of the last event applied. Rules:

Further connection: a connection may be silent because it or discovery has stopped, or because what discovery sends
takes long to arrive. Nothing tells the two apart, so a connection that has been silent for a time is not closed: a
further one is opened beside it, which asks for the same events. Closing it would discard what is on its way, and a
discovery that is slower than the time limit would never be heard.

Replacement: a connection that delivers a frame replaces all earlier ones, since it delivers all events that they do.
Later ones stay: what an earlier one delivers may have been sent before it stopped.

Limits: a list change counts as received 7 s after discovery has it, whatever became of the connections, and 4 s after
a connection has stopped. So a further connection is opened well before that. The time limits grow with each connection
in a row that has delivered nothing, since each asks an overloaded discovery once more.
"""

from __future__ import annotations

from dataclasses import dataclass

from .component import Component
from .inputs_and_effects import CloseChannel, ConnectChannel
from .limits import (
    CHANNEL_CONNECT_TIMEOUT_MAX_US,
    CHANNEL_CONNECT_TIMEOUT_US,
    CHANNEL_PATIENCE_US,
    CHANNEL_RECONNECT_PAUSE_US,
    CHANNEL_SILENCE_MAX_US,
    CHANNEL_SILENCE_US,
    CHANNEL_TIMEOUT_GROWTH,
    MAX_CHANNEL_CONNECTIONS,
)
from .timers import Timer, TimerKind
from .trace import TraceEvent


@dataclass(slots=True)
class ChannelConnection:
    """One connection to discovery, from its connect until it is lost or given up."""

    ident: int
    address: tuple[str, int]
    connect_started_us: int
    last_received_us: int = 0  # latest frame, 0 before the first


class Channel(Component):
    """Keeps a connection to the command channel and asks there for the events after the last one applied."""

    def __init__(self) -> None:
        self.cursor = 0  # number of the last event applied
        self.address = ("", 0)
        self.connections: dict[int, ChannelConnection] = {}  # by id, the oldest first
        self.connect_count = 0  # the id of the latest connection, by which a timer for an earlier one is recognized
        self.silent_connections = 0  # connections in a row that have delivered nothing
        self.silent_since_us = (
            0  # latest frame on any connection to the present address, or start of the latest connect
        )
        self.reconnect_timer: Timer | None = None  # set while the latest connection is lost

    def connect(self, channel_address: tuple[str, int]) -> None:
        """Open a further connection at once, and ask for the events after the last one applied."""
        self._cancel_reconnect()
        self.address = channel_address
        self.connect_count += 1
        self.connections[self.connect_count] = ChannelConnection(self.connect_count, channel_address, self.core.now)
        self.silent_since_us = self.core.now
        self.core.record_event(
            TraceEvent.CHANNEL_CONNECTING,
            reason=f"{channel_address[0]}:{channel_address[1]} after event {self.cursor}, "
            f"{len(self.connections) - 1} other connections",
        )
        timeout_us = self._grown_timeout(CHANNEL_CONNECT_TIMEOUT_US, CHANNEL_CONNECT_TIMEOUT_MAX_US)
        self.core.effects.append(ConnectChannel(self.connect_count, channel_address, self.cursor, timeout_us))
        if len(self.connections) > MAX_CHANNEL_CONNECTIONS:
            self._give_up(self._least_useful())

    def change_address(self, channel_address: tuple[str, int]) -> None:
        """Connect to the address of a new configuration at once, if it differs.

        Without the comparison, configurations in quick succession would each open a connection to the same address.
        Connections to the previous address stay open until the new one has answered: events may be on their way there.
        """
        if channel_address != self.address:
            self.silent_connections = 0
            self.connect(channel_address)

    def frame_received(self, connection: int, number: int) -> None:
        """Record a frame with events or an empty one: its connection replaces the earlier ones.

        Frames from an earlier address show nothing about the present one.
        """
        source = self.connections.get(connection)
        if source is None or source.address != self.address:
            return
        for earlier in [c for c in self.connections.values() if c.ident < connection]:
            self._give_up(earlier)
        silent_us = self.core.now - (source.last_received_us or source.connect_started_us)
        if not source.last_received_us or silent_us > CHANNEL_SILENCE_US:
            self.core.record_event(
                TraceEvent.CHANNEL_ANSWERED,
                reason=f"event {number}, connection {connection}, after {silent_us // 1000} ms of silence",
            )
        source.last_received_us = self.silent_since_us = self.core.now
        self.silent_connections = 0
        self._cancel_reconnect()

    def check(self) -> None:
        """Open a further connection if all have been silent for too long; called by each sweep."""
        if self.reconnect_timer is not None:
            return
        self._give_up_unneeded()
        silent_us = self.core.now - self.silent_since_us
        if silent_us <= self._grown_timeout(CHANNEL_SILENCE_US, CHANNEL_SILENCE_MAX_US):
            return
        self.core.counters["channel_silent"] += 1
        self.core.record_event(
            TraceEvent.CHANNEL_SILENT,
            reason=f"for {silent_us // 1000} ms, {len(self.connections)} connections open",
        )
        latest = next(reversed(self.connections.values()), None)
        self.silent_connections += latest is not None and not latest.last_received_us
        self.connect(self.address)

    def connection_lost(self, connection: int, reason: str) -> None:
        """Schedule the next connect after the latest connection is lost, unless another one delivers frames: at once
        the first time, else after a pause. An earlier connection that is lost has been followed by another already."""
        lost = self.connections.pop(connection, None)
        if lost is None:
            return
        self.core.counters["channel_reconnects"] += 1
        self.core.record_event(
            TraceEvent.CHANNEL_LOST,
            reason=f"connection {connection}, {reason}, after {self.silent_connections} connections without a frame",
        )
        is_latest = all(other < connection for other in self.connections)
        if self.reconnect_timer is not None or not is_latest or self._is_delivering():
            return
        pause_us = CHANNEL_RECONNECT_PAUSE_US if self.silent_connections else 0
        self.silent_connections += 1
        delay_us = int(pause_us * self.core.random.uniform(0.5, 1.0))
        self.reconnect_timer = self.timers.set(delay_us, TimerKind.CHANNEL, self.connect_count)

    def _is_delivering(self) -> bool:
        """Whether a connection to the present address has delivered a frame recently."""
        return any(
            c.address == self.address and self.core.now - c.last_received_us <= CHANNEL_SILENCE_US
            for c in self.connections.values()
        )

    def _cancel_reconnect(self) -> None:
        self.timers.cancel(self.reconnect_timer)
        self.reconnect_timer = None

    def _grown_timeout(self, base_us: int, max_us: int) -> int:
        """A time limit, grown with the connections in a row that have delivered nothing."""
        return min(max_us, int(base_us * CHANNEL_TIMEOUT_GROWTH ** min(self.silent_connections, 10)))

    def _give_up_unneeded(self) -> None:
        """Close connections that have never delivered anything, long after a change on them would have arrived too
        late, while another one delivers frames."""
        if not self._is_delivering():
            return
        for connection in list(self.connections.values()):
            silent_us = self.core.now - connection.connect_started_us
            if not connection.last_received_us and silent_us > CHANNEL_PATIENCE_US:
                self._give_up(connection)

    def _least_useful(self) -> ChannelConnection:
        """The connection to give up for a further one.

        That is the oldest one to an earlier address, else the second oldest: the oldest is the first to deliver if
        discovery is slow, and is kept however slow that is.
        """
        outdated = [c for c in self.connections.values() if c.address != self.address]
        return outdated[0] if outdated else list(self.connections.values())[1]

    def _give_up(self, connection: ChannelConnection) -> None:
        """Close a connection from this side."""
        del self.connections[connection.ident]
        self.core.effects.append(CloseChannel(connection.ident))
