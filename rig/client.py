"""Clients of the program: correct ones, and ones that give up early, redial, write slowly or send invalid messages.

Each client has one connection at a time. It enters everything that the program sends to it in the record of the trial;
`rig.rules` checks the record.
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
from .sockets import close_with_reset, send_all

RECEIVE_BYTES = 64 * 1024
RECONNECT_PAUSE_S = 0.05
HALF_CLOSE_POLL_S = 0.001
PIECE_PAUSE_S = (0.01, 1.2)  # shortest and longest pause between two pieces of a message
ABSENCE_S = (1.0, 4.0)  # shortest and longest time without reading


@dataclass(slots=True, frozen=True)
class ClientProfile:
    """How a client behaves.

    The client acts in turns at random times, with a mean rate of `set_ups_per_s`. Shares are between 0 and 1; each is
    the share of the events named in its comment.
    """

    name: str
    set_ups_per_s: float
    give_up_share: float = 0.0  # set-ups that the client cancels early
    redial_share: float = 0.0  # refusals after which the client redials at once
    end_share: float = 0.2  # answered calls that the client releases itself
    pieces_share: float = 0.0  # messages that the client writes in two pieces
    unexpected_share: float = 0.0  # turns in which the client sends an invalid or unexpected message
    confirms_releases: bool = True
    hang_up_share: float = 0.0  # set-ups after which the client resets its connection at once
    half_close_share: float = 0.0  # set-ups after which the client half-closes its connection and still reads
    absence_share: float = 0.0  # turns without an unanswered set-up in which the client stops reading for ABSENCE_S


class CallIds:
    """Generates the ids of calls; each id is used once in a trial."""

    def __init__(self, seed: int) -> None:
        self._next = (seed + 1) << 32

    def next(self) -> int:
        """Return an id that no call has had."""
        self._next += 1
        return self._next


class Client:
    """One client and its present connection to the program."""

    def __init__(
        self,
        profile: ClientProfile,
        address: tuple[str, int],
        record: Record,
        call_ids: CallIds,
        destinations: list[int],
        seed: int,
    ) -> None:
        self.profile = profile
        self.address = address
        self.record = record
        self.call_ids = call_ids
        self.destinations = destinations
        self.random = random.Random(seed)
        self.process_number = 0  # number of the program's process that accepted the connection
        self.sent_garbage = False  # whether the client has sent undecodable bytes on the present connection
        self.unanswered: dict[int, Call] = {}  # set-ups on the present connection without a final answer, by call id
        self.may_connect = True  # false while the program shuts down
        self.outbox: deque[tuple[bytes, Call | None]] = deque()
        self.writer_wakeup = trio.Event()
        self.reading_allowed = trio.Event()  # set while the client reads
        self.reading_allowed.set()

    async def run(self) -> None:
        """Connect, place calls and read messages until cancelled; connect again whenever the connection ends."""
        while True:
            sock = await self.connect()
            self.unanswered, self.outbox, self.writer_wakeup, self.sent_garbage = {}, deque(), trio.Event(), False
            self.reading_allowed.set()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.receive_messages, sock, nursery.cancel_scope)
                nursery.start_soon(self.write, sock)
                nursery.start_soon(self.place_calls, sock)
            self.close(sock)

    async def connect(self) -> trio.socket.SocketType:
        """Return a connection to the program, retrying until one is established."""
        while True:
            if self.may_connect:
                sock = trio.socket.socket()
                try:
                    await sock.connect(self.address)
                    self.process_number = len(self.record.processes)
                    return sock
                except OSError:
                    sock.close()
            await trio.sleep(RECONNECT_PAUSE_S)

    def close(self, sock: trio.socket.SocketType) -> None:
        """Close the connection and record its end for the set-ups that are still unanswered."""
        now = now_us()
        for call in self.unanswered.values():
            call.closed_us = now
        self.unanswered = {}
        sock.close()

    # --- calls ---

    async def place_calls(self, sock: trio.socket.SocketType) -> None:
        """Send set-ups at the rate of the profile, with the faults of the profile."""
        while True:
            await trio.sleep(self.random.expovariate(self.profile.set_ups_per_s))
            if self.random.random() < self.profile.unexpected_share:
                self.send(self.unexpected_message())
                continue
            if not self.unanswered and self.happens(self.profile.absence_share):
                self.reading_allowed = trio.Event()
                await trio.sleep(self.random.uniform(*ABSENCE_S))
                self.reading_allowed.set()
            call = self.set_up()
            if self.happens(self.profile.half_close_share):
                await self.half_close(sock, call)
            elif self.random.random() < self.profile.hang_up_share:
                self.hang_up(sock)
            elif self.random.random() < self.profile.give_up_share:
                await trio.sleep(self.random.uniform(0, 0.3))
                if not call.final_answers:
                    call.gave_up_us = now_us()
                    self.send(p.encode(p.Release(call.call_id, p.ReleaseCause.NORMAL)))

    def happens(self, share: float) -> bool:
        """Draw whether an event with a given share happens; a share of 0 takes no draw."""
        return share > 0 and self.random.random() < share

    async def half_close(self, sock: trio.socket.SocketType, call: Call) -> None:
        """Half-close the connection once the set-up is written; the answers are still read."""
        while not call.sent_us:
            await trio.sleep(HALF_CLOSE_POLL_S)
        with contextlib.suppress(OSError):
            sock.shutdown(trio.socket.SHUT_WR)
        await trio.sleep_forever()  # `receive_messages` notices the end of the connection

    def set_up(self) -> Call:
        """Queue one set-up and return its record."""
        call_id = self.call_ids.next()
        class_index = self.random.randrange(len(CLASS_NAMES))
        wait_us = self.record.longest_wait_us // (1 + class_index)
        figures = {"dest": self.random.choice(self.destinations), "width": 1, "via": -1}
        class_name = p.settings_text(CLASS_NAMES[class_index])
        message = p.SetUp(call_id, class_name, wait_us // 1000, f"{call_id:016x}", b"v=0\xff", figures, TENANT)
        call = Call(call_id, self.profile.name, self.process_number, 0, wait_us, unchecked=self.sent_garbage)
        self.unanswered[call_id] = call
        self.send(p.encode(message), call)
        return call

    def hang_up(self, sock: trio.socket.SocketType) -> None:
        """Reset the connection, which cancels all unanswered set-ups on it."""
        for call in self.unanswered.values():
            call.gave_up_us = now_us()
        close_with_reset(sock)

    def send(self, data: bytes, call: Call | None = None) -> None:
        """Queue a message; the call is entered in the record once its set-up has been written."""
        self.outbox.append((data, call))
        self.writer_wakeup.set()

    async def write(self, sock: trio.socket.SocketType) -> None:
        """Write the queued messages, some of them in two pieces."""
        try:
            while True:
                while self.outbox:
                    data, call = self.outbox.popleft()
                    if self.random.random() < self.profile.pieces_share:
                        middle = self.random.randrange(1, len(data))
                        await send_all(sock, data[:middle])
                        await trio.sleep(self.random.uniform(*PIECE_PAUSE_S))
                        data = data[middle:]
                    await send_all(sock, data)
                    if call is not None:
                        call.sent_us = now_us()
                        self.record.calls[call.call_id] = call
                self.writer_wakeup = trio.Event()
                await self.writer_wakeup.wait()
        except (OSError, trio.ClosedResourceError):
            await trio.sleep_forever()  # `receive_messages` notices the end of the connection

    def unexpected_message(self) -> bytes:
        """Return random bytes, or a message that a correct client does not send."""
        choice = self.random.randrange(5)
        if choice == 0:
            self.sent_garbage = True  # the program may take later messages for a part of these bytes
            for call in self.unanswered.values():
                call.unchecked = True
            return self.random.randbytes(self.random.randrange(1, 80))
        if choice == 1:
            return p.encode(p.Release(self.random.getrandbits(63), p.ReleaseCause.NORMAL))
        if choice == 2 and self.unanswered:
            call = self.random.choice(list(self.unanswered.values()))
            call.unchecked = True
            return p.encode(p.SetUp(call.call_id, "none", 100, "00", b"x", {"dest": 1, "width": 1}, TENANT))
        if choice == 3:
            return p.encode(p.SetUp(self.call_ids.next(), "none", 0, "xyz", b"x", {"dest": 1, "width": 7}, "nobody"))
        return p.encode(p.HealthCheck(self.random.getrandbits(63)))

    # --- messages of the program ---

    async def receive_messages(self, sock: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        """Handle the messages of the program until the connection ends."""
        decoder = p.message_decoder()
        try:
            while data := await self.receive(sock):
                for message in decoder.feed(data):
                    self.handle_message(message)
        except (OSError, trio.ClosedResourceError):
            pass
        except p.ProtocolError as error:
            self.record.unexpected_messages.append(
                f"{self.profile.name} cannot decode a message of the program: {error}"
            )
        scope.cancel()

    async def receive(self, sock: trio.socket.SocketType) -> bytes:
        """Return the next bytes, waiting while the client does not read."""
        if sock.fileno() < 0:
            raise trio.ClosedResourceError  # the client has reset the connection itself
        await trio.lowlevel.wait_readable(sock)
        await self.reading_allowed.wait()
        return await sock.recv(RECEIVE_BYTES)

    def handle_message(self, message: p.Message) -> None:
        """Record one message of the program; the client may react to it."""
        call = self.record.calls.get(message.call) or self.unanswered.get(message.call)
        if isinstance(message, p.Answer):
            self.handle_answer(call, message)
        elif isinstance(message, p.Release):
            self.handle_release(call, message)

    def handle_answer(self, call: Call | None, message: p.Answer) -> None:
        """Record the answer; the client releases some calls at once."""
        self.unanswered.pop(message.call, None)
        if call is None:
            self.record.unexpected_messages.append(f"an answer to call {message.call:016x}, which no client has set up")
            return
        call.final_answers.append((now_us(), "answered"))
        call.answered_us = call.answered_us or now_us()
        call.description = message.description
        if self.random.random() < self.profile.end_share:
            call.ended_by_client_us = now_us()
            self.send(p.encode(p.Release(call.call_id, p.ReleaseCause.NORMAL)))

    def handle_release(self, call: Call | None, message: p.Release) -> None:
        """Record a refusal or failure, or the end of an answered call."""
        unanswered_call = self.unanswered.pop(message.call, None)
        if call is not None and call.answered_us:
            call.released_us = call.released_us or now_us()
        elif call is not None and (unanswered_call or call.final_answers):
            call.final_answers.append((now_us(), f"cause {message.cause}"))
        if unanswered_call is None:
            if self.profile.confirms_releases:
                self.send(p.encode(p.ReleaseConfirmed(message.call)))
        elif self.random.random() < self.profile.redial_share:
            self.set_up()


OCCASIONAL_PROFILE = ClientProfile("occasional", 0.5)
ABSENT_PROFILE = ClientProfile("absent", 8.0, absence_share=0.1, half_close_share=0.03)
PROFILES = (
    ClientProfile("steady", 12.0),
    ClientProfile("steady", 6.0),
    ClientProfile("impatient", 6.0, give_up_share=0.5),
    ClientProfile("repeating", 5.0, redial_share=0.9),
    ClientProfile("slow", 4.0, pieces_share=0.4),
    ClientProfile("rude", 5.0, unexpected_share=0.5, confirms_releases=False),
    ClientProfile("leaving", 3.0, hang_up_share=0.3),
)
