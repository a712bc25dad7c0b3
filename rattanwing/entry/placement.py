"""Where the next attempt of a job should run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from rattanwing.jobs.records import Job, JobSpec

RAMP_UP_S = 20.0
RAMP_UP_START = 0.2
PRESSURE_LIMIT = 0.8


class WorkerView(msgspec.Struct):
    """What an entry believes of one worker.

    :param free_cpu: processors that no task was granted, less what this entry
        has placed since the worker's last heartbeat.
    :param pressure: latency of the service beside, as a share of its target.
    :param tasks: tasks that this entry knows to be placed there.
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


def could_ever_fit(spec: JobSpec, worker: WorkerView) -> bool:
    """Return whether the empty worker would hold the job."""
    return (
        spec.cpu <= worker.cpu
        and spec.memory_mb <= worker.memory_mb
        and spec.accelerators <= worker.accelerators
    )


def fits(spec: JobSpec, worker: WorkerView, now: float) -> bool:
    """Return whether the worker has room now; a new one fills up slowly."""
    age = now - worker.connected_at
    ramp = min(1.0, RAMP_UP_START + (1 - RAMP_UP_START) * age / RAMP_UP_S)
    granted = worker.cpu - worker.free_cpu
    return (
        spec.cpu <= worker.free_cpu
        and spec.memory_mb <= worker.free_memory_mb
        and spec.accelerators <= worker.free_accelerators
        and (worker.tasks == 0 or granted + spec.cpu <= worker.cpu * ramp)
    )


def cost(
    spec: JobSpec, worker: WorkerView, domain_load: dict[str, float]
) -> tuple[float, float]:
    """Return the cost of a placement; the least one wins.

    Services under pressure come last, then the fuller failure domain, then
    the fuller worker, so that the loss of one domain costs the least.
    """
    pressed = worker.pressure if worker.pressure > PRESSURE_LIMIT else 0.0
    share = 1 - (worker.free_cpu - spec.cpu) / worker.cpu
    return (pressed, domain_load.get(worker.failure_domain, 0.0) + share)


def domain_loads(workers: list[WorkerView]) -> dict[str, float]:
    """Return the granted share of each failure domain's processors."""
    total: dict[str, float] = {}
    granted: dict[str, float] = {}
    for worker in workers:
        domain = worker.failure_domain
        total[domain] = total.get(domain, 0.0) + worker.cpu
        used = worker.cpu - worker.free_cpu
        granted[domain] = granted.get(domain, 0.0) + used
    return {domain: granted[domain] / total[domain] for domain in total}


def choose_worker(job: Job, workers: list[WorkerView], now: float) -> WorkerView | None:
    """Return the worker for the job's next attempt, or ``None``.

    A worker where the job itself failed before is avoided while others fit.
    """
    fitting = [w for w in workers if fits(job.spec, w, now)]
    fresh = [w for w in fitting if w.name not in job.failed_workers]
    if not fitting:
        return None
    loads = domain_loads(workers)
    return min(fresh or fitting, key=lambda w: cost(job.spec, w, loads))


def reserve(worker: WorkerView, spec: JobSpec) -> None:
    """Take a placement off the worker's room."""
    worker.free_cpu -= spec.cpu
    worker.free_memory_mb -= spec.memory_mb
    worker.free_accelerators -= spec.accelerators
    worker.tasks += 1


def order(jobs: list[Job], team_cpu: dict[str, float]) -> list[Job]:
    """Return pending jobs, urgent first, then teams with the least share.

    :param team_cpu: processors in use over quota, by team.
    """
    return sorted(
        jobs,
        key=lambda job: (
            job.spec.urgency != "urgent",
            team_cpu.get(job.spec.team, 0.0),
            job.submitted_at,
            job.spec.id,
        ),
    )
