"""Learns which filling tasks press on which serving tasks.

Load: a serving task's tail latency follows its own load, which nobody reports, and
what works beside it. Of the pairs of images only some press, and those press hard.
The owner sees the tails and the fillers' use on all hosts twice a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Run

HIGHEST_RATIO = 3.0
"""Tails above this multiple of the target count as this, for a saturated task's
tail says nothing more."""

SETTLED_AFTER_S = 1.0
"""Runs younger than this are left out: figures cover the last half second."""

BASE_RATE = 0.03
"""Learning rate of a serving image's tail without fillers, in shares of the error."""

PAIR_RATE = 0.25
"""Learning rate of a pair (normalised least mean squares; below 1 is stable)."""

FULL_EVIDENCE_CORES = 40.0
"""Cores of a filler seen beside a serving task, summed over looks of half a second,
after which a pair counts as known."""

CORES = 1000.0
"""Thousandths of a core in one core."""


class Pair(msgspec.Struct):
    """What is known of one pair of images.

    :param per_core: share of the target that one core of the filler adds.
    :param evidence_cores: see ``FULL_EVIDENCE_CORES``.
    """

    per_core: float = 0.0
    evidence_cores: float = 0.0


class PressureModel:
    """Tails as a base for each serving image plus a share for each pair."""

    __slots__ = ("base", "pairs")

    def __init__(self) -> None:
        self.base: dict[str, float] = {}
        self.pairs: dict[tuple[str, str], Pair] = {}

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
                ratio = min(run.usage / step.target_ms, HIGHEST_RATIO)
                self.learn(step.image, ratio, use)

    def learn(self, serving: str, ratio: float, use: dict[str, float]) -> None:
        """Fold in one tail, with the cores that each filling image uses."""
        base = self.base.setdefault(serving, ratio)
        pairs = {
            filler: self.pairs.setdefault((serving, filler), Pair()) for filler in use
        }
        expected = base + sum(pairs[f].per_core * cores for f, cores in use.items())
        error = ratio - expected
        self.base[serving] = base + BASE_RATE * error
        power = 1.0 + sum(cores * cores for cores in use.values())
        for filler, cores in use.items():
            pair = pairs[filler]
            step = PAIR_RATE * error * cores / power
            pair.per_core = max(0.0, pair.per_core + step)
            pair.evidence_cores += cores

    def pressure(self, serving: str, filler: str, cpu: int) -> float:
        """Return the share of its target that a filler adds to a serving task.

        :param cpu: thousandths of a core that the filler may use.
        """
        pair = self.pairs.get((serving, filler))
        return 0.0 if pair is None else pair.per_core * cpu / CORES

    def is_known(self, serving: str, filler: str) -> bool:
        """Return whether a pair was seen for long enough."""
        pair = self.pairs.get((serving, filler))
        return pair is not None and pair.evidence_cores >= FULL_EVIDENCE_CORES

    def known_rows(self) -> list[tuple[str, str, float]]:
        """Return every known pair: serving image, filling image, share per core."""
        return [
            (serving, filler, round(pair.per_core, 3))
            for (serving, filler), pair in self.pairs.items()
            if pair.evidence_cores >= FULL_EVIDENCE_CORES
        ]
