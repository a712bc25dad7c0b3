"""Learns how long tasks really run.

Callers estimate run times. On some deployments the estimates are off by up to nine
tenths, tasks of one image behave alike, and a few tasks in a hundred take several times
as long as the others.

For each image, the logarithm of the run time is regressed on the logarithm of the
caller's estimate, with a ridge penalty towards the estimate itself. The slope is near 1
where estimates are good and near 0 where they tell nothing; the mean run time of the
image then counts. Old runs lose weight, and a run far from what was expected counts no
more than one at the edge of the spread.
"""

from __future__ import annotations

from math import exp, log, sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Run
    from rattanwing.batch.model import StepSpec

HALF_LIFE_S = 300.0
"""Time in seconds after which a run counts half as much."""

PRIOR_RUNS = 4.0
"""Number of runs that the caller's estimate counts as much as, for the mean."""

PRIOR_SQUARES = 2.0
"""Ridge penalty of the slope, in squared units of the natural logarithm."""

PRIOR_SPREAD = 0.7
"""Standard deviation of the logarithm of a run time over its estimate, before any run
is known: a factor of two."""

CLIP_SPREADS = 2.0
"""Number of standard deviations beyond which a run counts as one at that distance."""

MIN_CLIP = 0.3
"""Shortest such distance, in units of the natural logarithm."""

MAX_KEYS = 512
"""Most images whose run times are kept; the one without a run for longest is
dropped."""


class RunTimeFit:
    """The decayed regression of one image.

    :param weight: number of runs, decayed.
    :param log_estimate: mean logarithm of the estimates in milliseconds.
    :param log_run: mean logarithm of the run times in milliseconds.
    :param estimate_squares: sum of the squared deviations of the estimates' logarithms.
    :param products: sum of the products of both deviations.
    :param error_squares: sum of the squared errors of prediction, before each run was
        added.
    :param updated_at: time of the last run.
    """

    __slots__ = (
        "weight",
        "log_estimate",
        "log_run",
        "estimate_squares",
        "products",
        "error_squares",
        "updated_at",
    )

    def __init__(self, now: float) -> None:
        self.weight = 0.0
        self.log_estimate = 0.0
        self.log_run = 0.0
        self.estimate_squares = 0.0
        self.products = 0.0
        self.error_squares = 0.0
        self.updated_at = now

    def predict(self, log_estimate: float) -> float:
        """Return the expected logarithm of a run time with that estimate."""
        if not self.weight:
            return log_estimate
        slope = (self.products + PRIOR_SQUARES) / (
            self.estimate_squares + PRIOR_SQUARES
        )
        learned = self.log_run + min(1.0, max(0.0, slope)) * (
            log_estimate - self.log_estimate
        )
        share = self.weight / (self.weight + PRIOR_RUNS)
        return share * learned + (1.0 - share) * log_estimate

    def spread(self) -> float:
        """Return the standard deviation of the logarithm of a run time."""
        squares = self.error_squares + PRIOR_RUNS * PRIOR_SPREAD**2
        return sqrt(squares / (self.weight + PRIOR_RUNS))

    def add(self, log_estimate: float, log_run: float, now: float) -> None:
        """Add one run, clipped to the neighbourhood of what was expected."""
        self.decay(now)
        expected = self.predict(log_estimate)
        limit = max(MIN_CLIP, CLIP_SPREADS * self.spread())
        error = min(limit, max(-limit, log_run - expected))
        log_run = expected + error
        self.error_squares += error**2
        self.weight += 1.0
        estimate_change = log_estimate - self.log_estimate
        self.log_estimate += estimate_change / self.weight
        self.log_run += (log_run - self.log_run) / self.weight
        # Welford's update: the deviation before times the deviation after.
        self.estimate_squares += estimate_change * (log_estimate - self.log_estimate)
        self.products += estimate_change * (log_run - self.log_run)

    def decay(self, now: float) -> None:
        """Reduce the weight of past runs."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.updated_at = now
        self.weight *= factor
        self.estimate_squares *= factor
        self.products *= factor
        self.error_squares *= factor


class RunTimes:
    """The run times of all images, as far as one owner has seen them.

    :param fits: by image or declared size, the one with the oldest run first.
    """

    __slots__ = ("fits",)

    def __init__(self) -> None:
        self.fits: dict[str, RunTimeFit] = {}

    def record(self, step: StepSpec, run_ms: float, now: float) -> None:
        """Record a run that did all the work of a task at full pace.

        :param run_ms: milliseconds from the start order to the end.
        """
        if step.estimate_ms <= 0 or run_ms <= 0:
            return
        key = fit_key(step)
        fit = self.fits.pop(key, None) or RunTimeFit(now)
        fit.add(log(step.estimate_ms), log(run_ms), now)
        self.fits[key] = fit
        if len(self.fits) > MAX_KEYS:
            del self.fits[next(iter(self.fits))]

    def expected_ms(self, step: StepSpec) -> float:
        """Return the run time to expect of a task, in milliseconds.

        Half of the tasks take longer. It is the caller's estimate while nothing is
        known, and 0 without one.
        """
        fit = self.fits.get(fit_key(step))
        if fit is None or step.estimate_ms <= 0:
            return float(step.estimate_ms)
        return exp(fit.predict(log(step.estimate_ms)))


def is_representative(run: Run, now: float) -> bool:
    """Return whether a run that ended as done shows how long its task takes.

    That is a whole run, started by this owner on the current stream, at full pace, near
    its data and on a host that is not known to be slow or failing. Members of a gang
    wait for each other.
    """
    step = run.task.step
    if step.long_running or step.gang or run.resumed or run.slowed:
        return False
    if run.order_number == 0 or run.host.health.is_failing(now):
        return False
    executor = run.host.executor
    if executor is None:
        return False
    return not step.data_rack or step.data_rack in executor.labels


def fit_key(step: StepSpec) -> str:
    """Return the key of the tasks that a step is compared with.

    Tasks without an image are compared with tasks of about the same declared size.
    """
    if step.image:
        return f"image:{step.image}"
    kind = "best-effort" if step.best_effort else "reserved"
    return f"{kind}:{step.cpu.bit_length()}:{step.accelerators}"
