"""The rules of `rig.soak` on constructed records: each rule can fail, and permitted exceptions do not break it."""

from __future__ import annotations

import unittest

from rig import rules, scenario
from rig.clock import SECOND
from rig.record import Attempt, AttemptEnd, Call, ListEvent, Process, StandingCall
from rig.trial import new_record

STARTED_US = 1_800_000_000 * SECOND


def at(seconds: float) -> int:
    """Return the time that many seconds after the start of the trial, in Unix microseconds."""
    return STARTED_US + int(seconds * SECOND)


class Rules(unittest.TestCase):
    def setUp(self) -> None:
        self.record = new_record(1, 3 * SECOND)
        self.record.processes = [Process(1, STARTED_US, ready_us=at(0.3))]
        self.record.ended_us = at(30)
        for k in range(100, 100 + rules.MIN_ANSWERED):
            self.answered(k)

    def call(self, call_id: int, sent_s: float = 1.0, **fields: int) -> Call:
        """Add an unanswered set-up of a steady client to the record."""
        call = self.record.calls[call_id] = Call(call_id, "steady", 1, at(sent_s), SECOND)
        for name, value in fields.items():
            setattr(call, name, value)
        return call

    def answered(self, call_id: int, after_s: float = 0.1) -> Call:
        """Add a call that exchange 7 has answered to the record."""
        call = self.call(call_id)
        call.answered_us = call.sent_us + int(after_s * SECOND)
        call.final_answers = [(call.answered_us, "answered")]
        call.description = b"v=0 20000 %016x\xff" % call_id
        self.record.standing[7, call_id] = StandingCall(call_id, 7, call.answered_us, call.description)
        return call

    def broken(self) -> list[str]:
        """Return the names of the rules that the record breaks."""
        return [violation.rule for violation in rules.check(self.record)]

    def test_correct_trial_breaks_no_rule(self) -> None:
        self.assertEqual(self.broken(), [])

    def test_second_answer_of_a_later_process_counts_unless_the_first_process_was_killed_outright(self) -> None:
        second = (at(9), "cause 16")
        for process, rule in (
            ({"terminated_us": at(4), "exited_us": at(5), "exit_code": 0}, ["second answer"]),
            ({"terminated_us": at(4), "killed_us": at(8), "exited_us": at(8)}, ["second answer"]),
            ({"killed_us": at(4), "exited_us": at(4)}, []),
            ({"killed_us": at(1.05), "exited_us": at(1.05)}, ["second answer"]),
        ):
            self.setUp()
            for name, value in process.items():
                setattr(self.record.processes[0], name, value)
            self.record.processes.append(Process(2, at(9), ready_us=at(9.3)))
            self.call(1).final_answers = [(at(1.1), "cause 42"), second]
            self.assertEqual([rule for rule in self.broken() if rule == "second answer"], rule)

    def test_descriptors_stay_within_the_limit(self) -> None:
        for most, rules_broken in ((self.record.sockets, []), (self.record.sockets + 1, ["descriptors"])):
            self.record.most_descriptors = most
            self.assertEqual(self.broken(), rules_broken)

    def test_set_up_needs_one_final_answer_in_time(self) -> None:
        second = (at(1.5), "cause 16")
        for late_s, further_answers, rule in (
            (0.1, [], []),
            (1.4, [], []),
            (1.6, [], ["lost"]),
            (0.1, [second], ["second answer"]),
        ):
            self.setUp()
            self.answered(1, late_s).final_answers += further_answers
            self.assertEqual(self.broken(), rule, f"{late_s} {further_answers}")

    def test_unanswered_set_up_is_lost_except_in_permitted_cases(self) -> None:
        cases: list[tuple[dict[str, int], dict[str, int], list[str]]] = [
            ({}, {}, ["lost"]),
            ({"gave_up_us": at(1.2)}, {}, []),
            ({"closed_us": at(1.04)}, {}, []),  # it crossed the close of its connection
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

    def test_answer_that_no_exchange_sent_is_lost(self) -> None:
        # The last one has the id of its call, and the first bytes of another message at its end.
        for description in (b"v=0 20000 0000000000000002\xff", b"", b"v=0 20000 0000000000000001\x00"):
            self.setUp()
            self.answered(1).description = description
            self.assertEqual(self.broken(), ["lost"])

    def test_end_reaches_the_client_within_1_s_of_the_release_and_8_s_of_the_end(self) -> None:
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

    def test_attempts_are_sequential_paused_and_limited(self) -> None:
        given_up, ended = AttemptEnd.GIVEN_UP, at(1.5)
        cases: list[tuple[list[Attempt], list[str]]] = [
            ([Attempt(1, 7, 1, at(1), ended, given_up), Attempt(1, 8, 1, at(1.9), at(2), given_up)], []),
            ([Attempt(1, 7, 1, at(1), ended, given_up), Attempt(1, 8, 1, at(1.7), at(2), given_up)], ["release"]),
            ([Attempt(1, 7, 1, at(1), ended, AttemptEnd.REFUSED), Attempt(1, 8, 1, at(1.51), at(2), given_up)], []),
            ([Attempt(1, 7, 1, at(1)), Attempt(1, 8, 1, at(1.9), at(2), given_up)], ["duplicate"]),
            ([Attempt(1, 7, k, at(k), at(k + 0.1), given_up) for k in range(1, 6)], ["attempts"]),
        ]
        for attempts, rule in cases:
            self.setUp()
            self.answered(1)
            self.record.attempts = attempts
            self.assertEqual(self.broken(), rule)

    def test_drain_applies_from_its_delivery_or_6_s_after_discovery_is_reachable(self) -> None:
        cases = [(3.0, 5.0, []), (3.0, 5.2, ["drain"]), (0.0, 9.9, []), (0.0, 10.2, ["drain"])]
        for delivered_s, sent_s, rule in cases:
            self.setUp()
            event = ListEvent(7, "draining", at(2), at(2), at(delivered_s) if delivered_s else 0)
            self.record.list_events = [event]
            self.record.attempts = [Attempt(1, 7, 1, at(sent_s), at(sent_s + 0.1), AttemptEnd.ANSWERED)]
            self.assertEqual(self.broken(), rule, f"{delivered_s} {sent_s}")

    def test_end_must_reach_the_client_only_from_the_exchange_whose_answer_it_has(self) -> None:
        for description, rule in ((b"v=0 20001 %016x\xff" % 1, []), (b"v=0 20000 %016x\xff" % 1, ["end not told"])):
            self.setUp()
            call = self.answered(1)
            self.record.standing[8, 1] = StandingCall(1, 8, call.answered_us - 1, description, ended_us=at(2))
            self.assertEqual(self.broken(), rule)

    def test_exit_without_signal_and_logged_fault_are_crashes(self) -> None:
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

    def test_trial_without_answers_has_no_substance(self) -> None:
        self.record.calls.clear()
        self.assertEqual(self.broken(), ["no substance"])


class Plans(unittest.TestCase):
    def test_plan_depends_on_the_seed_alone_and_all_families_are_drawn(self) -> None:
        drawn = set()
        for seed in range(1, 51):
            first, again = scenario.plan(seed), scenario.plan(seed)
            self.assertEqual([s[0] for s in first.steps], [s[0] for s in again.steps])
            self.assertGreaterEqual(len(first.families), 2)
            drawn |= set(first.families)
        self.assertEqual(drawn, set(scenario.FAMILIES))
        self.assertTrue(any(scenario.plan(seed).crowd for seed in range(1, 51)))

    def test_later_families_are_drawn_only_from_their_first_seed_on(self) -> None:
        def drawn(seeds: range) -> set[str]:
            return {family for seed in seeds for family in scenario.plan(seed).families}

        further = set(scenario.FAMILIES) | set(scenario.FURTHER_FAMILIES)
        self.assertEqual(drawn(range(101, 201)), further)
        self.assertEqual(drawn(range(201, 251)), further | set(scenario.LATEST_FAMILIES))
