"""Tests of the reducer on a simulated clock, one for each failure that it has to prevent."""

from __future__ import annotations

import dataclasses
import unittest

from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, SessionHarness, exchange_record, group_state, set_up

GIVE_UP = p.ReleaseCause.NORMAL


def sent(written: list[tuple[int, p.Message]], kind: type) -> list[int]:
    """The streams on which messages of a kind were written."""
    return [stream for stream, message in written if isinstance(message, kind)]


class Calls(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.link = self.harness.first_links

    def test_a_call_is_answered_and_released_on_any_connection_of_its_caller(self) -> None:
        harness = self.harness
        self.assertEqual(sent(harness.deliver(1, set_up(5)), p.SetUp), [self.link[1]])
        answer = p.Answer(5, b"\0as it is")
        self.assertEqual(harness.deliver(self.link[1], answer), [(1, answer)])
        harness.submit(s.Accepted(2))
        harness.submit(s.ConnectionClosed(1))
        harness.deliver(2, set_up(6))
        written = harness.deliver(self.link[1], p.Release(5, GIVE_UP))
        self.assertIn((2, p.Release(5, GIVE_UP)), written)
        harness.deliver(2, p.Release(6, GIVE_UP))
        self.assertEqual(harness.session.calls.by_id, {})

    def test_a_release_waits_for_a_connection_and_is_dropped_after_8_s(self) -> None:
        for wait_us, delivered in ((7 * SECOND, True), (9 * SECOND, False)):
            harness = SessionHarness()
            harness.establish_call(5)
            harness.submit(s.ConnectionClosed(1))
            harness.deliver(harness.first_links[1], p.Release(5, GIVE_UP))
            harness.pass_time(wait_us)
            harness.submit(s.Accepted(2))
            written = harness.pass_time(SECOND // 4)
            self.assertEqual(written, [(2, p.Release(5, GIVE_UP))] if delivered else [])

    def test_a_release_that_crosses_a_close_is_sent_again(self) -> None:
        for release_confirmed in (False, True):
            harness = SessionHarness()
            harness.establish_call(5)
            harness.submit(s.Accepted(2))
            harness.deliver(harness.first_links[1], p.Release(5, GIVE_UP))
            if release_confirmed:
                harness.deliver(1, p.ReleaseConfirmed(5))
            written = harness.submit(s.ConnectionClosed(1)) + harness.pass_time(SECOND)
            self.assertEqual(written, [] if release_confirmed else [(2, p.Release(5, GIVE_UP))])

    def test_a_release_that_is_not_confirmed_is_sent_on_another_connection_too(self) -> None:
        # Its connection may be open although no program reads from it any more.
        for confirmed in (False, True):
            harness = SessionHarness()
            harness.establish_call(5)
            harness.submit(s.Accepted(2))
            harness.deliver(2, set_up(6, to=2))
            harness.deliver(harness.first_links[2], p.Answer(6, b"yes"))
            written = harness.deliver(harness.first_links[1], p.Release(5, GIVE_UP))
            self.assertIn((1, p.Release(5, GIVE_UP)), written)
            if confirmed:
                harness.deliver(1, p.ReleaseConfirmed(5))
            written = harness.pass_time(limits.CONFIRMATION_TIMEOUT_US + limits.SWEEP_INTERVAL_US)
            self.assertEqual(written, [] if confirmed else [(2, p.Release(5, GIVE_UP))])
            harness.deliver(2, p.ReleaseConfirmed(5))
            self.assertEqual(harness.pass_time(SECOND), [])

    def test_a_release_goes_to_a_caller_with_answered_calls_not_to_an_unknown_one(self) -> None:
        # Unknown callers connect by the hundred and are the last active ones. A release sent to them would be lost.
        harness = self.harness
        harness.submit(s.Accepted(2))
        harness.deliver(2, set_up(6, to=2))
        harness.deliver(self.link[2], p.Answer(6, b"yes"))
        harness.establish_call(5)
        for unknown in (3, 4):
            harness.submit(s.Accepted(unknown))
        harness.deliver(3, p.HealthCheck(1))
        harness.deliver(4, set_up(7, to=2))
        harness.submit(s.ConnectionClosed(1))
        written = harness.deliver(self.link[1], p.Release(5, GIVE_UP))
        self.assertIn((2, p.Release(5, GIVE_UP)), written)

    def test_a_release_whose_connections_close_in_turn_is_not_held_again(self) -> None:
        harness = self.harness
        harness.establish_call(5)
        for stream in (2, 3):
            harness.submit(s.Accepted(stream))
        harness.deliver(self.link[1], p.Release(5, GIVE_UP))
        harness.submit(s.ConnectionClosed(1))
        harness.pass_time(limits.RELEASE_HOLD_US + limits.SWEEP_INTERVAL_US)
        self.assertIn((2, p.Release(5, GIVE_UP)), harness.written)
        self.assertEqual(harness.submit(s.ConnectionClosed(2)), [(3, p.Release(5, GIVE_UP))])

    def test_the_release_of_a_caller_is_sent_to_the_exchange_again_on_a_new_link(self) -> None:
        self.harness.establish_call(5)
        self.harness.submit(s.ConnectionClosed(self.link[1]))
        self.harness.deliver(1, p.Release(5, GIVE_UP))
        other = self.harness.second_links[1]
        self.assertIn((other, p.Release(5, GIVE_UP)), self.harness.written)
        # Nothing confirms that it has arrived, so it is sent on the next link too if this one is closed.
        self.harness.submit(s.ConnectionClosed(other))
        again = self.harness.connects[-1].stream
        self.assertEqual(self.harness.submit(s.Connected(again)), [(again, p.Release(5, GIVE_UP))])

    def test_a_repeated_id_gets_only_one_answer(self) -> None:
        # First while the call is open, then after its answer. Further set-ups with the id must not get another answer.
        for answered in (False, True):
            harness = SessionHarness()
            written = harness.deliver(1, set_up(5))
            if answered:
                written += harness.deliver(harness.first_links[1], p.Answer(5, b"yes"))
            for repeat in (set_up(5), set_up(5, to=2), set_up(5, width=9)):
                written += harness.deliver(1, repeat)
            written += harness.pass_time_with_reports(9 * SECOND)
            finals = [m for stream, m in written if stream == 1]
            self.assertEqual([type(m) for m in finals], [p.Answer if answered else p.Release])

    def test_a_caller_that_uses_the_id_of_another_is_closed_and_the_first_call_goes_on(self) -> None:
        for stands in (False, True):
            harness = SessionHarness()
            harness.deliver(1, set_up(5))
            if stands:
                harness.deliver(harness.first_links[1], p.Answer(5, b"yes"))
            harness.submit(s.Accepted(2))
            harness.deliver(2, set_up(6, to=2))
            written = harness.deliver(2, set_up(5, to=2))
            self.assertEqual([m.call for stream, m in written if stream == 2], [6])
            self.assertIn(2, harness.closed)
            if not stands:
                self.assertEqual(sent(harness.deliver(harness.first_links[1], p.Answer(5, b"yes")), p.Answer), [1])
            self.assertEqual(sent(harness.deliver(harness.first_links[1], p.Release(5, GIVE_UP)), p.Release), [1])

    def test_an_invalid_set_up_fails_at_once_and_reaches_no_exchange(self) -> None:
        good = set_up(5)
        cases = {
            "id": {"call": 0}, "class": {"class_name": "premium"}, "tenant": {"tenant": "nobody"},
            "no tenant": {"tenant": ""}, "called": {"called": "12g4" * 4}, "called short": {"called": "12"},
            "no wait": {"wait_ms": 0}, "wait beyond the class": {"wait_ms": 9002},
            "no dest": {"figures": {"width": 1}}, "dest below": {"figures": {**good.figures, "dest": -3}},
            "no width": {"figures": {"dest": 1}}, "no circuit": {"figures": {**good.figures, "width": 0}},
            "wide": {"figures": {**good.figures, "width": 400}},
            "via": {"figures": {**good.figures, "via": -2}},
            "transit": {"figures": {**good.figures, "transit": 2}},
        }  # fmt: skip
        for name, change in cases.items():
            with self.subTest(name):
                bad = dataclasses.replace(good, **change)
                written = SessionHarness().deliver(1, bad)
                self.assertEqual(written, [(1, p.Release(bad.call, p.ReleaseCause.INVALID_CONTENTS))])
        forms = ({"wait_ms": 9000}, {"called": "0123456789ABCDEF"}, {"figures": {"dest": 1, "width": 1}})
        for change in forms:
            harness = SessionHarness()
            self.assertEqual(
                sent(harness.deliver(1, dataclasses.replace(good, **change)), p.SetUp), [harness.first_links[1]]
            )

    def test_a_caller_that_gives_up_frees_the_exchange_and_gets_no_answer(self) -> None:
        self.harness.deliver(1, set_up(5))
        give_up = p.Release(5, GIVE_UP)
        self.assertEqual(self.harness.deliver(1, give_up), [(self.link[1], give_up)])
        self.harness.deliver(self.link[1], p.ReleaseConfirmed(5))  # else it would be repeated on another link
        self.assertEqual(self.harness.pass_time(10 * SECOND), [])

    def test_the_set_ups_of_a_caller_that_disconnects_are_given_up(self) -> None:
        self.harness.deliver(1, set_up(5))
        self.assertEqual(self.harness.submit(s.ConnectionClosed(1)), [(self.link[1], p.Release(5, GIVE_UP))])

    def test_a_caller_that_closes_its_sending_side_still_gets_its_answer(self) -> None:
        self.harness.deliver(1, set_up(5))
        self.harness.submit(s.EndOfInput(1))
        self.assertEqual(self.harness.closed, [])
        answer = p.Answer(5, b"yes")
        self.assertEqual(self.harness.deliver(self.link[1], answer), [(1, answer)])
        self.assertEqual(self.harness.closed, [1])

    def test_an_internal_error_fails_only_the_call_concerned(self) -> None:
        self.harness.deliver(1, set_up(4))
        controller = self.harness.session.decision_module.controller
        handle, controller.handle = controller.handle, lambda *_: 1 / 0  # type: ignore[assignment]
        written = self.harness.deliver(1, set_up(5))
        controller.handle = handle  # type: ignore[method-assign]
        self.assertEqual(written, [(1, p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE))])
        self.assertEqual(len(self.harness.deliver(self.link[1], p.Answer(4, b""))), 1)
        self.assertGreater(self.harness.session.counters["errors"], 0)

    def test_the_time_that_a_set_up_stayed_unread_is_subtracted_from_its_wait(self) -> None:
        self.harness.session.decision_module.controller.handle = lambda *_: []  # type: ignore[method-assign]
        self.harness.submit(s.MessageReceived(1, set_up(5, wait_ms=1000), 300_000))
        self.assertEqual(sent(self.harness.pass_time(700_000), p.Release), [1])

    def test_a_call_that_the_decision_module_never_answers_fails_at_its_deadline(self) -> None:
        self.harness.session.decision_module.controller.handle = lambda *_: []  # type: ignore[method-assign]
        self.harness.deliver(1, set_up(5, wait_ms=1000))
        self.assertEqual(sent(self.harness.pass_time(SECOND), p.Release), [1])


class Attempts(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.link = self.harness.first_links

    def test_the_give_up_is_written_before_the_time_out_is_reported(self) -> None:
        harness = self.harness
        harness.deliver(1, set_up(5))
        harness.stalled_streams.add(self.link[1])
        harness.pass_time(1_500_000)
        self.assertIn(5, harness.session.calls.by_id)  # its give-up is being written
        self.assertEqual(harness.written[-1], (self.link[1], p.Release(5, GIVE_UP)))
        # A link on which a give-up is not written within 50 ms is closed, which gives up all set-ups on it.
        written = harness.pass_time(limits.GIVE_UP_TIMEOUT_US)
        self.assertIn(self.link[1], harness.closed)
        # The release is sent on the other link too: the exchange may have answered just before the close.
        self.assertEqual(sent(written, p.Release), [1, harness.second_links[1]])

    def test_a_further_attempt_at_an_exchange_uses_another_link(self) -> None:
        harness = self.harness
        harness.deliver(1, set_up(5))
        harness.deliver(self.link[1], p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE))
        harness.pass_time(400_000)
        second = harness.second_links[1]
        self.assertEqual(sent(harness.written[-1:], p.SetUp), [second])
        # An answer to the first attempt must neither count for the second nor be released, which would end the second.
        self.assertEqual(harness.deliver(self.link[1], p.Answer(5, b"late")), [])
        self.assertEqual(sent(harness.deliver(second, p.Answer(5, b"yes")), p.Answer), [1])

    def test_outcomes_of_attempts_by_release_cause_and_after_the_loss_of_the_link(self) -> None:
        release = p.Release
        cases: list[tuple[p.Message | None, str]] = [
            (release(5, 34, "no_circuit"), "turned_away"), (release(5, 17, "lines_busy"), "no_line"),
            (release(5, 47), "no_line"), (release(5, 102, "no_circuit"), "not_sent"),
            (release(5, 41), "cut"), (None, "cut"),
        ]  # fmt: skip
        for message, outcome in cases:
            with self.subTest(message):
                harness = SessionHarness()
                harness.deliver(1, set_up(5))
                link = harness.first_links[1]
                harness.deliver(link, message) if message else harness.submit(s.ConnectionClosed(link))
                self.assertEqual(harness.session.counters[f"attempts_{outcome}"], 1)

    def test_a_set_up_that_waits_for_its_link_is_checked_when_it_is_written(self) -> None:
        def changed(harness: SessionHarness) -> None:
            update = p.ListUpdate(2, i.ListKind.CHANGES, (exchange_record(1, state=i.ListState.DRAINING),))
            harness.submit(s.ListUpdateReceived(1, update))

        def late(harness: SessionHarness) -> None:
            harness.pass_time(1_500_000)

        for happens, counter in ((changed, "attempts_not_sent"), (late, "attempts_unreachable")):
            harness = SessionHarness(remote_exchanges=1)
            harness.submit(s.ConnectionClosed(harness.first_links[1]))
            harness.deliver(1, set_up(5))
            happens(harness)
            written = harness.submit(s.Connected(harness.connects[-1].stream))
            self.assertEqual((sent(written, p.SetUp), harness.session.counters[counter]), ([], 1))

    def test_a_peer_that_does_not_read_is_dropped_and_delays_no_other(self) -> None:
        harness = self.harness
        harness.stalled_streams.add(1)
        harness.establish_call(5)
        harness.submit(s.Accepted(2))
        harness.deliver(2, set_up(6, to=2))
        self.assertEqual(sent(harness.deliver(self.link[2], p.Answer(6, b"")), p.Answer), [2])
        harness.pass_time(limits.WRITE_TIMEOUT_US + SECOND)
        self.assertEqual(harness.closed, [1])


class SplicedAnswers(unittest.TestCase):
    """A truncated answer whose declared length is filled with bytes of the message behind it."""

    def test_a_spliced_answer_is_not_passed_on_and_its_link_is_closed(self) -> None:
        next_messages = (
            p.Answer(6, b"v=0"),
            p.Release(4, GIVE_UP),
            group_state(7),
            p.ReleaseConfirmed(4),
            p.Answer(5, b"v=0"),
        )
        for message in next_messages:
            harness = SessionHarness()
            harness.establish_call(4)
            harness.deliver(1, set_up(6))
            harness.deliver(1, set_up(5))
            spliced = p.Answer(5, b"v=0" + p.encode(message))
            written = harness.deliver(harness.first_links[1], spliced)
            self.assertNotIn((1, spliced), written)
            self.assertIn(harness.first_links[1], harness.closed)

    def test_any_other_description_is_passed_on(self) -> None:
        for description in (b"\x00\xff" * 40, b"call 0000000000000006", (6).to_bytes(8, "big"), bytes(30)):
            harness = SessionHarness()
            harness.deliver(1, set_up(6))
            harness.deliver(1, set_up(5))
            answer = p.Answer(5, description)
            self.assertIn((1, answer), harness.deliver(harness.first_links[1], answer))


class MaybeStanding(unittest.TestCase):
    """A link breaks while a set-up is outstanding on it, which the exchange may have answered just before."""

    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.harness.deliver(1, set_up(5))

    def released(self, written: list[tuple[int, p.Message]]) -> list[int]:
        """Ids of the exchanges to which the release of call 5 was written."""
        links_by_stream = self.harness.session.links.by_stream
        release = p.Release(5, GIVE_UP)
        return [
            links_by_stream[stream].exchange_id
            for stream, message in written
            if stream in links_by_stream and message == release
        ]

    def test_the_exchange_is_sent_a_release_once_the_call_has_ended(self) -> None:
        harness = self.harness
        written = harness.submit(s.ConnectionClosed(harness.first_links[1]))
        self.assertEqual(self.released(written), [])  # a later attempt there has the same id
        self.assertEqual(self.released(harness.deliver(1, p.Release(5, GIVE_UP))), [101])

    def test_the_exchange_is_sent_a_release_if_another_answers_the_call_not_if_it_does(self) -> None:
        for direct_is_full, released_at in ((False, []), (True, [101])):
            self.setUp()
            harness = self.harness
            harness.submit(s.ConnectionClosed(harness.first_links[1]))
            if direct_is_full:
                harness.deliver(harness.second_links[1], group_state(0))
            harness.pass_time(SECOND // 2)
            attempt = harness.session.calls.by_id[5].attempt
            self.assertEqual(attempt.link.exchange_id, 102 if direct_is_full else 101)
            if not attempt.link.up:
                harness.submit(s.Connected(attempt.link.ident))
            self.assertEqual(self.released(harness.deliver(attempt.link.ident, p.Answer(5, b"yes"))), released_at)

    def test_a_give_up_that_may_be_lost_with_its_link_is_sent_again(self) -> None:
        harness = self.harness
        harness.deliver(1, p.Release(5, GIVE_UP))
        self.assertEqual(self.released(harness.submit(s.ConnectionClosed(harness.first_links[1]))), [101])


class Exchanges(unittest.TestCase):
    def test_an_exchange_whose_link_breaks_and_that_refuses_the_next_has_lost_its_calls(self) -> None:
        """Idle links to a process that has died may stay open without any message."""
        harness = SessionHarness(remote_exchanges=1)
        harness.deliver(1, set_up(4))
        harness.deliver(harness.first_links[1], p.Release(4, p.ReleaseCause.TEMPORARY_FAILURE))
        harness.pass_time(400_000)
        idle = harness.connects[-1].stream
        harness.submit(s.Connected(idle))
        harness.establish_call(5)
        harness.submit(s.ConnectionClosed(harness.first_links[1]))
        written = harness.submit(s.ConnectFailed(harness.connects[-1].stream, refused=True))
        self.assertIn((1, p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE)), written)
        self.assertIn(idle, harness.closed)
        # The exchange releases the call once more when it is back, which is ignored as late.
        self.assertEqual(harness.deliver(harness.first_links[1], p.Release(5, 41)), [])

    def test_a_draining_exchange_may_refuse_links_while_its_calls_go_on(self) -> None:
        harness = SessionHarness()
        harness.establish_call(5)
        harness.submit(
            s.ListUpdateReceived(
                1, p.ListUpdate(2, i.ListKind.CHANGES, (exchange_record(1, state=i.ListState.DRAINING),))
            )
        )
        for stream in (harness.first_links[1], harness.second_links[1]):
            harness.submit(s.ConnectionClosed(stream))
        written = harness.submit(s.ConnectFailed(harness.connects[-1].stream, True)) + harness.pass_time(SECOND)
        self.assertEqual(sent(written, p.Release), [])
        self.assertIn(5, harness.session.calls.by_id)
        harness.submit(s.Connected(harness.connects[-1].stream))  # by now another exchange may have its address
        written = harness.pass_time(limits.DRAINED_AFTER_US)
        self.assertIn((1, p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE)), written)

    def test_a_refused_connect_beside_a_link_that_is_up_does_not_end_calls(self) -> None:
        harness = SessionHarness(remote_exchanges=1)
        harness.establish_call(4)
        harness.deliver(1, set_up(5))
        harness.deliver(harness.first_links[1], p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE))
        harness.pass_time(400_000)
        harness.submit(s.ConnectFailed(harness.connects[-1].stream, refused=True))
        self.assertIn(4, harness.session.calls.by_id)

    def test_calls_at_an_exchange_that_is_gone_restarted_or_unreachable_end(self) -> None:
        gone = p.ListUpdate(2, i.ListKind.CHANGES, (exchange_record(1, state=i.ListState.GONE),))
        omitted = p.ListUpdate(2, i.ListKind.FULL, (exchange_record(0), exchange_record(2)))

        def restart(harness: SessionHarness) -> s.Input:
            started = exchange_record(1, started=harness.now + 1)
            return s.ListUpdateReceived(1, p.ListUpdate(2, i.ListKind.CHANGES, (started,)))

        for happens in (lambda _: s.ListUpdateReceived(1, gone), lambda _: s.ListUpdateReceived(1, omitted), restart):
            harness = SessionHarness()
            harness.establish_call(5)
            self.assertEqual(sent(harness.submit(happens(harness)), p.Release), [1])
        harness = SessionHarness()
        harness.establish_call(5)
        harness.submit(s.ConnectionClosed(harness.first_links[1]))  # the other stays open, and silent
        harness.submit(s.ConnectFailed(harness.connects[-1].stream, refused=False))
        self.assertEqual(sent(harness.pass_time(limits.SILENCE_LIMIT_US + SECOND), p.Release), [1])

    def test_links_are_reconnected_after_growing_pauses(self) -> None:
        harness = SessionHarness(remote_exchanges=1)
        harness.submit(s.ConnectionClosed(harness.second_links[1]))
        harness.submit(s.ConnectionClosed(harness.first_links[1]))
        pauses = []
        for _ in range(8):
            before = harness.now
            count = len(harness.connects)
            harness.submit(s.ConnectFailed(harness.connects[-1].stream, refused=True))
            while len(harness.connects) == count:
                harness.now = harness.session.wake_us()
                harness.submit(s.Tick())
            pauses.append(harness.now - before)
        self.assertLessEqual(max(pauses), limits.RECONNECT_MAX_US)
        self.assertGreaterEqual(pauses[-1], limits.RECONNECT_MAX_US // 2)
        self.assertGreater(pauses[-1], pauses[1])

    def test_an_old_update_of_the_channel_is_ignored(self) -> None:
        harness = SessionHarness()
        update = p.ListUpdate(1, i.ListKind.CHANGES, (exchange_record(1, state=i.ListState.GONE),))
        harness.submit(s.ListUpdateReceived(1, update))
        self.assertEqual(harness.closed, [])

    def test_the_release_of_a_call_from_before_a_restart_is_sent_to_a_caller(self) -> None:
        harness = SessionHarness()
        harness.deliver(1, set_up(5))
        release = p.Release(77, GIVE_UP)
        self.assertEqual(harness.deliver(harness.first_links[1], release), [(1, release)])
        self.assertEqual(harness.deliver(harness.first_links[1], release), [])

    def test_group_states_reach_the_decision_module(self) -> None:
        harness = SessionHarness()
        harness.deliver(harness.first_links[1], group_state(0))
        self.assertEqual(sent(harness.deliver(1, set_up(5)), p.SetUp), [harness.first_links[2]])

    def test_nothing_is_kept_of_exchanges_that_are_gone(self) -> None:
        # In long runs exchanges come and go under new ids, at the addresses of earlier ones.
        harness = SessionHarness(remote_exchanges=1)
        for k in range(50):
            new = p.ExchangeRecord(i.ListEntry(200 + k, 1, i.ListState.READY, 0), ("127.0.0.1", 5 + k % 3))
            old = exchange_record(1, state=i.ListState.GONE) if k == 0 else dataclasses.replace(new, entry=i.ListEntry(
                199 + k, 1, i.ListState.GONE, 0))  # fmt: skip
            harness.submit(s.ListUpdateReceived(1, p.ListUpdate(2 + k, i.ListKind.CHANGES, (old, new))))
            harness.submit(s.Connected(harness.connects[-1].stream))
            harness.deliver(harness.connects[-2].stream, group_state(20))
            self.assertEqual(sent(harness.deliver(1, set_up(5 + k)), p.SetUp), [harness.connects[-2].stream])
            self.assertEqual(sent(harness.deliver(harness.connects[-2].stream, p.Answer(5 + k, b"y")), p.Answer), [1])
        self.assertEqual(len(harness.session.exchanges.by_id), 2)
        self.assertEqual(len(harness.session.decision_module.controller.exchanges), 2)
        self.assertEqual(len(harness.session.links.by_stream), 2)
        self.assertEqual(len(harness.session.calls.by_id), 1)

    def test_a_new_exchange_at_an_address_replaces_the_old_one_there(self) -> None:
        # Otherwise calls would be sent to the new one under the old id until the old one is reported as gone.
        harness = SessionHarness(remote_exchanges=1)
        moved = p.ExchangeRecord(i.ListEntry(300, 1, i.ListState.READY, 0), exchange_record(1).address)
        harness.submit(s.ListUpdateReceived(1, p.ListUpdate(2, i.ListKind.CHANGES, (moved,))))
        self.assertIn(harness.first_links[1], harness.closed)
        self.assertEqual(list(harness.session.exchanges.by_id), [100, 300])
        self.assertEqual(list(harness.session.decision_module.controller.exchanges), [100, 300])


class CorruptedLinks(unittest.TestCase):
    """After a corrupted or lost message of an exchange its link is useless, although it may stay open."""

    def setUp(self) -> None:
        self.harness = SessionHarness(remote_exchanges=1)
        self.link, self.other = self.harness.first_links[1], self.harness.second_links[1]

    def test_a_message_that_no_exchange_sends_closes_its_link(self) -> None:
        self.harness.deliver(self.link, p.UnknownMessage(5, 123))
        self.assertEqual(self.harness.closed, [self.link])

    def test_a_link_with_a_partial_message_gets_no_set_ups_and_is_closed(self) -> None:
        harness = self.harness
        harness.deliver(1, set_up(4))
        harness.submit(s.PartialMessage(self.link, True))
        self.assertEqual(sent(harness.deliver(1, set_up(5)), p.SetUp), [self.other])
        harness.pass_time(limits.LINK_PARTIAL_TIMEOUT_US)
        self.assertEqual(harness.closed, [self.link])
        self.assertEqual(harness.session.counters["attempts_cut"], 1)

    def test_a_message_that_is_completed_leaves_its_link_open(self) -> None:
        for partial in (True, False):
            self.harness.submit(s.PartialMessage(self.link, partial))
        self.harness.pass_time(SECOND)
        self.assertEqual(self.harness.closed, [])

    def test_a_link_that_lacks_group_states_of_the_other_link_is_closed(self) -> None:
        harness = self.harness
        for free in (20, 19):
            harness.deliver(self.other, group_state(free))
            harness.deliver(self.link, group_state(free))
            harness.pass_time(400_000)
        self.assertEqual(harness.closed, [])
        for free in (18, 17):
            harness.deliver(self.other, group_state(free))
            harness.pass_time(400_000)
        self.assertEqual(harness.closed, [self.link])

    def test_a_link_without_messages_is_closed_when_an_attempt_times_out_on_it(self) -> None:
        harness = self.harness
        harness.pass_time(1)  # the last message was received before the attempt
        harness.deliver(1, set_up(5))
        harness.pass_time(300_000)
        harness.deliver(self.other, group_state(20))
        harness.pass_time(1_300_000)
        self.assertEqual(harness.closed, [self.link])

    def test_an_attempt_not_sent_yet_survives_the_reset_of_its_new_link(self) -> None:
        harness = self.harness
        harness.submit(s.ConnectionClosed(self.other))
        harness.submit(s.ConnectionClosed(self.link))
        new = harness.connects[-1].stream
        harness.stalled_streams.add(new)
        harness.submit(s.Connected(new))
        harness.deliver(new, p.HealthCheck(1))  # its answer is a write that does not complete
        harness.deliver(1, set_up(5))
        harness.submit(s.ConnectionClosed(new))
        again = next(c.stream for c in harness.connects if c.stream in harness.session.links.by_stream
                     and harness.session.links.by_stream[c.stream].attempts)  # fmt: skip
        self.assertEqual(sent(harness.submit(s.Connected(again)), p.SetUp), [again])

    def test_a_group_state_that_arrives_on_every_link_counts_once(self) -> None:
        # Otherwise the copy would count as free the circuit that a call has just been sent to, and the next call fails.
        harness = self.harness
        harness.pass_time(SECOND)
        for link in (self.link, self.other):
            harness.deliver(link, group_state(0))
        harness.deliver(1, set_up(5))
        harness.deliver(1, set_up(6))
        written = harness.deliver(self.link, group_state(1)) + harness.deliver(self.other, group_state(1))
        self.assertEqual(len(sent(written, p.SetUp)), 1)
        written = harness.deliver(self.link, group_state(0)) + harness.deliver(self.link, group_state(1))
        self.assertEqual(len(sent(written, p.SetUp)), 1)

    def test_a_late_copy_of_a_refusal_ends_no_standing_call(self) -> None:
        harness = self.harness
        harness.establish_call(5)
        harness.deliver(self.link, p.Release(5, p.ReleaseCause.NO_CIRCUIT, "no_circuit"))
        self.assertIn(5, harness.session.calls.by_id)

    def test_messages_with_an_unknown_id_reach_no_caller(self) -> None:
        harness = self.harness
        harness.deliver(1, set_up(5))
        written = harness.deliver(self.link, p.Answer(99, b"no")) + harness.deliver(self.link, p.Answer(5, b"yes"))
        written += harness.deliver(self.link, p.Answer(5, b"yes"))
        self.assertEqual([m for stream, m in written if stream == 1], [p.Answer(5, b"yes")])
        self.assertIn(5, harness.session.calls.by_id)


class MisbehavingCallers(unittest.TestCase):
    """Callers that send nothing valid get a message or a close within 3 s, and do not displace well-behaved ones."""

    def setUp(self) -> None:
        self.harness = SessionHarness()

    def test_connections_that_are_silent_or_end_within_a_message_are_closed_in_time(self) -> None:
        harness = self.harness
        harness.deliver(1, p.HealthCheck(1))
        for stream in (2, 3, 4):
            harness.submit(s.Accepted(stream))
        harness.deliver(3, set_up(5))
        harness.submit(s.PartialMessage(1, True))
        harness.deliver(4, p.UnknownMessage(1, 123))
        harness.pass_time(2_500_000)
        self.assertEqual(harness.closed, [])  # a message that arrives in pieces may take until now
        harness.pass_time(400_000)
        # The caller of the open call stays, and so do idle connections to which something has been sent.
        self.assertEqual(sorted(harness.closed), [1, 2, 4])
        harness.deliver(harness.first_links[1], p.Answer(5, b"yes"))
        harness.pass_time(60 * SECOND)
        self.assertNotIn(3, harness.closed)

    def test_after_malformed_input_open_calls_fail_and_the_connection_is_closed(self) -> None:
        harness = self.harness
        harness.deliver(1, set_up(5))
        written = harness.submit(s.MalformedInput(1, "message of 3 bytes"))
        self.assertIn((1, p.Release(5, p.ReleaseCause.TEMPORARY_FAILURE)), written)
        self.assertIn((harness.first_links[1], p.Release(5, GIVE_UP)), written)
        self.assertEqual(harness.closed, [1])

    def test_callers_that_flood_are_closed_and_a_busy_valid_caller_is_not(self) -> None:
        floods = {
            "invalid set-ups": lambda k: set_up(k, width=3), "releases": lambda k: p.Release(k, GIVE_UP),
            "health checks": p.HealthCheck, "useless messages": lambda k: p.Progress(k), "one id": lambda _: set_up(7),
        }  # fmt: skip
        for name, message in floods.items():
            with self.subTest(name):
                harness = SessionHarness()
                for k in range(1, 200):
                    harness.deliver(1, message(k))
                self.assertEqual(harness.closed, [1])
        self.harness.deliver(1, set_up(1000))
        for k in range(1, 400):
            self.harness.deliver(1, p.Release(k, GIVE_UP))  # of calls that stood before a restart
            self.harness.deliver(1, p.ReleaseConfirmed(k)) if k % 3 == 0 else None
            self.harness.pass_time(100_000)
        self.assertEqual(self.harness.closed, [])

    def test_calls_beyond_the_limit_of_a_connection_are_refused_at_once(self) -> None:
        for k in range(1, limits.MAX_OPEN_CALLS + 1):
            self.harness.deliver(1, set_up(k, wait_ms=9000))
        unanswered = len(self.harness.session.callers.by_stream[1].unanswered)
        self.assertLessEqual(unanswered, limits.MAX_OPEN_CALLS)
        for k in range(unanswered, limits.MAX_OPEN_CALLS + 1):
            written = self.harness.deliver(1, set_up(1000 + k, wait_ms=9000))
        self.assertEqual([(m.cause, m.retry_after_ms) for _, m in written], [(p.ReleaseCause.CONGESTION, 2000)])

    def test_connections_with_standing_calls_are_the_last_to_make_room(self) -> None:
        harness = SessionHarness(socket_limit=3 * limits.DESCRIPTORS_PER_GUARANTEED_CALLER)
        harness.establish_call(5)
        for stream in range(2, 40):
            harness.submit(s.Accepted(stream))
            harness.deliver(stream, p.HealthCheck(1))
        self.assertNotIn(1, harness.closed)

    def test_the_number_of_callers_follows_the_descriptor_limit(self) -> None:
        for descriptors, exchanges, max_callers in ((384, 3, 335), (1024, 40, 864), (128, 10, 58), (96, 20, 32)):
            harness = SessionHarness(remote_exchanges=exchanges - 1, socket_limit=descriptors)
            self.assertEqual(harness.session.descriptors.caller_limit(), max_callers)

    def test_a_set_up_that_arrives_in_pieces_outlasts_silent_connections(self) -> None:
        harness = SessionHarness(socket_limit=12 * limits.DESCRIPTORS_PER_GUARANTEED_CALLER)
        harness.submit(s.Accepted(2))
        for stream in range(10, 60):
            harness.pass_time(100_000)
            harness.submit(s.Accepted(stream))
            if stream % 3 == 0 and stream < 30:
                harness.submit(s.PartialMessage(2, True))
            if stream == 31:
                harness.deliver(2, set_up(5))
                harness.submit(s.PartialMessage(2, False))
        self.assertNotIn(2, harness.closed)
        self.assertGreater(len(harness.closed), 20)

    def test_if_all_unknown_callers_are_recent_a_connection_without_calls_makes_room(self) -> None:
        harness = SessionHarness(socket_limit=4 * limits.DESCRIPTORS_PER_GUARANTEED_CALLER)
        harness.establish_call(5)
        harness.submit(s.Accepted(2))
        harness.deliver(2, set_up(6, to=9))  # refused, so no call is left on the connection
        harness.pass_time(SECOND)
        for stream in (3, 4, 5, 6):
            harness.submit(s.Accepted(stream))
        # After it the unknown callers; the connection with the standing call would be the last.
        self.assertEqual(harness.closed_callers, [2, 3])

    def test_no_timer_refers_to_calls_that_were_given_up(self) -> None:
        harness = self.harness
        for k in range(1, 30):
            harness.deliver(1, set_up(k, wait_ms=9000))
            harness.deliver(1, p.Release(k, GIVE_UP))
        call_timers = [t for _, _, t in harness.session.timers.heap if isinstance(t.subject, s.Call | s.Attempt)]
        self.assertEqual((call_timers, harness.session.calls.by_id), ([], {}))


class DescriptorsAndTermination(unittest.TestCase):
    def test_idle_connections_make_room_within_the_descriptor_limit(self) -> None:
        harness = SessionHarness(socket_limit=2 * limits.DESCRIPTORS_PER_GUARANTEED_CALLER)
        harness.deliver(1, set_up(5))
        harness.submit(s.Accepted(2))
        harness.submit(s.Accepted(3))  # the idle one makes room
        self.assertEqual(harness.closed, [2])
        harness.deliver(3, set_up(6))
        harness.submit(s.Accepted(4))  # none is idle
        self.assertEqual(harness.closed, [2, 4])

    def test_after_sigterm_it_exits_once_all_calls_are_answered_and_before_sigkill(self) -> None:
        for answered in (True, False):
            harness = SessionHarness()
            harness.deliver(1, set_up(5, wait_ms=9000))
            harness.submit(s.Terminate())
            harness.pass_time(300_000)
            harness.submit(s.Accepted(2))
            self.assertEqual(sent(harness.deliver(2, set_up(6, to=2)), p.SetUp), [harness.first_links[2]])
            harness.deliver(harness.first_links[2], p.Answer(6, b""))
            if answered:
                harness.deliver(harness.first_links[1], p.Answer(5, b""))
            harness.pass_time(limits.SIGTERM_GRACE_US - 300_001)
            self.assertFalse(harness.exited)
            harness.pass_time(2)
            self.assertEqual(harness.exited, answered)
            # Calls still open shortly before SIGKILL are answered. It may come 3.7 s after SIGTERM: 3 s and 0.7 s more.
            written = harness.pass_time(3 * SECOND - 100_000)
            self.assertEqual([m.call for k, m in written if k == 1], [] if answered else [5])
            self.assertTrue(harness.exited)

    def test_before_the_exit_connections_close_one_by_one_and_late_set_ups_are_refused(self) -> None:
        harness = SessionHarness()
        harness.submit(s.Accepted(2))
        unread = {2}  # streams with a set-up in the socket, so that they cannot be closed yet
        original_step = harness.session.step

        def step(now: int, input_: s.Input) -> list[s.Effect]:
            effects = original_step(now, input_)
            return [e for e in effects if not (isinstance(e, s.CloseIdle) and e.stream in unread)]

        harness.session.step = step  # type: ignore[method-assign]
        harness.submit(s.Terminate())
        harness.pass_time(limits.SIGTERM_GRACE_US)
        self.assertEqual((harness.closed, harness.exited), ([1], False))
        refusal = p.Release(7, p.ReleaseCause.CONGESTION, retry_after_ms=2000)
        unread.clear()
        self.assertEqual(harness.deliver(2, set_up(7)), [(2, refusal)])
        harness.pass_time(limits.SIGTERM_CLOSE_INTERVAL_US)
        self.assertEqual((harness.closed, harness.exited), ([1, 2], True))

    def test_a_set_up_that_arrives_when_the_exit_answers_all_calls_causes_no_error(self) -> None:
        # The decision module must not be offered a call that failed in the same step: it would send a set-up for it.
        harness = SessionHarness(remote_exchanges=3)
        harness.submit(s.Terminate())
        last_us = harness.session.phases.answer_all_by_us
        for call in range(10, 14):
            harness.deliver(1, set_up(call, to=1 + call % 2 * 2, wait_ms=9000))  # keeps the program from exiting
            harness.pass_time((last_us - harness.session.phases.sigterm_us) // 4 - 1)
        harness.deliver(1, set_up(5, wait_ms=9000))
        harness.now = last_us
        written = harness.deliver(1, set_up(6, to=2, wait_ms=9000))
        self.assertEqual(sorted(m.call for stream, m in written if stream == 1), [5, 6, 13])
        self.assertEqual(harness.session.counters["errors"], 0)
        self.assertNotIn(6, harness.session.decision_module.controller.calls)

    def test_a_clock_that_is_set_back_does_not_reach_the_decision_module(self) -> None:
        harness = SessionHarness()
        times: list[int] = []
        handle = harness.session.decision_module.controller.handle
        harness.session.decision_module.controller.handle = lambda now, event: times.append(now) or handle(now, event)  # type: ignore
        for set_back_us in (0, 5 * SECOND):
            harness.now -= set_back_us
            harness.deliver(1, set_up(5 + set_back_us))
        self.assertEqual(times, sorted(times))
