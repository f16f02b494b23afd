"""Ends of calls that an exchange may have told where nobody hears them.

An exchange tells the end of a call once on the connection of its set-up, or on any other that it believes to be open,
and once more on the next connection that is opened. It does not know that a connection was reset on the way, was
forgotten by the network or died in the queue of its listener, so either word may be lost, and there is no way to ask
for a call. Owns what follows from a lost link: when another is opened for the second word, and which calls are ended
because the second word may be lost too.
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
    """Hears of ends that were told on lost links, and ends the calls of which nothing may be heard any more."""

    def calls_without_link(self, exchange: Exchange) -> list[Call]:
        """The standing calls whose own link is no more, by id."""
        calls = (self.calls.by_id[ident] for ident in sorted(exchange.standing_calls))
        return [call for call in calls if call.answer_link not in self.links.by_stream]

    def link_lost(self, exchange: Exchange, link: Link, reason: CloseReason) -> None:
        """A link that was up is out of its table."""
        initial_lost = not self._initial_messages_received(exchange, link, reason)
        if initial_lost:
            for known in self.exchanges.at_address(exchange.address):
                known.initial_messages_lost_us = max(known.initial_messages_lost_us, link.up_since_us)
        carried = [call for call in self.calls_without_link(exchange) if call.answer_link == link.ident]
        for call in carried:
            call.end_missed_since_us = max(call.standing_since_us, link.last_received_us)
        if carried or (initial_lost and self._may_have_missed_ends(exchange)):
            self.schedule_recovery_link(exchange)

    def _initial_messages_received(self, exchange: Exchange, link: Link, reason: CloseReason) -> bool:
        """Whether all has been heard that an exchange says first on a new link: its group state, then ends of calls."""
        if not exchange.sends_group_states:
            return self.core.now - link.up_since_us >= INITIAL_MESSAGES_US
        if not link.first_received_us:
            return False
        return reason is CloseReason.PEER_ENDED or self.core.now - link.first_received_us >= INITIAL_MESSAGES_US

    def first_message_received(self, exchange: Exchange, link: Link) -> None:
        """A link is heard for the first time. An exchange that hung takes its connections, their ends and the ends of
        calls in any order as it goes on: what it tells after it took this link needs another one."""
        if self.core.now - link.up_since_us >= LATE_FIRST_MESSAGE_US and self._may_have_missed_ends(exchange):
            self.schedule_recovery_link(exchange)

    def schedule_recovery_link(self, exchange: Exchange) -> None:
        """Open a further link before long, on which ends that nobody has heard are told again."""
        soon_us = self.core.now + RECOVERY_DELAY_US
        exchange.recovery_due_us = min(exchange.recovery_due_us or soon_us, soon_us)

    def check(self, exchange: Exchange) -> None:
        """Now and then: open a link to hear ends, and end in time what no link may tell of any more."""
        due_us = self.core.now - SILENCE_LIMIT_US
        suspected = [
            call
            for call in self.calls_without_link(exchange)
            if call.end_missed_since_us <= exchange.initial_messages_lost_us
        ]
        missed = [call for call in suspected if call.end_missed_since_us <= due_us]
        self.calls.presume_ended(exchange, missed, "may have been told over on links that are dead")
        if not exchange.recovery_due_us or self.core.now < exchange.recovery_due_us:
            return
        if not self._may_have_missed_ends(exchange):
            exchange.recovery_due_us = 0
        elif self.liveness.open_extra_link(exchange, may_replace=self._is_responsive(exchange)):
            exchange.recovery_due_us = self.core.now + RECOVERY_INTERVAL_US if self.calls_without_link(exchange) else 0

    def _may_have_missed_ends(self, exchange: Exchange) -> bool:
        """Whether the exchange may have told an end on a lost link: of a call that stands here without its link, or of
        one that stood in the process before, which this one does not know."""
        return bool(self.calls_without_link(exchange)) or self.core.now - self.phases.started_us < PREDECESSOR_ENDS_US

    def _is_responsive(self, exchange: Exchange) -> bool:
        """Whether the exchange has said something lately, so that it knows soon of a link that is closed."""
        return self.core.now - exchange.last_received_us < LATE_FIRST_MESSAGE_US
