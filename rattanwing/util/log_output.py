"""Log lines that never block and whose volume is bounded."""

from __future__ import annotations

import os
from collections import deque

LINES_PER_SECOND = 150
"""Lines of one event in one second; some ten times an entry's usual rate of the
busiest event, so only a flood is cut."""

BUFFER_BYTES = 256 * 1024
"""Bytes that wait for a reader of standard output; a few seconds of lines."""


class LineLimiter:
    """Counts the lines of each event within a second.

    :param suppressed: by event number, the lines left out since the last report.
    """

    __slots__ = ("second", "counts", "suppressed")

    def __init__(self) -> None:
        self.second = 0
        self.counts: dict[int, int] = {}
        self.suppressed: dict[int, int] = {}

    def allows(self, number: int, now: float) -> bool:
        """Return whether a line of an event may be written at ``now``."""
        if int(now) != self.second:
            self.second = int(now)
            self.counts.clear()
        count = self.counts.get(number, 0) + 1
        self.counts[number] = count
        if count <= LINES_PER_SECOND:
            return True
        self.suppressed[number] = self.suppressed.get(number, 0) + 1
        return False

    def take_suppressed(self, now: float) -> dict[int, int]:
        """Return what was left out, once the second in which it was is over."""
        if not self.suppressed or int(now) == self.second:
            return {}
        report, self.suppressed = self.suppressed, {}
        return report


class NonBlockingOutput:
    """Writes lines to a descriptor; lines that nobody reads are dropped.

    :param dropped: number of lines that were dropped.
    """

    __slots__ = ("descriptor", "pending", "pending_bytes", "dropped")

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or keep it until the reader has made room."""
        if self.pending_bytes + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self.pending.append(line)
            self.pending_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as it goes without blocking."""
        while self.pending:
            line = self.pending[0]
            try:
                written = os.write(self.descriptor, line)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.dropped += len(self.pending)
                self.pending.clear()
                self.pending_bytes = 0
                return
            self.pending_bytes -= written
            if written < len(line):
                self.pending[0] = line[written:]
                return
            self.pending.popleft()
