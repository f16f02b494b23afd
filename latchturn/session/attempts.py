"""Attempts, from the decision module's `SendSetup` to their end.

`Attempts.end` is the only place where an attempt ends without an answer; `Attempts.detach` frees it in either case.
"""

from __future__ import annotations

from .. import interface as i
from ..protocol import SetUp
from .component import Component
from .descriptors import Displace
from .limits import GIVE_UP_TIMEOUT_US, MAX_LINKS_PER_EXCHANGE, MAX_UNANSWERED_TIMEOUTS, UNRESPONSIVE_US
from .machines import ATTEMPT, AttemptState, AttemptTransition
from .state import Attempt, Call, Exchange, Link, PendingGiveUp
from .timers import TimerKind
from .trace import TraceEvent


class Attempts(Component):
    """Starts, times out and ends attempts. They are kept in their calls and links."""

    def begin(self, action: i.SendSetup) -> None:
        """Start an attempt and queue its set-up on a link; report `NOT_SENT` at once if no link can take it."""
        call = self.calls.by_id.get(action.call)
        if call is None or call.standing_exchange is not None or call.attempt is not None:
            raise RuntimeError("the decision module sent a set-up for a call that has ended, stands or has an attempt")
        exchange = self.exchanges.by_id.get(action.exchange)
        number = call.attempt_count
        call.attempt_count += 1
        is_ready = exchange is not None and exchange.state is i.ListState.READY
        link = self.link_for(exchange, call) if exchange is not None and is_ready else None
        if link is None:
            self.core.events.append(i.AttemptEnded(call.ident, number, action.exchange, i.Outcome.NOT_SENT, 0, False))
            return
        call.used_slots.add((link.exchange_id, link.slot))
        timeout_us = action.timeout_us or call.deadline_us - self.core.now
        due_us = min(self.core.now + timeout_us, call.deadline_us)
        call.attempt = Attempt(call, number, link, self.core.now, due_us)
        link.attempts.add(call.attempt)
        link.last_used_us = self.core.now
        self.core.counters["attempts"] += 1
        call.attempt.timer = self.timers.set(due_us - self.core.now, TimerKind.ATTEMPT, call.attempt)
        self.writing.queue(link, call.attempt)

    def link_for(self, exchange: Exchange, call: Call) -> Link | None:
        """The link for an attempt, opened if necessary; None if no slot is left for the call or no descriptor.

        Another link is closed for it only if no link that can take the attempt is open.
        """
        slots = self.free_slots(exchange, call)
        for displace in (Displace.NONE, Displace.ANY):
            for slot in slots:
                link = exchange.links.get(slot) or self.links.connect_if_room(exchange, slot, displace)
                if link is not None:
                    return link
        return None

    @staticmethod
    def free_slots(exchange: Exchange, call: Call) -> list[int]:
        """The slots of the links that an attempt may use, the best one first.

        Each attempt of a call at an exchange uses another link: all have the id of the call, so a late answer to an
        earlier one could not be told from the answer to this one. Two kinds of links come last: those with a partial
        message, since messages behind a truncated one are lost, and those on which no message was received while the
        last attempt timed out.
        """
        free = [k for k in range(MAX_LINKS_PER_EXCHANGE) if (exchange.ident, k) not in call.used_slots]
        avoided = {k for k, link in exchange.links.items() if link.partial_since_us or link.unanswered_timeouts}
        return sorted(free, key=lambda slot: slot in avoided)

    def timed_out(self, attempt: Attempt) -> None:
        """End an attempt that was never sent, else queue its give-up, or close its link if that is unresponsive."""
        if not attempt.sent:
            self.end(attempt, i.Outcome.UNREACHABLE)
            return
        link = attempt.link
        if link.held_answer is not None and link.held_answer.call == attempt.call.ident:
            self.held_answers.release_without_evidence(link)
            if attempt.state is AttemptState.OVER:
                return
        attempt.state = ATTEMPT.next_state(attempt.state, AttemptTransition.TIME_OUT)
        link.unanswered_timeouts = link.unanswered_timeouts + 1 if link.last_received_us < attempt.sent_us else 0
        others_received_us = [
            k.last_received_us for k in self.exchanges.by_id[link.exchange_id].links.values() if k is not link and k.up
        ]
        if link.unanswered_timeouts and self.is_unresponsive(attempt, others_received_us):
            self.links.drop_unresponsive(link)
            return
        if link.unanswered_timeouts:
            self.liveness.probe_after_timeout(self.exchanges.by_id[link.exchange_id])
        # The time-out is reported only when the give-up is written, so that two attempts are never outstanding.
        self.writing.queue(attempt.link, PendingGiveUp(attempt))
        attempt.timer = self.timers.set(GIVE_UP_TIMEOUT_US, TimerKind.GIVE_UP, attempt)

    def is_unresponsive(self, attempt: Attempt, others_received_us: list[int]) -> bool:
        """Whether to close a link on which no message has been received since an attempt was sent.

        That is so if another link of the exchange has received one since, or without other links after
        `MAX_UNANSWERED_TIMEOUTS` such attempts; never if the link is the last to prove that standing calls still stand.
        """
        if self.liveness.is_last_proof_link(attempt.link):
            return False
        if others_received_us:
            return max(others_received_us) > attempt.sent_us + UNRESPONSIVE_US
        return attempt.link.unanswered_timeouts >= MAX_UNANSWERED_TIMEOUTS

    def end(
        self,
        attempt: Attempt,
        outcome: i.Outcome,
        concluded: bool = False,
        cause: i.Cause = i.Cause.NONE,
        report: i.LoadReport | None = None,
    ) -> None:
        """End an attempt without an answer and report how to the decision module."""
        call = attempt.call
        self.detach(attempt)
        self.core.counters[f"attempts_{outcome.name.lower()}"] += 1
        self.core.record_event(
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
        """Free the link, the timer and the call of an attempt that is answered or ends."""
        attempt.state = ATTEMPT.next_state(attempt.state, AttemptTransition.END)
        attempt.link.attempts.discard(attempt)
        attempt.link.last_used_us = self.core.now
        self.timers.cancel(attempt.timer)
        attempt.call.attempt = None

    def prepare_set_up(self, attempt: Attempt) -> SetUp | None:
        """The set-up to write for an attempt, None if the attempt has ended or must not be sent any more."""
        call = attempt.call
        if call.attempt is not attempt or self.core.now >= attempt.due_us:
            return None
        if self.exchanges.by_id[attempt.link.exchange_id].state is not i.ListState.READY:
            self.end(attempt, i.Outcome.NOT_SENT)
            return None
        attempt.state = ATTEMPT.next_state(attempt.state, AttemptTransition.LEAVE)
        attempt.sent_us = self.core.now
        self.core.record_event(
            TraceEvent.ATTEMPT_SENT, call=call.ident, exchange=attempt.link.exchange_id, stream=attempt.link.ident
        )
        wait_ms = max(1, (attempt.due_us - self.core.now) // 1000)
        original = call.set_up
        return SetUp(original.call, original.class_name, wait_ms, original.called, original.description)
