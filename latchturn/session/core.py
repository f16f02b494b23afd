"""What all parts share: the moment, the effects asked for, the events for the module, the counters, the trace."""

from __future__ import annotations

import random
from collections import Counter, deque

from .. import interface as i
from .inputs_and_effects import Effect, Log
from .trace import LOGGED, Trace, TraceEvent, TraceRecord


class Core:
    """The moment, the effects asked for in this step, the events for the module, counters and trace."""

    def __init__(self, seed: int, socket_limit: int) -> None:
        self.now = 0
        self.socket_limit = socket_limit  # descriptors that the process may hold
        self.effects: list[Effect] = []
        self.events: deque[i.Event] = deque()  # on their way to the module
        self.counters: Counter[str] = Counter()
        self.random = random.Random(seed)
        self.trace = Trace()

    def log(self, text: str) -> None:
        self.effects.append(Log(text))

    def record(self, event: TraceEvent, *, call: int = 0, exchange: int = 0, stream: int = 0, reason: str = "") -> None:
        """Record a state change; those that are few are log lines too."""
        record = TraceRecord(self.now, event, call, exchange, stream, reason)
        self.trace.records.append(record)
        if event in LOGGED:
            self.effects.append(Log(record.text()))
