"""Pytest hooks for known failures: a test listed in KNOWN-RED.txt may fail only with the failure of its entry."""

from __future__ import annotations

from collections.abc import Generator

import pytest

from rig import known_red


def _entries() -> dict[str, known_red.KnownFailure]:
    """Return the entries by test; raises UsageError if the list is malformed."""
    try:
        return {entry.test: entry for entry in known_red.read()}
    except known_red.InvalidListError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Reject entries for a collected file whose test does not exist."""
    names = {item.nodeid for item in items}
    files = {name.partition("::")[0] for name in names}
    if config.option.keyword or "::" in "".join(config.args):
        return
    for test in _entries():
        if test not in names and test.partition("::")[0] in files:
            raise pytest.UsageError(f"{known_red.PATH.name}: there is no test {test}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report the failure of an entry as an expected failure."""
    report = yield
    entry = _entries().get(item.nodeid)
    if entry is not None and report.failed and call.excinfo is not None and entry.failure in str(call.excinfo.value):
        report.outcome = "skipped"
        report.wasxfail = f"{entry.seen} ({entry.issue})"
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each known failure of a test with its outcome, and how many were passed over."""
    reports = terminalreporter.stats
    tests = {test: entry for test, entry in _entries().items() if not test.startswith(known_red.TRIAL_PREFIX)}
    outcomes = {test: "not run" for test in tests}
    for name in ("xfailed", "passed", "failed", "error"):
        outcomes.update({r.nodeid: name for r in reports.get(name, ()) if getattr(r, "nodeid", "") in tests})
    for test, entry in tests.items():
        terminalreporter.write_line(f"KNOWN RED, {outcomes[test]}: {test}: {entry.seen} ({entry.issue})")
    passed_over = sum(outcome == "xfailed" for outcome in outcomes.values())
    terminalreporter.write_line(f"known failures passed over by tests: {passed_over}")
