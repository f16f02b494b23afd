"""Sockets of the rig: listeners that can turn deaf, and closes that reset."""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
import struct

import trio

BACKLOG = 128
HOSTS_PER_SUBNET = 250
FIRST_PORT = 20_000  # below those that the system gives to connects
_port_candidates = itertools.count(FIRST_PORT + os.getpid() * 16 % 10_000)  # the same trial may run twice at once
QUEUE_FILLERS = 3  # connections that fill a queue of length 0; the system lets one or two more in than it says
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


def loopback_address(seed: int) -> str:
    """An address of the loopback for the trial of a seed alone, so that trials side by side share no port."""
    return f"127.1.{seed // HOSTS_PER_SUBNET % HOSTS_PER_SUBNET}.{1 + seed % HOSTS_PER_SUBNET}"


def free_port(host: str) -> int:
    """A port of an address that nothing listens at, and that no other call in this process has given."""
    while True:
        port = next(_port_candidates)
        try:
            with socket.create_server((host, port)):
                return port
        except OSError:
            continue  # somebody else's


def close_with_reset(sock: trio.socket.SocketType) -> None:
    """Close a connection so that its peer sees a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    sock.close()


async def send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Write all bytes; OSError if the connection breaks."""
    view = memoryview(data)
    while view:
        view = view[await sock.send(view) :]


class SuspendableListener:
    """A listener that can stop hearing: its queue is filled, so that further connects get no answer at all.

    The system drops the first packet of a connect to a full queue; the peer repeats it after 1 s and 3 s, so a connect
    to a listener that hears again comes up late.
    """

    def __init__(self, host: str, port: int) -> None:
        self.address = (host, port)
        self._listener: trio.socket.SocketType | None = None
        self._fillers: list[socket.socket] = []
        self._filler_ports: set[int] = set()
        self._accepting = trio.Event()

    @property
    def is_closed(self) -> bool:
        """Whether nothing listens."""
        return self._listener is None

    async def open(self) -> None:
        """Listen; connections are accepted by `accept`."""
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await sock.bind(self.address)
        sock.listen(BACKLOG)
        self._listener = sock
        self._accepting.set()

    def close(self) -> None:
        """Listen no more: connects are refused."""
        self._close_fillers()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._accepting = trio.Event()

    def suspend(self) -> None:
        """Answer no connect from now on."""
        if self._listener is None or not self._accepting.is_set():
            return
        self._accepting = trio.Event()
        self._listener.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)
            self._filler_ports.add(filler.getsockname()[1])

    def resume(self) -> None:
        """Answer connects again."""
        if self._listener is None:
            return
        self._close_fillers()
        self._listener.listen(BACKLOG)
        self._accepting.set()

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    async def accept(self) -> trio.socket.SocketType:
        """The next connection of a peer, not of a filler."""
        while True:
            await self._accepting.wait()
            listener = self._listener
            if listener is None:
                continue
            try:
                # What waits in the queue of a deaf listener stays there, so that it stays full.
                await trio.lowlevel.wait_readable(listener)
                if not self._accepting.is_set():
                    continue
                sock, (_, port) = await listener.accept()
            except (OSError, trio.ClosedResourceError):
                await trio.sleep(0.001)  # closed meanwhile
                continue
            if port in self._filler_ports:
                self._filler_ports.discard(port)
                sock.close()
                continue
            return sock
