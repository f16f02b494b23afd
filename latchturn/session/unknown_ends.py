"""Ends of calls that an exchange reports and this process does not know.

Such a call stood before a restart, and its caller must still get the release; or it belongs to the other process of a
replacement, which knows whether its caller was ever told that it stands. So while another process runs, it is asked
first. Without that, a caller whose call that process has refused, or will refuse, would get a second answer from this
one. If no verdict comes in time, the caller is notified: the end of a call that stands must not be lost.

This component owns the questions that wait for a verdict. It never ends a call of its own process on suspicion.
"""

from __future__ import annotations

from .. import interface as i
from ..protocol import Release, ReleaseCause
from .component import Component
from .inputs_and_effects import AnswerEndReport, AskAboutEnd
from .limits import END_VERDICT_TIMEOUT_US
from .state import Call
from .timers import TimerKind


class UnknownEnds(Component):
    """Finds out whether the caller of an unknown call must be notified of its end."""

    def __init__(self) -> None:
        self.causes: dict[int, int] = {}  # causes of the reported ends that wait for a verdict, by call id

    def reported(self, call_id: int, cause: int) -> None:
        """An exchange has reported the end of a call that is neither in the table nor remembered."""
        if not self.phases.other_descriptors:
            self.notify(call_id, cause)
        elif call_id not in self.causes:
            self.causes[call_id] = cause
            self.core.counters["ends_asked_about"] += 1
            self.core.effects.append(AskAboutEnd(call_id, cause))
            self.timers.set(END_VERDICT_TIMEOUT_US, TimerKind.END_VERDICT, call_id)

    def verdict(self, call_id: int, must_notify: bool) -> None:
        """The other process has said whether the caller must be notified by this one."""
        cause = self.causes.pop(call_id, None)
        if cause is None:
            return
        if must_notify:
            self.notify(call_id, cause)
        else:
            self.calls.remember_ended(call_id, False, True)

    def no_verdict(self, call_id: int) -> None:
        """The other process has not answered in time, or has ended."""
        self.verdict(call_id, must_notify=call_id not in self.calls.ended)

    def other_process_ended(self) -> None:
        """Decide about all questions that wait, after what the other process has handed over."""
        for call_id in list(self.causes):
            self.no_verdict(call_id)

    def notify(self, call_id: int, cause: int) -> None:
        """Send the release of a call that stood to a caller."""
        inherited = self.calls.by_id.get(call_id)
        if inherited is not None:  # handed over by the other process while the question waited
            self._end_standing(inherited, cause)
        else:
            self.calls.remember_ended(call_id, True, True)
        self.end_notices.send(0, Release(call_id, cause))

    def _end_standing(self, call: Call, cause: int) -> None:
        is_normal = cause == ReleaseCause.NORMAL
        self.calls.end_standing(call, i.Outcome.RELEASED if is_normal else i.Outcome.CUT)

    def asked(self, call_id: int, cause: int) -> None:
        """The other process asks about an end that its exchange has reported there.

        If the call stands here, it has ended. Its caller is notified by this process if its connection is open here,
        else by the other one. A call that is open here, or has ended, gets or has got its answer from here.
        """
        call = self.calls.by_id.get(call_id)
        must_notify = call is None and call_id not in self.calls.ended
        if call is not None and call.standing_exchange is not None:
            self._end_standing(call, cause)
            caller = self.callers.by_stream.get(call.caller_stream)
            must_notify = caller is None or caller.finishing
            if not must_notify:
                self.end_notices.send(call.caller_stream, Release(call_id, cause))
        self.core.effects.append(AnswerEndReport(call_id, must_notify))
