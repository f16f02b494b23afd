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

PIECE = 24  # states


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
    broken: str = ""  # property
    message: str = ""
    choices: tuple[Choice, ...] = ()
    pairs: Pairs = field(default_factory=Counter)


@dataclass(slots=True)
class _Found:
    """What one worker found of one piece."""

    states: list[tuple[int, Choice, bytes, bytes]]  # of which state of the piece, by what choice, what
    transitions: int
    ends: int
    broken: tuple[int, Choice | None, str, str] | None
    pairs: Pairs


_seen: set[bytes] = set()


def _expand(piece: list[bytes]) -> _Found:
    """Make every choice of every state of a piece. Stops at the first that breaks a property."""
    found = _Found([], 0, 0, None, Counter())
    gc.collect()  # once a piece: worlds are full of circles, and looking for them on each step takes most time
    with record(found.pairs):
        for k, snapshot in enumerate(piece):
            environment = load(snapshot)
            choices = environment.choices()
            if not choices:
                found.ends += 1
                try:
                    environment.close_out()
                except PropertyViolation as broken:
                    found.broken = found.broken or (k, None, broken.name, broken.message)
                    return found
            for choice in choices:
                found.transitions += 1
                environment = load(snapshot)
                try:
                    environment.do(choice)
                except PropertyViolation as broken:
                    found.broken = (k, choice, broken.name, broken.message)
                    return found
                mark = fingerprint(environment)
                if mark not in _seen:
                    _seen.add(mark)
                    found.states.append((k, choice, mark, save(environment)))
    return found


def _prepare(fault: str) -> None:
    _seen.clear()
    gc.disable()
    if fault:
        plant(fault)


def _pieces(states: list[bytes]) -> Iterator[list[bytes]]:
    rest = iter(states)
    while piece := list(islice(rest, PIECE)):
        yield piece


def _work(pipe: Connection, fault: str) -> None:
    """A worker: pieces come, what is found goes back."""
    _seen.clear()
    gc.disable()
    if fault:
        plant(fault)
    with contextlib.suppress(EOFError, KeyboardInterrupt):
        while True:
            task = pipe.recv()
            pipe.send(_start(task) if isinstance(task, str) else _expand(task))


class _Workers:
    """Processes that expand pieces. Forked, so that a fault planted in one run is not there in the next."""

    def __init__(self, jobs: int, fault: str) -> None:
        context = multiprocessing.get_context("fork")
        self.pipes: list[Connection] = []
        self.processes = []
        for _ in range(jobs):
            ours, theirs = context.Pipe()
            process = context.Process(target=_work, args=(theirs, fault), daemon=True)
            process.start()
            theirs.close()
            self.pipes.append(ours)
            self.processes.append(process)

    def end(self) -> None:
        for process, pipe in zip(self.processes, self.pipes):
            process.terminate()
            process.join()
            pipe.close()

    def expand(self, level: list[bytes]) -> Iterator[_Found]:
        """What is found of each piece of a level, in the order of the pieces."""
        pieces = enumerate(_pieces(level))
        idle, ready, following = list(self.pipes), dict[int, _Found](), 0
        at: dict[Connection, int] = {}
        while True:
            while idle and (piece := next(pieces, None)) is not None:
                pipe = idle.pop()
                at[pipe] = piece[0]
                pipe.send(piece[1])
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
    began = time.monotonic()
    workers = _Workers(jobs, fault)
    try:
        result = _explore(workers, scope, began, seconds, progress)
    finally:
        workers.end()
    result.seconds = time.monotonic() - began
    return result


def _start(scope: str) -> tuple[bytes, bytes, tuple[str, str] | None]:
    try:
        environment = Environment(SCOPES[scope])
    except PropertyViolation as broken:
        return b"", b"", (broken.name, broken.message)
    return fingerprint(environment), save(environment), None


def _explore(
    workers: _Workers, scope: str, began: float, seconds: float, progress: Callable[[Result], None] | None
) -> Result:
    result = Result(scope)
    workers.pipes[0].send(scope)
    mark, snapshot, broken = workers.pipes[0].recv()
    if broken:
        result.broken, result.message = broken
        return result
    parents: list[tuple[int, Choice]] = [(-1, ())]
    seen = {mark}
    level, numbers = [snapshot], [0]
    while level:
        following: list[bytes] = []
        following_numbers: list[int] = []
        for at, found in enumerate(workers.expand(level)):
            result.transitions += found.transitions
            result.ends += found.ends
            result.pairs.update(found.pairs)
            for k, choice, mark, snapshot in found.states:
                if mark not in seen:
                    seen.add(mark)
                    following_numbers.append(len(parents))
                    parents.append((numbers[at * PIECE + k], choice))
                    following.append(snapshot)
            result.states = len(parents)
            if found.broken is not None:
                # What other pieces found of this level does not count: so the counts are the same each time.
                k, last, result.broken, result.message = found.broken
                path = _path(parents, numbers[at * PIECE + k])
                result.choices = path if last is None else (*path, last)
                return result
            if seconds and time.monotonic() - began > seconds:
                return result
        result.depth += bool(following)
        level, numbers = following, following_numbers
        result.seconds = time.monotonic() - began
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
