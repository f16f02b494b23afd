"""The words in which a proxy and the decision module talk: settings, events and actions.

Plain types only. Times are integer microseconds on the clock that the proxy passes to
`Controller.handle`; exchanges are named by the numbers that the exchange list gives them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Topology(IntEnum):
    """How exchanges are joined."""

    MESH = 0  # trunk groups between exchanges, calls may go over one tandem
    POOLS = 1  # shared pools of agents, a call may go to a pool of second choice


class ListKind(IntEnum):
    """What an exchange list message holds."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class ListState(IntEnum):
    """What the exchange list says of one exchange."""

    READY = 1
    DRAINING = 2
    GONE = 3


class Outcome(IntEnum):
    """How an attempt (or a probe) ended."""

    RELEASED = 0  # the call stood and has ended; for a probe: answered
    NO_LINE = 1  # all lines of the called number busy, or a fault in signalling
    TURNED_AWAY = 2  # not set up: see the cause
    TIMED_OUT = 3
    UNREACHABLE = 4
    CUT = 5
    CANCELLED = 6
    NOT_SENT = 7


class Cause(IntEnum):
    """Why an attempt was not set up."""

    NONE = 0
    NO_CIRCUIT = 1
    REFUSED_BY_TANDEM = 2  # by the tandem
    PROCESSOR_FULL = 3
    NUMBER_BUSY = 4
    DESTINATION_PROCESSOR_FULL = 5  # turned back, the processor beyond the tandem was full


@dataclass(slots=True, frozen=True)
class CallClass:
    """One class of calls."""

    name: str
    value: float
    late_share: float  # share of the worth that a late set-up earns
    target_us: int
    give_up_us: int
    width: int  # circuits on each trunk group
    holding_us: int
    pools: tuple[int, ...] = ()  # shape POOLS: numbers of the pools that it may go to
    at_most_once: bool = False  # an attempt that may have run must not be repeated, nor the call refused after it


@dataclass(slots=True, frozen=True)
class Settings:
    """What a controller is told at its start, and with `SettingsChanged`."""

    classes: tuple[CallClass, ...]
    topology: Topology
    own_number: int  # number of the own exchange, -1 with pools
    controllers: int  # how many proxies there are in all
    max_attempts: int
    release_us: int
    drain_grace_us: int
    cold_start_share: float
    warm_up_us: int
    collapse_multiple: float
    collapse_us: int
    connect_timeout_us: int
    list_on_request: bool
    ask_within_us: int
    max_retry_after_us: int  # 0: callers are not told when to come back
    resend_us: int
    late_penalty: float = 0.0  # what worth left unserved after its aim costs
    tenants: tuple[str, ...] = ()  # names; none where there are no tenants


@dataclass(slots=True)
class LoadReport:
    """A load report; absent figures are None."""

    free: int | None = None
    size: int | None = None
    setups_per_s: float | None = None  # new set-ups it can take from all senders
    throttle_share: float | None = None  # share of new set-ups it asks each sender to hold back
    wait_us: int | None = None
    busy_share: float | None = None
    queue_length: float | None = None


@dataclass(slots=True)
class ListEntry:
    """One exchange in a list message."""

    exchange: int
    number: int
    state: ListState
    started_us: int  # 0: long ago


@dataclass(slots=True)
class ExchangeList:
    """Event: the exchange list, or changes to it."""

    kind: ListKind
    entries: list[ListEntry] = field(default_factory=list)


@dataclass(slots=True)
class CallOffered:
    """Event: a call wants to be set up."""

    call: int
    class_index: int
    destination: int
    called_number: int  # stands for the called number, 0: unknown
    width: int
    deadline_us: int
    transit: bool = False
    redialled: bool = False
    cut_before: bool = False
    via: int = -1  # number of the advised tandem, or where a transit call comes from


@dataclass(slots=True)
class CallAnswered:
    """Event: an attempt was set up and the call is through."""

    call: int
    attempt: int
    exchange: int
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """Event: how an attempt ended."""

    call: int
    attempt: int
    exchange: int
    outcome: Outcome
    elapsed_us: int
    concluded: bool
    cause: Cause = Cause.NONE
    wait_us: int = 0
    report: LoadReport | None = None


@dataclass(slots=True)
class CallerLeft:
    """Event: the caller has left, nothing is owed any more."""

    call: int


@dataclass(slots=True)
class ExchangeReport:
    """Event: circuits told of an own group, or the answer to a probe."""

    exchange: int
    answered: bool
    probed: bool
    elapsed_us: int
    report: LoadReport


@dataclass(slots=True)
class TimerDue:
    """Event: a timer set by the controller is due."""

    token: int


@dataclass(slots=True)
class SettingsChanged:
    """Event: other settings count from now on; calls under way keep their class and no attempts are added."""

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
    """Why a call was refused or failed, for the trace; nothing is decided by it."""

    UNKNOWN = "unknown"
    CLASS_UNKNOWN = "its class is not in the settings"
    OWN_EXCHANGE = "its destination is the own exchange"
    NUMBER_BUSY = "all lines of the number are busy"
    DESTINATION_NOT_READY = "its destination is not in the list as ready"
    ATTEMPTS_USED = "its attempts are used up"
    PAST_AIM = "its caller tried first too long ago to be put in line"
    NO_TRANSIT_ROUTE = "in transit, and no route now"
    TRANSIT_ATTEMPT_ENDED = "in transit, and its attempt came to nothing"
    OWN_PROCESSOR_FULL = "the own processor is full"
    WAITED_OUT = "its time in line is over"
    OPENS_TOO_LATE = "no route opens in time"
    TOO_LITTLE_TIME = "too little time is left for an attempt"
    MAY_HAVE_RUN = "an attempt may have run, and its class may not be repeated"


@dataclass(slots=True)
class Refuse:
    """Action: final answer, turned away (or transit turned back)."""

    call: int
    retry_after_us: int
    reason: FinalReason = field(default=FinalReason.UNKNOWN, compare=False)


@dataclass(slots=True)
class Fail:
    """Action: final answer, failed."""

    call: int
    reason: FinalReason = field(default=FinalReason.UNKNOWN, compare=False)


@dataclass(slots=True)
class SetTimer:
    """Action: ask for a `TimerDue`."""

    delay_us: int
    token: int


@dataclass(slots=True)
class SubscribeToList:
    """Action: subscribe to changes of the exchange list."""


@dataclass(slots=True)
class Log:
    """Action: a line for the on-call staff."""

    text: str


Action = SendSetup | Refuse | Fail | SetTimer | SubscribeToList | Log
