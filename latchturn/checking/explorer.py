"""The explorer: follows every path of a scope, breadth first, on any number of processes with the same result.

Each level of states is divided into batches. A worker makes every choice of the states of a batch and returns the new
states, and the results are merged in the order of the batches. The states, their numbers and the counterexample that is
reported therefore depend on the scope alone.
"""

from __future__ import annotations

import contextlib
import gc
import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from multiprocessing.connection import Connection, wait

from .choices import Choice
from .environment import Environment, PropertyViolation
from .pairs import Pairs, record
from .plants import plant
from .scopes import SCOPES
from .states import fingerprint, load, save

BATCH_SIZE = 24  # states


@dataclass(slots=True)
class Result:
    """The result of a run. `exhausted` means that every path was followed to its end."""

    scope: str
    states: int = 0
    transitions: int = 0
    depth: int = 0
    ends: int = 0  # states without choices
    seconds: float = 0.0
    exhausted: bool = False
    violated: str = ""  # name of the violated property
    message: str = ""
    choices: tuple[Choice, ...] = ()  # the path to the violation
    pairs: Pairs = field(default_factory=Counter)


@dataclass(slots=True)
class _BatchResult:
    """The result of a worker for one batch."""

    states: list[tuple[int, Choice, bytes, bytes]]  # index of the parent in the batch, choice, fingerprint, snapshot
    transitions: int
    ends: int
    violation: (
        tuple[int, Choice | None, str, str] | None
    )  # index in the batch, choice (None: at the end), name, message
    pairs: Pairs


_seen_fingerprints: set[bytes] = set()  # of this worker alone; `_explore` removes what several workers found


def _expand(batch: list[bytes]) -> _BatchResult:
    """Make every choice of every state of a batch. Stops at the first violation of a property."""
    batch_result = _BatchResult([], 0, 0, None, Counter())
    gc.collect()  # once per batch: environments are full of reference cycles, and automatic collection takes most time
    with record(batch_result.pairs):
        for index, snapshot in enumerate(batch):
            environment = load(snapshot)
            choices = environment.choices()
            if not choices:
                batch_result.ends += 1
                try:
                    environment.run_to_end()
                except PropertyViolation as violation:
                    batch_result.violation = batch_result.violation or (index, None, violation.name, violation.message)
                    return batch_result
            for choice in choices:
                batch_result.transitions += 1
                environment = load(snapshot)
                try:
                    environment.apply(choice)
                except PropertyViolation as violation:
                    batch_result.violation = (index, choice, violation.name, violation.message)
                    return batch_result
                digest = fingerprint(environment)
                if digest not in _seen_fingerprints:
                    _seen_fingerprints.add(digest)
                    batch_result.states.append((index, choice, digest, save(environment)))
    return batch_result


def _prepare(fault: str) -> None:
    """Make this process ready to expand states, with the named fault planted if any."""
    _seen_fingerprints.clear()
    gc.disable()
    if fault:
        plant(fault)


def _batches(states: list[bytes]) -> Iterator[list[bytes]]:
    rest = iter(states)
    while batch := list(islice(rest, BATCH_SIZE)):
        yield batch


def _worker_main(pipe: Connection, fault: str) -> None:
    """The loop of a worker process: expands the batches it receives and sends the results back.

    A text is the name of a scope, whose initial state is sent back.
    """
    _seen_fingerprints.clear()
    gc.disable()
    if fault:
        plant(fault)
    with contextlib.suppress(EOFError, KeyboardInterrupt):
        while True:
            task = pipe.recv()
            pipe.send(_initial_state(task) if isinstance(task, str) else _expand(task))


class _Workers:
    """Processes that expand batches. They are forked for each run, so a fault planted in one run does not stay."""

    def __init__(self, jobs: int, fault: str) -> None:
        context = multiprocessing.get_context("fork")
        self.pipes: list[Connection] = []
        self.processes = []
        for _ in range(jobs):
            parent_end, worker_end = context.Pipe()
            process = context.Process(target=_worker_main, args=(worker_end, fault), daemon=True)
            process.start()
            worker_end.close()
            self.pipes.append(parent_end)
            self.processes.append(process)

    def stop(self) -> None:
        for process, pipe in zip(self.processes, self.pipes):
            process.terminate()
            process.join()
            pipe.close()

    def expand(self, level: list[bytes]) -> Iterator[_BatchResult]:
        """Expand a level and yield the results in the order of its batches."""
        batches = enumerate(_batches(level))
        idle, ready, next_batch = list(self.pipes), dict[int, _BatchResult](), 0
        assigned: dict[Connection, int] = {}  # pipe -> number of the batch that its worker expands
        while True:
            while idle and (batch := next(batches, None)) is not None:
                pipe = idle.pop()
                assigned[pipe] = batch[0]
                pipe.send(batch[1])
            if next_batch in ready:
                yield ready.pop(next_batch)
                next_batch += 1
            elif not assigned:
                return
            else:
                for pipe in [k for k in wait(list(assigned)) if isinstance(k, Connection)]:
                    ready[assigned.pop(pipe)] = pipe.recv()
                    idle.append(pipe)


def explore(
    scope: str, jobs: int = 1, seconds: float = 0.0, fault: str = "",
    progress: Callable[[Result], None] | None = None,
) -> Result:  # fmt: skip
    """Follow every path of a scope, for at most `seconds` (0: no limit), with the named fault planted if any."""
    started_s = time.monotonic()
    workers = _Workers(jobs, fault)
    try:
        result = _explore(workers, scope, started_s, seconds, progress)
    finally:
        workers.stop()
    result.seconds = time.monotonic() - started_s
    return result


def _initial_state(scope: str) -> tuple[bytes, bytes, tuple[str, str] | None]:
    try:
        environment = Environment(SCOPES[scope])
    except PropertyViolation as violation:
        return b"", b"", (violation.name, violation.message)
    return fingerprint(environment), save(environment), None


def _explore(
    workers: _Workers, scope: str, started_s: float, seconds: float, progress: Callable[[Result], None] | None
) -> Result:
    result = Result(scope)
    workers.pipes[0].send(scope)
    digest, snapshot, violation = workers.pipes[0].recv()
    if violation:
        result.violated, result.message = violation
        return result
    parents: list[tuple[int, Choice]] = [(-1, ())]  # by state number: number of the parent, choice made there
    seen = {digest}
    level, state_numbers = [snapshot], [0]
    while level:
        next_level: list[bytes] = []
        next_state_numbers: list[int] = []
        for batch_number, batch_result in enumerate(workers.expand(level)):
            result.transitions += batch_result.transitions
            result.ends += batch_result.ends
            result.pairs.update(batch_result.pairs)
            for index, choice, digest, snapshot in batch_result.states:
                if digest not in seen:
                    seen.add(digest)
                    next_state_numbers.append(len(parents))
                    parents.append((state_numbers[batch_number * BATCH_SIZE + index], choice))
                    next_level.append(snapshot)
            result.states = len(parents)
            if batch_result.violation is not None:
                # Results of later batches of this level are ignored, so that the counts are always the same.
                index, last_choice, result.violated, result.message = batch_result.violation
                path = _path(parents, state_numbers[batch_number * BATCH_SIZE + index])
                result.choices = path if last_choice is None else (*path, last_choice)
                return result
            if seconds and time.monotonic() - started_s > seconds:
                return result
        result.depth += bool(next_level)
        level, state_numbers = next_level, next_state_numbers
        result.seconds = time.monotonic() - started_s
        if progress is not None:
            progress(result)
    result.exhausted = True
    return result


def _path(parents: list[tuple[int, Choice]], number: int) -> tuple[Choice, ...]:
    """The choices that lead to a state."""
    path: list[Choice] = []
    while number > 0:
        number, choice = parents[number]
        path.append(choice)
    return tuple(reversed(path))
