"""Codecs of the admin listener: the commands of operators, the answers, and figures in StatsD format.

This module defines the commands, the names and types of the figures, and the format of the answers. It opens no
socket, keeps no counts and does not decide on the content of an answer; the reducer does that.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from enum import Enum

METRIC_PREFIX = "edge_gw"
MAX_LINE_BYTES = 256  # of a command
INVALID_NAME_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")  # in a class name; some have a meaning in StatsD


class Command(Enum):
    """Commands of operators at the admin listener."""

    PING = "PING"
    INFO = "INFO"
    LAMEDUCK = "LAMEDUCK"
    REJOIN = "REJOIN"


CLASS_FIGURES = ("succeeded", "declined", "aborted")  # kept for each class of calls
# StatsD type of every figure that INFO shows: "c" counts since the start of the process, "g" is a gauge.
FIGURE_TYPES = {
    **dict.fromkeys(CLASS_FIGURES, "c"),
    "forwards": "c",
    "outstanding": "g",
    "discovered": "g",
    "ejected": "g",
    "sighup_applied": "c",
    "sighup_rejected": "c",
}


def parse_command(line: bytes) -> Command | None:
    """Return the command in a line, None if the line is not a command."""
    try:
        return Command(line.decode("ascii").strip())
    except ValueError:
        return None


def class_figure_name(name: str, class_name: str) -> str:
    """Return the name of a figure for one class of calls."""
    return f"{name}.{INVALID_NAME_CHARACTERS.sub('_', class_name)}"


def render_statsd(figures: Mapping[str, int]) -> str:
    """Render those of the given figures that are listed in `FIGURE_TYPES`, one per line."""
    return "".join(
        f"{METRIC_PREFIX}.{name}:{value}|{FIGURE_TYPES[kind]}\n"
        for name, value in figures.items()
        if (kind := name.partition(".")[0]) in FIGURE_TYPES
    )


def encode_answer(success: bool, text: str, figures: Mapping[str, int] | None = None) -> bytes:
    """Encode an answer: a status line, followed by the figures and a line with END if figures are given."""
    body = "" if figures is None else render_statsd(figures) + "END\n"
    return f"{'OK' if success else 'ERR'} {text}\n{body}".encode()
