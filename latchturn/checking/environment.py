"""The simulated environment of the reducer: callers, exchanges, the list, writes, operators and the clock.

`Environment` models everything outside the reducer that can vary and offers every possible next event as a choice. The
reducer and its decision module are the real ones and receive only inputs. A choice is a tuple of a kind and integers or
texts, so that a path can be stored in a file. The same choices always give the same path.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import replace

from .. import interface as i
from .. import operations as o
from .. import protocol as p
from .. import session as s
from ..boundaries import ExchangeDecoder
from ..session.timers import Timer, TimerKind
from .choices import COMMON_KINDS, Choice, offered_choices
from .history import History, Observation
from .leftovers import leftovers, stale_timers
from .properties import NOTHING_LEFT, PROPERTIES
from .scopes import SETTINGS, VARIANTS, WAIT_MS, Scope
from .simulated_peers import Peer, ReceivedSetUp, SimulatedExchange

START_US = 1 << 51  # the clock at the start of each path
TIME_THRESHOLD_US = START_US >> 1  # integers above it are times; all other integers in a state are below it
CHANNEL_ADDRESS = ("127.0.0.1", 9)
CLASS_NAME = p.settings_text(SETTINGS.classes[0].name)
# Steps of 1.5 s in `run_to_end`. A release that waits for a link may be written in the first ones and is kept for 8 s.
FINAL_STEPS = 16
DESCRIPTION = b"v=0\x00\xff"
# Cause and note of a release with which an exchange refuses, by the name of the refusal in scopes and choices.
REFUSALS: dict[str, tuple[p.ReleaseCause, str]] = {
    "reset": (p.ReleaseCause.TEMPORARY_FAILURE, ""),
    "full": (p.ReleaseCause.NO_CIRCUIT, "no_circuit"),
    "turned_back": (p.ReleaseCause.NO_CIRCUIT, "turned_back"),
    "overload": (p.ReleaseCause.NO_CIRCUIT, "overload"),
    "busy": (p.ReleaseCause.USER_BUSY, "lines_busy"),
    "error": (p.ReleaseCause.RESOURCE_UNAVAILABLE, ""),
}

# Kinds of choices that can start new work after all calls have ended.
FOLLOW_UP_KINDS = (
    "redial",
    "same_id",
    "other_id",
    "inherit",
    "passed_on",
    "sigterm",
    "rejoin",
    "unsucceed",
)
# Kinds of timers that have no subject once they are cancelled.
CANCELLED_TIMER_KINDS = (TimerKind.DEADLINE, TimerKind.CHANNEL, TimerKind.ANSWER_HOLD, TimerKind.RELEASE)


class MedianRandom(random.Random):
    """Always returns 0.5. It has no internal state, which would make equivalent states of the reducer differ."""

    def random(self) -> float:
        return 0.5

    def __reduce__(self) -> tuple[object, ...]:
        return (MedianRandom, ())


def make_group_state(free_circuits: int) -> p.GroupState:
    """Make the report of an exchange on the free circuits of its trunk group."""
    return p.GroupState(0, {"spare": free_circuits, "total": 40, "allowed": 100.0})


class PropertyViolation(Exception):
    """A property does not hold. `name` is the property, `message` the description."""

    def __init__(self, name: str, message: str) -> None:
        super().__init__(f"{name}: {message}")
        self.name = name
        self.message = message


class Environment:
    """The reducer and its simulated peers at one point of a path."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.now_us = START_US
        self.remaining_budgets = dict(scope.budgets)
        self.remaining_rare_choices = scope.rare_choices
        self.remaining_idle_steps = scope.idle_steps
        self.history = History(SETTINGS, self._check_properties)
        self.session = s.Session(SETTINGS, 1, 1024)
        self.session.core.random = MedianRandom()
        self.session.decision_module.controller.random = MedianRandom()
        self.simulated_exchanges = {
            100 + k: SimulatedExchange(100 + k, k, 5000 + k) for k in range(1, scope.exchanges + 1)
        }
        self.peers: dict[int, Peer] = {}
        self.connecting: dict[int, tuple[int, int]] = {}  # link -> exchange id (0: none), time of the time-out
        self.standing_calls: dict[int, int] = {}  # call id -> exchange id, as the exchanges see it
        self.inherited_calls: dict[int, int] = {}  # call id -> exchange id
        self.next_call_id = 1
        self.next_caller_stream = 1
        self.next_exchange_id = 200
        self.last_update_number = 1  # number of the last list update
        self.last_update: p.ListUpdate | None = None
        self.draining_exchanges: set[int] = set()
        self.calls_made = 0
        self.unlisted_restarts_us: dict[int, int] = {}  # exchange id -> its restart, not yet reported by the list
        self.timer_pending = False  # the clock has reached a timer that has not run yet
        self.accepting_callers = False
        self.channel_connection = 0  # the latest connection to the command channel
        # Time with each input, effect, or None for an advance of the clock; None if nobody reads it.
        self.recording: list[tuple[int, object]] | None = None
        records = [self._exchange_record(exchange) for exchange in self.simulated_exchanges.values()]
        own = p.ExchangeRecord(i.ListEntry(100, 0, i.ListState.READY, 0), ("127.0.0.1", 5000))
        update = p.ListUpdate(1, i.ListKind.FULL, (own, *records))
        self._submit(s.Started((update,), 1, CHANNEL_ADDRESS, scope.starts_beside_another))
        self._submit(s.ListenerReady())
        while self.connecting:
            self._accept_link(min(self.connecting))
        for _ in range(scope.callers if not scope.starts_beside_another else 0):
            self._connect_caller()
        self.history.step_done()

    @property
    def connects_by_choice(self) -> bool:
        """Whether choices decide how connection attempts of links end; otherwise they end at once."""
        return bool(self.remaining_budgets.get("refuse_link") or self.remaining_budgets.get("silent_link"))

    # --- one choice ---

    def apply(self, choice: Choice) -> None:
        """Make a choice and process everything that follows from it.

        Raises PropertyViolation if a property does not hold.
        """
        kind = str(choice[0])
        if kind in self.remaining_budgets:
            self.remaining_budgets[kind] -= 1
        self.remaining_rare_choices -= kind not in COMMON_KINDS
        getattr(self, "_do_" + kind)(*choice[1:])
        if not self.connects_by_choice:
            for link in list(self.connecting):
                if self.connecting.get(link, (0, 0))[0] in self.simulated_exchanges:
                    self._complete_connect(link)
        self.history.step_done()

    def _submit(self, *inputs: s.Input) -> None:
        """Pass inputs to the reducer as the network does; inputs that its effects cause follow at once, in order."""
        queue = deque(inputs)
        while queue:
            input_ = queue.popleft()
            if self.recording is not None:
                self.recording.append((self.now_us, input_))
            self.history.now_us = self.now_us
            self.history.record_input(input_)
            for effect in self.session.step(self.now_us, input_):
                if self.recording is not None:
                    self.recording.append((self.now_us, effect))
                self.history.record_effect(effect)
                self._perform(effect, queue)

    def _check_properties(self, observation: Observation) -> None:
        """Check every property against an observation. Raises PropertyViolation."""
        for property_ in PROPERTIES:
            if (problem := property_.violation(self.history, observation)) is not None:
                raise PropertyViolation(property_.name, problem)

    def _perform(self, effect: s.Effect, queue: deque[s.Input]) -> None:
        """Carry out an effect. Inputs that it causes are appended to the queue."""
        match effect:
            case s.Write(stream, messages):
                peer = self.peers.get(stream)
                if peer is None:
                    return
                if peer.stalled:
                    peer.pending_write, peer.pending_arrived = messages, False
                else:
                    self._deliver(stream, peer, messages)
                    queue.append(s.WriteCompleted(stream))
                    queue.extend(self._confirmations(stream, peer, messages))
            case s.Connect(stream, address, timeout_us):
                listening = [e.ident for e in self.simulated_exchanges.values() if e.port == address[1]]
                self.connecting[stream] = (listening[-1] if listening else 0, self.now_us + timeout_us)
            case s.Close(stream):
                if self.connecting.pop(stream, None) is not None:
                    queue.append(s.ConnectFailed(stream, False))
                elif self.peers.pop(stream, None) is not None:
                    queue.append(s.ConnectionClosed(stream))
            case s.CloseIdle(stream):
                if (peer := self.peers.get(stream)) is not None and not peer.partial:
                    del self.peers[stream]
                    queue.append(s.ConnectionClosed(stream))
            case s.ConnectChannel(connection):
                self.channel_connection = connection
            case s.AcceptCallers(on):
                if on and not self.accepting_callers and self.scope.starts_beside_another:
                    for _ in range(self.scope.callers):
                        self.next_caller_stream += 1
                        self.peers[self.next_caller_stream - 1] = Peer()
                        queue.append(s.Accepted(self.next_caller_stream - 1))
                self.accepting_callers = on
            case _:
                pass

    def _deliver(self, stream: int, peer: Peer, messages: tuple[p.Message, ...]) -> None:
        """Deliver written messages to their peer. Only exchanges react to them."""
        if not peer.exchange_id:
            return
        for message in messages:
            if isinstance(message, p.SetUp):
                peer.set_ups[message.call] = ReceivedSetUp(message.call)
            elif isinstance(message, p.Release):
                if message.call in peer.set_ups:
                    peer.set_ups[message.call].given_up = True
                elif self.standing_calls.get(message.call) == peer.exchange_id:
                    del self.standing_calls[message.call]

    @staticmethod
    def _confirmations(stream: int, peer: Peer, messages: tuple[p.Message, ...]) -> list[s.Input]:
        """The confirmations that an exchange sends for the releases in a write; callers confirm nothing here."""
        calls = [message.call for message in messages if isinstance(message, p.Release)] if peer.exchange_id else []
        return [s.MessageReceived(stream, p.ReleaseConfirmed(call)) for call in calls]

    # --- the clock ---

    def next_due(self) -> tuple[int, bool] | None:
        """The next time at which something is due, and whether a timer of the reducer is."""
        reducer_due_us = min((at for at, _, t in self.session.timers.heap if self.timer_is_live(t)), default=None)
        other_times_us = [due for _, due in self.connecting.values()]
        if (deadline_us := self.history.next_due_us()) is not None:
            other_times_us.append(deadline_us)
        other_due_us = min(other_times_us, default=None)
        if reducer_due_us is not None and (other_due_us is None or reducer_due_us <= other_due_us):
            return max(reducer_due_us, self.now_us), True
        return None if other_due_us is None else (other_due_us, False)

    def timer_is_live(self, timer: Timer) -> bool:
        """Whether a timer may still have an effect. Withdrawn timers would only add steps of the clock."""
        subject = timer.subject
        if timer.kind in (TimerKind.ATTEMPT, TimerKind.GIVE_UP):
            return isinstance(subject, s.Attempt) and subject.call.attempt is subject
        if timer.kind is TimerKind.DECISION_MODULE:
            return self.token_is_live(subject)
        return timer.kind not in CANCELLED_TIMER_KINDS or subject is not None

    def token_is_live(self, token: object) -> bool:
        """Whether a timer token of the decision module belongs to a call that the module still has."""
        module = self.session.decision_module.controller
        call_id = module.timers.get(token) if isinstance(token, int) else None
        return call_id is not None and (call_id == -1 or call_id in module.calls)

    def _advance_to(self, now_us: int) -> None:
        """Set the clock to a time. Links whose connection attempt has timed out by then fail."""
        self.now_us = now_us
        if self.recording is not None:
            self.recording.append((now_us, None))
        self.history.time_passed(now_us)
        for link, (_, due) in list(self.connecting.items()):
            if due <= now_us:
                del self.connecting[link]
                self._submit(s.ConnectFailed(link, False))

    def _do_tick(self) -> None:
        """Advance the clock to the next due time and run the timer that is due."""
        due = self.next_due()
        assert due is not None
        if due[0] > self.now_us:
            self._use_idle_step()
            self._advance_to(due[0])
        self.timer_pending = False
        self._submit(s.Tick())

    def _do_due(self) -> None:
        """Advance the clock to the next due time; other choices may be made before the timer runs."""
        due = self.next_due()
        assert due is not None
        self._use_idle_step()
        self._advance_to(due[0])
        self.timer_pending = True

    def _do_between(self) -> None:
        """Advance the clock halfway to the next due time."""
        due = self.next_due()
        assert due is not None
        self._use_idle_step()
        self._advance_to((self.now_us + due[0]) // 2)

    def _use_idle_step(self) -> None:
        """Count a step of the clock as idle if no caller waits for an answer."""
        if not any(call.awaits_answer for call in self.history.calls.values()):
            self.remaining_idle_steps -= 1

    def choices(self) -> list[Choice]:
        """Every choice that can be made now, in a fixed order; empty if nothing more can happen in this scope."""
        return offered_choices(self)

    # --- callers ---

    def _connect_caller(self) -> None:
        """A caller opens a connection."""
        stream, self.next_caller_stream = self.next_caller_stream, self.next_caller_stream + 1
        self.peers[stream] = Peer()
        self._submit(s.Accepted(stream))

    _do_connect = _connect_caller

    def _make_set_up(self, call_id: int, number: int) -> p.SetUp:
        """Make a set-up to one of the exchanges; the called number selects which."""
        to = 1 + (number - 1) % self.scope.exchanges
        figures = {"dest": to, "width": 1, "via": -1}
        return p.SetUp(call_id, CLASS_NAME, WAIT_MS, f"{number:016x}", DESCRIPTION, figures, "acme")

    def _do_set_up(self, stream: int) -> None:
        """A caller sets up a new call."""
        call_id, self.next_call_id = self.next_call_id, self.next_call_id + 1
        self.calls_made += 1
        self._submit(s.MessageReceived(stream, self._make_set_up(call_id, call_id)))

    def _do_redial(self, call_id: int, stream: int) -> None:
        """A caller dials the number of a refused call again, as a new call."""
        new_call_id, self.next_call_id = self.next_call_id, self.next_call_id + 1
        self._submit(
            s.MessageReceived(
                stream, self._make_set_up(new_call_id, int(self.history.calls[call_id].set_up.called, 16))
            )
        )

    def _do_give_up(self, call_id: int) -> None:
        """A caller gives up a call before its final answer."""
        self._submit(s.MessageReceived(self.history.calls[call_id].stream, p.Release(call_id, p.ReleaseCause.NORMAL)))

    def _do_release(self, call_id: int, stream: int) -> None:
        """A caller ends a standing call."""
        self._submit(s.MessageReceived(stream, p.Release(call_id, p.ReleaseCause.NORMAL)))

    def _do_same_id(self, call_id: int, stream: int) -> None:
        """A caller repeats a set-up with the id of a known call ("other_id": on another connection)."""
        self._submit(s.MessageReceived(stream, self.history.calls[call_id].set_up))

    _do_other_id = _do_same_id

    def _do_hang_up(self, stream: int) -> None:
        """A caller closes its connection."""
        del self.peers[stream]
        self._submit(s.ConnectionClosed(stream))

    def _do_half(self, stream: int) -> None:
        """The first part of a caller's message arrives."""
        self.peers[stream].partial = True
        self._submit(s.PartialMessage(stream, True))

    def _do_whole(self, stream: int) -> None:
        """The rest of the partial message arrives."""
        self.peers[stream].partial = False
        self._submit(s.PartialMessage(stream, False))

    def _do_garble(self, stream: int) -> None:
        """A caller sends bytes that are not a message."""
        self.peers[stream].half_closed = True
        self._submit(s.MalformedInput(stream, "no message"))

    def _do_half_close(self, stream: int) -> None:
        """A caller closes its sending direction only."""
        self.peers[stream].half_closed = True
        self._submit(s.EndOfInput(stream))

    # --- exchanges ---

    def _exchange_record(
        self, exchange: SimulatedExchange, state: i.ListState = i.ListState.READY, started: int = 0
    ) -> p.ExchangeRecord:
        """Make the record of an exchange in a list update."""
        return p.ExchangeRecord(
            i.ListEntry(exchange.ident, exchange.number, state, started), ("127.0.0.1", exchange.port)
        )

    def _make_answer(self, link: int, call_id: int) -> p.Answer:
        """Make the next answer of the exchange on a link; its description is unique."""
        exchange = self.simulated_exchanges[self.peers[link].exchange_id]
        exchange.answers_made += 1
        answer = p.Answer(call_id, b"%d by %d" % (exchange.answers_made, exchange.ident))
        self.history.descriptions_made.add(answer.description)
        return answer

    def _do_answer(self, link: int, call_id: int) -> None:
        """An exchange answers a set-up."""
        received = self.peers[link].set_ups.pop(call_id)
        received.last_reply = "answer"
        self.standing_calls[call_id] = self.peers[link].exchange_id
        if "twice" in self.remaining_budgets:
            self.peers[link].set_ups[call_id] = received
        self._submit(s.MessageReceived(link, self._make_answer(link, call_id)))

    def _do_refuse(self, link: int, call_id: int, refusal: str) -> None:
        """An exchange refuses a set-up; `refusal` is a key of REFUSALS."""
        received = self.peers[link].set_ups.pop(call_id)
        received.last_reply = refusal
        if "twice" in self.remaining_budgets:
            self.peers[link].set_ups[call_id] = received
        cause, note = REFUSALS[refusal]
        self._submit(s.MessageReceived(link, p.Release(call_id, cause, note)))

    def _do_truncate(self, link: int, call_id: int, missing: int) -> None:
        """An exchange answers, but the answer ends early; its group state follows directly. The call stands there."""
        del self.peers[link].set_ups[call_id]
        self.standing_calls[call_id] = self.peers[link].exchange_id
        data = p.encode(self._make_answer(link, call_id))[:-missing] + p.encode(make_group_state(40))
        decoder = ExchangeDecoder()
        try:
            for message in decoder.messages(data):
                self._submit(s.MessageReceived(link, message, end_certain=decoder.end_certain))
        except p.ProtocolError as error:
            self._submit(s.MalformedInput(link, str(error)))

    def _do_late(self, link: int, call_id: int, reply: str) -> None:
        """An exchange replies before the give-up reaches it. If it answers, the give-up then ends the call."""
        del self.peers[link].set_ups[call_id]
        if reply == "answer":
            self._submit(s.MessageReceived(link, self._make_answer(link, call_id)))
        else:
            self._submit(s.MessageReceived(link, p.Release(call_id, p.ReleaseCause.TEMPORARY_FAILURE)))

    def _do_twice(self, link: int, call_id: int) -> None:
        """An exchange sends the same reply to a set-up a second time."""
        received = self.peers[link].set_ups.pop(call_id)
        if received.last_reply == "answer":
            self._submit(s.MessageReceived(link, self._make_answer(link, call_id)))
        else:
            cause, note = REFUSALS[received.last_reply]
            self._submit(s.MessageReceived(link, p.Release(call_id, cause, note)))

    def _do_astray(self, link: int, call_id: int, right_link: int) -> None:
        """An answer arrives on a link that did not carry the set-up. No exchange does this; it must have no effect."""
        self._submit(s.MessageReceived(link, self._make_answer(right_link, call_id)))

    def _do_end(self, call_id: int, cause: p.ReleaseCause = p.ReleaseCause.NORMAL) -> None:
        """An exchange ends a standing call."""
        exchange_id = self.standing_calls.pop(call_id)
        link = next(k for k, peer in self.peers.items() if peer.exchange_id == exchange_id)
        self._submit(s.MessageReceived(link, p.Release(call_id, cause)))

    def _do_cut(self, call_id: int) -> None:
        """An exchange ends a standing call because of a failure."""
        self._do_end(call_id, p.ReleaseCause.TEMPORARY_FAILURE)

    def _do_reset(self, link: int) -> None:
        """A link is reset."""
        del self.peers[link]
        self._submit(s.ConnectionClosed(link))

    def _do_die(self, exchange_id: int) -> None:
        """An exchange dies: its standing calls and links are lost."""
        self.simulated_exchanges[exchange_id].alive = False
        self.simulated_exchanges[exchange_id].died_us = self.now_us
        self.standing_calls = {
            k: standing_at for k, standing_at in self.standing_calls.items() if standing_at != exchange_id
        }
        for link in [k for k, peer in self.peers.items() if peer.exchange_id == exchange_id]:
            if link in self.peers:
                self._do_reset(link)

    def _do_return(self, exchange_id: int) -> None:
        """A dead exchange starts again; the list does not report it."""
        self.simulated_exchanges[exchange_id].alive = True
        self.unlisted_restarts_us[exchange_id] = self.now_us

    def _do_group(self, link: int, free_circuits: int) -> None:
        """An exchange reports the free circuits of its trunk group."""
        self._submit(s.MessageReceived(link, make_group_state(free_circuits)))

    # --- links ---

    def _accept_link(self, link: int) -> None:
        """An exchange accepts a link and reports its free circuits."""
        exchange_id, _ = self.connecting.pop(link)
        self.peers[link] = Peer(exchange_id)
        self._submit(s.Connected(link))
        self._do_group(link, 40)

    def _complete_connect(self, link: int) -> None:
        """Accept or refuse a link, depending on whether its exchange is alive."""
        exchange_id, _ = self.connecting[link]
        if self.simulated_exchanges[exchange_id].alive:
            self._accept_link(link)
        else:
            self._do_refuse_link(link)

    _do_accept = _accept_link

    def _do_refuse_link(self, link: int) -> None:
        """A link is refused."""
        del self.connecting[link]
        self._submit(s.ConnectFailed(link, True))

    # --- writes ---

    def _do_stall(self, stream: int) -> None:
        """Writes to this peer stop completing."""
        self.peers[stream].stalled = True
        self.history.stalled_streams.add(stream)

    _do_stall_caller = _do_stall

    def _do_arrive(self, stream: int) -> None:
        """A pending write arrives before its completion is reported."""
        peer = self.peers[stream]
        assert peer.pending_write is not None
        peer.pending_arrived = True
        self.history.write_arrived(stream)
        self._deliver(stream, peer, peer.pending_write)

    def _do_through(self, stream: int) -> None:
        """The stall ends: a pending write arrives and its completion is reported."""
        peer = self.peers[stream]
        peer.stalled = False
        self.history.stalled_streams.discard(stream)
        pending, peer.pending_write = peer.pending_write, None
        if pending is not None:
            if not peer.pending_arrived:
                self._deliver(stream, peer, pending)
            self._submit(s.WriteCompleted(stream), *self._confirmations(stream, peer, pending))

    # --- the list ---

    def _send_list_update(self, *records: p.ExchangeRecord) -> None:
        """Send an update of the exchange list with the given records."""
        self.last_update_number += 1
        self.last_update = p.ListUpdate(self.last_update_number, i.ListKind.CHANGES, records)
        self._submit(s.ListUpdateReceived(self.channel_connection, self.last_update))

    def _do_drain(self, exchange_id: int) -> None:
        """The list reports an exchange as draining."""
        self.draining_exchanges.add(exchange_id)
        self._send_list_update(self._exchange_record(self.simulated_exchanges[exchange_id], i.ListState.DRAINING))

    def _do_ready(self, exchange_id: int) -> None:
        """The list reports an exchange as ready."""
        self.draining_exchanges.discard(exchange_id)
        self._send_list_update(self._exchange_record(self.simulated_exchanges[exchange_id]))

    def _do_gone(self, exchange_id: int) -> None:
        """The list reports an exchange as gone."""
        self.draining_exchanges.discard(exchange_id)
        self._send_list_update(self._exchange_record(self.simulated_exchanges[exchange_id], i.ListState.GONE))

    def _do_replaced(self, exchange_id: int) -> None:
        """The list reports a new exchange at the address of one that has died without a report of the list."""
        old = self.simulated_exchanges.pop(exchange_id)
        self.standing_calls = {
            k: standing_at for k, standing_at in self.standing_calls.items() if standing_at != exchange_id
        }
        new = self.simulated_exchanges[self.next_exchange_id] = SimulatedExchange(
            self.next_exchange_id, old.number, old.port
        )
        self.next_exchange_id += 1
        for link in [k for k, peer in self.peers.items() if peer.exchange_id == exchange_id]:
            if link in self.peers:
                self._do_reset(link)
        for link, (connecting_to, due) in self.connecting.items():
            if connecting_to == exchange_id:
                self.connecting[link] = (new.ident, due)
        self._send_list_update(self._exchange_record(new, started=self.now_us))

    def _do_list_twice(self) -> None:
        """The last list update arrives a second time."""
        assert self.last_update is not None
        self._submit(s.ListUpdateReceived(self.channel_connection, self.last_update))

    def _do_channel_lost(self) -> None:
        """The command channel is lost."""
        self._submit(s.ChannelLost(self.channel_connection, "reset"))

    # --- operators ---

    def _do_lameduck(self) -> None:
        """An operator drains the controller."""
        self.history.draining = True
        self._submit(s.AdminRequest(1, o.Command.LAMEDUCK))

    def _do_rejoin(self) -> None:
        """An operator ends the drain."""
        self.history.draining = False
        self._submit(s.AdminRequest(1, o.Command.REJOIN))

    def _do_sighup(self, name: str) -> None:
        """SIGHUP applies the settings of a variant."""
        channel = ("127.0.0.1", 10) if name == "moved" else CHANNEL_ADDRESS
        self._submit(s.Reconfigured((), channel, 1024, replace(VARIANTS[name])))

    def _do_sigterm(self) -> None:
        """SIGTERM arrives."""
        self._submit(s.Terminate())

    def _do_succeed(self) -> None:
        """A successor process serves."""
        self._submit(s.SuccessorChanged(True))

    def _do_unsucceed(self) -> None:
        """The successor process serves no longer."""
        self._submit(s.SuccessorChanged(False))

    def _do_inherit(self, exchange_id: int) -> None:
        """A predecessor hands over a standing call."""
        call_id, self.next_call_id = self.next_call_id, self.next_call_id + 1
        self.inherited_calls[call_id] = self.standing_calls[call_id] = exchange_id
        self._submit(s.CallInherited(call_id, exchange_id))

    def _do_passed_on(self, call_id: int) -> None:
        """A predecessor forwards the release of an inherited call by its caller."""
        del self.inherited_calls[call_id]
        self._submit(s.ReleaseForwarded(call_id, int(p.ReleaseCause.NORMAL)))

    # --- the end of a path ---

    @property
    def all_calls_ended(self) -> bool:
        """Whether every call has ended for its caller and at its exchange."""
        calls = self.history.calls.values()
        return not self.standing_calls and not any(
            c.awaits_answer or (c.was_answered and not c.has_ended) for c in calls
        )

    @property
    def only_late_messages_remain(self) -> bool:
        """Whether all calls have ended and nothing can start new work, so that only late messages can follow."""
        more_to_come = self.calls_made < self.scope.calls
        more_to_come = more_to_come or (
            self.remaining_rare_choices > 0 and any(self.remaining_budgets.get(k) for k in FOLLOW_UP_KINDS)
        )
        write_pending = any(peer.pending_write is not None for peer in self.peers.values())
        return self.calls_made > 0 and self.all_calls_ended and not more_to_come and not write_pending

    def run_to_end(self) -> None:
        """Bring the path to its end: standing calls end, writes complete, time passes.

        Raises PropertyViolation if a property does not hold or anything is left in the reducer.
        """
        if self.all_calls_ended and (stale := stale_timers(self.session)):
            raise PropertyViolation(NOTHING_LEFT.name, NOTHING_LEFT.describe(stale) or "")
        for stream in [k for k, peer in self.peers.items() if peer.stalled]:
            if stream in self.peers:
                self._do_through(stream)
        for call_id in list(self.standing_calls):
            if any(peer.exchange_id == self.standing_calls[call_id] for peer in self.peers.values()):
                self._do_end(call_id)
        for exchange_id, returned_us in self.unlisted_restarts_us.items():
            if not self.history.exchanges[exchange_id].gone and exchange_id not in self.draining_exchanges:
                self._send_list_update(
                    self._exchange_record(self.simulated_exchanges[exchange_id], started=returned_us)
                )
        for _ in range(60):
            if self.history.exited or (due := self.next_due()) is None:
                break
            for link in list(self.connecting):
                if self.connecting.get(link, (0, 0))[0] in self.simulated_exchanges:
                    self._complete_connect(link)
            if due[0] > self.now_us:
                self._advance_to(due[0])
            self._submit(s.Tick())
            if self.all_calls_ended and self.now_us > START_US + 3_000_000:
                break
        for _ in range(FINAL_STEPS):
            if self.history.exited:
                break
            for link in list(self.connecting):
                if self.connecting.get(link, (0, 0))[0] in self.simulated_exchanges:
                    self._complete_connect(link)
            self._advance_to(self.now_us + 1_500_000)
            self._submit(s.Tick())
        if (problem := NOTHING_LEFT.describe(leftovers(self.session, self.history.exited))) is not None:
            raise PropertyViolation(NOTHING_LEFT.name, problem)
