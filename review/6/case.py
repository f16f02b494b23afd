"""Every exchange of a fleet is overloaded for a moment; then the descriptors run out, and accepted set-ups are lost."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common2"))
import stand_ins as s

FLEET = 48  # session controllers, "each linked with every other": 47 remote exchanges
SOCKETS = 256  # "256 to 1,024 descriptors"
CALLERS = SOCKETS // 3  # "callers hold at most a third of the descriptor limit"
OVERLOAD_S = 1.5


async def play(case: s.Case) -> list[str]:
    exchanges = [s.Exchange(case, 0x100 + n, n) for n in range(1, FLEET)]
    for exchange in exchanges:
        exchange.hold_s = 10.0
        await exchange.start()
    channel = s.Channel(case, exchanges)
    await channel.start()
    port = s.free_port()
    settings = s.settings(instances=FLEET)
    program = s.Program(
        case,
        "program",
        s.config(port, channel, channel.known(), settings=settings, sockets=SOCKETS),
        case.folder / "tmp",
        sockets=SOCKETS,
    )
    await program.wait_ready()
    first = s.Caller(case, port, "caller 0")
    await first.connect()

    def turn_away(exchange: s.Exchange) -> None:
        """The processor of an exchange is full: it turns set-ups away."""

        def full(connection: s.Connection, call: int) -> bool:
            connection.send(s.encode(s.RELEASE, call, (s.CAUSE, bytes([34])), (s.NOTE, b"overload")))
            return True

        exchange.on_set_up = full

    for exchange in exchanges:
        if s.TROUBLE:
            turn_away(exchange)
        first.set_up(exchange.number)
    await asyncio.sleep(OVERLOAD_S)
    for exchange in exchanges:
        exchange.on_set_up = lambda connection, call: False
    await asyncio.sleep(2)
    links = sum(len(e.connections) for e in exchanges)
    case.log(
        f"{links} connections to exchanges; descriptors of the program: "
        f"{len(os.listdir(f'/proc/{program.process.pid}/fd'))}"
    )
    callers = [s.Caller(case, port, f"caller {n}") for n in range(1, CALLERS)]
    for n, caller in enumerate(callers):
        await caller.connect()
        caller.set_up(1 + n % len(exchanges))
        await asyncio.sleep(0.02)
    await asyncio.sleep(4.2)
    case.log(f"descriptors of the program: {len(os.listdir(f'/proc/{program.process.pid}/fd'))}")
    lost = [
        c
        for caller in (first, *callers)
        for c in caller.calls.values()
        if not c.finals and time.time() - c.sent > c.wait_s + 0.5 + s.SLACK_S
    ]
    return [f"set-up {c.ident:016x}: no final answer within {c.wait_s + 0.5} s" for c in lost]


s.main(__file__, play)
