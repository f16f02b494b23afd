"""States as bytes: snapshots to go on from, and fingerprints by which two states count as one.

A snapshot is a pickle in which settings stand by reference. A fingerprint is BLAKE2b over a walk of all that a state
holds; moments are told relative to now, objects that are met again by the order of their first meeting. Left out is
what nothing reads: counters, effects, the trace, the random generator, the
number of timers set, timers that can do nothing.
"""

from __future__ import annotations

import copyreg
import hashlib
import io
import marshal
import pickle
from collections.abc import Callable
from enum import Enum
from typing import Any

from .. import interface as i
from ..brain import Controller
from ..protocol import SetUp
from ..session.classes import Classes
from ..session.component import Component
from ..session.core import Core
from ..session.timers import Timers
from .environment import MOMENT, Environment, MedianRandom
from .history import History
from .scopes import SCOPES, SETTINGS, VARIANTS, Scope

_MIDDLE = MedianRandom()
_KEPT: tuple[object, ...] = (_MIDDLE, SETTINGS, *SETTINGS.classes, *VARIANTS.values())
_KEPT_AT = {id(kept): k for k, kept in enumerate(_KEPT)}


def _kept(index: int) -> object:
    return _KEPT[index]


def _scope(name: str) -> Scope:
    return SCOPES[name]


def _reduce(value: Any) -> Any:
    at = _KEPT_AT.get(id(value))
    return value.__reduce_ex__(2) if at is None else (_kept, (at,))


_TABLE: dict[type, Callable[[Any], Any]] = {
    **copyreg.dispatch_table, i.Settings: _reduce, i.CallClass: _reduce, Scope: lambda s: (_scope, (s.name,)),
    MedianRandom: lambda _: (_kept, (0,)),
}  # fmt: skip


def save(environment: Environment) -> bytes:
    """A snapshot of a world."""
    buffer = io.BytesIO()
    pickler = pickle.Pickler(buffer, 5)
    pickler.dispatch_table = _TABLE
    pickler.dump(environment)
    return buffer.getvalue()


def load(snapshot: bytes) -> Environment:
    """The world of a snapshot, apart from all others."""
    environment = pickle.loads(snapshot)
    assert isinstance(environment, Environment)
    return environment


# --- fingerprints ---

_LEFT_OUT: dict[type, frozenset[str]] = {
    Core: frozenset(("counters", "effects", "random", "now", "trace")),
    Controller: frozenset(
        (
            "settings",
            "shortest_target_us",
            "turn_offset",
            "uses_pools",
            "started",
            "random",
            "now",
            "actions",
            "next_token",
            "timers",
        )
    ),
    Timers: frozenset(("sequence", "heap")),
    # What settings are in use says the rest; the classes before end with their callers' patience.
    Classes: frozenset(("known_names", "settings", "index_by_name", "tenants", "previous")),
    History: frozenset(("now_us", "notify")),
    Environment: frozenset(("scope", "now_us", "session", "story")),
}
_SIMPLE = (str, bytes, type(None), bool, float)
_FIELDS: dict[type, tuple[str, ...]] = {}


def _fields(kind: type) -> tuple[str, ...]:
    names = [n for base in reversed(kind.__mro__) for n in base.__dict__.get("__slots__", ())]
    return tuple(n for n in names if n not in _LEFT_OUT.get(kind, ()))


class _Walk:
    """One walk over a state."""

    def __init__(self, now_us: int) -> None:
        self.now_us = now_us
        self.met: dict[int, int] = {}

    def of(self, value: Any) -> Any:
        """A value as marshal can write it, the same for all states that count as one."""
        kind = type(value)
        if kind is int:
            return value - self.now_us if value > MOMENT else (value,)
        if kind in _SIMPLE:
            return value
        of = self.of
        if kind is dict:
            return [(of(k), of(v)) for k, v in value.items()]
        if kind is list or kind is tuple or kind.__name__ == "deque":
            return [of(v) for v in value]
        if isinstance(value, Enum):
            return value.name
        if kind is SetUp:
            return (value.call, value.called, value.wait_ms)
        if kind is i.Settings or kind is i.CallClass:
            at = _KEPT_AT.get(id(value))
            return repr(value) if at is None else at
        if (ident := id(value)) in self.met:
            return ("met", self.met[ident])
        if kind is set or kind is frozenset:
            return sorted((of(v) for v in value), key=repr)
        self.met[ident] = len(self.met)
        if isinstance(value, Component):
            # A part knows all the others: what is its own is walked where the part itself is.
            own = vars(value)
            left_out = _LEFT_OUT.get(kind, ())
            return [
                (k, of(v)) for k, v in own.items()
                if k not in left_out and not isinstance(v, Component | Core)
            ]  # fmt: skip
        fields = _FIELDS.get(kind)
        if fields is None:
            fields = _FIELDS[kind] = _fields(kind)
        if fields:
            return [of(getattr(value, name)) for name in fields]
        left_out = _LEFT_OUT.get(kind, ())
        return [(k, of(v)) for k, v in vars(value).items() if k not in left_out]


def fingerprint(environment: Environment) -> bytes:
    """16 bytes that are equal for states that count as one."""
    walk = _Walk(environment.now_us)
    session = environment.session
    module = session.decision_module.controller
    tokens = [(module.timers[k], walk.of(k)) for k in module.timers if environment.token_lives(k)]
    parts = [walk.of(part) for part in vars(session).values() if isinstance(part, Component)]
    timers = [
        (at - environment.now_us, timer.kind.name, walk.of(timer.subject))
        for at, _, timer in sorted(session.timers.heap, key=lambda t: t[:2])
        if environment.alive(timer)
    ]
    state = (parts, tokens, walk.of(session.core), timers, walk.of(environment.history), walk.of(environment))
    return hashlib.blake2b(marshal.dumps(state, 2), digest_size=16).digest()
