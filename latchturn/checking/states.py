"""States as bytes: snapshots to continue from, and fingerprints that identify equivalent states.

A snapshot is a pickle that refers to settings instead of copying them. A fingerprint is a BLAKE2b digest of everything
that a state contains. Times are encoded relative to now, and an object that occurs again as the number of its first
occurrence. What does not influence later behaviour is excluded: counters, effects, the trace, the random generator, the
number of timers set, and timers without effect.
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
from .environment import TIME_THRESHOLD_US, Environment, MedianRandom
from .history import History
from .scopes import SCOPES, SETTINGS, VARIANTS, Scope

_MEDIAN_RANDOM = MedianRandom()
# Immutable objects that all states share; snapshots and fingerprints contain their index.
_SHARED: tuple[object, ...] = (_MEDIAN_RANDOM, SETTINGS, *SETTINGS.classes, *VARIANTS.values())
_SHARED_INDEX = {id(shared): k for k, shared in enumerate(_SHARED)}


def _shared(index: int) -> object:
    """Called by pickle to restore a shared object."""
    return _SHARED[index]


def _scope(name: str) -> Scope:
    """Called by pickle to restore a scope."""
    return SCOPES[name]


def _reduce(value: Any) -> Any:
    shared_index = _SHARED_INDEX.get(id(value))
    return value.__reduce_ex__(2) if shared_index is None else (_shared, (shared_index,))


_REDUCERS: dict[type, Callable[[Any], Any]] = {
    **copyreg.dispatch_table, i.Settings: _reduce, i.CallClass: _reduce, Scope: lambda s: (_scope, (s.name,)),
    MedianRandom: lambda _: (_shared, (0,)),
}  # fmt: skip


def save(environment: Environment) -> bytes:
    """Take a snapshot of an environment."""
    buffer = io.BytesIO()
    pickler = pickle.Pickler(buffer, 5)
    pickler.dispatch_table = _REDUCERS
    pickler.dump(environment)
    return buffer.getvalue()


def load(snapshot: bytes) -> Environment:
    """Restore the environment of a snapshot as an independent copy."""
    environment = pickle.loads(snapshot)
    assert isinstance(environment, Environment)
    return environment


# --- fingerprints ---

# Attributes that fingerprints leave out, by class.
_EXCLUDED: dict[type, frozenset[str]] = {
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
    # The settings in use determine these, except that `known_names` only selects the figures to list, and the previous
    # classes and tenants expire after the longest give-up time of the previous classes.
    Classes: frozenset(("known_names", "settings", "index_by_name", "tenants", "previous")),
    History: frozenset(("now_us", "notify")),
    Environment: frozenset(("scope", "now_us", "session", "recording")),
}
_PLAIN_TYPES = (str, bytes, type(None), bool, float)
_FIELD_CACHE: dict[type, tuple[str, ...]] = {}  # results of `_included_slots`


def _included_slots(kind: type) -> tuple[str, ...]:
    names = [n for base in reversed(kind.__mro__) for n in base.__dict__.get("__slots__", ())]
    return tuple(n for n in names if n not in _EXCLUDED.get(kind, ()))


class _Encoder:
    """Encodes the objects of one state; `seen` numbers them by id in the order of their first occurrence."""

    def __init__(self, now_us: int) -> None:
        self.now_us = now_us
        self.seen: dict[int, int] = {}

    def encode(self, value: Any) -> Any:
        """Convert a value to what marshal can write, with equal results for equivalent states."""
        kind = type(value)
        if kind is int:
            return value - self.now_us if value > TIME_THRESHOLD_US else (value,)
        if kind in _PLAIN_TYPES:
            return value
        encode = self.encode
        if kind is dict:
            return [(encode(k), encode(v)) for k, v in value.items()]
        if kind is list or kind is tuple or kind.__name__ == "deque":
            return [encode(v) for v in value]
        if isinstance(value, Enum):
            return value.name
        if kind is SetUp:
            return (value.call, value.called, value.wait_ms)
        if kind is i.Settings or kind is i.CallClass:
            shared_index = _SHARED_INDEX.get(id(value))
            return repr(value) if shared_index is None else shared_index
        if (object_id := id(value)) in self.seen:
            return ("seen", self.seen[object_id])
        if kind is set or kind is frozenset:
            return sorted((encode(v) for v in value), key=repr)
        self.seen[object_id] = len(self.seen)
        if isinstance(value, Component):
            # A component refers to all the others. Each is encoded once, by `fingerprint`.
            attributes = vars(value)
            excluded = _EXCLUDED.get(kind, ())
            return [
                (k, encode(v)) for k, v in attributes.items()
                if k not in excluded and not isinstance(v, Component | Core)
            ]  # fmt: skip
        fields = _FIELD_CACHE.get(kind)
        if fields is None:
            fields = _FIELD_CACHE[kind] = _included_slots(kind)
        if fields:
            return [encode(getattr(value, name)) for name in fields]
        excluded = _EXCLUDED.get(kind, ())
        return [(k, encode(v)) for k, v in vars(value).items() if k not in excluded]


def fingerprint(environment: Environment) -> bytes:
    """Return 16 bytes that are equal for equivalent states."""
    encoder = _Encoder(environment.now_us)
    session = environment.session
    module = session.decision_module.controller
    tokens = [(module.timers[k], encoder.encode(k)) for k in module.timers if environment.token_is_live(k)]
    components = [encoder.encode(component) for component in vars(session).values() if isinstance(component, Component)]
    timers = [
        (at - environment.now_us, timer.kind.name, encoder.encode(timer.subject))
        for at, _, timer in sorted(session.timers.heap, key=lambda t: t[:2])
        if environment.timer_is_live(timer)
    ]
    state = (
        components,
        tokens,
        encoder.encode(session.core),
        timers,
        encoder.encode(environment.history),
        encoder.encode(environment),
    )
    return hashlib.blake2b(marshal.dumps(state, 2), digest_size=16).digest()
