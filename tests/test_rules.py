"""The five rules, each from what one proxy knows."""

from __future__ import annotations

from latchturn import interface as i

from .helpers import OWN, SECOND, SETTINGS, Bench, changed, entry, finals, sends


def test_direct_first_then_the_freest_admitting_tandem() -> None:
    bench = Bench()
    assert sends(bench.offer(1)[1]) == [1]
    bench.told(1, 0)
    bench.told(2, 30)
    bench.told(3, 35)
    assert sends(bench.offer(1)[1]) == [3]


def test_transit_goes_only_to_its_destination_or_back_at_once() -> None:
    bench = Bench()
    call, actions = bench.offer(1, transit=True, via=2)
    assert sends(actions) == [1]
    bench.told(1, 0)
    call, actions = bench.offer(1, transit=True, via=2)
    assert actions == [i.Refuse(call, 0)]
    call, actions = bench.offer(OWN, transit=True, via=2)
    assert finals(actions) == [call]


def test_turned_back_transit_at_the_tandem_is_final() -> None:
    bench = Bench()
    call, _ = bench.offer(1, transit=True, via=2)
    actions = bench.ended(call, 1, i.Outcome.TURNED_AWAY, i.Cause.PROCESSOR_FULL)
    assert finals(actions) == [call] and not sends(actions)


def test_rule_1_waiting_call_is_answered_before_its_deadline() -> None:
    bench = Bench()
    for k in (1, 2, 3):
        bench.told(k, 0)
    call, actions = bench.offer(1)
    assert not finals(actions) and not sends(actions)
    actions = bench.pass_time(3 * SECOND)
    assert finals(actions) == [call]
    assert not bench.told(1, 40)
    assert bench.controller.calls == {} and bench.controller.queues == {}


def test_rule_1_short_deadline_is_answered_in_time() -> None:
    bench = Bench()
    for k in (1, 2, 3):
        bench.told(k, 0)
    begin = bench.now
    call, actions = bench.offer(1, deadline_us=begin + 300_000)
    while not finals(actions) and bench.now < begin + SECOND:
        actions = bench.pass_time(5_000)
    assert finals(actions) == [call] and bench.now < begin + 300_000


def test_rule_1_time_out_at_the_deadline_is_answered_at_once() -> None:
    bench = Bench()
    call, _ = bench.offer(1)
    bench.now += 3 * SECOND
    assert bench.ended(call, 1, i.Outcome.TIMED_OUT) == [i.Fail(call)]
    assert bench.ended(call, 1, i.Outcome.TIMED_OUT) == []


def test_rule_1_a_cut_call_that_comes_again_is_a_call_of_its_own() -> None:
    bench = Bench()
    call, _ = bench.offer(1)
    bench.stands(call, 1)
    assert bench.ended(call, 1, i.Outcome.CUT, concluded=True) == []
    assert bench.controller.calls == {}
    again, actions = bench.offer(1, cut_before=True)
    assert sends(actions) == [1] and again != call


def test_rule_2_nothing_more_is_sent_while_an_attempt_is_out() -> None:
    bench = Bench()
    call, _ = bench.offer(1)
    later = bench.pass_time(2 * SECOND) + bench.told(1, 40) + bench.told(2, 40)
    assert not sends(later)


def test_rule_3_nothing_to_a_draining_or_gone_or_missing_exchange() -> None:
    for state in (i.ListState.DRAINING, i.ListState.GONE):
        bench = Bench()
        bench.list(i.ListKind.CHANGES, entry(1, state))
        call, actions = bench.offer(1)
        assert finals(actions) == [call] and not sends(actions)
    bench = Bench()
    bench.list(i.ListKind.FULL, entry(0), entry(2), entry(3))
    call, actions = bench.offer(1)
    assert finals(actions) == [call] and not sends(actions)


def test_rule_3_a_waiting_call_gets_its_answer_once_its_exchange_drains() -> None:
    bench = Bench()
    for k in (1, 2, 3):
        bench.told(k, 0)
    call, _ = bench.offer(1)
    actions = bench.list(i.ListKind.CHANGES, entry(1, i.ListState.DRAINING))
    assert finals(actions) == [call] and not sends(actions)
    assert not sends(bench.told(1, 40))


def cold_sends(bench: Bench, seconds: int) -> list[int]:
    """Times of sends to exchange 1, just started, under more calls than it may get."""
    times = []
    bench.list(i.ListKind.CHANGES, entry(1, started=bench.now))
    end = bench.now + seconds * SECOND
    while bench.now < end:
        call, actions = bench.offer(1, transit=bench.next_call % 3 == 0)
        actions += bench.pass_time(100_000)
        for action in actions:
            if isinstance(action, i.SendSetup) and action.exchange == 101:
                times.append(bench.now)
                bench.stands(action.call, 1)
                bench.ended(action.call, 1, i.Outcome.RELEASED, concluded=True)
    return times


def test_rule_4_all_proxies_together_stay_within_the_cold_budget_in_every_window() -> None:
    bench = Bench()
    for k in (2, 3):
        bench.told(k, 40, setups_per_s=20.0)
    times = cold_sends(bench, 10)
    s = SETTINGS
    takes = 20.0 + 2 * 10.0  # what warm exchanges say they can take, and the calls carried out and in
    budget = s.collapse_multiple * s.cold_start_share * takes * s.collapse_us / SECOND
    assert times
    for t in times:
        assert s.controllers * sum(1 for u in times if t <= u < t + s.collapse_us) <= budget


def test_rule_4_budget_without_any_report_comes_from_the_own_calls() -> None:
    bench = Bench(changed(controllers=2))
    for _ in range(40):
        call, _ = bench.offer(2)
        bench.stands(call, 2)
        bench.ended(call, 2, i.Outcome.RELEASED, concluded=True)
        bench.pass_time(SECOND // 4)
    times = cold_sends(bench, 6)
    assert 1 <= len(times) < 60


def test_rule_4_a_warm_exchange_is_not_held_back_any_more() -> None:
    bench = Bench()
    bench.list(i.ListKind.CHANGES, entry(1, started=bench.now))
    sent = [sends(bench.offer(1)[1]) for _ in range(4)]
    assert sent.count([1]) < 4
    bench.pass_time(SETTINGS.warm_up_us + SECOND)
    assert sends(bench.offer(1)[1]) == [1]


def test_rule_5_release_is_awaited() -> None:
    for outcome in (i.Outcome.TIMED_OUT, i.Outcome.CUT, i.Outcome.CANCELLED):
        bench = Bench()
        call, _ = bench.offer(1, cls=1)
        bench.now += 100_000
        told = bench.now
        actions = bench.ended(call, 1, outcome)
        actions += bench.told(1, 40) + bench.told(2, 39)
        assert not sends(actions)
        resent = None
        while resent is None and bench.now < told + 2 * SECOND:
            if sends(bench.pass_time(5_000) + bench.told(1, 40)):
                resent = bench.now
        assert resent is not None and resent >= told + SETTINGS.release_us


def test_attempts_are_limited() -> None:
    bench = Bench()
    call, actions = bench.offer(1)
    for _ in range(SETTINGS.max_attempts):
        at = sends(actions)
        assert len(at) == 1
        actions = bench.ended(call, at[0], i.Outcome.NOT_SENT)
    assert not sends(actions) and finals(actions) == [call]
