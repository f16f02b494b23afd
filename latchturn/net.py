"""The sockets: listener, callers' connections, links to exchanges, command channel, clock and signals.

Owns every socket and task, each opened and released in one place. Tells the reducer what has
happened and runs the effects it asks for, in their order. It must decide nothing: no call, no limit
and no timer is known here.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import math
import os
import queue
import signal
import socket
import sys
import termios
import threading
import time
import traceback
from collections import deque
from collections.abc import Callable

import trio

from . import admin, early_signals, handover, interface, protocol, session

RECEIVE = 8 * 1024  # about 50 messages: the other connections have their turn after them
BACKLOG = 4096  # as far as the system allows: callers come by the hundred at once
HELD_PAUSE_S = 0.25  # between two words of descriptors to the other process
ACCEPT_PAUSE_S = 0.05  # after an accept that failed for want of descriptors or memory
RESTART_PAUSE_S = 0.1  # of a service task that raised


class Clock:
    """Unix microseconds that never go backwards, also when the system's clock is set back."""

    def __init__(self, read_ns: Callable[[], int] = time.time_ns) -> None:
        self._read_ns = read_ns
        self._ahead = 0
        self._last = 0

    def now_us(self) -> int:
        now = self._read_ns() // 1000 + self._ahead
        if now < self._last:
            self._ahead += self._last - now
            now = self._last
        self._last = now
        return now


class Polls(trio.abc.Instrument):
    """Knows how long input may have lain unread when it is read: since the last look at the sockets that did
    not show it. A look that had to wait shows what comes as it comes."""

    WAITED_NS = 200_000  # a look that took longer did wait

    def __init__(self, read_ns: Callable[[], int] = time.monotonic_ns) -> None:
        self._read_ns = read_ns
        self._began = self._ended = self._since = read_ns()

    def before_io_wait(self, timeout: float) -> None:
        self._began = self._read_ns()

    def after_io_wait(self, timeout: float) -> None:
        now = self._read_ns()
        self._since = now if now - self._began > self.WAITED_NS else self._ended
        self._ended = now

    def waited_us(self) -> int:
        return (self._read_ns() - self._since) // 1000


async def _receive(sock: trio.socket.SocketType) -> bytes:
    """What has come, as soon as something has. Guards `unread`: trio's own `recv` goes through the loop
    once more with the bytes in hand, when they are neither in the socket nor known to the reducer."""
    while True:
        await trio.lowlevel.wait_readable(sock)
        with contextlib.suppress(BlockingIOError):
            return os.read(sock.fileno(), RECEIVE)


def unread(sock: trio.socket.SocketType | socket.socket) -> int:
    """How many bytes have come and are not read yet."""
    count = bytearray(4)
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return int.from_bytes(count, sys.byteorder)


class _Outlet:
    """The socket of one stream, and the means to end its task."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.sock: trio.socket.SocketType | None = None


class Node:
    """One session controller on its sockets."""

    def __init__(
        self,
        config: protocol.Config,
        core: session.Session,
        reread: Callable[[], tuple[protocol.Config, interface.Settings]],
    ) -> None:
        self.config = config
        self.core = core
        self._reread = reread  # the configuration file anew; raises if it cannot be used
        self.clock = Clock()
        self.polls = Polls()
        self._outlets: dict[int, _Outlet] = {}
        self._admin = admin.AdminConnections(self.tell)
        self._channel = trio.CancelScope()
        self._accepted = 0
        self._path = handover.path_for(os.environ.get("TMPDIR"), config.listen)
        self._listener: trio.socket.SocketType
        self._predecessor: trio.socket.SocketType | None = None  # the connection to it
        self._others: list[trio.socket.SocketType] = []  # connections to the process before, and after
        self._front = trio.CancelScope()  # of what takes callers, and successors
        self._wake = trio.Event()
        self._wake_us: int | None = None
        self._inputs: deque[session.Input] = deque()
        self._nursery: trio.Nursery

    async def run(self) -> None:
        """Serve until the reducer asks to end."""
        config = self.config
        with contextlib.ExitStack() as sockets:
            admin_listener = None
            if config.admin is not None:
                try:
                    admin_listener = sockets.enter_context(await self._listen(config.admin, admin.BACKLOG))
                except OSError as error:  # callers are not to suffer for it
                    log(f"no admin listener at {config.admin[0]}:{config.admin[1]}: {error}")
            inherited = await handover.inherit(self._path, config.listen)
            if inherited is not None:
                self._listener, self._predecessor = inherited
            else:
                # With SO_REUSEPORT, since one that serves here may not have been found.
                self._listener = await self._listen(config.listen, BACKLOG, reuse_port=True)
            sockets.enter_context(self._listener)
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self._service, self._watch_signals)
                if admin_listener is not None:
                    self._nursery.start_soon(self._service, self._accept, admin_listener, self._admin.serve)
                if self._predecessor is not None:
                    self._nursery.start_soon(self._guard, self._talk, self._predecessor)
                known = config.known
                self.tell(session.Started(known, config.cursor, config.channel, inherited is not None))
                self.tell(session.ListenerReady())
                self._nursery.start_soon(self._service, self._keep_time)

    @staticmethod
    async def _listen(address: tuple[str, int], backlog: int, reuse_port: bool = False) -> trio.socket.SocketType:
        listener = trio.socket.socket()
        try:
            listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
            if reuse_port:
                listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEPORT, 1)
            await listener.bind(address)
            listener.listen(backlog)
        except BaseException:
            listener.close()
            raise
        return listener

    async def _service(self, work: Callable[..., object], *args: object) -> None:
        """Run a task without which the program is of no use: it is begun anew if it raises."""
        while True:
            await self._guard(work, *args)
            await trio.sleep(RESTART_PAUSE_S)

    async def _guard(self, work: Callable[..., object], *args: object) -> None:
        """Run one task; what it raises is logged and counted and ends nothing else."""
        try:
            await work(*args)  # type: ignore[misc]
        except Exception:  # noqa: BLE001
            self.core.counters["task_errors"] += 1
            log(traceback.format_exc())

    # --- the reducer ---

    def tell(self, happened: session.Input) -> None:
        """Hand an input to the reducer and run the effects. An effect may bring up further inputs: they
        wait until the effects before them are run."""
        self._inputs.append(happened)
        if len(self._inputs) > 1:
            return
        while self._inputs:
            try:
                for effect in self.core.step(self.clock.now_us(), self._inputs[0]):
                    self._run_effect(effect)
            except Exception:  # noqa: BLE001 - one event's fault must not end the task that met with it
                self.core.counters["errors"] += 1
                log(traceback.format_exc())
            finally:
                self._inputs.popleft()
        wake_us = self.core.wake_us()
        if wake_us is not None and (self._wake_us is None or wake_us < self._wake_us):
            self._wake.set()

    def _run_effect(self, effect: session.Effect) -> None:
        match effect:
            case session.Write(stream, messages):
                if stream in self._outlets:
                    self._write(stream, self._outlets[stream], b"".join(map(protocol.encode, messages)))
            case session.Connect(stream):
                outlet = self._outlets[stream] = _Outlet()
                self._nursery.start_soon(self._guard, self._run_link, effect, outlet)
            case session.Close(stream):
                if stream in self._outlets:
                    self._outlets[stream].scope.cancel()
            case session.CloseIdle(stream):
                outlet_ = self._outlets.get(stream)
                if outlet_ is not None and outlet_.sock is not None and not unread(outlet_.sock):
                    outlet_.scope.cancel()
            case session.ConnectChannel():
                self._channel.cancel()
                self._channel = trio.CancelScope()
                self._nursery.start_soon(self._guard, self._run_channel, effect, self._channel)
            case session.AcceptCallers(on):
                self._front.cancel()
                if on:
                    if self._predecessor is not None:
                        handover.say(self._predecessor, handover.SERVING)
                    self._front = trio.CancelScope()
                    self._nursery.start_soon(self._guard, self._run_front, self._front)
            case session.HandOverCalls(calls):
                for other in self._others:
                    handover.say_all(other, handover.STANDS, calls)
            case session.ForwardRelease(ident, cause):
                for other in self._others:
                    handover.say(other, handover.OVER, ident, cause)
            case session.Reply(connection, data):
                self._admin.reply(connection, data)
            case session.Log(text):
                log(text)
            case session.Exit():
                self._nursery.cancel_scope.cancel()

    async def _keep_time(self) -> None:
        while True:
            self._wake = trio.Event()
            self._wake_us = self.core.wake_us()
            wait_s = math.inf
            if self._wake_us is not None:
                wait_s = max(0.0, (self._wake_us - self.clock.now_us()) / 1e6)
            with trio.move_on_after(wait_s):
                await self._wake.wait()
            self._wake_us = 0  # no call of `tell` need wake this task while it is at work
            due = self.core.wake_us()
            if due is not None and due <= self.clock.now_us():
                self.tell(session.Tick())

    # --- the process before this one, and the one after it ---

    async def _run_front(self, scope: trio.CancelScope) -> None:
        """Take callers, and a successor, for as long as this process is the one that serves."""
        with scope:
            async with handover.published(self._path) as successors, trio.open_nursery() as nursery:
                nursery.start_soon(self._service, self._accept, self._listener, self._run_caller)
                if successors is not None:
                    nursery.start_soon(self._service, self._accept, successors, self._hand_over)

    async def _hand_over(self, sock: trio.socket.SocketType) -> None:
        with sock:
            await handover.give(sock, self._listener)
            await self._talk(sock)

    async def _talk(self, sock: trio.socket.SocketType) -> None:
        """Exchange words with the other process until it ends."""
        serves = False
        with sock:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tell_held, sock)
                self._others.append(sock)
                async for words in handover.hear(sock):
                    match words:
                        case handover.HELD, [held, calls]:
                            self.tell(session.OtherProcessUsage(held, calls))
                        case handover.STANDS, [call, exchange]:
                            self.tell(session.CallInherited(call, exchange))
                        case handover.OVER, [call, cause] if cause < 256:
                            self.tell(session.ReleaseForwarded(call, cause))
                        case handover.SERVING, []:
                            serves = True
                            self.tell(session.SuccessorChanged(True))
                self._others.remove(sock)
                nursery.cancel_scope.cancel()
        self.tell(session.OtherProcessUsage(0))
        if serves:
            self.tell(session.SuccessorChanged(False))

    async def _tell_held(self, sock: trio.socket.SocketType) -> None:
        while True:
            handover.say(sock, handover.HELD, handover.descriptors(), len(self.core.calls.by_id))
            await trio.sleep(HELD_PAUSE_S)

    # --- callers ---

    async def _accept(
        self, listener: trio.socket.SocketType, serve: Callable[[trio.socket.SocketType], object]
    ) -> None:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError:
                # Guards against a spin while descriptors are used up: the backlog waits meanwhile.
                self.core.counters["accepts_failed"] += 1
                await trio.sleep(ACCEPT_PAUSE_S)
                continue
            self._nursery.start_soon(self._guard, serve, sock)

    async def _run_caller(self, sock: trio.socket.SocketType) -> None:
        self._accepted += 1
        ident = self._accepted
        outlet = self._outlets[ident] = _Outlet()
        with sock:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            outlet.sock = sock  # before the reducer hears of it, since it may write at once
            self.tell(session.Accepted(ident))
            await self._run_stream(ident, sock, outlet)

    # --- exchanges ---

    async def _run_link(self, connect: session.Connect, outlet: _Outlet) -> None:
        ident = connect.stream
        refused = False
        try:
            with trio.socket.socket() as sock:
                sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
                with outlet.scope, trio.fail_after(connect.timeout_us / 1e6):
                    await sock.connect(connect.address)
                if not outlet.scope.cancelled_caught:
                    outlet.scope, outlet.sock = trio.CancelScope(), sock
                    self.tell(session.Connected(ident))
                    await self._run_stream(ident, sock, outlet)
                    return
        except ConnectionRefusedError:
            refused = True
        except (OSError, trio.TooSlowError) as error:  # also for want of descriptors
            log(f"connect to {connect.address[0]}:{connect.address[1]}: {error or 'timed out'}")
        del self._outlets[ident]
        self.tell(session.ConnectFailed(ident, refused))

    # --- any stream ---

    async def _run_stream(self, ident: int, sock: trio.socket.SocketType, outlet: _Outlet) -> None:
        """Read until the reducer closes the stream or the connection breaks."""
        try:
            with outlet.scope:
                await self._read(ident, sock)
                await trio.sleep_forever()  # the peer sends no more, but may still be written to
        except OSError:
            pass  # the peer has reset the connection: all that is left is to say so
        finally:
            # The socket is closed before the reducer hears of it, so that its descriptor is free again.
            sock.close()
            self._outlets.pop(ident, None)
            self.tell(session.ConnectionClosed(ident))

    async def _read(self, ident: int, sock: trio.socket.SocketType) -> None:
        decoder = protocol.message_decoder()
        try:
            half = False
            while data := await _receive(sock):
                for message in decoder.feed(data):
                    self.tell(session.MessageReceived(ident, message, self.polls.waited_us()))
                if half or decoder.half_read:
                    half = decoder.half_read
                    self.tell(session.PartialMessage(ident, half))
        except protocol.ProtocolError as error:
            self.tell(session.MalformedInput(ident, str(error)))
            # Guards the answers that are still owed: closing with input unread would reset the connection.
            while await sock.recv(RECEIVE):
                pass
        else:
            self.tell(session.EndOfInput(ident))

    def _write(self, ident: int, outlet: _Outlet, data: bytes) -> None:
        """Write at once what the socket takes, as it nearly always takes all; a task writes the rest."""
        assert outlet.sock is not None, f"a write on stream {ident}, which is not up"
        try:
            written = os.write(outlet.sock.fileno(), data)
        except BlockingIOError:
            written = 0
        except OSError:
            outlet.scope.cancel()
            return
        if written == len(data):
            self.tell(session.WriteCompleted(ident))
        else:
            self._nursery.start_soon(self._guard, self._write_rest, ident, outlet, memoryview(data)[written:])

    async def _write_rest(self, ident: int, outlet: _Outlet, data: memoryview) -> None:
        assert outlet.sock is not None
        try:
            while data:
                data = data[await outlet.sock.send(data) :]
        except (OSError, trio.ClosedResourceError):
            outlet.scope.cancel()
        else:
            self.tell(session.WriteCompleted(ident))

    # --- the command channel ---

    async def _run_channel(self, follow: session.ConnectChannel, scope: trio.CancelScope) -> None:
        """One connection to the command channel, until it ends or the reducer asks for another."""
        reason = "closed"
        with scope:
            try:
                with trio.socket.socket() as sock:
                    with trio.fail_after(follow.timeout_us / 1e6):
                        await sock.connect(follow.address)
                        await sock.send(protocol.encode_cursor(follow.cursor))
                    decoder = protocol.frame_decoder()
                    while data := await sock.recv(RECEIVE):
                        for update in decoder.feed(data):
                            self.tell(session.ListUpdateReceived(update))
            except (OSError, trio.TooSlowError, protocol.ProtocolError) as error:
                reason = str(error) or type(error).__name__
        if not scope.cancelled_caught:
            self.tell(session.ChannelLost(reason))

    # --- signals ---

    async def _watch_signals(self) -> None:
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
        with trio.open_signal_receiver(*numbers) as received:
            for number in early_signals.take():
                self._signal(number)
            async for number in received:
                self._signal(number)

    def _signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            log("\n".join((self.counters_line(), *self.core.trace_lines())), always=True)
        elif number == signal.SIGHUP:
            self._reconfigure()
        else:
            self.tell(session.Terminate())

    def _reconfigure(self) -> None:
        """Guards against a file that cannot be used: it is a line in the log, and the old one stays."""
        try:
            config, settings = self._reread()
            if missing := self.config.keys - config.keys:
                raise protocol.ConfigError(f"{', '.join(sorted(missing))} is missing")
        except Exception as error:  # noqa: BLE001 - whatever is in the file
            self.tell(session.ConfigRejected(str(error)))
            return
        for name in ("name", "listen", "seed"):
            if getattr(config, name) != getattr(self.config, name):
                log(f"new configuration: another {name} counts from the next start")
        self.tell(session.Reconfigured(config.known, config.channel, config.sockets, settings))

    def counters_line(self) -> str:
        """The figures and counters as one line of JSON."""
        return "counters " + json.dumps(self.core.figures())


class LineWriter:
    """Writes lines in a thread of its own, so that nobody waits for a log that is not read.

    Guards against floods too: lines beyond so many in a second, or in line, are counted and left out.
    """

    def __init__(self, a_second: int = 50, in_line: int = 500) -> None:
        self._lines: queue.Queue[str] = queue.Queue(in_line)
        self._a_second = a_second
        self._second = 0
        self._written = 0
        self._left_out = 0
        self._thread: threading.Thread | None = None

    def write(self, text: str, always: bool = False) -> None:
        now = int(time.time())
        if now != self._second:
            self._second, self._written = now, 0
        if self._written >= self._a_second and not always:
            self._left_out += 1
            return
        self._written += 1
        if self._left_out:
            text, self._left_out = f"({self._left_out} entries left out)\n{text}", 0
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, daemon=True)
            self._thread.start()
        stamp = time.strftime("%H:%M:%S")
        lines = text.rstrip("\n").split("\n")
        try:
            self._lines.put_nowait("".join(f"{stamp} latchturn: {line}\n" for line in lines))
        except queue.Full:
            self._left_out += 1

    def _run(self) -> None:
        while True:
            lines = self._lines.get()
            with contextlib.suppress(OSError):  # nobody reads the log any more: that is no reason to end
                sys.stderr.write(lines)
                sys.stderr.flush()
            self._lines.task_done()

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, but not for ever."""
        with self._lines.all_tasks_done:
            self._lines.all_tasks_done.wait_for(lambda: not self._lines.unfinished_tasks, timeout_s)


_writer = LineWriter()


def log(text: str, always: bool = False) -> None:
    """Write to standard error, each line with the time and the program's name."""
    _writer.write(text, always)


def flush_log(timeout_s: float = 0.2) -> None:
    """At the end of the program: what has been logged is to be written."""
    _writer.flush(timeout_s)
