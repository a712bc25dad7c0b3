"""Learns which filling tasks press on which serving tasks.

Load: a serving task's tail latency follows its own load, which nobody reports, and
what works beside it. Of the pairs of images only some press, and those press hard.
The owner sees the tails and the fillers' use on all hosts twice a second.

For each serving image, its tail is taken as a base plus a share for each core of
each filler, fitted by least squares with forgetting, without negative shares.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Run

HIGHEST_RATIO = 1.5
"""Tails above this multiple of the target count as this: a saturated task's tail
grows without bound and would outweigh hundreds of others."""

SETTLED_AFTER_S = 1.0
"""Runs younger than this are left out: figures cover the last half second."""

FORGET_FACTOR = 0.97
"""What a second leaves of the sums: half after 23 s, for loads change."""

PENALTY = 5.0
"""Squared cores that draw a share to 0 while little was seen of its pair."""

KNOWN_SQUARED_CORES = 60.0
"""Squared cores of a filler beside a serving task from which on the pair counts as
known: 3 cores for three seconds on one host."""

BASE = ""
"""Stands for the base among the fillers' images; its input is always 1 core."""

CORES = 1000.0
"""Thousandths of a core in one core."""


class ServingFit(msgspec.Struct):
    """The least squares fit of one serving image.

    :param products: sums of products of two fillers' cores.
    :param targets: sums of products of a filler's cores and the tail's ratio.
    :param shares: by filling image, what one core adds, as a share of the target.
    """

    products: dict[str, dict[str, float]] = {}
    targets: dict[str, float] = {}
    shares: dict[str, float] = {}

    def add(self, ratio: float, use: dict[str, float]) -> None:
        """Add one tail and the cores that each filling image used."""
        inputs = {BASE: 1.0, **use}
        for one, cores in inputs.items():
            self.targets[one] = self.targets.get(one, 0.0) + cores * ratio
            row = self.products.setdefault(one, {})
            for other, more in inputs.items():
                row[other] = row.get(other, 0.0) + cores * more

    def forget(self) -> None:
        """Let a second pass."""
        for row in self.products.values():
            for other in row:
                row[other] *= FORGET_FACTOR
        for one in self.targets:
            self.targets[one] *= FORGET_FACTOR

    def solve(self) -> None:
        """Improve the shares by one round, each with the others held."""
        for one, row in self.products.items():
            others = sum(
                product * self.shares.get(other, 0.0)
                for other, product in row.items()
                if other != one
            )
            penalty = 0.0 if one == BASE else PENALTY
            found = (self.targets[one] - others) / (row[one] + penalty)
            self.shares[one] = max(0.0, found)

    def is_known(self, filler: str) -> bool:
        """Return whether enough was seen of a filler."""
        seen = self.products.get(filler, {}).get(filler, 0.0)
        return seen >= KNOWN_SQUARED_CORES


class PressureModel:
    """The fits of all serving images.

    :param known: pairs that were known at some time; forgetting does not make
        them unknown again.
    """

    __slots__ = ("fits", "known")

    def __init__(self) -> None:
        self.fits: dict[str, ServingFit] = {}
        self.known: set[tuple[str, str]] = set()

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
                self.add(step.image, run.usage / step.target_ms, use)

    def add(self, serving: str, ratio: float, use: dict[str, float]) -> None:
        """Add one tail, as a share of its target."""
        fit = self.fits.setdefault(serving, ServingFit())
        fit.add(min(ratio, HIGHEST_RATIO), use)

    def refit(self) -> None:
        """Let a second pass and improve every fit."""
        for serving, fit in self.fits.items():
            fit.solve()
            self.known |= {
                (serving, filler)
                for filler in fit.products
                if filler != BASE and fit.is_known(filler)
            }
            fit.forget()

    def pressure(self, serving: str, filler: str, cpu: int) -> float:
        """Return the share of its target that a filler adds to a serving task.

        :param cpu: thousandths of a core that the filler may use.
        """
        fit = self.fits.get(serving)
        return 0.0 if fit is None else fit.shares.get(filler, 0.0) * cpu / CORES

    def known_rows(self) -> list[tuple[str, str, float]]:
        """Return every known pair: serving image, filling image, share per core."""
        return [
            (serving, filler, round(self.fits[serving].shares.get(filler, 0.0), 3))
            for serving, filler in self.known
        ]
