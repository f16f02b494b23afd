"""Connections of callers: who may come, who makes room, and what they say.

The one place where a connection is given back is `lose`.
"""

from __future__ import annotations

from ..protocol import (
    HealthCheck,
    HealthCheckResult,
    InvalidSetUp,
    Message,
    Release,
    ReleaseCause,
    ReleaseConfirmed,
    SetUp,
)
from .component import Component
from .inputs_and_effects import Close, ForwardRelease
from .limits import (
    DESCRIPTORS_PER_EXCHANGE,
    DRAIN_RETRY_AFTER_MS,
    MAX_CALLS,
    MAX_FAULTS,
    MAX_OPEN_CALLS,
    MIN_CALLERS_DIVISOR,
    RECENT_ACTIVITY_US,
    RESERVED_DESCRIPTORS,
)
from .machines import StreamState, StreamTransition
from .phases import Phase
from .state import Caller
from .trace import CloseReason, TraceEvent


class Callers(Component):
    """Connections of callers."""

    def __init__(self) -> None:
        self.by_stream: dict[int, Caller] = {}
        self.without_calls: dict[int, Caller] = {}  # those that have set up no call, as they last did anything

    def take_set_up(self, caller: Caller, message: SetUp | InvalidSetUp, waited_us: int) -> None:
        """A set-up from a caller."""
        self.core.counters["set_ups"] += 1
        known = self.calls.by_id.get(message.call)
        if known is not None or (message.call in self.calls.ended and self.calls.ended[message.call].answered):
            # Guards against a second answer: the id is that of another call, or has had its answer. On the
            # connection of a call without answer it can no longer be told which set-up is meant: it fails.
            # On another connection no message can name the id and not be taken for the call's answer or end.
            self.core.counters["set_ups_repeated"] += 1
            if known is None or known.caller_stream == caller.ident:
                if known is not None and known.standing_exchange is None:
                    self.calls.fail(known, "its id is used again on its connection")
                self.count_fault(caller, "id used again")
            else:
                self.shut(caller, f"id {message.call:016x} is another caller's")
            return
        reason = message.reason if isinstance(message, InvalidSetUp) else self.classes.describe_errors(message)
        if reason or isinstance(message, InvalidSetUp):
            self.core.counters["set_ups_unusable"] += 1
            self.core.record(TraceEvent.CALL_FAILED, call=message.call, stream=caller.ident, reason=reason)
            self.calls.remember_rejected(message.call)
            self.writing.queue(caller, Release(message.call, ReleaseCause.INVALID_CONTENTS))
            self.count_fault(caller, f"set-ups that cannot be used, the last for its {reason}")
        elif len(caller.unanswered) >= MAX_OPEN_CALLS or len(self.calls.by_id) >= MAX_CALLS or self.phases.refuse_all:
            # Guards the others' calls and the memory against a flood.
            self.core.counters["set_ups_over_budget"] += 1
            self.core.record(
                TraceEvent.CALL_REFUSED, call=message.call, stream=caller.ident, reason="over budget or ending"
            )
            self.classes.count_outcome("declined", message.class_name)
            self.calls.remember_rejected(message.call)
            stay_ms = self.classes.settings.max_retry_after_us // 1000
            self.writing.queue(caller, Release(message.call, ReleaseCause.CONGESTION, retry_after_ms=stay_ms))
        elif self.core.now >= self.phases.refuse_from_us:
            # Guards the drain's end against a connection that is never idle.
            self.core.record(TraceEvent.CALL_REFUSED, call=message.call, stream=caller.ident, reason="draining")
            self.calls.remember_rejected(message.call)
            self.classes.count_outcome("declined", message.class_name)
            self.writing.queue(
                caller, Release(message.call, ReleaseCause.CONGESTION, retry_after_ms=DRAIN_RETRY_AFTER_MS)
            )
        else:
            self.calls.offer(caller, message, waited_us)

    def count_fault(self, caller: Caller, why: str) -> None:
        """Guards the others' calls against a caller that floods the program with what is of no use."""
        caller.faults += 1
        if caller.faults >= MAX_FAULTS and not caller.finishing:
            self.core.counters["callers_flooding"] += 1
            self.shut(caller, why)

    def shut(self, caller: Caller, why: str) -> None:
        """Take nothing more from a caller: its open calls fail, then it is closed."""
        self.core.counters["callers_shut"] += 1
        self.core.log(f"caller {caller.ident} closed: {why}")
        caller.change_state(StreamTransition.FINISH)
        for ident in sorted(caller.unanswered):
            self.calls.fail(self.calls.by_id[ident], why)
        self.close_if_finished(caller)

    def accept(self, stream: int) -> None:
        self.core.counters["callers_accepted"] += 1
        if len(self.by_stream) >= self.limit():
            # Guards the descriptor limit: the connection that is worth least makes room, else the new one.
            self.core.counters["callers_over_budget"] += 1
            least = self.least_valuable_idle()
            if least is None:
                self.core.effects.append(Close(stream))
                return
            self.writing.drop(least, CloseReason.NO_DESCRIPTORS)
        caller = Caller(stream, StreamState.UP, True, accepted_us=self.core.now, last_active_us=self.core.now)
        self.by_stream[stream] = self.without_calls[stream] = caller

    def limit(self) -> int:
        """How many connections of callers fit the descriptor limit, beside those of the other process."""
        ours = self.core.socket_limit - self.phases.other_descriptors
        return max(
            ours // MIN_CALLERS_DIVISOR,
            ours - RESERVED_DESCRIPTORS - DESCRIPTORS_PER_EXCHANGE * len(self.exchanges.by_id),
        )

    def least_valuable_idle(self) -> Caller | None:
        """The idle connection that is worth least, None if all are busy.

        Guards good callers against a crowd. Strangers go first, by when they last did anything: a set-up
        that comes in pieces is not a connection that is silent. Where all of them have done something just
        now, a connection goes on which nothing is open or stands; those on which calls stand go last.
        """
        stranger = next((c for c in self.without_calls.values() if c.idle), None)
        if stranger is not None and self.core.now - stranger.last_active_us >= RECENT_ACTIVITY_US:
            return stranger
        needed = {call.caller_stream for call in self.calls.by_id.values()}
        idle = [c for c in self.by_stream.values() if c.trust and c.idle and not c.partial_since_us]
        known = min(idle, key=lambda c: (c.ident in needed, c.last_active_us), default=None)
        if known is None or (known.ident in needed and stranger is not None):
            return stranger
        return known if self.core.now - known.last_active_us >= RECENT_ACTIVITY_US or stranger is None else stranger

    def make_room(self) -> None:
        """The other process holds more now: what fits no more goes."""
        while len(self.by_stream) > self.limit() and (least := self.least_valuable_idle()) is not None:
            self.core.counters["callers_over_budget"] += 1
            self.writing.drop(least, CloseReason.NO_DESCRIPTORS)

    def set_partial(self, caller: Caller, half: bool) -> None:
        """Its input ends within a message, or does so no more."""
        caller.partial_since_us = (caller.partial_since_us or self.core.now) if half else 0
        self.mark_active(caller)

    def mark_active(self, caller: Caller) -> None:
        """It has sent something. Strangers are kept in the order in which they last did."""
        caller.last_active_us = self.core.now
        if self.without_calls.pop(caller.ident, None) is not None:
            self.without_calls[caller.ident] = caller

    def receive(self, caller: Caller, message: Message, waited_us: int) -> None:
        if caller.finishing:
            return
        self.mark_active(caller)
        caller.partial_since_us = caller.partial_since_us and self.core.now
        if isinstance(message, SetUp | InvalidSetUp):
            self.take_set_up(caller, message, waited_us)
            if caller.trust:
                self.end_notices.send_held(caller)
        elif isinstance(message, Release):
            call = self.calls.by_id.get(message.call)
            if call is None:
                # It may be that of a call which stood before this program was started anew.
                self.core.counters["late_messages"] += 1
                self.writing.queue(caller, ReleaseConfirmed(message.call))
                if message.call not in self.calls.ended:
                    if self.phases.other_calls:
                        self.core.effects.append(ForwardRelease(message.call, message.cause))
                    self.count_fault(caller, "releases of unknown calls")
            else:
                if call.standing_exchange is not None:
                    self.writing.queue(caller, ReleaseConfirmed(call.ident))
                self.calls.end_by_caller(call, message.cause)
        elif isinstance(message, ReleaseConfirmed) and caller.unconfirmed.pop(message.call, None) is not None:
            self.core.counters["releases_heard"] += 1
        elif isinstance(message, HealthCheck):
            # The front asks here whether to send more. Who ends may have a successor at the address.
            ready = self.phases.phase in (Phase.SERVING, Phase.ENDING)
            self.writing.queue(caller, HealthCheckResult(message.call, ready))
            self.count_fault(caller, "tests")
        else:
            self.core.counters["messages_passed_over"] += 1
            self.count_fault(caller, "messages of no use")

    def lose(self, caller: Caller) -> None:
        """The connection is closed: what was owed on it is owed no more, releases go another way."""
        caller.change_state(StreamTransition.CLOSE)
        del self.by_stream[caller.ident]
        self.without_calls.pop(caller.ident, None)
        for ident in list(caller.unanswered):
            self.core.counters["callers_vanished"] += 1
            self.calls.abandon(self.calls.by_id[ident])
        for release in self.writing.undelivered_releases(caller):
            self.end_notices.send(0, release)

    def close_if_finished(self, caller: Caller) -> None:
        if caller.finishing and caller.idle:
            self.writing.drop(caller, CloseReason.FINISHED)
