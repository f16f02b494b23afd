"""The base class of the components of the reducer, which gives each component access to all others by name."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .attempts import Attempts
    from .callers import Callers
    from .calls import Calls
    from .channel import Channel
    from .classes import Classes
    from .core import Core
    from .decision_module import DecisionModule
    from .descriptors import Descriptors
    from .end_notices import EndNotices
    from .exchange_releases import ExchangeReleases
    from .exchanges import Exchanges
    from .held_answers import HeldAnswers
    from .housekeeping import Housekeeping
    from .links import Links
    from .liveness import Liveness
    from .missed_ends import MissedEnds
    from .phases import Phases
    from .timers import Timers
    from .unknown_ends import UnknownEnds
    from .writing import Writing


class Component:
    """A part of the reducer that owns one concern; `Session` creates all of them."""

    core: Core
    timers: Timers
    classes: Classes
    decision_module: DecisionModule
    writing: Writing
    attempts: Attempts
    calls: Calls
    callers: Callers
    descriptors: Descriptors
    end_notices: EndNotices
    unknown_ends: UnknownEnds
    links: Links
    liveness: Liveness
    missed_ends: MissedEnds
    exchanges: Exchanges
    exchange_releases: ExchangeReleases
    held_answers: HeldAnswers
    channel: Channel
    phases: Phases
    housekeeping: Housekeeping

    def connect_components(self, components: Mapping[str, object]) -> None:
        """Set an attribute for each of the other components; called once, before the first input."""
        for name, component in components.items():
            if component is not self:
                setattr(self, name, component)
