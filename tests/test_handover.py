"""One process replaces another: what the old one does, what the new one does, and what may lie in $TMPDIR."""

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

from .helpers import SECOND, Desk, Program, set_up

PING = o.Command.PING


class Old(unittest.TestCase):
    """The process that is replaced."""

    def setUp(self) -> None:
        self.desk = Desk()
        for stream in (2, 3):
            self.desk.do(s.Accepted(stream))
        self.desk.pass_time(SECOND)

    def test_it_takes_no_callers_and_closes_connections_as_they_become_idle(self) -> None:
        desk = self.desk
        desk.hear(2, set_up(5))
        desk.do(s.SuccessorChanged(True))
        self.assertEqual((desk.taking, desk.ask(PING)), ([True, False], "ERR ending\n"))
        # The front's tests mean the address, and a successor serves there.
        self.assertEqual(desk.hear(3, p.HealthCheck(9)), [(3, p.HealthCheckResult(9, True))])
        desk.pass_time(limits.DRAIN_INTERVAL_US)
        self.assertEqual(sorted(desk.closed), [1, 3])
        desk.hear(desk.link[1], p.Answer(5, b"yes"))
        desk.pass_time(2 * SECOND)
        desk.hear(2, set_up(7, to=2))  # still served
        desk.hear(desk.link[2], p.Answer(7, b"yes"))
        self.assertEqual(desk.figure("outstanding"), 2)
        self.assertEqual(sorted(desk.closed), [1, 3])

    def test_it_ends_once_all_connections_are_closed_though_calls_stand(self) -> None:
        desk = self.desk
        desk.hear(2, set_up(5))
        desk.hear(desk.link[1], p.Answer(5, b"yes"))
        desk.do(s.SuccessorChanged(True))
        desk.pass_time_in_touch(10 * SECOND)
        self.assertEqual(sorted(desk.closed), [1, 3])
        desk.do(s.Terminate())
        desk.pass_time(SECOND)
        self.assertFalse(desk.ended)
        desk.pass_time(SECOND)
        self.assertEqual(sorted(desk.closed), [1, 2, 3])
        self.assertTrue(desk.ended)

    def test_late_set_ups_are_refused_so_that_no_connection_stays_busy(self) -> None:
        desk = self.desk
        desk.do(s.SuccessorChanged(True))
        desk.do(s.Terminate())
        desk.hear(2, set_up(5))
        desk.pass_time(SECOND)
        desk.hear(2, set_up(6, to=2))
        desk.hear(desk.link[1], p.Answer(5, b"yes"))
        desk.pass_time(SECOND * 14 // 10)
        refusal = p.Release(7, p.ReleaseCause.CONGESTION, retry_after_ms=limits.DRAIN_RETRY_AFTER_MS)
        self.assertIn((2, refusal), desk.hear(2, set_up(7)))

    def test_it_serves_again_where_the_successor_goes_before_sigterm(self) -> None:
        desk = self.desk
        desk.do(s.SuccessorChanged(True))
        desk.do(s.SuccessorChanged(False))
        self.assertEqual((desk.taking, desk.ask(PING)), ([True, False, True], "OK serving\n"))
        desk.pass_time(SECOND)
        self.assertEqual(desk.closed, [])
        desk.do(s.SuccessorChanged(True))
        desk.do(s.Terminate())
        desk.do(s.SuccessorChanged(False))
        self.assertEqual(desk.taking, [True, False, True, False])


class New(unittest.TestCase):
    def test_it_takes_callers_only_once_it_is_ready(self) -> None:
        ready = Desk()
        new = s.Session(ready.session.classes.settings, 7, 1024)
        told = [effect for effect in new.step(ready.now, s.Started((), 1, ("127.0.0.1", 9), True))]
        new.exchanges.by_id = ready.session.exchanges.by_id
        new.exchanges.by_id[102].sends_group_states = False
        told += new.step(ready.now, s.ListenerReady())
        self.assertNotIn(s.AcceptCallers(True), told)
        self.assertIs(new.phase, s.Phase.STARTING)
        new.exchanges.by_id[102].sends_group_states = True
        self.assertIn(s.AcceptCallers(True), new.step(ready.now, s.Tick()))
        self.assertNotIn(s.AcceptCallers(True), new.step(ready.now, s.Tick()))

    def test_one_that_is_told_to_end_before_it_is_ready_takes_none(self) -> None:
        new = s.Session(Desk().session.classes.settings, 7, 1024)
        for happened in (s.Started((), 1, ("127.0.0.1", 9), True), s.Terminate(), s.ListenerReady()):
            self.assertNotIn(s.AcceptCallers(True), new.step(SECOND, happened))

    def test_what_the_other_process_holds_comes_off_the_budget(self) -> None:
        desk = Desk(far=2, sockets=200)
        for stream in (2, 3):
            desk.do(s.Accepted(stream))
        desk.do(s.OtherProcessUsage(200 - 2 * limits.MIN_CALLERS_DIVISOR))
        self.assertEqual(desk.closed, [1])
        desk.do(s.Accepted(4))
        self.assertEqual(desk.closed, [1, 2])
        desk.do(s.OtherProcessUsage(0))
        desk.do(s.Accepted(5))
        self.assertEqual(desk.closed, [1, 2])


class Calls(unittest.TestCase):
    """What stands in the old process when it ends is the new one's."""

    def test_the_old_one_bequeaths_what_stands(self) -> None:
        desk = Desk()
        desk.stand(5)
        desk.do(s.SuccessorChanged(True))
        desk.do(s.Terminate())
        desk.pass_time(4 * SECOND)
        self.assertTrue(desk.ended)
        self.assertEqual(desk.bequeathed, ((5, 101),))

    def test_the_new_one_counts_them_and_passes_their_ends_on(self) -> None:
        for by_exchange in (True, False):
            desk = Desk()
            desk.stand(6, to=2)
            desk.do(s.OtherProcessUsage(30, calls=4))
            self.assertEqual(desk.figure("outstanding"), 5)
            desk.do(s.CallInherited(5, 101))
            desk.do(s.CallInherited(7, 999))  # an exchange that has gone
            desk.do(s.OtherProcessUsage(0))
            self.assertEqual(desk.figure("outstanding"), 2)
            over = p.Release(5, p.ReleaseCause.NORMAL)
            if by_exchange:
                self.assertIn((1, over), desk.hear(desk.link[1], over))
            else:
                written = desk.hear(1, over)
                self.assertIn((1, p.ReleaseConfirmed(5)), written)
                self.assertIn((desk.link[1], over), written)
            self.assertEqual(desk.figure("outstanding"), 1)
            self.assertNotIn("errors", desk.session.figures())

    def test_a_callers_release_of_the_others_call_is_passed_on(self) -> None:
        desk = Desk()
        over = p.Release(5, p.ReleaseCause.NORMAL)
        desk.do(s.OtherProcessUsage(30, calls=1))
        effects = desk.session.step(desk.now, s.MessageReceived(1, over))
        self.assertIn(s.ForwardRelease(5, over.cause), effects)
        desk.stand(8)
        written = desk.do(s.ReleaseForwarded(8, over.cause))
        self.assertIn((desk.link[1], p.Release(8, over.cause)), written)
        self.assertEqual(desk.do(s.ReleaseForwarded(9, over.cause)), [])


class Words(unittest.TestCase):
    """What one process tells the other over their socket."""

    def test_all_calls_that_stand_arrive_however_many_there_are(self) -> None:
        # With one write a call, 278 of 2000 arrived at a process that did not read meanwhile.
        calls = [((1 << 64) - 1 - k, 101) for k in range(limits.MAX_CALLS)]

        async def bequeath(old: socket.socket) -> None:
            h.send_messages(trio.socket.from_stdlib_socket(old), h.STANDING_CALL, calls)

        async def inherit(new: socket.socket) -> list[tuple[int, ...]]:
            words = h.receive(trio.socket.from_stdlib_socket(new))
            return [tuple(numbers) async for word, numbers in words if word == h.STANDING_CALL]

        old, new = socket.socketpair()
        for sock in (old, new):
            sock.setblocking(False)
            self.addCleanup(sock.close)
        trio.run(bequeath, old)
        old.close()
        self.assertEqual(trio.run(inherit, new), calls)

    def test_a_process_that_reads_nothing_is_not_waited_for_long(self) -> None:
        async def say_too_much(old: socket.socket) -> None:
            h.send_messages(trio.socket.from_stdlib_socket(old), h.STANDING_CALL, [(k, 101) for k in range(200_000)])

        old, new = socket.socketpair()
        for sock in (old, new):
            sock.setblocking(False)
            self.addCleanup(sock.close)
        trio.run(say_too_much, old)  # it returns
        self.assertGreater(len(new.recv(1 << 20)), 0)


class Folder(unittest.TestCase):
    """Whatever lies in $TMPDIR, a process starts at once, and is found there afterwards."""

    def lay(self, kind: str, path: Path) -> socket.socket | None:
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

    def test_stale_foreign_and_silent_files(self) -> None:
        async def start(path: Path) -> bool:
            began = time.monotonic()
            self.assertIsNone(await h.receive_listener(path, ("127.0.0.1", 1)))
            self.assertLess(time.monotonic() - began, 5)
            async with h.listen_for_successors(path) as sock:
                return sock is not None

        for kind in ("nothing", "file", "folder", "dead", "silent"):
            with tempfile.TemporaryDirectory() as folder:
                path = h.socket_path(folder, ("127.0.0.1", 1))
                laid = self.lay(kind, path)
                self.assertEqual(trio.run(start, path), kind != "folder", kind)
                self.assertEqual(os.listdir(folder), [path.name] if kind == "folder" else [], kind)
                if laid is not None:
                    laid.close()

    def test_a_listener_at_another_address_or_no_listener_is_left(self) -> None:
        async def pass_on(given: socket.socket, path: Path) -> bool:
            async with trio.open_nursery() as nursery, h.listen_for_successors(path) as successors:

                async def serve() -> None:
                    sock, _ = await successors.accept()
                    await h.send_listener(sock, trio.socket.from_stdlib_socket(given.dup()))

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
            for given, good in ((right, True), (other, False), (unbound, False)):
                self.assertEqual(trio.run(pass_on, given, path), good)

    def test_without_a_folder_nothing_is_looked_for(self) -> None:
        self.assertIsNone(h.socket_path(None, ("127.0.0.1", 1)))
        self.assertIsNone(trio.run(h.receive_listener, None, ("127.0.0.1", 1)))


def found(program: Program) -> Path:
    """The path at which a successor finds the program, once it does."""
    path = h.socket_path(program.folder.name, ("127.0.0.1", program.port))
    until = time.monotonic() + 10
    while not path.exists() and time.monotonic() < until:
        pass
    return path


class Sockets(unittest.TestCase):
    def test_a_process_is_replaced_under_load(self) -> None:
        with Program() as program:
            caller = program.caller()
            caller.send(set_up(1))
            link = program.links[1]
            self.assertEqual(link.next().call, 1)
            idle = program.caller()
            idle.send(p.HealthCheck(5))
            idle.next()
            found(program)
            old = program.replace()
            self.assertIsNone(idle.next())
            old.send_signal(signal.SIGTERM)
            newer = program.caller()
            newer.send(set_up(2))
            self.assertEqual(program.links[1].next().call, 2)
            program.links[1].send(p.Answer(2, b"yes"))
            self.assertEqual(newer.next(), p.Answer(2, b"yes"))
            link.send(p.Answer(1, b"from before"))
            self.assertEqual(caller.next(), p.Answer(1, b"from before"))
            self.assertIsNone(caller.next())
            self.assertEqual(old.wait(10), 0)
            while "edge_gw.outstanding:2|g" not in program.ask_admin("INFO"):
                pass
            # What stood in the old process ends on a link of the new one.
            program.links[1].send(p.Release(1, p.ReleaseCause.NORMAL))
            self.assertEqual(newer.next(), p.Release(1, p.ReleaseCause.NORMAL))

    def test_after_a_killed_process_another_starts_in_its_folder(self) -> None:
        with Program() as program:
            path = found(program)
            program.process.kill()
            program.process.wait()
            self.assertTrue(path.is_socket())
            program.replace()
            caller = program.caller()
            caller.send(p.HealthCheck(1))
            self.assertEqual(caller.next(), p.HealthCheckResult(1, True))

    def test_a_process_that_is_not_found_is_served_beside(self) -> None:
        with Program() as program:
            found(program).unlink()
            old = program.replace()
            old.send_signal(signal.SIGTERM)
            self.assertEqual(old.wait(10), 0)
            caller = program.caller()
            caller.send(p.HealthCheck(1))
            self.assertEqual(caller.next(), p.HealthCheckResult(1, True))
