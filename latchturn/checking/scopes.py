"""The scopes: how many exchanges and calls, and how often each kind of choice may be made on one path.

A kind that a scope does not name is never offered there. Times are compressed (a pause of 120 ms, a set-up target of
0.6 s, a wait of 0.9 s), so that few of the reducer's timers run during a call. The properties read these times from the
settings, and their order is that of the real settings.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from .. import interface as i

SECOND_US = 1_000_000
SETTINGS = i.Settings(
    classes=(i.CallClass("premium-quote", 1.0, 0.1, 600_000, 900_000, 1, 3 * SECOND_US),),
    topology=i.Topology.MESH, own_number=0, controllers=2, max_attempts=4, release_us=120_000, drain_grace_us=50_000,
    cold_start_share=0.29, warm_up_us=400_000, collapse_multiple=2.5, collapse_us=200_000, connect_timeout_us=100_000,
    list_on_request=False, ask_within_us=0, max_retry_after_us=200_000, resend_us=0, tenants=("acme",),
)  # fmt: skip
WAIT_MS = 900
# Settings that SIGHUP applies, by the name of the variant.
OTHER_CLASS = i.CallClass("renewal", 1.0, 0.1, 600_000, 900_000, 1, 3 * SECOND_US)
VARIANTS = {
    "fewer": replace(SETTINGS, max_attempts=1),
    "vanished": replace(SETTINGS, classes=(OTHER_CLASS,)),
    "moved": SETTINGS,  # only the address of the command channel changes
}


@dataclass(frozen=True)
class Scope:
    """The bounds of one exploration.

    `budgets` limits how often each kind of choice may be made on a path. `refusals` names the refusals that exchanges
    may send, keys of `environment.REFUSALS`.
    """

    name: str
    about: str
    exchanges: int
    calls: int
    budgets: dict[str, int] = field(default_factory=dict)
    refusals: tuple[str, ...] = ()
    callers: int = 1  # connections of callers
    rare_choices: int = 2  # limit of choices on a path that are not in `environment.COMMON_KINDS`
    idle_steps: int = 1  # limit of steps of the clock while no caller waits for an answer
    starts_beside_another: bool = False  # the program starts while its predecessor still serves
    first_kinds: tuple[str, ...] = ()  # kinds that the first choice may have; nothing reads it yet
    leaves_out: str = ""


_ALL_SCOPES = [
    Scope(
        "mini", "one exchange, one call: the smallest scope in which most properties can be violated",
        1, 1, {"answer": 9, "refuse": 5, "reset": 1, "end": 1, "late": 1, "give_up": 1, "release": 1,
               "hang_up": 1},
        ("reset", "full"), rare_choices=1,
        leaves_out="tandems, the list, operators, slow writes, more than one rare choice",
    ),
    Scope(
        "tries", "two exchanges that refuse every attempt at once",
        2, 1, {"answer": 9, "refuse": 9}, ("full", "error"), rare_choices=0,
        leaves_out="all rare choices",
    ),
    Scope(
        "two", "two exchanges, one call, four attempts: every way in which attempts end, and a late reply",
        2, 1, {"answer": 9, "refuse": 5, "reset": 1, "end": 1, "late": 1, "give_up": 1, "release": 1,
               "drain": 1},
        ("reset", "full", "error"), rare_choices=2,
        leaves_out="slow writes, dying exchanges, operators, a second connection, times between timers",
    ),
    Scope(
        "three", "three exchanges, one call: tandems, the list and deaths",
        3, 1, {"answer": 9, "refuse": 3, "reset": 1, "end": 1, "drain": 1, "gone": 1, "die": 1},
        ("reset", "turned_back"), rare_choices=1,
        leaves_out="a caller that gives up, slow writes, operators, return of a dead exchange",
    ),
    Scope(
        "calls", "two exchanges, two calls on two connections: ids, releases and connections that cross",
        2, 2, {"answer": 9, "end": 2, "give_up": 1, "release": 1, "reset": 1, "hang_up": 1},
        callers=2, rare_choices=1,
        leaves_out="refusals, the list, operators, late replies, slow writes, more than one rare choice",
    ),
    Scope(
        "writes", "slow and partial writes: a partly written give-up, an answer before the write is reported complete",
        1, 1, {"answer": 9, "refuse": 1, "stall": 1, "stall_caller": 1, "arrive": 1, "through": 4, "give_up": 1,
               "late": 1,
               "reset": 1, "drain": 1, "hang_up": 1, "end": 1},
        ("reset",), callers=2, rare_choices=2, leaves_out="more than one stall, a second call",
    ),
    Scope(
        "list", "the list: drains in the pause, new ids at an old address, repeated updates, a lost command channel",
        2, 1, {"answer": 9, "refuse": 2, "drain": 1, "ready": 1, "gone": 1, "replaced": 1, "list_twice": 1,
               "channel_lost": 1, "reset": 1, "end": 1},
        ("reset",), rare_choices=2, leaves_out="dying processes, operators",
    ),
    Scope(
        "deaths", "exchanges that die, refuse, stay silent and return, with an attempt outstanding or a standing call",
        1, 1, {"answer": 9, "refuse": 1, "die": 1, "return": 1, "refuse_link": 1, "accept": 9,
               "end": 1, "drain": 1},
        ("full",), rare_choices=2, leaves_out="new ids, callers that give up, group states",
    ),
    Scope(
        "connects", "a link that connects late, is refused or does not answer while an attempt waits for it",
        1, 1, {"answer": 9, "refuse": 2, "refuse_link": 1, "accept": 9, "drain": 1, "between": 1, "give_up": 1},
        ("full",), rare_choices=2, leaves_out="deaths, new ids, slow writes",
    ),
    Scope(
        "operators", "SIGTERM and a successor that starts and stops serving, during one call",
        1, 1, {"answer": 9, "refuse": 1, "reset": 1, "end": 1, "sigterm": 1, "succeed": 1, "unsucceed": 1},
        ("reset",), rare_choices=2, idle_steps=24, leaves_out="drains and new settings, the list, slow writes",
    ),
    Scope(
        "settings", "drain, rejoin and new settings, during one call and its redial",
        1, 1, {"answer": 9, "refuse": 2, "reset": 1, "end": 1, "lameduck": 1, "rejoin": 1, "sighup": 1,
               "redial": 1},
        ("reset",), rare_choices=2, idle_steps=3, leaves_out="SIGTERM, the list, late replies, slow writes",
    ),
    Scope(
        "succession", "a process that starts while its predecessor serves, takes over and inherits a call",
        1, 1, {"answer": 9, "refuse": 1, "inherit": 1, "end": 2, "release": 1, "passed_on": 1, "group": 1,
               "sigterm": 1, "reset": 1},
        ("full",), rare_choices=2, starts_beside_another=True, leaves_out="the list, late replies, slow writes",
    ),
    Scope(
        "rude", "misbehaving callers: they reuse ids, hang up and connect again",
        1, 1, {"answer": 9, "refuse": 1, "same_id": 2, "other_id": 1, "hang_up": 2, "end": 1, "release": 1,
               "redial": 1, "connect": 1},
        ("reset",), callers=1, rare_choices=2, idle_steps=6, leaves_out="the list, operators, slow writes",
    ),
    Scope(
        "broken", "callers that send part of a message or malformed input, or close their sending direction",
        1, 1, {"answer": 9, "refuse": 1, "half": 1, "whole": 1, "garble": 1, "half_close": 1, "hang_up": 1,
               "end": 1, "connect": 1},
        ("reset",), callers=1, rare_choices=2, idle_steps=6, leaves_out="the list, operators, slow writes",
    ),
    Scope(
        "strays", "exchanges that reply late, twice and on another link",
        1, 1, {"answer": 9, "refuse": 2, "late": 2, "twice": 2, "astray": 1, "end": 1, "give_up": 1,
               "reset": 1},
        ("reset", "full"), rare_choices=2, leaves_out="the list, operators, slow writes",
    ),
    Scope(
        "truncated", "exchanges whose answers end early, so that the next message fills them",
        2, 1, {"answer": 9, "refuse": 1, "truncate": 2, "end": 1, "give_up": 1, "reset": 1},
        ("reset",), rare_choices=2, leaves_out="the list, operators, slow writes, pauses within a message",
    ),
    Scope(
        "wide", "for random walks only: five exchanges, thirty calls and almost all kinds of choices",
        5, 30, dict.fromkeys(
            ("answer", "refuse", "reset", "end",
                "cut", "late", "twice", "astray", "give_up", "release", "hang_up",
             "redial", "drain", "ready", "gone", "replaced", "list_twice", "channel_lost", "die", "return",
             "refuse_link", "silent_link", "accept", "group", "stall", "arrive", "through", "lameduck", "rejoin",
             "same_id", "other_id", "half", "whole", "half_close", "connect", "between"), 10_000),
        ("reset", "full", "error", "turned_back", "busy", "overload"), callers=4, rare_choices=1 << 30,
        idle_steps=1 << 30,
        leaves_out="SIGTERM and a successor, after which little can happen",
    ),
]  # fmt: skip
SCOPES = {scope.name: scope for scope in _ALL_SCOPES}
EXHAUSTIVE = tuple(name for name in SCOPES if name != "wide")
