"""Sockets of the rig: a listener that can stop answering connects, and closing a connection with a reset."""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
import struct

import trio

BACKLOG = 128
HOSTS_PER_SUBNET = 250
FIRST_PORT = 20_000  # below the ephemeral ports that the system assigns to outgoing connections
# The first port differs by process, since the same trial may run twice at a time.
_port_candidates = itertools.count(FIRST_PORT + os.getpid() * 16 % 10_000)
QUEUE_FILLERS = 3  # connections that fill a backlog of 0; the system accepts one or two more than the backlog
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s: close() sends a reset


def loopback_address(seed: int) -> str:
    """Return a loopback address used by the trial of this seed only, so that parallel trials share no port."""
    return f"127.1.{seed // HOSTS_PER_SUBNET % HOSTS_PER_SUBNET}.{1 + seed % HOSTS_PER_SUBNET}"


def free_port(host: str) -> int:
    """Return a port on which nothing listens and which no other call in this process has returned."""
    while True:
        port = next(_port_candidates)
        try:
            with socket.create_server((host, port)):
                return port
        except OSError:
            continue  # in use by another process


def close_with_reset(sock: trio.socket.SocketType) -> None:
    """Close a connection so that its peer receives a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    sock.close()


async def send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    """Write all bytes; raises OSError if the connection breaks."""
    view = memoryview(data)
    while view:
        view = view[await sock.send(view) :]


class SuspendableListener:
    """A listener that can stop answering connects: its accept queue is filled, so that further connects get no reply.

    The system drops the SYN of a connect to a full queue. The peer repeats it after 1 s and 3 s, so a connect begun
    while the listener is suspended is established late.
    """

    def __init__(self, host: str, port: int) -> None:
        self.address = (host, port)
        self._listener: trio.socket.SocketType | None = None
        self._fillers: list[socket.socket] = []
        self._filler_ports: set[int] = set()
        self._accepting = trio.Event()

    @property
    def is_closed(self) -> bool:
        """Whether the address has no listening socket, so that connects are refused."""
        return self._listener is None

    async def open(self) -> None:
        """Start to listen; `accept` returns the connections."""
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await sock.bind(self.address)
        sock.listen(BACKLOG)
        self._listener = sock
        self._accepting.set()

    def close(self) -> None:
        """Stop listening: connects are refused."""
        self._close_fillers()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._accepting = trio.Event()

    def suspend(self) -> None:
        """Leave all further connects without a reply."""
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
        """Return the next connection of a peer, skipping those that fill the queue."""
        while True:
            await self._accepting.wait()
            listener = self._listener
            if listener is None:
                continue
            try:
                # Connections in the queue of a suspended listener are not accepted, so that the queue stays full.
                await trio.lowlevel.wait_readable(listener)
                if not self._accepting.is_set():
                    continue
                sock, (_, port) = await listener.accept()
            except (OSError, trio.ClosedResourceError):
                await trio.sleep(0.001)  # the listener was closed while this task waited
                continue
            if port in self._filler_ports:
                self._filler_ports.discard(port)
                sock.close()
                continue
            return sock
