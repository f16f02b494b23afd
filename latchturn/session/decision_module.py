"""The adapter to the decision module: passes events to `brain.Controller` and carries out its actions."""

from __future__ import annotations

from .. import interface as i
from ..brain import Controller
from ..protocol import Release, ReleaseCause
from .component import Component
from .timers import TimerKind
from .trace import TraceEvent


class DecisionModule(Component):
    """The adapter around one `Controller`."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.controller = Controller(settings, seed)

    def decide(self, event: i.Event) -> None:
        """Pass one event to the decision module and carry out the actions that it returns."""
        for action in self.controller.handle(self.core.now, event):
            if isinstance(action, i.SendSetup):
                self.attempts.begin(action)
            elif isinstance(action, i.Refuse):
                self.record_final(TraceEvent.CALL_REFUSED, action)
                retry_after_ms = -(-action.retry_after_us // 1000)
                self.calls.send_final_answer(
                    action.call, Release(action.call, ReleaseCause.CONGESTION, retry_after_ms=retry_after_ms)
                )
            elif isinstance(action, i.Fail):
                self.record_final(TraceEvent.CALL_FAILED, action)
                self.calls.send_final_answer(action.call, Release(action.call, ReleaseCause.TEMPORARY_FAILURE))
            elif isinstance(action, i.SetTimer):
                self.timers.set(action.delay_us, TimerKind.DECISION_MODULE, action.token)
            elif isinstance(action, i.Log):
                self.core.log(action.text)
            # SubscribeToList needs no action: the command channel is always connected.

    def record_final(self, event: TraceEvent, action: i.Refuse | i.Fail) -> None:
        """Record and count why the decision module refuses or fails a call."""
        self.core.counters[f"{event.name.lower()}.{action.reason.name.lower()}"] += 1
        self.core.record_event(event, call=action.call, reason=action.reason.value)
