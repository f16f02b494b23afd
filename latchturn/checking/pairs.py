"""Which state of each machine has met which move: recorded as paths are followed, and told against the tables."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum

from ..session.machines import MACHINES, Machine

Pair = tuple[str, str, str]  # machine, state, move
Pairs = Counter[Pair]


@contextmanager
def record(counts: Pairs) -> Iterator[None]:
    """Count every move of every machine while this lasts."""
    original = Machine.next_state

    def counted(self: Machine[IntEnum, IntEnum], state: IntEnum, move: IntEnum) -> IntEnum:
        counts[self.name, state.name, move.name] += 1
        return original(self, state, move)

    Machine.next_state = counted  # type: ignore[method-assign,assignment]
    try:
        yield
    finally:
        Machine.next_state = original  # type: ignore[method-assign]


def pair_counts(pairs: Pairs) -> list[tuple[Pair, int, str]]:
    """Every pair with how often it was met, and for those that cannot be the reason why."""
    rows = []
    for machine in MACHINES:
        for state in machine.states:
            for move in machine.transition_kinds:
                pair = (machine.name, state.name, move.name)
                rows.append((pair, pairs[pair], machine.impossible.get((state, move), "")))
    return rows


def unmet_pairs(pairs: Pairs) -> list[Pair]:
    """The pairs that can be and were not met."""
    return [pair for pair, count, reason in pair_counts(pairs) if not reason and not count]
