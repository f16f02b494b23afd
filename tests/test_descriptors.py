"""The descriptor budget: callers and links share the limit of the configuration, whatever opens and closes them."""

from __future__ import annotations

import errno
import sys
import unittest
from unittest import mock

import trio

from latchturn import handover, net
from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, Program, SessionHarness, SimulatedNetwork, exchange_record, set_up

MAX_LINKS_SEEN = 4  # links that four attempts of one call at one exchange need
FULL = "overload"  # note of an exchange whose processor is full


class Network(SimulatedNetwork):
    """Refuses each set-up while its exchanges are overloaded, and notes the highest number of links."""

    def __init__(self, harness: SessionHarness, refuse: bool) -> None:
        super().__init__(harness)
        self.refuse = refuse
        self.most_links = len(harness.session.links.by_stream)

    def link_accepted(self, stream: int) -> None:
        self.most_links = max(self.most_links, len(self.harness.session.links.by_stream))

    def message_written(self, stream: int, message: p.Message) -> None:
        if isinstance(message, p.SetUp) and self.refuse:
            self.harness.deliver(stream, p.Release(message.call, p.ReleaseCause.NO_CIRCUIT, FULL))
        elif isinstance(message, p.Release):
            self.harness.deliver(stream, p.ReleaseConfirmed(message.call))

    def pass_time(self, us: int) -> None:
        """Advance the clock in small steps, settling after each."""
        for _ in range(us // 50_000):
            self.harness.pass_time(50_000)
            self.settle()


def overloaded(exchanges: int, socket_limit: int) -> tuple[SessionHarness, Network]:
    """A harness whose exchanges have all turned away one call four times, each time on another link."""
    harness = SessionHarness(remote_exchanges=exchanges, socket_limit=socket_limit)
    network = Network(harness, refuse=True)
    for number in range(1, exchanges + 1):
        harness.deliver(1, set_up(number, to=number))
    network.settle()
    network.pass_time(1_500_000)
    network.refuse = False
    return harness, network


def open_callers(harness: SessionHarness, count: int) -> int:
    """Connect callers until there are `count`, each with an open set-up; returns how many are open."""
    exchanges = len(harness.session.exchanges.by_id) - 1
    for stream in range(2, count + 1):
        harness.submit(s.Accepted(stream))
        harness.deliver(stream, set_up(10_000 + stream, to=1 + stream % exchanges))
    return len(harness.session.callers.by_stream)


def descriptors(harness: SessionHarness) -> int:
    """The descriptors that callers, links and the reserve take."""
    links, callers = harness.session.links.by_stream, harness.session.callers.by_stream
    return len(links) + len(callers) + limits.RESERVED_DESCRIPTORS


class LinksOfABurst(unittest.TestCase):
    def test_links_opened_in_an_overload_leave_callers_their_third_of_the_limit(self) -> None:
        """Guards against: four links to each exchange stay open for good, and set-ups are never accepted."""
        for socket_limit, exchanges in ((256, 47), (256, 31), (256, 8), (384, 47), (1024, 47), (1024, 120), (128, 9)):
            with self.subTest(socket_limit=socket_limit, exchanges=exchanges):
                harness, network = overloaded(exchanges, socket_limit)
                self.assertEqual(open_callers(harness, socket_limit // 3), socket_limit // 3)
                network.settle()
                self.assertLessEqual(descriptors(harness), socket_limit)
                self.assertEqual(harness.closed_callers, [])
                reached = {link.exchange_id for link in harness.session.links.by_stream.values()}
                self.assertEqual(len(reached), exchanges)

    def test_with_more_exchanges_than_descriptors_links_move_to_the_exchanges_that_are_called(self) -> None:
        """Guards against: a limit too low for one link to each exchange leaves some of them without calls."""
        socket_limit, exchanges = 128, 60
        harness = SessionHarness(remote_exchanges=exchanges, socket_limit=socket_limit)
        network = Network(harness, refuse=False)
        network.pass_time(SECOND)
        self.assertLess(len(harness.session.links.by_stream), exchanges)
        for number in range(1, exchanges + 1):
            call = 100 + number
            harness.deliver(1, set_up(call, to=number))
            network.settle()
            attempt = harness.session.calls.by_id[call].attempt
            self.assertIsNotNone(attempt, number)
            self.assertEqual(attempt.link.exchange_id, 100 + number)
            harness.deliver(attempt.link.ident, p.Release(call, p.ReleaseCause.NO_CIRCUIT, "lines_busy"))
            network.pass_time(300_000)
            self.assertLessEqual(descriptors(harness), socket_limit)

    def test_an_unused_further_link_is_closed_and_opened_again_when_needed(self) -> None:
        """Guards against: links of further attempts and probes add up without any shortage."""
        harness, network = overloaded(2, 1024)
        self.assertEqual(len(harness.session.links.by_stream), 2 * MAX_LINKS_SEEN)
        network.pass_time(limits.EXTRA_LINK_IDLE_US // 2)
        self.assertEqual(len(harness.session.links.by_stream), 2 * MAX_LINKS_SEEN)
        network.pass_time(limits.EXTRA_LINK_IDLE_US)
        self.assertEqual(len(harness.session.links.by_stream), 2 * limits.KEPT_LINKS)
        self.assertEqual(harness.session.counters["links_closed.idle"], 4)
        network.refuse = True
        harness.deliver(1, set_up(50, to=1))
        network.settle()
        network.pass_time(1_500_000)
        self.assertEqual(len(harness.session.exchanges.by_id[101].links), MAX_LINKS_SEEN)

    def test_the_link_of_a_standing_call_stays_open_until_the_call_ends(self) -> None:
        """Guards against: an unused link is closed although its exchange will report the end of a call on it."""
        harness = SessionHarness(remote_exchanges=1)
        network = Network(harness, refuse=True)
        harness.deliver(1, set_up(5))
        while 2 not in harness.session.exchanges.by_id[101].links:
            network.refuse = len(harness.session.calls.by_id[5].used_slots) < limits.KEPT_LINKS
            network.pass_time(50_000)
        third = harness.session.exchanges.by_id[101].links[2]
        harness.deliver(third.ident, p.Answer(5, b"yes"))
        harness.pass_time_with_reports(2 * limits.EXTRA_LINK_IDLE_US)
        self.assertIn(third.ident, harness.session.links.by_stream)
        written = harness.deliver(third.ident, p.Release(5, p.ReleaseCause.NORMAL))
        self.assertIn((1, p.Release(5, p.ReleaseCause.NORMAL)), written)
        harness.pass_time_with_reports(2 * limits.EXTRA_LINK_IDLE_US)
        self.assertNotIn(third.ident, harness.session.links.by_stream)


class PlacesThatSpendDescriptors(unittest.TestCase):
    def test_probe_and_recovery_links_stay_within_the_budget(self) -> None:
        """Guards against: links that the failure detector opens in a quiet time add up beyond the limit."""
        exchanges, socket_limit = 47, 256
        harness = SessionHarness(remote_exchanges=exchanges, socket_limit=socket_limit)
        network = Network(harness, refuse=False)
        for number in range(1, exchanges + 1):
            harness.establish_call(number, to=number)
        callers = open_callers(harness, socket_limit // 3)
        for number in range(1, exchanges + 1):
            harness.submit(s.ConnectionClosed(harness.first_links[number]))  # a recovery link for each is due
        network.pass_time(limits.PROBE_AFTER_US + SECOND)
        self.assertLessEqual(network.most_links + callers + limits.RESERVED_DESCRIPTORS, socket_limit)
        self.assertEqual(harness.session.counters["calls_cut"], 0)

    def test_descriptors_of_the_other_process_and_a_lower_limit_close_links_that_are_not_needed(self) -> None:
        """Guards against: two processes together, or one after SIGHUP, hold more descriptors than the limit."""
        for lower in (lambda h: s.OtherProcessUsage(100), lambda h: s.Reconfigured((), ("", 0), 156, h.settings)):
            harness, network = overloaded(30, 256)
            open_callers(harness, 40)
            network.settle()
            harness.submit(lower(harness))
            taken = descriptors(harness) + harness.session.phases.other_descriptors
            self.assertLessEqual(taken, harness.session.core.socket_limit)
            self.assertEqual(harness.closed_callers, [])
            self.assertEqual(len({k.exchange_id for k in harness.session.links.by_stream.values()}), 30)

    def test_kept_links_that_made_room_are_opened_again_once_there_is_room(self) -> None:
        """Guards against: a second link that was closed for a shortage is missing when the shortage is over."""
        harness = SessionHarness(remote_exchanges=30)
        network = Network(harness, refuse=False)
        network.pass_time(SECOND)
        harness.submit(s.OtherProcessUsage(1024 - 100))
        self.assertLess(len(harness.session.links.by_stream), 60)
        network.pass_time(SECOND)
        self.assertLess(len(harness.session.links.by_stream), 60)
        harness.submit(s.OtherProcessUsage(0))
        network.pass_time(SECOND)
        self.assertEqual(len(harness.session.links.by_stream), 60)

    def test_a_successor_opens_one_link_to_each_exchange_while_its_predecessor_holds_the_descriptors(self) -> None:
        """Guards against: the new process of a replacement waits for descriptors that the old one gives up for it."""
        session = s.Session(SessionHarness().settings, 7, 256)
        session.step(SECOND, s.OtherProcessUsage(240))
        update = p.ListUpdate(1, i.ListKind.FULL, tuple(exchange_record(k) for k in range(48)))
        effects = session.step(SECOND, s.Started((update,), 1, ("127.0.0.1", 9), replaces=True))
        connects = [effect for effect in effects if isinstance(effect, s.Connect)]
        self.assertEqual(len({connect.address for connect in connects}), 47)
        self.assertEqual(len(connects), 47)

    def test_a_connect_without_a_free_descriptor_is_no_evidence_about_its_exchange(self) -> None:
        """Guards against: the lack of a descriptor begins an outage, and the calls of a live exchange are ended."""
        harness = SessionHarness(remote_exchanges=1)
        harness.establish_call(4)
        harness.submit(s.ConnectionClosed(harness.second_links[1]))
        for _ in range(8):
            harness.submit(s.ConnectFailed(harness.connects[-1].stream, refused=False, no_descriptor=True))
            harness.pass_time_with_reports(SECOND)
        exchange = harness.session.exchanges.by_id[101]
        self.assertEqual((exchange.outage_since_us, exchange.consecutive_failures), (0, 0))
        self.assertIn(4, harness.session.calls.by_id)
        self.assertGreater(harness.session.counters["connects_without_descriptor"], 4)
        harness.submit(s.Connected(harness.connects[-1].stream))
        self.assertLessEqual({0, 1}, exchange.links.keys())

    def test_a_call_whose_link_gets_no_descriptor_is_tried_again(self) -> None:
        """Guards against: an attempt that never left counts as one that its exchange did not answer."""
        harness = SessionHarness(remote_exchanges=1)
        harness.deliver(1, set_up(5))
        harness.deliver(harness.first_links[1], p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE))
        harness.pass_time(400_000)
        harness.deliver(harness.second_links[1], p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE))
        harness.pass_time(400_000)
        third = harness.connects[-1].stream
        harness.submit(s.ConnectFailed(third, refused=False, no_descriptor=True))
        self.assertEqual(harness.session.counters["attempts_not_sent"], 1)
        self.assertEqual(harness.session.counters["attempts_unreachable"], 0)
        self.assertNotEqual(harness.connects[-1].stream, third)

    def test_links_on_which_something_is_on_its_way_are_not_closed_to_make_room(self) -> None:
        """Guards against: room is made at the cost of a set-up, an answer or a release."""
        harness = SessionHarness(remote_exchanges=1)
        first, second = harness.first_links[1], harness.second_links[1]
        by_stream, descriptor_budget = harness.session.links.by_stream, harness.session.descriptors
        harness.pass_time(SECOND)
        self.assertTrue(descriptor_budget.is_dispensable(by_stream[first]))
        harness.deliver(1, set_up(5))
        self.assertFalse(descriptor_budget.is_dispensable(by_stream[first]))
        harness.submit(s.PartialMessage(second, True))
        self.assertFalse(descriptor_budget.is_dispensable(by_stream[second]))
        harness.submit(s.PartialMessage(second, False))
        self.assertTrue(descriptor_budget.is_dispensable(by_stream[second]))
        harness.deliver(1, p.Release(5, p.ReleaseCause.NORMAL))
        self.assertFalse(descriptor_budget.is_dispensable(by_stream[first]))  # the give-up is not confirmed yet
        harness.deliver(first, p.ReleaseConfirmed(5))
        self.assertTrue(descriptor_budget.is_dispensable(by_stream[first]))
        harness.deliver(1, set_up(6))
        harness.deliver(first, p.Answer(6, b"yes"))
        self.assertFalse(descriptor_budget.is_dispensable(by_stream[first]))
        harness.pass_time(limits.PROBE_AFTER_US)  # a hung exchange sends on its open links when it continues
        self.assertFalse(descriptor_budget.is_dispensable(by_stream[second]))


class DescriptorsOnSockets(unittest.TestCase):
    def test_idle_connections_make_room_for_callers_that_cannot_be_accepted(self) -> None:
        """Guards against: a process that may hold fewer descriptors than configured leaves callers waiting."""
        with Program(command=f"ulimit -n 24; exec {sys.executable} -m latchturn") as program:
            idle = [program.caller() for _ in range(40)]
            late = program.caller()
            late.send(p.HealthCheck(7))
            self.assertEqual(late.next(), p.HealthCheckResult(7, True))
            for caller in (*idle, late):
                caller.sock.close()

    def test_the_other_process_is_kept_when_the_descriptors_cannot_be_counted(self) -> None:
        """Guards against: a moment without a free descriptor ends the connection to the other process."""
        counts = iter([OSError(errno.EMFILE, "no descriptor"), 7])

        def count_descriptors() -> int:
            if isinstance(result := next(counts, 7), OSError):
                raise result
            return result

        async def send_twice() -> bytes:
            ours, theirs = trio.socket.socketpair()
            with (
                ours,
                theirs,
                trio.move_on_after(2 * net.USAGE_INTERVAL_S),
                mock.patch.object(handover, "count_descriptors", count_descriptors),
            ):
                async with trio.open_nursery() as nursery:
                    server = mock.Mock(reducer=SessionHarness().session)
                    nursery.start_soon(net.Server._send_usage, server, ours)
                    received = await theirs.recv(100)
                    nursery.cancel_scope.cancel()
            return received

        self.assertEqual(trio.run(send_twice), b"held 7 0\n")
