"""Random walks beyond the exhaustive scopes, reproducible by their seed, and shortening of the paths they find."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass, field

from .choices import Choice
from .environment import Environment, PropertyViolation
from .pairs import Pairs, record
from .scopes import SCOPES

# Relative weight of each kind of choice: the clock must advance, and failures must not happen all at once.
WEIGHTS = {
    "tick": 10.0,
    "answer": 6.0,
    "set_up": 1.0,
    "accept": 6.0,
    "end": 2.0,
    "through": 4.0,
    "connect": 3.0,
}
DEFAULT_WEIGHT = 0.3


@dataclass(slots=True)
class WalkResult:
    """The result of one walk; `violated` is the name of the violated property, `choices` the path to the violation."""

    seed: int
    steps: int = 0
    calls: int = 0
    seconds: float = 0.0
    violated: str = ""
    message: str = ""
    choices: tuple[Choice, ...] = ()
    kinds: Counter[str] = field(default_factory=Counter)
    pairs: Pairs = field(default_factory=Counter)


def walk(seed: int, steps: int, scope: str = "wide") -> WalkResult:
    """Make up to `steps` random choices, fewer if a property is violated or nothing more can happen.

    Then bring the path to its end and check that nothing is left.
    """
    started_s, generator = time.monotonic(), random.Random(seed)
    result = WalkResult(seed)
    path: list[Choice] = []
    with record(result.pairs):
        try:
            environment = Environment(SCOPES[scope])
            for _ in range(steps):
                choices = environment.choices()
                if not choices:
                    break
                weights = [WEIGHTS.get(str(c[0]), DEFAULT_WEIGHT) for c in choices]
                path.append(generator.choices(choices, weights)[0])
                result.kinds[str(path[-1][0])] += 1
                environment.apply(path[-1])
            environment.run_to_end()
        except PropertyViolation as violation:
            result.violated, result.message = violation.name, violation.message
            result.choices = tuple(path)
    result.steps, result.calls = len(path), result.kinds["set_up"]
    result.seconds = time.monotonic() - started_s
    return result


def replay_offered(choices: list[Choice], scope: str) -> tuple[str, list[Choice]]:
    """Replay a path, skipping choices that are not offered. Returns the violated property and the choices made."""
    environment, made = Environment(SCOPES[scope]), list[Choice]()
    try:
        for choice in choices:
            if choice in environment.choices():
                made.append(choice)
                environment.apply(choice)
        environment.run_to_end()
    except PropertyViolation as violation:
        return violation.name, made
    return "", made


def shorten(
    choices: tuple[Choice, ...], violated: str, scope: str = "wide", seconds: float = 20.0
) -> tuple[Choice, ...]:
    """Shorten a path that violates a property, by leaving out ever smaller sections while it still does."""
    until, path = time.monotonic() + seconds, list(choices)
    section = max(1, len(path) // 2)
    while section and time.monotonic() < until:
        at, shorter = 0, False
        while at < len(path) and time.monotonic() < until:
            name, made = replay_offered(path[:at] + path[at + section :], scope)
            if name == violated and len(made) < len(path):
                path, shorter = made, True
            else:
                at += section
        section = section if shorter and section == 1 else section // 2
    return tuple(path)
