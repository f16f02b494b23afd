"""The descriptor budget: how the file descriptors of the process are divided among callers, links and everything else.

Owns the limits on the number of connections of each kind, and the choice of the link that is closed to make room. It
opens no connection, and concludes nothing about a peer. Rules:

The total: `RESERVED_DESCRIPTORS`, the descriptors of the other process of a replacement, the callers' connections and
the links never exceed the limit of the configuration. Callers may always hold their guaranteed share of it.

Order of precedence for the rest: one link to each exchange; the links that attempts, probes and recoveries need now;
the second kept link to each exchange; callers beyond their guaranteed share.

A link is closed to make room only while nothing depends on it (see `is_dispensable`). What was closed is opened again
once it is needed or there is room.
"""

from __future__ import annotations

import math
from enum import Enum, auto

from .component import Component
from .limits import (
    DESCRIPTORS_PER_EXCHANGE,
    DESCRIPTORS_PER_GUARANTEED_CALLER,
    EXTRA_LINK_IDLE_US,
    INITIAL_MESSAGES_US,
    KEPT_LINKS,
    PROBE_AFTER_US,
    RECENT_ACTIVITY_US,
    RESERVED_DESCRIPTORS,
    SECOND,
)
from .state import Exchange, Link
from .trace import CloseReason, TraceEvent


class Displace(Enum):
    """Which links may be closed to make room for another one."""

    NONE = auto()
    SPARE = auto()  # those of exchanges with another link
    ANY = auto()


class Descriptors(Component):
    """Limits the callers' connections and the links, and closes links that are not needed."""

    def __init__(self) -> None:
        self.shortage_recorded_us = -math.inf  # when the latest shortage was entered in the trace

    # --- limits ---

    def available(self) -> int:
        """The descriptors that the other process leaves of the limit."""
        return self.core.socket_limit - self.phases.other_descriptors

    def guaranteed_callers(self) -> int:
        """How many callers' connections are allowed however many the links need."""
        return self.available() // DESCRIPTORS_PER_GUARANTEED_CALLER

    def caller_limit(self) -> int:
        """How many callers' connections are allowed at present."""
        for_links = max(DESCRIPTORS_PER_EXCHANGE * len(self.exchanges.by_id), len(self.links.by_stream))
        return max(self.guaranteed_callers(), self.available() - RESERVED_DESCRIPTORS - for_links)

    def link_limit(self) -> int:
        """How many links are allowed at present; it may be negative while another process runs."""
        for_callers = max(self.guaranteed_callers(), len(self.callers.by_stream))
        return self.available() - RESERVED_DESCRIPTORS - for_callers

    def first_link_limit(self) -> int:
        """How many links are allowed before an exchange stays without any.

        The other process is not deducted: it makes room for a process that takes over its address as soon as that
        reports its descriptors.
        """
        guaranteed_callers = self.core.socket_limit // DESCRIPTORS_PER_GUARANTEED_CALLER
        return max(self.link_limit(), self.core.socket_limit - RESERVED_DESCRIPTORS - guaranteed_callers)

    def figures(self) -> dict[str, int]:
        """Gauges: the connections of each kind that are open, and how many are allowed."""
        return {
            "callers_open": len(self.callers.by_stream),
            "callers_allowed": self.caller_limit(),
            "links_open": len(self.links.by_stream),
            "links_allowed": self.link_limit(),
            "links_not_kept": sum(link.slot >= KEPT_LINKS for link in self.links.by_stream.values()),
        }

    # --- room for links ---

    def make_room_for_link(self, exchange: Exchange, displace: Displace) -> bool:
        """Whether a link to an exchange may be opened now, perhaps after another one has been closed for it."""
        limit = self.link_limit() if exchange.links else self.first_link_limit()
        while displace is not Displace.NONE and len(self.links.by_stream) >= limit:
            if not self.close_least_needed(may_isolate=displace is Displace.ANY):
                break
        if len(self.links.by_stream) < limit:
            return True
        if displace is not Displace.NONE:
            self.core.counters["links_over_budget"] += 1
            self.record_shortage("no link can be opened")
        return False

    def close_least_needed(self, may_isolate: bool = False) -> bool:
        """Close the dispensable link that is needed least; False if there is none.

        Links that are not kept go first, then those of exchanges without standing calls, then those unused longest. The
        only link of an exchange goes last, and only if `may_isolate` is set.
        """
        dispensable = [link for link in self.links.by_stream.values() if self.is_dispensable(link)]
        if not may_isolate:
            dispensable = [link for link in dispensable if not self.is_only_link(link)]
        if not dispensable:
            return False
        self.writing.drop(min(dispensable, key=self._need), CloseReason.NO_DESCRIPTORS)
        return True

    def _need(self, link: Link) -> tuple[bool, bool, bool, int]:
        """A key that sorts links by how much they are needed."""
        calls_stand = bool(self.exchanges.by_id[link.exchange_id].standing_calls)
        return self.is_only_link(link), link.slot < KEPT_LINKS, calls_stand, link.last_used_us

    def is_only_link(self, link: Link) -> bool:
        """Whether no other link to the exchange is up."""
        links = self.exchanges.by_id[link.exchange_id].links.values()
        return not any(other.up for other in links if other is not link)

    def is_dispensable(self, link: Link) -> bool:
        """Whether a link can be closed without the loss of a message or of evidence.

        Not if a set-up, a release or an answer is on its way on it, nor before the initial messages have arrived. If
        calls stand at its exchange, not if one of them was answered on it, nor while the exchange is quiet: one that
        hangs will send on this link when it continues, and its links show whether it is still the same process.
        """
        if not link.up or link.attempts or link.outbox or link.in_flight or link.unconfirmed:
            return False
        if link.partial_since_us or link.held_answer is not None:
            return False
        exchange = self.exchanges.by_id[link.exchange_id]
        settled_since_us = link.first_received_us if exchange.sends_group_states else link.up_since_us
        if not settled_since_us or self.core.now - settled_since_us < INITIAL_MESSAGES_US:
            return False
        if not exchange.standing_calls:
            return True
        is_quiet = exchange.outage_since_us or self.core.now - exchange.last_alive_us >= PROBE_AFTER_US
        carries_calls = any(self.calls.by_id[call].answer_link == link.ident for call in exchange.standing_calls)
        return not (is_quiet or carries_calls or self.is_only_link(link) or self.liveness.is_last_proof_link(link))

    # --- periodic and on changes ---

    def keep_to_limit(self) -> None:
        """Close links and callers' connections beyond their limits, after one of the limits has become lower."""
        while len(self.links.by_stream) > self.link_limit():
            may_isolate = len(self.links.by_stream) > self.first_link_limit()
            if not self.close_least_needed(may_isolate):
                break
        self.callers.make_room()

    def close_idle_links(self) -> None:
        """Close the links beyond the kept ones that have not been used for `EXTRA_LINK_IDLE_US`.

        Without this, each link that a burst of further attempts has opened would hold its descriptor, here and at the
        exchange, as long as the program runs.
        """
        unused_since_us = self.core.now - EXTRA_LINK_IDLE_US
        for link in list(self.links.by_stream.values()):
            if link.slot >= KEPT_LINKS and link.last_used_us <= unused_since_us and self.is_dispensable(link):
                self.writing.drop(link, CloseReason.IDLE)

    def exhausted(self) -> None:
        """Free one descriptor after an accept or a connect has failed for lack of one.

        The budget prevents this unless the process holds descriptors that it does not know of, or may hold fewer than
        its configuration says. Without this, connections that wait to be accepted would get no answer. A caller's
        connection that has just been active is left open: its set-up may be on its way.
        """
        self.core.counters["descriptors_exhausted"] += 1
        self.record_shortage("an accept or a connect has failed")
        if not self.close_least_needed():
            self.callers.close_least_valuable(inactive_us=RECENT_ACTIVITY_US)

    def record_shortage(self, consequence: str) -> None:
        """Enter a shortage in the trace and the log, once a second at most."""
        if self.core.now - self.shortage_recorded_us < SECOND:
            return
        self.shortage_recorded_us = self.core.now
        figures = ", ".join(f"{name} {count}" for name, count in self.figures().items())
        other = self.phases.other_descriptors
        text = f"{consequence}: limit {self.core.socket_limit}, other process {other}, {figures}"
        self.core.record_event(TraceEvent.DESCRIPTORS_SHORT, reason=text)
