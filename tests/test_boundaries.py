"""Answers and set-ups that end early, so that the first bytes of the next message fill their declared length."""

from __future__ import annotations

import random
import time
import unittest
from typing import NamedTuple

from latchturn import boundaries as b
from latchturn import protocol as p
from latchturn import session as s
from latchturn.session import limits

from .helpers import SECOND, Peer, Program, SessionHarness, group_state, set_up

CALL = 0x7F3A9C21E0B4D655
PIECE_PAUSE_S = 0.02  # a message may stay incomplete for 0.25 s
NEXT_MESSAGES = (
    group_state(7),
    p.Release(0x0006B0CC90000001, p.ReleaseCause.NORMAL, report={"spare": 3, "total": 40}),
    p.Release(CALL, p.ReleaseCause.NORMAL),
    p.Release(0x1C2B0C0910063435, p.ReleaseCause.NO_CIRCUIT, "no_circuit", 0, {"spare": 0}),
    p.Answer(0x0009060009100009, b"v=0 1 2\r\n"),
    p.Answer(CALL, b"v=0 an answer of 300 bytes" + bytes(300)),
    p.ReleaseConfirmed(0x0000000000000906),
    p.Progress(5),
    p.HealthCheck(1),
)
DESCRIPTIONS = (
    b"v=0 7001 7f3a9c21e0b4d655\xff",
    b"v=0\r\no=- 4 5 IN IP4 10.0.0.1\r\n",
    bytes(30),
    random.Random(3).randbytes(60),
)


class Received(NamedTuple):
    message: p.Message
    end_certain: bool


def feed_all(chunks: list[bytes]) -> tuple[list[Received], bool]:
    """Feed a new decoder; returns what it yields, and whether the input is malformed."""
    decoder, received = b.ExchangeDecoder(), []
    try:
        for chunk in chunks:
            for message in decoder.messages(chunk):
                received.append(Received(message, decoder.end_certain))
    except p.ProtocolError:
        return received, True
    return received, False


def splits(data: bytes) -> list[list[bytes]]:
    """The data in one piece, in two pieces with each possible boundary, and byte by byte."""
    pieces = [[data]]
    pieces += [[data[:at], data[at:]] for at in range(1, len(data))]
    return [*pieces, [data[k : k + 1] for k in range(len(data))]]


class TruncatedAnswers(unittest.TestCase):
    def test_no_truncated_answer_counts_as_whole_however_many_bytes_are_missing(self) -> None:
        # Otherwise a caller gets a description that ends with the head of the exchange's next message.
        for description in DESCRIPTIONS:
            whole = p.encode(p.Answer(CALL, description))
            for following in NEXT_MESSAGES:
                for missing in range(1, len(description) + p.PARAMETER_HEADER.size):
                    data = whole[:-missing] + p.encode(following)
                    if data.startswith(whole):
                        continue  # the missing bytes and the head of the next message are the same
                    for chunks in splits(data):
                        received, malformed = feed_all(chunks)
                        answers = [r for r in received if r.message.call == CALL and isinstance(r.message, p.Answer)]
                        passed_on = [r for r in answers if r.end_certain]
                        self.assertEqual(passed_on, [], (description, following, missing, chunks))
                        followed = received and received[-1].end_certain
                        self.assertFalse(followed, (description, following, missing, chunks))
                        self.assertTrue(malformed or not received, (description, following, missing, chunks))

    def test_long_answers_are_judged_by_their_last_bytes(self) -> None:
        # The gap holds many messages; the last one begins near the end of the answer.
        whole = p.encode(p.Answer(CALL, b"v=0 " + b"5" * 9000))
        following = b"".join(map(p.encode, NEXT_MESSAGES * 30))
        for missing in (1, 10, 1000, 6000, 8900):
            received, malformed = feed_all([whole[:-missing] + following])
            self.assertEqual((received, malformed), ([], True), missing)
        self.assertEqual(feed_all([whole + following])[0][0].message.call, CALL)

    def test_an_answer_that_ends_before_the_length_of_its_description_does_not_count_as_whole(self) -> None:
        # The length of the next message was taken for that of the description, and everything was in step again.
        following = p.encode(p.Release(0x0006B0CC90000001, p.ReleaseCause.NORMAL))
        description_bytes = len(following) - p.MESSAGE_LENGTH_BYTES
        whole = p.encode(p.Answer(CALL, bytes(description_bytes)))
        cut = whole[: p.MESSAGE_HEADER.size + 1]
        self.assertEqual(feed_all([cut + following + p.encode(group_state(7))]), ([], True))

    def test_an_answer_with_a_short_binary_description_counts_as_whole(self) -> None:
        for kind in range(256):
            answer = p.Answer(CALL, bytes([kind, *range(1, p.MIN_MESSAGE_BYTES)]))
            received, malformed = feed_all([p.encode(answer) + p.encode(group_state(7))])
            self.assertEqual(([r.message for r in received], malformed), ([answer, group_state(7)], False))

    def test_an_answer_whose_lengths_are_too_small_does_not_count_as_whole(self) -> None:
        description = b"v=0 7001 7f3a9c21e0b4d655\xff"
        header = p.encode(p.Answer(CALL, description))[2 : p.MESSAGE_HEADER.size]
        for cut in range(1, len(description)):
            size = len(description) - cut
            length = len(header) + p.PARAMETER_HEADER.size + size
            data = length.to_bytes(2, "big") + header + p.PARAMETER_HEADER.pack(p.ParameterCode.DESCRIPTION, size)
            received, _ = feed_all([data + description + p.encode(group_state(7))])
            self.assertEqual([r for r in received if r.end_certain], [], cut)

    def test_a_whole_answer_counts_as_whole_whatever_follows_and_however_it_arrives(self) -> None:
        for description in DESCRIPTIONS:
            answer = p.Answer(CALL, description)
            for following in NEXT_MESSAGES:
                for chunks in splits(p.encode(answer) + p.encode(following)):
                    received, malformed = feed_all(chunks)
                    self.assertFalse(malformed, chunks)
                    self.assertEqual([r.message for r in received], [answer, following])

    def test_a_whole_answer_with_a_text_description_never_waits(self) -> None:
        for description in DESCRIPTIONS[:2]:
            for following in NEXT_MESSAGES:
                for chunks in splits(p.encode(p.Answer(CALL, description)) + p.encode(following)):
                    received, _ = feed_all(chunks)
                    self.assertTrue(received[0].end_certain, chunks)

    def test_an_answer_before_unreadable_bytes_or_a_message_of_another_length_is_uncertain(self) -> None:
        whole = p.encode(p.Answer(CALL, b"v=0"))
        for rest, certain in ((b"\x7f", None), (b"\x00\x09\xff", None), (b"\x00\x08", None), (b"\x3f\xff\x09", False)):
            received, malformed = feed_all([whole + rest])
            self.assertEqual(malformed, certain is None, rest)
            self.assertEqual([r.end_certain for r in received], [] if malformed else [certain])

    def test_an_answer_without_a_description_or_with_two_is_malformed(self) -> None:
        # The byte of the parameter's code may be noise; an empty description was passed on.
        whole = p.encode(p.Answer(CALL, b"v=0 1 2"))
        header, parameter = whole[: p.MESSAGE_HEADER.size], whole[p.MESSAGE_HEADER.size :]
        for body in (b"\x5a" + parameter[1:], b"", parameter * 2):
            length = (len(header) - p.MESSAGE_LENGTH_BYTES + len(body)).to_bytes(2, "big")
            self.assertEqual(feed_all([length + header[2:] + body]), ([], True))


class TruncatedReleases(unittest.TestCase):
    def test_a_release_that_ends_within_the_next_message_is_malformed(self) -> None:
        # Its cause was the first byte of the next message.
        for release in (p.Release(CALL, 34), p.Release(CALL, 16, report={"spare": 3}), p.Release(CALL, 47, "overload")):
            whole = p.encode(release)
            for following in NEXT_MESSAGES:
                for missing in range(1, len(whole) - p.MESSAGE_HEADER.size - p.PARAMETER_HEADER.size + 1):
                    data = whole[:-missing] + p.encode(following)
                    received, malformed = feed_all([data])
                    self.assertEqual(received, [], (release, following, missing))
                    self.assertEqual(malformed, len(data) >= len(whole), (release, following, missing))

    def test_whole_releases_are_decoded_at_once(self) -> None:
        for cause in p.ReleaseCause:
            release = p.Release(CALL, cause)
            for following in NEXT_MESSAGES:
                for chunks in splits(p.encode(release) + p.encode(following)):
                    self.assertEqual([r.message for r in feed_all(chunks)[0]], [release, following])


class TruncatedSetUps(unittest.TestCase):
    def test_a_set_up_that_ends_within_the_next_message_is_malformed(self) -> None:
        # Otherwise an exchange gets a set-up that no caller sent in this form.
        whole = p.encode(set_up(5))
        for following in (set_up(6), p.Release(5, p.ReleaseCause.NORMAL), p.HealthCheck(7)):
            for missing in range(1, len(set_up(5).description) + 1):
                data = whole[:-missing] + p.encode(following)
                for arrived in (len(data), len(whole) - missing + b.FIRST_VALUE_OFFSET):
                    with self.assertRaises(p.ProtocolError):
                        list(b.CallerDecoder().messages(data[:arrived]))

    def test_whole_set_ups_in_a_row_are_decoded_at_once(self) -> None:
        data = p.encode(set_up(5)) + p.encode(set_up(6))
        for chunks in splits(data):
            decoder = b.CallerDecoder()
            self.assertEqual([message.call for chunk in chunks for message in decoder.messages(chunk)], [5, 6])


class HeldAnswers(unittest.TestCase):
    """The reducer holds an answer whose end is uncertain."""

    ANSWER = p.Answer(5, b"v=0\x00")

    def setUp(self) -> None:
        self.harness = SessionHarness()
        self.link = self.harness.first_links[1]

    def receive_uncertain(self, wait_ms: int = 1000) -> None:
        self.harness.deliver(1, set_up(5, wait_ms=wait_ms))
        held = self.harness.submit(s.MessageReceived(self.link, self.ANSWER, end_certain=False))
        self.assertNotIn((1, self.ANSWER), held)

    def test_the_next_message_on_the_link_shows_that_it_is_whole(self) -> None:
        self.receive_uncertain()
        self.assertIn((1, self.ANSWER), self.harness.deliver(self.link, group_state(7)))

    def test_the_release_of_the_same_call_ends_it_after_its_answer(self) -> None:
        self.receive_uncertain()
        release = p.Release(5, p.ReleaseCause.NORMAL)
        written = self.harness.deliver(self.link, release)
        to_caller = [message for stream, message in written if stream == 1]
        self.assertEqual(to_caller, [self.ANSWER, release])

    def test_it_counts_as_whole_after_the_time_limit_and_not_before(self) -> None:
        self.receive_uncertain()
        self.assertNotIn((1, self.ANSWER), self.harness.pass_time(limits.ANSWER_HOLD_US - 1))
        self.assertIn((1, self.ANSWER), self.harness.pass_time(1))

    def test_it_counts_as_whole_when_its_attempt_would_time_out(self) -> None:
        self.receive_uncertain(wait_ms=limits.ANSWER_HOLD_US // 2000)
        self.assertIn((1, self.ANSWER), self.harness.pass_time(limits.ANSWER_HOLD_US))
        self.assertEqual(self.harness.session.counters["attempts_timed_out"], 0)

    def test_it_counts_as_whole_when_the_exchange_ends_the_link_behind_it(self) -> None:
        self.receive_uncertain()
        self.assertIn((1, self.ANSWER), self.harness.submit(s.EndOfInput(self.link)))

    def test_it_is_dropped_with_its_link_if_the_next_message_is_malformed_or_stays_partial(self) -> None:
        def stay_partial() -> None:
            self.harness.submit(s.PartialMessage(self.link, True))
            self.harness.pass_time(limits.LINK_PARTIAL_TIMEOUT_US + 1)

        def be_malformed() -> None:
            self.harness.submit(s.MalformedInput(self.link, "an answer ends within the next message"))

        def end_partial() -> None:
            self.harness.submit(s.PartialMessage(self.link, True))
            self.harness.submit(s.EndOfInput(self.link))

        for follow in (be_malformed, stay_partial, end_partial):
            self.setUp()
            self.receive_uncertain()
            follow()
            self.harness.pass_time(2 * SECOND)
            self.assertNotIn((1, self.ANSWER), self.harness.written)
            self.assertNotIn(self.link, self.harness.session.links.by_stream)
            finals = [m for stream, m in self.harness.written if stream == 1 and isinstance(m, p.Answer | p.Release)]
            self.assertEqual(len(finals), 1)

    def test_it_is_released_at_the_exchange_if_its_call_has_ended_meanwhile(self) -> None:
        self.receive_uncertain()
        self.harness.deliver(1, p.Release(5, p.ReleaseCause.NORMAL))
        written = self.harness.deliver(self.link, group_state(7))
        self.assertNotIn((1, self.ANSWER), written)
        self.assertEqual(self.harness.session.counters["errors"], 0)


class OnSockets(unittest.TestCase):
    def assert_not_served(self, program: Program, caller: Peer, call: int, pieces: tuple[bytes, ...]) -> None:
        """Let the exchange reply to a set-up with these bytes; its link must be closed and the call must fail."""
        caller.send(set_up(call, wait_ms=300))
        link = program.links[1]
        while not isinstance(message := link.next(), p.SetUp):  # a release of the call before
            self.assertIsInstance(message, p.Release)
        self.assertEqual(message.call, call)
        for piece in pieces:
            link.sock.sendall(piece)
            time.sleep(PIECE_PAUSE_S)
        while link.next() is not None:
            pass
        program.links[1] = program.accept(1)
        program.links[1].send(group_state(20, allowed=40))
        self.assertIsInstance(caller.next(), p.Release, pieces)

    def test_an_answer_that_ends_within_the_next_message_is_not_passed_on(self) -> None:
        # The caller got the description with the first bytes of the next message at its end.
        description = b"v=0 an answer"
        with Program() as program:
            caller = program.caller()
            for call, missing in enumerate((1, 2, 5, 9, 10, 11, len(description)), 1):
                cut = p.encode(p.Answer(call, description))[:-missing]
                following = p.encode(NEXT_MESSAGES[call % len(NEXT_MESSAGES)])
                self.assert_not_served(program, caller, call, (cut + following,))

    def test_a_next_message_that_comes_later_or_in_pieces_does_not_complete_an_answer(self) -> None:
        # The first piece fills the gap exactly, so that the answer looks whole until the second one comes.
        with Program() as program:
            caller = program.caller()
            following = p.encode(p.Release(0x0006B0CC90000001, p.ReleaseCause.NORMAL))
            for call, (missing, first) in enumerate(((1, 0), (3, 1), (3, 3), (10, 10), (5, 12)), 1):
                cut = p.encode(p.Answer(call, b"v=0 an answer"))[:-missing]
                self.assert_not_served(program, caller, call, (cut, following[:first], following[first:]))

    def test_an_answer_without_a_description_is_not_passed_on(self) -> None:
        # The caller got an empty description.
        with Program() as program:
            data = p.encode(p.Answer(1, b"v=0")).replace(b"\xae\x00\x03", b"\x5a\x00\x03")
            self.assert_not_served(program, program.caller(), 1, (data,))

    def test_a_set_up_that_ends_within_the_next_message_reaches_no_exchange(self) -> None:
        # The exchange got a description that its caller had not sent.
        with Program() as program:
            caller = program.caller()
            caller.sock.sendall(p.encode(set_up(5))[:-2] + p.encode(set_up(6)))
            self.assertIsNone(caller.next())
            program.caller().send(set_up(7))
            self.assertEqual(program.links[1].next().call, 7)
