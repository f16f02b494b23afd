"""Known failures: tests named in KNOWN-RED.txt may fail; what came of them is printed at the end of each run.

One line each: test, cause, issue, separated by ` | `. Three lines at most; each must name a test that exists.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def known_red() -> dict[str, str]:
    """Each known failure with its cause and issue; UsageError if the list is not as it should be."""
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()] if KNOWN_RED.exists() else []
    entries = [[field.strip() for field in line.split(" | ")] for line in lines]
    if len(entries) > MOST or any(len(entry) != 3 or not all(entry) for entry in entries):
        raise pytest.UsageError(f"{KNOWN_RED.name}: {MOST} lines at most, each 'test | cause | issue'")
    return {test: f"{cause} ({issue})" for test, cause, issue in entries}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Let the known failures fail; a name that no collected file has is an error of the list."""
    by_name = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for test, reason in known_red().items():
        if test in by_name:
            by_name[test].add_marker(pytest.mark.xfail(reason=reason, strict=False))
        elif test.partition("::")[0] in files and not config.option.keyword and "::" not in "".join(config.args):
            raise pytest.UsageError(f"{KNOWN_RED.name}: there is no test {test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures and what came of each."""
    reports = terminalreporter.stats
    for test, reason in known_red().items():
        outcome = "not run"
        for name in ("xfailed", "xpassed", "passed", "failed", "error"):
            if any(getattr(report, "nodeid", "") == test for report in reports.get(name, ())):
                outcome = name
        terminalreporter.write_line(f"KNOWN RED, {outcome}: {test}: {reason}")
