"""The limit-and-minimum ledger against a brute-force model."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from latchturn.brain import DIRECT, TWO_LEG, Group

STEPS = st.lists(st.tuples(st.sampled_from("srz"), st.booleans(), st.integers(0, 60)), max_size=60)


def f_by_formula(group: Group) -> int:
    """The paper's F for standing calls: size less the larger of minimum and standing of each class."""
    return group.size - sum(max(low, n) for low, n in zip(group.low, group.count))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(STEPS)
def test_ledger_agrees_with_the_formula_at_every_step(steps: list[tuple[str, bool, int]]) -> None:
    group = Group()
    group.resize(50)
    standing: list[tuple[int, int]] = []
    for what, two_leg, number in steps:
        if what == "s":
            cls, width = (TWO_LEG if two_leg else DIRECT), 1 + number % 4
            group.told_free = number
            n = group.count[cls]
            f = f_by_formula(group)
            bounds = n < group.low[cls] or width <= f or (f < 0 and not two_leg)
            unfilled = max(0, group.low[DIRECT] - group.count[DIRECT]) if two_leg else 0
            limit = n + width <= group.high[TWO_LEG] if two_leg else True
            expected = limit and bounds and number >= width + unfilled
            assert group.admits(cls, width) == expected
            if expected:
                group.seize(cls, width)
                standing.append((cls, width))
        elif what == "r" and standing:
            group.release(*standing.pop(number % len(standing)))
        elif what == "z":
            group.resize(number)
        assert group.spare == f_by_formula(group)
        for cls in (DIRECT, TWO_LEG):
            assert group.count[cls] == sum(w for c, w in standing if c == cls)
    while standing:
        group.release(*standing.pop())
    assert group.count == [0, 0] and group.spare == group.size - group.low[DIRECT]


def test_floors_of_the_bounds() -> None:
    for size in range(2, 200):
        group = Group()
        group.resize(size)
        assert 1 <= group.low[DIRECT] <= max(1, size // 2)
        assert 0 < group.high[TWO_LEG] < size
        assert group.low[TWO_LEG] == 0


def test_told_circuits_must_cover_the_unfilled_minimum_of_direct_calls() -> None:
    group = Group()
    group.resize(40)
    group.told_free = group.low[DIRECT]
    assert not group.admits(TWO_LEG, 1)
    assert group.admits(DIRECT, 1)
    group.told_free += 1
    assert group.admits(TWO_LEG, 1) and not group.admits(TWO_LEG, 2)


def test_shrunken_group_does_not_shut_direct_calls_out() -> None:
    group = Group()
    group.resize(40)
    group.told_free = 40
    group.seize(DIRECT, 20)
    group.resize(10)
    assert group.spare < 0
    group.told_free = 9
    assert group.admits(DIRECT, 1) and not group.admits(TWO_LEG, 1)
    group.told_free = 0
    assert not group.admits(DIRECT, 1)


def test_before_the_first_word_of_circuits_direct_calls_try_and_two_leg_calls_do_not() -> None:
    assert Group().admits(DIRECT, 1) and not Group().admits(TWO_LEG, 1)
