"""Predicts the pace at which a best-effort task would start on a host.

More best-effort tasks wait than the hosts can run beside their serving tasks, whose
loads rise and fall within seconds. A task that starts where the headroom of a serving
task is short is paced to 0 by the agent, and holds up its job there, while the
serving tasks of another host are at the low point of their load. The owner receives the
tail latencies of all hosts twice a second, so it can apply the rules of the agents'
:class:`~rattanwing.batch.pacing.BestEffortPacer` before it chooses a host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.batch.pacing import (
    FULL_PERCENT,
    KEEP_HEADROOM,
    MEASURED_AFTER_S,
    UNKNOWN_SPEEDUP_PERCENT,
    BestEffortPacer,
    BestEffortRun,
    ServingLatency,
    to_percent,
)

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Host
    from rattanwing.batch.interference import InterferenceModel
    from rattanwing.batch.model import StepSpec


class HostHeadroom:
    """What the serving tasks of a host leave to further best-effort tasks.

    The runs placed since the last report count as if they took what the agent lets them
    have. Among serving tasks of one image, only the one with the least headroom counts.

    :param reported_at: time of the report that the headroom is taken from.
    :param serving: the serving tasks with a reported tail latency.
    :param unreported: the images of the others.
    :param recent: best-effort runs that the report does not cover, oldest first.
    :param spare: headroom above ``KEEP_HEADROOM`` of each serving task, less what those
        runs take; ``None`` until it is computed.
    :param paces: paces computed so far, in percent, by image and CPU of a task.
    """

    __slots__ = ("reported_at", "serving", "unreported", "recent", "spare", "paces")

    def __init__(self, host: Host) -> None:
        self.reported_at = host.last_heard_at
        self.unreported: set[str] = set()
        self.recent: list[BestEffortRun] = []
        self.spare: dict[int, float] | None = None
        self.paces: dict[tuple[str, int], int] = {}
        by_image: dict[str, ServingLatency] = {}
        for run in host.runs.values():
            step = run.task.step
            if step.best_effort:
                if self.reported_at - run.placed_at < MEASURED_AFTER_S:
                    self.recent.append(new_run(step))
            elif step.target_ms <= 0:
                continue
            elif run.measurement > 0:
                found = ServingLatency(step.image, run.measurement, step.target_ms)
                other = by_image.setdefault(step.image, found)
                if found.headroom < other.headroom:
                    by_image[step.image] = found
            else:
                self.unreported.add(step.image)
        self.serving = list(by_image.values())

    def start_pace(self, step: StepSpec, interference: InterferenceModel) -> int:
        """Return the pace, in percent, that the agent would give a new task of a step.

        No run starts while a serving task is over its target. Serving tasks without a
        report may limit the pace as soon as they are reported. The agent's limit on the
        host's CPU is left out.
        """
        key = step.image, step.cpu
        if key not in self.paces:
            self.paces[key] = to_percent(self.compute_pace(step, interference))
        return self.paces[key]

    def compute_pace(self, step: StepSpec, interference: InterferenceModel) -> float:
        """Return the pace, in percent, before it is rounded."""
        if any(latency.headroom < 1 for latency in self.serving):
            return 0.0
        pacer = BestEffortPacer()
        pacer.headroom_loss_per_core = interference.headroom_loss_per_core
        if self.spare is None:
            self.spare = {
                index: latency.headroom - KEEP_HEADROOM
                for index, latency in enumerate(self.serving)
            }
            for run in self.recent:
                pacer.allot_increase(self.serving, run, 0.0, self.spare)
        pace = pacer.allot_increase(self.serving, new_run(step), 0.0, dict(self.spare))
        if any(
            interference.expected_loss(image, step.image, step.cpu) > 0
            for image in self.unreported
        ):
            pace = min(pace, UNKNOWN_SPEEDUP_PERCENT)
        return pace


def new_run(step: StepSpec) -> BestEffortRun:
    """Return a run of a step that has not been paced yet."""
    return BestEffortRun(step.image, step.cpu, FULL_PERCENT, 0.0, is_new=True)


def expected_start_pace(
    host: Host, step: StepSpec, interference: InterferenceModel
) -> int:
    """Return the pace, in percent, at which a best-effort task would start."""
    if host.headroom is None or host.headroom.reported_at != host.last_heard_at:
        host.headroom = HostHeadroom(host)
    return host.headroom.start_pace(step, interference)
