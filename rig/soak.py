"""Run trials by seed: `python -m rig.soak 1-50 --jobs 3`. Exit code 1 if a rule was broken.

Each trial runs in a process of its own. A trial that breaks a rule leaves its log and its report under `found/`.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import trio

from . import known_red, rules, scenario
from .clock import SECOND
from .program import ROOT
from .record import Record
from .trial import Trial

FOUND = ROOT / "found"
TRIAL_TIMEOUT_S = 120


def run_trial(plan: scenario.Plan) -> tuple[Record, list[rules.Violation]]:
    """Play one plan in this process and check the rules on its record."""
    record = plan.record()
    trial = Trial(record, plan.exchanges, plan.clients, plan.crowd, plan.absent, plan.late_clients)
    trio.run(trial.run, plan.play, scenario.QUIET_PERIOD_S)
    return record, rules.check(record)


def summary(
    plan: scenario.Plan, record: Record, violations: list[rules.Violation], passed_over: list[rules.Violation]
) -> dict[str, object]:
    """Return the report of one trial as values for JSON."""
    calls = [call for call in record.calls.values() if not call.unchecked]
    return {
        "seed": plan.seed,
        "families": list(plan.families),
        "wait_ms": plan.longest_wait_us // 1000,
        "crowd": plan.crowd,
        "calls": len(calls),
        "answered": sum(bool(call.answered_us) for call in calls),
        "ended": sum(bool(s.ended_us) for s in record.standing.values()),
        "processes": len(record.processes),
        "stall_ms": record.stall_us // 1000,
        "slowest_end_ms": rules.slowest_end_ms(record),
        "descriptors": f"{record.most_descriptors} of {record.sockets}",
        "early_cuts": rules.early_cuts(record),
        "violations": [f"{v.rule} at {_seconds(record, v.at_us)}: {v.text}" for v in violations],
        "passed_over": [f"{v.rule} at {_seconds(record, v.at_us)}: {v.text}" for v in passed_over],
        "faults": [f"{_seconds(record, at)} {text}" for at, text in record.faults],
    }


def _seconds(record: Record, at_us: int) -> str:
    return f"{(at_us - record.processes[0].started_us) / SECOND:.2f}"


def play_one(name: str) -> int:
    """Play the trial of a seed, or a named one, print its report as one line of JSON and return the exit code."""
    plan = scenario.NAMED_PLANS[name]() if name in scenario.NAMED_PLANS else scenario.plan(int(name))
    record, broken = run_trial(plan)
    violations, passed_over = known_red.split_known(name, broken, known_red.read())
    report = summary(plan, record, violations, passed_over)
    if broken:
        FOUND.mkdir(exist_ok=True)
        (FOUND / f"soak-{name}.json").write_text(json.dumps(report, indent=1))
        (FOUND / f"soak-{name}.log").write_text(record.processes[-1].log)
    print(json.dumps(report))
    return 1 if violations else 0


def play_in_process(name: str) -> dict[str, object]:
    """Play a trial in a process of its own and return its report; a trial without a report counts as a violation."""
    command = [sys.executable, "-m", "rig.soak", "--one", name]
    try:
        result = subprocess.run(command, capture_output=True, text=True, timeout=TRIAL_TIMEOUT_S, cwd=ROOT)
        lines = result.stdout.splitlines()
        failed = [] if lines else [f"the trial itself failed: {result.stderr[-1500:]}"]
    except subprocess.TimeoutExpired:
        lines, failed = [], [f"the trial itself took over {TRIAL_TIMEOUT_S} s"]
    return {"seed": name, "violations": failed, "faults": []} if failed else dict(json.loads(lines[-1]))


def expand_seeds(arguments: list[str]) -> list[str]:
    """Expand the seeds of the command line: numbers, ranges like 1-50, and names of scenarios."""
    names: list[str] = []
    for argument in arguments:
        first, dash, last = argument.partition("-")
        names += [str(k) for k in range(int(first), int(last) + 1)] if dash else [argument]
    return names


def print_report(report: dict[str, object]) -> None:
    """Print the figures of one trial, and its faults and violations if a rule was broken."""
    keys = (
        "seed", "families", "wait_ms", "crowd", "calls", "answered", "ended", "processes", "early_cuts",
        "slowest_end_ms",
        "descriptors", "stall_ms",
    )  # fmt: skip
    print(" ".join(f"{name}={report.get(name)}" for name in keys), flush=True)
    for kind in ("faults", "violations", "passed_over"):
        lines = report.get(kind)
        if (report["violations"] or report.get("passed_over")) and isinstance(lines, list):
            for line in lines[:20]:
                print(f"    {kind}: {line}", flush=True)


def main() -> int:
    """Run the trials of the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "seeds",
        nargs="*",
        default=["1-50"],
        help="numbers, ranges like 1-50, incident, hung, truncated, late, overload, stranded",
    )
    parser.add_argument("--jobs", type=int, default=3, help="trials at a time, each with some eight processes")
    parser.add_argument("--one", action="store_true", help="play one trial in this process")
    options = parser.parse_args()
    names = expand_seeds(options.seeds)
    if options.one:
        return play_one(names[0])
    broken, passed_over = 0, 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for report in pool.map(play_in_process, names):
            print_report(report)
            broken += bool(report["violations"])
            passed_over += bool(report.get("passed_over"))
    print(f"{len(names)} trials, {broken} with a broken rule; {passed_over} with a known failure that was passed over")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
