"""Ends of calls that an exchange tells on connections where nobody hears them (soak seed 24, trial `hung`)."""

from __future__ import annotations

import unittest

from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, Desk, group_state, listed, set_up

CUT = p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE)
TOLD_US = 8 * SECOND  # from the end of a call that no release could tell of
SOON_US = SECOND  # a release that the exchange could send is passed on so soon


class Stranded(unittest.TestCase):
    """Call 5 stands at exchange 1, and the link of its set-up is lost."""

    def setUp(self) -> None:
        self.desk = Desk()
        self.desk.pass_time(SECOND)
        self.desk.stand(5)
        self.began = self.desk.now
        self.answered = 0

    def lose(self, stream: int) -> None:
        self.desk.do(s.ConnectionClosed(stream))

    def come_up(self, speaks: bool = True) -> list[int]:
        """Have the links come up that have been asked for; an exchange that runs speaks first on each."""
        desk, asked = self.desk, []
        for connect in desk.connects[self.answered :]:
            link = desk.session.links.by_stream.get(connect.stream)
            if link is not None and not link.up_since_us:
                desk.do(s.Connected(connect.stream))
                asked.append(connect.stream)
                if speaks:
                    desk.hear(connect.stream, group_state(3))
        self.answered = len(desk.connects)
        return asked

    def hang(self) -> list[int]:
        """The exchange hangs, and the link of the set-up is reset; the links in its queue, which come up silent."""
        self.lose(self.desk.link[1])
        queued = self.come_up(speaks=False)
        self.desk.pass_time(2 * SECOND)
        return queued

    def pass_time(self, until_us: int) -> list[tuple[int, p.Message]]:
        """Let time pass while the exchange runs, its calls go on and its links come up."""
        written: list[tuple[int, p.Message]] = []
        while self.desk.now < until_us:
            written += self.desk.pass_time_in_touch(SECOND // 10, SECOND // 10)
            self.come_up()
        return written

    def test_an_exchange_that_hung_is_given_another_link_after_its_late_first_word(self) -> None:
        # It may take the queued link first, and tell an end on the dead one after it: only a further link tells it.
        queued = self.hang()
        self.desk.hear(queued[0], group_state(3))
        connects = len(self.desk.connects)
        self.desk.pass_time_in_touch(SOON_US, SOON_US // 4)
        self.assertGreater(len(self.desk.connects), connects)

    def test_a_link_reset_by_its_peer_is_followed_by_one_more_than_the_one_in_its_place(self) -> None:
        self.lose(self.desk.link[1])
        self.come_up()
        connects = len(self.desk.connects)
        self.desk.pass_time_in_touch(SOON_US, SOON_US // 4)
        self.assertEqual(len(self.desk.connects), connects + 1)

    def test_a_call_that_may_have_been_told_over_on_a_link_lost_in_the_queue_ends_in_time(self) -> None:
        queued = self.hang()
        for stream in queued:
            self.lose(stream)
        written = self.pass_time(self.began + TOLD_US)
        self.assertIn((1, CUT), written)
        released = [m for stream, m in written if stream < 0 and isinstance(m, p.Release)]
        self.assertIn(p.Release(5, p.ReleaseCause.NORMAL), released)  # should it go on there

    def test_so_does_one_whose_next_link_was_lost_just_after_its_first_word(self) -> None:
        self.lose(self.desk.link[1])
        for stream in self.come_up():
            self.lose(stream)
        self.assertIn((1, CUT), self.pass_time(self.began + TOLD_US))

    def test_so_does_one_whose_own_link_is_found_dead_after_the_next_one_was_lost(self) -> None:
        # Soak seed 124: both were forgotten while the exchange hung; the one that never spoke was closed first.
        desk = self.desk
        desk.pass_time(SECOND)
        self.lose(desk.second[1])
        for stream in self.come_up(speaks=False):
            self.lose(stream)
        self.lose(desk.link[1])
        self.assertIn((1, CUT), self.pass_time(self.began + TOLD_US))

    def test_a_call_goes_on_whose_next_link_brought_all_that_comes_first(self) -> None:
        self.lose(self.desk.link[1])
        streams = self.come_up()
        self.pass_time(self.desk.now + limits.INITIAL_MESSAGES_US)
        for stream in streams:
            self.lose(stream)
        self.pass_time(self.began + 3 * TOLD_US)
        self.assertIn(5, self.desk.session.calls.by_id)

    def test_a_call_whose_own_link_is_up_goes_on_whatever_becomes_of_others(self) -> None:
        self.lose(self.desk.second[1])
        for stream in self.come_up(speaks=False):
            self.lose(stream)
        self.pass_time(self.began + 3 * TOLD_US)
        self.assertIn(5, self.desk.session.calls.by_id)

    def test_a_call_that_came_to_stand_after_such_a_loss_goes_on(self) -> None:
        for stream in self.hang():
            self.lose(stream)
        self.pass_time(self.desk.now + SECOND)
        link = next(stream for stream, message in self.desk.hear(1, set_up(6)) if isinstance(message, p.SetUp))
        self.desk.hear(link, p.Answer(6, b"yes"))
        self.lose(link)
        self.pass_time(self.began + 3 * TOLD_US)
        self.assertIn(6, self.desk.session.calls.by_id)

    def test_a_link_that_never_speaks_while_a_later_one_does_is_closed(self) -> None:
        # Else the end that was told on it alone would wait for it.
        desk = self.desk
        self.lose(desk.link[1])
        forgotten = self.come_up(speaks=False)
        desk.pass_time(limits.PROBE_AFTER_US + limits.SWEEP_INTERVAL_US)
        later = self.come_up()
        self.assertTrue(later)
        desk.pass_time(SECOND)
        self.assertLessEqual(set(forgotten), set(desk.closed))
        self.assertIn((1, CUT), self.pass_time(self.began + TOLD_US))


class OneAddress(unittest.TestCase):
    """The list holds an exchange that has gone, and another at its address: the links to both lead to one process."""

    def setUp(self) -> None:
        self.desk = Desk()
        old, new = listed(1, port=7), listed(2, port=7)
        self.desk.do(s.ListUpdateReceived(p.ListUpdate(2, i.ListKind.FULL, (listed(0), old, new))))
        for connect in self.desk.connects[-2:]:
            self.desk.do(s.Connected(connect.stream))
            self.desk.hear(connect.stream, group_state(3))
        self.links = {
            self.desk.session.links.by_stream[c.stream].exchange_id: c.stream for c in self.desk.connects[-2:]
        }
        self.desk.pass_time_in_touch(SECOND)
        (stream, _), *_ = self.desk.hear(1, set_up(5, to=2))
        self.desk.hear(stream, p.Answer(5, b"yes"))

    def test_an_end_told_on_a_link_to_the_other_is_the_end(self) -> None:
        self.desk.hear(self.links[101], p.Release(5, p.ReleaseCause.NORMAL))
        self.assertNotIn(5, self.desk.session.calls.by_id)

    def test_an_end_told_by_an_exchange_at_another_address_is_none(self) -> None:
        desk = Desk()
        desk.stand(5, to=2)
        desk.hear(desk.link[1], p.Release(5, p.ReleaseCause.NORMAL))
        self.assertIn(5, desk.session.calls.by_id)

    def test_a_link_to_the_other_that_is_lost_in_the_queue_may_have_been_told_the_end(self) -> None:
        desk, began_us = self.desk, self.desk.now
        desk.do(s.EndOfInput(self.links[102]))
        coming = [
            k for k, link in desk.session.links.by_stream.items() if link.exchange_id == 102 and not link.up_since_us
        ]
        for stream in coming:
            desk.do(s.Connected(stream))
            desk.hear(stream, group_state(4))
        desk.pass_time_in_touch(SECOND, SECOND // 4)
        lost = next(
            k for k, link in desk.session.links.by_stream.items() if link.exchange_id == 101 and not link.up_since_us
        )
        desk.do(s.Connected(lost))
        desk.do(s.ConnectionClosed(lost))
        written = desk.pass_time_in_touch(began_us + TOLD_US - desk.now, SECOND // 4)
        self.assertIn((1, CUT), written)


class Inherited(unittest.TestCase):
    """Calls that stood in the process before this one, whose links are closed by now."""

    def test_a_link_is_opened_on_which_its_end_is_told_again(self) -> None:
        desk = Desk()
        connects = len(desk.connects)
        desk.do(s.CallInherited(7, 101))
        desk.pass_time_in_touch(SOON_US, SOON_US // 4)
        self.assertEqual(len(desk.connects), connects + 1)

    def test_it_goes_on_until_its_end(self) -> None:
        desk = Desk()
        desk.do(s.CallInherited(7, 101))
        desk.pass_time_in_touch(3 * TOLD_US)
        self.assertIn(7, desk.session.calls.by_id)

    def start_among_hung_exchanges(self) -> tuple[Desk, int]:
        """A process has just started; a link to an exchange that hangs is up and silent."""
        desk = Desk()
        desk.do(s.ConnectionClosed(desk.second[1]))
        stream = desk.connects[-1].stream
        desk.do(s.Connected(stream))
        return desk, stream

    def test_an_exchange_that_hung_as_the_process_started_is_given_another_link(self) -> None:
        # It takes the connections in its queue first, then tells ends on those of the process before, which are dead.
        desk, stream = self.start_among_hung_exchanges()
        desk.pass_time(3 * SECOND)
        connects = len(desk.connects)
        desk.hear(stream, group_state(3))
        desk.pass_time_in_touch(SOON_US, SOON_US // 4)
        self.assertEqual(len(desk.connects), connects + 1)

    def test_one_that_hangs_later_has_no_calls_of_that_process(self) -> None:
        desk, stream = self.start_among_hung_exchanges()
        desk.pass_time(limits.PREDECESSOR_ENDS_US + 3 * SECOND)
        connects = len(desk.connects)
        desk.hear(stream, group_state(3))
        desk.pass_time_in_touch(SOON_US, SOON_US // 4)
        self.assertEqual(len(desk.connects), connects)
