"""Planted faults: small named changes to the running code, to see that the checker finds what it claims to find.

Each is planted in a process of its own and never taken back. Neither the explorer nor the properties know of their
names; a fault only says in which scope it is sought.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .. import interface as i
from .. import protocol as p
from ..brain import Controller
from ..session import (
    attempts,
    callers,
    calls,
    decision_module,
    end_notices,
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
    """A fault: what is changed, the scope in which it is sought, and how it is planted."""

    name: str
    about: str
    scope: str
    apply: Callable[[], None]


PLANTED_FAULTS: dict[str, PlantedFault] = {}
Method = Callable[..., Any]


def _planted_fault(scope: str, about: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    def enter(apply: Callable[[], None]) -> Callable[[], None]:
        name = apply.__name__.strip("_").replace("_", "-")
        PLANTED_FAULTS[name] = PlantedFault(name, about, scope, apply)
        return apply

    return enter


def _replace_method(owner: type, name: str, wrap: Callable[[Method], Method]) -> None:
    """Put something else in the place of a method; `make` is given the one that was there."""
    setattr(owner, name, wrap(getattr(owner, name)))


def plant(name: str) -> None:
    """Plant a fault in this process; KeyError if there is none of that name."""
    PLANTED_FAULTS[name].apply()


@_planted_fault("mini", "a time-out ends the attempt, and its give-up is not written")
def _give_up_not_written() -> None:
    _replace_method(attempts.Attempts, "timed_out", lambda _: lambda s, a: s.end(a, i.Outcome.TIMED_OUT))


@_planted_fault("mini", "an attempt's time-out is never noticed")
def _time_out_missed() -> None:
    def wrap(original: Method) -> Method:
        return lambda s, kind, what: None if kind is TimerKind.ATTEMPT else original(s, kind, what)

    _replace_method(reducer.Session, "_timer_due", wrap)


@_planted_fault("mini", "the module does not wait after an attempt that was reset")
def _pause_forgotten() -> None:
    def wrap(original: Method) -> Method:
        def route(self: Controller, call: Any) -> Any:
            call.not_before = 0
            return original(self, call)

        return route

    _replace_method(Controller, "_route", wrap)


@_planted_fault("mini", "the pause is counted from the sending, not from the end of the attempt")
def _pause_from_sending() -> None:
    def wrap(original: Method) -> Method:
        def changed(self: Controller, call: Any) -> Any:
            if call.not_before:
                call.not_before = call.sent_us + self.settings.release_us
            return original(self, call)

        return changed

    _replace_method(Controller, "_route", wrap)
    _replace_method(Controller, "_enqueue", wrap)


@_planted_fault("mini", "a reset told by the exchange is taken for an ordinary refusal")
def _reset_taken_for_refusal() -> None:
    exchanges.OUTCOME_BY_CAUSE[p.ReleaseCause.TEMPORARY_FAILURE] = i.Outcome.NO_LINE


@_planted_fault("mini", "a lost link is told as one that was never reached")
def _lost_link_harmless() -> None:
    def wrap(original: Method) -> Method:
        def end(self: Any, attempt: Any, outcome: i.Outcome, *more: Any, **named: Any) -> Any:
            changed = i.Outcome.UNREACHABLE if outcome is i.Outcome.CUT else outcome
            return original(self, attempt, changed, *more, **named)

        return end

    _replace_method(attempts.Attempts, "end", wrap)


@_planted_fault("connects", "a drain is seen as the attempt begins, and not as its bytes leave")
def _drain_seen_at_choice() -> None:
    def wrap(original: Method) -> Method:
        def leaves(self: Any, attempt: Any) -> Any:
            exchange = self.exchanges.by_id[attempt.link.exchange]
            state, exchange.state = exchange.state, i.ListState.READY
            try:
                return original(self, attempt)
            finally:
                exchange.state = state

        return leaves

    _replace_method(attempts.Attempts, "prepare_set_up", wrap)
    _replace_method(exchanges.Exchanges, "withdraw_queued_attempts", lambda _: lambda s, exchange: None)


@_planted_fault("list", "the list's word that an exchange is gone or drains is passed over")
def _drain_passed_over() -> None:
    def wrap(original: Method) -> Method:
        def told(self: Any, update: Any) -> Any:
            ready = [k for k in update.records if k.entry.state is i.ListState.READY]
            return original(self, p.ListUpdate(update.number, update.kind, tuple(ready)))

        return told

    _replace_method(exchanges.Exchanges, "apply_list_update", wrap)


@_planted_fault("rude", "a set-up under an id that has had its answer is taken as a new call")
def _answered_id_taken() -> None:
    def wrap(original: Method) -> Method:
        def asked(self: Any, caller: Any, message: Any, waited_us: int) -> Any:
            self.calls.ended.pop(message.call, None)
            return original(self, caller, message, waited_us)

        return asked

    _replace_method(callers.Callers, "take_set_up", wrap)


@_planted_fault("mini", "a refused call stays in the table and is failed once more at its deadline")
def _refused_call_kept() -> None:
    def wrap(original: Method) -> Method:
        def forget(self: Any, call: Any, answered: bool = False) -> Any:
            return None if answered else original(self, call, answered)

        return forget

    _replace_method(calls.Calls, "forget", wrap)


@_planted_fault("mini", "timers are not withdrawn with what they are about")
def _timer_outlives() -> None:
    _replace_method(timers.Timers, "cancel", lambda _: staticmethod(lambda timer: None))


@_planted_fault("writes", "a release that was being written as its connection closed is not sent on another")
def _release_lost_with_connection() -> None:
    _replace_method(writing.Writing, "undelivered_releases", lambda _: lambda s, stream: [])


@_planted_fault("rude", "a release that finds no caller's connection is dropped")
def _release_not_kept() -> None:
    def wrap(original: Method) -> Method:
        def release(self: Any, preferred: int, message: Any) -> Any:
            return original(self, preferred, message) if self.callers.by_stream else None

        return release

    _replace_method(end_notices.EndNotices, "send", wrap)


@_planted_fault("mini", "the module's timers are not set, and an overdue call is not failed")
def _waits_for_ever() -> None:
    def wrap(original: Method) -> Method:
        def put(self: Any, delay_us: int, kind: TimerKind, what: object = None) -> Any:
            far = kind in (TimerKind.DECISION_MODULE, TimerKind.DEADLINE)
            return original(self, delay_us + (10_000_000 if far else 0), kind, what)

        return put

    _replace_method(timers.Timers, "set", wrap)


@_planted_fault("tries", "the module counts no attempt as the last")
def _attempts_not_counted() -> None:
    _replace_method(Controller, "_attempts_used_up", lambda _: lambda s, call: False)


@_planted_fault("two", "a refusal is held back until the caller's wait is nearly over")
def _refusal_held_back() -> None:
    def wrap(original: Method) -> Method:
        def final(self: Any, ident: int, message: Any) -> Any:
            if getattr(message, "cause", 0) == p.ReleaseCause.CONGESTION:
                return None
            return original(self, ident, message)

        return final

    _replace_method(calls.Calls, "send_final_answer", wrap)


@_planted_fault("mini", "the number called is passed on changed")
def _number_changed() -> None:
    def wrap(original: Method) -> Method:
        def leaves(self: Any, attempt: Any) -> Any:
            m = original(self, attempt)
            return m and p.SetUp(m.call, m.class_name, m.wait_ms, m.called[::-1], m.description)

        return leaves

    _replace_method(attempts.Attempts, "prepare_set_up", wrap)


@_planted_fault("mini", "each attempt is promised the caller's whole wait")
def _whole_wait_promised() -> None:
    def wrap(original: Method) -> Method:
        def leaves(self: Any, attempt: Any) -> Any:
            m = original(self, attempt)
            whole = attempt.call.set_up.wait_ms
            return m and p.SetUp(m.call, m.class_name, whole, m.called, m.description)

        return leaves

    _replace_method(attempts.Attempts, "prepare_set_up", wrap)


def _any_link() -> None:
    def wrap(original: Method) -> Method:
        def message_received(self: Any, link: Any, message: Any) -> Any:
            call = self.calls.by_id.get(message.call)
            if call is not None and call.attempt is not None and call.attempt.sent:
                link = call.attempt.link
            return original(self, link, message)

        return message_received

    _replace_method(exchanges.Exchanges, "message_received", wrap)


@_planted_fault("strays", "a word on any link counts for the attempt that is out")
def _word_on_any_link() -> None:
    _any_link()


@_planted_fault("strays", "an answer that no attempt waits for is passed on if its call is open")
def _late_answer_passed_on() -> None:
    def wrap(original: Method) -> Method:
        def answer_received(self: Any, exchange: Any, link: Any, answer: Any, attempt: Any) -> Any:
            if attempt is None and answer.call in self.calls.by_id:
                self.calls.send_final_answer(answer.call, p.Answer(answer.call, answer.description))
                return None
            return original(self, exchange, link, answer, attempt)

        return answer_received

    _replace_method(exchanges.Exchanges, "answer_received", wrap)


@_planted_fault("mini", "a caller that gives up is forgotten without a word to the exchange")
def _cancel_not_told() -> None:
    def wrap(original: Method) -> Method:
        def leave(self: Any, call: Any) -> Any:
            queue, self.writing.queue = self.writing.queue, lambda *_: None
            try:
                return original(self, call)
            finally:
                self.writing.queue = queue

        return leave

    _replace_method(calls.Calls, "abandon", wrap)


@_planted_fault("mini", "the calls of a connection that closes are not given up")
def _hang_up_passed_over() -> None:
    def wrap(original: Method) -> Method:
        def lose(self: Any, caller: Any) -> Any:
            caller.unanswered = set()
            return original(self, caller)

        return lose

    _replace_method(callers.Callers, "lose", wrap)


@_planted_fault("mini", "a standing call that its caller ends is not released at its exchange")
def _end_not_passed_on() -> None:
    _replace_method(exchanges.Exchanges, "send_release", lambda _: lambda s, exchange, message: None)


@_planted_fault("list", "calls that stood at an exchange that has gone are ended without a word to their callers")
def _cut_not_told() -> None:
    def wrap(original: Method) -> Method:
        def cut(self: Any, *what: Any) -> Any:
            release, self.end_notices.send = self.end_notices.send, lambda *_: None
            try:
                return original(self, *what)
            finally:
                self.end_notices.send = release

        return cut

    _replace_method(calls.Calls, "cut_off", wrap)


@_planted_fault("settings", "a drain closes connections though calls wait on them")
def _drain_closes_busy() -> None:
    def wrap(original: Method) -> Method:
        def close_drained(self: Any) -> Any:
            for caller in self.callers.by_stream.values():
                self.core.effects.append(Close(caller.ident))
            return original(self)

        return close_drained

    _replace_method(phases.Phases, "close_drained", wrap)


@_planted_fault("operators", "after SIGTERM the program ends though calls are open")
def _ends_too_soon() -> None:
    _replace_method(phases.Phases, "close_for_exit", lambda _: lambda s: s.core.now > s.sigterm_us)


@_planted_fault("operators", "after SIGTERM the program waits for ever")
def _never_ends() -> None:
    _replace_method(phases.Phases, "is_work_done", lambda _: lambda s: False)


@_planted_fault("operators", "a process that ends does not tell its successor which calls stand")
def _nothing_bequeathed() -> None:
    def wrap(original: Method) -> Method:
        def advance(self: Any) -> Any:
            original(self)
            self.core.effects[:] = [e for e in self.core.effects if type(e).__name__ != "HandOverCalls"]

        return advance

    _replace_method(phases.Phases, "advance", wrap)


@_planted_fault("mini", "links are opened to the port beside the one that is listed")
def _wrong_address() -> None:
    def wrap(original: Method) -> Method:
        def connect(self: Any, exchange: Any, slot: int) -> Any:
            right = exchange.address
            exchange.address = (right[0], right[1] + 1)
            try:
                return original(self, exchange, slot)
            finally:
                exchange.address = right

        return connect

    _replace_method(links.Links, "connect", wrap)


@_planted_fault("writes", "an attempt is ended again when its give-up is through")
def _ended_twice() -> None:
    def wrap(original: Method) -> Method:
        def wrote(self: Any, ident: int) -> Any:
            stream = self.links.by_stream.get(ident)
            due = [x.attempt for x in stream.in_flight if hasattr(x, "attempt")] if stream else []
            original(self, ident)
            for attempt in due:
                self.attempts.detach(attempt)

        return wrote

    _replace_method(writing.Writing, "write_completed", wrap)


@_planted_fault("mini", "what is owed on a connection is not struck off as a call is forgotten")
def _owed_not_struck_off() -> None:
    def wrap(original: Method) -> Method:
        def forget(self: Any, call: Any, answered: bool = False) -> Any:
            owed = self.callers.by_stream.pop(call.caller_stream, None)
            try:
                return original(self, call, answered)
            finally:
                if owed is not None:
                    self.callers.by_stream[call.caller_stream] = owed

        return forget

    _replace_method(calls.Calls, "forget", wrap)


@_planted_fault("mini", "the module is not told that a caller has left")
def _module_not_told() -> None:
    def wrap(original: Method) -> Method:
        return lambda s, event: None if isinstance(event, i.CallerLeft) else original(s, event)

    _replace_method(decision_module.DecisionModule, "decide", wrap)


@_planted_fault("calls", "final answers go to the connection that spoke last")
def _answer_to_another() -> None:
    def wrap(original: Method) -> Method:
        def final(self: Any, ident: int, message: Any) -> Any:
            if (call := self.by_id.get(ident)) is not None and call.standing_exchange is None:
                call.caller_stream = max(self.callers.by_stream, default=call.caller_stream)
            return original(self, ident, message)

        return final

    _replace_method(calls.Calls, "send_final_answer", wrap)


@_planted_fault("list", "an exchange that drains is taken for one that is ready")
def _drain_taken_for_ready() -> None:
    def wrap(original: Method) -> Method:
        def told(self: Any, update: Any) -> Any:
            for listed in update.records:
                if listed.entry.state is i.ListState.DRAINING:
                    listed.entry.state = i.ListState.READY
            return original(self, update)

        return told

    _replace_method(exchanges.Exchanges, "apply_list_update", wrap)


@_planted_fault("mini", "an answer is passed on twice")
def _answered_twice() -> None:
    def wrap(original: Method) -> Method:
        def final(self: Any, ident: int, message: Any) -> Any:
            call = self.by_id.get(ident)
            owed = call is not None and call.standing_exchange is None
            original(self, ident, message)
            if owed and isinstance(message, p.Answer):
                self.writing.queue(self.callers.by_stream[call.caller_stream], message)

        return final

    _replace_method(calls.Calls, "send_final_answer", wrap)


@_planted_fault("strays", "a refusal on any link ends the attempt that is out")
def _refusal_on_any_link() -> None:
    def wrap(original: Method) -> Method:
        def message_received(self: Any, link: Any, message: Any) -> Any:
            call = self.calls.by_id.get(message.call)
            refusal = isinstance(message, p.Release)
            if refusal and call is not None and call.attempt is not None and call.attempt.sent:
                link = call.attempt.link
            return original(self, link, message)

        return message_received

    _replace_method(exchanges.Exchanges, "message_received", wrap)
