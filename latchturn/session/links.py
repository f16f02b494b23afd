"""Links to exchanges: which are kept open, how they come up and how they are lost.

`Links.remove` is the only place where a link leaves the tables.
"""

from __future__ import annotations

from .. import interface as i
from .component import Component
from .descriptors import Displace
from .inputs_and_effects import Close, Connect
from .limits import KEPT_LINKS, LINK_PARTIAL_TIMEOUT_US, MAX_ATTEMPT_MOVES, RECONNECT_MAX_US, RECONNECT_MIN_US
from .machines import StreamTransition
from .state import Attempt, Exchange, Link
from .timers import TimerKind
from .trace import CloseReason, TraceEvent

BUDGET_REASONS = (CloseReason.NO_DESCRIPTORS, CloseReason.IDLE)  # not caused by the peer, and not reopened at once


class Links(Component):
    """Opens links to exchanges, keeps some of them open, and clears up after lost ones."""

    def __init__(self) -> None:
        self.by_stream: dict[int, Link] = {}
        self.next_stream_id = -1  # stream ids of links are negative, those of callers positive

    def drop_unresponsive(self, link: Link) -> None:
        """Close a link that is open but delivers no messages: set-ups on it would fail, and the exchange reports the
        ends of its calls on the next link that is opened."""
        self.core.counters["links_mute"] += 1
        self.writing.drop(link, CloseReason.SILENT)

    def expect_on_other_links(self, exchange: Exchange, link: Link) -> None:
        """Note that all other links lack a group state just received on this one: the exchange sends it on each."""
        for other in exchange.links.values():
            if other is not link and other.up and not other.group_state_missing_since_us:
                other.group_state_missing_since_us = self.core.now

    def ensure_kept_links(self, exchange: Exchange) -> None:
        """Connect the next missing kept link of a usable exchange, now or when its reconnect is due.

        Links are opened one after the other. They are needed without calls too, since group states are sent only on
        open links. Without room for one, the housekeeping tries again; only the first link may displace another.
        """
        slot = next((k for k in range(KEPT_LINKS) if k not in exchange.links or not exchange.links[k].up), KEPT_LINKS)
        if self.exchanges.is_usable(exchange) and slot < KEPT_LINKS and slot not in exchange.links:
            if self.core.now >= exchange.reconnect_due_us:
                self.connect_if_room(exchange, slot, Displace.NONE if exchange.links else Displace.SPARE)
            else:
                self.timers.set(exchange.reconnect_due_us - self.core.now, TimerKind.RECONNECT, exchange)

    def reopen_kept_links(self) -> None:
        """Connect missing kept links for which there was no room before; called by each sweep."""
        for exchange in self.exchanges.by_id.values():
            if self.core.now >= exchange.reconnect_due_us:
                self.ensure_kept_links(exchange)

    def connect_if_room(self, exchange: Exchange, slot: int, displace: Displace) -> Link | None:
        """Open a link in a free slot within the descriptor budget, None if there is no room."""
        return self._connect(exchange, slot) if self.descriptors.make_room_for_link(exchange, displace) else None

    def _connect(self, exchange: Exchange, slot: int) -> Link:
        """Open a link in a free slot; it is in the tables at once, and can be written to once it is up."""
        link = Link(self.next_stream_id, exchange_id=exchange.ident, slot=slot, connect_started_us=self.core.now)
        self.next_stream_id -= 1
        self.by_stream[link.ident] = exchange.links[slot] = link
        self.core.counters["connects"] += 1
        self.core.effects.append(Connect(link.ident, exchange.address, self.classes.settings.connect_timeout_us))
        return link

    def partial_message_changed(self, link: Link, partial: bool) -> None:
        """Record whether the input of a link ends within a message, and limit how long that may last."""
        began = partial and not link.partial_since_us
        link.partial_since_us = (link.partial_since_us or self.core.now) if partial else 0
        if began:
            self.timers.set(LINK_PARTIAL_TIMEOUT_US, TimerKind.PARTIAL_MESSAGE, link)

    def partial_message_timeout(self, link: Link) -> None:
        """Close a link whose message has stayed partial for too long: set-ups on it would get no answer.

        If a new partial message has begun since the timer was set, wait for the rest of its time.
        """
        left_us = link.partial_since_us + LINK_PARTIAL_TIMEOUT_US - self.core.now
        if left_us <= 0:
            self.core.counters["links_half_read"] += 1
            self.writing.drop(link, CloseReason.HALF_READ)
        else:
            self.timers.set(left_us, TimerKind.PARTIAL_MESSAGE, link)

    def connected(self, stream: int) -> None:
        """Take a link into use that has come up, and send the releases that have waited for one."""
        link = self.by_stream.get(stream)
        if link is None:
            self.core.effects.append(Close(stream))
            return
        link.change_state(StreamTransition.CONNECTED)
        self.core.record_event(TraceEvent.LINK_UP, exchange=link.exchange_id, stream=stream)
        link.up_since_us = link.last_used_us = self.core.now
        exchange = self.exchanges.by_id[link.exchange_id]
        self.liveness.link_connected(exchange)
        self.exchange_releases.link_connected(exchange, link)
        self.writing.pending[link.ident] = link
        self.ensure_kept_links(exchange)

    def connect_failed(self, stream: int, refused: bool, no_descriptor: bool) -> None:
        """Remove a link that did not come up, refused by the exchange or timed out, or without a free descriptor.

        The lack of a descriptor shows nothing about the exchange. Without that distinction, it would begin an outage
        of an exchange that is alive.
        """
        link = self.by_stream.get(stream)
        if link is None:
            return
        if no_descriptor:
            self.core.counters["connects_without_descriptor"] += 1
            self.writing.record_close(link, CloseReason.NO_DESCRIPTORS)
            self.remove(link, CloseReason.NO_DESCRIPTORS)
            self.descriptors.exhausted()
            return
        self.core.counters["connects_refused" if refused else "connects_timed_out"] += 1
        exchange = self.exchanges.by_id[link.exchange_id]
        self.writing.record_close(link, CloseReason.CONNECT_REFUSED if refused else CloseReason.CONNECT_FAILED)
        self.remove(link, CloseReason.CONNECT_FAILED)
        self.liveness.connect_failed(exchange, link, refused)

    def remove(self, link: Link, reason: CloseReason) -> None:
        """Take a closed link out of the tables; its attempts end or move to another link."""
        exchange = self.exchanges.by_id[link.exchange_id]
        link.change_state(StreamTransition.CLOSE)
        del self.by_stream[link.ident]
        del exchange.links[link.slot]
        for attempt in sorted(link.attempts, key=lambda a: a.call.ident):
            if (
                not attempt.sent
                and link.up_since_us
                and attempt.link_changes < MAX_ATTEMPT_MOVES
                and self.exchanges.is_usable(exchange)
            ):
                # Nothing of the attempt was written, so it moves to another link. Without this, the reset of a new or
                # idle link would fail the attempt as if the exchange were dead.
                attempt.link_changes += 1
                self._move_attempt(attempt, exchange, link.slot)
            elif not attempt.sent:
                has_descriptors = reason is not CloseReason.NO_DESCRIPTORS
                self.attempts.end(attempt, i.Outcome.UNREACHABLE if has_descriptors else i.Outcome.NOT_SENT)
            else:
                attempt.call.maybe_standing_at.add(exchange.ident)
                self.attempts.end(attempt, i.Outcome.TIMED_OUT if attempt.giving_up else i.Outcome.CUT)
        for release in self.writing.undelivered_releases(link):
            self.exchange_releases.send(exchange, release)
        if link.up_since_us:
            self.missed_ends.link_lost(exchange, link, reason)
        if reason in BUDGET_REASONS:
            exchange.reconnect_due_us = self.core.now + RECONNECT_MAX_US
            return
        # The first reconnect follows at once: if the process has died, its refusal shows that without delay.
        pause_us = 0
        if exchange.consecutive_failures:
            pause_us = min(RECONNECT_MAX_US, RECONNECT_MIN_US << min(exchange.consecutive_failures, 10))
        exchange.consecutive_failures += 1
        exchange.reconnect_due_us = self.core.now + int(pause_us * self.core.random.uniform(0.5, 1.0))
        self.ensure_kept_links(exchange)

    def _move_attempt(self, attempt: Attempt, exchange: Exchange, slot: int) -> None:
        """Queue an attempt of which nothing has been written on the link that is opened in place of its lost one."""
        link = exchange.links.get(slot) or self.connect_if_room(exchange, slot, Displace.ANY)
        if link is None:
            self.attempts.end(attempt, i.Outcome.NOT_SENT)
            return
        attempt.link = link
        link.attempts.add(attempt)
        self.writing.queue(link, attempt)
