"""One exchange of a trial: its process, its proxy, and its reports of calls, which go into the record."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from dataclasses import asdict
from typing import IO

import trio

from .clock import now_us
from .discovery import Endpoint
from .exchange import ExchangeOptions, answer_description
from .program import ROOT
from .proxy import Proxy
from .record import Record, StandingCall
from .sockets import free_port, loopback_address


class Site:
    """One exchange with the id and the address that discovery publishes; a replacement is another site."""

    def __init__(
        self, exchange_id: int, exchange_number: int, port: int, options: ExchangeOptions, record: Record
    ) -> None:
        self.exchange_id = exchange_id
        self.exchange_number = exchange_number
        self.options = options
        self.record = record
        self.proxy = Proxy(
            exchange_id, port, free_port(loopback_address(record.seed)), record, record.seed + exchange_id
        )
        self.process: subprocess.Popen[str] | None = None
        self.killed = False

    @property
    def endpoint(self) -> Endpoint:
        """The entry of the exchange in the list while it is ready."""
        return Endpoint(self.exchange_id, self.exchange_number, self.proxy.host, self.proxy.port)

    def start(self) -> None:
        """Start the process of the exchange."""
        arguments = [
            self.proxy.host,
            str(self.proxy.target),
            json.dumps(asdict(self.options)),
            str(self.record.seed + self.exchange_id),
        ]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "rig.exchange", *arguments],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, cwd=ROOT,
        )  # fmt: skip

    async def read_reports(self) -> None:
        """Read the reports of the exchange until its process ends."""
        assert self.process is not None and self.process.stdout is not None
        output: IO[str] = self.process.stdout
        while line := await trio.to_thread.run_sync(output.readline, abandon_on_cancel=True):
            self.handle_report(json.loads(line))

    async def wait_listening(self) -> None:
        """Wait until the exchange accepts connections."""
        while True:
            with trio.socket.socket() as sock:
                try:
                    await sock.connect((self.proxy.host, self.proxy.target))
                    return
                except OSError:
                    await trio.sleep(0.02)

    def handle_report(self, report: dict[str, object]) -> None:
        """Enter one reported event in the record."""
        at_us, event, call_id = int(str(report["at"])), report["event"], int(str(report["call"]))
        key = (self.exchange_id, call_id)
        if event == "told" and key in self.record.standing:
            self.record.standing[key].end_sent_on.append(self.proxy.describe(int(str(report["port"]))))
        elif event == "answered":
            answer = answer_description(int(str(report["port"])), call_id)
            self.record.standing[key] = StandingCall(call_id, self.exchange_id, at_us, answer)
        elif event in ("ended", "released") and key in self.record.standing:
            standing = self.record.standing[key]
            standing.ended_us = standing.ended_us or at_us
            standing.released_by_program = event == "released"

    def change_options(self, options: ExchangeOptions) -> None:
        """Send new options to the exchange."""
        self.options = options
        if self.process is not None and self.process.stdin is not None and self.process.poll() is None:
            self.process.stdin.write(json.dumps(asdict(options)) + "\n")
            self.process.stdin.flush()

    def pause_process(self) -> None:
        """Send SIGSTOP: the process hangs, and its connections stay open."""
        self._send_signal(signal.SIGSTOP)

    def resume_process(self) -> None:
        """Send SIGCONT: the process runs again."""
        self._send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Send SIGKILL and record the end of all calls that stood at the exchange."""
        self.killed = True
        self._send_signal(signal.SIGKILL)
        now = now_us()
        for (exchange, _), standing in self.record.standing.items():
            if exchange == self.exchange_id and not standing.ended_us:
                standing.ended_us = now

    def _send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def close(self) -> None:
        """End the process and close its pipes."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            for stream in (self.process.stdin, self.process.stdout):
                if stream is not None:
                    stream.close()
