"""Input and output of the program: sockets, clock, signals and log.

`Server` owns the listener, the connections of callers, the links to exchanges, the command channel and all tasks.
It passes inputs to the reducer and runs the effects that the reducer returns, in their order. It makes no
decisions and knows no calls, limits or timers.
"""

from __future__ import annotations

import contextlib
import errno
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

from . import admin, boundaries, early_signals, handover, interface, protocol, session

RECEIVE_BYTES = 8 * 1024  # one read: about 50 messages, after which other connections get their turn
BACKLOG = 4096  # the system may allow less; hundreds of callers connect at the same time
USAGE_INTERVAL_S = 0.25  # between two reports of this process's usage to the other process
ACCEPT_RETRY_S = 0.05  # delay after accept() failed for lack of descriptors or memory
RELEASE_CAUSES = frozenset(protocol.ReleaseCause)
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)  # of this process, of the machine
RESTART_DELAY_S = 0.1  # delay before a service task that failed is restarted


class Clock:
    """Unix time in microseconds that never goes backwards, even when the system clock is set back."""

    def __init__(self, read_ns: Callable[[], int] = time.time_ns) -> None:
        self._read_ns = read_ns
        self._offset_us = 0
        self._last_us = 0

    def now_us(self) -> int:
        """Return the current time, continuing from the last result if the system clock was set back."""
        now = self._read_ns() // 1000 + self._offset_us
        if now < self._last_us:
            self._offset_us += self._last_us - now
            now = self._last_us
        self._last_us = now
        return now


class PollMonitor(trio.abc.Instrument):
    """Measures how long input may have been waiting in a socket when it is read.

    Input that a poll of the sockets shows may have arrived at any time since the end of the poll before. If the
    poll had to wait, the input arrived just as the poll ended.
    """

    BLOCKED_NS = 200_000  # a poll that takes longer than this has waited for input

    def __init__(self, read_ns: Callable[[], int] = time.monotonic_ns) -> None:
        self._read_ns = read_ns
        self._poll_began_ns = self._poll_ended_ns = self._arrived_after_ns = read_ns()

    def before_io_wait(self, timeout: float) -> None:
        """Record the start of a poll; called by trio."""
        self._poll_began_ns = self._read_ns()

    def after_io_wait(self, timeout: float) -> None:
        """Record the end of a poll; called by trio."""
        now = self._read_ns()
        self._arrived_after_ns = now if now - self._poll_began_ns > self.BLOCKED_NS else self._poll_ended_ns
        self._poll_ended_ns = now

    def max_unread_us(self) -> int:
        """Return the longest time that the input of the last poll may have been waiting, in microseconds."""
        return (self._read_ns() - self._arrived_after_ns) // 1000


async def _receive(sock: trio.socket.SocketType) -> bytes:
    """Wait for input and return it, empty at the end of input.

    trio's own `recv` runs the event loop once more after it has read the bytes. In that time they are neither in
    the socket nor passed to the reducer, so that `unread_bytes` would not count them.
    """
    while True:
        await trio.lowlevel.wait_readable(sock)
        with contextlib.suppress(BlockingIOError):
            return os.read(sock.fileno(), RECEIVE_BYTES)


def unread_bytes(sock: trio.socket.SocketType | socket.socket) -> int:
    """Return how many received bytes have not been read yet."""
    count = bytearray(4)
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return int.from_bytes(count, sys.byteorder)


class _StreamTask:
    """The socket of one stream and the cancel scope of its task."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.sock: trio.socket.SocketType | None = None


class Server:
    """Runs one session controller on its sockets."""

    def __init__(
        self,
        config: protocol.Config,
        reducer: session.Session,
        read_config: Callable[[], tuple[protocol.Config, interface.Settings]],
    ) -> None:
        self.config = config
        self.reducer = reducer
        self._read_config = read_config  # reads the configuration file again; raises if it is invalid
        self.clock = Clock()
        self.poll_monitor = PollMonitor()
        self._stream_tasks: dict[int, _StreamTask] = {}
        self._admin = admin.AdminConnections(self.submit)
        self._channel_scopes: dict[int, trio.CancelScope] = {}  # by connection to the command channel
        self._accepted_count = 0
        self._handover_path = handover.socket_path(os.environ.get("TMPDIR"), config.listen)
        self._listener: trio.socket.SocketType
        self._predecessor: trio.socket.SocketType | None = None  # connection to the predecessor
        self._process_connections: list[trio.socket.SocketType] = []  # to the predecessor and the successors
        self._serving_scope = trio.CancelScope()  # of the tasks that accept callers and successors
        self._wake_event = trio.Event()  # set when a timer is due earlier than `_wake_us`
        self._wake_us: int | None = None  # when the timer task wakes, None if no timer is set
        self._inputs: deque[session.Input] = deque()  # the first one is being processed
        self._nursery: trio.Nursery

    async def run(self) -> None:
        """Serve until the reducer returns `Exit`."""
        config = self.config
        with contextlib.ExitStack() as sockets:
            admin_listener = None
            if config.admin is not None:
                try:
                    admin_listener = sockets.enter_context(await self._listen(config.admin, admin.BACKLOG))
                except OSError as error:  # callers are served without it
                    log(f"no admin listener at {config.admin[0]}:{config.admin[1]}: {error}")
            inherited = await handover.receive_listener(self._handover_path, config.listen)
            if inherited is not None:
                self._listener, self._predecessor = inherited
            else:
                # SO_REUSEPORT allows this even if a predecessor that could not be found still listens here.
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
        """Run an essential task; restart it whenever it ends or fails."""
        while True:
            await self._run_logged(work, *args)
            await trio.sleep(RESTART_DELAY_S)

    async def _run_logged(self, work: Callable[..., object], *args: object) -> None:
        """Run one task; an exception is logged and counted and does not stop other tasks."""
        try:
            await work(*args)  # type: ignore[misc]
        except Exception:  # noqa: BLE001
            self.reducer.counters["task_errors"] += 1
            log(traceback.format_exc())

    # --- the reducer ---

    def submit(self, input_: session.Input) -> None:
        """Pass an input to the reducer and run the effects that it returns.

        Running an effect may submit further inputs. They wait until all earlier effects have run.
        """
        self._inputs.append(input_)
        if len(self._inputs) > 1:
            return
        while self._inputs:
            try:
                for effect in self.reducer.step(self.clock.now_us(), self._inputs[0]):
                    self._run_effect(effect)
            except Exception:  # noqa: BLE001 - a fault in one input must not end the task that submits it
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
            case session.ConnectChannel(channel_connection):
                scope = self._channel_scopes[channel_connection] = trio.CancelScope()
                self._nursery.start_soon(self._run_logged, self._run_channel, effect, scope)
            case session.CloseChannel(channel_connection):
                if channel_connection in self._channel_scopes:
                    self._channel_scopes[channel_connection].cancel()
            case session.AcceptCallers(on):
                self._serving_scope.cancel()
                if on:
                    if self._predecessor is not None:
                        handover.send_message(self._predecessor, handover.SERVING)
                    self._serving_scope = trio.CancelScope()
                    self._nursery.start_soon(self._run_logged, self._run_listeners, self._serving_scope)
            case session.HandOverCalls(calls):
                for process in self._process_connections:
                    handover.send_messages(process, handover.STANDING_CALL, calls)
            case session.HandOverPendingReleases(releases):
                for process in self._process_connections:
                    handover.send_messages(process, handover.PENDING_RELEASE, releases)
            case session.AskAboutEnd(call_id, cause):
                for process in self._process_connections:
                    handover.send_message(process, handover.END_REPORTED, call_id, cause)
            case session.AnswerEndReport(call_id, must_notify):
                for process in self._process_connections:
                    handover.send_message(process, handover.END_ANSWERED, call_id, int(must_notify))
            case session.ForwardRelease(call_id, cause):
                for process in self._process_connections:
                    handover.send_message(process, handover.FORWARDED_RELEASE, call_id, cause)
            case session.Reply(connection, data):
                self._admin.reply(connection, data)
            case session.Log(text):
                log(text)
            case session.Exit():
                self._nursery.cancel_scope.cancel()

    async def _run_timers(self) -> None:
        """Submit a `Tick` whenever a timer of the reducer is due."""
        while True:
            self._wake_event = trio.Event()
            self._wake_us = self.reducer.wake_us()
            wait_s = math.inf
            if self._wake_us is not None:
                wait_s = max(0.0, (self._wake_us - self.clock.now_us()) / 1e6)
            with trio.move_on_after(wait_s):
                await self._wake_event.wait()
            self._wake_us = 0  # this task is awake, so `submit` need not wake it
            due_us = self.reducer.wake_us()
            if due_us is not None and due_us <= self.clock.now_us():
                self.submit(session.Tick())

    # --- predecessor and successor ---

    async def _run_listeners(self, scope: trio.CancelScope) -> None:
        """Accept callers and successors while this process is the one that serves the address."""
        with scope:
            async with (
                handover.listen_for_successors(self._handover_path) as successors,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(self._run_restarting, self._accept, self._listener, self._run_caller)
                if successors is not None:
                    nursery.start_soon(self._run_restarting, self._accept, successors, self._hand_over)

    async def _hand_over(self, sock: trio.socket.SocketType) -> None:
        """Pass the listener to a successor that has connected, then stay in contact with it."""
        with sock:
            await handover.send_listener(sock, self._listener)
            await self._run_process_connection(sock)

    async def _run_process_connection(self, sock: trio.socket.SocketType) -> None:
        """Exchange messages with the predecessor or a successor until it exits."""
        serves = False
        with sock:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_usage, sock)
                self._process_connections.append(sock)
                async for handover_message in handover.receive(sock):
                    match handover_message:
                        case handover.USAGE, [descriptors, calls]:
                            self.submit(session.OtherProcessUsage(descriptors, calls))
                        case handover.STANDING_CALL, [call, exchange]:
                            self.submit(session.CallInherited(call, exchange))
                        case handover.FORWARDED_RELEASE, [call, cause] if cause < 256:
                            self.submit(session.ReleaseForwarded(call, cause))
                        case handover.PENDING_RELEASE, [call, exchange, cause] if cause in RELEASE_CAUSES:
                            self.submit(session.PendingReleaseInherited(call, exchange, cause))
                        case handover.END_REPORTED, [call, cause] if cause in RELEASE_CAUSES:
                            self.submit(session.EndAskedAbout(call, cause))
                        case handover.END_ANSWERED, [call, must_notify]:
                            self.submit(session.EndReportAnswered(call, bool(must_notify)))
                        case handover.SERVING, []:
                            serves = True
                            self.submit(session.SuccessorChanged(True))
                self._process_connections.remove(sock)
                nursery.cancel_scope.cancel()
        self.submit(session.OtherProcessUsage(0))
        if serves:
            self.submit(session.SuccessorChanged(False))

    async def _send_usage(self, sock: trio.socket.SocketType) -> None:
        """Report the open descriptors and calls of this process to the other process periodically."""
        while True:
            with contextlib.suppress(OSError):  # without a free descriptor the open ones cannot be listed
                handover.send_message(sock, handover.USAGE, handover.count_descriptors(), len(self.reducer.calls.by_id))
            await trio.sleep(USAGE_INTERVAL_S)

    # --- callers ---

    async def _accept(
        self, listener: trio.socket.SocketType, serve: Callable[[trio.socket.SocketType], object]
    ) -> None:
        """Accept connections and start a task for each."""
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                self.reducer.counters["accepts_failed"] += 1
                if error.errno in NO_DESCRIPTOR_ERRORS:
                    self.submit(session.DescriptorsExhausted())
                await trio.sleep(ACCEPT_RETRY_S)  # prevents a busy loop; new connections wait in the backlog
                continue
            self._nursery.start_soon(self._run_logged, serve, sock)

    async def _run_caller(self, sock: trio.socket.SocketType) -> None:
        """Serve the connection of one caller until it closes."""
        self._accepted_count += 1
        stream_id = self._accepted_count
        stream_task = self._stream_tasks[stream_id] = _StreamTask()
        with sock:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            stream_task.sock = sock  # before `Accepted`, since the reducer may write at once
            self.submit(session.Accepted(stream_id))
            await self._run_stream(stream_id, sock, stream_task, boundaries.CallerDecoder())

    # --- exchanges ---

    async def _run_link(self, connect: session.Connect, stream_task: _StreamTask) -> None:
        """Connect to an exchange and serve the link until it closes."""
        stream_id = connect.stream
        refused = no_descriptor = False
        try:
            with trio.socket.socket() as sock:
                sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
                with stream_task.scope, trio.fail_after(connect.timeout_us / 1e6):
                    await sock.connect(connect.address)
                if not stream_task.scope.cancelled_caught:
                    stream_task.scope, stream_task.sock = trio.CancelScope(), sock
                    self.submit(session.Connected(stream_id))
                    await self._run_stream(stream_id, sock, stream_task, boundaries.ExchangeDecoder())
                    return
        except ConnectionRefusedError:
            refused = True
        except (OSError, trio.TooSlowError) as error:
            no_descriptor = isinstance(error, OSError) and error.errno in NO_DESCRIPTOR_ERRORS
            log(f"cannot connect to {connect.address[0]}:{connect.address[1]}: {error or 'timed out'}")
        del self._stream_tasks[stream_id]
        self.submit(session.ConnectFailed(stream_id, refused, no_descriptor))

    # --- streams of callers and exchanges ---

    async def _run_stream(
        self,
        stream_id: int,
        sock: trio.socket.SocketType,
        stream_task: _StreamTask,
        decoder: boundaries.StreamDecoder,
    ) -> None:
        """Read until the reducer closes the stream or the connection breaks."""
        try:
            with stream_task.scope:
                await self._read_messages(stream_id, sock, decoder)
                await trio.sleep_forever()  # the peer sends no more, but may still be written to
        except OSError:
            pass  # the peer has reset the connection; `ConnectionClosed` below reports it
        finally:
            # Closed before the reducer is notified, so that the descriptor is already free then.
            sock.close()
            self._stream_tasks.pop(stream_id, None)
            self.submit(session.ConnectionClosed(stream_id))

    async def _read_messages(
        self, stream_id: int, sock: trio.socket.SocketType, decoder: boundaries.StreamDecoder
    ) -> None:
        """Pass the messages of a stream to the reducer until the end of input or the first malformed message."""
        try:
            partial = False
            while data := await _receive(sock):
                for message in decoder.messages(data):
                    unread_us = self.poll_monitor.max_unread_us()
                    self.submit(session.MessageReceived(stream_id, message, unread_us, decoder.end_certain))
                if partial or decoder.has_partial_message:
                    partial = decoder.has_partial_message
                    self.submit(session.PartialMessage(stream_id, partial))
        except protocol.ProtocolError as error:
            self.submit(session.MalformedInput(stream_id, str(error)))
            # The rest is read and discarded: closing a socket with unread input resets the connection, and the
            # peer would lose answers that are still to be sent.
            while await sock.recv(RECEIVE_BYTES):
                pass
        else:
            self.submit(session.EndOfInput(stream_id))

    def _write(self, stream_id: int, stream_task: _StreamTask, data: bytes) -> None:
        """Write what the socket accepts at once, which is nearly always all; a task writes the rest."""
        assert stream_task.sock is not None, f"write on stream {stream_id}, which is not connected"
        try:
            written = os.write(stream_task.sock.fileno(), data)
        except BlockingIOError:
            written = 0
        except OSError:
            stream_task.scope.cancel()
            return
        if written == len(data):
            self.submit(session.WriteCompleted(stream_id))
        else:
            self._nursery.start_soon(
                self._run_logged, self._write_rest, stream_id, stream_task, memoryview(data)[written:]
            )

    async def _write_rest(self, stream_id: int, stream_task: _StreamTask, data: memoryview) -> None:
        assert stream_task.sock is not None
        try:
            while data:
                data = data[await stream_task.sock.send(data) :]
        except (OSError, trio.ClosedResourceError):
            stream_task.scope.cancel()
        else:
            self.submit(session.WriteCompleted(stream_id))

    # --- the command channel ---

    async def _run_channel(self, request: session.ConnectChannel, scope: trio.CancelScope) -> None:
        """Serve one connection to the command channel until it ends or the reducer closes it."""
        reason = "closed"
        with scope:
            try:
                with trio.socket.socket() as sock:
                    with trio.fail_after(request.timeout_us / 1e6):
                        await sock.connect(request.address)
                        await sock.send(protocol.encode_cursor(request.cursor))
                    decoder = protocol.frame_decoder()
                    while data := await sock.recv(RECEIVE_BYTES):
                        for update in decoder.feed(data):
                            self.submit(session.ListUpdateReceived(request.connection, update))
            except (OSError, trio.TooSlowError, protocol.ProtocolError) as error:
                if isinstance(error, OSError) and error.errno in NO_DESCRIPTOR_ERRORS:
                    self.submit(session.DescriptorsExhausted())
                reason = str(error) or type(error).__name__
        del self._channel_scopes[request.connection]
        if not scope.cancelled_caught:
            self.submit(session.ChannelLost(request.connection, reason))

    # --- signals ---

    async def _watch_signals(self) -> None:
        """Handle signals, first those received before this task ran."""
        signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
        with trio.open_signal_receiver(*signals) as received:
            for signal_number in early_signals.take_recorded():
                self._handle_signal(signal_number)
            async for signal_number in received:
                self._handle_signal(signal_number)

    def _handle_signal(self, signal_number: int) -> None:
        """SIGUSR1 logs counters and trace, SIGHUP reads the configuration again, any other signal ends the program."""
        if signal_number == signal.SIGUSR1:
            log("\n".join((self.counters_line(), *self.reducer.trace_lines())), always=True)
        elif signal_number == signal.SIGHUP:
            self._reconfigure()
        else:
            self.submit(session.Terminate())

    def _reconfigure(self) -> None:
        """Read the configuration file again; if it is invalid, log it and keep the current configuration."""
        try:
            config, settings = self._read_config()
            if missing := self.config.keys - config.keys:
                raise protocol.ConfigError(f"{', '.join(sorted(missing))} is missing")
        except Exception as error:  # noqa: BLE001 - no content of the file may stop the program
            self.submit(session.ConfigRejected(str(error)))
            return
        for name in ("name", "listen", "seed"):
            if getattr(config, name) != getattr(self.config, name):
                log(f"new configuration: the changed {name} takes effect at the next start")
        self.submit(session.Reconfigured(config.known, config.channel, config.sockets, settings))

    def counters_line(self) -> str:
        """Return the figures and counters as one line of JSON."""
        return "counters " + json.dumps(self.reducer.figures())


class LineWriter:
    """Writes log lines in a separate thread, so that a log that nobody reads does not block the program.

    To prevent floods, entries beyond the limit per second or beyond the size of the queue are counted and dropped.
    """

    def __init__(self, entries_per_second: int = 50, max_queued: int = 500) -> None:
        self._lines: queue.Queue[str] = queue.Queue(max_queued)
        self._entries_per_second = entries_per_second
        self._current_second = 0
        self._written_this_second = 0
        self._dropped = 0
        self._thread: threading.Thread | None = None

    def write(self, text: str, always: bool = False) -> None:
        """Queue one entry, which may have several lines; `always` exempts it from the limit per second."""
        now = int(time.time())
        if now != self._current_second:
            self._current_second, self._written_this_second = now, 0
        if self._written_this_second >= self._entries_per_second and not always:
            self._dropped += 1
            return
        self._written_this_second += 1
        if self._dropped:
            text, self._dropped = f"({self._dropped} entries left out)\n{text}", 0
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, daemon=True)
            self._thread.start()
        stamp = time.strftime("%H:%M:%S")
        lines = text.rstrip("\n").split("\n")
        try:
            self._lines.put_nowait("".join(f"{stamp} latchturn: {line}\n" for line in lines))
        except queue.Full:
            self._dropped += 1

    def _run(self) -> None:
        while True:
            lines = self._lines.get()
            with contextlib.suppress(OSError):  # the reader of the log is gone; the program goes on
                sys.stderr.write(lines)
                sys.stderr.flush()
            self._lines.task_done()

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, or until the timeout."""
        with self._lines.all_tasks_done:
            self._lines.all_tasks_done.wait_for(lambda: not self._lines.unfinished_tasks, timeout_s)


_writer = LineWriter()


def log(text: str, always: bool = False) -> None:
    """Write to standard error, each line prefixed with the time and the program's name."""
    _writer.write(text, always)


def flush_log(timeout_s: float = 0.2) -> None:
    """Write out what has been logged; called at the end of the program."""
    _writer.flush(timeout_s)
