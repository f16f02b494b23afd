"""Exchanges as the exchange list describes them, and the messages that they send on their links."""

from __future__ import annotations

from collections.abc import Mapping

from .. import interface as i
from ..benchlink import REPORT_FIELDS, read_report
from ..boundaries import contains_message_header
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
)
from .component import Component
from .limits import GROUP_STATE_SPREAD_US
from .machines import CALL, AttemptState, CallTransition
from .state import Attempt, Call, Exchange, Link, ReceivedGroupState
from .trace import CloseReason, TraceEvent

CAUSE_BY_NOTE = {  # the note in a refusal, and the cause that the decision module is given
    "no_circuit": i.Cause.NO_CIRCUIT,
    "turned_back": i.Cause.REFUSED_BY_TANDEM,
    "far_overload": i.Cause.DESTINATION_PROCESSOR_FULL,
    "overload": i.Cause.PROCESSOR_FULL,
    "lines_busy": i.Cause.NUMBER_BUSY,
}
# Release causes that end a standing call. A release with any other is a late copy of a refusal and ends nothing.
CAUSES_OF_END = (ReleaseCause.NORMAL, ReleaseCause.TEMPORARY_FAILURE)
OUTCOME_BY_CAUSE = {  # outcomes of attempts that an exchange releases before an answer; for all others NO_LINE
    ReleaseCause.NO_CIRCUIT: i.Outcome.TURNED_AWAY,
    ReleaseCause.TIMER_EXPIRY: i.Outcome.NOT_SENT,
    ReleaseCause.TEMPORARY_FAILURE: i.Outcome.CUT,
    ReleaseCause.NORMAL: i.Outcome.CANCELLED,
}


class Exchanges(Component):
    """The listed exchanges; applies list updates and handles the messages of exchanges."""

    def __init__(self) -> None:
        self.by_id: dict[int, Exchange] = {}

    def apply_list_update(self, update: ListUpdate) -> None:
        """Add, change and remove exchanges by an event of the command channel, and report it to the decision
        module."""
        # An event may arrive twice, the full list of the start included: only events after the cursor are new.
        if update.kind is None or update.number <= self.channel.cursor:
            return
        self.channel.cursor = max(self.channel.cursor, update.number)
        listed_ids = {list_record.entry.exchange for list_record in update.records}
        entries: list[i.ListEntry] = []  # for the decision module
        for list_record in update.records:
            entry = list_record.entry
            known = self.by_id.get(entry.exchange)
            if known is None:
                if entry.state is i.ListState.GONE:
                    continue
                # A new id at a known address replaces the exchange there. Without this, calls for the old id would be
                # sent to the new exchange.
                for other in self.by_id.values():
                    if other.address == list_record.address and other.ident not in listed_ids:
                        other.state = i.ListState.GONE
                        entries.append(i.ListEntry(other.ident, other.number, other.state, other.started_us))
                known = self.by_id[entry.exchange] = Exchange(
                    entry.exchange, entry.number, entry.state, entry.started_us, list_record.address,
                    last_received_us=self.core.now,
                    last_alive_us=self.core.now,
                )  # fmt: skip
            entries.append(entry)
            self.core.record_event(TraceEvent.EXCHANGE_LISTED, exchange=entry.exchange, reason=entry.state.name)
            if entry.started_us > known.started_us:
                self.calls.cut_off(known, entry.started_us, "has restarted")
                self.exchange_releases.clear(known)
            known.state, known.started_us = entry.state, entry.started_us
            if entry.state is i.ListState.READY:
                known.refusing_since_us = 0
            elif entry.state is i.ListState.DRAINING:
                self.withdraw_queued_attempts(known)
            if list_record.address != known.address:
                known.address = list_record.address
                for link in list(known.links.values()):
                    self.writing.drop(link, CloseReason.ADDRESS_CHANGED)
        if update.kind is i.ListKind.FULL:
            for known in self.by_id.values():
                if known.ident not in listed_ids:
                    known.state = i.ListState.GONE
        self.core.counters["list_updates"] += 1
        self.core.events.append(i.ExchangeList(update.kind, entries))
        for exchange in list(self.by_id.values()):
            if exchange.state is i.ListState.GONE:
                self.calls.cut_off(exchange, self.core.now + 1, "is gone from the list")
                for link in list(exchange.links.values()):
                    self.writing.drop(link, CloseReason.EXCHANGE_GONE)
                self.exchange_releases.clear(exchange)
                # Exchanges come and go in a long run: without this, their memory and descriptors would add up.
                del self.by_id[exchange.ident]
            else:
                self.links.ensure_kept_links(exchange)

    def withdraw_queued_attempts(self, exchange: Exchange) -> None:
        """End the attempts at a draining exchange of which no byte has been written, so that their calls need not wait
        for a link to an exchange that accepts no new calls."""
        for link in exchange.links.values():
            queued = [a for a in link.attempts if a.state is AttemptState.QUEUED]
            for attempt in sorted(queued, key=lambda a: a.call.ident):
                self.attempts.end(attempt, i.Outcome.NOT_SENT)

    def is_usable(self, exchange: Exchange) -> bool:
        """Whether links to an exchange may be kept: it is listed, and not this controller's own one in a mesh."""
        own = self.classes.settings.topology is i.Topology.MESH and exchange.number == self.classes.settings.own_number
        return exchange.state is not i.ListState.GONE and not own

    def message_received(self, link: Link, message: Message, end_certain: bool = True) -> None:
        """Handle a message of an exchange; a malformed one closes its link. An answer is held if its end is not
        certain."""
        if link.held_answer is not None:
            self.held_answers.release(link)  # this message follows it, so it is whole
        exchange = self.by_id[link.exchange_id]
        exchange.consecutive_failures = 0
        self.liveness.message_received(exchange, link)
        # Each complete message restarts the time limit of the partial one that follows it.
        link.partial_since_us = link.partial_since_us and self.core.now
        link.last_received_us, link.group_state_missing_since_us, link.unanswered_timeouts = self.core.now, 0, 0
        is_first_message = not link.first_received_us
        if is_first_message:
            link.first_received_us = self.core.now
            self.missed_ends.first_message_received(exchange, link)
        if isinstance(message, Answer) and self.is_truncated_answer(exchange, link, message):
            self.core.counters["garbled"] += 1
            self.writing.input_ended(link.ident, CloseReason.GARBLED)
        elif isinstance(message, Answer) and not end_certain:
            self.held_answers.hold(link, message)
        elif isinstance(message, Answer):
            self.answer_received(exchange, link, message)
        elif isinstance(message, Release):
            self.release_received(exchange, link, message)
        elif isinstance(message, GroupState):
            exchange.sends_group_states = True
            if not self.is_repeated_group_state(exchange, link, message.report):
                self.pass_on_report(exchange, message.report)
                if not is_first_message:
                    self.links.expect_on_other_links(exchange, link)
        elif isinstance(message, ReleaseConfirmed):
            self.exchange_releases.confirmed(link, message.call)
        elif isinstance(message, HealthCheck):
            self.writing.queue(link, HealthCheckResult(message.call, True))
        elif not isinstance(message, Progress):
            # No exchange sends this kind of message: one was corrupted, and what follows it on the link is lost.
            self.core.counters["garbled"] += 1
            self.writing.input_ended(link.ident, CloseReason.GARBLED)

    def attempt_on(self, link: Link, call_id: int) -> Attempt | None:
        """The attempt of a call that a reply on a link concerns, None if there is none or it has been given up."""
        call = self.calls.by_id.get(call_id)
        attempt = call.attempt if call is not None else None
        if attempt is not None and (attempt.link is not link or attempt.giving_up or not attempt.sent):
            return None
        return attempt

    @staticmethod
    def is_truncated_answer(exchange: Exchange, link: Link, answer: Answer) -> bool:
        """Whether an answer was truncated, so that its description contains the message after it.

        Without this check, a caller would get a description that no exchange has made. With it, the link is closed and
        the attempt ends as cut.
        """
        calls = {answer.call, *exchange.standing_calls, *(attempt.call.ident for attempt in link.attempts)}
        return contains_message_header(answer.description, calls)

    def is_repeated_group_state(self, exchange: Exchange, link: Link, figures: Mapping[str, float]) -> bool:
        """Whether a group state has already been received on another link: an exchange sends it on each open one.

        Without this check, the copy would count circuits as free again to which a call has been sent meanwhile.
        """
        recent = exchange.recent_group_states
        while recent and recent[0].received_us < self.core.now - GROUP_STATE_SPREAD_US:
            recent.popleft()
        for state in recent:
            if link.ident not in state.links and state.figures == figures:
                state.links.add(link.ident)
                self.core.counters["group_states_copied"] += 1
                return True
        recent.append(ReceivedGroupState(self.core.now, figures, {link.ident}))
        return False

    def pass_on_report(self, exchange: Exchange, figures: Mapping[str, float]) -> None:
        """Report the load figures of an exchange to the decision module."""
        self.core.events.append(i.ExchangeReport(exchange.ident, True, False, 0, _load_report(figures)))

    def answer_received(self, exchange: Exchange, link: Link, answer: Answer) -> None:
        """Answer the call of an attempt, which stands from now on; without an attempt the answer is late."""
        attempt = self.attempt_on(link, answer.call)
        if attempt is None:
            # The call of an answer to a given-up attempt is released at the exchange, not passed on. If the same call
            # has another attempt or stands at this exchange, the earlier give-up releases it: a second release would
            # end that attempt or call.
            self.core.counters["late_answers"] += 1
            call = self.calls.by_id.get(answer.call)
            current_exchange_id = None
            if call is not None:
                current_exchange_id = (
                    call.attempt.link.exchange_id if call.attempt is not None else call.standing_exchange
                )
            if current_exchange_id != exchange.ident:
                self.writing.queue(link, Release(answer.call, ReleaseCause.NORMAL))
            return
        call = attempt.call
        self.attempts.detach(attempt)
        self.core.counters["attempts_answered"] += 1
        self.core.record_event(
            TraceEvent.CALL_ANSWERED, call=call.ident, exchange=exchange.ident, stream=call.caller_stream
        )
        self.calls.send_final_answer(call.ident, Answer(call.ident, answer.description))
        call.state = CALL.next_state(call.state, CallTransition.ANSWER)
        call.standing_exchange, call.standing_since_us, call.answer_link = exchange.ident, self.core.now, link.ident
        self.calls.release_maybe_standing(call)
        self.exchange_releases.end_reported(exchange, call.ident)  # what is pending here concerns an earlier attempt
        exchange.standing_calls.add(call.ident)
        self.core.events.append(
            i.CallAnswered(call.ident, attempt.number, exchange.ident, self.core.now - attempt.started_us)
        )
        if answer.report is not None:
            self.pass_on_report(exchange, answer.report)

    def at_address(self, address: tuple[str, int]) -> list[Exchange]:
        """The exchanges at an address: one, unless the list holds one that has gone together with its successor."""
        return [exchange for exchange in self.by_id.values() if exchange.address == address]

    def may_hold_call(self, exchange: Exchange, call: Call) -> bool:
        """Whether a call stands at an exchange, or at another one with the same address.

        While the list still holds an exchange that has gone, and the one that took over its address, the links to both
        lead to one process, which may report an end on any of them.
        """
        if call.standing_exchange is None or call.standing_exchange == exchange.ident:
            return call.standing_exchange is not None
        return self.by_id[call.standing_exchange].address == exchange.address

    def release_received(self, exchange: Exchange, link: Link, release: Release) -> None:
        """End the attempt or the standing call that an exchange releases; any other release is late."""
        attempt = self.attempt_on(link, release.call)
        report = None if release.report is None else _load_report(release.report)
        call = self.calls.by_id.get(release.call)
        if attempt is not None:
            outcome = OUTCOME_BY_CAUSE.get(release.cause, i.Outcome.NO_LINE)  # type: ignore[call-overload]
            self.attempts.end(attempt, outcome, cause=CAUSE_BY_NOTE.get(release.note, i.Cause.NONE), report=report)
        elif call is not None and self.may_hold_call(exchange, call) and release.cause in CAUSES_OF_END:
            self.liveness.end_received(exchange, call)
            is_normal = release.cause == ReleaseCause.NORMAL
            self.calls.end_standing(call, i.Outcome.RELEASED if is_normal else i.Outcome.CUT, report)
            self.end_notices.send(call.caller_stream, Release(call.ident, release.cause))
            self.writing.queue(link, ReleaseConfirmed(call.ident))
        else:
            if release.cause in CAUSES_OF_END:
                self.exchange_releases.end_reported(exchange, release.call)
            if report is not None:
                self.core.events.append(i.ExchangeReport(exchange.ident, True, False, 0, report))
            self.core.counters["late_messages"] += 1
            if call is None and release.call not in self.calls.ended and release.cause in CAUSES_OF_END:
                self.unknown_ends.reported(release.call, release.cause)


def _load_report(figures: Mapping[str, float]) -> i.LoadReport:
    """The figures of a message as the decision module takes them."""
    return read_report((REPORT_FIELDS.get(name), value) for name, value in figures.items())
