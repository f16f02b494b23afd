"""What a trial has seen, as plain records; times are Unix microseconds, 0 where something has not happened."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class AttemptEnd(Enum):
    """How an attempt ended, as seen between the program and the exchange."""

    ANSWERED = "answered"
    REFUSED = "refused"
    RESET_REPORTED = "release with cause 41"
    GIVEN_UP = "given up"
    CLOSED = "connection closed by the program"
    BROKEN = "connection broken by the exchange"


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up that the program has written to an exchange."""

    call_id: int
    exchange_id: int
    link_number: int
    sent_us: int
    end_us: int = 0
    end: AttemptEnd | None = None


@dataclass(slots=True, eq=False)
class Call:
    """A set-up of a client, from its last byte on."""

    call_id: int
    client: str
    process_number: int  # number of the program's process that accepted its connection
    sent_us: int
    wait_us: int
    unchecked: bool = False  # it cannot be used, or uses an id again: what it gets is not checked
    gave_up_us: int = 0
    final_answers: list[tuple[int, str]] = field(default_factory=list)  # when, and what
    answered_us: int = 0
    description: bytes = b""
    ended_by_client_us: int = 0
    released_us: int = 0  # when any client was told that it is over
    closed_us: int = 0  # when its connection ended, as its client saw it


@dataclass(slots=True, eq=False)
class StandingCall:
    """A call that stood at an exchange, as that exchange or its death has it."""

    call_id: int
    exchange_id: int
    answered_us: int
    description: bytes = b""  # what its exchange answered it with
    ended_us: int = 0
    delivered_us: int = 0  # when its release was passed to the program
    delivered_on_link: int = 0  # the connection on which that was
    released_by_program: bool = False  # the program released it
    end_sent_on: list[str] = field(default_factory=list)  # the connections on which its exchange told its end


@dataclass(slots=True, frozen=True)
class ListEvent:
    """A change of the list: when discovery had it and could be reached, and when it was passed to the program."""

    exchange_id: int
    state: str
    published_us: int
    reachable_us: int
    delivered_us: int


@dataclass(slots=True, eq=False)
class Process:
    """One process of the program."""

    number: int
    started_us: int
    ready_us: int = 0
    terminated_us: int = 0  # SIGTERM
    killed_us: int = 0  # SIGKILL
    exited_us: int = 0
    exit_code: int | None = None
    log: str = ""


@dataclass(slots=True, eq=False)
class Record:
    """All that one trial has seen."""

    seed: int
    longest_wait_us: int
    max_attempts: int
    release_us: int
    drain_grace_us: int
    calls: dict[int, Call] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    standing: dict[tuple[int, int], StandingCall] = field(default_factory=dict)
    list_events: list[ListEvent] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    faults: list[tuple[int, str]] = field(default_factory=list)
    unexpected_messages: list[str] = field(default_factory=list)  # messages to clients that nobody can explain
    stall_us: int = 0  # by how much the trial itself was late at the most: the error of its times
    ended_us: int = 0
