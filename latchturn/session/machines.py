"""The explicit machines: the attempt, the call, the connection and the phase, each as one table.

A table says for each state and each move either where it goes or why the move cannot be. It has no state of
its own and no clock; who holds a state asks `go` for the next one. A move that cannot be is an
`ImpossibleMove`: the reducer counts and logs it as a fault of its own and fails the call that met it; it is
never passed over.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import Generic, TypeVar


class ImpossibleMove(RuntimeError):
    """A move that the table says cannot be, and why it thought so."""


S = TypeVar("S", bound=IntEnum)
M = TypeVar("M", bound=IntEnum)


class Machine(Generic[S, M]):
    """One table. `moves` gives the next state, `never` the reason why a move cannot come; ValueError if the
    two together do not name each pair just once."""

    def __init__(
        self, name: str, states: type[S], inputs: type[M], moves: Mapping[tuple[S, M], S],
        never: Mapping[tuple[S, M], str],
    ) -> None:  # fmt: skip
        pairs = {(s, m) for s in states for m in inputs}
        if moves.keys() & never.keys() or moves.keys() | never.keys() != pairs:
            raise ValueError(f"the table of {name} does not name each pair just once")
        self.name = name
        self.states, self.inputs = states, inputs
        self.never = dict(never)
        self._rows = tuple(tuple(moves.get((s, m)) for m in inputs) for s in states)

    def go(self, state: S, move: M) -> S:
        """The state after a move; ImpossibleMove if it cannot be."""
        after = self._rows[state][move]
        if after is None:
            raise ImpossibleMove(f"{self.name}: {state.name} met {move.name}: {self.never[state, move]}")
        return after


# --- an attempt: a set-up on its way to an exchange, or waiting there for its answer ---


class AttemptState(IntEnum):
    QUEUED = 0  # nothing of it has left
    SENDING = 1  # its bytes have begun to leave
    OUT = 2  # wholly written
    GIVING_UP = 3  # timed out, its give-up is about to be written
    OVER = 4


class AttemptMove(IntEnum):
    LEAVE = 0  # its set-up is handed over for writing
    WRITTEN = 1  # the write is through
    TIME_OUT = 2
    END = 3  # answered, refused, cut, cancelled or given up


_A, _AM = AttemptState, AttemptMove
ATTEMPT = Machine(
    "attempt", AttemptState, AttemptMove,
    {
        (_A.QUEUED, _AM.LEAVE): _A.SENDING, (_A.QUEUED, _AM.END): _A.OVER,
        (_A.SENDING, _AM.WRITTEN): _A.OUT, (_A.SENDING, _AM.TIME_OUT): _A.GIVING_UP,
        (_A.SENDING, _AM.END): _A.OVER,
        (_A.OUT, _AM.TIME_OUT): _A.GIVING_UP, (_A.OUT, _AM.END): _A.OVER,
        # The give-up waits behind the set-up on the same connection.
        (_A.GIVING_UP, _AM.WRITTEN): _A.GIVING_UP, (_A.GIVING_UP, _AM.END): _A.OVER,
        # Cancelled while its bytes were on their way: that they are through changes nothing any more.
        (_A.OVER, _AM.WRITTEN): _A.OVER,
    },
    {
        (_A.QUEUED, _AM.WRITTEN): "what has not begun to leave cannot be through",
        (_A.QUEUED, _AM.TIME_OUT): "an attempt that never left ends at once, there is nothing to give up",
        (_A.SENDING, _AM.LEAVE): "a set-up leaves once",
        (_A.OUT, _AM.LEAVE): "a set-up leaves once",
        (_A.OUT, _AM.WRITTEN): "a write is through once",
        (_A.GIVING_UP, _AM.LEAVE): "what is given up has left before",
        (_A.GIVING_UP, _AM.TIME_OUT): "its one timer has run",
        (_A.OVER, _AM.LEAVE): "what is over is taken off its connection as that is written",
        (_A.OVER, _AM.TIME_OUT): "its timer is dropped as it ends",
        (_A.OVER, _AM.END): "an attempt is taken off its call as it ends",
    },
)  # fmt: skip


# --- a call ---


class CallState(IntEnum):
    OWED = 0  # it has had no final answer
    STANDING = 1
    OVER = 2


class CallMove(IntEnum):
    ANSWER = 0  # it stands from now on
    FORGET = 1  # refused, failed, given up or at its end


_C, _CM = CallState, CallMove
CALL = Machine(
    "call", CallState, CallMove,
    {
        (_C.OWED, _CM.ANSWER): _C.STANDING, (_C.OWED, _CM.FORGET): _C.OVER,
        (_C.STANDING, _CM.FORGET): _C.OVER,
    },
    {
        (_C.STANDING, _CM.ANSWER): "a call that stands has no attempt out that could be answered",
        (_C.OVER, _CM.ANSWER): "the attempt of a call that is over has ended with it",
        (_C.OVER, _CM.FORGET): "a call is taken out of the table once",
    },
)  # fmt: skip


# --- a connection, a caller's or a link to an exchange ---


class StreamState(IntEnum):
    CONNECTING = 0
    UP = 1
    FINISHING = 2  # nothing more is taken from it; it closes once all that it is owed is written
    CLOSED = 3


class StreamMove(IntEnum):
    CONNECTED = 0
    FINISH = 1
    CLOSE = 2


_S, _SM = StreamState, StreamMove
STREAM = Machine(
    "connection", StreamState, StreamMove,
    {
        (_S.CONNECTING, _SM.CONNECTED): _S.UP, (_S.CONNECTING, _SM.CLOSE): _S.CLOSED,
        (_S.UP, _SM.FINISH): _S.FINISHING, (_S.UP, _SM.CLOSE): _S.CLOSED,
        # Its peer ends after we have shut it, or the other way round.
        (_S.FINISHING, _SM.FINISH): _S.FINISHING, (_S.FINISHING, _SM.CLOSE): _S.CLOSED,
    },
    {
        (_S.CONNECTING, _SM.FINISH): "callers' connections come as connected, and links are closed at once",
        (_S.UP, _SM.CONNECTED): "a connect succeeds once",
        (_S.FINISHING, _SM.CONNECTED): "callers' connections come as connected",
        (_S.CLOSED, _SM.CONNECTED): "what is closed is out of the table",
        (_S.CLOSED, _SM.FINISH): "what is closed is out of the table",
        (_S.CLOSED, _SM.CLOSE): "a connection leaves its table once",
    },
)  # fmt: skip


# --- the phase of the program ---


class PhaseState(IntEnum):
    OPEN = 0  # starting or serving, as the groups have been told
    DRAINING = 1
    SUCCEEDED = 2  # a successor serves at the address
    ENDING = 3  # SIGTERM has come
    SUCCEEDED_ENDING = 4  # both
    EXITED = 5


class PhaseMove(IntEnum):
    DRAIN = 0
    REJOIN = 1
    SUCCEED = 2
    RESUME = 3  # the successor has gone
    TERMINATE = 4
    EXIT = 5


_P, _PM = PhaseState, PhaseMove
_LATE = "no operator is obeyed any more: the answer is no"
_UNTOLD = "the program ends after SIGTERM alone"
PHASE = Machine(
    "phase", PhaseState, PhaseMove,
    {
        (_P.OPEN, _PM.DRAIN): _P.DRAINING, (_P.OPEN, _PM.REJOIN): _P.OPEN,
        (_P.OPEN, _PM.SUCCEED): _P.SUCCEEDED, (_P.OPEN, _PM.RESUME): _P.OPEN,
        (_P.OPEN, _PM.TERMINATE): _P.ENDING,
        (_P.DRAINING, _PM.DRAIN): _P.DRAINING, (_P.DRAINING, _PM.REJOIN): _P.OPEN,
        (_P.DRAINING, _PM.SUCCEED): _P.SUCCEEDED, (_P.DRAINING, _PM.RESUME): _P.OPEN,
        (_P.DRAINING, _PM.TERMINATE): _P.ENDING,
        (_P.SUCCEEDED, _PM.SUCCEED): _P.SUCCEEDED, (_P.SUCCEEDED, _PM.RESUME): _P.OPEN,
        (_P.SUCCEEDED, _PM.TERMINATE): _P.SUCCEEDED_ENDING,
        (_P.ENDING, _PM.SUCCEED): _P.SUCCEEDED_ENDING, (_P.ENDING, _PM.RESUME): _P.ENDING,
        (_P.ENDING, _PM.TERMINATE): _P.ENDING, (_P.ENDING, _PM.EXIT): _P.EXITED,
        (_P.SUCCEEDED_ENDING, _PM.SUCCEED): _P.SUCCEEDED_ENDING,
        # It was told to end: it does not take callers again, and bequeaths all the same.
        (_P.SUCCEEDED_ENDING, _PM.RESUME): _P.SUCCEEDED_ENDING,
        (_P.SUCCEEDED_ENDING, _PM.TERMINATE): _P.SUCCEEDED_ENDING,
        (_P.SUCCEEDED_ENDING, _PM.EXIT): _P.EXITED,
        (_P.EXITED, _PM.SUCCEED): _P.EXITED, (_P.EXITED, _PM.RESUME): _P.EXITED,
        (_P.EXITED, _PM.TERMINATE): _P.EXITED,
    },
    {
        (_P.OPEN, _PM.EXIT): _UNTOLD, (_P.DRAINING, _PM.EXIT): _UNTOLD, (_P.SUCCEEDED, _PM.EXIT): _UNTOLD,
        (_P.SUCCEEDED, _PM.DRAIN): _LATE, (_P.SUCCEEDED, _PM.REJOIN): _LATE,
        (_P.ENDING, _PM.DRAIN): _LATE, (_P.ENDING, _PM.REJOIN): _LATE,
        (_P.SUCCEEDED_ENDING, _PM.DRAIN): _LATE, (_P.SUCCEEDED_ENDING, _PM.REJOIN): _LATE,
        (_P.EXITED, _PM.DRAIN): _LATE, (_P.EXITED, _PM.REJOIN): _LATE,
        (_P.EXITED, _PM.EXIT): "it ends once",
    },
)  # fmt: skip
MACHINES: tuple[Machine[IntEnum, IntEnum], ...] = (ATTEMPT, CALL, STREAM, PHASE)  # type: ignore[assignment]
