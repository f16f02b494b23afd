"""A proxy in front of each exchange: it forwards bytes, injects network faults and records the attempts of calls."""

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
    """One connection from the program to the exchange, forwarded over two sockets."""

    number: int
    process_number: int
    program_sock: trio.socket.SocketType
    accepted_us: int = 0
    exchange_sock: trio.socket.SocketType | None = None
    to_exchange: deque[bytes] = field(default_factory=deque)  # received from the program and not yet forwarded
    writer_wakeup: trio.Event = field(default_factory=trio.Event)
    open_attempts: dict[int, Attempt] = field(default_factory=dict)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    source_port: int = 0  # of the connection to the exchange, which sees it as the port of its peer
    blackholed: bool = False  # stays open, but nothing passes any more
    half_open: bool = False  # reset towards the program, still open to the exchange
    closed: bool = False


class Proxy:
    """The published address of one exchange, and the network between the program and the exchange."""

    def __init__(self, exchange_id: int, port: int, target: int, record: Record, seed: int) -> None:
        self.exchange_id = exchange_id
        self.port = port
        self.target = target
        self.record = record
        self.random = random.Random(seed)
        self.host = loopback_address(record.seed)
        self.listener = SuspendableListener(self.host, port)
        self.links: list[Link] = []
        self.by_source_port: dict[int, Link] = {}  # includes closed connections
        self.accepted = 0
        self.process_number = 0  # number of the program's present process
        self._network_up = trio.Event()
        self._network_up.set()

    async def run(self) -> None:
        """Accept and forward connections until cancelled."""
        await self.listener.open()
        async with trio.open_nursery() as nursery:
            while True:
                sock = await self.listener.accept()
                nursery.start_soon(self.forward, sock)

    # --- faults ---

    def cut_network(self) -> None:
        """Cut the network to the exchange: open connections stay open but pass nothing, connects get no reply."""
        self._network_up = trio.Event()
        self.listener.suspend()

    def restore_network(self) -> None:
        """Restore the network; bytes that were delayed are forwarded."""
        self.listener.resume()
        self._network_up.set()

    def lose_host(self) -> None:
        """Let the host of the exchange vanish: open connections never pass anything again, connects get no reply."""
        self.listener.suspend()
        for link in self.links:
            link.blackholed = True

    def replace_host(self, target: int) -> None:
        """Let another host take over the address: it resets the connections of the old host, which it does not know."""
        self.target = target
        for link in list(self.links):
            if link.blackholed:
                self.end_link(link, AttemptEnd.BROKEN, abort=True)
        self.listener.resume()
        self._network_up.set()

    def stop_listening(self) -> None:
        """Stop listening, so that connects are refused."""
        self.listener.close()

    async def start_listening(self) -> None:
        """Listen at the address again."""
        await self.listener.open()

    def close_some(self, share: float, abort: bool) -> None:
        """Close some of the connections, with a reset if `abort` is set."""
        for link in list(self.links):
            if not link.blackholed and self.random.random() < share:
                self.end_link(link, AttemptEnd.BROKEN, abort)

    def reset_program_side(self, share: float) -> None:
        """Reset some of the connections towards the program only; to the exchange they stay open."""
        for link in self.links:
            if not link.blackholed and not link.half_open and self.random.random() < share:
                link.half_open = True
                for attempt in list(link.open_attempts.values()):
                    self.end_attempt(link, attempt.call_id, AttemptEnd.BROKEN)
                close_with_reset(link.program_sock)

    def blackhole_some(self, share: float) -> None:
        """Drop the network state of some connections: they stay open, but nothing passes any more."""
        for link in self.links:
            link.blackholed = link.blackholed or self.random.random() < share

    # --- connections ---

    async def forward(self, program_sock: trio.socket.SocketType) -> None:
        """Forward one connection in both directions until it ends."""
        self.accepted += 1
        link = Link(self.accepted, self.process_number, program_sock, accepted_us=now_us())
        self.links.append(link)
        try:
            with link.scope:
                link.exchange_sock = trio.socket.socket()
                try:
                    await link.exchange_sock.connect((self.host, self.target))
                    link.source_port = link.exchange_sock.getsockname()[1]
                    self.by_source_port[link.source_port] = link
                except (OSError, trio.ClosedResourceError):  # or the link was closed during the connect
                    self.end_link(link, AttemptEnd.BROKEN, abort=True)
                    return
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.read_from_program, link)
                    nursery.start_soon(self.write_to_exchange, link)
                    nursery.start_soon(self.forward_to_program, link)
        finally:
            self.end_link(link, AttemptEnd.BROKEN)

    def end_link(self, link: Link, end: AttemptEnd, abort: bool = False) -> None:
        """Close both sides of a link and end the open attempts on it."""
        if link.closed:
            return
        link.closed = True
        self.links.remove(link)
        for attempt in list(link.open_attempts.values()):
            self.end_attempt(link, attempt.call_id, end)
        if abort:
            close_with_reset(link.program_sock)
        else:
            link.program_sock.close()
        if link.exchange_sock is not None:
            link.exchange_sock.close()
        link.scope.cancel()

    async def wait_for_network(self, link: Link) -> None:
        """Wait until the network passes bytes of a link; for ever if the link is blackholed."""
        while link.blackholed:
            await trio.sleep_forever()
        await self._network_up.wait()

    async def read_from_program(self, link: Link) -> None:
        """Receive and record the messages of the program. They count as sent even while the network is cut."""
        decoder = p.message_decoder()
        abort = False
        try:
            while data := await link.program_sock.recv(RECEIVE_BYTES):
                for message in decoder.feed(data):
                    self.record_to_exchange(link, message)
                link.to_exchange.append(data)
                link.writer_wakeup.set()
        except (OSError, trio.ClosedResourceError):
            abort = True
        if link.half_open:
            await trio.sleep_forever()
        self.end_link(link, AttemptEnd.CLOSED, abort)

    async def write_to_exchange(self, link: Link) -> None:
        """Forward the bytes of the program to the exchange while the network is up."""
        assert link.exchange_sock is not None
        try:
            while True:
                while link.to_exchange:
                    await self.wait_for_network(link)
                    await send_all(link.exchange_sock, link.to_exchange.popleft())
                link.writer_wakeup = trio.Event()
                await link.writer_wakeup.wait()
        except (OSError, trio.ClosedResourceError):
            await trio.sleep_forever()  # `forward_to_program` notices the end of the connection

    async def forward_to_program(self, link: Link) -> None:
        """Forward the bytes of the exchange to the program and record the messages in them."""
        assert link.exchange_sock is not None
        decoder = p.message_decoder()
        decodable, abort = True, False
        try:
            while data := await link.exchange_sock.recv(RECEIVE_BYTES):
                await self.wait_for_network(link)
                if link.half_open:
                    continue
                await send_all(link.program_sock, data)
                if decodable:
                    try:
                        for message in decoder.feed(data):
                            self.record_to_program(link, message)
                    except p.ProtocolError:
                        decodable = False  # a corrupted answer: the rest cannot be decoded either
        except (OSError, trio.ClosedResourceError):
            abort = True
        if link.blackholed:
            await trio.sleep_forever()
        await self.wait_for_network(link)
        self.end_link(link, AttemptEnd.BROKEN, abort)

    # --- the record ---

    def record_to_exchange(self, link: Link, message: p.Message) -> None:
        """Record a message that the program has written to the exchange."""
        now = now_us()
        if isinstance(message, p.SetUp):
            attempt = Attempt(message.call, self.exchange_id, link.number, now)
            self.record.attempts.append(attempt)
            link.open_attempts[message.call] = attempt
        elif isinstance(message, p.Release):
            self.end_attempt(link, message.call, AttemptEnd.GIVEN_UP)

    def record_to_program(self, link: Link, message: p.Message) -> None:
        """Record a message that has been forwarded to the program."""
        if isinstance(message, p.Answer):
            self.end_attempt(link, message.call, AttemptEnd.ANSWERED)
        elif isinstance(message, p.Release):
            if message.call in link.open_attempts:
                reset_reported = message.cause == p.ReleaseCause.TEMPORARY_FAILURE
                end = AttemptEnd.RESET_REPORTED if reset_reported else AttemptEnd.REFUSED
                self.end_attempt(link, message.call, end)
            elif standing := self.record.standing.get((self.exchange_id, message.call)):
                standing.delivered_us = standing.delivered_us or now_us()
                standing.delivered_on_link = standing.delivered_on_link or link.number

    def describe(self, source_port: int) -> str:
        """Describe the link with a source port and its state, for the text of a violation."""
        link = self.by_source_port.get(source_port)
        if link is None:
            return "a connection that had ended"
        states = {"closed": link.closed, "half open": link.half_open, "forgotten": link.blackholed}
        state = next((state for state, holds in states.items() if holds), "open")
        return f"link {link.number} ({state}, accepted at {link.accepted_us / SECOND:.3f})"

    @staticmethod
    def end_attempt(link: Link, call_id: int, end: AttemptEnd) -> None:
        """Record how the open attempt of a call on a link ended, if there is one."""
        attempt = link.open_attempts.pop(call_id, None)
        if attempt is not None:
            attempt.end, attempt.end_us = end, now_us()
