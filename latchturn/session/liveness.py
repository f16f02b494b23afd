"""The failure detector: decides whether an exchange still has the calls that stand there.

Owns every conclusion that standing calls have ended though neither their exchange nor discovery has reported it. Rules:

Proof of life: a message from the process at which the calls stand; `Exchange.last_alive_us` is the time of the last
one. A successful connect, a completed write or a link that stays open proves nothing: a hung process and a vanished
machine allow all three, since a link may be half-open. The one exception is stated at `link_connected`.

Silence limit: standing calls count as ended `SILENCE_LIMIT_US` after the last proof of life, whatever discovery
reports. The protocol allows 8 s from the end of a call that its exchange cannot report, and the call may have ended
right after that message. Broken links, refused connects and time-outs can bring this conclusion forward, but never
postpone it.

Probe link: after `PROBE_AFTER_US` without a proof of life a further link is opened. A live exchange sends its group
state on it at once, and then the releases of calls that have ended.

Outage: begins with the first failed connect after the last proof of life. From then on another process may take over
the address of the exchange, so messages prove life only on links from before the outage. If none of these is left, the
calls from before the outage count as ended.
"""

from __future__ import annotations

import math

from .. import interface as i
from .component import Component
from .descriptors import Displace
from .limits import (
    DRAINED_AFTER_US,
    KEPT_LINKS,
    MAX_LINKS_PER_EXCHANGE,
    PROBE_AFTER_US,
    PROBE_INTERVAL_US,
    SILENCE_LIMIT_US,
    SILENT_LINK_WAIT_US,
    SIMULTANEOUS_RESET_US,
)
from .state import Call, Exchange, Link
from .trace import CloseReason, TraceEvent


class Liveness(Component):
    """Decides when the calls that stand at an exchange have ended without a report."""

    # --- evidence ---

    def message_received(self, exchange: Exchange, link: Link) -> None:
        """Record a message on a link, which is a proof of life unless the link was opened during an outage."""
        exchange.last_received_us = self.core.now
        if exchange.outage_since_us and link.up_since_us >= exchange.outage_since_us:
            # A new process may have taken over the address, and it does not know the calls of the one before.
            if not self._links_before_outage(exchange):
                self._end_calls_before_outage(exchange, "responds again, but only on links opened since its outage")
            return
        self._mark_alive(exchange)

    def link_connected(self, exchange: Exchange) -> None:
        """Record that a link has come up.

        That is a proof of life only for an exchange that sends no group states. One that does sends its group state
        on each new link, and only that message counts.
        """
        exchange.kept_link_broken = False
        if not exchange.sends_group_states:
            exchange.last_received_us = self.core.now
            self._mark_alive(exchange)

    def _mark_alive(self, exchange: Exchange) -> None:
        """Record a proof of life, which ends an outage."""
        exchange.last_alive_us, exchange.outage_since_us = self.core.now, 0
        if exchange.quiet_noted:
            exchange.quiet_noted = False
            self.core.record_event(TraceEvent.EXCHANGE_RESPONSIVE, exchange=exchange.ident)

    def connect_failed(self, exchange: Exchange, link: Link, refused: bool) -> None:
        """Conclude from a failed connect: a time-out begins an outage, a refusal may mean that the process has died."""
        if not refused:
            self._begin_outage(exchange, link)
            return
        open_links = [other for other in exchange.links.values() if other.up]
        # An exchange whose other links still deliver messages may refuse a further link only because it has enough.
        silent = exchange.standing_calls and self.core.now - exchange.last_alive_us >= PROBE_AFTER_US
        if not (exchange.kept_link_broken or not open_links or silent):
            return
        if exchange.state is not i.ListState.READY:
            # A draining exchange accepts no links while its calls go on, but these do not last long.
            exchange.refusing_since_us = exchange.refusing_since_us or self.core.now
            self._begin_outage(exchange, link)
            return
        # A link broke and nobody listens: the process has died, and its calls with it. Its other links are closed here,
        # since without traffic the links of a dead process may stay silent.
        self.calls.cut_off(exchange, self.core.now + 1, "refuses connections")
        for other in open_links:
            self.writing.drop(other, CloseReason.EXCHANGE_DEAD)

    @staticmethod
    def _begin_outage(exchange: Exchange, link: Link) -> None:
        """Begin an outage at the start of a failed connect, unless one has begun or a proof of life came later."""
        if link.connect_started_us > exchange.last_alive_us:
            exchange.outage_since_us = exchange.outage_since_us or link.connect_started_us

    def link_ended_by_peer(self, link: Link) -> None:
        """Record that the peer ended a link. A kept link reconnects at once; a refusal then shows a dead process."""
        if link.slot < KEPT_LINKS:
            self.exchanges.by_id[link.exchange_id].kept_link_broken = True

    def link_reset(self, link: Link) -> None:
        """Conclude from a reset by the peer; called while the link is still in the tables.

        A process that dies may be replaced by another before any connect is refused. Its links are then reset
        together and while in use, whereas idle links may be reset for being idle. A draining exchange may reset its
        links and keep its calls.
        """
        exchange = self.exchanges.by_id[link.exchange_id]
        others = any(other.up for other in exchange.links.values() if other is not link)
        together = self.core.now - exchange.last_reset_us <= SIMULTANEOUS_RESET_US
        busy = self.core.now - exchange.last_received_us <= SIMULTANEOUS_RESET_US
        exchange.last_reset_us = self.core.now
        if exchange.state is not i.ListState.READY or not together or others:
            return
        if busy:
            self.calls.cut_off(exchange, self.core.now + 1, "reset all its links at once")
            return
        # Another machine may have taken the address of one that vanished, and resets connections unknown to it.
        if not exchange.all_links_reset_us:
            exchange.received_before_reset_us = exchange.last_received_us
        exchange.all_links_reset_us = self.core.now

    def end_received(self, exchange: Exchange, call: Call) -> None:
        """Record a reported end of a call. Only the process at which the call stood can report it, so an earlier reset
        of all links did not replace that process."""
        if call.standing_since_us < exchange.all_links_reset_us:
            exchange.all_links_reset_us = 0

    # --- conclusions ---

    def check(self, exchange: Exchange) -> None:
        """Probe a quiet exchange, and end its standing calls at the silence limit; called by each sweep."""
        if not exchange.standing_calls:
            exchange.all_links_reset_us = 0
            return
        if exchange.all_links_reset_us and self.core.now - exchange.received_before_reset_us >= SILENCE_LIMIT_US:
            calls = self.calls.standing_before(exchange, exchange.all_links_reset_us)
            self.calls.presume_ended(
                exchange, calls, "reset all its links after a silence, and has reported no end of a call since"
            )
            exchange.all_links_reset_us = 0
        silent_us = self.core.now - exchange.last_alive_us
        if silent_us >= SILENCE_LIMIT_US:
            self._end_calls_of_silent(exchange)
        elif (
            exchange.refusing_since_us
            and self.core.now - max(exchange.refusing_since_us, exchange.last_alive_us) > DRAINED_AFTER_US
        ):
            self.calls.cut_off(exchange, self.core.now + 1, "has drained and refuses connections")
        elif silent_us >= PROBE_AFTER_US and self.core.now - exchange.last_probe_us >= PROBE_INTERVAL_US:
            self._probe_quiet(exchange)

    def _end_calls_of_silent(self, exchange: Exchange) -> None:
        """End the standing calls of an exchange at the silence limit, and release them there in case it still runs."""
        if exchange.outage_since_us and exchange.last_received_us >= exchange.outage_since_us:
            self._end_calls_before_outage(exchange, "responds again, but only on links opened since its outage")
            return
        standing = self.calls.standing_before(exchange, self.core.now + 1)
        for link in list(exchange.links.values()):
            if link.up and not link.attempts:
                self.writing.drop(link, CloseReason.SILENT)
        self.calls.presume_ended(exchange, standing, "is silent")

    def _end_calls_before_outage(self, exchange: Exchange, why: str) -> None:
        """End the calls from before the outage: the process that responds now may be another. It counts as alive."""
        self.calls.presume_ended(exchange, self.calls.standing_before(exchange, exchange.outage_since_us), why)
        self._mark_alive(exchange)

    def probe_after_timeout(self, exchange: Exchange) -> None:
        """Open a probe link at once, because a set-up timed out on a link that received no message meanwhile."""
        if self.core.now - exchange.last_probe_us >= PROBE_INTERVAL_US:
            exchange.last_probe_us = self.core.now
            self.open_extra_link(exchange)

    def _probe_quiet(self, exchange: Exchange) -> None:
        """Open a probe link to an exchange that has been silent for some time."""
        exchange.last_probe_us = self.core.now
        if not exchange.quiet_noted:
            exchange.quiet_noted = True
            silent_ms = (self.core.now - exchange.last_alive_us) // 1000
            reason = f"{len(exchange.standing_calls)} standing calls, no message for {silent_ms} ms"
            self.core.record_event(TraceEvent.EXCHANGE_QUIET, exchange=exchange.ident, reason=reason)
        self.open_extra_link(exchange, may_replace=True, max_wait_us=SILENT_LINK_WAIT_US)

    def open_extra_link(self, exchange: Exchange, may_replace: bool = False, max_wait_us: float = math.inf) -> bool:
        """Open a further link as a probe or recovery link; False if none was opened.

        None is opened while another link is connecting or has received nothing yet. A link that has been up for
        `max_wait_us` without a message is not waited for: the network may have dropped it (half-open link).

        The first message on the new link is a proof of life, and the exchange repeats there the releases of calls that
        have ended. The open links stay open: a hung exchange will send on them when it continues, and what it sends on
        a link that it does not know to be closed is lost. If all slots are taken, `may_replace` allows closing one.
        """
        silent_links = [k for k in exchange.links.values() if exchange.sends_group_states and not k.last_received_us]
        awaited_links = [k for k in silent_links if self.core.now - k.up_since_us < max_wait_us]
        if awaited_links or any(not k.up for k in exchange.links.values()):
            return False
        slot = next((k for k in reversed(range(MAX_LINKS_PER_EXCHANGE)) if k not in exchange.links), None)
        if slot is None:
            # A hung exchange that continues may send the releases of ended calls on a link that is silent so far.
            return may_replace and not silent_links and self._replace_least_needed(exchange)
        return self.links.connect_if_room(exchange, slot, Displace.ANY) is not None

    def _replace_least_needed(self, exchange: Exchange) -> bool:
        """Open a link in place of the least needed one that has no attempts and is not the last proof link.

        Only safe for an exchange that has been quiet, or that notices the close soon: what another is just sending on
        the closed link would be lost.
        """
        needed = {self.calls.by_id[k].answer_link for k in exchange.standing_calls}
        idle = [
            k for k in exchange.links.values() if not (k.attempts or k.partial_since_us or self.is_last_proof_link(k))
        ]
        if not idle:
            return False
        least_needed = min(idle, key=lambda k: (k.ident in needed, k.slot < KEPT_LINKS, k.last_received_us))
        self.writing.drop(least_needed, CloseReason.PROBED)
        if least_needed.slot not in exchange.links:  # closing a kept link has already reopened it
            return self.links.connect_if_room(exchange, least_needed.slot, Displace.ANY) is not None
        return True

    @staticmethod
    def _links_before_outage(exchange: Exchange) -> list[Link]:
        """The open links from before the outage; only the process from before it can send on them."""
        return [link for link in exchange.links.values() if link.up and link.up_since_us < exchange.outage_since_us]

    def is_last_proof_link(self, link: Link) -> bool:
        """Whether a link must be kept though it is silent: calls stand at its exchange, and no other open link dates
        from before the last proof of life, so only here could the exchange prove that it is still the same process."""
        exchange = self.exchanges.by_id[link.exchange_id]
        others = [
            k for k in exchange.links.values() if k is not link and k.up and k.up_since_us <= exchange.last_alive_us
        ]
        return bool(exchange.standing_calls) and not others
