"""What the log places on each worker and grants to each team, kept up to date.

Updated record by record, so that a decision need not visit every job.
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


class GrantedResources(msgspec.Struct):
    """Sums over placed jobs.

    :param cpu: processors.
    :param class_cpu: processors by task class.
    """

    cpu: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    tasks: int = 0
    class_cpu: dict[str, float] = {}

    def add(self, job: Job, sign: int) -> None:
        """Add a job (``sign`` 1) or take it off (-1)."""
        self.cpu += sign * job.granted_cpu
        self.memory_mb += sign * job.spec.memory_mb
        self.accelerators += sign * job.spec.accelerators
        self.tasks += sign
        name = job.spec.task_class
        left = self.class_cpu.get(name, 0.0) + sign * job.granted_cpu
        self.class_cpu[name] = left
        if left <= NEGLIGIBLE_CPU:
            del self.class_cpu[name]


class PlacedJobs:
    """The placed jobs of all shards by worker and team.

    :param counted_at: worker that each placed job is counted at.
    """

    __slots__ = ("counted_at", "jobs_by_worker", "granted_by_worker", "granted_by_team")

    def __init__(self) -> None:
        self.counted_at: dict[str, str] = {}
        self.jobs_by_worker: dict[str, dict[str, Job]] = {}
        self.granted_by_worker: dict[str, GrantedResources] = {}
        self.granted_by_team: dict[str, GrantedResources] = {}

    def update(self, job: Job) -> None:
        """Count a job according to its present state."""
        name = job.spec.id
        counted = self.counted_at.get(name)
        wanted = job.worker if job.state == "placed" else None
        if counted == wanted:
            return
        if counted is not None:
            self.adjust_sums(job, counted, -1)
            del self.counted_at[name]
            del self.jobs_by_worker[counted][name]
        if wanted is not None:
            self.adjust_sums(job, wanted, 1)
            self.counted_at[name] = wanted
            self.jobs_by_worker.setdefault(wanted, {})[name] = job

    def adjust_sums(self, job: Job, worker: str, sign: int) -> None:
        """Add a job to the sums or take it off."""
        self.granted_by_worker.setdefault(worker, GrantedResources()).add(job, sign)
        self.granted_by_team.setdefault(job.spec.team, GrantedResources()).add(
            job, sign
        )

    def load(self, state: ShardState) -> None:
        """Count every job of a shard, after a snapshot."""
        for job in state.jobs.values():
            self.update(job)

    def jobs_on(self, worker: str) -> list[Job]:
        """Return the jobs that are placed at a worker."""
        return list(self.jobs_by_worker.get(worker, {}).values())


def setup(app: Application) -> None:
    """Register the service ``placed`` and keep it up to date."""
    placed = PlacedJobs()
    app.add_service("placed", placed)
    for shard in app.get("shards").shards:
        subscribe(placed, shard.state, shard.stream.on_applied)


def subscribe(placed: PlacedJobs, state: ShardState, on_applied: list) -> None:
    """Update the sums after each record of a shard."""
    loaded = False

    def note(outcome: Outcome, _time: float, _payload: bytes) -> None:
        nonlocal loaded
        if not loaded:
            placed.load(state)
            loaded = True
        job = state.find(outcome.job) if outcome.job else None
        if job is not None:
            placed.update(job)

    on_applied.append(note)
