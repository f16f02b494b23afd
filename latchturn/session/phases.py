"""The phases of the program: start, drain, end, and replacement on both sides of it."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum

from .. import operations
from ..protocol import ListUpdate
from .component import Component
from .inputs_and_effects import AcceptCallers, CloseIdle, Exit, HandOverCalls
from .limits import (
    DRAIN_FORCE_CLOSE_US,
    DRAIN_INTERVAL_US,
    DRAIN_MIN_OPEN_US,
    DRAIN_REFUSE_US,
    READY_TIMEOUT_US,
    SIGKILL_MARGIN_US,
    SIGTERM_ANSWER_MARGIN_US,
    SIGTERM_CLOSE_INTERVAL_US,
    SIGTERM_FLUSH_US,
    SIGTERM_GRACE_US,
    SIGTERM_MAX_CLOSE_US,
    SIGTERM_MAX_WAIT_US,
    SUCCEEDED_FORCE_CLOSE_SHARE,
    SUCCEEDED_REFUSE_SHARE,
    SWEEP_INTERVAL_US,
)
from .machines import PHASE, PhaseState, PhaseTransition
from .timers import TimerKind
from .trace import CloseReason, TraceEvent


class Phase(Enum):
    """What the program is at, as the operators are told it."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    ENDING = "ending"


class Phases(Component):
    """The phases of the program: start, drain, end, and replacement on both sides of it."""

    def __init__(self) -> None:
        self.state = PhaseState.OPEN
        self.listening = False
        self.replaces_predecessor = False  # another process serves until this one is ready
        self.other_descriptors = 0  # descriptors, in the process before or after this one
        self.other_calls = 0
        self.started_us = 0
        self.drain_since_us = 0  # since when it drains, else 0
        self.drain_count = 0  # how often it has begun to
        self.refuse_from_us = math.inf  # from then on new set-ups are refused
        self.force_close_from_us = math.inf  # from then on less is waited for
        self.sigterm_us = 0  # when SIGTERM came
        self.answer_all_by_us = 0  # when all that is open then is answered
        self.exit_by_us = 0  # when the program ends at the latest
        self.closing_since_us = 0  # since when connections are closed for the end, else 0
        self.refuse_all = False

    def change_state(self, transition: PhaseTransition) -> None:
        """Go on to the next phase; InvalidTransition if the table has none."""
        before, self.state = self.state, PHASE.next_state(self.state, transition)
        open_ = sum(call.standing_exchange is None for call in self.calls.by_id.values())
        text = f"{before.name} to {self.state.name} by {transition.name}: {len(self.callers.by_stream)} connections"
        text += f", {open_} calls open, {len(self.calls.by_id) - open_} stand"
        self.core.record(TraceEvent.PHASE, reason=text)

    def is_work_done(self) -> bool:
        """After SIGTERM: whether all that was taken is answered, and nothing new can come in."""
        since = self.core.now - self.sigterm_us
        busy = any(c.unanswered or c.outbox or c.in_flight for c in self.callers.by_stream.values())
        busy = busy or any(k.up and (k.outbox or k.in_flight) for k in self.links.by_stream.values())
        if self.core.now >= self.exit_by_us:
            return True
        if self.has_successor:
            return not self.callers.by_stream and not busy
        return since >= SIGTERM_GRACE_US and not busy

    def figures(self) -> dict[str, int]:
        """Every figure as it is now: those of the operators' table, then the other counters."""
        names = [operations.class_figure_name(n, c) for c in self.classes.known_names for n in operations.CLASS_FIGURES]
        counted = ("forwards", "sighup_applied", "sighup_rejected")
        figures = {name: self.core.counters[name] for name in (*names, *counted)}
        # Those that stand too: they have not ended. Two processes are one session controller.
        figures["outstanding"] = len(self.calls.by_id) + self.other_calls
        figures["discovered"] = len(self.exchanges.by_id)
        figures["ejected"] = self.decision_module.controller.backed_off(self.core.now)
        return figures | {name: n for name, n in sorted(self.core.counters.items()) if name not in figures}

    def handle_command(self, command: operations.Command | None) -> bytes:
        if command is operations.Command.PING:
            return operations.encode_answer(self.phase is Phase.SERVING, self.phase.value)
        if command is operations.Command.INFO:
            return operations.encode_answer(True, self.phase.value, self.figures())
        if command is not None:
            if self.phase is Phase.ENDING:
                return operations.encode_answer(False, self.phase.value)
            if command is operations.Command.REJOIN:
                self.change_state(PhaseTransition.REJOIN)
                self.stop_drain()
            elif not self.drain_since_us:
                self.core.log(f"draining: {len(self.callers.by_stream)} connections, {len(self.calls.by_id)} calls")
                self.change_state(PhaseTransition.DRAIN)
                self.start_drain(self.core.now + DRAIN_REFUSE_US, self.core.now + DRAIN_FORCE_CLOSE_US)
            return operations.encode_answer(True, self.phase.value)
        return operations.encode_answer(False, "this can be asked: " + " ".join(c.value for c in operations.Command))

    @property
    def phase(self) -> Phase:
        """What the program is at: PING at the admin listener and the tests of callers' connections follow it."""
        if self.state is not PhaseState.OPEN and self.state is not PhaseState.DRAINING:
            return Phase.ENDING
        if self.state is PhaseState.DRAINING:
            return Phase.DRAINING
        return Phase.SERVING if self.is_ready() else Phase.STARTING

    def is_ready(self) -> bool:
        """Whether calls can be taken and sent: the listener serves and all groups are told, or should be."""
        if not self.listening:
            return False
        if self.core.now - self.started_us >= READY_TIMEOUT_US:
            return True
        return all(
            e.sends_group_states or e.consecutive_failures or not self.exchanges.is_usable(e)
            for e in self.exchanges.by_id.values()
        )

    def start_drain(self, refuse_from_us: float, force_close_from_us: float) -> None:
        """Send all callers away, each once nothing of its is open. New set-ups are refused from a moment on;
        from another, less is waited for."""
        self.drain_since_us, self.refuse_from_us, self.force_close_from_us = (
            self.core.now,
            refuse_from_us,
            force_close_from_us,
        )
        self.drain_count += 1
        self.timers.set(DRAIN_INTERVAL_US, TimerKind.DRAIN, self.drain_count)

    def stop_drain(self) -> None:
        self.drain_since_us, self.refuse_from_us = 0, math.inf

    def close_drained(self) -> None:
        """Guards the calls that cross a close: a connection is closed only with nothing open or unread."""
        if not self.drain_since_us:
            return
        self.timers.set(DRAIN_INTERVAL_US, TimerKind.DRAIN, self.drain_count)
        if self.core.now - self.drain_since_us < DRAIN_MIN_OPEN_US and not self.has_successor:
            return
        patient = self.core.now < self.force_close_from_us
        # Ends of calls that stand are owed within 1 s, and no other connection may come for them: theirs stay until
        # these are told, and new set-ups on them are refused. A successor hears of the ends and passes them on.
        needed = {call.caller_stream for call in self.calls.by_id.values()}
        for caller in self.callers.by_stream.values():
            speaks = patient and (caller.partial_since_us or self.core.now - caller.accepted_us < DRAIN_MIN_OPEN_US)
            needs = caller.ident in needed and (patient or not self.has_successor)
            if caller.idle and not caller.finishing and not speaks and not needs:
                caller.close_reason = CloseReason.DRAINED
                self.core.effects.append(CloseIdle(caller.ident))

    def successor_changed(self, serves: bool) -> None:
        """A successor serves at the address, or does so no more."""
        self.change_state(PhaseTransition.SUCCEED if serves else PhaseTransition.RESUME)
        if self.sigterm_us and not serves:
            return
        self.core.effects.append(AcceptCallers(not serves))
        if serves:
            self.core.log(f"succeeded: {len(self.callers.by_stream)} connections, {len(self.calls.by_id)} calls")
            self.start_drain(math.inf, math.inf)
            self.limit_drain_by_sigterm()
        else:
            self.core.log("the successor has gone: this process takes callers again")
            self.stop_drain()

    def listener_ready(self) -> None:
        """The listener serves."""
        self.listening = True
        if not self.replaces_predecessor:
            self.core.effects.append(AcceptCallers(True))

    def terminate(self) -> None:
        """SIGTERM: say by when all that is open is answered."""
        self.change_state(PhaseTransition.TERMINATE)
        if self.sigterm_us:
            return
        self.sigterm_us = self.core.now
        kill = min(self.longest_wait_us(), SIGTERM_MAX_WAIT_US) + SIGTERM_GRACE_US
        last = kill - SIGTERM_ANSWER_MARGIN_US
        # Guards what comes in the first 0.7 s where waits are so short that `last` lies before its end.
        end = max(last + SIGTERM_FLUSH_US, min(SIGTERM_GRACE_US, kill - SIGKILL_MARGIN_US))
        self.answer_all_by_us, self.exit_by_us = self.core.now + last, self.core.now + end
        for after in (SIGTERM_GRACE_US, last, end):
            self.timers.set(after, TimerKind.TERM)
        self.limit_drain_by_sigterm()

    def longest_wait_us(self) -> int:
        """The longest wait of a caller, by which SIGKILL may come; the lesser one if settings have changed lately."""
        waits = [max(c.give_up_us for c in self.classes.configured.classes)]
        if self.classes.previous:
            waits.append(max(c.give_up_us for c in self.classes.previous.values()))
        return min(waits)

    def sigterm_timer_due(self) -> None:
        """Guards against calls that the end of the program would leave without an answer."""
        if self.core.now >= self.answer_all_by_us and not self.refuse_all:
            self.refuse_all = True
            for call in [c for c in self.calls.by_id.values() if c.standing_exchange is None]:
                self.calls.fail(call, "the program ends")

    def advance(self) -> None:
        """At the end of each step: take over once ready, end once all is done."""
        if self.replaces_predecessor and not self.sigterm_us and self.is_ready():
            self.replaces_predecessor = False
            self.core.log("ready: this process takes over")
            self.core.effects.append(AcceptCallers(True))
        if self.sigterm_us and self.state is not PhaseState.EXITED and self.close_for_exit():
            if self.has_successor:
                standing = [(c.ident, c.standing_exchange) for c in self.calls.by_id.values()]
                self.core.effects.append(HandOverCalls(tuple((k, at) for k, at in standing if at is not None)))
            self.change_state(PhaseTransition.EXIT)
            self.core.effects.append(Exit())

    def close_for_exit(self) -> bool:
        """Whether the program can end. Guards set-ups that callers go on sending on open connections: each is closed
        by itself, with nothing unread; what comes until then is refused at once, and what crosses the close is sent
        once more."""
        if not self.closing_since_us:
            if not self.is_work_done():
                return False
            self.closing_since_us = self.core.now
            self.refuse_all = True
            for call in [c for c in self.calls.by_id.values() if c.standing_exchange is None]:
                self.calls.fail(call, "the program ends")
            self.close_idle_for_exit()
        late_us = max(self.closing_since_us + SIGTERM_MAX_CLOSE_US, self.answer_all_by_us + SIGTERM_FLUSH_US)
        return not self.callers.by_stream or self.core.now >= min(late_us, self.exit_by_us + SIGTERM_CLOSE_INTERVAL_US)

    def close_idle_for_exit(self) -> None:
        """Close the connections of callers on which nothing is owed, for the end."""
        if self.state is PhaseState.EXITED:
            return
        self.timers.set(SIGTERM_CLOSE_INTERVAL_US, TimerKind.CLOSE)
        for caller in self.callers.by_stream.values():
            if caller.idle and not caller.finishing:
                caller.close_reason = CloseReason.PROGRAM_ENDS
                self.core.effects.append(CloseIdle(caller.ident))

    @property
    def has_successor(self) -> bool:
        """Whether a successor serves at the address."""
        return self.state is PhaseState.SUCCEEDED or self.state is PhaseState.SUCCEEDED_ENDING

    def limit_drain_by_sigterm(self) -> None:
        """Where there is a successor, all connections are to be closed before SIGKILL may come."""
        if self.sigterm_us and self.has_successor:
            span = self.answer_all_by_us - self.sigterm_us
            self.force_close_from_us = self.sigterm_us + SUCCEEDED_FORCE_CLOSE_SHARE * span
            self.refuse_from_us = self.sigterm_us + SUCCEEDED_REFUSE_SHARE * span

    def start(self, known: Iterable[ListUpdate], cursor: int) -> None:
        self.started_us = self.core.now
        self.timers.set(READY_TIMEOUT_US, TimerKind.READY)
        self.timers.set(SWEEP_INTERVAL_US, TimerKind.SWEEP)
        for update in known:
            self.exchanges.apply_list_update(update)
        self.channel.cursor = max(self.channel.cursor, cursor)
