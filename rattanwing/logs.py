"""Structured logs on standard output, with a bounded rate and without blocking."""

from __future__ import annotations

import sys
import time
from typing import Any

import logbook
import msgspec

from rattanwing import events
from rattanwing.util.log_output import LineLimiter, NonBlockingOutput


class BoundedHandler(logbook.Handler):
    """Writes JSON lines at a bounded rate and never blocks.

    :param descriptor: file descriptor to write to.
    :param process: name of the process; added to each line.
    :param level: name of the lowest logbook level that is written.
    """

    def __init__(self, descriptor: int, process: str, level: str) -> None:
        super().__init__(level=level.upper())
        self.process = process
        self.output = NonBlockingOutput(descriptor)
        self.limiter = LineLimiter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one line unless its event has reached its rate limit.

        Lines that were dropped since the last report are reported first.
        """
        now = time.monotonic()
        suppressed = self.limiter.take_suppressed(now)
        if suppressed or self.output.dropped:
            by_event = {str(number): count for number, count in suppressed.items()}
            dropped, self.output.dropped = self.output.dropped, 0
            self.write_line(
                {
                    "time": record.time.isoformat(timespec="milliseconds"),
                    "level": "warning",
                    "event": events.LOG_LINES_DROPPED.number,
                    "text": events.LOG_LINES_DROPPED.text,
                    "by_event": by_event,
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
        """Write one JSON object with the name of the process."""
        fields["process"] = self.process
        self.output.write(msgspec.json.encode(fields, enc_hook=str) + b"\n")


def configure_bounded(process: str, level: str) -> None:
    """Write JSON lines to standard output at a bounded rate and without blocking."""
    handler = BoundedHandler(sys.stdout.fileno(), process, level)
    handler.push_application()
