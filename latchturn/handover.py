"""The handover socket in $TMPDIR, over which a process passes its listener and its calls to its successor.

This module defines the path of the socket, creates and connects it, and encodes the messages on it: the listener
itself, the descriptors and calls that each process holds, the standing calls, forwarded releases, and that the
successor now serves. It makes no decisions. Nothing that lies in $TMPDIR or arrives on the socket may prevent
the program from starting.
"""

from __future__ import annotations

import array
import contextlib
import os
import select
import socket
import time
from collections.abc import AsyncIterator, Iterable
from pathlib import Path

import trio

SEND_TIMEOUT_S = 0.1  # short, since the sending process is about to exit
PREDECESSOR_TIMEOUT_S = 0.3  # the predecessor may hang, or the peer may be another program
# Names of the messages; the comments give the numbers that follow.
SERVING = "serving"  # the successor serves from now on
USAGE = "held"  # open descriptors, open calls
STANDING_CALL = "stands"  # call, exchange
FORWARDED_RELEASE = "over"  # call, cause
PENDING_RELEASE = "unconfirmed"  # call, exchange, cause
END_REPORTED = "ended?"  # call, cause
END_ANSWERED = "ended!"  # call, 1 if the receiver must notify the caller, else 0
MAX_UNREAD_BYTES = 4096  # largest incomplete line, and the size of one read


def socket_path(folder: str | None, address: tuple[str, int]) -> Path | None:
    """Return the path of the handover socket for the address that a process serves, None without a folder."""
    return Path(folder) / f"latchturn-{address[0]}-{address[1]}.sock" if folder else None


def count_descriptors() -> int:
    """Return the number of open file descriptors of this process."""
    return len(os.listdir("/proc/self/fd"))


def _encode(name: str, numbers: Iterable[int]) -> bytes:
    return " ".join((name, *map(str, numbers))).encode() + b"\n"


def send_message(sock: trio.socket.SocketType, name: str, *numbers: int) -> None:
    """Send a message to the other process; errors are ignored, since then it no longer reads."""
    with contextlib.suppress(OSError):
        os.write(sock.fileno(), _encode(name, numbers))


def send_messages(sock: trio.socket.SocketType, name: str, messages: Iterable[tuple[int, ...]]) -> None:
    """Send a message for each tuple of numbers, waiting up to `SEND_TIMEOUT_S` while the socket's buffer is full.

    All messages are written together. A separate write for each takes many times the size of the message in the
    buffer, so that the buffer fills up and later messages are lost.
    """
    data = memoryview(b"".join(_encode(name, numbers) for numbers in messages))
    writable = select.poll()
    writable.register(sock.fileno(), select.POLLOUT)
    deadline_s = time.monotonic() + SEND_TIMEOUT_S
    with contextlib.suppress(OSError):
        while data and time.monotonic() < deadline_s:
            try:
                data = data[os.write(sock.fileno(), data) :]
            except BlockingIOError:
                writable.poll(max(1, int(1000 * (deadline_s - time.monotonic()))))


async def receive(sock: trio.socket.SocketType) -> AsyncIterator[tuple[str, list[int]]]:
    """Yield the messages of the other process, each with its numbers, until it exits; malformed ones are skipped."""
    unread = b""
    with contextlib.suppress(OSError):
        while len(unread) < MAX_UNREAD_BYTES and (data := await sock.recv(MAX_UNREAD_BYTES)):
            *lines, unread = (unread + data).split(b"\n")
            for line in lines:
                name, *numbers = line.decode("ascii", "replace").split() or [""]
                if all(n.isdecimal() and len(n) <= 20 for n in numbers):
                    yield name, [int(n) for n in numbers]


async def send_listener(sock: trio.socket.SocketType, listener: trio.socket.SocketType) -> None:
    """Pass the listener to the successor, together with an empty line."""
    descriptor = array.array("i", [listener.fileno()])
    await sock.sendmsg([b"\n"], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, descriptor)])


async def receive_listener(
    path: Path | None, address: tuple[str, int]
) -> tuple[trio.socket.SocketType, trio.socket.SocketType] | None:
    """Take over the listener of the process that serves the address.

    Returns the listener and the connection to that process, or None if there is no such process.
    """
    if path is None:
        return None
    sock = trio.socket.socket(socket.AF_UNIX)
    descriptors = array.array("i")
    received = None
    try:
        with trio.fail_after(PREDECESSOR_TIMEOUT_S):
            await sock.connect(str(path))
            _, ancillary, _, _ = await sock.recvmsg(MAX_UNREAD_BYTES, socket.CMSG_SPACE(descriptors.itemsize))
        for level, kind, data in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                descriptors.frombytes(data[: len(data) - len(data) % descriptors.itemsize])
        if len(descriptors) == 1:
            listener = socket.socket(fileno=os.dup(descriptors[0]))
            is_listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            if is_listening and listener.getsockname() == address:
                listener.setblocking(False)
                received = trio.socket.from_stdlib_socket(listener)
                return received, sock
            listener.close()
    except (OSError, ValueError, trio.TooSlowError):
        pass  # no file, not a socket, or a dead or unresponsive peer: this process opens its own listener
    finally:
        for descriptor in descriptors:
            os.close(descriptor)
        if received is None:
            sock.close()
    return None


@contextlib.asynccontextmanager
async def listen_for_successors(path: Path | None) -> AsyncIterator[trio.socket.SocketType | None]:
    """Listen for successors at the path, replacing any file there; yields None if that fails."""
    if path is None:
        yield None
        return
    temporary_path = path.with_suffix(f".{os.getpid()}")
    with trio.socket.socket(socket.AF_UNIX) as sock:
        try:
            temporary_path.unlink(missing_ok=True)
            await sock.bind(str(temporary_path))
            sock.listen(8)
            inode = temporary_path.stat().st_ino
            temporary_path.replace(path)
        except OSError:
            with contextlib.suppress(OSError):
                temporary_path.unlink(missing_ok=True)
            yield None
            return
        try:
            yield sock
        finally:
            with contextlib.suppress(OSError):  # the path may belong to a successor by now
                if path.stat().st_ino == inode:
                    path.unlink()
