"""The call classes and tenants of the settings in force and, after a change of settings, the previous ones for a time.

Validates set-ups against them, and counts the outcomes of calls by class.
"""

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
    """The classes and tenants of which set-ups are accepted."""

    def __init__(self, settings: i.Settings) -> None:
        self.known_names: dict[str, None] = {}  # all classes so far, as an ordered set: their figures stay listed
        self.settings = settings  # `configured`, and the previous classes that it no longer has

    def apply(self, settings: i.Settings, before: i.Settings | None) -> None:
        """Put settings in force. The previous classes and tenants stay valid, so that callers which redial after the
        change are still served; the housekeeping removes them after `previous_until_us`."""
        self.configured = settings  # as read from the configuration
        old = () if before is None else before.classes
        self.previous = {settings_text(c.name): c for c in old}
        self.previous_until_us = self.core.now + max((c.give_up_us for c in old), default=0)
        names = {settings_text(c.name) for c in settings.classes}
        dropped = tuple(c for name, c in self.previous.items() if name not in names)
        tenants = () if before is None or not settings.tenants else before.tenants
        self.settings = replace(settings, classes=settings.classes + dropped)
        self.index_by_name = {settings_text(c.name): k for k, c in enumerate(self.settings.classes)}
        self.known_names.update(dict.fromkeys(self.index_by_name))
        self.tenants = frozenset(settings_text(name) for name in (*settings.tenants, *tenants))

    def count_outcome(self, name: str, class_name: str) -> None:
        """Count a call of a class under one of the figures `operations.CLASS_FIGURES`."""
        self.core.counters[operations.class_figure_name(name, settings_text(class_name))] += 1

    def describe_errors(self, set_up: SetUp) -> str:
        """The names of the invalid fields of a decoded set-up, or "unknown class"; empty if it is valid."""
        index = self.index_by_name.get(settings_text(set_up.class_name))
        if index is None:
            return "unknown class"
        call_class, figures = self.settings.classes[index], set_up.figures
        previous = self.previous.get(settings_text(set_up.class_name), call_class)
        checks = {
            "id": set_up.call != 0,
            "tenant": not self.tenants or settings_text(set_up.tenant) in self.tenants,
            "number called": CALLED_NUMBER.fullmatch(set_up.called) is not None,
            "wait": 1 <= set_up.wait_ms <= max(call_class.give_up_us, previous.give_up_us) // 1000 + 1,
            "dest": 0 <= figures.get("dest", -1) < MAX_EXCHANGE_NUMBERS,
            "width": figures.get("width") in (call_class.width, previous.width),
            "via": -1 <= figures.get("via", -1) < MAX_EXCHANGE_NUMBERS,
            "transit": figures.get("transit", 0) in (0, 1),
            "again": figures.get("again", 0) in (0, 1),
        }
        return ", ".join(name for name, is_valid in checks.items() if not is_valid)
