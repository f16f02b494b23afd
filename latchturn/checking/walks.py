"""Random walks beyond the exhaustive scopes, replayable by their seed, and the shortening of what they find."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass, field

from .environment import Choice, Environment, PropertyViolation
from .pairs import Pairs, record
from .scopes import SCOPES

# How often a kind of choice is taken against the others: the clock must go on, and all must not break at once.
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
    """What one walk has seen."""

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
    """Make so many choices, drawn by the seed, or fewer if a property breaks or nothing more can happen. At the
    end everything is brought to its end and nothing may be left."""
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
        except PropertyViolation as broken:
            result.violated, result.message = broken.name, broken.message
            result.choices = tuple(path)
    result.steps, result.calls = len(path), result.kinds["set_up"]
    result.seconds = time.monotonic() - started_s
    return result


def replay_offered(choices: list[Choice], scope: str) -> tuple[str, list[Choice]]:
    """Which property breaks on a path from which choices that are not offered fall out, and the path as made."""
    environment, made = Environment(SCOPES[scope]), list[Choice]()
    try:
        for choice in choices:
            if choice in environment.choices():
                made.append(choice)
                environment.apply(choice)
        environment.run_to_end()
    except PropertyViolation as broken:
        return broken.name, made
    return "", made


def shorten(choices: tuple[Choice, ...], broken: str, scope: str = "wide", seconds: float = 20.0) -> tuple[Choice, ...]:
    """A shorter path on which the same property breaks: pieces are left out, ever smaller ones, while it does."""
    until, path = time.monotonic() + seconds, list(choices)
    piece = max(1, len(path) // 2)
    while piece and time.monotonic() < until:
        at, shorter = 0, False
        while at < len(path) and time.monotonic() < until:
            name, made = replay_offered(path[:at] + path[at + piece :], scope)
            if name == broken and len(made) < len(path):
                path, shorter = made, True
            else:
                at += piece
        piece = piece if shorter and piece == 1 else piece // 2
    return tuple(path)
