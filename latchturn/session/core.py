"""The state that all components share: time, requested effects, queued events, counters and trace."""

from __future__ import annotations

import random
from collections import Counter, deque

from .. import interface as i
from .inputs_and_effects import Effect, Log
from .trace import LOGGED, Trace, TraceEvent, TraceRecord


class Core:
    """The shared state; all components of a `Session` use the same instance."""

    def __init__(self, seed: int, socket_limit: int) -> None:
        self.now = 0  # time of the current step, microseconds
        self.socket_limit = socket_limit  # file descriptors that the process may hold
        self.effects: list[Effect] = []
        self.events: deque[i.Event] = deque()  # not yet passed to the decision module
        self.counters: Counter[str] = Counter()
        self.random = random.Random(seed)
        self.trace = Trace()

    def log(self, text: str) -> None:
        """Ask for a log line."""
        self.effects.append(Log(text))

    def record_event(
        self, event: TraceEvent, *, call: int = 0, exchange: int = 0, stream: int = 0, reason: str = ""
    ) -> None:
        """Add a state change to the trace, and to the log if its kind is in `LOGGED`."""
        record = TraceRecord(self.now, event, call, exchange, stream, reason)
        self.trace.records.append(record)
        if event in LOGGED:
            self.effects.append(Log(record.text()))
