"""The operators' words, as pure codecs: the lines of the admin listener, and the figures in StatsD form.

Owns the calls that staff may make, the one table of figure names and types, and the text of every
answer. It must never open a socket, keep a count or decide what an answer says: the reducer does.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from enum import Enum

PREFIX = "edge_gw"
MAX_LINE = 256  # bytes of a call
UNFIT = re.compile(r"[^A-Za-z0-9_-]")  # what StatsD has other uses for, in a class name


class Command(Enum):
    """What staff may ask for."""

    PING = "PING"
    INFO = "INFO"
    LAMEDUCK = "LAMEDUCK"
    REJOIN = "REJOIN"


# Every figure that staff read, with its StatsD type: counts from the start of the process, and gauges.
BY_CLASS = ("succeeded", "declined", "aborted")
FIGURES = {
    **dict.fromkeys(BY_CLASS, "c"),
    "forwards": "c",
    "outstanding": "g",
    "discovered": "g",
    "ejected": "g",
    "sighup_applied": "c",
    "sighup_rejected": "c",
}


def parse(line: bytes) -> Command | None:
    """The call in a line, None if it is none."""
    try:
        return Command(line.decode("ascii").strip())
    except ValueError:
        return None


def by_class(name: str, class_name: str) -> str:
    """The name of a class's figure."""
    return f"{name}.{UNFIT.sub('_', class_name)}"


def render(figures: Mapping[str, int]) -> str:
    """The figures of the table among those given, one a line."""
    return "".join(
        f"{PREFIX}.{name}:{value}|{FIGURES[kind]}\n"
        for name, value in figures.items()
        if (kind := name.partition(".")[0]) in FIGURES
    )


def answer(good: bool, text: str, figures: Mapping[str, int] | None = None) -> bytes:
    """An answer as its bytes: a line, and behind it the figures, if any, and their end."""
    body = "" if figures is None else render(figures) + "END\n"
    return f"{'OK' if good else 'ERR'} {text}\n{body}".encode()
