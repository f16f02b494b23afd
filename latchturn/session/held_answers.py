"""Answers whose last bytes may belong to the next message on their link (see `boundaries`).

Such an answer is neither passed on nor dropped at once. The next message on the link shows that the answer is whole; if
it is not, malformed input follows and the link is closed, which ends the attempt. Without any further byte it counts as
whole after `ANSWER_HOLD_US`, or when its attempt would time out or the exchange ends the link.
"""

from __future__ import annotations

from ..protocol import Answer
from .component import Component
from .limits import ANSWER_HOLD_US
from .state import Link
from .timers import TimerKind


class HeldAnswers(Component):
    """Keeps at most one answer for each link; it is lost with its link."""

    def hold(self, link: Link, answer: Answer) -> None:
        """Keep the answer that was received last on a link."""
        link.held_answer = answer
        self.core.counters["answers_held"] += 1
        link.answer_hold_timer = self.timers.set(ANSWER_HOLD_US, TimerKind.ANSWER_HOLD, link)

    def release(self, link: Link) -> None:
        """Handle the kept answer of a link, if there is one, as a whole one."""
        answer, link.held_answer = link.held_answer, None
        self.timers.cancel(link.answer_hold_timer)
        link.answer_hold_timer = None
        if answer is not None:
            self.exchanges.answer_received(self.exchanges.by_id[link.exchange_id], link, answer)

    def release_without_evidence(self, link: Link) -> None:
        """Handle the kept answer of a link as a whole one, unless part of a message has followed it.

        That part may be the rest of the message that begins within the answer. It is completed, or
        `Links.partial_message_timeout` closes the link.
        """
        if not link.partial_since_us:
            self.release(link)
