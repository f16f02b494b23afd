"""What every part of the reducer is: it knows the others by their names, once `Session` has made them all."""

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
    from .end_notices import EndNotices
    from .exchanges import Exchanges
    from .housekeeping import Housekeeping
    from .links import Links
    from .liveness import Liveness
    from .missed_ends import MissedEnds
    from .module import Module
    from .phases import Phases
    from .timers import Timers
    from .writing import Writing


class Part:
    """A part of the reducer, by concern."""

    core: Core
    timers: Timers
    classes: Classes
    module: Module
    writing: Writing
    attempts: Attempts
    calls: Calls
    callers: Callers
    end_notices: EndNotices
    links: Links
    liveness: Liveness
    missed_ends: MissedEnds
    exchanges: Exchanges
    channel: Channel
    phases: Phases
    housekeeping: Housekeeping

    def meet(self, parts: Mapping[str, object]) -> None:
        """Know the other parts; called once, before the first input."""
        for name, part in parts.items():
            if part is not self:
                setattr(self, name, part)
