"""The one reducer: what has happened goes in with its time, what is to be done comes out.

Owns every call, attempt and standing call, the table of exchanges and the links to them, the timers
and the counters, and the translation between messages and the decision module. All state changes
here. It must never touch a socket, a clock or a byte layout, and it takes no decision of the
module's: it only keeps the rules that hold whatever the module asks for.
"""

from __future__ import annotations

import heapq
import math
import random
import re
import traceback
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from . import interface as i
from . import operations
from .benchlink import REPORT_FIELDS, read_report
from .brain import Controller
from .protocol import (
    Answer,
    GroupState,
    ListUpdate,
    Message,
    Progress,
    Release,
    ReleaseCause,
    ReleaseHeard,
    SetUp,
    Test,
    TestResult,
    Unusable,
    settings_word,
)

SECOND = 1_000_000
DEADLINE_MARGIN_US = 50_000  # the module's deadline lies before the caller's: a busy machine is late
OVERDUE_US = 15_000  # past the module's deadline the call is failed here
STANDING_RELEASE_US = 8 * SECOND  # a release that could not be sent for so long is dropped
HEARD_US = SECOND // 5  # a release that its caller has not confirmed by then goes another way too
HEARD_MOST_US = 2 * SECOND  # after the call's end no more
RESEND_US = SECOND  # a release written so lately on a connection that closes is sent on another
STUCK_US = 2 * SECOND  # a write that takes longer has a vanished peer
GIVE_UP_STUCK_US = 50_000  # a give-up that has not left by then takes its link along
SILENT_US = 6 * SECOND  # no link comes up for so long: the exchange's standing calls are over
# An exchange that drains and has refused links so long ago has ended its calls. Guards against another that
# answers at its address by then.
DRAINED_US = 3 * SECOND
SWEEP_US = SECOND // 4
FORGET_US = 10 * SECOND  # ids of ended calls are kept so long, to know late messages
MAX_OUTBOX = 2000  # messages
WRITE_BATCH = 100  # messages
COPY_US = SECOND // 4  # a group state is told on all links of an exchange within that
MUTE_US = SECOND // 4  # a link that misses for so long what other links of its exchange hear is of no use
MUTE_MOST = 2  # attempts in a row that time out with nothing heard, where no other link can be compared
KEPT = 2  # links to an exchange that are always kept, so that each can be compared with another
MOVES_MOST = 2  # of an attempt to another link
SLOTS = 4  # links to one exchange; those beyond the ones kept serve further attempts of a call
RECONNECT_FIRST_US = 50_000
RECONNECT_MOST_US = 400_000
# An empty frame comes each second. What a channel that is silent would have told counts as told after 4 s:
# silence, sweep, connect and pause must fit well into that.
CHANNEL_SILENT_US = 1_750_000
CHANNEL_CONNECT_US = 700_000
CHANNEL_PAUSE_US = 200_000  # at most, after a connection that told nothing
# For the interpreter, the listeners, the door, the channel and connections being closed; 28 have been seen.
DESCRIPTORS_KEPT = 40
LINKS_KEPT = 3  # descriptors for each exchange: further links serve second attempts and are seldom all open
CALLERS_LEAST = 3  # callers may hold one part in so many of the limit, so as much is left to them in any case
# Callers. One that has been told nothing so long after it connected, and has no call open, is closed: it is
# owed a word or a close within 3 s. So is one whose message stays half read.
# A good set-up may take 2 s and more to come in its pieces.
SPEAK_US = 2_600_000
HALF_READ_US = 2_600_000
FRESH_US = 400_000  # a connection that did something so lately makes room only if all did
LINK_HALF_READ_US = SECOND // 4  # an exchange's messages are small and come whole
FAULTS_MOST = 40  # messages of no use in a row on one connection; one is forgiven every 50 ms
FAULTS_FORGIVEN = 5  # each sweep
OPEN_MOST = 400  # calls open on one connection
CALLS_MOST = 4000  # calls open or standing in all
HOLD_RELEASE_US = SECOND // 2  # a release waits so long for a caller that has set up a call
CALLED = re.compile(r"[0-9A-Fa-f]{16}", re.ASCII)
NUMBERS = 1 << 16  # of exchanges, far above all that are
READY_MOST_US = SECOND  # after the start; an exchange that has told nothing by then will not soon
# A drain. The front hears of it up to 0.1 s late and sends new connections for 0.2 s more. At 4 s no
# connection may be left that is idle or has had a set-up in the last 2 s.
DRAIN_QUIET_US = 400_000  # no connection is closed before; a new one has as long for its first set-up
DRAIN_REFUSE_US = 1_500_000  # from then on new set-ups are refused
DRAIN_LAST_US = 3_500_000  # what is still half sent then is closed, and what has had a set-up lately
DRAIN_ASKED_US = 1_900_000  # a set-up that came later is too late for 4 s
DRAIN_STEP_US = 50_000
DRAIN_AWAY_MS = 100  # a caller that is refused finds another session controller at once
# Of the time from SIGTERM until all is answered, where there is a successor: connections on which calls stand
# are closed too after the first share, and new set-ups are refused after the second.
SUCCEEDED_LAST = 0.5
SUCCEEDED_REFUSE = 0.7
TERM_QUIET_US = 700_000  # set-ups may come so long after SIGTERM
# SIGKILL may come as late after SIGTERM as callers wait, 3 s at most, and 0.7 s more. All calls are answered
# before that with time to spare, and the program ends soon after.
TERM_WAIT_MOST_US = 3 * SECOND
TERM_SPARE_US = 300_000
TERM_FLUSH_US = 150_000

NOTES = {
    "no_circuit": i.Cause.NO_CIRCUIT,
    "turned_back": i.Cause.TURNED_BACK,
    "far_overload": i.Cause.FAR_PROCESSOR_FULL,
    "overload": i.Cause.PROCESSOR_FULL,
    "lines_busy": i.Cause.NUMBER_BUSY,
}
# Causes that end a standing call. Any other is the late copy of a refusal and ends nothing.
ENDS = (ReleaseCause.NORMAL, ReleaseCause.TEMPORARY_FAILURE)
OUTCOMES = {  # of a release before the answer
    ReleaseCause.NO_CIRCUIT: i.Outcome.TURNED_AWAY,
    ReleaseCause.TIMER_EXPIRY: i.Outcome.NOT_SENT,
    ReleaseCause.TEMPORARY_FAILURE: i.Outcome.CUT,
    ReleaseCause.NORMAL: i.Outcome.CANCELLED,
}


# --- what has happened. Streams are connections: those accepted are numbered from 1 up by the caller of
# `step`, links to exchanges from -1 down by the reducer. ---


@dataclass(slots=True, frozen=True)
class Started:
    """The program runs; the list of exchanges as the configuration holds it."""

    known: tuple[ListUpdate, ...]
    cursor: int  # the number of the last event in it
    channel: tuple[str, int] = ("", 0)  # address of the command channel
    replaces: bool = False  # whether another process serves at the address until this one does


@dataclass(slots=True, frozen=True)
class Reconfigured:
    """A new configuration that can be used has been read while the program runs."""

    known: tuple[ListUpdate, ...]
    channel: tuple[str, int]
    sockets: int
    settings: i.Settings


@dataclass(slots=True, frozen=True)
class Accepted:
    stream: int


@dataclass(slots=True, frozen=True)
class Heard:
    stream: int
    message: Message
    waited_us: int = 0  # how long it may have lain unread


@dataclass(slots=True, frozen=True)
class Garbled:
    """Input that cannot be read; nothing more is read from the stream."""

    stream: int
    reason: str


@dataclass(slots=True, frozen=True)
class HalfRead:
    """Whether the input read last ends within a message; told when it does, and when it does no more."""

    stream: int
    half: bool


@dataclass(slots=True, frozen=True)
class Ended:
    """The peer sends no more, but may still read."""

    stream: int


@dataclass(slots=True, frozen=True)
class Closed:
    stream: int


@dataclass(slots=True, frozen=True)
class Connected:
    stream: int


@dataclass(slots=True, frozen=True)
class ConnectFailed:
    stream: int
    refused: bool


@dataclass(slots=True, frozen=True)
class Wrote:
    """The last `Write` on the stream is through."""

    stream: int


@dataclass(slots=True, frozen=True)
class ListTold:
    update: ListUpdate


@dataclass(slots=True, frozen=True)
class ChannelLost:
    """The connection to the command channel that the last `Follow` asked for is no more."""

    reason: str


@dataclass(slots=True, frozen=True)
class Tick:
    """A timer may be due."""


@dataclass(slots=True, frozen=True)
class Operation:
    """A line at the operators' door; None if it is none of theirs. It is answered with a `Reply`."""

    visitor: int
    command: operations.Command | None


@dataclass(slots=True, frozen=True)
class Listening:
    """The listener for callers serves."""


@dataclass(slots=True, frozen=True)
class Succeeded:
    """Whether a successor serves at the address; it was one that did, if not."""

    serves: bool


@dataclass(slots=True, frozen=True)
class OtherHolds:
    """How many descriptors and calls the process before or after this one holds."""

    descriptors: int
    calls: int = 0


@dataclass(slots=True, frozen=True)
class Bequeathed:
    """A call that stood at an exchange in the process before this one, which ends."""

    call: int
    exchange: int


@dataclass(slots=True, frozen=True)
class PassedOn:
    """A caller has told the other process that a call is over which may be one of this one's."""

    call: int
    cause: int


@dataclass(slots=True, frozen=True)
class ConfigTurnedDown:
    """A file read on SIGHUP cannot be used."""

    reason: str


@dataclass(slots=True, frozen=True)
class Terminate:
    """The program is to finish what it has taken, then end."""


Input = (
    Started | Reconfigured | Accepted | Heard | HalfRead | Garbled | Ended | Closed | Connected
    | ConnectFailed | Wrote | ListTold | ChannelLost | Tick | Operation | Listening | ConfigTurnedDown
    | Succeeded | OtherHolds | Bequeathed | PassedOn | Terminate
)  # fmt: skip


# --- what is to be done ---


@dataclass(slots=True, frozen=True)
class Connect:
    stream: int
    address: tuple[str, int]
    timeout_us: int


@dataclass(slots=True, frozen=True)
class Write:
    """Write the messages; no other write on the stream is asked for until `Wrote`."""

    stream: int
    messages: tuple[Message, ...]


@dataclass(slots=True, frozen=True)
class Close:
    stream: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close if nothing lies unread on the stream; until `Closed` it is as it was."""

    stream: int


@dataclass(slots=True, frozen=True)
class Follow:
    """Connect to the command channel in place of any connection to it; ask for what follows an event."""

    address: tuple[str, int]
    cursor: int
    timeout_us: int  # of the connect


@dataclass(slots=True, frozen=True)
class TakeCallers:
    """Accept connections from now on, as the one process at the address, or no more."""

    on: bool


@dataclass(slots=True, frozen=True)
class Bequeath:
    """Tell the successor of calls that stand, each with its exchange: this process ends."""

    calls: tuple[tuple[int, int], ...]


@dataclass(slots=True, frozen=True)
class PassOn:
    """Tell the other process that a call is over."""

    call: int
    cause: int


@dataclass(slots=True, frozen=True)
class Reply:
    """Answer a visitor at the operators' door, and close."""

    visitor: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    text: str


@dataclass(slots=True, frozen=True)
class Exit:
    pass


Effect = (
    Connect | Write | Close | CloseIdle | Follow | TakeCallers | Bequeath | PassOn | Reply | Log | Exit
)  # fmt: skip


# --- state ---


@dataclass(slots=True, eq=False)
class Timer:
    """`what` None: it was withdrawn, and nothing hangs on it any more."""

    kind: TimerKind
    what: object


@dataclass(slots=True, frozen=True)
class Over:
    """What is kept of an ended call."""

    until_us: int
    stood: bool
    answered: bool


@dataclass(slots=True, eq=False)
class Call:
    """A call from its set-up to its final answer, or to its end if it stood."""

    set_up: SetUp
    caller: int  # stream
    deadline_us: int
    timer: Timer | None = None
    attempts: int = 0
    attempt: Attempt | None = None
    stood_us: int = 0
    stands_at: int | None = None  # exchange
    used: set[tuple[int, int]] = field(default_factory=set)  # exchange and slot of earlier attempts

    @property
    def ident(self) -> int:
        return self.set_up.call


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up that is on its way to an exchange or waits there for its answer."""

    call: Call
    number: int
    link: Link
    started_us: int
    due_us: int
    timer: Timer | None = None
    moves: int = 0  # to another link, before it was sent
    sent: bool = False  # its bytes have begun to leave
    sent_us: int = 0
    given_up: bool = False  # timed out, the give-up is about to be written


@dataclass(slots=True, frozen=True)
class GiveUpDue:
    """Outbox item: the give-up of an attempt that timed out; the attempt ends once it is written."""

    attempt: Attempt


Outgoing = Message | Attempt | GiveUpDue


@dataclass(slots=True, eq=False)
class Stream:
    """One connection: what waits to be written, and the releases of standing calls written lately."""

    ident: int
    up: bool = False
    outbox: deque[Outgoing] = field(default_factory=deque)
    in_flight: list[Outgoing] = field(default_factory=list)
    write_began_us: int = 0
    half_us: int = 0  # since when its input ends within a message, 0 if it does not
    unheard: dict[int, tuple[int, Release]] = field(default_factory=dict)  # call -> when written, what


@dataclass(slots=True, eq=False)
class Caller(Stream):
    owed: set[int] = field(default_factory=set)  # calls set up on it that have no final answer
    finishing: bool = False  # nothing more is taken; it is closed once all answers are written
    accepted_us: int = 0
    active_us: int = 0
    asked_us: int = 0  # when its last set-up came
    told: bool = False  # whether it has been sent anything
    trust: int = 0  # 1 once it has sent a set-up that can be used, 2 once a call of its has stood
    faults: int = 0  # messages of no use lately

    @property
    def idle(self) -> bool:
        return not (self.owed or self.outbox or self.in_flight)


@dataclass(slots=True, eq=False)
class Link(Stream):
    exchange: int = 0
    slot: int = 0
    attempts: set[Attempt] = field(default_factory=set)
    up_us: int = 0  # since when it has been up
    heard_us: int = 0  # when it last heard anything
    missed_us: int = 0  # since when another link has heard a group state that this one has not
    mute: int = 0  # attempts that timed out on it in a row with nothing heard


@dataclass(slots=True, eq=False)
class Told:
    """A group state, and the links on which it has been heard."""

    at_us: int
    figures: Mapping[str, float]
    links: set[int]


@dataclass(slots=True, eq=False)
class Exchange:
    """A far exchange as the list has it, and its links by slot."""

    ident: int
    number: int
    state: i.ListState
    started_us: int
    address: tuple[str, int]
    links: dict[int, Link] = field(default_factory=dict)
    failures: int = 0  # connections in a row that came to nothing
    retry_us: int = 0
    down_us: int = 0  # since when no link is up or comes up and nothing is heard, else 0
    refused_us: int = 0  # since when it has refused links while it drains, else 0
    broke: bool = False  # the peer ended the first link, and none has come up since
    standing: set[int] = field(default_factory=set)
    told: deque[Told] = field(default_factory=deque)  # group states lately
    told_once: bool = False  # whether a group state has ever come
    unsent: list[tuple[int, Release]] = field(default_factory=list)  # releases that wait for a link


class TimerKind(Enum):
    MODULE = auto()  # a token of the module's
    DEADLINE = auto()  # of a call
    ATTEMPT = auto()  # time-out
    GIVE_UP = auto()  # its bytes should have left
    RECONNECT = auto()  # to an exchange
    HALF_READ = auto()  # a link's message should be whole
    READY = auto()  # what is not told by now is not waited for
    DRAIN = auto()  # idle connections are to be closed
    CHANNEL = auto()  # the command channel is to be asked again
    SWEEP = auto()
    TERM = auto()


class Phase(Enum):
    """What the program is at, as the operators are told it."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    ENDING = "ending"


class Session:
    """The state of one session controller."""

    def __init__(self, settings: i.Settings, seed: int, sockets: int) -> None:
        self.sockets = sockets
        self.counters: Counter[str] = Counter()
        self.calls: dict[int, Call] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.callers: dict[int, Caller] = {}
        self._strangers: dict[int, Caller] = {}  # those that have set up no call, as they last did anything
        self.links: dict[int, Link] = {}
        self._controller = Controller(settings, seed)
        self._random = random.Random(seed)
        self._now = 0
        self._served: dict[str, None] = {}  # the names of all classes that there have been, in their order
        self._use(settings, None)
        self._effects: list[Effect] = []
        self._events: deque[i.Event] = deque()  # on their way to the module
        self._ready: dict[int, Stream] = {}  # streams with something to write
        self._timers: list[tuple[int, int, Timer]] = []
        self._timer_count = 0
        self._next_link = -1
        self._cursor = 0  # number of the last event of the command channel that was taken in
        self._channel = ("", 0)
        self._channel_asked = 0  # how often the channel has been asked
        self._channel_lost = 0  # connections to it in a row that told nothing
        self._channel_heard_us = 0
        self._over: dict[int, Over] = {}  # ended calls
        self._unsent: list[tuple[int, Release]] = []  # releases that wait for a caller
        self._listening = False
        self._replaces = False  # another process serves until this one is ready
        self._succeeded = False  # a successor serves
        self._other_holds = 0  # descriptors, in the process before or after this one
        self._other_calls = 0
        self._started_us = 0
        self._drain_us = 0  # since when it drains, else 0
        self._drains = 0  # how often it has begun to
        self._refuse_us = math.inf  # from then on new set-ups are refused
        self._last_us = math.inf  # from then on less is waited for
        self._term_us = 0  # when SIGTERM came
        self._term_last_us = 0  # when all that is open then is answered
        self._answer_all = False
        self._exited = False

    def _use(self, settings: i.Settings, before: i.Settings | None) -> None:
        """Let settings count, and for as long as their callers may go on trying, the classes before too."""
        self._settings_read = settings
        old = () if before is None else before.classes
        self._before = {settings_word(c.name): c for c in old}
        self._before_until_us = self._now + max((c.give_up_us for c in old), default=0)
        names = {settings_word(c.name) for c in settings.classes}
        left = tuple(c for name, c in self._before.items() if name not in names)
        tenants = () if before is None or not settings.tenants else before.tenants
        self.settings = replace(settings, classes=settings.classes + left)
        self._classes = {settings_word(c.name): k for k, c in enumerate(self.settings.classes)}
        self._served.update(dict.fromkeys(self._classes))
        self._tenants = frozenset(settings_word(name) for name in (*settings.tenants, *tenants))

    # --- the outside ---

    def step(self, now_us: int, happened: Input) -> list[Effect]:
        """Take in one input; the effects are to be run in their order."""
        self._now = max(self._now, now_us)  # guards the module against a clock that is set back
        self._effects = []
        call = happened.message.call if isinstance(happened, Heard) else 0
        self._guarded(lambda: self._take(happened), call)
        self._run_timers()
        self._settle()
        if self._replaces and not self._term_us and self._is_ready():
            self._replaces = False
            self._log("ready: this process takes over")
            self._effects.append(TakeCallers(True))
        if self._term_us and not self._exited and self._finished():
            self._exited = True
            if self._succeeded:
                standing = [(c.ident, c.stands_at) for c in self.calls.values() if c.stands_at is not None]
                self._effects.append(Bequeath(tuple(standing)))
            self._effects.append(Exit())
        return self._effects

    def wake_us(self) -> int | None:
        """When the next timer is due."""
        return self._timers[0][0] if self._timers else None

    # --- the machinery ---

    def _guarded(self, work: Callable[[], None], call: int) -> None:
        """Guards against faults of our own: one event's fault must not end the others' calls."""
        try:
            work()
        except Exception:  # noqa: BLE001
            self.counters["errors"] += 1
            self._log(f"fault, call {call:016x}: {traceback.format_exc()}")
            if call in self.calls and self.calls[call].stands_at is None:
                self._fail(self.calls[call])

    def _take(self, happened: Input) -> None:
        match happened:
            case Heard(stream, message, waited_us):
                if stream in self.links:
                    self._from_exchange(self.links[stream], message)
                elif stream in self.callers:
                    self._from_caller(self.callers[stream], message, waited_us)
            case Wrote(stream):
                self._wrote(stream)
            case Tick():
                pass
            case Accepted(stream):
                self._accepted(stream)
            case Garbled(stream, reason):
                self.counters["garbled"] += 1
                if stream in self.callers:
                    self._shut(self.callers[stream], reason)
                else:
                    self._log(f"link {stream} closed: {reason}")
                    self._peer_done(stream)
            case HalfRead(stream, half):
                if (reader := self.callers.get(stream) or self.links.get(stream)) is not None:
                    began = half and not reader.half_us
                    reader.half_us = (reader.half_us or self._now) if half else 0
                    if isinstance(reader, Caller):
                        self._active(reader)
                    elif began:
                        self._set_timer(LINK_HALF_READ_US, TimerKind.HALF_READ, reader)
            case Ended(stream):
                self._peer_done(stream)
            case Closed(stream):
                if stream in self.links:
                    self._broken(self.links[stream])
                    self._lose_link(self.links[stream])
                elif stream in self.callers:
                    self._lose_caller(self.callers[stream])
            case Connected(stream):
                self._connected(stream)
            case ConnectFailed(stream, refused):
                self._connect_failed(stream, refused)
            case ListTold(update):
                self._channel_heard_us, self._channel_lost = self._now, 0
                self._list_told(update)
            case ChannelLost(reason):
                self._channel_ended(reason)
            case Operation(visitor, command):
                self._effects.append(Reply(visitor, self._operate(command)))
            case Listening():
                self._listening = True
                if not self._replaces:
                    self._effects.append(TakeCallers(True))
            case OtherHolds(descriptors, calls):
                self._other_holds, self._other_calls = descriptors, calls
                self._make_room()
            case Bequeathed(call, exchange):
                self._inherit(call, exchange)
            case PassedOn(call, cause):
                if call in self.calls:
                    self._told_over(self.calls[call], cause)
            case Succeeded(serves):
                self._hand_over(serves)
            case ConfigTurnedDown(reason):
                self.counters["sighup_rejected"] += 1
                self._log(f"new configuration cannot be used, the old one stays: {reason}")
            case Started(known, cursor, channel, replaces):
                self._replaces = replaces
                self._started(known, cursor)
                self._follow(channel)
            case Reconfigured(known, channel, sockets, settings):
                # The events of the file that are not known yet count; its whole list of the start is old.
                for event in known:
                    self._list_told(event)
                self.sockets = sockets
                if settings != self._settings_read:
                    self._use(settings, self.settings)
                    self._events.append(i.SettingsChanged(self.settings))
                    self._log("new settings: classes " + ", ".join(c.name for c in settings.classes))
                self.counters["sighup_applied"] += 1
                self._log(f"new configuration: command channel {channel[0]}:{channel[1]}, {sockets} sockets")
                self._follow(channel)
            case Terminate():
                if not self._term_us:
                    self._term_us = self._now
                    open_ = [c.deadline_us - self._now for c in self.calls.values() if c.stands_at is None]
                    longest = max([c.give_up_us for c in self.settings.classes] + open_)
                    last = min(longest, TERM_WAIT_MOST_US) + TERM_QUIET_US - TERM_SPARE_US
                    self._term_last_us = self._now + last
                    self._set_timer(TERM_QUIET_US, TimerKind.TERM)
                    self._set_timer(last, TimerKind.TERM)
                    self._set_timer(last + TERM_FLUSH_US, TimerKind.TERM)
                    self._leave_by_term()

    def _settle(self) -> None:
        """Let the module answer all that came up, then write."""
        while self._events or self._ready:
            if self._events:
                event = self._events.popleft()
                self._guarded(lambda e=event: self._decide(e), getattr(event, "call", 0))  # type: ignore[misc]
            else:
                _, stream = self._ready.popitem()
                self._flush(stream)

    def _set_timer(self, delay_us: int, kind: TimerKind, what: object = None) -> Timer:
        self._timer_count += 1
        timer = Timer(kind, what)
        heapq.heappush(self._timers, (self._now + delay_us, self._timer_count, timer))
        return timer

    @staticmethod
    def _drop_timer(timer: Timer | None) -> None:
        """Guards the memory: a call that is over must not hang on a timer for its whole wait."""
        if timer is not None:
            timer.what = None

    def _run_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self._now:
            _, _, timer = heapq.heappop(self._timers)
            self._guarded(lambda k=timer.kind, w=timer.what: self._due(k, w), 0)  # type: ignore[misc]
            self._settle()  # what the module answers to one timer may end what the next is about

    def _due(self, kind: TimerKind, what: object) -> None:
        if kind is TimerKind.MODULE and isinstance(what, int):
            self._events.append(i.TimerDue(what))
        elif kind is TimerKind.DEADLINE and isinstance(what, Call):
            if self.calls.get(what.ident) is what and what.stands_at is None:
                self.counters["overdue"] += 1
                self._fail(what)
        elif kind is TimerKind.ATTEMPT and isinstance(what, Attempt):
            if what.call.attempt is what:
                self._timed_out(what)
        elif kind is TimerKind.GIVE_UP and isinstance(what, Attempt):
            if what.call.attempt is what:
                self._drop(what.link)
        elif kind is TimerKind.HALF_READ and isinstance(what, Link):
            # Guards the set-ups that would follow onto a link on which nothing more can be read.
            if self.links.get(what.ident) is what and what.half_us:
                if self._now - what.half_us >= LINK_HALF_READ_US:
                    self.counters["links_half_read"] += 1
                    self._drop(what)
                else:
                    left = what.half_us + LINK_HALF_READ_US - self._now
                    self._set_timer(left, TimerKind.HALF_READ, what)
        elif kind is TimerKind.RECONNECT and isinstance(what, Exchange):
            self._keep_link(what)
        elif kind is TimerKind.CHANNEL and what == self._channel_asked:
            self._follow(self._channel)
        elif kind is TimerKind.TERM and self._now >= self._term_last_us and not self._answer_all:
            # Guards against calls that the end of the program would leave without an answer.
            self._answer_all = True
            for call in [c for c in self.calls.values() if c.stands_at is None]:
                self._fail(call)
        elif kind is TimerKind.DRAIN and what == self._drains:
            self._send_away()
        elif kind is TimerKind.SWEEP:
            self._sweep()

    def _log(self, text: str) -> None:
        self._effects.append(Log(text))

    def _finished(self) -> bool:
        """After SIGTERM: whether all that was taken is answered, and nothing new can come in."""
        since = self._now - self._term_us
        busy = any(c.owed or c.outbox or c.in_flight for c in self.callers.values())
        busy = busy or any(k.up and (k.outbox or k.in_flight) for k in self.links.values())
        if self._now >= self._term_last_us + TERM_FLUSH_US:
            return True
        if self._succeeded:
            return not self.callers and not busy
        return since >= TERM_QUIET_US and not busy

    # --- the operators ---

    def figures(self) -> dict[str, int]:
        """Every figure as it is now: those of the operators' table, then the other counters."""
        names = [operations.by_class(n, c) for c in self._served for n in operations.BY_CLASS]
        counted = ("forwards", "sighup_applied", "sighup_rejected")
        figures = {name: self.counters[name] for name in (*names, *counted)}
        # Those that stand too: they have not ended. Two processes are one session controller.
        figures["outstanding"] = len(self.calls) + self._other_calls
        figures["discovered"] = len(self.exchanges)
        figures["ejected"] = self._controller.avoided(self._now)
        return figures | {name: n for name, n in sorted(self.counters.items()) if name not in figures}

    def _count(self, name: str, class_name: str) -> None:
        """Count the end of a set-up of a class."""
        self.counters[operations.by_class(name, settings_word(class_name))] += 1

    def _operate(self, command: operations.Command | None) -> bytes:
        if command is operations.Command.PING:
            return operations.answer(self.phase is Phase.SERVING, self.phase.value)
        if command is operations.Command.INFO:
            return operations.answer(True, self.phase.value, self.figures())
        if command is not None:
            if self.phase is Phase.ENDING:
                return operations.answer(False, self.phase.value)
            if command is operations.Command.REJOIN:
                self._serve_again()
            elif not self._drain_us:
                self._log(f"draining: {len(self.callers)} connections, {len(self.calls)} calls")
                self._drain(self._now + DRAIN_REFUSE_US, self._now + DRAIN_LAST_US)
            return operations.answer(True, self.phase.value)
        return operations.answer(False, "this can be asked: " + " ".join(c.value for c in operations.Command))

    @property
    def phase(self) -> Phase:
        """What the program is at: PING at the door and the tests of callers' connections follow it."""
        if self._term_us or self._succeeded:
            return Phase.ENDING
        if self._drain_us:
            return Phase.DRAINING
        return Phase.SERVING if self._is_ready() else Phase.STARTING

    def _is_ready(self) -> bool:
        """Whether calls can be taken and sent: the listener serves and all groups are told, or should be."""
        if not self._listening:
            return False
        if self._now - self._started_us >= READY_MOST_US:
            return True
        return all(e.told_once or e.failures or not self._usable(e) for e in self.exchanges.values())

    def _drain(self, refuse_us: float, last_us: float) -> None:
        """Send all callers away, each once nothing of its is open. New set-ups are refused from a moment on;
        from another, less is waited for."""
        self._drain_us, self._refuse_us, self._last_us = self._now, refuse_us, last_us
        self._drains += 1
        self._set_timer(DRAIN_STEP_US, TimerKind.DRAIN, self._drains)

    def _serve_again(self) -> None:
        self._drain_us, self._refuse_us = 0, math.inf

    def _send_away(self) -> None:
        """Guards the calls that cross a close: a connection is closed only with nothing open or unread."""
        if not self._drain_us:
            return
        self._set_timer(DRAIN_STEP_US, TimerKind.DRAIN, self._drains)
        if self._now - self._drain_us < DRAIN_QUIET_US and not self._succeeded:
            return
        patient = self._now < self._last_us
        # Ends of calls that stand are owed within 1 s, and no other connection may come for them. One with
        # late set-ups goes all the same: of two things owed at 4 s that is the one in our hands. A successor
        # hears of the ends and passes them on.
        needed = {call.caller for call in self.calls.values()}
        late_us = self._drain_us + DRAIN_ASKED_US
        for caller in self.callers.values():
            speaks = patient and (caller.half_us or self._now - caller.accepted_us < DRAIN_QUIET_US)
            may_stay = not self._succeeded and caller.asked_us < late_us
            needs = caller.ident in needed and (patient or may_stay)
            if caller.idle and not caller.finishing and not speaks and not needs:
                self._effects.append(CloseIdle(caller.ident))

    def _hand_over(self, serves: bool) -> None:
        """A successor serves at the address, or does so no more."""
        if self._term_us and not serves:
            return
        self._succeeded = serves
        self._effects.append(TakeCallers(not serves))
        if serves:
            self._log(f"succeeded: {len(self.callers)} connections, {len(self.calls)} calls")
            self._drain(math.inf, math.inf)
            self._leave_by_term()
        else:
            self._log("the successor has gone: this process takes callers again")
            self._serve_again()

    def _leave_by_term(self) -> None:
        """Where there is a successor, all connections are to be closed before SIGKILL may come."""
        if self._term_us and self._succeeded:
            span = self._term_last_us - self._term_us
            self._last_us = self._term_us + SUCCEEDED_LAST * span
            self._refuse_us = self._term_us + SUCCEEDED_REFUSE * span

    # --- the module ---

    def _decide(self, event: i.Event) -> None:
        for action in self._controller.handle(self._now, event):
            if isinstance(action, i.SendSetup):
                self._send_set_up(action)
            elif isinstance(action, i.Refuse):
                stay_ms = -(-action.stay_away_us // 1000)
                self._final(action.call, Release(action.call, ReleaseCause.CONGESTION, stay_away_ms=stay_ms))
            elif isinstance(action, i.GiveUp):
                self._final(action.call, Release(action.call, ReleaseCause.TEMPORARY_FAILURE))
            elif isinstance(action, i.SetTimer):
                self._set_timer(action.delay_us, TimerKind.MODULE, action.token)
            elif isinstance(action, i.Log):
                self._log(action.text)
            # Follow asks for nothing: the command channel is always followed.

    def _send_set_up(self, action: i.SendSetup) -> None:
        call = self.calls.get(action.call)
        if call is None or call.stands_at is not None or call.attempt is not None:
            raise RuntimeError("the module sent a set-up for a call that may have none")
        exchange = self.exchanges.get(action.exchange)
        number = call.attempts
        call.attempts += 1
        slot = None if exchange is None else self._free_slot(exchange, call)
        if exchange is None or slot is None or exchange.state is not i.ListState.READY:
            self._events.append(
                i.AttemptEnded(call.ident, number, action.exchange, i.Outcome.NOT_SENT, 0, False)
            )
            return
        call.used.add((exchange.ident, slot))
        link = exchange.links.get(slot) or self._connect(exchange, slot)
        timeout = action.timeout_us or call.deadline_us - self._now
        due = min(self._now + timeout, call.deadline_us)
        call.attempt = Attempt(call, number, link, self._now, due)
        link.attempts.add(call.attempt)
        self.counters["attempts"] += 1
        call.attempt.timer = self._set_timer(due - self._now, TimerKind.ATTEMPT, call.attempt)
        self._queue(link, call.attempt)

    @staticmethod
    def _free_slot(exchange: Exchange, call: Call) -> int | None:
        """The link for an attempt: one of its own among the call's attempts at an exchange, since the id is
        the same on each and a late answer to an earlier one could not be told from its own. Links that are
        half read come last: what is behind a spoilt message is lost."""
        free = [k for k in range(SLOTS) if (exchange.ident, k) not in call.used]
        half = {k for k, link in exchange.links.items() if link.half_us}
        return next((k for k in free if k not in half), free[0] if free else None)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.sent:
            self._end_attempt(attempt, i.Outcome.UNREACHABLE)
            return
        attempt.given_up = True
        link = attempt.link
        link.mute = link.mute + 1 if link.heard_us < attempt.sent_us else 0
        others = [k.heard_us for k in self.exchanges[link.exchange].links.values() if k is not link and k.up]
        if link.mute and (link.mute >= MUTE_MOST or max(others, default=0) > attempt.sent_us + MUTE_US):
            self._drop_mute(link)
            return
        # The give-up leaves before the module hears of the time-out, so that no two attempts are ever out.
        self._queue(attempt.link, GiveUpDue(attempt))
        self._set_timer(GIVE_UP_STUCK_US, TimerKind.GIVE_UP, attempt)

    def _drop_mute(self, link: Link) -> None:
        """Guards against a link that is open and of no further use: what is set up on it comes to nothing,
        and the ends of the calls that stand there are told on the next link that is opened."""
        self.counters["links_mute"] += 1
        self._log(f"link {link.ident} closed: it has fallen silent")
        self._drop(link)

    def _end_attempt(
        self,
        attempt: Attempt,
        outcome: i.Outcome,
        concluded: bool = False,
        cause: i.Cause = i.Cause.NONE,
        report: i.Report | None = None,
    ) -> None:
        call = attempt.call
        attempt.link.attempts.discard(attempt)
        self._drop_timer(attempt.timer)
        call.attempt = None
        self.counters[f"attempts_{outcome.name.lower()}"] += 1
        self._events.append(
            i.AttemptEnded(
                call.ident, attempt.number, attempt.link.exchange, outcome,
                self._now - attempt.started_us, concluded, cause, 0, report,
            )
        )  # fmt: skip

    # --- calls ---

    def _offer(self, caller: Caller, set_up: SetUp, waited_us: int) -> None:
        """Take in a set-up that can be used. Its caller counts the time from its last byte, so what a busy
        machine left it unread comes off."""
        caller.trust = max(caller.trust, 1)
        self._strangers.pop(caller.ident, None)
        wait_us = set_up.wait_ms * 1000
        deadline = self._now - waited_us + wait_us - min(DEADLINE_MARGIN_US, wait_us // 10)
        deadline = max(deadline, self._now)
        call = self.calls[set_up.call] = Call(set_up, caller.ident, deadline)
        caller.owed.add(set_up.call)
        self._over.pop(set_up.call, None)
        call.timer = self._set_timer(deadline + OVERDUE_US - self._now, TimerKind.DEADLINE, call)
        figures = set_up.figures
        self._events.append(
            i.CallOffered(
                call=set_up.call,
                class_index=self._classes[settings_word(set_up.class_name)],
                destination=figures["dest"],
                called=int(set_up.called, 16),
                width=figures["width"],
                deadline_us=deadline,
                transit=figures.get("transit", 0) == 1,
                cut_before=figures.get("again", 0) == 1,
                advised=figures.get("via", -1),
            )
        )

    def _unusable(self, set_up: SetUp) -> str:
        """What is wrong with a set-up that has been read, by the settings and the protocol."""
        number = self._classes.get(settings_word(set_up.class_name))
        if number is None:
            return "unknown class"
        cls, figures = self.settings.classes[number], set_up.figures
        before = self._before.get(settings_word(set_up.class_name), cls)
        good = {
            "id": set_up.call != 0,
            "tenant": not self._tenants or settings_word(set_up.tenant) in self._tenants,
            "number called": CALLED.fullmatch(set_up.called) is not None,
            "wait": 1 <= set_up.wait_ms <= max(cls.give_up_us, before.give_up_us) // 1000 + 1,
            "dest": 0 <= figures.get("dest", -1) < NUMBERS,
            "width": figures.get("width") in (cls.width, before.width),
            "via": -1 <= figures.get("via", -1) < NUMBERS,
            "transit": figures.get("transit", 0) in (0, 1),
            "again": figures.get("again", 0) in (0, 1),
        }
        return ", ".join(name for name, is_good in good.items() if not is_good)

    def _asked(self, caller: Caller, message: SetUp | Unusable, waited_us: int) -> None:
        """A set-up from a caller."""
        caller.asked_us = self._now
        self.counters["set_ups"] += 1
        known = self.calls.get(message.call)
        if known is not None or (message.call in self._over and self._over[message.call].answered):
            # Guards against a second answer: the id is that of another call, or has had its answer. On the
            # connection of a call without answer it can no longer be told which set-up is meant: it fails.
            # On another connection no message can name the id and not be taken for the call's answer or end.
            self.counters["set_ups_repeated"] += 1
            if known is None or known.caller == caller.ident:
                if known is not None and known.stands_at is None:
                    self._fail(known)
                self._fault(caller, "id used again")
            else:
                self._shut(caller, f"id {message.call:016x} is another caller's")
            return
        reason = message.reason if isinstance(message, Unusable) else self._unusable(message)
        if reason or isinstance(message, Unusable):
            self.counters["set_ups_unusable"] += 1
            self._queue(caller, Release(message.call, ReleaseCause.INVALID_CONTENTS))
            self._fault(caller, f"set-ups that cannot be used, the last for its {reason}")
        elif len(caller.owed) >= OPEN_MOST or len(self.calls) >= CALLS_MOST or self._answer_all:
            # Guards the others' calls and the memory against a flood.
            self.counters["set_ups_over_budget"] += 1
            self._count("declined", message.class_name)
            stay_ms = self.settings.max_stay_away_us // 1000
            self._queue(caller, Release(message.call, ReleaseCause.CONGESTION, stay_away_ms=stay_ms))
        elif self._now >= self._refuse_us:
            # Guards the drain's end against a connection that is never idle.
            self._count("declined", message.class_name)
            self._queue(caller, Release(message.call, ReleaseCause.CONGESTION, stay_away_ms=DRAIN_AWAY_MS))
        else:
            self._offer(caller, message, waited_us)

    def _fault(self, caller: Caller, why: str) -> None:
        """Guards the others' calls against a caller that floods the program with what is of no use."""
        caller.faults += 1
        if caller.faults >= FAULTS_MOST and not caller.finishing:
            self.counters["callers_flooding"] += 1
            self._shut(caller, why)

    def _shut(self, caller: Caller, why: str) -> None:
        """Take nothing more from a caller: its open calls fail, then it is closed."""
        self.counters["callers_shut"] += 1
        self._log(f"caller {caller.ident} closed: {why}")
        caller.finishing = True
        for ident in sorted(caller.owed):
            self._fail(self.calls[ident])
        self._close_if_finished(caller)

    def _final(self, ident: int, message: Answer | Release) -> None:
        """Give a call its one final answer."""
        call = self.calls.get(ident)
        if call is None or call.stands_at is not None:
            return
        caller = self.callers[call.caller]
        caller.owed.discard(ident)
        self._drop_timer(call.timer)
        if isinstance(message, Answer):
            self._count("succeeded", call.set_up.class_name)
            caller.trust = 2
        else:
            refused = message.cause == ReleaseCause.CONGESTION
            self._count("declined" if refused else "aborted", call.set_up.class_name)
            self._forget(call, answered=True)
        self._queue(caller, message)

    def _fail(self, call: Call) -> None:
        """Fail a call over the module's head, cleanly towards all sides."""
        self._final(call.ident, Release(call.ident, ReleaseCause.TEMPORARY_FAILURE))
        self._leave(call)

    def _leave(self, call: Call) -> None:
        """Nothing is owed to the caller any more: tell the module, and give up what is out."""
        self._forget(call)
        self._events.append(i.CallerLeft(call.ident))
        if (attempt := call.attempt) is not None:
            if attempt.sent and not attempt.given_up:
                self._queue(attempt.link, Release(call.ident, ReleaseCause.NORMAL))
            self._end_attempt(attempt, i.Outcome.CANCELLED, concluded=True)

    def _forget(self, call: Call, answered: bool = False) -> None:
        if self.calls.pop(call.ident, None) is None:
            return
        self._drop_timer(call.timer)
        if call.caller in self.callers:
            self.callers[call.caller].owed.discard(call.ident)
        stood = call.stands_at is not None
        self._remember_ended(call.ident, stood, answered or stood)

    def _remember_ended(self, ident: int, stood: bool, answered: bool) -> None:
        self._over.pop(ident, None)
        self._over[ident] = Over(self._now + FORGET_US, stood, answered)

    def _end_standing(self, call: Call, outcome: i.Outcome, report: i.Report | None = None) -> None:
        """A call that stood is over."""
        at = call.stands_at
        assert at is not None
        self.exchanges[at].standing.discard(call.ident)
        self._forget(call)
        self.counters[f"calls_{outcome.name.lower()}"] += 1
        self._events.append(
            i.AttemptEnded(
                call.ident, call.attempts - 1, at, outcome, self._now - call.stood_us, True, report=report
            )
        )

    def _cut(self, exchange: Exchange, before_us: int, why: str) -> None:
        """The calls that stood at an exchange before a moment are over, though it cannot say so."""
        cut = [self.calls[k] for k in sorted(exchange.standing) if self.calls[k].stood_us < before_us]
        if cut:
            self._log(f"exchange {exchange.number} {why}: {len(cut)} standing calls are over")
        for call in cut:
            self._end_standing(call, i.Outcome.CUT)
            self._release_to_caller(call.caller, Release(call.ident, ReleaseCause.TEMPORARY_FAILURE))

    # --- callers ---

    def _accepted(self, stream: int) -> None:
        self.counters["callers_accepted"] += 1
        if len(self.callers) >= self._most_callers():
            # Guards the descriptor limit: the connection that is worth least makes room, else the new one.
            self.counters["callers_over_budget"] += 1
            least = self._least_caller()
            if least is None:
                self._effects.append(Close(stream))
                return
            self._drop(least)
        caller = Caller(stream, up=True, accepted_us=self._now, active_us=self._now)
        self.callers[stream] = self._strangers[stream] = caller

    def _most_callers(self) -> int:
        """How many connections of callers fit the descriptor limit, beside those of the other process."""
        ours = self.sockets - self._other_holds
        return max(ours // CALLERS_LEAST, ours - DESCRIPTORS_KEPT - LINKS_KEPT * len(self.exchanges))

    def _least_caller(self) -> Caller | None:
        """The idle connection that is worth least, None if all are busy.

        Guards good callers against a crowd. Strangers go first, by when they last did anything: a set-up
        that comes in pieces is not a connection that is silent. Where all of them have done something just
        now, a connection goes on which nothing is open or stands; those on which calls stand go last.
        """
        stranger = next((c for c in self._strangers.values() if c.idle), None)
        if stranger is not None and self._now - stranger.active_us >= FRESH_US:
            return stranger
        needed = {call.caller for call in self.calls.values()}
        idle = [c for c in self.callers.values() if c.trust and c.idle and not c.half_us]
        known = min(idle, key=lambda c: (c.ident in needed, c.active_us), default=None)
        if known is None or (known.ident in needed and stranger is not None):
            return stranger
        return known if self._now - known.active_us >= FRESH_US or stranger is None else stranger

    def _make_room(self) -> None:
        """The other process holds more now: what fits no more goes."""
        while len(self.callers) > self._most_callers() and (least := self._least_caller()) is not None:
            self.counters["callers_over_budget"] += 1
            self._drop(least)

    def _active(self, caller: Caller) -> None:
        """It has sent something. Strangers are kept in the order in which they last did."""
        caller.active_us = self._now
        if self._strangers.pop(caller.ident, None) is not None:
            self._strangers[caller.ident] = caller

    def _from_caller(self, caller: Caller, message: Message, waited_us: int) -> None:
        if caller.finishing:
            return
        self._active(caller)
        caller.half_us = caller.half_us and self._now
        if isinstance(message, SetUp | Unusable):
            self._asked(caller, message, waited_us)
            if caller.trust:
                self._send_unsent(caller)
        elif isinstance(message, Release):
            call = self.calls.get(message.call)
            if call is None:
                # It may be that of a call which stood before this program was started anew.
                self.counters["late_messages"] += 1
                self._queue(caller, ReleaseHeard(message.call))
                if message.call not in self._over:
                    if self._other_calls:
                        self._effects.append(PassOn(message.call, message.cause))
                    self._fault(caller, "releases of unknown calls")
            else:
                if call.stands_at is not None:
                    self._queue(caller, ReleaseHeard(call.ident))
                self._told_over(call, message.cause)
        elif isinstance(message, ReleaseHeard) and caller.unheard.pop(message.call, None) is not None:
            self.counters["releases_heard"] += 1
        elif isinstance(message, Test):
            # The front asks here whether to send more. Who ends may have a successor at the address.
            ready = self.phase in (Phase.SERVING, Phase.ENDING)
            self._queue(caller, TestResult(message.call, ready))
            self._fault(caller, "tests")
        else:
            self.counters["messages_passed_over"] += 1
            self._fault(caller, "messages of no use")

    def _told_over(self, call: Call, cause: int) -> None:
        """The caller gives a call up, or ends it if it stands."""
        if call.stands_at is None:
            self.counters["callers_gave_up"] += 1
            self._leave(call)
        else:
            exchange = self.exchanges[call.stands_at]
            self._end_standing(call, i.Outcome.CANCELLED)
            self._release_to_exchange(exchange, Release(call.ident, cause))

    def _inherit(self, ident: int, exchange: int) -> None:
        """Enter a call that stood in the process before this one. The module does not know it: the told free
        circuits are without its own."""
        if exchange in self.exchanges and ident not in self.calls and ident not in self._over:
            self.counters["calls_inherited"] += 1
            call = self.calls[ident] = Call(SetUp(ident, "", 0, "", b""), 0, self._now)
            call.stands_at, call.stood_us = exchange, self._now
            self.exchanges[exchange].standing.add(ident)

    def _release_to_caller(self, preferred: int, release: Release) -> None:
        """Send the release of a call that stood on the best connection, or keep it for the next one.

        Any will do for its caller, but not one of somebody else's: where the call's own is no more, those go
        first on which calls have stood, and one that never set up a call is the last resort.
        """
        self.counters["releases_to_callers"] += 1
        caller = self.callers.get(preferred)
        if caller is None or caller.finishing:
            caller = self._best_caller()
        if caller is None or not caller.trust:
            self._unsent.append((self._now + STANDING_RELEASE_US, release))
        else:
            self._queue(caller, release)

    def _send_again(self, caller: Caller) -> None:
        """Guards against a release that is lost with a connection whose caller is gone, or never cared for
        it: callers confirm what they hear."""
        for ident, (at, release) in list(caller.unheard.items()):
            if at > self._now - HEARD_US:
                continue
            del caller.unheard[ident]
            over = self._over.get(ident)
            if over is None or not over.stood or self._now - over.until_us + FORGET_US > HEARD_MOST_US:
                continue
            if (other := self._best_caller(caller)) is not None:
                self.counters["releases_sent_again"] += 1
                self._queue(other, release)

    def _best_caller(self, but: Caller | None = None) -> Caller | None:
        open_ = [c for c in self.callers.values() if not c.finishing and c is not but]
        return max(open_, key=lambda c: (c.trust, c.active_us)) if open_ else None

    def _send_unsent(self, caller: Caller) -> None:
        """Send the releases that wait for a caller."""
        unsent, self._unsent = self._unsent, []
        for _, release in unsent:
            self._queue(caller, release)

    def _lose_caller(self, caller: Caller) -> None:
        """The connection is closed: what was owed on it is owed no more, releases go another way."""
        del self.callers[caller.ident]
        self._strangers.pop(caller.ident, None)
        for ident in list(caller.owed):
            self.counters["callers_vanished"] += 1
            self._leave(self.calls[ident])
        for release in self._unfinished_releases(caller):
            self._release_to_caller(0, release)

    def _unfinished_releases(self, stream: Stream) -> list[Release]:
        """Releases of calls that stood which a closed connection has perhaps not carried."""
        waiting = [m for m in (*stream.in_flight, *stream.outbox) if isinstance(m, Release)]
        lately = [m for at, m in stream.unheard.values() if at > self._now - RESEND_US]
        releases = {m.call: m for m in (*lately, *waiting)}
        return [m for ident, m in releases.items() if ident in self._over and self._over[ident].stood]

    def _peer_done(self, stream: int) -> None:
        """Nothing more comes in on a stream. A caller still gets the answers that it is owed."""
        if stream in self.links:
            self._broken(self.links[stream])
            self._drop(self.links[stream])
        elif stream in self.callers:
            caller = self.callers[stream]
            caller.finishing = True
            self._close_if_finished(caller)

    def _close_if_finished(self, caller: Caller) -> None:
        if caller.finishing and caller.idle:
            self._drop(caller)

    # --- exchanges ---

    def _started(self, known: Iterable[ListUpdate], cursor: int) -> None:
        self._started_us = self._now
        self._set_timer(READY_MOST_US, TimerKind.READY)
        self._set_timer(SWEEP_US, TimerKind.SWEEP)
        for update in known:
            self._list_told(update)
        self._cursor = max(self._cursor, cursor)

    def _follow(self, channel: tuple[str, int]) -> None:
        """Ask the command channel for what follows the last event taken in, at once."""
        self._channel = channel
        self._channel_asked += 1
        self._channel_heard_us = self._now
        self._effects.append(Follow(channel, self._cursor, CHANNEL_CONNECT_US))

    def _channel_ended(self, reason: str) -> None:
        """What it would have told counts as told 2 s later, so the first new connection is at once."""
        self.counters["channel_reconnects"] += 1
        self._log(f"command channel lost: {reason}")
        pause = CHANNEL_PAUSE_US if self._channel_lost else 0
        self._channel_lost += 1
        self._set_timer(int(pause * self._random.uniform(0.5, 1.0)), TimerKind.CHANNEL, self._channel_asked)

    def _list_told(self, update: ListUpdate) -> None:
        # An event may come twice, the whole list of the start among them: only what is new counts.
        if update.kind is None or update.number <= self._cursor:
            return
        self._cursor = max(self._cursor, update.number)
        named = {listed.entry.exchange for listed in update.listed}
        told: list[i.ListEntry] = []  # to the module
        for listed in update.listed:
            entry = listed.entry
            known = self.exchanges.get(entry.exchange)
            if known is None:
                if entry.state is i.ListState.GONE:
                    continue
                # Guards against calls that would reach a new exchange under the id of the one that was there.
                for other in self.exchanges.values():
                    if other.address == listed.address and other.ident not in named:
                        other.state = i.ListState.GONE
                        told.append(i.ListEntry(other.ident, other.number, other.state, other.started_us))
                known = self.exchanges[entry.exchange] = Exchange(
                    entry.exchange, entry.number, entry.state, entry.started_us, listed.address
                )
            told.append(entry)
            if entry.started_us > known.started_us:
                self._cut(known, entry.started_us, "has started anew")
            known.state, known.started_us = entry.state, entry.started_us
            if entry.state is i.ListState.READY:
                known.refused_us = 0
            if listed.address != known.address:
                known.address = listed.address
                for link in list(known.links.values()):
                    self._drop(link)
        if update.kind is i.ListKind.FULL:
            for known in self.exchanges.values():
                if known.ident not in named:
                    known.state = i.ListState.GONE
        self.counters["list_updates"] += 1
        self._events.append(i.ExchangeList(update.kind, told))
        for exchange in list(self.exchanges.values()):
            if exchange.state is i.ListState.GONE:
                self._cut(exchange, self._now + 1, "is gone")
                for link in list(exchange.links.values()):
                    self._drop(link)
                # Guards the memory and the descriptors kept for exchanges: on long days they come and go.
                del self.exchanges[exchange.ident]
            else:
                self._keep_link(exchange)

    def _usable(self, exchange: Exchange) -> bool:
        own = self.settings.shape is i.Shape.MESH and exchange.number == self.settings.own_number
        return exchange.state is not i.ListState.GONE and not own

    def _keep_link(self, exchange: Exchange) -> None:
        """Have links to every exchange that can be used, one after the other: group states come on open links
        alone."""
        slot = next((k for k in range(KEPT) if k not in exchange.links or not exchange.links[k].up), KEPT)
        if self._usable(exchange) and slot < KEPT and slot not in exchange.links:
            if self._now >= exchange.retry_us:
                self._connect(exchange, slot)
            else:
                self._set_timer(exchange.retry_us - self._now, TimerKind.RECONNECT, exchange)

    def _connect(self, exchange: Exchange, slot: int) -> Link:
        link = Link(self._next_link, exchange=exchange.ident, slot=slot)
        self._next_link -= 1
        self.links[link.ident] = exchange.links[slot] = link
        if not any(other.up for other in exchange.links.values()):
            exchange.down_us = exchange.down_us or self._now
        self.counters["connects"] += 1
        self._effects.append(Connect(link.ident, exchange.address, self.settings.connect_timeout_us))
        return link

    def _connected(self, stream: int) -> None:
        link = self.links.get(stream)
        if link is None:
            self._effects.append(Close(stream))
            return
        link.up, link.up_us, link.heard_us = True, self._now, self._now
        exchange = self.exchanges[link.exchange]
        exchange.down_us, exchange.broke = 0, False
        unsent, exchange.unsent = exchange.unsent, []
        for _, release in unsent:
            self._queue(link, release)
        self._ready[link.ident] = link
        self._keep_link(exchange)

    def _connect_failed(self, stream: int, refused: bool) -> None:
        link = self.links.get(stream)
        if link is None:
            return
        self.counters["connects_refused" if refused else "connects_timed_out"] += 1
        exchange = self.exchanges[link.exchange]
        self._lose_link(link)
        exchange.down_us = exchange.down_us or self._now  # others may be open, and silent
        idle = [other for other in exchange.links.values() if other.up]
        dead = refused and (exchange.broke or not idle)
        if dead and exchange.state is not i.ListState.READY:
            # One that drains takes no links, and its calls go on, but not for long.
            exchange.refused_us = exchange.refused_us or self._now
        elif dead:
            # A link broke and nothing listens: the process has died, and its calls with it. Guards against
            # waiting for links on which nothing was under way: those of a dead process may stay silent.
            self._cut(exchange, self._now + 1, "refuses connections")
            for other in idle:
                self._drop(other)

    def _broken(self, link: Link) -> None:
        """The peer ended a link. Those kept are reconnected at once, which tells whether it has died."""
        if link.slot < KEPT:
            self.exchanges[link.exchange].broke = True

    def _lose_link(self, link: Link) -> None:
        """The link is closed, and with that the set-ups on it are given up."""
        exchange = self.exchanges[link.exchange]
        del self.links[link.ident]
        del exchange.links[link.slot]
        for attempt in sorted(link.attempts, key=lambda a: a.call.ident):
            if not attempt.sent and link.up_us and attempt.moves < MOVES_MOST and self._usable(exchange):
                # Guards against taking the reset of a new or idle link for a dead exchange: nothing has left,
                # so the attempt goes on over another link.
                attempt.moves += 1
                attempt.link = exchange.links.get(link.slot) or self._connect(exchange, link.slot)
                attempt.link.attempts.add(attempt)
                self._queue(attempt.link, attempt)
            elif not attempt.sent:
                self._end_attempt(attempt, i.Outcome.UNREACHABLE)
            else:
                self._end_attempt(attempt, i.Outcome.TIMED_OUT if attempt.given_up else i.Outcome.CUT)
        for release in self._unfinished_releases(link):
            self._release_to_exchange(exchange, release)
        if not any(other.up for other in exchange.links.values()):
            exchange.down_us = exchange.down_us or self._now
        # The first reconnect follows at once: a refusal tells at once that the process has died.
        pause = 0
        if exchange.failures:
            pause = min(RECONNECT_MOST_US, RECONNECT_FIRST_US << min(exchange.failures, 10))
        exchange.failures += 1
        exchange.retry_us = self._now + int(pause * self._random.uniform(0.5, 1.0))
        self._keep_link(exchange)

    def _release_to_exchange(self, exchange: Exchange, release: Release) -> None:
        """Send the release of a call that stood on any open link, or keep it for the next one."""
        link = next((k for k in exchange.links.values() if k.up), None)
        if link is not None:
            self._queue(link, release)
        elif exchange.state is not i.ListState.GONE:
            exchange.unsent.append((self._now + STANDING_RELEASE_US, release))

    def _from_exchange(self, link: Link, message: Message) -> None:
        exchange = self.exchanges[link.exchange]
        exchange.failures, exchange.down_us = 0, 0
        link.half_us = link.half_us and self._now
        link.heard_us, link.missed_us, link.mute = self._now, 0, 0
        call = self.calls.get(message.call)
        attempt = call.attempt if call is not None else None
        if attempt is not None and (attempt.link is not link or attempt.given_up or not attempt.sent):
            attempt = None
        if isinstance(message, Answer):
            self._answered(exchange, link, message, attempt)
        elif isinstance(message, Release):
            self._released(exchange, link, message, attempt)
        elif isinstance(message, GroupState):
            for other in exchange.links.values():
                if other is not link and other.up and not other.missed_us:
                    other.missed_us = self._now
            exchange.told_once = True
            if not self._is_copy(exchange, link, message.report):
                self._tell_report(exchange, message.report)
        elif isinstance(message, ReleaseHeard):
            link.unheard.pop(message.call, None)
        elif isinstance(message, Test):
            self._queue(link, TestResult(message.call, True))
        elif not isinstance(message, Progress):
            # No exchange sends it: a message came spoilt, and what is behind it is lost.
            self.counters["garbled"] += 1
            self._log(f"link {link.ident} closed: it sent {type(message).__name__}")
            self._peer_done(link.ident)

    def _is_copy(self, exchange: Exchange, link: Link, figures: Mapping[str, float]) -> bool:
        """Whether a group state has been heard on another link already: it comes on each that is open.

        Guards against circuits that are counted as free once more, after a call has been sent to them.
        """
        told = exchange.told
        while told and told[0].at_us < self._now - COPY_US:
            told.popleft()
        for state in told:
            if link.ident not in state.links and state.figures == figures:
                state.links.add(link.ident)
                self.counters["group_states_copied"] += 1
                return True
        told.append(Told(self._now, figures, {link.ident}))
        return False

    def _tell_report(self, exchange: Exchange, figures: Mapping[str, float]) -> None:
        self._events.append(i.ExchangeReport(exchange.ident, True, False, 0, _report(figures)))

    def _answered(self, exchange: Exchange, link: Link, answer: Answer, attempt: Attempt | None) -> None:
        if attempt is None:
            # An answer to an attempt that was given up is released, not passed on. Where the same call has
            # an attempt out or stands at this exchange, the give-up alone does that: a release would end it.
            self.counters["late_answers"] += 1
            call = self.calls.get(answer.call)
            at = None
            if call is not None:
                at = call.attempt.link.exchange if call.attempt is not None else call.stands_at
            if at != exchange.ident:
                self._queue(link, Release(answer.call, ReleaseCause.NORMAL))
            return
        call = attempt.call
        link.attempts.discard(attempt)
        self._drop_timer(attempt.timer)
        call.attempt = None
        self.counters["attempts_answered"] += 1
        self._final(call.ident, Answer(call.ident, answer.description))
        call.stands_at, call.stood_us = exchange.ident, self._now
        exchange.standing.add(call.ident)
        self._events.append(
            i.CallStands(call.ident, attempt.number, exchange.ident, self._now - attempt.started_us)
        )
        if answer.report is not None:
            self._tell_report(exchange, answer.report)

    def _released(self, exchange: Exchange, link: Link, release: Release, attempt: Attempt | None) -> None:
        report = None if release.report is None else _report(release.report)
        call = self.calls.get(release.call)
        if attempt is not None:
            outcome = OUTCOMES.get(release.cause, i.Outcome.NO_LINE)  # type: ignore[call-overload]
            self._end_attempt(attempt, outcome, cause=NOTES.get(release.note, i.Cause.NONE), report=report)
        elif call is not None and call.stands_at == exchange.ident and release.cause in ENDS:
            over = release.cause == ReleaseCause.NORMAL
            self._end_standing(call, i.Outcome.RELEASED if over else i.Outcome.CUT, report)
            self._release_to_caller(call.caller, Release(call.ident, release.cause))
            self._queue(link, ReleaseHeard(call.ident))
        else:
            if report is not None:
                self._events.append(i.ExchangeReport(exchange.ident, True, False, 0, report))
            self.counters["late_messages"] += 1
            if call is None and release.call not in self._over and release.cause in ENDS:
                # The call stood before this program was started anew; its caller still has to hear.
                self._remember_ended(release.call, True, True)
                self._release_to_caller(0, Release(release.call, release.cause))

    # --- writing ---

    def _queue(self, stream: Stream, item: Outgoing) -> None:
        stream.outbox.append(item)
        self._ready[stream.ident] = stream

    def _flush(self, stream: Stream) -> None:
        """Ask for the next write, if none is under way. What is stale by now does not leave."""
        if not stream.up or stream.in_flight:
            if len(stream.outbox) > MAX_OUTBOX:
                self._log(f"stream {stream.ident} takes nothing in")
                self._drop(stream)
            return
        messages: list[Message] = []
        while stream.outbox and len(messages) < WRITE_BATCH:
            item = stream.outbox.popleft()
            message: Message | None
            if isinstance(item, Attempt):
                message = self._set_up(item)
            elif isinstance(item, GiveUpDue):
                message = Release(item.attempt.call.ident, ReleaseCause.NORMAL)
            else:
                message = item
            if message is None:
                continue
            messages.append(message)
            stream.in_flight.append(item)
        if messages:
            if isinstance(stream, Caller):
                stream.told = stream.told or not all(isinstance(m, ReleaseHeard) for m in messages)
            stream.write_began_us = self._now
            self._effects.append(Write(stream.ident, tuple(messages)))

    def _set_up(self, attempt: Attempt) -> SetUp | None:
        """The set-up of an attempt as its bytes leave, if it still may."""
        call = attempt.call
        if call.attempt is not attempt or self._now >= attempt.due_us:
            return None
        if self.exchanges[attempt.link.exchange].state is not i.ListState.READY:
            self._end_attempt(attempt, i.Outcome.NOT_SENT)
            return None
        attempt.sent, attempt.sent_us = True, self._now
        wait_ms = max(1, (attempt.due_us - self._now) // 1000)
        old = call.set_up
        return SetUp(old.call, old.class_name, wait_ms, old.called, old.description)

    def _wrote(self, ident: int) -> None:
        stream = self.callers.get(ident) or self.links.get(ident)
        if stream is None:
            return
        items, stream.in_flight = stream.in_flight, []
        for item in items:
            if isinstance(item, GiveUpDue):
                if item.attempt.call.attempt is item.attempt:
                    self._end_attempt(item.attempt, i.Outcome.TIMED_OUT)
            elif isinstance(item, Attempt):
                self.counters["forwards"] += 1
            elif isinstance(item, Release):
                stream.unheard[item.call] = (self._now, item)
        self._ready[ident] = stream
        if isinstance(stream, Caller):
            self._close_if_finished(stream)

    def _drop(self, stream: Stream) -> None:
        """Close a stream from our side."""
        stream.up = False
        self._effects.append(Close(stream.ident))
        if isinstance(stream, Link):
            self._lose_link(stream)
        elif isinstance(stream, Caller):
            self._lose_caller(stream)

    def _sweep(self) -> None:
        """Now and then: end writes and links of vanished peers, drop what is too old."""
        self._set_timer(SWEEP_US, TimerKind.SWEEP)
        if self._now - self._channel_heard_us > CHANNEL_SILENT_US:
            self.counters["channel_silent"] += 1
            self._follow(self._channel)
        streams: list[Stream] = [*self.callers.values(), *self.links.values()]
        for stream in streams:
            if isinstance(stream, Caller):
                self._send_again(stream)
            old = [k for k, (at, _) in stream.unheard.items() if at <= self._now - RESEND_US]
            for ident in old:
                del stream.unheard[ident]
            if stream.in_flight and self._now - stream.write_began_us > STUCK_US:
                self._log(f"stream {stream.ident} is stuck")
                self._drop(stream)
            elif isinstance(stream, Link) and stream.up and stream.missed_us:
                links = self.exchanges[stream.exchange].links.values()
                if max(k.heard_us for k in links) > stream.missed_us + MUTE_US:
                    self._drop_mute(stream)
        for caller in list(self.callers.values()):
            caller.faults = max(0, caller.faults - FAULTS_FORGIVEN)
            if caller.finishing:
                continue
            if caller.half_us and self._now - caller.half_us > HALF_READ_US:
                self._shut(caller, "its message stays half read")
            elif not caller.told and caller.idle and self._now - caller.accepted_us > SPEAK_US:
                self.counters["callers_silent"] += 1
                self._drop(caller)
        if self._before and self._now > self._before_until_us:
            self._use(self._settings_read, None)
            self._events.append(i.SettingsChanged(self.settings))
        self._unsent = [kept for kept in self._unsent if kept[0] > self._now]
        held = self._unsent and self._unsent[0][0] - STANDING_RELEASE_US < self._now - HOLD_RELEASE_US
        if held and (best := self._best_caller()) is not None:
            self._send_unsent(best)
        for exchange in self.exchanges.values():
            exchange.unsent = [kept for kept in exchange.unsent if kept[0] > self._now]
            if exchange.standing and exchange.down_us and self._now - exchange.down_us > SILENT_US:
                self._cut(exchange, self._now + 1, "cannot be reached")
            if exchange.standing and exchange.refused_us and self._now - exchange.refused_us > DRAINED_US:
                self._cut(exchange, self._now + 1, "has drained and refused links")
        while self._over and (first := next(iter(self._over.items())))[1].until_us <= self._now:
            del self._over[first[0]]


def _report(figures: Mapping[str, float]) -> i.Report:
    return read_report((REPORT_FIELDS.get(name), value) for name, value in figures.items())
