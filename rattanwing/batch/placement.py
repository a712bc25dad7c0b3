"""Which host a task goes to.

Load: bookings, standing watchers and large batch jobs share the hosts. The
declared sizes bound what may run; within that, tasks go where they are least
disturbed and where a failure takes the fewest of a step.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.batch.sharing import sharing_of

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Host
    from rattanwing.batch.jobs import OwnedJob, Task
    from rattanwing.batch.model import StepSpec
    from rattanwing.batch.pressure import PressureModel

PRESSURE_WEIGHT = 10_000
"""Thousandths of a core that the headroom of a whole target weighs: a tenth of it
is worth one core of free room."""

PRESSURE_LIMIT = 1.2
"""Headroom that the fillers of a host may take from a serving task together. Beside
tasks whose loads swing by themselves about as much is left on average; what is
beyond it would mostly wait for its pace."""

SAME_STEP_WEIGHT = 16_000
"""Thousandths of a core that one more task of a lasting step on a host weighs, two
large tasks: spreading comes before free room and before like images."""

SAME_DOMAIN_WEIGHT = 1_000
"""The same for a task of the step in the host's failure domain."""

SAME_IMAGE_WEIGHT = 1.25
"""What a serving task of the same image on a host is worth to another one, as a
multiple of its declared size: a little more than the room that it takes, so that
like images fill a host and what presses on them finds hosts without them."""

OTHER_IMAGE_WEIGHT = 1.0
"""What a serving task of another image weighs, in the same unit."""

FAR_WEIGHT = 8_000
"""The same for a host on another rack than the data, where work takes longer."""

STARVED_AFTER_S = 1.2
"""After this time without a run a job is placed where it does not suit: a third
of the 3 s after which the platform counts it as forgotten."""

FAILED_HERE_WEIGHT = 50_000
"""Weight of a host on which the task has failed before: only the last resort."""


class Constraints:
    """What the configuration forbids at this moment.

    :param closed_domains: failure domains that are being emptied.
    """

    __slots__ = ("closed_domains",)

    def __init__(self, closed_domains: frozenset[str] = frozenset()) -> None:
        self.closed_domains = closed_domains


def obstacle(
    host: Host, job: OwnedJob, step: StepSpec, constraints: Constraints, now: float
) -> str:
    """Return why no more task of a step may run on a host; empty if one may."""
    executor = host.executor
    if executor is None or not host.takes_starts(now):
        return "takes-no-starts"
    if executor.service != job.spec.queue.service:
        return "other-service"
    if executor.failure_domain in constraints.closed_domains:
        return "domain-closed"
    if step.label and step.label not in executor.labels:
        return "label"
    if host.used_memory_mb + step.memory_mb > executor.memory_mb:
        return "memory"
    if host.used_accelerators + step.accelerators > executor.accelerators:
        return "accelerators"
    if not step.fills and host.used_cpu + step.cpu > executor.cpu:
        return "cpu"
    return ""


def count_obstacles(
    hosts: list[Host],
    job: OwnedJob,
    task: Task,
    constraints: Constraints,
    pressures: PressureModel,
    now: float,
) -> dict[str, int]:
    """Return how many hosts a task can't have, by the first reason."""
    counts: dict[str, int] = {}
    for host in hosts:
        reason = obstacle(host, job, task.step, constraints, now)
        if not reason and 0 < task.step.spread_limit <= count_on(host, task):
            reason = "spread"
        if not reason and not suits(host, task.step, pressures, now):
            reason = "does-not-suit"
        if reason:
            counts[reason] = counts.get(reason, 0) + 1
    return counts


def suits(host: Host, step: StepSpec, pressures: PressureModel, now: float) -> bool:
    """Return whether one more task of a step should run on a host.

    A filler should find unused room, and serving tasks that bear it beside the
    fillers that are there; one that presses too hard for any task goes where it is
    the only one.
    """
    if host.health.is_sick(now):
        return False
    if not step.fills:
        return True
    sharing = sharing_of(host, pressures, now)
    return step.cpu <= sharing.room and all(
        together <= max(PRESSURE_LIMIT, own)
        for own, together in sharing.pressed(step, pressures)
    )


def count_on(host: Host, task: Task) -> int:
    """Return how many runs of a task's step and occurrence a host has."""
    return sum(
        run.task.id.job_id == task.id.job_id
        and run.task.id.step == task.id.step
        and run.task.id.occurrence == task.id.occurrence
        for run in host.runs.values()
    )


def worst_pressure(
    host: Host, step: StepSpec, pressures: PressureModel, now: float
) -> float:
    """Return the most headroom that fillers would take from one serving task.

    Of the tasks on which a filler presses, or of the serving task that is placed.
    """
    if step.fills:
        pressed = sharing_of(host, pressures, now).pressed(step, pressures)
        return max((together for _own, together in pressed), default=0.0)
    if step.target_ms <= 0:
        return 0.0
    fillers = [run.task.step for run in host.runs.values() if run.task.step.fills]
    return sum(
        pressures.pressure(step.image, filler.image, filler.cpu) for filler in fillers
    )


def cost(
    host: Host,
    task: Task,
    by_domain: dict[str, int],
    pressures: PressureModel,
    now: float,
) -> int:
    """Return how little a host suits a task; the lowest suits best."""
    step = task.step
    executor = host.executor
    total = -host.free_cpu()
    if step.fills:
        total = -sharing_of(host, pressures, now).room
    total += int(PRESSURE_WEIGHT * worst_pressure(host, step, pressures, now))
    if step.target_ms > 0:
        total += cost_of_images(host, task)
    if step.lasting:
        total += SAME_STEP_WEIGHT * count_on(host, task)
        total += SAME_DOMAIN_WEIGHT * by_domain.get(executor.failure_domain, 0)
    if step.data_rack and step.data_rack not in executor.labels:
        total += FAR_WEIGHT
    if host.name in task.failed_on:
        total += FAILED_HERE_WEIGHT
    return total


def cost_of_images(host: Host, task: Task) -> int:
    """Return how little the serving tasks on a host go with one more.

    Tasks of its own job do not draw it: a failure would take them together.
    """
    weight = 0.0
    for run in host.runs.values():
        other = run.task
        if other.step.target_ms <= 0:
            continue
        if other.step.image != task.step.image:
            weight += OTHER_IMAGE_WEIGHT
        elif other.id.job_id != task.id.job_id:
            weight -= SAME_IMAGE_WEIGHT
    return int(weight * task.step.cpu)


def choose_host(
    hosts: list[Host],
    job: OwnedJob,
    task: Task,
    constraints: Constraints,
    pressures: PressureModel,
    now: float,
) -> Host | None:
    """Return the best host for a task, or ``None`` where it must wait.

    A job of which nothing has run for ``STARVED_AFTER_S`` takes any host that has
    the room.
    """
    fitting = [h for h in hosts if not obstacle(h, job, task.step, constraints, now)]
    limit = task.step.spread_limit
    if limit:
        fitting = [host for host in fitting if count_on(host, task) < limit]
    candidates = [host for host in fitting if suits(host, task.step, pressures, now)]
    if not candidates and job.is_starved(now, STARVED_AFTER_S):
        candidates = fitting
    if not candidates:
        return None
    by_domain: dict[str, int] = {}
    if task.step.lasting:
        for host in hosts:
            if host.executor is not None:
                domain = host.executor.failure_domain
                by_domain[domain] = by_domain.get(domain, 0) + count_on(host, task)
    return min(
        candidates, key=lambda h: (cost(h, task, by_domain, pressures, now), h.name)
    )
