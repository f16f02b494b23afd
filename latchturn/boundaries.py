"""Tells whether the bytes that complete a message were sent as part of it.

A peer may send fewer bytes of a message than the message declares, and go on with its next message on the same
connection. The first bytes of the next message then fill the gap: both messages look whole, the first one carries bytes
that nobody sent as part of it, and everything after it is out of step. The lengths alone do not show this.

Evidence: if a message ends early, the next message begins within it. So each position within the message is tried as
the beginning of the next one, and the bytes behind the message are tried as a beginning, too. This module holds no
socket and no clock, and knows no calls; the reducer decides what to do with a message whose end is uncertain.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from enum import Enum, auto

from .protocol import (
    MAX_MESSAGE_BYTES,
    MESSAGE_HEADER,
    MESSAGE_LENGTH_BYTES,
    MIN_MESSAGE_BYTES,
    PARAMETER_HEADER,
    Answer,
    Decoder,
    Message,
    MessageType,
    ParameterCode,
    ProtocolError,
    Release,
    SetUp,
    decode_message,
)

USUAL_MESSAGE_BYTES = 1024  # a longer message is expected only from a peer that has sent one before
MAX_SEARCHED_BYTES = 4096  # at the end of a message; bounds the processor time that a long one takes
PARAMETER_CODES = frozenset(ParameterCode)
EMPTY_MESSAGE_LENGTH = MIN_MESSAGE_BYTES.to_bytes(MESSAGE_LENGTH_BYTES, "big")  # of a message without parameters
FIRST_LENGTH_OFFSET = MESSAGE_HEADER.size + 1  # of the length of a message's first parameter, behind its code
FIRST_VALUE_OFFSET = MESSAGE_HEADER.size + PARAMETER_HEADER.size
TYPES_FROM_EXCHANGES = frozenset(
    (
        MessageType.PROGRESS,
        MessageType.ANSWER,
        MessageType.RELEASE,
        MessageType.RELEASE_CONFIRMED,
        MessageType.GROUP_STATE,
        MessageType.HEALTH_CHECK,
    )
)
TYPES_FROM_CALLERS = frozenset(
    (MessageType.SET_UP, MessageType.RELEASE, MessageType.RELEASE_CONFIRMED, MessageType.HEALTH_CHECK)
)
# Types of the messages about a call that an exchange can send directly after an answer.
TYPES_AFTER_ANSWER = (MessageType.ANSWER, MessageType.RELEASE, MessageType.PROGRESS, MessageType.RELEASE_CONFIRMED)
GROUP_STATE_HEADER = bytes([MessageType.GROUP_STATE]) + bytes(8)  # without the length; the call is 0


class Boundary(Enum):
    """Where the last bytes of a complete message belong."""

    CERTAIN = auto()  # to the message
    UNCERTAIN = auto()  # to the message, or to the next one, of which too little has arrived
    OVERRUN = auto()  # to the next message, or what follows cannot be read


class _Start(Enum):
    """What stands at a position that is tried as the beginning of a message."""

    COMPLETE = auto()  # a valid message
    BEGUN = auto()  # the beginning of a message with a parameter that fits into it
    POSSIBLE = auto()  # a beginning too short to tell
    INVALID = auto()


def _byte_class(values: Iterable[int]) -> bytes:
    """A regular expression for one byte out of several."""
    return b"[" + b"".join(re.escape(bytes([value])) for value in sorted(values)) + b"]"


class _Beginnings:
    """Finds the positions at which a message of one of the types may begin, as far as the data goes.

    It only selects the positions that are worth decoding: a length, a type, a call, and the code of a parameter unless
    the message has none. Nearly every message is searched in vain, so each search begins with what is rare.
    """

    def __init__(self, types: Iterable[int]) -> None:
        first_length_byte = _byte_class(range((MAX_MESSAGE_BYTES >> 8) + 1))
        type_, code = _byte_class(types), _byte_class(ParameterCode)
        self._code_after_header = re.compile(
            code + b"(?<=" + first_length_byte + b"." + type_ + b".{8}" + code + b")", re.DOTALL
        )
        self._empty_message = re.compile(re.escape(EMPTY_MESSAGE_LENGTH) + type_)
        self._cut_off = re.compile(first_length_byte + b"(?=.?\\Z|." + type_ + b".{0,8}\\Z)", re.DOTALL)

    def whole_headers(self, data: bytes, begin: int, end: int) -> list[int]:
        """The positions from `begin` up to but excluding `end` at which all of a header may stand."""
        found = self._code_after_header.finditer(data, begin + MESSAGE_HEADER.size, end + MESSAGE_HEADER.size)
        positions = [match.start() - MESSAGE_HEADER.size for match in found]
        if data.find(EMPTY_MESSAGE_LENGTH, begin) >= 0:
            positions += [m.start() for m in self._empty_message.finditer(data, begin, end + MESSAGE_LENGTH_BYTES)]
        return positions

    def cut_off_headers(self, data: bytes, begin: int, end: int, longest_bytes: int) -> list[int]:
        """The positions from `begin` up to but excluding `end` at which the data ends within the header of a message
        that may be no longer than `longest_bytes`."""
        begin = max(begin, len(data) - MESSAGE_HEADER.size)
        if begin >= end or min(data[begin:end]) > longest_bytes >> 8:  # the first byte of a length is small
            return []
        return [match.start() for match in self._cut_off.finditer(data, begin) if match.start() < end]


class BoundaryCheck:
    """Judges the end of messages from one kind of peer."""

    def __init__(self, types: frozenset[MessageType]) -> None:
        self._types = types
        self._beginnings = _Beginnings(types)

    def judge(self, raw: bytes, following: bytes, longest_bytes: int) -> Boundary:
        """Judge the end of an encoded message by the bytes that follow it.

        A message longer than `longest_bytes` is expected to follow only if all of it is there.
        """
        within = self._next_message_within(raw, following, longest_bytes)
        if within is _Start.COMPLETE:
            return Boundary.OVERRUN
        behind, length = self._message_at(following, 0)
        if behind is _Start.INVALID:
            return Boundary.OVERRUN
        if within is _Start.BEGUN:  # stronger than a valid message behind it: bytes out of step may look like one
            return Boundary.UNCERTAIN
        if behind is _Start.COMPLETE:
            return Boundary.CERTAIN
        return Boundary.UNCERTAIN if within is _Start.POSSIBLE or length > longest_bytes else Boundary.CERTAIN

    def contains_next(self, raw: bytes, following: bytes) -> bool:
        """Whether a message begins in the last `USUAL_MESSAGE_BYTES` of an encoded one and reaches its end: a valid
        one, or so much of one that its first parameter fits into it."""
        begin = max(FIRST_LENGTH_OFFSET, len(raw) - USUAL_MESSAGE_BYTES)
        data = raw + following
        positions = self._beginnings.whole_headers(data, begin, len(raw))
        best = self._best(data, positions, len(raw), USUAL_MESSAGE_BYTES)
        return best is _Start.COMPLETE or best is _Start.BEGUN

    def _next_message_within(self, raw: bytes, following: bytes, longest_bytes: int) -> _Start:
        """The best evidence for a message that begins within `raw` and fills its end."""
        begin = max(FIRST_LENGTH_OFFSET, len(raw) - min(longest_bytes, MAX_SEARCHED_BYTES))
        data = raw + following
        positions = self._beginnings.whole_headers(data, begin, len(raw))
        positions += self._beginnings.cut_off_headers(data, begin, len(raw), longest_bytes)
        return self._best(data, positions, len(raw), longest_bytes)

    def _best(self, data: bytes, positions: list[int], end: int, longest_bytes: int) -> _Start:
        """The best evidence among the positions for a message that reaches `end`."""
        best = _Start.INVALID
        for at in positions:
            start, length = self._messages_to(data, at, end)
            if at < FIRST_VALUE_OFFSET and length == MIN_MESSAGE_BYTES:
                continue  # only the length of a short value
            if start is _Start.COMPLETE:
                return start
            if length <= longest_bytes and best is not _Start.BEGUN and start is not _Start.INVALID:
                best = start
        return best

    def _messages_to(self, data: bytes, at: int, end: int) -> tuple[_Start, int]:
        """What stands at `at`, where the messages must reach `end`; and the length of the message that does."""
        while True:
            start, length = self._message_at(data, at)
            at += MESSAGE_LENGTH_BYTES + length
            if start is not _Start.COMPLETE or at >= end:
                return start, length

    def _message_at(self, data: bytes, at: int) -> tuple[_Start, int]:
        """What stands at a position, and the declared length of the message, as far as it is there."""
        available = len(data) - at
        if not available:
            return _Start.POSSIBLE, 0
        length = int.from_bytes(data[at : at + MESSAGE_LENGTH_BYTES].ljust(MESSAGE_LENGTH_BYTES, b"\0"), "big")
        if length > MAX_MESSAGE_BYTES or (available >= MESSAGE_LENGTH_BYTES and length < MIN_MESSAGE_BYTES):
            return _Start.INVALID, length
        if available > MESSAGE_LENGTH_BYTES and data[at + MESSAGE_LENGTH_BYTES] not in self._types:
            return _Start.INVALID, length
        if available < MESSAGE_LENGTH_BYTES + length:
            return self._first_parameter_at(data, at + MESSAGE_HEADER.size, length - MIN_MESSAGE_BYTES), length
        try:
            decode_message(data[at : at + MESSAGE_LENGTH_BYTES + length])
        except ProtocolError:
            return _Start.INVALID, length
        return _Start.COMPLETE, length

    @staticmethod
    def _first_parameter_at(data: bytes, at: int, body_bytes: int) -> _Start:
        """What the first parameter shows about an incomplete message with a body of the given length."""
        if len(data) < at + PARAMETER_HEADER.size:
            return _Start.POSSIBLE
        code, size = PARAMETER_HEADER.unpack_from(data, at)
        fits = code in PARAMETER_CODES and PARAMETER_HEADER.size + size <= body_bytes
        return _Start.BEGUN if fits else _Start.INVALID


EXCHANGE_CHECK = BoundaryCheck(TYPES_FROM_EXCHANGES)
CALLER_CHECK = BoundaryCheck(TYPES_FROM_CALLERS)


class ExchangeDecoder(Decoder[Message]):
    """Decodes the stream of an exchange, and finds answers and releases that end within the message after them.

    Only answers can be uncertain: of all messages of an exchange they alone carry content that is passed on unchanged.
    """

    def __init__(self) -> None:
        super().__init__(MESSAGE_LENGTH_BYTES, MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES, decode_message)
        self._answer = b""  # the last message, if it is an answer whose end is uncertain
        self._longest_bytes = USUAL_MESSAGE_BYTES

    @property
    def end_certain(self) -> bool:
        """Whether all bytes of the message yielded last are certainly its own."""
        return not self._answer

    def messages(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that `data` completes; ProtocolError at a malformed one, and as soon as an answer that
        was yielded with an uncertain end turns out to end within the next message. Until that is decided, nothing
        after the answer is yielded."""
        self.push(data)
        if self._answer:
            self._judge_answer()
        if self._answer:
            return
        while (raw := self.take()) is not None:
            message = decode_message(raw)
            if len(raw) > self._longest_bytes:
                self._longest_bytes = len(raw)
            if isinstance(message, Answer):
                self._answer = raw
                self._judge_answer()
            elif isinstance(message, Release) and EXCHANGE_CHECK.contains_next(raw, self.unread):
                raise ProtocolError("a release ends within the next message")
            yield message
            if self._answer:
                return

    def _judge_answer(self) -> None:
        """Forget the last answer if its end has become certain; ProtocolError if it is not its own."""
        boundary = EXCHANGE_CHECK.judge(self._answer, self.unread, self._longest_bytes)
        if boundary is Boundary.OVERRUN:
            raise ProtocolError("an answer ends within the next message, or what follows it cannot be read")
        if boundary is Boundary.CERTAIN:
            self._answer = b""


class CallerDecoder(Decoder[Message]):
    """Decodes the stream of a caller, and finds set-ups that end within the message after them.

    A set-up that nobody sent in this form must not reach an exchange. Callers may take long to send a message, so only
    what has arrived with the last byte of a set-up is considered, and no set-up waits for more.
    """

    end_certain = True

    def __init__(self) -> None:
        super().__init__(MESSAGE_LENGTH_BYTES, MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES, decode_message)

    def messages(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that `data` completes; ProtocolError at a malformed one and at a set-up that ends within
        the next message."""
        self.push(data)
        while (raw := self.take()) is not None:
            message = decode_message(raw)
            if isinstance(message, SetUp) and CALLER_CHECK.contains_next(raw, self.unread):
                raise ProtocolError("a set-up ends within the next message")
            yield message


StreamDecoder = CallerDecoder | ExchangeDecoder


def contains_message_header(data: bytes, calls: Iterable[int]) -> bool:
    """Return whether the data contains the header of a message about one of the calls, or of a group state."""
    if GROUP_STATE_HEADER in data:
        return True
    for call in calls:
        at = data.find(call.to_bytes(8, "big"), 1)
        if at > 0 and data[at - 1] in TYPES_AFTER_ANSWER:  # in a header, the type precedes the call
            return True
    return False
