"""Ends of calls reach their callers though a connection is stuck, or open with nobody behind it."""

from __future__ import annotations

import unittest

from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, SessionHarness, set_up

END = p.Release(5, p.ReleaseCause.NORMAL)
TOLD_US = SECOND  # from the release by the exchange to the release towards the caller
UNSENT_US = 8 * SECOND  # the same, if no release could be sent


class Ends(unittest.TestCase):
    """Call 5 of the caller on connection 1 stands at exchange 1."""

    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.harness.establish_call(5)

    def connect(self, stream: int, call: int) -> None:
        """Another connection, on which a call stands at exchange 2."""
        harness = self.harness
        harness.submit(s.Accepted(stream))
        harness.deliver(stream, set_up(call, to=2))
        harness.deliver(harness.first_links[2], p.Answer(call, b"yes"))

    def end(self) -> list[tuple[int, p.Message]]:
        return self.harness.deliver(self.harness.first_links[1], END)

    def stick(self, stream: int, call: int) -> None:
        """The peer takes nothing in: a write on its connection does not get through."""
        self.harness.stalled_streams.add(stream)
        self.harness.deliver(stream, p.HealthCheck(call))

    def test_an_end_behind_a_stuck_write_goes_another_way(self) -> None:
        self.connect(2, 6)
        self.stick(1, 99)
        self.end()
        self.assertIn((2, END), self.harness.pass_time(TOLD_US))

    def test_so_does_one_in_a_write_that_is_stuck(self) -> None:
        self.connect(2, 6)
        self.harness.stalled_streams.add(1)
        self.end()
        self.assertIn((2, END), self.harness.pass_time(TOLD_US))

    def test_it_goes_once_for_each_connection_that_is_stuck(self) -> None:
        self.connect(2, 6)
        self.stick(1, 99)
        self.end()
        written = self.harness.pass_time(TOLD_US // 2)
        self.harness.deliver(2, p.ReleaseConfirmed(5))
        written += self.harness.pass_time(TOLD_US // 2)
        self.assertEqual(written.count((2, END)), 1)

    def test_a_connection_that_takes_what_is_written_goes_before_one_that_is_stuck(self) -> None:
        self.connect(2, 6)
        self.connect(3, 7)
        self.harness.deliver(2, p.ReleaseConfirmed(98))  # the latest to have spoken
        for stream in (1, 2):
            self.stick(stream, 99)
        self.end()
        self.assertIn((3, END), self.harness.pass_time(TOLD_US))

    def test_an_end_that_nobody_confirmed_waits_for_another_connection(self) -> None:
        # The only connection may be open with nobody behind it; its caller comes again seconds later.
        for came_us in (SECOND, 3 * SECOND, UNSENT_US - SECOND):
            with self.subTest(came_us=came_us):
                self.setUp()
                self.end()
                self.harness.pass_time(came_us)
                self.connect(2, 6)
                self.assertIn((2, END), self.harness.pass_time(SECOND // 2))

    def test_an_end_that_was_confirmed_waits_for_none(self) -> None:
        self.end()
        self.harness.deliver(1, p.ReleaseConfirmed(5))
        self.harness.pass_time(3 * SECOND)
        self.connect(2, 6)
        self.assertNotIn((2, END), self.harness.pass_time(SECOND))

    def test_nor_does_one_that_is_too_old(self) -> None:
        self.end()
        self.harness.pass_time(UNSENT_US + SECOND)
        self.connect(2, 6)
        self.assertNotIn((2, END), self.harness.pass_time(SECOND))

    def test_a_sweep_does_not_look_for_another_connection_for_each_that_needs_none(self) -> None:
        # With each looked up, the cost of a sweep grew with the square of the connections.
        for stream in range(2, 60):
            self.harness.submit(s.Accepted(stream))
        looked: list[s.Input] = []
        best = self.harness.session.end_notices.best_caller
        self.harness.session.end_notices.best_caller = lambda but=None: looked.append(but) or best(but)  # type: ignore
        self.harness.pass_time(SECOND)
        self.assertEqual(len(looked), 0)

    def test_ends_that_nobody_ever_confirms_are_sent_a_few_times(self) -> None:
        self.connect(2, 6)
        self.end()
        written = [message for _, message in self.harness.pass_time(UNSENT_US)]
        self.assertTrue(1 <= written.count(END) <= limits.MAX_RELEASE_RESENDS, written.count(END))
