"""How fast filling tasks may work beside serving tasks on one host.

Load: a serving task's tail latency rises within seconds when its own load
swings or when fillers press on the caches and memory they share. Its figure
lags half a second. Fillers are slowed at once and sped up step by step.
"""

from __future__ import annotations

import msgspec

FULL_PERCENT = 100

SLOW_ABOVE = 0.85
"""Share of the target above which fillers are slowed: below 1, for the figure
lags by half a second."""

RELEASE_BELOW = 0.6
"""Share of the target below which fillers are sped up; the gap to
``SLOW_ABOVE`` keeps the pace from swinging."""

SLOW_FACTOR = 0.5
"""Each step halves the pace, so that four steps stop most of the pressure well
within the platform's ``harm_ms`` (4 s)."""

STOP_BELOW_PERCENT = 20
"""A pace under this becomes 0."""

RELEASE_STEP_PERCENT = 15
"""Added in each step while the tail is low."""

STEP_INTERVAL_S = 0.5
"""The figures are averages of half a second; faster steps would act twice on one."""


class ServingLoad(msgspec.Struct):
    """A serving task's newest tail latency and its bound, in ms."""

    tail_ms: int
    target_ms: int


class FillerPacer:
    """Decides one pace for all fillers of a host."""

    __slots__ = ("percent", "stepped_at")

    def __init__(self) -> None:
        self.percent = FULL_PERCENT
        self.stepped_at = 0.0

    def decide(self, serving: list[ServingLoad], now: float) -> int:
        """Return the pace in percent that fillers should have."""
        if not serving:
            self.percent = FULL_PERCENT
            return self.percent
        if now - self.stepped_at < STEP_INTERVAL_S:
            return self.percent
        worst = max(load.tail_ms / load.target_ms for load in serving)
        if worst > SLOW_ABOVE:
            self.percent = int(self.percent * SLOW_FACTOR)
            if self.percent < STOP_BELOW_PERCENT:
                self.percent = 0
            self.stepped_at = now
        elif worst < RELEASE_BELOW and self.percent < FULL_PERCENT:
            self.percent = min(FULL_PERCENT, self.percent + RELEASE_STEP_PERCENT)
            self.stepped_at = now
        return self.percent
