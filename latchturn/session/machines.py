"""The state machines of the reducer: attempt, call, connection and phase, each as one transition table.

A table gives for each pair of a state and a transition either the next state or the reason why the transition cannot
occur in that state. It holds no state and knows no time: the owner of a state asks `Machine.next_state`. A transition
that cannot occur raises `InvalidTransition`. The reducer counts and logs that as an internal error and fails the call
concerned; it is never ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import Generic, TypeVar


class InvalidTransition(RuntimeError):
    """A transition that cannot occur in its state; the message has the reason that the table gives."""


S = TypeVar("S", bound=IntEnum)
T = TypeVar("T", bound=IntEnum)


class Machine(Generic[S, T]):
    """One transition table: `next_states` has the next state of each pair that can occur, `impossible` the reason for
    each other pair. ValueError if a pair is in neither or in both."""

    def __init__(
        self, name: str, states: type[S], transition_kinds: type[T], next_states: Mapping[tuple[S, T], S],
        impossible: Mapping[tuple[S, T], str],
    ) -> None:  # fmt: skip
        pairs = {(s, t) for s in states for t in transition_kinds}
        if next_states.keys() & impossible.keys() or next_states.keys() | impossible.keys() != pairs:
            raise ValueError(f"the table of {name} does not list each pair of state and transition exactly once")
        self.name = name
        self.states, self.transition_kinds = states, transition_kinds
        self.impossible = dict(impossible)
        self._rows = tuple(tuple(next_states.get((s, t)) for t in transition_kinds) for s in states)

    def next_state(self, state: S, transition: T) -> S:
        """The state after a transition; InvalidTransition if that cannot occur in this state."""
        following = self._rows[state][transition]
        if following is None:
            raise InvalidTransition(
                f"{self.name}: {transition.name} cannot occur in {state.name}: {self.impossible[state, transition]}"
            )
        return following


# --- attempt: a set-up on its way to an exchange, or waiting there for its answer ---


class AttemptState(IntEnum):
    QUEUED = 0  # nothing written yet
    SENDING = 1  # being written
    OUT = 2  # completely written, waiting for the answer
    GIVING_UP = 3  # timed out, its give-up is about to be written
    OVER = 4  # ended


class AttemptTransition(IntEnum):
    LEAVE = 0  # its write begins
    WRITTEN = 1  # its write is complete
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
        # The give-up is written after the set-up, on the same connection.
        (_A.GIVING_UP, _AT.WRITTEN): _A.GIVING_UP, (_A.GIVING_UP, _AT.END): _A.OVER,
        # Cancelled during its write: the completion changes nothing any more.
        (_A.OVER, _AT.WRITTEN): _A.OVER,
    },
    {
        (_A.QUEUED, _AT.WRITTEN): "a write that has not begun cannot be complete",
        (_A.QUEUED, _AT.TIME_OUT): "an unwritten attempt ends at its time-out, since there is nothing to give up",
        (_A.SENDING, _AT.LEAVE): "a set-up is written once",
        (_A.OUT, _AT.LEAVE): "a set-up is written once",
        (_A.OUT, _AT.WRITTEN): "the write of a set-up completes once",
        (_A.GIVING_UP, _AT.LEAVE): "an attempt that is given up has been written before",
        (_A.GIVING_UP, _AT.TIME_OUT): "the only timer of the attempt has already expired",
        (_A.OVER, _AT.LEAVE): "an ended attempt is dropped from the outbox when that is written",
        (_A.OVER, _AT.TIME_OUT): "the timer of an attempt is cancelled when it ends",
        (_A.OVER, _AT.END): "an attempt is removed from its call when it ends",
    },
)  # fmt: skip


# --- call ---


class CallState(IntEnum):
    OWED = 0  # without a final answer
    STANDING = 1  # answered and not ended
    OVER = 2  # refused, failed, abandoned or ended


class CallTransition(IntEnum):
    ANSWER = 0  # answered
    FORGET = 1  # removed from the table: refused, failed, abandoned or ended


_C, _CT = CallState, CallTransition
CALL = Machine(
    "call", CallState, CallTransition,
    {
        (_C.OWED, _CT.ANSWER): _C.STANDING, (_C.OWED, _CT.FORGET): _C.OVER,
        (_C.STANDING, _CT.FORGET): _C.OVER,
    },
    {
        (_C.STANDING, _CT.ANSWER): "a standing call has no outstanding attempt that could be answered",
        (_C.OVER, _CT.ANSWER): "the attempt of a call ends with the call, so none can be answered afterwards",
        (_C.OVER, _CT.FORGET): "a call is removed from the table once",
    },
)  # fmt: skip


# --- connection: of a caller, or a link to an exchange ---


class StreamState(IntEnum):
    CONNECTING = 0
    UP = 1
    FINISHING = 2  # its input is no longer read; it closes once all pending answers are written
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
        # Both this side and the peer end the connection, in either order.
        (_S.FINISHING, _ST.FINISH): _S.FINISHING, (_S.FINISHING, _ST.CLOSE): _S.CLOSED,
    },
    {
        (_S.CONNECTING, _ST.FINISH): "connections of callers are up when accepted, and links are closed at once",
        (_S.UP, _ST.CONNECTED): "a connect succeeds once",
        (_S.FINISHING, _ST.CONNECTED): "connections of callers are up when accepted",
        (_S.CLOSED, _ST.CONNECTED): "a closed connection is no longer in its table",
        (_S.CLOSED, _ST.FINISH): "a closed connection is no longer in its table",
        (_S.CLOSED, _ST.CLOSE): "a connection is removed from its table once",
    },
)  # fmt: skip


# --- phase of the program ---


class PhaseState(IntEnum):
    OPEN = 0  # starting, or serving once the group states have arrived
    DRAINING = 1
    SUCCEEDED = 2  # a successor serves at the address
    ENDING = 3  # SIGTERM received
    SUCCEEDED_ENDING = 4  # a successor serves, and SIGTERM received
    EXITED = 5


class PhaseTransition(IntEnum):
    DRAIN = 0  # LAMEDUCK at the admin listener
    REJOIN = 1  # REJOIN at the admin listener
    SUCCEED = 2  # a successor serves
    RESUME = 3  # the successor has gone
    TERMINATE = 4  # SIGTERM
    EXIT = 5


_P, _PT = PhaseState, PhaseTransition
_ADMIN_REFUSED = "with a successor or after SIGTERM, commands to drain and to rejoin are refused"
_NO_SIGTERM = "the program exits only after SIGTERM"
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
        # It is ending: it accepts no callers again, and still hands its standing calls over.
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
        (_P.EXITED, _PT.EXIT): "the program exits once",
    },
)  # fmt: skip
MACHINES: tuple[Machine[IntEnum, IntEnum], ...] = (ATTEMPT, CALL, STREAM, PHASE)  # type: ignore[assignment]
