"""The decision module: hears events, and its actions are carried out."""

from __future__ import annotations

from .. import interface as i
from ..brain import Controller
from ..protocol import Release, ReleaseCause
from .component import Component
from .timers import TimerKind
from .trace import TraceEvent


class DecisionModule(Component):
    """The decision module: hears events, and its actions are carried out."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.controller = Controller(settings, seed)

    def decide(self, event: i.Event) -> None:
        for action in self.controller.handle(self.core.now, event):
            if isinstance(action, i.SendSetup):
                self.attempts.begin(action)
            elif isinstance(action, i.Refuse):
                self.record_final(TraceEvent.CALL_REFUSED, action)
                stay_ms = -(-action.retry_after_us // 1000)
                self.calls.send_final_answer(
                    action.call, Release(action.call, ReleaseCause.CONGESTION, retry_after_ms=stay_ms)
                )
            elif isinstance(action, i.Fail):
                self.record_final(TraceEvent.CALL_FAILED, action)
                self.calls.send_final_answer(action.call, Release(action.call, ReleaseCause.TEMPORARY_FAILURE))
            elif isinstance(action, i.SetTimer):
                self.timers.set(action.delay_us, TimerKind.DECISION_MODULE, action.token)
            elif isinstance(action, i.Log):
                self.core.log(action.text)
            # SubscribeToList asks for nothing: the command channel is always followed.

    def record_final(self, event: TraceEvent, action: i.Refuse | i.Fail) -> None:
        """Record and count why the module turns a call down."""
        self.core.counters[f"{event.name.lower()}.{action.reason.name.lower()}"] += 1
        self.core.record(event, call=action.call, reason=action.reason.value)
