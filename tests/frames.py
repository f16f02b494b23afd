"""Builders of frames for the simulator adapter, with layouts taken from the description of the wire, not from its code.

Run as a script, `ask` writes a short session to standard output, and `verify` checks the replies to it.
"""

from __future__ import annotations

import struct
import sys

SETTINGS = """allowed.connect-timeout-us=500000
allowed.max-retry-after-us=2000000
allowed.retry-after=true
allowed.send-cap=4
deductions.late-fail=0.05
discovery=pushed
family-info.class-hold-us=11900000,9500000
family-info.own-exchange=0
family-info.release-us=300000
family-info.resend-us=0
family-info.shape=meshed
family-info.skilled-pools=
family-info.widths=1,1
grades.count=2
grades.0.give-up-us=9000000
grades.0.importance=1.0
grades.0.late-value=0.1
grades.0.name=board-view
grades.0.objective-us=1200000
grades.1.give-up-us=9000000
grades.1.importance=3.0
grades.1.late-value=0.25
grades.1.name=turn-submit
grades.1.objective-us=1500000
instances=4
report.fields=spare,total,allowed
rules.ask-within-us=10000000
rules.cold-from=0.31
rules.fall-multiple=3.0
rules.fall-us=1000000
rules.stop-sending-within-us=2000000
rules.warm-within-us=14000000
unknown.key=ignored
"""


def record(data: bytes) -> bytes:
    """Pad the data to an event record of 48 bytes."""
    assert len(data) <= 48
    return data + bytes(48 - len(data))


def start_instance(instance_id: int, tail_at: int, size: int) -> bytes:
    return record(b"\x01" + struct.pack("<IQII", instance_id, 9, tail_at, size))


def list_table(table: int, tail_at: int, entries: int) -> bytes:
    return record(b"\x0a" + struct.pack("<BII", table, tail_at, entries))


def exchange_list(instance_id: int, kind: int, table: int) -> bytes:
    return record(b"\x00" + struct.pack("<IBIB", instance_id, kind, 1, table))


def exchange_report(instance_id: int, exchange: int, free: float, size: float) -> bytes:
    head = b"\x09" + struct.pack("<IIIH", instance_id, 0, exchange, 200)
    return record(head + b"\x03" + struct.pack("<ffff", free, size, -1.0, 0.0))


def call_offered(instance_id: int, call: int, to: float, deadline: int, options: int = 0) -> bytes:
    head = b"\x02" + struct.pack("<IIIBH", instance_id, call, 0, 0, options)
    return record(head + struct.pack("<QIQfff", 555, 0, deadline, 1.0, -1.0, to))


def call_answered(instance_id: int, call: int, exchange: int) -> bytes:
    return record(b"\x08" + struct.pack("<IIBII", instance_id, call, 0, 90_000, exchange))


def attempt_ended(
    instance_id: int, call: int, exchange: int, outcome_code: int, concluded: int, cause_code: int = 0
) -> bytes:
    return record(
        b"\x03" + struct.pack("<IIBIHIBI", instance_id, call, 0, exchange, outcome_code, 1, concluded, cause_code)
    )


def list_entry(exchange: int, number: int, state: int = 1, started: int = 0) -> bytes:
    return struct.pack("<QBIBBfH", started, state, exchange, 0, 0, 1.0, number)


def frame(now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(records) + tail
    return struct.pack("<QII", now, len(body) + 4, len(records)) + body


def session() -> bytes:
    """Return the frames of a short session: start, exchange list, two calls, the second to an unlisted exchange."""
    raw = SETTINGS.encode()
    tail = raw + list_entry(100, 0) + list_entry(101, 1) + list_entry(102, 2)
    begin = [start_instance(3, 0, len(raw)), list_table(2, len(raw), 3), exchange_list(3, 2, 2)]
    now = 10_000_000
    return b"".join(
        [
            frame(now, []),
            frame(now, begin, tail),
            frame(now + 5000, [exchange_report(3, 101, 20.0, 20.0), call_offered(3, 70, 1.0, now + 3_000_000)]),
            frame(now + 9000, [call_answered(3, 70, 101)]),
            frame(now + 20000, [attempt_ended(3, 70, 101, 200, 1)]),
            frame(now + 30000, [call_offered(3, 71, 9.0, now + 3_000_000), exchange_list(3, 3, 0)]),
        ]
    )


def replies(data: bytes) -> list[tuple[int, bytes]]:
    """Split the adapter's output into replies: the number of action records, and the records with their tail."""
    out, at = [], 0
    while at < len(data):
        count, size = struct.unpack_from("<II", data, at)
        out.append((count, data[at + 8 : at + 8 + size]))
        at += 8 + size
    return out


def verify(data: bytes) -> None:
    """Check the replies to `session`: one set-up for the first call, a refusal of the second."""
    got = replies(data)
    assert len(got) == 6, got
    assert got[0] == (0, b""), got[0]
    assert got[2][0] == 1, got[2]
    code, instance_id, call, exchange, timeout = struct.unpack_from("<BIIII", got[2][1])
    assert (code, instance_id, call, exchange) == (66, 3, 70, 101) and timeout > 0, got[2]
    assert got[3][0] == 0 and got[4][0] == 0, got[3:5]
    assert struct.unpack_from("<BII", got[5][1]) == (69, 3, 71), got[5]


if __name__ == "__main__":
    if sys.argv[1:] == ["ask"]:
        sys.stdout.buffer.write(session())
    elif sys.argv[1:] == ["verify"]:
        verify(sys.stdin.buffer.read())
        print("the adapter's replies are as expected")
    else:
        sys.exit("usage: frames.py ask | verify")
