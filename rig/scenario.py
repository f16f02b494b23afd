"""Scenarios: which faults a trial plays and when, drawn from its seed.

Five families are combined: shutdowns in series, discovery outages, bad clients and spoilt answers, cuts and deaths of
exchanges, and bytes that come slowly or as a connection closes. Each is a list of steps with their times.
"""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial

import trio

from .clock import MILLISECOND, SECOND
from .record import Record
from .trial import Trial, new_record

Step = tuple[float, Callable[[Trial], Awaitable[None]]]
WAITS_US = (500 * MILLISECOND, 1200 * MILLISECOND, 3 * SECOND, 6 * SECOND)
INCIDENT_WAIT_US = 9 * SECOND  # as the deployment of the report has it
LENGTH_S = 12.0  # of the time in which faults begin
TAIL_S = 10.0  # after it: the longest time that a rule allows, and more
FURTHER_FROM = 101  # the first seed whose trial has the further families
CROWD = 120  # connections in a trial with a crowd
CROWD_SHARE = 0.25
FAMILY_SHARE = 0.7
HANG_S = 3.0  # of an exchange whose connections are reset meanwhile
RESETS_S = (0.5, 1.5, 2.5)  # after it hung
BREAKS = ("reset", "close", "forget")  # what becomes of connections


@dataclass(slots=True, frozen=True)
class Plan:
    """One trial as drawn from its seed."""

    seed: int
    longest_wait_us: int
    exchanges: int
    clients: int
    crowd: int
    families: tuple[str, ...]
    steps: tuple[Step, ...]
    absent: int = 0  # further clients, which stop reading now and then

    def record(self) -> Record:
        """An empty record for the trial."""
        return new_record(self.seed, self.longest_wait_us)

    async def play(self, trial: Trial) -> None:
        """Run each step at its time; ends when all have begun and ended."""
        async with trio.open_nursery() as nursery:
            for at_s, step in self.steps:
                nursery.start_soon(_later, at_s, step, trial)
            await trio.sleep(LENGTH_S)


async def _later(at_s: float, step: Callable[[Trial], Awaitable[None]], trial: Trial) -> None:
    await trio.sleep(at_s)
    await step(trial)


class Draw:
    """Draws for one seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(f"soak {seed}")
        self.exchanges = self.random.choice((3, 4, 4))
        self.order = self.random.sample(range(1, self.exchanges + 1), self.exchanges)

    def time(self, least: float = 0.0, most: float = LENGTH_S) -> float:
        """A moment in the trial, in seconds."""
        return self.random.uniform(least, most)

    def next_exchange(self) -> int:
        """An exchange that no other fault of the trial touches, while there are any."""
        return self.order.pop() if len(self.order) > 1 else self.order[0]


# --- the families ---


def shutdowns(draw: Draw) -> list[Step]:
    """Restarts one after another, by SIGTERM or SIGKILL, some while an exchange hangs."""

    async def series(kinds: list[str], trial: Trial) -> None:
        for kind in kinds:
            await (trial.restart() if kind == "term" else trial.crash())
            await trio.sleep(draw.random.uniform(0.1, 1.5))

    kinds = [draw.random.choice(("term", "term", "kill")) for _ in range(draw.random.randint(1, 3))]
    steps: list[Step] = [(draw.time(0.5, 4.0), partial(series, kinds))]
    if draw.random.random() < 0.5:
        number, seconds = draw.next_exchange(), draw.random.uniform(2.0, 6.0)
        steps.append((draw.time(0.0, 3.0), lambda trial: trial.hang(number, seconds)))
    return steps


def discovery(draw: Draw) -> list[Step]:
    """An outage of discovery, drains close to its return, and new configurations in quick succession."""
    kind = draw.random.choice(("refusing", "deaf", "silent"))
    begin, seconds = draw.time(0.0, 3.0), draw.random.uniform(2.0, 9.5)
    steps: list[Step] = [(begin, lambda trial: trial.discovery_outage(kind, seconds))]
    if draw.random.random() < 0.6:
        number, gone_after = draw.next_exchange(), draw.random.uniform(0.5, 3.0)
        at = max(0.0, begin + seconds + draw.random.uniform(-1.0, 0.3))
        same = draw.random.random() < 0.5
        steps.append((at, lambda trial: trial.drain(number, gone_after, same)))
    if draw.random.random() < 0.5:
        times, pause, shorter = draw.random.randint(2, 6), draw.random.uniform(0.02, 0.5), draw.random.random() < 0.5
        steps.append((draw.time(0.0, 10.0), lambda trial: trial.reconfigure(times, pause, shorter)))
    if draw.random.random() < 0.3:
        delay = draw.random.uniform(0.3, 2.5)
        steps.append((0.0, lambda trial: _call(trial.discovery.slow_down, delay)))
    return steps


def spoilt(draw: Draw) -> list[Step]:
    """Answers lost, spoilt or sent twice, set-ups refused or failed."""
    changes = {
        name: draw.random.uniform(0.0, most)
        for name, most in (
            ("lose_answer", 0.15), ("second_answer", 0.2), ("spoil_answer", 0.05), ("refuse", 0.2), ("fail", 0.1),
            ("reset", 0.08),
        )
        if draw.random.random() < 0.5
    }  # fmt: skip
    return [(draw.time(0.0, 4.0), lambda trial: _call(partial(trial.spoil, **changes)))]


def network(draw: Draw) -> list[Step]:
    """Exchanges that vanish, die, hang or are cut off, links that are reset or come up late."""
    steps: list[Step] = []
    for _ in range(draw.random.randint(1, 3)):
        number = draw.next_exchange()
        kind = draw.random.choice(("partition", "hang", "vanish", "vanish", "die", "deaf", "break"))
        seconds = draw.random.choice((draw.random.uniform(0.3, 2.0), draw.random.uniform(3.0, 10.0)))
        told, back = draw.random.uniform(1.0, 10.0), draw.random.uniform(0.2, 9.0)
        same, share = draw.random.random() < 0.5, draw.random.uniform(0.3, 1.0)
        how = draw.random.choice(BREAKS)
        step: Callable[[Trial], Awaitable[None]]
        if kind == "partition":
            step = partial(_partition, number, seconds)
        elif kind == "hang":
            step = partial(_hang, number, seconds)
        elif kind in ("vanish", "die"):
            step = partial(_end_exchange, kind, number, told, back, same)
        elif kind == "deaf":
            step = partial(_deaf, number, min(seconds, 2.0))
        else:
            step = partial(_break, number, share, how)
        steps.append((draw.time(0.0, 6.0), step))
    return steps


def slow(draw: Draw) -> list[Step]:
    """Messages of exchanges in pieces, and connections that are reset again and again."""
    share = draw.random.uniform(0.05, 0.5)
    steps: list[Step] = [(0.0, lambda trial: _call(partial(trial.spoil, pieces=share)))]
    number = draw.random.randrange(1, draw.exchanges + 1)
    for _ in range(draw.random.randint(0, 4)):
        steps.append((draw.time(), partial(_break, number, 0.5, draw.random.choice(BREAKS))))
    return steps


async def _call(what: Callable[[], None] | Callable[[float], None], *arguments: float) -> None:
    what(*arguments)


async def _partition(number: int, seconds: float, trial: Trial) -> None:
    await trial.partition(number, seconds)


async def _hang(number: int, seconds: float, trial: Trial) -> None:
    await trial.hang(number, seconds)


async def _deaf(number: int, seconds: float, trial: Trial) -> None:
    await trial.delay_connects(number, seconds)


async def _break(number: int, share: float, how: str, trial: Trial) -> None:
    trial.break_links(number, share, how)


async def _end_exchange(kind: str, number: int, told: float, back: float, same: bool, trial: Trial) -> None:
    end = trial.vanish if kind == "vanish" else trial.die
    await end(number, told, back, same)


def half_open(draw: Draw) -> list[Step]:
    """Connections to exchanges that are reset towards the program alone, some while the exchange hangs."""
    steps: list[Step] = []
    for _ in range(draw.random.randint(1, 4)):
        number, at_s = draw.random.randrange(1, draw.exchanges + 1), draw.time()
        steps.append((at_s, partial(_break, number, draw.random.uniform(0.4, 1.0), "halve")))
        if draw.random.random() < 0.4:
            steps.append((max(0.0, at_s - 0.5), partial(_hang, number, draw.random.uniform(1.0, 3.0))))
    return steps


def queued(draw: Draw) -> list[Step]:
    """Exchanges that hang while their connections break again and again, those in their queue too."""
    steps: list[Step] = []
    for _ in range(draw.random.randint(1, 3)):
        number, at_s, seconds = draw.random.randrange(1, draw.exchanges + 1), draw.time(), draw.random.uniform(1.0, 5.0)
        steps.append((at_s, partial(_hang, number, seconds)))
        for _ in range(draw.random.randint(1, 4)):
            how = draw.random.choice((*BREAKS, "halve"))
            moment_s = at_s + draw.random.uniform(0.0, seconds + 0.2)
            steps.append((moment_s, partial(_break, number, draw.random.uniform(0.4, 1.0), how)))
    return steps


def signals(draw: Draw) -> list[Step]:
    """Restarts with signals in series behind each SIGTERM."""

    async def series(pauses: list[list[tuple[float, signal.Signals]]], trial: Trial) -> None:
        for further in pauses:
            await trial.restart(further)
            await trio.sleep(0.2)

    numbers: tuple[signal.Signals, ...] = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)
    restarts = [
        [(draw.random.uniform(0.0, 0.6), draw.random.choice(numbers)) for _ in range(draw.random.randint(1, 6))]
        for _ in range(draw.random.randint(1, 3))
    ]
    return [(draw.time(0.5, 5.0), partial(series, restarts))]


FAMILIES: dict[str, Callable[[Draw], list[Step]]] = {
    "shutdowns": shutdowns,
    "discovery": discovery,
    "spoilt": spoilt,
    "network": network,
    "slow": slow,
}


FURTHER_FAMILIES: dict[str, Callable[[Draw], list[Step]]] = {
    "half_open": half_open,
    "queued": queued,
    "signals": signals,
}


def plan(seed: int) -> Plan:
    """The trial of a seed: at least two families, mostly more; from a seed on, further ones are joined to them."""
    drawn = _plan(seed)
    if seed < FURTHER_FROM:
        return drawn
    draw = Draw(seed)
    draw.random = random.Random(f"soak further {seed}")
    names = [name for name in FURTHER_FAMILIES if draw.random.random() < FAMILY_SHARE]
    if "shutdowns" in drawn.families and "signals" in names:
        names.remove("signals")  # one series of restarts at a time
    steps = tuple(step for name in names for step in FURTHER_FAMILIES[name](draw))
    absent = draw.random.randint(0, 2)
    return replace(drawn, families=(*drawn.families, *names), steps=(*drawn.steps, *steps), absent=absent)


def _plan(seed: int) -> Plan:
    draw = Draw(seed)
    names = [name for name in FAMILIES if draw.random.random() < FAMILY_SHARE]
    while len(names) < 2:
        names = sorted({*names, draw.random.choice(list(FAMILIES))})
    steps = tuple(step for name in names for step in FAMILIES[name](draw))
    crowd = CROWD if draw.random.random() < CROWD_SHARE else 0
    return Plan(
        seed, draw.random.choice(WAITS_US), draw.exchanges, draw.random.randint(5, 9), crowd, tuple(names), steps
    )


def silent_exchanges() -> Plan:
    """The incident of 2026-12-02: two exchanges vanish with calls on them, and discovery is deaf meanwhile."""
    steps: tuple[Step, ...] = (
        (2.0, lambda trial: trial.discovery_outage("deaf", 9.5)),
        (2.5, lambda trial: trial.vanish(1, 9.0, 9.2, False)),
        (2.5, lambda trial: trial.vanish(2, 9.0, 9.2, False)),
    )
    return Plan(0, INCIDENT_WAIT_US, 4, 5, 0, ("incident",), steps)


def hung_exchanges() -> Plan:
    """Exchanges hang in turn and their connections are reset meanwhile, those in the queue too (seed 24)."""
    steps: list[Step] = []
    for number in (1, 2, 3):
        for begin_s in (0.5 + number, 7.5 + number):
            steps.append((begin_s, partial(_hang, number, HANG_S)))
            steps += [(begin_s + after_s, partial(_break, number, 1.0, "reset")) for after_s in RESETS_S]
    return Plan(0, 3 * SECOND, 4, 5, 0, ("hung",), tuple(steps))


NAMED: dict[str, Callable[[], Plan]] = {"incident": silent_exchanges, "hung": hung_exchanges}
