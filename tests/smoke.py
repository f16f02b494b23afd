"""Starts the program with the `run` command of the deploy file, sets up one call, and ends the program with SIGTERM."""

from __future__ import annotations

import signal
import tomllib
from pathlib import Path

from latchturn import protocol as p

from .helpers import Program, set_up


def main() -> None:
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
    with Program(command=deploy["run"]) as program:
        caller, link = program.caller(), program.links[1]
        caller.send(p.HealthCheck(1), set_up(2))
        assert caller.next() == p.HealthCheckResult(1, True)
        assert isinstance(link.next(), p.SetUp)
        link.send(p.Answer(2, b"description"))
        assert caller.next() == p.Answer(2, b"description")
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(10) == 0
    print("the program sets up a call and exits on SIGTERM")


if __name__ == "__main__":
    main()
