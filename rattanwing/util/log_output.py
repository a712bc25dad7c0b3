"""Rate limit and non-blocking output for log lines."""

from __future__ import annotations

import os
from collections import deque

LINES_PER_SECOND = 150
"""Maximum lines of one event per second. This is about ten times the rate at which
an entry usually writes its most frequent event, so only bursts are limited."""

BUFFER_BYTES = 256 * 1024
"""Maximum bytes that are buffered while standard output can't be written; holds
the lines of a few seconds."""


class LineLimiter:
    """Limits each event to ``LINES_PER_SECOND`` log lines.

    :param second: the second of the monotonic clock that ``counts`` belongs to.
    :param counts: lines in this second, by event number.
    :param suppressed: lines dropped since the last report, by event number.
    """

    __slots__ = ("second", "counts", "suppressed")

    def __init__(self) -> None:
        self.second = 0
        self.counts: dict[int, int] = {}
        self.suppressed: dict[int, int] = {}

    def allows(self, number: int, now: float) -> bool:
        """Count a line of an event and return whether it may be written."""
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
        """Return and reset the number of dropped lines by event number.

        Returns an empty dictionary until the second of the last counted line is over.
        """
        if not self.suppressed or int(now) == self.second:
            return {}
        report, self.suppressed = self.suppressed, {}
        return report


class NonBlockingOutput:
    """Writes lines to a file descriptor; drops lines when its buffer is full.

    :param pending: lines that are not completely written yet.
    :param dropped: number of lines dropped since the last report.
    """

    __slots__ = ("descriptor", "pending", "pending_bytes", "dropped")

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, buffer it if writing would block, or drop it."""
        if self.pending_bytes + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self.pending.append(line)
            self.pending_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking.

        If the descriptor can't be written at all, the buffered lines are dropped.
        """
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
