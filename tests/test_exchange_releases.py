"""Releases to exchanges that are not confirmed, and the ends that exchanges report of calls refused long before."""

from __future__ import annotations

import signal
import unittest

from latchturn import interface as i
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, Program, SessionHarness, SimulatedNetwork, exchange_record, group_state, set_up

END = p.ReleaseCause.NORMAL


class Exchange(SimulatedNetwork):
    """Exchange 101 of a harness: it confirms releases, but on links that no longer deliver, and repeats reports of
    ends on the next link that is opened."""

    def __init__(self, harness: SessionHarness, confirms: bool = True, quiet: bool = False) -> None:
        super().__init__(harness)
        self.confirms = confirms
        self.quiet = quiet  # sends no group states but the first on each link, so that a dead link is not noticed
        self.dead_links: set[int] = set()
        self.standing: set[int] = set()
        self.unreported: list[int] = []
        self.released: list[int] = []

    def link_accepted(self, stream: int) -> None:
        reports, self.unreported = self.unreported, []
        for call in reports:
            self.harness.deliver(stream, p.Release(call, END))

    def message_written(self, stream: int, message: p.Message) -> None:
        if stream in self.dead_links or not isinstance(message, p.Release):
            return
        self.standing.discard(message.call)
        self.released.append(message.call)
        if self.confirms:
            self.harness.deliver(stream, p.ReleaseConfirmed(message.call))

    def pass_time(self, us: int) -> None:
        """Advance the clock in small steps, settling after each; group states arrive on links that deliver."""
        for step in range(us // 10_000):
            self.harness.pass_time(10_000)
            self.settle()
            if step % 50 == 0 and not self.quiet:
                for stream, link in list(self.harness.session.links.by_stream.items()):
                    if link.up and stream not in self.dead_links:
                        self.harness.deliver(stream, group_state(10 + step // 50 % 20))

    def lose_answer(self, call: int, wait_ms: int = 1000) -> int:
        """Let a call be set up and its answer be lost with its link, which stays open; returns the link."""
        self.harness.deliver(1, set_up(call, wait_ms=wait_ms))
        self.settle()
        attempt = self.harness.session.calls.by_id[call].attempt
        assert attempt is not None
        self.dead_links.add(attempt.link.ident)
        self.standing.add(call)
        return int(attempt.link.ident)

    def report_end(self, call: int) -> list[tuple[int, p.Message]]:
        """The call ends; its report is sent on a link that delivers."""
        self.standing.discard(call)
        alive = [k for k, link in self.harness.session.links.by_stream.items() if link.up and k not in self.dead_links]
        return self.harness.deliver(alive[0], p.Release(call, END))


def releases_to_callers(harness: SessionHarness, call: int) -> list[p.Message]:
    """The releases of a call that were written to callers, the final answer included."""
    return [m for stream, m in harness.written if stream > 0 and isinstance(m, p.Release) and m.call == call]


class Exit(unittest.TestCase):
    def test_before_the_exit_an_exchange_confirms_that_a_refused_call_does_not_stand(self) -> None:
        """Guards against: the end of a refused call is reported to the next process, which tells the caller."""
        for calls in (1, 2):
            with self.subTest(calls=calls):
                harness = SessionHarness(remote_exchanges=1)
                exchange = Exchange(harness, quiet=True)
                for call in range(5, 5 + calls):
                    exchange.lose_answer(call)
                harness.submit(s.Terminate())
                exchange.pass_time(2 * SECOND)
                self.assertTrue(harness.exited)
                self.assertEqual(exchange.standing, set())
                for call in range(5, 5 + calls):
                    self.assertEqual(len(releases_to_callers(harness, call)), 1)

    def test_an_end_that_was_reported_on_a_dead_link_is_received_before_the_exit(self) -> None:
        """Guards against: an exchange repeats the end of a refused call on the first link of the next process."""
        harness = SessionHarness(remote_exchanges=1)
        exchange = Exchange(harness, quiet=True)
        exchange.lose_answer(5)
        exchange.standing.discard(5)
        exchange.unreported.append(5)
        harness.submit(s.Terminate())
        exchange.pass_time(2 * SECOND)
        self.assertTrue(harness.exited)
        self.assertEqual(exchange.unreported, [])
        self.assertEqual(len(releases_to_callers(harness, 5)), 1)

    def test_a_call_that_fails_shortly_before_sigkill_is_released_before_the_exit(self) -> None:
        """Guards against: no time is left to repeat the releases of the calls that the exit itself fails."""
        harness = SessionHarness(remote_exchanges=1)
        exchange = Exchange(harness, quiet=True)
        exchange.lose_answer(5, wait_ms=9000)
        harness.submit(s.Terminate())
        exchange.pass_time(limits.SIGTERM_MAX_WAIT_US + limits.SIGTERM_GRACE_US - limits.SIGKILL_MARGIN_US)
        self.assertTrue(harness.exited)
        self.assertEqual(exchange.standing, set())
        self.assertEqual(len(releases_to_callers(harness, 5)), 1)

    def test_the_exit_waits_a_limited_time_for_an_exchange_that_confirms_nothing(self) -> None:
        """Guards against: a hung exchange delays every restart until SIGKILL."""
        harness = SessionHarness(remote_exchanges=1)
        exchange = Exchange(harness, confirms=False, quiet=True)
        exchange.lose_answer(5, wait_ms=500)
        harness.submit(s.Terminate())
        exchange.pass_time(SECOND)
        self.assertEqual(len(releases_to_callers(harness, 5)), 1)
        self.assertFalse(harness.exited)
        exchange.pass_time(limits.EXIT_CONFIRMATION_LIMIT_US)
        self.assertTrue(harness.exited)

    def test_confirmed_releases_do_not_delay_the_exit(self) -> None:
        """Guards against: a wait that is not needed makes each restart longer."""
        harness = SessionHarness(remote_exchanges=1)
        exchange = Exchange(harness, quiet=True)
        harness.deliver(1, set_up(5))
        harness.deliver(1, p.Release(5, END))
        exchange.settle()
        harness.submit(s.Terminate())
        exchange.pass_time(limits.SIGTERM_GRACE_US + 20_000)
        self.assertTrue(harness.exited)


class Memory(unittest.TestCase):
    def test_an_end_long_after_the_refusal_is_not_sent_to_the_caller(self) -> None:
        """Guards against: the id of a refused call is forgotten while the call still stands at its exchange."""
        for seconds in (5, 9, 11, 30, 60):
            with self.subTest(seconds=seconds):
                harness = SessionHarness(remote_exchanges=1)
                exchange = Exchange(harness, confirms=False)
                exchange.lose_answer(5)
                exchange.pass_time(seconds * SECOND)
                exchange.report_end(5)
                exchange.pass_time(SECOND)
                self.assertEqual(len(releases_to_callers(harness, 5)), 1)

    def test_the_end_of_a_call_that_stood_before_a_restart_is_told_once(self) -> None:
        """Guards against: a real end is taken for that of a refused call."""
        for second_report in (False, True):
            harness = SessionHarness(remote_exchanges=1)
            harness.deliver(1, set_up(4, to=9))  # a caller that has sent a valid set-up
            written = harness.deliver(harness.first_links[1], p.Release(77, END))
            self.assertIn((1, p.Release(77, END)), written)
            if second_report:
                harness.deliver(harness.second_links[1], p.Release(77, END))
            self.assertEqual(len(releases_to_callers(harness, 77)), 1)

    def test_a_refused_call_is_released_on_another_link_when_nothing_confirms_the_first_release(self) -> None:
        """Guards against: a kill soon after a refusal leaves a call standing whose end the next process reports."""
        harness = SessionHarness(remote_exchanges=1)
        exchange = Exchange(harness, quiet=True)
        exchange.lose_answer(5)
        while not releases_to_callers(harness, 5):
            exchange.pass_time(10_000)
        exchange.pass_time(limits.SILENT_CONFIRMATION_WAIT_US + SECOND)
        self.assertEqual(exchange.standing, set())
        self.assertFalse(harness.session.exchange_releases.is_pending(5))

    def test_a_slow_exchange_gets_time_to_confirm(self) -> None:
        """Guards against: repeated releases add work at an exchange whose processor is busy."""
        for delivers, repeated in ((True, False), (False, True)):
            harness = SessionHarness(remote_exchanges=1)
            exchange = Exchange(harness, confirms=False, quiet=True)
            harness.deliver(1, set_up(5))
            harness.deliver(1, p.Release(5, END))
            exchange.settle()
            exchange.pass_time(100_000)
            if delivers:
                harness.deliver(harness.first_links[1], group_state(7))
            exchange.released.clear()
            exchange.pass_time(limits.CONFIRMATION_WAIT_US - 200_000)
            self.assertEqual(bool(exchange.released), repeated)
            harness.deliver(harness.first_links[1], p.ReleaseConfirmed(5))
            self.assertFalse(harness.session.exchange_releases.is_pending(5))

    def test_an_exchange_that_never_confirms_gets_few_repetitions(self) -> None:
        """Guards against: releases are repeated for ever to an exchange that does not confirm them."""
        harness = SessionHarness(remote_exchanges=1)
        exchange = Exchange(harness, confirms=False)
        harness.deliver(1, set_up(5))
        harness.deliver(1, p.Release(5, END))
        exchange.pass_time(120 * SECOND)
        self.assertLessEqual(len(exchange.released), 2 + 2 * limits.MAX_UNCONFIRMED_REPETITIONS)
        self.assertFalse(harness.session.exchange_releases.is_pending(5))

    def test_a_release_is_not_repeated_while_it_could_end_a_later_attempt(self) -> None:
        """Guards against: the release of an earlier attempt ends the attempt or the call that follows it."""
        harness = SessionHarness(remote_exchanges=1)
        exchange = Exchange(harness)
        harness.deliver(1, set_up(4))
        harness.deliver(1, p.Release(4, END))
        exchange.settle()
        harness.deliver(1, set_up(5, wait_ms=9000))
        harness.submit(s.ConnectionClosed(harness.first_links[1]))  # its answer comes on the other link, too late
        exchange.confirms = False
        self.assertIn(
            (harness.second_links[1], p.Release(5, END)), harness.deliver(harness.second_links[1], p.Answer(5, b"a"))
        )
        exchange.settle()
        self.assertTrue(harness.session.exchange_releases.is_pending(5))
        exchange.pass_time(SECOND)
        attempt = harness.session.calls.by_id[5].attempt
        self.assertTrue(attempt.sent)
        exchange.released.clear()
        harness.deliver(attempt.link.ident, p.Answer(5, b"b"))
        exchange.pass_time(3 * limits.CONFIRMATION_WAIT_US)
        self.assertEqual(exchange.released, [])
        self.assertIn((1, p.Release(5, END)), exchange.report_end(5))

    def test_nothing_is_pending_at_an_exchange_that_is_gone_or_has_restarted(self) -> None:
        """Guards against: ids of calls at exchanges that no longer exist are kept for ever."""
        for state in (i.ListState.GONE, i.ListState.READY):
            harness = SessionHarness(remote_exchanges=1)
            exchange = Exchange(harness, confirms=False)
            exchange.lose_answer(5)
            exchange.pass_time(2 * SECOND)
            self.assertTrue(harness.session.exchange_releases.is_pending(5))
            record = exchange_record(1, state=state, started=harness.now)
            harness.submit(s.ListUpdateReceived(1, p.ListUpdate(2, i.ListKind.CHANGES, (record,))))
            self.assertFalse(harness.session.exchange_releases.is_pending(5))
            harness.pass_time(2 * limits.ENDED_CALL_TTL_US)
            self.assertNotIn(5, harness.session.calls.ended)


class Replacement(unittest.TestCase):
    def test_a_process_that_is_replaced_hands_over_what_is_not_confirmed(self) -> None:
        """Guards against: the successor takes the end of a call that its predecessor refused for a standing one's."""
        harness = SessionHarness(remote_exchanges=1)
        exchange = Exchange(harness)
        exchange.lose_answer(5)
        harness.submit(s.SuccessorChanged(True))
        harness.submit(s.Terminate())
        exchange.dead_links.update(harness.session.links.by_stream)
        exchange.pass_time(4 * SECOND)
        self.assertTrue(harness.exited)
        self.assertEqual(harness.handed_over_releases, ((5, 101, END),))

    def test_a_successor_releases_an_inherited_call_and_does_not_tell_its_end(self) -> None:
        """Guards against: a second answer from the process that takes over."""
        harness = SessionHarness(remote_exchanges=1)
        harness.deliver(1, set_up(4, to=9))
        written = harness.submit(s.PendingReleaseInherited(5, 101, END))
        self.assertEqual([m for _, m in written], [p.Release(5, END)])
        harness.pass_time_with_reports(30 * SECOND)
        harness.deliver(harness.first_links[1], p.Release(5, END))
        self.assertEqual(releases_to_callers(harness, 5), [])

    def test_the_other_process_is_asked_before_a_caller_is_told_an_unknown_end(self) -> None:
        """Guards against: one process tells the end of a call that the other one has refused or will refuse."""
        for must_notify in (True, False):
            harness = SessionHarness(remote_exchanges=1)
            harness.deliver(1, set_up(4, to=9))
            harness.submit(s.OtherProcessUsage(20, 3))
            harness.deliver(harness.first_links[1], p.Release(5, END))
            self.assertEqual(harness.asked_about, [(5, END)])
            self.assertEqual(releases_to_callers(harness, 5), [])
            harness.submit(s.EndReportAnswered(5, must_notify))
            harness.pass_time(SECOND)
            harness.deliver(harness.second_links[1], p.Release(5, END))
            self.assertEqual(len(releases_to_callers(harness, 5)), int(must_notify))

    def test_without_a_verdict_the_caller_is_told_in_time(self) -> None:
        """Guards against: the end of a standing call is lost because the other process hangs or ends."""
        for ended in (True, False):
            harness = SessionHarness(remote_exchanges=1)
            harness.deliver(1, set_up(4, to=9))
            harness.submit(s.OtherProcessUsage(20, 3))
            harness.deliver(harness.first_links[1], p.Release(5, END))
            if ended:
                harness.submit(s.CallInherited(5, 101))
                harness.submit(s.OtherProcessUsage(0))
            harness.pass_time(limits.END_VERDICT_TIMEOUT_US)
            self.assertEqual(len(releases_to_callers(harness, 5)), 1)
            self.assertNotIn(5, harness.session.calls.by_id)

    def test_a_process_says_whether_the_caller_of_a_reported_end_has_to_be_told(self) -> None:
        """Guards against: an end is told by both processes or by none."""
        harness = SessionHarness(remote_exchanges=1)
        harness.establish_call(5)
        harness.deliver(1, set_up(6))
        harness.deliver(1, set_up(7, to=9))  # refused
        for call, verdict in ((5, False), (6, False), (7, False), (8, True)):
            harness.submit(s.EndAskedAbout(call, END))
            self.assertEqual(harness.verdicts[-1], (call, verdict))
        self.assertEqual(len(releases_to_callers(harness, 5)), 1)
        self.assertNotIn(5, harness.session.calls.by_id)
        self.assertIn(6, harness.session.calls.by_id)
        harness.submit(s.CallInherited(9, 101))  # its caller has no connection here
        harness.submit(s.EndAskedAbout(9, END))
        self.assertEqual(harness.verdicts[-1], (9, True))


class OnSockets(unittest.TestCase):
    def test_the_release_of_a_refused_call_reaches_its_exchange_before_the_process_ends(self) -> None:
        """Guards against: answers never arrive, a restart follows, and refused set-ups get a second answer."""
        with Program(remote_exchanges=1) as program:
            caller = program.caller()
            caller.send(set_up(5, wait_ms=800))
            self.assertEqual(program.links[1].next().call, 5)  # its answer never arrives
            program.process.send_signal(signal.SIGTERM)
            self.assertEqual(caller.next().call, 5)
            repeated = program.accept(1)
            repeated.send(group_state(20, allowed=40))
            self.assertEqual(repeated.next(), p.Release(5, END))
            repeated.send(p.ReleaseConfirmed(5))
            self.assertEqual(program.process.wait(5), 0)
            repeated.sock.close()
            caller.sock.close()

    def test_a_successor_does_not_tell_the_end_of_a_call_that_its_predecessor_refused(self) -> None:
        """Guards against: the end of a refused call reaches its caller through the process that took over."""
        with Program(remote_exchanges=1) as program:
            first_caller = program.caller()
            first_caller.send(set_up(5, wait_ms=800))
            self.assertEqual(program.links[1].next().call, 5)
            old = program.replace()
            self.assertEqual(first_caller.next().call, 5)
            caller = program.caller()
            caller.send(set_up(6, wait_ms=800))
            program.links[1].send(p.Release(5, END))
            old.send_signal(signal.SIGTERM)
            self.assertEqual(old.wait(5), 0)
            program.links[1].send(p.Release(5, END))
            refusal = caller.next()
            self.assertEqual(refusal.call, 6)
            caller.send(p.HealthCheck(7))
            self.assertEqual(caller.next(), p.HealthCheckResult(7, True))
            for sock in (first_caller.sock, caller.sock):
                sock.close()
