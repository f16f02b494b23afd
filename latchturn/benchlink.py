"""The adapter to the simulator: passes batches of events to `Controller` instances and returns their actions.

It reads batches on standard input and writes one reply to each on standard output. A batch holds event records of
48 bytes and a tail with settings and list entries. A reply holds action records of 24 bytes and a tail with texts.
The module also reads the settings and the load reports of the real program. It makes no decisions.

Event codes: 0 exchange list, 1 instance starts, 2 call offered, 3 attempt ended, 4 ignored, 5 caller left,
6 timer due, 7 instance stops, 8 call answered, 9 exchange report, 10 declaration of a list.
Action codes: 65 set timer, 66 send set-up, 68 log, 69 refuse, 70 subscribe to the exchange list, 72 fail,
73 fault.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Iterable
from typing import BinaryIO, NoReturn

from . import interface as i
from .brain import Controller

FRAME_HEADER = struct.Struct("<QII")  # time in microseconds, number of bytes after this field, number of event records
REPLY_HEADER = struct.Struct("<II")  # number of action records, number of bytes that follow
EVENT_SIZE = 48  # bytes of an event record
ACTION_SIZE = 24  # bytes of an action record
# Layouts of a list entry, of the event records (after the code) and of the action records.
LIST_ENTRY = struct.Struct("<QBIBBfH")
START = struct.Struct("<xIQII")
LIST_TABLE = struct.Struct("<xBII")
EXCHANGE_LIST = struct.Struct("<xIBIB")
CALL_OFFERED = struct.Struct("<xIIIBHQIQfff")
CALL_ANSWERED = struct.Struct("<xIIBII")
ATTEMPT_ENDED = struct.Struct("<xIIBIHIBIB4f")
EXCHANGE_REPORT = struct.Struct("<xIIIHB4f")
INSTANCE_AND_NUMBER = struct.Struct("<xII")
INSTANCE = struct.Struct("<xI")
ACTION_SEND_SETUP = struct.Struct("<BIIII7x")
ACTION_TWO_NUMBERS = struct.Struct("<BIII11x")
ACTION_ONE_NUMBER = struct.Struct("<BII15x")
ACTION_FLAG = struct.Struct("<BIB18x")

OUTCOMES = {  # outcome by its code on the wire
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
# Field of `interface.LoadReport` for each name of a figure in a report.
REPORT_FIELDS = {
    "spare": "free",
    "total": "size",
    "allowed": "setups_per_s",
    "cut_by": "throttle_share",
    "svc_ms": "wait_us",
    "cpu_share": "busy_share",
    "pending": "queue_length",
}

# Largest plausible value for each field of a report; 1e12 for the others.
MAX_FIGURES = {"free": 1e6, "size": 1e6, "setups_per_s": 1e6, "throttle_share": 1.0, "busy_share": 1.0}


class WireError(Exception):
    """A frame is malformed; the message states what is wrong and at which offset of the input."""


class SettingsError(Exception):
    """A required setting is missing, or a setting cannot be parsed."""


class _SettingLines:
    """The settings by path. Each method returns one of them as the type in its name, or raises SettingsError."""

    def __init__(self, text: str) -> None:
        self.by_path: dict[str, str] = {}
        for line in text.split("\n"):
            key, separator, value = line.partition("=")
            if separator:
                self.by_path[key.strip()] = value.strip()

    def text(self, key: str, default: str | None = None) -> str:
        value = self.by_path.get(key, default)
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
    """Parse lines of path=value into the settings and the fields of load reports in their order."""
    lines = _SettingLines(text)
    count = lines.integer("grades.count")
    widths = lines.integers("family-info.widths", ",".join(["1"] * count))
    holding_times_us = lines.integers("family-info.class-hold-us")
    if len(widths) < count:
        raise SettingsError("setting family-info.widths has fewer entries than there are classes")
    if len(holding_times_us) < count:
        raise SettingsError("setting family-info.class-hold-us has fewer entries than there are classes")
    topology = {"meshed": i.Topology.MESH, "groups": i.Topology.POOLS}.get(lines.text("family-info.shape"))
    if topology is None:
        raise SettingsError("setting family-info.shape is unreadable")
    classes = []
    for k in range(count):
        base = f"grades.{k}."
        pools = ""
        for key in (f"family-info.skilled-pools.{k}", f"family-info.skilled-pools.{k}.items"):
            pools = pools or lines.text(key, "")
        if not pools and count == 1:
            pools = lines.text("family-info.skilled-pools", "")
        classes.append(
            i.CallClass(
                name=lines.text(base + "name", str(k)),
                value=lines.real(base + "importance"),
                late_share=lines.real(base + "late-value", "0"),
                target_us=lines.integer(base + "objective-us"),
                give_up_us=lines.integer(base + "give-up-us"),
                width=widths[k],
                holding_us=holding_times_us[k],
                pools=tuple(int(float(part)) for part in pools.replace("|", ",").split(",") if part),
                at_most_once=lines.text(base + "effect", "pure") != "pure",
            )
        )
    retry_after_limit_us = lines.integer("allowed.max-retry-after-us", "0")
    settings = i.Settings(
        classes=tuple(classes),
        topology=topology,
        own_number=lines.integer("family-info.own-exchange"),
        controllers=lines.integer("instances"),
        max_attempts=lines.integer("allowed.send-cap"),
        release_us=lines.integer("family-info.release-us"),
        drain_grace_us=lines.integer("rules.stop-sending-within-us"),
        cold_start_share=lines.real("rules.cold-from"),
        warm_up_us=lines.integer("rules.warm-within-us"),
        collapse_multiple=lines.real("rules.fall-multiple"),
        collapse_us=lines.integer("rules.fall-us"),
        connect_timeout_us=lines.integer("allowed.connect-timeout-us"),
        list_on_request=lines.text("discovery") == "on_request",
        ask_within_us=lines.integer("rules.ask-within-us", "0"),
        max_retry_after_us=retry_after_limit_us if lines.flag("allowed.retry-after", "false") else 0,
        resend_us=lines.integer("family-info.resend-us", "0"),
        late_penalty=lines.real("deductions.late-fail", "0"),
        tenants=tuple(lines.text(f"realms.{k}.name") for k in range(lines.integer("realms.count", "0"))),
    )
    fields = [REPORT_FIELDS.get(name) for name in lines.text("report.fields", "").split(",") if name]
    return settings, fields


def read_report(figures: Iterable[tuple[str | None, float]]) -> i.LoadReport:
    """Build a load report from figures with their field names; unknown and implausible figures are left out."""
    report = i.LoadReport()
    for name, value in figures:
        if name is None or not 0.0 <= value <= MAX_FIGURES.get(name, 1e12):
            continue
        if name in ("free", "size"):
            setattr(report, name, int(value))
        elif name == "wait_us":
            report.wait_us = int(value * 1000)
        else:
            setattr(report, name, value)
    if report.free is not None and report.size is not None and report.free > report.size:
        report.free = report.size = None  # one of the two is wrong; both would give the group impossible bounds
    return report


class _Instance:
    """One running controller and the order of its report fields."""

    __slots__ = ("controller", "fields")

    def __init__(self, controller: Controller, fields: list[str | None]) -> None:
        self.controller = controller
        self.fields = fields

    def report(self, field_count: int, values: tuple[float, ...]) -> i.LoadReport | None:
        """Build a load report from the first `field_count` values, None if there are none."""
        return read_report(zip(self.fields[:field_count], values)) if field_count else None


class BatchHandler:
    """Answers batches; keeps the instances and the declared lists of one process."""

    def __init__(self) -> None:
        self.instances: dict[int, _Instance] = {}
        self.lists: dict[int, list[i.ListEntry]] = {}

    def handle_batch(self, now_us: int, count: int, body: bytes, offset: int) -> bytes:
        """Return the reply to one batch; `offset` is the position of its body in the input, for error messages."""
        if count * EVENT_SIZE > len(body):
            raise WireError(f"{count} records do not fit a frame of {len(body)} bytes at offset {offset}")
        tail_start = count * EVENT_SIZE
        records: list[bytes] = []
        tail = bytearray()
        for at in range(0, tail_start, EVENT_SIZE):
            try:
                self.handle_event(now_us, body, at, tail_start, records, tail)
            except WireError as error:
                raise WireError(f"{error} at offset {offset + at}") from None
        payload = b"".join(records)
        return REPLY_HEADER.pack(len(records), len(payload) + len(tail)) + payload + bytes(tail)

    def handle_event(
        self, now: int, body: bytes, at: int, tail_start: int, records: list[bytes], tail: bytearray
    ) -> None:
        """Process the event record at `at` in the body; append action records and texts to `records` and `tail`."""
        code = body[at]
        if code == 10:
            table, start, count = LIST_TABLE.unpack_from(body, at)
            begin = tail_start + start
            if begin + count * LIST_ENTRY.size > len(body):
                raise WireError("list entries outside the frame")
            self.lists[table] = [self.read_entry(body, begin + k * LIST_ENTRY.size) for k in range(count)]
            return
        if code not in (0, 1, 2, 3, 4, 5, 6, 7, 8, 9):
            raise WireError(f"unknown event code {code}")
        (instance_id,) = INSTANCE.unpack_from(body, at)
        if code == 1:
            _, seed, start, size = START.unpack_from(body, at)
            if tail_start + start + size > len(body):
                raise WireError("settings outside the frame")
            raw = body[tail_start + start : tail_start + start + size]
            self.instances.pop(instance_id, None)
            try:
                settings, fields = read_settings(raw.decode("utf-8"))
                self.instances[instance_id] = _Instance(Controller(settings, seed), fields)
            except (SettingsError, ValueError) as error:
                self.write_text(73, instance_id, str(error), records, tail)
            return
        instance = self.instances.get(instance_id)
        if code == 7:
            self.instances.pop(instance_id, None)
            return
        if instance is None:
            raise WireError(f"event {code} for instance {instance_id}, which is not started")
        event = self.read_event(code, body, at, instance)
        if event is None:
            return
        try:
            actions = instance.controller.handle(now, event)
        except Exception as error:  # noqa: BLE001 - reported as a fault action with its text
            self.write_text(73, instance_id, f"{type(error).__name__}: {error}", records, tail)
            return
        for action in actions:
            self.write_action(instance_id, action, records, tail)

    @staticmethod
    def read_entry(body: bytes, at: int) -> i.ListEntry:
        """Decode the list entry at `at`."""
        started, state, exchange, _, _, _, number = LIST_ENTRY.unpack_from(body, at)
        if state not in (1, 2, 3):
            raise WireError(f"list entry with readiness {state}")
        return i.ListEntry(exchange, number, i.ListState(state), started)

    def read_event(self, code: int, body: bytes, at: int, instance: _Instance) -> i.Event | None:
        """Decode an event record into an event of the decision module, None if the module does not use it."""
        if code == 2:
            (_, call, _, class_index, flags, called_number, _, deadline, width, via, destination) = (
                CALL_OFFERED.unpack_from(body, at)
            )
            if not (0 <= destination < 65536 and 0 < width < 65536 and -1 <= via < 65536):
                raise WireError("call with an impossible destination, width or via")
            return i.CallOffered(
                call, class_index, int(destination), called_number, int(width), deadline,
                bool(flags & 8), bool(flags & 2), bool(flags & 16), int(via),
            )  # fmt: skip
        if code == 3:
            (_, call, attempt, exchange, outcome_code, elapsed_us, concluded, cause_code, fields, *values) = (
                ATTEMPT_ENDED.unpack_from(body, at)
            )
            outcome = OUTCOMES.get(outcome_code)
            if outcome is None:
                raise WireError(f"unknown outcome {outcome_code}")
            cause = CAUSES.get(cause_code & 15, i.Cause.NONE)
            wait = 0
            if cause is i.Cause.REFUSED_BY_TANDEM and cause_code > 15:
                cause = i.Cause.DESTINATION_PROCESSOR_FULL
            elif cause is i.Cause.PROCESSOR_FULL:
                wait = (cause_code >> 4) * 1000
            report = instance.report(fields, tuple(values))
            return i.AttemptEnded(call, attempt, exchange, outcome, elapsed_us, bool(concluded), cause, wait, report)
        if code == 8:
            _, call, attempt, elapsed_us, exchange = CALL_ANSWERED.unpack_from(body, at)
            return i.CallAnswered(call, attempt, exchange, elapsed_us)
        if code == 9:
            (_, elapsed_us, exchange, outcome_code, fields, *values) = EXCHANGE_REPORT.unpack_from(body, at)
            report = instance.report(fields, tuple(values)) or i.LoadReport()
            return i.ExchangeReport(
                exchange, outcome_code == 200, elapsed_us > 0 or outcome_code != 200, elapsed_us, report
            )
        if code == 6:
            return i.TimerDue(INSTANCE_AND_NUMBER.unpack_from(body, at)[1])
        if code == 5:
            return i.CallerLeft(INSTANCE_AND_NUMBER.unpack_from(body, at)[1])
        if code == 0:
            _, kind, _, table = EXCHANGE_LIST.unpack_from(body, at)
            if kind > 3:
                raise WireError(f"list of unknown kind {kind}")
            if kind == 3:
                return i.ExchangeList(i.ListKind.FAILED)
            if table not in self.lists:
                raise WireError(f"list number {table} was never declared")
            return i.ExchangeList(i.ListKind(kind), self.lists[table])
        return None

    @staticmethod
    def write_text(code: int, instance_id: int, message: str, records: list[bytes], tail: bytearray) -> None:
        """Append an action record with a text, which goes into the tail of the reply."""
        raw = message.encode("utf-8")
        records.append(ACTION_TWO_NUMBERS.pack(code, instance_id, len(tail), len(raw)))
        tail += raw

    def write_action(self, instance_id: int, action: i.Action, records: list[bytes], tail: bytearray) -> None:
        """Append the record of one action."""
        if isinstance(action, i.SendSetup):
            records.append(ACTION_SEND_SETUP.pack(66, instance_id, action.call, action.exchange, action.timeout_us))
        elif isinstance(action, i.Refuse):
            records.append(ACTION_TWO_NUMBERS.pack(69, instance_id, action.call, action.retry_after_us))
        elif isinstance(action, i.SetTimer):
            records.append(ACTION_TWO_NUMBERS.pack(65, instance_id, action.delay_us, action.token))
        elif isinstance(action, i.Fail):
            records.append(ACTION_ONE_NUMBER.pack(72, instance_id, action.call))
        elif isinstance(action, i.SubscribeToList):
            records.append(ACTION_FLAG.pack(70, instance_id, 1))
        elif isinstance(action, i.Log):
            self.write_text(68, instance_id, action.text, records, tail)


def _read(source: BinaryIO, size: int) -> bytes:
    chunks = []
    while size > 0:
        chunk = source.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raises WireError if it ends within a batch."""
    handler = BatchHandler()
    offset = 0
    while True:
        head = _read(source, FRAME_HEADER.size)
        if not head:
            return
        if len(head) < FRAME_HEADER.size:
            raise WireError(f"truncated frame header at offset {offset}")
        now, length, count = FRAME_HEADER.unpack(head)
        if length < 4:
            raise WireError(f"impossible frame length {length} at offset {offset + 8}")
        body = _read(source, length - 4)
        if len(body) < length - 4:
            raise WireError(f"truncated frame at offset {offset + FRAME_HEADER.size + len(body)}")
        sink.write(handler.handle_batch(now, count, body, offset + FRAME_HEADER.size))
        sink.flush()
        offset += FRAME_HEADER.size + len(body)


def _exit_with_error(message: str) -> NoReturn:
    print(f"benchlink: {message}", file=sys.stderr)
    raise SystemExit(2)


def main() -> None:
    """Run on standard input and output; exits with code 2 after a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        _exit_with_error(str(error))


if __name__ == "__main__":
    main()
