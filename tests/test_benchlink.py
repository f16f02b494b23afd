"""The simulator adapter as a process: frames, malformed input, determinism."""

from __future__ import annotations

import os
import struct
import subprocess
import sys

import pytest

from latchturn import benchlink

from . import frames


def run(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONHASHSEED": seed}
    command = [sys.executable, "-m", "latchturn.benchlink"]
    return subprocess.run(command, input=data, capture_output=True, env=env, timeout=60, check=False)


def test_a_session_is_answered_and_exits_with_0() -> None:
    result = run(frames.session())
    assert result.returncode == 0 and result.stderr == b""
    frames.verify(result.stdout)


def test_an_empty_batch_gets_an_empty_reply() -> None:
    result = run(bytes.fromhex("5a5c80000000000004000000" + "00000000"))
    assert result.stdout == bytes(8) and result.returncode == 0


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    assert len({run(frames.session(), seed).stdout for seed in ("0", "1", "77")}) == 1


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x01\x02\x03", "truncated frame header at offset 0"),
        (struct.pack("<QII", 5, 100, 2), "truncated frame at offset 16"),
        (struct.pack("<QII", 5, 3, 0), "impossible frame length 3"),
        (struct.pack("<QII", 5, 4, 7), "7 records do not fit"),
        (frames.frame(5, [frames.record(b"\x63")]), "unknown event code 99 at offset 16"),
        (frames.frame(5, [frames.call_offered(8, 1, 1.0, 9)]), "instance 8, which is not started"),
        (frames.frame(5, [frames.list_table(0, 0, 4)]), "list entries outside the frame"),
    ],
)
def test_malformed_frames_are_reported_with_their_offset(data: bytes, message: str) -> None:
    result = run(data)
    assert result.returncode != 0
    lines = result.stderr.decode().strip().split("\n")
    assert len(lines) == 1 and message in lines[0]


@pytest.mark.parametrize(
    ("line", "replacement", "key"),
    [
        ("family-info.release-us=300000\n", "", "family-info.release-us"),
        ("instances=4\n", "instances=many\n", "instances"),
        ("rules.cold-from=0.31\n", "rules.cold-from=0\n", "cold_start_share"),
        ("grades.1.objective-us=1500000\n", "", "grades.1.objective-us"),
        ("rules.fall-us=1000000\n", "rules.fall-us=inf\n", "rules.fall-us"),
        ("rules.fall-multiple=3.0\n", "rules.fall-multiple=nan\n", "collapse_multiple"),
    ],
)
def test_a_missing_or_invalid_setting_gives_a_fault_that_names_it(line: str, replacement: str, key: str) -> None:
    raw = frames.SETTINGS.replace(line, replacement).encode()
    result = run(frames.frame(5, [frames.start_instance(0, 0, len(raw))], raw))
    assert result.returncode == 0
    count, body = frames.replies(result.stdout)[0]
    code, instance_id, at, size = struct.unpack_from("<BIII", body)
    assert (count, code, instance_id) == (1, 73, 0)
    assert key in body[24 + at : 24 + at + size].decode()


def test_an_exception_in_the_decision_module_gives_a_fault_with_its_text(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_handle(self: object, now_us: int, event: object) -> list[object]:
        raise KeyError("no such thing")

    monkeypatch.setattr(benchlink.Controller, "handle", failing_handle)
    handler = benchlink.BatchHandler()
    raw = frames.SETTINGS.encode()
    body = frames.start_instance(0, 0, len(raw)) + frames.call_offered(0, 1, 1.0, 99) + raw
    count, out = frames.replies(handler.handle_batch(5, 2, body, 0))[0]
    assert count == 1 and out[0] == 73 and b"KeyError: 'no such thing'" in out


def test_a_list_declared_twice_in_a_batch_is_read_in_order() -> None:
    handler = benchlink.BatchHandler()
    raw = frames.SETTINGS.encode()
    tail = raw + frames.list_entry(100, 0) + frames.list_entry(101, 1) + frames.list_entry(101, 1, state=2)
    records = [
        frames.start_instance(0, 0, len(raw)),
        frames.list_table(4, len(raw), 2),
        frames.exchange_list(0, 2, 4),
        frames.list_table(4, len(raw) + 42, 1),
        frames.exchange_list(0, 0, 4),
    ]
    handler.handle_batch(5, len(records), b"".join(records) + tail, 0)
    exchanges = handler.instances[0].controller.by_number
    assert exchanges[0].ready and not exchanges[1].ready
    assert handler.handle_batch(6, 1, frames.record(b"\x07" + bytes(4)), 0) == bytes(8)
    assert handler.instances == {}
