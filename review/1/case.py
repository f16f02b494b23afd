"""Case: discovery becomes slow, an exchange drains meanwhile, and the session controller never learns of it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
from harness import CannotRun, World, run_case  # noqa: E402

DELAY_S = 4.0  # what the command channel sends arrives so much later, from SLOW_AT_S on
SLOW_AT_S, DRAIN_AT_S, END_S = 3.0, 3.5, 20.0
TOLD_AFTER_S = 7.0  # protocol page: counts as told at most so much later, whether it arrived or not
DRAIN_GRACE_S = 2.0  # setting rules.stop-sending-within-us
SLACK_S = 0.05  # protocol page: every time limit is 50 ms longer
MEASURING_S = 0.2  # a set-up is timed when the stand-in reads it, so the program gets this much more
SET_UPS_PER_S = 12
DRAINING = 2  # number of the exchange that drains


async def play(world: World, trouble: bool) -> list[str]:
    record, discovery, exchange = world.record, world.discovery, world.exchanges[DRAINING]
    caller = world.caller("callers")
    begin = record.now()
    published = 0.0
    slow = False
    count = 0
    while record.now() - begin < END_S:
        at = record.now() - begin
        if trouble and not slow and at >= SLOW_AT_S:
            slow, discovery.delay_s = True, DELAY_S
            record.note("network", f"what the command channel sends arrives {DELAY_S} s later from now on")
        if not published and at >= DRAIN_AT_S:
            discovery.publish(exchange.ident, "draining")
            published = discovery.published[0]
        await caller.dial(1 + count % 3)
        count += 1
        await asyncio.sleep(1 / SET_UPS_PER_S)
    told = min(published + TOLD_AFTER_S, discovery.delivered.get(2, 1e9))
    limit = told + DRAIN_GRACE_S + SLACK_S + MEASURING_S
    late = [(at, call) for at, call in exchange.set_ups if at > limit]
    before = sum(at <= limit for at, _ in exchange.set_ups)
    record.note("case", f"told at {told:.3f}, sends must have stopped by {limit:.3f}; {before} set-ups until then")
    if before < 5:
        raise CannotRun(f"no substance: only {before} set-ups reached the exchange before the limit")
    return [
        f"drain: set-up {call:016x} to exchange {DRAINING}, {at - told:.2f} s after the session controller was told"
        for at, call in late
    ]


run_case(play)
