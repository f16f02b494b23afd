"""KNOWN-RED.txt: only failures that match an entry are passed over, and malformed lists are rejected."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from rig import known_red
from rig.rules import Violation

ROOT = Path(__file__).parent.parent
ENTRY = known_red.KnownFailure("rig.soak 7", "end not told: at 102", "seen", "issue 1")
TESTS = """
def test_listed():
    assert False, "the named failure"
def test_listed_but_otherwise():
    assert False, "another failure"
def test_not_listed():
    assert False, "the named failure"
"""
CONFTEST = """
from pathlib import Path
from rig import known_red
known_red.PATH = Path(__file__).parent / "KNOWN-RED.txt"
from tests.conftest import *
"""


class Trials(unittest.TestCase):
    def test_failure_with_another_rule_text_or_seed_counts(self) -> None:
        named = Violation("end not told", 1, "call 5 at 102: release reached the client -1 ms after the end")
        others = [Violation("drain", 1, "call 5 at 102"), Violation("end not told", 1, "call 6 at 103")]
        self.assertEqual(known_red.split_known("7", [named, *others], [ENTRY]), (others, [named]))
        self.assertEqual(known_red.split_known("8", [named], [ENTRY]), ([named], []))


class Tests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "test_some.py").write_text(TESTS)
        (self.folder / "conftest.py").write_text(CONFTEST)

    def run_with(self, *tests: str) -> subprocess.CompletedProcess[str]:
        entries = [f"test_some.py::{test} | the named failure | seen | issue 1\n" for test in tests]
        (self.folder / "KNOWN-RED.txt").write_text("".join(entries))
        command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir", str(self.folder), "."]
        return subprocess.run(
            command, cwd=self.folder, env={"PYTHONPATH": str(ROOT)}, capture_output=True, text=True, timeout=60
        )

    def test_only_the_failure_named_by_an_entry_is_passed_over(self) -> None:
        result = self.run_with("test_listed", "test_listed_but_otherwise")
        self.assertIn("2 failed, 1 xfailed", result.stdout)
        self.assertIn("known failures passed over by tests: 1", result.stdout)
        self.assertNotEqual(result.returncode, 0)

    def test_entry_for_an_unknown_test_is_an_error(self) -> None:
        self.assertNotEqual(self.run_with("test_that_is_not_there").returncode, 0)

    def test_malformed_lists_are_rejected(self) -> None:
        path = self.folder / "list"
        line = "a | b | c | d\n"
        for text in ("a | b | c\n", "a | b | | d\n", line * (known_red.MAX_ENTRIES + 1)):
            path.write_text(text)
            with self.assertRaises(known_red.InvalidListError):
                known_red.read(path)
        path.write_text(line)
        self.assertEqual(known_red.read(path), [known_red.KnownFailure("a", "b", "c", "d")])
