"""The interface between a session controller and its decision module: settings, events and actions.

All are plain data. Times are integer microseconds on the clock that is passed to `Controller.handle`. Fields named
`exchange` hold the id that the exchange list gives to one process of an exchange; the number of an exchange, as used
for destinations, stays the same when the process is replaced. Fields named `call` hold the id of a call.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Topology(IntEnum):
    """How exchanges are connected to each other."""

    MESH = 0  # trunk groups between all exchanges; a call may go over one tandem
    POOLS = 1  # shared pools of agents; a call may go to a pool of second choice


class ListKind(IntEnum):
    """What an exchange list message contains."""

    CHANGES = 0  # entries that are new or have changed
    FULL = 1  # all entries
    CACHED = 2  # all entries, as known before the start
    FAILED = 3  # no entries: the list could not be obtained


class ListState(IntEnum):
    """The state of one exchange in the exchange list; the member names are printed."""

    READY = 1
    DRAINING = 2  # takes no new set-ups
    GONE = 3


class Outcome(IntEnum):
    """How an attempt or a probe ended; the member names are parts of counter names."""

    RELEASED = 0  # the call was answered and has ended; for a probe: answered
    NO_LINE = 1  # all lines of the called number are busy, or signalling failed
    TURNED_AWAY = 2  # the exchange refused it, see the cause
    TIMED_OUT = 3
    UNREACHABLE = 4
    CUT = 5  # ended by a fault, for example the loss of its link
    CANCELLED = 6  # given up by the session controller
    NOT_SENT = 7  # not sent out, see the cause


class Cause(IntEnum):
    """Why an attempt was not set up."""

    NONE = 0
    NO_CIRCUIT = 1  # the trunk group is full
    REFUSED_BY_TANDEM = 2  # the tandem has no circuit onward
    PROCESSOR_FULL = 3
    NUMBER_BUSY = 4  # all lines of the called number are busy
    DESTINATION_PROCESSOR_FULL = 5  # refused by the tandem because the processor behind it is full


@dataclass(slots=True, frozen=True)
class CallClass:
    """One class of calls, as configured."""

    name: str
    value: float  # what a call is worth that is set up within the target
    late_share: float  # share of the value that a later set-up earns
    target_us: int  # target set-up time, from the caller's first dial
    give_up_us: int  # time after which callers give up redialling
    width: int  # circuits that a call takes up on each trunk group
    holding_us: int  # mean duration of an answered call
    pools: tuple[int, ...] = ()  # topology POOLS: numbers of the pools that it may go to
    # After an attempt that may have been executed, a call fails: it must not be sent again, and not be refused either.
    at_most_once: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a controller, given at its start and with `SettingsChanged`."""

    classes: tuple[CallClass, ...]
    topology: Topology
    own_number: int  # number of the own exchange, -1 with topology POOLS
    controllers: int  # session controllers in the network
    max_attempts: int  # for each call
    release_us: int  # time that an attempt takes to be released once it timed out or was cut or cancelled
    drain_grace_us: int  # time within which set-ups to a draining exchange must stop; not used by the decision module
    cold_start_share: float  # share of its full set-up rate that an exchange can take when it has just started
    warm_up_us: int  # time from the start of an exchange until it can take its full rate
    collapse_multiple: float  # x the cold start rate: overload at which an exchange that is warming up collapses
    collapse_us: int  # time over which that overload is counted; not used by the decision module
    connect_timeout_us: int
    list_on_request: bool  # whether the exchange list must be subscribed to with `SubscribeToList`
    ask_within_us: int  # not used by the decision module
    max_retry_after_us: int  # longest retry-after, 0: callers get none
    resend_us: int  # not used by the decision module
    late_penalty: float = 0.0  # cost of value that is not served within its target; not used by the decision module
    tenants: tuple[str, ...] = ()  # names; empty without tenants


@dataclass(slots=True)
class LoadReport:
    """A load report of an exchange; figures that it does not contain are None."""

    free: int | None = None  # free circuits of the trunk group to it
    size: int | None = None  # circuits of that trunk group
    setups_per_s: float | None = None  # new set-ups that it can take from all senders together
    throttle_share: float | None = None  # share of new set-ups that it asks each sender to withhold
    wait_us: int | None = None  # not used by the decision module, nor are the next two
    busy_share: float | None = None  # of its processor
    queue_length: float | None = None  # set-ups in its queue


@dataclass(slots=True)
class ListEntry:
    """One exchange in a list message."""

    exchange: int  # id
    number: int
    state: ListState
    started_us: int  # time of its start, 0: long ago


@dataclass(slots=True)
class ExchangeList:
    """Event: the exchange list or changes to it arrived, or could not be obtained."""

    kind: ListKind
    entries: list[ListEntry] = field(default_factory=list)


@dataclass(slots=True)
class CallOffered:
    """Event: a caller asks for a call to be set up."""

    call: int
    class_index: int  # in `Settings.classes`
    destination: int  # exchange number
    called_number: int  # identifies the called number, 0: unknown
    width: int  # circuits
    deadline_us: int  # time by which the caller must have its answer
    transit: bool = False  # sent here by another exchange, to which this one is the tandem
    redialled: bool = False  # marked as a redial by the network
    cut_before: bool = False  # the caller's call was answered and then cut off
    via: int = -1  # number of the advised tandem, or of the exchange that sent a transit call


@dataclass(slots=True)
class CallAnswered:
    """Event: an attempt was answered; the call is in progress until `AttemptEnded`."""

    call: int
    attempt: int
    exchange: int
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """Event: an attempt ended, or a call that was answered."""

    call: int
    attempt: int
    exchange: int
    outcome: Outcome
    elapsed_us: int  # since the attempt began
    concluded: bool  # whether the caller needs no further answer
    cause: Cause = Cause.NONE
    wait_us: int = 0  # with PROCESSOR_FULL: time that the exchange asks to be left without set-ups
    report: LoadReport | None = None


@dataclass(slots=True)
class CallerLeft:
    """Event: the caller has left and needs no answer any more."""

    call: int


@dataclass(slots=True)
class ExchangeReport:
    """Event: an exchange reported its load, or a probe of it ended."""

    exchange: int
    answered: bool  # False: a probe without an answer
    probed: bool  # whether the report follows a probe
    elapsed_us: int
    report: LoadReport


@dataclass(slots=True)
class TimerDue:
    """Event: a timer that was requested with `SetTimer` is due."""

    token: int


@dataclass(slots=True)
class SettingsChanged:
    """Event: new settings apply from now on. Calls in progress keep their class and gain no attempts."""

    settings: Settings


Event = (
    ExchangeList | CallOffered | CallAnswered | AttemptEnded | CallerLeft | ExchangeReport | TimerDue
    | SettingsChanged
)  # fmt: skip


@dataclass(slots=True)
class SendSetup:
    """Action: send a set-up to an exchange (0: wait until the caller gives up)."""

    call: int
    exchange: int
    timeout_us: int


class FinalReason(Enum):
    """Why a call was refused or failed, for trace and counters; no decision depends on it."""

    UNKNOWN = "unknown"
    CLASS_UNKNOWN = "its class is not in the settings"
    OWN_EXCHANGE = "its destination is the own exchange"
    NUMBER_BUSY = "all lines of the called number are busy"
    DESTINATION_NOT_READY = "its destination is not listed as ready"
    ATTEMPTS_USED = "its attempts are used up"
    PAST_AIM = "it is a redial past its target set-up time, which is not queued"
    NO_TRANSIT_ROUTE = "it is a transit call and has no route now"
    TRANSIT_ATTEMPT_ENDED = "it is a transit call and its attempt failed"
    OWN_PROCESSOR_FULL = "the processor of the own exchange is full"
    WAITED_OUT = "its time in the queue is over"
    OPENS_TOO_LATE = "no route opens before its time in the queue ends"
    TOO_LITTLE_TIME = "too little time is left for an attempt"
    MAY_HAVE_RUN = "an attempt may have been executed, and its class must not be repeated"


@dataclass(slots=True)
class Refuse:
    """Action: final answer of a call, refused; the caller may redial after `retry_after_us`.

    A transit call is turned back to the exchange that sent it.
    """

    call: int
    retry_after_us: int
    reason: FinalReason = field(default=FinalReason.UNKNOWN, compare=False)


@dataclass(slots=True)
class Fail:
    """Action: final answer of a call, failed."""

    call: int
    reason: FinalReason = field(default=FinalReason.UNKNOWN, compare=False)


@dataclass(slots=True)
class SetTimer:
    """Action: request a `TimerDue` with this token."""

    delay_us: int
    token: int


@dataclass(slots=True)
class SubscribeToList:
    """Action: subscribe to changes of the exchange list."""


@dataclass(slots=True)
class Log:
    """Action: write a log line for operators."""

    text: str


Action = SendSetup | Refuse | Fail | SetTimer | SubscribeToList | Log
