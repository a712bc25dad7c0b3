"""Task management for this host's worker: capacity, leases, starts and stops."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing import events, messages
from rattanwing.agent.worker import (
    STALE_SESSION,
    Attempt,
    HttpWorker,
    TaskListing,
    TaskOrder,
    TaskStatus,
    Worker,
    WorkerError,
    task_key,
)
from rattanwing.leases import CLOCK_MARGIN_S, MAX_START_ORDER_AGE_S, TASK_LEASE_S
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from rattanwing.application import Application

POLL_INTERVAL_S = 0.5
"""Interval of status polls and of lease renewals at the worker."""

BARRED_RETENTION_S = 120.0
"""How long a barred attempt is kept; longer than any start order is in flight."""

RETRY_DELAY_S = 0.5
"""Pause before a failed call to the worker is repeated."""


class Task(Attempt):
    """What the worker runs for one attempt, and the capacity it holds on this host.

    :param lease_until: end of the lease, on this host's monotonic clock.
    :param state: ``starting``, ``running`` or ``stopping``.
    :param used_cpu: processors in use, as last measured.
    :param peak_cpu: largest number of processors measured in use.
    :param granted_until: latest end of the lease that the worker may have been told.
    :param stop_reason: why the task is to be stopped once it has started, if it is.
    """

    lease_until: float
    state: str
    progress_s: float = 0.0
    used_cpu: float = 0.0
    peak_cpu: float = 0.0
    granted_until: float = 0.0
    stop_reason: str = ""

    def __post_init__(self) -> None:
        self.granted_until = self.lease_until


class BarredAttempt(msgspec.Struct):
    """The highest attempt number of a job that this agent must not start."""

    attempt: int
    barred_at: float


class TaskManager:
    """Grants the worker's capacity to tasks and enforces their leases.

    A start order is checked in one synchronous step, so that no other order can
    change the state between the checks: attempt number, shard epoch, incarnation of
    the agent, session at the worker, age of the order, freshness gate and capacity.

    Each opening of a session at the worker has an id of its own, which start orders and
    lists of tasks carry. So an order of before a restart of the worker is refused after
    it, and a list of another session shows that the worker may have restarted.

    :param started_at: when this agent started.
    :param session: the session at the worker; empty while none is known to be open.
    :param reachable: whether the worker answered the latest poll, renewal or start.
    :param worker_share: the share that the worker was last known to apply to tasks.
    :param adopted: set once the tasks of the agent's earlier incarnation are adopted.
    :param tasks: attempts that hold capacity, by job.
    :param barred: attempts that must not start, whether or not they ran here, by job.
    :param epochs: highest epoch received, by shard.
    :param leaving: whether the agent is shutting down.
    :param report_recorded: set when a report is recorded in the log.
    """

    __slots__ = (
        "app",
        "worker",
        "started_at",
        "session",
        "reachable",
        "worker_share",
        "adopted",
        "tasks",
        "barred",
        "epochs",
        "nursery",
        "leaving",
        "report_recorded",
    )

    def __init__(self, app: Application, worker: Worker) -> None:
        self.app = app
        self.worker = worker
        self.started_at = app.now()
        self.session = ""
        self.reachable = True
        self.worker_share = 1.0
        self.adopted = trio.Event()
        self.tasks: dict[str, Task] = {}
        self.barred: dict[str, BarredAttempt] = {}
        self.epochs: dict[int, int] = {}
        self.nursery: trio.Nursery | None = None
        self.leaving = False
        self.report_recorded = trio.Event()
        app.connect("entry-message", self.handle_message)
        app.connect("report-recorded", self.handle_report_recorded)
        app.connect("heartbeat-ack", self.handle_ack)
        app.connect("view-changed", self.stop_if_domain_out)

    # Capacity.

    def capacity(self) -> tuple[float, int, int]:
        """Return the resources that tasks may hold.

        :returns: processors, memory in MiB, accelerators.
        """
        settings = self.app.settings.agent
        worker, executor = settings.worker, settings.executor
        cpu = worker.cpu - (executor.cpu if executor else 0.0)
        memory_mb = worker.memory_mb - (executor.memory_mb if executor else 0)
        return cpu, memory_mb, worker.accelerators

    def free_resources(self) -> tuple[float, int, int]:
        """Return the resources that no task holds.

        :returns: processors, memory in MiB, accelerators.
        """
        cpu, memory_mb, accelerators = self.capacity()
        for task in self.tasks.values():
            cpu -= task.cpu
            memory_mb -= task.memory_mb
            accelerators -= task.accelerators
        return cpu, memory_mb, accelerators

    def worker_info(self) -> messages.WorkerInfo | None:
        """Return the worker's capacity, or ``None`` until earlier tasks are adopted."""
        if not self.adopted.is_set():
            return None
        rack = self.app.settings.agent.worker.rack
        return messages.WorkerInfo(*self.capacity(), rack)

    def add_load(self, beat: messages.Heartbeat) -> None:
        """Set the fields of a heartbeat that describe the worker's load."""
        beat.free_cpu, beat.free_memory_mb, beat.free_accelerators = (
            self.free_resources()
        )
        gate = self.app.get("gate")
        refusal = gate.refusal_reason(self.app.now())
        has_worker = self.session != "" and self.reachable
        beat.accepts_tasks = refusal is None and has_worker and not self.leaving
        beat.used_cpu = sum(task.used_cpu for task in self.tasks.values())

    # Background work.

    async def run(self) -> None:
        """Adopt existing tasks, then poll tasks and maintain leases until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self.open_session()
            self.adopted.set()
            self.app.get("connector").reconnect_all()
            nursery.start_soon(self.poll)
            nursery.start_soon(self.maintain_leases)

    async def open_session(self) -> None:
        """Open a session at the worker and adopt the tasks that the worker lists.

        The session voids the start orders of earlier sessions that have not arrived
        yet.
        """
        while True:
            session = uuid.uuid4().hex
            try:
                await self.worker.open_session(session, self.started_at)
                listing = await self.worker.list_tasks()
            except WorkerError as error:
                events.write(events.WORKER_UNREACHABLE, error=error)
                await trio.sleep(RETRY_DELAY_S)
                continue
            if listing.session == session:
                break
        self.session = session
        self.worker_share = listing.share
        events.write(
            events.WORKER_SESSION_OPENED, session=session, tasks=len(listing.tasks)
        )
        self.end_missing_tasks(listing)
        for status in listing.tasks:
            if not self.adopted.is_set() or self.is_unknown(status):
                self.adopt_task(status)

    def end_missing_tasks(self, listing: TaskListing) -> None:
        """End the tasks that a newly opened session does not list.

        The worker lost them with its restart; whether their work is done is not known.
        An attempt that is still being started is left to :meth:`start`.
        """
        keys = {status.key for status in listing.tasks}
        for task in list(self.tasks.values()):
            if task.key in keys:
                self.mark_started(task)
            elif task.state != "starting":
                self.end_task(task, "stopped", "worker-restarted")

    def is_unknown(self, status: TaskStatus) -> bool:
        """Return whether this agent has neither started nor barred an attempt."""
        barred = self.barred.get(status.job)
        return barred is None or barred.attempt < status.attempt

    def adopt_task(self, status: TaskStatus) -> None:
        """Adopt a task that this agent did not start."""
        task = Task(
            *status.attempt_fields(),
            status.lease_until,
            "running",
            status.progress_s,
        )
        self.bar_attempt(status.job, status.attempt)
        self.tasks[status.job] = task
        self.apply_status(task, status)

    async def poll(self) -> None:
        """Poll the worker for the status of the tasks; reopen a lost session."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            if self.session and (self.tasks or not self.reachable):
                await self.update_tasks()
            if not self.session:
                await self.open_session()

    async def update_tasks(self) -> None:
        """Apply the worker's list of tasks, unless it is of another session."""
        try:
            listing = await self.worker.list_tasks()
        except WorkerError as error:
            self.reachable = False
            events.write(events.WORKER_UNREACHABLE, error=error)
            return
        self.reachable = True
        if listing.session != self.session:
            self.lose_session(listing.session)
            return
        self.worker_share = listing.share
        for status in listing.tasks:
            task = self.tasks.get(status.job)
            if task is not None and task.attempt == status.attempt:
                self.apply_status(task, status)

    def lose_session(self, found: str) -> None:
        """Refuse starts until a new session is open.

        :param found: session that is open at the worker; empty if none is or if it is
            not known.
        """
        events.write(events.WORKER_SESSION_LOST, session=self.session, found=found)
        self.session = ""

    def apply_status(self, task: Task, status: TaskStatus) -> None:
        """Record a task's progress and end the task if the worker has ended it."""
        task.progress_s = status.progress_s
        task.used_cpu = status.used_cpu
        task.peak_cpu = max(task.peak_cpu, status.used_cpu)
        task.granted_until = max(task.granted_until, status.lease_until)
        match status.state:
            case "finished" | "failed":
                self.end_task(task, status.state, status.detail)
            case "stopped" if task.state != "stopping":
                self.end_task(task, "stopped", "stopped-earlier", status.checkpoint)
            case "lapsed":
                self.end_task(task, "stopped", "lease-lapsed")

    async def maintain_leases(self) -> None:
        """Stop tasks with a lapsed lease and renew the other leases at the worker."""
        while True:
            now = self.app.now()
            for task in list(self.tasks.values()):
                lapses_at = min(task.lease_until, task.granted_until)
                if task.state == "running" and now >= lapses_at:
                    events.write(
                        events.TASK_LEASE_LAPSED, job=task.job, attempt=task.attempt
                    )
                    self.stop_in_background(task, "lease-lapsed")
            await self.renew_leases()
            self.drop_old_attempts(now)
            await trio.sleep(POLL_INTERVAL_S)

    async def renew_leases(self) -> None:
        """Send the worker the current lease ends of running tasks.

        A worker that does not answer gets no further renewals until it does, since it
        may still apply each of them; so its tasks lapse in the end.
        """
        running = [task for task in self.tasks.values() if task.state == "running"]
        if not running or not self.reachable:
            return
        granted = [task.granted_until for task in running]
        for task in running:
            task.granted_until = max(task.granted_until, task.lease_until)
        try:
            await self.worker.renew({task.key: task.lease_until for task in running})
        except WorkerError as error:
            self.reachable = False
            events.write(events.WORKER_UNREACHABLE, error=error)
            if error.verdict is Verdict.NOT_RUN:
                for task, until in zip(running, granted, strict=True):
                    task.granted_until = until

    def drop_old_attempts(self, now: float) -> None:
        """Drop barred attempts that no start order in flight can refer to."""
        for job, barred in list(self.barred.items()):
            if now - barred.barred_at > BARRED_RETENTION_S and job not in self.tasks:
                del self.barred[job]

    # Messages from entries.

    def handle_message(self, entry: str, message: messages.Message) -> None:
        """Handle a message of an entry."""
        match message:
            case messages.StartTask():
                self.handle_start(message)
            case messages.StopTask():
                self.handle_stop(message)
            case messages.TaskListQuery():
                self.answer_list(entry, message)

    def handle_ack(self, ack: messages.HeartbeatAck) -> None:
        """Extend the leases of tasks in the shards that the entry owns."""
        now = self.app.now()
        for lease in ack.owned_shards:
            if not self.accept_epoch(lease.shard, lease.epoch):
                continue
            for task in self.tasks.values():
                if task.shard == lease.shard and now < task.lease_until:
                    until = ack.echo + TASK_LEASE_S
                    task.lease_until = max(task.lease_until, until)

    def accept_epoch(self, shard: int, epoch: int) -> bool:
        """Record a shard's epoch; return false if a higher one is known."""
        if epoch < self.epochs.get(shard, epoch):
            return False
        self.epochs[shard] = epoch
        return True

    def handle_start(self, order: messages.StartTask) -> None:
        """Start an attempt, or refuse it permanently."""
        now = self.app.now()
        barred = self.barred.get(order.job)
        if barred is not None and order.attempt <= barred.attempt:
            return
        if not self.accept_epoch(order.shard, order.epoch):
            return
        refusal = self.start_refusal_reason(order, now)
        self.bar_attempt(order.job, order.attempt)
        if refusal is not None:
            events.write(
                events.TASK_REFUSED, job=order.job, attempt=order.attempt, rule=refusal
            )
            self.add_report(order.shard, order.job, order.attempt, "refused", refusal)
            return
        task = Task(
            order.job,
            order.attempt,
            order.shard,
            order.task_class,
            order.cpu,
            order.memory_mb,
            order.accelerators,
            order.echo + TASK_LEASE_S,
            "starting",
        )
        self.tasks[order.job] = task
        start_by = min(self.app.get("gate").start_deadline(), task.lease_until)
        self.nursery.start_soon(self.start, task, order, start_by)

    def start_refusal_reason(self, order: messages.StartTask, now: float) -> str | None:
        """Return the reason why an attempt must not start, or ``None``."""
        if order.incarnation != self.app.get("connector").incarnation:
            return "agent-restarted"
        if self.leaving:
            return "leaving"
        if not self.session:
            return "no-session"
        if not 0 <= now - order.echo <= MAX_START_ORDER_AGE_S:
            return "stale-order"
        if order.job in self.tasks:
            return "earlier-attempt-runs"
        reason = self.app.get("gate").refusal_reason(now)
        if reason is not None:
            return reason
        cpu, memory_mb, accelerators = self.free_resources()
        fits = (
            order.cpu <= cpu
            and order.memory_mb <= memory_mb
            and order.accelerators <= accelerators
        )
        return None if fits else "no-capacity"

    async def start(
        self, task: Task, order: messages.StartTask, start_by: float
    ) -> None:
        """Start a task at the worker and determine whether the start took effect.

        :param start_by: time after which the worker must refuse the order.
        """
        if not self.session:
            self.end_task(task, "refused", "no-session")
            return
        task_order = TaskOrder(
            *task.attempt_fields(),
            self.session,
            order.work,
            order.checkpoint,
            task.granted_until,
            start_by,
        )
        try:
            await self.worker.start(task_order)
        except WorkerError as error:
            self.reachable = False
            if error.verdict is Verdict.NOT_RUN:
                if str(error) == STALE_SESSION and task_order.session == self.session:
                    self.lose_session("")
                self.end_task(task, "refused", str(error))
                return
            await self.resolve_start(task, task_order)
            return
        if task.state == "starting" and self.session not in ("", task_order.session):
            self.end_task(task, "stopped", "worker-restarted")
            return
        self.mark_running(task)

    async def resolve_start(self, task: Task, order: TaskOrder) -> None:
        """Determine from the worker's list whether an unanswered start took effect.

        The worker refuses the order after its ``start_by``, so a task that is absent
        from a list of the order's session requested later was not started. If it is
        absent from a list of another session, it may have run before a restart.
        """
        while True:
            asked_at = self.app.now()
            try:
                listing = await self.worker.list_tasks()
            except WorkerError:
                await trio.sleep(RETRY_DELAY_S)
                if self.app.now() > task.granted_until + CLOCK_MARGIN_S:
                    return self.end_task(task, "stopped", "worker-lost")
                continue
            if any(status.key == task.key for status in listing.tasks):
                return self.mark_running(task)
            if listing.session != order.session:
                return self.end_task(task, "stopped", "worker-restarted")
            if asked_at > order.start_by:
                return self.end_task(task, "refused", "start-lost")
            await trio.sleep(RETRY_DELAY_S)

    def mark_started(self, task: Task) -> None:
        """Mark a task as running unless it is being stopped or is to be stopped."""
        if task.state != "starting":
            return
        task.state = "running"
        if task.stop_reason:
            self.stop_in_background(task, task.stop_reason)

    def mark_running(self, task: Task) -> None:
        """Mark a task as running and report it to every entry."""
        self.mark_started(task)
        report = messages.TaskReport(task.shard, task.job, task.attempt, "running")
        self.app.get("connector").broadcast(report)
        events.write(events.TASK_STARTED, job=task.job, attempt=task.attempt)

    def handle_stop(self, order: messages.StopTask) -> None:
        """Stop an attempt by order of its shard's owner."""
        if not self.accept_epoch(order.shard, order.epoch):
            return
        task = self.tasks.get(order.job)
        if task is None or task.attempt != order.attempt:
            return
        self.stop_in_background(task, order.reason)

    def answer_list(self, entry: str, query: messages.TaskListQuery) -> None:
        """Send a shard's owner the attempts of the shard.

        Expected attempts that the agent does not know are listed as ``unknown`` and
        will never start. Before the tasks of the agent's earlier incarnation are
        adopted, no answer is given until their leases must have ended.
        """
        leases_end_at = self.started_at + TASK_LEASE_S + CLOCK_MARGIN_S
        if not self.adopted.is_set() and self.app.now() <= leases_end_at:
            return
        if not self.accept_epoch(query.shard, query.epoch):
            return
        reports = {}
        for task in self.tasks.values():
            if task.shard == query.shard:
                report = messages.TaskReport(
                    task.shard, task.job, task.attempt, "running"
                )
                reports[task.job, task.attempt] = report
        for report in self.app.get("reports").list_for_shard(query.shard):
            reports[report.job, report.attempt] = report
        for ref in query.expected:
            if (ref.job, ref.attempt) in reports:
                continue
            self.bar_attempt(ref.job, ref.attempt)
            reports[ref.job, ref.attempt] = messages.TaskReport(
                query.shard, ref.job, ref.attempt, "unknown"
            )
        answer = messages.TaskList(
            query.shard,
            query.epoch,
            self.app.get("connector").incarnation,
            list(reports.values()),
        )
        self.app.get("connector").send(entry, answer)

    def bar_attempt(self, job: str, attempt: int) -> None:
        """Exclude this and all lower attempts of the job from being started."""
        barred = self.barred.get(job)
        highest = max(attempt, barred.attempt if barred else 0)
        self.barred[job] = BarredAttempt(highest, self.app.now())

    # Ended tasks and their reports.

    def stop_in_background(self, task: Task, reason: str) -> None:
        """Stop a task in the background, or once its start is known to have succeeded.

        A worker could carry out a stop before the start, and then start the task.
        """
        if task.state == "starting":
            task.stop_reason = task.stop_reason or reason
            return
        if task.state == "stopping":
            return
        task.state = "stopping"
        self.nursery.start_soon(self.stop, task, reason)

    async def stop(self, task: Task, reason: str) -> None:
        """Checkpoint and stop a task, then report its final state.

        If the worker can't be reached until the lease has ended by a margin, the
        task counts as stopped: the worker stops tasks with a lapsed lease by itself.
        """
        while True:
            try:
                result = await self.worker.stop(task.key)
                break
            except WorkerError:
                await trio.sleep(RETRY_DELAY_S)
            if self.app.now() > task.granted_until + CLOCK_MARGIN_S:
                return self.end_task(task, "stopped", "worker-lost")
        task.progress_s = result.progress_s
        if result.state in ("finished", "failed"):
            return self.end_task(task, result.state, "")
        return self.end_task(task, "stopped", reason, result.checkpoint)

    def end_task(
        self, task: Task, state: str, reason: str, checkpoint: str | None = None
    ) -> None:
        """Free a task's capacity and report its end; does nothing if already ended."""
        if self.tasks.get(task.job) is not task:
            return
        del self.tasks[task.job]
        events.write(events.TASK_ENDED, job=task.job, attempt=task.attempt, state=state)
        self.add_report(
            task.shard,
            task.job,
            task.attempt,
            state,
            reason,
            checkpoint,
            task.progress_s,
            task.peak_cpu,
        )

    def add_report(
        self,
        shard: int,
        job: str,
        attempt: int,
        state: str,
        reason: str,
        checkpoint: str | None = None,
        progress_s: float = 0.0,
        peak_cpu: float = 0.0,
    ) -> None:
        """Add a report to the outbox, which resends it until it is recorded."""
        self.app.get("reports").add(
            messages.TaskReport(
                shard, job, attempt, state, reason, checkpoint, progress_s, peak_cpu
            )
        )

    def handle_report_recorded(self, job: str, attempt: int) -> None:
        """Remove an attempt from the worker once its end is recorded in the log."""
        self.notify_report_recorded()
        self.nursery.start_soon(self.forget_at_worker, task_key(job, attempt))

    async def forget_at_worker(self, key: str) -> None:
        """Make the worker drop an ended task."""
        try:
            await self.worker.forget(key)
        except WorkerError as error:
            events.write(events.WORKER_UNREACHABLE, error=error)

    # Shutdown and domains out of service.

    def stop_if_domain_out(self) -> None:
        """Stop every task if this host's failure domain is out of service."""
        if not self.app.get("gate").is_domain_out():
            return
        for task in list(self.tasks.values()):
            self.stop_in_background(task, "domain-out")

    def notify_report_recorded(self) -> None:
        """Wake :meth:`drain`, which waits for reports to be recorded."""
        self.report_recorded.set()
        self.report_recorded = trio.Event()

    async def drain(self) -> None:
        """Checkpoint and stop every task and wait until all reports are recorded.

        The wait is limited by the setting ``stop_grace_s``.
        """
        self.leaving = True
        for task in list(self.tasks.values()):
            self.stop_in_background(task, "agent-leaving")
        with trio.move_on_after(self.app.settings.agent.stop_grace_s):
            while self.tasks or self.app.get("reports").pending:
                await self.report_recorded.wait()


def setup(app: Application) -> None:
    """Register the service ``tasks``, its background task and its drain."""
    if "worker" not in app.services:
        app.add_service("worker", HttpWorker(app.settings.agent.worker.address))
    manager = TaskManager(app, app.get("worker"))
    app.add_service("tasks", manager)
    app.add_task(manager.run)
    app.get("lifecycle").drains.append(manager.drain)
