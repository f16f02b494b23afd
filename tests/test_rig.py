"""The soak's own rules, over made-up records: each can fail, and what the page excuses does not."""

from __future__ import annotations

import unittest

from rig import rules, scenario
from rig.clock import SECOND
from rig.record import Attempt, AttemptEnd, Call, ListEvent, Process, StandingCall
from rig.trial import new_record

BEGAN = 1_800_000_000 * SECOND


def at(seconds: float) -> int:
    """A moment of the trial."""
    return BEGAN + int(seconds * SECOND)


class Rules(unittest.TestCase):
    def setUp(self) -> None:
        self.record = new_record(1, 3 * SECOND)
        self.record.processes = [Process(1, BEGAN, ready_us=at(0.3))]
        self.record.ended_us = at(30)
        for k in range(100, 100 + rules.MIN_ANSWERED):
            self.answered(k)

    def call(self, ident: int, sent_s: float = 1.0, **fields: int) -> Call:
        """A set-up of a steady client, without an answer yet."""
        call = self.record.calls[ident] = Call(ident, "steady", 1, at(sent_s), SECOND)
        for name, value in fields.items():
            setattr(call, name, value)
        return call

    def answered(self, ident: int, after_s: float = 0.1) -> Call:
        """A call that stands at exchange 7."""
        call = self.call(ident)
        call.answered_us = call.sent_us + int(after_s * SECOND)
        call.final_answers = [(call.answered_us, "answered")]
        call.description = b"v=0 20000 %016x\xff" % ident
        self.record.standing[7, ident] = StandingCall(ident, 7, call.answered_us, call.description)
        return call

    def broken(self) -> list[str]:
        """The rules that are broken now."""
        return [violation.rule for violation in rules.check(self.record)]

    def test_a_good_trial_breaks_nothing(self) -> None:
        self.assertEqual(self.broken(), [])

    def test_an_answer_is_owed_once_and_in_time(self) -> None:
        second = (at(1.5), "cause 16")
        for late_s, again, rule in (
            (0.1, [], []),
            (1.4, [], []),
            (1.6, [], ["lost"]),
            (0.1, [second], ["second answer"]),
        ):
            self.setUp()
            self.answered(1, late_s).final_answers += again
            self.assertEqual(self.broken(), rule, f"{late_s} {again}")

    def test_a_set_up_without_an_answer_is_lost_but_for_what_the_page_excuses(self) -> None:
        cases: list[tuple[dict[str, int], dict[str, int], list[str]]] = [
            ({}, {}, ["lost"]),
            ({"gave_up_us": at(1.2)}, {}, []),
            ({"closed_us": at(1.04)}, {}, []),  # it crossed the close
            ({"closed_us": at(1.2)}, {}, ["lost"]),
            ({"closed_us": at(1.2)}, {"killed_us": at(1.2), "exited_us": at(1.2)}, []),
            ({"closed_us": at(1.2)}, {"terminated_us": at(0.4), "killed_us": at(1.2), "exited_us": at(1.2)}, ["lost"]),
        ]
        for call, process, rule in cases:
            self.setUp()
            self.call(1, **call)
            for name, value in process.items():
                setattr(self.record.processes[0], name, value)
            if process:
                self.record.processes[0].exit_code = -9
            self.assertEqual(self.broken(), rule, f"{call} {process}")

    def test_an_answer_that_no_exchange_made_is_lost(self) -> None:
        self.answered(1).description = b"v=0 20000 0000000000000002\xff"
        self.assertEqual(self.broken(), ["lost"])

    def test_ends_are_told_within_1_s_of_their_word_and_8_s_of_themselves(self) -> None:
        cases = [
            (0.0, 9.9, []), (0.0, 10.2, ["end not told"]), (0.0, 0.0, ["end not told"]),
            (2.1, 3.1, []), (2.1, 3.3, ["end not told"]), (9.8, 10.2, ["end not told"]),
        ]  # fmt: skip
        for delivered_s, released_s, rule in cases:
            self.setUp()
            call, standing = self.answered(1), self.record.standing[7, 1]
            standing.ended_us = at(2)
            standing.delivered_us = at(delivered_s) if delivered_s else 0
            call.released_us = at(released_s) if released_s else 0
            self.assertEqual(self.broken(), rule, f"{delivered_s} {released_s}")

    def test_attempts(self) -> None:
        out, ended = AttemptEnd.GIVEN_UP, at(1.5)
        cases: list[tuple[list[Attempt], list[str]]] = [
            ([Attempt(1, 7, 1, at(1), ended, out), Attempt(1, 8, 1, at(1.9), at(2), out)], []),
            ([Attempt(1, 7, 1, at(1), ended, out), Attempt(1, 8, 1, at(1.7), at(2), out)], ["release"]),
            ([Attempt(1, 7, 1, at(1), ended, AttemptEnd.REFUSED), Attempt(1, 8, 1, at(1.51), at(2), out)], []),
            ([Attempt(1, 7, 1, at(1)), Attempt(1, 8, 1, at(1.9), at(2), out)], ["duplicate"]),
            ([Attempt(1, 7, k, at(k), at(k + 0.1), out) for k in range(1, 6)], ["attempts"]),
        ]
        for attempts, rule in cases:
            self.setUp()
            self.answered(1)
            self.record.attempts = attempts
            self.assertEqual(self.broken(), rule)

    def test_drains_bind_from_the_word_or_6_s_after_discovery_could_tell(self) -> None:
        cases = [(3.0, 5.0, []), (3.0, 5.2, ["drain"]), (0.0, 9.9, []), (0.0, 10.2, ["drain"])]
        for delivered_s, sent_s, rule in cases:
            self.setUp()
            told = ListEvent(7, "draining", at(2), at(2), at(delivered_s) if delivered_s else 0)
            self.record.list_events = [told]
            self.record.attempts = [Attempt(1, 7, 1, at(sent_s), at(sent_s + 0.1), AttemptEnd.ANSWERED)]
            self.assertEqual(self.broken(), rule, f"{delivered_s} {sent_s}")

    def test_an_end_is_owed_of_the_call_that_the_client_has_not_of_an_attempt_elsewhere(self) -> None:
        for description, rule in ((b"v=0 20001 %016x\xff" % 1, []), (b"v=0 20000 %016x\xff" % 1, ["end not told"])):
            self.setUp()
            call = self.answered(1)
            self.record.standing[8, 1] = StandingCall(1, 8, call.answered_us - 1, description, ended_us=at(2))
            self.assertEqual(self.broken(), rule)

    def test_crashes_and_faults(self) -> None:
        for fields, rule in (
            ({"exited_us": at(9), "exit_code": 1}, ["crash"]),
            ({"exited_us": at(9), "exit_code": 0, "terminated_us": at(8)}, []),
            ({"exited_us": at(9), "exit_code": -1, "terminated_us": at(8)}, ["crash"]),
            ({"log": "Traceback (most recent call last)"}, ["crash"]),
            ({"ready_us": 0}, ["crash"]),
        ):
            self.setUp()
            for name, value in fields.items():
                setattr(self.record.processes[0], name, value)
            self.assertEqual(self.broken(), rule, f"{fields}")

    def test_a_trial_without_answers_shows_nothing(self) -> None:
        self.record.calls.clear()
        self.assertEqual(self.broken(), ["no substance"])


class Plans(unittest.TestCase):
    def test_a_seed_gives_the_same_plan_and_all_families_are_met(self) -> None:
        met = set()
        for seed in range(1, 51):
            first, again = scenario.plan(seed), scenario.plan(seed)
            self.assertEqual([s[0] for s in first.steps], [s[0] for s in again.steps])
            self.assertGreaterEqual(len(first.families), 2)
            met |= set(first.families)
        self.assertEqual(met, set(scenario.FAMILIES))
        self.assertTrue(any(scenario.plan(seed).crowd for seed in range(1, 51)))
