"""One trial: the program among its stand-ins, a scenario played in time, and the record of what was seen."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

import trio

from latchturn import protocol as p

from .client import ABSENT_PROFILE, PROFILES, CallIds, Client
from .clock import SECOND, now_us
from .discovery import Discovery
from .exchange import Options
from .program import Program
from .record import Record
from .site import Site
from .sockets import free_port, loopback_address

FIRST_IDENT = 101
NEW_CONNECTIONS_S = 0.3  # after SIGTERM
TRACE_EVERY_S = 2.0
WATCH_S = 0.01
SETTLE_S = 1.0  # between readiness and the first fault


class Trial:
    """The processes and sockets of one trial; the methods below `faults` are the words of scenarios."""

    def __init__(self, record: Record, exchanges: int, clients: int, crowd: int, absent: int = 0) -> None:
        self.record = record
        self.crowd = crowd
        self.host = loopback_address(record.seed)
        self.discovery = Discovery(free_port(self.host), record)
        self.program = Program(record, free_port(self.host), self.discovery.port)
        self.options = Options()
        self.sites = {
            number: Site(FIRST_IDENT + number, number, free_port(self.host), self.options, record)
            for number in range(1, exchanges + 1)
        }
        self.retired: list[Site] = []
        self.next_ident = FIRST_IDENT + 100
        call_ids = CallIds(record.seed)
        self.clients = [
            Client(profile, self.program.address, record, call_ids, list(self.sites), record.seed * 100 + k)
            for k, profile in enumerate(
                [PROFILES[k % len(PROFILES)] for k in range(clients)] + [ABSENT_PROFILE] * absent
            )
        ]
        self.nursery: trio.Nursery

    # --- the course of a trial ---

    async def run(self, scenario: Callable[[Trial], Awaitable[None]], tail_s: float) -> None:
        """Start all, play the scenario, let some time pass, end all."""
        try:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.discovery.run)
                for site in self.sites.values():
                    await self.start_site(site)
                    self.discovery.endpoints[site.ident] = site.endpoint
                await self.start_program()
                for client in self.clients:
                    self.nursery.start_soon(client.run)
                for _ in range(self.crowd):
                    self.nursery.start_soon(self.loiter)
                self.nursery.start_soon(self.keep_traces)
                self.nursery.start_soon(self.watch_itself)
                await trio.sleep(SETTLE_S)
                await scenario(self)
                await trio.sleep(tail_s)
                self.record.ended_us = now_us()
                self.discovery.settle()
                self.nursery.cancel_scope.cancel()
        finally:
            for site in (*self.sites.values(), *self.retired):
                site.close()
            self.program.send(signal.SIGUSR1)
            with trio.CancelScope(shield=True):
                await trio.sleep(0.2)
            self.program.close()

    async def start_site(self, site: Site) -> None:
        """Start an exchange, and its proxy."""
        site.start()
        self.nursery.start_soon(site.run)
        await site.wait_listening()
        self.nursery.start_soon(site.proxy.run)

    async def start_program(self) -> None:
        """Start a process of the program and wait until it passes a test."""
        self.discovery.start_anew()
        self.program.write_config(self.discovery.known())
        self.program.start()
        for site in (*self.sites.values(), *self.retired):
            site.proxy.process_number = self.program.current.number
        self.nursery.start_soon(self.program.watch_exit)
        with trio.move_on_after(10):
            while not await self.passes_test():
                await trio.sleep(0.02)
            self.program.current.ready_us = now_us()

    async def passes_test(self) -> bool:
        """Whether the program passes the front's test."""
        with contextlib.suppress(OSError), trio.socket.socket() as sock:
            await sock.connect(self.program.address)
            await sock.send(p.encode(p.HealthCheck(1)))
            with trio.move_on_after(0.5):
                for message in p.message_decoder().feed(await sock.recv(4096)):
                    return isinstance(message, p.HealthCheckResult) and message.passed
        return False

    async def keep_traces(self) -> None:
        """Have the program print its trace so often that none of it is lost."""
        while True:
            await trio.sleep(TRACE_EVERY_S)
            if self.program.current.ready_us:
                self.program.send(signal.SIGUSR1)

    async def watch_itself(self) -> None:
        """Measure by how much this process is late: on a busy machine its times are off by as much."""
        while True:
            before = now_us()
            await trio.sleep(WATCH_S)
            late = now_us() - before - int(WATCH_S * SECOND)
            self.record.stall_us = max(self.record.stall_us, late)

    async def loiter(self) -> None:
        """One connection of a crowd: idle, or half written."""
        while True:
            await trio.sleep(0.2)
            with contextlib.suppress(OSError), trio.socket.socket() as sock:
                await sock.connect(self.program.address)
                await sock.send(b"\x00")
                await sock.recv(1)

    def note(self, text: str) -> None:
        """Enter a fault in the record."""
        self.record.faults.append((now_us(), text))

    # --- faults: the program ---

    async def restart(self, further: Sequence[tuple[float, signal.Signals]] = ()) -> None:
        """SIGTERM; clients use open connections until the process is no more; then a new process at once.

        Further signals follow, each some seconds after the one before.
        """
        self.note(f"SIGTERM {' '.join(number.name for _, number in further)}".strip())
        self.nursery.start_soon(self._no_new_connections)
        self.nursery.start_soon(self._signals, further)
        await self.program.terminate()
        for client in self.clients:
            client.may_connect = True
        self.note("start")
        await self.start_program()

    async def _signals(self, series: Sequence[tuple[float, signal.Signals]]) -> None:
        process = self.program.current
        for pause_s, number in series:
            await trio.sleep(pause_s)
            if process is self.program.current:
                self.program.send(number)

    async def _no_new_connections(self) -> None:
        process = self.program.current
        await trio.sleep(NEW_CONNECTIONS_S)
        for client in self.clients:
            client.may_connect = process is not self.program.current or not process.terminated_us

    async def crash(self) -> None:
        """SIGKILL without a word, and a new process at once."""
        self.note("SIGKILL")
        await self.program.kill()
        self.note("start")
        await self.start_program()

    async def reconfigure(self, times: int, pause_s: float, shorter: bool) -> None:
        """New configurations in quick succession, one of them broken."""
        longest = self.record.longest_wait_us
        for k in range(times):
            self.note("SIGHUP")
            if k % 4 == 3 and self.program.current.ready_us:  # a process that starts is given a good one
                self.program.path.write_text("{")
            else:
                if shorter:
                    self.program.change_settings(longest if k % 2 else longest * 9 // 10)
                self.program.write_config(self.discovery.known())
            self.program.send(signal.SIGHUP)
            await trio.sleep(pause_s)
        self.program.change_settings(longest)
        self.program.write_config(self.discovery.known())
        self.program.send(signal.SIGHUP)

    # --- faults: discovery ---

    async def discovery_outage(self, kind: str, seconds: float) -> None:
        """Discovery refuses, is deaf or silent for a time."""
        self.note(f"discovery {kind} for {seconds:.1f} s")
        if kind == "silent":
            self.discovery.fall_silent()
        else:
            self.discovery.go_down(deaf=kind == "deaf")
        await trio.sleep(seconds)
        await self.discovery.come_back()
        self.note("discovery back")

    # --- faults: exchanges and the network to them ---

    async def partition(self, number: int, seconds: float) -> None:
        """The network to an exchange is cut for a time."""
        site = self.sites[number]
        self.note(f"network to {site.ident} cut for {seconds:.1f} s")
        site.proxy.cut()
        await trio.sleep(seconds)
        if site is self.sites[number]:
            site.proxy.heal()
            self.note(f"network to {site.ident} back")

    async def hang(self, number: int, seconds: float) -> None:
        """An exchange hangs for a time."""
        site = self.sites[number]
        self.note(f"{site.ident} hangs for {seconds:.1f} s")
        site.stop()
        await trio.sleep(seconds)
        site.resume()
        self.note(f"{site.ident} goes on")

    async def vanish(self, number: int, told_after_s: float, back_after_s: float, same_address: bool) -> None:
        """A machine vanishes; discovery hears of it later, and another takes its place."""
        site = self.sites[number]
        if site.ended:
            return
        self.note(f"{site.ident} vanishes")
        site.proxy.lose_machine()
        site.kill()
        await self._replace(site, told_after_s, back_after_s, same_address)

    async def die(self, number: int, told_after_s: float, back_after_s: float, same_address: bool) -> None:
        """The process of an exchange dies: resets, refusals; another takes its place."""
        site = self.sites[number]
        if site.ended:
            return
        self.note(f"{site.ident} dies")
        site.kill()
        site.proxy.refuse()
        site.proxy.break_some(1.0, abort=True)
        await self._replace(site, told_after_s, back_after_s, same_address)

    async def _replace(self, old: Site, told_after_s: float, back_after_s: float, same_address: bool) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell_gone, old, told_after_s)
            await trio.sleep(back_after_s)
            await self._new_site(old, same_address)

    async def _tell_gone(self, old: Site, after_s: float) -> None:
        await trio.sleep(after_s)
        self.discovery.set_state(old.ident, "gone")
        self.note(f"discovery has {old.ident} gone")

    async def _new_site(self, old: Site, same_address: bool) -> None:
        self.next_ident += 1
        port = old.proxy.port if same_address else free_port(self.host)
        new = Site(self.next_ident, old.number, port, self.options, self.record)
        self.retired.append(old)
        if same_address:
            new.start()
            self.nursery.start_soon(new.run)
            await new.wait_listening()
            target, new.proxy = new.proxy.target, old.proxy
            new.proxy.exchange = new.ident
            if new.proxy.listener.is_closed:
                await new.proxy.listen_again()
            new.proxy.new_machine(target)
        else:
            await self.start_site(new)
            new.proxy.process_number = self.program.current.number
        self.sites[old.number] = new
        self.discovery.publish(new.endpoint)
        self.note(f"{new.ident} in place of {old.ident}, {'same' if same_address else 'another'} address")

    async def drain(self, number: int, gone_after_s: float, same_address: bool) -> None:
        """An exchange drains, then is replaced."""
        site = self.sites[number]
        self.note(f"{site.ident} drains")
        self.discovery.set_state(site.ident, "draining")
        await trio.sleep(gone_after_s)
        await self.die(number, 0.0, 0.3, same_address)

    async def delay_connects(self, number: int, seconds: float) -> None:
        """Connects to an exchange come up late, by the network's repeats."""
        site = self.sites[number]
        self.note(f"connects to {site.ident} late for {seconds:.1f} s")
        site.proxy.listener.suspend()
        await trio.sleep(seconds)
        if site is self.sites[number]:
            site.proxy.listener.resume()

    def break_links(self, number: int, share: float, how: str) -> None:
        """Some connections to an exchange are reset, closed or forgotten."""
        self.note(f"{share:.0%} of the links to {self.sites[number].ident}: {how}")
        proxy = self.sites[number].proxy
        if how == "forget":
            proxy.forget_some(share)
        elif how == "halve":
            proxy.halve_some(share)
        else:
            proxy.break_some(share, abort=how == "reset")

    def spoil(self, **changes: float) -> None:
        """Have the exchanges act otherwise from now on."""
        self.note(f"exchanges: {changes}")
        self.options = replace(self.options, **changes)  # type: ignore[arg-type]
        for site in self.sites.values():
            site.change(self.options)


def new_record(seed: int, longest_wait_us: int) -> Record:
    """An empty record with the figures of the rules."""
    return Record(seed, longest_wait_us, 4, 300_000, 2 * SECOND)
