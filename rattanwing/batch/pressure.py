"""Learns which filling tasks press on which serving tasks.

Load: a serving task's tail latency follows its own load, which nobody reports and
which swings by itself within seconds, and what works beside it. Of the pairs of
images only some press, and those press hard. The owner sees the tails and the
fillers' use on all hosts twice a second.

A task's headroom is its target over its tail: 1 at the target. A tail grows with
the inverse of the share that is idle, so headroom falls by the same amount for
each core of a filler, whatever the load. The fit compares each serving task with
itself a second before, so that its own load, which changes more slowly, drops out:
the change of its headroom against the changes of the fillers' use, by least
squares with forgetting, without negative shares.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Run

SETTLED_AFTER_S = 1.0
"""Serving runs younger than this are left out: figures cover the last half second."""

COMPARED_AFTER_S = 0.9
"""Between two looks at a task that are compared: their half seconds don't overlap,
and a paced filler has reached its new pace in between."""

COMPARED_UNTIL_S = 2.0
"""Looks further apart are not compared; the task's own load has changed."""

FORGET_FACTOR = 0.97
"""What a second leaves of the sums: half after 23 s, for loads change."""

PENALTY = 10.0
"""Squared cores that draw a share to 0 while little was seen of its pair."""

KNOWN_SQUARED_CORES = 60.0
"""Squared cores of change of a filler beside a serving task from which on the pair
counts as known: a share per core is then known within 0.07."""

OWN_CHANGE = 0.5
"""Standard deviation of a headroom's change by itself; what a share may be wrong by
is this over the root of the squared cores that were seen."""

PRESSES_ABOVE = 0.15
"""Headroom from which a filler at full pace counts as pressing: a quarter of what a
task without fillers has above its target at the peak of its own load."""

CORES = 1000.0
"""Thousandths of a core in one core."""


class Look(msgspec.Struct, frozen=True):
    """A serving task's headroom at a time, and the fillers' cores beside it."""

    at: float
    headroom: float
    use: dict[str, float]


class ServingFit(msgspec.Struct):
    """The least squares fit of one serving image.

    :param products: sums of products of two fillers' changes, in cores.
    :param losses: sums of products of a filler's change and the headroom lost.
    :param shares: by filling image, the headroom that one core takes.
    """

    products: dict[str, dict[str, float]] = {}
    losses: dict[str, float] = {}
    shares: dict[str, float] = {}

    def add(self, lost: float, changes: dict[str, float]) -> None:
        """Add a loss of headroom and the changes of the cores in use."""
        for one, cores in changes.items():
            self.losses[one] = self.losses.get(one, 0.0) + cores * lost
            row = self.products.setdefault(one, {})
            for other, more in changes.items():
                row[other] = row.get(other, 0.0) + cores * more

    def forget(self) -> None:
        """Let a second pass."""
        for row in self.products.values():
            for other in row:
                row[other] *= FORGET_FACTOR
        for one in self.losses:
            self.losses[one] *= FORGET_FACTOR

    def solve(self) -> None:
        """Improve the shares by one round, each with the others held."""
        for one, row in self.products.items():
            others = sum(
                product * self.shares.get(other, 0.0)
                for other, product in row.items()
                if other != one
            )
            found = (self.losses[one] - others) / (row[one] + PENALTY)
            self.shares[one] = max(0.0, found)

    def seen(self, filler: str) -> float:
        """Return the squared cores of change that were seen of a filler."""
        return self.products.get(filler, {}).get(filler, 0.0)

    def sure_share(self, filler: str) -> float:
        """Return the headroom that one core surely takes, chance left out."""
        doubt = OWN_CHANGE / sqrt(self.seen(filler) + PENALTY)
        return max(0.0, self.shares.get(filler, 0.0) - doubt)


class PressureModel:
    """The fits of all serving images.

    :param per_core: by serving and filling image, the headroom that one core takes
        of every pair that was known at some time; forgetting does not make them
        unknown again.
    """

    __slots__ = ("fits", "per_core")

    def __init__(self) -> None:
        self.fits: dict[str, ServingFit] = {}
        self.per_core: dict[tuple[str, str], float] = {}

    def observe(self, runs: list[Run], now: float) -> None:
        """Learn from what one host reports at one moment."""
        use: dict[str, float] = {}
        for run in runs:
            if run.task.step.fills and run.usage > 0:
                image = run.task.step.image
                use[image] = use.get(image, 0.0) + run.usage / CORES
        for run in runs:
            step = run.task.step
            young = now - run.placed_at < SETTLED_AFTER_S
            if step.target_ms > 0 and run.usage > 0 and not young:
                look = Look(now, step.target_ms / run.usage, use)
                run.look = self.compare(step.image, run.look, look)

    def compare(self, serving: str, before: Look | None, look: Look) -> Look:
        """Learn from two looks at a task; return the one to compare with next."""
        if before is None or look.at - before.at > COMPARED_UNTIL_S:
            return look
        if look.at - before.at < COMPARED_AFTER_S:
            return before
        changes = {
            image: look.use.get(image, 0.0) - before.use.get(image, 0.0)
            for image in before.use | look.use
        }
        fit = self.fits.setdefault(serving, ServingFit())
        fit.add(before.headroom - look.headroom, changes)
        return look

    def refit(self) -> None:
        """Let a second pass and improve every fit."""
        for serving, fit in self.fits.items():
            fit.solve()
            for filler in fit.products:
                pair = serving, filler
                if pair in self.per_core or fit.seen(filler) >= KNOWN_SQUARED_CORES:
                    self.per_core[pair] = fit.sure_share(filler)
            fit.forget()

    def pressure(self, serving: str, filler: str, cpu: int) -> float:
        """Return the headroom that a filler takes; 0 if it is not known to press.

        :param cpu: thousandths of a core that the filler may use.
        """
        taken = self.per_core.get((serving, filler), 0.0) * cpu / CORES
        return taken if taken > PRESSES_ABOVE else 0.0

    def evidence(self) -> list[tuple[str, str, float, float]]:
        """Return every known pair with its share per core and what was seen of it."""
        return [
            (
                serving,
                filler,
                round(self.fits[serving].shares.get(filler, 0.0), 3),
                round(self.fits[serving].seen(filler), 1),
            )
            for serving, filler in self.per_core
        ]

    def restore(self, rows: list[tuple[str, str, float, float]]) -> None:
        """Go on from what an earlier owner has learnt."""
        for serving, filler, share, seen in rows:
            fit = self.fits.setdefault(serving, ServingFit())
            fit.shares[filler] = share
            fit.products.setdefault(filler, {})[filler] = seen
            fit.losses[filler] = share * (seen + PENALTY)
            self.per_core[serving, filler] = fit.sure_share(filler)

    def known_rows(self) -> list[tuple[str, str, float]]:
        """Return every known pair: serving image, filling image, share per core."""
        return [(*pair, round(share, 3)) for pair, share in self.per_core.items()]
