"""Stand-ins for a case of the review: exchanges, the command channel and callers, on loopback, in one process.

They follow the users' protocol page. The program under test runs as a process of its own, started with the `run`
command of the deploy file. Only the standard library is used. Everything that is sent, answered and run is written to
`record.txt` in the folder of the case. The module knows no rule: each case checks its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
# A loopback address of this run alone, so that runs at the same time share no port; processes of a case inherit it.
_RUN = os.getpid()
HOST = os.environ.setdefault("CASE_HOST", f"127.{20 + _RUN // 62_500 % 200}.{_RUN // 250 % 250}.{1 + _RUN % 250}")
_ports = itertools.count(20_000)  # below those that the system gives to outgoing connections
# Message types and parameter codes of the protocol page.
SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, TENANT, NUMBER, FIGURES, RETRY, NOTE, REPORT, CAUSE, DESCRIPTION = (
    129, 132, 135, 141, 144, 147, 150, 156, 171, 174,
)  # fmt: skip
REFUSALS = (34, 42, 102)  # causes of a release that mean "refused"
CLASS_NAME, TENANT_NAME = "premium-quote", "mlima-main"
STATES = {"ready": 0, "draining": 1, "gone": 2}
STATE_RECIPIENTS = 4  # open connections that receive each state of a group


def message(kind: int, call: int, *parameters: tuple[int, bytes]) -> bytes:
    """Encode one message."""
    body = struct.pack(">BQ", kind, call)
    body += b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">H", len(body)) + body


def messages(unread: bytearray) -> Iterator[tuple[int, int, dict[int, bytes]]]:
    """Take the whole messages from the start of a buffer: type, call, parameters by code."""
    while len(unread) >= 2 and len(unread) >= 2 + (length := int.from_bytes(unread[:2], "big")):
        raw = bytes(unread[2 : 2 + length])
        del unread[: 2 + length]
        kind, call = struct.unpack_from(">BQ", raw)
        parameters, at = {}, 9
        while at < length:
            code, size = struct.unpack_from(">BH", raw, at)
            parameters[code] = raw[at + 3 : at + 3 + size]
            at += 3 + size
        yield kind, call, parameters


def free_port() -> int:
    """A port of the address of this run on which nothing listens, a new one with each call."""
    while True:
        port = next(_ports)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port


class Record:
    """The record of a run, in `record.txt`: one line for each event, with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.time()

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.time() - self._started

    def note(self, who: str, what: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {who}: {what}\n")

    def close(self) -> None:
        """Write what is left and close the file."""
        self._file.close()


# --- exchanges ---


@dataclass(eq=False)
class Connection:
    """One connection from a session controller to an exchange."""

    number: int
    writer: asyncio.StreamWriter
    set_ups: set[int] = field(default_factory=set)  # ids of set-ups open on it

    def send(self, data: bytes) -> None:
        """Write bytes; nothing happens on a connection that has ended."""
        if not self.writer.is_closing():
            self.writer.write(data)


@dataclass(eq=False)
class Standing:
    """A call that an exchange has answered."""

    connection: Connection
    description: bytes
    since: float
    end: asyncio.TimerHandle | None = None


class Exchange:
    """A simulated exchange: answers set-ups, ends calls after their holding time, reports its trunk group."""

    def __init__(self, record: Record, ident: int, number: int, hold_s: float = 5.0, size: int = 60) -> None:
        self.record, self.ident, self.number, self.hold_s, self.size = record, ident, number, hold_s, size
        self.name = f"exchange {number}"
        self.port = free_port()
        self.answer_s = 0.02
        self.connections: list[Connection] = []
        self.standing: dict[int, Standing] = {}
        self.set_ups: list[tuple[float, int]] = []  # time and call of each set-up received whole
        self.answers: dict[int, bytes] = {}  # descriptions of the answers that it made
        self.over: dict[int, tuple[float, str]] = {}  # call -> when and how it ended here
        self.repeat: dict[int, bytes] = {}  # releases to be sent on the next connection too
        self.spoil: Callable[[Exchange, int, bytes], bytes] | None = None  # changes an encoded answer
        self.accepted = 0

    async def listen(self) -> None:
        """Start to listen."""
        await asyncio.start_server(self._serve, HOST, self.port)

    def report(self) -> bytes:
        """The load report: free circuits and size of the group, set-ups a second that it can take."""
        free = max(0, self.size - len(self.standing) - sum(len(c.set_ups) for c in self.connections))
        return b"spare:%d;total:%d;allowed:%d" % (free, self.size, 60)

    def send_state(self) -> None:
        """Send the state of the group on the open connections."""
        for connection in self.connections[:STATE_RECIPIENTS]:
            connection.send(message(STATE, 0, (REPORT, self.report())))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        connection = Connection(self.accepted, writer)
        self.connections.append(connection)
        self.record.note(self.name, f"connection {connection.number} accepted")
        connection.send(message(STATE, 0, (REPORT, self.report())))
        for call, data in self.repeat.items():
            self.record.note(self.name, f"release of {call:016x} sent again on connection {connection.number}")
            connection.send(data)
        self.repeat.clear()
        unread = bytearray()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                unread += data
                for kind, call, parameters in messages(unread):
                    self._received(connection, kind, call, parameters)
        self._closed(connection)

    def _closed(self, connection: Connection) -> None:
        """The session controller has closed a connection. Its open set-ups are given up, standing calls stay."""
        self.connections.remove(connection)
        self.record.note(self.name, f"connection {connection.number} closed by the session controller")
        connection.set_ups.clear()
        connection.writer.close()

    def _received(self, connection: Connection, kind: int, call: int, parameters: dict[int, bytes]) -> None:
        if kind == SET_UP:
            self.set_ups.append((self.record.now(), call))
            self.record.note(self.name, f"set-up {call:016x} on connection {connection.number}")
            connection.set_ups.add(call)
            self.send_state()
            asyncio.get_running_loop().call_later(self.answer_s, self._answer, connection, call)
        elif kind == RELEASE:
            connection.send(message(HEARD, call))
            for other in self.connections:
                other.set_ups.discard(call)
            self._end(call, "released by the session controller")
        elif kind == TEST:
            connection.send(message(TEST_RESULT, call, (CAUSE, b"\1")))

    def _answer(self, connection: Connection, call: int) -> None:
        if call not in connection.set_ups:
            return
        connection.set_ups.discard(call)
        description = b"v=0 exchange %d call %016x port %d" % (self.number, call, 20000 + call % 9973)
        self.answers[call] = description
        end = asyncio.get_running_loop().call_later(self.hold_s, self._end_of_hold, call)
        self.standing[call] = Standing(connection, description, self.record.now(), end)
        data = message(ANSWER, call, (DESCRIPTION, description))
        how = "sent"
        if self.spoil is not None:
            data, before = self.spoil(self, call, data), data
            how = "sent" if data == before else f"sent SPOILT as {data!r}"
        self.record.note(self.name, f"answer to {call:016x} {how}, description {description!r}")
        connection.send(data)

    def _end_of_hold(self, call: int) -> None:
        standing = self.standing.get(call)
        if standing is None:
            return
        self._end(call, "holding time over")
        data = message(RELEASE, call, (CAUSE, b"\x10"), (REPORT, self.report()))
        on = standing.connection if standing.connection in self.connections else next(iter(self.connections), None)
        if on is not None:
            on.send(data)
        self.record.note(self.name, f"release of {call:016x} sent on connection {on.number if on else 'none'}")
        self.repeat[call] = data

    def _end(self, call: int, how: str) -> None:
        standing = self.standing.pop(call, None)
        if standing is not None:
            if standing.end is not None:
                standing.end.cancel()
            self.over[call] = (self.record.now(), how)
            self.record.note(self.name, f"call {call:016x} is over: {how}")
            self.send_state()


# --- the command channel ---


class Discovery:
    """A simulated command channel. `delay_s` is the time that each byte to the session controller takes."""

    def __init__(self, record: Record, exchanges: list[Exchange]) -> None:
        self.record, self.exchanges, self.port = record, exchanges, free_port()
        self.states = {e.ident: "ready" for e in exchanges}
        self.events: list[tuple[int, str]] = []  # id and state; the first one has number 2
        self.published: list[float] = []
        self.delivered: dict[int, float] = {}  # number of an event -> when it was written to the session controller
        self.delay_s = 0.0
        self._changed = asyncio.Event()
        self._connections = 0

    async def listen(self) -> None:
        """Start to listen."""
        await asyncio.start_server(self._serve, HOST, self.port)

    def known(self) -> dict[str, object]:
        """The events up to now, for the configuration."""
        endpoints = [
            {
                "name": f"s-{e.ident:08x}", "address": f"{HOST}:{e.port}", "zone": "dar-es-salaam", "type": "std-1core",
                "group": e.number, "status": self.states[e.ident], "weight": 1, "since_ms": 0,
            }
            for e in self.exchanges
        ]  # fmt: skip
        number = 1 + len(self.events)
        snapshot = {"index": number, "snapshot": True, "endpoints": endpoints}
        return {"cursor": number, "cmds": [{"cursor": number, "nodes": snapshot}]}

    def publish(self, ident: int, state: str) -> None:
        """Change the state of an exchange in the list."""
        self.states[ident] = state
        self.events.append((ident, state))
        self.published.append(self.record.now())
        self.record.note("discovery", f"event {1 + len(self.events)}: exchange id {ident} is {state}")
        self._changed.set()
        self._changed = asyncio.Event()

    def _frame(self, number: int) -> bytes:
        ident, state = self.events[number - 2]
        e = next(e for e in self.exchanges if e.ident == ident)
        entry = struct.pack(
            ">I4sHBBBHIQ", e.ident, socket.inet_aton(HOST), e.port, STATES[state], 0, 0, e.number, 1000, 0
        )
        return struct.pack(">IQB", 9 + len(entry), number, 2) + entry

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        connection = self._connections
        queue: deque[tuple[float, bytes, int]] = deque()  # when it arrives, the frame, its number
        pump = asyncio.create_task(self._deliver(queue, writer))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            cursor = int.from_bytes(await reader.readexactly(8), "big")
            self.record.note("discovery", f"connection {connection} asks for events after {cursor}")
            watch = asyncio.create_task(reader.read())
            while not watch.done():
                new = range(cursor + 1, 2 + len(self.events))
                for number in new:
                    queue.append((time.time() + self.delay_s, self._frame(number), number))
                cursor = max(cursor, 1 + len(self.events))
                if not new:
                    queue.append((time.time() + self.delay_s, bytes(4), 0))
                changed = asyncio.create_task(self._changed.wait())
                await asyncio.wait({changed, watch}, timeout=1.0, return_when=asyncio.FIRST_COMPLETED)
                changed.cancel()
        pump.cancel()
        undelivered = [number for _, _, number in queue if number]
        self.record.note("discovery", f"connection {connection} ended, events on their way: {undelivered or 'none'}")
        writer.close()

    async def _deliver(self, queue: deque[tuple[float, bytes, int]], writer: asyncio.StreamWriter) -> None:
        while True:
            while queue and queue[0][0] <= time.time():
                _, data, number = queue.popleft()
                if number:
                    self.delivered.setdefault(number, self.record.now())
                    self.record.note("discovery", f"event {number} delivered")
                writer.write(data)
            await asyncio.sleep(0.005)


# --- callers ---


@dataclass(eq=False)
class Call:
    """One call of the callers, as they see it."""

    ident: int
    dest: int
    sent: float
    wait_s: float
    finals: list[tuple[float, str]] = field(default_factory=list)
    description: bytes | None = None  # of the answer
    released: tuple[float, int] | None = None  # when its release came after the answer, and the cause


class Caller:
    """One connection of callers to the session controller; it carries many calls."""

    def __init__(self, record: Record, port: int, name: str, ids: Iterator[int], calls: dict[int, Call]) -> None:
        self.record, self.port, self.name, self.ids, self.calls = record, port, name, ids, calls
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self._task = asyncio.create_task(self._read(reader, self.writer))

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        unread = bytearray()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                unread += data
                for kind, call, parameters in messages(unread):
                    self._received(kind, call, parameters)
        self.record.note(self.name, "connection closed by the session controller")
        writer.close()
        if self.writer is writer:
            self.writer = None

    def _received(self, kind: int, ident: int, parameters: dict[int, bytes]) -> None:
        call = self.calls.get(ident)
        if kind == HEARD:
            self.record.note(self.name, f"release of {ident:016x} heard by the session controller")
        elif call is None:
            self.record.note(self.name, f"message of type {kind} for {ident:016x}, which is no call of these callers")
        elif kind == ANSWER:
            call.description = parameters.get(DESCRIPTION)
            call.finals.append((self.record.now(), "answered"))
            self.record.note(self.name, f"call {ident:016x} answered, description {call.description!r}")
        elif kind == RELEASE:
            cause = parameters[CAUSE][0]
            if call.description is not None:
                call.released = call.released or (self.record.now(), cause)
                self.record.note(self.name, f"call {ident:016x} released, cause {cause}")
                self.send(message(HEARD, ident))
            else:
                kind_of_end = "refused" if cause in REFUSALS else "failed"
                call.finals.append((self.record.now(), kind_of_end))
                self.record.note(self.name, f"call {ident:016x} {kind_of_end}, cause {cause}")

    def send(self, data: bytes) -> None:
        """Write a message, if the connection is open."""
        if self.writer is not None:
            self.writer.write(data)

    async def dial(self, dest: int, wait_s: float = 3.0) -> Call:
        """Send one set-up, on a new connection if there is none."""
        if self.writer is None:
            await self.connect()
        ident = next(self.ids)
        call = self.calls[ident] = Call(ident, dest, self.record.now(), wait_s)
        self.record.note(self.name, f"set-up {ident:016x} to {dest}, waits {wait_s} s")
        self.send(
            message(
                SET_UP, ident, (CLASS, CLASS_NAME.encode()), (WAIT, b"%d" % int(wait_s * 1000)),
                (TENANT, TENANT_NAME.encode()), (NUMBER, b"%016x" % (ident * 2654435761 % (1 << 64))),
                (FIGURES, b"dest:%d;width:1;via:-1" % dest), (DESCRIPTION, b"v=0 caller %016x" % ident),
            )
        )  # fmt: skip
        return call


# --- the program ---


def settings(give_up_s: float = 9.0) -> dict[str, object]:
    """Settings of a small deployment: one class of calls that may simply be repeated, exchange 0 is the own one."""
    return {
        "allowed": {
            "cancel": True, "connect-timeout-us": 500_000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 300_000,
            "keepalive-us": 600_000_000, "max-retry-after-us": 2_000_000, "may-duplicate": False, "open-cap": 20_000,
            "peers": False, "probes": False, "retry-after": True, "send-cap": 4, "streams-per-conn": 1_048_576,
        },
        "deductions": {"late-fail": 0.022, "waste": 0.02},
        "discovery": "pushed",
        "family": "trunks",
        "family-info": {
            "class-hold-us": [9_200_000], "hints-route": False, "own-exchange": 0, "peer-load": "answers",
            "release-us": 300_000, "resend-us": 0, "retry-hint": False, "shape": "meshed", "skilled-pools": [],
            "widths": [1],
        },
        "grades": [
            {
                "effect": "pure", "give-up-us": int(give_up_s * 1e6), "group": "all", "importance": 1.0,
                "late-value": 0.1, "name": CLASS_NAME, "objective-us": 1_500_000, "stream": True,
                "window-us": 5_000_000,
            }
        ],
        "instances": 4,
        "kinds": ["std-1core"],
        "position": 0,
        "realms": [{"name": TENANT_NAME, "quota-per-s": 29.0, "share": 1.0}],
        "report": {"fields": ["spare", "total", "allowed"], "how": "answers"},
        "round-us": 5000,
        "rules": {
            "answer-slack-us": 20_000, "ask-within-us": 10_000_000, "cold-from": 0.29, "fall-multiple": 2.5,
            "fall-us": 2_000_000, "stop-sending-within-us": 2_000_000, "warm-within-us": 15_000_000,
        },
        "zones": ["dar-es-salaam"],
    }  # fmt: skip


class Program:
    """The session controller, run by the command of the deploy file."""

    def __init__(self, record: Record, folder: Path, discovery: Discovery) -> None:
        self.record, self.folder, self.discovery = record, folder, discovery
        self.command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.port, self.admin_port = free_port(), free_port()
        self.config = folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / "log"
        self.memory_mb, self.sockets = 192, 512  # the limits in its configuration

    async def start(self) -> None:
        """Start a process and wait until it says yes to PING."""
        config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "channel": f"{HOST}:{self.discovery.port}", "known": self.discovery.known(), "settings": settings(),
            "admin_addr": f"{HOST}:{self.admin_port}",
        }  # fmt: skip
        self.config.write_text(json.dumps(config))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ, "GW_CONFIG": str(self.config), "GW_NAME": "n0", "GW_LISTEN": f"{HOST}:{self.port}",
            "TMPDIR": str(temporary),
        }  # fmt: skip
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command], env=environment, cwd=ROOT, stdout=log, stderr=log
            )
        self.record.note("platform", f"started the session controller, process {self.process.pid}")
        for _ in range(200):
            if await self.ask("PING") == "OK serving":
                self.record.note("platform", "PING says yes")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"the session controller did not become ready within 10 s, exit code {self.process.poll()}")

    async def ask(self, line: str) -> str:
        """Ask the admin listener; returns the first line of the answer, empty if there is none."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.admin_port)
            writer.write(line.encode() + b"\n")
            answer = await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
            return answer.decode().strip()
        except (OSError, TimeoutError):
            return ""

    def memory_kb(self) -> int:
        """The memory of the process, without the pages of files; 0 if it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon"):
                    return int(line.split()[1])
        return 0

    def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.record.note("platform", f"sends {number.name}")
            self.process.send_signal(number)

    def close(self) -> None:
        """End the process and copy its log into the record."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.log_path.exists():
            for line in self.log_path.read_text(errors="replace").splitlines():
                self.record.note("log of the session controller", line)


class CannotRun(Exception):
    """The case could not be run."""


class World:
    """The exchanges, the command channel, the program and the callers' calls of one run."""

    def __init__(self, record: Record, folder: Path, numbers: tuple[int, ...], hold_s: float) -> None:
        self.record = record
        self.exchanges = {n: Exchange(record, 100 + n, n, hold_s) for n in numbers}
        self.discovery = Discovery(record, list(self.exchanges.values()))
        self.program = Program(record, folder, self.discovery)
        self.calls: dict[int, Call] = {}
        self._ids = itertools.count((int(time.time()) << 20) | 1)

    def caller(self, name: str) -> Caller:
        """A new connection of callers."""
        return Caller(self.record, self.program.port, name, self._ids, self.calls)

    async def start(self) -> None:
        """Start everything."""
        for exchange in self.exchanges.values():
            await exchange.listen()
        await self.discovery.listen()
        await self.program.start()


def run_case(
    play: Callable[[World, bool], Awaitable[list[str]]],
    numbers: tuple[int, ...] = (1, 2, 3),
    hold_s: float = 5.0,
    memory_mb: int = 192,
    sockets: int = 512,
) -> None:
    """Play a case and exit: 1 if `play` returns broken rules, 0 if none, 2 if the case could not be run."""
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    code = 2
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # so that the process under test is ended, too
    with tempfile.TemporaryDirectory() as temporary:
        world: World | None = None

        async def main() -> list[str]:
            nonlocal world
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # tasks cancelled at the end
            world = World(record, Path(temporary), numbers, hold_s)
            world.program.memory_mb, world.program.sockets = memory_mb, sockets
            await world.start()
            return await asyncio.wait_for(play(world, trouble), 105)

        try:
            record.note("case", f"with{'' if trouble else 'out'} the disruption")
            broken = asyncio.run(main())
            code = 1 if broken else 0
            for line in broken:
                record.note("RULE BROKEN", line)
            print("\n".join(broken[:10]) or "the rule held", flush=True)
        except Exception as error:  # noqa: BLE001 - only a broken rule may give exit code 1
            record.note("case", f"could not be run: {error!r}")
            print(f"could not be run: {error!r}", flush=True)
        finally:
            if world is not None:
                world.program.close()
            record.note("case", f"exit code {code}")
            record.close()
    sys.exit(code)
