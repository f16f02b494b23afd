"""Reads KNOWN-RED.txt, the list of known failures of tests and trials, which are reported but do not fail a run.

Each line is one entry: test, failure, what was seen, issue, separated by ` | `. The test is a pytest id or
`rig.soak SEED`. The failure is a text contained in the error of the test, or the name of the broken rule of the trial.
`RULE: TEXT` matches only violations of the rule whose text contains TEXT. Any other failure of the same test or trial
counts.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from .rules import Violation

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3
FIELD_COUNT = 4
TRIAL_PREFIX = "rig.soak "


class InvalidListError(ValueError):
    """The list has too many entries, or an entry lacks a field."""


@dataclass(slots=True, frozen=True)
class KnownFailure:
    """One entry of the list."""

    test: str
    failure: str
    seen: str
    issue: str

    def matches(self, violation: Violation) -> bool:
        """Whether a violation in a trial is the failure of this entry."""
        rule, _, text = self.failure.partition(": ")
        return violation.rule == rule and text in violation.text


def read(path: Path | None = None) -> list[KnownFailure]:
    """Read the entries of KNOWN-RED.txt or of another file; raises InvalidListError."""
    path = path or PATH
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    entries = [[field.strip() for field in line.split(" | ")] for line in lines]
    if len(entries) > MAX_ENTRIES or any(len(entry) != FIELD_COUNT or not all(entry) for entry in entries):
        raise InvalidListError(
            f"{path.name}: {MAX_ENTRIES} lines at most, each 'test | failure | what was seen | issue'"
        )
    return [KnownFailure(*entry) for entry in entries]


def split_known(
    name: str, violations: Sequence[Violation], known: Sequence[KnownFailure]
) -> tuple[list[Violation], list[Violation]]:
    """Split the violations of the trial `name` into those that count and those that an entry passes over."""
    entries = [entry for entry in known if entry.test == TRIAL_PREFIX + name]
    passed_over = [v for v in violations if any(entry.matches(v) for entry in entries)]
    return [v for v in violations if v not in passed_over], passed_over
