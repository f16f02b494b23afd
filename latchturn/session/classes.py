"""The classes and tenants that count now, and for a while those that did before."""

from __future__ import annotations

import re
from dataclasses import replace

from .. import interface as i
from .. import operations
from ..protocol import SetUp, settings_text
from .component import Component
from .limits import MAX_EXCHANGE_NUMBERS

CALLED_NUMBER = re.compile(r"[0-9A-Fa-f]{16}", re.ASCII)


class Classes(Component):
    """The classes and tenants that count now, and for a while those that did before."""

    def __init__(self, settings: i.Settings) -> None:
        self.known_names: dict[str, None] = {}  # the names of all classes that there have been, in their order
        self.settings = settings

    def apply(self, settings: i.Settings, before: i.Settings | None) -> None:
        """Let settings count, and for as long as their callers may go on trying, the classes before too."""
        self.configured = settings
        old = () if before is None else before.classes
        self.previous = {settings_text(c.name): c for c in old}
        self.previous_until_us = self.core.now + max((c.give_up_us for c in old), default=0)
        names = {settings_text(c.name) for c in settings.classes}
        left = tuple(c for name, c in self.previous.items() if name not in names)
        tenants = () if before is None or not settings.tenants else before.tenants
        self.settings = replace(settings, classes=settings.classes + left)
        self.index_by_name = {settings_text(c.name): k for k, c in enumerate(self.settings.classes)}
        self.known_names.update(dict.fromkeys(self.index_by_name))
        self.tenants = frozenset(settings_text(name) for name in (*settings.tenants, *tenants))

    def count_outcome(self, name: str, class_name: str) -> None:
        """Count the end of a set-up of a class."""
        self.core.counters[operations.class_figure_name(name, settings_text(class_name))] += 1

    def describe_errors(self, set_up: SetUp) -> str:
        """What is wrong with a set-up that has been read, by the settings and the protocol."""
        number = self.index_by_name.get(settings_text(set_up.class_name))
        if number is None:
            return "unknown class"
        cls, figures = self.settings.classes[number], set_up.figures
        before = self.previous.get(settings_text(set_up.class_name), cls)
        good = {
            "id": set_up.call != 0,
            "tenant": not self.tenants or settings_text(set_up.tenant) in self.tenants,
            "number called": CALLED_NUMBER.fullmatch(set_up.called) is not None,
            "wait": 1 <= set_up.wait_ms <= max(cls.give_up_us, before.give_up_us) // 1000 + 1,
            "dest": 0 <= figures.get("dest", -1) < MAX_EXCHANGE_NUMBERS,
            "width": figures.get("width") in (cls.width, before.width),
            "via": -1 <= figures.get("via", -1) < MAX_EXCHANGE_NUMBERS,
            "transit": figures.get("transit", 0) in (0, 1),
            "again": figures.get("again", 0) in (0, 1),
        }
        return ", ".join(name for name, is_good in good.items() if not is_good)
