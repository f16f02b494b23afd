"""The cost of a step of the reducer against an earlier version of it, on one recorded run of inputs.

    .venv/bin/python -m bench.reducer [REVISION]        (941b659: the last with the reducer in one file)

Takes that version of the program out of the repository, records the inputs of one busy made-up run on today's
version, and plays them to both in turn, several times, in one process. Prints the ratio of the times; the medians of
pairs, so that what else the machine does falls out.
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

BEFORE = "941b659"
CALLS = 4000
ROUNDS = 15


def load(path: Path) -> tuple[ModuleType, ModuleType, ModuleType]:
    """The session, protocol and interface modules of the version in a folder."""
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
    """Seconds in `step` for one run of calls, answers, refusals, ends and ticks among six exchanges."""
    draw, core = random.Random(7), s.Session(settings(i), 7, 1024)
    now, spent = 1_700_000_000_000_000, 0.0
    links: list[int] = []

    def do(happened: Any) -> list[Any]:
        nonlocal spent
        began = time.perf_counter()
        effects = core.step(now, happened)
        spent += time.perf_counter() - began
        return effects

    written: list[tuple[int, Any]] = []

    def feed(*inputs: Any) -> None:
        queue = list(inputs)
        while queue:
            for effect in do(queue.pop(0)):
                if isinstance(effect, s.Write):
                    written.extend((effect.stream, m) for m in effect.messages)
                    queue.append(s.WriteCompleted(effect.stream))
                elif isinstance(effect, s.Connect):
                    links.append(effect.stream)
                    queue.append(s.Connected(effect.stream))
                    queue.append(s.MessageReceived(effect.stream, p.GroupState(0, {"spare": 40, "total": 40})))

    listed = tuple(
        p.ExchangeRecord(i.ListEntry(100 + k, k, i.ListState.READY, 0), ("127.0.0.1", 5000 + k)) for k in range(7)
    )
    feed(s.Started((p.ListUpdate(1, i.ListKind.FULL, listed),), 1, ("127.0.0.1", 9)), s.ListenerReady())
    feed(*(s.Accepted(k) for k in range(1, 9)))
    for call in range(1, CALLS + 1):
        now += draw.randrange(4_000, 12_000)
        due = core.wake_us()
        if due is not None and due <= now:
            feed(s.Tick())
        if call % 10 == 0:
            feed(*(s.MessageReceived(k, p.GroupState(0, {"spare": 30 + call % 7, "total": 40})) for k in links))
            feed(s.ChannelLost("made up"))
        written.clear()
        figures = {"dest": draw.randrange(1, 7), "width": 1, "via": -1}
        word = "premium-quote"
        caller = draw.randrange(1, 9)
        feed(s.MessageReceived(caller, p.SetUp(call, word, 3000, f"{call:016x}", b"v=0", figures)))
        for _ in range(4):
            out = [(k, m) for k, m in written if k < 0 and isinstance(m, p.SetUp)]
            written.clear()
            if not out:
                break
            link, message = out[-1]
            if draw.random() < 0.8:
                feed(s.MessageReceived(link, p.Answer(message.call, b"yes")))
                feed(s.MessageReceived(link, p.Release(message.call, p.ReleaseCause.NORMAL)))
                feed(s.MessageReceived(caller, p.ReleaseConfirmed(message.call)))
            else:
                feed(s.MessageReceived(link, p.Release(message.call, p.ReleaseCause.NO_CIRCUIT, "turned_back")))
    assert core.counters["attempts_answered"] > CALLS // 2, core.counters
    assert not core.counters["errors"]
    return spent


def main() -> None:
    revision = sys.argv[1] if len(sys.argv) > 1 else BEFORE
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
