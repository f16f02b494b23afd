"""Compares the time per step of the reducer with that of an earlier revision, on one synthetic run of inputs.

    .venv/bin/python -m bench.reducer [REVISION]        (default: 270c261)

Extracts the revision from the repository and plays the same busy run to both versions in turn, several times, in one
process. Prints the ratio of the two times of each pair and the median ratio, which is little affected by other load on
the machine. Only revisions since the names of inputs, effects, messages and settings were changed can be compared,
because the run uses the current names.
"""

from __future__ import annotations

import importlib
import random
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from io import BytesIO
from pathlib import Path
from types import ModuleType
from typing import Any

DEFAULT_REVISION = "270c261"
CALLS = 4000  # in one run
ROUNDS = 15  # pairs of runs


def load(path: Path) -> tuple[ModuleType, ModuleType, ModuleType]:
    """Import the session, protocol and interface modules of the version in a folder."""
    for name in [k for k in sys.modules if k.split(".")[0] == "latchturn"]:
        del sys.modules[name]
    sys.path.insert(0, str(path))
    try:
        names = ("session", "protocol", "interface")
        return tuple(importlib.import_module(f"latchturn.{name}") for name in names)  # type: ignore[return-value]
    finally:
        sys.path.pop(0)


def settings(i: Any) -> Any:
    classes = (i.CallClass("premium-quote", 1.0, 0.1, 1_500_000, 9_000_000, 1, 9_200_000),)
    return i.Settings(
        classes=classes, topology=i.Topology.MESH, own_number=0, controllers=7, max_attempts=4, release_us=300_000,
        drain_grace_us=2_000_000, cold_start_share=0.29, warm_up_us=15_000_000, collapse_multiple=2.5,
        collapse_us=2_000_000, connect_timeout_us=500_000, list_on_request=False, ask_within_us=0,
        max_retry_after_us=2_000_000, resend_us=0,
    )  # fmt: skip


def play(s: Any, p: Any, i: Any) -> float:
    """Play one run of calls, answers, refusals, ends and ticks with six exchanges. Returns the seconds spent in `step`.

    The arguments are the session, protocol and interface modules of one version.
    """
    generator, session = random.Random(7), s.Session(settings(i), 7, 1024)
    now_us, spent_s = 1_700_000_000_000_000, 0.0
    links: list[int] = []
    channel_connections: list[int] = []

    def timed_step(input_: Any) -> list[Any]:
        nonlocal spent_s
        started_s = time.perf_counter()
        effects = session.step(now_us, input_)
        spent_s += time.perf_counter() - started_s
        return effects

    written: list[tuple[int, Any]] = []

    def submit(*inputs: Any) -> None:
        queue = list(inputs)
        while queue:
            for effect in timed_step(queue.pop(0)):
                if isinstance(effect, s.Write):
                    written.extend((effect.stream, m) for m in effect.messages)
                    queue.append(s.WriteCompleted(effect.stream))
                elif isinstance(effect, s.ConnectChannel):
                    channel_connections.append(getattr(effect, "connection", 0))
                elif isinstance(effect, s.Connect):
                    links.append(effect.stream)
                    queue.append(s.Connected(effect.stream))
                    queue.append(s.MessageReceived(effect.stream, p.GroupState(0, {"spare": 40, "total": 40})))

    records = tuple(
        p.ExchangeRecord(i.ListEntry(100 + k, k, i.ListState.READY, 0), ("127.0.0.1", 5000 + k)) for k in range(7)
    )
    submit(s.Started((p.ListUpdate(1, i.ListKind.FULL, records),), 1, ("127.0.0.1", 9)), s.ListenerReady())
    submit(*(s.Accepted(k) for k in range(1, 9)))
    for call in range(1, CALLS + 1):
        now_us += generator.randrange(4_000, 12_000)
        due = session.wake_us()
        if due is not None and due <= now_us:
            submit(s.Tick())
        if call % 10 == 0:
            submit(*(s.MessageReceived(k, p.GroupState(0, {"spare": 30 + call % 7, "total": 40})) for k in links))
            names_connection = "connection" in s.ChannelLost.__slots__  # not in earlier revisions
            submit(s.ChannelLost(*channel_connections[-1:] * names_connection, "made up"))
        written.clear()
        figures = {"dest": generator.randrange(1, 7), "width": 1, "via": -1}
        class_name = "premium-quote"
        caller = generator.randrange(1, 9)
        submit(s.MessageReceived(caller, p.SetUp(call, class_name, 3000, f"{call:016x}", b"v=0", figures)))
        for _ in range(4):
            set_ups = [(k, m) for k, m in written if k < 0 and isinstance(m, p.SetUp)]
            written.clear()
            if not set_ups:
                break
            link, message = set_ups[-1]
            if generator.random() < 0.8:
                submit(s.MessageReceived(link, p.Answer(message.call, b"yes")))
                submit(s.MessageReceived(link, p.Release(message.call, p.ReleaseCause.NORMAL)))
                submit(s.MessageReceived(caller, p.ReleaseConfirmed(message.call)))
            else:
                submit(s.MessageReceived(link, p.Release(message.call, p.ReleaseCause.NO_CIRCUIT, "turned_back")))
    assert session.counters["attempts_answered"] > CALLS // 2, session.counters
    assert not session.counters["errors"]
    return spent_s


def main() -> None:
    revision = sys.argv[1] if len(sys.argv) > 1 else DEFAULT_REVISION
    root = Path(__file__).parent.parent
    archive = subprocess.run(
        ["git", "archive", revision, "latchturn"], cwd=root, capture_output=True, check=True
    ).stdout
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=BytesIO(archive)) as tar:
            tar.extractall(folder, filter="data")
        old = load(Path(folder))
        new = load(root)
        ratios = []
        for _ in range(ROUNDS):
            before, after = play(*old), play(*new)
            ratios.append(after / before)
            print(f"before {before:.3f} s, now {after:.3f} s, ratio {ratios[-1]:.3f}")
    print(f"median ratio of {ROUNDS} pairs: {statistics.median(ratios):.3f}")


if __name__ == "__main__":
    main()
