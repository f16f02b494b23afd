"""Ends of calls that an exchange reports on connections that are dead on this side (soak seed 24, trial `hung`)."""

from __future__ import annotations

import unittest

from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, SessionHarness, exchange_record, group_state, set_up

END = p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE)
NOTIFY_LIMIT_US = 8 * SECOND  # to notify the caller, from the end of a call that the exchange could not report
PASS_ON_LIMIT_US = SECOND  # to pass on a release that the exchange could send


class CallWithoutLink(unittest.TestCase):
    """Call 5 stands at exchange 1, and the link of its set-up is lost."""

    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.harness.pass_time(SECOND)
        self.harness.establish_call(5)
        self.start_us = self.harness.now
        self.connects_seen = 0  # connects handled by bring_up_links

    def reset_link(self, stream: int) -> None:
        """Have the connection of a link end with a reset."""
        self.harness.submit(s.ConnectionClosed(stream))

    def bring_up_links(self, sends: bool = True) -> list[int]:
        """Bring up the links that are connecting, and return them; a running exchange sends its group state on each."""
        harness, brought_up = self.harness, []
        for connect in harness.connects[self.connects_seen :]:
            link = harness.session.links.by_stream.get(connect.stream)
            if link is not None and not link.up_since_us:
                harness.submit(s.Connected(connect.stream))
                brought_up.append(connect.stream)
                if sends:
                    harness.deliver(connect.stream, group_state(3))
        self.connects_seen = len(harness.connects)
        return brought_up

    def hang(self) -> list[int]:
        """Hang the exchange and reset the link of the set-up; returns the new links, which its listener has queued."""
        self.reset_link(self.harness.first_links[1])
        queued = self.bring_up_links(sends=False)
        self.harness.pass_time(2 * SECOND)
        return queued

    def pass_time(self, until_us: int) -> list[tuple[int, p.Message]]:
        """Let time pass while the exchange runs, its calls go on and links to it come up."""
        written: list[tuple[int, p.Message]] = []
        while self.harness.now < until_us:
            written += self.harness.pass_time_with_reports(SECOND // 10, SECOND // 10)
            self.bring_up_links()
        return written

    def test_a_late_first_message_of_a_hung_exchange_opens_a_recovery_link(self) -> None:
        # It may accept the queued link first, and then report an end on the dead one: only a further link repeats it.
        queued = self.hang()
        self.harness.deliver(queued[0], group_state(3))
        connects = len(self.harness.connects)
        self.harness.pass_time_with_reports(PASS_ON_LIMIT_US, PASS_ON_LIMIT_US // 4)
        self.assertGreater(len(self.harness.connects), connects)

    def test_a_link_reset_by_its_peer_is_followed_by_its_replacement_and_a_recovery_link(self) -> None:
        self.reset_link(self.harness.first_links[1])
        self.bring_up_links()
        connects = len(self.harness.connects)
        self.harness.pass_time_with_reports(PASS_ON_LIMIT_US, PASS_ON_LIMIT_US // 4)
        self.assertEqual(len(self.harness.connects), connects + 1)

    def test_a_call_ends_in_time_if_its_end_may_be_lost_on_a_link_still_in_the_queue(self) -> None:
        queued = self.hang()
        for stream in queued:
            self.reset_link(stream)
        written = self.pass_time(self.start_us + NOTIFY_LIMIT_US)
        self.assertIn((1, END), written)
        released = [m for stream, m in written if stream < 0 and isinstance(m, p.Release)]
        self.assertIn(p.Release(5, p.ReleaseCause.NORMAL), released)  # in case it goes on there

    def test_a_call_ends_in_time_if_its_next_link_is_lost_just_after_its_first_message(self) -> None:
        self.reset_link(self.harness.first_links[1])
        for stream in self.bring_up_links():
            self.reset_link(stream)
        self.assertIn((1, END), self.pass_time(self.start_us + NOTIFY_LIMIT_US))

    def test_a_call_ends_in_time_if_its_own_link_is_lost_after_the_next_one(self) -> None:
        # Soak seed 124: the network dropped both while the exchange hung; the one without any message was closed first.
        harness = self.harness
        harness.pass_time(SECOND)
        self.reset_link(harness.second_links[1])
        for stream in self.bring_up_links(sends=False):
            self.reset_link(stream)
        self.reset_link(harness.first_links[1])
        self.assertIn((1, END), self.pass_time(self.start_us + NOTIFY_LIMIT_US))

    def test_a_call_goes_on_if_its_next_link_has_delivered_its_initial_messages(self) -> None:
        self.reset_link(self.harness.first_links[1])
        streams = self.bring_up_links()
        self.pass_time(self.harness.now + limits.INITIAL_MESSAGES_US)
        for stream in streams:
            self.reset_link(stream)
        self.pass_time(self.start_us + 3 * NOTIFY_LIMIT_US)
        self.assertIn(5, self.harness.session.calls.by_id)

    def test_a_call_whose_own_link_is_up_goes_on_whatever_becomes_of_others(self) -> None:
        self.reset_link(self.harness.second_links[1])
        for stream in self.bring_up_links(sends=False):
            self.reset_link(stream)
        self.pass_time(self.start_us + 3 * NOTIFY_LIMIT_US)
        self.assertIn(5, self.harness.session.calls.by_id)

    def test_a_call_answered_after_the_loss_of_a_queued_link_goes_on(self) -> None:
        for stream in self.hang():
            self.reset_link(stream)
        self.pass_time(self.harness.now + SECOND)
        link = next(stream for stream, message in self.harness.deliver(1, set_up(6)) if isinstance(message, p.SetUp))
        self.harness.deliver(link, p.Answer(6, b"yes"))
        self.reset_link(link)
        self.pass_time(self.start_us + 3 * NOTIFY_LIMIT_US)
        self.assertIn(6, self.harness.session.calls.by_id)

    def test_a_link_that_never_delivers_a_message_while_a_later_one_does_is_closed(self) -> None:
        # Without this, an end reported on that link alone would never be received.
        harness = self.harness
        self.reset_link(harness.first_links[1])
        dropped_by_network = self.bring_up_links(sends=False)
        harness.pass_time(limits.PROBE_AFTER_US + limits.SWEEP_INTERVAL_US)
        later = self.bring_up_links()
        self.assertTrue(later)
        harness.pass_time(SECOND)
        self.assertLessEqual(set(dropped_by_network), set(harness.closed))
        self.assertIn((1, END), self.pass_time(self.start_us + NOTIFY_LIMIT_US))


class SharedAddress(unittest.TestCase):
    """The list holds an exchange that has gone and another one at its address; links to both lead to one process."""

    def setUp(self) -> None:
        self.harness = SessionHarness()
        old, new = exchange_record(1, port=7), exchange_record(2, port=7)
        self.harness.submit(s.ListUpdateReceived(1, p.ListUpdate(2, i.ListKind.FULL, (exchange_record(0), old, new))))
        for connect in self.harness.connects[-2:]:
            self.harness.submit(s.Connected(connect.stream))
            self.harness.deliver(connect.stream, group_state(3))
        self.links = {
            self.harness.session.links.by_stream[c.stream].exchange_id: c.stream for c in self.harness.connects[-2:]
        }
        self.harness.pass_time_with_reports(SECOND)
        (stream, _), *_ = self.harness.deliver(1, set_up(5, to=2))
        self.harness.deliver(stream, p.Answer(5, b"yes"))

    def test_an_end_reported_on_a_link_to_the_other_exchange_ends_the_call(self) -> None:
        self.harness.deliver(self.links[101], p.Release(5, p.ReleaseCause.NORMAL))
        self.assertNotIn(5, self.harness.session.calls.by_id)

    def test_an_end_reported_from_another_address_ends_nothing(self) -> None:
        harness = SessionHarness()
        harness.establish_call(5, to=2)
        harness.deliver(harness.first_links[1], p.Release(5, p.ReleaseCause.NORMAL))
        self.assertIn(5, harness.session.calls.by_id)

    def test_the_end_may_be_lost_on_a_queued_link_to_the_other_exchange(self) -> None:
        harness, test_start_us = self.harness, self.harness.now
        harness.submit(s.EndOfInput(self.links[102]))
        coming = [
            k for k, link in harness.session.links.by_stream.items() if link.exchange_id == 102 and not link.up_since_us
        ]
        for stream in coming:
            harness.submit(s.Connected(stream))
            harness.deliver(stream, group_state(4))
        harness.pass_time_with_reports(SECOND, SECOND // 4)
        lost = next(
            k for k, link in harness.session.links.by_stream.items() if link.exchange_id == 101 and not link.up_since_us
        )
        harness.submit(s.Connected(lost))
        harness.submit(s.ConnectionClosed(lost))
        written = harness.pass_time_with_reports(test_start_us + NOTIFY_LIMIT_US - harness.now, SECOND // 4)
        self.assertIn((1, END), written)


class CallsOfPredecessor(unittest.TestCase):
    """Calls that stood in the preceding process, whose links are closed by now."""

    def test_a_recovery_link_is_opened_on_which_the_end_is_reported_again(self) -> None:
        harness = SessionHarness()
        connects = len(harness.connects)
        harness.submit(s.CallInherited(7, 101))
        harness.pass_time_with_reports(PASS_ON_LIMIT_US, PASS_ON_LIMIT_US // 4)
        self.assertEqual(len(harness.connects), connects + 1)

    def test_an_inherited_call_goes_on_until_its_end_is_reported(self) -> None:
        harness = SessionHarness()
        harness.submit(s.CallInherited(7, 101))
        harness.pass_time_with_reports(3 * NOTIFY_LIMIT_US)
        self.assertIn(7, harness.session.calls.by_id)

    def start_among_hung_exchanges(self) -> tuple[SessionHarness, int]:
        """Start a process; a link to a hung exchange is up and silent."""
        harness = SessionHarness()
        harness.submit(s.ConnectionClosed(harness.second_links[1]))
        stream = harness.connects[-1].stream
        harness.submit(s.Connected(stream))
        return harness, stream

    def test_an_exchange_that_hung_at_the_start_gets_a_recovery_link(self) -> None:
        # It accepts the connections in its queue first, then reports ends on those of the preceding process, now dead.
        harness, stream = self.start_among_hung_exchanges()
        harness.pass_time(3 * SECOND)
        connects = len(harness.connects)
        harness.deliver(stream, group_state(3))
        harness.pass_time_with_reports(PASS_ON_LIMIT_US, PASS_ON_LIMIT_US // 4)
        self.assertEqual(len(harness.connects), connects + 1)

    def test_an_exchange_that_hangs_later_gets_no_recovery_link(self) -> None:
        harness, stream = self.start_among_hung_exchanges()
        harness.pass_time(limits.PREDECESSOR_ENDS_US + 3 * SECOND)
        connects = len(harness.connects)
        harness.deliver(stream, group_state(3))
        harness.pass_time_with_reports(PASS_ON_LIMIT_US, PASS_ON_LIMIT_US // 4)
        self.assertEqual(len(harness.connects), connects)
