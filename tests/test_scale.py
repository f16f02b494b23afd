"""Sixty session controllers at once: what they send to one exchange adds up, and must not overload it."""

from __future__ import annotations

import random

import pytest

from latchturn import interface as i

from .helpers import SECOND, ControllerHarness, final_answers, list_entry, sent_to, settings_with

CONTROLLERS = 60
RESTARTED = range(1, 21)  # numbers of the exchanges that start together: 20 of 60, one for each controller
CARRIED_PER_S = 20.0  # set-ups a second that each exchange carries, half of them its own calls
EXTRA_PER_S = 20.0  # what it can take in addition, where exchanges report it


class AnsweredController(ControllerHarness):
    """One of many controllers. Its set-ups are answered and end at once, and are recorded in `sent`."""

    def __init__(self, seed: int, now: int, reports: bool) -> None:
        self.sent: list[tuple[int, int]] = []
        super().__init__(
            settings_with(controllers=CONTROLLERS, own_number=100 + seed % CONTROLLERS), remote_exchanges=25
        )
        self.controller.random.seed(seed)
        self.now = now
        if reports:
            for number in range(21, 26):
                self.report(number, 40, setups_per_s=EXTRA_PER_S)

    def submit(self, event: i.Event) -> list[i.Action]:
        actions = super().submit(event)
        for action in list(actions):
            if isinstance(action, i.SendSetup):
                number = action.exchange - 100
                self.sent.append((number, self.now))
                self.answer(action.call, number)
                self.end_attempt(action.call, number, i.Outcome.RELEASED, concluded=True)
        return actions


def network(reports: bool, listed_within_us: int, restart: bool = False) -> dict[int, list[int]]:
    """For each restarted exchange, the times of all set-ups to it during its warm-up, by all controllers.

    Each controller learns of the starts within `listed_within_us`; with `restart` it is restarted itself once.
    """
    sent: dict[int, list[int]] = {number: [] for number in RESTARTED}
    for k in range(CONTROLLERS):  # controllers share no state, so they can run one after the other
        rng = random.Random(k)
        node = AnsweredController(k, 1000 * SECOND, reports)
        if not reports:
            for _ in range(60):  # own calls at half the rate that an exchange carries
                node.offer(21)
                node.pass_time(SECOND // 10)
        start = node.now
        end = start + node.controller.settings.warm_up_us
        node.pass_time(rng.randrange(listed_within_us + 1))
        listed_us = node.now  # set-ups sent earlier are not counted, since the start was not known
        node.update_list(i.ListKind.CHANGES, *[list_entry(number, started=start) for number in RESTARTED])
        restart_us = start + rng.randrange(8 * SECOND) if restart else end
        while node.now < end:
            if node.now >= restart_us:
                before, restart_us = node, end
                node = AnsweredController(CONTROLLERS + k, before.now, reports)
                node.sent = before.sent
                node.update_list(i.ListKind.FULL, *[list_entry(n, started=start * (n in RESTARTED)) for n in range(26)])
            for number in RESTARTED:
                if rng.random() < 0.05:
                    node.offer(number)
            node.pass_time(SECOND // 10)
        for number, at in node.sent:
            if number in sent and at >= listed_us:
                sent[number].append(at)
    return sent


@pytest.mark.parametrize(
    ("reports", "listed_within_us", "restart"),
    [(True, 0, False), (False, 0, False), (True, 3 * SECOND, False), (True, 0, True)],
)
def test_rule_4_sixty_controllers_do_not_overload_twenty_restarted_exchanges(
    reports: bool, listed_within_us: int, restart: bool
) -> None:
    settings = settings_with(controllers=CONTROLLERS)
    sent = network(reports, listed_within_us, restart)
    capacity = CARRIED_PER_S + (EXTRA_PER_S if reports else CARRIED_PER_S / 2)
    budget = settings.collapse_multiple * settings.cold_start_share * capacity * settings.collapse_us / SECOND
    for times in sent.values():
        # Exchanges are used during their warm-up.
        assert len(times) >= settings.warm_up_us / settings.collapse_us * budget / 5
        most = max(sum(1 for u in times if t <= u < t + settings.collapse_us) for t in times)
        assert most <= 1.5 * budget  # calls arrive at random times within the turns


def test_rule_4_hundreds_of_controllers_send_less_each() -> None:
    few, many = ControllerHarness(settings_with(controllers=10)), ControllerHarness(settings_with(controllers=500))
    gaps = []
    for harness in (few, many):
        harness.report(2, 40, setups_per_s=EXTRA_PER_S)
        gaps.append(harness.controller._warm_up_gap())
    assert gaps[1] == pytest.approx(50 * gaps[0], rel=0.01)
    settings = many.controller.settings
    assert 500 * SECOND / gaps[1] <= settings.collapse_multiple * settings.cold_start_share * EXTRA_PER_S


def test_calls_with_little_time_are_sent_where_set_ups_are_quick() -> None:
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


def refuse_at_tandems(harness: ControllerHarness, to: int) -> list[int]:
    """Offer a call to exchange `to` and return the tandems over which it is sent while each refuses it."""
    tried = []
    call, actions = harness.offer(to)
    while at := sent_to(actions):
        tried += at
        harness.now += 20_000
        actions = harness.end_attempt(call, at[0], i.Outcome.TURNED_AWAY, i.Cause.REFUSED_BY_TANDEM)
    harness.pass_time(2 * SECOND)
    return tried


def test_while_tandems_mostly_refuse_proven_ones_come_first_and_one_other_is_tried() -> None:
    harness = ControllerHarness(remote_exchanges=30)
    for number in range(1, 6):
        harness.report(number, 0)
    assert len(refuse_at_tandems(harness, 1)) > 1  # the basic rule, before most set-ups over tandems are refused
    while harness.controller.tandem_refusal_share < 0.9:
        refuse_at_tandems(harness, 2)
        harness.pass_time(40 * SECOND)
    assert len(refuse_at_tandems(harness, 3)) == 1
    harness.pass_time(60 * SECOND)
    for number in range(6, 31):
        harness.report(number, 20 + number)
    call, actions = harness.offer(4)
    assert sent_to(actions) == [30]  # still the one with most reported free circuits
    harness.answer(call, 30)
    harness.report(30, 20)
    assert sent_to(harness.offer(4)[1]) == [30]  # proven, though others have more
    while harness.controller.tandem_refusal_share >= 0.4:  # answered calls end it
        call, actions = harness.offer(5)
        if at := sent_to(actions):
            harness.answer(call, at[0])
            harness.end_attempt(call, at[0], i.Outcome.RELEASED, concluded=True)
    for number in range(6, 31):
        harness.report(number, 20 + number - 10 * (number == 30))
    assert sent_to(harness.offer(4)[1]) == [29]


def test_many_controllers_together_try_a_busy_number_no_more_often_than_a_few() -> None:
    set_ups = []
    for controllers in (4, CONTROLLERS):
        harness, sent = ControllerHarness(settings_with(controllers=controllers), remote_exchanges=1), 0
        for _ in range(600):
            _, actions = harness.offer(1, called_number=77)
            for action in [a for a in actions if isinstance(a, i.SendSetup)]:
                sent += 1
                harness.end_attempt(action.call, 1, i.Outcome.NO_LINE, i.Cause.NUMBER_BUSY)
            harness.pass_time(100_000)
        set_ups.append(controllers * sent)
    assert set_ups[1] <= 2 * set_ups[0]
