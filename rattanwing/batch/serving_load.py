"""Estimates how much CPU serving tasks use of what they declare.

Best-effort tasks run in the CPU that serving tasks leave idle, and more of them wait
than there is room for. The CPU use of serving tasks is not reported, but their tail
latencies are inversely proportional to the idle share of their CPU. Their loads rise
and fall within seconds, as long as a best-effort task runs: the room of a host is what
it has on average, or halfway to what it has at present if that is less.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattanwing.batch.hosts import Run

IDLE_HEADROOM = 6.0
"""Headroom of a serving task without load; its load is taken as the share of this that
is missing."""

MIN_LOAD, MAX_LOAD = 0.3, 0.75
"""Bounds of the load that is estimated for a serving task, as a share of its declared
CPU. Below the headroom at which the upper bound is reached, interference rather than
load explains the tail latency."""

ASSUMED_LOAD = 0.6
"""Share of the CPU declared by long-running tasks that they are assumed to use while
nothing is known of their load; the rest is available to best-effort tasks."""

MIN_WEIGHT = 20.0
"""Number of reported loads that weigh as much as ``ASSUMED_LOAD`` at first; decay
reduces the weight of the mean to no less."""

DECAY_FACTOR = 0.97
"""Factor by which the weight of past loads decays per second."""


def estimate_load(headroom: float) -> float:
    """Return the load of a serving task, as a share of its declared CPU.

    :param headroom: its target latency over its tail latency.
    """
    return min(MAX_LOAD, max(MIN_LOAD, 1 - headroom / IDLE_HEADROOM))


class ServingLoad:
    """The mean load of all serving tasks, as a share of the CPU that they declare.

    :param weight: number of loads that the mean covers, decayed.
    :param total: sum of these loads.
    """

    __slots__ = ("weight", "total")

    def __init__(self) -> None:
        self.weight = MIN_WEIGHT
        self.total = MIN_WEIGHT * ASSUMED_LOAD

    @property
    def mean(self) -> float:
        """Return the mean load."""
        return self.total / self.weight

    def observe(self, headroom: float) -> None:
        """Add the reported headroom of a serving task."""
        self.weight += 1
        self.total += estimate_load(headroom)

    def decay(self) -> None:
        """Reduce the weight of past loads by one second's decay."""
        mean = self.mean
        self.weight = max(MIN_WEIGHT, self.weight * DECAY_FACTOR)
        self.total = mean * self.weight

    def expected_cpu(self, runs: Iterable[Run]) -> float:
        """Return the CPU that long-running tasks will use for the next few seconds.

        It is their average use, or halfway from there to a higher present use: loads
        below their mean rise again while a best-effort task runs.

        :returns: thousandths of a core.
        """
        present = average = 0.0
        for run in runs:
            step = run.task.step
            if not step.long_running:
                continue
            load = self.mean if step.target_ms > 0 else ASSUMED_LOAD
            average += step.cpu * load
            if step.target_ms > 0 and run.measurement > 0:
                load = estimate_load(step.target_ms / run.measurement)
            present += step.cpu * load
        return (average + max(average, present)) / 2
