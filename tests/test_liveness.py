"""The failure detector: which evidence ends the calls of an exchange that does not report their end, and which does
not."""

from __future__ import annotations

import unittest

from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits
from latchturn.session.trace import TraceEvent

from .helpers import SECOND, Desk, group_state, listed, set_up

END = p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE)
NOTIFY_LIMIT_US = 8 * SECOND  # to notify the caller, from the end of a call that its exchange cannot report
MIN_SILENCE_US = 6 * SECOND  # the calls of an exchange that has been silent for less must go on


class SilentExchange(unittest.TestCase):
    """Call 5 stands at exchange 1, which sends nothing any more."""

    def setUp(self) -> None:
        self.desk = Desk()
        self.desk.stand(5)
        self.start_us = self.desk.now

    def notified_after_us(
        self, connects: s.Connected | None = None, attempts: bool = False, refused: bool = False
    ) -> int:
        """Time until the caller of call 5 is notified of its end, -1 if never.

        All links that are opened to exchange 1 come up without a message, or are refused, or time out; with `attempts`,
        further calls are set up there.
        """
        desk, handled, call = self.desk, len(self.desk.connects), 100
        while desk.now < self.start_us + 12 * SECOND:
            written = desk.pass_time(50_000)
            if attempts and desk.now % 500_000 < 50_000:
                call += 1
                written += desk.hear(1, set_up(call))
            for connect in desk.connects[handled:]:
                stream = connect.stream
                if self.desk.session.links.by_stream[stream].exchange_id == 102:
                    desk.do(s.Connected(stream))
                    desk.hear(stream, group_state(20))
                elif connects is not None:
                    desk.do(s.Connected(stream))
                elif connect.timeout_us and desk.now % 500_000 < 50_000:
                    written += desk.do(s.ConnectFailed(stream, refused))
                else:
                    break
                handled += 1
            self.desk.hear(desk.second[2], group_state(desk.now // 50_000 % 20))
            if (1, END) in written:
                return desk.now - self.start_us
        return -1

    def test_open_links_without_messages_are_no_proof_of_life(self) -> None:
        self.assertTrue(MIN_SILENCE_US < self.notified_after_us() < NOTIFY_LIMIT_US)

    def test_written_set_ups_and_successful_connects_are_no_proof_of_life(self) -> None:
        for connects in (None, s.Connected(0)):
            for attempts in (False, True):
                self.setUp()
                notified_us = self.notified_after_us(connects, attempts)
                self.assertTrue(MIN_SILENCE_US < notified_us < NOTIFY_LIMIT_US, f"{connects} {attempts}: {notified_us}")

    def test_lost_links_are_no_proof_of_life(self) -> None:
        for stream in (self.desk.link[1], self.desk.second[1]):
            self.desk.pass_time(2 * SECOND)
            self.desk.do(s.EndOfInput(stream))
        self.assertTrue(MIN_SILENCE_US < self.notified_after_us() < NOTIFY_LIMIT_US)

    def test_a_silent_exchange_that_refuses_links_counts_as_dead(self) -> None:
        notified_us = self.notified_after_us(refused=True)
        self.assertTrue(limits.PROBE_AFTER_US <= notified_us < NOTIFY_LIMIT_US, notified_us)

    def test_the_silence_limit_counts_from_the_last_message_for_a_call_answered_earlier(self) -> None:
        desk = self.desk
        desk.pass_time_in_touch(3 * SECOND)
        self.start_us = desk.now
        self.assertTrue(MIN_SILENCE_US < self.notified_after_us() < NOTIFY_LIMIT_US)

    def test_a_call_that_is_ended_here_is_released_at_its_exchange_once_a_link_is_up(self) -> None:
        desk = self.desk
        self.notified_after_us()
        desk.pass_time(5 * SECOND)
        waiting = [c.stream for c in desk.connects if c.stream in desk.session.links.by_stream]
        waiting = [k for k in waiting if desk.session.links.by_stream[k].exchange_id == 101]
        written = [m for k in waiting if not desk.session.links.by_stream[k].up for m in desk.do(s.Connected(k))]
        self.assertIn(p.Release(5, p.ReleaseCause.NORMAL), [message for _, message in written])


class LiveExchange(unittest.TestCase):
    """Call 5 stands at exchange 1 and goes on."""

    def setUp(self) -> None:
        self.desk = Desk()
        self.desk.stand(5)

    def stands(self) -> bool:
        return 5 in self.desk.session.calls.by_id

    def test_a_quiet_exchange_that_answers_probes_keeps_its_calls(self) -> None:
        desk, handled = self.desk, len(self.desk.connects)
        for _ in range(400):
            desk.pass_time(50_000)
            for connect in desk.connects[handled:]:
                desk.do(s.Connected(connect.stream))
                desk.hear(connect.stream, group_state(12))
            handled = len(desk.connects)
        self.assertTrue(self.stands())
        quiet = [r for r in desk.session.core.trace.records if r.event is TraceEvent.EXCHANGE_QUIET]
        self.assertGreaterEqual(len([r for r in quiet if r.exchange == 101]), 3)

    def test_a_busy_exchange_is_not_probed(self) -> None:
        connects = len(self.desk.connects)
        self.desk.pass_time_in_touch(20 * SECOND)
        self.assertEqual((len(self.desk.connects), self.stands()), (connects, True))

    def test_calls_go_on_after_an_outage_if_a_link_from_before_delivers_a_message(self) -> None:
        desk = self.desk
        desk.pass_time(limits.PROBE_AFTER_US + limits.SWEEP_INTERVAL_US)
        desk.do(s.ConnectFailed(desk.connects[-1].stream, False))
        desk.pass_time(SECOND)
        old_link = desk.link[1]
        new = desk.connects[-1].stream
        desk.do(s.Connected(new))
        desk.hear(new, group_state(7))
        desk.hear(old_link, group_state(7))
        desk.pass_time_in_touch(10 * SECOND)
        self.assertTrue(self.stands())

    def test_a_connect_is_proof_of_life_for_an_exchange_without_group_states(self) -> None:
        desk = self.desk
        desk.session.exchanges.by_id[101].sends_group_states = False
        handled = len(desk.connects)
        for _ in range(400):
            desk.pass_time(50_000)
            for connect in desk.connects[handled:]:
                desk.do(s.Connected(connect.stream))
            handled = len(desk.connects)
        self.assertTrue(self.stands())

    def test_a_draining_exchange_may_end_some_links_and_send_on_others(self) -> None:
        desk = self.desk
        desk.do(s.ListUpdateReceived(p.ListUpdate(2, i.ListKind.CHANGES, (listed(1, state=i.ListState.DRAINING),))))
        desk.do(s.EndOfInput(desk.link[1]))
        desk.do(s.ConnectFailed(desk.connects[-1].stream, True))
        for k in range(40):
            desk.pass_time(SECOND // 4)
            desk.hear(desk.second[1], group_state(k % 9))
        self.assertTrue(self.stands())

    def test_ends_that_may_be_lost_on_a_closed_link_are_received_on_a_recovery_link(self) -> None:
        desk = self.desk
        desk.do(s.PartialMessage(desk.link[1], True))
        desk.pass_time(limits.LINK_PARTIAL_TIMEOUT_US)
        self.assertEqual(desk.closed, [desk.link[1]])
        desk.do(s.Connected(desk.connects[-1].stream))
        desk.hear(desk.connects[-1].stream, group_state(3))
        connects = len(desk.connects)
        desk.pass_time_in_touch(SECOND // 2)
        self.assertEqual(len(desk.connects), connects + 1)  # besides the one that replaced the closed link
        desk.do(s.Connected(desk.connects[-1].stream))
        desk.hear(desk.connects[-1].stream, group_state(3))  # the first thing sent on each new link
        desk.pass_time_in_touch(4 * SECOND)
        self.assertEqual(len(desk.connects), connects + 1)
        desk.pass_time_in_touch(SECOND)
        self.assertEqual(
            len(desk.connects), connects + 2
        )  # a further one each RECOVERY_INTERVAL_US while the call stands
        desk.do(s.Connected(desk.connects[-1].stream))
        desk.hear(desk.connects[-1].stream, p.Release(5, p.ReleaseCause.NORMAL))
        self.assertFalse(self.stands())
        desk.pass_time_in_touch(12 * SECOND)
        self.assertEqual(len(desk.connects), connects + 2)

    def test_recovery_links_do_not_close_links_and_so_cause_more_recovery_links(self) -> None:
        # Without this rule, links were closed four times a second in a long run, each to make room for the next one.
        desk = self.desk
        for k in range(3):
            desk.stand(10 + k)
        desk.do(s.PartialMessage(desk.link[1], True))
        connects, handled = len(desk.connects), len(desk.connects)
        for _ in range(60):
            desk.pass_time_in_touch(SECOND // 4, SECOND // 4)
            for connect in desk.connects[handled:]:
                desk.do(s.Connected(connect.stream))
                desk.hear(connect.stream, group_state(3))
            handled = len(desk.connects)
        self.assertLessEqual(handled - connects, 5)  # in 15 s: the replacement of the closed link, and one each 5 s

    def test_a_link_that_receives_each_group_state_a_little_later_is_not_closed(self) -> None:
        desk = self.desk
        first, second = desk.link[1], desk.second[1]
        desk.hear(first, group_state(5))
        desk.hear(second, group_state(5))
        desk.pass_time(2 * SECOND - 1)
        desk.hear(second, group_state(6))
        desk.pass_time(2)  # a sweep runs between the two
        desk.hear(first, group_state(6))
        self.assertEqual(desk.closed, [])

    def test_the_first_group_state_on_a_new_link_is_not_expected_on_the_others(self) -> None:
        desk = self.desk
        desk.do(s.ConnectionClosed(desk.second[1]))
        new = desk.connects[-1].stream
        desk.do(s.Connected(new))
        desk.hear(new, group_state(6))
        desk.pass_time(SECOND)
        desk.hear(new, p.Progress(5))
        desk.pass_time(limits.SWEEP_INTERVAL_US)
        self.assertEqual(desk.closed, [])

    def test_a_hung_exchange_keeps_its_links_though_set_ups_time_out_on_them(self) -> None:
        desk = self.desk
        for call in range(20, 26):
            desk.hear(1, set_up(call))
            desk.pass_time(700_000)
        self.assertLessEqual({desk.link[1], desk.second[1]}, set(desk.session.links.by_stream))
        desk.hear(desk.link[1], p.Release(5, p.ReleaseCause.NORMAL))
        self.assertFalse(self.stands())


class ReplacedExchange(unittest.TestCase):
    """Another process takes over the address of exchange 1, and discovery does not report it."""

    def setUp(self) -> None:
        self.desk = Desk()
        self.desk.stand(5)
        self.old = (self.desk.link[1], self.desk.second[1])

    def test_a_reset_of_all_links_in_use_ends_the_calls_though_connects_succeed(self) -> None:
        desk = self.desk
        written = [message for stream in self.old for message in desk.do(s.ConnectionClosed(stream))]
        self.assertIn((1, END), written)

    def reset_all_after_silence(self) -> None:
        """Reset all links some time after the last message; the process behind the new links sends at once."""
        self.start_us = self.desk.now
        self.desk.pass_time(2 * SECOND)
        for stream in self.old:
            self.desk.do(s.ConnectionClosed(stream))
        self.bring_up_links()

    def bring_up_links(self) -> None:
        for stream, link in list(self.desk.session.links.by_stream.items()):
            if not link.up_since_us:
                self.desk.do(s.Connected(stream))
                self.desk.hear(stream, group_state(9))

    def pass_time_with_new_links(self, until_us: int) -> list[tuple[int, p.Message]]:
        written: list[tuple[int, p.Message]] = []
        while self.desk.now < until_us:
            written += self.desk.pass_time_in_touch(SECOND // 10, SECOND // 10)
            self.bring_up_links()
        return written

    def test_a_reset_of_all_links_after_a_silence_ends_the_calls_in_time_though_new_links_respond(self) -> None:
        # Soak seed 25: a machine vanished, and another one had its address before any connect had failed.
        desk = self.desk
        self.reset_all_after_silence()
        (stream, _), *_ = desk.hear(1, set_up(6))
        desk.hear(stream, p.Answer(6, b"yes"))
        self.assertIn((1, END), self.pass_time_with_new_links(self.start_us + NOTIFY_LIMIT_US))
        self.pass_time_with_new_links(self.start_us + 3 * NOTIFY_LIMIT_US)
        self.assertIn(6, desk.session.calls.by_id)  # it stands at the new process

    def test_a_reported_end_of_an_earlier_call_shows_that_the_process_is_the_same(self) -> None:
        desk = self.desk
        desk.stand(7)
        self.reset_all_after_silence()
        new = next(k for k, link in desk.session.links.by_stream.items() if link.exchange_id == 101)
        desk.hear(new, p.Release(7, p.ReleaseCause.NORMAL))
        self.pass_time_with_new_links(self.start_us + 3 * NOTIFY_LIMIT_US)
        self.assertIn(5, desk.session.calls.by_id)

    def test_resets_of_single_links_end_no_call(self) -> None:
        desk = self.desk
        desk.do(s.ConnectionClosed(self.old[0]))
        desk.do(s.Connected(desk.connects[-1].stream))
        desk.do(s.ConnectionClosed(self.old[1]))
        self.assertIn(5, desk.session.calls.by_id)

    def new_link_after_outage(self) -> list[tuple[int, p.Message]]:
        """Let connects fail for a time, then bring up a new link and receive a message on it."""
        desk = self.desk
        desk.pass_time(limits.PROBE_AFTER_US + limits.SWEEP_INTERVAL_US)
        desk.do(s.ConnectFailed(desk.connects[-1].stream, False))
        desk.pass_time(limits.PROBE_INTERVAL_US + limits.SWEEP_INTERVAL_US)
        self.new = desk.connects[-1].stream
        return desk.do(s.Connected(self.new)) + desk.hear(self.new, group_state(40))

    def test_a_message_on_a_new_link_after_an_outage_ends_the_calls_once_no_old_link_is_left(self) -> None:
        written = self.new_link_after_outage()
        self.assertNotIn((1, END), written)
        for old_link in self.old:
            self.desk.do(s.ConnectionClosed(old_link))
        self.assertIn((1, END), self.desk.hear(self.new, group_state(39)))

    def test_the_calls_end_at_the_silence_limit_while_an_old_link_stays_silent(self) -> None:
        self.new_link_after_outage()
        deadline = self.desk.session.calls.by_id[5].standing_since_us + 7 * SECOND
        written: list[tuple[int, p.Message]] = []
        while self.desk.now < deadline and (1, END) not in written:
            written += self.desk.pass_time(SECOND // 10)
            written += self.desk.hear(self.new, group_state(self.desk.now // 100_000 % 30))
        self.assertIn((1, END), written)


class OwnPause(unittest.TestCase):
    """This process itself is stopped for a time, and the messages that arrive meanwhile are unread."""

    def test_a_late_sweep_draws_no_conclusion_and_the_next_one_does(self) -> None:
        for received in (True, False):
            desk = Desk()
            desk.stand(5)
            desk.pass_time(SECOND)
            desk.now += 9 * SECOND
            written = desk.do(s.Tick())
            self.assertNotIn((1, END), written)
            if received:
                desk.hear(desk.link[1], group_state(7))
            written = desk.pass_time(2 * limits.SWEEP_INTERVAL_US)
            self.assertEqual((1, END) in written, not received)

    def test_sweeps_that_are_always_late_still_draw_conclusions(self) -> None:
        desk = Desk()
        desk.stand(5)
        written: list[tuple[int, p.Message]] = []
        for _ in range(8):
            desk.now += SECOND
            written += desk.do(s.Tick())
        self.assertIn((1, END), written)
