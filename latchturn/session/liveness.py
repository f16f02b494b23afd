"""The failure detector: whether an exchange still has the calls that stand there, judged by what is heard from it.

Owns every conclusion that calls are over without a word from their exchange or from discovery. There is one clock: the
time since the last message that proves that the process is the one at which the calls stand. A connect that succeeds, a
set-up that is written or a connection that stays open proves nothing: a hung process and a vanished machine allow all
three. What breaks, is refused or times out only ever shortens the time until the conclusion, never sets it back.

The conclusion is due within `SILENCE_LIMIT_US` of that message, whatever discovery does: the protocol gives 8 s from
the end of a call that its exchange cannot tell, and the call may have ended right after the message.
"""

from __future__ import annotations

import math

from .. import interface as i
from .component import Component
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
    """Decides when the calls that stand at an exchange are over."""

    # --- evidence ---

    def message_received(self, exchange: Exchange, link: Link) -> None:
        """A message has come on a link."""
        exchange.last_received_us = self.core.now
        if exchange.outage_since_us and link.up_since_us >= exchange.outage_since_us:
            # Guards against a new process at the address, which knows nothing of the calls of the one before.
            if not self._links_before_outage(exchange):
                self._end_calls_before_outage(exchange, "answers again on new links alone")
            return
        self._mark_alive(exchange)

    def link_connected(self, exchange: Exchange) -> None:
        """A link has come up. It proves something only of an exchange that sends no group states, by which
        any other process shows itself on each new link."""
        exchange.kept_link_broken = False
        if not exchange.sends_group_states:
            exchange.last_received_us = self.core.now
            self._mark_alive(exchange)

    def _mark_alive(self, exchange: Exchange) -> None:
        """The process at which the calls stand lives."""
        exchange.last_alive_us, exchange.outage_since_us = self.core.now, 0
        if exchange.quiet_noted:
            exchange.quiet_noted = False
            self.core.record(TraceEvent.EXCHANGE_RESPONSIVE, exchange=exchange.ident)

    def connect_failed(self, exchange: Exchange, link: Link, refused: bool) -> None:
        """A link did not come up."""
        if not refused:
            self._begin_outage(exchange, link)
            return
        idle = [other for other in exchange.links.values() if other.up]
        # One that refuses further links may only have enough of them, if another link still tells something.
        silent = exchange.standing_calls and self.core.now - exchange.last_alive_us >= PROBE_AFTER_US
        if not (exchange.kept_link_broken or not idle or silent):
            return
        if exchange.state is not i.ListState.READY:
            # One that drains takes no links, and its calls go on, but not for long.
            exchange.refusing_since_us = exchange.refusing_since_us or self.core.now
            self._begin_outage(exchange, link)
            return
        # A link broke and nothing listens: the process has died, and its calls with it. Guards against
        # waiting for links on which nothing was under way: those of a dead process may stay silent.
        self.calls.cut_off(exchange, self.core.now + 1, "refuses connections")
        for other in idle:
            self.writing.drop(other, CloseReason.EXCHANGE_DEAD)

    @staticmethod
    def _begin_outage(exchange: Exchange, link: Link) -> None:
        """From the first connect that comes to nothing on, another process may come to have the address."""
        if link.connect_started_us > exchange.last_alive_us:
            exchange.outage_since_us = exchange.outage_since_us or link.connect_started_us

    def link_ended_by_peer(self, link: Link) -> None:
        """The peer ended a link. Those kept are reconnected at once, which tells whether it has died."""
        if link.slot < KEPT_LINKS:
            self.exchanges.by_id[link.exchange_id].kept_link_broken = True

    def link_reset(self, link: Link) -> None:
        """The peer reset a link; called while the link is still entered.

        Guards against a process that dies and has another in its place before a connect could be refused: its
        links are reset together, and not for being idle. One that drains may end them and keep its calls.
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
        # Another machine may have the address of one that vanished, and reset what it does not know.
        if not exchange.all_links_reset_us:
            exchange.received_before_reset_us = exchange.last_received_us
        exchange.all_links_reset_us = self.core.now

    def end_received(self, exchange: Exchange, call: Call) -> None:
        """An exchange has told the end of a call, which only the process at which it stood can do."""
        if call.standing_since_us < exchange.all_links_reset_us:
            exchange.all_links_reset_us = 0

    # --- conclusions ---

    def check(self, exchange: Exchange) -> None:
        """Now and then: ask an exchange that is quiet for a sign of life, and end its calls in time."""
        if not exchange.standing_calls:
            exchange.all_links_reset_us = 0
            return
        if exchange.all_links_reset_us and self.core.now - exchange.received_before_reset_us >= SILENCE_LIMIT_US:
            calls = self.calls.standing_before(exchange, exchange.all_links_reset_us)
            self.calls.presume_ended(exchange, calls, "reset all its links after a silence, and has told no end since")
            exchange.all_links_reset_us = 0
        silent_us = self.core.now - exchange.last_alive_us
        if silent_us >= SILENCE_LIMIT_US:
            self._end_calls_of_silent(exchange)
        elif (
            exchange.refusing_since_us
            and self.core.now - max(exchange.refusing_since_us, exchange.last_alive_us) > DRAINED_AFTER_US
        ):
            self.calls.cut_off(exchange, self.core.now + 1, "has drained and refused links")
        elif silent_us >= PROBE_AFTER_US and self.core.now - exchange.last_probe_us >= PROBE_INTERVAL_US:
            self._probe_quiet(exchange)

    def _end_calls_of_silent(self, exchange: Exchange) -> None:
        """Its calls are over, as far as their callers are concerned. Should it live, it is told so too."""
        if exchange.outage_since_us and exchange.last_received_us >= exchange.outage_since_us:
            self._end_calls_before_outage(exchange, "answers again on new links alone")
            return
        standing = self.calls.standing_before(exchange, self.core.now + 1)
        for link in list(exchange.links.values()):
            if link.up and not link.attempts:
                self.writing.drop(link, CloseReason.SILENT)
        self.calls.presume_ended(exchange, standing, "is silent")

    def _end_calls_before_outage(self, exchange: Exchange, why: str) -> None:
        """The process that answers now may be another: calls from before its first link are over."""
        self.calls.presume_ended(exchange, self.calls.standing_before(exchange, exchange.outage_since_us), why)
        self._mark_alive(exchange)

    def probe_after_timeout(self, exchange: Exchange) -> None:
        """Set-ups time out unheard: see at once whether a new link hears more."""
        if self.core.now - exchange.last_probe_us >= PROBE_INTERVAL_US:
            exchange.last_probe_us = self.core.now
            self.open_extra_link(exchange)

    def _probe_quiet(self, exchange: Exchange) -> None:
        """Nothing has been heard for some time: a new link tells whether anybody is there."""
        exchange.last_probe_us = self.core.now
        if not exchange.quiet_noted:
            exchange.quiet_noted = True
            silent_ms = (self.core.now - exchange.last_alive_us) // 1000
            reason = f"{len(exchange.standing_calls)} calls stand, nothing heard for {silent_ms} ms"
            self.core.record(TraceEvent.EXCHANGE_QUIET, exchange=exchange.ident, reason=reason)
        self.open_extra_link(exchange, may_replace=True, max_wait_us=SILENT_LINK_WAIT_US)

    def open_extra_link(self, exchange: Exchange, may_replace: bool = False, max_wait_us: float = math.inf) -> bool:
        """Open a further link, unless one is coming up already or has told nothing yet; whether that was done.

        A link that has told nothing for `max_wait_us` is not waited for: the network may have forgotten it.

        What comes first on it proves that the exchange lives, and calls that have ended are told there. The links
        that are open stay so: a hung exchange will speak on them when it goes on, and what it tells on one that it
        does not know to be closed is lost.
        """
        unheard = [k for k in exchange.links.values() if exchange.sends_group_states and not k.last_received_us]
        waited_for = [k for k in unheard if self.core.now - k.up_since_us < max_wait_us]
        if waited_for or any(not k.up for k in exchange.links.values()):
            return False
        slot = next((k for k in reversed(range(MAX_LINKS_PER_EXCHANGE)) if k not in exchange.links), None)
        if slot is None:
            # One that has said nothing yet may be told ends of calls as a hung exchange goes on.
            return may_replace and not unheard and self._replace_least_needed(exchange)
        self.links.connect(exchange, slot)
        return True

    def _replace_least_needed(self, exchange: Exchange) -> bool:
        """Open a link in the place of the one that is worth least: without calls, and not the last from before.

        Only of an exchange that has been quiet: on any other, what it is just sending on that link would be lost.
        """
        needed = {self.calls.by_id[k].answer_link for k in exchange.standing_calls}
        idle = [
            k for k in exchange.links.values() if not (k.attempts or k.partial_since_us or self.is_last_proof_link(k))
        ]
        if not idle:
            return False
        least = min(idle, key=lambda k: (k.ident in needed, k.slot < KEPT_LINKS, k.last_received_us))
        self.writing.drop(least, CloseReason.PROBED)
        if least.slot not in exchange.links:  # a kept one is opened anew by its close
            self.links.connect(exchange, least.slot)
        return True

    @staticmethod
    def _links_before_outage(exchange: Exchange) -> list[Link]:
        """The links from before the outage, on which only the process from before can say anything."""
        return [link for link in exchange.links.values() if link.up and link.up_since_us < exchange.outage_since_us]

    def is_last_proof_link(self, link: Link) -> bool:
        """Whether a silent link is still of use: it is the last one on which an exchange where calls stand
        could show that it is still the same process."""
        exchange = self.exchanges.by_id[link.exchange_id]
        others = [
            k for k in exchange.links.values() if k is not link and k.up and k.up_since_us <= exchange.last_alive_us
        ]
        return bool(exchange.standing_calls) and not others
