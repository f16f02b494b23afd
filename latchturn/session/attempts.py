"""Attempts, from the word of the module to their end. The one place where an attempt ends is `end`."""

from __future__ import annotations

from .. import interface as i
from ..protocol import SetUp
from .component import Component
from .limits import GIVE_UP_TIMEOUT_US, MAX_LINKS_PER_EXCHANGE, MAX_UNANSWERED_TIMEOUTS, UNRESPONSIVE_US
from .machines import ATTEMPT, AttemptTransition
from .state import Attempt, Call, Exchange, PendingGiveUp
from .timers import TimerKind
from .trace import TraceEvent


class Attempts(Component):
    """Attempts, from the word of the module to their end. The one place where an attempt ends is `end`."""

    def begin(self, action: i.SendSetup) -> None:
        call = self.calls.by_id.get(action.call)
        if call is None or call.standing_exchange is not None or call.attempt is not None:
            raise RuntimeError("the module sent a set-up for a call that may have none")
        exchange = self.exchanges.by_id.get(action.exchange)
        number = call.attempt_count
        call.attempt_count += 1
        slot = None if exchange is None else self.free_slot(exchange, call)
        if exchange is None or slot is None or exchange.state is not i.ListState.READY:
            self.core.events.append(i.AttemptEnded(call.ident, number, action.exchange, i.Outcome.NOT_SENT, 0, False))
            return
        call.used_slots.add((exchange.ident, slot))
        link = exchange.links.get(slot) or self.links.connect(exchange, slot)
        timeout = action.timeout_us or call.deadline_us - self.core.now
        due = min(self.core.now + timeout, call.deadline_us)
        call.attempt = Attempt(call, number, link, self.core.now, due)
        link.attempts.add(call.attempt)
        self.core.counters["attempts"] += 1
        call.attempt.timer = self.timers.set(due - self.core.now, TimerKind.ATTEMPT, call.attempt)
        self.writing.queue(link, call.attempt)

    @staticmethod
    def free_slot(exchange: Exchange, call: Call) -> int | None:
        """The link for an attempt: one of its own among the call's attempts at an exchange, since the id is
        the same on each and a late answer to an earlier one could not be told from its own. Links that are
        half read come last, since what is behind a spoilt message is lost, and so do those on which the last attempt
        timed out unheard."""
        free = [k for k in range(MAX_LINKS_PER_EXCHANGE) if (exchange.ident, k) not in call.used_slots]
        poor = {k for k, link in exchange.links.items() if link.partial_since_us or link.unanswered_timeouts}
        return next((k for k in free if k not in poor), free[0] if free else None)

    def timed_out(self, attempt: Attempt) -> None:
        if not attempt.sent:
            self.end(attempt, i.Outcome.UNREACHABLE)
            return
        attempt.state = ATTEMPT.next_state(attempt.state, AttemptTransition.TIME_OUT)
        link = attempt.link
        link.unanswered_timeouts = link.unanswered_timeouts + 1 if link.last_received_us < attempt.sent_us else 0
        others = [
            k.last_received_us for k in self.exchanges.by_id[link.exchange_id].links.values() if k is not link and k.up
        ]
        if link.unanswered_timeouts and self.is_unresponsive(attempt, others):
            self.links.drop_unresponsive(link)
            return
        if link.unanswered_timeouts:
            self.liveness.probe_after_timeout(self.exchanges.by_id[link.exchange_id])
        # The give-up leaves before the module hears of the time-out, so that no two attempts are ever out.
        self.writing.queue(attempt.link, PendingGiveUp(attempt))
        attempt.timer = self.timers.set(GIVE_UP_TIMEOUT_US, TimerKind.GIVE_UP, attempt)

    def is_unresponsive(self, attempt: Attempt, others_heard_us: list[int]) -> bool:
        """Whether a link on which nothing has been heard since an attempt left is of no use any more: others have
        heard something, or there are none and no call needs it."""
        if self.liveness.is_last_proof_link(attempt.link):
            return False
        if others_heard_us:
            return max(others_heard_us) > attempt.sent_us + UNRESPONSIVE_US
        return attempt.link.unanswered_timeouts >= MAX_UNANSWERED_TIMEOUTS

    def end(
        self,
        attempt: Attempt,
        outcome: i.Outcome,
        concluded: bool = False,
        cause: i.Cause = i.Cause.NONE,
        report: i.LoadReport | None = None,
    ) -> None:
        """It came to nothing: the module hears how."""
        call = attempt.call
        self.detach(attempt)
        self.core.counters[f"attempts_{outcome.name.lower()}"] += 1
        self.core.record(
            TraceEvent.ATTEMPT_ENDED, call=call.ident, exchange=attempt.link.exchange_id,
            stream=attempt.link.ident, reason=outcome.name,
        )  # fmt: skip
        self.core.events.append(
            i.AttemptEnded(
                call.ident, attempt.number, attempt.link.exchange_id, outcome,
                self.core.now - attempt.started_us, concluded, cause, 0, report,
            )
        )  # fmt: skip

    def detach(self, attempt: Attempt) -> None:
        """Its link, its timer and its place in the call are free again."""
        attempt.state = ATTEMPT.next_state(attempt.state, AttemptTransition.END)
        attempt.link.attempts.discard(attempt)
        self.timers.cancel(attempt.timer)
        attempt.call.attempt = None

    def prepare_set_up(self, attempt: Attempt) -> SetUp | None:
        """The set-up of an attempt as its bytes leave, if it still may."""
        call = attempt.call
        if call.attempt is not attempt or self.core.now >= attempt.due_us:
            return None
        if self.exchanges.by_id[attempt.link.exchange_id].state is not i.ListState.READY:
            self.end(attempt, i.Outcome.NOT_SENT)
            return None
        attempt.state = ATTEMPT.next_state(attempt.state, AttemptTransition.LEAVE)
        attempt.sent_us = self.core.now
        self.core.record(
            TraceEvent.ATTEMPT_SENT, call=call.ident, exchange=attempt.link.exchange_id, stream=attempt.link.ident
        )
        wait_ms = max(1, (attempt.due_us - self.core.now) // 1000)
        old = call.set_up
        return SetUp(old.call, old.class_name, wait_ms, old.called, old.description)
