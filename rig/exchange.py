"""A simulated exchange in a process of its own: `python -m rig.exchange HOST PORT OPTIONS SEED`.

It implements the exchange side of the protocol as docs/soak.md describes it, writes one JSON line per event to standard
output and reads new options as JSON lines from standard input. It must not depend on the rules that a trial checks.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import socket
import sys
from collections import deque
from dataclasses import asdict, dataclass, fields
from functools import partial

import trio

from latchturn import protocol as p

from .clock import now_us
from .sockets import close_with_reset, send_all

MAX_MISSING_BYTES = 60  # at the end of a truncated answer; at least its first byte is sent
MAX_GROUP_STATE_RECIPIENTS = 4  # open connections that receive each change of the group state
RECEIVE_BYTES = 64 * 1024
PIECE_PAUSE_S = (0.001, 0.008)  # pause between two pieces; a connection still carries a hundred messages per second


@dataclass(slots=True)
class ExchangeOptions:
    """The timing and the faults of the exchange. Shares are between 0 and 1."""

    size: int = 40  # circuits
    answer_ms: tuple[int, int] = (3, 30)  # shortest and longest time from set-up to answer
    hold_ms: tuple[int, int] = (1500, 8000)  # shortest and longest time from answer to end
    refuse: float = 0.0  # set-ups refused with NO_CIRCUIT
    fail: float = 0.0  # set-ups refused with RESOURCE_UNAVAILABLE
    reset: float = 0.0  # set-ups on which the exchange resets the connection
    lose_answer: float = 0.0  # answers that are not sent
    second_answer: float = 0.0  # answers that are sent twice
    spoil_answer: float = 0.0  # answers that are sent corrupted
    strand_answer: float = 0.0  # answers that are not sent, and whose connection stays open without being of use
    overload: float = 0.0  # set-ups turned away because the processor is full
    truncate_answer: float = 0.0  # answers that end early; the next message follows directly
    pieces: float = 0.0  # messages that are written in two pieces


@dataclass(slots=True, eq=False)
class Connection:
    """One connection from a session controller."""

    sock: trio.socket.SocketType
    number: int
    peer_port: int
    outbox: deque[bytes]
    writer_wakeup: trio.Event
    closed: bool = False
    stranded: bool = False  # open, but nothing passes any more


@dataclass(slots=True, eq=False)
class Call:
    """A set-up, and the call after its answer."""

    call_id: int
    connection: Connection
    scope: trio.CancelScope
    answered: bool = False


class Exchange:
    """The state of one simulated exchange."""

    def __init__(self, host: str, port: int, options: ExchangeOptions, seed: int) -> None:
        self.host = host
        self.port = port
        self.options = options
        self.random = random.Random(seed)
        self.connections: list[Connection] = []
        self.calls: dict[int, Call] = {}
        self.pending_releases: dict[int, bytes] = {}  # releases to repeat on the next connection, by call id
        self.accepted = 0
        self.nursery: trio.Nursery

    async def run(self) -> None:
        """Accept connections and read options until the process is ended."""
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind((self.host, self.port))
        listener.listen(64)
        self.report("listening")
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.read_options)
            while True:
                sock, _ = await listener.accept()
                self.nursery.start_soon(self.serve, sock)

    def report(self, event: str, call_id: int = 0, port: int = 0) -> None:
        """Report an event to the trial.

        For "answered" the port is the exchange's own. For "told", which reports that the release of an ended call was
        sent, it is the peer's port of the connection.
        """
        sys.stdout.write(json.dumps({"at": now_us(), "event": event, "call": call_id, "port": port}) + "\n")
        sys.stdout.flush()

    async def read_options(self) -> None:
        """Apply new options as they arrive; names that are no options are ignored."""
        stream = trio.wrap_file(sys.stdin)
        async for line in stream:
            option_names = {field.name for field in fields(ExchangeOptions)}
            changes = {name: value for name, value in json.loads(line).items() if name in option_names}
            self.options = ExchangeOptions(**{**asdict(self.options), **changes})

    def happens(self, share: float) -> bool:
        """Draw whether an event with a given share happens."""
        return self.random.random() < share

    def draw_seconds(self, span_ms: tuple[int, int]) -> float:
        """Draw a time within a span; in seconds."""
        return self.random.uniform(*span_ms) / 1000

    # --- connections ---

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Serve one connection: send the initial messages, then read and write until it ends.

        A connection that the peer has closed while it was in the accept queue is closed without being served.
        """
        if self.peer_has_closed(sock):
            sock.close()
            return
        self.accepted += 1
        connection = Connection(sock, self.accepted, peer_port(sock), deque(), trio.Event())
        self.connections.append(connection)
        self.send(connection, p.encode(self.group_state()))
        for call_id, data in self.pending_releases.items():
            self.send_end(connection, call_id, data)
        self.pending_releases.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.write, connection)
            await self.read(connection)
            nursery.cancel_scope.cancel()
        self.close_connection(connection)

    @staticmethod
    def peer_has_closed(sock: trio.socket.SocketType) -> bool:
        """Whether the peer has already closed or reset the connection."""
        with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
            try:
                return not duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except OSError:
                return True

    async def read(self, connection: Connection) -> None:
        """Handle messages until the connection ends."""
        decoder = p.message_decoder()
        with contextlib.suppress(OSError, trio.ClosedResourceError, p.ProtocolError):
            while data := await connection.sock.recv(RECEIVE_BYTES):
                for message in decoder.feed(data):
                    self.handle_message(connection, message)

    async def write(self, connection: Connection) -> None:
        """Write the queued messages, some of them in two pieces."""
        with contextlib.suppress(OSError, trio.ClosedResourceError):
            while True:
                while connection.outbox:
                    data = connection.outbox.popleft()
                    if self.happens(self.options.pieces):
                        middle = self.random.randrange(1, len(data))
                        await send_all(connection.sock, data[:middle])
                        await trio.sleep(self.random.uniform(*PIECE_PAUSE_S))
                        data = data[middle:]
                    await send_all(connection.sock, data)
                connection.writer_wakeup = trio.Event()
                await connection.writer_wakeup.wait()

    def send(self, connection: Connection, data: bytes) -> None:
        """Queue one encoded message on a connection."""
        if connection.stranded:
            return
        connection.outbox.append(data)
        connection.writer_wakeup.set()

    def close_connection(self, connection: Connection, abort: bool = False) -> None:
        """Close a connection and drop its unanswered set-ups; answered calls stay."""
        if connection.closed:
            return
        connection.closed = True
        self.connections.remove(connection)
        if abort:
            close_with_reset(connection.sock)
        else:
            connection.sock.close()
        for call in [c for c in self.calls.values() if c.connection is connection and not c.answered]:
            call.scope.cancel()
            if self.calls.get(call.call_id) is call:
                del self.calls[call.call_id]

    # --- calls ---

    def group_state(self) -> p.GroupState:
        """Return the present number of free circuits as a message."""
        free = max(0, self.options.size - len(self.calls))
        return p.GroupState(0, {"spare": free, "total": self.options.size, "allowed": 200})

    def send_group_state(self) -> None:
        """Send the changed number of free circuits on the first open connections."""
        data = p.encode(self.group_state())
        for connection in self.connections[:MAX_GROUP_STATE_RECIPIENTS]:
            self.send(connection, data)

    def handle_message(self, connection: Connection, message: p.Message) -> None:
        """Handle one message of a session controller."""
        if connection.stranded:
            return
        if isinstance(message, p.SetUp):
            self.handle_set_up(connection, message)
        elif isinstance(message, p.Release):
            self.handle_release(connection, message)
        elif isinstance(message, p.HealthCheck):
            self.send(connection, p.encode(p.HealthCheckResult(message.call, True)))

    def handle_set_up(self, connection: Connection, message: p.SetUp) -> None:
        """Refuse or fail a set-up, reset its connection, or start a call."""
        refusal = None
        if len(self.calls) >= self.options.size or self.happens(self.options.refuse):
            refusal = p.Release(message.call, p.ReleaseCause.NO_CIRCUIT, "no_circuit")
        elif self.happens(self.options.fail):
            refusal = p.Release(message.call, p.ReleaseCause.RESOURCE_UNAVAILABLE)
        elif self.happens(self.options.reset):
            self.close_connection(connection, abort=True)
            return
        # Without the option nothing is drawn, so that the trials of earlier seeds stay the same.
        if refusal is None and self.options.overload and self.happens(self.options.overload):
            refusal = p.Release(message.call, p.ReleaseCause.NO_CIRCUIT, "overload")
        if refusal is not None:
            self.send(connection, p.encode(refusal))
            return
        if (previous := self.calls.pop(message.call, None)) is not None:
            previous.scope.cancel()  # an attempt whose answer was lost; the new attempt replaces it
            self.report("released", previous.call_id)
        call = self.calls[message.call] = Call(message.call, connection, trio.CancelScope())
        self.nursery.start_soon(partial(self.run_call, call))

    def handle_release(self, connection: Connection, message: p.Release) -> None:
        """Cancel an unanswered set-up or end an answered call, and confirm the release."""
        call = self.calls.pop(message.call, None)
        self.send(connection, p.encode(p.ReleaseConfirmed(message.call)))
        if call is not None:
            call.scope.cancel()
            self.report("released", call.call_id)
            self.send_group_state()

    async def run_call(self, call: Call) -> None:
        """Answer a call after its answer time and end it after its hold time."""
        with call.scope:
            await trio.sleep(self.draw_seconds(self.options.answer_ms))
            self.answer(call)
            await trio.sleep(self.draw_seconds(self.options.hold_ms))
            self.end_call(call)

    def answer(self, call: Call) -> None:
        """Mark the call as answered and send the answer, unless the options lose or corrupt it."""
        call.answered = True
        self.report("answered", call.call_id, self.port)
        self.send_group_state()
        if self.happens(self.options.lose_answer):
            return
        if self.options.strand_answer and self.happens(self.options.strand_answer):
            call.connection.stranded = True
            return
        data = p.encode(p.Answer(call.call_id, answer_description(self.port, call.call_id)))
        if self.happens(self.options.spoil_answer):
            data = data[:2] + bytes(byte ^ 0x5A for byte in data[2:])
        # Without the option nothing is drawn, so that the trials of earlier seeds stay the same.
        if self.options.truncate_answer and self.happens(self.options.truncate_answer):
            data = data[: -self.random.randint(1, min(MAX_MISSING_BYTES, len(data) - 1))]
            self.send(call.connection, data + p.encode(self.group_state()))
            return
        self.send(call.connection, data)
        if self.happens(self.options.second_answer):
            self.send(call.connection, data)

    def end_call(self, call: Call) -> None:
        """End a call: send its release on its own or another open connection, and again on the next new one."""
        if self.calls.get(call.call_id) is not call:
            return
        del self.calls[call.call_id]
        self.report("ended", call.call_id)
        self.send_group_state()
        data = p.encode(p.Release(call.call_id, p.ReleaseCause.NORMAL))
        connection = call.connection
        if connection.closed and self.connections:
            connection = self.connections[0]
        if not connection.closed:
            self.send_end(connection, call.call_id, data)
        self.pending_releases[call.call_id] = data

    def send_end(self, connection: Connection, call_id: int, data: bytes) -> None:
        """Send the release of an ended call on a connection, whether or not its peer still reads."""
        self.report("told", call_id, connection.peer_port)
        self.send(connection, data)


def peer_port(sock: trio.socket.SocketType) -> int:
    """Return the port of the peer, or 0 if the connection has ended."""
    try:
        return int(sock.getpeername()[1])
    except OSError:
        return 0


def answer_description(port: int, call_id: int) -> bytes:
    """Return the session description in the answer to a call; it differs for every exchange and every call."""
    return b"v=0 %d %016x\xff" % (port, call_id)


def main() -> None:
    """Run an exchange with the address, the options as JSON and the seed of the command line."""
    host, port, options, seed = sys.argv[1], int(sys.argv[2]), json.loads(sys.argv[3]), int(sys.argv[4])
    trio.run(Exchange(host, port, ExchangeOptions(**options), seed).run)


if __name__ == "__main__":
    main()
