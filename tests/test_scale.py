"""Sixty proxies side by side: what they send one exchange adds up, and must not."""

from __future__ import annotations

import random

import pytest

from latchturn import interface as i

from .helpers import SECOND, ControllerHarness, final_answers, list_entry, sent_to, settings_with

PROXIES = 60
COLD = range(1, 21)  # a third of the exchanges, started together
CARRIED = 20.0  # set-ups a second that each exchange carries, half of them its own calls
MORE = 20.0  # what it can take in addition, where exchanges report it


class Proxy(ControllerHarness):
    """One of many proxies: all its set-ups stand and end at once; it counts those to cold exchanges."""

    def __init__(self, seed: int, now: int, reports: bool) -> None:
        self.sent: list[tuple[int, int]] = []
        super().__init__(settings_with(controllers=PROXIES, own_number=100 + seed % PROXIES), remote_exchanges=25)
        self.controller.random.seed(seed)
        self.now = now
        if reports:
            for number in range(21, 26):
                self.report(number, 40, setups_per_s=MORE)

    def submit(self, event: i.Event) -> list[i.Action]:
        actions = super().submit(event)
        for action in list(actions):
            if isinstance(action, i.SendSetup):
                number = action.exchange - 100
                self.sent.append((number, self.now))
                self.answer(action.call, number)
                self.end_attempt(action.call, number, i.Outcome.RELEASED, concluded=True)
        return actions


def network(reports: bool, told_within_us: int, restart: bool = False) -> dict[int, list[int]]:
    """Times at which each cold exchange was sent a set-up, over its warm-up, counted over all proxies."""
    sent: dict[int, list[int]] = {number: [] for number in COLD}
    for k in range(PROXIES):  # controllers share nothing, so one after the other is side by side
        chance = random.Random(k)
        proxy = Proxy(k, 1000 * SECOND, reports)
        if not reports:
            for _ in range(60):  # own calls at half of what an exchange takes
                proxy.offer(21)
                proxy.pass_time(SECOND // 10)
        start = proxy.now
        end = start + proxy.controller.settings.warm_up_us
        proxy.pass_time(chance.randrange(told_within_us + 1))
        told = proxy.now  # what goes out before is no fault of this proxy
        proxy.update_list(i.ListKind.CHANGES, *[list_entry(number, started=start) for number in COLD])
        again = start + chance.randrange(8 * SECOND) if restart else end
        while proxy.now < end:
            if proxy.now >= again:
                before, again = proxy, end
                proxy = Proxy(PROXIES + k, before.now, reports)
                proxy.sent = before.sent
                proxy.update_list(i.ListKind.FULL, *[list_entry(n, started=start * (n in COLD)) for n in range(26)])
            for number in COLD:
                if chance.random() < 0.05:
                    proxy.offer(number)
            proxy.pass_time(SECOND // 10)
        for number, at in proxy.sent:
            if number in sent and at >= told:
                sent[number].append(at)
    return sent


@pytest.mark.parametrize(
    ("reports", "told_within_us", "restart"),
    [(True, 0, False), (False, 0, False), (True, 3 * SECOND, False), (True, 0, True)],
)
def test_rule_4_sixty_proxies_do_not_push_twenty_cold_exchanges_over(
    reports: bool, told_within_us: int, restart: bool
) -> None:
    settings = settings_with(controllers=PROXIES)
    sent = network(reports, told_within_us, restart)
    takes = CARRIED + (MORE if reports else CARRIED / 2)
    budget = settings.collapse_multiple * settings.cold_start_share * takes * settings.collapse_us / SECOND
    for times in sent.values():
        assert len(times) >= settings.warm_up_us / settings.collapse_us * budget / 5  # cold exchanges are used
        most = max(sum(1 for u in times if t <= u < t + settings.collapse_us) for t in times)
        assert most <= 1.5 * budget  # calls come by chance, within the turns


def test_rule_4_hundreds_of_proxies_send_less_each() -> None:
    few, many = ControllerHarness(settings_with(controllers=10)), ControllerHarness(settings_with(controllers=500))
    gaps = []
    for harness in (few, many):
        harness.report(2, 40, setups_per_s=MORE)
        gaps.append(harness.controller._warm_up_gap())
    assert gaps[1] == pytest.approx(50 * gaps[0], rel=0.01)
    settings = many.controller.settings
    assert 500 * SECOND / gaps[1] <= settings.collapse_multiple * settings.cold_start_share * MORE


def test_callers_with_little_time_are_tried_where_set_ups_are_quick() -> None:
    harness = ControllerHarness()
    for _ in range(30):
        call, _ = harness.offer(1)
        harness.now += 80_000
        harness.answer(call, 1)
        harness.end_attempt(call, 1, i.Outcome.RELEASED, concluded=True)
    call, actions = harness.offer(1, deadline_us=harness.now + 120_000)
    assert sent_to(actions) == [1]
    harness.answer(call, 1)
    call, actions = harness.offer(1, deadline_us=harness.now + 10_000)
    assert not sent_to(actions) and final_answers(actions + harness.pass_time(10_000)) == [call]


def turned_back(harness: ControllerHarness, to: int) -> list[int]:
    """Tandems that a call to `to` tries while every one turns it back."""
    tried = []
    call, actions = harness.offer(to)
    while at := sent_to(actions):
        tried += at
        harness.now += 20_000
        actions = harness.end_attempt(call, at[0], i.Outcome.TURNED_AWAY, i.Cause.REFUSED_BY_TANDEM)
    harness.pass_time(2 * SECOND)
    return tried


def test_calls_that_mostly_come_back_try_one_unproven_tandem_and_proven_ones_first() -> None:
    harness = ControllerHarness(remote_exchanges=30)
    for number in range(1, 6):
        harness.report(number, 0)
    assert len(turned_back(harness, 1)) > 1  # the ordinary path, before turn-backs are the rule
    while harness.controller.tandem_refusal_share < 0.9:
        turned_back(harness, 2)
        harness.pass_time(40 * SECOND)
    assert len(turned_back(harness, 3)) == 1
    harness.pass_time(60 * SECOND)
    for number in range(6, 31):
        harness.report(number, 20 + number)
    call, actions = harness.offer(4)
    assert sent_to(actions) == [30]  # still the one with most told free circuits
    harness.answer(call, 30)
    harness.report(30, 20)
    assert sent_to(harness.offer(4)[1]) == [30]  # proven, though others have more
    while harness.controller.tandem_refusal_share >= 0.4:  # calls that stand end it
        call, actions = harness.offer(5)
        if at := sent_to(actions):
            harness.answer(call, at[0])
            harness.end_attempt(call, at[0], i.Outcome.RELEASED, concluded=True)
    for number in range(6, 31):
        harness.report(number, 20 + number - 10 * (number == 30))
    assert sent_to(harness.offer(4)[1]) == [29]


def test_all_proxies_together_try_a_busy_number_no_more_often_than_a_few_do() -> None:
    tries = []
    for controllers in (4, PROXIES):
        harness, sent = ControllerHarness(settings_with(controllers=controllers), remote_exchanges=1), 0
        for _ in range(600):
            _, actions = harness.offer(1, called_number=77)
            for action in [a for a in actions if isinstance(a, i.SendSetup)]:
                sent += 1
                harness.end_attempt(action.call, 1, i.Outcome.NO_LINE, i.Cause.NUMBER_BUSY)
            harness.pass_time(100_000)
        tries.append(controllers * sent)
    assert tries[1] <= 2 * tries[0]
