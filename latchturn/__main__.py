"""The program: reads the configuration that GW_CONFIG names, runs, and ends with an exit code.

Owns the order of start and end and the exit codes: 0 after SIGTERM, 2 for a configuration that
cannot be used. It must hold nothing else.
"""

from __future__ import annotations

from . import early_signals

early_signals.hold()  # before the imports below, which take a third of a second

import os
import sys
from collections.abc import Mapping
from dataclasses import replace

import trio

from .benchlink import SettingsError, read_settings
from .brain import validate
from .interface import Settings
from .net import Server, flush_log, log
from .protocol import Config, ConfigError, parse_address, read_config
from .session import Session


def read(path: str) -> tuple[Config, Settings]:
    """The configuration in a file and its settings; ConfigError says what is wrong with it."""
    config = read_config(path)
    try:
        settings = read_settings(config.settings)[0]
        validate(settings)
        return config, settings
    except (SettingsError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def with_admin_address(config: Config, environ: Mapping[str, str]) -> Config:
    """The configuration with the admin address that the environment names, if the file names none."""
    admin = environ.get("GW_ADMIN_ADDR")
    return config if config.admin or not admin else replace(config, admin=parse_address(admin))


def main() -> int:
    """Run one session controller until it is told to end."""
    path = os.environ.get("GW_CONFIG", "")
    try:
        if not path:
            raise ConfigError("GW_CONFIG names no file")
        config, settings = read(path)
        config = with_admin_address(config, os.environ)
        reducer = Session(settings, config.seed, config.sockets)
    except (ConfigError, ValueError) as error:
        print(f"latchturn: {error}", file=sys.stderr)
        return 2
    server = Server(config, reducer, lambda: read(path))
    try:
        trio.run(server.run, instruments=[server.poll_monitor])
    finally:
        early_signals.ignore()
        log(server.counters_line(), always=True)
        flush_log()
    return 0


if __name__ == "__main__":
    sys.exit(main())
