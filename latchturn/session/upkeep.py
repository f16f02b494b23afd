"""What is done now and then: vanished peers, what is too old, what waits for a better moment."""

from __future__ import annotations

from .. import interface as i
from .limits import (
    FAULTS_FORGIVEN,
    HALF_READ_US,
    HOLD_RELEASE_US,
    MUTE_US,
    SPEAK_US,
    STANDING_RELEASE_US,
    STUCK_US,
    SWEEP_US,
)
from .part import Part
from .state import Caller, Link, Stream
from .timers import TimerKind
from .trace import CloseReason


class Upkeep(Part):
    """What is done now and then: vanished peers, what is too old, what waits for a better moment."""

    def sweep(self) -> None:
        """Now and then: end writes and links of vanished peers, drop what is too old."""
        self.timers.set(SWEEP_US, TimerKind.SWEEP)
        self.channel.check()
        streams: list[Stream] = [*self.callers.by_stream.values(), *self.links.by_stream.values()]
        for stream in streams:
            if isinstance(stream, Caller):
                self.callers.send_again(stream)
            for ident in self.writing.settled_releases(stream):
                del stream.unheard[ident]
            if stream.in_flight and self.core.now - stream.write_began_us > STUCK_US:
                self.writing.drop(stream, CloseReason.WRITE_STUCK)
            elif isinstance(stream, Link) and stream.up and stream.missed_us:
                links = self.exchanges.by_id[stream.exchange].links.values()
                missed_us = max(k.heard_us for k in links) - stream.missed_us
                if missed_us > MUTE_US and not self.liveness.is_last_witness(stream):
                    self.links.drop_mute(stream)
        for caller in list(self.callers.by_stream.values()):
            caller.faults = max(0, caller.faults - FAULTS_FORGIVEN)
            if caller.finishing:
                continue
            if caller.half_us and self.core.now - caller.half_us > HALF_READ_US:
                self.callers.shut(caller, "its message stays half read")
            elif not caller.told and caller.idle and self.core.now - caller.accepted_us > SPEAK_US:
                self.core.counters["callers_silent"] += 1
                self.writing.drop(caller, CloseReason.SAID_NOTHING)
        if self.classes.before and self.core.now > self.classes.before_until_us:
            self.classes.use(self.classes.read, None)
            self.core.events.append(i.SettingsChanged(self.classes.settings))
        self.callers.unsent = [kept for kept in self.callers.unsent if kept[0] > self.core.now]
        held = self.callers.unsent and self.callers.unsent[0][0] - STANDING_RELEASE_US < self.core.now - HOLD_RELEASE_US
        if held and (best := self.callers.best()) is not None:
            self.callers.send_unsent(best)
        for exchange in list(self.exchanges.by_id.values()):
            exchange.unsent = [kept for kept in exchange.unsent if kept[0] > self.core.now]
            self.liveness.check(exchange)
        while self.calls.over and (first := next(iter(self.calls.over.items())))[1].until_us <= self.core.now:
            del self.calls.over[first[0]]
