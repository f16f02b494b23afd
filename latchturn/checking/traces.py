"""Stored paths: trace files, replay, narratives for people, and generated tests.

A trace file is JSON with its version, the scope, the planted fault if any, the violated property and the choices. A
file that cannot be used raises `TraceError` with one line that gives the place and what was expected there.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from .. import protocol as p
from .. import session as s
from .choices import Choice
from .environment import START_US, Environment, PropertyViolation
from .scopes import SCOPES

VERSION = 1  # of the trace file format


class TraceError(Exception):
    """A trace file cannot be used. The text gives the file, the place in it, the error and what was expected."""


class Trace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One path. A choice is a kind and its arguments.

    `broken` is the name of the violated property and `message` its description; both are empty if all properties hold.
    """

    version: int
    scope: str
    choices: tuple[tuple[str | int, ...], ...]
    broken: str = ""
    message: str = ""
    fault: str = ""


def write(path: Path, trace: Trace) -> None:
    """Write a trace file. The file appears complete or not at all."""
    partial_path = path.with_name(path.name + ".part")
    partial_path.write_bytes(msgspec.json.format(msgspec.json.encode(trace), indent=1) + b"\n")
    partial_path.replace(path)


def read(path: Path) -> Trace:
    """Read and check a trace file."""
    try:
        trace: Trace = msgspec.json.decode(path.read_bytes(), type=Trace)
    except OSError as error:
        raise TraceError(f"{path}: cannot be read: {error.strerror}") from None
    except msgspec.MsgspecError as error:
        raise TraceError(f"{path}: not a valid trace: {error}") from None
    if trace.version != VERSION:
        raise TraceError(f"{path}: version {trace.version}, expected {VERSION}")
    if trace.scope not in SCOPES:
        raise TraceError(f"{path}: scope {trace.scope!r}, expected one of {', '.join(SCOPES)}")
    return trace


def replay(
    scope: str, choices: Iterable[Choice], environment: Environment | None = None, end: bool = True
) -> PropertyViolation | None:
    """Make choices one after the other and return the violation of a property, if there is one.

    Raises TraceError for a choice that is not offered at its place. With `end`, a path after which nothing more can
    happen is also brought to its end.
    """
    environment = environment or Environment(SCOPES[scope])
    try:
        for number, choice in enumerate(choices, 1):
            offered = environment.choices()
            if choice not in offered:
                shown = " ".join(map(str, choice))
                kinds = sorted({str(c[0]) for c in offered})
                raise TraceError(f"choice {number}, {shown!r}, cannot be made there; expected {', '.join(kinds)}")
            environment.apply(choice)
        if end and not environment.choices():
            environment.run_to_end()
    except PropertyViolation as violation:
        return violation
    return None


# --- narratives ---


def narrate(scope: str, choices: Iterable[Choice]) -> list[str]:
    """Describe a path in lines with time, actor and event. The last line is the violation, if there is one."""
    environment = Environment(SCOPES[scope])
    environment.recording = []
    lines: list[str] = []
    violation = None
    try:
        for choice in choices:
            environment.apply(choice)
            _append_lines(environment, lines)
        if not environment.choices():
            environment.run_to_end()
    except PropertyViolation as error:
        violation = error
    _append_lines(environment, lines)
    if violation is not None:
        lines.append(f"BROKEN  {violation.name}: {violation.message}")
    return lines


def _append_lines(environment: Environment, lines: list[str]) -> None:
    recorded, environment.recording = environment.recording or [], []
    for time_us, item in recorded:
        for who, text in _describe(environment, item):
            lines.append(f"{(time_us - START_US) / 1000:8.1f} ms  {who:<14}{text}")


def _describe(environment: Environment, item: object) -> list[tuple[str, str]]:
    """Return the actor and the text of each line for an input or effect; none for one of no interest to a reader."""
    if item is None:
        return [("clock", "advances")]
    if isinstance(item, s.Write):
        return [
            ("controller", f"to {_stream_label(environment, item.stream)}: {_message_text(m)}") for m in item.messages
        ]
    if isinstance(item, s.MessageReceived):
        return [(_stream_label(environment, item.stream), _message_text(item.message))]
    if isinstance(item, s.WriteCompleted | s.Tick | s.Log):
        return [("controller", item.text)] if isinstance(item, s.Log) else []
    if isinstance(item, s.Connect | s.Close | s.CloseIdle):
        verb = {s.Connect: "opens", s.Close: "closes", s.CloseIdle: "closes if idle:"}[type(item)]
        return [("controller", f"{verb} {_stream_label(environment, item.stream)}")]
    if isinstance(item, s.ConnectionClosed | s.Connected | s.ConnectFailed | s.EndOfInput | s.Accepted):
        return [(_stream_label(environment, item.stream), type(item).__name__.lower())]
    if isinstance(item, s.ListUpdateReceived):
        entries = ", ".join(f"{k.entry.exchange} {k.entry.state.name.lower()}" for k in item.update.records)
        return [("list", entries)]
    if isinstance(item, s.Terminate):
        return [("operators", "SIGTERM")]
    from_operators = isinstance(
        item, s.AdminRequest | s.SuccessorChanged | s.Reconfigured | s.CallInherited | s.ReleaseForwarded
    )
    return [("operators" if from_operators else "controller", str(item)[:90])]


def _stream_label(environment: Environment, stream: int) -> str:
    exchange_id = environment.history.links.get(stream) or (
        stream < 0 and stream in environment.peers and environment.peers[stream].exchange_id
    )
    return f"caller {stream}" if stream > 0 else f"{exchange_id or 'link'}/{stream}"


def _message_text(message: p.Message) -> str:
    if isinstance(message, p.Release):
        cause = p.ReleaseCause(message.cause).name.lower().replace("_", " ")
        retry = f", retry after {message.retry_after_ms} ms" if message.retry_after_ms else ""
        return f"release of call {message.call} ({cause}{retry})"
    if isinstance(message, p.SetUp):
        return f"set-up of call {message.call}, waits {message.wait_ms} ms"
    return f"{type(message).__name__.lower()} of call {message.call}"


TEST_TEMPLATE = '''\
"""{message}"""

import unittest

from latchturn.checking.traces import replay


class Counterexample(unittest.TestCase):
    def test_{name}_holds(self) -> None:
        choices = [
{choices}
        ]
        self.assertIsNone(replay({scope!r}, choices))
'''


def as_test(trace: Trace) -> str:
    """Generate a test that replays the path and fails as long as the property is violated on it."""
    choices = "\n".join(f"            {tuple(c)!r}," for c in trace.choices)
    name = (trace.broken or "path").replace("-", "_")
    return TEST_TEMPLATE.format(message=trace.message or "A path.", name=name, choices=choices, scope=trace.scope)
