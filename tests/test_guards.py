"""Each guard: how it sets in, and how service comes back."""

from __future__ import annotations

import pytest

from latchturn import Controller
from latchturn import interface as i

from .helpers import SECOND, SETTINGS, Bench, changed, entry, finals, sends


def silence(bench: Bench, number: int) -> None:
    call, actions = bench.offer(number)
    if sends(actions):
        bench.now += SECOND
        bench.ended(call, number, i.Outcome.TIMED_OUT)
        bench.pass_time(2 * SECOND)


def test_silent_exchange_is_tried_sparingly_and_recovers_with_its_first_answer() -> None:
    bench = Bench()
    for _ in range(2):
        silence(bench, 1)
    tries = 0
    for _ in range(40):
        _, actions = bench.offer(1)
        for action in actions + bench.pass_time(100_000):
            if isinstance(action, i.SendSetup):
                tries += action.exchange == 101
                bench.ended(action.call, 1, i.Outcome.TIMED_OUT, concluded=True)
    assert 1 <= tries <= 6
    bench.pass_time(9 * SECOND)
    call, actions = bench.offer(1)
    assert sends(actions) == [1]
    bench.stands(call, 1)
    assert [sends(bench.offer(1)[1]) for _ in range(2)] == [[1], [1]]


def test_unreachable_exchange_counts_as_silent() -> None:
    bench = Bench()
    for _ in range(2):
        call, _ = bench.offer(1)
        bench.ended(call, 1, i.Outcome.UNREACHABLE)
        bench.pass_time(3 * SECOND)
        bench.now -= 2 * SECOND
    assert bench.controller.by_number[1].congested()


def test_busy_number_is_spaced_out_and_freed_by_a_call_that_stands() -> None:
    bench = Bench()
    call, _ = bench.offer(1, called_number=77)
    bench.ended(call, 1, i.Outcome.NO_LINE, i.Cause.NUMBER_BUSY)
    call, actions = bench.offer(1, called_number=77)
    assert finals(actions) == [call] and not sends(actions)
    assert sends(bench.offer(1, called_number=78)[1]) == [1]
    bench.pass_time(SECOND)
    call, actions = bench.offer(1, called_number=77)
    assert sends(actions) == [1]
    bench.stands(call, 1)
    assert sends(bench.offer(1, called_number=77)[1]) == [1]


def test_no_two_leg_call_over_or_towards_a_pressed_processor() -> None:
    bench = Bench()
    bench.told(1, 0)
    bench.told(2, 40, throttle_share=0.5)
    bench.told(3, 10)
    assert sends(bench.offer(1)[1]) != [2]
    bench = Bench()
    bench.told(1, 0, throttle_share=0.5)
    assert sends(bench.offer(1)[1]) == []
    bench.told(1, 0, throttle_share=0.0)
    assert sends(bench.offer(1)[1]) in ([2], [3])


def test_slow_answers_shrink_the_window_and_prompt_ones_widen_it() -> None:
    bench = Bench()
    far = bench.controller.by_number[1]
    begin = far.window
    for _ in range(6):
        call, _ = bench.offer(1)
        bench.now += SECOND
        bench.stands(call, 1)
    assert far.window < begin and far.congested()
    for _ in range(4):
        call, _ = bench.offer(1)
        bench.now += 50_000
        bench.stands(call, 1)
    assert far.window >= begin and not far.congested() and far.outstanding == 0


def test_tandem_that_turned_back_is_left_alone_for_that_destination() -> None:
    bench = Bench()
    bench.told(1, 0)
    bench.told(2, 40)
    bench.told(3, 38)
    call, actions = bench.offer(1)
    assert sends(actions) == [2]
    assert sends(bench.ended(call, 2, i.Outcome.TURNED_AWAY, i.Cause.REFUSED_BY_TANDEM)) == [3]
    bench.told(2, 40)
    assert sends(bench.offer(1)[1]) == [3]


def test_redial_past_its_aim_goes_only_into_idle_circuits() -> None:
    bench = Bench()
    for k in (1, 2, 3):
        bench.told(k, 0)
    bench.offer(1, called_number=5)
    bench.pass_time(3 * SECOND)
    bench.told(1, 4)
    bench.told(2, 40)
    call, actions = bench.offer(1, called_number=5)
    assert finals(actions) == [call] and not sends(actions)
    assert sends(bench.offer(1, called_number=6)[1]) == [1]
    bench.told(1, 30)
    assert sends(bench.offer(1, called_number=5)[1]) == [1]


def test_waiting_calls_go_by_worth_for_their_circuits() -> None:
    bench = Bench()
    for k in (1, 2, 3):
        bench.told(k, 0)
    plain, _ = bench.offer(1, cls=0)
    urgent, _ = bench.offer(1, cls=2)
    bench.now += 100_000
    actions = [a for a in bench.told(1, 10) if isinstance(a, i.SendSetup)]
    assert [a.call for a in actions][0] == urgent


def test_ledger_and_windows_are_clean_after_every_kind_of_end() -> None:
    bench = Bench()
    for outcome in i.Outcome:
        call, actions = bench.offer(1)
        if sends(actions):
            bench.ended(call, 1, outcome, concluded=True)
        bench.pass_time(5 * SECOND)
    group = bench.controller.groups[1]
    assert group.in_use == [0] * len(group.in_use)
    assert bench.controller.by_number[1].outstanding == 0 and bench.controller.calls == {}


def test_odd_events_are_harmless() -> None:
    bench = Bench()
    bench.attempts[99] = 0
    assert bench.ended(99, 1, i.Outcome.RELEASED) == []
    assert bench.stands(99, 1) == []
    assert bench.do(i.CallerLeft(99)) == []
    assert bench.do(i.TimerDue(12345)) == []
    assert bench.do(i.ExchangeReport(999, True, False, 0, i.LoadReport(free=1, size=2))) == []
    call, _ = bench.offer(1)
    bench.stands(call, 1)
    assert bench.stands(call, 1) == []
    bench.ended(call, 1, i.Outcome.RELEASED, concluded=True)
    assert bench.ended(call, 1, i.Outcome.RELEASED, concluded=True) == []
    call, actions = bench.offer(77)
    assert finals(actions) == [call]


@pytest.mark.parametrize(
    ("field", "value"),
    [("controllers", 0), ("release_us", -1), ("cold_start_share", 0.0), ("classes", ()), ("collapse_us", 0)],
)
def test_wrong_settings_name_the_field_and_the_value(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        Controller(changed(**{field: value}), 1)


def test_pools_use_a_pool_with_the_skill_as_second_choice() -> None:
    classes = (i.CallClass("a", 1.0, 0.2, SECOND, 9 * SECOND, 1, 9 * SECOND, pools=(1, 3)),)
    bench = Bench(changed(topology=i.Topology.POOLS, own_number=-1, classes=classes))
    bench.told(1, 0)
    bench.told(2, 40)
    bench.told(3, 30)
    assert sends(bench.offer(1)[1]) == [3]
    assert SETTINGS.own_number == 0


def test_windows_keep_a_burst_out_of_a_far_processors_line() -> None:
    bench = Bench(far=1)
    sent = sum(len(sends(bench.offer(1)[1])) for _ in range(30))
    assert sent <= 2
    far = bench.controller.by_number[1]
    for _ in range(30):
        for call in [c.offer.call for c in bench.controller.calls.values() if c.out]:
            bench.now += 1_000
            bench.stands(call, 1)
        bench.offer(1)
        assert far.outstanding <= 4


def test_turn_back_pause_grows_and_ends_with_a_call_that_stands() -> None:
    bench = Bench(far=2)
    bench.told(1, 0)
    pauses = []
    for _ in range(3):
        call, actions = bench.offer(1)
        assert sends(actions) == [2]
        bench.ended(call, 2, i.Outcome.TURNED_AWAY, i.Cause.REFUSED_BY_TANDEM)
        bench.pass_time(3 * SECOND)
        bench.told(2, 40)
        begin = bench.now
        while bench.controller.by_number[2].tandem_back_offs[1][1] > bench.now:
            bench.pass_time(SECOND // 10)
        pauses.append(bench.now - begin)
    assert pauses == sorted(pauses) and pauses[0] < pauses[-1]
    call, actions = bench.offer(1)
    bench.stands(call, 2)
    assert bench.controller.by_number[2].tandem_back_offs == {}


def test_narrow_calls_yield_to_a_wider_call_that_waits_and_is_worth_as_much() -> None:
    bench = Bench(far=1)
    bench.told(1, 0)
    wide, _ = bench.offer(1, cls=1)
    bench.told(1, 2)
    plain, actions = bench.offer(1, cls=0)
    assert not sends(actions)
    urgent, actions = bench.offer(1, cls=2)
    assert sends(actions) == [1]
    actions = [a for a in bench.told(1, 3) if isinstance(a, i.SendSetup)]
    assert [a.call for a in actions] == [wide]
    bench.stands(urgent, 1)
    actions = [a for a in bench.told(1, 5) if isinstance(a, i.SendSetup)]
    assert [a.call for a in actions] == [plain]


def test_two_leg_time_out_leaves_time_within_the_aim() -> None:
    bench = Bench(far=2)
    bench.told(1, 0)
    _, actions = bench.offer(1)
    (send,) = [a for a in actions if isinstance(a, i.SendSetup)]
    assert send.exchange == 102 and 0 < send.timeout_us < SETTINGS.classes[0].target_us


def test_a_caller_that_left_is_never_answered() -> None:
    bench = Bench()
    call, _ = bench.offer(1)
    bench.do(i.CallerLeft(call))
    assert bench.ended(call, 1, i.Outcome.TIMED_OUT) == []
    assert bench.controller.calls == {} and bench.controller.groups[1].in_use == [0, 0]


def test_a_signalling_fault_is_tried_again_but_not_a_busy_number() -> None:
    bench = Bench()
    call, _ = bench.offer(1)
    assert sends(bench.ended(call, 1, i.Outcome.NO_LINE)) == [1]
    busy, _ = bench.offer(1, called_number=9)
    assert finals(bench.ended(busy, 1, i.Outcome.NO_LINE, i.Cause.NUMBER_BUSY)) == [busy]


def test_log_lines_tell_only_changes_of_state() -> None:
    bench = Bench()
    for _ in range(5):
        silence(bench, 1)
        bench.pass_time(5 * SECOND)
    texts = [a.text for a in bench.log if isinstance(a, i.Log)]
    assert texts == ["exchange 1 is silent, tried sparingly"]
    call, _ = bench.offer(1)
    bench.stands(call, 1)
    other, _ = bench.offer(1)
    bench.stands(other, 1)
    texts = [a.text for a in bench.log if isinstance(a, i.Log)]
    assert texts[1:] == ["exchange 1 answers again"]
    assert bench.controller.by_number[1].consecutive_unanswered == 0


def test_processor_full_is_waited_out_and_then_tried_again() -> None:
    bench = Bench(far=1)
    call, _ = bench.offer(1)
    actions = bench.ended(call, 1, i.Outcome.TURNED_AWAY, i.Cause.PROCESSOR_FULL, wait_us=900_000)
    assert not sends(actions) and not sends(bench.offer(1)[1])
    assert bench.controller.by_number[1].congested()
    bench.now += 900_000
    call, actions = bench.offer(1)
    assert sends(actions) == [1]
    bench.stands(call, 1)
    assert not bench.controller.by_number[1].congested()


def test_restart_begins_from_told_circuits_and_the_cached_list() -> None:
    bench = Bench(far=2)
    bench.told(1, 0)
    bench.told(2, 13)
    assert sends(bench.offer(1)[1]) == [2]
    bench = Bench(far=1)
    bench.told(1, 1)
    assert sends(bench.offer(1)[1]) == [1]
    assert sends(bench.offer(1)[1]) == []


def test_list_on_request_is_followed_again_after_a_failure() -> None:
    bench = Bench(changed(list_on_request=True))
    assert isinstance(bench.log[0], i.SubscribeToList)
    assert not [a for a in bench.list(i.ListKind.FAILED) if isinstance(a, i.SubscribeToList)]
    assert [a for a in bench.pass_time(2 * SECOND) if isinstance(a, i.SubscribeToList)]


def test_same_seed_and_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        bench = Bench()
        for k in range(60):
            call, actions = bench.offer(1 + k % 3, cls=k % 3, called_number=k % 7)
            for to in sends(actions):
                outcome = list(i.Outcome)[k % 8]
                bench.ended(call, to, outcome, concluded=outcome is i.Outcome.RELEASED)
            bench.pass_time(50_000)
        logs.append(bench.log)
    assert logs[0] == logs[1]


def late(bench: Bench, **more: object) -> bool:
    """Whether a call to number 9 is taken for one past its aim: it leaves the last circuit free."""
    bench.told(1, 1)
    call, actions = bench.offer(1, called_number=9, **more)
    for sent in [a for a in actions if isinstance(a, i.SendSetup)]:
        bench.stands(sent.call, 1)
        bench.ended(sent.call, 1, i.Outcome.RELEASED, concluded=True)
    return finals(actions) == [call]


def failed_try(bench: Bench, **more: object) -> None:
    bench.told(1, 0)
    bench.offer(1, called_number=9, **more)
    bench.pass_time(2 * SECOND)


def test_only_a_try_that_did_not_stand_makes_the_next_call_to_its_number_a_redial() -> None:
    bench = Bench(far=1)
    failed_try(bench)
    assert late(bench)
    bench = Bench(far=1)
    bench.offer(1, called_number=9)
    bench.stands(1, 1)
    bench.pass_time(2 * SECOND)
    assert not late(bench)


def test_two_callers_of_one_number_are_not_one_caller_dialling_again() -> None:
    bench = Bench(far=1)
    failed_try(bench)
    assert late(bench, redialled=True)
    assert not late(bench)  # another caller, in a network that marks redials
    bench = Bench(far=1)
    bench.told(1, 0)
    bench.offer(1, called_number=9)
    bench.pass_time(SECOND)
    assert not late(bench)  # the first caller's try is not over yet


def test_rule_1_a_waiting_call_is_refused_long_before_its_deadline_for_a_proxy_that_stalls() -> None:
    bench = Bench(far=1)
    bench.told(1, 0, throttle_share=0.5)
    first, _ = bench.offer(1, called_number=5)
    assert finals(bench.pass_time(1_200_000)) == [first]  # with more than a second to spare
    bench.pass_time(SECOND)
    again, actions = bench.offer(1, called_number=5)  # past its aim: not held at all
    assert finals(actions) == [again]


def test_a_call_that_can_be_sent_no_more_is_not_kept_waiting() -> None:
    """An answer held back until the end of the wait would only keep the caller from dialling again."""
    short = changed(max_attempts=1)
    cases = [  # settings, time on the call when its first attempt ends, how it ends
        (short, 0, i.Outcome.NO_LINE),  # no attempt is left
        (SETTINGS, 700_000, i.Outcome.TIMED_OUT),  # the release time ends after the wait would
    ]
    for settings, after, outcome in cases:
        bench = Bench(settings)
        call, _ = bench.offer(1)
        bench.pass_time(after)
        assert finals(bench.ended(call, 1, outcome)) == [call], outcome


def test_a_call_to_an_exchange_paused_past_the_wait_is_refused_at_once() -> None:
    bench = Bench(far=1)
    for _ in range(4):  # silences: each doubles the pause
        call, _ = bench.offer(1)
        bench.ended(call, 1, i.Outcome.UNREACHABLE, concluded=True)
        bench.now = max(bench.now, bench.controller.exchanges[101].blocked_until)
    call, _ = bench.offer(1)
    bench.ended(call, 1, i.Outcome.UNREACHABLE, concluded=True)
    call, actions = bench.offer(1)
    assert finals(actions) == [call]


def test_a_refused_caller_is_told_when_circuits_come_free() -> None:
    def told_stay(free: int, waits_us: int, first_us: int) -> int:
        bench = Bench(far=1, free=free)
        _, actions = bench.offer(1, called_number=77)
        actions += bench.pass_time(waits_us)
        if first_us:  # the caller dials again past its aim
            bench.now += first_us
            _, actions = bench.offer(1, called_number=77)
        (refusal,) = [a for a in actions if isinstance(a, i.Refuse)]
        return refusal.retry_after_us

    # 40 circuits held for 10 s each: one comes free every 250 ms. Past its aim a call can wait longer.
    assert told_stay(0, 2 * SECOND, 0) == 250_000
    assert told_stay(0, 2 * SECOND, SECOND) == SETTINGS.max_retry_after_us


def test_a_group_found_full_costs_a_call_one_attempt() -> None:
    """The far end fills the group before word of it comes: all attempts went within milliseconds."""
    bench = Bench()
    call, actions = bench.offer(1)
    assert sends(actions) == [1]
    (tandem,) = sends(bench.ended(call, 1, i.Outcome.NOT_SENT, i.Cause.NO_CIRCUIT))
    assert tandem != 1


def test_an_own_processor_out_of_service_costs_a_call_one_attempt() -> None:
    bench = Bench()
    call, _ = bench.offer(1)
    (refusal,) = bench.ended(call, 1, i.Outcome.NOT_SENT, i.Cause.PROCESSOR_FULL)
    assert refusal == i.Refuse(call, SETTINGS.max_retry_after_us)


def test_a_caller_whose_attempts_failed_by_chance_is_told_to_come_back_soon() -> None:
    # An exchange that fails set-ups at random: without the word its callers come too late for their aim.
    bench = Bench()
    call, _ = bench.offer(1)
    for _ in range(4):
        actions = bench.ended(call, 1, i.Outcome.NO_LINE)
    (refusal,) = [a for a in actions if isinstance(a, i.Refuse)]
    assert 0 < refusal.retry_after_us <= bench.controller.shortest_target_us // 10


def test_an_exchange_that_has_gone_is_forgotten_and_its_calls_still_end() -> None:
    bench = Bench(far=2)
    call, _ = bench.offer(1)
    bench.list(i.ListKind.CHANGES, entry(1, i.ListState.GONE))
    assert sorted(bench.controller.exchanges) == [100, 102]
    assert finals(bench.ended(call, 1, i.Outcome.CUT)) == [call]
    assert bench.controller.calls == {}
    bench.list(i.ListKind.CHANGES, entry(2, i.ListState.GONE))
    assert sorted(bench.controller.groups) == [0]
