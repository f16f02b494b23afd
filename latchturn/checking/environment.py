"""The closed world round the reducer: callers, exchanges, the list, writes, operators and the clock.

Owns everything outside the reducer that can differ, and offers each next thing as a choice. The reducer and the
module in it are the real ones; they are only ever handed inputs. A choice is a tuple of a kind and whole numbers or
words, so that a path can be kept in a file. The same choices give the same path.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field, replace

from .. import interface as i
from .. import operations as o
from .. import protocol as p
from .. import session as s
from ..session.timers import Timer, TimerKind
from .history import History, Observation
from .properties import NOTHING_LEFT, PROPERTIES
from .remains import hanging, remains
from .scopes import SETTINGS, VARIANTS, WAIT_MS, Scope

START = 1 << 51  # an integer above half of it is a moment, and nothing else is
MOMENT = START >> 1
Choice = tuple[str | int, ...]
CHANNEL = ("127.0.0.1", 9)
CLASS = p.settings_text(SETTINGS.classes[0].name)
REMEMBERED_US = 9_000_000  # ids of ended calls are known for 10 s, so they are not used again after that here
# Steps of 1.5 s at the end. A release that waits for a link may be written in the first ones and is kept for 8 s.
END_STEPS = 16
DESCRIPTION = b"v=0\x00\xff"
REFUSALS: dict[str, tuple[p.ReleaseCause, str]] = {
    "reset": (p.ReleaseCause.TEMPORARY_FAILURE, ""),
    "full": (p.ReleaseCause.NO_CIRCUIT, "no_circuit"),
    "turned_back": (p.ReleaseCause.NO_CIRCUIT, "turned_back"),
    "overload": (p.ReleaseCause.NO_CIRCUIT, "overload"),
    "busy": (p.ReleaseCause.USER_BUSY, "lines_busy"),
    "error": (p.ReleaseCause.RESOURCE_UNAVAILABLE, ""),
}


AGAIN = (
    "redial",
    "same_id",
    "other_id",
    "inherit",
    "passed_on",
    "sigterm",
    "rejoin",
    "unsucceed",
)  # may follow
# What calls meet each day; every other kind is rare, and a scope says how many rare ones a path may have.
COMMON = {"set_up", "tick", "answer", "refuse", "end", "cut", "accept", "through"}
AFTER = {"late", "twice", "astray"}  # words that come after all is over, and are the same at any moment


class MedianRandom(random.Random):
    """Always draws the middle, and has no state that could tell two paths apart."""

    def random(self) -> float:
        return 0.5

    def __reduce__(self) -> tuple[object, ...]:
        return (MedianRandom, ())


@dataclass(slots=True)
class SimulatedExchange:
    """One exchange as it is, whatever the list says."""

    ident: int
    number: int
    port: int
    alive: bool = True
    died_us: int = 0
    answers: int = 0  # made so far, so that each is told from the others


@dataclass(slots=True)
class ReceivedSetUp:
    """A set-up that has reached an exchange: what may still be said of it."""

    call: int
    given_up: bool = False
    said: str = ""  # the last word on it


@dataclass(slots=True)
class Peer:
    """One connection, seen from its other end."""

    far: int = 0  # exchange, 0 for a caller's
    asked: dict[int, ReceivedSetUp] = field(default_factory=dict)
    stalled: bool = False
    held: tuple[p.Message, ...] | None = None  # being written, not through
    seen: bool = False  # what is held has reached the peer all the same
    half: bool = False
    half_closed: bool = False


class PropertyViolation(Exception):
    """A property does not hold: its name and what is wrong."""

    def __init__(self, name: str, message: str) -> None:
        super().__init__(f"{name}: {message}")
        self.name = name
        self.message = message


class Environment:
    """The reducer among its peers, at one moment of one path."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.now_us = START
        self.left = dict(scope.budgets)
        self.rare = scope.rare
        self.idle = scope.idle_moments
        self.history = History(SETTINGS, self._check_properties)
        self.session = s.Session(SETTINGS, 1, 1024)
        self.session.core.random = MedianRandom()
        self.session.decision_module.controller.random = MedianRandom()
        self.fars = {100 + k: SimulatedExchange(100 + k, k, 5000 + k) for k in range(1, scope.exchanges + 1)}
        self.peers: dict[int, Peer] = {}
        self.connecting: dict[int, tuple[int, int]] = {}  # link -> exchange, when it times out
        self.standing: dict[int, int] = {}  # call -> exchange, as exchanges have it
        self.inherited: dict[int, int] = {}
        self.next_call = 1
        self.next_caller = 1
        self.next_far = 200
        self.events = 1  # of the list
        self.last: p.ListUpdate | None = None
        self.drained: set[int] = set()
        self.calls_made = 0
        self.anew: dict[int, int] = {}  # exchange -> when it returned, which the list has not told yet
        self.due_now = False  # the clock stands at a timer that has not run yet
        self.taking = False
        self.story: list[tuple[int, object]] | None = None  # what happened, where somebody reads it
        listed = [self._listed(far) for far in self.fars.values()]
        own = p.ExchangeRecord(i.ListEntry(100, 0, i.ListState.READY, 0), ("127.0.0.1", 5000))
        known = p.ListUpdate(1, i.ListKind.FULL, (own, *listed))
        self._feed(s.Started((known,), 1, CHANNEL, scope.replaces))
        self._feed(s.ListenerReady())
        while self.connecting:
            self._accept(min(self.connecting))
        for _ in range(scope.callers if not scope.replaces else 0):
            self._call_in()
        self.history.step_done()

    @property
    def budgeted(self) -> bool:
        """Whether links are answered by choice."""
        return bool(self.left.get("refuse_link") or self.left.get("silent_link"))

    # --- one step ---

    def do(self, choice: Choice) -> None:
        """Make a choice and let all that it brings up happen. Broken if a property does not hold after it."""
        kind = str(choice[0])
        if kind in self.left:
            self.left[kind] -= 1
        self.rare -= kind not in COMMON
        getattr(self, "_do_" + kind)(*choice[1:])
        if not self.budgeted:
            for link in list(self.connecting):
                if self.connecting.get(link, (0, 0))[0] in self.fars:
                    self._answer_connect(link)
        self.history.step_done()

    def _feed(self, *inputs: s.Input) -> None:
        """Hand inputs to the reducer as the network does: what effects bring up follows at once, in order."""
        queue = deque(inputs)
        while queue:
            happened = queue.popleft()
            if self.story is not None:
                self.story.append((self.now_us, happened))
            self.history.now_us = self.now_us
            self.history.record_input(happened)
            for effect in self.session.step(self.now_us, happened):
                if self.story is not None:
                    self.story.append((self.now_us, effect))
                self.history.record_effect(effect)
                self._run(effect, queue)

    def _check_properties(self, event: Observation) -> None:
        for property_ in PROPERTIES:
            if (wrong := property_.violation(self.history, event)) is not None:
                raise PropertyViolation(property_.name, wrong)

    def _run(self, effect: s.Effect, queue: deque[s.Input]) -> None:
        match effect:
            case s.Write(stream, messages):
                peer = self.peers.get(stream)
                if peer is None:
                    return
                if peer.stalled:
                    peer.held, peer.seen = messages, False
                else:
                    self._reach(stream, peer, messages)
                    queue.append(s.WriteCompleted(stream))
            case s.Connect(stream, address, timeout_us):
                at = [f.ident for f in self.fars.values() if f.port == address[1]]
                self.connecting[stream] = (at[-1] if at else 0, self.now_us + timeout_us)
            case s.Close(stream):
                if self.connecting.pop(stream, None) is not None:
                    queue.append(s.ConnectFailed(stream, False))
                elif self.peers.pop(stream, None) is not None:
                    queue.append(s.ConnectionClosed(stream))
            case s.CloseIdle(stream):
                if (peer := self.peers.get(stream)) is not None and not peer.half:
                    del self.peers[stream]
                    queue.append(s.ConnectionClosed(stream))
            case s.AcceptCallers(on):
                if on and not self.taking and self.scope.replaces:
                    for _ in range(self.scope.callers):
                        self.next_caller += 1
                        self.peers[self.next_caller - 1] = Peer()
                        queue.append(s.Accepted(self.next_caller - 1))
                self.taking = on
            case _:
                pass

    def _reach(self, stream: int, peer: Peer, messages: tuple[p.Message, ...]) -> None:
        """What is written has come to its peer."""
        if not peer.far:
            return
        for message in messages:
            if isinstance(message, p.SetUp):
                peer.asked[message.call] = ReceivedSetUp(message.call)
            elif isinstance(message, p.Release):
                if message.call in peer.asked:
                    peer.asked[message.call].given_up = True
                elif self.standing.get(message.call) == peer.far:
                    del self.standing[message.call]

    # --- the clock ---

    def _next_due(self) -> tuple[int, bool] | None:
        """The next moment at which something is due, and whether it is the reducer's own."""
        own = min((at for at, _, t in self.session.timers.heap if self.alive(t)), default=None)
        others = [due for _, due in self.connecting.values()]
        if (deadline := self.history.next_due_us()) is not None:
            others.append(deadline)
        other = min(others, default=None)
        if own is not None and (other is None or own <= other):
            return max(own, self.now_us), True
        return None if other is None else (other, False)

    def alive(self, timer: Timer) -> bool:
        """Whether a timer may still do anything: those withdrawn would only add moments."""
        what = timer.subject
        if timer.kind in (TimerKind.ATTEMPT, TimerKind.GIVE_UP):
            return isinstance(what, s.Attempt) and what.call.attempt is what
        if timer.kind is TimerKind.DECISION_MODULE:
            return self.token_lives(what)
        return timer.kind is not TimerKind.DEADLINE or what is not None

    def token_lives(self, token: object) -> bool:
        """Whether a token of the module's is about a call that it still has."""
        module = self.session.decision_module.controller
        call = module.timers.get(token) if isinstance(token, int) else None
        return call is not None and (call == -1 or call in module.calls)

    def _pass_to(self, moment: int) -> None:
        self.now_us = moment
        if self.story is not None:
            self.story.append((moment, None))
        self.history.time_passed(moment)
        for link, (_, due) in list(self.connecting.items()):
            if due <= moment:
                del self.connecting[link]
                self._feed(s.ConnectFailed(link, False))

    def _do_tick(self) -> None:
        """The next moment comes, and the timer that is due runs."""
        due = self._next_due()
        assert due is not None
        if due[0] > self.now_us:
            self._spend()
            self._pass_to(due[0])
        self.due_now = False
        self._feed(s.Tick())

    def _do_due(self) -> None:
        """The next moment comes, and other things may happen in it before the timer runs."""
        due = self._next_due()
        assert due is not None
        self._spend()
        self._pass_to(due[0])
        self.due_now = True

    def _do_between(self) -> None:
        due = self._next_due()
        assert due is not None
        self._spend()
        self._pass_to((self.now_us + due[0]) // 2)

    def _spend(self) -> None:
        if not any(call.awaits_answer for call in self.history.calls.values()):
            self.idle -= 1

    # --- what may happen next ---

    def choices(self) -> list[Choice]:
        """Every choice there is, in a fixed order; none if nothing more can happen in this scope."""
        if self.history.exited:
            return []
        found: list[Choice] = []
        left = {k for k, n in self.left.items() if n > 0}
        if self.done:
            left &= AFTER
        if self.rare <= 0:
            left &= COMMON
        callers = [k for k, peer in self.peers.items() if not peer.far]
        links = {k: peer for k, peer in self.peers.items() if peer.far}
        self._callers_may(found, left, callers)
        for link, peer in links.items():
            self._link_may(found, left, link, peer, links)
        for call, far in self.standing.items():
            if any(peer.far == far for peer in links.values()):
                found += [(kind, call) for kind in ("end", "cut") if kind in left]
        self._world_may(found, left)
        due = None if self.done else self._next_due()
        if due is not None and (self.idle > 0 or any(c.awaits_answer for c in self.history.calls.values())):
            found.append(("tick",))
            if due[0] > self.now_us and due[1] and self.rare > 1 and not self.due_now:
                found.append(("due",))
            if "between" in left and due[0] - self.now_us > 1000:
                found.append(("between",))
        return found

    def _callers_may(self, found: list[Choice], left: set[str], callers: list[int]) -> None:
        open_ = [k for k in callers if not self.peers[k].half_closed]
        if self.calls_made < self.scope.calls:
            found += [("set_up", k) for k in open_]
        for ident, call in self.history.calls.items():
            if call.awaits_answer and call.stream in open_ and "give_up" in left:
                found.append(("give_up", ident))
            if call.was_answered and not (call.end_sent or call.ended_by_caller_us) and "release" in left:
                found += [("release", ident, k) for k in open_]
            if call.final_answers_sent and not call.was_answered and "redial" in left:
                found += [("redial", ident, k) for k in open_]
            if call.abandoned or (call.ended_for_caller_us and self.now_us - call.ended_for_caller_us > REMEMBERED_US):
                continue
            if "same_id" in left and call.stream in open_:
                found.append(("same_id", ident, call.stream))
            if "other_id" in left:
                found += [("other_id", ident, k) for k in open_ if k != call.stream]
        for k in callers:
            peer = self.peers[k]
            if "hang_up" in left:
                found.append(("hang_up", k))
            found += self._writes_may(left, k, peer, "stall_caller")
            if "half" in left and k in open_ and not peer.half:
                found.append(("half", k))
            if "whole" in left and peer.half:
                found.append(("whole", k))
            if "garble" in left and k in open_:
                found.append(("garble", k))
            if "half_close" in left and k in open_:
                found.append(("half_close", k))
        if "connect" in left and len(callers) < self.scope.callers and self.taking:
            found.append(("connect",))

    def _link_may(self, found: list[Choice], left: set[str], link: int, peer: Peer, links: dict[int, Peer]) -> None:
        far = self.fars.get(peer.far)
        for ident, asked in peer.asked.items():
            if not asked.said and not asked.given_up:
                if "answer" in left:
                    found.append(("answer", link, ident))
                if "refuse" in left:
                    found += [("refuse", link, ident, cause) for cause in self.scope.refusals]
                if "astray" in left:
                    found += [("astray", k, ident, link) for k in links if k != link and links[k].far == peer.far]
            elif not asked.said and "late" in left:
                found += [("late", link, ident, word) for word in ("answer", "reset")]
            elif asked.said and "twice" in left:
                found.append(("twice", link, ident))
        if "reset" in left and (peer.asked or peer.held):
            found.append(("reset", link))
        found += self._writes_may(left, link, peer)
        if "group" in left and far is not None:
            found += [("group", link, free) for free in (0, 40)]

    @staticmethod
    def _writes_may(left: set[str], stream: int, peer: Peer, stall: str = "stall") -> list[Choice]:
        found: list[Choice] = []
        if stall in left and not peer.stalled:
            found.append((stall, stream))
        if peer.stalled and "through" in left:
            found.append(("through", stream))
        if peer.held is not None and not peer.seen and "arrive" in left:
            found.append(("arrive", stream))
        return found

    def _world_may(self, found: list[Choice], left: set[str]) -> None:
        for ident, far in self.fars.items():
            known = self.history.exchanges.get(ident)
            told = known is not None and not known.gone
            kinds = ("ready",) if ident in self.drained else ("drain",)
            found += [(kind, ident) for kind in (*kinds, "gone", "replaced") if told and kind in left]
            if "die" in left and far.alive:
                found.append(("die", ident))
            if "return" in left and not far.alive and self.now_us > far.died_us:
                found.append(("return", ident))
        if self.budgeted:
            for link, (at, _) in self.connecting.items():
                alive = at in self.fars and self.fars[at].alive
                if alive:
                    found.append(("accept", link))
                if not alive or "refuse_link" in left:
                    found.append(("refuse_link", link))
        if "list_twice" in left and self.last is not None:
            found.append(("list_twice",))
        if "channel_lost" in left:
            found.append(("channel_lost",))
        ended = bool(self.history.sigterm_us)
        if "lameduck" in left and not self.history.draining:
            found.append(("lameduck",))
        if "rejoin" in left and self.history.draining:
            found.append(("rejoin",))
        if "sighup" in left:
            found += [("sighup", name) for name in VARIANTS]
        if "sigterm" in left and not ended:
            found.append(("sigterm",))
        if "succeed" in left and not self.history.successor_serves:
            found.append(("succeed",))
        if "unsucceed" in left and self.history.successor_serves:
            found.append(("unsucceed",))
        if "inherit" in left:
            found += [("inherit", ident) for ident in self.fars]
        if "passed_on" in left:
            found += [("passed_on", call) for call in self.inherited]

    # --- callers ---

    def _call_in(self) -> None:
        stream, self.next_caller = self.next_caller, self.next_caller + 1
        self.peers[stream] = Peer()
        self._feed(s.Accepted(stream))

    _do_connect = _call_in

    def _set_up(self, call: int, number: int) -> p.SetUp:
        to = 1 + (number - 1) % self.scope.exchanges
        figures = {"dest": to, "width": 1, "via": -1}
        return p.SetUp(call, CLASS, WAIT_MS, f"{number:016x}", DESCRIPTION, figures, "acme")

    def _do_set_up(self, stream: int) -> None:
        call, self.next_call = self.next_call, self.next_call + 1
        self.calls_made += 1
        self._feed(s.MessageReceived(stream, self._set_up(call, call)))

    def _do_redial(self, ident: int, stream: int) -> None:
        call, self.next_call = self.next_call, self.next_call + 1
        self._feed(s.MessageReceived(stream, self._set_up(call, int(self.history.calls[ident].set_up.called, 16))))

    def _do_give_up(self, ident: int) -> None:
        self._feed(s.MessageReceived(self.history.calls[ident].stream, p.Release(ident, p.ReleaseCause.NORMAL)))

    def _do_release(self, ident: int, stream: int) -> None:
        self._feed(s.MessageReceived(stream, p.Release(ident, p.ReleaseCause.NORMAL)))

    def _do_same_id(self, ident: int, stream: int) -> None:
        self._feed(s.MessageReceived(stream, self.history.calls[ident].set_up))

    _do_other_id = _do_same_id

    def _do_hang_up(self, stream: int) -> None:
        del self.peers[stream]
        self._feed(s.ConnectionClosed(stream))

    def _do_half(self, stream: int) -> None:
        self.peers[stream].half = True
        self._feed(s.PartialMessage(stream, True))

    def _do_whole(self, stream: int) -> None:
        self.peers[stream].half = False
        self._feed(s.PartialMessage(stream, False))

    def _do_garble(self, stream: int) -> None:
        self.peers[stream].half_closed = True
        self._feed(s.MalformedInput(stream, "no message"))

    def _do_half_close(self, stream: int) -> None:
        self.peers[stream].half_closed = True
        self._feed(s.EndOfInput(stream))

    # --- exchanges ---

    def _listed(
        self, far: SimulatedExchange, state: i.ListState = i.ListState.READY, started: int = 0
    ) -> p.ExchangeRecord:
        return p.ExchangeRecord(i.ListEntry(far.ident, far.number, state, started), ("127.0.0.1", far.port))

    def _answer(self, link: int, ident: int) -> p.Answer:
        far = self.fars[self.peers[link].far]
        far.answers += 1
        return p.Answer(ident, b"%d by %d" % (far.answers, far.ident))

    def _do_answer(self, link: int, ident: int) -> None:
        asked = self.peers[link].asked.pop(ident)
        asked.said = "answer"
        self.standing[ident] = self.peers[link].far
        if "twice" in self.left:
            self.peers[link].asked[ident] = asked
        self._feed(s.MessageReceived(link, self._answer(link, ident)))

    def _do_refuse(self, link: int, ident: int, word: str) -> None:
        asked = self.peers[link].asked.pop(ident)
        asked.said = word
        if "twice" in self.left:
            self.peers[link].asked[ident] = asked
        cause, note = REFUSALS[word]
        self._feed(s.MessageReceived(link, p.Release(ident, cause, note)))

    def _do_late(self, link: int, ident: int, word: str) -> None:
        """A word that crosses the give-up. An answer that crosses it ends again as the give-up comes."""
        del self.peers[link].asked[ident]
        if word == "answer":
            self._feed(s.MessageReceived(link, self._answer(link, ident)))
        else:
            self._feed(s.MessageReceived(link, p.Release(ident, p.ReleaseCause.TEMPORARY_FAILURE)))

    def _do_twice(self, link: int, ident: int) -> None:
        asked = self.peers[link].asked.pop(ident)
        if asked.said == "answer":
            self._feed(s.MessageReceived(link, self._answer(link, ident)))
        else:
            cause, note = REFUSALS[asked.said]
            self._feed(s.MessageReceived(link, p.Release(ident, cause, note)))

    def _do_astray(self, link: int, ident: int, right: int) -> None:
        """An answer on a link that did not carry the set-up: no exchange does that, and it must count for
        nothing."""
        self._feed(s.MessageReceived(link, self._answer(right, ident)))

    def _do_end(self, call: int, cause: p.ReleaseCause = p.ReleaseCause.NORMAL) -> None:
        far = self.standing.pop(call)
        link = next(k for k, peer in self.peers.items() if peer.far == far)
        self._feed(s.MessageReceived(link, p.Release(call, cause)))

    def _do_cut(self, call: int) -> None:
        self._do_end(call, p.ReleaseCause.TEMPORARY_FAILURE)

    def _do_reset(self, link: int) -> None:
        del self.peers[link]
        self._feed(s.ConnectionClosed(link))

    def _do_die(self, ident: int) -> None:
        self.fars[ident].alive = False
        self.fars[ident].died_us = self.now_us
        self.standing = {call: far for call, far in self.standing.items() if far != ident}
        for link in [k for k, peer in self.peers.items() if peer.far == ident]:
            if link in self.peers:
                self._do_reset(link)

    def _do_return(self, ident: int) -> None:
        self.fars[ident].alive = True
        self.anew[ident] = self.now_us

    def _do_group(self, link: int, free: int) -> None:
        self._feed(s.MessageReceived(link, p.GroupState(0, {"spare": free, "total": 40, "allowed": 100.0})))

    # --- links ---

    def _accept(self, link: int) -> None:
        far, _ = self.connecting.pop(link)
        self.peers[link] = Peer(far)
        self._feed(s.Connected(link))
        self._do_group(link, 40)

    def _answer_connect(self, link: int) -> None:
        far, _ = self.connecting[link]
        if self.fars[far].alive:
            self._accept(link)
        else:
            self._do_refuse_link(link)

    _do_accept = _accept

    def _do_refuse_link(self, link: int) -> None:
        del self.connecting[link]
        self._feed(s.ConnectFailed(link, True))

    # --- writes ---

    def _do_stall(self, stream: int) -> None:
        self.peers[stream].stalled = True
        self.history.stalled_streams.add(stream)

    _do_stall_caller = _do_stall

    def _do_arrive(self, stream: int) -> None:
        peer = self.peers[stream]
        assert peer.held is not None
        peer.seen = True
        self.history.write_arrived(stream)
        self._reach(stream, peer, peer.held)

    def _do_through(self, stream: int) -> None:
        peer = self.peers[stream]
        peer.stalled = False
        self.history.stalled_streams.discard(stream)
        held, peer.held = peer.held, None
        if held is not None:
            if not peer.seen:
                self._reach(stream, peer, held)
            self._feed(s.WriteCompleted(stream))

    # --- the list ---

    def _tell(self, *listed: p.ExchangeRecord) -> None:
        self.events += 1
        self.last = p.ListUpdate(self.events, i.ListKind.CHANGES, listed)
        self._feed(s.ListUpdateReceived(self.last))

    def _do_drain(self, ident: int) -> None:
        self.drained.add(ident)
        self._tell(self._listed(self.fars[ident], i.ListState.DRAINING))

    def _do_ready(self, ident: int) -> None:
        self.drained.discard(ident)
        self._tell(self._listed(self.fars[ident]))

    def _do_gone(self, ident: int) -> None:
        self.drained.discard(ident)
        self._tell(self._listed(self.fars[ident], i.ListState.GONE))

    def _do_replaced(self, ident: int) -> None:
        """A new exchange at the address of one that has died unseen by the list."""
        old = self.fars.pop(ident)
        self.standing = {call: far for call, far in self.standing.items() if far != ident}
        new = self.fars[self.next_far] = SimulatedExchange(self.next_far, old.number, old.port)
        self.next_far += 1
        for link in [k for k, peer in self.peers.items() if peer.far == ident]:
            if link in self.peers:
                self._do_reset(link)
        for link, (far, due) in self.connecting.items():
            if far == ident:
                self.connecting[link] = (new.ident, due)
        self._tell(self._listed(new, started=self.now_us))

    def _do_list_twice(self) -> None:
        assert self.last is not None
        self._feed(s.ListUpdateReceived(self.last))

    def _do_channel_lost(self) -> None:
        self._feed(s.ChannelLost("reset"))

    # --- operators ---

    def _do_lameduck(self) -> None:
        self.history.draining = True
        self._feed(s.AdminRequest(1, o.Command.LAMEDUCK))

    def _do_rejoin(self) -> None:
        self.history.draining = False
        self._feed(s.AdminRequest(1, o.Command.REJOIN))

    def _do_sighup(self, name: str) -> None:
        channel = ("127.0.0.1", 10) if name == "moved" else CHANNEL
        self._feed(s.Reconfigured((), channel, 1024, replace(VARIANTS[name])))

    def _do_sigterm(self) -> None:
        self._feed(s.Terminate())

    def _do_succeed(self) -> None:
        self._feed(s.SuccessorChanged(True))

    def _do_unsucceed(self) -> None:
        self._feed(s.SuccessorChanged(False))

    def _do_inherit(self, exchange: int) -> None:
        call, self.next_call = self.next_call, self.next_call + 1
        self.inherited[call] = self.standing[call] = exchange
        self._feed(s.CallInherited(call, exchange))

    def _do_passed_on(self, call: int) -> None:
        del self.inherited[call]
        self._feed(s.ReleaseForwarded(call, int(p.ReleaseCause.NORMAL)))

    # --- the end of a path ---

    @property
    def over(self) -> bool:
        """Whether every call that was made is over at its caller and at its exchange."""
        calls = self.history.calls.values()
        return not self.standing and not any(c.awaits_answer or (c.was_answered and not c.has_ended) for c in calls)

    @property
    def done(self) -> bool:
        """Whether only words can still come that concern nobody: all is over, and no further call can be made."""
        more = self.calls_made < self.scope.calls
        more = more or (self.rare > 0 and any(self.left.get(k) for k in AGAIN))
        held = any(peer.held is not None for peer in self.peers.values())
        return self.calls_made > 0 and self.over and not more and not held

    def close_out(self) -> None:
        """Let everything come to its end: standing calls end, writes are through, time passes. Broken if then
        anything is left."""
        if self.over and (late := hanging(self.session)):
            raise PropertyViolation(NOTHING_LEFT.name, NOTHING_LEFT.describe(late) or "")
        for stream in [k for k, peer in self.peers.items() if peer.stalled]:
            if stream in self.peers:
                self._do_through(stream)
        for call in list(self.standing):
            if any(peer.far == self.standing[call] for peer in self.peers.values()):
                self._do_end(call)
        for ident, at in self.anew.items():
            if not self.history.exchanges[ident].gone and ident not in self.drained:
                self._tell(self._listed(self.fars[ident], started=at))
        for _ in range(60):
            if self.history.exited or (due := self._next_due()) is None:
                break
            for link in list(self.connecting):
                if self.connecting.get(link, (0, 0))[0] in self.fars:
                    self._answer_connect(link)
            if due[0] > self.now_us:
                self._pass_to(due[0])
            self._feed(s.Tick())
            if self.over and self.now_us > START + 3_000_000:
                break
        for _ in range(END_STEPS):
            if self.history.exited:
                break
            for link in list(self.connecting):
                if self.connecting.get(link, (0, 0))[0] in self.fars:
                    self._answer_connect(link)
            self._pass_to(self.now_us + 1_500_000)
            self._feed(s.Tick())
        if (wrong := NOTHING_LEFT.describe(remains(self.session, self.history.exited))) is not None:
            raise PropertyViolation(NOTHING_LEFT.name, wrong)
