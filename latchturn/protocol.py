"""The platform's protocol, as pure codecs: messages, command-channel frames and the configuration.

Owns every byte layout and text form that the program meets outside the simulator's wire, and turns
them into plain values and back. It must never open a socket, read a clock or keep state beyond the
unread part of a byte stream, and it decides nothing: what cannot be read raises `ProtocolError`.
"""

from __future__ import annotations

import json
import re
import struct
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any, Generic, TypeVar

from .interface import ListEntry, ListKind, ListState

MAX_MESSAGE = 16 * 1024
MAX_FRAME = 4 * 1024 * 1024  # a whole list of 150,000 exchanges
HEAD = struct.Struct(">HBQ")
PARAMETER = struct.Struct(">BH")
FRAME_HEAD = struct.Struct(">IQB")
RECORD = struct.Struct(">I4sHBBBHIQ")
CURSOR = struct.Struct(">Q")
WHOLE = re.compile(r"-?[0-9]{1,9}(\.0+)?", re.ASCII)  # a figure of a set-up

STATES = {0: ListState.READY, 1: ListState.DRAINING, 2: ListState.GONE}
STATUSES = {"ready": ListState.READY, "draining": ListState.DRAINING, "gone": ListState.GONE}


MAY_BE_ABSENT = ("admin_addr", "aim-stretch", "fleet")  # keys of the configuration


class ProtocolError(Exception):
    """Input that does not follow the protocol."""


class ConfigError(Exception):
    """A configuration that cannot be used: what, and where in it."""


class Type(IntEnum):
    """Message types."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_CONFIRMED = 16
    GROUP_STATE = 43
    HEALTH_CHECK = 52
    HEALTH_CHECK_RESULT = 53


class Code(IntEnum):
    """Parameter codes."""

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
    """Release causes, by their names in ITU-T Q.850."""

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
    """A call is to be set up. `figures` and `tenant` travel from callers only."""

    call: int
    class_name: str
    wait_ms: int
    called: str
    description: bytes
    figures: Mapping[str, int] = field(default_factory=dict)
    tenant: str = ""


@dataclass(slots=True, frozen=True)
class InvalidSetUp:
    """A whole message that says set-up, but not what: a parameter is missing or cannot be what it says."""

    call: int
    reason: str


@dataclass(slots=True, frozen=True)
class Progress:
    call: int


@dataclass(slots=True, frozen=True)
class Answer:
    call: int
    description: bytes
    report: Mapping[str, float] | None = None


@dataclass(slots=True, frozen=True)
class Release:
    """A refusal, a failure, a given-up set-up or the end of a call, as its place and cause tell."""

    call: int
    cause: int
    note: str = ""
    retry_after_ms: int = 0
    report: Mapping[str, float] | None = None


@dataclass(slots=True, frozen=True)
class ReleaseConfirmed:
    call: int


@dataclass(slots=True, frozen=True)
class HealthCheck:
    call: int


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    call: int
    passed: bool


@dataclass(slots=True, frozen=True)
class GroupState:
    call: int
    report: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A message of a type that this program does not know; it is passed over."""

    call: int
    type: int


Message = (
    SetUp | InvalidSetUp | Progress | Answer | Release | ReleaseConfirmed | HealthCheck | HealthCheckResult
    | GroupState | UnknownMessage
)  # fmt: skip


def encode(message: Message) -> bytes:
    """The bytes of one message; ValueError if it would be too long."""
    parameters: list[tuple[int, bytes]] = []
    if isinstance(message, SetUp):
        kind = Type.SET_UP
        parameters = [
            (Code.CLASS, message.class_name.encode()),
            (Code.WAIT_MS, b"%d" % message.wait_ms),
            (Code.CALLED, message.called.encode()),
        ]
        if message.tenant:
            parameters.append((Code.TENANT, message.tenant.encode()))
        if message.figures:
            parameters.append((Code.FIGURES, _join(message.figures)))
        parameters.append((Code.DESCRIPTION, message.description))
    elif isinstance(message, Answer):
        kind = Type.ANSWER
        parameters = [(Code.DESCRIPTION, message.description)]
        if message.report is not None:
            parameters.append((Code.REPORT, _join(message.report)))
    elif isinstance(message, Release):
        kind = Type.RELEASE
        parameters = [(Code.CAUSE, bytes([message.cause]))]
        if message.note:
            parameters.append((Code.NOTE, message.note.encode()))
        if message.retry_after_ms:
            parameters.append((Code.RETRY_AFTER_MS, b"%d" % message.retry_after_ms))
        if message.report is not None:
            parameters.append((Code.REPORT, _join(message.report)))
    elif isinstance(message, GroupState):
        kind, parameters = Type.GROUP_STATE, [(Code.REPORT, _join(message.report))]
    elif isinstance(message, HealthCheck):
        kind, parameters = Type.HEALTH_CHECK, [(Code.CAUSE, b"\0")]
    elif isinstance(message, HealthCheckResult):
        kind, parameters = Type.HEALTH_CHECK_RESULT, [(Code.CAUSE, bytes([message.passed]))]
    elif isinstance(message, Progress):
        kind = Type.PROGRESS
    elif isinstance(message, ReleaseConfirmed):
        kind = Type.RELEASE_CONFIRMED
    else:
        raise ValueError(f"{message} is not sent")
    body = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in parameters)
    length = HEAD.size - 2 + len(body)
    if length > MAX_MESSAGE:
        raise ValueError(f"message of {length} bytes")
    return HEAD.pack(length, kind, message.call) + body


# What an exchange sends after an answer, by the type and the call behind the length of a message.
FOLLOWING = (Type.ANSWER, Type.RELEASE, Type.PROGRESS, Type.RELEASE_CONFIRMED)
GROUP_STATE_HEAD = bytes([Type.GROUP_STATE]) + bytes(8)


def holds_head_of_message(data: bytes, calls: Iterable[int]) -> bool:
    """Whether bytes hold the head of a message for one of some calls, or of a group state.

    An answer that stopped short is completed by the bytes of the message behind it; its lengths are right all the same.
    """
    if GROUP_STATE_HEAD in data:
        return True
    for call in calls:
        at = data.find(call.to_bytes(8, "big"), 1)
        if at > 0 and data[at - 1] in FOLLOWING:
            return True
    return False


T = TypeVar("T")


class Decoder(Generic[T]):
    """Cuts a byte stream into pieces that begin with their length, however it arrives."""

    def __init__(self, width: int, least: int, most: int, decode: Callable[[bytes], T]) -> None:
        self._width = width  # bytes of the length, which counts all that follows it
        self._least = least
        self._most = most
        self._decode = decode
        self._unread = bytearray()

    @property
    def half_read(self) -> bool:
        """Whether a piece has begun to come and is not whole yet."""
        return bool(self._unread)

    def feed(self, data: bytes) -> Iterator[T]:
        """What `data` completes. Pieces before a malformed one come out before the error."""
        self._unread += data
        at = 0
        try:
            while len(self._unread) - at >= self._width:
                length = int.from_bytes(self._unread[at : at + self._width], "big")
                if not self._least <= length <= self._most:
                    raise ProtocolError(f"message of {length} bytes")
                end = at + self._width + length
                if len(self._unread) < end:
                    return
                raw = bytes(self._unread[at:end])
                at = end
                yield self._decode(raw)
        finally:
            del self._unread[:at]


def message_decoder() -> Decoder[Message]:
    """A decoder for messages."""
    return Decoder(2, HEAD.size - 2, MAX_MESSAGE, _decode)


def _decode(raw: bytes) -> Message:
    _, kind, call = HEAD.unpack_from(raw)
    values: dict[int, bytes] = {}
    twice = 0
    at = HEAD.size
    while at < len(raw):
        if at + PARAMETER.size > len(raw):
            raise ProtocolError("parameter cut short")
        code, size = PARAMETER.unpack_from(raw, at)
        at += PARAMETER.size
        if at + size > len(raw):
            raise ProtocolError(f"parameter {code} goes past its message")
        twice = code if code in values else twice
        values[code] = raw[at : at + size]
        at += size
    if kind == Type.SET_UP:
        try:
            if twice:
                raise ProtocolError(f"parameter {twice} comes twice")
            if not values.get(Code.DESCRIPTION):
                raise ProtocolError("a set-up without description")
            return SetUp(
                call,
                _text(values, Code.CLASS),
                _number(values, Code.WAIT_MS),
                _text(values, Code.CALLED),
                values[Code.DESCRIPTION],
                _whole_figures(values),
                _text(values, Code.TENANT) if Code.TENANT in values else "",
            )
        except ProtocolError as error:  # its borders are whole, so what follows it can be read
            return InvalidSetUp(call, str(error))
    if kind == Type.PROGRESS:
        return Progress(call)
    if kind == Type.ANSWER:
        return Answer(call, values.get(Code.DESCRIPTION, b""), _report(values))
    if kind == Type.RELEASE:
        note = _text(values, Code.NOTE) if Code.NOTE in values else ""
        stay = _number(values, Code.RETRY_AFTER_MS) if Code.RETRY_AFTER_MS in values else 0
        return Release(call, _cause(values), note, stay, _report(values))
    if kind == Type.RELEASE_CONFIRMED:
        return ReleaseConfirmed(call)
    if kind == Type.HEALTH_CHECK:
        return HealthCheck(call)
    if kind == Type.HEALTH_CHECK_RESULT:
        return HealthCheckResult(call, _cause(values) == 1)
    if kind == Type.GROUP_STATE:
        return GroupState(call, _figures(values, Code.REPORT))
    return UnknownMessage(call, kind)


def _text(values: Mapping[int, bytes], code: int) -> str:
    if code not in values:
        raise ProtocolError(f"parameter {int(code)} is missing")
    try:
        return values[code].decode()
    except UnicodeDecodeError:
        raise ProtocolError(f"parameter {int(code)} is not text") from None


def _number(values: Mapping[int, bytes], code: int) -> int:
    text = _text(values, code)
    # isdecimal alone lets other scripts' digits through, and int() lets signs and underscores through.
    if not (text.isascii() and text.isdecimal() and len(text) <= 18):
        raise ProtocolError(f"parameter {int(code)} is no number: {text!r:.40}")
    return int(text)


def _cause(values: Mapping[int, bytes]) -> int:
    value = values.get(Code.CAUSE, b"")
    if len(value) != 1:
        raise ProtocolError("a cause that is not one byte")
    return value[0]


def _figures(values: Mapping[int, bytes], code: int) -> dict[str, float]:
    """Figures in the form `dest:2;width:1`."""
    figures: dict[str, float] = {}
    for part in _text(values, code).split(";") if code in values else ():
        name, sign, value = part.partition(":")
        try:
            number = float(value) if sign else 0.0
        except ValueError:
            raise ProtocolError(f"figure {part!r:.40} cannot be read") from None
        if abs(number) > 1e15 or number != number:
            raise ProtocolError(f"figure {part!r:.40} cannot be")
        if name:
            figures[name] = number
    return figures


def _whole_figures(values: Mapping[int, bytes]) -> dict[str, int]:
    """The figures of a set-up: whole numbers, each name once."""
    figures: dict[str, int] = {}
    for part in _text(values, Code.FIGURES).split(";") if Code.FIGURES in values else ():
        name, _, value = part.partition(":")
        if not WHOLE.fullmatch(value) or not name or name in figures:
            raise ProtocolError(f"figure {part!r:.40} cannot be")
        figures[name] = int(value.partition(".")[0])
    return figures


def _report(values: Mapping[int, bytes]) -> dict[str, float] | None:
    return _figures(values, Code.REPORT) if Code.REPORT in values else None


def _join(figures: Mapping[str, float]) -> bytes:
    return ";".join(f"{name}:{value:g}" for name, value in figures.items()).encode()


# --- the command channel ---


@dataclass(slots=True, frozen=True)
class ExchangeRecord:
    """One exchange as the command channel lists it, with the address at which it listens."""

    entry: ListEntry
    address: tuple[str, int]


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """One numbered event of the command channel; `kind` None is an empty frame."""

    number: int
    kind: ListKind | None
    records: tuple[ExchangeRecord, ...] = ()


def frame_decoder() -> Decoder[ListUpdate]:
    """A decoder for the frames of the command channel."""
    return Decoder(4, 0, MAX_FRAME, _decode_frame)


def _decode_frame(raw: bytes) -> ListUpdate:
    if len(raw) == 4:
        return ListUpdate(0, None)
    if len(raw) < FRAME_HEAD.size:
        raise ProtocolError(f"frame of {len(raw)} bytes")
    _, number, kind = FRAME_HEAD.unpack_from(raw)
    if kind == 0:
        return ListUpdate(number, None)
    if kind not in (1, 2):
        raise ProtocolError(f"frame of unknown kind {kind}")
    if (len(raw) - FRAME_HEAD.size) % RECORD.size:
        raise ProtocolError("records that do not fill their frame")
    listed = []
    for ident, address, port, state, _zone, _kind, cell, _weight, started_ms in RECORD.iter_unpack(
        raw[FRAME_HEAD.size :]
    ):
        if state not in STATES:
            raise ProtocolError(f"exchange {ident} in unknown state {state}")
        entry = ListEntry(ident, cell, STATES[state], started_ms * 1000)
        listed.append(ExchangeRecord(entry, (".".join(map(str, address)), port)))
    return ListUpdate(number, ListKind.FULL if kind == 1 else ListKind.CHANGES, tuple(listed))


def encode_cursor(number: int) -> bytes:
    """What a client of the command channel writes first: the number of the last event it has."""
    return CURSOR.pack(number)


# --- the configuration ---


@dataclass(slots=True, frozen=True)
class Config:
    """What a session controller is told at its start. `settings` is in the form of `read_settings`."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    channel: tuple[str, int]
    cursor: int
    known: tuple[ListUpdate, ...]
    settings: str
    admin: tuple[str, int] | None = None  # address of the admin listener, None if there is none
    keys: frozenset[str] = frozenset()  # paths of all keys but those of events and those that may be absent


def read_config(path: str | Path) -> Config:
    """The configuration in a file; ConfigError says what is wrong with it."""
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
            keys=frozenset(_paths("", data)),
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError, ProtocolError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _paths(path: str, value: Any) -> set[str]:
    """The paths of the keys in a value; in a list, of those that all items have."""
    paths: set[str] = set()
    if isinstance(value, Mapping):
        for key, inner in value.items():
            if key not in MAY_BE_ABSENT:
                paths |= {f"{path}.{key}"} | (_paths(f"{path}.{key}", inner) if key != "known" else set())
    elif isinstance(value, list) and value:
        paths = set.intersection(*(_paths(path, item) for item in value))
    return paths


def _known_update(command: Mapping[str, Any]) -> ListUpdate:
    nodes = command["nodes"]
    listed = []
    for endpoint in nodes["endpoints"]:
        if endpoint["status"] not in STATUSES:
            raise ValueError(f"unknown status {endpoint['status']!r}")
        entry = ListEntry(
            int(endpoint["name"].removeprefix("s-"), 16),
            int(endpoint["group"]),
            STATUSES[endpoint["status"]],
            int(endpoint["since_ms"]) * 1000,
        )
        listed.append(ExchangeRecord(entry, parse_address(endpoint["address"])))
    kind = ListKind.FULL if nodes["snapshot"] else ListKind.CHANGES
    return ListUpdate(int(command["cursor"]), kind, tuple(listed))


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, sign, port = text.rpartition(":")
    if not (sign and host and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is no address")
    return host, int(port)


def settings_word(text: str) -> str:
    """A text value as the settings write it."""
    return text.replace(" ", "_").replace(",", "_")


def flatten_settings(settings: Mapping[str, Any]) -> str:
    """Nested settings as the simulator's wire writes them: path=value, one a line."""
    if not isinstance(settings, Mapping):
        raise ValueError("settings is no object")
    return "".join(f"{path}={value}\n" for path, value in _flat("", settings))


def _flat(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield from _flat(f"{path}.{key}" if path else key, inner)
    elif isinstance(value, list) and any(isinstance(item, Mapping | list) for item in value):
        yield f"{path}.count", str(len(value))
        for k, item in enumerate(value):
            yield from _flat(f"{path}.{k}", item)
    elif isinstance(value, list):
        yield path, ",".join(_word(item) for item in value)
    else:
        yield path, _word(value)


def _word(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else settings_word(str(value))
