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

    def breaks(self, history: History, event: Observation) -> str | None:
        raise NotImplementedError


class OneAnswer(Property):
    name = "one-answer"
    statement = "A call that is taken gets no second final answer, and none after its caller has given it up."

    def breaks(self, history: History, event: Observation) -> str | None:
        call = event.call
        if event.fact is not ObservationKind.FINAL or call is None:
            return None
        gone = call.gone and not call.crossed
        if isinstance(event.message, p.Answer) and (call.answers or gone):
            return f"call {call.set_up.call} is answered again or after it was given up"
        if isinstance(event.message, p.Release) and not call.stood and (call.answers or gone):
            return f"call {call.set_up.call} is refused again or after it was given up"
        return None


class InTime(Property):
    name = "in-time"
    statement = "A call that is taken and not given up has its final answer while its caller waits."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is not ObservationKind.TIME:
            return None
        late = [c for c in history.calls.values() if c.owed and history.now > c.due_us]
        late = [c for c in late if c.stream not in history.stalled]
        return f"call {late[0].set_up.call} has no final answer, and its caller waits no more" if late else None


class OnlyKnownCalls(Property):
    name = "no-strangers"
    statement = "Nobody is told of a call that nobody set up, nor a final answer on another's connection."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is not ObservationKind.FINAL:
            return None
        if event.call is None:
            return "a caller is told of a call that nobody set up"
        if event.call.owed and event.stream != event.call.stream:
            return f"the final answer of call {event.call.set_up.call} goes to another connection"
        return None


class OneAttemptOutstanding(Property):
    name = "one-out"
    statement = "Never are two attempts of a call out: from whole at an exchange until its end or its give-up."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is not ObservationKind.ARRIVED or event.call is None:
            return None
        if sum(t.arrived for t in event.call.out) > 1:
            return f"two attempts of call {event.call.set_up.call} are out"
        return None


class MaximumAttempts(Property):
    name = "at-most"
    statement = "At most max_attempts set-ups of a call leave."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is ObservationKind.HANDED and event.call is not None and event.call.handed > history.most:
            return f"attempt {event.call.handed} of call {event.call.set_up.call} leaves"
        return None


class Pause(Property):
    name = "pause"
    statement = "No set-up of a call leaves within release_us after an attempt timed out, was reset or cancelled."

    def breaks(self, history: History, event: Observation) -> str | None:
        call = event.call
        if event.fact is not ObservationKind.HANDED or call is None or not call.quiet_us:
            return None
        passed = history.now - call.quiet_us
        if passed < history.release_us:
            return f"call {call.set_up.call} is sent again {passed / 1000:g} ms after its attempt ended so"
        return None


class NothingAfterDrain(Property):
    name = "drained"
    statement = "Nothing new goes to an exchange drain_grace_us after it was told to drain or to be gone."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is not ObservationKind.HANDED or event.attempt is None:
            return None
        known = history.exchanges.get(event.attempt.exchange)
        if known is not None and known.since_us and history.now - known.since_us >= history.grace_us:
            passed = (history.now - known.since_us) // 1000
            return f"a set-up goes to exchange {event.attempt.exchange} {passed} ms after its drain was told"
        return None


class OnlyListedExchanges(Property):
    name = "listed"
    statement = "Links are opened and set-ups sent to listed exchanges only, at the address that the list gives."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is ObservationKind.CONNECT and not history.links[event.stream]:
            return "a link is opened to an address at which the list has no exchange"
        attempt = event.attempt if event.fact is ObservationKind.HANDED else None
        if attempt is not None and attempt.exchange not in history.exchanges:
            return "a set-up goes to an exchange that the list has never named"
        return None


class SetUpUnchanged(Property):
    name = "unchanged"
    statement = "Id, class, number and description of a set-up pass on unchanged, and no longer a wait than is left."

    def breaks(self, history: History, event: Observation) -> str | None:
        message, call = event.message, event.call
        if event.fact is not ObservationKind.HANDED or not isinstance(message, p.SetUp):
            return None
        if call is None:
            return f"a set-up {message.call} leaves that no caller made"
        old = call.set_up
        fields = ("class_name", "called", "description")
        wrong = [name for name in fields if getattr(old, name) != getattr(message, name)]
        if wrong:
            return f"{wrong[0]} of call {old.call} is changed on its way"
        if history.now + message.wait_ms * 1000 > call.due_us + 1000:
            return f"the set-up of call {old.call} promises a longer wait than its caller has left"
        return None


class AnswerFromExchange(Property):
    name = "served"
    statement = "A call is answered only with what an exchange made for it on an attempt that was out."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is not ObservationKind.FINAL or not isinstance(event.message, p.Answer) or event.call is None:
            return None
        if event.call.answer != event.message.description:
            return f"call {event.call.set_up.call} is answered with what no exchange made for it"
        return None


class EndSentToCaller(Property):
    name = "end-told"
    statement = "What stood and is over is released to callers within 1 s, where a connection of theirs is open."

    def breaks(self, history: History, event: Observation) -> str | None:
        if (
            event.fact is not ObservationKind.TIME
            or not history.callers - history.shut - history.stalled
            or history.exited
        ):
            return None
        for call in history.calls.values():
            since = max(call.over_us, history.open_us)
            if call.over_us and not call.end_told and history.now > since + END_SENT_WITHIN_US:
                return f"the end of call {call.set_up.call} is not told to its caller"
        return None


class EndForwarded(Property):
    name = "end-passed"
    statement = "A standing call that its caller ends is released at its exchange in that step, where a link is up."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is not ObservationKind.STEP:
            return None
        free = {history.links.get(k) for k in history.up - history.stalled}
        for call in history.calls.values():
            if call.ended_by_caller_us and not call.end_passed and call.stands_at in free:
                return f"the end of call {call.set_up.call} is not passed on to its exchange"
        return None


class GiveUpSent(Property):
    name = "give-up-told"
    statement = "What is out and no longer wanted is given up at once, and nothing stays out past its wait."

    def breaks(self, history: History, event: Observation) -> str | None:
        for call in history.calls.values():
            for attempt in call.out:
                stuck = attempt.link in history.stalled
                if event.fact is ObservationKind.STEP and not call.owed and not stuck:
                    return f"an attempt of call {call.set_up.call} stays out though nobody waits for it"
                # A give-up that is stuck after its caller has left goes with its link, within 2 s.
                if event.fact is ObservationKind.TIME and history.now > attempt.until_us and (call.owed or not stuck):
                    return f"an attempt of call {call.set_up.call} stays out past its wait"
        return None


class ImmediateAnswer(Property):
    name = "at-once"
    statement = "What can be tried no more is answered in that step: attempts used up, or no exchange to send it to."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is not ObservationKind.STEP:
            return None
        # The own exchange, of number 0, takes no set-ups; any other may serve as tandem.
        ready = any(e.number and not e.since_us for e in history.exchanges.values())
        for call in history.calls.values():
            free = call.owed and call.stream not in history.stalled
            if free and not call.out and (call.handed >= history.most or not ready):
                return f"call {call.set_up.call} can be tried no more and has no final answer"
        return None


class WaitingCallerKept(Property):
    name = "not-cut-off"
    statement = "No connection is closed by us on which a call waits for its answer, but for one that broke the rules."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is not ObservationKind.CUT_OFF or event.stream in history.shut | history.stalled:
            return None
        owed = [c for c in history.calls.values() if c.owed and c.stream == event.stream]
        return f"the connection of call {owed[0].set_up.call} is closed before its answer" if owed else None


class CleanExit(Property):
    name = "ends-well"
    statement = "After SIGTERM the program ends before SIGKILL may come, with all answered and all standing bequeathed."

    def breaks(self, history: History, event: Observation) -> str | None:
        waits = event.fact is ObservationKind.TIME and history.term_us and not history.exited
        if waits and history.now > history.term_us + EXIT_WITHIN_US:
            return "the program has not ended when SIGKILL may come"
        if event.fact is not ObservationKind.EXIT:
            return None
        for ident, call in history.calls.items():
            if call.owed:
                return f"the program ends while call {ident} waits for its answer"
            stands = call.stood and not call.end_told and not call.over_us and not call.ended_by_caller_us
            if stands and history.succeeded and ident not in history.bequeathed:
                return f"call {ident} stands and is not bequeathed"
        return None


class NoInternalFault(Property):
    name = "no-fault"
    statement = "The reducer meets no fault of its own, an impossible move of a machine among them."

    def breaks(self, history: History, event: Observation) -> str | None:
        if event.fact is not ObservationKind.FAULT:
            return None
        return str(event.message).strip().splitlines()[-1]


class NothingLeft(Property):
    name = "nothing-left"
    statement = "After all has ended nothing is left: calls, attempts, timers, what waits to be written, module tables."

    def breaks(self, history: History, event: Observation) -> str | None:
        return None

    @staticmethod
    def left(remains: list[str]) -> str | None:
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
