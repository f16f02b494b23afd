"""The failure detector: when calls are over without a word from their exchange, and when they go on."""

from __future__ import annotations

import unittest

from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits
from latchturn.session.trace import TraceEvent

from .helpers import SECOND, Desk, group_state, listed, set_up

END = p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE)
TOLD_US = 8 * SECOND  # from the end of a call whose exchange cannot tell it; docs: the rules on sockets
CHANCE_US = 6 * SECOND  # an exchange that is silent for less may still have its calls


class Silence(unittest.TestCase):
    """Exchange 1 has call 5, and is heard no more."""

    def setUp(self) -> None:
        self.desk = Desk()
        self.desk.stand(5)
        self.began = self.desk.now

    def told_after(self, connects: s.Connected | None = None, attempts: bool = False, refused: bool = False) -> int:
        """When the caller of call 5 is told that it is over, while every link that is asked for comes up or not."""
        desk, done, call = self.desk, len(self.desk.connects), 100
        while desk.now < self.began + 12 * SECOND:
            written = desk.pass_time(50_000)
            if attempts and desk.now % 500_000 < 50_000:
                call += 1
                written += desk.hear(1, set_up(call))
            for asked in desk.connects[done:]:
                stream = asked.stream
                if self.desk.session.links.by_stream[stream].exchange_id == 102:
                    desk.do(s.Connected(stream))
                    desk.hear(stream, group_state(20))
                elif connects is not None:
                    desk.do(s.Connected(stream))
                elif asked.timeout_us and desk.now % 500_000 < 50_000:
                    written += desk.do(s.ConnectFailed(stream, refused))
                else:
                    break
                done += 1
            self.desk.hear(desk.second[2], group_state(desk.now // 50_000 % 20))
            if (1, END) in written:
                return desk.now - self.began
        return -1

    def test_open_links_that_say_nothing_prove_nothing(self) -> None:
        self.assertTrue(CHANCE_US < self.told_after() < TOLD_US)

    def test_nor_do_set_ups_that_go_there_or_connects_that_succeed(self) -> None:
        for connects in (None, s.Connected(0)):
            for attempts in (False, True):
                self.setUp()
                told = self.told_after(connects, attempts)
                self.assertTrue(CHANCE_US < told < TOLD_US, f"{connects} {attempts}: {told}")

    def test_nor_do_lost_links(self) -> None:
        for stream in (self.desk.link[1], self.desk.second[1]):
            self.desk.pass_time(2 * SECOND)
            self.desk.do(s.EndOfInput(stream))
        self.assertTrue(CHANCE_US < self.told_after() < TOLD_US)

    def test_a_silent_exchange_that_refuses_links_has_died(self) -> None:
        told = self.told_after(refused=True)
        self.assertTrue(limits.PROBE_AFTER_US <= told < TOLD_US, told)

    def test_a_call_that_began_to_stand_late_is_told_by_the_same_clock(self) -> None:
        desk = self.desk
        desk.pass_time_in_touch(3 * SECOND)
        self.began = desk.now
        self.assertTrue(CHANCE_US < self.told_after() < TOLD_US)

    def test_what_is_over_here_is_released_there_once_it_can_be(self) -> None:
        desk = self.desk
        self.told_after()
        desk.pass_time(5 * SECOND)
        waiting = [c.stream for c in desk.connects if c.stream in desk.session.links.by_stream]
        waiting = [k for k in waiting if desk.session.links.by_stream[k].exchange_id == 101]
        written = [m for k in waiting if not desk.session.links.by_stream[k].up for m in desk.do(s.Connected(k))]
        self.assertIn(p.Release(5, p.ReleaseCause.NORMAL), [message for _, message in written])


class Life(unittest.TestCase):
    """Exchange 1 has call 5, and the call goes on."""

    def setUp(self) -> None:
        self.desk = Desk()
        self.desk.stand(5)

    def stands(self) -> bool:
        return 5 in self.desk.session.calls.by_id

    def test_a_quiet_exchange_is_asked_and_its_calls_go_on(self) -> None:
        desk, done = self.desk, len(self.desk.connects)
        for _ in range(400):
            desk.pass_time(50_000)
            for asked in desk.connects[done:]:
                desk.do(s.Connected(asked.stream))
                desk.hear(asked.stream, group_state(12))
            done = len(desk.connects)
        self.assertTrue(self.stands())
        quiet = [r for r in desk.session.core.trace.records if r.event is TraceEvent.EXCHANGE_QUIET]
        self.assertGreaterEqual(len([r for r in quiet if r.exchange == 101]), 3)

    def test_a_busy_exchange_is_not_asked(self) -> None:
        connects = len(self.desk.connects)
        self.desk.pass_time_in_touch(20 * SECOND)
        self.assertEqual((len(self.desk.connects), self.stands()), (connects, True))

    def test_a_cut_that_heals_keeps_its_calls_if_a_link_from_before_speaks(self) -> None:
        desk = self.desk
        desk.pass_time(limits.PROBE_AFTER_US + limits.SWEEP_INTERVAL_US)
        desk.do(s.ConnectFailed(desk.connects[-1].stream, False))
        desk.pass_time(SECOND)
        witness = desk.link[1]
        new = desk.connects[-1].stream
        desk.do(s.Connected(new))
        desk.hear(new, group_state(7))
        desk.hear(witness, group_state(7))
        desk.pass_time_in_touch(10 * SECOND)
        self.assertTrue(self.stands())

    def test_an_exchange_without_group_states_lives_if_it_accepts(self) -> None:
        desk = self.desk
        desk.session.exchanges.by_id[101].sends_group_states = False
        done = len(desk.connects)
        for _ in range(400):
            desk.pass_time(50_000)
            for asked in desk.connects[done:]:
                desk.do(s.Connected(asked.stream))
            done = len(desk.connects)
        self.assertTrue(self.stands())

    def test_one_that_drains_may_end_its_links_and_be_heard_on_others(self) -> None:
        desk = self.desk
        desk.do(s.ListUpdateReceived(p.ListUpdate(2, i.ListKind.CHANGES, (listed(1, state=i.ListState.DRAINING),))))
        desk.do(s.EndOfInput(desk.link[1]))
        desk.do(s.ConnectFailed(desk.connects[-1].stream, True))
        for k in range(40):
            desk.pass_time(SECOND // 4)
            desk.hear(desk.second[1], group_state(k % 9))
        self.assertTrue(self.stands())

    def test_ends_that_may_be_told_on_a_link_that_we_closed_are_asked_for_on_a_new_one(self) -> None:
        desk = self.desk
        desk.do(s.PartialMessage(desk.link[1], True))
        desk.pass_time(limits.LINK_PARTIAL_TIMEOUT_US)
        self.assertEqual(desk.closed, [desk.link[1]])
        desk.do(s.Connected(desk.connects[-1].stream))
        desk.hear(desk.connects[-1].stream, group_state(3))
        connects = len(desk.connects)
        desk.pass_time_in_touch(SECOND // 2)
        self.assertEqual(len(desk.connects), connects + 1)  # beside the one in its place
        desk.do(s.Connected(desk.connects[-1].stream))
        desk.hear(desk.connects[-1].stream, group_state(3))  # the first thing sent on each new link
        desk.pass_time_in_touch(4 * SECOND)
        self.assertEqual(len(desk.connects), connects + 1)
        desk.pass_time_in_touch(SECOND)
        self.assertEqual(len(desk.connects), connects + 2)  # and another as long as the call stands
        desk.do(s.Connected(desk.connects[-1].stream))
        desk.hear(desk.connects[-1].stream, p.Release(5, p.ReleaseCause.NORMAL))
        self.assertFalse(self.stands())
        desk.pass_time_in_touch(12 * SECOND)
        self.assertEqual(len(desk.connects), connects + 2)

    def test_asking_for_ends_closes_no_links_that_make_it_ask_again(self) -> None:
        # On a bench day links were closed four times a second, each to make room for the next one.
        desk = self.desk
        for k in range(3):
            desk.stand(10 + k)
        desk.do(s.PartialMessage(desk.link[1], True))
        connects, done = len(desk.connects), len(desk.connects)
        for _ in range(60):
            desk.pass_time_in_touch(SECOND // 4, SECOND // 4)
            for asked in desk.connects[done:]:
                desk.do(s.Connected(asked.stream))
                desk.hear(asked.stream, group_state(3))
            done = len(desk.connects)
        self.assertLessEqual(done - connects, 5)  # in 15 s: the one in its place, and one each 5 s

    def test_a_link_that_hears_each_group_state_a_little_later_is_not_closed(self) -> None:
        desk = self.desk
        first, second = desk.link[1], desk.second[1]
        desk.hear(first, group_state(5))
        desk.hear(second, group_state(5))
        desk.pass_time(2 * SECOND - 1)
        desk.hear(second, group_state(6))
        desk.pass_time(2)  # the sweep comes between the two
        desk.hear(first, group_state(6))
        self.assertEqual(desk.closed, [])

    def test_what_comes_first_on_a_new_link_is_missed_by_no_other(self) -> None:
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


class Replaced(unittest.TestCase):
    """Another process comes to have the address of exchange 1, and discovery does not say so."""

    def setUp(self) -> None:
        self.desk = Desk()
        self.desk.stand(5)
        self.old = (self.desk.link[1], self.desk.second[1])

    def test_all_links_reset_at_once_end_its_calls_though_connects_succeed(self) -> None:
        desk = self.desk
        written = [message for stream in self.old for message in desk.do(s.ConnectionClosed(stream))]
        self.assertIn((1, END), written)

    def reset_after_silence(self) -> None:
        """All links are reset, some time after the last word; what answers on new ones speaks at once."""
        self.began = self.desk.now
        self.desk.pass_time(2 * SECOND)
        for stream in self.old:
            self.desk.do(s.ConnectionClosed(stream))
        self.come_up()

    def come_up(self) -> None:
        for stream, link in list(self.desk.session.links.by_stream.items()):
            if not link.up_since_us:
                self.desk.do(s.Connected(stream))
                self.desk.hear(stream, group_state(9))

    def pass_time_with_new_links(self, until_us: int) -> list[tuple[int, p.Message]]:
        written: list[tuple[int, p.Message]] = []
        while self.desk.now < until_us:
            written += self.desk.pass_time_in_touch(SECOND // 10, SECOND // 10)
            self.come_up()
        return written

    def test_all_links_reset_after_a_silence_end_its_calls_in_time_though_new_links_speak(self) -> None:
        # Soak seed 25: a machine vanished, and another had its address before any connect had failed.
        desk = self.desk
        self.reset_after_silence()
        (stream, _), *_ = desk.hear(1, set_up(6))
        desk.hear(stream, p.Answer(6, b"yes"))
        self.assertIn((1, END), self.pass_time_with_new_links(self.began + TOLD_US))
        self.pass_time_with_new_links(self.began + 3 * TOLD_US)
        self.assertIn(6, desk.session.calls.by_id)  # it stands at the process that answers now

    def test_but_not_if_what_answers_has_told_the_end_of_a_call_from_before(self) -> None:
        desk = self.desk
        desk.stand(7)
        self.reset_after_silence()
        new = next(k for k, link in desk.session.links.by_stream.items() if link.exchange_id == 101)
        desk.hear(new, p.Release(7, p.ReleaseCause.NORMAL))
        self.pass_time_with_new_links(self.began + 3 * TOLD_US)
        self.assertIn(5, desk.session.calls.by_id)

    def test_one_link_reset_ends_nothing(self) -> None:
        desk = self.desk
        desk.do(s.ConnectionClosed(self.old[0]))
        desk.do(s.Connected(desk.connects[-1].stream))
        desk.do(s.ConnectionClosed(self.old[1]))
        self.assertIn(5, desk.session.calls.by_id)

    def silent_then_new(self) -> list[tuple[int, p.Message]]:
        """No connect comes up for a time, then a new link speaks."""
        desk = self.desk
        desk.pass_time(limits.PROBE_AFTER_US + limits.SWEEP_INTERVAL_US)
        desk.do(s.ConnectFailed(desk.connects[-1].stream, False))
        desk.pass_time(limits.PROBE_INTERVAL_US + limits.SWEEP_INTERVAL_US)
        self.new = desk.connects[-1].stream
        return desk.do(s.Connected(self.new)) + desk.hear(self.new, group_state(40))

    def test_a_new_link_that_speaks_after_an_outage_ends_them_once_no_old_link_is_left(self) -> None:
        written = self.silent_then_new()
        self.assertNotIn((1, END), written)
        for witness in self.old:
            self.desk.do(s.ConnectionClosed(witness))
        self.assertIn((1, END), self.desk.hear(self.new, group_state(39)))

    def test_or_when_the_time_is_up_while_the_old_link_stays_silent(self) -> None:
        self.silent_then_new()
        deadline = self.desk.session.calls.by_id[5].standing_since_us + 7 * SECOND
        written: list[tuple[int, p.Message]] = []
        while self.desk.now < deadline and (1, END) not in written:
            written += self.desk.pass_time(SECOND // 10)
            written += self.desk.hear(self.new, group_state(self.desk.now // 100_000 % 30))
        self.assertIn((1, END), written)


class OwnStop(unittest.TestCase):
    """This process itself stands still for a time, and what others have sent meanwhile lies unread."""

    def test_a_late_sweep_draws_no_conclusion_and_the_next_one_does(self) -> None:
        for heard in (True, False):
            desk = Desk()
            desk.stand(5)
            desk.pass_time(SECOND)
            desk.now += 9 * SECOND
            written = desk.do(s.Tick())
            self.assertNotIn((1, END), written)
            if heard:
                desk.hear(desk.link[1], group_state(7))
            written = desk.pass_time(2 * limits.SWEEP_INTERVAL_US)
            self.assertEqual((1, END) in written, not heard)

    def test_sweeps_that_are_always_late_conclude_all_the_same(self) -> None:
        desk = Desk()
        desk.stand(5)
        written: list[tuple[int, p.Message]] = []
        for _ in range(8):
            desk.now += SECOND
            written += desk.do(s.Tick())
        self.assertIn((1, END), written)
