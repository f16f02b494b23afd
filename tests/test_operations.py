"""The admin listener: its commands and answers, the figures, readiness, draining, and the listener on real sockets."""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace

from latchturn import interface as i
from latchturn import operations as o
from latchturn import protocol as p
from latchturn import session as s
from latchturn.__main__ import with_admin_address
from latchturn.net import unread_bytes
from latchturn.session import limits

from .helpers import SECOND, Program, SessionHarness, set_up

C = o.Command


class AdminCodec(unittest.TestCase):
    def test_commands_are_parsed(self) -> None:
        cases = {
            b"PING": C.PING, b"INFO\r": C.INFO, b" LAMEDUCK ": C.LAMEDUCK, b"REJOIN": C.REJOIN,
            b"": None, b"ping": None, b"PING PING": None, b"\xff\xfe": None, b"QUIT": None,
        }  # fmt: skip
        for line, command in cases.items():
            self.assertIs(o.parse_command(line), command, line)

    def test_figures_are_rendered(self) -> None:
        figures = {o.class_figure_name("succeeded", "a.b:c|d"): 3, "outstanding": 0, "of_no_table": 5}
        text = "edge_gw.succeeded.a_b_c_d:3|c\nedge_gw.outstanding:0|g\n"
        self.assertEqual(o.render_statsd(figures), text)
        self.assertEqual(o.encode_answer(True, "well", figures), f"OK well\n{text}END\n".encode())
        self.assertEqual(o.encode_answer(False, "bad"), b"ERR bad\n")


class FigureCounts(unittest.TestCase):
    def test_each_ended_call_counts_once_for_its_class(self) -> None:
        harness = SessionHarness()
        initial_counts = {name: harness.figure(f"{name}.premium_quote") for name in o.CLASS_FIGURES}
        self.assertEqual(initial_counts, {"succeeded": 0, "declined": 0, "aborted": 0})
        self.assertEqual((harness.figure("discovered"), harness.figure("ejected")), (3, 0))
        harness.establish_call(1)
        harness.deliver(1, set_up(2))
        self.assertEqual(harness.figure("outstanding"), 2)  # a standing call has not ended
        harness.deliver(1, set_up(2))  # a repeated id is ambiguous: the call fails
        harness.deliver(1, set_up(3, to=9))  # no such exchange: refused
        self.assertEqual(harness.figure("outstanding"), 1)
        self.assertEqual([harness.figure(f"{name}.premium_quote") for name in o.CLASS_FIGURES], [1, 1, 1])

    def test_an_attempt_counts_once_it_is_completely_written(self) -> None:
        harness = SessionHarness()
        link = harness.first_links[1]
        harness.stalled_streams.add(link)
        harness.deliver(1, set_up(1))
        self.assertEqual(harness.figure("forwards"), 0)
        harness.submit(s.WriteCompleted(link))
        self.assertEqual(harness.figure("forwards"), 1)

    def test_a_silent_exchange_counts_as_ejected(self) -> None:
        harness = SessionHarness(remote_exchanges=1)
        for call in (1, 2):
            harness.deliver(1, set_up(call, wait_ms=300))
        harness.pass_time(500_000)
        self.assertEqual(harness.figure("ejected"), 1)

    def test_info_shows_the_current_figures(self) -> None:
        harness = SessionHarness()
        harness.submit(s.ConfigRejected("it is empty"))
        lines = harness.ask_admin(C.INFO).splitlines()
        self.assertEqual((lines[0], lines[-1]), ("OK serving", "END"))
        self.assertIn("edge_gw.sighup_rejected:1|c", lines)
        self.assertIn("edge_gw.sighup_applied:0|c", lines)
        self.assertTrue(harness.ask_admin(None).startswith("ERR "))


class Readiness(unittest.TestCase):
    def test_ping_succeeds_once_group_states_are_known_or_the_time_limit_is_over(self) -> None:
        harness = SessionHarness()
        self.assertEqual(harness.ask_admin(C.PING), "OK serving\n")
        session = s.Session(harness.session.classes.settings, 7, 1024)
        session.step(harness.now, s.Started((p.ListUpdate(1, i.ListKind.FULL, ()),), 1, ("127.0.0.1", 9)))
        self.assertIs(session.phase, s.Phase.STARTING)  # the listener is not ready yet
        harness.session.exchanges.by_id[102].sends_group_states = False
        self.assertEqual(harness.ask_admin(C.PING), "ERR starting\n")
        self.assertEqual(harness.deliver(1, p.HealthCheck(9)), [(1, p.HealthCheckResult(9, False))])
        harness.pass_time(limits.READY_TIMEOUT_US)
        self.assertEqual(harness.ask_admin(C.PING), "OK serving\n")


class Draining(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = SessionHarness()
        for stream in (2, 3):
            self.harness.submit(s.Accepted(stream))
        self.harness.pass_time(SECOND)

    def test_idle_connections_close_after_a_minimum_time_and_busy_ones_after_their_calls(self) -> None:
        harness = self.harness
        harness.deliver(2, set_up(5))
        self.assertEqual(harness.ask_admin(C.LAMEDUCK), "OK draining\n")
        self.assertEqual(harness.ask_admin(C.PING), "ERR draining\n")
        self.assertEqual(harness.deliver(1, p.HealthCheck(9)), [(1, p.HealthCheckResult(9, False))])
        harness.submit(s.Accepted(4))
        harness.pass_time(limits.DRAIN_MIN_OPEN_US - 1)
        self.assertEqual(harness.closed, [])
        harness.submit(s.Accepted(6))
        harness.deliver(1, set_up(6))  # still accepted
        self.assertEqual(len(harness.session.calls.by_id), 2)
        harness.pass_time(limits.DRAIN_INTERVAL_US)
        self.assertEqual(sorted(harness.closed), [3, 4])  # 6 was accepted too recently: it may be about to send
        harness.deliver(harness.first_links[1], p.Answer(5, b"yes"))
        harness.pass_time(limits.DRAIN_INTERVAL_US)
        self.assertEqual(sorted(harness.closed), [3, 4])  # the end of call 5 can only be sent on this connection
        harness.deliver(harness.first_links[1], p.Release(5, p.ReleaseCause.NORMAL))
        harness.pass_time(limits.DRAIN_INTERVAL_US)
        self.assertEqual(sorted(harness.closed), [2, 3, 4])

    def test_a_connection_with_a_standing_call_refuses_set_ups_and_stays_until_the_end(self) -> None:
        for refused_after_us in (2 * SECOND, 6 * SECOND):
            harness = SessionHarness()
            harness.establish_call(5)
            harness.ask_admin(C.LAMEDUCK)
            harness.pass_time_with_reports(refused_after_us)
            (refusal,) = [m for stream, m in harness.deliver(1, set_up(6, to=2)) if stream == 1]
            self.assertEqual((refusal.call, refusal.cause), (6, p.ReleaseCause.CONGESTION))
            harness.pass_time_with_reports(9 * SECOND - refused_after_us)
            self.assertEqual(harness.closed, [])
            end = p.Release(5, p.ReleaseCause.NORMAL)
            self.assertIn((1, end), harness.deliver(harness.first_links[1], end))
            harness.pass_time(limits.DRAIN_INTERVAL_US)
            self.assertEqual(harness.closed, [1])

    def test_a_connection_that_is_never_idle_is_refused_set_ups_before_2_s(self) -> None:
        harness = self.harness
        harness.deliver(1, set_up(5))
        harness.ask_admin(C.LAMEDUCK)
        harness.pass_time(limits.DRAIN_REFUSE_US)
        before = harness.figure("declined.premium_quote")
        written = harness.deliver(1, set_up(6))
        refusal = p.Release(6, p.ReleaseCause.CONGESTION, retry_after_ms=limits.DRAIN_RETRY_AFTER_MS)
        self.assertEqual(written, [(1, refusal)])
        self.assertEqual(harness.figure("declined.premium_quote"), before + 1)

    def test_a_connection_with_a_partial_message_is_closed_before_4_s(self) -> None:
        harness = self.harness
        harness.ask_admin(C.LAMEDUCK)
        harness.pass_time(SECOND * 19 // 10)
        harness.submit(s.Accepted(7))
        harness.submit(s.PartialMessage(7, True))
        harness.pass_time(SECOND)
        self.assertNotIn(7, harness.closed)
        harness.pass_time(SECOND * 7 // 10)
        self.assertIn(7, harness.closed)

    def test_rejoin_ends_a_drain_and_after_sigterm_neither_is_possible(self) -> None:
        harness = self.harness
        harness.ask_admin(C.LAMEDUCK)
        self.assertEqual(harness.ask_admin(C.REJOIN), "OK serving\n")
        self.assertEqual(harness.deliver(1, p.HealthCheck(9)), [(1, p.HealthCheckResult(9, True))])
        harness.pass_time(SECOND)
        self.assertEqual(harness.closed, [])
        harness.ask_admin(C.LAMEDUCK)
        harness.submit(s.Terminate())
        for command in (C.PING, C.REJOIN, C.LAMEDUCK):
            self.assertEqual(harness.ask_admin(command), "ERR ending\n")

    def test_a_drain_and_its_end_on_real_sockets(self) -> None:
        with Program() as program:
            idle, busy = program.caller(), program.caller()
            busy.send(set_up(1))
            self.assertEqual(program.links[1].next().call, 1)
            while program.ask_admin("PING") != ["OK serving"]:
                pass
            self.assertEqual(program.ask_admin("LAMEDUCK"), ["OK draining"])
            self.assertEqual(program.ask_admin("PING"), ["ERR draining"])
            self.assertIsNone(idle.next())
            program.links[1].send(p.Answer(1, b"yes"))
            self.assertEqual(busy.next(), p.Answer(1, b"yes"))
            program.links[1].send(p.Release(1, p.ReleaseCause.NORMAL))
            self.assertEqual(busy.next(), p.Release(1, p.ReleaseCause.NORMAL))
            self.assertIsNone(busy.next())
            self.assertEqual(program.ask_admin("REJOIN"), ["OK serving"])
            new_caller = program.caller()
            new_caller.send(p.HealthCheck(2))
            self.assertEqual(new_caller.next(), p.HealthCheckResult(2, True))

    def test_unread_bytes_are_counted(self) -> None:
        # A connection with unread input is not closed as idle: the input may be a set-up.
        local, remote = socket.socketpair()
        with local, remote:
            self.assertEqual(unread_bytes(local), 0)
            remote.sendall(b"abc")
            self.assertEqual(unread_bytes(local), 3)


class AdminListener(unittest.TestCase):
    def test_the_address_comes_from_the_file_or_the_environment(self) -> None:
        config_without_admin = p.Config("n0", ("127.0.0.1", 1), 1, 384, ("127.0.0.1", 2), 0, (), "")
        config_with_admin = replace(config_without_admin, admin=("127.0.0.1", 3))
        cases = (
            (config_without_admin, {}, None),
            (config_without_admin, {"GW_ADMIN_ADDR": "127.0.0.1:4"}, ("127.0.0.1", 4)),
            (config_with_admin, {"GW_ADMIN_ADDR": "127.0.0.1:4"}, ("127.0.0.1", 3)),
        )
        for config, environ, address in cases:
            self.assertEqual(with_admin_address(config, environ).admin, address)
        with self.assertRaises(ValueError):
            with_admin_address(config_without_admin, {"GW_ADMIN_ADDR": "nowhere"})

    def test_callers_are_served_although_the_admin_address_is_in_use(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as occupied:
            port = occupied.getsockname()[1]
            with Program(admin_port=port) as program:
                program.wait_for_log_line("no admin listener")
                caller = program.caller()
                caller.send(set_up(1))
                self.assertEqual(program.links[1].next().call, 1)

    def test_every_line_is_answered_despite_slow_clients(self) -> None:
        with Program() as program:
            slow_clients = [socket.create_connection(("127.0.0.1", program.admin_port), 10) for _ in range(20)]
            self.assertIn(program.ask_admin("PING")[0], ("OK serving", "ERR starting"))
            self.assertTrue(program.ask_admin("HELP")[0].startswith("ERR "))
            self.assertTrue(program.ask_admin("x" * 5000)[0].startswith("ERR "))
            caller = program.caller()
            caller.send(set_up(1))
            program.links[1].next()
            lines = program.ask_admin("INFO")
            self.assertIn("edge_gw.outstanding:1|g", lines)
            self.assertEqual(lines[-1], "END")
            self.assertEqual(slow_clients[0].recv(10), b"")  # the oldest connection was closed to make room
            slow_clients[-1].sendall(b"INFO\n")
            self.assertTrue(slow_clients[-1].recv(10).startswith(b"OK"))
            for sock in slow_clients:
                sock.close()
