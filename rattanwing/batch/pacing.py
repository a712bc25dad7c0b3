"""How fast filling tasks may work beside serving tasks on one host.

Load: a serving task's tail swings with its own load, and rises within seconds
where a filler that presses on it works beside it; the figure lags half a second.
Most pairs of images do not press on each other, so slowing every filler at each
high tail stops the batch work and helps nobody. Those that are known to press, and
those of which nothing is known, are slowed; the rest work on, unless the tail
stays high.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from rattanwing.batch.pressure import CORES

if TYPE_CHECKING:
    from collections.abc import Hashable

FULL_PERCENT = 100

SLOW_ABOVE = 0.7
"""Share of the target above which pressing fillers are slowed: below 1, for the
figure lags by half a second."""

RELEASE_BELOW = 0.6
"""Share of the target that a tail may reach by a filler's speeding up; the gap to
``SLOW_ABOVE`` keeps the pace from swinging."""

PRESSES_ABOVE = 0.03
"""Share of the target from which a filler counts as pressing: the tails swing by
more than this without any filler."""

SLOW_FACTOR = 0.5
"""Each step halves the pace, so that four steps stop most of the pressure."""

STOP_BELOW_PERCENT = 20
"""A pace under this becomes 0."""

RELEASE_STEP_PERCENT = 20
"""Added in each step while the tails are low."""

STEP_INTERVAL_S = 0.5
"""The figures are averages of half a second; faster steps would act twice on one."""

STOP_ALL_AFTER_S = 1.8
"""Every filler stops beside a task that is over its target for so long: half of
the platform's ``harm_ms`` (4 s), less the lag."""


class ServingLoad(msgspec.Struct):
    """A serving task's newest tail latency and its bound, in ms."""

    image: str
    tail_ms: int
    target_ms: int

    @property
    def ratio(self) -> float:
        """Return the tail as a share of the target."""
        return self.tail_ms / self.target_ms


class Filler(msgspec.Struct):
    """A filling run: thousandths of a core, and its pace in percent."""

    image: str
    cpu: int
    percent: int


class FillerPacer:
    """Decides the pace of each filler of a host.

    :param per_core: by serving and filling image, the share of the target that
        one core adds; pairs that are missing are not known.
    :param over_since: since when some serving task has been over its target.
    """

    __slots__ = ("per_core", "stepped_at", "over_since")

    def __init__(self) -> None:
        self.per_core: dict[tuple[str, str], float] = {}
        self.stepped_at = 0.0
        self.over_since: float | None = None

    def take_pressures(self, rows: list[tuple[str, str, float]]) -> None:
        """Replace what is known of the pairs."""
        self.per_core = {(serving, filler): share for serving, filler, share in rows}

    def pressure(self, load: ServingLoad, filler: Filler) -> float | None:
        """Return what a filler adds at full pace; ``None`` if it is not known."""
        per_core = self.per_core.get((load.image, filler.image))
        return None if per_core is None else per_core * filler.cpu / CORES

    def decide(
        self,
        serving: list[ServingLoad],
        fillers: dict[Hashable, Filler],
        now: float,
    ) -> dict[Hashable, int]:
        """Return the new paces of those fillers whose pace is to change."""
        if now - self.stepped_at < STEP_INTERVAL_S:
            return {}
        self.stepped_at = now
        over = any(load.ratio > 1 for load in serving)
        if not over:
            self.over_since = None
        elif self.over_since is None:
            self.over_since = now
        stop_all = over and now - self.over_since >= STOP_ALL_AFTER_S
        paces = {
            key: 0 if stop_all else self.next_pace(filler, serving)
            for key, filler in fillers.items()
        }
        return {k: pace for k, pace in paces.items() if pace != fillers[k].percent}

    def next_pace(self, filler: Filler, serving: list[ServingLoad]) -> int:
        """Return the next pace of one filler."""
        if any(self.must_slow(load, filler) for load in serving):
            percent = int(filler.percent * SLOW_FACTOR)
            return percent if percent >= STOP_BELOW_PERCENT else 0
        if all(self.may_speed_up(load, filler) for load in serving):
            return min(FULL_PERCENT, filler.percent + RELEASE_STEP_PERCENT)
        return filler.percent

    def must_slow(self, load: ServingLoad, filler: Filler) -> bool:
        """Return whether a filler is to be slowed for a serving task."""
        if load.ratio <= SLOW_ABOVE:
            return False
        pressure = self.pressure(load, filler)
        return pressure is None or pressure > PRESSES_ABOVE

    def may_speed_up(self, load: ServingLoad, filler: Filler) -> bool:
        """Return whether a serving task bears a filler's next step."""
        pressure = self.pressure(load, filler)
        if pressure is None:
            return load.ratio <= RELEASE_BELOW
        added = pressure * RELEASE_STEP_PERCENT / FULL_PERCENT
        if pressure <= PRESSES_ABOVE:
            return load.ratio <= 1
        return load.ratio + added <= RELEASE_BELOW
