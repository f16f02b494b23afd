"""The properties: what must hold on every path, each a class with one sentence of law.

They see the ledger and the fact that has just come to be, so inputs and effects only. `breaks` says what is wrong, in
a sentence that names the call; None if the law holds. One property alone is told what is left in the reducer after all
has ended: `nothing-left`.
"""

from __future__ import annotations

from .. import protocol as p
from .history import History, Observation, ObservationKind

END_SENT_WITHIN_US = 1_000_000  # of a call that stood and is over, to be told on some connection
EXIT_WITHIN_US = 3_700_000  # from SIGTERM until SIGKILL may come


class Property:
    """One law."""

    name = ""
    statement = ""

    def violation(self, history: History, observation: Observation) -> str | None:
        raise NotImplementedError


class OneAnswer(Property):
    name = "one-answer"
    statement = "A call that is taken gets no second final answer, and none after its caller has given it up."

    def violation(self, history: History, observation: Observation) -> str | None:
        call = observation.call
        if observation.kind is not ObservationKind.MESSAGE_TO_CALLER or call is None:
            return None
        abandoned = call.abandoned and not call.answer_may_cross
        if isinstance(observation.message, p.Answer) and (call.final_answers_sent or abandoned):
            return f"call {call.set_up.call} is answered again or after it was given up"
        if (
            isinstance(observation.message, p.Release)
            and not call.was_answered
            and (call.final_answers_sent or abandoned)
        ):
            return f"call {call.set_up.call} is refused again or after it was given up"
        return None


class InTime(Property):
    name = "in-time"
    statement = "A call that is taken and not given up has its final answer while its caller waits."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.TIME_PASSED:
            return None
        late = [c for c in history.calls.values() if c.awaits_answer and history.now_us > c.answer_due_us]
        late = [c for c in late if c.stream not in history.stalled_streams]
        return f"call {late[0].set_up.call} has no final answer, and its caller waits no more" if late else None


class OnlyKnownCalls(Property):
    name = "no-strangers"
    statement = "Nobody is told of a call that nobody set up, nor a final answer on another's connection."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.MESSAGE_TO_CALLER:
            return None
        if observation.call is None:
            return "a caller is told of a call that nobody set up"
        if observation.call.awaits_answer and observation.stream != observation.call.stream:
            return f"the final answer of call {observation.call.set_up.call} goes to another connection"
        return None


class OneAttemptOutstanding(Property):
    name = "one-out"
    statement = "Never are two attempts of a call out: from whole at an exchange until its end or its give-up."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.SET_UP_ARRIVED or observation.call is None:
            return None
        if sum(t.arrived for t in observation.call.outstanding) > 1:
            return f"two attempts of call {observation.call.set_up.call} are out"
        return None


class MaximumAttempts(Property):
    name = "at-most"
    statement = "At most max_attempts set-ups of a call leave."

    def violation(self, history: History, observation: Observation) -> str | None:
        if (
            observation.kind is ObservationKind.SET_UP_SENT
            and observation.call is not None
            and observation.call.set_ups_sent > history.max_attempts
        ):
            return f"attempt {observation.call.set_ups_sent} of call {observation.call.set_up.call} leaves"
        return None


class Pause(Property):
    name = "pause"
    statement = "No set-up of a call leaves within release_us after an attempt timed out, was reset or cancelled."

    def violation(self, history: History, observation: Observation) -> str | None:
        call = observation.call
        if observation.kind is not ObservationKind.SET_UP_SENT or call is None or not call.pause_since_us:
            return None
        passed = history.now_us - call.pause_since_us
        if passed < history.release_us:
            return f"call {call.set_up.call} is sent again {passed / 1000:g} ms after its attempt ended so"
        return None


class NothingAfterDrain(Property):
    name = "drained"
    statement = "Nothing new goes to an exchange drain_grace_us after it was told to drain or to be gone."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.SET_UP_SENT or observation.attempt is None:
            return None
        known = history.exchanges.get(observation.attempt.exchange)
        if (
            known is not None
            and known.not_ready_since_us
            and history.now_us - known.not_ready_since_us >= history.drain_grace_us
        ):
            passed = (history.now_us - known.not_ready_since_us) // 1000
            return f"a set-up goes to exchange {observation.attempt.exchange} {passed} ms after its drain was told"
        return None


class OnlyListedExchanges(Property):
    name = "listed"
    statement = "Links are opened and set-ups sent to listed exchanges only, at the address that the list gives."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is ObservationKind.LINK_OPENED and not history.links[observation.stream]:
            return "a link is opened to an address at which the list has no exchange"
        attempt = observation.attempt if observation.kind is ObservationKind.SET_UP_SENT else None
        if attempt is not None and attempt.exchange not in history.exchanges:
            return "a set-up goes to an exchange that the list has never named"
        return None


class SetUpUnchanged(Property):
    name = "unchanged"
    statement = "Id, class, number and description of a set-up pass on unchanged, and no longer a wait than is left."

    def violation(self, history: History, observation: Observation) -> str | None:
        message, call = observation.message, observation.call
        if observation.kind is not ObservationKind.SET_UP_SENT or not isinstance(message, p.SetUp):
            return None
        if call is None:
            return f"a set-up {message.call} leaves that no caller made"
        old = call.set_up
        fields = ("class_name", "called", "description")
        wrong = [name for name in fields if getattr(old, name) != getattr(message, name)]
        if wrong:
            return f"{wrong[0]} of call {old.call} is changed on its way"
        if history.now_us + message.wait_ms * 1000 > call.answer_due_us + 1000:
            return f"the set-up of call {old.call} promises a longer wait than its caller has left"
        return None


class AnswerFromExchange(Property):
    name = "served"
    statement = "A call is answered only with what an exchange made for it on an attempt that was out."

    def violation(self, history: History, observation: Observation) -> str | None:
        if (
            observation.kind is not ObservationKind.MESSAGE_TO_CALLER
            or not isinstance(observation.message, p.Answer)
            or observation.call is None
        ):
            return None
        if observation.call.exchange_answer != observation.message.description:
            return f"call {observation.call.set_up.call} is answered with what no exchange made for it"
        return None


class EndSentToCaller(Property):
    name = "end-told"
    statement = "What stood and is over is released to callers within 1 s, where a connection of theirs is open."

    def violation(self, history: History, observation: Observation) -> str | None:
        if (
            observation.kind is not ObservationKind.TIME_PASSED
            or not history.open_callers - history.misbehaving_callers - history.stalled_streams
            or history.exited
        ):
            return None
        for call in history.calls.values():
            since = max(call.end_reported_us, history.callers_open_since_us)
            if call.end_reported_us and not call.end_sent and history.now_us > since + END_SENT_WITHIN_US:
                return f"the end of call {call.set_up.call} is not told to its caller"
        return None


class EndForwarded(Property):
    name = "end-passed"
    statement = "A standing call that its caller ends is released at its exchange in that step, where a link is up."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.STEP_DONE:
            return None
        free = {history.links.get(k) for k in history.links_up - history.stalled_streams}
        for call in history.calls.values():
            if call.ended_by_caller_us and not call.end_forwarded and call.standing_exchange in free:
                return f"the end of call {call.set_up.call} is not passed on to its exchange"
        return None


class GiveUpSent(Property):
    name = "give-up-told"
    statement = "What is out and no longer wanted is given up at once, and nothing stays out past its wait."

    def violation(self, history: History, observation: Observation) -> str | None:
        for call in history.calls.values():
            for attempt in call.outstanding:
                stuck = attempt.link in history.stalled_streams
                if observation.kind is ObservationKind.STEP_DONE and not call.awaits_answer and not stuck:
                    return f"an attempt of call {call.set_up.call} stays out though nobody waits for it"
                # A give-up that is stuck after its caller has left goes with its link, within 2 s.
                if (
                    observation.kind is ObservationKind.TIME_PASSED
                    and history.now_us > attempt.must_end_by_us
                    and (call.awaits_answer or not stuck)
                ):
                    return f"an attempt of call {call.set_up.call} stays out past its wait"
        return None


class ImmediateAnswer(Property):
    name = "at-once"
    statement = "What can be tried no more is answered in that step: attempts used up, or no exchange to send it to."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.STEP_DONE:
            return None
        # The own exchange, of number 0, takes no set-ups; any other may serve as tandem.
        ready = any(e.number and not e.not_ready_since_us for e in history.exchanges.values())
        for call in history.calls.values():
            free = call.awaits_answer and call.stream not in history.stalled_streams
            if free and not call.outstanding and (call.set_ups_sent >= history.max_attempts or not ready):
                return f"call {call.set_up.call} can be tried no more and has no final answer"
        return None


class WaitingCallerKept(Property):
    name = "not-cut-off"
    statement = "No connection is closed by us on which a call waits for its answer, but for one that broke the rules."

    def violation(self, history: History, observation: Observation) -> str | None:
        if (
            observation.kind is not ObservationKind.CALLER_CLOSED
            or observation.stream in history.misbehaving_callers | history.stalled_streams
        ):
            return None
        waiting = [c for c in history.calls.values() if c.awaits_answer and c.stream == observation.stream]
        return f"the connection of call {waiting[0].set_up.call} is closed before its answer" if waiting else None


class CleanExit(Property):
    name = "ends-well"
    statement = "After SIGTERM the program ends before SIGKILL may come, with all answered and all standing bequeathed."

    def violation(self, history: History, observation: Observation) -> str | None:
        waits = observation.kind is ObservationKind.TIME_PASSED and history.sigterm_us and not history.exited
        if waits and history.now_us > history.sigterm_us + EXIT_WITHIN_US:
            return "the program has not ended when SIGKILL may come"
        if observation.kind is not ObservationKind.PROGRAM_EXITED:
            return None
        for ident, call in history.calls.items():
            if call.awaits_answer:
                return f"the program ends while call {ident} waits for its answer"
            stands = (
                call.was_answered and not call.end_sent and not call.end_reported_us and not call.ended_by_caller_us
            )
            if stands and history.successor_serves and ident not in history.handed_over_calls:
                return f"call {ident} stands and is not bequeathed"
        return None


class NoInternalFault(Property):
    name = "no-fault"
    statement = "The reducer meets no fault of its own, an impossible move of a machine among them."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.INTERNAL_FAULT:
            return None
        return str(observation.message).strip().splitlines()[-1]


class NothingLeft(Property):
    name = "nothing-left"
    statement = "After all has ended nothing is left: calls, attempts, timers, what waits to be written, module tables."

    def violation(self, history: History, observation: Observation) -> str | None:
        return None

    @staticmethod
    def describe(remains: list[str]) -> str | None:
        """What is wrong, of what is left after all has ended."""
        return "after all has ended there is still " + ", ".join(remains) if remains else None


NOTHING_LEFT = NothingLeft()
PROPERTIES: tuple[Property, ...] = (
    OneAnswer(),
    InTime(),
    OnlyKnownCalls(),
    OneAttemptOutstanding(),
    MaximumAttempts(),
    Pause(),
    NothingAfterDrain(),
    OnlyListedExchanges(),
    SetUpUnchanged(),
    AnswerFromExchange(),
    EndSentToCaller(),
    EndForwarded(),
    GiveUpSent(),
    ImmediateAnswer(),
    WaitingCallerKept(),
    CleanExit(),
    NoInternalFault(),
    NOTHING_LEFT,
)
