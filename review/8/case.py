"""Answers never arrive, and a planned restart follows: callers get a second answer from the new process."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common2"))
import stand_ins as s

EXCHANGES = 8  # brief, 1.2: "7 to 9 exchanges", the own one among them
HOLD_S = 9.0  # site file: hold_s = [9, 12]
KILL_AFTER_S = 3.7  # SIGKILL after SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s


async def play(case: s.Case) -> list[str]:
    exchanges = [s.Exchange(case, 0x100 + n, n) for n in range(1, EXCHANGES + 1)]
    for exchange in exchanges:
        exchange.hold_s = HOLD_S
        await exchange.start()
    channel = s.Channel(case, exchanges)
    await channel.start()
    port = s.free_port()
    program = s.Program(case, "first process", s.config(port, channel, channel.known()), case.folder / "tmp-1")
    await program.wait_ready()
    caller = s.Caller(case, port)
    await caller.connect()
    for _ in range(8):
        for exchange in exchanges:
            caller.set_up(exchange.number)
            await asyncio.sleep(0.03)
    await asyncio.sleep(0.5)

    def lose_answer(exchange: s.Exchange) -> None:
        """Let the next answer of an exchange never arrive; its connection stays open and is of no further use."""

        def answered(connection: s.Connection, call: int) -> None:
            exchange.on_answered = lambda connection, call: None
            exchange.log(f"the answer to {call:016x} never arrives; connection {connection.number} is of no use now")
            connection.dead = True

        exchange.on_answered = answered

    for exchange in exchanges:
        if s.TROUBLE:
            lose_answer(exchange)
        caller.set_up(exchange.number)
    await asyncio.sleep(0.5)
    if s.TROUBLE:
        program.signal(signal.SIGTERM)
        if not await program.wait_exit(KILL_AFTER_S):
            program.signal(signal.SIGKILL)
            await program.wait_exit(5)
        program = s.Program(case, "second process", s.config(port, channel, channel.known()), case.folder / "tmp-2")
        await program.wait_ready()
        await caller.connect()
    end = time.time() + HOLD_S + 3
    while time.time() < end:  # the caller goes on as usual
        caller.set_up(exchanges[0].number)
        await asyncio.sleep(1)
    if caller.closed_at:
        raise RuntimeError("the caller is not connected")
    return [
        f"set-up {c.ident:016x} got {len(c.finals)} answers: "
        + ", ".join(f"{what} after {at - c.sent:.2f} s" for at, what in c.finals)
        for c in caller.calls.values()
        if len(c.finals) > 1
    ]


s.main(__file__, play)
