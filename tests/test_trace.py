"""The event trace: each close, retry, refusal and state change is recorded with its ids and its reason."""

from __future__ import annotations

import unittest

from latchturn import protocol as p
from latchturn import session as s
from latchturn.session.trace import TRACE_LENGTH, CloseReason, TraceEvent, TraceRecord

from .helpers import SECOND, Desk, set_up


class Reasons(unittest.TestCase):
    def setUp(self) -> None:
        self.desk = Desk()

    def records(self, event: TraceEvent) -> list[TraceRecord]:
        return [r for r in self.desk.session.core.trace.records if r.event is event]

    def test_a_call_can_be_followed_from_its_set_up_to_its_end(self) -> None:
        desk = self.desk
        desk.stand(5)
        desk.hear(desk.link[1], p.Release(5, p.ReleaseCause.NORMAL))
        followed = [r.event for r in desk.session.core.trace.records if r.call == 5]
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
        desk = self.desk
        desk.hear(1, set_up(5))
        desk.hear(desk.link[1], p.Release(5, p.ReleaseCause.NO_CIRCUIT, "no_circuit"))
        (ended,) = self.records(TraceEvent.ATTEMPT_ENDED)
        self.assertEqual((ended.call, ended.exchange, ended.reason), (5, 101, "TURNED_AWAY"))

    def test_a_refusal_names_its_reason_and_is_counted_by_it(self) -> None:
        self.desk.hear(1, set_up(5, to=9))
        (refused,) = self.records(TraceEvent.CALL_REFUSED)
        self.assertEqual((refused.call, refused.reason), (5, "its destination is not listed as ready"))
        self.assertEqual(self.desk.figure("call_refused.destination_not_ready"), 1)

    def test_close_reasons_distinguish_a_reset_from_an_end(self) -> None:
        for make_input, reason in (
            (s.EndOfInput, CloseReason.PEER_ENDED),
            (s.ConnectionClosed, CloseReason.PEER_RESET),
            (lambda stream: s.MalformedInput(stream, "truncated"), CloseReason.GARBLED),
        ):
            self.desk = Desk()
            self.desk.do(make_input(self.desk.link[1]))
            closed = [r for r in self.records(TraceEvent.LINK_CLOSED) if r.stream == self.desk.link[1]]
            self.assertEqual([(r.exchange, r.reason) for r in closed], [(101, reason.value)])

    def test_calls_that_end_with_their_exchange_are_listed_with_the_length_of_its_silence(self) -> None:
        self.desk.stand(5)
        self.desk.pass_time(SECOND)
        self.desk.session.calls.cut_off(self.desk.session.exchanges.by_id[101], self.desk.now, "is gone")
        (dead,) = self.records(TraceEvent.EXCHANGE_DEAD)
        self.assertIn("last heard 1000 ms ago: 1 standing calls are over: 0000000000000005", dead.reason)

    def test_the_trace_is_bounded(self) -> None:
        for k in range(1, TRACE_LENGTH + 10):
            self.desk.hear(1, p.HealthCheck(k))
            self.desk.session.core.record(TraceEvent.CALL_TAKEN, call=k)
        self.assertEqual(len(self.desk.session.trace_lines()), TRACE_LENGTH)
