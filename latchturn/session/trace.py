"""The event trace: the last state changes with their reasons, for the staff who look into an incident.

Owns a ring of typed records and their text. It must decide nothing, and nothing in the reducer reads it. Records of
connections, exchanges, the command channel and the phase are log lines as well; those of single calls stay in the ring,
since there are hundreds a second, and are printed on SIGUSR1.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

TRACE_LENGTH = 2000  # records kept; the last some seconds of a busy process


class TraceEvent(Enum):
    """What has changed."""

    CALL_TAKEN = "call taken"
    CALL_ANSWERED = "call answered"
    CALL_REFUSED = "call refused"
    CALL_FAILED = "call failed"
    CALL_ABANDONED = "call abandoned"  # by its caller, before an answer
    CALL_ENDED = "call ended"  # after it had been answered
    RELEASE_SENT = "release sent to caller"
    RELEASE_HELD = "release held, no caller connected"
    ATTEMPT_SENT = "attempt sent"
    ATTEMPT_ENDED = "attempt ended"
    CALLER_CLOSED = "caller closed"
    LINK_UP = "link up"
    LINK_CLOSED = "link closed"
    EXCHANGE_LISTED = "exchange listed"
    EXCHANGE_QUIET = "exchange quiet"
    EXCHANGE_RESPONSIVE = "exchange heard again"
    EXCHANGE_DEAD = "exchange dead"
    CHANNEL_CONNECTING = "command channel asked"
    CHANNEL_ANSWERED = "command channel answers"
    CHANNEL_LOST = "command channel lost"
    PHASE = "phase"


LOGGED = frozenset(
    (
        TraceEvent.LINK_CLOSED,
        TraceEvent.EXCHANGE_LISTED,
        TraceEvent.EXCHANGE_QUIET,
        TraceEvent.EXCHANGE_RESPONSIVE,
        TraceEvent.EXCHANGE_DEAD,
        TraceEvent.CHANNEL_ANSWERED,
        TraceEvent.CHANNEL_LOST,
        TraceEvent.PHASE,
    )
)


class CloseReason(Enum):
    """Why a connection was closed, a caller's or a link to an exchange."""

    PEER_ENDED = "its peer ended it"
    PEER_RESET = "its peer reset it"
    CONNECT_REFUSED = "connect refused"
    CONNECT_FAILED = "connect failed"
    SILENT = "it fell silent"
    PROBED = "reopened to see whether the exchange lives"
    HALF_READ = "its message stayed half read"
    GARBLED = "it sent what cannot be read"
    WRITE_STUCK = "a write on it was stuck"
    OUTBOX_FULL = "it takes nothing in"
    GIVE_UP_STUCK = "a give-up could not leave in time"
    EXCHANGE_DEAD = "its exchange has died"
    EXCHANGE_GONE = "its exchange is gone from the list"
    ADDRESS_CHANGED = "its exchange has another address"
    NO_DESCRIPTORS = "the descriptors are short"
    SAID_NOTHING = "it said nothing"
    FINISHED = "all that was owed on it is written"
    DRAINED = "idle in a drain"
    PROGRAM_ENDS = "the program ends"


@dataclass(slots=True, frozen=True)
class TraceRecord:
    """One state change. Ids are 0 where there is none; the time is Unix microseconds."""

    at_us: int
    event: TraceEvent
    call: int = 0
    exchange: int = 0
    stream: int = 0
    reason: str = ""

    def text(self) -> str:
        """The record as one line, without its time."""
        parts = [self.event.value]
        if self.call:
            parts.append(f"call={self.call:016x}")
        if self.exchange:
            parts.append(f"exchange=s-{self.exchange:08x}")
        if self.stream:
            parts.append(f"stream={self.stream}")
        if self.reason:
            parts.append(f"reason={self.reason!r}")
        return " ".join(parts)


class Trace:
    """The last records. A copy that a state explorer makes of the reducer has none: nothing reads them."""

    def __init__(self) -> None:
        self.records: deque[TraceRecord] = deque(maxlen=TRACE_LENGTH)

    def __reduce__(self) -> tuple[type[Trace], tuple[()]]:
        return (Trace, ())

    def lines(self) -> Iterator[str]:
        """Each record with its time in seconds, the oldest first."""
        for record in self.records:
            yield f"{record.at_us / 1e6:.3f} {record.text()}"
