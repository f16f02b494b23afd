"""The one reducer: what has happened goes in with its time, what is to be done comes out.

Here the parts meet: an input goes to the part that owns what it is about, the module answers all events
that came up, timers run, and what waits is written. All state changes below `step`. It must never touch a
socket, a clock or a byte layout, and it takes no decision of the module's: the parts only keep the rules
that hold whatever the module asks for.
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
from .end_notices import EndNotices
from .exchanges import Exchanges
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
    Effect,
    EndOfInput,
    Input,
    ListenerReady,
    ListUpdateReceived,
    MalformedInput,
    MessageReceived,
    OtherProcessUsage,
    PartialMessage,
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
from .missed_ends import MissedEnds
from .phases import Phase, Phases
from .state import Attempt, Call, Exchange, Link
from .timers import TimerKind, Timers
from .trace import CloseReason
from .writing import Writing


class Session(Component):
    """The state of one session controller."""

    def __init__(self, settings: i.Settings, seed: int, socket_limit: int) -> None:
        self.core = Core(seed, socket_limit)
        self.timers = Timers()
        self.classes = Classes(settings)
        self.decision_module = DecisionModule(settings, seed)
        self.writing = Writing()
        self.attempts = Attempts()
        self.calls = Calls()
        self.callers = Callers()
        self.end_notices = EndNotices()
        self.links = Links()
        self.liveness = Liveness()
        self.missed_ends = MissedEnds()
        self.exchanges = Exchanges()
        self.channel = Channel()
        self.phases = Phases()
        self.housekeeping = Housekeeping()
        components = dict(vars(self))
        for component in components.values():
            if isinstance(component, Component):
                component.connect_components(components)
        self.classes.apply(settings, None)

    def step(self, now_us: int, input_: Input) -> list[Effect]:
        """Take in one input; the effects are to be run in their order."""
        self.core.now = max(self.core.now, now_us)  # guards the module against a clock that is set back
        self.core.effects = []
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
        """When the next timer is due."""
        return self.timers.heap[0][0] if self.timers.heap else None

    def _handle_fault(self, call: int) -> None:
        """Guards against faults of our own: one event's fault must not end the others' calls."""
        self._log_fault(call)
        if call in self.calls.by_id and self.calls.by_id[call].standing_exchange is None:
            try:
                self.calls.fail(self.calls.by_id[call], "a fault of the program")
            except Exception:  # noqa: BLE001
                self._log_fault(call)

    def _log_fault(self, call: int) -> None:
        self.core.counters["errors"] += 1
        self.core.log(f"fault, call {call:016x}: {traceback.format_exc()}")

    def _dispatch(self, input_: Input) -> None:
        match input_:
            case MessageReceived(stream, message, waited_us):
                if stream in self.links.by_stream:
                    self.exchanges.message_received(self.links.by_stream[stream], message)
                elif stream in self.callers.by_stream:
                    self.callers.receive(self.callers.by_stream[stream], message, waited_us)
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
                    self.core.log(f"link {stream} sent what cannot be read: {reason}")
                    self.writing.input_ended(stream, CloseReason.GARBLED)
            case PartialMessage(stream, half):
                if stream in self.links.by_stream:
                    self.links.partial_message_changed(self.links.by_stream[stream], half)
                elif stream in self.callers.by_stream:
                    self.callers.set_partial(self.callers.by_stream[stream], half)
            case EndOfInput(stream):
                self.writing.input_ended(stream)
            case ConnectionClosed(stream):
                self.writing.peer_reset(stream)
            case Connected(stream):
                self.links.connected(stream)
            case ConnectFailed(stream, refused):
                self.links.connect_failed(stream, refused)
            case ListUpdateReceived(update):
                self.channel.frame_received(update.number)
                self.exchanges.apply_list_update(update)
            case ChannelLost(reason):
                self.channel.connection_lost(reason)
            case AdminRequest(connection, command):
                self.core.effects.append(Reply(connection, self.phases.handle_command(command)))
            case ListenerReady():
                self.phases.listener_ready()
            case OtherProcessUsage(descriptors, calls):
                self.phases.other_descriptors, self.phases.other_calls = descriptors, calls
                self.callers.make_room()
            case CallInherited(call, exchange):
                self.calls.add_inherited(call, exchange)
            case ReleaseForwarded(call, cause):
                if call in self.calls.by_id:
                    self.calls.end_by_caller(self.calls.by_id[call], cause)
            case SuccessorChanged(serves):
                self.phases.successor_changed(serves)
            case ConfigRejected(reason):
                self.core.counters["sighup_rejected"] += 1
                self.core.log(f"new configuration cannot be used, the old one stays: {reason}")
            case Started(known, cursor, channel, replaces):
                self.phases.replaces_predecessor = replaces
                self.phases.start(known, cursor)
                self.channel.connect(channel)
            case Reconfigured(known, channel, socket_limit, settings):
                self._reconfigure(known, channel, socket_limit, settings)
            case Terminate():
                self.phases.terminate()

    def _reconfigure(
        self,
        known: tuple[ListUpdate, ...],
        channel: tuple[str, int],
        socket_limit: int,
        settings: i.Settings,
    ) -> None:
        # The events of the file that are not known yet count; its whole list of the start is old.
        for event in known:
            self.exchanges.apply_list_update(event)
        self.core.socket_limit = socket_limit
        if settings != self.classes.configured:
            self.classes.apply(settings, self.classes.settings)
            self.core.events.append(i.SettingsChanged(self.classes.settings))
            self.core.log("new settings: classes " + ", ".join(c.name for c in settings.classes))
        self.core.counters["sighup_applied"] += 1
        self.core.log(f"new configuration: command channel {channel[0]}:{channel[1]}, {socket_limit} sockets")
        self.channel.change_address(channel)

    def _process_pending(self) -> None:
        """Let the module answer all that came up, then write."""
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
            self._process_pending()  # what the module answers to one timer may end what the next is about

    def _timer_due(self, kind: TimerKind, what: object) -> None:
        if kind is TimerKind.DECISION_MODULE and isinstance(what, int):
            self.core.events.append(i.TimerDue(what))
        elif kind is TimerKind.DEADLINE and isinstance(what, Call):
            if self.calls.by_id.get(what.ident) is what and what.standing_exchange is None:
                self.core.counters["overdue"] += 1
                self.calls.fail(what, "its deadline has come")
        elif kind is TimerKind.ATTEMPT and isinstance(what, Attempt):
            if what.call.attempt is what:
                self.attempts.timed_out(what)
        elif kind is TimerKind.GIVE_UP and isinstance(what, Attempt):
            if what.call.attempt is what:
                self.writing.drop(what.link, CloseReason.GIVE_UP_STUCK)
        elif kind is TimerKind.PARTIAL_MESSAGE and isinstance(what, Link):
            if self.links.by_stream.get(what.ident) is what and what.partial_since_us:
                self.links.partial_message_timeout(what)
        elif kind is TimerKind.RECONNECT and isinstance(what, Exchange):
            self.links.ensure_kept_links(what)
        elif kind is TimerKind.CHANNEL and what == self.channel.connect_count:
            self.channel.connect(self.channel.address)
        elif kind is TimerKind.TERM:
            self.phases.sigterm_timer_due()
        elif kind is TimerKind.CLOSE:
            self.phases.close_idle_for_exit()
        elif kind is TimerKind.DRAIN and what == self.phases.drain_count:
            self.phases.close_drained()
        elif kind is TimerKind.SWEEP:
            self.housekeeping.sweep()

    def figures(self) -> dict[str, int]:
        """Every figure as it is now, by its name."""
        return self.phases.figures()

    @property
    def counters(self) -> Counter[str]:
        """What has been counted; fronts count their own faults here too."""
        return self.core.counters

    def trace_lines(self) -> list[str]:
        """The last state changes with their reasons, one a line, the oldest first."""
        return list(self.core.trace.lines())

    @property
    def phase(self) -> Phase:
        """What the program is at."""
        return self.phases.phase
