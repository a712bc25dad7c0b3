"""Estimates how much each best-effort image slows down each serving image.

The tail latency of a serving task depends on its own load, which is not reported
and changes within seconds, and on the tasks that share its host. Only some pairs
of images interfere, but those interfere strongly. The owner receives the tail
latencies and the best-effort tasks' CPU use of all hosts twice a second.

The headroom of a serving task is its target latency over its tail latency: 1 at
the target. Tail latency is inversely proportional to the idle share of the CPU, so
each core that a best-effort task uses lowers the headroom by the same amount,
whatever the load. The model therefore regresses the change of a task's headroom
over one second on the changes of the best-effort CPU use: the task's own load
changes more slowly than that and cancels out. The fit is a non-negative, regularized
least squares fit whose older samples decay exponentially.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Run

MIN_RUN_AGE_S = 1.0
"""Age from which samples of a serving run are used, in seconds. Reported tail
latencies cover the last half second, so earlier ones include the start."""

MIN_SAMPLE_GAP_S = 0.9
"""Shortest time between two samples of a task that are compared, in seconds. The
half seconds that they cover do not overlap, and a best-effort task whose pace was
changed has reached the new pace in between."""

MAX_SAMPLE_GAP_S = 2.0
"""Longest time between two samples that are compared, in seconds; after a longer time
the task's own load has changed."""

DECAY_FACTOR = 0.97
"""Factor by which the sums decay per second, a half-life of 23 s; old sums lose
weight because loads change."""

RIDGE_PENALTY = 10.0
"""Ridge regularization in squared cores; it keeps the coefficient of a pair near 0
while there are few samples of it."""

MIN_SQUARED_CORES = 60.0
"""Sum of squared changes of a best-effort image's CPU use on the hosts of a serving
image, in squared cores, from which the pair counts as known: the standard error of
its coefficient is then below 0.07 of headroom per core."""

HEADROOM_STD_DEV = 0.5
"""Standard deviation of the change of headroom that is due to a task's own load. The
standard error of a coefficient is this over the square root of the sum of its squared
cores and ``RIDGE_PENALTY``."""

INTERFERES_ABOVE = 0.15
"""Loss of headroom at full pace above which a best-effort task counts as interfering.
The limit is a quarter of the headroom above 1 that a serving task keeps at its peak
load when no best-effort task shares its host."""

UNKNOWN_LOSS_PER_CORE = 0.08
"""Headroom that a core of a best-effort image is expected to cost a serving image while
their pair is unknown: the mean over pairs, of which about four in ten interfere."""

MAX_LOSS_PER_CORE = 0.25
"""Headroom that a core of an unknown best-effort image costs a serving image at the
most."""

MAX_STORED_BYTES = 100_000
"""Most bytes of the estimates that are stored for the next owner; callers name the
images at will."""

ROW_BYTES = 32
"""Estimated size in bytes of a stored estimate without the names of its images."""

MILLICORES_PER_CORE = 1000.0
"""Converts thousandths of a core to cores."""


class HeadroomSample(msgspec.Struct, frozen=True):
    """The headroom of a serving task and the best-effort CPU use at one time.

    :param use: cores in use on the host, by best-effort image.
    """

    at: float
    headroom: float
    use: dict[str, float]


class ServingFit(msgspec.Struct):
    """The least squares fit of one serving image against all best-effort images.

    :param gram_matrix: sums of the products of the changes of two best-effort images'
        CPU use, in squared cores, by image.
    :param cross_products: sums of the products of the change of a best-effort image's
        CPU use, in cores, and the loss of headroom.
    :param coefficients: headroom lost per core, by best-effort image.
    """

    gram_matrix: dict[str, dict[str, float]] = {}
    cross_products: dict[str, float] = {}
    coefficients: dict[str, float] = {}

    def add(self, lost: float, changes: dict[str, float]) -> None:
        """Add one observation.

        :param changes: changes of the cores in use, by best-effort image.
        """
        for image, cores in changes.items():
            self.cross_products[image] = (
                self.cross_products.get(image, 0.0) + cores * lost
            )
            row = self.gram_matrix.setdefault(image, {})
            for other, other_cores in changes.items():
                row[other] = row.get(other, 0.0) + cores * other_cores

    def decay(self) -> None:
        """Reduce the weight of past observations by one second's decay."""
        for row in self.gram_matrix.values():
            for other in row:
                row[other] *= DECAY_FACTOR
        for image in self.cross_products:
            self.cross_products[image] *= DECAY_FACTOR

    def update_coefficients(self) -> None:
        """Run one round of coordinate descent over the coefficients."""
        for image, row in self.gram_matrix.items():
            others = sum(
                product * self.coefficients.get(other, 0.0)
                for other, product in row.items()
                if other != image
            )
            estimate = (self.cross_products[image] - others) / (
                row[image] + RIDGE_PENALTY
            )
            self.coefficients[image] = max(0.0, estimate)

    def squared_cores(self, best_effort: str) -> float:
        """Return the sum of the squared changes of an image's use, decayed."""
        return self.gram_matrix.get(best_effort, {}).get(best_effort, 0.0)

    def coefficient_lower_bound(self, best_effort: str) -> float:
        """Return the headroom lost per core, less one standard error; at least 0."""
        margin = HEADROOM_STD_DEV / sqrt(
            self.squared_cores(best_effort) + RIDGE_PENALTY
        )
        return max(0.0, self.coefficients.get(best_effort, 0.0) - margin)


class InterferenceModel:
    """The estimates for all pairs of a serving and a best-effort image.

    :param headroom_loss_per_core: headroom lost per core, by serving and best-effort
        image, of each known pair. A known pair stays known after its observations
        have decayed.
    """

    __slots__ = ("fits", "headroom_loss_per_core")

    def __init__(self) -> None:
        self.fits: dict[str, ServingFit] = {}
        self.headroom_loss_per_core: dict[tuple[str, str], float] = {}

    def observe(self, runs: list[Run], now: float) -> None:
        """Add a sample of each serving run on a host.

        :param runs: all runs of the host, with their last reported measurements.
        """
        use: dict[str, float] = {}
        for run in runs:
            if run.task.step.best_effort and run.measurement > 0:
                image = run.task.step.image
                use[image] = use.get(image, 0.0) + run.measurement / MILLICORES_PER_CORE
        for run in runs:
            step = run.task.step
            too_young = now - run.placed_at < MIN_RUN_AGE_S
            if step.target_ms > 0 and run.measurement > 0 and not too_young:
                sample = HeadroomSample(now, step.target_ms / run.measurement, use)
                run.last_sample = self.add_sample(step.image, run.last_sample, sample)

    def add_sample(
        self, serving: str, previous: HeadroomSample | None, sample: HeadroomSample
    ) -> HeadroomSample:
        """Add the difference of two samples of one task to the fit of its image.

        :returns: the sample to compare the next one with.
        """
        if previous is None or sample.at - previous.at > MAX_SAMPLE_GAP_S:
            return sample
        if sample.at - previous.at < MIN_SAMPLE_GAP_S:
            return previous
        changes = {
            image: sample.use.get(image, 0.0) - previous.use.get(image, 0.0)
            for image in previous.use | sample.use
        }
        fit = self.fits.setdefault(serving, ServingFit())
        fit.add(previous.headroom - sample.headroom, changes)
        return sample

    def refit(self) -> None:
        """Update all fits and estimates; called once a second."""
        for serving, fit in self.fits.items():
            fit.update_coefficients()
            for best_effort in fit.gram_matrix:
                pair = serving, best_effort
                if (
                    pair in self.headroom_loss_per_core
                    or fit.squared_cores(best_effort) >= MIN_SQUARED_CORES
                ):
                    self.headroom_loss_per_core[pair] = fit.coefficient_lower_bound(
                        best_effort
                    )
            fit.decay()

    def is_known(self, serving: str, best_effort: str) -> bool:
        """Return whether the interference of a pair of images is known."""
        return (serving, best_effort) in self.headroom_loss_per_core

    def headroom_loss(self, serving: str, best_effort: str, cpu: int) -> float:
        """Return the headroom that a serving task loses to a best-effort task.

        :param serving: image of the serving task.
        :param best_effort: image of the best-effort task.
        :param cpu: thousandths of a core that the best-effort task may use.
        :returns: 0 for a pair that does not interfere or is not known.
        """
        loss = (
            self.headroom_loss_per_core.get((serving, best_effort), 0.0)
            * cpu
            / MILLICORES_PER_CORE
        )
        return loss if loss > INTERFERES_ABOVE else 0.0

    def expected_loss(self, serving: str, best_effort: str, cpu: int) -> float:
        """Return the headroom that a serving task is expected to lose.

        The parameters are those of :meth:`headroom_loss`.

        :returns: for an unknown pair the mean over all pairs, else the estimate.
        """
        if self.is_known(serving, best_effort):
            return self.headroom_loss(serving, best_effort, cpu)
        return UNKNOWN_LOSS_PER_CORE * cpu / MILLICORES_PER_CORE

    def stored_rows(self) -> list[tuple[str, str, float, float]]:
        """Return the known pairs to store: images, coefficient, squared cores.

        If there are very many, those that rest on most observations are stored.
        """
        rows = [
            (
                serving,
                best_effort,
                round(self.fits[serving].coefficients.get(best_effort, 0.0), 3),
                round(self.fits[serving].squared_cores(best_effort), 1),
            )
            for serving, best_effort in self.headroom_loss_per_core
        ]
        size = 0
        kept = []
        for row in sorted(rows, key=lambda row: -row[3]):
            size += ROW_BYTES + len(row[0].encode()) + len(row[1].encode())
            if size > MAX_STORED_BYTES:
                break
            kept.append(row)
        chosen = set(kept)
        return [row for row in rows if row in chosen]

    def restore(self, rows: list[tuple[str, str, float, float]]) -> None:
        """Restore the fits from the rows that an earlier owner stored."""
        for serving, best_effort, coefficient, squared_cores in rows:
            fit = self.fits.setdefault(serving, ServingFit())
            fit.coefficients[best_effort] = coefficient
            fit.gram_matrix.setdefault(best_effort, {})[best_effort] = squared_cores
            fit.cross_products[best_effort] = coefficient * (
                squared_cores + RIDGE_PENALTY
            )
            self.headroom_loss_per_core[serving, best_effort] = (
                fit.coefficient_lower_bound(best_effort)
            )

    def known_rows(self) -> list[tuple[str, str, float]]:
        """Return the known pairs to send: images, headroom lost per core."""
        return [
            (*pair, round(loss, 3))
            for pair, loss in self.headroom_loss_per_core.items()
        ]
