"""How fast filling tasks may work beside serving tasks on one host.

Load: a serving task's tail swings with its own load, and rises within seconds
where a filler that presses on it works beside it; the figure lags half a second.
Most pairs of images do not press on each other, so slowing every filler at each
high tail stops the batch work and helps nobody.

A task's headroom is its target over its tail: 1 at the target. Each core of a
filler that presses takes the same amount of it (:mod:`rattanwing.batch.pressure`).
Where headroom is short, the fillers that are known to press give back what is
missing, the one that takes most of it per core first; those of which nothing is
known are slowed only where that is not enough. The rest work on, unless a task
stays over its target.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from rattanwing.batch.pressure import CORES, PRESSES_ABOVE

if TYPE_CHECKING:
    from collections.abc import Hashable

FULL_PERCENT = 100

SLOW_BELOW = 1.5
"""Headroom under which pressing fillers are slowed: a tail of two thirds of the
target. Above 1, for a pace shows in the figures a second later, and a task's own load
takes up to 0.4 of headroom meanwhile."""

KEEP_HEADROOM = 2.0
"""Headroom that slowing aims at, and that a pressing filler's speeding up has to
leave; the gap to ``SLOW_BELOW`` is a second of a task's own change."""

UNKNOWN_SLOW_BELOW = 1.4
"""Headroom under which fillers of which nothing is known are slowed."""

UNKNOWN_KEEP_HEADROOM = 1.65
"""Headroom at which they are sped up: a task without fillers comes down to 1.7 at the
peak of its load, so that they wait only beside tasks that something presses on."""

FIGURES_AFTER_S = 0.8
"""A filler younger than this does not show in the tails yet: half a second of the
figure and a look."""

UNKNOWN_FACTOR = 0.5
"""Each step halves the pace of a filler of which nothing is known."""

STOP_BELOW_PERCENT = 15
"""A pace under this becomes 0."""

RELEASE_STEP_PERCENT = 25
"""Added in each step to the pace of a filler of which nothing is known."""

STEP_INTERVAL_S = 0.6
"""A pace is in force after 0.1 s and the figures are averages of half a second;
faster steps would act twice on one."""

STOP_ALL_AFTER_S = 1.8
"""Every filler stops beside a task that is over its target for so long: half of
the platform's ``harm_ms`` (4 s), less the lag."""


class ServingLoad(msgspec.Struct):
    """A serving task's newest tail latency and its bound, in ms."""

    image: str
    tail_ms: int
    target_ms: int

    @property
    def headroom(self) -> float:
        """Return the target over the tail; an idle task's tail is at least 1 ms."""
        return self.target_ms / max(1, self.tail_ms)


class Filler(msgspec.Struct):
    """A filling run.

    :param cpu: thousandths of a core.
    :param percent: its pace.
    :param age_s: since its start, in seconds.
    :param is_new: its pace was not decided yet; it runs at full pace so far.
    """

    image: str
    cpu: int
    percent: int
    age_s: float = FIGURES_AFTER_S
    is_new: bool = False


class FillerPacer:
    """Decides the pace of each filler of a host.

    :param per_core: by serving and filling image, the headroom that one core
        takes; pairs that are missing are not known.
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
        """Return the headroom that a filler takes at full pace.

        :returns: 0 for what does not press; ``None`` if it is not known.
        """
        per_core = self.per_core.get((load.image, filler.image))
        if per_core is None:
            return None
        taken = per_core * filler.cpu / CORES
        return taken if taken > PRESSES_ABOVE else 0.0

    def decide(
        self,
        serving: list[ServingLoad],
        fillers: dict[Hashable, Filler],
        now: float,
    ) -> dict[Hashable, int]:
        """Return the new paces of those fillers whose pace is to change.

        New ones are decided at once: several that start together beside a task would
        else take all of its headroom before a figure shows it.
        """
        new = {key for key, filler in fillers.items() if filler.is_new}
        if now - self.stepped_at < STEP_INTERVAL_S:
            paces = self.plan(serving, fillers, new, slows=False) if new else {}
            return changed(fillers, paces)
        self.stepped_at = now
        over = any(load.headroom < 1 for load in serving)
        if not over:
            self.over_since = None
        elif self.over_since is None:
            self.over_since = now
        if over and now - self.over_since >= STOP_ALL_AFTER_S:
            return changed(fillers, dict.fromkeys(fillers, 0.0))
        return changed(fillers, self.plan(serving, fillers, set(fillers), slows=True))

    def plan(
        self,
        serving: list[ServingLoad],
        fillers: dict[Hashable, Filler],
        chosen: set[Hashable],
        slows: bool,
    ) -> dict[Hashable, float]:
        """Return the pace of each chosen filler for the next step.

        :param slows: whether fillers may be slowed, too.
        """
        paces = {k: 0.0 if f.is_new else float(f.percent) for k, f in fillers.items()}
        slowed: set[Hashable] = set()
        for load in serving if slows else ():
            if load.headroom < SLOW_BELOW:
                slowed |= self.give_back(load, fillers, paces)
        left = {
            number: load.headroom - KEEP_HEADROOM - self.unseen(load, fillers)
            for number, load in enumerate(serving)
        }
        order = sorted(
            (key for key in fillers if key in chosen - slowed),
            key=lambda key: self.most_taken(serving, fillers[key]),
        )
        for key in order:
            paces[key] += self.speed_up(serving, fillers[key], paces[key], left)
        return {key: paces[key] for key in chosen}

    def unseen(self, load: ServingLoad, fillers: dict[Hashable, Filler]) -> float:
        """Return the headroom that young fillers take and no figure shows yet."""
        return sum(
            (self.pressure(load, filler) or 0.0) * filler.percent / FULL_PERCENT
            for filler in fillers.values()
            if not filler.is_new and filler.age_s < FIGURES_AFTER_S
        )

    def give_back(
        self,
        load: ServingLoad,
        fillers: dict[Hashable, Filler],
        paces: dict[Hashable, float],
    ) -> set[Hashable]:
        """Slow fillers until a serving task has its headroom; return which."""
        taken = {key: self.pressure(load, filler) for key, filler in fillers.items()}
        pressing = [key for key in fillers if taken[key]]
        missing = KEEP_HEADROOM - load.headroom
        for key in sorted(pressing, key=lambda key: -taken[key]):
            given = min(paces[key], missing / taken[key] * FULL_PERCENT)
            paces[key] -= given
            missing -= given * taken[key] / FULL_PERCENT
            if missing <= 0:
                return set(pressing)
        if load.headroom >= UNKNOWN_SLOW_BELOW:
            return set(pressing)
        unknown = [key for key in fillers if taken[key] is None]
        for key in unknown:
            paces[key] = min(paces[key], fillers[key].percent * UNKNOWN_FACTOR)
        return {*pressing, *unknown}

    def most_taken(self, serving: list[ServingLoad], filler: Filler) -> float:
        """Return the most that a filler takes from a task; unknown ones come last."""
        found = [self.pressure(load, filler) for load in serving]
        return max((1e9 if taken is None else taken for taken in found), default=0.0)

    def speed_up(
        self,
        serving: list[ServingLoad],
        filler: Filler,
        pace: float,
        left: dict[int, float],
    ) -> float:
        """Return what may be added to a filler's pace, and take it off ``left``.

        :param left: by the number of the serving task, its spare headroom.
        """
        added = FULL_PERCENT - pace
        taken = {i: self.pressure(load, filler) for i, load in enumerate(serving)}
        for i, pressure in taken.items():
            if pressure is None:
                bears = left[i] >= UNKNOWN_KEEP_HEADROOM - KEEP_HEADROOM
                added = min(added, RELEASE_STEP_PERCENT) if bears else 0.0
            elif pressure > 0:
                added = min(added, max(0.0, left[i] / pressure * FULL_PERCENT))
        for i, pressure in taken.items():
            left[i] -= (pressure or 0.0) * added / FULL_PERCENT
        return added


def changed(
    fillers: dict[Hashable, Filler], paces: dict[Hashable, float]
) -> dict[Hashable, int]:
    """Return the paces that differ from those in force."""
    steps = {key: to_percent(pace) for key, pace in paces.items()}
    return {k: pace for k, pace in steps.items() if pace != fillers[k].percent}


def to_percent(pace: float) -> int:
    """Return a whole pace; one that is hardly above 0 becomes 0."""
    percent = min(FULL_PERCENT, int(pace))
    return percent if percent >= STOP_BELOW_PERCENT else 0
