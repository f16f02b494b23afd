"""The admin listener: connections of operators, each with one line and its answer.

Owns these connections and their bounds, which are apart from those of callers. It must decide nothing: a line becomes
an input of the reducer, and the answer is the reducer's.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import trio

from . import operations, session

MAX_CONNECTIONS = 16  # the oldest makes room
BACKLOG = 64
CONNECTION_TIMEOUT_S = 5.0  # for one connection


class _Connection:
    """One connection, the means to end it, and what is still to be written to it."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.reply = b""


class AdminConnections:
    """The connections that are open at the admin listener."""

    def __init__(self, submit: Callable[[session.Input], None]) -> None:
        self._submit = submit  # hands an input to the reducer, which replies before it returns
        self._connections: dict[int, _Connection] = {}  # the oldest first
        self._accepted = 0

    async def serve(self, sock: trio.socket.SocketType) -> None:
        """One connection, from its line to its end."""
        self._accepted += 1
        connection_id, connection = self._accepted, _Connection()
        if len(self._connections) >= MAX_CONNECTIONS:
            next(iter(self._connections.values())).scope.cancel()  # guards the listener against those who dawdle
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
        """Answer a connection, if it is still open."""
        if connection_id in self._connections:
            self._connections[connection_id].reply = data
