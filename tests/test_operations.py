"""The operators' parts: the door's lines, the figures, and what staff may ask of the running program."""

from __future__ import annotations

import socket
import unittest

from latchturn import operations as o
from latchturn import protocol as p
from latchturn import session as s

from .helpers import Desk, Program, set_up

C = o.Command


class Words(unittest.TestCase):
    def test_lines(self) -> None:
        cases = {
            b"PING": C.PING, b"INFO\r": C.INFO, b" LAMEDUCK ": C.LAMEDUCK, b"REJOIN": C.REJOIN,
            b"": None, b"ping": None, b"PING PING": None, b"\xff\xfe": None, b"QUIT": None,
        }  # fmt: skip
        for line, command in cases.items():
            self.assertIs(o.parse(line), command, line)

    def test_figures(self) -> None:
        figures = {o.by_class("succeeded", "a.b:c|d"): 3, "outstanding": 0, "of_no_table": 5}
        text = "edge_gw.succeeded.a_b_c_d:3|c\nedge_gw.outstanding:0|g\n"
        self.assertEqual(o.render(figures), text)
        self.assertEqual(o.answer(True, "well", figures), f"OK well\n{text}END\n".encode())
        self.assertEqual(o.answer(False, "bad"), b"ERR bad\n")


class Figures(unittest.TestCase):
    def test_each_end_of_a_request_counts_once_for_its_class(self) -> None:
        desk = Desk()
        zeroes = {name: desk.figure(f"{name}.premium_quote") for name in o.BY_CLASS}
        self.assertEqual(zeroes, {"succeeded": 0, "declined": 0, "aborted": 0})
        self.assertEqual((desk.figure("discovered"), desk.figure("ejected")), (3, 0))
        desk.stand(1)
        desk.hear(1, set_up(2))
        self.assertEqual(desk.figure("outstanding"), 2)  # one of them stands: it has not ended
        desk.hear(1, set_up(2))  # the same id again: which is meant cannot be told, it fails
        desk.hear(1, set_up(3, to=9))  # no such exchange: refused
        self.assertEqual(desk.figure("outstanding"), 1)
        self.assertEqual([desk.figure(f"{name}.premium_quote") for name in o.BY_CLASS], [1, 1, 1])

    def test_an_attempt_counts_once_it_has_left_whole(self) -> None:
        desk = Desk()
        link = desk.link[1]
        desk.hold.add(link)
        desk.hear(1, set_up(1))
        self.assertEqual(desk.figure("forwards"), 0)
        desk.do(s.Wrote(link))
        self.assertEqual(desk.figure("forwards"), 1)

    def test_a_silent_exchange_is_told_as_avoided(self) -> None:
        desk = Desk(far=1)
        for call in (1, 2):
            desk.hear(1, set_up(call, wait_ms=300))
        desk.pass_time(500_000)
        self.assertEqual(desk.figure("ejected"), 1)

    def test_info_is_the_live_registry(self) -> None:
        desk = Desk()
        desk.do(s.ConfigTurnedDown("it is empty"))
        lines = desk.ask(C.INFO).splitlines()
        self.assertEqual((lines[0], lines[-1]), ("OK serving", "END"))
        self.assertIn("edge_gw.sighup_rejected:1|c", lines)
        self.assertIn("edge_gw.sighup_applied:0|c", lines)
        self.assertTrue(desk.ask(None).startswith("ERR "))


class Readiness(unittest.TestCase):
    def test_ping_says_yes_once_groups_are_told_or_time_is_up(self) -> None:
        desk = Desk()
        self.assertEqual(desk.ask(C.PING), "OK serving\n")
        session = s.Session(desk.session.settings, 7, 1024)
        session.step(desk.now, s.Started((p.ListUpdate(1, s.i.ListKind.FULL, ()),), 1, ("127.0.0.1", 9)))
        self.assertIs(session.phase, s.Phase.STARTING)  # nothing listens
        desk.session.exchanges[102].told_once = False
        self.assertEqual(desk.ask(C.PING), "ERR starting\n")
        desk.pass_time(s.READY_MOST_US)
        self.assertEqual(desk.ask(C.PING), "OK serving\n")


class Door(unittest.TestCase):
    def test_every_line_is_answered_beside_those_who_dawdle(self) -> None:
        with Program() as program:
            dawdlers = [socket.create_connection(("127.0.0.1", program.door), 10) for _ in range(20)]
            self.assertIn(program.ask("PING")[0], ("OK serving", "ERR starting"))
            self.assertTrue(program.ask("HELP")[0].startswith("ERR "))
            self.assertTrue(program.ask("x" * 5000)[0].startswith("ERR "))
            caller = program.caller()
            caller.send(set_up(1))
            program.links[1].next()
            lines = program.ask("INFO")
            self.assertIn("edge_gw.outstanding:1|g", lines)
            self.assertEqual(lines[-1], "END")
            self.assertEqual(dawdlers[0].recv(10), b"")  # the oldest has made room
            dawdlers[-1].sendall(b"INFO\n")
            self.assertTrue(dawdlers[-1].recv(10).startswith(b"OK"))
            for sock in dawdlers:
                sock.close()
