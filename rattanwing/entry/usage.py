"""Resources granted to placed jobs, summed by worker and by team.

The sums are updated with each record of a shard, so that a scheduling decision
does not have to visit every job.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.jobs.records import Job
    from rattanwing.jobs.shard import ShardState
    from rattanwing.log.stream import Outcome

NEGLIGIBLE_CPU = 1e-6
"""Processors; a smaller sum is a rounding error of sums that should be 0."""


class GrantedResources(msgspec.Struct):
    """Resources granted to a group of placed jobs.

    :param cpu: processors.
    :param tasks: number of placed jobs.
    :param task_class_cpu: processors by task class.
    """

    cpu: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    tasks: int = 0
    task_class_cpu: dict[str, float] = {}

    def add(self, job: Job, sign: int) -> None:
        """Add a job's resources (``sign`` 1) or subtract them (``sign`` -1)."""
        self.cpu += sign * job.granted_cpu
        self.memory_mb += sign * job.spec.memory_mb
        self.accelerators += sign * job.spec.accelerators
        self.tasks += sign
        name = job.spec.task_class
        class_cpu_left = self.task_class_cpu.get(name, 0.0) + sign * job.granted_cpu
        self.task_class_cpu[name] = class_cpu_left
        if class_cpu_left <= NEGLIGIBLE_CPU:
            del self.task_class_cpu[name]


class PlacedJobs:
    """The placed jobs of all shards, by worker and team.

    :param counted_worker: by job, the worker whose sums include the job.
    :param jobs_by_worker: placed jobs by worker and job name.
    """

    __slots__ = (
        "counted_worker",
        "jobs_by_worker",
        "granted_by_worker",
        "granted_by_team",
    )

    def __init__(self) -> None:
        self.counted_worker: dict[str, str] = {}
        self.jobs_by_worker: dict[str, dict[str, Job]] = {}
        self.granted_by_worker: dict[str, GrantedResources] = {}
        self.granted_by_team: dict[str, GrantedResources] = {}

    def update(self, job: Job) -> None:
        """Update the sums to a job's present state."""
        name = job.spec.id
        old_worker = self.counted_worker.get(name)
        new_worker = job.worker if job.state == "placed" else None
        if old_worker == new_worker:
            return
        if old_worker is not None:
            self.adjust_sums(job, old_worker, -1)
            del self.counted_worker[name]
            del self.jobs_by_worker[old_worker][name]
        if new_worker is not None:
            self.adjust_sums(job, new_worker, 1)
            self.counted_worker[name] = new_worker
            self.jobs_by_worker.setdefault(new_worker, {})[name] = job

    def adjust_sums(self, job: Job, worker: str, sign: int) -> None:
        """Add a job to the sums of its worker and team, or subtract it."""
        self.granted_by_worker.setdefault(worker, GrantedResources()).add(job, sign)
        self.granted_by_team.setdefault(job.spec.team, GrantedResources()).add(
            job, sign
        )

    def load(self, state: ShardState) -> None:
        """Add every placed job of a shard to the sums."""
        for job in state.jobs.values():
            self.update(job)

    def jobs_on(self, worker: str) -> list[Job]:
        """Return the jobs that are placed on a worker."""
        return list(self.jobs_by_worker.get(worker, {}).values())


def setup(app: Application) -> None:
    """Register the service ``placed`` and subscribe it to every shard's records."""
    placed = PlacedJobs()
    app.add_service("placed", placed)
    for shard in app.get("shards").shards:
        subscribe(placed, shard.state, shard.stream.on_applied)


def subscribe(placed: PlacedJobs, state: ShardState, on_applied: list) -> None:
    """Update the sums after each record of a shard.

    A snapshot may have been loaded before the first record, so all jobs are counted
    then.
    """
    loaded = False

    def handle_outcome(outcome: Outcome, _time: float, _payload: bytes) -> None:
        nonlocal loaded
        if not loaded:
            placed.load(state)
            loaded = True
        job = state.find(outcome.job) if outcome.job else None
        if job is not None:
            placed.update(job)

    on_applied.append(handle_outcome)
