"""Coverage of the state machines: which transitions were made in which states, compared with the machines' tables."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum

from ..session.machines import MACHINES, Machine

Pair = tuple[str, str, str]  # machine, state, transition
Pairs = Counter[Pair]


@contextmanager
def record(counts: Pairs) -> Iterator[None]:
    """Count every transition of every state machine while the context is active."""
    original = Machine.next_state

    def counted(self: Machine[IntEnum, IntEnum], state: IntEnum, transition: IntEnum) -> IntEnum:
        counts[self.name, state.name, transition.name] += 1
        return original(self, state, transition)

    Machine.next_state = counted  # type: ignore[method-assign,assignment]
    try:
        yield
    finally:
        Machine.next_state = original  # type: ignore[method-assign]


def pair_counts(pairs: Pairs) -> list[tuple[Pair, int, str]]:
    """Every pair of state and transition, its count, and the reason if the pair is impossible (otherwise empty)."""
    rows = []
    for machine in MACHINES:
        for state in machine.states:
            for transition in machine.transition_kinds:
                pair = (machine.name, state.name, transition.name)
                rows.append((pair, pairs[pair], machine.impossible.get((state, transition), "")))
    return rows


def uncovered_pairs(pairs: Pairs) -> list[Pair]:
    """The possible pairs that did not occur."""
    return [pair for pair, count, reason in pair_counts(pairs) if not reason and not count]
