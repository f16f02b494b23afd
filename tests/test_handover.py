"""Replacement of one process by another: the replaced process, its successor, and leftovers in $TMPDIR."""

from __future__ import annotations

import os
import signal
import socket
import tempfile
import time
import unittest
from pathlib import Path

import trio

from latchturn import handover as h
from latchturn import operations as o
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, Program, SessionHarness, set_up

PING = o.Command.PING


class ReplacedProcess(unittest.TestCase):
    """The process that is replaced."""

    def setUp(self) -> None:
        self.harness = SessionHarness()
        for stream in (2, 3):
            self.harness.submit(s.Accepted(stream))
        self.harness.pass_time(SECOND)

    def test_it_accepts_no_callers_and_closes_connections_as_they_become_idle(self) -> None:
        harness = self.harness
        harness.deliver(2, set_up(5))
        harness.submit(s.SuccessorChanged(True))
        self.assertEqual((harness.accepting_callers, harness.ask_admin(PING)), ([True, False], "ERR ending\n"))
        # The load balancer's health check is about the address, which the successor serves.
        self.assertEqual(harness.deliver(3, p.HealthCheck(9)), [(3, p.HealthCheckResult(9, True))])
        harness.pass_time(limits.DRAIN_INTERVAL_US)
        self.assertEqual(sorted(harness.closed), [1, 3])
        harness.deliver(harness.first_links[1], p.Answer(5, b"yes"))
        harness.pass_time(2 * SECOND)
        harness.deliver(2, set_up(7, to=2))  # set-ups on open connections are still served
        harness.deliver(harness.first_links[2], p.Answer(7, b"yes"))
        self.assertEqual(harness.figure("outstanding"), 2)
        self.assertEqual(sorted(harness.closed), [1, 3])

    def test_it_exits_once_all_connections_are_closed_despite_standing_calls(self) -> None:
        harness = self.harness
        harness.deliver(2, set_up(5))
        harness.deliver(harness.first_links[1], p.Answer(5, b"yes"))
        harness.submit(s.SuccessorChanged(True))
        harness.pass_time_with_reports(10 * SECOND)
        self.assertEqual(sorted(harness.closed), [1, 3])
        harness.submit(s.Terminate())
        harness.pass_time(SECOND)
        self.assertFalse(harness.exited)
        harness.pass_time(SECOND)
        self.assertEqual(sorted(harness.closed), [1, 2, 3])
        self.assertTrue(harness.exited)

    def test_late_set_ups_are_refused_so_that_no_connection_stays_busy(self) -> None:
        harness = self.harness
        harness.submit(s.SuccessorChanged(True))
        harness.submit(s.Terminate())
        harness.deliver(2, set_up(5))
        harness.pass_time(SECOND)
        harness.deliver(2, set_up(6, to=2))
        harness.deliver(harness.first_links[1], p.Answer(5, b"yes"))
        harness.pass_time(SECOND * 14 // 10)
        refusal = p.Release(7, p.ReleaseCause.CONGESTION, retry_after_ms=limits.DRAIN_RETRY_AFTER_MS)
        self.assertIn((2, refusal), harness.deliver(2, set_up(7)))

    def test_it_serves_again_if_the_successor_exits_before_sigterm(self) -> None:
        harness = self.harness
        harness.submit(s.SuccessorChanged(True))
        harness.submit(s.SuccessorChanged(False))
        self.assertEqual((harness.accepting_callers, harness.ask_admin(PING)), ([True, False, True], "OK serving\n"))
        harness.pass_time(SECOND)
        self.assertEqual(harness.closed, [])
        harness.submit(s.SuccessorChanged(True))
        harness.submit(s.Terminate())
        harness.submit(s.SuccessorChanged(False))
        self.assertEqual(harness.accepting_callers, [True, False, True, False])


class Successor(unittest.TestCase):
    def test_it_accepts_callers_only_once_it_is_ready(self) -> None:
        ready = SessionHarness()
        new = s.Session(ready.session.classes.settings, 7, 1024)
        effects_before_ready = [effect for effect in new.step(ready.now, s.Started((), 1, ("127.0.0.1", 9), True))]
        new.exchanges.by_id = ready.session.exchanges.by_id
        new.exchanges.by_id[102].sends_group_states = False
        effects_before_ready += new.step(ready.now, s.ListenerReady())
        self.assertNotIn(s.AcceptCallers(True), effects_before_ready)
        self.assertIs(new.phase, s.Phase.STARTING)
        new.exchanges.by_id[102].sends_group_states = True
        self.assertIn(s.AcceptCallers(True), new.step(ready.now, s.Tick()))
        self.assertNotIn(s.AcceptCallers(True), new.step(ready.now, s.Tick()))

    def test_a_successor_that_is_terminated_before_it_is_ready_accepts_no_callers(self) -> None:
        new = s.Session(SessionHarness().session.classes.settings, 7, 1024)
        for input_ in (s.Started((), 1, ("127.0.0.1", 9), True), s.Terminate(), s.ListenerReady()):
            self.assertNotIn(s.AcceptCallers(True), new.step(SECOND, input_))

    def test_descriptors_of_the_other_process_reduce_the_budget(self) -> None:
        harness = SessionHarness(remote_exchanges=2, socket_limit=200)
        for stream in (2, 3):
            harness.submit(s.Accepted(stream))
        harness.submit(s.OtherProcessUsage(200 - 2 * limits.DESCRIPTORS_PER_GUARANTEED_CALLER))
        self.assertEqual(harness.closed_callers, [1])
        harness.submit(s.Accepted(4))
        self.assertEqual(harness.closed_callers, [1, 2])
        harness.submit(s.OtherProcessUsage(0))
        harness.submit(s.Accepted(5))
        self.assertEqual(harness.closed_callers, [1, 2])


class InheritedCalls(unittest.TestCase):
    """Calls that stand in the replaced process when it exits pass to its successor."""

    def test_the_replaced_process_hands_over_its_standing_calls(self) -> None:
        harness = SessionHarness()
        harness.establish_call(5)
        harness.submit(s.SuccessorChanged(True))
        harness.submit(s.Terminate())
        harness.pass_time(4 * SECOND)
        self.assertTrue(harness.exited)
        self.assertEqual(harness.handed_over_calls, ((5, 101),))

    def test_the_successor_counts_inherited_calls_and_forwards_their_ends(self) -> None:
        for by_exchange in (True, False):
            harness = SessionHarness()
            harness.establish_call(6, to=2)
            harness.submit(s.OtherProcessUsage(30, calls=4))
            self.assertEqual(harness.figure("outstanding"), 5)
            harness.submit(s.CallInherited(5, 101))
            harness.submit(s.CallInherited(7, 999))  # an exchange that is no longer listed
            harness.submit(s.OtherProcessUsage(0))
            self.assertEqual(harness.figure("outstanding"), 2)
            release = p.Release(5, p.ReleaseCause.NORMAL)
            if by_exchange:
                self.assertIn((1, release), harness.deliver(harness.first_links[1], release))
            else:
                written = harness.deliver(1, release)
                self.assertIn((1, p.ReleaseConfirmed(5)), written)
                self.assertIn((harness.first_links[1], release), written)
            self.assertEqual(harness.figure("outstanding"), 1)
            self.assertNotIn("errors", harness.session.figures())

    def test_a_release_for_a_call_of_the_other_process_is_forwarded(self) -> None:
        harness = SessionHarness()
        release = p.Release(5, p.ReleaseCause.NORMAL)
        harness.submit(s.OtherProcessUsage(30, calls=1))
        effects = harness.session.step(harness.now, s.MessageReceived(1, release))
        self.assertIn(s.ForwardRelease(5, release.cause), effects)
        harness.establish_call(8)
        written = harness.submit(s.ReleaseForwarded(8, release.cause))
        self.assertIn((harness.first_links[1], p.Release(8, release.cause)), written)
        self.assertEqual(harness.submit(s.ReleaseForwarded(9, release.cause)), [])


class HandoverMessages(unittest.TestCase):
    """Messages on the handover socket."""

    def test_all_standing_calls_arrive_up_to_the_maximum(self) -> None:
        # With a separate write for each call, 278 of 2000 arrived at a process that did not read in the meantime.
        calls = [((1 << 64) - 1 - k, 101) for k in range(limits.MAX_CALLS)]

        async def send_calls(sender: socket.socket) -> None:
            h.send_messages(trio.socket.from_stdlib_socket(sender), h.STANDING_CALL, calls)

        async def receive_calls(receiver: socket.socket) -> list[tuple[int, ...]]:
            messages = h.receive(trio.socket.from_stdlib_socket(receiver))
            return [tuple(numbers) async for message_name, numbers in messages if message_name == h.STANDING_CALL]

        sender, receiver = socket.socketpair()
        for sock in (sender, receiver):
            sock.setblocking(False)
            self.addCleanup(sock.close)
        trio.run(send_calls, sender)
        sender.close()
        self.assertEqual(trio.run(receive_calls, receiver), calls)

    def test_sending_to_a_process_that_does_not_read_ends_soon(self) -> None:
        async def send_many(sender: socket.socket) -> None:
            h.send_messages(trio.socket.from_stdlib_socket(sender), h.STANDING_CALL, [(k, 101) for k in range(200_000)])

        sender, receiver = socket.socketpair()
        for sock in (sender, receiver):
            sock.setblocking(False)
            self.addCleanup(sock.close)
        trio.run(send_many, sender)  # returns although nobody reads
        self.assertGreater(len(receiver.recv(1 << 20)), 0)


class HandoverFolder(unittest.TestCase):
    """Whatever lies at the path of the socket, a process starts at once, and successors find it there afterwards."""

    def create(self, kind: str, path: Path) -> socket.socket | None:
        if kind == "file":
            path.write_text("{")
        elif kind == "folder":
            path.mkdir()
        elif kind != "nothing":
            sock = socket.socket(socket.AF_UNIX)
            sock.bind(str(path))
            if kind == "silent":
                sock.listen()
            return sock
        return None

    def test_a_process_starts_at_once_whatever_is_at_the_path_of_its_socket(self) -> None:
        async def start(path: Path) -> bool:
            started = time.monotonic()
            self.assertIsNone(await h.receive_listener(path, ("127.0.0.1", 1)))
            self.assertLess(time.monotonic() - started, 5)
            async with h.listen_for_successors(path) as sock:
                return sock is not None

        for kind in ("nothing", "file", "folder", "dead", "silent"):
            with tempfile.TemporaryDirectory() as folder:
                path = h.socket_path(folder, ("127.0.0.1", 1))
                created = self.create(kind, path)
                self.assertEqual(trio.run(start, path), kind != "folder", kind)
                self.assertEqual(os.listdir(folder), [path.name] if kind == "folder" else [], kind)
                if created is not None:
                    created.close()

    def test_a_listener_at_another_address_or_a_socket_that_does_not_listen_is_rejected(self) -> None:
        async def hand_over(offered: socket.socket, path: Path) -> bool:
            async with trio.open_nursery() as nursery, h.listen_for_successors(path) as successors:

                async def serve() -> None:
                    sock, _ = await successors.accept()
                    await h.send_listener(sock, trio.socket.from_stdlib_socket(offered.dup()))

                nursery.start_soon(serve)
                inherited = await h.receive_listener(path, address)
            return inherited is not None

        with (
            tempfile.TemporaryDirectory() as folder,
            socket.create_server(("127.0.0.1", 0)) as right,
            socket.create_server(("127.0.0.1", 0)) as other,
            socket.socket() as unbound,
        ):
            address = right.getsockname()
            path = h.socket_path(folder, address)
            for offered, accepted in ((right, True), (other, False), (unbound, False)):
                self.assertEqual(trio.run(hand_over, offered, path), accepted)

    def test_without_a_folder_there_is_no_handover(self) -> None:
        self.assertIsNone(h.socket_path(None, ("127.0.0.1", 1)))
        self.assertIsNone(trio.run(h.receive_listener, None, ("127.0.0.1", 1)))


def wait_for_handover_socket(program: Program) -> Path:
    """Wait until the program has created its handover socket; return the socket's path."""
    path = h.socket_path(program.folder.name, ("127.0.0.1", program.port))
    deadline = time.monotonic() + 10
    while not path.exists() and time.monotonic() < deadline:
        pass
    return path


class OnSockets(unittest.TestCase):
    def test_a_process_is_replaced_while_it_serves_calls(self) -> None:
        with Program() as program:
            caller = program.caller()
            caller.send(set_up(1))
            link = program.links[1]
            self.assertEqual(link.next().call, 1)
            idle = program.caller()
            idle.send(p.HealthCheck(5))
            idle.next()
            wait_for_handover_socket(program)
            old_process = program.replace()
            self.assertIsNone(idle.next())
            old_process.send_signal(signal.SIGTERM)
            newer = program.caller()
            newer.send(set_up(2))
            self.assertEqual(program.links[1].next().call, 2)
            program.links[1].send(p.Answer(2, b"yes"))
            self.assertEqual(newer.next(), p.Answer(2, b"yes"))
            link.send(p.Answer(1, b"from before"))
            self.assertEqual(caller.next(), p.Answer(1, b"from before"))
            self.assertIsNone(caller.next())
            self.assertEqual(old_process.wait(10), 0)
            while "edge_gw.outstanding:2|g" not in program.ask_admin("INFO"):
                pass
            # The call that stood in the old process ends on a link of the new one.
            program.links[1].send(p.Release(1, p.ReleaseCause.NORMAL))
            self.assertEqual(newer.next(), p.Release(1, p.ReleaseCause.NORMAL))

    def test_a_process_starts_in_the_folder_of_a_killed_one(self) -> None:
        with Program() as program:
            path = wait_for_handover_socket(program)
            program.process.kill()
            program.process.wait()
            self.assertTrue(path.is_socket())
            program.replace()
            caller = program.caller()
            caller.send(p.HealthCheck(1))
            self.assertEqual(caller.next(), p.HealthCheckResult(1, True))

    def test_a_process_starts_beside_one_that_it_does_not_find(self) -> None:
        with Program() as program:
            wait_for_handover_socket(program).unlink()
            old_process = program.replace()
            old_process.send_signal(signal.SIGTERM)
            self.assertEqual(old_process.wait(10), 0)
            caller = program.caller()
            caller.send(p.HealthCheck(1))
            self.assertEqual(caller.next(), p.HealthCheckResult(1, True))
