"""Summarizes, per host, the headroom lost to best-effort tasks and the CPU left.

Dozens of steps may wait for free resources, and placement evaluates every host
several times a round for each of them. The summary of a host is computed once and
cached until the host's runs change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Host
    from rattanwing.batch.interference import InterferenceModel
    from rattanwing.batch.model import StepSpec

LONG_RUNNING_USE_SHARE = 0.5
"""Share of the CPU declared by long-running tasks that they are assumed to use; the
rest is available to best-effort tasks. Their CPU use is not reported; their loads
vary around half of what they declare and do not peak together."""

USE_REFLECTS_PACE_AFTER_S = 2.0
"""Age from which the reported CPU use of a best-effort run reflects its pace, in
seconds. It covers the start of the run, the half second over which CPU use is
measured, and the delay of the report."""


class ColocationSummary:
    """The cached summary of one host.

    :param headroom_loss: headroom lost to all best-effort tasks of the host, by
        serving image.
    :param best_effort_cpu_available: thousandths of a core that further
        best-effort tasks may declare.
    """

    __slots__ = ("headroom_loss", "best_effort_cpu_available")

    def __init__(self, host: Host, interference: InterferenceModel, now: float) -> None:
        runs = host.runs.values()
        best_effort_runs = [run for run in runs if run.task.step.best_effort]
        self.headroom_loss = {
            run.task.step.image: 0.0 for run in runs if run.task.step.target_ms > 0
        }
        throttled = 0
        for run in best_effort_runs:
            step = run.task.step
            interferes = False
            for image in self.headroom_loss:
                loss = interference.headroom_loss(image, step.image, step.cpu)
                self.headroom_loss[image] += loss
                interferes = interferes or loss > 0
            idle = step.cpu - run.measurement
            if (
                interferes
                and idle * 2 > step.cpu
                and now - run.placed_at >= USE_REFLECTS_PACE_AFTER_S
            ):
                throttled += idle
        unused = int(host.reserved_long_running_cpu * (1 - LONG_RUNNING_USE_SHARE))
        available = host.free_cpu() + unused
        self.best_effort_cpu_available = available + min(
            throttled, available + host.reserved_best_effort_cpu
        )

    def losses_with(
        self, step: StepSpec, interference: InterferenceModel
    ) -> list[tuple[float, float]]:
        """Return the headroom that serving images lose to one more best-effort task.

        :param step: the step of that task.
        :returns: for each image that the task interferes with, the loss to this
            task alone, and the loss to all best-effort tasks including it.
        """
        losses = []
        for image, total in self.headroom_loss.items():
            own = interference.headroom_loss(image, step.image, step.cpu)
            if own > 0:
                losses.append((own, total + own))
        return losses


def summarize_colocation(
    host: Host, interference: InterferenceModel, now: float
) -> ColocationSummary:
    """Return the summary of a host, computed when none is cached.

    CPU that interfering runs leave idle because of their pace is offered to other
    best-effort tasks. The amount is limited to the CPU available to best-effort
    tasks, so that they are promised at most twice the available CPU.
    """
    if host.colocation is None:
        host.colocation = ColocationSummary(host, interference, now)
    return host.colocation
