"""Ends of calls that an exchange reported on connections from which this process could not receive them.

An exchange reports the end of a call (a release) twice: once on the connection of its set-up, or on any other that it
believes to be open, and once more on the next connection that is opened. It does not notice that a connection was reset
on the way, dropped by the network or closed in the queue of its listener, so each report may be lost, and the protocol
has no query for a call. Rules:

Recovery link: when the first report may be lost, a further link is opened to receive the second one. That is so when
the link on which a call was answered is lost, when a link is lost before its initial messages have arrived, or when the
first message on a link comes late.

Lost notification: the second report may be lost too, on a link that came up after the call's own link was lost, and was
lost itself before its initial messages had arrived. Nothing can be received of such a call any more, so it counts as
ended `SILENCE_LIMIT_US` after its end may have been missed.
"""

from __future__ import annotations

from .component import Component
from .limits import (
    INITIAL_MESSAGES_US,
    LATE_FIRST_MESSAGE_US,
    PREDECESSOR_ENDS_US,
    RECOVERY_DELAY_US,
    RECOVERY_INTERVAL_US,
    SILENCE_LIMIT_US,
)
from .state import Call, Exchange, Link
from .trace import CloseReason


class MissedEnds(Component):
    """Opens recovery links, and ends the calls of which both reports may be lost."""

    def calls_without_link(self, exchange: Exchange) -> list[Call]:
        """The standing calls whose own link is lost, by id."""
        calls = (self.calls.by_id[call_id] for call_id in sorted(exchange.standing_calls))
        return [call for call in calls if call.answer_link not in self.links.by_stream]

    def link_lost(self, exchange: Exchange, link: Link, reason: CloseReason) -> None:
        """Record which reports the loss of a link that was up may have cost; the link is out of the tables."""
        initial_lost = not self._initial_messages_received(exchange, link, reason)
        if initial_lost:
            for known in self.exchanges.at_address(exchange.address):
                known.initial_messages_lost_us = max(known.initial_messages_lost_us, link.up_since_us)
        carried_calls = [call for call in self.calls_without_link(exchange) if call.answer_link == link.ident]
        for call in carried_calls:
            call.end_missed_since_us = max(call.standing_since_us, link.last_received_us)
        if carried_calls or (initial_lost and self._may_have_missed_ends(exchange)):
            self.schedule_recovery_link(exchange)

    def _initial_messages_received(self, exchange: Exchange, link: Link, reason: CloseReason) -> bool:
        """Whether a lost link had delivered its initial messages: the group state, then releases of ended calls."""
        if not exchange.sends_group_states:
            return self.core.now - link.up_since_us >= INITIAL_MESSAGES_US
        if not link.first_received_us:
            return False
        return reason is CloseReason.PEER_ENDED or self.core.now - link.first_received_us >= INITIAL_MESSAGES_US

    def first_message_received(self, exchange: Exchange, link: Link) -> None:
        """Schedule a recovery link if the first message on a link comes late: the exchange has hung.

        When it continues, it processes new connections, closed connections and ends of calls in any order. What it
        reports on dead connections after it has accepted this link is repeated only on a further one.
        """
        if self.core.now - link.up_since_us >= LATE_FIRST_MESSAGE_US and self._may_have_missed_ends(exchange):
            self.schedule_recovery_link(exchange)

    def schedule_recovery_link(self, exchange: Exchange) -> None:
        """Have a further link opened after `RECOVERY_DELAY_US`, on which the exchange repeats its lost reports."""
        soon_us = self.core.now + RECOVERY_DELAY_US
        exchange.recovery_due_us = min(exchange.recovery_due_us or soon_us, soon_us)

    def check(self, exchange: Exchange) -> None:
        """End the calls of which both reports may be lost, and open a recovery link if one is due; called by each
        sweep."""
        due_us = self.core.now - SILENCE_LIMIT_US
        both_lost = [
            call
            for call in self.calls_without_link(exchange)
            if call.end_missed_since_us <= exchange.initial_messages_lost_us
        ]
        missed = [call for call in both_lost if call.end_missed_since_us <= due_us]
        self.calls.presume_ended(exchange, missed, "may have reported ends of calls on lost links only")
        if not exchange.recovery_due_us or self.core.now < exchange.recovery_due_us:
            return
        if not self._may_have_missed_ends(exchange):
            exchange.recovery_due_us = 0
        elif self.liveness.open_extra_link(exchange, may_replace=self._is_responsive(exchange)):
            exchange.recovery_due_us = self.core.now + RECOVERY_INTERVAL_US if self.calls_without_link(exchange) else 0

    def _may_have_missed_ends(self, exchange: Exchange) -> bool:
        """Whether an end may have been reported on a lost link: of a call that stands here without its link, of one
        whose release was not confirmed in time, or of one that stood in the predecessor and is unknown here."""
        if any(pending.waits for pending in exchange.pending_releases.values()):
            return True
        return bool(self.calls_without_link(exchange)) or self.core.now - self.phases.started_us < PREDECESSOR_ENDS_US

    def _is_responsive(self, exchange: Exchange) -> bool:
        """Whether the exchange has sent a message recently, so that it will soon notice the close of a link."""
        return self.core.now - exchange.last_received_us < LATE_FIRST_MESSAGE_US
