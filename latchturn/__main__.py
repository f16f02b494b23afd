"""The program: reads the configuration file that GW_CONFIG names and runs a session controller.

This module only defines the order of the start and the end and the exit codes: 0 after SIGTERM, 2 for an invalid
configuration.
"""

from __future__ import annotations

from . import early_signals

early_signals.record()  # before the imports below, which take about 0.3 s

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


def read_config_and_settings(path: str) -> tuple[Config, Settings]:
    """Read the configuration and its settings from a file; raises ConfigError if they are invalid."""
    config = read_config(path)
    try:
        settings = read_settings(config.settings)[0]
        validate(settings)
        return config, settings
    except (SettingsError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def with_admin_address(config: Config, environ: Mapping[str, str]) -> Config:
    """Return the configuration, with the admin address from the environment if the file names none."""
    admin = environ.get("GW_ADMIN_ADDR")
    return config if config.admin or not admin else replace(config, admin=parse_address(admin))


def main() -> int:
    """Run one session controller until a signal ends it; return the exit code."""
    path = os.environ.get("GW_CONFIG", "")
    try:
        if not path:
            raise ConfigError("GW_CONFIG is not set or empty")
        config, settings = read_config_and_settings(path)
        config = with_admin_address(config, os.environ)
        reducer = Session(settings, config.seed, config.sockets)
    except (ConfigError, ValueError) as error:
        print(f"latchturn: {error}", file=sys.stderr)
        return 2
    server = Server(config, reducer, lambda: read_config_and_settings(path))
    try:
        trio.run(server.run, instruments=[server.poll_monitor])
    finally:
        early_signals.ignore()
        log(server.counters_line(), always=True)
        flush_log()
    return 0


if __name__ == "__main__":
    sys.exit(main())
