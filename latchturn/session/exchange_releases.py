"""Releases to exchanges, until the exchange has confirmed them.

A call that has ended here may still stand at its exchange: the answer to an attempt was lost, and so may be the release
that follows it. Such a call ends there later, and its exchange reports that end like any other. If its id is not known
by then, the report is taken for that of a call that stood before a restart, and a caller that was refused long ago gets
a second answer. Rules:

Pending: each release written to an exchange is pending until the exchange confirms it or reports the end of the call.
The confirmation counts on the link of the release, where it follows all earlier messages about the call, and on links
opened after it, on which the exchange first repeats the ends that it has reported on links that no longer deliver. An
exchange that is gone or has restarted has no calls, so nothing is pending there.

Memory: the id of a call is remembered as long as a release of it is pending (`Housekeeping`).

Repetition: a release that is not confirmed in time is repeated on another link and on one opened for it, while the call
is over and does not stand at this exchange: a release also ends a later attempt under the same id. If its link has
delivered something since, the exchange is only slow, and it gets more time.

Exit: a process that ends without a successor waits for the confirmations of calls that did not stand, for a limited
time. What is pending is handed over to a successor.
"""

from __future__ import annotations

from collections.abc import Iterator

from ..protocol import Release
from .component import Component
from .limits import (
    CONFIRMATION_WAIT_MAX_US,
    CONFIRMATION_WAIT_US,
    EXIT_CONFIRMATION_LIMIT_US,
    EXIT_CONFIRMATION_WAIT_US,
    MAX_PENDING_RELEASES,
    MAX_UNCONFIRMED_REPETITIONS,
    MAX_UNCONFIRMED_WAITS,
    SILENT_CONFIRMATION_WAIT_US,
)
from .state import Exchange, Link, PendingRelease
from .timers import TimerKind
from .trace import TraceEvent


class ExchangeReleases(Component):
    """Sends releases to exchanges, and repeats those that are not confirmed."""

    # --- sending ---

    def send(self, exchange: Exchange, release: Release) -> None:
        """Send a release on any open link, or keep it for the next link that comes up."""
        # A write in progress may be stuck, so links without one come first.
        up_links = [k for k in exchange.links.values() if k.up]
        link = min(up_links, key=lambda k: bool(k.in_flight), default=None)
        known = exchange.pending_releases.get(release.call)
        if link is not None:
            if known is not None:
                known.repeated_on.add(link.ident)
            self.writing.queue(link, release)
        elif known is not None:
            known.link = 0
        else:
            self._add(exchange, PendingRelease(release.call, release.cause, exchange.ident, self.core.now))

    def written(self, link: Link, release: Release) -> None:
        """Note that a release has been written on a link; from now on it is pending."""
        exchange = self.exchanges.by_id[link.exchange_id]
        known = exchange.pending_releases.get(release.call)
        if known is not None and (link.ident in known.repeated_on or not known.link):
            known.link = known.link or link.ident
            return
        if known is not None:
            self._remove(exchange, known)  # of an earlier attempt
        self._add(exchange, PendingRelease(release.call, release.cause, exchange.ident, self.core.now, link.ident))

    def link_connected(self, exchange: Exchange, link: Link) -> None:
        """Send the releases on a new link that have waited for one, or were not confirmed in time."""
        for pending in exchange.pending_releases.values():
            if (not pending.link or pending.waits) and self._may_repeat(exchange, pending):
                self._repeat(pending, link)

    # --- the end of the wait ---

    def confirmed(self, link: Link, call_id: int) -> None:
        """The exchange has confirmed a release on a link."""
        link.unconfirmed.pop(call_id, None)
        exchange = self.exchanges.by_id[link.exchange_id]
        exchange.has_confirmed_releases = True
        pending = exchange.pending_releases.get(call_id)
        if pending is not None and self._is_ordered(pending, link):
            self._remove(exchange, pending)

    def end_reported(self, exchange: Exchange, call_id: int) -> None:
        """The exchange has reported the end of a call, which therefore stands there no longer."""
        pending = exchange.pending_releases.get(call_id)
        if pending is not None:
            self._remove(exchange, pending)

    def clear(self, exchange: Exchange) -> None:
        """The process of an exchange has ended, and its calls with it."""
        for pending in list(exchange.pending_releases.values()):
            self._remove(exchange, pending)

    def add_inherited(self, call_id: int, exchange_id: int, cause: int) -> None:
        """Go on with a release that the predecessor hands over; the call has ended for its caller."""
        exchange = self.exchanges.by_id.get(exchange_id)
        if exchange is None or call_id in self.calls.by_id:
            return
        if call_id not in self.calls.ended:
            self.calls.remember_ended(call_id, False, True)
        if call_id not in exchange.pending_releases:
            self.core.counters["releases_inherited"] += 1
            self.send(exchange, Release(call_id, cause))

    def is_pending(self, call_id: int) -> bool:
        """Whether a call may still stand at an exchange although it has ended here."""
        return any(call_id in exchange.pending_releases for exchange in self.exchanges.by_id.values())

    # --- repetition ---

    def not_confirmed_in_time(self, pending: PendingRelease) -> None:
        """Repeat a release, and wait again."""
        exchange = self.exchanges.by_id.get(pending.exchange_id)
        if exchange is None or exchange.pending_releases.get(pending.call_id) is not pending:
            return
        busy_until_us = pending.first_sent_us + CONFIRMATION_WAIT_US
        if not self.phases.sigterm_us and self.core.now < busy_until_us and self._has_delivered_since(pending):
            pending.timer = self.timers.set(busy_until_us - self.core.now, TimerKind.RELEASE, pending)
            return
        pending.waits += 1
        if pending.waits > MAX_UNCONFIRMED_WAITS and not exchange.has_confirmed_releases:
            self._remove(exchange, pending)
            return
        expects_confirmation = exchange.has_confirmed_releases or pending.waits <= MAX_UNCONFIRMED_REPETITIONS
        if (expects_confirmation or self.phases.sigterm_us) and self._may_repeat(exchange, pending):
            self._repeat_on_other_links(exchange, pending)
        self._wait(pending)

    def _has_delivered_since(self, pending: PendingRelease) -> bool:
        """Whether the link of a release has delivered a message since: then its exchange is only slow to confirm."""
        link = self.links.by_stream.get(pending.link)
        return link is not None and link.last_received_us > pending.first_sent_us

    def _may_repeat(self, exchange: Exchange, pending: PendingRelease) -> bool:
        """Whether a further release cannot end a later attempt or the standing call itself."""
        call = self.calls.by_id.get(pending.call_id)
        if call is None:
            return True
        return call.standing_exchange is not None and not self.exchanges.may_hold_call(exchange, call)

    def _repeat_on_other_links(self, exchange: Exchange, pending: PendingRelease) -> None:
        """Repeat a release on a link that is open, and on one opened after it, if necessary a new one."""
        others = [k for k in exchange.links.values() if k.up and k.ident != pending.link]
        ordered = [k for k in others if self._is_ordered(pending, k)]
        if best := max(ordered or others, key=lambda k: k.last_received_us, default=None):
            self._repeat(pending, best)
        if ordered:
            return
        if self.phases.sigterm_us:
            self.liveness.open_extra_link(exchange, may_replace=True, max_wait_us=EXIT_CONFIRMATION_WAIT_US)
        else:
            self.missed_ends.schedule_recovery_link(exchange)

    def _repeat(self, pending: PendingRelease, link: Link) -> None:
        self.core.counters["releases_to_exchanges_repeated"] += bool(pending.link)
        pending.repeated_on.add(link.ident)
        self.writing.queue(link, Release(pending.call_id, pending.cause))

    @staticmethod
    def _is_ordered(pending: PendingRelease, link: Link) -> bool:
        """Whether what a link delivers comes after all that its exchange has reported about the call before."""
        return link.ident == pending.link or link.connect_started_us >= pending.first_sent_us

    def _wait(self, pending: PendingRelease) -> None:
        """Set the timer for the next repetition."""
        is_short = self.phases.sigterm_us and not self.phases.has_successor
        base_us = EXIT_CONFIRMATION_WAIT_US if is_short else SILENT_CONFIRMATION_WAIT_US
        delay_us = min(base_us << pending.waits, CONFIRMATION_WAIT_MAX_US)
        pending.timer = self.timers.set(delay_us, TimerKind.RELEASE, pending)

    # --- the exit ---

    def all_pending(self) -> Iterator[PendingRelease]:
        """The pending releases of all exchanges."""
        for exchange in self.exchanges.by_id.values():
            yield from exchange.pending_releases.values()

    def hurry(self) -> None:
        """SIGTERM: repeat what is pending soon."""
        for pending in list(self.all_pending()):
            self.timers.cancel(pending.timer)
            pending.waits = 0
            self._wait(pending)

    def delays_exit(self) -> bool:
        """Whether the program should not exit yet, since a call that it has refused or failed may still stand."""
        since_us = self.core.now - EXIT_CONFIRMATION_LIMIT_US
        return any(p.first_sent_us > since_us and not self._stood(p.call_id) for p in self.all_pending())

    def to_hand_over(self) -> tuple[tuple[int, int, int], ...]:
        """What is pending for calls that have ended, as a successor takes it: call, exchange and cause of each."""
        over = [p for p in self.all_pending() if p.call_id not in self.calls.by_id]
        return tuple((p.call_id, p.exchange_id, int(p.cause)) for p in over)

    def _stood(self, call_id: int) -> bool:
        ended = self.calls.ended.get(call_id)
        return ended is not None and ended.stood

    # --- the table ---

    def _add(self, exchange: Exchange, pending: PendingRelease) -> None:
        exchange.pending_releases[pending.call_id] = pending
        if len(exchange.pending_releases) > MAX_PENDING_RELEASES:
            self._remove(exchange, next(iter(exchange.pending_releases.values())))
        self._wait(pending)

    def _remove(self, exchange: Exchange, pending: PendingRelease) -> None:
        self.timers.cancel(pending.timer)
        if pending.waits:
            waited_ms = (self.core.now - pending.first_sent_us) // 1000
            self.core.record_event(
                TraceEvent.RELEASE_SETTLED,
                call=pending.call_id,
                exchange=exchange.ident,
                reason=f"after {waited_ms} ms",
            )
        del exchange.pending_releases[pending.call_id]
