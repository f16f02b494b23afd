"""Planted faults: small named changes to the running code that show that the checker finds the faults it should find.

Each is planted in a process of its own and never removed. Neither the explorer nor the properties know the faults; a
fault only names the scope that is explored to find it. Its name is made from the name of the function that plants it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .. import boundaries
from .. import interface as i
from .. import protocol as p
from ..brain import Controller
from ..session import (
    attempts,
    callers,
    calls,
    decision_module,
    end_notices,
    exchange_releases,
    exchanges,
    links,
    phases,
    reducer,
    timers,
    writing,
)
from ..session.inputs_and_effects import Close
from ..session.timers import TimerKind


@dataclass(frozen=True)
class PlantedFault:
    """A fault: its description, the scope that is explored to find it, and the function that plants it."""

    name: str
    about: str
    scope: str
    apply: Callable[[], None]


PLANTED_FAULTS: dict[str, PlantedFault] = {}
Method = Callable[..., Any]


def _planted_fault(scope: str, about: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    """Add the decorated function to PLANTED_FAULTS."""

    def enter(apply: Callable[[], None]) -> Callable[[], None]:
        name = apply.__name__.strip("_").replace("_", "-")
        PLANTED_FAULTS[name] = PlantedFault(name, about, scope, apply)
        return apply

    return enter


def _replace_method(owner: type, name: str, wrap: Callable[[Method], Method]) -> None:
    """Replace a method by the result of `wrap`, which receives the original method."""
    setattr(owner, name, wrap(getattr(owner, name)))


def plant(name: str) -> None:
    """Plant a fault in this process. Raises KeyError for an unknown name."""
    PLANTED_FAULTS[name].apply()


@_planted_fault("mini", "a time-out ends the attempt, but its give-up is not written")
def _give_up_not_written() -> None:
    _replace_method(attempts.Attempts, "timed_out", lambda _: lambda s, a: s.end(a, i.Outcome.TIMED_OUT))


@_planted_fault("mini", "the time-out of an attempt is ignored")
def _time_out_missed() -> None:
    def wrap(original: Method) -> Method:
        return lambda s, kind, subject: None if kind is TimerKind.ATTEMPT else original(s, kind, subject)

    _replace_method(reducer.Session, "_timer_due", wrap)


@_planted_fault("mini", "the decision module does not pause after an attempt that was reset")
def _pause_forgotten() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Controller, call: Any) -> Any:
            call.not_before_us = 0
            return original(self, call)

        return replacement

    _replace_method(Controller, "_route", wrap)


@_planted_fault("mini", "the pause starts when the attempt is sent, not when it ends")
def _pause_from_sending() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Controller, call: Any) -> Any:
            if call.not_before_us:
                call.not_before_us = call.sent_us + self.settings.release_us
            return original(self, call)

        return replacement

    _replace_method(Controller, "_route", wrap)
    _replace_method(Controller, "_enqueue", wrap)


@_planted_fault("mini", "a reset reported by the exchange is treated as an ordinary refusal")
def _reset_taken_for_refusal() -> None:
    exchanges.OUTCOME_BY_CAUSE[p.ReleaseCause.TEMPORARY_FAILURE] = i.Outcome.NO_LINE


@_planted_fault("mini", "a lost link is reported as an exchange that was never reached")
def _lost_link_harmless() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, attempt: Any, outcome: i.Outcome, *more: Any, **named: Any) -> Any:
            changed = i.Outcome.UNREACHABLE if outcome is i.Outcome.CUT else outcome
            return original(self, attempt, changed, *more, **named)

        return replacement

    _replace_method(attempts.Attempts, "end", wrap)


@_planted_fault("connects", "a drain is checked when the attempt begins, but not when it is written")
def _drain_seen_at_choice() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, attempt: Any) -> Any:
            exchange = self.exchanges.by_id[attempt.link.exchange_id]
            state, exchange.state = exchange.state, i.ListState.READY
            try:
                return original(self, attempt)
            finally:
                exchange.state = state

        return replacement

    _replace_method(attempts.Attempts, "prepare_set_up", wrap)
    _replace_method(exchanges.Exchanges, "withdraw_queued_attempts", lambda _: lambda s, exchange: None)


@_planted_fault("list", "list updates that report an exchange as gone or draining are ignored")
def _drain_passed_over() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, update: Any) -> Any:
            ready = [k for k in update.records if k.entry.state is i.ListState.READY]
            return original(self, p.ListUpdate(update.number, update.kind, tuple(ready)))

        return replacement

    _replace_method(exchanges.Exchanges, "apply_list_update", wrap)


@_planted_fault("rude", "a set-up with the id of a call that has had its final answer is accepted as a new call")
def _answered_id_taken() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, caller: Any, message: Any, unread_us: int) -> Any:
            self.calls.ended.pop(message.call, None)
            return original(self, caller, message, unread_us)

        return replacement

    _replace_method(callers.Callers, "take_set_up", wrap)


@_planted_fault("mini", "a refused call stays in the table and is failed again at its deadline")
def _refused_call_kept() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, call: Any, answered: bool = False) -> Any:
            return None if answered else original(self, call, answered)

        return replacement

    _replace_method(calls.Calls, "forget", wrap)


@_planted_fault("mini", "timers are not withdrawn when their call or attempt ends")
def _timer_outlives() -> None:
    _replace_method(timers.Timers, "cancel", lambda _: staticmethod(lambda timer: None))


@_planted_fault("writes", "a release that was being written when its connection closed is not sent on another")
def _release_lost_with_connection() -> None:
    _replace_method(writing.Writing, "undelivered_releases", lambda _: lambda s, stream: [])


@_planted_fault("rude", "a release is dropped if no caller's connection is open")
def _release_not_kept() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, preferred: int, message: Any) -> Any:
            return original(self, preferred, message) if self.callers.by_stream else None

        return replacement

    _replace_method(end_notices.EndNotices, "send", wrap)


@_planted_fault("mini", "the timers of the decision module and the deadlines of calls run 10 s late")
def _waits_for_ever() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, delay_us: int, kind: TimerKind, subject: object = None) -> Any:
            postponed = kind in (TimerKind.DECISION_MODULE, TimerKind.DEADLINE)
            return original(self, delay_us + (10_000_000 if postponed else 0), kind, subject)

        return replacement

    _replace_method(timers.Timers, "set", wrap)


@_planted_fault("tries", "the decision module never considers the attempts used up")
def _attempts_not_counted() -> None:
    _replace_method(Controller, "_attempts_used_up", lambda _: lambda s, call: False)


@_planted_fault(
    "two", "a refusal for congestion is not sent, so the call fails only when its caller's wait is nearly over"
)
def _refusal_held_back() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, ident: int, message: Any) -> Any:
            if getattr(message, "cause", 0) == p.ReleaseCause.CONGESTION:
                return None
            return original(self, ident, message)

        return replacement

    _replace_method(calls.Calls, "send_final_answer", wrap)


@_planted_fault("mini", "the called number is changed in the forwarded set-up")
def _number_changed() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, attempt: Any) -> Any:
            m = original(self, attempt)
            return m and p.SetUp(m.call, m.class_name, m.wait_ms, m.called[::-1], m.description)

        return replacement

    _replace_method(attempts.Attempts, "prepare_set_up", wrap)


@_planted_fault("mini", "each attempt is sent with the full wait of the caller")
def _whole_wait_promised() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, attempt: Any) -> Any:
            m = original(self, attempt)
            full_wait_ms = attempt.call.set_up.wait_ms
            return m and p.SetUp(m.call, m.class_name, full_wait_ms, m.called, m.description)

        return replacement

    _replace_method(attempts.Attempts, "prepare_set_up", wrap)


def _any_link() -> None:
    """Attribute every message to the link of the call's outstanding attempt."""

    def wrap(original: Method) -> Method:
        def replacement(self: Any, link: Any, message: Any, end_certain: bool) -> Any:
            call = self.calls.by_id.get(message.call)
            if call is not None and call.attempt is not None and call.attempt.sent:
                link = call.attempt.link
            return original(self, link, message, end_certain)

        return replacement

    _replace_method(exchanges.Exchanges, "message_received", wrap)


@_planted_fault("strays", "a message on any link counts for the outstanding attempt")
def _word_on_any_link() -> None:
    _any_link()


@_planted_fault("strays", "an answer that no attempt waits for is forwarded if its call is open")
def _late_answer_passed_on() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, exchange: Any, link: Any, answer: Any) -> Any:
            if self.attempt_on(link, answer.call) is None and answer.call in self.calls.by_id:
                self.calls.send_final_answer(answer.call, p.Answer(answer.call, answer.description))
                return None
            return original(self, exchange, link, answer)

        return replacement

    _replace_method(exchanges.Exchanges, "answer_received", wrap)


@_planted_fault("mini", "no release is sent to the exchange when a caller gives up")
def _cancel_not_told() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, call: Any) -> Any:
            queue, self.writing.queue = self.writing.queue, lambda *_: None
            try:
                return original(self, call)
            finally:
                self.writing.queue = queue

        return replacement

    _replace_method(calls.Calls, "abandon", wrap)


@_planted_fault("mini", "the calls of a caller's connection that closes are not given up")
def _hang_up_passed_over() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, caller: Any) -> Any:
            caller.unanswered = set()
            return original(self, caller)

        return replacement

    _replace_method(callers.Callers, "remove", wrap)


@_planted_fault("mini", "a standing call that its caller ends is not released at its exchange")
def _end_not_passed_on() -> None:
    _replace_method(exchange_releases.ExchangeReleases, "send", lambda _: lambda s, exchange, message: None)


@_planted_fault("list", "no release is sent to callers when standing calls end because their exchange is gone")
def _cut_not_told() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, *arguments: Any) -> Any:
            release, self.end_notices.send = self.end_notices.send, lambda *_: None
            try:
                return original(self, *arguments)
            finally:
                self.end_notices.send = release

        return replacement

    _replace_method(calls.Calls, "cut_off", wrap)


@_planted_fault("settings", "a drain closes callers' connections although calls wait on them")
def _drain_closes_busy() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any) -> Any:
            for caller in self.callers.by_stream.values():
                self.core.effects.append(Close(caller.ident))
            return original(self)

        return replacement

    _replace_method(phases.Phases, "close_drained", wrap)


@_planted_fault("operators", "after SIGTERM the program exits although calls are open")
def _ends_too_soon() -> None:
    _replace_method(phases.Phases, "close_for_exit", lambda _: lambda s: s.core.now > s.sigterm_us)


@_planted_fault("operators", "after SIGTERM the program never exits")
def _never_ends() -> None:
    _replace_method(phases.Phases, "is_work_done", lambda _: lambda s: False)


@_planted_fault("operators", "a process that exits does not hand its standing calls over to its successor")
def _nothing_bequeathed() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any) -> Any:
            original(self)
            self.core.effects[:] = [e for e in self.core.effects if type(e).__name__ != "HandOverCalls"]

        return replacement

    _replace_method(phases.Phases, "advance", wrap)


@_planted_fault("mini", "links are opened to the port after the listed one")
def _wrong_address() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, exchange: Any, slot: int) -> Any:
            listed_address = exchange.address
            exchange.address = (listed_address[0], listed_address[1] + 1)
            try:
                return original(self, exchange, slot)
            finally:
                exchange.address = listed_address

        return replacement

    _replace_method(links.Links, "_connect", wrap)


@_planted_fault("writes", "an attempt is ended again when its give-up is written")
def _ended_twice() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, ident: int) -> Any:
            stream = self.links.by_stream.get(ident)
            written_attempts = [x.attempt for x in stream.in_flight if hasattr(x, "attempt")] if stream else []
            original(self, ident)
            for attempt in written_attempts:
                self.attempts.detach(attempt)

        return replacement

    _replace_method(writing.Writing, "write_completed", wrap)


@_planted_fault("mini", "a forgotten call stays among the unanswered calls of its connection")
def _owed_not_struck_off() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, call: Any, answered: bool = False) -> Any:
            connection = self.callers.by_stream.pop(call.caller_stream, None)
            try:
                return original(self, call, answered)
            finally:
                if connection is not None:
                    self.callers.by_stream[call.caller_stream] = connection

        return replacement

    _replace_method(calls.Calls, "forget", wrap)


@_planted_fault("mini", "the decision module is not notified that a caller has left")
def _module_not_told() -> None:
    def wrap(original: Method) -> Method:
        return lambda s, event: None if isinstance(event, i.CallerLeft) else original(s, event)

    _replace_method(decision_module.DecisionModule, "decide", wrap)


@_planted_fault("calls", "final answers are sent on the newest caller's connection")
def _answer_to_another() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, ident: int, message: Any) -> Any:
            if (call := self.by_id.get(ident)) is not None and call.standing_exchange is None:
                call.caller_stream = max(self.callers.by_stream, default=call.caller_stream)
            return original(self, ident, message)

        return replacement

    _replace_method(calls.Calls, "send_final_answer", wrap)


@_planted_fault("list", "a draining exchange is treated as ready")
def _drain_taken_for_ready() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, update: Any) -> Any:
            for record in update.records:
                if record.entry.state is i.ListState.DRAINING:
                    record.entry.state = i.ListState.READY
            return original(self, update)

        return replacement

    _replace_method(exchanges.Exchanges, "apply_list_update", wrap)


@_planted_fault("mini", "an answer is forwarded twice")
def _answered_twice() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, ident: int, message: Any) -> Any:
            call = self.by_id.get(ident)
            unanswered = call is not None and call.standing_exchange is None
            original(self, ident, message)
            if unanswered and isinstance(message, p.Answer):
                self.writing.queue(self.callers.by_stream[call.caller_stream], message)

        return replacement

    _replace_method(calls.Calls, "send_final_answer", wrap)


@_planted_fault("strays", "a refusal on any link ends the outstanding attempt")
def _refusal_on_any_link() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, link: Any, message: Any, end_certain: bool) -> Any:
            call = self.calls.by_id.get(message.call)
            refusal = isinstance(message, p.Release)
            if refusal and call is not None and call.attempt is not None and call.attempt.sent:
                link = call.attempt.link
            return original(self, link, message, end_certain)

        return replacement

    _replace_method(exchanges.Exchanges, "message_received", wrap)


@_planted_fault("truncated", "an answer is forwarded with the first bytes of the next message at its end")
def _next_message_in_answer() -> None:
    def wrap(original: Method) -> Method:
        def replacement(self: Any, raw: bytes, following: bytes, longest_bytes: int) -> Any:
            return boundaries.Boundary.CERTAIN

        return replacement

    _replace_method(boundaries.BoundaryCheck, "judge", wrap)
