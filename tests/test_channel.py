"""The command channel: when connections to discovery are opened, kept and given up.

A list change that cannot be received counts as received 7 s after discovery has it, or 4 s after the channel has
stopped.
"""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field

from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, Program, SessionHarness, exchange_record

ADDRESS, OTHER_ADDRESS = ("127.0.0.1", 9), ("127.0.0.1", 10)
HEARTBEAT = p.ListUpdate(0, None)
TOLD_AFTER_US = 7 * SECOND  # from the publication of a change until it counts as received
GRACE_US = 2 * SECOND  # set-ups may go to a draining exchange for this time after that


def draining(number: int, exchange: int = 1) -> p.ListUpdate:
    return p.ListUpdate(number, i.ListKind.CHANGES, (exchange_record(exchange, state=i.ListState.DRAINING),))


@dataclass
class SlowDiscovery:
    """Delivers frames to a harness: each arrives `delay_us` after it was sent, on every connection and in order."""

    harness: SessionHarness
    delay_us: int = 0
    stopped: set[int] = field(default_factory=set)  # connections on which nothing is sent any more
    events: list[tuple[int, p.ListUpdate]] = field(default_factory=list)  # time of the publication, event
    sent_until_us: dict[int, int] = field(default_factory=dict)  # by connection
    in_transit: list[tuple[int, int, p.ListUpdate]] = field(default_factory=list)  # arrival, connection, frame

    def publish(self, update: p.ListUpdate) -> None:
        self.events.append((self.harness.now, update))
        for connect in self.open_connections():
            self._send(connect.connection, update)

    def open_connections(self) -> list[s.ConnectChannel]:
        return [c for c in self.harness.channel_connects if c.connection not in self.harness.channel_closed]

    def _send(self, connection: int, update: p.ListUpdate) -> None:
        if connection not in self.stopped:
            self.in_transit.append((self.harness.now + self.delay_us, connection, update))

    def run(self, us: int, step_us: int = SECOND // 20) -> None:
        """Pass time; each connection asks as it opens, and gets an empty frame each second."""
        end = self.harness.now + us
        while self.harness.now < end:
            self.harness.pass_time(step_us)
            for connect in self.open_connections():
                if connect.connection not in self.sent_until_us:
                    for _, update in self.events:
                        if update.number > connect.cursor:
                            self._send(connect.connection, update)
                if self.harness.now - self.sent_until_us.get(connect.connection, 0) >= SECOND:
                    self.sent_until_us[connect.connection] = self.harness.now
                    self._send(connect.connection, HEARTBEAT)
            arrived = [frame for frame in self.in_transit if frame[0] <= self.harness.now]
            self.in_transit = [frame for frame in self.in_transit if frame[0] > self.harness.now]
            for _, connection, update in arrived:
                if connection not in self.harness.channel_closed:
                    self.harness.submit(s.ListUpdateReceived(connection, update))

    def state_of(self, exchange: int) -> i.ListState:
        return self.harness.session.exchanges.by_id[100 + exchange].state


def becoming_slow(delay_us: int) -> SlowDiscovery:
    """A discovery that has been prompt for 3 s and is slow from now on."""
    discovery = SlowDiscovery(SessionHarness())
    discovery.run(3 * SECOND)
    discovery.delay_us = delay_us
    return discovery


class SlowChannel(unittest.TestCase):
    """Whatever discovery sends arrives late."""

    def test_a_change_is_received_as_late_as_discovery_is_whenever_it_becomes_slow(self) -> None:
        # The program closed each connection before its first frame, and sent set-ups to a draining exchange for ever.
        for delay_us in (SECOND, 2 * SECOND, 3 * SECOND, 4 * SECOND, 6 * SECOND, 8 * SECOND, 8_900_000, 20 * SECOND):
            for published_after_us in (0, SECOND // 2, 2 * SECOND, 10 * SECOND, 60 * SECOND):
                with self.subTest(delay_us=delay_us, published_after_us=published_after_us):
                    discovery = becoming_slow(delay_us)
                    discovery.run(published_after_us)
                    discovery.publish(draining(2))
                    discovery.run(delay_us + SECOND // 10)
                    self.assertIs(discovery.state_of(1), i.ListState.DRAINING)

    def test_a_change_is_received_in_time_if_discovery_is_slow_from_the_first_connection_on(self) -> None:
        for delay_us in (SECOND // 2, SECOND, 2 * SECOND, 3 * SECOND, 4 * SECOND, 6 * SECOND, 8 * SECOND):
            discovery = SlowDiscovery(SessionHarness(), delay_us)
            discovery.publish(draining(2))
            discovery.run(TOLD_AFTER_US + GRACE_US)
            self.assertIs(discovery.state_of(1), i.ListState.DRAINING, delay_us)

    def test_a_change_is_received_if_a_connection_stops_while_discovery_is_slow(self) -> None:
        for delay_us in (SECOND // 10, SECOND, 4 * SECOND):
            discovery = becoming_slow(delay_us)
            discovery.stopped.add(1)
            discovery.publish(draining(2))
            discovery.run(limits.CHANNEL_SILENCE_US + limits.SWEEP_INTERVAL_US + delay_us + SECOND // 5)
            self.assertIs(discovery.state_of(1), i.ListState.DRAINING, delay_us)

    def test_a_change_is_received_if_a_connection_stops_with_frames_on_their_way(self) -> None:
        # The last frames of the first connection arrive after the second one has been opened.
        for delay_us in (SECOND // 2, SECOND, 2 * SECOND):
            discovery = becoming_slow(delay_us)
            discovery.run(SECOND // 2)
            discovery.run(SECOND)
            discovery.stopped.add(1)
            discovery.publish(draining(2))
            discovery.run(4 * SECOND + GRACE_US)
            self.assertIs(discovery.state_of(1), i.ListState.DRAINING, delay_us)

    def test_a_connection_that_never_answers_is_given_up_while_another_delivers(self) -> None:
        harness = SessionHarness()
        harness.pass_time(3 * SECOND)
        self.assertEqual(len(harness.channel_connects), 2)
        for _ in range(11):
            harness.submit(s.ListUpdateReceived(1, HEARTBEAT))
            harness.pass_time(SECOND)
        self.assertEqual((len(harness.channel_connects), harness.channel_closed), (2, [2]))

    def test_a_slow_discovery_is_asked_a_few_times_only_and_one_connection_is_left(self) -> None:
        for delay_us in (2 * SECOND, 4 * SECOND, 8 * SECOND):
            discovery = becoming_slow(delay_us)
            discovery.run(60 * SECOND)
            self.assertLessEqual(len(discovery.harness.channel_connects), 1 + delay_us // limits.CHANNEL_SILENCE_US)
            self.assertEqual(len(discovery.open_connections()), 1)

    def test_events_on_their_way_are_received_after_a_new_address_is_set(self) -> None:
        discovery = becoming_slow(4 * SECOND)
        discovery.publish(draining(2))
        discovery.run(3 * SECOND)
        harness = discovery.harness
        harness.submit(s.Reconfigured((), OTHER_ADDRESS, 1024, harness.settings))
        discovery.run(SECOND + SECOND // 10)
        self.assertIs(discovery.state_of(1), i.ListState.DRAINING)

    def test_frames_of_an_earlier_address_do_not_close_the_connection_to_the_new_one(self) -> None:
        harness = SessionHarness()
        harness.submit(s.Reconfigured((), OTHER_ADDRESS, 1024, harness.settings))
        harness.submit(s.ListUpdateReceived(1, HEARTBEAT))
        self.assertEqual(harness.channel_closed, [])
        harness.submit(s.ListUpdateReceived(2, HEARTBEAT))
        self.assertEqual(harness.channel_closed, [1])


class SilentChannel(unittest.TestCase):
    """Nothing arrives on a connection, or it is lost."""

    def setUp(self) -> None:
        self.harness = SessionHarness()

    def lose(self, reason: str = "refused") -> None:
        """Lose the latest connection."""
        self.harness.submit(s.ChannelLost(self.harness.channel_connects[-1].connection, reason))

    def test_a_silent_discovery_service_is_asked_in_time_whenever_it_recovers(self) -> None:
        # A connection opened just before it recovers stays silent; the next one delivers the updates.
        harness = self.harness
        harness.pass_time(30 * SECOND)
        before = len(harness.channel_connects)
        began = harness.now
        while len(harness.channel_connects) == before:
            harness.pass_time(SECOND // 20)
        wait = harness.now - began
        while len(harness.channel_connects) == before + 1:
            harness.pass_time(SECOND // 20)
        wait = max(wait, harness.now - began - wait)
        longest = limits.CHANNEL_CONNECT_TIMEOUT_MAX_US + limits.CHANNEL_RECONNECT_PAUSE_US + wait
        self.assertLess(longest, 6 * SECOND - SECOND // 2)

    def test_the_open_connections_are_limited_and_the_oldest_is_kept(self) -> None:
        discovery = SlowDiscovery(self.harness)
        for _ in range(600):
            self.harness.pass_time(SECOND // 10)
            self.assertLessEqual(len(discovery.open_connections()), limits.MAX_CHANNEL_CONNECTIONS)
        self.assertEqual(discovery.open_connections()[0].connection, 1)

    def test_a_connection_is_not_given_up_before_a_change_on_it_would_come_too_late(self) -> None:
        opened_us: dict[int, int] = {}
        closed_us: dict[int, int] = {}
        for _ in range(1200):
            self.harness.pass_time(SECOND // 20)
            for connect in self.harness.channel_connects:
                opened_us.setdefault(connect.connection, self.harness.now)
            for connection in self.harness.channel_closed:
                closed_us.setdefault(connection, self.harness.now)
        lifetimes = [closed_us[connection] - opened_us[connection] for connection in closed_us]
        self.assertGreater(len(lifetimes), 3)
        self.assertGreater(min(lifetimes), TOLD_AFTER_US + GRACE_US)

    def test_new_configurations_in_a_row_do_not_open_connections_to_the_same_address(self) -> None:
        harness = self.harness
        for _ in range(20):
            harness.submit(s.Reconfigured((), ADDRESS, 1024, harness.settings))
        self.assertEqual((len(harness.channel_connects), harness.channel_closed), (1, []))
        harness.submit(s.Reconfigured((), OTHER_ADDRESS, 1024, harness.settings))
        self.assertEqual(harness.channel_connects[-1].address, OTHER_ADDRESS)

    def test_the_first_reconnect_is_immediate_and_further_ones_follow_after_a_pause(self) -> None:
        harness, begin = self.harness, self.harness.now
        self.lose("closed")
        self.assertEqual(len(harness.channel_connects), 2)
        self.lose()
        self.assertEqual(len(harness.channel_connects), 2)
        for _ in range(8):  # each connect takes its whole time-out to fail
            harness.pass_time(limits.CHANNEL_RECONNECT_PAUSE_US)
            self.lose("timed out")
        self.assertEqual(len(harness.channel_connects), 10)
        self.assertLess(harness.now - begin, 2 * SECOND)

    def test_the_loss_of_an_earlier_connection_opens_none(self) -> None:
        harness = self.harness
        harness.pass_time(3 * SECOND)
        self.assertEqual(len(harness.channel_connects), 2)
        harness.submit(s.ChannelLost(1, "reset"))
        self.assertEqual(len(harness.channel_connects), 2)

    def test_a_reconnect_that_is_due_is_cancelled_if_an_earlier_connection_answers(self) -> None:
        harness = self.harness
        harness.pass_time(3 * SECOND)
        self.lose()
        self.lose()
        count = len(harness.channel_connects)
        harness.submit(s.ListUpdateReceived(1, HEARTBEAT))
        harness.pass_time(SECOND)
        self.assertEqual(len(harness.channel_connects), count)

    def test_a_silent_channel_is_asked_again_well_within_4_s(self) -> None:
        harness = self.harness
        for _ in range(8):
            harness.pass_time(SECOND)
            harness.submit(s.ListUpdateReceived(1, HEARTBEAT))
        self.assertEqual(len(harness.channel_connects), 1)
        harness.submit(s.ListUpdateReceived(1, draining(2)))
        harness.pass_time(4 * SECOND - limits.CHANNEL_CONNECT_TIMEOUT_US - SECOND)
        self.assertEqual(
            harness.channel_connects[1:], [s.ConnectChannel(2, ADDRESS, 2, limits.CHANNEL_CONNECT_TIMEOUT_US)]
        )

    def test_an_update_that_is_repeated_or_known_counts_once(self) -> None:
        # Otherwise the full list of the start, repeated, would restore an exchange that has gone.
        harness = self.harness
        full_list = p.ListUpdate(1, i.ListKind.FULL, tuple(exchange_record(k) for k in range(3)))
        gone = p.ListUpdate(2, i.ListKind.CHANGES, (exchange_record(1, state=i.ListState.GONE),))
        harness.submit(s.ListUpdateReceived(1, gone))
        count = len(harness.connects)
        harness.submit(s.ListUpdateReceived(1, full_list))
        harness.submit(s.Reconfigured((full_list, gone, draining(3, 2)), OTHER_ADDRESS, 512, harness.settings))
        self.assertNotIn(101, harness.session.exchanges.by_id)
        self.assertEqual(len(harness.connects), count)
        self.assertEqual(harness.session.exchanges.by_id[102].state, i.ListState.DRAINING)
        self.assertEqual(
            harness.channel_connects[-1], s.ConnectChannel(2, OTHER_ADDRESS, 3, limits.CHANNEL_CONNECT_TIMEOUT_US)
        )
        self.assertEqual(harness.session.core.socket_limit, 512)


class OnSockets(unittest.TestCase):
    def test_an_event_on_a_silent_connection_is_received_after_a_further_one_has_asked(self) -> None:
        # The program had closed the first connection, and the event with it.
        with Program() as program:
            self.assertEqual(program.channel_connection.recv(8), p.encode_cursor(1))
            further, _ = program.channel.accept()
            with further:
                self.assertEqual(further.recv(8), p.encode_cursor(1))
                program.send_list_update(2, 1, 2)
                self.assertIsNone(program.links[1].next())  # its exchange is gone from the list
