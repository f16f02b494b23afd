"""The explorer: every path of a scope, breadth first, on several processes, the same on any number of them.

A level of states is cut into pieces; each worker makes every choice of its states and gives back what it found, and
the pieces are put together in their order. So the states, their numbers and the path that is shown first hang on the
scope alone.
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

from .environment import Choice, Environment, PropertyViolation
from .pairs import Pairs, record
from .plants import plant
from .scopes import SCOPES
from .states import fingerprint, load, save

BATCH_SIZE = 24  # states


@dataclass(slots=True)
class Result:
    """What a run has seen. `exhausted`: every path was followed to its end."""

    scope: str
    states: int = 0
    transitions: int = 0
    depth: int = 0
    ends: int = 0  # states after which nothing more can happen
    seconds: float = 0.0
    exhausted: bool = False
    violated: str = ""  # property
    message: str = ""
    choices: tuple[Choice, ...] = ()
    pairs: Pairs = field(default_factory=Counter)


@dataclass(slots=True)
class _BatchResult:
    """What one worker found of one piece."""

    states: list[tuple[int, Choice, bytes, bytes]]  # of which state of the piece, by what choice, what
    transitions: int
    ends: int
    violation: tuple[int, Choice | None, str, str] | None
    pairs: Pairs


_seen_fingerprints: set[bytes] = set()


def _expand(batch: list[bytes]) -> _BatchResult:
    """Make every choice of every state of a piece. Stops at the first that breaks a property."""
    found = _BatchResult([], 0, 0, None, Counter())
    gc.collect()  # once a piece: worlds are full of circles, and looking for them on each step takes most time
    with record(found.pairs):
        for k, snapshot in enumerate(batch):
            environment = load(snapshot)
            choices = environment.choices()
            if not choices:
                found.ends += 1
                try:
                    environment.run_to_end()
                except PropertyViolation as broken:
                    found.violation = found.violation or (k, None, broken.name, broken.message)
                    return found
            for choice in choices:
                found.transitions += 1
                environment = load(snapshot)
                try:
                    environment.apply(choice)
                except PropertyViolation as broken:
                    found.violation = (k, choice, broken.name, broken.message)
                    return found
                digest = fingerprint(environment)
                if digest not in _seen_fingerprints:
                    _seen_fingerprints.add(digest)
                    found.states.append((k, choice, digest, save(environment)))
    return found


def _prepare(fault: str) -> None:
    _seen_fingerprints.clear()
    gc.disable()
    if fault:
        plant(fault)


def _batches(states: list[bytes]) -> Iterator[list[bytes]]:
    rest = iter(states)
    while batch := list(islice(rest, BATCH_SIZE)):
        yield batch


def _worker_main(pipe: Connection, fault: str) -> None:
    """A worker: pieces come, what is found goes back."""
    _seen_fingerprints.clear()
    gc.disable()
    if fault:
        plant(fault)
    with contextlib.suppress(EOFError, KeyboardInterrupt):
        while True:
            task = pipe.recv()
            pipe.send(_initial_state(task) if isinstance(task, str) else _expand(task))


class _Workers:
    """Processes that expand pieces. Forked, so that a fault planted in one run is not there in the next."""

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
        """What is found of each piece of a level, in the order of the pieces."""
        batches = enumerate(_batches(level))
        idle, ready, following = list(self.pipes), dict[int, _BatchResult](), 0
        at: dict[Connection, int] = {}
        while True:
            while idle and (batch := next(batches, None)) is not None:
                pipe = idle.pop()
                at[pipe] = batch[0]
                pipe.send(batch[1])
            if following in ready:
                yield ready.pop(following)
                following += 1
            elif not at:
                return
            else:
                for pipe in [k for k in wait(list(at)) if isinstance(k, Connection)]:
                    ready[at.pop(pipe)] = pipe.recv()
                    idle.append(pipe)


def explore(
    scope: str, jobs: int = 1, seconds: float = 0.0, fault: str = "",
    progress: Callable[[Result], None] | None = None,
) -> Result:  # fmt: skip
    """Follow every path of a scope, for `seconds` at most (0: without end), with a planted fault if one is
    named."""
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
    except PropertyViolation as broken:
        return b"", b"", (broken.name, broken.message)
    return fingerprint(environment), save(environment), None


def _explore(
    workers: _Workers, scope: str, started_s: float, seconds: float, progress: Callable[[Result], None] | None
) -> Result:
    result = Result(scope)
    workers.pipes[0].send(scope)
    digest, snapshot, broken = workers.pipes[0].recv()
    if broken:
        result.violated, result.message = broken
        return result
    parents: list[tuple[int, Choice]] = [(-1, ())]
    seen = {digest}
    level, state_numbers = [snapshot], [0]
    while level:
        following: list[bytes] = []
        next_state_numbers: list[int] = []
        for at, found in enumerate(workers.expand(level)):
            result.transitions += found.transitions
            result.ends += found.ends
            result.pairs.update(found.pairs)
            for k, choice, digest, snapshot in found.states:
                if digest not in seen:
                    seen.add(digest)
                    next_state_numbers.append(len(parents))
                    parents.append((state_numbers[at * BATCH_SIZE + k], choice))
                    following.append(snapshot)
            result.states = len(parents)
            if found.violation is not None:
                # What other pieces found of this level does not count: so the counts are the same each time.
                k, last, result.violated, result.message = found.violation
                path = _path(parents, state_numbers[at * BATCH_SIZE + k])
                result.choices = path if last is None else (*path, last)
                return result
            if seconds and time.monotonic() - started_s > seconds:
                return result
        result.depth += bool(following)
        level, state_numbers = following, next_state_numbers
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
