"""The operators' words, as pure codecs: the lines of the admin listener, and the figures in StatsD form.

Owns the calls that staff may make, the one table of figure names and types, and the text of every
answer. It must never open a socket, keep a count or decide what an answer says: the reducer does.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from enum import Enum

METRIC_PREFIX = "edge_gw"
MAX_LINE_BYTES = 256  # bytes of a call
INVALID_NAME_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")  # what StatsD has other uses for, in a class name


class Command(Enum):
    """What staff may ask for."""

    PING = "PING"
    INFO = "INFO"
    LAMEDUCK = "LAMEDUCK"
    REJOIN = "REJOIN"


# Every figure that staff read, with its StatsD type: counts from the start of the process, and gauges.
CLASS_FIGURES = ("succeeded", "declined", "aborted")
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
    """The call in a line, None if it is none."""
    try:
        return Command(line.decode("ascii").strip())
    except ValueError:
        return None


def class_figure_name(name: str, class_name: str) -> str:
    """The name of a class's figure."""
    return f"{name}.{INVALID_NAME_CHARACTERS.sub('_', class_name)}"


def render_statsd(figures: Mapping[str, int]) -> str:
    """The figures of the table among those given, one a line."""
    return "".join(
        f"{METRIC_PREFIX}.{name}:{value}|{FIGURE_TYPES[kind]}\n"
        for name, value in figures.items()
        if (kind := name.partition(".")[0]) in FIGURE_TYPES
    )


def encode_answer(success: bool, text: str, figures: Mapping[str, int] | None = None) -> bytes:
    """An answer as its bytes: a line, and behind it the figures, if any, and their end."""
    body = "" if figures is None else render_statsd(figures) + "END\n"
    return f"{'OK' if success else 'ERR'} {text}\n{body}".encode()
