"""Calls, from their set-up to their end. `Calls.forget` is the only place where a call leaves the table."""

from __future__ import annotations

from .. import interface as i
from ..protocol import Answer, Release, ReleaseCause, SetUp, settings_text
from .component import Component
from .limits import DEADLINE_MARGIN_US, DEADLINE_OVERRUN_US, ENDED_CALL_TTL_US, MAX_LOGGED_CALL_IDS, MAX_REMEMBERED_IDS
from .machines import CALL, CallTransition
from .state import Call, Caller, EndedCall, Exchange
from .timers import TimerKind
from .trace import TraceEvent


class Calls(Component):
    """The table of open and standing calls, and the ids of recently ended ones."""

    def __init__(self) -> None:
        self.by_id: dict[int, Call] = {}
        self.ended: dict[int, EndedCall] = {}  # by id, the earliest first

    def offer(self, caller: Caller, set_up: SetUp, unread_us: int) -> None:
        """Enter the call of a valid set-up and offer it to the decision module.

        Its caller waits from the last byte of the set-up on, so the time that it stayed unread on a busy machine is
        subtracted.
        """
        caller.trust = max(caller.trust, 1)
        self.callers.without_calls.pop(caller.ident, None)
        wait_us = set_up.wait_ms * 1000
        deadline = self.core.now - unread_us + wait_us - min(DEADLINE_MARGIN_US, wait_us // 10)
        deadline = max(deadline, self.core.now)
        call = self.by_id[set_up.call] = Call(set_up, caller.ident, deadline)
        caller.unanswered.add(set_up.call)
        self.core.record_event(TraceEvent.CALL_TAKEN, call=set_up.call, stream=caller.ident)
        self.ended.pop(set_up.call, None)
        call.timer = self.timers.set(deadline + DEADLINE_OVERRUN_US - self.core.now, TimerKind.DEADLINE, call)
        figures = set_up.figures
        self.core.events.append(
            i.CallOffered(
                call=set_up.call,
                class_index=self.classes.index_by_name[settings_text(set_up.class_name)],
                destination=figures["dest"],
                called_number=int(set_up.called, 16),
                width=figures["width"],
                deadline_us=deadline,
                transit=figures.get("transit", 0) == 1,
                cut_before=figures.get("again", 0) == 1,
                via=figures.get("via", -1),
            )
        )

    def send_final_answer(self, call_id: int, message: Answer | Release) -> None:
        """Send a call its only final answer. Does nothing if the call has ended or is standing."""
        call = self.by_id.get(call_id)
        if call is None or call.standing_exchange is not None:
            return
        caller = self.callers.by_stream[call.caller_stream]
        caller.unanswered.discard(call_id)
        self.timers.cancel(call.timer)
        if isinstance(message, Answer):
            self.classes.count_outcome("succeeded", call.set_up.class_name)
            caller.trust = 2
        else:
            refused = message.cause == ReleaseCause.CONGESTION
            self.classes.count_outcome("declined" if refused else "aborted", call.set_up.class_name)
            self.forget(call, answered=True)
        self.writing.queue(caller, message)

    def fail(self, call: Call, why: str) -> None:
        """Fail an open call without the decision module: caller, decision module and exchange are all notified."""
        self.core.record_event(TraceEvent.CALL_FAILED, call=call.ident, stream=call.caller_stream, reason=why)
        self.send_final_answer(call.ident, Release(call.ident, ReleaseCause.TEMPORARY_FAILURE))
        self.abandon(call)

    def abandon(self, call: Call) -> None:
        """End an open call whose caller needs no answer: notify the decision module and give up the attempt."""
        self.forget(call)
        events = self.core.events
        offered = next((e for e in events if isinstance(e, i.CallOffered) and e.call == call.ident), None)
        if offered is not None:
            events.remove(offered)  # the decision module must not be offered a call that has ended
        else:
            # At the head of the queue: if several calls are abandoned in one step, another event before this one could
            # make the decision module send a set-up for an ended call. The end of that attempt would never be reported
            # to it, so its counts would stay wrong.
            events.appendleft(i.CallerLeft(call.ident))
        if (attempt := call.attempt) is not None:
            if attempt.sent and not attempt.giving_up:
                self.writing.queue(attempt.link, Release(call.ident, ReleaseCause.NORMAL))
            self.attempts.end(attempt, i.Outcome.CANCELLED, concluded=True)

    def forget(self, call: Call, answered: bool = False) -> None:
        """Remove a call from the table and remember its id; does nothing if it has been removed."""
        if self.by_id.pop(call.ident, None) is None:
            return
        call.state = CALL.next_state(call.state, CallTransition.FORGET)
        self.timers.cancel(call.timer)
        if call.caller_stream in self.callers.by_stream:
            self.callers.by_stream[call.caller_stream].unanswered.discard(call.ident)
        stood = call.standing_exchange is not None
        self.remember_ended(call.ident, stood, answered or stood)
        self.release_maybe_standing(call)

    def release_maybe_standing(self, call: Call) -> None:
        """Release a call at each exchange where an earlier attempt may stand although its answer was lost.

        An exchange gives up the set-ups of a connection that breaks, but not one that it answered just before. Without
        the release, that call would keep circuits, and its caller would be sent an end without ever having had the
        answer. A release also ends a later attempt under the same id, so it is sent only when no further attempt can
        follow, and not to the exchange where the call stands.
        """
        for exchange_id in sorted(call.maybe_standing_at):
            if exchange_id != call.standing_exchange and exchange_id in self.exchanges.by_id:
                self.exchange_releases.send(self.exchanges.by_id[exchange_id], Release(call.ident, ReleaseCause.NORMAL))
        call.maybe_standing_at.clear()

    def remember_ended(self, call_id: int, stood: bool, answered: bool) -> None:
        """Remember the id of an ended call for `ENDED_CALL_TTL_US`."""
        self.ended.pop(call_id, None)
        self.ended[call_id] = EndedCall(self.core.now + ENDED_CALL_TTL_US, stood, answered)

    def remember_rejected(self, call_id: int) -> None:
        """Remember the id of a set-up that was rejected on arrival, so that it is not answered a second time. Skipped
        while a flood of set-ups has filled the table."""
        if call_id and len(self.ended) < MAX_REMEMBERED_IDS:
            self.remember_ended(call_id, False, True)

    def end_standing(self, call: Call, outcome: i.Outcome, report: i.LoadReport | None = None) -> None:
        """Remove a standing call, count how it ended, and report that to the decision module."""
        exchange_id = call.standing_exchange
        assert exchange_id is not None
        self.exchanges.by_id[exchange_id].standing_calls.discard(call.ident)
        self.forget(call)
        self.core.counters[f"calls_{outcome.name.lower()}"] += 1
        self.core.record_event(TraceEvent.CALL_ENDED, call=call.ident, exchange=exchange_id, reason=outcome.name)
        self.core.events.append(
            i.AttemptEnded(
                call.ident,
                call.attempt_count - 1,
                exchange_id,
                outcome,
                self.core.now - call.standing_since_us,
                True,
                report=report,
            )
        )

    def cut_off(self, exchange: Exchange, before_us: int, why: str) -> None:
        """End the calls standing at an exchange since before a time, which it has lost without sending a release."""
        self._cut_off(exchange, self.standing_before(exchange, before_us), why)

    def standing_before(self, exchange: Exchange, before_us: int) -> list[Call]:
        """The calls standing at an exchange since before a time, in the order of their ids."""
        calls = (self.by_id[call_id] for call_id in sorted(exchange.standing_calls))
        return [call for call in calls if call.standing_since_us < before_us]

    def presume_ended(self, exchange: Exchange, calls: list[Call], why: str) -> None:
        """End calls without a release from their exchange, and release them there in case they still stand."""
        self._cut_off(exchange, calls, why)
        for call in calls:
            self.exchange_releases.send(exchange, Release(call.ident, ReleaseCause.NORMAL))

    def _cut_off(self, exchange: Exchange, calls: list[Call], why: str) -> None:
        if calls:
            self.record_cut_off(exchange, calls, why)
        for call in calls:
            self.end_standing(call, i.Outcome.CUT)
            self.end_notices.send(call.caller_stream, Release(call.ident, ReleaseCause.TEMPORARY_FAILURE))

    def record_cut_off(self, exchange: Exchange, cut: list[Call], why: str) -> None:
        """Record which calls are lost with their exchange; the record lists the ids of the first ones."""
        ids = " ".join(f"{call.ident:016x}" for call in cut[:MAX_LOGGED_CALL_IDS])
        silent_ms = (self.core.now - exchange.last_received_us) // 1000
        text = f"{why}, last message {silent_ms} ms ago: {len(cut)} standing calls ended: {ids}"
        self.core.record_event(TraceEvent.EXCHANGE_DEAD, exchange=exchange.ident, reason=text)

    def end_by_caller(self, call: Call, cause: int) -> None:
        """Give up a call, or release it at its exchange if it stands, on a release from its caller."""
        if call.standing_exchange is None:
            self.core.counters["callers_gave_up"] += 1
            self.core.record_event(TraceEvent.CALL_ABANDONED, call=call.ident, stream=call.caller_stream)
            self.abandon(call)
        else:
            exchange = self.exchanges.by_id[call.standing_exchange]
            self.end_standing(call, i.Outcome.CANCELLED)
            self.exchange_releases.send(exchange, Release(call.ident, cause))

    def add_inherited(self, call_id: int, exchange_id: int) -> None:
        """Enter a standing call of the predecessor. The decision module is not informed, since the number of free
        circuits that the exchanges report already excludes it."""
        if exchange_id in self.exchanges.by_id and call_id not in self.by_id and call_id not in self.ended:
            self.core.counters["calls_inherited"] += 1
            call = self.by_id[call_id] = Call(SetUp(call_id, "", 0, "", b""), 0, self.core.now)
            call.state = CALL.next_state(call.state, CallTransition.ANSWER)
            call.standing_exchange, call.standing_since_us, call.end_missed_since_us = (
                exchange_id,
                self.core.now,
                self.core.now,
            )
            self.exchanges.by_id[exchange_id].standing_calls.add(call_id)
            # Its release may be sent on the links of the predecessor, which are being closed.
            self.missed_ends.schedule_recovery_link(self.exchanges.by_id[exchange_id])
