"""The choices that a simulated environment offers at one point of a path.

Only reads the environment. A choice is a tuple of a kind and integers or texts; the environment has a method for each
kind.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .scopes import VARIANTS
from .simulated_peers import Peer

if TYPE_CHECKING:
    from .environment import Environment

Choice = tuple[str | int, ...]
# The reducer remembers the ids of ended calls for 10 s; after this time no choice reuses an id.
ID_REUSE_LIMIT_US = 9_000_000
MISSING_BYTES = (1, 2, 8)  # at the end of a truncated answer; 8 are its whole description
# Kinds that ordinary calls consist of. Every other kind is rare, and a scope limits the rare choices on a path.
COMMON_KINDS = {"set_up", "tick", "answer", "refuse", "end", "cut", "accept", "through"}
# Late or stray replies of exchanges. After all calls have ended, their effect does not depend on the time.
LATE_KINDS = {"late", "twice", "astray"}


def offered_choices(environment: Environment) -> list[Choice]:
    """Every choice that can be made now, in a fixed order; empty if nothing more can happen in this scope."""
    if environment.history.exited:
        return []
    offered: list[Choice] = []
    allowed = {k for k, n in environment.remaining_budgets.items() if n > 0}
    if environment.only_late_messages_remain:
        allowed &= LATE_KINDS
    if environment.remaining_rare_choices <= 0:
        allowed &= COMMON_KINDS
    callers = [k for k, peer in environment.peers.items() if not peer.exchange_id]
    links = {k: peer for k, peer in environment.peers.items() if peer.exchange_id}
    _caller_choices(environment, offered, allowed, callers)
    for link, peer in links.items():
        _link_choices(environment, offered, allowed, link, peer, links)
    for call_id, exchange_id in environment.standing_calls.items():
        if any(peer.exchange_id == exchange_id for peer in links.values()):
            offered += [(kind, call_id) for kind in ("end", "cut") if kind in allowed]
    _other_choices(environment, offered, allowed)
    due = None if environment.only_late_messages_remain else environment.next_due()
    if due is not None and (
        environment.remaining_idle_steps > 0 or any(c.awaits_answer for c in environment.history.calls.values())
    ):
        offered.append(("tick",))
        if (
            due[0] > environment.now_us
            and due[1]
            and environment.remaining_rare_choices > 1
            and not environment.timer_pending
        ):
            offered.append(("due",))
        if "between" in allowed and due[0] - environment.now_us > 1000:
            offered.append(("between",))
    return offered


def _caller_choices(environment: Environment, offered: list[Choice], allowed: set[str], callers: list[int]) -> None:
    """Add the choices that callers have."""
    open_callers = [k for k in callers if not environment.peers[k].half_closed]
    if environment.calls_made < environment.scope.calls:
        offered += [("set_up", k) for k in open_callers]
    for call_id, call in environment.history.calls.items():
        if call.awaits_answer and call.stream in open_callers and "give_up" in allowed:
            offered.append(("give_up", call_id))
        if call.was_answered and not (call.end_sent or call.ended_by_caller_us) and "release" in allowed:
            offered += [("release", call_id, k) for k in open_callers]
        if call.final_answers_sent and not call.was_answered and "redial" in allowed:
            offered += [("redial", call_id, k) for k in open_callers]
        if call.abandoned or (
            call.ended_for_caller_us and environment.now_us - call.ended_for_caller_us > ID_REUSE_LIMIT_US
        ):
            continue
        if "same_id" in allowed and call.stream in open_callers:
            offered.append(("same_id", call_id, call.stream))
        if "other_id" in allowed:
            offered += [("other_id", call_id, k) for k in open_callers if k != call.stream]
    for k in callers:
        peer = environment.peers[k]
        if "hang_up" in allowed:
            offered.append(("hang_up", k))
        offered += _write_choices(allowed, k, peer, "stall_caller")
        if "half" in allowed and k in open_callers and not peer.partial:
            offered.append(("half", k))
        if "whole" in allowed and peer.partial:
            offered.append(("whole", k))
        if "garble" in allowed and k in open_callers:
            offered.append(("garble", k))
        if "half_close" in allowed and k in open_callers:
            offered.append(("half_close", k))
    if "connect" in allowed and len(callers) < environment.scope.callers and environment.accepting_callers:
        offered.append(("connect",))


def _link_choices(
    environment: Environment, offered: list[Choice], allowed: set[str], link: int, peer: Peer, links: dict[int, Peer]
) -> None:
    """Add the choices that an exchange has on one of its links."""
    exchange = environment.simulated_exchanges.get(peer.exchange_id)
    for call_id, received in peer.set_ups.items():
        if not received.last_reply and not received.given_up:
            if "answer" in allowed:
                offered.append(("answer", link, call_id))
            if "refuse" in allowed:
                offered += [("refuse", link, call_id, cause) for cause in environment.scope.refusals]
            if "astray" in allowed:
                offered += [
                    ("astray", k, call_id, link)
                    for k in links
                    if k != link and links[k].exchange_id == peer.exchange_id
                ]
            if "truncate" in allowed:
                offered += [("truncate", link, call_id, missing) for missing in MISSING_BYTES]
        elif not received.last_reply and "late" in allowed:
            offered += [("late", link, call_id, reply) for reply in ("answer", "reset")]
        elif received.last_reply and "twice" in allowed:
            offered.append(("twice", link, call_id))
    if "reset" in allowed and (peer.set_ups or peer.pending_write):
        offered.append(("reset", link))
    offered += _write_choices(allowed, link, peer)
    if "group" in allowed and exchange is not None:
        offered += [("group", link, free_circuits) for free_circuits in (0, 40)]


def _write_choices(allowed: set[str], stream: int, peer: Peer, stall: str = "stall") -> list[Choice]:
    """The choices about writes to one peer."""
    offered: list[Choice] = []
    if stall in allowed and not peer.stalled:
        offered.append((stall, stream))
    if peer.stalled and "through" in allowed:
        offered.append(("through", stream))
    if peer.pending_write is not None and not peer.pending_arrived and "arrive" in allowed:
        offered.append(("arrive", stream))
    return offered


def _other_choices(environment: Environment, offered: list[Choice], allowed: set[str]) -> None:
    """Add the choices about exchanges, links being opened, the list, operators and other processes."""
    for exchange_id, exchange in environment.simulated_exchanges.items():
        list_entry = environment.history.exchanges.get(exchange_id)
        still_listed = list_entry is not None and not list_entry.gone
        kinds = ("ready",) if exchange_id in environment.draining_exchanges else ("drain",)
        offered += [(kind, exchange_id) for kind in (*kinds, "gone", "replaced") if still_listed and kind in allowed]
        if "die" in allowed and exchange.alive:
            offered.append(("die", exchange_id))
        if "return" in allowed and not exchange.alive and environment.now_us > exchange.died_us:
            offered.append(("return", exchange_id))
    if environment.connects_by_choice:
        for link, (connecting_to, _) in environment.connecting.items():
            alive = (
                connecting_to in environment.simulated_exchanges
                and environment.simulated_exchanges[connecting_to].alive
            )
            if alive:
                offered.append(("accept", link))
            if not alive or "refuse_link" in allowed:
                offered.append(("refuse_link", link))
    if "list_twice" in allowed and environment.last_update is not None:
        offered.append(("list_twice",))
    if "channel_lost" in allowed:
        offered.append(("channel_lost",))
    terminating = bool(environment.history.sigterm_us)
    if "lameduck" in allowed and not environment.history.draining:
        offered.append(("lameduck",))
    if "rejoin" in allowed and environment.history.draining:
        offered.append(("rejoin",))
    if "sighup" in allowed:
        offered += [("sighup", name) for name in VARIANTS]
    if "sigterm" in allowed and not terminating:
        offered.append(("sigterm",))
    if "succeed" in allowed and not environment.history.successor_serves:
        offered.append(("succeed",))
    if "unsucceed" in allowed and environment.history.successor_serves:
        offered.append(("unsucceed",))
    if "inherit" in allowed:
        offered += [("inherit", exchange_id) for exchange_id in environment.simulated_exchanges]
    if "passed_on" in allowed:
        offered += [("passed_on", call_id) for call_id in environment.inherited_calls]
