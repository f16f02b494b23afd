"""The bench's wire: frames and settings in, actions out, one `Controller` per instance.

Reads batches on standard input and writes one reply each on standard output. It decides nothing.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Iterable
from typing import BinaryIO, NoReturn

from . import interface as i
from .brain import Controller

HEADER = struct.Struct("<QII")
REPLY = struct.Struct("<II")
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY = struct.Struct("<QBIBBfH")
UP = struct.Struct("<xIQII")
LEDGER = struct.Struct("<xBII")
LIST = struct.Struct("<xIBIB")
CALL = struct.Struct("<xIIIBHQIQfff")
STANDS = struct.Struct("<xIIBII")
ENDED = struct.Struct("<xIIBIHIBIB4f")
PROBED = struct.Struct("<xIIIHB4f")
TWO = struct.Struct("<xII")
ONE = struct.Struct("<xI")
ACT_SEND = struct.Struct("<BIIII7x")
ACT_TWO = struct.Struct("<BIII11x")
ACT_ONE = struct.Struct("<BII15x")
ACT_FLAG = struct.Struct("<BIB18x")

OUTCOMES = {
    200: i.Outcome.RELEASED,
    502: i.Outcome.NO_LINE,
    429: i.Outcome.TURNED_AWAY,
    408: i.Outcome.TIMED_OUT,
    521: i.Outcome.UNREACHABLE,
    520: i.Outcome.CUT,
    444: i.Outcome.CANCELLED,
    409: i.Outcome.NOT_SENT,
}
CAUSES = {1: i.Cause.NO_CIRCUIT, 2: i.Cause.REFUSED_BY_TANDEM, 3: i.Cause.PROCESSOR_FULL, 4: i.Cause.NUMBER_BUSY}
REPORT_FIELDS = {
    "spare": "free",
    "total": "size",
    "allowed": "setups_per_s",
    "cut_by": "throttle_share",
    "svc_ms": "wait_us",
    "cpu_share": "busy_share",
    "pending": "queue_length",
}


MOST_FIGURES = {"free": 1e6, "size": 1e6, "setups_per_s": 1e6, "throttle_share": 1.0, "busy_share": 1.0}


class WireError(Exception):
    """A frame that cannot be read: what, and at which offset of the input."""


class SettingsError(Exception):
    """A setting that is needed but missing or unreadable."""


class _Pairs:
    """The path=value lines of the settings."""

    def __init__(self, text: str) -> None:
        self.pairs: dict[str, str] = {}
        for line in text.split("\n"):
            key, sign, value = line.partition("=")
            if sign:
                self.pairs[key.strip()] = value.strip()

    def text(self, key: str, default: str | None = None) -> str:
        value = self.pairs.get(key, default)
        if value is None:
            raise SettingsError(f"setting {key} is missing")
        return value

    def integer(self, key: str, default: str | None = None) -> int:
        value = self.text(key, default)
        try:
            return int(value)
        except ValueError:
            pass
        try:
            return int(float(value))
        except (ValueError, OverflowError):
            raise SettingsError(f"setting {key} is unreadable: {value!r}") from None

    def real(self, key: str, default: str | None = None) -> float:
        value = self.text(key, default)
        try:
            return float(value)
        except ValueError:
            raise SettingsError(f"setting {key} is unreadable: {value!r}") from None

    def flag(self, key: str, default: str | None = None) -> bool:
        value = self.text(key, default)
        if value not in ("true", "false"):
            raise SettingsError(f"setting {key} is unreadable: {value!r}")
        return value == "true"

    def integers(self, key: str, default: str | None = None) -> list[int]:
        value = self.text(key, default)
        try:
            return [int(float(part)) for part in value.split(",") if part]
        except (ValueError, OverflowError):
            raise SettingsError(f"setting {key} is unreadable: {value!r}") from None


def read_settings(text: str) -> tuple[i.Settings, list[str | None]]:
    """The settings of an instance, and the report fields in their order."""
    pairs = _Pairs(text)
    count = pairs.integer("grades.count")
    widths = pairs.integers("family-info.widths", ",".join(["1"] * count))
    holds = pairs.integers("family-info.class-hold-us")
    if len(widths) < count:
        raise SettingsError("setting family-info.widths has fewer entries than there are classes")
    if len(holds) < count:
        raise SettingsError("setting family-info.class-hold-us has fewer entries than there are classes")
    topology = {"meshed": i.Topology.MESH, "groups": i.Topology.POOLS}.get(pairs.text("family-info.shape"))
    if topology is None:
        raise SettingsError("setting family-info.shape is unreadable")
    classes = []
    for k in range(count):
        base = f"grades.{k}."
        pools = ""
        for key in (f"family-info.skilled-pools.{k}", f"family-info.skilled-pools.{k}.items"):
            pools = pools or pairs.text(key, "")
        if not pools and count == 1:
            pools = pairs.text("family-info.skilled-pools", "")
        classes.append(
            i.CallClass(
                name=pairs.text(base + "name", str(k)),
                value=pairs.real(base + "importance"),
                late_share=pairs.real(base + "late-value", "0"),
                target_us=pairs.integer(base + "objective-us"),
                give_up_us=pairs.integer(base + "give-up-us"),
                width=widths[k],
                holding_us=holds[k],
                pools=tuple(int(float(part)) for part in pools.replace("|", ",").split(",") if part),
                at_most_once=pairs.text(base + "effect", "pure") != "pure",
            )
        )
    stay_away = pairs.integer("allowed.max-retry-after-us", "0")
    settings = i.Settings(
        classes=tuple(classes),
        topology=topology,
        own_number=pairs.integer("family-info.own-exchange"),
        controllers=pairs.integer("instances"),
        max_attempts=pairs.integer("allowed.send-cap"),
        release_us=pairs.integer("family-info.release-us"),
        drain_grace_us=pairs.integer("rules.stop-sending-within-us"),
        cold_start_share=pairs.real("rules.cold-from"),
        warm_up_us=pairs.integer("rules.warm-within-us"),
        collapse_multiple=pairs.real("rules.fall-multiple"),
        collapse_us=pairs.integer("rules.fall-us"),
        connect_timeout_us=pairs.integer("allowed.connect-timeout-us"),
        list_on_request=pairs.text("discovery") == "on_request",
        ask_within_us=pairs.integer("rules.ask-within-us", "0"),
        max_retry_after_us=stay_away if pairs.flag("allowed.retry-after", "false") else 0,
        resend_us=pairs.integer("family-info.resend-us", "0"),
        late_penalty=pairs.real("deductions.late-fail", "0"),
        tenants=tuple(pairs.text(f"realms.{k}.name") for k in range(pairs.integer("realms.count", "0"))),
    )
    fields = [REPORT_FIELDS.get(name) for name in pairs.text("report.fields", "").split(",") if name]
    return settings, fields


def read_report(figures: Iterable[tuple[str | None, float]]) -> i.LoadReport:
    """A load report from figures by their field; those unknown, absent or out of reason are left out."""
    report = i.LoadReport()
    for name, value in figures:
        if name is None or not 0.0 <= value <= MOST_FIGURES.get(name, 1e12):
            continue
        if name in ("free", "size"):
            setattr(report, name, int(value))
        elif name == "wait_us":
            report.wait_us = int(value * 1000)
        else:
            setattr(report, name, value)
    if report.free is not None and report.size is not None and report.free > report.size:
        report.free = report.size = None  # guards the bounds of a group: one of the two is wrong
    return report


class _Instance:
    """One running controller and the order of its report fields."""

    __slots__ = ("controller", "fields")

    def __init__(self, controller: Controller, fields: list[str | None]) -> None:
        self.controller = controller
        self.fields = fields

    def report(self, n: int, values: tuple[float, ...]) -> i.LoadReport | None:
        return read_report(zip(self.fields[:n], values)) if n else None


class Link:
    """Turns batches into replies; holds the instances of one process."""

    def __init__(self) -> None:
        self.instances: dict[int, _Instance] = {}
        self.lists: dict[int, list[i.ListEntry]] = {}

    def batch(self, now_us: int, count: int, body: bytes, offset: int) -> bytes:
        """The reply to one batch; `offset` is where its body lies in the input."""
        if count * EVENT_SIZE > len(body):
            raise WireError(f"{count} records do not fit a frame of {len(body)} bytes at offset {offset}")
        tail_at = count * EVENT_SIZE
        records: list[bytes] = []
        tail = bytearray()
        for at in range(0, tail_at, EVENT_SIZE):
            try:
                self.event(now_us, body, at, tail_at, records, tail)
            except WireError as error:
                raise WireError(f"{error} at offset {offset + at}") from None
        payload = b"".join(records)
        return REPLY.pack(len(records), len(payload) + len(tail)) + payload + bytes(tail)

    def event(self, now: int, body: bytes, at: int, tail_at: int, out: list[bytes], tail: bytearray) -> None:
        """One event record at `at` of the frame's body."""
        code = body[at]
        if code == 10:
            table, start, count = LEDGER.unpack_from(body, at)
            begin = tail_at + start
            if begin + count * ENTRY.size > len(body):
                raise WireError("list entries outside the frame")
            self.lists[table] = [self.entry(body, begin + k * ENTRY.size) for k in range(count)]
            return
        if code not in (0, 1, 2, 3, 4, 5, 6, 7, 8, 9):
            raise WireError(f"unknown event code {code}")
        (proxy,) = ONE.unpack_from(body, at)
        if code == 1:
            _, seed, start, size = UP.unpack_from(body, at)
            if tail_at + start + size > len(body):
                raise WireError("settings outside the frame")
            raw = body[tail_at + start : tail_at + start + size]
            self.instances.pop(proxy, None)
            try:
                settings, fields = read_settings(raw.decode("utf-8"))
                self.instances[proxy] = _Instance(Controller(settings, seed), fields)
            except (SettingsError, ValueError) as error:
                self.text(73, proxy, str(error), out, tail)
            return
        instance = self.instances.get(proxy)
        if code == 7:
            self.instances.pop(proxy, None)
            return
        if instance is None:
            raise WireError(f"event {code} for instance {proxy}, which is not started")
        event = self.read(code, body, at, instance)
        if event is None:
            return
        try:
            actions = instance.controller.handle(now, event)
        except Exception as error:  # noqa: BLE001 - told to the operator in so many words
            self.text(73, proxy, f"{type(error).__name__}: {error}", out, tail)
            return
        for action in actions:
            self.write(proxy, action, out, tail)

    @staticmethod
    def entry(body: bytes, at: int) -> i.ListEntry:
        started, state, exchange, _, _, _, number = ENTRY.unpack_from(body, at)
        if state not in (1, 2, 3):
            raise WireError(f"list entry with readiness {state}")
        return i.ListEntry(exchange, number, i.ListState(state), started)

    def read(self, code: int, body: bytes, at: int, instance: _Instance) -> i.Event | None:
        """The event of a record, in the module's terms; None for what the module has no use for."""
        if code == 2:
            (_, call, _, cls, options, item, _, deadline, width, via, dest) = CALL.unpack_from(body, at)
            if not (0 <= dest < 65536 and 0 < width < 65536 and -1 <= via < 65536):
                raise WireError("call with an impossible destination, width or via")
            return i.CallOffered(
                call, cls, int(dest), item, int(width), deadline,
                bool(options & 8), bool(options & 2), bool(options & 16), int(via),
            )  # fmt: skip
        if code == 3:
            (_, call, n, exchange, verdict, took, no_more, clear, fields, *values) = ENDED.unpack_from(body, at)
            outcome = OUTCOMES.get(verdict)
            if outcome is None:
                raise WireError(f"unknown outcome {verdict}")
            cause = CAUSES.get(clear & 15, i.Cause.NONE)
            wait = 0
            if cause is i.Cause.REFUSED_BY_TANDEM and clear > 15:
                cause = i.Cause.DESTINATION_PROCESSOR_FULL
            elif cause is i.Cause.PROCESSOR_FULL:
                wait = (clear >> 4) * 1000
            report = instance.report(fields, tuple(values))
            return i.AttemptEnded(call, n, exchange, outcome, took, bool(no_more), cause, wait, report)
        if code == 8:
            _, call, n, took, exchange = STANDS.unpack_from(body, at)
            return i.CallAnswered(call, n, exchange, took)
        if code == 9:
            (_, took, exchange, verdict, fields, *values) = PROBED.unpack_from(body, at)
            report = instance.report(fields, tuple(values)) or i.LoadReport()
            return i.ExchangeReport(exchange, verdict == 200, took > 0 or verdict != 200, took, report)
        if code == 6:
            return i.TimerDue(TWO.unpack_from(body, at)[1])
        if code == 5:
            return i.CallerLeft(TWO.unpack_from(body, at)[1])
        if code == 0:
            _, kind, _, table = LIST.unpack_from(body, at)
            if kind > 3:
                raise WireError(f"list of unknown kind {kind}")
            if kind == 3:
                return i.ExchangeList(i.ListKind.FAILED)
            if table not in self.lists:
                raise WireError(f"list number {table} was never declared")
            return i.ExchangeList(i.ListKind(kind), self.lists[table])
        return None

    @staticmethod
    def text(code: int, proxy: int, words: str, out: list[bytes], tail: bytearray) -> None:
        raw = words.encode("utf-8")
        out.append(ACT_TWO.pack(code, proxy, len(tail), len(raw)))
        tail += raw

    def write(self, proxy: int, action: i.Action, out: list[bytes], tail: bytearray) -> None:
        """One action as a record."""
        if isinstance(action, i.SendSetup):
            out.append(ACT_SEND.pack(66, proxy, action.call, action.exchange, action.timeout_us))
        elif isinstance(action, i.Refuse):
            out.append(ACT_TWO.pack(69, proxy, action.call, action.retry_after_us))
        elif isinstance(action, i.SetTimer):
            out.append(ACT_TWO.pack(65, proxy, action.delay_us, action.token))
        elif isinstance(action, i.Fail):
            out.append(ACT_ONE.pack(72, proxy, action.call))
        elif isinstance(action, i.SubscribeToList):
            out.append(ACT_FLAG.pack(70, proxy, 1))
        elif isinstance(action, i.Log):
            self.text(68, proxy, action.text, out, tail)


def _read(source: BinaryIO, size: int) -> bytes:
    parts = []
    while size > 0:
        part = source.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends between two of them."""
    link = Link()
    offset = 0
    while True:
        head = _read(source, HEADER.size)
        if not head:
            return
        if len(head) < HEADER.size:
            raise WireError(f"truncated frame header at offset {offset}")
        now, length, count = HEADER.unpack(head)
        if length < 4:
            raise WireError(f"impossible frame length {length} at offset {offset + 8}")
        body = _read(source, length - 4)
        if len(body) < length - 4:
            raise WireError(f"truncated frame at offset {offset + HEADER.size + len(body)}")
        sink.write(link.batch(now, count, body, offset + HEADER.size))
        sink.flush()
        offset += HEADER.size + len(body)


def _stop(words: str) -> NoReturn:
    print(f"benchlink: {words}", file=sys.stderr)
    raise SystemExit(2)


def main() -> None:
    """Run on standard input and output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        _stop(str(error))


if __name__ == "__main__":
    main()
