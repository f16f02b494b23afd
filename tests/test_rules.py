"""The five rules for session controllers, each tested from what one controller knows."""

from __future__ import annotations

from latchturn import interface as i

from .helpers import OWN, SECOND, SETTINGS, ControllerHarness, final_answers, list_entry, sent_to, settings_with


def test_direct_route_first_then_the_tandem_with_most_free_circuits() -> None:
    harness = ControllerHarness()
    assert sent_to(harness.offer(1)[1]) == [1]
    harness.report(1, 0)
    harness.report(2, 30)
    harness.report(3, 35)
    assert sent_to(harness.offer(1)[1]) == [3]


def test_transit_call_is_sent_to_its_destination_or_refused_at_once() -> None:
    harness = ControllerHarness()
    call, actions = harness.offer(1, transit=True, via=2)
    assert sent_to(actions) == [1]
    harness.report(1, 0)
    call, actions = harness.offer(1, transit=True, via=2)
    assert actions == [i.Refuse(call, 0)]
    call, actions = harness.offer(OWN, transit=True, via=2)
    assert final_answers(actions) == [call]


def test_refused_transit_attempt_is_final_at_the_tandem() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1, transit=True, via=2)
    actions = harness.end_attempt(call, 1, i.Outcome.TURNED_AWAY, i.Cause.PROCESSOR_FULL)
    assert final_answers(actions) == [call] and not sent_to(actions)


def test_rule_1_queued_call_gets_its_final_answer_before_its_deadline() -> None:
    harness = ControllerHarness()
    for k in (1, 2, 3):
        harness.report(k, 0)
    call, actions = harness.offer(1)
    assert not final_answers(actions) and not sent_to(actions)
    actions = harness.pass_time(3 * SECOND)
    assert final_answers(actions) == [call]
    assert not harness.report(1, 40)
    assert harness.controller.calls == {} and harness.controller.queues == {}


def test_rule_1_final_answer_is_in_time_for_a_short_deadline() -> None:
    harness = ControllerHarness()
    for k in (1, 2, 3):
        harness.report(k, 0)
    begin = harness.now
    call, actions = harness.offer(1, deadline_us=begin + 300_000)
    while not final_answers(actions) and harness.now < begin + SECOND:
        actions = harness.pass_time(5_000)
    assert final_answers(actions) == [call] and harness.now < begin + 300_000


def test_rule_1_final_answer_follows_a_time_out_at_the_deadline_at_once() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    harness.now += 3 * SECOND
    assert harness.end_attempt(call, 1, i.Outcome.TIMED_OUT) == [i.Fail(call)]
    assert harness.end_attempt(call, 1, i.Outcome.TIMED_OUT) == []


def test_rule_1_call_offered_again_after_a_cut_is_a_new_call() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    harness.answer(call, 1)
    assert harness.end_attempt(call, 1, i.Outcome.CUT, concluded=True) == []
    assert harness.controller.calls == {}
    again, actions = harness.offer(1, cut_before=True)
    assert sent_to(actions) == [1] and again != call


def test_rule_2_no_second_set_up_while_an_attempt_is_outstanding() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    later = harness.pass_time(2 * SECOND) + harness.report(1, 40) + harness.report(2, 40)
    assert not sent_to(later)


def test_rule_3_no_set_up_to_a_draining_or_removed_or_unlisted_exchange() -> None:
    for state in (i.ListState.DRAINING, i.ListState.GONE):
        harness = ControllerHarness()
        harness.update_list(i.ListKind.CHANGES, list_entry(1, state))
        call, actions = harness.offer(1)
        assert final_answers(actions) == [call] and not sent_to(actions)
    harness = ControllerHarness()
    harness.update_list(i.ListKind.FULL, list_entry(0), list_entry(2), list_entry(3))
    call, actions = harness.offer(1)
    assert final_answers(actions) == [call] and not sent_to(actions)


def test_rule_3_queued_call_gets_its_final_answer_when_its_exchange_drains() -> None:
    harness = ControllerHarness()
    for k in (1, 2, 3):
        harness.report(k, 0)
    call, _ = harness.offer(1)
    actions = harness.update_list(i.ListKind.CHANGES, list_entry(1, i.ListState.DRAINING))
    assert final_answers(actions) == [call] and not sent_to(actions)
    assert not sent_to(harness.report(1, 40))


def set_ups_in_warm_up(harness: ControllerHarness, seconds: int) -> list[int]:
    """Times of set-ups to exchange 1, which has just started, with more calls offered than it may get."""
    times = []
    harness.update_list(i.ListKind.CHANGES, list_entry(1, started=harness.now))
    end = harness.now + seconds * SECOND
    while harness.now < end:
        call, actions = harness.offer(1, transit=harness.next_call % 3 == 0)
        actions += harness.pass_time(100_000)
        for action in actions:
            if isinstance(action, i.SendSetup) and action.exchange == 101:
                times.append(harness.now)
                harness.answer(action.call, 1)
                harness.end_attempt(action.call, 1, i.Outcome.RELEASED, concluded=True)
    return times


def test_rule_4_controllers_together_keep_the_cold_start_budget_in_every_window() -> None:
    harness = ControllerHarness()
    for k in (2, 3):
        harness.report(k, 40, setups_per_s=20.0)
    times = set_ups_in_warm_up(harness, 10)
    s = SETTINGS
    capacity = 20.0 + 2 * 10.0  # reported by exchanges after warm-up, and calls carried in both directions
    budget = s.collapse_multiple * s.cold_start_share * capacity * s.collapse_us / SECOND
    assert times
    for t in times:
        assert s.controllers * sum(1 for u in times if t <= u < t + s.collapse_us) <= budget


def test_rule_4_budget_without_reports_is_estimated_from_own_calls() -> None:
    harness = ControllerHarness(settings_with(controllers=2))
    for _ in range(40):
        call, _ = harness.offer(2)
        harness.answer(call, 2)
        harness.end_attempt(call, 2, i.Outcome.RELEASED, concluded=True)
        harness.pass_time(SECOND // 4)
    times = set_ups_in_warm_up(harness, 6)
    assert 1 <= len(times) < 60


def test_rule_4_no_limit_after_the_warm_up() -> None:
    harness = ControllerHarness()
    harness.update_list(i.ListKind.CHANGES, list_entry(1, started=harness.now))
    sent = [sent_to(harness.offer(1)[1]) for _ in range(4)]
    assert sent.count([1]) < 4
    harness.pass_time(SETTINGS.warm_up_us + SECOND)
    assert sent_to(harness.offer(1)[1]) == [1]


def test_rule_5_next_attempt_waits_for_the_release_time() -> None:
    for outcome in (i.Outcome.TIMED_OUT, i.Outcome.CUT, i.Outcome.CANCELLED):
        harness = ControllerHarness()
        call, _ = harness.offer(1, cls=1)
        harness.now += 100_000
        ended_us = harness.now
        actions = harness.end_attempt(call, 1, outcome)
        actions += harness.report(1, 40) + harness.report(2, 39)
        assert not sent_to(actions)
        resent_us = None
        while resent_us is None and harness.now < ended_us + 2 * SECOND:
            if sent_to(harness.pass_time(5_000) + harness.report(1, 40)):
                resent_us = harness.now
        assert resent_us is not None and resent_us >= ended_us + SETTINGS.release_us


def test_attempts_are_limited() -> None:
    harness = ControllerHarness()
    call, actions = harness.offer(1)
    for _ in range(SETTINGS.max_attempts):
        at = sent_to(actions)
        assert len(at) == 1
        actions = harness.end_attempt(call, at[0], i.Outcome.NOT_SENT)
    assert not sent_to(actions) and final_answers(actions) == [call]
