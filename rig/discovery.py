"""A simulated discovery service: the command channel to the program, and outages of discovery."""

from __future__ import annotations

import contextlib
import math
import socket
from dataclasses import dataclass, replace

import trio

from latchturn import protocol as p

from .clock import SECOND, now_us
from .record import ListEvent, Record
from .sockets import SuspendableListener, close_with_reset, loopback_address, send_all

HEARTBEAT_S = 1.0
HEARTBEAT_FRAME = bytes(4)  # a frame without content
STATE_CODES = {"ready": 0, "draining": 1, "gone": 2}


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One exchange as it stands in the exchange list of discovery."""

    exchange_id: int
    exchange_number: int  # the destination number of the exchange; a replacement has the same
    host: str
    port: int
    state: str = "ready"
    started_ms: int = 0


@dataclass(slots=True)
class PublishedEvent:
    """One event of the command channel and the times at which it was published and first sent."""

    endpoint: Endpoint
    published_us: int
    delivered_us: int = 0


@dataclass(slots=True, frozen=True)
class FrameInTransit:
    """A frame on its way to the program."""

    arrives_us: int
    data: bytes
    event: PublishedEvent | None  # the one that it carries


class Discovery:
    """The present exchange list, and the events since the present process of the program was started."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.endpoints: dict[int, Endpoint] = {}
        self.events: list[PublishedEvent] = []
        self.host = loopback_address(record.seed)
        self.listener = SuspendableListener(self.host, port)
        self.reachable_us = 0  # start of the time in which it answers, 0 during an outage
        self._silent = False
        self._delay_s = 0.0
        self._transit_s = 0.0
        self._changed = trio.Event()
        self._connections: set[trio.socket.SocketType] = set()

    async def run(self) -> None:
        """Accept connections of the program and serve them until cancelled."""
        await self.listener.open()
        self.reachable_us = now_us()
        async with trio.open_nursery() as nursery:
            while True:
                sock = await self.listener.accept()
                nursery.start_soon(self.serve, sock)

    # --- the list ---

    def publish(self, endpoint: Endpoint) -> None:
        """Change the list and send the change to the program."""
        self.endpoints[endpoint.exchange_id] = endpoint
        if endpoint.state == "gone":
            del self.endpoints[endpoint.exchange_id]
        self.events.append(PublishedEvent(endpoint, now_us()))
        self._changed.set()
        self._changed = trio.Event()

    def set_state(self, exchange_id: int, state: str) -> None:
        """Publish a new state (draining, gone) of an exchange, if it is in the list."""
        if exchange_id in self.endpoints:
            self.publish(replace(self.endpoints[exchange_id], state=state))

    def begin_process(self) -> None:
        """Restart the numbering of events for a process of the program that is about to start."""
        self.record_events()
        self.snapshot = list(self.endpoints.values())

    def known_events(self) -> dict[str, object]:
        """Return the snapshot and the events so far, as the value of `known` in the configuration."""
        commands = [channel_command(1, True, self.snapshot)]
        commands += [channel_command(k, False, [event.endpoint]) for k, event in enumerate(self.events, 2)]
        return {"cursor": len(commands), "cmds": commands}

    def record_events(self) -> None:
        """Enter the events so far in the record and clear them."""
        for event in self.events:
            reachable_us = max(event.published_us, self.reachable_us) if self.reachable_us else 0
            self.record.list_events.append(
                ListEvent(
                    event.endpoint.exchange_id,
                    event.endpoint.state,
                    event.published_us,
                    reachable_us,
                    event.delivered_us,
                )
            )
        self.events = []

    # --- outages ---

    def _drop_connections(self) -> None:
        for sock in list(self._connections):
            close_with_reset(sock)
        self._connections.clear()

    def start_outage(self, unresponsive: bool) -> None:
        """Start an outage: stop replying on all connections, or refuse connects and reset open connections."""
        self.reachable_us = 0
        if unresponsive:
            self._silent = True
            self.listener.suspend()
        else:
            self._drop_connections()
            self.listener.close()

    def stop_responding(self) -> None:
        """Start an outage: accept connections but send nothing on any."""
        self.reachable_us = 0
        self._silent = True

    async def end_outage(self) -> None:
        """End an outage; connections from before it stay open and silent."""
        if self.reachable_us:
            return
        silent, self._silent = self._silent, False
        if silent:
            self.listener.resume()
        else:
            await self.listener.open()
        self.reachable_us = now_us()
        self._connections.clear()

    def delay_first_frame(self, delay_s: float) -> None:
        """Delay the first frame of each further connection."""
        self._delay_s = delay_s

    def delay_all_frames(self, transit_s: float) -> None:
        """Let every frame sent from now on arrive later by `transit_s`, on every connection and in order."""
        self._transit_s = transit_s

    # --- connections ---

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Serve one connection of the program: events as they come, a heartbeat while there are none."""
        self._connections.add(sock)
        with sock, contextlib.suppress(OSError, trio.ClosedResourceError):
            cursor = await self.read_cursor(sock)
            await trio.sleep(self._delay_s)
            if self._silent:
                await trio.sleep_forever()
            sender, receiver = trio.open_memory_channel[FrameInTransit](math.inf)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.deliver_frames, sock, receiver, nursery.cancel_scope)
                while sock in self._connections:
                    cursor = self.send_events(sender, cursor)
                    with trio.move_on_after(HEARTBEAT_S):
                        await self._changed.wait()
                    if self._silent:
                        await trio.sleep_forever()
                await trio.sleep_forever()  # the connection is from before an outage: keep it open and silent

    @staticmethod
    async def deliver_frames(
        sock: trio.socket.SocketType, frames: trio.MemoryReceiveChannel[FrameInTransit], scope: trio.CancelScope
    ) -> None:
        """Write each frame when it arrives, until the connection ends."""
        with contextlib.suppress(OSError, trio.ClosedResourceError):
            async for frame in frames:
                await trio.sleep(max(0, frame.arrives_us - now_us()) / SECOND)
                await send_all(sock, frame.data)
                if frame.event is not None:
                    frame.event.delivered_us = frame.event.delivered_us or now_us()
        scope.cancel()

    @staticmethod
    async def read_cursor(sock: trio.socket.SocketType) -> int:
        """Read the number of the last event that the program has received."""
        data = b""
        while len(data) < p.CURSOR.size:
            more = await sock.recv(p.CURSOR.size - len(data))
            if not more:
                raise OSError("closed")
            data += more
        return int(p.CURSOR.unpack(data)[0])

    def send_events(self, sender: trio.MemorySendChannel[FrameInTransit], cursor: int) -> int:
        """Send the events after event `cursor`, or a heartbeat; return the number of the last event sent."""
        arrives_us = now_us() + int(self._transit_s * SECOND)
        waiting = list(enumerate(self.events, 2))[max(0, cursor - 1) :]
        for number, event in waiting:
            sender.send_nowait(FrameInTransit(arrives_us, encode_frame(number, event.endpoint), event))
            cursor = number
        if not waiting:
            sender.send_nowait(FrameInTransit(arrives_us, HEARTBEAT_FRAME, None))
        return cursor


def channel_command(number: int, is_snapshot: bool, endpoints: list[Endpoint]) -> dict[str, object]:
    """Return one event in the form of the configuration."""
    listed = [
        {
            "name": f"s-{e.exchange_id:08x}", "address": f"{e.host}:{e.port}", "zone": "z", "type": "std",
            "group": e.exchange_number, "status": e.state, "weight": 1, "since_ms": e.started_ms,
        }
        for e in endpoints
    ]  # fmt: skip
    return {"cursor": number, "nodes": {"index": number, "snapshot": is_snapshot, "endpoints": listed}}


def encode_frame(number: int, endpoint: Endpoint) -> bytes:
    """Encode a change of one exchange as a frame of the command channel."""
    record = p.RECORD.pack(
        endpoint.exchange_id, socket.inet_aton(endpoint.host), endpoint.port, STATE_CODES[endpoint.state], 0, 0,
        endpoint.exchange_number, 1000, endpoint.started_ms,
    )  # fmt: skip
    return p.FRAME_HEADER.pack(p.FRAME_HEADER.size - 4 + len(record), number, 2) + record
