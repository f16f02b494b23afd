"""What can be known of every call from inputs and effects alone: the history that the properties judge.

Owns the facts and the order in which they come to be. It must never look into the reducer, and it judges nothing.
Moments are microseconds on the world's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

from .. import interface as i
from .. import protocol as p
from .. import session as s
from ..session.exchanges import CAUSES_OF_END

GIVE_UP_SLACK_US = 60_000  # a give-up that has not left by then takes its link along


class ObservationKind(IntEnum):
    """What has just come to be known, for the properties to judge."""

    TAKEN = 0  # a call is taken
    FINAL = 1  # a message for a call is handed over for writing to a caller
    HANDED = 2  # a set-up is handed over for writing to an exchange
    ARRIVED = 3  # a set-up has reached an exchange whole
    ENDED = 4  # an attempt that was handed over is no more
    CONNECT = 5
    CUT_OFF = 6  # a caller's connection is closed from our side
    FAULT = 7  # the reducer has met a fault of its own
    EXIT = 8
    STEP = 9  # a step and all that it brought up is through
    TIME = 10  # time has passed


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt, on one link."""

    link: int
    exchange: int
    handed_us: int
    until_us: int  # by when it must be over
    arrived: bool = False
    giving_up: bool = False  # its give-up is handed over; what the exchange still says counts for nothing


@dataclass(slots=True)
class ObservedCall:
    """One call as seen from outside."""

    set_up: p.SetUp
    stream: int
    taken_us: int
    due_us: int  # the caller waits so long
    destination: int
    answers: int = 0  # final answers handed over
    stood: bool = False
    gone: bool = False  # given up by its caller
    crossed: bool = False  # given up while what it is told may be on its way
    handed: int = 0  # set-ups handed over
    out: list[ObservedAttempt] = field(default_factory=list)  # handed over and not over yet
    quiet_us: int = 0  # when an attempt timed out, was reset or cancelled last
    answer: bytes | None = None  # description of the answer that an exchange gave to an attempt that was out
    stands_at: int = 0
    over_us: int = 0  # when the end of the standing call was told to the reducer by an exchange or the list
    ended_by_caller_us: int = 0
    end_told: bool = False
    end_passed: bool = False  # to its exchange
    ended_us: int = 0  # when it was over for its caller

    @property
    def owed(self) -> bool:
        """Whether its caller waits for its final answer."""
        return not self.answers and not self.gone

    @property
    def over(self) -> bool:
        """Whether it stood and has ended, as far as the reducer has been told."""
        return bool(self.over_us or self.ended_by_caller_us or self.end_told)


@dataclass(slots=True)
class ListedExchange:
    """One exchange as the list has told it."""

    number: int
    address: tuple[str, int]
    since_us: int = 0  # since when it is told draining or gone, 0 if it is ready
    gone: bool = False


@dataclass(slots=True)
class Observation:
    """A fact with what it is about; what does not apply is None."""

    fact: ObservationKind
    call: ObservedCall | None = None
    attempt: ObservedAttempt | None = None
    message: object = None
    stream: int = 0


class History:
    """The history, kept as inputs and effects come."""

    def __init__(self, settings: i.Settings, tell: Callable[[Observation], None]) -> None:
        self.tell = tell  # hears each fact as it comes to be
        self.now = 0
        self.most = settings.max_attempts
        self.release_us = settings.release_us
        self.grace_us = settings.drain_grace_us
        self.calls: dict[int, ObservedCall] = {}
        self.exchanges: dict[int, ListedExchange] = {}
        self.links: dict[int, int] = {}  # stream -> exchange
        self.up: set[int] = set()
        self.callers: set[int] = set()  # open
        self.open_us = 0  # since when any has been
        self.shut: set[int] = set()  # callers that broke the protocol: what they are owed may end with them
        self.stalled: set[int] = set()
        self.writing: dict[int, tuple[p.Message, ...]] = {}
        self.cursor = 0
        self.term_us = 0
        self.draining = False
        self.exited = False
        self.succeeded = False
        self.bequeathed: tuple[int, ...] = ()

    def stepped(self) -> None:
        """One choice of the world and all that it brought up is through."""
        self.tell(Observation(ObservationKind.STEP))

    def passes(self, now: int) -> None:
        """Time has gone on."""
        self.now = now
        self.tell(Observation(ObservationKind.TIME))

    def due(self) -> int | None:
        """The next moment at which something must have happened."""
        moments = [c.due_us + 1 for c in self.calls.values() if c.owed]
        moments += [t.until_us + 1 for c in self.calls.values() for t in c.out]
        later = [m for m in moments if m > self.now]
        return min(later) if later else None

    # --- inputs ---

    def heard(self, happened: s.Input) -> None:
        """An input is about to be taken in."""
        match happened:
            case s.MessageReceived(stream, message):
                if stream in self.links:
                    self._from_exchange(stream, message)
                elif stream in self.callers:
                    self._from_caller(stream, message)
            case s.WriteCompleted(stream):
                self.arrived(stream)
                self.writing.pop(stream, None)
            case s.Accepted(stream):
                self.open_us = self.open_us if self.callers else self.now
                self.callers.add(stream)
            case s.Connected(stream):
                self.up.add(stream)
            case s.ConnectionClosed(stream) | s.ConnectFailed(stream):
                self._lost(stream)
            case s.EndOfInput(stream) | s.MalformedInput(stream):
                if stream in self.links:
                    self._lost(stream)
                elif isinstance(happened, s.MalformedInput):
                    self.shut.add(stream)
            case s.Started(known, cursor):
                for update in known:
                    self._list(update)
                self.cursor = max(self.cursor, cursor)
            case s.Reconfigured(known, _, _, settings):
                for update in known:
                    self._list(update)
                self.release_us, self.grace_us = settings.release_us, settings.drain_grace_us
            case s.ListUpdateReceived(update):
                self._list(update)
            case s.CallInherited(call, exchange):
                if exchange in self.exchanges and not self.exchanges[exchange].gone and call not in self.calls:
                    told = ObservedCall(p.SetUp(call, "", 0, "", b""), 0, self.now, self.now, 0, answers=1, stood=True)
                    told.stands_at = exchange
                    self.calls[call] = told
            case s.ReleaseForwarded(call):
                if call in self.calls and not self.calls[call].over:
                    self.calls[call].ended_by_caller_us = self.now
            case s.Terminate():
                self.term_us = self.term_us or self.now
            case s.SuccessorChanged(serves):
                self.succeeded = serves or (self.succeeded and bool(self.term_us))
            case _:
                pass

    def _from_caller(self, stream: int, message: p.Message) -> None:
        known = self.calls.get(message.call)
        if isinstance(message, p.SetUp):
            again = known is not None and (not known.gone or bool(known.answers) or known.crossed)
            if again:
                if known is not None and known.stream != stream:
                    self.shut.add(stream)
                return
            told = ObservedCall(
                message, stream, self.now, self.now + message.wait_ms * 1000, message.figures.get("dest", -1)
            )
            self.calls[message.call] = told
            self.tell(Observation(ObservationKind.TAKEN, told))
        elif isinstance(message, p.Release) and known is not None:
            if known.owed:
                known.gone, known.crossed = True, stream in self.stalled
            elif known.stood and not known.over_us and not known.ended_by_caller_us:
                known.ended_by_caller_us = known.ended_us = self.now

    def _from_exchange(self, link: int, message: p.Message) -> None:
        told = self.calls.get(message.call)
        if told is None:
            return
        attempt = next((t for t in told.out if t.link == link), None)
        if attempt is not None and attempt.giving_up and isinstance(message, p.Answer | p.Release):
            attempt.arrived = False  # out no more; it is over for us once its give-up is through
        elif attempt is not None and isinstance(message, p.Answer):
            if attempt.arrived:
                told.answer, told.stands_at = message.description, attempt.exchange
            self._over(told, attempt, quiet=False)
        elif attempt is not None and isinstance(message, p.Release):
            quiet = message.cause in (p.ReleaseCause.TEMPORARY_FAILURE, p.ReleaseCause.NORMAL)
            self._over(told, attempt, quiet)
        else:
            ends = isinstance(message, p.Release) and message.cause in CAUSES_OF_END
            if ends and told.stood and told.stands_at == self.links.get(link):
                self._ended(told)

    def _ended(self, told: ObservedCall) -> None:
        if not told.over_us and not told.ended_by_caller_us:
            told.over_us = self.now

    def _over(self, told: ObservedCall, attempt: ObservedAttempt, quiet: bool) -> None:
        told.out.remove(attempt)
        if quiet:
            told.quiet_us = self.now
        self.tell(Observation(ObservationKind.ENDED, told, attempt))

    def _lost(self, stream: int) -> None:
        """A connection is no more: the set-ups on it are given up, a caller's calls too."""
        self.up.discard(stream)
        if stream in self.callers:
            for message in self.writing.get(stream, ()):
                told = self.calls.get(message.call)
                if told is not None and told.stood and isinstance(message, p.Release):
                    told.end_told = False  # it has perhaps not come through
        self.writing.pop(stream, None)
        stalled = stream in self.stalled
        self.stalled.discard(stream)
        if stream in self.links:
            for told in self.calls.values():
                for attempt in [t for t in told.out if t.link == stream]:
                    self._over(told, attempt, quiet=True)
            del self.links[stream]
        elif stream in self.callers:
            self.callers.discard(stream)
            for told in self.calls.values():
                if told.stream == stream and told.owed:
                    told.gone, told.crossed = True, stalled

    def _list(self, update: p.ListUpdate) -> None:
        if update.kind is None or update.number <= self.cursor:
            return
        self.cursor = update.number
        for listed in update.records:
            entry = listed.entry
            for ident, other in self.exchanges.items():
                fresh = entry.exchange not in self.exchanges
                if fresh and other.address == listed.address and entry.state is not i.ListState.GONE:
                    self._goes(ident)
            known = self.exchanges.setdefault(entry.exchange, ListedExchange(entry.number, listed.address))
            known.address = listed.address
            if entry.state is i.ListState.READY:
                known.since_us, known.gone = 0, False
            else:
                known.since_us = known.since_us or self.now
                if entry.state is i.ListState.GONE:
                    self._goes(entry.exchange)
        if update.kind is i.ListKind.FULL:
            named = {listed.entry.exchange for listed in update.records}
            for ident in self.exchanges:
                if ident not in named:
                    self._goes(ident)

    def _goes(self, exchange: int) -> None:
        known = self.exchanges[exchange]
        known.since_us, known.gone = known.since_us or self.now, True
        for told in self.calls.values():
            if told.stood and told.stands_at == exchange:
                self._ended(told)

    # --- effects ---

    def asked(self, effect: s.Effect) -> None:
        """An effect has been asked for."""
        match effect:
            case s.Write(stream, messages):
                self.writing[stream] = messages
                for message in messages:
                    if stream in self.links:
                        self._to_exchange(stream, message)
                    elif stream in self.callers:
                        self._to_caller(stream, message)
            case s.Connect(stream, address):
                at = [k for k, e in self.exchanges.items() if e.address == address and not e.gone]
                self.links[stream] = at[-1] if at else 0
                self.tell(Observation(ObservationKind.CONNECT, stream=stream))
            case s.Close(stream) | s.CloseIdle(stream):
                if stream in self.links:
                    self._lost(stream)
                elif stream in self.callers and isinstance(effect, s.Close):
                    self.tell(Observation(ObservationKind.CUT_OFF, stream=stream))
            case s.Log(text):
                if text.startswith("fault"):
                    self.tell(Observation(ObservationKind.FAULT, message=text))
            case s.HandOverCalls(calls):
                self.bequeathed = tuple(call for call, _ in calls)
            case s.Exit():
                self.exited = True
                self.tell(Observation(ObservationKind.EXIT))
            case _:
                pass

    def _to_exchange(self, link: int, message: p.Message) -> None:
        told = self.calls.get(message.call)
        if isinstance(message, p.SetUp):
            until = self.now + message.wait_ms * 1000 + GIVE_UP_SLACK_US
            attempt = ObservedAttempt(link, self.links[link], self.now, until)
            if told is not None:
                told.handed += 1
                told.out.append(attempt)
            self.tell(Observation(ObservationKind.HANDED, told, attempt, message, link))
        elif isinstance(message, p.Release) and told is not None:
            told.end_passed = told.end_passed or told.stands_at == self.links[link]
            for attempt in told.out:
                attempt.giving_up = attempt.giving_up or attempt.link == link

    def _to_caller(self, stream: int, message: p.Message) -> None:
        if not isinstance(message, p.Answer | p.Release):
            return
        told = self.calls.get(message.call)
        self.tell(Observation(ObservationKind.FINAL, told, None, message, stream))
        if told is None:
            return
        if isinstance(message, p.Release) and told.stood:
            told.end_told = True
        else:
            told.answers += 1
            told.stood = isinstance(message, p.Answer)
        if isinstance(message, p.Release):
            told.ended_us = self.now

    def arrived(self, stream: int) -> None:
        """What is being written on a stream has reached its peer whole."""
        if stream not in self.links:
            return
        for message in self.writing.pop(stream, ()):
            told = self.calls.get(message.call)
            if told is None:
                continue
            attempt = next((t for t in told.out if t.link == stream), None)
            if attempt is None:
                continue
            if isinstance(message, p.SetUp):
                attempt.arrived = True
                self.tell(Observation(ObservationKind.ARRIVED, told, attempt, message, stream))
            elif isinstance(message, p.Release):
                self._over(told, attempt, quiet=True)
