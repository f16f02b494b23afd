"""The event trace: the latest state changes with their reasons, for operators who investigate an incident.

Owns a ring buffer of typed records and their text form. It decides nothing, and nothing in the reducer reads it.
Records of links, exchanges, the command channel and the phase are logged as well. Records of single calls are not,
since there are hundreds a second; SIGUSR1 prints the buffer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

TRACE_LENGTH = 2000  # records; the last few seconds of a busy process


class TraceEvent(Enum):
    """The kind of a state change; the value stands in trace lines."""

    CALL_TAKEN = "call taken"
    CALL_ANSWERED = "call answered"
    CALL_REFUSED = "call refused"
    CALL_FAILED = "call failed"
    CALL_ABANDONED = "call abandoned"  # by its caller, before an answer
    CALL_ENDED = "call ended"  # after its answer
    RELEASE_SENT = "release sent to caller"
    RELEASE_HELD = "release held, no caller connected"
    RELEASE_SETTLED = "release to exchange no longer pending"
    ATTEMPT_SENT = "attempt sent"
    ATTEMPT_ENDED = "attempt ended"
    CALLER_CLOSED = "caller closed"
    LINK_UP = "link up"
    LINK_CLOSED = "link closed"
    EXCHANGE_LISTED = "exchange listed"
    EXCHANGE_QUIET = "exchange quiet"
    EXCHANGE_RESPONSIVE = "exchange heard again"
    EXCHANGE_DEAD = "exchange dead"
    DESCRIPTORS_SHORT = "file descriptors short"
    CHANNEL_CONNECTING = "command channel asked"
    CHANNEL_ANSWERED = "command channel answers"
    CHANNEL_SILENT = "command channel silent"
    CHANNEL_LOST = "command channel lost"
    PHASE = "phase"


LOGGED = frozenset(
    (
        TraceEvent.LINK_CLOSED,
        TraceEvent.EXCHANGE_LISTED,
        TraceEvent.EXCHANGE_QUIET,
        TraceEvent.EXCHANGE_RESPONSIVE,
        TraceEvent.EXCHANGE_DEAD,
        TraceEvent.DESCRIPTORS_SHORT,
        TraceEvent.CHANNEL_ANSWERED,
        TraceEvent.CHANNEL_SILENT,
        TraceEvent.CHANNEL_LOST,
        TraceEvent.PHASE,
    )
)


class CloseReason(Enum):
    """Why a connection of a caller or a link to an exchange was closed; the name stands in counters."""

    PEER_ENDED = "ended by its peer"
    PEER_RESET = "reset by its peer"
    CONNECT_REFUSED = "connect refused"
    CONNECT_FAILED = "connect failed"
    SILENT = "no messages are received on it"
    PROBED = "replaced by a probe link"
    HALF_READ = "its message stayed incomplete"
    GARBLED = "malformed message received"
    WRITE_STUCK = "a write did not complete in time"
    OUTBOX_FULL = "too many messages wait to be written"
    GIVE_UP_STUCK = "a give-up could not be written in time"
    EXCHANGE_DEAD = "its exchange has died"
    EXCHANGE_GONE = "its exchange is gone from the list"
    ADDRESS_CHANGED = "its exchange has a new address"
    NO_DESCRIPTORS = "file descriptors are short"
    IDLE = "it was not needed for some time"
    SAID_NOTHING = "nothing was sent to it in time"
    FINISHED = "all pending answers are written"
    DRAINED = "closed by a drain"
    PROGRAM_ENDS = "the program exits"


@dataclass(slots=True, frozen=True)
class TraceRecord:
    """One state change. An id that does not apply is 0; the time is in Unix microseconds."""

    at_us: int
    event: TraceEvent
    call: int = 0
    exchange: int = 0
    stream: int = 0
    reason: str = ""

    def text(self) -> str:
        """The record as one line without its time."""
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
    """The ring buffer. Pickling drops the records: the state explorer copies the reducer, and nothing in it reads
    them."""

    def __init__(self) -> None:
        self.records: deque[TraceRecord] = deque(maxlen=TRACE_LENGTH)

    def __reduce__(self) -> tuple[type[Trace], tuple[()]]:
        return (Trace, ())

    def lines(self) -> Iterator[str]:
        """Each record with its Unix time in seconds, oldest first."""
        for record in self.records:
            yield f"{record.at_us / 1e6:.3f} {record.text()}"
