"""Where the next attempt of a job should run, and what must make way for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from random import Random

    from rattanwing.jobs.records import Job, JobSpec

RAMP_UP_S = 20.0
RAMP_UP_START = 0.2
HIGH_INTERFERENCE = 1.0
HIGH_INTERFERENCE_SHARE = 1 / 3
MAX_PREDICTED_SLOWDOWN = 0.3
SAMPLE_SIZE = 48
FULL_SCAN_WORKERS = 64


class WorkerView(msgspec.Struct):
    """What an entry believes of one worker.

    :param free_cpu: processors that no task was granted, less what this entry
        has placed since the worker's last heartbeat.
    :param pressure: latency of the service beside, as a share of its target.
    :param tasks: tasks that this entry knows to be placed there.
    :param predicted_slowdown: fraction by which the tasks there slow a service.
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
    pressure: float
    connected_at: float
    tasks: int = 0
    predicted_slowdown: float = 0.0
    hosts_executor: bool = False


class ClusterView:
    """The workers of one round of decisions.

    :param high_interference: names of the workers that noisy tasks are kept to.
    """

    __slots__ = ("workers", "total_cpu", "granted_cpu", "random", "high_interference")

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
        self.high_interference = high_interference_workers(workers)

    def domain_load(self, domain: str) -> float:
        """Return the granted share of a failure domain's processors."""
        return self.granted_cpu[domain] / self.total_cpu[domain]

    def candidates(self) -> list[WorkerView]:
        """Return all workers of a small deployment, else a random sample.

        The cost of a decision then does not grow with the deployment.
        """
        if len(self.workers) <= FULL_SCAN_WORKERS:
            return self.workers
        return self.random.sample(self.workers, SAMPLE_SIZE)

    def reserve(
        self, worker: WorkerView, spec: JobSpec, cpu: float, interference: float = 0.0
    ) -> None:
        """Take a placement with ``cpu`` granted processors off the cluster.

        :param interference: that of the job's class.
        """
        worker.predicted_slowdown += interference * cpu / worker.cpu
        worker.free_cpu -= cpu
        worker.free_memory_mb -= spec.memory_mb
        worker.free_accelerators -= spec.accelerators
        worker.tasks += 1
        self.granted_cpu[worker.failure_domain] += cpu


def high_interference_workers(workers: list[WorkerView]) -> set[str]:
    """Return the workers that noisy tasks are kept to.

    They are a share of each failure domain's workers with an executor, the
    noisiest first, so that the service keeps quiet executors in each domain.
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
    """Return whether a job's noise is allowed on a worker.

    :param interference: that of the job's class.
    """
    if not worker.hosts_executor or worker.name in cluster.high_interference:
        return True
    return (
        worker.predicted_slowdown + interference * cpu / worker.cpu
        <= MAX_PREDICTED_SLOWDOWN
        or interference < HIGH_INTERFERENCE
    )


def fits_when_empty(spec: JobSpec, worker: WorkerView) -> bool:
    """Return whether the empty worker would hold the job."""
    return (
        spec.cpu <= worker.cpu
        and spec.memory_mb <= worker.memory_mb
        and spec.accelerators <= worker.accelerators
    )


def fits(spec: JobSpec, cpu: float, worker: WorkerView, now: float) -> bool:
    """Return whether the worker has room now; a new one fills up slowly.

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
    """Return the cost of a placement; the least one wins.

    Noisy classes keep together, where requests are led away from them, and
    quiet ones keep to the other workers. Then comes the fuller failure domain
    and the fuller worker, so that the loss of one domain costs the least.
    """
    together = (
        -worker.predicted_slowdown
        if interference >= HIGH_INTERFERENCE
        else worker.predicted_slowdown
    )
    share = 1 - (worker.free_cpu - cpu) / worker.cpu
    return (round(together, 1), cluster.domain_load(worker.failure_domain) + share)


def choose_worker(
    job: Job, cpu: float, cluster: ClusterView, now: float, interference: float = 0.0
) -> WorkerView | None:
    """Return the worker for the job's next attempt, or ``None``.

    :param cpu: processors that the job would be granted.
    :param interference: that of the job's class.

    A worker where the job itself failed before is avoided while others fit.
    """
    fitting = [
        worker
        for worker in cluster.candidates()
        if fits(job.spec, cpu, worker, now)
        and interference_allowed(cpu, interference, worker, cluster)
    ]
    if not fitting:
        return None
    fresh = [w for w in fitting if w.name not in job.failed_workers]
    return min(fresh or fitting, key=lambda w: cost(cpu, w, cluster, interference))


def may_preempt(job: Job, victim: Job, quota_usage: dict[str, float]) -> bool:
    """Return whether a pending job may take the place of a running one.

    Urgent work goes before batch work, and a team within its quota takes back
    what a team over its quota has borrowed.
    """
    if victim.spec.urgency == "urgent" or victim.cancel_asked:
        return False
    if job.spec.urgency == "urgent":
        return True
    within = quota_usage.get(job.spec.team, 0.0) < 1.0
    borrowed = quota_usage.get(victim.spec.team, 0.0) > 1.0
    return within and borrowed


def choose_victims(
    job: Job,
    cpu: float,
    worker: WorkerView,
    running: list[Job],
    quota_usage: dict[str, float],
) -> list[Job] | None:
    """Return the running jobs that must stop for ``job``, or ``None``.

    :param cpu: processors that the job would be granted.

    The youngest go first, since they lose the least.
    """
    missing_cpu = cpu - worker.free_cpu
    missing_memory_mb = job.spec.memory_mb - worker.free_memory_mb
    missing_accelerators = job.spec.accelerators - worker.free_accelerators
    victims = []
    allowed = [victim for victim in running if may_preempt(job, victim, quota_usage)]
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
    """Return pending jobs, urgent first, then teams with the least share.

    :param quota_usage: processors in use over quota, by team.
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
