"""Which host a task goes to.

Load: bookings, standing watchers and large batch jobs share the hosts. The
declared sizes bound what may run; within that, tasks go where they are least
disturbed and where a failure takes the fewest of a step.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Host
    from rattanwing.batch.jobs import OwnedJob, Task
    from rattanwing.batch.model import StepSpec

FILL_CAPACITY_SHARE = 1.0
"""Share of a host's processors that serving, plain and filling tasks may declare
together; above 1 fillers would slow each other down."""

SAME_STEP_WEIGHT = 4_000
"""Thousandths of a core that one more task of a lasting step on a host weighs,
about the size of such a task: spreading comes before free room."""

SAME_DOMAIN_WEIGHT = 1_000
"""The same for a task of the step in the host's failure domain."""

SERVING_WEIGHT = 3_000
"""Thousandths of a core that a serving task beside a filler, or a filler beside
a serving task, weighs: each pair may disturb the other."""

FAR_WEIGHT = 8_000
"""The same for a host on another rack than the data, where work takes longer."""

FAILED_HERE_WEIGHT = 50_000
"""Weight of a host on which the task has failed before: only the last resort."""


class Constraints:
    """What the configuration forbids at this moment.

    :param closed_domains: failure domains that are being emptied.
    """

    __slots__ = ("closed_domains",)

    def __init__(self, closed_domains: frozenset[str] = frozenset()) -> None:
        self.closed_domains = closed_domains


def fits(
    host: Host, job: OwnedJob, step: StepSpec, constraints: Constraints, now: float
) -> bool:
    """Return whether one more task of a step may run on a host."""
    executor = host.executor
    if executor is None or not host.takes_starts(now):
        return False
    if executor.service != job.spec.queue.service:
        return False
    if executor.failure_domain in constraints.closed_domains:
        return False
    if step.label and step.label not in executor.labels:
        return False
    if host.used_memory_mb + step.memory_mb > executor.memory_mb:
        return False
    if host.used_accelerators + step.accelerators > executor.accelerators:
        return False
    if step.fills:
        limit = int(executor.cpu * FILL_CAPACITY_SHARE)
        return host.used_cpu + host.used_fill_cpu + step.cpu <= limit
    return host.used_cpu + step.cpu <= executor.cpu


def count_on(host: Host, task: Task) -> int:
    """Return how many runs of a task's step and occurrence a host has."""
    return sum(
        run.task.id.job_id == task.id.job_id
        and run.task.id.step == task.id.step
        and run.task.id.occurrence == task.id.occurrence
        for run in host.runs.values()
    )


def disturbed(host: Host, step: StepSpec) -> int:
    """Return how many runs on a host a task of the step would disturb or suffer."""
    if step.fills:
        return sum(run.task.step.target_ms > 0 for run in host.runs.values())
    if step.target_ms > 0:
        return sum(
            run.task.step.fills or run.task.step.target_ms > 0
            for run in host.runs.values()
        )
    return 0


def cost(host: Host, task: Task, by_domain: dict[str, int]) -> int:
    """Return how little a host suits a task; the lowest suits best."""
    step = task.step
    executor = host.executor
    total = -host.free_cpu() + SERVING_WEIGHT * disturbed(host, step)
    if step.lasting:
        total += SAME_STEP_WEIGHT * count_on(host, task)
        total += SAME_DOMAIN_WEIGHT * by_domain.get(executor.failure_domain, 0)
    if step.data_rack and step.data_rack not in executor.labels:
        total += FAR_WEIGHT
    if host.name in task.failed_on:
        total += FAILED_HERE_WEIGHT
    return total


def choose_host(
    hosts: list[Host],
    job: OwnedJob,
    task: Task,
    constraints: Constraints,
    now: float,
) -> Host | None:
    """Return the best host for a task, or ``None`` where it must wait.

    Hosts that were seen to fail are used only when no other one is there at all.
    """
    fitting = [h for h in hosts if fits(h, job, task.step, constraints, now)]
    limit = task.step.spread_limit
    if limit:
        fitting = [host for host in fitting if count_on(host, task) < limit]
    healthy = [host for host in fitting if not host.health.is_sick(now)]
    if not healthy and any(
        not h.health.is_sick(now) and h.takes_starts(now) for h in hosts
    ):
        return None
    candidates = healthy or fitting
    if not candidates:
        return None
    by_domain: dict[str, int] = {}
    if task.step.lasting:
        for host in hosts:
            if host.executor is not None:
                domain = host.executor.failure_domain
                by_domain[domain] = by_domain.get(domain, 0) + count_on(host, task)
    return min(candidates, key=lambda host: (cost(host, task, by_domain), host.name))
