"""Case: some answers of the exchanges end early, and are passed on with bytes of the message after them."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
from harness import CannotRun, Exchange, World, run_case  # noqa: E402

SPOILT_SHARE = 20  # one answer of so many ends early, at all exchanges equally
MISSING = range(2, 11)  # bytes that are missing at its end, in turn
CALLS, SET_UPS_PER_S = 400, 12


class Spoiler:
    """Lets every `SPOILT_SHARE`-th answer end early; the exchange then goes on with its next messages."""

    def __init__(self) -> None:
        self.answers = 0
        self.missing: dict[int, int] = {}  # call -> bytes missing at the end of its answer

    def __call__(self, exchange: Exchange, call: int, data: bytes) -> bytes:
        self.answers += 1
        if self.answers % SPOILT_SHARE:
            return data
        self.missing[call] = MISSING[len(self.missing) % len(MISSING)]
        return data[: -self.missing[call]]


async def play(world: World, trouble: bool) -> list[str]:
    spoiler = Spoiler()
    if trouble:
        for exchange in world.exchanges.values():
            exchange.spoil = spoiler
    caller = world.caller("callers")
    for k in range(CALLS):
        await caller.dial(1 + k % len(world.exchanges))
        await asyncio.sleep(1 / SET_UPS_PER_S)
    await asyncio.sleep(4)
    broken, good = [], 0
    for call in world.calls.values():
        made = {e.answers[call.ident] for e in world.exchanges.values() if call.ident in e.answers}
        if call.description in made:
            good += 1
        elif call.description:  # with an empty one the caller can tell that the answer is not whole
            missing = spoiler.missing.get(call.ident, 0)
            broken.append(
                f"lost: call {call.ident:016x} served with {call.description!r}, which no exchange made; the answer "
                f"of its exchange ended {missing} bytes early"
            )
    world.record.note("case", f"{len(world.calls)} calls, {good} served with the description of an exchange")
    world.record.note("case", f"{len(spoiler.missing)} answers ended early, {len(broken)} of them were passed on")
    if good < CALLS // 2:
        raise CannotRun(f"no substance: {good} calls were served")
    return broken


run_case(play)
