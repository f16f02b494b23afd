"""Clients of the program: good ones, and those that give up early, repeat, dawdle or send nonsense.

Each owns one connection at a time. What the program says to any of them is entered in the record; nothing is judged
here.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import trio

from latchturn import protocol as p

from .clock import now_us
from .program import CLASS_NAMES, TENANT
from .record import Call, Record
from .sockets import reset, send_all

RECEIVE = 64 * 1024
REFUSED_PAUSE_S = 0.05
PIECES_S = (0.01, 1.2)


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

    def __init__(self, habits: Habits, port: int, record: Record, ids: Ids, destinations: list[int], seed: int) -> None:
        self.habits = habits
        self.address = ("127.0.0.1", port)
        self.record = record
        self.ids = ids
        self.destinations = destinations
        self.random = random.Random(seed)
        self.sock: trio.socket.SocketType | None = None
        self.process = 0  # that accepted the connection
        self.open: dict[int, Call] = {}  # on the present connection, without an answer
        self.may_connect = True
        self.stopped = False
        self._writing = trio.Lock()

    async def run(self) -> None:
        """Connect, call and listen until cancelled."""
        while True:
            sock = await self.connect()
            self.sock, self.open = sock, {}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.listen, sock, nursery.cancel_scope)
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
        self.sock = None
        sock.close()

    # --- calls ---

    async def call(self, sock: trio.socket.SocketType) -> None:
        """Set up calls at the client's pace."""
        try:
            while True:
                await trio.sleep(self.random.expovariate(self.habits.rate))
                if self.stopped:
                    continue
                if self.random.random() < self.habits.nonsense:
                    await self.send_nonsense(sock)
                else:
                    await self.set_up(sock)
        except (OSError, trio.ClosedResourceError):
            await trio.sleep_forever()  # `listen` sees the end

    async def set_up(self, sock: trio.socket.SocketType) -> None:
        """One set-up, and what the client does right after it."""
        ident = self.ids.next()
        kind = self.random.randrange(len(CLASS_NAMES))
        wait_us = self.record.longest_wait_us // (1 + kind)
        figures = {"dest": self.random.choice(self.destinations), "width": 1, "via": -1}
        message = p.SetUp(
            ident, p.settings_word(CLASS_NAMES[kind]), wait_us // 1000, f"{ident:016x}", b"v=0\xff", figures, TENANT
        )
        call = Call(ident, self.habits.name, self.process, 0, wait_us)
        self.open[ident] = call
        await self.write(sock, p.encode(message))
        call.sent_us = now_us()
        self.record.calls[ident] = call
        if self.random.random() < self.habits.hangs_up:
            call.gave_up_us = now_us()
            reset(sock)
        elif self.random.random() < self.habits.gives_up:
            await trio.sleep(self.random.uniform(0, 0.3))
            if not call.finals:
                call.gave_up_us = now_us()
                await self.write(sock, p.encode(p.Release(ident, p.ReleaseCause.NORMAL)))

    async def write(self, sock: trio.socket.SocketType, data: bytes) -> None:
        """Write a message, now and then in pieces."""
        async with self._writing:
            if self.random.random() < self.habits.pieces:
                middle = self.random.randrange(1, len(data))
                await send_all(sock, data[:middle])
                await trio.sleep(self.random.uniform(*PIECES_S))
                data = data[middle:]
            await send_all(sock, data)

    async def send_nonsense(self, sock: trio.socket.SocketType) -> None:
        """Something that no client should send."""
        choice = self.random.randrange(5)
        if choice == 0:
            await self.write(sock, self.random.randbytes(self.random.randrange(1, 80)))
        elif choice == 1:
            await self.write(sock, p.encode(p.Release(self.random.getrandbits(63), p.ReleaseCause.NORMAL)))
        elif choice == 2 and self.open:
            call = self.random.choice(list(self.open.values()))
            call.bad = True
            again = p.SetUp(call.ident, "none", 100, "00", b"x", {"dest": 1, "width": 1}, TENANT)
            await self.write(sock, p.encode(again))
        elif choice == 3:
            unusable = p.SetUp(self.ids.next(), "none", 0, "xyz", b"x", {"dest": 1, "width": 7}, "nobody")
            await self.write(sock, p.encode(unusable))
        else:
            await self.write(sock, p.encode(p.Test(self.random.getrandbits(63))))

    # --- what the program says ---

    async def listen(self, sock: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        """Hear the program until the connection ends."""
        decoder = p.message_decoder()
        try:
            while data := await sock.recv(RECEIVE):
                for message in decoder.feed(data):
                    await self.hear(sock, message)
        except (OSError, trio.ClosedResourceError):
            pass
        except p.ProtocolError as error:
            self.record.strange.append(f"{self.habits.name} cannot read the program: {error}")
        scope.cancel()

    async def hear(self, sock: trio.socket.SocketType, message: p.Message) -> None:
        """One message of the program."""
        call = self.record.calls.get(message.call) or self.open.get(message.call)
        now = now_us()
        if isinstance(message, p.Answer):
            self.hear_answer(call, message, now)
            if call is not None and self.random.random() < self.habits.ends_calls:
                await trio.sleep(0)
                call.ended_by_client_us = now_us()
                await self.write(sock, p.encode(p.Release(call.ident, p.ReleaseCause.NORMAL)))
        elif isinstance(message, p.Release):
            await self.hear_release(sock, call, message, now)

    def hear_answer(self, call: Call | None, message: p.Answer, now: int) -> None:
        """The call stands."""
        self.open.pop(message.call, None)
        if call is None:
            self.record.strange.append(f"an answer to call {message.call:016x}, which nobody made")
            return
        call.finals.append((now, "answered"))
        call.answered_us = call.answered_us or now
        call.description = message.description

    async def hear_release(self, sock: trio.socket.SocketType, call: Call | None, message: p.Release, now: int) -> None:
        """A refusal or failure, or the end of a call that stood."""
        self.open.pop(message.call, None)
        if call is not None and call.answered_us:
            call.released_us = call.released_us or now
        elif call is not None:
            call.finals.append((now, f"cause {message.cause}"))
        if call is None or not call.answered_us:
            if self.random.random() < self.habits.repeats:
                await self.set_up(sock)
            return
        if self.habits.confirms:
            await self.write(sock, p.encode(p.ReleaseHeard(message.call)))


HABITS = (
    Habits("steady", 12.0),
    Habits("steady", 6.0),
    Habits("impatient", 6.0, gives_up=0.5),
    Habits("repeating", 5.0, repeats=0.9),
    Habits("slow", 4.0, pieces=0.4),
    Habits("rude", 5.0, nonsense=0.5, confirms=False),
    Habits("leaving", 3.0, hangs_up=0.3),
)
