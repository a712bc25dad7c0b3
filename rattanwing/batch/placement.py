"""Chooses the host for a task.

Short jobs, long-running services and large batch jobs share the hosts. Declared
sizes limit what may run on a host. Among the hosts with enough free resources, a
task goes to the one where it suffers and causes the least interference and where the
failure of a host or failure domain ends the fewest tasks of a step.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.batch.colocation import summarize_colocation
from rattanwing.batch.headroom import expected_start_pace
from rattanwing.batch.pacing import FULL_PERCENT
from rattanwing.batch.suspicion import must_start_alone

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattanwing.batch.hosts import Host
    from rattanwing.batch.interference import InterferenceModel
    from rattanwing.batch.jobs import OwnedJob, Task
    from rattanwing.batch.model import StepSpec

INTERFERENCE_WEIGHT = 10_000
"""Cost of losing 1.0 of headroom, in thousandths of a core; losing 0.1 costs as much as
having one free core less."""

INTERFERENCE_LIMIT = 1.2
"""Limit on the headroom that a serving task may lose to all best-effort tasks of its
host. About this much is available on average while the loads of serving tasks vary;
best-effort tasks beyond it would be paced down most of the time."""

START_PACE_WEIGHT = 40_000
"""Cost of a host on which a best-effort task would start at pace 0, in thousandths of a
core; it takes precedence over unused CPU, which suffices on all suitable hosts."""

SAME_STEP_WEIGHT = 16_000
"""Cost of each task of the same long-running step on a host beyond ``MAX_STEP_SHARE``,
in thousandths of a core. It equals two large tasks, so that it takes precedence over
free CPU and over grouping tasks of one image."""

MAX_STEP_SHARE = 1 / 6
"""Largest share of the tasks of a long-running step that one host should run; the
failure of a host ends no more than these, but at least one. The tasks of a step also
have their peaks of load at the same time."""

SAME_DOMAIN_WEIGHT = 1_000
"""Cost of each task of the same long-running step in the host's failure domain, in
thousandths of a core."""

SAME_IMAGE_WEIGHT = 1.25
"""Gain from each serving task of the same image on a host, as a multiple of the placed
task's declared CPU. It slightly outweighs the CPU that a task takes, so that serving
tasks of one image gather on few hosts and leave others to the best-effort tasks that
interfere with them."""

OTHER_IMAGE_WEIGHT = 2.0
"""Cost of each serving task of another image on a host, as a multiple of the placed
task's declared CPU."""

REMOTE_DATA_WEIGHT = 8_000
"""Cost of a host outside the rack that holds the data, in thousandths of a core; tasks
take longer there."""

STARVED_AFTER_S = 1.2
"""Time in seconds without a run after which a job may also use unsuitable hosts: less
than half of the 3 s without a run after which the platform counts a job as
neglected."""

FAILED_HERE_WEIGHT = 50_000
"""Cost of a host on which the task has failed before, in thousandths of a core: such a
host is a last resort."""

MIN_LEASE_S = 2.0
"""Shortest remaining time of a host's lease, in seconds, with which runs are started
there. Less remains only while the owner can't extend leases."""

REFUSED_WEIGHT = 50_000
"""Cost of a host that has refused the task, or lately any start, in thousandths of a
core."""


SUSPECT_HOST_WEIGHT = 100_000
"""Cost of a host that runs a task suspected of crashing executors, in thousandths of a
core: it is avoided while there is room elsewhere."""

UNPROVEN_WEIGHT = 10_000
"""Cost for a suspected task of each run that has just started on a host, in thousandths
of a core. If the host crashes, such runs are suspected as well."""


MAX_RUNS_PER_HOST = 2_000
"""Most runs on one host, for tasks that declare next to nothing. The agent lists all of
them in each report."""


class Constraints:
    """Placement limits set by the current configuration.

    :param closed_domains: failure domains in which no task may start.
    """

    __slots__ = ("closed_domains",)

    def __init__(self, closed_domains: frozenset[str] = frozenset()) -> None:
        self.closed_domains = closed_domains


def rejection_reason(
    host: Host, job: OwnedJob, step: StepSpec, constraints: Constraints, now: float
) -> str:
    """Return why a host can't run one more task of a step; empty if it can."""
    service = job.spec.queue.service
    return closed_reason(host, service, constraints, now) or shortage(host, step)


def closed_reason(
    host: Host, service: str, constraints: Constraints, now: float
) -> str:
    """Return why a host can't run any more task of a service; empty if it can."""
    executor = host.executor
    if executor is None or not host.accepts_starts(now):
        return "takes-no-starts"
    if executor.service != service:
        return "other-service"
    if executor.failure_domain in constraints.closed_domains:
        return "domain-closed"
    if host.leased_until - now < MIN_LEASE_S:
        return "no-lease"
    if host.health.is_refusing(now):
        return "refuses-starts"
    return ""


def shortage(host: Host, step: StepSpec) -> str:
    """Return what an open host lacks for one more task of a step; empty if nothing."""
    executor = host.executor
    if len(host.runs) >= MAX_RUNS_PER_HOST:
        return "runs"
    if not step.best_effort and host.reserved_cpu + step.cpu > executor.cpu:
        return "cpu"
    if step.label and step.label not in executor.labels:
        return "label"
    if host.reserved_memory_mb + step.memory_mb > executor.memory_mb:
        return "memory"
    if host.reserved_accelerators + step.accelerators > executor.accelerators:
        return "accelerators"
    return ""


def lacks_alike(step: StepSpec) -> bool:
    """Return whether all occurrences of a step lack the same hosts to start."""
    return not (step.spread_limit or step.data_rack or step.same_rack)


class OpenHosts:
    """The hosts that may run more tasks, found once per round and service.

    Each round places tasks on the hosts freed since the round before; creating this
    object starts a new round.

    :param freed: the hosts that may be able to run more than in the previous round.
    :param by_service: open hosts by service, and by whether all are listed or only
        the freed ones.
    """

    __slots__ = ("hosts", "freed", "constraints", "now", "by_service")

    def __init__(
        self, hosts: Iterable[Host], constraints: Constraints, now: float
    ) -> None:
        self.hosts = list(hosts)
        self.freed = [host for host in self.hosts if host.freed]
        for host in self.freed:
            host.freed = False
        self.constraints = constraints
        self.now = now
        self.by_service: dict[tuple[str, bool], list[Host]] = {}

    def list(self, service: str, everywhere: bool) -> list[Host]:
        """Return the open hosts of a service, in the order in which they were added.

        :param everywhere: whether to list all of them, or only those freed.
        """
        key = service, everywhere
        if key not in self.by_service:
            self.by_service[key] = [
                host
                for host in (self.hosts if everywhere else self.freed)
                if not closed_reason(host, service, self.constraints, self.now)
            ]
        return self.by_service[key]


def count_rejections(
    hosts: list[Host],
    job: OwnedJob,
    task: Task,
    constraints: Constraints,
    interference: InterferenceModel,
    now: float,
) -> dict[str, int]:
    """Return the number of hosts rejected for a task, by the first reason found."""
    counts: dict[str, int] = {}
    for host in hosts:
        reason = rejection_reason(host, job, task.step, constraints, now)
        if not reason and 0 < task.step.spread_limit <= count_runs_on(host, task):
            reason = "spread"
        if not reason and task.is_suspect() and host.runs_suspect_of_other_job(job):
            reason = "runs-suspect"
        if not reason and waits_to_start_alone(task, now) and host.count_unproven():
            reason = "not-alone"
        if not reason and not task.is_suspect() and host.is_held(now):
            reason = "tests-suspect"
        if not reason:
            reason = unsuitable_reason(host, task.step, interference, now)
        if reason:
            counts[reason] = counts.get(reason, 0) + 1
    return counts


def unsuitable_reason(
    host: Host, step: StepSpec, interference: InterferenceModel, now: float
) -> str:
    """Return why one more task of a step should not run on a host; empty if it should.

    A best-effort task needs enough unused CPU, and its interference must keep the
    loss of each serving task within ``INTERFERENCE_LIMIT``. A task that exceeds
    the limit by itself is still suitable if no other best-effort task interferes with
    the same serving image. It also needs headroom to start with.
    """
    if host.health.is_failing(now):
        return "failing"
    if not step.best_effort:
        return ""
    colocation = summarize_colocation(host, interference)
    if step.cpu > colocation.best_effort_cpu_available:
        return "best-effort-cpu"
    for own, total in colocation.losses_with(step, interference):
        if total > max(INTERFERENCE_LIMIT, own):
            return "interference"
    if expected_start_pace(host, step, interference) == 0:
        return "headroom"
    return ""


def count_runs_on(host: Host, task: Task) -> int:
    """Return the number of runs on a host of a task's step and occurrence."""
    return sum(
        run.task.id.job_id == task.id.job_id
        and run.task.id.step == task.id.step
        and run.task.id.occurrence == task.id.occurrence
        for run in host.runs.values()
    )


def largest_headroom_loss(
    host: Host, step: StepSpec, interference: InterferenceModel, now: float
) -> float:
    """Return the largest loss of headroom of any one serving task.

    For a best-effort step, this covers the serving tasks that it interferes with;
    for a serving step, the new task itself.
    """
    if step.best_effort:
        losses = summarize_colocation(host, interference).losses_with(
            step, interference
        )
        return max((total for _own, total in losses), default=0.0)
    if step.target_ms <= 0:
        return 0.0
    best_effort = [
        run.task.step for run in host.runs.values() if run.task.step.best_effort
    ]
    return sum(
        interference.expected_loss(step.image, other.image, other.cpu)
        for other in best_effort
    )


def cost(
    host: Host,
    task: Task,
    by_domain: dict[str, int],
    interference: InterferenceModel,
    now: float,
) -> int:
    """Return the cost of placing a task on a host, in thousandths of a core.

    :param by_domain: runs of the task's step by failure domain.
    """
    step = task.step
    executor = host.executor
    total = -host.free_cpu()
    if step.best_effort:
        total = -summarize_colocation(host, interference).best_effort_cpu_available
        pace = expected_start_pace(host, step, interference)
        total += START_PACE_WEIGHT * (FULL_PERCENT - pace) // FULL_PERCENT
    total += int(
        INTERFERENCE_WEIGHT * largest_headroom_loss(host, step, interference, now)
    )
    if step.target_ms > 0:
        total += image_cost(host, task)
    if step.long_running:
        excess = (
            count_runs_on(host, task) + 1 - max(1, int(step.count * MAX_STEP_SHARE))
        )
        total += SAME_STEP_WEIGHT * max(0, excess)
        total += SAME_DOMAIN_WEIGHT * by_domain.get(executor.failure_domain, 0)
    if step.data_rack and step.data_rack not in executor.labels:
        total += REMOTE_DATA_WEIGHT
    if host.name in task.failed_on:
        total += FAILED_HERE_WEIGHT
    if host.name in task.refused_on or host.health.has_refused_lately(now):
        total += REFUSED_WEIGHT
    if task.is_suspect():
        total += UNPROVEN_WEIGHT * host.count_unproven()
    elif host.tests_suspect():
        total += SUSPECT_HOST_WEIGHT
    return total


def image_cost(host: Host, task: Task) -> int:
    """Return what a host's serving tasks add to the cost of placing one more there.

    Tasks of the same image lower the cost.
    """
    weight = 0.0
    for run in host.runs.values():
        other = run.task
        if other.step.target_ms <= 0:
            continue
        if other.step.image != task.step.image:
            weight += OTHER_IMAGE_WEIGHT
        else:
            weight -= SAME_IMAGE_WEIGHT
    return int(weight * task.step.cpu)


def choose_host(
    hosts: list[Host],
    job: OwnedJob,
    task: Task,
    interference: InterferenceModel,
    now: float,
) -> Host | None:
    """Return the host with the lowest cost for a task, ``None`` if there is none.

    A job without a run for ``STARVED_AFTER_S`` may use any host with enough free
    resources, including unsuitable ones; failing ones only if there is no other.

    :param hosts: hosts for which :func:`closed_reason` is empty.
    """
    fitting = [host for host in hosts if not shortage(host, task.step)]
    limit = task.step.spread_limit
    if limit:
        fitting = [host for host in fitting if count_runs_on(host, task) < limit]
    if task.is_suspect():
        fitting = [h for h in fitting if not h.runs_suspect_of_other_job(job)]
        if waits_to_start_alone(task, now):
            fitting = [h for h in fitting if not h.count_unproven()]
    else:
        fitting = [h for h in fitting if not h.is_held(now)]
    candidates = [
        host
        for host in fitting
        if not unsuitable_reason(host, task.step, interference, now)
    ]
    if not candidates and job.is_starved(now, STARVED_AFTER_S):
        healthy = [host for host in fitting if not host.health.is_failing(now)]
        candidates = healthy or fitting
    if not candidates:
        return None
    by_domain = count_runs_by_domain(job, task) if task.step.long_running else {}
    return min(
        candidates, key=lambda h: (cost(h, task, by_domain, interference, now), h.name)
    )


def waits_to_start_alone(task: Task, now: float) -> bool:
    """Return whether a task starts only on hosts where nothing has just started.

    A suspected task that has waited for long starts beside others.
    """
    if not must_start_alone(len(task.crashed_on)):
        return False
    return not task.job.step_of(task).has_waited_long(now)


def count_runs_by_domain(job: OwnedJob, task: Task) -> dict[str, int]:
    """Return the number of runs of a task's step and occurrence by failure domain."""
    counts: dict[str, int] = {}
    for member in job.step_of(task).held.values():
        for run in member.runs:
            if run.host.executor is not None:
                domain = run.host.executor.failure_domain
                counts[domain] = counts.get(domain, 0) + 1
    return counts
