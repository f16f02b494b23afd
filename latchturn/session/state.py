"""The records that the reducer keeps of calls, attempts, connections and exchanges; the components change them.

Fields named `state` of calls, attempts and connections change only by the transition tables in `machines`. Times are
Unix microseconds, 0 if the event has not happened.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from .. import interface as i
from ..protocol import Answer, Message, Release, SetUp
from .machines import STREAM, AttemptState, CallState, StreamState, StreamTransition
from .timers import Timer
from .trace import CloseReason


@dataclass(slots=True)
class EndedCall:
    """What is remembered of an ended or rejected call, to recognize late messages that bear its id."""

    remembered_until_us: int
    stood: bool  # whether it was answered by an exchange
    answered: bool  # whether its caller got a final answer
    resend_count: int = 0  # how often its release has been sent again to callers


@dataclass(slots=True, eq=False)
class Call:
    """A call from its set-up to its final answer or, if it is answered, to its end."""

    set_up: SetUp
    caller_stream: int
    deadline_us: int  # for the final answer
    timer: Timer | None = None
    attempt_count: int = 0
    attempt: Attempt | None = None  # the outstanding one
    state: CallState = CallState.OWED
    standing_since_us: int = 0
    standing_exchange: int | None = None  # id of the exchange that answered
    answer_link: int = 0  # stream of the link on which it was answered
    end_missed_since_us: int = 0  # if that link is lost: its end may have been sent, and lost, since this time
    used_slots: set[tuple[int, int]] = field(default_factory=set)  # exchange id and slot of each attempt so far
    maybe_standing_at: set[int] = field(default_factory=set)  # ids of exchanges that may have answered, answer lost

    @property
    def ident(self) -> int:
        """The id that its caller gave it."""
        return self.set_up.call


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up that is queued for an exchange, or sent to it and not answered yet."""

    call: Call
    number: int  # among the attempts of its call, from 0
    link: Link
    started_us: int
    due_us: int  # when it times out
    timer: Timer | None = None
    link_changes: int = 0  # how often it has moved to another link before it was sent
    state: AttemptState = AttemptState.QUEUED
    sent_us: int = 0

    @property
    def sent(self) -> bool:
        """Whether its set-up has been handed over for writing, and the attempt has not ended."""
        return self.state is not AttemptState.QUEUED and self.state is not AttemptState.OVER

    @property
    def giving_up(self) -> bool:
        """Whether it has timed out and its give-up is still to be written."""
        return self.state is AttemptState.GIVING_UP


@dataclass(slots=True, frozen=True)
class PendingGiveUp:
    """Outbox item: the give-up of an attempt that timed out. The attempt ends when it is written."""

    attempt: Attempt


Outgoing = Message | Attempt | PendingGiveUp


@dataclass(slots=True, eq=False)
class PendingRelease:
    """A release to an exchange that the exchange has not confirmed (see `exchange_releases`)."""

    call_id: int
    cause: int
    exchange_id: int
    first_sent_us: int  # when it was first written, or could not be for lack of a link
    link: int = 0  # stream of the link on which it was first written, 0 while it waits for a link
    repeated_on: set[int] = field(default_factory=set)  # streams of links on which it has been queued again
    waits: int = 0  # how often it was not confirmed in time
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class Stream:
    """A connection: the messages to be written, those being written, and the releases not confirmed yet."""

    ident: int
    state: StreamState = StreamState.CONNECTING
    up: bool = False  # whether it can be written to; follows from `state`
    outbox: deque[Outgoing] = field(default_factory=deque)
    in_flight: list[Outgoing] = field(default_factory=list)  # the write under way
    write_started_us: int = 0
    partial_since_us: int = 0  # since when its input ends within a message, 0 if it does not
    unconfirmed: dict[int, tuple[int, Release]] = field(default_factory=dict)  # call id -> time of the write, release

    def change_state(self, transition: StreamTransition) -> None:
        """Go on to the next state; InvalidTransition if the table has none."""
        self.state = STREAM.next_state(self.state, transition)
        self.up = self.state is StreamState.UP or self.state is StreamState.FINISHING


@dataclass(slots=True, eq=False)
class Caller(Stream):
    """A connection from a caller; several calls may be set up on it."""

    unanswered: set[int] = field(default_factory=set)  # ids of calls set up on it without a final answer
    accepted_us: int = 0
    last_active_us: int = 0  # when it last sent anything
    sent_anything: bool = False  # whether any message but a confirmation has been written to it
    ends_resent: bool = False  # whether the releases in the write under way have been sent on another connection too
    trust: int = 0  # 1 after a valid set-up, 2 after an answered call
    faults: int = 0  # useless messages, less those forgiven
    close_reason: CloseReason | None = None  # set when a close without unread input (`CloseIdle`) is requested

    @property
    def finishing(self) -> bool:
        """Whether its input is ignored; it is closed as soon as all answers are written."""
        return self.state is StreamState.FINISHING

    @property
    def idle(self) -> bool:
        """Whether no call waits for an answer on it and no message waits to be written."""
        return not (self.unanswered or self.outbox or self.in_flight)


@dataclass(slots=True, eq=False)
class Link(Stream):
    """A connection to an exchange."""

    exchange_id: int = 0
    slot: int = 0  # position among the links of its exchange, see limits.MAX_LINKS_PER_EXCHANGE
    attempts: set[Attempt] = field(default_factory=set)  # those queued or awaiting an answer here
    connect_started_us: int = 0
    up_since_us: int = 0
    last_used_us: int = 0  # when it came up, or when an attempt on it was begun or ended
    first_received_us: int = 0  # first message
    last_received_us: int = 0  # latest message
    group_state_missing_since_us: int = 0  # since when another link has received a group state that this one lacks
    unanswered_timeouts: int = 0  # attempts that timed out here in a row without any message from the exchange
    held_answer: Answer | None = None  # an answer whose end is uncertain (see `held_answers`)
    answer_hold_timer: Timer | None = None


@dataclass(slots=True, eq=False)
class ReceivedGroupState:
    """A group state recently received from an exchange, and the links on which it has arrived so far."""

    received_us: int
    figures: Mapping[str, float]
    links: set[int]  # stream ids


@dataclass(slots=True, eq=False)
class Exchange:
    """A remote exchange as the exchange list describes it, with its links and the evidence about its calls.

    A proof of life is a message that shows that the exchange is still the process at which the calls stand (see
    `liveness`); initial messages are those that an exchange sends first on a new link (see `missed_ends`).
    """

    ident: int
    number: int  # by which set-ups name it as their destination
    state: i.ListState
    started_us: int  # start of its process, as listed
    address: tuple[str, int]
    links: dict[int, Link] = field(default_factory=dict)  # by slot
    last_received_us: int = 0  # latest message from its address, at first the time when it was listed
    last_alive_us: int = 0  # latest proof of life, at first the time when it was listed
    outage_since_us: int = 0  # when the first connect began that has failed since the last proof of life, else 0
    quiet_noted: bool = False  # whether its silence since the last proof of life is in the trace
    last_probe_us: int = 0  # when a probe link was last opened or tried
    last_reset_us: int = 0  # when it last reset a link
    all_links_reset_us: int = 0  # when it reset all its links after a silence, 0 once the consequence is decided
    received_before_reset_us: int = 0  # latest message before that reset
    initial_messages_lost_us: int = 0  # when the latest link came up that was lost without its initial messages
    recovery_due_us: int = 0  # when a recovery link is to be opened, 0 if none is
    consecutive_failures: int = 0  # links lost or not connected in a row, without a message between them
    reconnect_due_us: int = 0  # earliest time of the next connect of a kept link
    refusing_since_us: int = 0  # since when it has refused links while draining, else 0
    kept_link_broken: bool = False  # whether it has ended a kept link and none has come up since
    standing_calls: set[int] = field(default_factory=set)  # call ids
    recent_group_states: deque[ReceivedGroupState] = field(default_factory=deque)  # oldest first
    sends_group_states: bool = False  # whether a group state has ever been received
    pending_releases: dict[int, PendingRelease] = field(default_factory=dict)  # by call id, the earliest first
    has_confirmed_releases: bool = False  # whether it has ever confirmed one
