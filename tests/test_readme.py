"""The example in README.md runs and prints the output that README.md shows."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_quick_start(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    out = capsys.readouterr().out
    assert "SendSetup(call=1, exchange=102" in out
