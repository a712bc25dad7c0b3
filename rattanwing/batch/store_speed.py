"""Finds out whether the store is slow, from the calls that an entry makes anyway."""

from __future__ import annotations

from rattanwing import events

SLOW_CALL_S = 0.15
"""A call that takes longer than this, in seconds, beyond what it was asked to wait,
shows that the store is slow. It usually takes a round trip between failure domains."""

SLOW_FOR_S = 2.0
"""Time in seconds for which the store counts as slow after such a call; a reader makes
one at least every second."""


class StoreSpeed:
    """What the recent calls of one entry show.

    :param slow_until: until when the store counts as slow.
    """

    __slots__ = ("slow_until",)

    def __init__(self) -> None:
        self.slow_until = float("-inf")

    def record(self, duration_s: float, now: float) -> None:
        """Record how long a call took beyond what it was asked to wait."""
        if duration_s <= SLOW_CALL_S:
            return
        if not self.is_slow(now):
            events.write(events.STORE_SLOW, took_s=round(duration_s, 3))
        self.slow_until = now + SLOW_FOR_S

    def is_slow(self, now: float) -> bool:
        """Return whether a recent call took long."""
        return now < self.slow_until
