"""The explicit machines: the attempt, the call, the connection and the phase, each as one table.

A table says for each state and each move either where it goes or why the move cannot be. It has no state of
its own and no clock; who holds a state asks `go` for the next one. A move that cannot be is an
`InvalidTransition`: the reducer counts and logs it as a fault of its own and fails the call that met it; it is
never passed over.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import Generic, TypeVar


class InvalidTransition(RuntimeError):
    """A move that the table says cannot be, and why it thought so."""


S = TypeVar("S", bound=IntEnum)
M = TypeVar("M", bound=IntEnum)


class Machine(Generic[S, M]):
    """One table. `moves` gives the next state, `never` the reason why a move cannot come; ValueError if the
    two together do not name each pair just once."""

    def __init__(
        self, name: str, states: type[S], transition_kinds: type[M], next_states: Mapping[tuple[S, M], S],
        impossible: Mapping[tuple[S, M], str],
    ) -> None:  # fmt: skip
        pairs = {(s, m) for s in states for m in transition_kinds}
        if next_states.keys() & impossible.keys() or next_states.keys() | impossible.keys() != pairs:
            raise ValueError(f"the table of {name} does not name each pair just once")
        self.name = name
        self.states, self.transition_kinds = states, transition_kinds
        self.impossible = dict(impossible)
        self._rows = tuple(tuple(next_states.get((s, m)) for m in transition_kinds) for s in states)

    def next_state(self, state: S, transition: M) -> S:
        """The state after a move; InvalidTransition if it cannot be."""
        after = self._rows[state][transition]
        if after is None:
            raise InvalidTransition(
                f"{self.name}: {state.name} met {transition.name}: {self.impossible[state, transition]}"
            )
        return after


# --- an attempt: a set-up on its way to an exchange, or waiting there for its answer ---


class AttemptState(IntEnum):
    QUEUED = 0  # nothing of it has left
    SENDING = 1  # its bytes have begun to leave
    OUT = 2  # wholly written
    GIVING_UP = 3  # timed out, its give-up is about to be written
    OVER = 4


class AttemptTransition(IntEnum):
    LEAVE = 0  # its set-up is handed over for writing
    WRITTEN = 1  # the write is through
    TIME_OUT = 2
    END = 3  # answered, refused, cut, cancelled or given up


_A, _AT = AttemptState, AttemptTransition
ATTEMPT = Machine(
    "attempt", AttemptState, AttemptTransition,
    {
        (_A.QUEUED, _AT.LEAVE): _A.SENDING, (_A.QUEUED, _AT.END): _A.OVER,
        (_A.SENDING, _AT.WRITTEN): _A.OUT, (_A.SENDING, _AT.TIME_OUT): _A.GIVING_UP,
        (_A.SENDING, _AT.END): _A.OVER,
        (_A.OUT, _AT.TIME_OUT): _A.GIVING_UP, (_A.OUT, _AT.END): _A.OVER,
        # The give-up waits behind the set-up on the same connection.
        (_A.GIVING_UP, _AT.WRITTEN): _A.GIVING_UP, (_A.GIVING_UP, _AT.END): _A.OVER,
        # Cancelled while its bytes were on their way: that they are through changes nothing any more.
        (_A.OVER, _AT.WRITTEN): _A.OVER,
    },
    {
        (_A.QUEUED, _AT.WRITTEN): "what has not begun to leave cannot be through",
        (_A.QUEUED, _AT.TIME_OUT): "an attempt that never left ends at once, there is nothing to give up",
        (_A.SENDING, _AT.LEAVE): "a set-up leaves once",
        (_A.OUT, _AT.LEAVE): "a set-up leaves once",
        (_A.OUT, _AT.WRITTEN): "a write is through once",
        (_A.GIVING_UP, _AT.LEAVE): "what is given up has left before",
        (_A.GIVING_UP, _AT.TIME_OUT): "its one timer has run",
        (_A.OVER, _AT.LEAVE): "what is over is taken off its connection as that is written",
        (_A.OVER, _AT.TIME_OUT): "its timer is dropped as it ends",
        (_A.OVER, _AT.END): "an attempt is taken off its call as it ends",
    },
)  # fmt: skip


# --- a call ---


class CallState(IntEnum):
    OWED = 0  # it has had no final answer
    STANDING = 1
    OVER = 2


class CallTransition(IntEnum):
    ANSWER = 0  # it stands from now on
    FORGET = 1  # refused, failed, given up or at its end


_C, _CT = CallState, CallTransition
CALL = Machine(
    "call", CallState, CallTransition,
    {
        (_C.OWED, _CT.ANSWER): _C.STANDING, (_C.OWED, _CT.FORGET): _C.OVER,
        (_C.STANDING, _CT.FORGET): _C.OVER,
    },
    {
        (_C.STANDING, _CT.ANSWER): "a call that stands has no attempt out that could be answered",
        (_C.OVER, _CT.ANSWER): "the attempt of a call that is over has ended with it",
        (_C.OVER, _CT.FORGET): "a call is taken out of the table once",
    },
)  # fmt: skip


# --- a connection, a caller's or a link to an exchange ---


class StreamState(IntEnum):
    CONNECTING = 0
    UP = 1
    FINISHING = 2  # nothing more is taken from it; it closes once all that it is owed is written
    CLOSED = 3


class StreamTransition(IntEnum):
    CONNECTED = 0
    FINISH = 1
    CLOSE = 2


_S, _ST = StreamState, StreamTransition
STREAM = Machine(
    "connection", StreamState, StreamTransition,
    {
        (_S.CONNECTING, _ST.CONNECTED): _S.UP, (_S.CONNECTING, _ST.CLOSE): _S.CLOSED,
        (_S.UP, _ST.FINISH): _S.FINISHING, (_S.UP, _ST.CLOSE): _S.CLOSED,
        # Its peer ends after we have shut it, or the other way round.
        (_S.FINISHING, _ST.FINISH): _S.FINISHING, (_S.FINISHING, _ST.CLOSE): _S.CLOSED,
    },
    {
        (_S.CONNECTING, _ST.FINISH): "callers' connections come as connected, and links are closed at once",
        (_S.UP, _ST.CONNECTED): "a connect succeeds once",
        (_S.FINISHING, _ST.CONNECTED): "callers' connections come as connected",
        (_S.CLOSED, _ST.CONNECTED): "what is closed is out of the table",
        (_S.CLOSED, _ST.FINISH): "what is closed is out of the table",
        (_S.CLOSED, _ST.CLOSE): "a connection leaves its table once",
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


class PhaseTransition(IntEnum):
    DRAIN = 0
    REJOIN = 1
    SUCCEED = 2
    RESUME = 3  # the successor has gone
    TERMINATE = 4
    EXIT = 5


_P, _PT = PhaseState, PhaseTransition
_ADMIN_REFUSED = "no operator is obeyed any more: the answer is no"
_NO_SIGTERM = "the program ends after SIGTERM alone"
PHASE = Machine(
    "phase", PhaseState, PhaseTransition,
    {
        (_P.OPEN, _PT.DRAIN): _P.DRAINING, (_P.OPEN, _PT.REJOIN): _P.OPEN,
        (_P.OPEN, _PT.SUCCEED): _P.SUCCEEDED, (_P.OPEN, _PT.RESUME): _P.OPEN,
        (_P.OPEN, _PT.TERMINATE): _P.ENDING,
        (_P.DRAINING, _PT.DRAIN): _P.DRAINING, (_P.DRAINING, _PT.REJOIN): _P.OPEN,
        (_P.DRAINING, _PT.SUCCEED): _P.SUCCEEDED, (_P.DRAINING, _PT.RESUME): _P.OPEN,
        (_P.DRAINING, _PT.TERMINATE): _P.ENDING,
        (_P.SUCCEEDED, _PT.SUCCEED): _P.SUCCEEDED, (_P.SUCCEEDED, _PT.RESUME): _P.OPEN,
        (_P.SUCCEEDED, _PT.TERMINATE): _P.SUCCEEDED_ENDING,
        (_P.ENDING, _PT.SUCCEED): _P.SUCCEEDED_ENDING, (_P.ENDING, _PT.RESUME): _P.ENDING,
        (_P.ENDING, _PT.TERMINATE): _P.ENDING, (_P.ENDING, _PT.EXIT): _P.EXITED,
        (_P.SUCCEEDED_ENDING, _PT.SUCCEED): _P.SUCCEEDED_ENDING,
        # It was told to end: it does not take callers again, and bequeaths all the same.
        (_P.SUCCEEDED_ENDING, _PT.RESUME): _P.SUCCEEDED_ENDING,
        (_P.SUCCEEDED_ENDING, _PT.TERMINATE): _P.SUCCEEDED_ENDING,
        (_P.SUCCEEDED_ENDING, _PT.EXIT): _P.EXITED,
        (_P.EXITED, _PT.SUCCEED): _P.EXITED, (_P.EXITED, _PT.RESUME): _P.EXITED,
        (_P.EXITED, _PT.TERMINATE): _P.EXITED,
    },
    {
        (_P.OPEN, _PT.EXIT): _NO_SIGTERM, (_P.DRAINING, _PT.EXIT): _NO_SIGTERM, (_P.SUCCEEDED, _PT.EXIT): _NO_SIGTERM,
        (_P.SUCCEEDED, _PT.DRAIN): _ADMIN_REFUSED, (_P.SUCCEEDED, _PT.REJOIN): _ADMIN_REFUSED,
        (_P.ENDING, _PT.DRAIN): _ADMIN_REFUSED, (_P.ENDING, _PT.REJOIN): _ADMIN_REFUSED,
        (_P.SUCCEEDED_ENDING, _PT.DRAIN): _ADMIN_REFUSED, (_P.SUCCEEDED_ENDING, _PT.REJOIN): _ADMIN_REFUSED,
        (_P.EXITED, _PT.DRAIN): _ADMIN_REFUSED, (_P.EXITED, _PT.REJOIN): _ADMIN_REFUSED,
        (_P.EXITED, _PT.EXIT): "it ends once",
    },
)  # fmt: skip
MACHINES: tuple[Machine[IntEnum, IntEnum], ...] = (ATTEMPT, CALL, STREAM, PHASE)  # type: ignore[assignment]
