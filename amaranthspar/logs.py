"""Structured logs: JSON lines, or aligned text on a terminal."""

import logging
import sys
from typing import Any

import structlog


def set_up_logs(level: int = logging.INFO) -> None:
    """Configure the logs of this process.

    Args:
        level: Lowest level that is written.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if sys.stderr.isatty():
        renderer = structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def get_logger(process: str) -> Any:
    """Return a logger that names its process.

    Args:
        process: Process name.
    """
    return structlog.get_logger().bind(process=process)
