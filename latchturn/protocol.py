"""Codecs of the platform's protocol: messages, frames of the command channel and the configuration.

This module converts between plain values and every byte layout and text format that the program uses,
except those of the simulator (see `benchlink`). It opens no socket, reads no clock, makes no decisions and
keeps no state other than the incomplete end of a byte stream. Malformed input raises `ProtocolError`.
"""

from __future__ import annotations

import json
import re
import struct
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any, Generic, TypeVar

from .interface import ListEntry, ListKind, ListState

MAX_MESSAGE_BYTES = 16 * 1024
MAX_FRAME_BYTES = 4 * 1024 * 1024  # holds a full list of 150,000 exchanges
MESSAGE_HEADER = struct.Struct(">HBQ")  # length of what follows the length, type, call
MESSAGE_LENGTH_BYTES = 2  # size of the length at the start of a message
MIN_MESSAGE_BYTES = MESSAGE_HEADER.size - MESSAGE_LENGTH_BYTES  # smallest valid length
PARAMETER_HEADER = struct.Struct(">BH")  # code, length of the value
FRAME_HEADER = struct.Struct(">IQB")  # length of what follows the length, event number, kind
# One `ExchangeRecord` in a frame: id, IPv4 address, port, state, zone, type, number, weight, start in Unix ms.
RECORD = struct.Struct(">I4sHBBBHIQ")
CURSOR = struct.Struct(">Q")
WHOLE_NUMBER = re.compile(r"-?[0-9]{1,9}(\.0+)?", re.ASCII)  # value of a figure in a set-up

LIST_STATE_BY_CODE = {0: ListState.READY, 1: ListState.DRAINING, 2: ListState.GONE}
LIST_STATE_BY_STATUS = {"ready": ListState.READY, "draining": ListState.DRAINING, "gone": ListState.GONE}


MAY_BE_ABSENT = ("admin_addr", "aim-stretch", "fleet")  # optional keys of the configuration


class ProtocolError(Exception):
    """Input violates the protocol."""


class ConfigError(Exception):
    """The configuration is invalid; the message states the problem and usually the file."""


class MessageType(IntEnum):
    """Message types on the wire."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_CONFIRMED = 16
    GROUP_STATE = 43
    HEALTH_CHECK = 52
    HEALTH_CHECK_RESULT = 53


class ParameterCode(IntEnum):
    """Codes of the parameters in a message."""

    CLASS = 129
    WAIT_MS = 132
    TENANT = 135
    CALLED = 141
    FIGURES = 144
    RETRY_AFTER_MS = 147
    NOTE = 150
    REPORT = 156
    CAUSE = 171
    DESCRIPTION = 174


class ReleaseCause(IntEnum):
    """Release causes, named after ITU-T Q.850."""

    NORMAL = 16
    USER_BUSY = 17
    NO_CIRCUIT = 34
    TEMPORARY_FAILURE = 41
    CONGESTION = 42
    RESOURCE_UNAVAILABLE = 47
    INVALID_CONTENTS = 100
    TIMER_EXPIRY = 102


@dataclass(slots=True, frozen=True)
class SetUp:
    """Requests that a call be set up. Only callers send `figures` and `tenant`."""

    call: int  # id of the call
    class_name: str
    wait_ms: int  # how long the sender waits for an answer
    called: str  # the called number
    description: bytes  # media description, passed on unchanged
    figures: Mapping[str, int] = field(default_factory=dict)  # routing data such as destination and width, by name
    tenant: str = ""


@dataclass(slots=True, frozen=True)
class InvalidSetUp:
    """A complete set-up message with a missing or invalid parameter."""

    call: int
    reason: str


@dataclass(slots=True, frozen=True)
class Progress:
    """The set-up has reached the exchange and is in progress."""

    call: int


@dataclass(slots=True, frozen=True)
class Answer:
    """The call is set up."""

    call: int
    description: bytes  # media description, passed on unchanged
    report: Mapping[str, float] | None = None  # load figures of the exchange


@dataclass(slots=True, frozen=True)
class Release:
    """Ends a call or a set-up.

    Depending on the sender, the state of the call and the cause, it is a refusal, a failure, a give-up or the
    end of an answered call.
    """

    call: int
    cause: int  # a `ReleaseCause`
    note: str = ""  # details of the cause, such as "turned_back"
    retry_after_ms: int = 0  # how long the receiver should wait before it redials
    report: Mapping[str, float] | None = None  # load figures of the exchange


@dataclass(slots=True, frozen=True)
class ReleaseConfirmed:
    """Confirms that a release was received."""

    call: int


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Asks whether the receiver accepts calls; `call` is returned in the result."""

    call: int


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """The response to a `HealthCheck`; on the wire, `passed` is in the cause parameter."""

    call: int
    passed: bool


@dataclass(slots=True, frozen=True)
class GroupState:
    """Load figures of an exchange, among them the free circuits of its trunk group; `call` is 0."""

    call: int
    report: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A message of a type that this program does not know. It is ignored."""

    call: int
    type: int


Message = (
    SetUp | InvalidSetUp | Progress | Answer | Release | ReleaseConfirmed | HealthCheck | HealthCheckResult
    | GroupState | UnknownMessage
)  # fmt: skip


def encode(message: Message) -> bytes:
    """Encode one message; raises ValueError if it is too long or of a type that is never sent."""
    parameters: list[tuple[int, bytes]] = []
    if isinstance(message, SetUp):
        kind = MessageType.SET_UP
        parameters = [
            (ParameterCode.CLASS, message.class_name.encode()),
            (ParameterCode.WAIT_MS, b"%d" % message.wait_ms),
            (ParameterCode.CALLED, message.called.encode()),
        ]
        if message.tenant:
            parameters.append((ParameterCode.TENANT, message.tenant.encode()))
        if message.figures:
            parameters.append((ParameterCode.FIGURES, _encode_figures(message.figures)))
        parameters.append((ParameterCode.DESCRIPTION, message.description))
    elif isinstance(message, Answer):
        kind = MessageType.ANSWER
        parameters = [(ParameterCode.DESCRIPTION, message.description)]
        if message.report is not None:
            parameters.append((ParameterCode.REPORT, _encode_figures(message.report)))
    elif isinstance(message, Release):
        kind = MessageType.RELEASE
        parameters = [(ParameterCode.CAUSE, bytes([message.cause]))]
        if message.note:
            parameters.append((ParameterCode.NOTE, message.note.encode()))
        if message.retry_after_ms:
            parameters.append((ParameterCode.RETRY_AFTER_MS, b"%d" % message.retry_after_ms))
        if message.report is not None:
            parameters.append((ParameterCode.REPORT, _encode_figures(message.report)))
    elif isinstance(message, GroupState):
        kind, parameters = MessageType.GROUP_STATE, [(ParameterCode.REPORT, _encode_figures(message.report))]
    elif isinstance(message, HealthCheck):
        kind, parameters = MessageType.HEALTH_CHECK, [(ParameterCode.CAUSE, b"\0")]
    elif isinstance(message, HealthCheckResult):
        kind, parameters = MessageType.HEALTH_CHECK_RESULT, [(ParameterCode.CAUSE, bytes([message.passed]))]
    elif isinstance(message, Progress):
        kind = MessageType.PROGRESS
    elif isinstance(message, ReleaseConfirmed):
        kind = MessageType.RELEASE_CONFIRMED
    else:
        raise ValueError(f"{message} cannot be encoded")
    body = b"".join(PARAMETER_HEADER.pack(code, len(value)) + value for code, value in parameters)
    length = MIN_MESSAGE_BYTES + len(body)
    if length > MAX_MESSAGE_BYTES:
        raise ValueError(f"message of {length} bytes is too long")
    return MESSAGE_HEADER.pack(length, kind, message.call) + body


T = TypeVar("T")


class Decoder(Generic[T]):
    """Splits a byte stream into length-prefixed units and decodes each, regardless of how the bytes arrive."""

    def __init__(self, length_bytes: int, min_length: int, max_length: int, decode: Callable[[bytes], T]) -> None:
        self._length_bytes = length_bytes  # size of the length field; the length counts all bytes after the field
        self._min_length = min_length
        self._max_length = max_length
        self._decode = decode
        self._unread = bytearray()

    @property
    def has_partial_message(self) -> bool:
        """Whether the input so far ends within a unit."""
        return bool(self._unread)

    @property
    def unread(self) -> bytes:
        """The input after the unit that was yielded last."""
        return bytes(self._unread)

    def feed(self, data: bytes) -> Iterator[T]:
        """Yield the units that `data` completes. Units before a malformed one are yielded before the error."""
        self.push(data)
        while (raw := self.take()) is not None:
            yield self._decode(raw)

    def push(self, data: bytes) -> None:
        """Append input without decoding it."""
        self._unread += data

    def take(self) -> bytes | None:
        """Remove the next complete unit from the input and return it encoded; None if there is none."""
        unread = self._unread
        if len(unread) < self._length_bytes:
            return None
        length = int.from_bytes(unread[: self._length_bytes], "big")
        if not self._min_length <= length <= self._max_length:
            raise ProtocolError(f"invalid message length {length}")
        end = self._length_bytes + length
        if len(unread) < end:
            return None
        raw = bytes(unread[:end])
        del unread[:end]
        return raw


def message_decoder() -> Decoder[Message]:
    """Return a decoder for a stream of messages."""
    return Decoder(MESSAGE_LENGTH_BYTES, MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES, decode_message)


def decode_message(raw: bytes) -> Message:
    """Decode one complete message with its length; raises ProtocolError."""
    _, kind, call = MESSAGE_HEADER.unpack_from(raw)
    values: dict[int, bytes] = {}
    repeated_code = 0
    at = MESSAGE_HEADER.size
    while at < len(raw):
        if at + PARAMETER_HEADER.size > len(raw):
            raise ProtocolError("truncated parameter header")
        code, size = PARAMETER_HEADER.unpack_from(raw, at)
        at += PARAMETER_HEADER.size
        if at + size > len(raw):
            raise ProtocolError(f"parameter {code} extends past the end of its message")
        repeated_code = code if code in values else repeated_code
        values[code] = raw[at : at + size]
        at += size
    if kind == MessageType.SET_UP:
        try:
            if repeated_code:
                raise ProtocolError(f"parameter {repeated_code} is repeated")
            if not values.get(ParameterCode.DESCRIPTION):
                raise ProtocolError("set-up without a description")
            return SetUp(
                call,
                _decode_text(values, ParameterCode.CLASS),
                _decode_number(values, ParameterCode.WAIT_MS),
                _decode_text(values, ParameterCode.CALLED),
                values[ParameterCode.DESCRIPTION],
                _decode_whole_figures(values),
                _decode_text(values, ParameterCode.TENANT) if ParameterCode.TENANT in values else "",
            )
        except ProtocolError as error:  # the message boundaries are intact, so the stream can still be read
            return InvalidSetUp(call, str(error))
    if kind == MessageType.PROGRESS:
        return Progress(call)
    if kind == MessageType.ANSWER:
        if ParameterCode.DESCRIPTION not in values or repeated_code:
            raise ProtocolError("answer without a description, or with a repeated parameter")
        return Answer(call, values[ParameterCode.DESCRIPTION], _decode_report(values))
    if kind == MessageType.RELEASE:
        note = _decode_text(values, ParameterCode.NOTE) if ParameterCode.NOTE in values else ""
        retry_after_ms = (
            _decode_number(values, ParameterCode.RETRY_AFTER_MS) if ParameterCode.RETRY_AFTER_MS in values else 0
        )
        return Release(call, _decode_cause(values), note, retry_after_ms, _decode_report(values))
    if kind == MessageType.RELEASE_CONFIRMED:
        return ReleaseConfirmed(call)
    if kind == MessageType.HEALTH_CHECK:
        return HealthCheck(call)
    if kind == MessageType.HEALTH_CHECK_RESULT:
        return HealthCheckResult(call, _decode_cause(values) == 1)
    if kind == MessageType.GROUP_STATE:
        return GroupState(call, _decode_figures(values, ParameterCode.REPORT))
    return UnknownMessage(call, kind)


def _decode_text(values: Mapping[int, bytes], code: int) -> str:
    if code not in values:
        raise ProtocolError(f"parameter {int(code)} is missing")
    try:
        return values[code].decode()
    except UnicodeDecodeError:
        raise ProtocolError(f"parameter {int(code)} is not text") from None


def _decode_number(values: Mapping[int, bytes], code: int) -> int:
    text = _decode_text(values, code)
    # isdecimal() alone accepts digits of other scripts, and int() accepts signs and underscores.
    if not (text.isascii() and text.isdecimal() and len(text) <= 18):
        raise ProtocolError(f"parameter {int(code)} is not a number: {text!r:.40}")
    return int(text)


def _decode_cause(values: Mapping[int, bytes]) -> int:
    value = values.get(ParameterCode.CAUSE, b"")
    if len(value) != 1:
        raise ProtocolError("the cause is not one byte long")
    return value[0]


def _decode_figures(values: Mapping[int, bytes], code: int) -> dict[str, float]:
    """Decode figures in the form `dest:2;width:1`."""
    figures: dict[str, float] = {}
    for part in _decode_text(values, code).split(";") if code in values else ():
        name, separator, value = part.partition(":")
        try:
            number = float(value) if separator else 0.0
        except ValueError:
            raise ProtocolError(f"figure {part!r:.40} is not a number") from None
        if abs(number) > 1e15 or number != number:
            raise ProtocolError(f"figure {part!r:.40} is out of range")
        if name:
            figures[name] = number
    return figures


def _decode_whole_figures(values: Mapping[int, bytes]) -> dict[str, int]:
    """Decode the figures of a set-up: whole numbers, no name repeated."""
    figures: dict[str, int] = {}
    for part in _decode_text(values, ParameterCode.FIGURES).split(";") if ParameterCode.FIGURES in values else ():
        name, _, value = part.partition(":")
        if not WHOLE_NUMBER.fullmatch(value) or not name or name in figures:
            raise ProtocolError(f"figure {part!r:.40} is not a whole number, has no name or is repeated")
        figures[name] = int(value.partition(".")[0])
    return figures


def _decode_report(values: Mapping[int, bytes]) -> dict[str, float] | None:
    return _decode_figures(values, ParameterCode.REPORT) if ParameterCode.REPORT in values else None


def _encode_figures(figures: Mapping[str, float]) -> bytes:
    return ";".join(f"{name}:{value:g}" for name, value in figures.items()).encode()


# --- the command channel ---


@dataclass(slots=True, frozen=True)
class ExchangeRecord:
    """One entry of the exchange list, with the address at which the exchange listens."""

    entry: ListEntry
    address: tuple[str, int]


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """One numbered event of the command channel."""

    number: int  # of the event, counted by the command channel
    kind: ListKind | None  # None for a frame without content
    records: tuple[ExchangeRecord, ...] = ()


def frame_decoder() -> Decoder[ListUpdate]:
    """Return a decoder for the frames of the command channel."""
    return Decoder(4, 0, MAX_FRAME_BYTES, _decode_frame)


def _decode_frame(raw: bytes) -> ListUpdate:
    if len(raw) == 4:
        return ListUpdate(0, None)
    if len(raw) < FRAME_HEADER.size:
        raise ProtocolError(f"frame of {len(raw)} bytes is too short")
    _, number, kind = FRAME_HEADER.unpack_from(raw)
    if kind == 0:
        return ListUpdate(number, None)
    if kind not in (1, 2):
        raise ProtocolError(f"unknown frame kind {kind}")
    if (len(raw) - FRAME_HEADER.size) % RECORD.size:
        raise ProtocolError("frame ends within a record")
    records = []
    for exchange_id, address, port, state, _zone, _kind, exchange_number, _weight, started_ms in RECORD.iter_unpack(
        raw[FRAME_HEADER.size :]
    ):
        if state not in LIST_STATE_BY_CODE:
            raise ProtocolError(f"exchange {exchange_id} has unknown state {state}")
        entry = ListEntry(exchange_id, exchange_number, LIST_STATE_BY_CODE[state], started_ms * 1000)
        records.append(ExchangeRecord(entry, (".".join(map(str, address)), port)))
    return ListUpdate(number, ListKind.FULL if kind == 1 else ListKind.CHANGES, tuple(records))


def encode_cursor(number: int) -> bytes:
    """Encode the first bytes that a client of the command channel sends: the number of the last event it has."""
    return CURSOR.pack(number)


# --- the configuration ---


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a session controller."""

    name: str
    listen: tuple[str, int]  # address of the listener for callers
    seed: int
    sockets: int  # how many sockets the process may have open
    channel: tuple[str, int]  # address of the command channel
    cursor: int  # number of the last event in `known`
    known: tuple[ListUpdate, ...]  # the exchange list at the start
    settings: str  # in the format of `benchlink.read_settings`
    admin: tuple[str, int] | None = None  # address of the admin listener, None if there is none
    keys: frozenset[str] = frozenset()  # paths of all keys except those inside `known` and the optional ones


def read_config(path: str | Path) -> Config:
    """Read the configuration from a file; raises ConfigError if that fails."""
    try:
        data = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    try:
        known = data["known"]
        return Config(
            name=str(data["name"]),
            listen=parse_address(data["listen"]),
            seed=int(str(data["seed"]), 16),
            sockets=int(data["limits"]["sockets"]),
            channel=parse_address(data["channel"]),
            cursor=int(known["cursor"]),
            known=tuple(_known_update(command) for command in known["cmds"]),
            settings=flatten_settings(data["settings"]),
            admin=parse_address(data["admin_addr"]) if data.get("admin_addr") else None,
            keys=frozenset(_key_paths("", data)),
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError, ProtocolError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _key_paths(path: str, value: Any) -> set[str]:
    """Return the paths of the keys in a value; for a list, the paths that all its items have."""
    paths: set[str] = set()
    if isinstance(value, Mapping):
        for key, inner in value.items():
            if key not in MAY_BE_ABSENT:
                paths |= {f"{path}.{key}"} | (_key_paths(f"{path}.{key}", inner) if key != "known" else set())
    elif isinstance(value, list) and value:
        paths = set.intersection(*(_key_paths(path, item) for item in value))
    return paths


def _known_update(command: Mapping[str, Any]) -> ListUpdate:
    nodes = command["nodes"]
    records = []
    for endpoint in nodes["endpoints"]:
        if endpoint["status"] not in LIST_STATE_BY_STATUS:
            raise ValueError(f"unknown status {endpoint['status']!r}")
        entry = ListEntry(
            int(endpoint["name"].removeprefix("s-"), 16),
            int(endpoint["group"]),
            LIST_STATE_BY_STATUS[endpoint["status"]],
            int(endpoint["since_ms"]) * 1000,
        )
        records.append(ExchangeRecord(entry, parse_address(endpoint["address"])))
    kind = ListKind.FULL if nodes["snapshot"] else ListKind.CHANGES
    return ListUpdate(int(command["cursor"]), kind, tuple(records))


def parse_address(text: str) -> tuple[str, int]:
    """Split `host:port` into host and port."""
    host, separator, port = text.rpartition(":")
    if not (separator and host and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is not an address (host:port)")
    return host, int(port)


def settings_text(text: str) -> str:
    """Return a text value in the form that the flattened settings use: no spaces or commas."""
    return text.replace(" ", "_").replace(",", "_")


def flatten_settings(settings: Mapping[str, Any]) -> str:
    """Convert nested settings to the format of the simulator's wire: lines of path=value."""
    if not isinstance(settings, Mapping):
        raise ValueError("settings is not an object")
    return "".join(f"{path}={value}\n" for path, value in _flatten("", settings))


def _flatten(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield from _flatten(f"{path}.{key}" if path else key, inner)
    elif isinstance(value, list) and any(isinstance(item, Mapping | list) for item in value):
        yield f"{path}.count", str(len(value))
        for k, item in enumerate(value):
            yield from _flatten(f"{path}.{k}", item)
    elif isinstance(value, list):
        yield path, ",".join(_settings_value(item) for item in value)
    else:
        yield path, _settings_value(value)


def _settings_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else settings_text(str(value))
