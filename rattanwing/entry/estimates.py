"""Estimates of processor usage by task class, and the limit granted to an attempt.

The worker enforces the granted limit, so a wrong estimate slows the task down and
never overcommits the host. Agents report usage with a lag, so only finished
attempts are counted, and one that used less than its limit lowers the estimate.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.jobs.records import JobSpec

MAX_SAMPLES = 30
"""Newest observations that are kept of each task class."""

MIN_SAMPLES = 5
"""Observations of a task class before its jobs are granted less than they declare."""

GRANT_MARGIN = 1.15
"""Factor from the highest observed usage to the granted limit."""

LIMIT_REACHED_SHARE = 0.98
"""Share of its limit at which an attempt's peak usage counts as having reached it."""


class UsageEstimates:
    """Observed processor usage, by team and task class.

    :param ratios: newest ratios of peak usage to declared processors.
    """

    __slots__ = ("ratios",)

    def __init__(self) -> None:
        self.ratios: dict[tuple[str, str], deque[float]] = {}

    def record_usage(self, spec: JobSpec, granted_cpu: float, peak_cpu: float) -> None:
        """Record the peak processor usage of a finished attempt.

        An attempt that reached its limit may have needed more, so it counts as
        having used all that it declared.
        """
        if peak_cpu <= 0.0:
            return
        ratio = peak_cpu / spec.cpu
        if peak_cpu >= granted_cpu * LIMIT_REACHED_SHARE:
            ratio = 1.0
        key = (spec.team, spec.task_class)
        self.ratios.setdefault(key, deque(maxlen=MAX_SAMPLES)).append(ratio)

    def cpu_to_grant(self, spec: JobSpec) -> float:
        """Return the processors to grant to a job's next attempt.

        These are the declared ones until ``MIN_SAMPLES`` observations were made.
        """
        ratios = self.ratios.get((spec.team, spec.task_class), ())
        if len(ratios) < MIN_SAMPLES:
            return spec.cpu
        return spec.cpu * min(1.0, max(ratios) * GRANT_MARGIN)


def setup(app: Application) -> None:
    """Register the service ``estimates``."""
    app.add_service("estimates", UsageEstimates())
