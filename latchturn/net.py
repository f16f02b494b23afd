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

RECEIVE_BYTES = 8 * 1024  # about 50 messages: the other connections have their turn after them
BACKLOG = 4096  # as far as the system allows: callers come by the hundred at once
USAGE_INTERVAL_S = 0.25  # between two words of descriptors to the other process
ACCEPT_RETRY_S = 0.05  # after an accept that failed for want of descriptors or memory
RESTART_DELAY_S = 0.1  # of a service task that raised


class Clock:
    """Unix microseconds that never go backwards, also when the system's clock is set back."""

    def __init__(self, read_ns: Callable[[], int] = time.time_ns) -> None:
        self._read_ns = read_ns
        self._offset_us = 0
        self._last_us = 0

    def now_us(self) -> int:
        now = self._read_ns() // 1000 + self._offset_us
        if now < self._last_us:
            self._offset_us += self._last_us - now
            now = self._last_us
        self._last_us = now
        return now


class PollMonitor(trio.abc.Instrument):
    """Knows how long input may have lain unread when it is read: since the last look at the sockets that did
    not show it. A look that had to wait shows what comes as it comes."""

    BLOCKED_NS = 200_000  # a look that took longer did wait

    def __init__(self, read_ns: Callable[[], int] = time.monotonic_ns) -> None:
        self._read_ns = read_ns
        self._poll_began_ns = self._poll_ended_ns = self._arrived_after_ns = read_ns()

    def before_io_wait(self, timeout: float) -> None:
        self._poll_began_ns = self._read_ns()

    def after_io_wait(self, timeout: float) -> None:
        now = self._read_ns()
        self._arrived_after_ns = now if now - self._poll_began_ns > self.BLOCKED_NS else self._poll_ended_ns
        self._poll_ended_ns = now

    def max_unread_us(self) -> int:
        return (self._read_ns() - self._arrived_after_ns) // 1000


async def _receive(sock: trio.socket.SocketType) -> bytes:
    """What has come, as soon as something has. Guards `unread`: trio's own `recv` goes through the loop
    once more with the bytes in hand, when they are neither in the socket nor known to the reducer."""
    while True:
        await trio.lowlevel.wait_readable(sock)
        with contextlib.suppress(BlockingIOError):
            return os.read(sock.fileno(), RECEIVE_BYTES)


def unread_bytes(sock: trio.socket.SocketType | socket.socket) -> int:
    """How many bytes have come and are not read yet."""
    count = bytearray(4)
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return int.from_bytes(count, sys.byteorder)


class _StreamTask:
    """The socket of one stream, and the means to end its task."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.sock: trio.socket.SocketType | None = None


class Server:
    """One session controller on its sockets."""

    def __init__(
        self,
        config: protocol.Config,
        reducer: session.Session,
        read_config: Callable[[], tuple[protocol.Config, interface.Settings]],
    ) -> None:
        self.config = config
        self.reducer = reducer
        self._read_config = read_config  # the configuration file anew; raises if it cannot be used
        self.clock = Clock()
        self.poll_monitor = PollMonitor()
        self._stream_tasks: dict[int, _StreamTask] = {}
        self._admin = admin.AdminConnections(self.submit)
        self._channel = trio.CancelScope()
        self._accepted = 0
        self._path = handover.socket_path(os.environ.get("TMPDIR"), config.listen)
        self._listener: trio.socket.SocketType
        self._predecessor: trio.socket.SocketType | None = None  # the connection to it
        self._process_connections: list[trio.socket.SocketType] = []  # connections to the process before, and after
        self._serving_scope = trio.CancelScope()  # of what takes callers, and successors
        self._wake_event = trio.Event()
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
            inherited = await handover.receive_listener(self._path, config.listen)
            if inherited is not None:
                self._listener, self._predecessor = inherited
            else:
                # With SO_REUSEPORT, since one that serves here may not have been found.
                self._listener = await self._listen(config.listen, BACKLOG, reuse_port=True)
            sockets.enter_context(self._listener)
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self._run_restarting, self._watch_signals)
                if admin_listener is not None:
                    self._nursery.start_soon(self._run_restarting, self._accept, admin_listener, self._admin.serve)
                if self._predecessor is not None:
                    self._nursery.start_soon(self._run_logged, self._run_process_connection, self._predecessor)
                known = config.known
                self.submit(session.Started(known, config.cursor, config.channel, inherited is not None))
                self.submit(session.ListenerReady())
                self._nursery.start_soon(self._run_restarting, self._run_timers)

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

    async def _run_restarting(self, work: Callable[..., object], *args: object) -> None:
        """Run a task without which the program is of no use: it is begun anew if it raises."""
        while True:
            await self._run_logged(work, *args)
            await trio.sleep(RESTART_DELAY_S)

    async def _run_logged(self, work: Callable[..., object], *args: object) -> None:
        """Run one task; what it raises is logged and counted and ends nothing else."""
        try:
            await work(*args)  # type: ignore[misc]
        except Exception:  # noqa: BLE001
            self.reducer.counters["task_errors"] += 1
            log(traceback.format_exc())

    # --- the reducer ---

    def submit(self, input_: session.Input) -> None:
        """Hand an input to the reducer and run the effects. An effect may bring up further inputs: they
        wait until the effects before them are run."""
        self._inputs.append(input_)
        if len(self._inputs) > 1:
            return
        while self._inputs:
            try:
                for effect in self.reducer.step(self.clock.now_us(), self._inputs[0]):
                    self._run_effect(effect)
            except Exception:  # noqa: BLE001 - one event's fault must not end the task that met with it
                self.reducer.counters["errors"] += 1
                log(traceback.format_exc())
            finally:
                self._inputs.popleft()
        wake_us = self.reducer.wake_us()
        if wake_us is not None and (self._wake_us is None or wake_us < self._wake_us):
            self._wake_event.set()

    def _run_effect(self, effect: session.Effect) -> None:
        match effect:
            case session.Write(stream, messages):
                if stream in self._stream_tasks:
                    self._write(stream, self._stream_tasks[stream], b"".join(map(protocol.encode, messages)))
            case session.Connect(stream):
                stream_task = self._stream_tasks[stream] = _StreamTask()
                self._nursery.start_soon(self._run_logged, self._run_link, effect, stream_task)
            case session.Close(stream):
                if stream in self._stream_tasks:
                    self._stream_tasks[stream].scope.cancel()
            case session.CloseIdle(stream):
                idle_task = self._stream_tasks.get(stream)
                if idle_task is not None and idle_task.sock is not None and not unread_bytes(idle_task.sock):
                    idle_task.scope.cancel()
            case session.ConnectChannel():
                self._channel.cancel()
                self._channel = trio.CancelScope()
                self._nursery.start_soon(self._run_logged, self._run_channel, effect, self._channel)
            case session.AcceptCallers(on):
                self._serving_scope.cancel()
                if on:
                    if self._predecessor is not None:
                        handover.send_message(self._predecessor, handover.SERVING)
                    self._serving_scope = trio.CancelScope()
                    self._nursery.start_soon(self._run_logged, self._run_listeners, self._serving_scope)
            case session.HandOverCalls(calls):
                for other in self._process_connections:
                    handover.send_messages(other, handover.STANDING_CALL, calls)
            case session.ForwardRelease(ident, cause):
                for other in self._process_connections:
                    handover.send_message(other, handover.FORWARDED_RELEASE, ident, cause)
            case session.Reply(connection, data):
                self._admin.reply(connection, data)
            case session.Log(text):
                log(text)
            case session.Exit():
                self._nursery.cancel_scope.cancel()

    async def _run_timers(self) -> None:
        while True:
            self._wake_event = trio.Event()
            self._wake_us = self.reducer.wake_us()
            wait_s = math.inf
            if self._wake_us is not None:
                wait_s = max(0.0, (self._wake_us - self.clock.now_us()) / 1e6)
            with trio.move_on_after(wait_s):
                await self._wake_event.wait()
            self._wake_us = 0  # no call of `tell` need wake this task while it is at work
            due = self.reducer.wake_us()
            if due is not None and due <= self.clock.now_us():
                self.submit(session.Tick())

    # --- the process before this one, and the one after it ---

    async def _run_listeners(self, scope: trio.CancelScope) -> None:
        """Take callers, and a successor, for as long as this process is the one that serves."""
        with scope:
            async with handover.listen_for_successors(self._path) as successors, trio.open_nursery() as nursery:
                nursery.start_soon(self._run_restarting, self._accept, self._listener, self._run_caller)
                if successors is not None:
                    nursery.start_soon(self._run_restarting, self._accept, successors, self._hand_over)

    async def _hand_over(self, sock: trio.socket.SocketType) -> None:
        with sock:
            await handover.send_listener(sock, self._listener)
            await self._run_process_connection(sock)

    async def _run_process_connection(self, sock: trio.socket.SocketType) -> None:
        """Exchange words with the other process until it ends."""
        serves = False
        with sock:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_usage, sock)
                self._process_connections.append(sock)
                async for words in handover.receive(sock):
                    match words:
                        case handover.USAGE, [held, calls]:
                            self.submit(session.OtherProcessUsage(held, calls))
                        case handover.STANDING_CALL, [call, exchange]:
                            self.submit(session.CallInherited(call, exchange))
                        case handover.FORWARDED_RELEASE, [call, cause] if cause < 256:
                            self.submit(session.ReleaseForwarded(call, cause))
                        case handover.SERVING, []:
                            serves = True
                            self.submit(session.SuccessorChanged(True))
                self._process_connections.remove(sock)
                nursery.cancel_scope.cancel()
        self.submit(session.OtherProcessUsage(0))
        if serves:
            self.submit(session.SuccessorChanged(False))

    async def _send_usage(self, sock: trio.socket.SocketType) -> None:
        while True:
            handover.send_message(sock, handover.USAGE, handover.count_descriptors(), len(self.reducer.calls.by_id))
            await trio.sleep(USAGE_INTERVAL_S)

    # --- callers ---

    async def _accept(
        self, listener: trio.socket.SocketType, serve: Callable[[trio.socket.SocketType], object]
    ) -> None:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError:
                # Guards against a spin while descriptors are used up: the backlog waits meanwhile.
                self.reducer.counters["accepts_failed"] += 1
                await trio.sleep(ACCEPT_RETRY_S)
                continue
            self._nursery.start_soon(self._run_logged, serve, sock)

    async def _run_caller(self, sock: trio.socket.SocketType) -> None:
        self._accepted += 1
        ident = self._accepted
        stream_task = self._stream_tasks[ident] = _StreamTask()
        with sock:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            stream_task.sock = sock  # before the reducer hears of it, since it may write at once
            self.submit(session.Accepted(ident))
            await self._run_stream(ident, sock, stream_task)

    # --- exchanges ---

    async def _run_link(self, connect: session.Connect, stream_task: _StreamTask) -> None:
        ident = connect.stream
        refused = False
        try:
            with trio.socket.socket() as sock:
                sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
                with stream_task.scope, trio.fail_after(connect.timeout_us / 1e6):
                    await sock.connect(connect.address)
                if not stream_task.scope.cancelled_caught:
                    stream_task.scope, stream_task.sock = trio.CancelScope(), sock
                    self.submit(session.Connected(ident))
                    await self._run_stream(ident, sock, stream_task)
                    return
        except ConnectionRefusedError:
            refused = True
        except (OSError, trio.TooSlowError) as error:  # also for want of descriptors
            log(f"connect to {connect.address[0]}:{connect.address[1]}: {error or 'timed out'}")
        del self._stream_tasks[ident]
        self.submit(session.ConnectFailed(ident, refused))

    # --- any stream ---

    async def _run_stream(self, ident: int, sock: trio.socket.SocketType, stream_task: _StreamTask) -> None:
        """Read until the reducer closes the stream or the connection breaks."""
        try:
            with stream_task.scope:
                await self._read(ident, sock)
                await trio.sleep_forever()  # the peer sends no more, but may still be written to
        except OSError:
            pass  # the peer has reset the connection: all that is left is to say so
        finally:
            # The socket is closed before the reducer hears of it, so that its descriptor is free again.
            sock.close()
            self._stream_tasks.pop(ident, None)
            self.submit(session.ConnectionClosed(ident))

    async def _read(self, ident: int, sock: trio.socket.SocketType) -> None:
        decoder = protocol.message_decoder()
        try:
            partial = False
            while data := await _receive(sock):
                for message in decoder.feed(data):
                    self.submit(session.MessageReceived(ident, message, self.poll_monitor.max_unread_us()))
                if partial or decoder.has_partial_message:
                    partial = decoder.has_partial_message
                    self.submit(session.PartialMessage(ident, partial))
        except protocol.ProtocolError as error:
            self.submit(session.MalformedInput(ident, str(error)))
            # Guards the answers that are still owed: closing with input unread would reset the connection.
            while await sock.recv(RECEIVE_BYTES):
                pass
        else:
            self.submit(session.EndOfInput(ident))

    def _write(self, ident: int, stream_task: _StreamTask, data: bytes) -> None:
        """Write at once what the socket takes, as it nearly always takes all; a task writes the rest."""
        assert stream_task.sock is not None, f"a write on stream {ident}, which is not up"
        try:
            written = os.write(stream_task.sock.fileno(), data)
        except BlockingIOError:
            written = 0
        except OSError:
            stream_task.scope.cancel()
            return
        if written == len(data):
            self.submit(session.WriteCompleted(ident))
        else:
            self._nursery.start_soon(self._run_logged, self._write_rest, ident, stream_task, memoryview(data)[written:])

    async def _write_rest(self, ident: int, stream_task: _StreamTask, data: memoryview) -> None:
        assert stream_task.sock is not None
        try:
            while data:
                data = data[await stream_task.sock.send(data) :]
        except (OSError, trio.ClosedResourceError):
            stream_task.scope.cancel()
        else:
            self.submit(session.WriteCompleted(ident))

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
                    while data := await sock.recv(RECEIVE_BYTES):
                        for update in decoder.feed(data):
                            self.submit(session.ListUpdateReceived(update))
            except (OSError, trio.TooSlowError, protocol.ProtocolError) as error:
                reason = str(error) or type(error).__name__
        if not scope.cancelled_caught:
            self.submit(session.ChannelLost(reason))

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
            log("\n".join((self.counters_line(), *self.reducer.trace_lines())), always=True)
        elif number == signal.SIGHUP:
            self._reconfigure()
        else:
            self.submit(session.Terminate())

    def _reconfigure(self) -> None:
        """Guards against a file that cannot be used: it is a line in the log, and the old one stays."""
        try:
            config, settings = self._read_config()
            if missing := self.config.keys - config.keys:
                raise protocol.ConfigError(f"{', '.join(sorted(missing))} is missing")
        except Exception as error:  # noqa: BLE001 - whatever is in the file
            self.submit(session.ConfigRejected(str(error)))
            return
        for name in ("name", "listen", "seed"):
            if getattr(config, name) != getattr(self.config, name):
                log(f"new configuration: another {name} counts from the next start")
        self.submit(session.Reconfigured(config.known, config.channel, config.sockets, settings))

    def counters_line(self) -> str:
        """The figures and counters as one line of JSON."""
        return "counters " + json.dumps(self.reducer.figures())


class LineWriter:
    """Writes lines in a thread of its own, so that nobody waits for a log that is not read.

    Guards against floods too: lines beyond so many in a second, or in line, are counted and left out.
    """

    def __init__(self, entries_per_second: int = 50, max_queued: int = 500) -> None:
        self._lines: queue.Queue[str] = queue.Queue(max_queued)
        self._entries_per_second = entries_per_second
        self._second = 0
        self._written = 0
        self._left_out = 0
        self._thread: threading.Thread | None = None

    def write(self, text: str, always: bool = False) -> None:
        now = int(time.time())
        if now != self._second:
            self._second, self._written = now, 0
        if self._written >= self._entries_per_second and not always:
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
