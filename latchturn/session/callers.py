"""The connections of callers: which are accepted, which are closed to make room, and the messages received on them.

`Callers.remove` is the only place where a connection leaves the table.
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
    DRAIN_RETRY_AFTER_MS,
    MAX_CALLS,
    MAX_FAULTS,
    MAX_OPEN_CALLS,
    RECENT_ACTIVITY_US,
)
from .machines import StreamState, StreamTransition
from .phases import Phase
from .state import Caller
from .trace import CloseReason, TraceEvent


class Callers(Component):
    """The table of callers' connections."""

    def __init__(self) -> None:
        self.by_stream: dict[int, Caller] = {}
        self.without_calls: dict[int, Caller] = {}  # no valid set-up yet; the longest inactive first

    def take_set_up(self, caller: Caller, message: SetUp | InvalidSetUp, unread_us: int) -> None:
        """Offer the call of a set-up, or reject or refuse it."""
        self.core.counters["set_ups"] += 1
        known = self.calls.by_id.get(message.call)
        if known is not None or (message.call in self.calls.ended and self.calls.ended[message.call].answered):
            # Prevents a second answer under one id: it belongs to another call, or has been answered. If that call is
            # open on this connection, an answer could not be matched to one of the two set-ups, so the call fails. On
            # another connection, any message with the id would be taken for the answer or the end of that call, so the
            # connection is closed without one.
            self.core.counters["set_ups_repeated"] += 1
            if known is None or known.caller_stream == caller.ident:
                if known is not None and known.standing_exchange is None:
                    self.calls.fail(known, "its id was used again on its connection")
                self.count_fault(caller, "too many set-ups with a used id")
            else:
                self.shut(caller, f"id {message.call:016x} belongs to another caller")
            return
        reason = message.reason if isinstance(message, InvalidSetUp) else self.classes.describe_errors(message)
        if reason or isinstance(message, InvalidSetUp):
            self.core.counters["set_ups_unusable"] += 1
            self.core.record_event(TraceEvent.CALL_FAILED, call=message.call, stream=caller.ident, reason=reason)
            self.calls.remember_rejected(message.call)
            self.writing.queue(caller, Release(message.call, ReleaseCause.INVALID_CONTENTS))
            self.count_fault(caller, f"too many invalid set-ups, last reason: {reason}")
        elif len(caller.unanswered) >= MAX_OPEN_CALLS or len(self.calls.by_id) >= MAX_CALLS or self.phases.refuse_all:
            # Protects the calls of others and the memory from a flood.
            self.core.counters["set_ups_over_budget"] += 1
            self.core.record_event(
                TraceEvent.CALL_REFUSED,
                call=message.call,
                stream=caller.ident,
                reason="too many calls, or the program is ending",
            )
            self.classes.count_outcome("declined", message.class_name)
            self.calls.remember_rejected(message.call)
            retry_after_ms = self.classes.settings.max_retry_after_us // 1000
            self.writing.queue(caller, Release(message.call, ReleaseCause.CONGESTION, retry_after_ms=retry_after_ms))
        elif self.core.now >= self.phases.refuse_from_us:
            # Without this, a connection that is never idle would prevent the end of the drain.
            self.core.record_event(TraceEvent.CALL_REFUSED, call=message.call, stream=caller.ident, reason="draining")
            self.calls.remember_rejected(message.call)
            self.classes.count_outcome("declined", message.class_name)
            self.writing.queue(
                caller, Release(message.call, ReleaseCause.CONGESTION, retry_after_ms=DRAIN_RETRY_AFTER_MS)
            )
        else:
            self.calls.offer(caller, message, unread_us)

    def count_fault(self, caller: Caller, why: str) -> None:
        """Count a useless message, and shut out a caller that floods the program with them."""
        caller.faults += 1
        if caller.faults >= MAX_FAULTS and not caller.finishing:
            self.core.counters["callers_flooding"] += 1
            self.shut(caller, why)

    def shut(self, caller: Caller, why: str) -> None:
        """Shut a caller out: ignore its input, fail its open calls, and close it when the answers are written."""
        self.core.counters["callers_shut"] += 1
        self.core.log(f"caller {caller.ident} closed: {why}")
        caller.change_state(StreamTransition.FINISH)
        for call_id in sorted(caller.unanswered):
            self.calls.fail(self.calls.by_id[call_id], why)
        self.close_if_finished(caller)

    def accept(self, stream: int) -> None:
        """Enter a new connection, if necessary in place of another one."""
        self.core.counters["callers_accepted"] += 1
        if len(self.by_stream) >= self.descriptors.caller_limit():
            # Keeps to the descriptor limit: the least valuable idle connection is closed, else the new one.
            self.core.counters["callers_over_budget"] += 1
            least = self.least_valuable_idle()
            if least is None:
                self.core.effects.append(Close(stream))
                return
            self.writing.drop(least, CloseReason.NO_DESCRIPTORS)
        caller = Caller(stream, StreamState.UP, True, accepted_us=self.core.now, last_active_us=self.core.now)
        self.by_stream[stream] = self.without_calls[stream] = caller

    def least_valuable_idle(self) -> Caller | None:
        """The idle connection to close first, None if all are busy.

        Protects callers with calls when very many connect. Unknown callers, without a valid set-up so far, go first,
        the longest inactive one before all others, so that one whose set-up arrives in pieces outlasts a silent one.
        If even that one has just been active, a known caller goes instead, provided that it has not just been active
        itself and has no open or standing call. Callers with standing calls go last.
        """
        unknown = next((c for c in self.without_calls.values() if c.idle), None)
        if unknown is not None and self.core.now - unknown.last_active_us >= RECENT_ACTIVITY_US:
            return unknown
        needed = {call.caller_stream for call in self.calls.by_id.values()}
        idle = [c for c in self.by_stream.values() if c.trust and c.idle and not c.partial_since_us]
        known = min(idle, key=lambda c: (c.ident in needed, c.last_active_us), default=None)
        if known is None or (known.ident in needed and unknown is not None):
            return unknown
        return known if self.core.now - known.last_active_us >= RECENT_ACTIVITY_US or unknown is None else unknown

    def make_room(self) -> None:
        """Close idle connections beyond the limit."""
        while len(self.by_stream) > self.descriptors.caller_limit() and self.close_least_valuable():
            self.core.counters["callers_over_budget"] += 1

    def close_least_valuable(self, inactive_us: int = 0) -> bool:
        """Close the least valuable idle connection if it has been inactive for a time; False if nothing is closed."""
        least = self.least_valuable_idle()
        if least is None or self.core.now - least.last_active_us < inactive_us:
            return False
        self.writing.drop(least, CloseReason.NO_DESCRIPTORS)
        return True

    def set_partial(self, caller: Caller, partial: bool) -> None:
        """Note that the input of a caller ends within a message, or no longer does."""
        caller.partial_since_us = (caller.partial_since_us or self.core.now) if partial else 0
        self.mark_active(caller)

    def mark_active(self, caller: Caller) -> None:
        """Note that a caller has sent something, and keep `without_calls` in the order of the last activity."""
        caller.last_active_us = self.core.now
        if self.without_calls.pop(caller.ident, None) is not None:
            self.without_calls[caller.ident] = caller

    def receive(self, caller: Caller, message: Message, unread_us: int) -> None:
        """Process a message from a caller."""
        if caller.finishing:
            return
        self.mark_active(caller)
        caller.partial_since_us = caller.partial_since_us and self.core.now
        if isinstance(message, SetUp | InvalidSetUp):
            self.take_set_up(caller, message, unread_us)
            if caller.trust:
                self.end_notices.send_held(caller)
        elif isinstance(message, Release):
            call = self.calls.by_id.get(message.call)
            if call is None:
                # It may be for a call that stood before a restart of the program, or one of the other process.
                self.core.counters["late_messages"] += 1
                self.writing.queue(caller, ReleaseConfirmed(message.call))
                if message.call not in self.calls.ended:
                    if self.phases.other_calls:
                        self.core.effects.append(ForwardRelease(message.call, message.cause))
                    self.count_fault(caller, "too many releases of unknown calls")
            else:
                if call.standing_exchange is not None:
                    self.writing.queue(caller, ReleaseConfirmed(call.ident))
                self.calls.end_by_caller(call, message.cause)
        elif isinstance(message, ReleaseConfirmed) and caller.unconfirmed.pop(message.call, None) is not None:
            self.core.counters["releases_heard"] += 1
        elif isinstance(message, HealthCheck):
            # The load balancer asks whether to send more calls here. The answer stays positive while this process ends,
            # since a successor may serve at the same address.
            ready = self.phases.phase in (Phase.SERVING, Phase.ENDING)
            self.writing.queue(caller, HealthCheckResult(message.call, ready))
            self.count_fault(caller, "too many health checks")
        else:
            self.core.counters["messages_passed_over"] += 1
            self.count_fault(caller, "too many useless messages")

    def remove(self, caller: Caller) -> None:
        """Remove a closed connection: abandon its open calls, and send its undelivered releases on another one."""
        caller.change_state(StreamTransition.CLOSE)
        del self.by_stream[caller.ident]
        self.without_calls.pop(caller.ident, None)
        for call_id in list(caller.unanswered):
            self.core.counters["callers_vanished"] += 1
            self.calls.abandon(self.calls.by_id[call_id])
        for release in self.writing.undelivered_releases(caller):
            self.end_notices.send(0, release)

    def close_if_finished(self, caller: Caller) -> None:
        """Close a finishing connection if all answers are written on it."""
        if caller.finishing and caller.idle:
            self.writing.drop(caller, CloseReason.FINISHED)
