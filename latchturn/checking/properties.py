"""The properties that must hold on every path: each is a class with a one-sentence statement.

Each sees the history and the latest observation, so only inputs and effects. `violation` describes what is wrong in a
sentence that names the call, or returns None if the property holds. Only `nothing-left` is given the reducer's state:
what remains in it after all calls have ended.
"""

from __future__ import annotations

from .. import protocol as p
from .history import History, Observation, ObservationKind

END_SENT_WITHIN_US = 1_000_000  # from the reported end of a standing call to its release on a caller's connection
EXIT_WITHIN_US = 3_700_000  # from SIGTERM to the earliest SIGKILL


class Property:
    """A property: its name, its statement in one sentence, and the check."""

    name = ""
    statement = ""

    def violation(self, history: History, observation: Observation) -> str | None:
        """Describe how the observation violates the property; None if it holds."""
        raise NotImplementedError


class OneAnswer(Property):
    name = "one-answer"
    statement = "A call gets at most one final answer, and none after its caller has given it up."

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
    statement = "A call that is not given up gets its final answer while its caller waits."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.TIME_PASSED:
            return None
        late = [c for c in history.calls.values() if c.awaits_answer and history.now_us > c.answer_due_us]
        late = [c for c in late if c.stream not in history.stalled_streams]
        return f"call {late[0].set_up.call} has no final answer, and its caller's wait has expired" if late else None


class OnlyKnownCalls(Property):
    name = "no-strangers"
    statement = (
        "Callers get messages only about calls that were set up, and final answers only on the call's connection."
    )

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.MESSAGE_TO_CALLER:
            return None
        if observation.call is None:
            return "a caller is sent a message about a call that nobody set up"
        if observation.call.awaits_answer and observation.stream != observation.call.stream:
            return f"the final answer of call {observation.call.set_up.call} is sent on another connection"
        return None


class OneAttemptOutstanding(Property):
    name = "one-out"
    statement = "A call has at most one attempt outstanding, from its arrival at an exchange to its end or give-up."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.SET_UP_ARRIVED or observation.call is None:
            return None
        if sum(t.arrived for t in observation.call.outstanding) > 1:
            return f"two attempts of call {observation.call.set_up.call} are outstanding"
        return None


class MaximumAttempts(Property):
    name = "at-most"
    statement = "At most max_attempts set-ups are sent for a call."

    def violation(self, history: History, observation: Observation) -> str | None:
        if (
            observation.kind is ObservationKind.SET_UP_SENT
            and observation.call is not None
            and observation.call.set_ups_sent > history.max_attempts
        ):
            return f"attempt {observation.call.set_ups_sent} of call {observation.call.set_up.call} is sent"
        return None


class Pause(Property):
    name = "pause"
    statement = "No set-up of a call is sent within release_us after an attempt timed out, was reset or cancelled."

    def violation(self, history: History, observation: Observation) -> str | None:
        call = observation.call
        if observation.kind is not ObservationKind.SET_UP_SENT or call is None or not call.pause_since_us:
            return None
        elapsed_us = history.now_us - call.pause_since_us
        if elapsed_us < history.release_us:
            return f"call {call.set_up.call} is sent again {elapsed_us / 1000:g} ms after an attempt that needs a pause"
        return None


class NothingAfterDrain(Property):
    name = "drained"
    statement = "No set-up is sent to an exchange drain_grace_us or more after the list reported it draining or gone."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.SET_UP_SENT or observation.attempt is None:
            return None
        listed = history.exchanges.get(observation.attempt.exchange)
        if (
            listed is not None
            and listed.not_ready_since_us
            and history.now_us - listed.not_ready_since_us >= history.drain_grace_us
        ):
            elapsed_ms = (history.now_us - listed.not_ready_since_us) // 1000
            return f"a set-up is sent to exchange {observation.attempt.exchange} {elapsed_ms} ms after its drain began"
        return None


class OnlyListedExchanges(Property):
    name = "listed"
    statement = "Links are opened and set-ups sent only to listed exchanges, at the address in the list."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is ObservationKind.LINK_OPENED and not history.links[observation.stream]:
            return "a link is opened to an address at which the list has no exchange"
        attempt = observation.attempt if observation.kind is ObservationKind.SET_UP_SENT else None
        if attempt is not None and attempt.exchange not in history.exchanges:
            return "a set-up is sent to an exchange that was never in the list"
        return None


class SetUpUnchanged(Property):
    name = "unchanged"
    statement = (
        "A forwarded set-up keeps its id, class, number and description; its wait ends no later than its caller's."
    )

    def violation(self, history: History, observation: Observation) -> str | None:
        message, call = observation.message, observation.call
        if observation.kind is not ObservationKind.SET_UP_SENT or not isinstance(message, p.SetUp):
            return None
        if call is None:
            return f"a set-up of call {message.call} is sent that no caller made"
        original = call.set_up
        fields = ("class_name", "called", "description")
        changed = [name for name in fields if getattr(original, name) != getattr(message, name)]
        if changed:
            return f"{changed[0]} of call {original.call} is changed in the forwarded set-up"
        if history.now_us + message.wait_ms * 1000 > call.answer_due_us + 1000:
            return f"the set-up of call {original.call} has a longer wait than its caller has left"
        return None


class AnswerFromExchange(Property):
    name = "served"
    statement = "A call is answered only with the answer of an exchange to an outstanding attempt of the call."

    def violation(self, history: History, observation: Observation) -> str | None:
        if (
            observation.kind is not ObservationKind.MESSAGE_TO_CALLER
            or not isinstance(observation.message, p.Answer)
            or observation.call is None
        ):
            return None
        if observation.call.exchange_answer != observation.message.description:
            return f"call {observation.call.set_up.call} is answered with a description that no exchange sent for it"
        return None


class EndSentToCaller(Property):
    name = "end-told"
    statement = "The end of a standing call is sent to a caller within 1 s while a caller's connection is open."

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
                return f"the end of call {call.set_up.call} is not sent to a caller"
        return None


class EndForwarded(Property):
    name = "end-passed"
    statement = "A standing call that its caller ends is released at its exchange in the same step if a link is up."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.STEP_DONE:
            return None
        writable = {history.links.get(k) for k in history.links_up - history.stalled_streams}
        for call in history.calls.values():
            if call.ended_by_caller_us and not call.end_forwarded and call.standing_exchange in writable:
                return f"the end of call {call.set_up.call} is not forwarded to its exchange"
        return None


class GiveUpSent(Property):
    name = "give-up-told"
    statement = "An attempt that nobody waits for is given up at once, and no attempt stays outstanding past its wait."

    def violation(self, history: History, observation: Observation) -> str | None:
        for call in history.calls.values():
            for attempt in call.outstanding:
                stalled = attempt.link in history.stalled_streams
                if observation.kind is ObservationKind.STEP_DONE and not call.awaits_answer and not stalled:
                    return f"an attempt of call {call.set_up.call} stays outstanding though nobody waits for it"
                # A give-up that cannot be written after its caller has left is dropped with its link within 2 s.
                if (
                    observation.kind is ObservationKind.TIME_PASSED
                    and history.now_us > attempt.must_end_by_us
                    and (call.awaits_answer or not stalled)
                ):
                    return f"an attempt of call {call.set_up.call} stays outstanding past its wait"
        return None


class ImmediateAnswer(Property):
    name = "at-once"
    statement = "A call without attempts left or without a ready exchange gets its final answer in the same step."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.STEP_DONE:
            return None
        # The controller's own exchange, number 0, takes no set-ups; any other may serve as tandem.
        any_ready = any(e.number and not e.not_ready_since_us for e in history.exchanges.values())
        for call in history.calls.values():
            reachable = call.awaits_answer and call.stream not in history.stalled_streams
            if reachable and not call.outstanding and (call.set_ups_sent >= history.max_attempts or not any_ready):
                return f"call {call.set_up.call} has no attempt or exchange left and no final answer"
        return None


class WaitingCallerKept(Property):
    name = "not-cut-off"
    statement = "A caller's connection with a waiting call is closed only if the caller broke the protocol."

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
    statement = (
        "After SIGTERM the program exits before SIGKILL; calls are answered, standing ones handed to a successor."
    )

    def violation(self, history: History, observation: Observation) -> str | None:
        running = observation.kind is ObservationKind.TIME_PASSED and history.sigterm_us and not history.exited
        if running and history.now_us > history.sigterm_us + EXIT_WITHIN_US:
            return "the program has not exited by the time SIGKILL may come"
        if observation.kind is not ObservationKind.PROGRAM_EXITED:
            return None
        for call_id, call in history.calls.items():
            if call.awaits_answer:
                return f"the program exits while call {call_id} waits for its answer"
            standing = (
                call.was_answered and not call.end_sent and not call.end_reported_us and not call.ended_by_caller_us
            )
            if standing and history.successor_serves and call_id not in history.handed_over_calls:
                return f"standing call {call_id} is not handed over"
        return None


class NoInternalFault(Property):
    name = "no-fault"
    statement = "The reducer has no internal fault, such as an impossible transition of a state machine."

    def violation(self, history: History, observation: Observation) -> str | None:
        if observation.kind is not ObservationKind.INTERNAL_FAULT:
            return None
        return str(observation.message).strip().splitlines()[-1]


class NothingLeft(Property):
    name = "nothing-left"
    statement = "After all calls have ended, no call, attempt, timer, unwritten message or module entry is left."

    def violation(self, history: History, observation: Observation) -> str | None:
        return None

    @staticmethod
    def describe(leftovers: list[str]) -> str | None:
        """Describe what is left after all calls have ended; None if nothing is."""
        return "after all calls have ended there is still " + ", ".join(leftovers) if leftovers else None


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
