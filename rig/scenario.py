"""Scenarios: the faults that a trial injects and their times, drawn from the seed of the trial.

Five families of faults are combined: restarts of the program, outages of discovery, lost or corrupted answers, failures
of exchanges and of the network to them, and fragmented messages. From seed 101 on, half-open links, broken links in
accept queues and series of signals can be added. Each family gives a list of steps with their times.

The draws and their order define the trial of a seed; a change to them changes every trial that a seed refers to.
"""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial

import trio

from .clock import MILLISECOND, SECOND
from .record import DEFAULT_SOCKETS, Record
from .trial import Trial, new_record

TimedStep = tuple[float, Callable[[Trial], Awaitable[None]]]
# Longest waits of callers; one of them is drawn for each trial.
WAITS_US = (500 * MILLISECOND, 1200 * MILLISECOND, 3 * SECOND, 6 * SECOND)
INCIDENT_WAIT_US = 9 * SECOND  # the wait in the settings of the deployment that had the incident
FAULT_PERIOD_S = 12.0  # faults begin within this time
QUIET_PERIOD_S = 10.0  # after the faults; longer than any limit of a rule
FURTHER_FAMILIES_FROM_SEED = 101  # the first seed whose trial can have further families
CROWD_CONNECTIONS = 120  # idle connections in a trial with a crowd
CROWD_SHARE = 0.25  # of trials that have a crowd
FAMILY_SHARE = 0.7  # of trials that have a given family
LATEST_FAMILIES_FROM_SEED = 201  # the first seed whose trial can have the latest families
SLOW_DISCOVERY_S = 4.0  # in scenario `late`
NAMED_HANG_S = 3.0  # in scenario `hung`
LATE_DRAIN_S = 11.0  # a drain that is received late lasts longer than the last set-up may come after it
NAMED_RESETS_S = (0.5, 1.5, 2.5)  # resets of links after the start of a hang, in scenario `hung`
OVERLOAD_SEED = 10_001  # gives the trial a loopback address of its own
OVERLOAD_S = 3.0  # in scenario `overload`
LOW_SOCKETS = 128  # the lowest limit of the deployments
CALLERS_SHARE = 3  # callers hold at most one of this many descriptors
EARLY_CLIENTS = 8  # connected during the overload, in scenario `overload`
LARGE_FLEET = 20  # exchanges; with four links to each, and a third for callers, LOW_SOCKETS are used up
STRANDED_SEED = 10_002  # gives the trial a loopback address of its own
STRANDED_BEFORE_S = 0.4  # answers are lost from this long before a restart, in scenario `stranded`
STRANDED_AFTER_S = 0.1  # until this long after it
STRANDED_RESTARTS_S = (3.0, 8.0)  # in scenario `stranded`
BREAK_KINDS = ("reset", "close", "forget")  # how connections to exchanges end


@dataclass(slots=True, frozen=True)
class Plan:
    """The plan of one trial."""

    seed: int
    longest_wait_us: int
    exchanges: int
    clients: int
    crowd: int
    families: tuple[str, ...]
    steps: tuple[TimedStep, ...]
    absent: int = 0  # additional clients, which stop reading at times
    late_clients: int = 0  # additional clients, which connect when a step lets them
    sockets: int = DEFAULT_SOCKETS  # descriptor limit of the program

    def record(self) -> Record:
        """Return an empty record for the trial."""
        record = new_record(self.seed, self.longest_wait_us)
        record.sockets = self.sockets
        return record

    async def play(self, trial: Trial) -> None:
        """Run each step at its time; return when the fault period is over and all steps have ended."""
        async with trio.open_nursery() as nursery:
            for at_s, step in self.steps:
                nursery.start_soon(_run_at, at_s, step, trial)
            await trio.sleep(FAULT_PERIOD_S)


async def _run_at(at_s: float, step: Callable[[Trial], Awaitable[None]], trial: Trial) -> None:
    await trio.sleep(at_s)
    await step(trial)


class TrialDraws:
    """The random draws of one seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(f"soak {seed}")
        self.exchanges = self.random.choice((3, 4, 4))
        self.unused_exchanges = self.random.sample(range(1, self.exchanges + 1), self.exchanges)

    def time_s(self, earliest_s: float = 0.0, latest_s: float = FAULT_PERIOD_S) -> float:
        """Draw a time in the trial, in seconds from the start of the scenario."""
        return self.random.uniform(earliest_s, latest_s)

    def next_exchange(self) -> int:
        """Return an exchange that no fault has used yet; the last one remaining may be returned repeatedly."""
        return self.unused_exchanges.pop() if len(self.unused_exchanges) > 1 else self.unused_exchanges[0]


# --- the families ---


def restarts_in_series(draws: TrialDraws) -> list[TimedStep]:
    """Successive restarts of the program, by SIGTERM or SIGKILL, in some trials while an exchange hangs."""

    async def series(kinds: list[str], trial: Trial) -> None:
        for kind in kinds:
            await (trial.restart() if kind == "term" else trial.crash())
            await trio.sleep(draws.random.uniform(0.1, 1.5))

    kinds = [draws.random.choice(("term", "term", "kill")) for _ in range(draws.random.randint(1, 3))]
    steps: list[TimedStep] = [(draws.time_s(0.5, 4.0), partial(series, kinds))]
    if draws.random.random() < 0.5:
        number, seconds = draws.next_exchange(), draws.random.uniform(2.0, 6.0)
        steps.append((draws.time_s(0.0, 3.0), lambda trial: trial.hang(number, seconds)))
    return steps


def discovery_faults(draws: TrialDraws) -> list[TimedStep]:
    """An outage of discovery, a drain close to its end, and new configurations in quick succession."""
    kind = draws.random.choice(("refusing", "deaf", "silent"))
    begin_s, seconds = draws.time_s(0.0, 3.0), draws.random.uniform(2.0, 9.5)
    steps: list[TimedStep] = [(begin_s, lambda trial: trial.discovery_outage(kind, seconds))]
    if draws.random.random() < 0.6:
        number, gone_after_s = draws.next_exchange(), draws.random.uniform(0.5, 3.0)
        drain_at_s = max(0.0, begin_s + seconds + draws.random.uniform(-1.0, 0.3))
        same_address = draws.random.random() < 0.5
        steps.append((drain_at_s, lambda trial: trial.drain(number, gone_after_s, same_address)))
    if draws.random.random() < 0.5:
        times, pause_s, shorter = (
            draws.random.randint(2, 6),
            draws.random.uniform(0.02, 0.5),
            draws.random.random() < 0.5,
        )
        steps.append((draws.time_s(0.0, 10.0), lambda trial: trial.reconfigure(times, pause_s, shorter)))
    if draws.random.random() < 0.3:
        delay_s = draws.random.uniform(0.3, 2.5)
        steps.append((0.0, lambda trial: _call_function(trial.discovery.delay_first_frame, delay_s)))
    return steps


def corrupted_answers(draws: TrialDraws) -> list[TimedStep]:
    """Answers that are lost, corrupted or sent twice, set-ups that are refused or fail, and resets on set-ups."""
    changes = {
        name: draws.random.uniform(0.0, most)
        for name, most in (
            ("lose_answer", 0.15), ("second_answer", 0.2), ("spoil_answer", 0.05), ("refuse", 0.2), ("fail", 0.1),
            ("reset", 0.08),
        )
        if draws.random.random() < 0.5
    }  # fmt: skip
    return [(draws.time_s(0.0, 4.0), lambda trial: _call_function(partial(trial.change_exchange_options, **changes)))]


def network_faults(draws: TrialDraws) -> list[TimedStep]:
    """Exchanges that vanish, die, hang or are cut off, links that break or are established late."""
    steps: list[TimedStep] = []
    for _ in range(draws.random.randint(1, 3)):
        number = draws.next_exchange()
        kind = draws.random.choice(("partition", "hang", "vanish", "vanish", "die", "deaf", "break"))
        seconds = draws.random.choice((draws.random.uniform(0.3, 2.0), draws.random.uniform(3.0, 10.0)))
        gone_after_s, replaced_after_s = draws.random.uniform(1.0, 10.0), draws.random.uniform(0.2, 9.0)
        same_address, share = draws.random.random() < 0.5, draws.random.uniform(0.3, 1.0)
        break_kind = draws.random.choice(BREAK_KINDS)
        step: Callable[[Trial], Awaitable[None]]
        if kind == "partition":
            step = partial(_partition, number, seconds)
        elif kind == "hang":
            step = partial(_hang, number, seconds)
        elif kind in ("vanish", "die"):
            step = partial(_end_exchange, kind, number, gone_after_s, replaced_after_s, same_address)
        elif kind == "deaf":
            step = partial(_delay_connects, number, min(seconds, 2.0))
        else:
            step = partial(_break, number, share, break_kind)
        steps.append((draws.time_s(0.0, 6.0), step))
    return steps


def fragmented_messages(draws: TrialDraws) -> list[TimedStep]:
    """Messages of exchanges that arrive in pieces, and repeated breaks of the links to one exchange."""
    share = draws.random.uniform(0.05, 0.5)
    steps: list[TimedStep] = [(0.0, lambda trial: _call_function(partial(trial.change_exchange_options, pieces=share)))]
    number = draws.random.randrange(1, draws.exchanges + 1)
    for _ in range(draws.random.randint(0, 4)):
        steps.append((draws.time_s(), partial(_break, number, 0.5, draws.random.choice(BREAK_KINDS))))
    return steps


async def _call_function(function: Callable[[], None] | Callable[[float], None], *arguments: float) -> None:
    function(*arguments)


# The following steps take the trial as their last argument, so that `partial` can set the others.


async def _partition(number: int, seconds: float, trial: Trial) -> None:
    await trial.partition(number, seconds)


async def _hang(number: int, seconds: float, trial: Trial) -> None:
    await trial.hang(number, seconds)


async def _delay_connects(number: int, seconds: float, trial: Trial) -> None:
    await trial.delay_connects(number, seconds)


async def _break(number: int, share: float, break_kind: str, trial: Trial) -> None:
    trial.break_links(number, share, break_kind)


async def _drain(number: int, gone_after_s: float, trial: Trial) -> None:
    await trial.drain(number, gone_after_s, same_address=False)


async def _end_exchange(
    kind: str, number: int, gone_after_s: float, replaced_after_s: float, same_address: bool, trial: Trial
) -> None:
    end = trial.vanish if kind == "vanish" else trial.die
    await end(number, gone_after_s, replaced_after_s, same_address)


def half_open_links(draws: TrialDraws) -> list[TimedStep]:
    """Links that are reset towards the program only, some of them while the exchange hangs."""
    steps: list[TimedStep] = []
    for _ in range(draws.random.randint(1, 4)):
        number, at_s = draws.random.randrange(1, draws.exchanges + 1), draws.time_s()
        steps.append((at_s, partial(_break, number, draws.random.uniform(0.4, 1.0), "halve")))
        if draws.random.random() < 0.4:
            steps.append((max(0.0, at_s - 0.5), partial(_hang, number, draws.random.uniform(1.0, 3.0))))
    return steps


def queued_connections(draws: TrialDraws) -> list[TimedStep]:
    """Exchanges that hang while links to them break repeatedly, including links in their accept queues."""
    steps: list[TimedStep] = []
    for _ in range(draws.random.randint(1, 3)):
        number, at_s, seconds = (
            draws.random.randrange(1, draws.exchanges + 1),
            draws.time_s(),
            draws.random.uniform(1.0, 5.0),
        )
        steps.append((at_s, partial(_hang, number, seconds)))
        for _ in range(draws.random.randint(1, 4)):
            break_kind = draws.random.choice((*BREAK_KINDS, "halve"))
            break_at_s = at_s + draws.random.uniform(0.0, seconds + 0.2)
            steps.append((break_at_s, partial(_break, number, draws.random.uniform(0.4, 1.0), break_kind)))
    return steps


def signal_series(draws: TrialDraws) -> list[TimedStep]:
    """Restarts with a series of further signals after each SIGTERM."""

    async def series(signal_lists: list[list[tuple[float, signal.Signals]]], trial: Trial) -> None:
        for following_signals in signal_lists:
            await trial.restart(following_signals)
            await trio.sleep(0.2)

    signal_numbers: tuple[signal.Signals, ...] = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)
    signals_by_restart = [
        [
            (draws.random.uniform(0.0, 0.6), draws.random.choice(signal_numbers))
            for _ in range(draws.random.randint(1, 6))
        ]
        for _ in range(draws.random.randint(1, 3))
    ]
    return [(draws.time_s(0.5, 5.0), partial(series, signals_by_restart))]


FAMILIES: dict[str, Callable[[TrialDraws], list[TimedStep]]] = {
    "shutdowns": restarts_in_series,
    "discovery": discovery_faults,
    "spoilt": corrupted_answers,
    "network": network_faults,
    "slow": fragmented_messages,
}


FURTHER_FAMILIES: dict[str, Callable[[TrialDraws], list[TimedStep]]] = {
    "half_open": half_open_links,
    "queued": queued_connections,
    "signals": signal_series,
}


def truncated_answers(draws: TrialDraws) -> list[TimedStep]:
    """Answers that end early, with the next message directly behind them, and messages in pieces."""
    changes = {"truncate_answer": draws.random.uniform(0.01, 0.1), "pieces": draws.random.choice((0.0, 0.5))}
    return [(draws.time_s(0.0, 4.0), lambda trial: _call_function(partial(trial.change_exchange_options, **changes)))]


def late_frames(draws: TrialDraws) -> list[TimedStep]:
    """Frames of the command channel that arrive late on every connection, and exchanges that drain meanwhile."""
    begin_s, transit_s = draws.time_s(0.0, 4.0), draws.random.uniform(0.5, 7.5)
    steps: list[TimedStep] = [(begin_s, lambda trial: trial.delay_discovery(transit_s))]
    for _ in range(draws.random.randint(1, 2)):
        number = draws.next_exchange()
        steps.append((begin_s + draws.random.uniform(0.0, 6.0), partial(_drain, number, LATE_DRAIN_S)))
    return steps


LATEST_FAMILIES: dict[str, Callable[[TrialDraws], list[TimedStep]]] = {
    "truncated": truncated_answers,
    "late": late_frames,
}


def plan(seed: int) -> Plan:
    """Return the trial of a seed: at least two families, and further families from certain seeds on."""
    earlier_plan = _plan_with_further_families(seed)
    if seed < LATEST_FAMILIES_FROM_SEED:
        return earlier_plan
    draws = TrialDraws(seed)
    draws.random = random.Random(f"soak latest {seed}")
    names = [name for name in LATEST_FAMILIES if draws.random.random() < FAMILY_SHARE]
    steps = tuple(step for name in names for step in LATEST_FAMILIES[name](draws))
    return replace(earlier_plan, families=(*earlier_plan.families, *names), steps=(*earlier_plan.steps, *steps))


def _plan_with_further_families(seed: int) -> Plan:
    base_plan = _plan(seed)
    if seed < FURTHER_FAMILIES_FROM_SEED:
        return base_plan
    draws = TrialDraws(seed)
    draws.random = random.Random(f"soak further {seed}")
    names = [name for name in FURTHER_FAMILIES if draws.random.random() < FAMILY_SHARE]
    if "shutdowns" in base_plan.families and "signals" in names:
        names.remove("signals")  # a trial has only one series of restarts at a time
    steps = tuple(step for name in names for step in FURTHER_FAMILIES[name](draws))
    absent = draws.random.randint(0, 2)
    return replace(base_plan, families=(*base_plan.families, *names), steps=(*base_plan.steps, *steps), absent=absent)


def _plan(seed: int) -> Plan:
    draws = TrialDraws(seed)
    names = [name for name in FAMILIES if draws.random.random() < FAMILY_SHARE]
    while len(names) < 2:
        names = sorted({*names, draws.random.choice(list(FAMILIES))})
    steps = tuple(step for name in names for step in FAMILIES[name](draws))
    crowd = CROWD_CONNECTIONS if draws.random.random() < CROWD_SHARE else 0
    return Plan(
        seed, draws.random.choice(WAITS_US), draws.exchanges, draws.random.randint(5, 9), crowd, tuple(names), steps
    )


def silent_exchanges() -> Plan:
    """The incident of 2026-12-02: two exchanges vanish with calls on them while discovery does not reply."""
    steps: tuple[TimedStep, ...] = (
        (2.0, lambda trial: trial.discovery_outage("deaf", 9.5)),
        (2.5, lambda trial: trial.vanish(1, 9.0, 9.2, False)),
        (2.5, lambda trial: trial.vanish(2, 9.0, 9.2, False)),
    )
    return Plan(0, INCIDENT_WAIT_US, 4, 5, 0, ("incident",), steps)


def hung_exchanges() -> Plan:
    """Exchanges hang in turn while links to them are reset, also those in their accept queues (as in seed 24)."""
    steps: list[TimedStep] = []
    for number in (1, 2, 3):
        for begin_s in (0.5 + number, 7.5 + number):
            steps.append((begin_s, partial(_hang, number, NAMED_HANG_S)))
            steps += [(begin_s + after_s, partial(_break, number, 1.0, "reset")) for after_s in NAMED_RESETS_S]
    return Plan(0, 3 * SECOND, 4, 5, 0, ("hung",), tuple(steps))


def truncated_answers_in_pieces() -> Plan:
    """One answer in ten ends early, and half of all messages arrive in pieces."""
    steps: tuple[TimedStep, ...] = (
        (0.0, lambda trial: _call_function(partial(trial.change_exchange_options, truncate_answer=0.1, pieces=0.5))),
    )
    return Plan(0, 3 * SECOND, 4, 5, 0, ("truncated",), steps)


def slow_discovery() -> Plan:
    """Frames of the command channel begin to arrive late, and two exchanges drain after that."""
    steps: tuple[TimedStep, ...] = (
        (0.5, lambda trial: trial.delay_discovery(SLOW_DISCOVERY_S)),
        (1.0, partial(_drain, 1, LATE_DRAIN_S)),
        (3.0, partial(_drain, 2, LATE_DRAIN_S)),
    )
    return Plan(0, 3 * SECOND, 4, 5, 0, ("late",), steps)


def overloaded_exchanges() -> Plan:
    """All exchanges of a large fleet are overloaded for a moment, and then callers hold their third of a low limit."""
    steps: tuple[TimedStep, ...] = (
        (1.0, lambda trial: _call_function(partial(trial.change_exchange_options, overload=1.0))),
        (1.0 + OVERLOAD_S, lambda trial: _call_function(partial(trial.change_exchange_options, overload=0.0))),
        (2.0 + OVERLOAD_S, lambda trial: _call_function(trial.start_late_clients)),
    )
    late_clients = LOW_SOCKETS // CALLERS_SHARE - EARLY_CLIENTS
    return Plan(
        OVERLOAD_SEED, 6 * SECOND, LARGE_FLEET, EARLY_CLIENTS, 0, ("overload",), steps,
        late_clients=late_clients, sockets=LOW_SOCKETS,
    )  # fmt: skip


def stranded_answers() -> Plan:
    """Shortly before restarts answers never arrive, on connections that are of no use afterwards."""

    def strand(share: float) -> Callable[[Trial], Awaitable[None]]:
        return lambda trial: _call_function(partial(trial.change_exchange_options, strand_answer=share))

    steps: list[TimedStep] = []
    for restart_s in STRANDED_RESTARTS_S:
        steps += [
            (restart_s - STRANDED_BEFORE_S, strand(1.0)),
            (restart_s, lambda trial: trial.restart()),
            (restart_s + STRANDED_AFTER_S, strand(0.0)),
        ]
    return Plan(STRANDED_SEED, 1200 * MILLISECOND, 4, 6, 0, ("stranded",), tuple(steps))


NAMED_PLANS: dict[str, Callable[[], Plan]] = {
    "incident": silent_exchanges,
    "hung": hung_exchanges,
    "truncated": truncated_answers_in_pieces,
    "late": slow_discovery,
    "overload": overloaded_exchanges,
    "stranded": stranded_answers,
}
