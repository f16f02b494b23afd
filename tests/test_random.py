"""Long runs of random events: the rules hold throughout, and no state is left over at the end."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from latchturn import interface as i
from latchturn.brain import MAX_BUSY_NUMBERS, MAX_REDIAL_RECORDS

from .helpers import SECOND, ControllerHarness, list_entry, settings_with

FAILURES = (
    (i.Outcome.TURNED_AWAY, i.Cause.REFUSED_BY_TANDEM),
    (i.Outcome.TURNED_AWAY, i.Cause.PROCESSOR_FULL),
    (i.Outcome.NO_LINE, i.Cause.NUMBER_BUSY),
    (i.Outcome.NO_LINE, i.Cause.NONE),
    (i.Outcome.NOT_SENT, i.Cause.NO_CIRCUIT),
    (i.Outcome.TIMED_OUT, i.Cause.NONE),
    (i.Outcome.UNREACHABLE, i.Cause.NONE),
)


class CheckedController(ControllerHarness):
    """A controller whose actions are all checked against the rules."""

    def __init__(self, controllers: int) -> None:
        self.outstanding: dict[int, int] = {}  # call -> exchange of its attempt
        self.unanswered: dict[int, int] = {}  # call -> deadline
        self.standing: dict[int, int] = {}  # answered call -> its exchange
        self.not_before_us: dict[int, int] = {}  # call -> end of the release time
        self.not_ready: set[int] = set()  # numbers of draining and removed exchanges
        self.left: set[int] = set()  # calls whose callers have left
        super().__init__(settings_with(controllers=controllers), remote_exchanges=6)

    def submit(self, event: i.Event) -> list[i.Action]:
        actions = super().submit(event)
        for action in actions:
            if isinstance(action, i.SendSetup):
                assert action.call in self.unanswered and action.call not in self.outstanding
                assert self.now >= self.not_before_us.get(action.call, 0)
                assert action.exchange - 100 not in self.not_ready
                assert 0 < action.timeout_us <= self.unanswered[action.call] - self.now
                self.outstanding[action.call] = action.exchange - 100
            elif isinstance(action, i.Refuse | i.Fail):
                assert action.call not in self.outstanding
                assert self.now <= self.unanswered.pop(action.call)
        return actions

    def finish(self, call: int, rng: random.Random) -> None:
        """Answer an outstanding attempt or end it with a random failure, which is sometimes reported twice."""
        number = self.outstanding.pop(call)
        if rng.random() < 0.5:
            self.standing[call] = number
            self.unanswered.pop(call, None)
            self.answer(call, number)
            return
        outcome, cause = rng.choice(FAILURES)
        if outcome is i.Outcome.TIMED_OUT:
            self.not_before_us[call] = self.now + self.controller.settings.release_us
        attempt = self.attempts[call]
        caller_left = call in self.left
        for _ in range(rng.choice((1, 1, 2))):
            self.submit(i.AttemptEnded(call, attempt, 100 + number, outcome, 0, caller_left, cause))


@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.sampled_from((1, 8, 60, 500)))
def test_rules_hold_for_random_events_and_no_state_is_left(seed: int, controllers: int) -> None:
    rng = random.Random(seed)
    harness = CheckedController(controllers)
    for _ in range(400):
        roll = rng.random()
        if roll < 0.45:
            call, harness.next_call = harness.next_call, harness.next_call + 1
            cls = rng.randrange(3)
            deadline = harness.now + rng.choice((1, 20_000, 200_000, 3 * SECOND))
            harness.unanswered[call] = deadline
            width = harness.controller.settings.classes[cls].width
            transit, redialled = rng.random() < 0.2, rng.random() < 0.2
            number, called_number = rng.randrange(1, 7), rng.randrange(20)
            harness.submit(i.CallOffered(call, cls, number, called_number, width, deadline, transit, redialled))
        elif roll < 0.75 and harness.outstanding:
            harness.finish(rng.choice(sorted(harness.outstanding)), rng)
        elif roll < 0.8 and harness.standing:
            call = rng.choice(sorted(harness.standing))
            harness.end_attempt(call, harness.standing.pop(call), i.Outcome.RELEASED, concluded=True)
        elif roll < 0.85:
            number = rng.randrange(1, 7)
            state = rng.choice((i.ListState.READY, i.ListState.DRAINING, i.ListState.GONE))
            (harness.not_ready.discard if state is i.ListState.READY else harness.not_ready.add)(number)
            started = harness.now * rng.randrange(2)
            harness.update_list(i.ListKind.CHANGES, list_entry(number, state, started))
        elif roll < 0.9:
            open_calls = sorted(call for call in harness.unanswered if call not in harness.left)
            if open_calls:
                call = rng.choice(open_calls)
                harness.left.add(call)
                if call not in harness.outstanding:
                    harness.unanswered.pop(call)
                harness.submit(i.CallerLeft(call))
        else:
            harness.report(rng.randrange(1, 7), rng.randrange(41), rng.choice((0, 5, 40)))
        harness.pass_time(rng.randrange(100_000))
        for call in [c for c in harness.outstanding if harness.now >= harness.unanswered.get(c, harness.now + 1)]:
            number = harness.outstanding.pop(call)
            harness.now = harness.unanswered[call] if call not in harness.left else harness.now
            harness.end_attempt(call, number, i.Outcome.TIMED_OUT, concluded=call in harness.left)
    for call, number in sorted(harness.standing.items()):
        harness.end_attempt(call, number, i.Outcome.RELEASED, concluded=True)
    for _ in range(600):  # a minute: queued calls may still be sent, and then end too
        while harness.outstanding:
            call = min(harness.outstanding)
            harness.left.add(call)
            harness.end_attempt(call, harness.outstanding.pop(call), i.Outcome.UNREACHABLE, concluded=True)
        harness.pass_time(SECOND // 10)
    controller = harness.controller
    assert controller.calls == {} and controller.queues == {} and controller.timers == {}
    assert len(controller.redial_records) <= MAX_REDIAL_RECORDS and len(controller.busy_numbers) <= MAX_BUSY_NUMBERS
    for remote in controller.exchanges.values():
        assert remote.outstanding == 0 and remote.group.in_use == [0, 0]
        assert remote.group.unreserved == remote.group.size - sum(remote.group.minimum)


@pytest.mark.parametrize("controllers", [1, 500])
def test_set_ups_go_to_new_processes_of_exchanges_replaced_at_once(controllers: int) -> None:
    harness = ControllerHarness(settings_with(controllers=controllers), remote_exchanges=60)
    replaced = [i.ListEntry(500 + n, n, i.ListState.READY, 0) for n in range(61)]
    harness.update_list(i.ListKind.FULL, *replaced)
    for n in range(1, 61):
        call, actions = harness.offer(n)
        sent = [a for a in actions if isinstance(a, i.SendSetup)]
        assert [a.exchange for a in sent] == [500 + n]


def test_tables_keep_their_maximum_size() -> None:
    harness = ControllerHarness(remote_exchanges=2)
    for called_number in range(1, MAX_REDIAL_RECORDS + MAX_BUSY_NUMBERS + 100):
        harness.report(1, 40)
        call, actions = harness.offer(1, called_number=called_number)
        if any(isinstance(a, i.SendSetup) for a in actions):
            harness.end_attempt(call, 1, i.Outcome.NO_LINE, i.Cause.NUMBER_BUSY)
    assert len(harness.controller.redial_records) <= MAX_REDIAL_RECORDS
    assert len(harness.controller.busy_numbers) <= MAX_BUSY_NUMBERS
