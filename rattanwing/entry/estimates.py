"""What tasks use, learned by class, and the limit that they are granted.

The grant is a limit that the worker enforces, so a wrong estimate slows the
task and never overcommits the host. Agents report usage with a lag; only ends
of attempts that used less than their limit teach anything.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.jobs.records import JobSpec

MAX_SAMPLES = 30
MIN_SAMPLES = 5
GRANT_MARGIN = 1.15
LIMIT_REACHED_SHARE = 0.98


class UsageEstimates:
    """Used over declared processors, by team and task class.

    :param ratios: the newest observations of each class.
    """

    __slots__ = ("ratios",)

    def __init__(self) -> None:
        self.ratios: dict[tuple[str, str], deque[float]] = {}

    def record_usage(self, spec: JobSpec, granted_cpu: float, peak_cpu: float) -> None:
        """Take note of the most processors that an attempt used.

        One that reached its limit may have wanted more: it counts as using
        all that it declared.
        """
        if peak_cpu <= 0.0:
            return
        ratio = peak_cpu / spec.cpu
        if peak_cpu >= granted_cpu * LIMIT_REACHED_SHARE:
            ratio = 1.0
        key = (spec.team, spec.task_class)
        self.ratios.setdefault(key, deque(maxlen=MAX_SAMPLES)).append(ratio)

    def cpu_to_grant(self, spec: JobSpec) -> float:
        """Return the processors to grant: the declared ones until enough is known."""
        ratios = self.ratios.get((spec.team, spec.task_class), ())
        if len(ratios) < MIN_SAMPLES:
            return spec.cpu
        return spec.cpu * min(1.0, max(ratios) * GRANT_MARGIN)


def setup(app: Application) -> None:
    """Register the service ``estimates``."""
    app.add_service("estimates", UsageEstimates())
