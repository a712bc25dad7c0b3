"""Structured log lines on standard output: bounded, and never in the way."""

from __future__ import annotations

import sys
import time
from typing import Any

import logbook
import msgspec

from rattanwing import events
from rattanwing.util.log_output import LineLimiter, NonBlockingOutput


class BoundedHandler(logbook.Handler):
    """Writes JSON lines with a bounded volume, and never blocks.

    :param process: name of the process; added to each line.
    """

    def __init__(self, descriptor: int, process: str, level: str) -> None:
        super().__init__(level=level.upper())
        self.process = process
        self.output = NonBlockingOutput(descriptor)
        self.limiter = LineLimiter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one line, unless too many of its event were written lately."""
        now = time.monotonic()
        report = self.limiter.take_suppressed(now)
        if report or self.output.dropped:
            left_out = {str(number): count for number, count in report.items()}
            dropped, self.output.dropped = self.output.dropped, 0
            self.write_line(
                {
                    "time": record.time.isoformat(timespec="milliseconds"),
                    "level": "warning",
                    "event": events.LOG_LINES_DROPPED.number,
                    "text": events.LOG_LINES_DROPPED.text,
                    "by_event": left_out,
                    "unread": dropped,
                }
            )
        number = record.extra.get("number", 0)
        if self.limiter.allows(number, now):
            self.write_line(
                {
                    "time": record.time.isoformat(timespec="milliseconds"),
                    "level": record.level_name.lower(),
                    "event": number,
                    "text": record.message,
                    **{k: v for k, v in record.extra.items() if k != "number"},
                }
            )

    def write_line(self, fields: dict[str, Any]) -> None:
        """Write one JSON object."""
        fields["process"] = self.process
        self.output.write(msgspec.json.encode(fields, enc_hook=str) + b"\n")


def configure_bounded(process: str, level: str) -> None:
    """Send JSON lines to standard output, bounded and without blocking."""
    handler = BoundedHandler(sys.stdout.fileno(), process, level)
    handler.push_application()
