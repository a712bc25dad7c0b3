"""Schedules jobs: places the pending jobs of owned shards and orders their starts.

A placement is a record in the shard's stream. The start is ordered only once the
placement was read back, and the agent refuses an order for which its host has no
room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing import events, messages
from rattanwing.entry import placement
from rattanwing.entry.agents import try_send
from rattanwing.entry.placement import ClusterView, WorkerView
from rattanwing.errors import LogUnavailableError, RejectedError
from rattanwing.jobs import records
from rattanwing.leases import TASK_LEASE_S

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.entry.agents import AgentHandle
    from rattanwing.entry.ownership import ShardOwnership

PLACEMENT_INTERVAL_S = 0.1
"""Seconds between two rounds of placement."""

MAX_PLACEMENTS_PER_ROUND = 200
"""Jobs that one round tries to place; bounds the duration of a round."""

COMMIT_TIMEOUT_S = 3600.0
"""Seconds to wait until a record is read back from the log."""

BACKOFF_START_S = 0.2
"""Seconds of delay after the first stop of a job."""

BACKOFF_MAX_S = 10.0
"""Upper bound of the delay in seconds."""

PREEMPT_AFTER_S = 1.0
"""Seconds that a job must find no worker before others are preempted for it."""

PREEMPT_RETRY_S = 5.0
"""Seconds between two preemptions for the same job."""

MAX_PREEMPTIONS_PER_ROUND = 5
"""Jobs for which one round may preempt others."""

OVERDUE_CHECK_S = 10.0
"""Seconds between two searches for overdue jobs."""


class Backoff(msgspec.Struct):
    """Delay before the next attempt of a job.

    :param until: when the job may be placed again.
    :param delay_s: length of the delay, doubled when the job is stopped again.
    """

    until: float
    delay_s: float


class Scheduler:
    """Places pending jobs and preempts placed ones.

    :param placements_in_flight: by job, placements that were not read back yet.
    :param backoffs: by job, delay before its next attempt.
    :param waiting_since: by job, when it was first found to fit on no worker.
    :param preempted_at: by job, when others were last preempted for it.
    :param overdue: jobs that were reported as overdue.
    """

    __slots__ = (
        "app",
        "placements_in_flight",
        "backoffs",
        "waiting_since",
        "preempted_at",
        "overdue",
        "overdue_checked_at",
        "nursery",
    )

    def __init__(self, app: Application) -> None:
        self.app = app
        self.placements_in_flight: dict[str, tuple[records.Place, records.JobSpec]] = {}
        self.backoffs: dict[str, Backoff] = {}
        self.waiting_since: dict[str, float] = {}
        self.preempted_at: dict[str, float] = {}
        self.overdue: set[str] = set()
        self.overdue_checked_at = float("-inf")
        self.nursery: trio.Nursery | None = None

    def owned_shards(self, now: float) -> list[ShardOwnership]:
        """Return the shards that this entry owns at ``now``."""
        return [o for o in self.app.get("ownership").shards if o.is_owner(now)]

    async def run(self) -> None:
        """Place pending jobs until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                now = self.app.now()
                self.place_pending(now)
                self.report_overdue(now)
                await trio.sleep(PLACEMENT_INTERVAL_S)

    # Placement.

    def place_pending(self, now: float) -> None:
        """Append a placement for each pending job that fits on a worker."""
        pending = [
            (ownership, job)
            for ownership in self.owned_shards(now)
            for job in ownership.shard.state.jobs_in_state("pending")
            if self.may_place(job, now)
        ]
        if not pending:
            self.waiting_since.clear()
            return
        cluster = ClusterView(self.worker_views(now), self.app.random)
        if not cluster.workers:
            return
        owners = {job.spec.id: ownership for ownership, job in pending}
        quota_usage = self.quota_usage()
        estimates = self.app.get("estimates")
        model = self.app.get("interference")
        unplaced = []
        jobs = placement.order_pending([job for _, job in pending], quota_usage)
        for job in jobs[:MAX_PLACEMENTS_PER_ROUND]:
            cpu = estimates.cpu_to_grant(job.spec)
            interference = model.interference_of(job.spec.task_class)
            worker = placement.choose_worker(job, cpu, cluster, now, interference)
            if worker is None:
                unplaced.append(job)
                continue
            cluster.reserve(worker, job.spec, cpu, interference)
            self.append_placement(owners[job.spec.id], job, worker, cpu)
        self.preempt(unplaced, cluster, quota_usage, now)

    def may_place(self, job: records.Job, now: float) -> bool:
        """Return whether a pending job is neither being placed nor backing off."""
        if job.spec.id in self.placements_in_flight:
            return False
        backoff = self.backoffs.get(job.spec.id)
        return backoff is None or now >= backoff.until

    def append_placement(
        self,
        ownership: ShardOwnership,
        job: records.Job,
        worker: WorkerView,
        cpu: float,
    ) -> None:
        """Append the placement of a job's next attempt on ``worker``.

        :param cpu: processors granted to the attempt.
        """
        attempt = job.attempt + 1
        record = records.Place(
            f"place-{job.spec.id}-{attempt}-{ownership.epoch}",
            ownership.epoch,
            job.spec.id,
            attempt,
            worker.name,
            worker.incarnation,
            cpu,
        )
        self.placements_in_flight[job.spec.id] = (record, job.spec)
        self.waiting_since.pop(job.spec.id, None)
        self.commit_in_background(ownership, record)

    def commit_in_background(
        self, ownership: ShardOwnership, record: records.Record
    ) -> None:
        """Commit a record in the background.

        Its effects follow when the record is read back and folded.
        """
        self.nursery.start_soon(self.commit, ownership, record)

    async def commit(self, ownership: ShardOwnership, record: records.Record) -> None:
        """Commit one record of an owned shard; log an event if that fails."""
        try:
            await ownership.shard.commit(record, COMMIT_TIMEOUT_S)
        except LogUnavailableError as error:
            events.write(events.LOG_UNAVAILABLE, record=record.id, error=error)
        finally:
            if isinstance(record, records.Place):
                self.placements_in_flight.pop(record.job, None)

    def extend_backoff(self, job_id: str) -> None:
        """Delay the next attempt of a job whose last one stopped or failed.

        Doubles the last delay, unless that ended more than ``BACKOFF_MAX_S`` ago.
        """
        now = self.app.now()
        last = self.backoffs.get(job_id)
        delay_s = BACKOFF_START_S
        if last is not None and now < last.until + BACKOFF_MAX_S:
            delay_s = min(last.delay_s * 2, BACKOFF_MAX_S)
        self.backoffs[job_id] = Backoff(now + delay_s, delay_s)

    def discard_job_state(self, job_id: str) -> None:
        """Discard all scheduling state of a job."""
        self.backoffs.pop(job_id, None)
        self.waiting_since.pop(job_id, None)
        self.preempted_at.pop(job_id, None)
        self.overdue.discard(job_id)

    # Starts.

    def order_start(self, ownership: ShardOwnership, place: records.Place) -> bool:
        """Send an agent the order to start an attempt.

        :param place: the attempt's placement, which was read back from the log.
        :returns: whether an order was sent.
        """
        now = self.app.now()
        job = ownership.shard.state.jobs.get(place.job)
        handle = self.app.get("agents").agents.get(place.worker)
        if job is None or job.attempt != place.attempt or handle is None:
            return False
        if not ownership.is_owner(now) or not handle.is_connected():
            return False
        handle.latest_lease_ends[ownership.shard.number] = now + TASK_LEASE_S
        events.write(
            events.JOB_PLACED,
            job=place.job,
            attempt=place.attempt,
            worker=place.worker,
        )
        try_send(handle, make_start_order(ownership, place, job, handle))
        return True

    # Preemption.

    def preempt(
        self,
        jobs: list[records.Job],
        cluster: ClusterView,
        quota_usage: dict[str, float],
        now: float,
    ) -> None:
        """Stop placed jobs to make room for jobs that fit on no worker."""
        preempted = 0
        for job in jobs:
            waiting_since = self.waiting_since.setdefault(job.spec.id, now)
            last_preempted_at = self.preempted_at.get(job.spec.id, float("-inf"))
            if (
                now - waiting_since < PREEMPT_AFTER_S
                or now - last_preempted_at < PREEMPT_RETRY_S
            ):
                continue
            if preempted >= MAX_PREEMPTIONS_PER_ROUND:
                return
            if self.preempt_for(job, cluster, quota_usage):
                preempted += 1
                self.preempted_at[job.spec.id] = now

    def preempt_for(
        self, job: records.Job, cluster: ClusterView, quota_usage: dict[str, float]
    ) -> bool:
        """Stop the fewest placed jobs on one worker to make room for ``job``.

        :returns: whether a worker was found; victims stop asynchronously.
        """
        placed = self.app.get("placed")
        cpu = self.app.get("estimates").cpu_to_grant(job.spec)
        best: list[records.Job] | None = None
        for worker in cluster.candidates():
            victims = placement.choose_victims(
                job, cpu, worker, placed.jobs_on(worker.name), quota_usage
            )
            if victims and (best is None or len(victims) < len(best)):
                best = victims
        for victim in best or []:
            self.app.get("reconciler").order_stop(victim, "preempted")
        return best is not None

    # Views of the workers.

    def worker_views(self, now: float) -> list[WorkerView]:
        """Return the workers on which tasks may be placed.

        Excludes quarantined workers, those that accept no tasks, and those in a
        failure domain that is out of service.
        """
        domains_out = set(self.app.get("config").tree.domains_out())
        quarantine = self.app.get("quarantine")
        views = {}
        for handle in self.app.get("agents").connected_agents():
            if (
                handle.hello.worker is None
                or handle.hello.failure_domain in domains_out
            ):
                continue
            if not handle.heartbeat.accepts_tasks:
                continue
            if quarantine.is_quarantined(handle.name, now):
                continue
            views[handle.name] = make_view(handle)
        self.limit_by_placements(views)
        self.predict_slowdowns(views)
        return list(views.values())

    def predict_slowdowns(self, views: dict[str, WorkerView]) -> None:
        """Predict how much the placed tasks slow down each worker's service."""
        model = self.app.get("interference")
        granted_by_worker = self.app.get("placed").granted_by_worker
        for name, view in views.items():
            if name in granted_by_worker:
                view.predicted_slowdown = model.predict_slowdown(
                    granted_by_worker[name], view.cpu
                )

    def limit_by_placements(self, views: dict[str, WorkerView]) -> None:
        """Lower the announced free resources to what all placements leave free.

        Heartbeats lag behind the log, and the log behind the placements in flight.
        """
        granted = self.app.get("placed").granted_by_worker
        for name, view in views.items():
            if name not in granted:
                continue
            sums = granted[name]
            view.tasks = sums.tasks
            view.free_cpu = min(view.free_cpu, view.cpu - sums.cpu)
            view.free_memory_mb = min(
                view.free_memory_mb, view.memory_mb - sums.memory_mb
            )
            view.free_accelerators = min(
                view.free_accelerators, view.accelerators - sums.accelerators
            )
        for place, spec in self.placements_in_flight.values():
            view = views.get(place.worker)
            if view is not None:
                view.free_cpu -= place.cpu
                view.free_memory_mb -= spec.memory_mb
                view.free_accelerators -= spec.accelerators
                view.tasks += 1

    def quota_usage(self) -> dict[str, float]:
        """Return granted processors divided by the quota, by team.

        A team without a quota counts as having one of 1 processor, so that it is
        over its quota with nearly any job.
        """
        teams = self.app.get("config").tree.teams()
        quota_usage = {}
        for name, sums in self.app.get("placed").granted_by_team.items():
            team = teams.get(name)
            quota = team.quota.cpu if team and team.quota else 1.0
            quota_usage[name] = sums.cpu / quota
        return quota_usage

    def check_feasible(self, spec: records.JobSpec) -> None:
        """Check that a known worker has the capacity for a job when empty.

        Passes if no worker is known.

        :raises RejectedError: if the job is larger than every known worker.
        """
        views = [
            make_view(handle)
            for handle in self.app.get("agents").agents.values()
            if handle.hello.worker is not None
        ]
        if views and not any(placement.fits_when_empty(spec, view) for view in views):
            largest = max(views, key=lambda view: (view.cpu, view.memory_mb))
            detail = (
                f"no worker holds {spec.cpu} processors, {spec.memory_mb} MiB and "
                f"{spec.accelerators} accelerators; the largest has {largest.cpu}, "
                f"{largest.memory_mb} MiB and {largest.accelerators}"
            )
            raise RejectedError("never-fits", detail)

    def report_overdue(self, now: float) -> None:
        """Write one event for each job of an owned shard that is overdue."""
        if now - self.overdue_checked_at < OVERDUE_CHECK_S:
            return
        self.overdue_checked_at = now
        wall = self.app.get("wall_clock")()
        for ownership in self.owned_shards(now):
            for job in ownership.shard.state.jobs.values():
                late = wall - job.submitted_at > job.spec.due_s
                if late and job.spec.id not in self.overdue:
                    self.overdue.add(job.spec.id)
                    events.write(
                        events.JOB_OVERDUE,
                        job=job.spec.id,
                        team=job.spec.team,
                        state=job.state,
                    )


def make_view(handle: AgentHandle) -> WorkerView:
    """Return the view of an agent's worker as its last heartbeat describes it."""
    worker = handle.hello.worker
    beat = handle.heartbeat
    return WorkerView(
        handle.name,
        handle.hello.incarnation,
        handle.hello.failure_domain,
        worker.rack,
        worker.cpu,
        worker.memory_mb,
        worker.accelerators,
        beat.free_cpu,
        beat.free_memory_mb,
        beat.free_accelerators,
        beat.latency_ratio,
        handle.connected_at,
        hosts_executor=handle.hello.executor is not None,
    )


def make_start_order(
    ownership: ShardOwnership,
    place: records.Place,
    job: records.Job,
    handle: AgentHandle,
) -> messages.StartTask:
    """Return the message that orders an agent to start a placed attempt."""
    spec = job.spec
    return messages.StartTask(
        ownership.shard.number,
        ownership.epoch,
        place.incarnation,
        handle.heartbeat.sent_at,
        spec.id,
        place.attempt,
        spec.task_class,
        spec.team,
        job.granted_cpu,
        spec.memory_mb,
        spec.accelerators,
        spec.work,
        job.checkpoint,
    )


def setup(app: Application) -> None:
    """Register the service ``scheduler`` and its background task."""
    scheduler = Scheduler(app)
    app.add_service("scheduler", scheduler)
    app.add_task(scheduler.run)
