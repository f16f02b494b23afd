"""The command `latchturn` with its sub-commands and their common options.

Exit codes: 0 success; 1 a checked property does not hold; 2 wrong usage or an invalid file; 3 the time limit was
reached before there was a result.
"""

from __future__ import annotations

import sys

import click

from .check import check
from .logs import configure_logging


@click.group()
@click.option("--json-log", is_flag=True, help="Write log lines as JSON.")
@click.version_option(package_name="latchturn", prog_name="latchturn")
def main(json_log: bool) -> None:
    """latchturn: a session controller and its tools."""
    configure_logging(json_log)


main.add_command(check)

if __name__ == "__main__":
    sys.exit(main())
