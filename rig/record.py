"""The observations of a trial as plain data. Times are Unix microseconds; 0 means that the event has not happened."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

DEFAULT_SOCKETS = 512


class AttemptEnd(Enum):
    """How an attempt ended, as the proxy between the program and the exchange observed it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    RESET_REPORTED = "release with cause 41"
    GIVEN_UP = "given up"
    CLOSED = "connection closed by the program"
    BROKEN = "connection broken by the exchange"


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up that the program has sent to an exchange."""

    call_id: int
    exchange_id: int
    link_number: int
    sent_us: int
    end_us: int = 0
    end: AttemptEnd | None = None


@dataclass(slots=True, eq=False)
class Call:
    """A set-up of a client, recorded once its last byte is written, and the call after its answer."""

    call_id: int
    client: str
    process_number: int  # number of the program's process that accepted its connection
    sent_us: int
    wait_us: int
    unchecked: bool = False  # invalid, or with an id used before: the answers to it are not checked
    gave_up_us: int = 0
    final_answers: list[tuple[int, str]] = field(default_factory=list)  # time and kind of each final answer
    answered_us: int = 0
    description: bytes = b""
    ended_by_client_us: int = 0  # when the client released it
    released_us: int = 0  # when the release of the answered call reached a client
    closed_us: int = 0  # when the connection ended, as the client observed it, before a final answer


@dataclass(slots=True, eq=False)
class StandingCall:
    """A call that an exchange answered, as reported by the exchange; if the exchange is killed, the call ends then."""

    call_id: int
    exchange_id: int
    answered_us: int
    description: bytes = b""  # the session description in the answer
    ended_us: int = 0
    delivered_us: int = 0  # when its release was forwarded to the program
    delivered_on_link: int = 0  # number of the link on which the release was forwarded
    released_by_program: bool = False  # whether the program released the call
    end_sent_on: list[str] = field(default_factory=list)  # links on which the exchange sent the release


@dataclass(slots=True, frozen=True)
class ListEvent:
    """A change of the exchange list: its publication, when discovery was reachable after it, its first sending."""

    exchange_id: int
    state: str
    published_us: int
    reachable_us: int
    delivered_us: int


@dataclass(slots=True, eq=False)
class Process:
    """One process of the program and the signals that it received."""

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
    """All observations of one trial, and the limits that its rules use."""

    seed: int
    longest_wait_us: int
    max_attempts: int
    release_us: int  # pause that an attempt must keep after some ends of the one before
    drain_grace_us: int  # after a drain is announced, set-ups may still be sent for this time
    calls: dict[int, Call] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    standing: dict[tuple[int, int], StandingCall] = field(default_factory=dict)
    list_events: list[ListEvent] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    faults: list[tuple[int, str]] = field(default_factory=list)
    unexpected_messages: list[str] = field(default_factory=list)  # messages to clients that cannot be valid
    sockets: int = DEFAULT_SOCKETS  # descriptor limit of the program
    most_descriptors: int = 0  # that a process of the program was seen to hold
    stall_us: int = 0  # the longest delay of the trial's own event loop: the error of its times
    ended_us: int = 0
