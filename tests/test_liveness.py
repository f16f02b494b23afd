"""The failure detector: which evidence ends calls whose end the exchange does not report, and which does not."""

from __future__ import annotations

import unittest

from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits
from latchturn.session.trace import TraceEvent

from .helpers import SECOND, SessionHarness, exchange_record, group_state, set_up

END = p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE)
# To notify the caller, from the end of a call that its exchange cannot report (docs: the rules on sockets).
NOTIFY_LIMIT_US = 8 * SECOND
MIN_SILENCE_US = 6 * SECOND  # the calls of an exchange that has been silent for less must go on


class SilentExchange(unittest.TestCase):
    """Call 5 stands at exchange 1, which sends nothing any more."""

    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.harness.establish_call(5)
        self.start_us = self.harness.now

    def notified_after_us(
        self, connects: s.Connected | None = None, attempts: bool = False, refused: bool = False
    ) -> int:
        """Time until the caller of call 5 is notified of its end, -1 if never.

        All links that are opened to exchange 1 come up without a message, or are refused, or time out; with `attempts`,
        further calls are set up there.
        """
        harness, handled, call = self.harness, len(self.harness.connects), 100
        while harness.now < self.start_us + 12 * SECOND:
            written = harness.pass_time(50_000)
            if attempts and harness.now % 500_000 < 50_000:
                call += 1
                written += harness.deliver(1, set_up(call))
            for connect in harness.connects[handled:]:
                stream = connect.stream
                if self.harness.session.links.by_stream[stream].exchange_id == 102:
                    harness.submit(s.Connected(stream))
                    harness.deliver(stream, group_state(20))
                elif connects is not None:
                    harness.submit(s.Connected(stream))
                elif connect.timeout_us and harness.now % 500_000 < 50_000:
                    written += harness.submit(s.ConnectFailed(stream, refused))
                else:
                    break
                handled += 1
            self.harness.deliver(harness.second_links[2], group_state(harness.now // 50_000 % 20))
            if (1, END) in written:
                return harness.now - self.start_us
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
        for stream in (self.harness.first_links[1], self.harness.second_links[1]):
            self.harness.pass_time(2 * SECOND)
            self.harness.submit(s.EndOfInput(stream))
        self.assertTrue(MIN_SILENCE_US < self.notified_after_us() < NOTIFY_LIMIT_US)

    def test_a_silent_exchange_that_refuses_links_counts_as_dead(self) -> None:
        notified_us = self.notified_after_us(refused=True)
        self.assertTrue(limits.PROBE_AFTER_US <= notified_us < NOTIFY_LIMIT_US, notified_us)

    def test_the_silence_limit_counts_from_the_last_message_for_a_call_answered_earlier(self) -> None:
        harness = self.harness
        harness.pass_time_with_reports(3 * SECOND)
        self.start_us = harness.now
        self.assertTrue(MIN_SILENCE_US < self.notified_after_us() < NOTIFY_LIMIT_US)

    def test_a_call_that_is_ended_here_is_released_at_its_exchange_once_a_link_is_up(self) -> None:
        harness = self.harness
        self.notified_after_us()
        harness.pass_time(5 * SECOND)
        waiting = [c.stream for c in harness.connects if c.stream in harness.session.links.by_stream]
        waiting = [k for k in waiting if harness.session.links.by_stream[k].exchange_id == 101]
        written = [
            m for k in waiting if not harness.session.links.by_stream[k].up for m in harness.submit(s.Connected(k))
        ]
        self.assertIn(p.Release(5, p.ReleaseCause.NORMAL), [message for _, message in written])


class LiveExchange(unittest.TestCase):
    """Call 5 stands at exchange 1 and goes on."""

    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.harness.establish_call(5)

    def stands(self) -> bool:
        return 5 in self.harness.session.calls.by_id

    def test_a_quiet_exchange_that_answers_probes_keeps_its_calls(self) -> None:
        harness, handled = self.harness, len(self.harness.connects)
        for _ in range(400):
            harness.pass_time(50_000)
            for connect in harness.connects[handled:]:
                harness.submit(s.Connected(connect.stream))
                harness.deliver(connect.stream, group_state(12))
            handled = len(harness.connects)
        self.assertTrue(self.stands())
        quiet = [r for r in harness.session.core.trace.records if r.event is TraceEvent.EXCHANGE_QUIET]
        self.assertGreaterEqual(len([r for r in quiet if r.exchange == 101]), 3)

    def test_a_busy_exchange_is_not_probed(self) -> None:
        connects = len(self.harness.connects)
        self.harness.pass_time_with_reports(20 * SECOND)
        self.assertEqual((len(self.harness.connects), self.stands()), (connects, True))

    def test_calls_go_on_after_an_outage_if_a_link_from_before_delivers_a_message(self) -> None:
        harness = self.harness
        harness.pass_time(limits.PROBE_AFTER_US + limits.SWEEP_INTERVAL_US)
        harness.submit(s.ConnectFailed(harness.connects[-1].stream, False))
        harness.pass_time(SECOND)
        old_link = harness.first_links[1]
        new = harness.connects[-1].stream
        harness.submit(s.Connected(new))
        harness.deliver(new, group_state(7))
        harness.deliver(old_link, group_state(7))
        harness.pass_time_with_reports(10 * SECOND)
        self.assertTrue(self.stands())

    def test_a_connect_is_proof_of_life_for_an_exchange_without_group_states(self) -> None:
        harness = self.harness
        harness.session.exchanges.by_id[101].sends_group_states = False
        handled = len(harness.connects)
        for _ in range(400):
            harness.pass_time(50_000)
            for connect in harness.connects[handled:]:
                harness.submit(s.Connected(connect.stream))
            handled = len(harness.connects)
        self.assertTrue(self.stands())

    def test_a_draining_exchange_may_end_some_links_and_send_on_others(self) -> None:
        harness = self.harness
        harness.submit(
            s.ListUpdateReceived(
                1, p.ListUpdate(2, i.ListKind.CHANGES, (exchange_record(1, state=i.ListState.DRAINING),))
            )
        )
        harness.submit(s.EndOfInput(harness.first_links[1]))
        harness.submit(s.ConnectFailed(harness.connects[-1].stream, True))
        for k in range(40):
            harness.pass_time(SECOND // 4)
            harness.deliver(harness.second_links[1], group_state(k % 9))
        self.assertTrue(self.stands())

    def test_ends_that_may_be_lost_on_a_closed_link_are_received_on_a_recovery_link(self) -> None:
        harness = self.harness
        harness.submit(s.PartialMessage(harness.first_links[1], True))
        harness.pass_time(limits.LINK_PARTIAL_TIMEOUT_US)
        self.assertEqual(harness.closed, [harness.first_links[1]])
        harness.submit(s.Connected(harness.connects[-1].stream))
        harness.deliver(harness.connects[-1].stream, group_state(3))
        connects = len(harness.connects)
        harness.pass_time_with_reports(SECOND // 2)
        self.assertEqual(len(harness.connects), connects + 1)  # besides the one that replaced the closed link
        harness.submit(s.Connected(harness.connects[-1].stream))
        harness.deliver(harness.connects[-1].stream, group_state(3))  # the first thing sent on each new link
        harness.pass_time_with_reports(4 * SECOND)
        self.assertEqual(len(harness.connects), connects + 1)
        harness.pass_time_with_reports(SECOND)
        # A further recovery link is opened each RECOVERY_INTERVAL_US while the call stands.
        self.assertEqual(len(harness.connects), connects + 2)
        harness.submit(s.Connected(harness.connects[-1].stream))
        harness.deliver(harness.connects[-1].stream, p.Release(5, p.ReleaseCause.NORMAL))
        self.assertFalse(self.stands())
        harness.pass_time_with_reports(12 * SECOND)
        self.assertEqual(len(harness.connects), connects + 2)

    def test_recovery_links_close_no_links_that_would_cause_more_recovery_links(self) -> None:
        # Without this rule, links were closed four times a second in a long run, each to make room for the next one.
        harness = self.harness
        for k in range(3):
            harness.establish_call(10 + k)
        harness.submit(s.PartialMessage(harness.first_links[1], True))
        connects, handled = len(harness.connects), len(harness.connects)
        for _ in range(60):
            harness.pass_time_with_reports(SECOND // 4, SECOND // 4)
            for connect in harness.connects[handled:]:
                harness.submit(s.Connected(connect.stream))
                harness.deliver(connect.stream, group_state(3))
            handled = len(harness.connects)
        self.assertLessEqual(handled - connects, 5)  # in 15 s: the replacement of the closed link, and one each 5 s

    def test_a_link_that_receives_each_group_state_a_little_later_is_not_closed(self) -> None:
        harness = self.harness
        first, second = harness.first_links[1], harness.second_links[1]
        harness.deliver(first, group_state(5))
        harness.deliver(second, group_state(5))
        harness.pass_time(2 * SECOND - 1)
        harness.deliver(second, group_state(6))
        harness.pass_time(2)  # a sweep runs between the two
        harness.deliver(first, group_state(6))
        self.assertEqual(harness.closed, [])

    def test_the_first_group_state_on_a_new_link_is_not_expected_on_the_others(self) -> None:
        harness = self.harness
        harness.submit(s.ConnectionClosed(harness.second_links[1]))
        new = harness.connects[-1].stream
        harness.submit(s.Connected(new))
        harness.deliver(new, group_state(6))
        harness.pass_time(SECOND)
        harness.deliver(new, p.Progress(5))
        harness.pass_time(limits.SWEEP_INTERVAL_US)
        self.assertEqual(harness.closed, [])

    def test_a_hung_exchange_keeps_its_links_though_set_ups_time_out_on_them(self) -> None:
        harness = self.harness
        for call in range(20, 26):
            harness.deliver(1, set_up(call))
            harness.pass_time(700_000)
        self.assertLessEqual({harness.first_links[1], harness.second_links[1]}, set(harness.session.links.by_stream))
        harness.deliver(harness.first_links[1], p.Release(5, p.ReleaseCause.NORMAL))
        self.assertFalse(self.stands())


class ReplacedExchange(unittest.TestCase):
    """Another process takes over the address of exchange 1, and discovery does not report it."""

    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.harness.establish_call(5)
        self.old = (self.harness.first_links[1], self.harness.second_links[1])

    def test_a_reset_of_all_links_in_use_ends_the_calls_though_connects_succeed(self) -> None:
        harness = self.harness
        written = [message for stream in self.old for message in harness.submit(s.ConnectionClosed(stream))]
        self.assertIn((1, END), written)

    def reset_all_after_silence(self) -> None:
        """Reset all links some time after the last message; the process behind the new links sends at once."""
        self.start_us = self.harness.now
        self.harness.pass_time(2 * SECOND)
        for stream in self.old:
            self.harness.submit(s.ConnectionClosed(stream))
        self.bring_up_links()

    def bring_up_links(self) -> None:
        """Bring up all links that are connecting and deliver a group state on each."""
        for stream, link in list(self.harness.session.links.by_stream.items()):
            if not link.up_since_us:
                self.harness.submit(s.Connected(stream))
                self.harness.deliver(stream, group_state(9))

    def pass_time_with_new_links(self, until_us: int) -> list[tuple[int, p.Message]]:
        """Let time pass while links come up and deliver group states; returns the messages written meanwhile."""
        written: list[tuple[int, p.Message]] = []
        while self.harness.now < until_us:
            written += self.harness.pass_time_with_reports(SECOND // 10, SECOND // 10)
            self.bring_up_links()
        return written

    def test_after_a_silence_a_reset_of_all_links_ends_calls_in_time_despite_new_links(self) -> None:
        # Soak seed 25: a machine vanished, and another one had its address before any connect had failed.
        harness = self.harness
        self.reset_all_after_silence()
        (stream, _), *_ = harness.deliver(1, set_up(6))
        harness.deliver(stream, p.Answer(6, b"yes"))
        self.assertIn((1, END), self.pass_time_with_new_links(self.start_us + NOTIFY_LIMIT_US))
        self.pass_time_with_new_links(self.start_us + 3 * NOTIFY_LIMIT_US)
        self.assertIn(6, harness.session.calls.by_id)  # it stands at the new process

    def test_a_reported_end_of_an_earlier_call_shows_that_the_process_is_the_same(self) -> None:
        harness = self.harness
        harness.establish_call(7)
        self.reset_all_after_silence()
        new = next(k for k, link in harness.session.links.by_stream.items() if link.exchange_id == 101)
        harness.deliver(new, p.Release(7, p.ReleaseCause.NORMAL))
        self.pass_time_with_new_links(self.start_us + 3 * NOTIFY_LIMIT_US)
        self.assertIn(5, harness.session.calls.by_id)

    def test_resets_of_single_links_end_no_call(self) -> None:
        harness = self.harness
        harness.submit(s.ConnectionClosed(self.old[0]))
        harness.submit(s.Connected(harness.connects[-1].stream))
        harness.submit(s.ConnectionClosed(self.old[1]))
        self.assertIn(5, harness.session.calls.by_id)

    def new_link_after_outage(self) -> list[tuple[int, p.Message]]:
        """Let connects fail for a time, then bring up a new link and receive a message on it."""
        harness = self.harness
        harness.pass_time(limits.PROBE_AFTER_US + limits.SWEEP_INTERVAL_US)
        harness.submit(s.ConnectFailed(harness.connects[-1].stream, False))
        harness.pass_time(limits.PROBE_INTERVAL_US + limits.SWEEP_INTERVAL_US)
        self.new = harness.connects[-1].stream
        return harness.submit(s.Connected(self.new)) + harness.deliver(self.new, group_state(40))

    def test_a_message_on_a_new_link_after_an_outage_ends_calls_once_no_old_link_is_left(self) -> None:
        written = self.new_link_after_outage()
        self.assertNotIn((1, END), written)
        for old_link in self.old:
            self.harness.submit(s.ConnectionClosed(old_link))
        self.assertIn((1, END), self.harness.deliver(self.new, group_state(39)))

    def test_the_calls_end_at_the_silence_limit_while_an_old_link_stays_silent(self) -> None:
        self.new_link_after_outage()
        deadline = self.harness.session.calls.by_id[5].standing_since_us + 7 * SECOND
        written: list[tuple[int, p.Message]] = []
        while self.harness.now < deadline and (1, END) not in written:
            written += self.harness.pass_time(SECOND // 10)
            written += self.harness.deliver(self.new, group_state(self.harness.now // 100_000 % 30))
        self.assertIn((1, END), written)


class OwnPause(unittest.TestCase):
    """This process itself is stopped for a time, and the messages that arrive meanwhile are unread."""

    def test_a_late_sweep_draws_no_conclusion_and_the_next_one_does(self) -> None:
        for received in (True, False):
            harness = SessionHarness()
            harness.establish_call(5)
            harness.pass_time(SECOND)
            harness.now += 9 * SECOND
            written = harness.submit(s.Tick())
            self.assertNotIn((1, END), written)
            if received:
                harness.deliver(harness.first_links[1], group_state(7))
            written = harness.pass_time(2 * limits.SWEEP_INTERVAL_US)
            self.assertEqual((1, END) in written, not received)

    def test_sweeps_that_are_always_late_still_draw_conclusions(self) -> None:
        harness = SessionHarness()
        harness.establish_call(5)
        written: list[tuple[int, p.Message]] = []
        for _ in range(8):
            harness.now += SECOND
            written += harness.submit(s.Tick())
        self.assertIn((1, END), written)
