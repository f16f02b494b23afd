"""The counts, limits and minimums of a trunk group against a brute-force model."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from latchturn.brain import DIRECT, TWO_LEG, TrunkGroup

# Each step: s to seize, r to release or z to resize; whether the call is two-leg; and a number, which gives the width
# and the free circuits of a seizure, the call to release or the new size.
STEPS = st.lists(st.tuples(st.sampled_from("srz"), st.booleans(), st.integers(0, 60)), max_size=60)


def unreserved_by_formula(group: TrunkGroup) -> int:
    """F of the paper: the size less, for each class, the larger of its minimum and its circuits in use."""
    return group.size - sum(max(low, n) for low, n in zip(group.minimum, group.in_use))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(STEPS)
def test_counts_agree_with_the_formula_at_every_step(steps: list[tuple[str, bool, int]]) -> None:
    group = TrunkGroup()
    group.resize(50)
    standing: list[tuple[int, int]] = []
    for what, two_leg, number in steps:
        if what == "s":
            traffic_class, width = (TWO_LEG if two_leg else DIRECT), 1 + number % 4
            group.free_circuits = number
            n = group.in_use[traffic_class]
            expected_unreserved = unreserved_by_formula(group)
            within_reservation = (
                n < group.minimum[traffic_class]
                or width <= expected_unreserved
                or (expected_unreserved < 0 and not two_leg)
            )
            unfilled = max(0, group.minimum[DIRECT] - group.in_use[DIRECT]) if two_leg else 0
            within_limit = n + width <= group.limit[TWO_LEG] if two_leg else True
            expected = within_limit and within_reservation and number >= width + unfilled
            assert group.admits(traffic_class, width) == expected
            if expected:
                group.seize(traffic_class, width)
                standing.append((traffic_class, width))
        elif what == "r" and standing:
            group.release(*standing.pop(number % len(standing)))
        elif what == "z":
            group.resize(number)
        assert group.unreserved == unreserved_by_formula(group)
        for traffic_class in (DIRECT, TWO_LEG):
            assert group.in_use[traffic_class] == sum(w for c, w in standing if c == traffic_class)
    while standing:
        group.release(*standing.pop())
    assert group.in_use == [0, 0] and group.unreserved == group.size - group.minimum[DIRECT]


def test_limit_and_minimum_for_all_sizes() -> None:
    for size in range(2, 200):
        group = TrunkGroup()
        group.resize(size)
        assert 1 <= group.minimum[DIRECT] <= max(1, size // 2)
        assert 0 < group.limit[TWO_LEG] < size
        assert group.minimum[TWO_LEG] == 0


def test_free_circuits_must_cover_the_unfilled_minimum_of_direct_calls() -> None:
    group = TrunkGroup()
    group.resize(40)
    group.free_circuits = group.minimum[DIRECT]
    assert not group.admits(TWO_LEG, 1)
    assert group.admits(DIRECT, 1)
    group.free_circuits += 1
    assert group.admits(TWO_LEG, 1) and not group.admits(TWO_LEG, 2)


def test_shrunken_group_still_admits_direct_calls() -> None:
    group = TrunkGroup()
    group.resize(40)
    group.free_circuits = 40
    group.seize(DIRECT, 20)
    group.resize(10)
    assert group.unreserved < 0
    group.free_circuits = 9
    assert group.admits(DIRECT, 1) and not group.admits(TWO_LEG, 1)
    group.free_circuits = 0
    assert not group.admits(DIRECT, 1)


def test_before_the_first_report_direct_calls_are_admitted_and_two_leg_calls_are_not() -> None:
    assert TrunkGroup().admits(DIRECT, 1) and not TrunkGroup().admits(TWO_LEG, 1)
