"""Clients of the program: good ones, and those that give up early, repeat, dawdle or send nonsense.

Each owns one connection at a time. What the program says to any of them is entered in the record; nothing is judged
here.
"""

from __future__ import annotations

import contextlib
import random
from collections import deque
from dataclasses import dataclass

import trio

from latchturn import protocol as p

from .clock import now_us
from .program import CLASS_NAMES, TENANT
from .record import Call, Record
from .sockets import reset, send_all

RECEIVE = 64 * 1024
REFUSED_PAUSE_S = 0.05
HALF_CLOSE_STEP_S = 0.001
PIECES_S = (0.01, 1.2)
ABSENT_S = (1.0, 4.0)


@dataclass(slots=True, frozen=True)
class Habits:
    """How a client behaves; shares are between 0 and 1."""

    name: str
    rate: float  # set-ups a second
    gives_up: float = 0.0  # set-ups that are given up early
    repeats: float = 0.0  # refusals after which it comes again at once
    ends_calls: float = 0.2  # standing calls that it ends itself
    pieces: float = 0.0  # set-ups that it writes in pieces
    nonsense: float = 0.0  # messages that cannot be used or read
    confirms: bool = True  # whether it confirms releases
    hangs_up: float = 0.0  # set-ups after which it closes at once
    half_closes: float = 0.0  # set-ups behind which it sends its end, and goes on to read
    absent: float = 0.0  # moments without an open set-up at which it stops reading for some time


class Ids:
    """Ids of calls, each used once in a trial."""

    def __init__(self, seed: int) -> None:
        self._next = (seed + 1) << 32

    def next(self) -> int:
        """An id that no call has had."""
        self._next += 1
        return self._next


class Client:
    """One client and its present connection."""

    def __init__(
        self, habits: Habits, address: tuple[str, int], record: Record, ids: Ids, destinations: list[int], seed: int
    ) -> None:
        self.habits = habits
        self.address = address
        self.record = record
        self.ids = ids
        self.destinations = destinations
        self.random = random.Random(seed)
        self.process = 0  # that accepted the connection
        self.garbled = False  # whether it has sent what cannot be read on the present connection
        self.open: dict[int, Call] = {}  # on the present connection, without an answer
        self.may_connect = True
        self.outbox: deque[tuple[bytes, Call | None]] = deque()
        self.wake = trio.Event()
        self.reading = trio.Event()  # set while it reads
        self.reading.set()

    async def run(self) -> None:
        """Connect, call and listen until cancelled."""
        while True:
            sock = await self.connect()
            self.open, self.outbox, self.wake, self.garbled = {}, deque(), trio.Event(), False
            self.reading.set()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.listen, sock, nursery.cancel_scope)
                nursery.start_soon(self.write, sock)
                nursery.start_soon(self.call, sock)
            self.close(sock)

    async def connect(self) -> trio.socket.SocketType:
        """A connection to the program, as soon as one comes up."""
        while True:
            if self.may_connect:
                sock = trio.socket.socket()
                try:
                    await sock.connect(self.address)
                    self.process = len(self.record.processes)
                    return sock
                except OSError:
                    sock.close()
            await trio.sleep(REFUSED_PAUSE_S)

    def close(self, sock: trio.socket.SocketType) -> None:
        """The connection is over, as the client sees it."""
        now = now_us()
        for call in self.open.values():
            call.closed_us = now
        self.open = {}
        sock.close()

    # --- calls ---

    async def call(self, sock: trio.socket.SocketType) -> None:
        """Set up calls at the client's pace."""
        while True:
            await trio.sleep(self.random.expovariate(self.habits.rate))
            if self.random.random() < self.habits.nonsense:
                self.send(self.nonsense())
                continue
            if not self.open and self.happens(self.habits.absent):
                self.reading = trio.Event()
                await trio.sleep(self.random.uniform(*ABSENT_S))
                self.reading.set()
            call = self.set_up()
            if self.happens(self.habits.half_closes):
                await self.half_close(sock, call)
            elif self.random.random() < self.habits.hangs_up:
                self.hang_up(sock)
            elif self.random.random() < self.habits.gives_up:
                await trio.sleep(self.random.uniform(0, 0.3))
                if not call.finals:
                    call.gave_up_us = now_us()
                    self.send(p.encode(p.Release(call.ident, p.ReleaseCause.NORMAL)))

    def happens(self, share: float) -> bool:
        """Draw whether something of a given share happens; without a draw where it never does."""
        return share > 0 and self.random.random() < share

    async def half_close(self, sock: trio.socket.SocketType, call: Call) -> None:
        """Send no more behind a set-up, and wait for all that is open."""
        while not call.sent_us:
            await trio.sleep(HALF_CLOSE_STEP_S)
        with contextlib.suppress(OSError):
            sock.shutdown(trio.socket.SHUT_WR)
        await trio.sleep_forever()  # `listen` sees the end

    def set_up(self) -> Call:
        """Put one set-up in line."""
        ident = self.ids.next()
        kind = self.random.randrange(len(CLASS_NAMES))
        wait_us = self.record.longest_wait_us // (1 + kind)
        figures = {"dest": self.random.choice(self.destinations), "width": 1, "via": -1}
        class_name = p.settings_text(CLASS_NAMES[kind])
        message = p.SetUp(ident, class_name, wait_us // 1000, f"{ident:016x}", b"v=0\xff", figures, TENANT)
        call = Call(ident, self.habits.name, self.process, 0, wait_us, bad=self.garbled)
        self.open[ident] = call
        self.send(p.encode(message), call)
        return call

    def hang_up(self, sock: trio.socket.SocketType) -> None:
        """Reset the connection: all that is open on it is given up."""
        for call in self.open.values():
            call.gave_up_us = now_us()
        reset(sock)

    def send(self, data: bytes, call: Call | None = None) -> None:
        """Put a message in line; the call is entered in the record once its set-up is written."""
        self.outbox.append((data, call))
        self.wake.set()

    async def write(self, sock: trio.socket.SocketType) -> None:
        """Write what is in line, now and then in pieces."""
        try:
            while True:
                while self.outbox:
                    data, call = self.outbox.popleft()
                    if self.random.random() < self.habits.pieces:
                        middle = self.random.randrange(1, len(data))
                        await send_all(sock, data[:middle])
                        await trio.sleep(self.random.uniform(*PIECES_S))
                        data = data[middle:]
                    await send_all(sock, data)
                    if call is not None:
                        call.sent_us = now_us()
                        self.record.calls[call.ident] = call
                self.wake = trio.Event()
                await self.wake.wait()
        except (OSError, trio.ClosedResourceError):
            await trio.sleep_forever()  # `listen` sees the end

    def nonsense(self) -> bytes:
        """Something that no client should send."""
        choice = self.random.randrange(5)
        if choice == 0:
            self.garbled = True  # what follows may be taken for a part of it
            for call in self.open.values():
                call.bad = True
            return self.random.randbytes(self.random.randrange(1, 80))
        if choice == 1:
            return p.encode(p.Release(self.random.getrandbits(63), p.ReleaseCause.NORMAL))
        if choice == 2 and self.open:
            call = self.random.choice(list(self.open.values()))
            call.bad = True
            return p.encode(p.SetUp(call.ident, "none", 100, "00", b"x", {"dest": 1, "width": 1}, TENANT))
        if choice == 3:
            return p.encode(p.SetUp(self.ids.next(), "none", 0, "xyz", b"x", {"dest": 1, "width": 7}, "nobody"))
        return p.encode(p.HealthCheck(self.random.getrandbits(63)))

    # --- what the program says ---

    async def listen(self, sock: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        """Hear the program until the connection ends."""
        decoder = p.message_decoder()
        try:
            while data := await self.receive(sock):
                for message in decoder.feed(data):
                    self.hear(message)
        except (OSError, trio.ClosedResourceError):
            pass
        except p.ProtocolError as error:
            self.record.strange.append(f"{self.habits.name} cannot read the program: {error}")
        scope.cancel()

    async def receive(self, sock: trio.socket.SocketType) -> bytes:
        """What comes next, as soon as the client reads."""
        if sock.fileno() < 0:
            raise trio.ClosedResourceError  # it has hung up
        await trio.lowlevel.wait_readable(sock)
        await self.reading.wait()
        return await sock.recv(RECEIVE)

    def hear(self, message: p.Message) -> None:
        """One message of the program."""
        call = self.record.calls.get(message.call) or self.open.get(message.call)
        if isinstance(message, p.Answer):
            self.hear_answer(call, message)
        elif isinstance(message, p.Release):
            self.hear_release(call, message)

    def hear_answer(self, call: Call | None, message: p.Answer) -> None:
        """The call stands; now and then the client ends it at once."""
        self.open.pop(message.call, None)
        if call is None:
            self.record.strange.append(f"an answer to call {message.call:016x}, which nobody made")
            return
        call.finals.append((now_us(), "answered"))
        call.answered_us = call.answered_us or now_us()
        call.description = message.description
        if self.random.random() < self.habits.ends_calls:
            call.ended_by_client_us = now_us()
            self.send(p.encode(p.Release(call.ident, p.ReleaseCause.NORMAL)))

    def hear_release(self, call: Call | None, message: p.Release) -> None:
        """A refusal or failure, or the end of a call that stood."""
        mine = self.open.pop(message.call, None)
        if call is not None and call.answered_us:
            call.released_us = call.released_us or now_us()
        elif call is not None and (mine or call.finals) and call.process == self.process:
            call.finals.append((now_us(), f"cause {message.cause}"))
        if mine is None:
            if self.habits.confirms:
                self.send(p.encode(p.ReleaseConfirmed(message.call)))
        elif self.random.random() < self.habits.repeats:
            self.set_up()


ABSENT = Habits("absent", 8.0, absent=0.1, half_closes=0.03)
HABITS = (
    Habits("steady", 12.0),
    Habits("steady", 6.0),
    Habits("impatient", 6.0, gives_up=0.5),
    Habits("repeating", 5.0, repeats=0.9),
    Habits("slow", 4.0, pieces=0.4),
    Habits("rude", 5.0, nonsense=0.5, confirms=False),
    Habits("leaving", 3.0, hangs_up=0.3),
)
