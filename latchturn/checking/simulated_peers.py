"""The remote ends of the reducer's connections in the simulated environment: exchanges, set-ups, connections.

Plain records without behaviour; the environment changes them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .. import protocol as p


@dataclass(slots=True)
class SimulatedExchange:
    """The actual state of one exchange, which may differ from its entry in the list."""

    ident: int
    number: int
    port: int
    alive: bool = True
    died_us: int = 0
    answers_made: int = 0  # makes the description of each answer unique


@dataclass(slots=True)
class ReceivedSetUp:
    """A set-up that has arrived at an exchange, and what limits further replies to it."""

    call_id: int
    given_up: bool = False
    last_reply: str = ""  # "answer" or the name of a refusal; empty before the first reply


@dataclass(slots=True)
class Peer:
    """The remote end of one connection: a caller or an exchange."""

    exchange_id: int = 0  # 0 for a caller
    set_ups: dict[int, ReceivedSetUp] = field(default_factory=dict)  # by call id
    stalled: bool = False  # writes to this peer do not complete
    pending_write: tuple[p.Message, ...] | None = None  # written while stalled; the completion is not reported yet
    pending_arrived: bool = False  # the pending write has arrived although its completion is not reported
    partial: bool = False  # it has sent part of a message
    half_closed: bool = False  # it sends no more messages
