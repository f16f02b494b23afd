"""The socket in $TMPDIR through which a process that serves hands its listener to its successor.

Owns the socket's name, what may lie at it, and the words that pass: the listener itself, how many
descriptors each side holds, and that the successor serves. It must decide nothing, and nothing that
lies in $TMPDIR or comes over the socket may keep the program from starting.
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

SEND_ALL_TIMEOUT_S = 0.1  # the process that waits so long is about to end
PREDECESSOR_TIMEOUT_S = 0.3  # with a process that may be hung, or something else
# The words, with what follows them.
SERVING = "serving"
USAGE = "held"  # descriptors, calls
STANDING_CALL = "stands"  # call, exchange
FORWARDED_RELEASE = "over"  # call, cause
MAX_UNREAD_BYTES = 4096  # bytes


def socket_path(folder: str | None, address: tuple[str, int]) -> Path | None:
    """Where the process that serves at an address is found, None without a folder."""
    return Path(folder) / f"latchturn-{address[0]}-{address[1]}.sock" if folder else None


def count_descriptors() -> int:
    """How many this process holds."""
    return len(os.listdir("/proc/self/fd"))


def _encode(word: str, numbers: Iterable[int]) -> bytes:
    return " ".join((word, *map(str, numbers))).encode() + b"\n"


def send_message(sock: trio.socket.SocketType, word: str, *numbers: int) -> None:
    """Tell the other process; if it does not listen there is nobody to tell."""
    with contextlib.suppress(OSError):
        os.write(sock.fileno(), _encode(word, numbers))


def send_messages(sock: trio.socket.SocketType, word: str, rows: Iterable[tuple[int, ...]]) -> None:
    """Tell the other process one word for each row, and wait for it to take them in, `SAY_ALL_S` at most.

    Guards against words lost in a full queue: each write of its own takes many times its size there.
    """
    data = memoryview(b"".join(_encode(word, numbers) for numbers in rows))
    writable = select.poll()
    writable.register(sock.fileno(), select.POLLOUT)
    until = time.monotonic() + SEND_ALL_TIMEOUT_S
    with contextlib.suppress(OSError):
        while data and time.monotonic() < until:
            try:
                data = data[os.write(sock.fileno(), data) :]
            except BlockingIOError:
                writable.poll(max(1, int(1000 * (until - time.monotonic()))))


async def receive(sock: trio.socket.SocketType) -> AsyncIterator[tuple[str, list[int]]]:
    """The other process's words, each with its numbers, until it ends; what cannot be read is passed over."""
    unread = b""
    with contextlib.suppress(OSError):
        while len(unread) < MAX_UNREAD_BYTES and (data := await sock.recv(MAX_UNREAD_BYTES)):
            *lines, unread = (unread + data).split(b"\n")
            for line in lines:
                word, *numbers = line.decode("ascii", "replace").split() or [""]
                if all(n.isdecimal() and len(n) <= 20 for n in numbers):
                    yield word, [int(n) for n in numbers]


async def send_listener(sock: trio.socket.SocketType, listener: trio.socket.SocketType) -> None:
    """Hand the listener over, with an empty line."""
    handle = array.array("i", [listener.fileno()])
    await sock.sendmsg([b"\n"], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, handle)])


async def receive_listener(
    path: Path | None, address: tuple[str, int]
) -> tuple[trio.socket.SocketType, trio.socket.SocketType] | None:
    """The listener of the process that serves at the address, and the connection to it; None without one."""
    if path is None:
        return None
    sock = trio.socket.socket(socket.AF_UNIX)
    handles = array.array("i")
    inherited = None
    try:
        with trio.fail_after(PREDECESSOR_TIMEOUT_S):
            await sock.connect(str(path))
            _, extra, _, _ = await sock.recvmsg(MAX_UNREAD_BYTES, socket.CMSG_SPACE(handles.itemsize))
        for level, kind, data in extra:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                handles.frombytes(data[: len(data) - len(data) % handles.itemsize])
        if len(handles) == 1:
            listener = socket.socket(fileno=os.dup(handles[0]))
            listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            if listens and listener.getsockname() == address:
                listener.setblocking(False)
                inherited = trio.socket.from_stdlib_socket(listener)
                return inherited, sock
            listener.close()
    except (OSError, ValueError, trio.TooSlowError):
        pass  # no file, no socket, a dead or a silent peer: this process starts for itself
    finally:
        for handle in handles:
            os.close(handle)
        if inherited is None:
            sock.close()
    return None


@contextlib.asynccontextmanager
async def listen_for_successors(path: Path | None) -> AsyncIterator[trio.socket.SocketType | None]:
    """A socket for successors at the path, in place of whatever lies there; None if that cannot be."""
    if path is None:
        yield None
        return
    ours = path.with_suffix(f".{os.getpid()}")
    with trio.socket.socket(socket.AF_UNIX) as sock:
        try:
            ours.unlink(missing_ok=True)
            await sock.bind(str(ours))
            sock.listen(8)
            made = ours.stat().st_ino
            ours.replace(path)
        except OSError:
            with contextlib.suppress(OSError):
                ours.unlink(missing_ok=True)
            yield None
            return
        try:
            yield sock
        finally:
            with contextlib.suppress(OSError):  # it may be a successor's by now
                if path.stat().st_ino == made:
                    path.unlink()
