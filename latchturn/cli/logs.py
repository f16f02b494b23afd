"""Structured logging of the commands to standard error, as plain text or as JSON."""

from __future__ import annotations

import sys

import structlog


def configure_logging(as_json: bool) -> None:
    """Configure the logging of the process."""
    text_renderer: structlog.types.Processor = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer() if as_json else text_renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
