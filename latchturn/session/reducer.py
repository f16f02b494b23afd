"""The reducer: takes inputs with their times and returns the effects to run.

`Session` passes each input to the component that owns its subject, runs the timers that are due, passes the resulting
events to the decision module, and writes the queued messages. All state changes happen in `Session.step`. The reducer
never uses a socket, a clock or a byte layout, and makes no routing decision: its components only enforce the rules that
hold whatever the decision module asks for.
"""

from __future__ import annotations

import heapq
import traceback
from collections import Counter

from .. import interface as i
from ..protocol import ListUpdate
from .attempts import Attempts
from .callers import Callers
from .calls import Calls
from .channel import Channel
from .classes import Classes
from .component import Component
from .core import Core
from .decision_module import DecisionModule
from .descriptors import Descriptors
from .end_notices import EndNotices
from .exchange_releases import ExchangeReleases
from .exchanges import Exchanges
from .held_answers import HeldAnswers
from .housekeeping import Housekeeping
from .inputs_and_effects import (
    Accepted,
    AdminRequest,
    CallInherited,
    ChannelLost,
    ConfigRejected,
    Connected,
    ConnectFailed,
    ConnectionClosed,
    DescriptorsExhausted,
    Effect,
    EndAskedAbout,
    EndOfInput,
    EndReportAnswered,
    Input,
    ListenerReady,
    ListUpdateReceived,
    MalformedInput,
    MessageReceived,
    OtherProcessUsage,
    PartialMessage,
    PendingReleaseInherited,
    Reconfigured,
    ReleaseForwarded,
    Reply,
    Started,
    SuccessorChanged,
    Terminate,
    Tick,
    WriteCompleted,
)
from .links import Links
from .liveness import Liveness
from .machines import PhaseState
from .missed_ends import MissedEnds
from .phases import Phase, Phases
from .state import Attempt, Call, Exchange, Link, PendingRelease
from .timers import TimerKind, Timers
from .trace import CloseReason
from .unknown_ends import UnknownEnds
from .writing import Writing


class Session(Component):
    """The state of one session controller, divided among its components."""

    def __init__(self, settings: i.Settings, seed: int, socket_limit: int) -> None:
        self.core = Core(seed, socket_limit)
        self.timers = Timers()
        self.classes = Classes(settings)
        self.decision_module = DecisionModule(settings, seed)
        self.writing = Writing()
        self.attempts = Attempts()
        self.calls = Calls()
        self.callers = Callers()
        self.descriptors = Descriptors()
        self.end_notices = EndNotices()
        self.unknown_ends = UnknownEnds()
        self.links = Links()
        self.liveness = Liveness()
        self.missed_ends = MissedEnds()
        self.exchanges = Exchanges()
        self.exchange_releases = ExchangeReleases()
        self.held_answers = HeldAnswers()
        self.channel = Channel()
        self.phases = Phases()
        self.housekeeping = Housekeeping()
        components = dict(vars(self))
        for component in components.values():
            if isinstance(component, Component):
                component.connect_components(components)
        self.classes.apply(settings, None)

    def step(self, now_us: int, input_: Input) -> list[Effect]:
        """Process one input and return its effects, which must be run in this order."""
        self.core.now = max(self.core.now, now_us)  # a clock that is set back must not reach the decision module
        self.core.effects = []
        if self.phases.state is PhaseState.EXITED:
            # The connections that end now are closed by this process, which shows nothing about their peers.
            self.timers.heap.clear()
            return []
        try:
            self._dispatch(input_)
        except Exception:  # noqa: BLE001
            self._handle_fault(input_.message.call if isinstance(input_, MessageReceived) else 0)
        self._run_timers()
        self._process_pending()
        if self.phases.replaces_predecessor or self.phases.sigterm_us:
            self.phases.advance()
        return self.core.effects

    def wake_us(self) -> int | None:
        """When the next timer is due, None if there is none."""
        return self.timers.heap[0][0] if self.timers.heap else None

    def _handle_fault(self, call: int) -> None:
        """Log an internal error and fail the open call that it concerns, so that it does not affect other calls."""
        self._log_fault(call)
        if call in self.calls.by_id and self.calls.by_id[call].standing_exchange is None:
            try:
                self.calls.fail(self.calls.by_id[call], "internal error")
            except Exception:  # noqa: BLE001
                self._log_fault(call)

    def _log_fault(self, call: int) -> None:
        self.core.counters["errors"] += 1
        self.core.log(f"fault, call {call:016x}: {traceback.format_exc()}")

    def _dispatch(self, input_: Input) -> None:
        match input_:
            case MessageReceived(stream, message, unread_us, end_certain):
                if stream in self.links.by_stream:
                    self.exchanges.message_received(self.links.by_stream[stream], message, end_certain)
                elif stream in self.callers.by_stream:
                    self.callers.receive(self.callers.by_stream[stream], message, unread_us)
            case WriteCompleted(stream):
                self.writing.write_completed(stream)
            case Tick():
                pass
            case Accepted(stream):
                self.callers.accept(stream)
            case MalformedInput(stream, reason):
                self.core.counters["garbled"] += 1
                if stream in self.callers.by_stream:
                    self.callers.shut(self.callers.by_stream[stream], reason)
                else:
                    self.core.log(f"link {stream} sent malformed input: {reason}")
                    self.writing.input_ended(stream, CloseReason.GARBLED)
            case PartialMessage(stream, partial):
                if stream in self.links.by_stream:
                    self.links.partial_message_changed(self.links.by_stream[stream], partial)
                elif stream in self.callers.by_stream:
                    self.callers.set_partial(self.callers.by_stream[stream], partial)
            case EndOfInput(stream):
                self.writing.input_ended(stream)
            case ConnectionClosed(stream):
                self.writing.peer_reset(stream)
            case Connected(stream):
                self.links.connected(stream)
            case ConnectFailed(stream, refused, no_descriptor):
                self.links.connect_failed(stream, refused, no_descriptor)
            case DescriptorsExhausted():
                self.descriptors.exhausted()
            case ListUpdateReceived(connection, update):
                self.channel.frame_received(connection, update.number)
                self.exchanges.apply_list_update(update)
            case ChannelLost(connection, reason):
                self.channel.connection_lost(connection, reason)
            case AdminRequest(connection, command):
                self.core.effects.append(Reply(connection, self.phases.handle_command(command)))
            case ListenerReady():
                self.phases.listener_ready()
            case OtherProcessUsage(descriptors, calls):
                self.phases.other_descriptors, self.phases.other_calls = descriptors, calls
                self.descriptors.keep_to_limit()
                if not descriptors:
                    self.unknown_ends.other_process_ended()
            case CallInherited(call, exchange):
                self.calls.add_inherited(call, exchange)
            case ReleaseForwarded(call, cause):
                if call in self.calls.by_id:
                    self.calls.end_by_caller(self.calls.by_id[call], cause)
            case PendingReleaseInherited(call, exchange, cause):
                self.exchange_releases.add_inherited(call, exchange, cause)
            case EndAskedAbout(call, cause):
                self.unknown_ends.asked(call, cause)
            case EndReportAnswered(call, must_notify):
                self.unknown_ends.verdict(call, must_notify)
            case SuccessorChanged(serves):
                self.phases.successor_changed(serves)
            case ConfigRejected(reason):
                self.core.counters["sighup_rejected"] += 1
                self.core.log(f"new configuration is invalid, the old one stays in use: {reason}")
            case Started(list_updates, cursor, channel, replaces):
                self.phases.replaces_predecessor = replaces
                self.phases.start(list_updates, cursor)
                self.channel.connect(channel)
            case Reconfigured(list_updates, channel, socket_limit, settings):
                self._reconfigure(list_updates, channel, socket_limit, settings)
            case Terminate():
                self.phases.terminate()

    def _reconfigure(
        self,
        list_updates: tuple[ListUpdate, ...],
        channel: tuple[str, int],
        socket_limit: int,
        settings: i.Settings,
    ) -> None:
        # The file's updates that are newer than the last one received apply; its initial full list is outdated.
        for update in list_updates:
            self.exchanges.apply_list_update(update)
        self.core.socket_limit = socket_limit
        if settings != self.classes.configured:
            self.classes.apply(settings, self.classes.settings)
            self.core.events.append(i.SettingsChanged(self.classes.settings))
            self.core.log("new settings: classes " + ", ".join(c.name for c in settings.classes))
        self.core.counters["sighup_applied"] += 1
        self.core.log(f"new configuration: command channel {channel[0]}:{channel[1]}, {socket_limit} sockets")
        self.channel.change_address(channel)
        self.descriptors.keep_to_limit()

    def _process_pending(self) -> None:
        """Pass all queued events to the decision module, then write what is queued on the streams."""
        while self.core.events or self.writing.pending:
            if self.core.events:
                event = self.core.events.popleft()
                try:
                    self.decision_module.decide(event)
                except Exception:  # noqa: BLE001
                    self._handle_fault(getattr(event, "call", 0))
            else:
                _, stream = self.writing.pending.popitem()
                try:
                    self.writing.flush(stream)
                except Exception:  # noqa: BLE001
                    self._handle_fault(0)

    def _run_timers(self) -> None:
        while self.timers.heap and self.timers.heap[0][0] <= self.core.now:
            _, _, timer = heapq.heappop(self.timers.heap)
            try:
                self._timer_due(timer.kind, timer.subject)
            except Exception:  # noqa: BLE001
                self._handle_fault(0)
            self._process_pending()  # the decision module's reaction to one timer may end the subject of the next

    def _timer_due(self, kind: TimerKind, subject: object) -> None:
        if kind is TimerKind.DECISION_MODULE and isinstance(subject, int):
            self.core.events.append(i.TimerDue(subject))
        elif kind is TimerKind.DEADLINE and isinstance(subject, Call):
            if self.calls.by_id.get(subject.ident) is subject and subject.standing_exchange is None:
                self.core.counters["overdue"] += 1
                self.calls.fail(subject, "no answer by its deadline")
        elif kind is TimerKind.ATTEMPT and isinstance(subject, Attempt):
            if subject.call.attempt is subject:
                self.attempts.timed_out(subject)
        elif kind is TimerKind.GIVE_UP and isinstance(subject, Attempt):
            if subject.call.attempt is subject:
                self.writing.drop(subject.link, CloseReason.GIVE_UP_STUCK)
        elif kind is TimerKind.PARTIAL_MESSAGE and isinstance(subject, Link):
            if self.links.by_stream.get(subject.ident) is subject and subject.partial_since_us:
                self.links.partial_message_timeout(subject)
        elif kind is TimerKind.ANSWER_HOLD and isinstance(subject, Link):
            if self.links.by_stream.get(subject.ident) is subject:
                self.held_answers.release_without_evidence(subject)
        elif kind is TimerKind.RECONNECT and isinstance(subject, Exchange):
            self.links.ensure_kept_links(subject)
        elif kind is TimerKind.CHANNEL and subject == self.channel.connect_count:
            self.channel.connect(self.channel.address)
        elif kind is TimerKind.END_VERDICT and isinstance(subject, int):
            self.unknown_ends.no_verdict(subject)
        elif kind is TimerKind.RELEASE and isinstance(subject, PendingRelease):
            self.exchange_releases.not_confirmed_in_time(subject)
        elif kind is TimerKind.TERM:
            self.phases.sigterm_timer_due()
        elif kind is TimerKind.CLOSE:
            self.phases.close_idle_for_exit()
        elif kind is TimerKind.DRAIN and subject == self.phases.drain_count:
            self.phases.close_drained()
        elif kind is TimerKind.SWEEP:
            self.housekeeping.sweep()

    def figures(self) -> dict[str, int]:
        """All counters and gauges by name, with their current values."""
        return self.phases.figures()

    @property
    def counters(self) -> Counter[str]:
        """All counters; the socket layer counts its own errors here too."""
        return self.core.counters

    def trace_lines(self) -> list[str]:
        """The most recent state changes with their reasons, one per line, the oldest first."""
        return list(self.core.trace.lines())

    @property
    def phase(self) -> Phase:
        """The phase that operators see."""
        return self.phases.phase
