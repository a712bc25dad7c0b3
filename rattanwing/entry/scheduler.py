"""Runs the shards that this entry owns: placing, starting and recording."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing import events, messages
from rattanwing.entry import placement
from rattanwing.entry.agents import try_send
from rattanwing.entry.placement import WorkerView
from rattanwing.errors import LogUnavailableError, RecordError, RejectedError
from rattanwing.jobs import records
from rattanwing.jobs.shard import decode_record
from rattanwing.leases import CLOCK_MARGIN_S, TASK_LEASE_S

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.entry.agents import AgentHandle
    from rattanwing.entry.ownership import ShardOwnership
    from rattanwing.log.stream import Outcome

TICK_S = 0.1
MAX_PLACEMENTS_PER_TICK = 200
RECORD_TIMEOUT_S = 3600.0
BACKOFF_START_S = 0.2
BACKOFF_MAX_S = 10.0
QUARANTINE_FAILURES = 3
QUARANTINE_S = 300.0
STOP_REPEAT_S = 2.0
CONFIRM_REPEAT_S = 3.0


class WorkerRecord:
    """How the tasks of different jobs fared on one worker.

    :param failures: jobs that failed there in a row, each counted once.
    """

    __slots__ = ("failures", "quarantined_until")

    def __init__(self) -> None:
        self.failures: set[str] = set()
        self.quarantined_until = float("-inf")


class Backoff(msgspec.Struct):
    """When a job may be placed again."""

    until: float
    delay_s: float


class Scheduler:
    """Places pending jobs of the owned shards and records what becomes of them."""

    __slots__ = (
        "app",
        "placing",
        "backoffs",
        "worker_records",
        "overdue",
        "stop_sent_at",
        "confirmed",
        "ordered",
        "asked_at",
        "nursery",
    )

    def __init__(self, app: Application) -> None:
        self.app = app
        self.placing: dict[str, records.Place] = {}
        self.backoffs: dict[str, Backoff] = {}
        self.worker_records: dict[str, WorkerRecord] = {}
        self.overdue: set[str] = set()
        self.stop_sent_at: dict[str, float] = {}
        self.confirmed: dict[str, tuple[int, str]] = {}
        self.ordered: dict[str, int] = {}
        self.asked_at: dict[str, float] = {}
        self.nursery: trio.Nursery | None = None
        app.connect("shard-claimed", self.take_over)
        app.connect("agent-connected", self.query_agent)
        app.connect("agent-message", self.take_message)

    def ownership(self, shard: int) -> ShardOwnership:
        """Return this entry's part in a shard."""
        return self.app.get("ownership").shards[shard]

    def owned(self, now: float) -> list[ShardOwnership]:
        """Return the shards for which this entry may act."""
        return [o for o in self.app.get("ownership").shards if o.is_owner(now)]

    async def run(self) -> None:
        """Place jobs and watch leases until cancelled."""
        for shard in self.app.get("shards").shards:
            shard.stream.on_applied.append(
                lambda outcome, _time, payload, n=shard.number: self.note_record(
                    n, outcome, payload
                )
            )
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                now = self.app.now()
                for ownership in self.owned(now):
                    self.stop_lapsed(ownership, now)
                    self.stop_cancelled(ownership, now)
                    self.ask_unconfirmed(ownership, now)
                self.place_pending(now)
                await trio.sleep(TICK_S)

    # Placing and starting.

    def place_pending(self, now: float) -> None:
        """Append a placement for each pending job that fits somewhere."""
        pending = [
            (ownership, job)
            for ownership in self.owned(now)
            for job in ownership.shard.state.in_state("pending")
            if self.may_place(job, now)
        ]
        if not pending:
            return
        workers = self.worker_views(now)
        by_id = {job.spec.id: ownership for ownership, job in pending}
        jobs = placement.order([job for _, job in pending], self.team_shares())
        for job in jobs[:MAX_PLACEMENTS_PER_TICK]:
            worker = placement.choose_worker(job, workers, now)
            if worker is None:
                continue
            placement.reserve(worker, job.spec)
            self.append_placement(by_id[job.spec.id], job, worker)

    def may_place(self, job: records.Job, now: float) -> bool:
        """Return whether a pending job may be placed at ``now``."""
        if job.spec.id in self.placing:
            return False
        backoff = self.backoffs.get(job.spec.id)
        return backoff is None or now >= backoff.until

    def append_placement(
        self, ownership: ShardOwnership, job: records.Job, worker: WorkerView
    ) -> None:
        """Append the record that allows the next attempt."""
        attempt = job.attempt + 1
        record = records.Place(
            f"place-{job.spec.id}-{attempt}-{ownership.epoch}",
            ownership.epoch,
            job.spec.id,
            attempt,
            worker.name,
            worker.incarnation,
        )
        self.placing[job.spec.id] = record
        self.commit_soon(ownership, record)

    def commit_soon(self, ownership: ShardOwnership, record: records.Record) -> None:
        """Commit a record in the background; its fold does the rest."""
        self.nursery.start_soon(self.commit, ownership, record)

    async def commit(self, ownership: ShardOwnership, record: records.Record) -> None:
        """Commit one record of an owned shard."""
        try:
            await ownership.shard.commit(record, RECORD_TIMEOUT_S)
        except LogUnavailableError as error:
            events.write(events.LOG_UNAVAILABLE, record=record.id, error=error)
        finally:
            if isinstance(record, records.Place):
                self.placing.pop(record.job, None)

    def note_record(self, shard: int, outcome: Outcome, payload: bytes) -> None:
        """Act on a record of this owner that was read back."""
        if not outcome.accepted:
            return
        try:
            record = decode_record(payload)
        except RecordError:
            return
        ownership = self.ownership(shard)
        match record:
            case records.Place(epoch=epoch) if epoch == ownership.epoch:
                self.start(ownership, record)
            case records.Stop(epoch=epoch, job=job, attempt=attempt):
                events.write(
                    events.JOB_STOPPED, job=job, attempt=attempt, reason=record.reason
                )
                if epoch == ownership.epoch:
                    self.acknowledge(job, attempt)
                    self.back_off(job)
            case records.Finish(epoch=epoch, job=job, attempt=attempt, ok=ok):
                events.write(events.JOB_FINISHED, job=job, attempt=attempt, ok=ok)
                if epoch == ownership.epoch:
                    self.acknowledge(job, attempt)
                    self.note_result(ownership, record)
            case records.Submit(spec=spec):
                events.write(events.JOB_ACCEPTED, job=spec.id, team=spec.team)

    def start(self, ownership: ShardOwnership, place: records.Place) -> None:
        """Order the start of an attempt whose placement was read back."""
        now = self.app.now()
        job = ownership.shard.state.jobs.get(place.job)
        handle = self.app.get("agents").agents.get(place.worker)
        if job is None or job.attempt != place.attempt or handle is None:
            return
        if not ownership.is_owner(now) or not handle.connected():
            return
        handle.lease_bounds[ownership.shard.number] = now + TASK_LEASE_S
        events.write(
            events.JOB_PLACED,
            job=place.job,
            attempt=place.attempt,
            worker=place.worker,
        )
        spec = job.spec
        order = messages.StartTask(
            ownership.shard.number,
            ownership.epoch,
            place.incarnation,
            handle.heartbeat.sent_at,
            spec.id,
            place.attempt,
            spec.task_class,
            spec.team,
            spec.cpu,
            spec.memory_mb,
            spec.accelerators,
            spec.work,
            job.checkpoint,
        )
        self.ordered[spec.id] = place.attempt
        try_send(handle, order)

    def back_off(self, job_id: str) -> None:
        """Delay the next attempt of a job that was stopped."""
        now = self.app.now()
        last = self.backoffs.get(job_id)
        delay_s = BACKOFF_START_S
        if last is not None and now < last.until + BACKOFF_MAX_S:
            delay_s = min(last.delay_s * 2, BACKOFF_MAX_S)
        self.backoffs[job_id] = Backoff(now + delay_s, delay_s)

    # Views for decisions.

    def worker_views(self, now: float) -> list[WorkerView]:
        """Return the workers that may be given tasks."""
        config = self.app.get("config").tree
        out = set(config.domains_out())
        views = {}
        for handle in self.app.get("agents").connected():
            worker = handle.hello.worker
            if worker is None or handle.hello.failure_domain in out:
                continue
            if not handle.heartbeat.accepts_tasks:
                continue
            if self.is_quarantined(handle.name, now):
                continue
            views[handle.name] = make_view(handle)
        self.limit_by_placements(views)
        return list(views.values())

    def limit_by_placements(self, views: dict[str, WorkerView]) -> None:
        """Lower the announced room to what the log's placements leave."""
        room = {name: msgspec.structs.replace(v) for name, v in views.items()}
        for view in room.values():
            view.free_cpu = view.cpu
            view.free_memory_mb = view.memory_mb
            view.free_accelerators = view.accelerators
        for job in self.placed_jobs():
            if job.worker in room:
                placement.reserve(room[job.worker], job.spec)
        for place in self.placing.values():
            job = self.app.get("shards").find(place.job)
            if place.worker in room and job is not None and job.state == "pending":
                placement.reserve(room[place.worker], job.spec)
        for name, view in views.items():
            view.tasks = room[name].tasks
            view.free_cpu = min(view.free_cpu, room[name].free_cpu)
            view.free_memory_mb = min(view.free_memory_mb, room[name].free_memory_mb)
            view.free_accelerators = min(
                view.free_accelerators, room[name].free_accelerators
            )

    def placed_jobs(self) -> list[records.Job]:
        """Return the placed jobs of every shard."""
        shards = self.app.get("shards").shards
        return [job for shard in shards for job in shard.state.in_state("placed")]

    def team_shares(self) -> dict[str, float]:
        """Return processors in use over quota, by team."""
        teams = self.app.get("config").tree.teams()
        used: dict[str, float] = {}
        for job in self.placed_jobs():
            used[job.spec.team] = used.get(job.spec.team, 0.0) + job.spec.cpu
        shares = {}
        for name, cpu in used.items():
            team = teams.get(name)
            quota = team.quota.cpu if team and team.quota else 1.0
            shares[name] = cpu / quota
        return shares

    def check_feasible(self, spec: records.JobSpec) -> None:
        """Refuse a job that no known worker could hold even when empty.

        :raises RejectedError: with the reason.
        """
        views = [
            make_view(handle)
            for handle in self.app.get("agents").agents.values()
            if handle.hello.worker is not None
        ]
        if views and not any(placement.could_ever_fit(spec, view) for view in views):
            largest = max(views, key=lambda view: (view.cpu, view.memory_mb))
            detail = (
                f"no worker holds {spec.cpu} processors, {spec.memory_mb} MiB and "
                f"{spec.accelerators} accelerators; the largest has {largest.cpu}, "
                f"{largest.memory_mb} MiB and {largest.accelerators}"
            )
            raise RejectedError("never-fits", detail)

    # Leases, cancellation and takeover.

    def stop_lapsed(self, ownership: ShardOwnership, now: float) -> None:
        """Record the end of attempts whose agent can hold no lease any more."""
        agents = self.app.get("agents").agents
        for job in list(ownership.shard.state.in_state("placed")):
            handle = agents.get(job.worker)
            if handle is not None and handle.connected():
                continue
            bound = ownership.takeover_at
            if handle is not None:
                own = handle.lease_bounds.get(ownership.shard.number, bound)
                bound = max(bound, own + CLOCK_MARGIN_S)
            if now > bound:
                ran = self.may_have_run(ownership, job)
                self.record_stop(ownership, job, "lease-lapsed", ran=ran)

    def stop_cancelled(self, ownership: ShardOwnership, now: float) -> None:
        """Order the stop of cancelled jobs, again until it is reported."""
        for job in ownership.shard.state.in_state("placed"):
            if not job.cancel_asked:
                continue
            if now - self.stop_sent_at.get(job.spec.id, -1e9) < STOP_REPEAT_S:
                continue
            self.stop_sent_at[job.spec.id] = now
            self.send_stop(ownership, job.worker, job.spec.id, job.attempt, "cancelled")

    def send_stop(
        self,
        ownership: ShardOwnership,
        worker: str,
        job: str,
        attempt: int,
        reason: str,
    ) -> None:
        """Order an agent to stop an attempt."""
        handle = self.app.get("agents").agents.get(worker)
        if handle is None:
            return
        shard = ownership.shard.number
        order = messages.StopTask(shard, ownership.epoch, job, attempt, reason)
        try_send(handle, order)

    def take_over(self, _shard: object) -> None:
        """Ask every agent what it runs of a newly owned shard."""
        for handle in self.app.get("agents").connected():
            self.query_agent(handle)

    def query_agent(self, handle: AgentHandle) -> None:
        """Ask an agent for the attempts of the owned shards."""
        for ownership in self.owned(self.app.now()):
            jobs = [
                job
                for job in ownership.shard.state.in_state("placed")
                if job.worker == handle.name
            ]
            self.send_query(ownership, handle, jobs)

    def send_query(
        self, ownership: ShardOwnership, handle: AgentHandle, jobs: list[records.Job]
    ) -> None:
        """Ask an agent what became of placed attempts."""
        expected = [messages.AttemptRef(job.spec.id, job.attempt) for job in jobs]
        shard = ownership.shard.number
        try_send(handle, messages.TaskListQuery(shard, ownership.epoch, expected))

    def ask_unconfirmed(self, ownership: ShardOwnership, now: float) -> None:
        """Ask again for placed attempts that no agent has confirmed.

        A start may not have been ordered at all, when the placement was read
        back in a moment without a valid lease.
        """
        agents = self.app.get("agents").agents
        asked: dict[str, list[records.Job]] = {}
        for job in ownership.shard.state.in_state("placed"):
            handle = agents.get(job.worker)
            if handle is None or self.is_confirmed(job, handle):
                continue
            if now - self.asked_at.setdefault(job.spec.id, now) < CONFIRM_REPEAT_S:
                continue
            self.asked_at[job.spec.id] = now
            asked.setdefault(job.worker, []).append(job)
        for worker, jobs in asked.items():
            self.send_query(ownership, agents[worker], jobs)

    def is_confirmed(self, job: records.Job, handle: AgentHandle) -> bool:
        """Return whether this run of the agent has said that it runs the job."""
        confirmed = (job.attempt, handle.hello.incarnation)
        return self.confirmed.get(job.spec.id) == confirmed

    def may_have_run(self, ownership: ShardOwnership, job: records.Job) -> bool:
        """Return whether the attempt was, or may have been, ordered to start."""
        if job.placed_epoch != ownership.epoch:
            return True
        return self.ordered.get(job.spec.id) == job.attempt

    # Reports of agents.

    def take_message(self, handle: AgentHandle, message: messages.Message) -> None:
        """Handle an agent's news of attempts."""
        match message:
            case messages.TaskReport():
                self.take_report(handle, message, handle.hello.incarnation)
            case messages.TaskList(shard=shard, epoch=epoch, tasks=tasks):
                if self.valid_shard(shard) and self.ownership(shard).epoch == epoch:
                    for report in tasks:
                        self.take_report(handle, report, message.incarnation)

    def valid_shard(self, shard: int) -> bool:
        """Return whether there is such a shard."""
        return 0 <= shard < len(self.app.get("ownership").shards)

    def take_report(
        self, handle: AgentHandle, report: messages.TaskReport, incarnation: str
    ) -> None:
        """Record an attempt's end, or settle a report that came too late."""
        if not self.valid_shard(report.shard):
            return
        ownership = self.ownership(report.shard)
        if not ownership.is_owner(self.app.now()):
            return
        job = ownership.shard.state.jobs.get(report.job)
        current = (
            job is not None
            and job.attempt == report.attempt
            and job.worker == handle.name
            and job.attempt > 0
        )
        final = report.state in ("finished", "failed") or report.checkpoint is not None
        if not current or (job.state != "placed" and not final):
            self.settle_stale(ownership, handle, report)
            return
        match report.state:
            case "running":
                self.confirmed[report.job] = (report.attempt, incarnation)
            case "finished" | "failed":
                self.record_finish(ownership, report)
            case "stopped":
                self.record_stop(
                    ownership,
                    job,
                    report.reason,
                    ran=True,
                    checkpoint=report.checkpoint,
                    progress_s=report.progress_s,
                )
            case "refused":
                self.record_stop(ownership, job, report.reason, ran=False)
            case "unknown":
                restarted = incarnation != job.incarnation
                ran = restarted and self.may_have_run(ownership, job)
                self.record_stop(ownership, job, "unknown-to-agent", ran=ran)

    def settle_stale(
        self,
        ownership: ShardOwnership,
        handle: AgentHandle,
        report: messages.TaskReport,
    ) -> None:
        """Stop an attempt that the log no longer knows, or end its report."""
        if report.state == "running":
            self.send_stop(
                ownership, handle.name, report.job, report.attempt, "superseded"
            )
            return
        try_send(handle, messages.ReportAck(report.job, report.attempt))

    def record_finish(
        self, ownership: ShardOwnership, report: messages.TaskReport
    ) -> None:
        """Append the end of a job's attempt."""
        record = records.Finish(
            f"finish-{report.job}-{report.attempt}-{ownership.epoch}",
            ownership.epoch,
            report.job,
            report.attempt,
            report.state == "finished",
            report.reason,
        )
        self.commit_soon(ownership, record)

    def record_stop(
        self,
        ownership: ShardOwnership,
        job: records.Job,
        reason: str,
        *,
        ran: bool,
        checkpoint: str | None = None,
        progress_s: float = 0.0,
    ) -> None:
        """Append the stop of an attempt."""
        record = records.Stop(
            f"stop-{job.spec.id}-{job.attempt}-{ownership.epoch}-{reason}",
            ownership.epoch,
            job.spec.id,
            job.attempt,
            reason,
            ran,
            checkpoint,
            progress_s,
        )
        if record.id not in ownership.shard.stream.pending:
            self.commit_soon(ownership, record)

    def acknowledge(self, job_id: str, attempt: int) -> None:
        """Let the agents forget an attempt whose end stands in the log."""
        self.stop_sent_at.pop(job_id, None)
        self.confirmed.pop(job_id, None)
        self.asked_at.pop(job_id, None)
        self.ordered.pop(job_id, None)
        job = self.app.get("shards").find(job_id)
        handle = self.app.get("agents").agents.get(job.worker) if job else None
        if handle is not None:
            try_send(handle, messages.ReportAck(job_id, attempt))

    # Failing workers and jobs.

    def note_result(self, ownership: ShardOwnership, finish: records.Finish) -> None:
        """Learn from an attempt's end whether the worker or the job fails."""
        job = ownership.shard.state.find(finish.job)
        if job is None:
            return
        record = self.worker_records.setdefault(job.worker, WorkerRecord())
        if finish.ok:
            record.failures.clear()
        if finish.job in ownership.shard.state.ended:
            self.backoffs.pop(finish.job, None)
            return
        self.back_off(finish.job)
        if job.state == "held":
            events.write(events.JOB_HELD, job=finish.job, reason=finish.detail)
        record.failures.add(finish.job)
        if len(record.failures) >= QUARANTINE_FAILURES:
            record.failures.clear()
            record.quarantined_until = self.app.now() + QUARANTINE_S
            events.write(events.WORKER_QUARANTINED, worker=job.worker)

    def is_quarantined(self, worker: str, now: float) -> bool:
        """Return whether a worker is kept from tasks because many jobs failed."""
        record = self.worker_records.get(worker)
        return record is not None and now < record.quarantined_until


def make_view(handle: AgentHandle) -> WorkerView:
    """Return the placement view of an agent's worker."""
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
        beat.pressure,
        handle.connected_at,
    )


def setup(app: Application) -> None:
    """Register the service ``scheduler`` and its task."""
    scheduler = Scheduler(app)
    app.add_service("scheduler", scheduler)
    app.add_task(scheduler.run)
