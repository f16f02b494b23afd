"""One trial: the program with simulated exchanges, discovery and clients, and the faults of a scenario."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

import trio

from latchturn import protocol as p

from .client import ABSENT_PROFILE, OCCASIONAL_PROFILE, PROFILES, CallIds, Client
from .clock import SECOND, now_us
from .discovery import Discovery
from .exchange import ExchangeOptions
from .program import Program
from .record import Record
from .site import Site
from .sockets import free_port, loopback_address

EXCHANGE_ID_BASE = 101  # the exchange with number n has the id EXCHANGE_ID_BASE + n; replacements follow from 202 on
CONNECTS_AFTER_SIGTERM_S = 0.3  # clients still open new connections for this time
TRACE_INTERVAL_S = 2.0  # between SIGUSR1, which prints the trace
STALL_PROBE_S = 0.01
DESCRIPTOR_INTERVAL_S = 0.1  # between two counts of the program's descriptors
SETTLE_S = 1.0  # between readiness and the first possible fault


class Trial:
    """The processes and sockets of one trial; scenarios are composed of the methods in the `faults` sections."""

    def __init__(
        self, record: Record, exchanges: int, clients: int, crowd: int, absent: int = 0, late_clients: int = 0
    ) -> None:
        self.record = record
        self.crowd = crowd
        self.host = loopback_address(record.seed)
        self.discovery = Discovery(free_port(self.host), record)
        self.program = Program(record, free_port(self.host), self.discovery.port, record.sockets)
        self.options = ExchangeOptions()
        self.sites = {
            number: Site(EXCHANGE_ID_BASE + number, number, free_port(self.host), self.options, record)
            for number in range(1, exchanges + 1)
        }
        self.retired: list[Site] = []
        self.last_replacement_id = EXCHANGE_ID_BASE + 100
        call_ids = CallIds(record.seed)
        self.clients = [
            Client(profile, self.program.address, record, call_ids, list(self.sites), record.seed * 100 + k)
            for k, profile in enumerate(
                [PROFILES[k % len(PROFILES)] for k in range(clients)] + [ABSENT_PROFILE] * absent
            )
        ]
        self.late_clients = [
            Client(OCCASIONAL_PROFILE, self.program.address, record, call_ids, list(self.sites), record.seed * 100 + k)
            for k in range(len(self.clients), len(self.clients) + late_clients)
        ]
        self.nursery: trio.Nursery

    # --- life cycle of a trial ---

    async def run(self, scenario: Callable[[Trial], Awaitable[None]], quiet_s: float) -> None:
        """Start everything, play the scenario, wait for the quiet period, end everything."""
        try:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.discovery.run)
                for site in self.sites.values():
                    await self.start_site(site)
                    self.discovery.endpoints[site.exchange_id] = site.endpoint
                await self.start_program()
                for client in self.clients:
                    self.nursery.start_soon(client.run)
                for _ in range(self.crowd):
                    self.nursery.start_soon(self.hold_idle_connection)
                self.nursery.start_soon(self.request_traces)
                self.nursery.start_soon(self.measure_stalls)
                self.nursery.start_soon(self.watch_descriptors)
                await trio.sleep(SETTLE_S)
                await scenario(self)
                await trio.sleep(quiet_s)
                self.record.ended_us = now_us()
                self.discovery.record_events()
                self.nursery.cancel_scope.cancel()
        finally:
            for site in (*self.sites.values(), *self.retired):
                site.close()
            self.program.send_signal(signal.SIGUSR1)
            with trio.CancelScope(shield=True):
                await trio.sleep(0.2)
            self.program.close()

    async def start_site(self, site: Site) -> None:
        """Start an exchange and its proxy."""
        site.start()
        self.nursery.start_soon(site.read_reports)
        await site.wait_listening()
        self.nursery.start_soon(site.proxy.run)

    async def start_program(self) -> None:
        """Start a process of the program and wait until it passes a health check."""
        self.discovery.begin_process()
        self.program.write_config(self.discovery.known_events())
        self.program.start()
        for site in (*self.sites.values(), *self.retired):
            site.proxy.process_number = self.program.process_record.number
        self.nursery.start_soon(self.program.wait_for_exit)
        with trio.move_on_after(10):
            while not await self.passes_health_check():
                await trio.sleep(0.02)
            self.program.process_record.ready_us = now_us()

    async def passes_health_check(self) -> bool:
        """Whether the program passes the health check of the load balancer in front of it."""
        with contextlib.suppress(OSError), trio.socket.socket() as sock:
            await sock.connect(self.program.address)
            await sock.send(p.encode(p.HealthCheck(1)))
            with trio.move_on_after(0.5):
                for message in p.message_decoder().feed(await sock.recv(4096)):
                    return isinstance(message, p.HealthCheckResult) and message.passed
        return False

    async def request_traces(self) -> None:
        """Make the program print its trace, often enough that no entry is lost."""
        while True:
            await trio.sleep(TRACE_INTERVAL_S)
            if self.program.process_record.ready_us:
                self.program.send_signal(signal.SIGUSR1)

    async def measure_stalls(self) -> None:
        """Measure the delay of this event loop: on a busy machine the recorded times are off by as much."""
        while True:
            before = now_us()
            await trio.sleep(STALL_PROBE_S)
            late_us = now_us() - before - int(STALL_PROBE_S * SECOND)
            self.record.stall_us = max(self.record.stall_us, late_us)

    async def watch_descriptors(self) -> None:
        """Note the highest number of descriptors that the program is seen to hold."""
        while True:
            await trio.sleep(DESCRIPTOR_INTERVAL_S)
            self.record.most_descriptors = max(self.record.most_descriptors, self.program.count_descriptors())

    async def hold_idle_connection(self) -> None:
        """Hold one connection of a crowd, which has sent the first byte of a message and then stays idle."""
        while True:
            await trio.sleep(0.2)
            with contextlib.suppress(OSError), trio.socket.socket() as sock:
                await sock.connect(self.program.address)
                await sock.send(b"\x00")
                await sock.recv(1)

    def record_fault(self, text: str) -> None:
        """Enter the start or end of a fault in the record."""
        self.record.faults.append((now_us(), text))

    # --- load ---

    def start_late_clients(self) -> None:
        """Let the clients connect that were held back so far."""
        self.record_fault(f"{len(self.late_clients)} further clients connect")
        self.clients += self.late_clients
        for client in self.late_clients:
            self.nursery.start_soon(client.run)

    # --- faults: the program ---

    async def restart(self, further: Sequence[tuple[float, signal.Signals]] = ()) -> None:
        """Send SIGTERM and start a new process once the old one has ended.

        Until then clients use the connections that they have. The signals in `further` follow, each the given number of
        seconds after the one before.
        """
        self.record_fault(f"SIGTERM {' '.join(number.name for _, number in further)}".strip())
        self.nursery.start_soon(self._stop_new_connections)
        self.nursery.start_soon(self._send_signals, further)
        await self.program.terminate()
        for client in self.clients:
            client.may_connect = True
        self.record_fault("start")
        await self.start_program()

    async def _send_signals(self, series: Sequence[tuple[float, signal.Signals]]) -> None:
        process = self.program.process_record
        for pause_s, number in series:
            await trio.sleep(pause_s)
            if process is self.program.process_record:
                self.program.send_signal(number)

    async def _stop_new_connections(self) -> None:
        process = self.program.process_record
        await trio.sleep(CONNECTS_AFTER_SIGTERM_S)
        for client in self.clients:
            client.may_connect = process is not self.program.process_record or not process.terminated_us

    async def crash(self) -> None:
        """Send SIGKILL without SIGTERM before it, and start a new process at once."""
        self.record_fault("SIGKILL")
        await self.program.kill()
        self.record_fault("start")
        await self.start_program()

    async def reconfigure(self, times: int, pause_s: float, shorter: bool) -> None:
        """Write new configurations in quick succession, every fourth one invalid, with a SIGHUP after each."""
        longest_wait_us = self.record.longest_wait_us
        for k in range(times):
            self.record_fault("SIGHUP")
            if k % 4 == 3 and self.program.process_record.ready_us:  # a starting process gets a valid one
                self.program.config_path.write_text("{")
            else:
                if shorter:
                    self.program.change_settings(longest_wait_us if k % 2 else longest_wait_us * 9 // 10)
                self.program.write_config(self.discovery.known_events())
            self.program.send_signal(signal.SIGHUP)
            await trio.sleep(pause_s)
        self.program.change_settings(longest_wait_us)
        self.program.write_config(self.discovery.known_events())
        self.program.send_signal(signal.SIGHUP)

    # --- faults: discovery ---

    async def discovery_outage(self, kind: str, seconds: float) -> None:
        """Let discovery fail for a time.

        `refusing` refuses connects, `deaf` leaves them without a reply, `silent` accepts them and sends nothing.
        """
        self.record_fault(f"discovery {kind} for {seconds:.1f} s")
        if kind == "silent":
            self.discovery.stop_responding()
        else:
            self.discovery.start_outage(unresponsive=kind == "deaf")
        await trio.sleep(seconds)
        await self.discovery.end_outage()
        self.record_fault("discovery back")

    async def delay_discovery(self, transit_s: float) -> None:
        """Let everything that discovery sends arrive late from now on."""
        self.record_fault(f"frames of discovery arrive {transit_s:.1f} s late")
        self.discovery.delay_all_frames(transit_s)

    # --- faults: exchanges and the network to them ---

    async def partition(self, number: int, seconds: float) -> None:
        """Cut the network to an exchange for a time."""
        site = self.sites[number]
        self.record_fault(f"network to {site.exchange_id} cut for {seconds:.1f} s")
        site.proxy.cut_network()
        await trio.sleep(seconds)
        if site is self.sites[number]:
            site.proxy.restore_network()
            self.record_fault(f"network to {site.exchange_id} back")

    async def hang(self, number: int, seconds: float) -> None:
        """Let an exchange hang for a time."""
        site = self.sites[number]
        self.record_fault(f"{site.exchange_id} hangs for {seconds:.1f} s")
        site.pause_process()
        await trio.sleep(seconds)
        site.resume_process()
        self.record_fault(f"{site.exchange_id} resumes")

    async def vanish(self, number: int, gone_after_s: float, replaced_after_s: float, same_address: bool) -> None:
        """Let the host of an exchange vanish; discovery publishes this later, and another exchange replaces it."""
        site = self.sites[number]
        if site.killed:
            return
        self.record_fault(f"{site.exchange_id} vanishes")
        site.proxy.lose_host()
        site.kill()
        await self._replace(site, gone_after_s, replaced_after_s, same_address)

    async def die(self, number: int, gone_after_s: float, replaced_after_s: float, same_address: bool) -> None:
        """Kill an exchange: its connections are reset and connects refused, until another exchange replaces it."""
        site = self.sites[number]
        if site.killed:
            return
        self.record_fault(f"{site.exchange_id} dies")
        site.kill()
        site.proxy.stop_listening()
        site.proxy.close_some(1.0, abort=True)
        await self._replace(site, gone_after_s, replaced_after_s, same_address)

    async def _replace(self, old: Site, gone_after_s: float, replaced_after_s: float, same_address: bool) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._publish_gone, old, gone_after_s)
            await trio.sleep(replaced_after_s)
            await self._start_replacement(old, same_address)

    async def _publish_gone(self, old: Site, after_s: float) -> None:
        await trio.sleep(after_s)
        self.discovery.set_state(old.exchange_id, "gone")
        self.record_fault(f"discovery lists {old.exchange_id} as gone")

    async def _start_replacement(self, old: Site, same_address: bool) -> None:
        self.last_replacement_id += 1
        port = old.proxy.port if same_address else free_port(self.host)
        new = Site(self.last_replacement_id, old.exchange_number, port, self.options, self.record)
        self.retired.append(old)
        if same_address:
            new.start()
            self.nursery.start_soon(new.read_reports)
            await new.wait_listening()
            target, new.proxy = new.proxy.target, old.proxy
            new.proxy.exchange_id = new.exchange_id
            if new.proxy.listener.is_closed:
                await new.proxy.start_listening()
            new.proxy.replace_host(target)
        else:
            await self.start_site(new)
            new.proxy.process_number = self.program.process_record.number
        self.sites[old.exchange_number] = new
        self.discovery.publish(new.endpoint)
        self.record_fault(
            f"{new.exchange_id} in place of {old.exchange_id}, {'same' if same_address else 'another'} address"
        )

    async def drain(self, number: int, gone_after_s: float, same_address: bool) -> None:
        """Drain an exchange, then replace it."""
        site = self.sites[number]
        self.record_fault(f"{site.exchange_id} drains")
        self.discovery.set_state(site.exchange_id, "draining")
        await trio.sleep(gone_after_s)
        await self.die(number, 0.0, 0.3, same_address)

    async def delay_connects(self, number: int, seconds: float) -> None:
        """Delay connects to an exchange: they get no reply for a time and are established by a repeated SYN."""
        site = self.sites[number]
        self.record_fault(f"connects to {site.exchange_id} delayed for {seconds:.1f} s")
        site.proxy.listener.suspend()
        await trio.sleep(seconds)
        if site is self.sites[number]:
            site.proxy.listener.resume()

    def break_links(self, number: int, share: float, break_kind: str) -> None:
        """Break some links to an exchange.

        `reset` and `close` end them, `forget` keeps them open but passes nothing any more, and `halve` resets them
        towards the program only.
        """
        self.record_fault(f"{share:.0%} of the links to {self.sites[number].exchange_id}: {break_kind}")
        proxy = self.sites[number].proxy
        if break_kind == "forget":
            proxy.blackhole_some(share)
        elif break_kind == "halve":
            proxy.reset_program_side(share)
        else:
            proxy.close_some(share, abort=break_kind == "reset")

    def change_exchange_options(self, **changes: float) -> None:
        """Change the options of all exchanges, present and future."""
        self.record_fault(f"exchanges: {changes}")
        self.options = replace(self.options, **changes)  # type: ignore[arg-type]
        for site in self.sites.values():
            site.change_options(self.options)


def new_record(seed: int, longest_wait_us: int) -> Record:
    """Return an empty record with the limits that the rules use."""
    return Record(seed, longest_wait_us, 4, 300_000, 2 * SECOND)
