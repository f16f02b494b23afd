"""Housekeeping: the periodic checks that run every `SWEEP_INTERVAL_US`, each in a method of its own.

It owns no state except the time of the last sweep. Conclusions about a peer belong to the component that owns the peer.
"""

from __future__ import annotations

from .. import interface as i
from .component import Component
from .limits import (
    CALLER_PARTIAL_TIMEOUT_US,
    ENDED_CALL_TTL_US,
    FAULTS_FORGIVEN_PER_SWEEP,
    FIRST_MESSAGE_TIMEOUT_US,
    MAX_SWEEP_DELAY_US,
    SWEEP_INTERVAL_US,
    UNRESPONSIVE_US,
    WRITE_TIMEOUT_US,
)
from .state import Caller, Link, Stream
from .timers import TimerKind
from .trace import CloseReason


class Housekeeping(Component):
    """Closes connections that have been silent or stuck for too long, and drops expired records."""

    def __init__(self) -> None:
        self.last_sweep_us = 0  # 0 before the first
        self.was_late = False  # whether the last sweep was late and therefore drew no conclusions

    def sweep(self) -> None:
        """Run all checks once, and schedule the next sweep."""
        self.timers.set(SWEEP_INTERVAL_US, TimerKind.SWEEP)
        on_time = self._is_on_time()
        self.channel.check()
        streams: list[Caller | Link] = [*self.callers.by_stream.values(), *self.links.by_stream.values()]
        for stream in streams:
            self._check_releases(stream)
            self._check_write(stream)
        for caller in list(self.callers.by_stream.values()):
            self._check_caller(caller)
        if on_time:
            for link in list(self.links.by_stream.values()):
                self._check_link(link)
            for exchange in list(self.exchanges.by_id.values()):
                self.liveness.check(exchange)
                self.missed_ends.check(exchange)
        self.descriptors.keep_to_limit()
        self.descriptors.close_idle_links()
        self.links.reopen_kept_links()
        self._drop_old_settings()
        self.end_notices.check()
        self._drop_expired()

    def _is_on_time(self) -> bool:
        """Whether this sweep may conclude anything from the silence of peers.

        After this process has been stopped for a time, messages that arrived meanwhile are still unread, and all peers
        would seem silent. So a late sweep draws no conclusions; the sweep after it does, late or not.
        """
        is_late = (
            bool(self.last_sweep_us) and self.core.now - self.last_sweep_us > SWEEP_INTERVAL_US + MAX_SWEEP_DELAY_US
        )
        self.last_sweep_us = self.core.now
        self.was_late = is_late and not self.was_late
        return not self.was_late

    def _check_releases(self, stream: Caller | Link) -> None:
        """Send unconfirmed releases on another connection, and drop those that are taken to have arrived."""
        if isinstance(stream, Caller):
            self.end_notices.send_again(stream)
        for call_id in self.writing.presumed_delivered(stream):
            del stream.unconfirmed[call_id]

    def _check_write(self, stream: Stream) -> None:
        """Close a connection whose write has not completed within `WRITE_TIMEOUT_US`."""
        if stream.in_flight and self.core.now - stream.write_started_us > WRITE_TIMEOUT_US:
            self.writing.drop(stream, CloseReason.WRITE_STUCK)

    def _check_link(self, link: Link) -> None:
        """Close a link that does not receive what other links of its exchange receive, unless it is the last proof
        link."""
        if not link.up or link.ident not in self.links.by_stream or self.liveness.is_last_proof_link(link):
            return
        if self._misses_group_states(link) or self._is_silent_beside_newer(link):
            self.links.drop_unresponsive(link)

    def _misses_group_states(self, link: Link) -> bool:
        """Whether a link has lacked a group state for some time while other links of its exchange receive messages."""
        links = self.exchanges.by_id[link.exchange_id].links.values()
        return (
            bool(link.group_state_missing_since_us)
            and max(k.last_received_us for k in links) - link.group_state_missing_since_us > UNRESPONSIVE_US
        )

    def _is_silent_beside_newer(self, link: Link) -> bool:
        """Whether a link has never received a message although a link that came up later has: exchanges send first."""
        links = self.exchanges.by_id[link.exchange_id].links.values()
        newer_first_us = [
            k.first_received_us for k in links if k.up_since_us > link.up_since_us and k.first_received_us
        ]
        return (
            not link.last_received_us and bool(newer_first_us) and self.core.now - min(newer_first_us) > UNRESPONSIVE_US
        )

    def _check_caller(self, caller: Caller) -> None:
        """Close a connection whose message stays partial, or an idle one to which nothing has been sent in time."""
        caller.faults = max(0, caller.faults - FAULTS_FORGIVEN_PER_SWEEP)
        if caller.finishing:
            return
        if caller.partial_since_us and self.core.now - caller.partial_since_us > CALLER_PARTIAL_TIMEOUT_US:
            self.callers.shut(caller, "its message stays incomplete")
        elif not caller.sent_anything and caller.idle and self.core.now - caller.accepted_us > FIRST_MESSAGE_TIMEOUT_US:
            self.core.counters["callers_silent"] += 1
            self.writing.drop(caller, CloseReason.SAID_NOTHING)

    def _drop_old_settings(self) -> None:
        """Drop the call classes of the previous settings once the last caller that used them must have given up."""
        if self.classes.previous and self.core.now > self.classes.previous_until_us:
            self.classes.apply(self.classes.configured, None)
            self.core.events.append(i.SettingsChanged(self.classes.settings))

    def _drop_expired(self) -> None:
        """Drop the ids of calls that ended long ago, but for those that may still stand at an exchange."""
        ended = self.calls.ended
        while ended and (first := next(iter(ended.items())))[1].remembered_until_us <= self.core.now:
            call_id, call = first
            del ended[call_id]
            if self.exchange_releases.is_pending(call_id):
                call.remembered_until_us = self.core.now + ENDED_CALL_TTL_US
                ended[call_id] = call
