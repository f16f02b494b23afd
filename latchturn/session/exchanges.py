"""The exchanges as the list has them, and what they say on their links."""

from __future__ import annotations

from collections.abc import Mapping

from .. import interface as i
from ..benchlink import REPORT_FIELDS, read_report
from ..protocol import (
    Answer,
    GroupState,
    HealthCheck,
    HealthCheckResult,
    ListUpdate,
    Message,
    Progress,
    Release,
    ReleaseCause,
    ReleaseConfirmed,
    contains_message_header,
)
from .component import Component
from .limits import EXCHANGE_RELEASE_TTL_US, GROUP_STATE_SPREAD_US
from .machines import CALL, AttemptState, CallTransition
from .state import Attempt, Call, Exchange, Link, ReceivedGroupState
from .trace import CloseReason, TraceEvent

CAUSE_BY_NOTE = {
    "no_circuit": i.Cause.NO_CIRCUIT,
    "turned_back": i.Cause.REFUSED_BY_TANDEM,
    "far_overload": i.Cause.DESTINATION_PROCESSOR_FULL,
    "overload": i.Cause.PROCESSOR_FULL,
    "lines_busy": i.Cause.NUMBER_BUSY,
}
# Causes that end a standing call. Any other is the late copy of a refusal and ends nothing.
CAUSES_OF_END = (ReleaseCause.NORMAL, ReleaseCause.TEMPORARY_FAILURE)
OUTCOME_BY_CAUSE = {  # of a release before the answer
    ReleaseCause.NO_CIRCUIT: i.Outcome.TURNED_AWAY,
    ReleaseCause.TIMER_EXPIRY: i.Outcome.NOT_SENT,
    ReleaseCause.TEMPORARY_FAILURE: i.Outcome.CUT,
    ReleaseCause.NORMAL: i.Outcome.CANCELLED,
}


class Exchanges(Component):
    """The exchanges as the list has them, and what they say on their links."""

    def __init__(self) -> None:
        self.by_id: dict[int, Exchange] = {}

    def apply_list_update(self, update: ListUpdate) -> None:
        # An event may come twice, the whole list of the start among them: only what is new counts.
        if update.kind is None or update.number <= self.channel.cursor:
            return
        self.channel.cursor = max(self.channel.cursor, update.number)
        named = {listed.entry.exchange for listed in update.records}
        told: list[i.ListEntry] = []  # to the module
        for listed in update.records:
            entry = listed.entry
            known = self.by_id.get(entry.exchange)
            if known is None:
                if entry.state is i.ListState.GONE:
                    continue
                # Guards against calls that would reach a new exchange under the id of the one that was there.
                for other in self.by_id.values():
                    if other.address == listed.address and other.ident not in named:
                        other.state = i.ListState.GONE
                        told.append(i.ListEntry(other.ident, other.number, other.state, other.started_us))
                known = self.by_id[entry.exchange] = Exchange(
                    entry.exchange, entry.number, entry.state, entry.started_us, listed.address,
                    last_received_us=self.core.now,
                    last_alive_us=self.core.now,
                )  # fmt: skip
            told.append(entry)
            self.core.record(TraceEvent.EXCHANGE_LISTED, exchange=entry.exchange, reason=entry.state.name)
            if entry.started_us > known.started_us:
                self.calls.cut_off(known, entry.started_us, "has started anew")
            known.state, known.started_us = entry.state, entry.started_us
            if entry.state is i.ListState.READY:
                known.refusing_since_us = 0
            elif entry.state is i.ListState.DRAINING:
                self.withdraw_queued_attempts(known)
            if listed.address != known.address:
                known.address = listed.address
                for link in list(known.links.values()):
                    self.writing.drop(link, CloseReason.ADDRESS_CHANGED)
        if update.kind is i.ListKind.FULL:
            for known in self.by_id.values():
                if known.ident not in named:
                    known.state = i.ListState.GONE
        self.core.counters["list_updates"] += 1
        self.core.events.append(i.ExchangeList(update.kind, told))
        for exchange in list(self.by_id.values()):
            if exchange.state is i.ListState.GONE:
                self.calls.cut_off(exchange, self.core.now + 1, "is gone")
                for link in list(exchange.links.values()):
                    self.writing.drop(link, CloseReason.EXCHANGE_GONE)
                # Guards the memory and the descriptors kept for exchanges: on long days they come and go.
                del self.by_id[exchange.ident]
            else:
                self.links.ensure_kept_links(exchange)

    def withdraw_queued_attempts(self, exchange: Exchange) -> None:
        """Guards calls that would wait for a link to come up to an exchange that takes nothing new: what has
        not begun to leave is not sent."""
        for link in exchange.links.values():
            queued = [a for a in link.attempts if a.state is AttemptState.QUEUED]
            for attempt in sorted(queued, key=lambda a: a.call.ident):
                self.attempts.end(attempt, i.Outcome.NOT_SENT)

    def is_usable(self, exchange: Exchange) -> bool:
        own = self.classes.settings.topology is i.Topology.MESH and exchange.number == self.classes.settings.own_number
        return exchange.state is not i.ListState.GONE and not own

    def send_release(self, exchange: Exchange, release: Release) -> None:
        """Send the release of a call that stood on any open link, or keep it for the next one."""
        # Guards against a write that is stuck: a link with nothing under way comes first.
        up = [k for k in exchange.links.values() if k.up]
        link = min(up, key=lambda k: bool(k.in_flight), default=None)
        if link is not None:
            self.writing.queue(link, release)
        elif exchange.state is not i.ListState.GONE:
            exchange.unsent_releases.append((self.core.now + EXCHANGE_RELEASE_TTL_US, release))

    def message_received(self, link: Link, message: Message) -> None:
        exchange = self.by_id[link.exchange_id]
        exchange.consecutive_failures = 0
        self.liveness.message_received(exchange, link)
        link.partial_since_us = link.partial_since_us and self.core.now
        link.last_received_us, link.group_state_missing_since_us, link.unanswered_timeouts = self.core.now, 0, 0
        is_first_message = not link.first_received_us
        if is_first_message:
            link.first_received_us = self.core.now
            self.missed_ends.first_message_received(exchange, link)
        call = self.calls.by_id.get(message.call)
        attempt = call.attempt if call is not None else None
        if attempt is not None and (attempt.link is not link or attempt.giving_up or not attempt.sent):
            attempt = None
        if isinstance(message, Answer) and self.is_truncated_answer(exchange, link, message):
            self.core.counters["garbled"] += 1
            self.writing.input_ended(link.ident, CloseReason.GARBLED)
        elif isinstance(message, Answer):
            self.answer_received(exchange, link, message, attempt)
        elif isinstance(message, Release):
            self.release_received(exchange, link, message, attempt)
        elif isinstance(message, GroupState):
            exchange.sends_group_states = True
            if not self.is_repeated_group_state(exchange, link, message.report):
                self.pass_on_report(exchange, message.report)
                if not is_first_message:
                    self.links.expect_on_other_links(exchange, link)
        elif isinstance(message, ReleaseConfirmed):
            link.unconfirmed.pop(message.call, None)
        elif isinstance(message, HealthCheck):
            self.writing.queue(link, HealthCheckResult(message.call, True))
        elif not isinstance(message, Progress):
            # No exchange sends it: a message came spoilt, and what is behind it is lost.
            self.core.counters["garbled"] += 1
            self.writing.input_ended(link.ident, CloseReason.GARBLED)

    @staticmethod
    def is_truncated_answer(exchange: Exchange, link: Link, answer: Answer) -> bool:
        """Whether an answer stopped short and goes on with the message behind it.

        Guards against passing on a description that no exchange made: with the answer spoilt, its attempt ends as cut.
        """
        calls = {answer.call, *exchange.standing_calls, *(attempt.call.ident for attempt in link.attempts)}
        return contains_message_header(answer.description, calls)

    def is_repeated_group_state(self, exchange: Exchange, link: Link, figures: Mapping[str, float]) -> bool:
        """Whether a group state has been heard on another link already: it comes on each that is open.

        Guards against circuits that are counted as free once more, after a call has been sent to them.
        """
        told = exchange.recent_group_states
        while told and told[0].received_us < self.core.now - GROUP_STATE_SPREAD_US:
            told.popleft()
        for state in told:
            if link.ident not in state.links and state.figures == figures:
                state.links.add(link.ident)
                self.core.counters["group_states_copied"] += 1
                return True
        told.append(ReceivedGroupState(self.core.now, figures, {link.ident}))
        return False

    def pass_on_report(self, exchange: Exchange, figures: Mapping[str, float]) -> None:
        self.core.events.append(i.ExchangeReport(exchange.ident, True, False, 0, _load_report(figures)))

    def answer_received(self, exchange: Exchange, link: Link, answer: Answer, attempt: Attempt | None) -> None:
        if attempt is None:
            # An answer to an attempt that was given up is released, not passed on. Where the same call has
            # an attempt out or stands at this exchange, the give-up alone does that: a release would end it.
            self.core.counters["late_answers"] += 1
            call = self.calls.by_id.get(answer.call)
            at = None
            if call is not None:
                at = call.attempt.link.exchange_id if call.attempt is not None else call.standing_exchange
            if at != exchange.ident:
                self.writing.queue(link, Release(answer.call, ReleaseCause.NORMAL))
            return
        call = attempt.call
        self.attempts.detach(attempt)
        self.core.counters["attempts_answered"] += 1
        self.core.record(TraceEvent.CALL_ANSWERED, call=call.ident, exchange=exchange.ident, stream=call.caller_stream)
        self.calls.send_final_answer(call.ident, Answer(call.ident, answer.description))
        call.state = CALL.next_state(call.state, CallTransition.ANSWER)
        call.standing_exchange, call.standing_since_us, call.answer_link = exchange.ident, self.core.now, link.ident
        self.calls.release_maybe_standing(call)
        exchange.standing_calls.add(call.ident)
        self.core.events.append(
            i.CallAnswered(call.ident, attempt.number, exchange.ident, self.core.now - attempt.started_us)
        )
        if answer.report is not None:
            self.pass_on_report(exchange, answer.report)

    def at_address(self, address: tuple[str, int]) -> list[Exchange]:
        """The exchanges of an address: one, but while the list holds one that has gone beside its successor."""
        return [exchange for exchange in self.by_id.values() if exchange.address == address]

    def may_hold_call(self, exchange: Exchange, call: Call) -> bool:
        """Whether a call stands at an exchange, or at another of the same address.

        Guards against ends told on the links of an exchange that has gone, where another has its address and the list
        still holds both: their links lead to one process, which takes any for its own.
        """
        if call.standing_exchange is None or call.standing_exchange == exchange.ident:
            return call.standing_exchange is not None
        return self.by_id[call.standing_exchange].address == exchange.address

    def release_received(self, exchange: Exchange, link: Link, release: Release, attempt: Attempt | None) -> None:
        report = None if release.report is None else _load_report(release.report)
        call = self.calls.by_id.get(release.call)
        if attempt is not None:
            outcome = OUTCOME_BY_CAUSE.get(release.cause, i.Outcome.NO_LINE)  # type: ignore[call-overload]
            self.attempts.end(attempt, outcome, cause=CAUSE_BY_NOTE.get(release.note, i.Cause.NONE), report=report)
        elif call is not None and self.may_hold_call(exchange, call) and release.cause in CAUSES_OF_END:
            self.liveness.end_received(exchange, call)
            over = release.cause == ReleaseCause.NORMAL
            self.calls.end_standing(call, i.Outcome.RELEASED if over else i.Outcome.CUT, report)
            self.end_notices.send(call.caller_stream, Release(call.ident, release.cause))
            self.writing.queue(link, ReleaseConfirmed(call.ident))
        else:
            if report is not None:
                self.core.events.append(i.ExchangeReport(exchange.ident, True, False, 0, report))
            self.core.counters["late_messages"] += 1
            if call is None and release.call not in self.calls.ended and release.cause in CAUSES_OF_END:
                # The call stood before this program was started anew; its caller still has to hear.
                self.calls.remember_ended(release.call, True, True)
                self.end_notices.send(0, Release(release.call, release.cause))


def _load_report(figures: Mapping[str, float]) -> i.LoadReport:
    return read_report((REPORT_FIELDS.get(name), value) for name, value in figures.items())
