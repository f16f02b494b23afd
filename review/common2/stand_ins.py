"""Stand-ins for the cases 6 to 10: exchanges, the command channel, callers, and the program as separate processes.

Everything follows the protocol page and uses the standard library alone. All times are Unix seconds. A case is an async
function that gets a `Case`; it returns the list of broken rules, which is empty if the rules held.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110
NETWORK_S = 0.006  # one way between a session controller and an exchange; site file: same_ms = [4.7, 8]
SLACK_S = 0.05  # by which the protocol page extends every time limit

SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, TENANT, CALLED, FIGURES, RETRY, NOTE, REPORT, CAUSE, DESCRIPTION = (
    129, 132, 135, 141, 144, 147, 150, 156, 171, 174,
)  # fmt: skip
HEADER = struct.Struct(">HBQ")
LIST_RECORD = struct.Struct(">I4sHBBBHIQ")
STATES = {"ready": 0, "draining": 1, "gone": 2}


def encode(kind: int, call: int, *parameters: tuple[int, bytes]) -> bytes:
    """One message."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return HEADER.pack(9 + len(body), kind, call) + body


async def read_message(reader: asyncio.StreamReader) -> tuple[int, int, dict[int, bytes]]:
    """The next message of a connection: type, call, parameters. IncompleteReadError at its end."""
    (length,) = struct.unpack(">H", await reader.readexactly(2))
    body = await reader.readexactly(length)
    kind, call = struct.unpack_from(">BQ", body)
    parameters, at = {}, 9
    while at < len(body):
        code, size = struct.unpack_from(">BH", body, at)
        parameters[code] = body[at + 3 : at + 3 + size]
        at += 3 + size
    return kind, call, parameters


def free_port() -> int:
    """A port on which nothing listens."""
    with socket.create_server((HOST, 0)) as sock:
        return int(sock.getsockname()[1])


def settings(**changes: object) -> dict[str, object]:
    """The settings of a small deployment, with the figures of the site file of `dar-quotes` unless changed."""
    figures: dict[str, object] = {
        "aim_ms": 1500, "deadline_ms": 9000, "hold_ms": 10_000, "drain_grace_ms": 2000, "instances": 5,
    }  # fmt: skip
    figures |= changes
    return {
        "allowed": {
            "cancel": True, "connect-timeout-us": 500_000, "keepalive-us": 600_000_000, "may-duplicate": False,
            "max-retry-after-us": 2_000_000, "peers": False, "probes": False, "retry-after": True, "send-cap": 4,
        },
        "deductions": {"late-fail": 0.022, "waste": 0.02},
        "discovery": "pushed",
        "family-info": {
            "class-hold-us": [figures["hold_ms"] * 1000], "own-exchange": 0, "release-us": 300_000, "resend-us": 0,
            "shape": "meshed", "skilled-pools": [], "widths": [1],
        },
        "grades": [
            {
                "effect": "pure", "give-up-us": figures["deadline_ms"] * 1000, "importance": 1.0, "late-value": 0.1,
                "name": "premium-quote", "objective-us": figures["aim_ms"] * 1000,
            }
        ],
        "instances": figures["instances"],
        "kinds": ["std-1core"],
        "realms": [{"name": "mlima-main", "quota-per-s": 200.0, "share": 1.0}],
        "report": {"fields": ["spare", "total", "allowed"], "how": "answers"},
        "rules": {
            "cold-from": 0.29, "fall-multiple": 2.5, "fall-us": 2_000_000,
            "stop-sending-within-us": figures["drain_grace_ms"] * 1000, "warm-within-us": 15_000_000,
        },
        "zones": ["dar-es-salaam"],
    }  # fmt: skip


class Case:
    """One run of a case: its record, its temporary folder and its processes."""

    def __init__(self, folder: Path) -> None:
        self.record = (folder / "record.txt").open("w")
        self.folder = Path(tempfile.mkdtemp(prefix="latchturn-case-"))
        self.programs: list[Program] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.failures: list[str] = []  # of the stand-ins; a case with any has not run
        self.began = time.time()
        self.log(f"TROUBLE={int(TROUBLE)}")

    def log(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start of the case."""
        self.record.write(f"{time.time() - self.began:9.3f} {text}\n")
        self.record.flush()

    def start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a part of the case beside the others; if it fails, the case has not run."""
        self.tasks.append(asyncio.create_task(work))
        return self.tasks[-1]

    def stand_in_failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        """Note an exception that nothing else handles; a broken connection is none."""
        if not isinstance(context.get("exception"), OSError):
            self.failures.append(str(context.get("exception") or context["message"]))

    def check_run(self) -> None:
        """Raise RuntimeError if a stand-in or a part of the case has failed, or the last process has ended."""
        for task in self.tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                self.failures.append(f"a part of the case ended: {task.exception()!r}")
        if self.programs and self.programs[-1].process.poll() is not None:
            self.failures.append(
                f"{self.programs[-1].name} has ended, exit code {self.programs[-1].process.returncode}"
            )
        if self.failures:
            raise RuntimeError("; ".join(self.failures))

    def close(self) -> None:
        """End all processes of the case and remove its temporary folder."""
        for program in self.programs:
            program.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class Program:
    """One process of the program, started with the `run` command of the deploy file."""

    def __init__(self, case: Case, name: str, config: dict[str, object], tmpdir: Path, sockets: int = 0) -> None:
        self.case, self.name = case, name
        self.admin = str(config["admin_addr"])
        path = case.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        tmpdir.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if sockets:  # "a process may hold `sockets` file descriptors"
            command = f"ulimit -n {sockets}; {command}"
        environment = {key: value for key, value in os.environ.items() if key not in ("GW_ADMIN_ADDR", "GW_LISTEN")}
        environment |= {"GW_CONFIG": str(path), "GW_NAME": str(config["name"]), "TMPDIR": str(tmpdir)}
        self.output = (case.folder / f"{name}.log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.output, stderr=self.output,
        )  # fmt: skip
        case.programs.append(self)
        case.log(f"{name}: started, process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.case.log(f"{self.name}: {number.name}")
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process, and copy what it has logged into the record."""
        if self.output.closed:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.output.close()
        for line in Path(self.output.name).read_text(errors="replace").splitlines()[-200:]:
            self.case.record.write(f"          [{self.name}] {line[:400]}\n")

    async def wait_exit(self, timeout_s: float) -> bool:
        """Wait until the process has ended; False if that takes longer."""
        end = time.time() + timeout_s
        while self.process.poll() is None and time.time() < end:
            await asyncio.sleep(0.005)
        if self.process.poll() is not None:
            self.case.log(f"{self.name}: ended, exit code {self.process.returncode}")
        return self.process.poll() is not None

    async def ask(self, line: str) -> str:
        """The answer at the second address, empty if there is none within 1 s."""
        host, port = self.admin.split(":")
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            try:
                writer.write(line.encode() + b"\n")
                return (await asyncio.wait_for(reader.read(65536), 1)).decode()
            finally:
                writer.close()
        return ""

    async def wait_ready(self, timeout_s: float = 10) -> None:
        """Wait until PING is answered with OK."""
        end = time.time() + timeout_s
        while not (await self.ask("PING")).startswith("OK"):
            if time.time() > end or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} did not become ready")
            await asyncio.sleep(0.1)
        self.case.log(f"{self.name}: ready")


def config(listen: int, channel: Channel, known: dict[str, object], **changes: object) -> dict[str, object]:
    """A configuration; `sockets` and `settings` may be changed."""
    return {
        "name": "n0", "listen": f"{HOST}:{listen}", "seed": os.urandom(8).hex(), "admin_addr": f"{HOST}:{free_port()}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": changes.get("sockets", 512)},
        "channel": f"{HOST}:{channel.port}", "known": known, "settings": changes.get("settings") or settings(),
    }  # fmt: skip


class Connection:
    """One connection to a stand-in."""

    def __init__(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.number, self.reader, self.writer = number, reader, writer
        self.dead = False  # stays open, but nothing passes any more
        self.closed = False

    def send(self, data: bytes) -> None:
        """Write a message, unless the connection is closed or dead."""
        if not (self.dead or self.closed):
            asyncio.get_running_loop().call_later(NETWORK_S, self._write, data)

    def _write(self, data: bytes) -> None:
        if not self.closed:
            self.writer.write(data)


class Exchange:
    """A remote exchange. It answers each set-up after `answer_s` and ends each call after `hold_s`."""

    def __init__(self, case: Case, ident: int, number: int, size: int = 60) -> None:
        self.case, self.ident, self.number, self.size = case, ident, number, size
        self.port = 0
        self.answer_s, self.hold_s = 0.02, 10.0
        self.connections: list[Connection] = []
        self.accepted = 0
        self.standing: dict[int, Connection] = {}  # calls, with the connection of the set-up
        self.pending: dict[int, asyncio.Task[None]] = {}  # set-ups that are not answered
        self.untold: dict[int, bytes] = {}  # releases that are repeated on the next connection
        self.set_ups: list[tuple[float, int]] = []  # time and call
        self.ended: dict[int, tuple[float, str]] = {}  # time and why, by call
        self.on_set_up: Callable[[Connection, int], bool] = lambda connection, call: False  # True: it has been handled
        self.on_answered: Callable[[Connection, int], None] = lambda connection, call: None
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.case.log(f"exchange s-{self.ident:08x}: number {self.number}, listens at {HOST}:{self.port}")

    def log(self, text: str) -> None:
        """Write a line about this exchange to the record."""
        self.case.log(f"exchange s-{self.ident:08x}: {text}")

    def vanish(self) -> None:
        """The machine vanishes: open connections stay open and silent, new ones never come up, its calls are over."""
        assert self.server is not None
        self.server.close()
        self.gone = socket.socket()
        self.gone.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.gone.bind((HOST, self.port))
        self.gone.listen(0)
        self.fillers = [socket.socket() for _ in range(3)]  # with a full queue the system leaves connects unanswered
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
        for connection in self.connections:
            connection.dead = True
        for task in self.pending.values():
            task.cancel()
        self.pending.clear()
        for call in self.standing:
            self.ended[call] = (time.time(), "the exchange vanished")
        self.log(f"vanishes with {len(self.standing)} standing calls")
        self.standing.clear()

    def state(self) -> bytes:
        """The state of the group to this exchange."""
        free = max(0, self.size - len(self.standing) - len(self.pending))
        return encode(STATE, 0, (REPORT, b"spare:%d;total:%d;allowed:60" % (free, self.size)))

    def send_state(self) -> None:
        """Send the state of the group on the open connections, at most four."""
        for connection in [c for c in self.connections if not c.closed][:4]:
            connection.send(self.state())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until its end."""
        self.accepted += 1
        connection = Connection(self.accepted, reader, writer)
        await asyncio.sleep(NETWORK_S)
        self.connections.append(connection)
        connection.send(self.state())
        for data in self.untold.values():
            connection.send(data)
        self.untold.clear()
        try:
            while True:
                message = await read_message(reader)
                if not connection.dead:
                    asyncio.get_running_loop().call_later(NETWORK_S, self.receive, connection, *message)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            await asyncio.sleep(NETWORK_S)
            connection.closed = True
            self.connections.remove(connection)
            if not connection.dead:  # the set-ups open on it are given up; what stands goes on
                for call, task in list(self.pending.items()):
                    if task.get_name() == str(connection.number):
                        self.give_up(call, "its connection was closed")
            writer.close()

    def receive(self, connection: Connection, kind: int, call: int, parameters: dict[int, bytes]) -> None:
        """Handle one message."""
        if kind == SET_UP:
            self.set_ups.append((time.time(), call))
            self.log(f"set-up {call:016x} on connection {connection.number}, wait {parameters[WAIT].decode()} ms")
            if not self.on_set_up(connection, call):
                task = asyncio.create_task(self.run_call(connection, call), name=str(connection.number))
                self.pending[call] = task
                self.send_state()
        elif kind == RELEASE:
            connection.send(encode(HEARD, call))
            if call in self.pending:
                self.give_up(call, "given up")
            elif call in self.standing:
                self.log(f"release of {call:016x} by the session controller")
                self.ended[call] = (time.time(), "released by the session controller")
                del self.standing[call]
                self.send_state()
        elif kind == TEST:
            connection.send(encode(TESTED, call, (CAUSE, b"\1")))

    def give_up(self, call: int, why: str) -> None:
        """Give up a set-up that is not answered."""
        self.log(f"set-up {call:016x} ends: {why}")
        self.pending.pop(call).cancel()
        self.send_state()

    async def run_call(self, connection: Connection, call: int) -> None:
        """Answer a call, and end it after its time."""
        await asyncio.sleep(self.answer_s)
        del self.pending[call]
        self.standing[call] = connection
        self.log(f"answers {call:016x} on connection {connection.number}")
        self.on_answered(connection, call)
        connection.send(encode(ANSWER, call, (DESCRIPTION, b"v=0 s-%08x %016x" % (self.ident, call))))
        self.send_state()
        await asyncio.sleep(self.hold_s)
        if call in self.standing:
            self.end_call(call)

    def end_call(self, call: int) -> None:
        """End a standing call: its release goes out on the connection of the set-up, else on any open one, and also on
        the next one that is opened."""
        connection = self.standing.pop(call)
        data = encode(RELEASE, call, (CAUSE, bytes([16])))
        if connection.closed:
            connection = next((c for c in self.connections if not c.closed), connection)
        self.log(f"{call:016x} has come to its end, release on connection {connection.number}")
        self.ended[call] = (time.time(), "came to its end")
        connection.send(data)
        self.untold[call] = data
        self.send_state()


class Channel:
    """The command channel. Events are numbered from 1; the first one is the whole list."""

    def __init__(self, case: Case, exchanges: list[Exchange]) -> None:
        self.case = case
        self.exchanges = exchanges
        self.port = 0
        self.first: list[tuple[Exchange, str]] = [(e, "ready") for e in exchanges]
        self.changes: list[tuple[Exchange, str]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Listen, at the same address as before."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.case.log(f"command channel: listens at {HOST}:{self.port}")

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        self.case.log("command channel: down, connections are refused")

    def known(self) -> dict[str, object]:
        """The events so far, in the form of the configuration."""
        lists = [(True, self.first), *((False, [change]) for change in self.changes)]
        commands = [
            {
                "cursor": number,
                "nodes": {
                    "index": number, "snapshot": full,
                    "endpoints": [
                        {
                            "name": f"s-{e.ident:08x}", "address": f"{HOST}:{e.port}", "zone": "dar-es-salaam",
                            "type": "std-1core", "group": e.number, "status": state, "weight": 1, "since_ms": 0,
                        }
                        for e, state in entries
                    ],
                },
            }
            for number, (full, entries) in enumerate(lists, 1)
        ]  # fmt: skip
        return {"cursor": len(commands), "cmds": commands}

    def publish(self, exchange: Exchange, state: str) -> None:
        """Enter a change of the list as the next event."""
        self.changes.append((exchange, state))
        self.case.log(f"command channel: event {len(self.changes) + 1}, s-{exchange.ident:08x} is {state}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send every later event, and an empty frame each second."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            (cursor,) = struct.unpack(">Q", await reader.readexactly(8))
            self.case.log(f"command channel: asked for the events after {cursor}")
            while writer in self.writers:
                changed = self.changed
                while cursor < len(self.changes) + 1:
                    cursor += 1
                    exchange, state = self.changes[cursor - 2]
                    record = LIST_RECORD.pack(
                        exchange.ident, socket.inet_aton(HOST), exchange.port, STATES[state], 0, 0, exchange.number,
                        1000, 0,
                    )  # fmt: skip
                    writer.write(struct.pack(">IQB", 9 + len(record), cursor, 2) + record)
                    self.case.log(f"command channel: event {cursor} sent")
                writer.write(bytes(4))
                await writer.drain()
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1)
        writer.close()


class Call:
    """A set-up of a caller and what came back for it."""

    def __init__(self, ident: int, wait_s: float) -> None:
        self.ident, self.wait_s = ident, wait_s
        self.sent = time.time()
        self.finals: list[tuple[float, str]] = []  # final answers before the call stands, or its answer
        self.released: list[float] = []  # releases after the answer


class Caller:
    """A caller; its calls belong to no connection, so it may open several one after the other."""

    next_id = int.from_bytes(os.urandom(4), "big") << 32

    def __init__(self, case: Case, port: int, name: str = "caller") -> None:
        self.case, self.port, self.name = case, port, name
        self.calls: dict[int, Call] = {}
        self.foreign: list[int] = []  # ids of other callers' calls for which a message came
        self.writer: asyncio.StreamWriter | None = None
        self.closed_at = 0.0  # when the program closed the connection, 0 while it is open
        self.task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Open a connection to the program."""
        reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.closed_at = 0.0
        self.case.log(f"{self.name}: connected")
        self.task = asyncio.create_task(self.read(reader, self.writer))

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take all messages until the connection ends."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                kind, ident, parameters = await read_message(reader)
                self.receive(writer, kind, ident, parameters)
        if writer is self.writer:
            self.closed_at = time.time()
        self.case.log(f"{self.name}: connection ended")
        writer.close()

    def receive(self, writer: asyncio.StreamWriter, kind: int, ident: int, parameters: dict[int, bytes]) -> None:
        """Take one message. A release of a call of this caller is confirmed."""
        call = self.calls.get(ident)
        if kind in (ANSWER, RELEASE) and call is None:
            self.foreign.append(ident)
            self.case.log(f"{self.name}: message {kind} for {ident:016x}, which is not its call")
        elif kind == ANSWER:
            self.case.log(f"{self.name}: {ident:016x} stands: {parameters[DESCRIPTION].decode()}")
            call.finals.append((time.time(), "stands"))
        elif kind == RELEASE:
            cause = parameters[CAUSE][0]
            if any(what == "stands" for _, what in call.finals):
                call.released.append(time.time())
                self.case.log(f"{self.name}: {ident:016x} is released, cause {cause}")
            else:
                what = "refused" if cause in (34, 42, 102) else "failed"
                call.finals.append((time.time(), f"{what}, cause {cause}"))
                self.case.log(f"{self.name}: {ident:016x} {what}, cause {cause}")
            writer.write(encode(HEARD, ident))

    def set_up(self, destination: int, wait_s: float = 3.0) -> Call:
        """Send a set-up on the open connection."""
        assert self.writer is not None
        Caller.next_id += 1
        ident = Caller.next_id
        call = self.calls[ident] = Call(ident, wait_s)
        self.writer.write(
            encode(
                SET_UP, ident, (CLASS, b"premium-quote"), (WAIT, b"%d" % (wait_s * 1000)), (TENANT, b"mlima-main"),
                (CALLED, os.urandom(8).hex().encode()), (FIGURES, b"dest:%d;width:1;via:-1" % destination),
                (DESCRIPTION, b"v=0 caller %016x" % ident),
            )
        )  # fmt: skip
        self.case.log(f"{self.name}: set-up {ident:016x} to {destination}, wait {wait_s:.1f} s")
        return call

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def main(file: str, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a case and exit with its result: 0 held, 1 broken, 2 could not run."""
    code, case = 2, None
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        case = Case(Path(file).resolve().parent)
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(case.stand_in_failed)
        broken = loop.run_until_complete(asyncio.wait_for(play(case), TIME_LIMIT_S))
        case.check_run()
        for line in broken:
            case.log(f"BROKEN: {line}")
            print(f"broken: {line}")
        case.log("result: broken" if broken else "result: held")
        print("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except BaseException:  # noqa: BLE001 - whatever stopped the case, it has not run
        if case is not None:
            case.log("could not run: " + traceback.format_exc())
        traceback.print_exc()
    finally:
        if case is not None:
            case.close()
    sys.stdout.flush()
    os._exit(code)  # the stand-ins' tasks are not ended one by one
