"""Chooses a worker for a job's next attempt, and the jobs to preempt for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from random import Random

    from rattanwing.jobs.records import Job, JobSpec

RAMP_UP_S = 20.0
"""Seconds after connecting in which the processors granted on a worker are limited."""

RAMP_UP_START = 0.2
"""Share of its processors that may be granted on a worker that has just connected."""

HIGH_INTERFERENCE = 1.0
"""Interference at or above which a task class is kept away from most executors."""

HIGH_INTERFERENCE_SHARE = 1 / 3
"""Of the workers with an executor in a failure domain, the share on which task classes
of ``HIGH_INTERFERENCE`` or more may run without the limit
``MAX_PREDICTED_SLOWDOWN``."""

MAX_PREDICTED_SLOWDOWN = 0.3
"""On the other workers with an executor, a job of a class of ``HIGH_INTERFERENCE`` or
more is placed only if the predicted slowdown, with the job, is at most this."""

SAMPLE_SIZE = 48
"""Number of workers that a decision considers in a larger deployment."""

FULL_SCAN_WORKERS = 64
"""Number of workers up to which a decision considers all of them."""


class WorkerView(msgspec.Struct):
    """What an entry knows of one worker; it may be out of date.

    :param free_cpu: processors that are granted to no task, less those that this
        entry has granted since the worker's last heartbeat.
    :param latency_ratio: tail latency of the service on the same host divided by its
        target.
    :param connected_at: when the agent's present stream opened.
    :param tasks: number of tasks that this entry knows to be placed there.
    :param predicted_slowdown: share by which the service time of an executor on the
        same host is predicted to grow because of the placed tasks.
    :param hosts_executor: whether the host also runs an executor.
    """

    name: str
    incarnation: str
    failure_domain: str
    rack: str
    cpu: float
    memory_mb: int
    accelerators: int
    free_cpu: float
    free_memory_mb: int
    free_accelerators: int
    latency_ratio: float
    connected_at: float
    tasks: int = 0
    predicted_slowdown: float = 0.0
    hosts_executor: bool = False


class ClusterView:
    """The workers that one round of placement decisions can choose from.

    :param total_cpu: processors by failure domain.
    :param granted_cpu: granted processors by failure domain.
    :param high_interference_workers: names of the workers with an executor on which
        tasks with high interference may run without the limit
        ``MAX_PREDICTED_SLOWDOWN``.
    """

    __slots__ = (
        "workers",
        "total_cpu",
        "granted_cpu",
        "random",
        "high_interference_workers",
    )

    def __init__(self, workers: list[WorkerView], random: Random) -> None:
        self.workers = workers
        self.random = random
        self.total_cpu: dict[str, float] = {}
        self.granted_cpu: dict[str, float] = {}
        for worker in workers:
            domain = worker.failure_domain
            self.total_cpu[domain] = self.total_cpu.get(domain, 0.0) + worker.cpu
            used = worker.cpu - worker.free_cpu
            self.granted_cpu[domain] = self.granted_cpu.get(domain, 0.0) + used
        self.high_interference_workers = choose_high_interference_workers(workers)

    def domain_load(self, domain: str) -> float:
        """Return the granted share of a failure domain's processors."""
        return self.granted_cpu[domain] / self.total_cpu[domain]

    def candidates(self) -> list[WorkerView]:
        """Return all workers of a small deployment, else a random sample.

        The sample keeps the cost of a decision independent of the number of workers.
        """
        if len(self.workers) <= FULL_SCAN_WORKERS:
            return self.workers
        return self.random.sample(self.workers, SAMPLE_SIZE)

    def reserve(
        self, worker: WorkerView, spec: JobSpec, cpu: float, interference: float = 0.0
    ) -> None:
        """Subtract a placement from the free resources of its worker.

        :param cpu: processors granted to the job.
        :param interference: interference of the job's task class.
        """
        worker.predicted_slowdown += interference * cpu / worker.cpu
        worker.free_cpu -= cpu
        worker.free_memory_mb -= spec.memory_mb
        worker.free_accelerators -= spec.accelerators
        worker.tasks += 1
        self.granted_cpu[worker.failure_domain] += cpu


def choose_high_interference_workers(workers: list[WorkerView]) -> set[str]:
    """Choose the workers with an executor that high-interference tasks may use freely.

    In each failure domain these are the workers with the highest predicted slowdown,
    up to a share of those with an executor, so that the service keeps undisturbed
    executors in each domain.

    :returns: names of these workers.
    """
    by_domain: dict[str, list[WorkerView]] = {}
    for worker in workers:
        if worker.hosts_executor:
            by_domain.setdefault(worker.failure_domain, []).append(worker)
    chosen = set()
    for group in by_domain.values():
        group.sort(key=lambda worker: (-worker.predicted_slowdown, worker.name))
        chosen |= {w.name for w in group[: int(len(group) * HIGH_INTERFERENCE_SHARE)]}
    return chosen


def interference_allowed(
    cpu: float, interference: float, worker: WorkerView, cluster: ClusterView
) -> bool:
    """Return whether a job may run on a worker in view of its interference.

    :param cpu: processors that the job would be granted.
    :param interference: interference of the job's task class.
    """
    if not worker.hosts_executor or worker.name in cluster.high_interference_workers:
        return True
    return (
        worker.predicted_slowdown + interference * cpu / worker.cpu
        <= MAX_PREDICTED_SLOWDOWN
        or interference < HIGH_INTERFERENCE
    )


def fits_when_empty(spec: JobSpec, worker: WorkerView) -> bool:
    """Return whether the worker has the capacity for the job when empty."""
    return (
        spec.cpu <= worker.cpu
        and spec.memory_mb <= worker.memory_mb
        and spec.accelerators <= worker.accelerators
    )


def fits(spec: JobSpec, cpu: float, worker: WorkerView, now: float) -> bool:
    """Return whether the worker has room for the job at ``now``.

    The processors that may be granted on a newly connected worker grow for
    ``RAMP_UP_S`` seconds. This limit does not apply to a worker's first
    task.

    :param cpu: processors that the job would be granted.
    """
    if cpu > worker.free_cpu or spec.memory_mb > worker.free_memory_mb:
        return False
    if spec.accelerators > worker.free_accelerators:
        return False
    if worker.tasks == 0:
        return True
    ramp = RAMP_UP_START + (1 - RAMP_UP_START) * (now - worker.connected_at) / RAMP_UP_S
    granted = worker.cpu - worker.free_cpu
    return ramp >= 1.0 or granted + cpu <= worker.cpu * ramp


def cost(
    cpu: float, worker: WorkerView, cluster: ClusterView, interference: float
) -> tuple[float, float]:
    """Return the cost of a placement; the worker with the lowest cost is chosen.

    Classes with high interference prefer workers that are already slowed down, from
    which requests are routed away, and all others prefer the remaining workers.
    At the same predicted slowdown, emptier failure domains and workers cost less, so
    that the loss of a domain stops as few jobs as possible.
    """
    slowdown_cost = (
        -worker.predicted_slowdown
        if interference >= HIGH_INTERFERENCE
        else worker.predicted_slowdown
    )
    share = 1 - (worker.free_cpu - cpu) / worker.cpu
    return (round(slowdown_cost, 1), cluster.domain_load(worker.failure_domain) + share)


def choose_worker(
    job: Job, cpu: float, cluster: ClusterView, now: float, interference: float = 0.0
) -> WorkerView | None:
    """Return the worker for the job's next attempt, or ``None`` if none fits.

    Workers where the job failed before are chosen only if no other one fits.

    :param cpu: processors that the job would be granted.
    :param interference: interference of the job's task class.
    """
    fitting = [
        worker
        for worker in cluster.candidates()
        if fits(job.spec, cpu, worker, now)
        and interference_allowed(cpu, interference, worker, cluster)
    ]
    if not fitting:
        return None
    not_failed_on = [w for w in fitting if w.name not in job.failed_workers]
    return min(
        not_failed_on or fitting, key=lambda w: cost(cpu, w, cluster, interference)
    )


def may_preempt(job: Job, victim: Job, quota_usage: dict[str, float]) -> bool:
    """Return whether a pending job may preempt a placed one.

    An urgent job may preempt any job that is not urgent. Other jobs may preempt only
    if their team is within its quota and the victim's team is over its own.

    :param quota_usage: granted processors divided by the quota, by team.
    """
    if victim.spec.urgency == "urgent" or victim.cancel_asked:
        return False
    if job.spec.urgency == "urgent":
        return True
    within_quota = quota_usage.get(job.spec.team, 0.0) < 1.0
    victim_over_quota = quota_usage.get(victim.spec.team, 0.0) > 1.0
    return within_quota and victim_over_quota


def choose_victims(
    job: Job,
    cpu: float,
    worker: WorkerView,
    placed_jobs: list[Job],
    quota_usage: dict[str, float],
) -> list[Job] | None:
    """Return the placed jobs to stop so that ``job`` fits, or ``None``.

    Jobs that were submitted last are chosen first, since they lose the least work.

    :param cpu: processors that the job would be granted.
    :param placed_jobs: jobs that are placed on the worker.
    :param quota_usage: granted processors divided by the quota, by team.
    :returns: ``None`` if stopping all that the job may preempt is not enough.
    """
    missing_cpu = cpu - worker.free_cpu
    missing_memory_mb = job.spec.memory_mb - worker.free_memory_mb
    missing_accelerators = job.spec.accelerators - worker.free_accelerators
    victims = []
    allowed = [
        victim for victim in placed_jobs if may_preempt(job, victim, quota_usage)
    ]
    for victim in sorted(allowed, key=lambda v: (-v.submitted_at, v.spec.id)):
        if missing_cpu <= 0 and missing_memory_mb <= 0 and missing_accelerators <= 0:
            break
        missing_cpu -= victim.granted_cpu
        missing_memory_mb -= victim.spec.memory_mb
        missing_accelerators -= victim.spec.accelerators
        victims.append(victim)
    if missing_cpu > 0 or missing_memory_mb > 0 or missing_accelerators > 0:
        return None
    return victims


def order_pending(jobs: list[Job], quota_usage: dict[str, float]) -> list[Job]:
    """Return pending jobs in the order in which they are placed.

    Urgent jobs come first, then those of the team that uses the least of its quota,
    then those that were submitted first.

    :param quota_usage: granted processors divided by the quota, by team.
    """
    return sorted(
        jobs,
        key=lambda job: (
            job.spec.urgency != "urgent",
            quota_usage.get(job.spec.team, 0.0),
            job.submitted_at,
            job.spec.id,
        ),
    )
