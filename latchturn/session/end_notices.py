"""Releases to callers for answered calls that have ended: on which connection each is sent, and sent again.

An answered call belongs to no connection, so its release may be sent on any. This component owns the releases that wait
for a connection. It must not decide that a call has ended, nor close a connection.
"""

from __future__ import annotations

from collections import deque

from ..protocol import Release
from .component import Component
from .limits import (
    CALLER_RELEASE_TTL_US,
    CONFIRMATION_TIMEOUT_US,
    ENDED_CALL_TTL_US,
    MAX_RELEASE_RESENDS,
    RELEASE_HOLD_US,
)
from .state import Caller, Outgoing
from .trace import TraceEvent


class EndNotices(Component):
    """Sends releases of ended calls, and again on another connection if they have possibly not arrived."""

    def __init__(self) -> None:
        self.held: list[tuple[int, Release]] = []  # when it expires, and the release

    def send(self, preferred: int, release: Release) -> None:
        """Send the release of an ended call on the preferred stream, else on the best other, or hold it for the next.

        Any connection of its caller will do, but not one of another program. If the connection of the call is closed,
        connections with answered calls come first. One without a valid set-up is used only if the release is urgent.
        """
        self.core.counters["releases_to_callers"] += 1
        caller = self.callers.by_stream.get(preferred)
        if caller is None or caller.finishing:
            caller = self.best_caller()
        ended = self.calls.ended.get(release.call)
        # A release that was already sent on connections which then closed has waited long enough.
        urgent = (
            ended is not None and self.core.now - (ended.remembered_until_us - ENDED_CALL_TTL_US) >= RELEASE_HOLD_US
        )
        if caller is None or not (caller.trust or urgent):
            self.core.record_event(TraceEvent.RELEASE_HELD, call=release.call)
            self.held.append((self.core.now + CALLER_RELEASE_TTL_US, release))
        else:
            self.core.record_event(TraceEvent.RELEASE_SENT, call=release.call, stream=caller.ident)
            self.writing.queue(caller, release)

    def send_again(self, caller: Caller) -> None:
        """Send releases that are not confirmed in time, or wait on a stuck connection, on another connection too.

        Callers confirm each release. Without this, one would be lost on a connection behind which no caller is left, or
        whose caller is not concerned by it. While there is no other connection, the releases stay where they are.
        """
        stuck = self.is_stuck(caller)
        if not (stuck or caller.unconfirmed):  # else each sweep would compare all connections for each one
            return
        other = self.best_other(caller)
        if other is None:
            return
        if stuck:
            self.redirect_stuck_ends(caller, other)
        overdue = [
            call_id
            for call_id, (written_us, _) in caller.unconfirmed.items()
            if written_us <= self.core.now - CONFIRMATION_TIMEOUT_US
        ]
        for call_id in overdue:
            _, release = caller.unconfirmed.pop(call_id)
            ended = self.calls.ended.get(call_id)
            if ended is not None and ended.stood and ended.resend_count < MAX_RELEASE_RESENDS:
                ended.resend_count += 1
                self.core.counters["releases_sent_again"] += 1
                self.writing.queue(other, release)

    def is_stuck(self, caller: Caller) -> bool:
        """Whether a write on a connection takes so long that its peer seems to read nothing."""
        return bool(caller.in_flight) and self.core.now - caller.write_started_us > CONFIRMATION_TIMEOUT_US

    def redirect_stuck_ends(self, caller: Caller, other: Caller) -> None:
        """Send the releases that wait on a stuck connection on another one: callers must get them within 1 s."""
        stuck = [] if caller.ends_resent else [m for m in caller.in_flight if self._is_end(m)]
        waiting = [m for m in caller.outbox if self._is_end(m)]
        caller.ends_resent = True
        caller.outbox = deque(m for m in caller.outbox if not self._is_end(m))
        for release in (*stuck, *waiting):
            self.core.counters["releases_sent_again"] += 1
            self.writing.queue(other, release)

    def _is_end(self, message: Outgoing) -> bool:
        """Whether an item is the release of an answered call that has ended."""
        ended = self.calls.ended.get(message.call) if isinstance(message, Release) else None
        return ended is not None and ended.stood

    def best_other(self, caller: Caller) -> Caller | None:
        """The best connection but this one, None if there is none or it is stuck too."""
        other = self.best_caller(caller)
        return None if other is None or self.is_stuck(other) else other

    def best_caller(self, excluded: Caller | None = None) -> Caller | None:
        """The best connection for a release: not stuck, with the highest trust, and most recently active."""
        open_ = [c for c in self.callers.by_stream.values() if not c.finishing and c is not excluded]
        return max(open_, key=lambda c: (not self.is_stuck(c), c.trust, c.last_active_us)) if open_ else None

    def send_held(self, caller: Caller) -> None:
        """Send all held releases on a connection."""
        held, self.held = self.held, []
        for _, release in held:
            self.writing.queue(caller, release)

    def check(self) -> None:
        """Called by the housekeeping: drop expired releases, and send the others on any connection once one of them has
        waited `RELEASE_HOLD_US` for a connection with a valid set-up."""
        self.held = [item for item in self.held if item[0] > self.core.now]
        if not self.held:
            return
        held_since_us = self.held[0][0] - CALLER_RELEASE_TTL_US
        best = self.best_caller()
        if best is not None and self.core.now - held_since_us > RELEASE_HOLD_US:
            self.send_held(best)
