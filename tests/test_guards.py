"""Each guard of the decision module: when it starts to act, and how normal service returns."""

from __future__ import annotations

import pytest

from latchturn import Controller
from latchturn import interface as i

from .helpers import SECOND, SETTINGS, ControllerHarness, final_answers, list_entry, sent_to, settings_with


def time_out(harness: ControllerHarness, number: int) -> None:
    """Offer a call to an exchange and, if it is sent there, let its attempt time out."""
    call, actions = harness.offer(number)
    if sent_to(actions):
        harness.now += SECOND
        harness.end_attempt(call, number, i.Outcome.TIMED_OUT)
        harness.pass_time(2 * SECOND)


def test_unresponsive_exchange_is_backed_off_and_recovers_with_its_first_answer() -> None:
    harness = ControllerHarness()
    for _ in range(2):
        time_out(harness, 1)
    set_ups = 0
    for _ in range(40):
        _, actions = harness.offer(1)
        for action in actions + harness.pass_time(100_000):
            if isinstance(action, i.SendSetup):
                set_ups += action.exchange == 101
                harness.end_attempt(action.call, 1, i.Outcome.TIMED_OUT, concluded=True)
    assert 1 <= set_ups <= 6
    harness.pass_time(9 * SECOND)
    call, actions = harness.offer(1)
    assert sent_to(actions) == [1]
    harness.answer(call, 1)
    assert [sent_to(harness.offer(1)[1]) for _ in range(2)] == [[1], [1]]


def test_unreachable_exchange_counts_as_unresponsive() -> None:
    harness = ControllerHarness()
    for _ in range(2):
        call, _ = harness.offer(1)
        harness.end_attempt(call, 1, i.Outcome.UNREACHABLE)
        harness.pass_time(3 * SECOND)
        harness.now -= 2 * SECOND
    assert harness.controller.by_number[1].congested()


def test_set_ups_to_a_busy_number_are_spaced_out_until_a_call_is_answered() -> None:
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


def test_no_two_leg_call_over_or_to_a_congested_exchange() -> None:
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


def test_slow_answers_narrow_the_window_and_prompt_ones_widen_it() -> None:
    harness = ControllerHarness()
    remote = harness.controller.by_number[1]
    begin = remote.window
    for _ in range(6):
        call, _ = harness.offer(1)
        harness.now += SECOND
        harness.answer(call, 1)
    assert remote.window < begin and remote.congested()
    for _ in range(4):
        call, _ = harness.offer(1)
        harness.now += 50_000
        harness.answer(call, 1)
    assert remote.window >= begin and not remote.congested() and remote.outstanding == 0


def test_tandem_that_refused_is_backed_off_for_that_destination() -> None:
    harness = ControllerHarness()
    harness.report(1, 0)
    harness.report(2, 40)
    harness.report(3, 38)
    call, actions = harness.offer(1)
    assert sent_to(actions) == [2]
    assert sent_to(harness.end_attempt(call, 2, i.Outcome.TURNED_AWAY, i.Cause.REFUSED_BY_TANDEM)) == [3]
    harness.report(2, 40)
    assert sent_to(harness.offer(1)[1]) == [3]


def test_redial_past_its_target_leaves_the_reserve_of_circuits_free() -> None:
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


def test_queued_calls_are_served_by_value_per_circuit() -> None:
    harness = ControllerHarness()
    for k in (1, 2, 3):
        harness.report(k, 0)
    plain, _ = harness.offer(1, cls=0)
    urgent, _ = harness.offer(1, cls=2)
    harness.now += 100_000
    actions = [a for a in harness.report(1, 10) if isinstance(a, i.SendSetup)]
    assert [a.call for a in actions][0] == urgent


def test_circuit_counts_and_windows_are_clear_after_every_outcome() -> None:
    harness = ControllerHarness()
    for outcome in i.Outcome:
        call, actions = harness.offer(1)
        if sent_to(actions):
            harness.end_attempt(call, 1, outcome, concluded=True)
        harness.pass_time(5 * SECOND)
    group = harness.controller.groups[1]
    assert group.in_use == [0] * len(group.in_use)
    assert harness.controller.by_number[1].outstanding == 0 and harness.controller.calls == {}


def test_events_for_unknown_calls_and_exchanges_are_harmless() -> None:
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
def test_invalid_settings_are_rejected_with_the_name_of_the_field(field: str, value: object) -> None:
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


def test_window_limits_a_burst_of_set_ups_to_one_exchange() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    sent = sum(len(sent_to(harness.offer(1)[1])) for _ in range(30))
    assert sent <= 2
    remote = harness.controller.by_number[1]
    for _ in range(30):
        for call in [c.offer.call for c in harness.controller.calls.values() if c.awaiting_answer]:
            harness.now += 1_000
            harness.answer(call, 1)
        harness.offer(1)
        assert remote.outstanding <= 4


def test_tandem_back_off_grows_and_ends_with_an_answered_call() -> None:
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


def test_narrow_calls_yield_to_a_queued_wider_call_of_no_less_value_per_circuit() -> None:
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


def test_two_leg_time_out_leaves_time_within_the_target() -> None:
    harness = ControllerHarness(remote_exchanges=2)
    harness.report(1, 0)
    _, actions = harness.offer(1)
    (send,) = [a for a in actions if isinstance(a, i.SendSetup)]
    assert send.exchange == 102 and 0 < send.timeout_us < SETTINGS.classes[0].target_us


def test_caller_that_left_gets_no_final_answer() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    harness.submit(i.CallerLeft(call))
    assert harness.end_attempt(call, 1, i.Outcome.TIMED_OUT) == []
    assert harness.controller.calls == {} and harness.controller.groups[1].in_use == [0, 0]


def test_call_is_retried_after_a_signalling_fault_but_not_to_a_busy_number() -> None:
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    assert sent_to(harness.end_attempt(call, 1, i.Outcome.NO_LINE)) == [1]
    busy, _ = harness.offer(1, called_number=9)
    assert final_answers(harness.end_attempt(busy, 1, i.Outcome.NO_LINE, i.Cause.NUMBER_BUSY)) == [busy]


def test_only_changes_of_state_are_logged() -> None:
    harness = ControllerHarness()
    for _ in range(5):
        time_out(harness, 1)
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


def test_full_processor_gets_no_set_ups_for_the_wait_that_it_asked_for() -> None:
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


def test_restarted_controller_needs_only_the_cached_list_and_reported_circuits() -> None:
    harness = ControllerHarness(remote_exchanges=2)
    harness.report(1, 0)
    harness.report(2, 13)
    assert sent_to(harness.offer(1)[1]) == [2]
    harness = ControllerHarness(remote_exchanges=1)
    harness.report(1, 1)
    assert sent_to(harness.offer(1)[1]) == [1]
    assert sent_to(harness.offer(1)[1]) == []


def test_list_on_request_is_subscribed_to_again_after_a_failure() -> None:
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


def past_target(harness: ControllerHarness, **more: object) -> bool:
    """Whether a call to number 9 counts as past its target, and so does not get the last free circuit."""
    harness.report(1, 1)
    call, actions = harness.offer(1, called_number=9, **more)
    for sent in [a for a in actions if isinstance(a, i.SendSetup)]:
        harness.answer(sent.call, 1)
        harness.end_attempt(sent.call, 1, i.Outcome.RELEASED, concluded=True)
    return final_answers(actions) == [call]


def fail_a_call(harness: ControllerHarness, **more: object) -> None:
    """Offer a call to number 9 that gets no circuit until its time in the queue is over."""
    harness.report(1, 0)
    harness.offer(1, called_number=9, **more)
    harness.pass_time(2 * SECOND)


def test_only_an_unanswered_call_makes_the_next_call_to_its_number_a_redial() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    fail_a_call(harness)
    assert past_target(harness)
    harness = ControllerHarness(remote_exchanges=1)
    harness.offer(1, called_number=9)
    harness.answer(1, 1)
    harness.pass_time(2 * SECOND)
    assert not past_target(harness)


def test_second_caller_of_a_number_is_not_taken_for_a_redial() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    fail_a_call(harness)
    assert past_target(harness, redialled=True)
    assert not past_target(harness)  # another caller: this network marks redials
    harness = ControllerHarness(remote_exchanges=1)
    harness.report(1, 0)
    harness.offer(1, called_number=9)
    harness.pass_time(SECOND)
    assert not past_target(harness)  # the call of the first caller has not failed yet


def test_rule_1_queued_call_is_refused_well_before_its_deadline_in_case_of_a_stall() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    harness.report(1, 0, throttle_share=0.5)
    first, _ = harness.offer(1, called_number=5)
    assert final_answers(harness.pass_time(1_200_000)) == [first]  # with more than a second to spare
    harness.pass_time(SECOND)
    again, actions = harness.offer(1, called_number=5)  # past its target: not queued
    assert final_answers(actions) == [again]


def test_call_that_cannot_be_sent_any_more_is_refused_at_once() -> None:
    """A later final answer would only keep the caller from redialling."""
    short = settings_with(max_attempts=1)
    cases = [  # settings, time from the offer to the end of the first attempt, outcome
        (short, 0, i.Outcome.NO_LINE),  # no attempt is left
        (SETTINGS, 700_000, i.Outcome.TIMED_OUT),  # the release time would end later than its time in the queue
    ]
    for settings, after, outcome in cases:
        harness = ControllerHarness(settings)
        call, _ = harness.offer(1)
        harness.pass_time(after)
        assert final_answers(harness.end_attempt(call, 1, outcome)) == [call], outcome


def test_call_to_an_exchange_backed_off_past_its_queue_time_is_refused_at_once() -> None:
    harness = ControllerHarness(remote_exchanges=1)
    for _ in range(4):  # from the second unanswered attempt on each doubles the back-off
        call, _ = harness.offer(1)
        harness.end_attempt(call, 1, i.Outcome.UNREACHABLE, concluded=True)
        harness.now = max(harness.now, harness.controller.exchanges[101].blocked_until_us)
    call, _ = harness.offer(1)
    harness.end_attempt(call, 1, i.Outcome.UNREACHABLE, concluded=True)
    call, actions = harness.offer(1)
    assert final_answers(actions) == [call]


def test_retry_after_follows_the_rate_at_which_circuits_come_free() -> None:
    def retry_after(free: int, pass_us: int, redial_after_us: int) -> int:
        harness = ControllerHarness(remote_exchanges=1, free=free)
        _, actions = harness.offer(1, called_number=77)
        actions += harness.pass_time(pass_us)
        if redial_after_us:  # the caller redials past its target
            harness.now += redial_after_us
            _, actions = harness.offer(1, called_number=77)
        (refusal,) = [a for a in actions if isinstance(a, i.Refuse)]
        return refusal.retry_after_us

    # 40 circuits held for 10 s each: one comes free every 250 ms. Past its target, a call can wait longer.
    assert retry_after(0, 2 * SECOND, 0) == 250_000
    assert retry_after(0, 2 * SECOND, SECOND) == SETTINGS.max_retry_after_us


def test_a_group_found_full_costs_a_call_one_attempt() -> None:
    """The remote exchange may fill the trunk group before its report arrives.

    A call must not spend all its attempts on the full group within milliseconds.
    """
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


def test_retry_after_is_short_when_the_attempts_failed_at_random() -> None:
    # An exchange fails set-ups at random. With a long retry-after its callers would redial too late for their target.
    harness = ControllerHarness()
    call, _ = harness.offer(1)
    for _ in range(4):
        actions = harness.end_attempt(call, 1, i.Outcome.NO_LINE)
    (refusal,) = [a for a in actions if isinstance(a, i.Refuse)]
    assert 0 < refusal.retry_after_us <= harness.controller.shortest_target_us // 10


def test_removed_exchange_is_forgotten_and_its_calls_still_end() -> None:
    harness = ControllerHarness(remote_exchanges=2)
    call, _ = harness.offer(1)
    harness.update_list(i.ListKind.CHANGES, list_entry(1, i.ListState.GONE))
    assert sorted(harness.controller.exchanges) == [100, 102]
    assert final_answers(harness.end_attempt(call, 1, i.Outcome.CUT)) == [call]
    assert harness.controller.calls == {}
    harness.update_list(i.ListKind.CHANGES, list_entry(2, i.ListState.GONE))
    assert sorted(harness.controller.groups) == [0]
