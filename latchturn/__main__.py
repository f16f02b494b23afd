"""The program: reads the configuration that GW_CONFIG names, runs, and ends with an exit code.

Owns the order of start and end and the exit codes: 0 after SIGTERM, 2 for a configuration that
cannot be used. It must hold nothing else.
"""

from __future__ import annotations

import os
import sys

import trio

from .benchlink import SettingsError, read_settings
from .net import Node, log
from .protocol import ConfigError, read_config
from .session import Session


def main() -> int:
    """Run one session controller until it is told to end."""
    try:
        path = os.environ.get("GW_CONFIG")
        if not path:
            raise ConfigError("GW_CONFIG names no file")
        config = read_config(path)
        settings, _ = read_settings(config.settings)
        core = Session(settings, config.seed, config.sockets)
    except (ConfigError, SettingsError, ValueError) as error:
        print(f"latchturn: {error}", file=sys.stderr)
        return 2
    node = Node(config, core)
    try:
        trio.run(node.run)
    finally:
        log(node.counters_line())
    return 0


if __name__ == "__main__":
    sys.exit(main())
