"""Ends of calls towards their callers: on which connection a release goes, and when it goes on another.

A call that stood belongs to no connection, so its release may go on any. Owns the releases that wait for a connection.
It must not decide that a call is over, nor close a connection.
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
    """Sends the releases of calls that stood, again and another way where they may not have arrived."""

    def __init__(self) -> None:
        self.held: list[tuple[int, Release]] = []  # until when, and what waits for a connection

    def send(self, preferred: int, release: Release) -> None:
        """Send the release of a call that stood on the best connection, or keep it for the next one.

        Any will do for its caller, but not one of somebody else's: where the call's own is no more, those go
        first on which calls have stood, and one that never set up a call is the last resort.
        """
        self.core.counters["releases_to_callers"] += 1
        caller = self.callers.by_stream.get(preferred)
        if caller is None or caller.finishing:
            caller = self.best_caller()
        over = self.calls.ended.get(release.call)
        # One that has been told on connections which closed since has waited long enough already.
        urgent = over is not None and self.core.now - (over.remembered_until_us - ENDED_CALL_TTL_US) >= RELEASE_HOLD_US
        if caller is None or not (caller.trust or urgent):
            self.core.record(TraceEvent.RELEASE_HELD, call=release.call)
            self.held.append((self.core.now + CALLER_RELEASE_TTL_US, release))
        else:
            self.core.record(TraceEvent.RELEASE_SENT, call=release.call, stream=caller.ident)
            self.writing.queue(caller, release)

    def send_again(self, caller: Caller) -> None:
        """Guards against a release that is lost with a connection whose caller is gone, or never cared for
        it: callers confirm what they hear. Without another connection it waits for one that comes."""
        stuck = self.is_stuck(caller)
        if not (stuck or caller.unconfirmed):  # so that a sweep looks at each connection once
            return
        other = self.best_other(caller)
        if other is None:
            return
        if stuck:
            self.redirect_stuck_ends(caller, other)
        unheard = [k for k, (at, _) in caller.unconfirmed.items() if at <= self.core.now - CONFIRMATION_TIMEOUT_US]
        for ident in unheard:
            _, release = caller.unconfirmed.pop(ident)
            over = self.calls.ended.get(ident)
            if over is not None and over.stood and over.resend_count < MAX_RELEASE_RESENDS:
                over.resend_count += 1
                self.core.counters["releases_sent_again"] += 1
                self.writing.queue(other, release)

    def is_stuck(self, caller: Caller) -> bool:
        """Whether a write on a connection takes so long that its peer seems to take nothing in."""
        return bool(caller.in_flight) and self.core.now - caller.write_started_us > CONFIRMATION_TIMEOUT_US

    def redirect_stuck_ends(self, caller: Caller, other: Caller) -> None:
        """Send the ends of calls that wait on a stuck connection another way: they are owed within 1 s."""
        stuck = [] if caller.ends_resent else [m for m in caller.in_flight if self._is_end(m)]
        waiting = [m for m in caller.outbox if self._is_end(m)]
        caller.ends_resent = True
        caller.outbox = deque(m for m in caller.outbox if not self._is_end(m))
        for release in (*stuck, *waiting):
            self.core.counters["releases_sent_again"] += 1
            self.writing.queue(other, release)

    def _is_end(self, message: Outgoing) -> bool:
        """Whether a message tells the end of a call that stood."""
        over = self.calls.ended.get(message.call) if isinstance(message, Release) else None
        return over is not None and over.stood

    def best_other(self, caller: Caller) -> Caller | None:
        """The best other connection, None if there is none that takes what is written."""
        other = self.best_caller(caller)
        return None if other is None or self.is_stuck(other) else other

    def best_caller(self, but: Caller | None = None) -> Caller | None:
        open_ = [c for c in self.callers.by_stream.values() if not c.finishing and c is not but]
        return max(open_, key=lambda c: (not self.is_stuck(c), c.trust, c.last_active_us)) if open_ else None

    def send_held(self, caller: Caller) -> None:
        """Send the releases that have been held for a connection."""
        held, self.held = self.held, []
        for _, release in held:
            self.writing.queue(caller, release)

    def check(self) -> None:
        """Now and then: send releases that have been held long enough for a caller with a call to any other."""
        self.held = [kept for kept in self.held if kept[0] > self.core.now]
        if not self.held:
            return
        held_since_us = self.held[0][0] - CALLER_RELEASE_TTL_US
        best = self.best_caller()
        if best is not None and self.core.now - held_since_us > RELEASE_HOLD_US:
            self.send_held(best)
