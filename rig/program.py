"""The program under test: its successive processes, their configuration, signals and logs."""

from __future__ import annotations

import copy
import json
import os
import resource
import signal
import subprocess
import tempfile
import tomllib
from collections.abc import Mapping
from pathlib import Path

import trio

from .clock import MILLISECOND, SECOND, now_us
from .record import Process, Record
from .sockets import loopback_address

ROOT = Path(__file__).parent.parent
CLASS_NAMES = ("premium quote", "renewal quote")
TENANT = "acme"
MAX_WAIT_BEFORE_KILL_US = 3 * SECOND  # a longer wait of callers does not delay SIGKILL further
KILL_MARGIN_US = 700 * MILLISECOND  # between the end of the wait and SIGKILL
READY_TIMEOUT_S = 10.0


def settings(longest_wait_us: int, max_attempts: int) -> dict[str, object]:
    """Return settings in the form of the configuration file; callers of the second class wait half as long."""
    grades = [
        {
            "give-up-us": longest_wait_us // (1 + k), "importance": 1.0, "late-value": 0.1, "name": name,
            "objective-us": max(100_000, longest_wait_us // (3 + k)),
        }
        for k, name in enumerate(CLASS_NAMES)
    ]  # fmt: skip
    return {
        "allowed": {
            "connect-timeout-us": 500_000, "max-retry-after-us": 2_000_000, "retry-after": True,
            "send-cap": max_attempts,
        },
        "deductions": {"late-fail": 0.02},
        "discovery": "pushed",
        "family-info": {
            "class-hold-us": [5_000_000, 5_000_000], "own-exchange": 0, "release-us": 300_000, "resend-us": 0,
            "shape": "meshed", "skilled-pools": [], "widths": [1, 1],
        },
        "grades": grades,
        "instances": 4,
        "realms": [{"name": TENANT, "quota-per-s": 200.0, "share": 1.0}],
        "report": {"fields": ["spare", "total", "allowed"]},
        "rules": {
            "cold-from": 0.29, "fall-multiple": 2.5, "fall-us": 2_000_000,
            "stop-sending-within-us": 2_000_000, "warm-within-us": 15_000_000,
        },
    }  # fmt: skip


class Program:
    """The program at one address, run by one process at a time."""

    def __init__(self, record: Record, port: int, channel_port: int, sockets: int) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.command = deploy["run"]
        self.sockets = sockets
        self.record = record
        self.address = (loopback_address(record.seed), port)
        self.directory = tempfile.TemporaryDirectory()
        self.config_path = Path(self.directory.name) / "config.json"
        self.config: dict[str, object] = {
            "name": "n0", "listen": f"{self.address[0]}:{port}", "seed": f"{record.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "channel": f"{self.address[0]}:{channel_port}", "known": {},
            "settings": settings(record.longest_wait_us, record.max_attempts),
        }  # fmt: skip
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = Path(self.directory.name) / "log"

    @property
    def process_record(self) -> Process:
        """The record of the process that was started last."""
        return self.record.processes[-1]

    @property
    def kill_after_us(self) -> int:
        """The shortest time after SIGTERM at which SIGKILL may follow."""
        return min(self.record.longest_wait_us, MAX_WAIT_BEFORE_KILL_US) + KILL_MARGIN_US

    def write_config(self, known: Mapping[str, object]) -> None:
        """Replace the configuration file atomically."""
        self.config["known"] = known
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    def change_settings(self, longest_wait_us: int) -> None:
        """Set other waits, at most as long as those of the trial, for the next configuration file."""
        changed = copy.deepcopy(settings(longest_wait_us, self.record.max_attempts))
        self.config["settings"] = changed

    def start(self) -> None:
        """Start a process with the present configuration file."""
        self.record.processes.append(Process(len(self.record.processes) + 1, now_us()))
        environment = {**os.environ, "GW_CONFIG": str(self.config_path), "TMPDIR": self.directory.name}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command], env=environment, cwd=ROOT, stdout=log, stderr=log,
                preexec_fn=self.limit_descriptors,
            )  # fmt: skip

    def limit_descriptors(self) -> None:
        """Hold the present process to the descriptor limit of the configuration; called before the command runs."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets))

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_for_exit(self) -> None:
        """Wait until the process has ended, and record the time and the exit code."""
        process, entry = self.process, self.process_record
        assert process is not None
        while process.poll() is None:
            await trio.sleep(0.002)
        if not entry.exited_us:
            entry.exited_us = now_us()
            entry.exit_code = process.returncode

    async def terminate(self) -> None:
        """Send SIGTERM, then SIGKILL after `kill_after_us` if the process is still running."""
        entry = self.process_record
        entry.terminated_us = now_us()
        self.send_signal(signal.SIGTERM)
        with trio.move_on_after(self.kill_after_us / SECOND):
            await self.wait_for_exit()
        if not entry.exited_us:
            await self.kill()

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.process_record.killed_us = now_us()
        self.send_signal(signal.SIGKILL)
        await self.wait_for_exit()

    def count_descriptors(self) -> int:
        """Return how many file descriptors the process holds, 0 if it has ended."""
        try:
            return 0 if self.process is None else len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def close(self) -> None:
        """End the process, copy the log into the record and remove the files."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.record.processes:
            self.process_record.log = self.log_path.read_text(errors="replace")
        self.directory.cleanup()
