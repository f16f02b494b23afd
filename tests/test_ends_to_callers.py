"""Tests that releases reach callers although a connection is stuck, or open without a program that reads from it."""

from __future__ import annotations

import unittest

from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, SessionHarness, set_up

END = p.Release(5, p.ReleaseCause.NORMAL)
RELEASE_LIMIT_US = SECOND  # from the release by the exchange to the release sent to the caller
UNSENT_LIMIT_US = 8 * SECOND  # the same, if no release could be sent


class ReleasesToCallers(unittest.TestCase):
    """Call 5 of the caller on connection 1 stands at exchange 1."""

    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.harness.establish_call(5)

    def connect(self, stream: int, call: int) -> None:
        """Open another connection and establish a call at exchange 2 on it."""
        harness = self.harness
        harness.submit(s.Accepted(stream))
        harness.deliver(stream, set_up(call, to=2))
        harness.deliver(harness.first_links[2], p.Answer(call, b"yes"))

    def end(self) -> list[tuple[int, p.Message]]:
        """Have exchange 1 release call 5."""
        return self.harness.deliver(self.harness.first_links[1], END)

    def stick(self, stream: int, call: int) -> None:
        """Leave a write on a connection incomplete, as if its peer reads nothing."""
        self.harness.stalled_streams.add(stream)
        self.harness.deliver(stream, p.HealthCheck(call))

    def test_a_release_behind_a_stuck_write_is_sent_on_another_connection(self) -> None:
        self.connect(2, 6)
        self.stick(1, 99)
        self.end()
        self.assertIn((2, END), self.harness.pass_time(RELEASE_LIMIT_US))

    def test_a_release_in_a_stuck_write_is_sent_on_another_connection(self) -> None:
        self.connect(2, 6)
        self.harness.stalled_streams.add(1)
        self.end()
        self.assertIn((2, END), self.harness.pass_time(RELEASE_LIMIT_US))

    def test_a_release_is_sent_again_once_for_each_stuck_connection(self) -> None:
        self.connect(2, 6)
        self.stick(1, 99)
        self.end()
        written = self.harness.pass_time(RELEASE_LIMIT_US // 2)
        self.harness.deliver(2, p.ReleaseConfirmed(5))
        written += self.harness.pass_time(RELEASE_LIMIT_US // 2)
        self.assertEqual(written.count((2, END)), 1)

    def test_a_connection_whose_writes_complete_is_preferred_to_a_stuck_one(self) -> None:
        self.connect(2, 6)
        self.connect(3, 7)
        self.harness.deliver(2, p.ReleaseConfirmed(98))  # connection 2 is the last active one
        for stream in (1, 2):
            self.stick(stream, 99)
        self.end()
        self.assertIn((3, END), self.harness.pass_time(RELEASE_LIMIT_US))

    def test_an_unconfirmed_release_is_sent_again_when_another_connection_opens(self) -> None:
        # The only connection may be open although its program is gone. The caller connects again seconds later.
        for reconnect_after_us in (SECOND, 3 * SECOND, UNSENT_LIMIT_US - SECOND):
            with self.subTest(reconnect_after_us=reconnect_after_us):
                self.setUp()
                self.end()
                self.harness.pass_time(reconnect_after_us)
                self.connect(2, 6)
                self.assertIn((2, END), self.harness.pass_time(SECOND // 2))

    def test_a_confirmed_release_is_not_sent_again(self) -> None:
        self.end()
        self.harness.deliver(1, p.ReleaseConfirmed(5))
        self.harness.pass_time(3 * SECOND)
        self.connect(2, 6)
        self.assertNotIn((2, END), self.harness.pass_time(SECOND))

    def test_a_release_that_is_too_old_is_not_sent_again(self) -> None:
        self.end()
        self.harness.pass_time(UNSENT_LIMIT_US + SECOND)
        self.connect(2, 6)
        self.assertNotIn((2, END), self.harness.pass_time(SECOND))

    def test_a_sweep_compares_connections_only_for_those_with_releases_to_resend(self) -> None:
        # A comparison for every connection makes the cost of a sweep grow with the square of their number.
        for stream in range(2, 60):
            self.harness.submit(s.Accepted(stream))
        comparisons: list[s.Input] = []
        best = self.harness.session.end_notices.best_caller
        self.harness.session.end_notices.best_caller = lambda other=None: comparisons.append(other) or best(other)  # type: ignore
        self.harness.pass_time(SECOND)
        self.assertEqual(len(comparisons), 0)

    def test_a_release_that_is_never_confirmed_is_sent_a_limited_number_of_times(self) -> None:
        self.connect(2, 6)
        self.end()
        written = [message for _, message in self.harness.pass_time(UNSENT_LIMIT_US)]
        self.assertTrue(1 <= written.count(END) <= limits.MAX_RELEASE_RESENDS, written.count(END))
