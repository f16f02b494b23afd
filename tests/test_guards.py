"""Each guard: how it sets in, and how service comes back."""

from __future__ import annotations

import pytest

from latchturn import Controller
from latchturn import interface as i

from .helpers import SECOND, SETTINGS, ControllerHarness, final_answers, list_entry, sent_to, settings_with


def silence(harness: ControllerHarness, number: int) -> None:
    call, actions = harness.offer(number)
    if sent_to(actions):
        harness.now += SECOND
        harness.end_attempt(call, number, i.Outcome.TIMED_OUT)
        harness.pass_time(2 * SECOND)


def test_silent_exchange_is_tried_sparingly_and_recovers_with_its_first_answer() -> None:
    harness = ControllerHarness()
    for _ in range(2):
        silence(harness, 1)
    tries = 0
    for _ in range(40):
        _, actions = harness.offer(1)
        for action in actions + harness.pass_time(100_000):
            if isinstance(action, i.SendSetup):
                tries += action.exchange == 101
                harness.end_attempt(action.call, 1, i.Outcome.TIMED_OUT, concluded=True)
    assert 1 <= tries <= 6
    harness.pass_time(9 * SECOND)
    call, actions = harness.offer(1)
    assert sent_to(actions) == [1]
    harness.answer(call, 1)
    assert [sent_to(harness.offer(1)[1]) for _ in range(2)] == [[1], [1]]


def test_unreachable_exchange_counts_as_silent() -> None:
    harness = ControllerHarness()
    for _ in range(2):
        call, _ = harness.offer(1)
        harness.end_attempt(call, 1, i.Outcome.UNREACHABLE)
        harness.pass_time(3 * SECOND)
        harness.now -= 2 * SECOND
    assert harness.controller.by_number[1].congested()


def test_busy_number_is_spaced_out_and_freed_by_a_call_that_stands() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1, called_number=77)
    harness.end_attempt(call, 1, i.Outcome.NO_LINE, i.Cause.NUMBER_BUSY)
    call, actions = harness.offer(1, called_number=77)
    assert final_answers(actions) == [call] and not sent_to(actions)
    assert sent_to(harness.offer(1, called_number=78)[1]) == [1]
    harness.pass_time(SECOND)
    call, actions = harness.offer(1, called_number=77)
    assert sent_to(actions) == [1]
    harness.answer(call, 1)
    assert sent_to(harness.offer(1, called_number=77)[1]) == [1]


def test_no_two_leg_call_over_or_towards_a_pressed_processor() -> None:
    harness = ControllerHarness()
    harness.report(1, 0)
    harness.report(2, 40, throttle_share=0.5)
    harness.report(3, 10)
    assert sent_to(harness.offer(1)[1]) != [2]
    harness = ControllerHarness()
    harness.report(1, 0, throttle_share=0.5)
    assert sent_to(harness.offer(1)[1]) == []
    harness.report(1, 0, throttle_share=0.0)
    assert sent_to(harness.offer(1)[1]) in ([2], [3])


def test_slow_answers_shrink_the_window_and_prompt_ones_widen_it() -> None:
    harness = ControllerHarness()
    far = harness.controller.by_number[1]
    begin = far.window
    for _ in range(6):
        call, _ = harness.offer(1)
        harness.now += SECOND
        harness.answer(call, 1)
    assert far.window < begin and far.congested()
    for _ in range(4):
        call, _ = harness.offer(1)
        harness.now += 50_000
        harness.answer(call, 1)
    assert far.window >= begin and not far.congested() and far.outstanding == 0


def test_tandem_that_turned_back_is_left_alone_for_that_destination() -> None:
    harness = ControllerHarness()
    harness.report(1, 0)
    harness.report(2, 40)
    harness.report(3, 38)
    call, actions = harness.offer(1)
    assert sent_to(actions) == [2]
    assert sent_to(harness.end_attempt(call, 2, i.Outcome.TURNED_AWAY, i.Cause.REFUSED_BY_TANDEM)) == [3]
    harness.report(2, 40)
    assert sent_to(harness.offer(1)[1]) == [3]


def test_redial_past_its_aim_goes_only_into_idle_circuits() -> None:
    harness = ControllerHarness()
    for k in (1, 2, 3):
        harness.report(k, 0)
    harness.offer(1, called_number=5)
    harness.pass_time(3 * SECOND)
    harness.report(1, 4)
    harness.report(2, 40)
    call, actions = harness.offer(1, called_number=5)
    assert final_answers(actions) == [call] and not sent_to(actions)
    assert sent_to(harness.offer(1, called_number=6)[1]) == [1]
    harness.report(1, 30)
    assert sent_to(harness.offer(1, called_number=5)[1]) == [1]


def test_waiting_calls_go_by_worth_for_their_circuits() -> None:
    harness = ControllerHarness()
    for k in (1, 2, 3):
        harness.report(k, 0)
    plain, _ = harness.offer(1, cls=0)
    urgent, _ = harness.offer(1, cls=2)
    harness.now += 100_000
    actions = [a for a in harness.report(1, 10) if isinstance(a, i.SendSetup)]
    assert [a.call for a in actions][0] == urgent


def test_ledger_and_windows_are_clean_after_every_kind_of_end() -> None:
    harness = ControllerHarness()
    for outcome in i.Outcome:
        call, actions = harness.offer(1)
        if sent_to(actions):
            harness.end_attempt(call, 1, outcome, concluded=True)
        harness.pass_time(5 * SECOND)
    group = harness.controller.groups[1]
    assert group.in_use == [0] * len(group.in_use)
    assert harness.controller.by_number[1].outstanding == 0 and harness.controller.calls == {}


def test_odd_events_are_harmless() -> None:
    harness = ControllerHarness()
    harness.attempts[99] = 0
    assert harness.end_attempt(99, 1, i.Outcome.RELEASED) == []
    assert harness.answer(99, 1) == []
    assert harness.submit(i.CallerLeft(99)) == []
    assert harness.submit(i.TimerDue(12345)) == []
    assert harness.submit(i.ExchangeReport(999, True, False, 0, i.LoadReport(free=1, size=2))) == []
    call, _ = harness.offer(1)
    harness.answer(call, 1)
    assert harness.answer(call, 1) == []
    harness.end_attempt(call, 1, i.Outcome.RELEASED, concluded=True)
    assert harness.end_attempt(call, 1, i.Outcome.RELEASED, concluded=True) == []
    call, actions = harness.offer(77)
    assert final_answers(actions) == [call]


@pytest.mark.parametrize(
    ("field", "value"),
    [("controllers", 0), ("release_us", -1), ("cold_start_share", 0.0), ("classes", ()), ("collapse_us", 0)],
)
def test_wrong_settings_name_the_field_and_the_value(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        Controller(settings_with(**{field: value}), 1)


def test_pools_use_a_pool_with_the_skill_as_second_choice() -> None:
    classes = (i.CallClass("a", 1.0, 0.2, SECOND, 9 * SECOND, 1, 9 * SECOND, pools=(1, 3)),)
    harness = ControllerHarness(settings_with(topology=i.Topology.POOLS, own_number=-1, classes=classes))
    harness.report(1, 0)
    harness.report(2, 40)
    harness.report(3, 30)
    assert sent_to(harness.offer(1)[1]) == [3]
    assert SETTINGS.own_number == 0


def test_windows_keep_a_burst_out_of_a_far_processors_line() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    sent = sum(len(sent_to(harness.offer(1)[1])) for _ in range(30))
    assert sent <= 2
    far = harness.controller.by_number[1]
    for _ in range(30):
        for call in [c.offer.call for c in harness.controller.calls.values() if c.awaiting_answer]:
            harness.now += 1_000
            harness.answer(call, 1)
        harness.offer(1)
        assert far.outstanding <= 4


def test_turn_back_pause_grows_and_ends_with_a_call_that_stands() -> None:
    harness = ControllerHarness(remote_exchanges=2)
    harness.report(1, 0)
    pauses = []
    for _ in range(3):
        call, actions = harness.offer(1)
        assert sent_to(actions) == [2]
        harness.end_attempt(call, 2, i.Outcome.TURNED_AWAY, i.Cause.REFUSED_BY_TANDEM)
        harness.pass_time(3 * SECOND)
        harness.report(2, 40)
        begin = harness.now
        while harness.controller.by_number[2].tandem_back_offs[1][1] > harness.now:
            harness.pass_time(SECOND // 10)
        pauses.append(harness.now - begin)
    assert pauses == sorted(pauses) and pauses[0] < pauses[-1]
    call, actions = harness.offer(1)
    harness.answer(call, 2)
    assert harness.controller.by_number[2].tandem_back_offs == {}


def test_narrow_calls_yield_to_a_wider_call_that_waits_and_is_worth_as_much() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    harness.report(1, 0)
    wide, _ = harness.offer(1, cls=1)
    harness.report(1, 2)
    plain, actions = harness.offer(1, cls=0)
    assert not sent_to(actions)
    urgent, actions = harness.offer(1, cls=2)
    assert sent_to(actions) == [1]
    actions = [a for a in harness.report(1, 3) if isinstance(a, i.SendSetup)]
    assert [a.call for a in actions] == [wide]
    harness.answer(urgent, 1)
    actions = [a for a in harness.report(1, 5) if isinstance(a, i.SendSetup)]
    assert [a.call for a in actions] == [plain]


def test_two_leg_time_out_leaves_time_within_the_aim() -> None:
    harness = ControllerHarness(remote_exchanges=2)
    harness.report(1, 0)
    _, actions = harness.offer(1)
    (send,) = [a for a in actions if isinstance(a, i.SendSetup)]
    assert send.exchange == 102 and 0 < send.timeout_us < SETTINGS.classes[0].target_us


def test_a_caller_that_left_is_never_answered() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    harness.submit(i.CallerLeft(call))
    assert harness.end_attempt(call, 1, i.Outcome.TIMED_OUT) == []
    assert harness.controller.calls == {} and harness.controller.groups[1].in_use == [0, 0]


def test_a_signalling_fault_is_tried_again_but_not_a_busy_number() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    assert sent_to(harness.end_attempt(call, 1, i.Outcome.NO_LINE)) == [1]
    busy, _ = harness.offer(1, called_number=9)
    assert final_answers(harness.end_attempt(busy, 1, i.Outcome.NO_LINE, i.Cause.NUMBER_BUSY)) == [busy]


def test_log_lines_tell_only_changes_of_state() -> None:
    harness = ControllerHarness()
    for _ in range(5):
        silence(harness, 1)
        harness.pass_time(5 * SECOND)
    texts = [a.text for a in harness.all_actions if isinstance(a, i.Log)]
    assert texts == ["exchange 1 does not answer, backing off"]
    call, _ = harness.offer(1)
    harness.answer(call, 1)
    other, _ = harness.offer(1)
    harness.answer(other, 1)
    texts = [a.text for a in harness.all_actions if isinstance(a, i.Log)]
    assert texts[1:] == ["exchange 1 answers again"]
    assert harness.controller.by_number[1].consecutive_unanswered == 0


def test_processor_full_is_waited_out_and_then_tried_again() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    call, _ = harness.offer(1)
    actions = harness.end_attempt(call, 1, i.Outcome.TURNED_AWAY, i.Cause.PROCESSOR_FULL, wait_us=900_000)
    assert not sent_to(actions) and not sent_to(harness.offer(1)[1])
    assert harness.controller.by_number[1].congested()
    harness.now += 900_000
    call, actions = harness.offer(1)
    assert sent_to(actions) == [1]
    harness.answer(call, 1)
    assert not harness.controller.by_number[1].congested()


def test_restart_begins_from_told_circuits_and_the_cached_list() -> None:
    harness = ControllerHarness(remote_exchanges=2)
    harness.report(1, 0)
    harness.report(2, 13)
    assert sent_to(harness.offer(1)[1]) == [2]
    harness = ControllerHarness(remote_exchanges=1)
    harness.report(1, 1)
    assert sent_to(harness.offer(1)[1]) == [1]
    assert sent_to(harness.offer(1)[1]) == []


def test_list_on_request_is_followed_again_after_a_failure() -> None:
    harness = ControllerHarness(settings_with(list_on_request=True))
    assert isinstance(harness.all_actions[0], i.SubscribeToList)
    assert not [a for a in harness.update_list(i.ListKind.FAILED) if isinstance(a, i.SubscribeToList)]
    assert [a for a in harness.pass_time(2 * SECOND) if isinstance(a, i.SubscribeToList)]


def test_same_seed_and_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        harness = ControllerHarness()
        for k in range(60):
            call, actions = harness.offer(1 + k % 3, cls=k % 3, called_number=k % 7)
            for to in sent_to(actions):
                outcome = list(i.Outcome)[k % 8]
                harness.end_attempt(call, to, outcome, concluded=outcome is i.Outcome.RELEASED)
            harness.pass_time(50_000)
        logs.append(harness.all_actions)
    assert logs[0] == logs[1]


def late(harness: ControllerHarness, **more: object) -> bool:
    """Whether a call to number 9 is taken for one past its aim: it leaves the last circuit free."""
    harness.report(1, 1)
    call, actions = harness.offer(1, called_number=9, **more)
    for sent in [a for a in actions if isinstance(a, i.SendSetup)]:
        harness.answer(sent.call, 1)
        harness.end_attempt(sent.call, 1, i.Outcome.RELEASED, concluded=True)
    return final_answers(actions) == [call]


def failed_try(harness: ControllerHarness, **more: object) -> None:
    harness.report(1, 0)
    harness.offer(1, called_number=9, **more)
    harness.pass_time(2 * SECOND)


def test_only_a_try_that_did_not_stand_makes_the_next_call_to_its_number_a_redial() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    failed_try(harness)
    assert late(harness)
    harness = ControllerHarness(remote_exchanges=1)
    harness.offer(1, called_number=9)
    harness.answer(1, 1)
    harness.pass_time(2 * SECOND)
    assert not late(harness)


def test_two_callers_of_one_number_are_not_one_caller_dialling_again() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    failed_try(harness)
    assert late(harness, redialled=True)
    assert not late(harness)  # another caller, in a network that marks redials
    harness = ControllerHarness(remote_exchanges=1)
    harness.report(1, 0)
    harness.offer(1, called_number=9)
    harness.pass_time(SECOND)
    assert not late(harness)  # the first caller's try is not over yet


def test_rule_1_a_waiting_call_is_refused_long_before_its_deadline_for_a_proxy_that_stalls() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    harness.report(1, 0, throttle_share=0.5)
    first, _ = harness.offer(1, called_number=5)
    assert final_answers(harness.pass_time(1_200_000)) == [first]  # with more than a second to spare
    harness.pass_time(SECOND)
    again, actions = harness.offer(1, called_number=5)  # past its aim: not held at all
    assert final_answers(actions) == [again]


def test_a_call_that_can_be_sent_no_more_is_not_kept_waiting() -> None:
    """An answer held back until the end of the wait would only keep the caller from dialling again."""
    short = settings_with(max_attempts=1)
    cases = [  # settings, time on the call when its first attempt ends, how it ends
        (short, 0, i.Outcome.NO_LINE),  # no attempt is left
        (SETTINGS, 700_000, i.Outcome.TIMED_OUT),  # the release time ends after the wait would
    ]
    for settings, after, outcome in cases:
        harness = ControllerHarness(settings)
        call, _ = harness.offer(1)
        harness.pass_time(after)
        assert final_answers(harness.end_attempt(call, 1, outcome)) == [call], outcome


def test_a_call_to_an_exchange_paused_past_the_wait_is_refused_at_once() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    for _ in range(4):  # silences: each doubles the pause
        call, _ = harness.offer(1)
        harness.end_attempt(call, 1, i.Outcome.UNREACHABLE, concluded=True)
        harness.now = max(harness.now, harness.controller.exchanges[101].blocked_until)
    call, _ = harness.offer(1)
    harness.end_attempt(call, 1, i.Outcome.UNREACHABLE, concluded=True)
    call, actions = harness.offer(1)
    assert final_answers(actions) == [call]


def test_a_refused_caller_is_told_when_circuits_come_free() -> None:
    def told_stay(free: int, waits_us: int, first_us: int) -> int:
        harness = ControllerHarness(remote_exchanges=1, free=free)
        _, actions = harness.offer(1, called_number=77)
        actions += harness.pass_time(waits_us)
        if first_us:  # the caller dials again past its aim
            harness.now += first_us
            _, actions = harness.offer(1, called_number=77)
        (refusal,) = [a for a in actions if isinstance(a, i.Refuse)]
        return refusal.retry_after_us

    # 40 circuits held for 10 s each: one comes free every 250 ms. Past its aim a call can wait longer.
    assert told_stay(0, 2 * SECOND, 0) == 250_000
    assert told_stay(0, 2 * SECOND, SECOND) == SETTINGS.max_retry_after_us


def test_a_group_found_full_costs_a_call_one_attempt() -> None:
    """The far end fills the group before word of it comes: all attempts went within milliseconds."""
    harness = ControllerHarness()
    call, actions = harness.offer(1)
    assert sent_to(actions) == [1]
    (tandem,) = sent_to(harness.end_attempt(call, 1, i.Outcome.NOT_SENT, i.Cause.NO_CIRCUIT))
    assert tandem != 1


def test_an_own_processor_out_of_service_costs_a_call_one_attempt() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    (refusal,) = harness.end_attempt(call, 1, i.Outcome.NOT_SENT, i.Cause.PROCESSOR_FULL)
    assert refusal == i.Refuse(call, SETTINGS.max_retry_after_us)


def test_a_caller_whose_attempts_failed_by_chance_is_told_to_come_back_soon() -> None:
    # An exchange that fails set-ups at random: without the word its callers come too late for their aim.
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    for _ in range(4):
        actions = harness.end_attempt(call, 1, i.Outcome.NO_LINE)
    (refusal,) = [a for a in actions if isinstance(a, i.Refuse)]
    assert 0 < refusal.retry_after_us <= harness.controller.shortest_target_us // 10


def test_an_exchange_that_has_gone_is_forgotten_and_its_calls_still_end() -> None:
    harness = ControllerHarness(remote_exchanges=2)
    call, _ = harness.offer(1)
    harness.update_list(i.ListKind.CHANGES, list_entry(1, i.ListState.GONE))
    assert sorted(harness.controller.exchanges) == [100, 102]
    assert final_answers(harness.end_attempt(call, 1, i.Outcome.CUT)) == [call]
    assert harness.controller.calls == {}
    harness.update_list(i.ListKind.CHANGES, list_entry(2, i.ListState.GONE))
    assert sorted(harness.controller.groups) == [0]
