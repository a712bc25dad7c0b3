"""Reconciles the log with the agents about the attempts of owned shards.

The ends of attempts that agents report are recorded in the log. Agents are asked
about placed attempts that they have not reported, and are ordered to stop cancelled
and superseded ones. Attempts whose lease has lapsed are recorded as stopped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing import events, messages
from rattanwing.entry.agents import try_send
from rattanwing.errors import RecordError
from rattanwing.jobs import records
from rattanwing.jobs.shard import decode_record
from rattanwing.leases import CLOCK_MARGIN_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.application import Application
    from rattanwing.entry.agents import AgentHandle
    from rattanwing.entry.ownership import ShardOwnership
    from rattanwing.entry.shards import Shard
    from rattanwing.log.stream import Outcome

INTERVAL_S = 0.5
"""Seconds between two checks of leases, unconfirmed attempts and cancellations."""

STOP_RETRY_S = 2.0
"""Seconds until the order to stop a cancelled job is sent again."""

QUERY_RETRY_S = 3.0
"""Seconds until an agent is asked again for an unconfirmed attempt."""

TASK_ENDED_STATES = ("finished", "failed")
"""States that report that the task ended by itself, not that the attempt was stopped
or refused."""


class Reconciler:
    """Records the ends of attempts, and queries agents about unreported ones.

    :param unconfirmed: placed jobs that the agent has not confirmed since it last
        connected, with the time of the last query or, before the first one, of the
        placement or the claim of the shard.
    :param ordered_attempts: by job, the attempt that this entry ordered to start.
    :param stopping: cancelled jobs, with the time of the last stop order.
    """

    __slots__ = ("app", "unconfirmed", "ordered_attempts", "stopping")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.unconfirmed: dict[str, float] = {}
        self.ordered_attempts: dict[str, int] = {}
        self.stopping: dict[str, float] = {}
        app.connect("shard-claimed", self.handle_shard_claimed)
        app.connect("agent-connected", self.query_agent)
        app.connect("agent-message", self.handle_message)
        for shard in app.get("shards").shards:
            shard.stream.on_applied.append(self.make_listener(shard))

    def ownership(self, shard: int) -> ShardOwnership:
        """Return the ownership of a shard, by its number."""
        return self.app.get("ownership").shards[shard]

    def ownership_of(self, job_id: str) -> ShardOwnership:
        """Return the ownership of a job's shard."""
        return self.ownership(self.app.get("shards").shard_of(job_id).number)

    async def run(self) -> None:
        """Check leases, unconfirmed attempts and cancellations at an interval."""
        while True:
            now = self.app.now()
            self.record_lapsed(now)
            self.query_unconfirmed(now)
            self.stop_cancelled(now)
            await trio.sleep(INTERVAL_S)

    # Records that were read back.

    def make_listener(self, shard: Shard) -> Callable[[Outcome, float, bytes], None]:
        """Return a listener that handles the accepted records of a shard."""

        def handle_outcome(outcome: Outcome, _time: float, payload: bytes) -> None:
            if outcome.accepted:
                self.handle_record(shard.number, payload)

        return handle_outcome

    def handle_record(self, shard: int, payload: bytes) -> None:
        """Handle an accepted record; skip one that does not decode."""
        try:
            record = decode_record(payload)
        except RecordError:
            return
        ownership = self.ownership(shard)
        match record:
            case records.Submit(spec=spec):
                events.write(events.JOB_ACCEPTED, job=spec.id, team=spec.team)
            case records.Cancel(job=job):
                self.stopping[job] = float("-inf")
                if job in ownership.shard.state.ended:
                    self.app.get("scheduler").discard_job_state(job)
            case records.Place(epoch=epoch) if epoch == ownership.epoch:
                self.handle_place(ownership, record)
            case records.Stop() | records.Finish():
                self.handle_end(ownership, record)

    def handle_place(self, ownership: ShardOwnership, place: records.Place) -> None:
        """Order the start of an attempt that this entry has placed."""
        self.unconfirmed[place.job] = self.app.now()
        if self.app.get("scheduler").order_start(ownership, place):
            self.ordered_attempts[place.job] = place.attempt

    def handle_end(
        self, ownership: ShardOwnership, record: records.Stop | records.Finish
    ) -> None:
        """Handle the recorded end of an attempt, and acknowledge it to the agent.

        The agent keeps its report until it gets the acknowledgement.
        """
        job = self.app.get("shards").find(record.job)
        self.unconfirmed.pop(record.job, None)
        self.ordered_attempts.pop(record.job, None)
        self.stopping.pop(record.job, None)
        if isinstance(record, records.Finish):
            fields = {"job": record.job, "attempt": record.attempt, "ok": record.ok}
            events.write(events.JOB_FINISHED, **fields)
        else:
            fields = {"job": record.job, "attempt": record.attempt}
            events.write(events.JOB_STOPPED, reason=record.reason, **fields)
        if job is None or record.epoch != ownership.epoch:
            return
        if job.state == "held":
            events.write(events.JOB_HELD, job=record.job, reason=job.reason)
        handle = self.app.get("agents").agents.get(job.worker)
        if handle is not None:
            try_send(handle, messages.ReportAck(record.job, record.attempt))
        self.update_backoff_and_quarantine(job, record)

    def update_backoff_and_quarantine(
        self, job: records.Job, record: records.Stop | records.Finish
    ) -> None:
        """Update the job's backoff and, after a finish, the worker's quarantine."""
        scheduler = self.app.get("scheduler")
        if isinstance(record, records.Finish):
            now = self.app.now()
            quarantine = self.app.get("quarantine")
            quarantine.record_result(job.worker, record.job, record.ok, now)
        if job.state == "pending":
            scheduler.extend_backoff(record.job)
            return
        scheduler.discard_job_state(record.job)

    # Lapsed leases and queries.

    def record_lapsed(self, now: float) -> None:
        """Record the end of attempts whose agent can no longer hold a lease."""
        agents = self.app.get("agents").agents
        placed = self.app.get("placed")
        for worker in list(placed.jobs_by_worker):
            handle = agents.get(worker)
            if handle is not None and handle.is_connected():
                continue
            for job in placed.jobs_on(worker):
                ownership = self.ownership_of(job.spec.id)
                if ownership.is_owner(now) and now > latest_lease_end(
                    ownership, handle
                ):
                    ran = self.may_have_run(ownership, job)
                    self.record_stop(ownership, job, "lease-lapsed", ran=ran)

    def query_unconfirmed(self, now: float) -> None:
        """Ask the agents again about placed attempts that they have not confirmed.

        An attempt stays unconfirmed, for example, if this entry's ownership of the
        shard had lapsed when it read the placement back, so that it ordered no start.
        The agent then answers that it does not know the attempt.
        """
        jobs_to_query: dict[tuple[int, str], list[records.Job]] = {}
        for job_id, asked_at in list(self.unconfirmed.items()):
            ownership = self.ownership_of(job_id)
            job = ownership.shard.state.jobs.get(job_id)
            if job is None or job.state != "placed":
                del self.unconfirmed[job_id]
                continue
            if now - asked_at < QUERY_RETRY_S or not ownership.is_owner(now):
                continue
            self.unconfirmed[job_id] = now
            jobs_to_query.setdefault((ownership.shard.number, job.worker), []).append(
                job
            )
        agents = self.app.get("agents").agents
        for (shard, worker), jobs in jobs_to_query.items():
            if worker in agents:
                self.send_query(self.ownership(shard), agents[worker], jobs)

    def handle_shard_claimed(self, shard: Shard) -> None:
        """Ask every agent with a worker for its attempts of a newly owned shard."""
        now = self.app.now()
        for job in shard.state.jobs_in_state("placed"):
            self.unconfirmed[job.spec.id] = now
            if job.cancel_asked:
                self.stopping[job.spec.id] = float("-inf")
        ownership = self.ownership(shard.number)
        for handle in self.app.get("agents").connected_agents():
            if handle.hello.worker is not None:
                self.query_shard(ownership, handle)

    def query_agent(self, handle: AgentHandle) -> None:
        """Ask an agent that has just connected for its attempts of owned shards."""
        now = self.app.now()
        for job in self.app.get("placed").jobs_on(handle.name):
            self.unconfirmed[job.spec.id] = now
        if handle.hello.worker is None:
            return
        for ownership in self.app.get("ownership").shards:
            if ownership.is_owner(now):
                self.query_shard(ownership, handle)

    def query_shard(self, ownership: ShardOwnership, handle: AgentHandle) -> None:
        """Ask an agent for its attempts of one shard."""
        shard_of = self.app.get("shards").shard_of
        jobs = [
            job
            for job in self.app.get("placed").jobs_on(handle.name)
            if shard_of(job.spec.id) is ownership.shard
        ]
        self.send_query(ownership, handle, jobs)

    def send_query(
        self, ownership: ShardOwnership, handle: AgentHandle, jobs: list[records.Job]
    ) -> None:
        """Ask an agent for the states of placed attempts.

        :param jobs: the jobs whose latest attempt the log places on the agent.
        """
        expected = [messages.AttemptRef(job.spec.id, job.attempt) for job in jobs]
        shard = ownership.shard.number
        try_send(handle, messages.TaskListQuery(shard, ownership.epoch, expected))

    def may_have_run(self, ownership: ShardOwnership, job: records.Job) -> bool:
        """Return whether the job's latest attempt may have been ordered to start.

        This entry does not know what an earlier owner ordered.
        """
        if job.placed_epoch != ownership.epoch:
            return True
        return self.ordered_attempts.get(job.spec.id) == job.attempt

    # Stops.

    def stop_cancelled(self, now: float) -> None:
        """Order the stop of cancelled jobs until their end is recorded."""
        for job_id, ordered_at in list(self.stopping.items()):
            job = self.app.get("shards").shard_of(job_id).state.jobs.get(job_id)
            if job is None or job.state != "placed" or not job.cancel_asked:
                del self.stopping[job_id]
                continue
            if now - ordered_at >= STOP_RETRY_S:
                self.stopping[job_id] = now
                self.order_stop(job, "cancelled")

    def order_stop(self, job: records.Job, reason: str) -> None:
        """Order an agent to stop a job's attempt, if this entry owns the shard."""
        ownership = self.ownership_of(job.spec.id)
        if ownership.is_owner(self.app.now()):
            self.send_stop(ownership, job.worker, job.spec.id, job.attempt, reason)

    def send_stop(
        self,
        ownership: ShardOwnership,
        worker: str,
        job: str,
        attempt: int,
        reason: str,
    ) -> None:
        """Send the order to stop an attempt, if the worker's agent is known."""
        handle = self.app.get("agents").agents.get(worker)
        if handle is None:
            return
        shard = ownership.shard.number
        order = messages.StopTask(shard, ownership.epoch, job, attempt, reason)
        try_send(handle, order)

    # Reports from agents.

    def handle_message(self, handle: AgentHandle, message: messages.Message) -> None:
        """Handle an agent's report, or its answer to a query."""
        match message:
            case messages.TaskReport():
                self.handle_report(handle, message, handle.hello.incarnation)
            case messages.TaskList(shard=shard, epoch=epoch, tasks=tasks):
                if self.is_valid_shard(shard) and self.ownership(shard).epoch == epoch:
                    for report in tasks:
                        self.handle_report(handle, report, message.incarnation)

    def is_valid_shard(self, shard: int) -> bool:
        """Return whether a shard number is in range."""
        return 0 <= shard < len(self.app.get("ownership").shards)

    def handle_report(
        self, handle: AgentHandle, report: messages.TaskReport, incarnation: str
    ) -> None:
        """Record the end of an attempt, or answer a report that is out of date.

        :param incarnation: of the agent process that made the report.
        """
        if not self.is_valid_shard(report.shard):
            return
        ownership = self.ownership(report.shard)
        if not ownership.is_owner(self.app.now()):
            return
        job = ownership.shard.state.jobs.get(report.job)
        if job is None or not is_current(job, handle, report):
            self.handle_stale_report(ownership, handle, report)
            return
        if report.state == "finished":
            self.app.get("estimates").record_usage(
                job.spec, job.granted_cpu, report.peak_cpu
            )
        match report.state:
            case "running":
                self.unconfirmed.pop(report.job, None)
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

    def handle_stale_report(
        self,
        ownership: ShardOwnership,
        handle: AgentHandle,
        report: messages.TaskReport,
    ) -> None:
        """Order the stop of a superseded attempt, or acknowledge its final report."""
        if report.state == "running":
            self.send_stop(
                ownership, handle.name, report.job, report.attempt, "superseded"
            )
            return
        try_send(handle, messages.ReportAck(report.job, report.attempt))

    def record_finish(
        self, ownership: ShardOwnership, report: messages.TaskReport
    ) -> None:
        """Append that an attempt finished or failed."""
        record = records.Finish(
            f"finish-{report.job}-{report.attempt}-{ownership.epoch}",
            ownership.epoch,
            report.job,
            report.attempt,
            report.state == "finished",
            report.reason,
        )
        self.commit_once(ownership, record)

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
        """Append that an attempt stopped before its task ended.

        :param ran: whether the attempt may have run.
        :param checkpoint: where the next attempt resumes.
        :param progress_s: seconds of the task's work that are done.
        """
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
        self.commit_once(ownership, record)

    def commit_once(self, ownership: ShardOwnership, record: records.Record) -> None:
        """Commit a record unless an append of the same record is pending."""
        if record.id not in ownership.shard.stream.pending:
            self.app.get("scheduler").commit_in_background(ownership, record)


def is_current(
    job: records.Job, handle: AgentHandle, report: messages.TaskReport
) -> bool:
    """Return whether a report on a job can change the job's state.

    The report must be about the latest attempt. Once the log records that the attempt
    stopped, only a report of the task's own end or of a checkpoint changes the job.
    A failure that the log records changes nothing again.
    """
    if job.attempt != report.attempt or job.worker != handle.name:
        return False
    if report.state == "failed" and job.failed_attempt == report.attempt:
        return False
    counts_after_stop = (
        report.state in TASK_ENDED_STATES or report.checkpoint is not None
    )
    return job.state == "placed" or counts_after_stop


def latest_lease_end(ownership: ShardOwnership, handle: AgentHandle | None) -> float:
    """Return the latest time at which an agent's lease for the shard can end."""
    latest_end = ownership.prior_leases_end_at
    if handle is None:
        return latest_end
    granted_end = handle.latest_lease_ends.get(ownership.shard.number)
    return (
        latest_end
        if granted_end is None
        else max(latest_end, granted_end + CLOCK_MARGIN_S)
    )


def setup(app: Application) -> None:
    """Register the service ``reconciler`` and its background task."""
    reconciler = Reconciler(app)
    app.add_service("reconciler", reconciler)
    app.add_task(reconciler.run)
