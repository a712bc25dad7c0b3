"""Tells announcements of the executor that is there from late and false ones."""

from __future__ import annotations

from collections import deque

MAX_EXITED = 16
"""Number of exited incarnations that are remembered."""


class AnnouncementOrder:
    """The order of the announcements on one host.

    :param newest: start and number of the newest announcement that was accepted.
    :param exited: the last incarnations that have exited.
    """

    __slots__ = ("newest", "exited")

    def __init__(self) -> None:
        self.newest = (0, 0)
        self.exited: deque[str] = deque(maxlen=MAX_EXITED)

    def accept(self, incarnation: str, started_at_ms: int, number: int) -> bool:
        """Return whether an announcement is newer than all before, and record it.

        :param started_at_ms: Unix time at which the incarnation started.
        :param number: number of the announcement among those of the incarnation.
        """
        if incarnation in self.exited or (started_at_ms, number) <= self.newest:
            return False
        self.newest = started_at_ms, number
        return True

    def record_exit(self, incarnation: str) -> None:
        """Record that an incarnation is no longer there.

        Its successor may have an earlier start: the announcement may have been false,
        or the clock set back.
        """
        if incarnation not in self.exited:
            self.exited.append(incarnation)
            self.newest = (0, 0)
