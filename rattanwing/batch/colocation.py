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


class ColocationSummary:
    """The cached summary of one host.

    :param headroom_loss: headroom lost to all best-effort tasks of the host, by
        serving image.
    :param best_effort_cpu_available: thousandths of a core that further
        best-effort tasks may declare.
    """

    __slots__ = ("headroom_loss", "best_effort_cpu_available")

    def __init__(self, host: Host, interference: InterferenceModel) -> None:
        runs = host.runs.values()
        best_effort_runs = [run for run in runs if run.task.step.best_effort]
        self.headroom_loss = {
            run.task.step.image: 0.0 for run in runs if run.task.step.target_ms > 0
        }
        interfering: set[str] = set()
        for run in best_effort_runs:
            step = run.task.step
            for image in self.headroom_loss:
                if interference.headroom_loss(image, step.image, step.cpu) > 0:
                    interfering.add(step.image)
                self.headroom_loss[image] += interference.expected_loss(
                    image, step.image, step.cpu
                )
        self.best_effort_cpu_available = host.unused_cpu(interfering)

    def losses_with(
        self, step: StepSpec, interference: InterferenceModel
    ) -> list[tuple[float, float]]:
        """Return the headroom that serving images lose to one more best-effort task.

        For pairs of images that are not known, this is the loss that is expected.

        :param step: the step of that task.
        :returns: for each image that the task may interfere with, the loss to this
            task alone, and the loss to all best-effort tasks including it.
        """
        losses = []
        for image, total in self.headroom_loss.items():
            own = interference.expected_loss(image, step.image, step.cpu)
            if own > 0:
                losses.append((own, total + own))
        return losses


def summarize_colocation(
    host: Host, interference: InterferenceModel
) -> ColocationSummary:
    """Return the summary of a host, computed when none is cached.

    CPU that best-effort runs leave idle while they wait for headroom is offered to
    others; runs that wait for CPU keep what they declare.
    """
    if host.colocation is None:
        host.colocation = ColocationSummary(host, interference)
    return host.colocation
