"""Finds what is left in the reducer and the decision module after every call has ended.

This is the only check that reads their state, and it runs only at the end of a path. State that is kept on purpose
(links, the list, records of numbers and callers) is not reported.
"""

from __future__ import annotations

from ..session import Session
from ..session.timers import TimerKind

CALL_TIMERS = (TimerKind.DEADLINE, TimerKind.ATTEMPT, TimerKind.GIVE_UP)


def leftovers(session: Session, exited: bool) -> list[str]:
    """Describe each thing that should not be left.

    Nothing is reported after the program has exited: the property `ends-well` then checks that no call was unanswered.
    """
    module = session.decision_module.controller
    found = [f"call {k}" for k in session.calls.by_id]
    if exited:
        return []
    found += [f"call {k} in the decision module" for k in module.calls]
    found += [f"a queue for destination {k}" for k, queue in module.queues.items() if queue]
    found += [f"{len(module.timers)} timer tokens of the decision module"] * bool(module.timers)
    for exchange in module.exchanges.values():
        found += [f"{exchange.outstanding} set-ups counted as outstanding at exchange {exchange.exchange_id}"] * bool(
            exchange.outstanding
        )
    for number, group in module.groups.items():
        found += [f"circuits of trunk group {number} in use: {group.in_use}"] * any(group.in_use)
    # An exchange that cannot be reached may still have the calls whose releases it has not confirmed.
    exchanges = session.exchanges.by_id.values()
    reachable = [e for e in exchanges if any(link.up for link in e.links.values())]
    awaited = {k for e in exchanges if e not in reachable for k in e.pending_releases}
    found += [f"release of call {k} pending at {e.ident}" for e in reachable for k in e.pending_releases]
    found += [f"ended call {k} remembered" for k in session.calls.ended if k not in awaited]
    for stream in (*session.callers.by_stream.values(), *session.links.by_stream.values()):
        if stream.up and (stream.outbox or stream.in_flight):
            found.append(f"unwritten messages on stream {stream.ident}")
        if stream.unconfirmed:
            found.append(f"unconfirmed releases on stream {stream.ident}")
    found += [f"unanswered calls on caller {c.ident}" for c in session.callers.by_stream.values() if c.unanswered]
    found += [f"attempts on link {k.ident}" for k in session.links.by_stream.values() if k.attempts]
    found += [f"standing calls at {e.ident}" for e in session.exchanges.by_id.values() if e.standing_calls]
    kinds = [t.kind for _, _, t in session.timers.heap if t.kind in CALL_TIMERS and t.subject is not None]
    found += [f"a timer {kind.name}" for kind in kinds]
    return found


def stale_timers(session: Session) -> list[str]:
    """Describe the timers that still refer to a call or an attempt although no call is left."""
    kinds = [t.kind for _, _, t in session.timers.heap if t.kind in CALL_TIMERS and t.subject is not None]
    return [f"a timer {kind.name}" for kind in kinds if not session.calls.by_id]
