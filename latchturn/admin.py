"""The connections at the admin listener: each sends one line and receives one answer.

This module owns these connections and their limits, which are separate from those of callers. It makes no decisions:
a line becomes an input of the reducer, and the reducer provides the answer.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import trio

from . import operations, session

MAX_CONNECTIONS = 16  # beyond this, the oldest connection is closed
BACKLOG = 64
CONNECTION_TIMEOUT_S = 5.0  # from accept to the end of the answer


class _AdminConnection:
    """The cancel scope of one connection and the part of its answer that is still to be written."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.reply = b""


class AdminConnections:
    """The open connections at the admin listener."""

    def __init__(self, submit: Callable[[session.Input], None]) -> None:
        self._submit = submit  # passes an input to the reducer; `reply` is called before it returns
        self._connections: dict[int, _AdminConnection] = {}  # by id, the oldest first
        self._accepted_count = 0

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """Serve one connection: read its line, write the answer, close it."""
        self._accepted_count += 1
        connection_id, connection = self._accepted_count, _AdminConnection()
        if len(self._connections) >= MAX_CONNECTIONS:
            next(iter(self._connections.values())).scope.cancel()  # slow clients cannot block others
        self._connections[connection_id] = connection
        try:
            with sock, connection.scope, trio.move_on_after(CONNECTION_TIMEOUT_S), contextlib.suppress(OSError):
                line = await self._read_line(sock)
                self._submit(session.AdminRequest(connection_id, operations.parse_command(line)))
                while connection.reply:
                    connection.reply = connection.reply[await sock.send(connection.reply) :]
                sock.shutdown(trio.socket.SHUT_WR)
        finally:
            del self._connections[connection_id]

    @staticmethod
    async def _read_line(sock: trio.socket.SocketType) -> bytes:
        line = b""
        while b"\n" not in line and len(line) <= operations.MAX_LINE_BYTES:
            data = await sock.recv(operations.MAX_LINE_BYTES)
            if not data:
                break
            line += data
        return line.partition(b"\n")[0]

    def reply(self, connection_id: int, data: bytes) -> None:
        """Set the answer of a connection, if it is still open."""
        if connection_id in self._connections:
            self._connections[connection_id].reply = data
