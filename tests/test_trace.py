"""The event trace: each close, retry, refusal and state change is recorded with its ids and its reason."""

from __future__ import annotations

import unittest

from latchturn import protocol as p
from latchturn import session as s
from latchturn.session.trace import TRACE_LENGTH, CloseReason, TraceEvent, TraceRecord

from .helpers import SECOND, SessionHarness, set_up


class Reasons(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = SessionHarness()

    def records(self, event: TraceEvent) -> list[TraceRecord]:
        return [r for r in self.harness.session.core.trace.records if r.event is event]

    def test_a_call_can_be_followed_from_its_set_up_to_its_end(self) -> None:
        harness = self.harness
        harness.establish_call(5)
        harness.deliver(harness.first_links[1], p.Release(5, p.ReleaseCause.NORMAL))
        followed = [r.event for r in harness.session.core.trace.records if r.call == 5]
        self.assertEqual(
            followed,
            [
                TraceEvent.CALL_TAKEN,
                TraceEvent.ATTEMPT_SENT,
                TraceEvent.CALL_ANSWERED,
                TraceEvent.CALL_ENDED,
                TraceEvent.RELEASE_SENT,
            ],
        )

    def test_a_retry_names_its_exchange_and_its_outcome(self) -> None:
        harness = self.harness
        harness.deliver(1, set_up(5))
        harness.deliver(harness.first_links[1], p.Release(5, p.ReleaseCause.NO_CIRCUIT, "no_circuit"))
        (ended,) = self.records(TraceEvent.ATTEMPT_ENDED)
        self.assertEqual((ended.call, ended.exchange, ended.reason), (5, 101, "TURNED_AWAY"))

    def test_a_refusal_names_its_reason_and_is_counted_by_it(self) -> None:
        self.harness.deliver(1, set_up(5, to=9))
        (refused,) = self.records(TraceEvent.CALL_REFUSED)
        self.assertEqual((refused.call, refused.reason), (5, "its destination is not listed as ready"))
        self.assertEqual(self.harness.figure("call_refused.destination_not_ready"), 1)

    def test_close_reasons_distinguish_a_reset_from_an_end(self) -> None:
        for make_input, reason in (
            (s.EndOfInput, CloseReason.PEER_ENDED),
            (s.ConnectionClosed, CloseReason.PEER_RESET),
            (lambda stream: s.MalformedInput(stream, "truncated"), CloseReason.GARBLED),
        ):
            self.harness = SessionHarness()
            self.harness.submit(make_input(self.harness.first_links[1]))
            closed = [r for r in self.records(TraceEvent.LINK_CLOSED) if r.stream == self.harness.first_links[1]]
            self.assertEqual([(r.exchange, r.reason) for r in closed], [(101, reason.value)])

    def test_calls_that_end_with_their_exchange_are_listed_with_its_silence(self) -> None:
        self.harness.establish_call(5)
        self.harness.pass_time(SECOND)
        self.harness.session.calls.cut_off(self.harness.session.exchanges.by_id[101], self.harness.now, "is gone")
        (dead,) = self.records(TraceEvent.EXCHANGE_DEAD)
        self.assertIn("last message 1000 ms ago: 1 standing calls ended: 0000000000000005", dead.reason)

    def test_the_trace_is_bounded(self) -> None:
        for k in range(1, TRACE_LENGTH + 10):
            self.harness.deliver(1, p.HealthCheck(k))
            self.harness.session.core.record_event(TraceEvent.CALL_TAKEN, call=k)
        self.assertEqual(len(self.harness.session.trace_lines()), TRACE_LENGTH)
