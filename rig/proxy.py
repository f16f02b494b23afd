"""A proxy before each exchange: it forwards bytes, cuts, holds and resets connections, and records what passes."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import trio

from latchturn import protocol as p

from .clock import SECOND, now_us
from .record import Attempt, AttemptEnd, Record
from .sockets import SuspendableListener, close_with_reset, loopback_address, send_all

RECEIVE_BYTES = 64 * 1024


@dataclass(slots=True, eq=False)
class Link:
    """One connection from the program to the exchange."""

    number: int
    process_number: int
    near: trio.socket.SocketType
    accepted_us: int = 0
    far: trio.socket.SocketType | None = None
    held: deque[bytes] = field(default_factory=deque)  # on the way to the exchange
    writer_wakeup: trio.Event = field(default_factory=trio.Event)
    open_attempts: dict[int, Attempt] = field(default_factory=dict)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    far_port: int = 0  # by which the exchange knows it
    lost: bool = False  # the machine behind it is no more: it stays open and silent
    halved: bool = False  # reset towards the program, and open to the exchange
    closed: bool = False


class Proxy:
    """The address of one exchange, and the network to it."""

    def __init__(self, exchange: int, port: int, target: int, record: Record, seed: int) -> None:
        self.exchange = exchange
        self.port = port
        self.target = target
        self.record = record
        self.random = random.Random(seed)
        self.host = loopback_address(record.seed)
        self.listener = SuspendableListener(self.host, port)
        self.links: list[Link] = []
        self.by_far_port: dict[int, Link] = {}  # also those that are closed
        self.accepted = 0
        self.process_number = 0  # number of the program's process
        self._passes = trio.Event()
        self._passes.set()

    async def run(self) -> None:
        """Accept and forward until cancelled."""
        await self.listener.open()
        async with trio.open_nursery() as nursery:
            while True:
                sock = await self.listener.accept()
                nursery.start_soon(self.forward, sock)

    # --- faults ---

    def cut(self) -> None:
        """The network to the exchange is cut: open connections stay open and silent, new ones never come up."""
        self._passes = trio.Event()
        self.listener.suspend()

    def heal(self) -> None:
        """The network passes again, with all that was held."""
        self.listener.resume()
        self._passes.set()

    def lose_machine(self) -> None:
        """The machine vanishes: what is open stays silent for ever."""
        self.listener.suspend()
        for link in self.links:
            link.lost = True

    def new_machine(self, target: int) -> None:
        """Another machine has the address: it resets what it does not know."""
        self.target = target
        for link in list(self.links):
            if link.lost:
                self.end_link(link, AttemptEnd.BROKEN, abort=True)
        self.listener.resume()
        self._passes.set()

    def refuse(self) -> None:
        """Nothing listens at the address."""
        self.listener.close()

    async def listen_again(self) -> None:
        """Something listens at the address again."""
        await self.listener.open()

    def break_some(self, share: float, abort: bool) -> None:
        """Reset some of the connections, or close them."""
        for link in list(self.links):
            if not link.lost and self.random.random() < share:
                self.end_link(link, AttemptEnd.BROKEN, abort)

    def halve_some(self, share: float) -> None:
        """The network resets some of the connections towards the program alone: to the exchange they stay open."""
        for link in self.links:
            if not link.lost and not link.halved and self.random.random() < share:
                link.halved = True
                for attempt in list(link.open_attempts.values()):
                    self.end_attempt(link, attempt.call, AttemptEnd.BROKEN)
                close_with_reset(link.near)

    def forget_some(self, share: float) -> None:
        """The network forgets some of the connections: they stay open, and nothing passes any more."""
        for link in self.links:
            link.lost = link.lost or self.random.random() < share

    # --- connections ---

    async def forward(self, near: trio.socket.SocketType) -> None:
        """One connection, both ways."""
        self.accepted += 1
        link = Link(self.accepted, self.process_number, near, accepted_us=now_us())
        self.links.append(link)
        try:
            with link.scope:
                link.far = trio.socket.socket()
                try:
                    await link.far.connect((self.host, self.target))
                    link.far_port = link.far.getsockname()[1]
                    self.by_far_port[link.far_port] = link
                except (OSError, trio.ClosedResourceError):  # or it has been broken meanwhile
                    self.end_link(link, AttemptEnd.BROKEN, abort=True)
                    return
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.read_from_program, link)
                    nursery.start_soon(self.write_to_exchange, link)
                    nursery.start_soon(self.pump_to_program, link)
        finally:
            self.end_link(link, AttemptEnd.BROKEN)

    def end_link(self, link: Link, why: AttemptEnd, abort: bool = False) -> None:
        """A connection is over: the set-ups open on it are given up."""
        if link.closed:
            return
        link.closed = True
        self.links.remove(link)
        for attempt in list(link.open_attempts.values()):
            self.end_attempt(link, attempt.call, why)
        if abort:
            close_with_reset(link.near)
        else:
            link.near.close()
        if link.far is not None:
            link.far.close()
        link.scope.cancel()

    async def passes(self, link: Link) -> None:
        """Wait until the network passes bytes of a connection."""
        while link.lost:
            await trio.sleep_forever()
        await self._passes.wait()

    async def read_from_program(self, link: Link) -> None:
        """Hear the program. What it has written counts as written, also while the network is cut."""
        decoder = p.message_decoder()
        abort = False
        try:
            while data := await link.near.recv(RECEIVE_BYTES):
                for message in decoder.feed(data):
                    self.note_to_exchange(link, message)
                link.held.append(data)
                link.writer_wakeup.set()
        except (OSError, trio.ClosedResourceError):
            abort = True
        if link.halved:
            await trio.sleep_forever()
        self.end_link(link, AttemptEnd.CLOSED, abort)

    async def write_to_exchange(self, link: Link) -> None:
        """Pass on what the program has written, as the network lets it."""
        assert link.far is not None
        try:
            while True:
                while link.held:
                    await self.passes(link)
                    await send_all(link.far, link.held.popleft())
                link.writer_wakeup = trio.Event()
                await link.writer_wakeup.wait()
        except (OSError, trio.ClosedResourceError):
            await trio.sleep_forever()  # `pump_to_program` sees the end

    async def pump_to_program(self, link: Link) -> None:
        """From the exchange to the program."""
        assert link.far is not None
        decoder = p.message_decoder()
        readable, abort = True, False
        try:
            while data := await link.far.recv(RECEIVE_BYTES):
                await self.passes(link)
                if link.halved:
                    continue
                await send_all(link.near, data)
                if readable:
                    try:
                        for message in decoder.feed(data):
                            self.note_to_program(link, message)
                    except p.ProtocolError:
                        readable = False  # a spoilt answer
        except (OSError, trio.ClosedResourceError):
            abort = True
        if link.lost:
            await trio.sleep_forever()
        await self.passes(link)
        self.end_link(link, AttemptEnd.BROKEN, abort)

    # --- the record ---

    def note_to_exchange(self, link: Link, message: p.Message) -> None:
        """The program has written a message."""
        now = now_us()
        if isinstance(message, p.SetUp):
            attempt = Attempt(message.call, self.exchange, link.number, now)
            self.record.attempts.append(attempt)
            link.open_attempts[message.call] = attempt
        elif isinstance(message, p.Release):
            self.end_attempt(link, message.call, AttemptEnd.GIVEN_UP)

    def note_to_program(self, link: Link, message: p.Message) -> None:
        """A message has been passed to the program."""
        if isinstance(message, p.Answer):
            self.end_attempt(link, message.call, AttemptEnd.ANSWERED)
        elif isinstance(message, p.Release):
            if message.call in link.open_attempts:
                reset_told = message.cause == p.ReleaseCause.TEMPORARY_FAILURE
                end = AttemptEnd.RESET_TOLD if reset_told else AttemptEnd.REFUSED
                self.end_attempt(link, message.call, end)
            elif standing := self.record.standing.get((self.exchange, message.call)):
                standing.delivered_us = standing.delivered_us or now_us()
                standing.delivered_on = standing.delivered_on or link.number

    def describe(self, far_port: int) -> str:
        """A connection and its state, by the port that the exchange knows it by."""
        link = self.by_far_port.get(far_port)
        if link is None:
            return "a connection that had ended"
        states = {"closed": link.closed, "half open": link.halved, "forgotten": link.lost}
        state = next((state for state, holds in states.items() if holds), "open")
        return f"link {link.number} ({state}, accepted at {link.accepted_us / SECOND:.3f})"

    @staticmethod
    def end_attempt(link: Link, call: int, end: AttemptEnd) -> None:
        """The attempt of a call on a connection is over."""
        attempt = link.open_attempts.pop(call, None)
        if attempt is not None:
            attempt.end, attempt.end_us = end, now_us()
