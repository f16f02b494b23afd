"""The phases of the program: start, drain, exit, and the replacement of one process by another.

Decides when the program is ready, when it takes callers, which of their connections a drain closes, and when it exits.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum

from .. import operations
from ..protocol import ListUpdate
from .component import Component
from .inputs_and_effects import AcceptCallers, CloseIdle, Exit, HandOverCalls, HandOverPendingReleases
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
    """The phase of the program as the admin listener reports it."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    ENDING = "ending"


class Phases(Component):
    """Keeps the phase of the program, and drains and ends it."""

    def __init__(self) -> None:
        self.state = PhaseState.OPEN
        self.listening = False  # whether the listener for callers serves
        self.replaces_predecessor = False  # whether another process serves until this one is ready
        self.other_descriptors = 0  # held by the predecessor or the successor
        self.other_calls = 0  # held by that process
        self.started_us = 0
        self.drain_since_us = 0  # 0 if no drain is in progress
        self.drain_count = 0  # drains begun so far, by which timers of an earlier one are recognized
        self.refuse_from_us = math.inf  # from then on new set-ups are refused
        self.force_close_from_us = math.inf  # from then on a drain waits for fewer connections
        self.sigterm_us = 0  # when SIGTERM came
        self.answer_all_by_us = 0  # when calls that are still open are failed after SIGTERM
        self.exit_by_us = 0  # when the program exits at the latest
        self.closing_since_us = 0  # since when connections are closed for the exit, else 0
        self.refuse_all = False  # whether open calls have been failed for the exit and new set-ups are refused at once

    def change_state(self, transition: PhaseTransition) -> None:
        """Change to the next phase and record it; raises InvalidTransition if the table has none."""
        before, self.state = self.state, PHASE.next_state(self.state, transition)
        open_count = sum(call.standing_exchange is None for call in self.calls.by_id.values())
        text = f"{before.name} to {self.state.name} by {transition.name}: {len(self.callers.by_stream)} connections"
        text += f", {open_count} open calls, {len(self.calls.by_id) - open_count} standing"
        text += f", {sum(1 for _ in self.exchange_releases.all_pending())} releases to exchanges not confirmed"
        self.core.record_event(TraceEvent.PHASE, reason=text)

    def is_work_done(self) -> bool:
        """After SIGTERM: whether all calls taken are answered, all messages written, and no new set-up can arrive."""
        since_sigterm_us = self.core.now - self.sigterm_us
        busy = any(c.unanswered or c.outbox or c.in_flight for c in self.callers.by_stream.values())
        busy = busy or any(k.up and (k.outbox or k.in_flight) for k in self.links.by_stream.values())
        if self.core.now >= self.exit_by_us:
            return True
        if self.has_successor:
            return not self.callers.by_stream and not busy
        busy = busy or self.exchange_releases.delays_exit()
        return since_sigterm_us >= SIGTERM_GRACE_US and not busy

    def figures(self) -> dict[str, int]:
        """All figures at present: first those of the fixed table of the admin listener, then the other counters."""
        names = [operations.class_figure_name(n, c) for c in self.classes.known_names for n in operations.CLASS_FIGURES]
        counted = ("forwards", "sighup_applied", "sighup_rejected")
        figures = {name: self.core.counters[name] for name in (*names, *counted)}
        # Standing calls count, since they have not ended. So do those of the other process: during a replacement two
        # processes are one session controller.
        figures["outstanding"] = len(self.calls.by_id) + self.other_calls
        figures["discovered"] = len(self.exchanges.by_id)
        figures["ejected"] = self.decision_module.controller.backed_off(self.core.now)
        figures |= self.descriptors.figures()
        return figures | {name: n for name, n in sorted(self.core.counters.items()) if name not in figures}

    def handle_command(self, command: operations.Command | None) -> bytes:
        """Carry out a command of the admin listener and return the encoded answer; None is an unknown command."""
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
        """The phase that PING at the admin listener reports; health checks on callers' connections depend on it too."""
        if self.state is not PhaseState.OPEN and self.state is not PhaseState.DRAINING:
            return Phase.ENDING
        if self.state is PhaseState.DRAINING:
            return Phase.DRAINING
        return Phase.SERVING if self.is_ready() else Phase.STARTING

    def is_ready(self) -> bool:
        """Whether calls can be taken and sent: the listener serves, and each usable exchange has sent a group state or
        cannot be reached or linked, or `READY_TIMEOUT_US` has passed."""
        if not self.listening:
            return False
        if self.core.now - self.started_us >= READY_TIMEOUT_US:
            return True
        return all(
            e.sends_group_states or e.consecutive_failures or not e.links or not self.exchanges.is_usable(e)
            for e in self.exchanges.by_id.values()
        )

    def start_drain(self, refuse_from_us: float, force_close_from_us: float) -> None:
        """Begin to close the connections of all callers, each once it has no open call. New set-ups are refused from
        one time on. From the other, a connection is closed even if it is new or has a partial message, and with a
        successor also if its calls stand."""
        self.drain_since_us, self.refuse_from_us, self.force_close_from_us = (
            self.core.now,
            refuse_from_us,
            force_close_from_us,
        )
        self.drain_count += 1
        self.timers.set(DRAIN_INTERVAL_US, TimerKind.DRAIN, self.drain_count)

    def stop_drain(self) -> None:
        """End a drain: connections stay open and set-ups are taken again."""
        self.drain_since_us, self.refuse_from_us = 0, math.inf

    def close_drained(self) -> None:
        """One step of a drain: close the connections of callers that are idle.

        A connection is closed only if it has no open call and no unread input, so that no set-up crosses the close.
        """
        if not self.drain_since_us:
            return
        self.timers.set(DRAIN_INTERVAL_US, TimerKind.DRAIN, self.drain_count)
        if self.core.now - self.drain_since_us < DRAIN_MIN_OPEN_US and not self.has_successor:
            return
        before_force_close = self.core.now < self.force_close_from_us
        # The end of a standing call must reach its caller within 1 s, and the caller might not connect again. So these
        # connections stay open until the calls have ended, and new set-ups on them are refused. With a successor they
        # are closed too once `force_close_from_us` has come: exchanges report the ends to it, and it passes them on.
        needed = {call.caller_stream for call in self.calls.by_id.values()}
        for caller in self.callers.by_stream.values():
            may_be_sending = before_force_close and (
                caller.partial_since_us or self.core.now - caller.accepted_us < DRAIN_MIN_OPEN_US
            )
            is_needed = caller.ident in needed and (before_force_close or not self.has_successor)
            if caller.idle and not caller.finishing and not may_be_sending and not is_needed:
                caller.close_reason = CloseReason.DRAINED
                self.core.effects.append(CloseIdle(caller.ident))

    def successor_changed(self, serves: bool) -> None:
        """Hand over to a successor that serves at the address, or take callers again if it has gone."""
        self.change_state(PhaseTransition.SUCCEED if serves else PhaseTransition.RESUME)
        if self.sigterm_us and not serves:
            return
        self.core.effects.append(AcceptCallers(not serves))
        if serves:
            self.core.log(
                f"a successor serves: {len(self.callers.by_stream)} connections, {len(self.calls.by_id)} calls"
            )
            self.start_drain(math.inf, math.inf)
            self.limit_drain_by_sigterm()
        else:
            self.core.log("the successor has gone: this process accepts callers again")
            self.stop_drain()

    def listener_ready(self) -> None:
        """The listener serves: accept callers, unless another process still does."""
        self.listening = True
        if not self.replaces_predecessor:
            self.core.effects.append(AcceptCallers(True))

    def terminate(self) -> None:
        """SIGTERM: fix the times by which all open calls are answered and the program exits."""
        self.change_state(PhaseTransition.TERMINATE)
        if self.sigterm_us:
            return
        self.sigterm_us = self.core.now
        kill_after_us = min(self.longest_wait_us(), SIGTERM_MAX_WAIT_US) + SIGTERM_GRACE_US
        answer_after_us = kill_after_us - SIGTERM_ANSWER_MARGIN_US
        # Set-ups may arrive for 0.7 s. The program stays to answer them even if the callers' waits are so short that
        # `answer_after_us` is less than that.
        exit_after_us = max(
            answer_after_us + SIGTERM_FLUSH_US, min(SIGTERM_GRACE_US, kill_after_us - SIGKILL_MARGIN_US)
        )
        self.answer_all_by_us, self.exit_by_us = self.core.now + answer_after_us, self.core.now + exit_after_us
        for after_us in (SIGTERM_GRACE_US, answer_after_us, exit_after_us):
            self.timers.set(after_us, TimerKind.TERM)
        self.exchange_releases.hurry()
        self.limit_drain_by_sigterm()

    def longest_wait_us(self) -> int:
        """The longest wait of a caller, after which SIGKILL may follow SIGTERM.

        While the previous settings are still valid too, it is the shorter one of both.
        """
        waits = [max(c.give_up_us for c in self.classes.configured.classes)]
        if self.classes.previous:
            waits.append(max(c.give_up_us for c in self.classes.previous.values()))
        return min(waits)

    def sigterm_timer_due(self) -> None:
        """Fail the calls that are still open when their time after SIGTERM is over: the exit would leave them without
        an answer."""
        if self.core.now >= self.answer_all_by_us and not self.refuse_all:
            self.refuse_all = True
            for call in [c for c in self.calls.by_id.values() if c.standing_exchange is None]:
                self.calls.fail(call, "the program ends")

    def advance(self) -> None:
        """Take over from the predecessor once ready, and exit once all is done; called at the end of a step."""
        if self.replaces_predecessor and not self.sigterm_us and self.is_ready():
            self.replaces_predecessor = False
            self.core.log("ready: this process takes over from its predecessor")
            self.core.effects.append(AcceptCallers(True))
        if self.sigterm_us and self.state is not PhaseState.EXITED and self.close_for_exit():
            if self.has_successor:
                standing = [(c.ident, c.standing_exchange) for c in self.calls.by_id.values()]
                self.core.effects.append(
                    HandOverCalls(
                        tuple((call_id, exchange_id) for call_id, exchange_id in standing if exchange_id is not None)
                    )
                )
                self.core.effects.append(HandOverPendingReleases(self.exchange_releases.to_hand_over()))
            self.change_state(PhaseTransition.EXIT)
            self.core.effects.append(Exit())

    def close_for_exit(self) -> bool:
        """Close the connections of callers for the exit; whether the program can exit now.

        Callers may go on sending set-ups on open connections. So each connection is closed only when it has no unread
        input; set-ups that arrive until then are refused at once, and callers repeat those that cross the close.
        """
        if not self.closing_since_us:
            if not self.is_work_done():
                return False
            self.closing_since_us = self.core.now
            self.refuse_all = True
            for call in [c for c in self.calls.by_id.values() if c.standing_exchange is None]:
                self.calls.fail(call, "the program ends")
            self.close_idle_for_exit()
        close_limit_us = max(self.closing_since_us + SIGTERM_MAX_CLOSE_US, self.answer_all_by_us + SIGTERM_FLUSH_US)
        return not self.callers.by_stream or self.core.now >= min(
            close_limit_us, self.exit_by_us + SIGTERM_CLOSE_INTERVAL_US
        )

    def close_idle_for_exit(self) -> None:
        """Close the idle connections of callers for the exit."""
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
        """Set the times of the drain after SIGTERM with a successor: all connections must be closed before SIGKILL."""
        if self.sigterm_us and self.has_successor:
            span_us = self.answer_all_by_us - self.sigterm_us
            self.force_close_from_us = self.sigterm_us + SUCCEEDED_FORCE_CLOSE_SHARE * span_us
            self.refuse_from_us = self.sigterm_us + SUCCEEDED_REFUSE_SHARE * span_us

    def start(self, known: Iterable[ListUpdate], cursor: int) -> None:
        """Set the first timers and apply the list updates of the configuration, which end with event `cursor`."""
        self.started_us = self.core.now
        self.timers.set(READY_TIMEOUT_US, TimerKind.READY)
        self.timers.set(SWEEP_INTERVAL_US, TimerKind.SWEEP)
        for update in known:
            self.exchanges.apply_list_update(update)
        self.channel.cursor = max(self.channel.cursor, cursor)
