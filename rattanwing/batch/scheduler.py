"""The owner's decisions: what runs where, what has ended, what is to be stored.

No input and no output: messages to agents collect in the ledger, jobs to be
stored in ``unstored``, ends that may be forgotten once stored in ``unacked``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.jobs import OwnedJob, Task
from rattanwing.batch.ledger import RunLedger, task_facts
from rattanwing.batch.model import JobState, parse_task_id
from rattanwing.batch.order import by_urgency
from rattanwing.batch.placement import Constraints, choose_host, count_obstacles
from rattanwing.batch.ports import EndedRow, EndReason, RunningRow
from rattanwing.batch.pressure import PressureModel
from rattanwing.batch.timing import LEASE_MARGIN_S, TASK_LEASE_S

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Host, Run
    from rattanwing.batch.jobs import StepTasks
    from rattanwing.batch.replica import JobView

START_WITHIN_S = 1.5
"""An order that was not carried out after this time is void, so that none is
carried out against a newer evacuation, drain or cancellation."""

PRESSURES_INTERVAL_S = 1.0
"""How often agents are told what was learnt of the pairs of images; the model
forgets by this interval."""

STALL_LIMIT_S = 2.0
"""A task whose percentage has not changed for so long stands still; the longest
tasks change it several times a second, also when their host is slow."""

TELL_WAIT_S = 2.0
"""A step that finds no host for so long is logged, and again after as long; half a
minute of a full queue is some hundred lines."""

STOP_AGAIN_S = 2.0
"""A stop is ordered again when the run is still reported after this time."""


class Scheduler:
    """Decides for one epoch of ownership.

    :param claimed_at: when this owner's claim was sent.
    """

    __slots__ = (
        "epoch",
        "claimed_at",
        "jobs",
        "ledger",
        "constraints",
        "unstored",
        "unacked",
        "settled",
        "directory_known",
        "pressures",
        "pressures_told_at",
    )

    def __init__(self, epoch: int, claimed_at: float) -> None:
        self.epoch = epoch
        self.claimed_at = claimed_at
        self.jobs: dict[str, OwnedJob] = {}
        self.ledger = RunLedger(claimed_at)
        self.constraints = Constraints()
        self.unstored: dict[str, OwnedJob] = {}
        self.unacked: dict[str, tuple[str, int]] = {}
        self.settled = False
        self.directory_known = False
        self.pressures = PressureModel()
        self.pressures_told_at = claimed_at

    # Jobs

    def take_job(
        self, view: JobView, now: float, now_ms: int, inherited: bool = False
    ) -> None:
        """Take a job that is new or whose cancellation was read."""
        job = self.jobs.get(view.spec.job_id)
        if job is None:
            if view.progress.state.final:
                return
            job = OwnedJob(view.spec, now, inherited)
            job.restore(view.progress, now_ms)
            self.jobs[view.spec.job_id] = job
            if job.all_done():
                self.finish(job, JobState.COMPLETED, now, now_ms)
        if view.cancelled and not job.state.final:
            self.finish(job, JobState.CANCELLED, now, now_ms)

    def finish(self, job: OwnedJob, state: JobState, now: float, now_ms: int) -> None:
        """Give a job its final state and stop what still runs for it."""
        job.state = state
        job.finished_at_ms = now_ms
        self.note_unstored(job)
        events.write(
            events.JOB_FINISHED,
            job=job.spec.job_id,
            state=state.name.lower(),
            epoch=self.epoch,
        )
        for task in job.tasks():
            for run in list(task.runs):
                self.ledger.stop(run, "job-final", now)

    def note_unstored(self, job: OwnedJob) -> None:
        """Remember that a job's progress must be stored."""
        self.unstored[job.spec.job_id] = job

    def forget_finished(self, views: dict[str, JobView]) -> None:
        """Drop final jobs that have nothing running.

        :param views: this entry's replica. A job whose final state was not read
            back is kept: an older record that is still to be read would make it
            look unfinished.
        """
        for job_id, job in list(self.jobs.items()):
            view = views.get(job_id)
            if not job.state.final or job_id in self.unstored:
                continue
            if view is not None and not view.progress.state.final:
                continue
            if job.running == 0:
                del self.jobs[job_id]

    # Hosts

    def check_lapses(self, now: float) -> list[str]:
        """Give up on runs whose lease has surely lapsed.

        :returns: the names of the hosts of which nothing is left.
        """
        lapsed = []
        for host in list(self.ledger.hosts.values()):
            if not host.has_lapsed(now):
                continue
            self.ledger.lose_all(host, "lapsed", now)
            lapsed.append(host.name)
            del self.ledger.hosts[host.name]
        return lapsed

    def check_settled(self, now: float) -> None:
        """Decide whether tasks of inherited jobs may be started.

        An earlier owner may have started any of them. Either every agent has
        reported, or every lease that this owner could have granted has lapsed.
        """
        if self.settled or not self.directory_known:
            return
        lapsed = now >= self.claimed_at + TASK_LEASE_S + LEASE_MARGIN_S
        waiting = [h.name for h in self.ledger.hosts.values() if not h.settled]
        if waiting and not lapsed:
            return
        self.settled = True
        events.write(
            events.OWNER_SETTLED,
            epoch=self.epoch,
            after_s=round(now - self.claimed_at, 3),
            silent=waiting,
        )
        if not waiting:
            return
        for job in self.jobs.values():
            for task in job.tasks() if job.inherited else ():
                task.attempt += 1

    def take_report(
        self, host: Host, report: messages.HostReport, now: float, now_ms: int
    ) -> None:
        """Fold in everything that an agent knows of its executor."""
        host.heard_at = now
        host.missing = report.executor_unreachable
        view = report.executor
        before = host.executor
        replaced = before is not None and (
            view.incarnation != before.incarnation if view else report.complete
        )
        if replaced:
            self.ledger.lose_all(host, "executor-gone", now)
        if view is not None or report.complete:
            host.executor = view
        first = report.complete and not host.settled
        host.settled = host.settled or report.complete
        listed = {(row.task, row.attempt): row for row in report.runs}
        host.strangers = 0
        for key, row in listed.items():
            run = host.runs.get(key) or self.adopt(host, row, now)
            if run is not None:
                self.refresh(run, row, now)
            else:
                host.strangers += 1
        if report.complete:
            for key, run in list(host.runs.items()):
                if key not in listed and run.order_number <= report.last_order:
                    self.ledger.lose(run, "not-reported", now)
        if first:
            self.ledger.describe_runs(list(host.runs.values()))
        self.pressures.observe(list(host.runs.values()), now)
        if view is not None and view.draining:
            self.empty_draining(host, view.remaining_ms, now)

    def refresh(self, run: Run, row: RunningRow, now: float) -> None:
        """Take a run's newest figures; order a stop again if it was not obeyed."""
        if row.percent != run.percent or not run.confirmed:
            run.progressed_at = now
        run.confirmed = True
        run.percent, run.usage = row.percent, row.usage
        run.saved = row.checkpoint or run.saved
        if run.stopping_since is not None and now - run.stopping_since > STOP_AGAIN_S:
            self.ledger.stop(run, "again", now)

    def adopt(self, host: Host, row: RunningRow, now: float) -> Run | None:
        """Take over a run that an earlier owner, or an earlier stream, started."""
        try:
            task_id = parse_task_id(row.task)
        except ValueError:
            events.write(events.RUN_UNKNOWN, host=host.name, task=row.task)
            return None
        job = self.jobs.get(task_id.job_id)
        task = job.task(task_id) if job is not None else None
        if task is None:
            events.write(events.RUN_UNKNOWN, host=host.name, task=row.task)
            self.ledger.order_stop(host, row.task, row.attempt)
            return None
        run = self.ledger.book(task, row.attempt, host, now)
        self.ledger.describe_runs([run])
        task.attempt = max(task.attempt, row.attempt)
        if task.done or job.state.final or row.attempt < task.attempt:
            self.ledger.stop(run, "superseded", now)
        elif job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.note_unstored(job)
        return run

    def check_stalls(self, now: float) -> None:
        """Move tasks that stand still on a host that answers.

        Fillers may stand still for their pace, gangs for a member that is late.
        """
        for host in self.ledger.hosts.values():
            if host.missing or not host.takes_starts(now):
                continue
            for run in list(host.runs.values()):
                step = run.task.step
                if step.lasting or step.fills or step.gang:
                    continue
                if not run.confirmed or run.stopping_since is not None:
                    continue
                if now - run.progressed_at > STALL_LIMIT_S:
                    host.health.note_stall(now)
                    self.ledger.stop(run, "stalled", now)

    def empty_draining(self, host: Host, remaining_ms: int, now: float) -> None:
        """Move what will not be done before the executor leaves."""
        for run in list(host.runs.values()):
            if run.stopping_since is not None:
                continue
            step = run.task.step
            needs_ms = step.estimate_ms * (100 - run.percent) // 100
            saves = step.checkpoint and needs_ms > remaining_ms
            if step.lasting or saves:
                self.ledger.stop(run, "draining", now)

    def tell_pressures(self, now: float) -> None:
        """Learn, and tell the agents, which pairs press, once a second."""
        if now - self.pressures_told_at < PRESSURES_INTERVAL_S:
            return
        self.pressures_told_at = now
        self.pressures.refit()
        rows = self.pressures.known_rows()
        if not rows:
            return
        for host in self.ledger.hosts.values():
            if host.connected and host.used_fill_cpu:
                self.ledger.send(host, messages.InterferenceEstimates(rows))

    # Runs

    def take_ends(
        self, host: Host, told: messages.RunsEnded, now: float, now_ms: int
    ) -> None:
        """Fold in ends that an executor lists."""
        if told.incarnation != host.ends_incarnation:
            host.ends_incarnation = told.incarnation
            host.ends_taken = 0
        for end in told.ends:
            if end.number <= host.ends_taken:
                continue
            host.ends_taken = end.number
            self.take_end(host, end, now, now_ms)
            self.unacked[host.name] = (told.incarnation, end.number)

    def take_end(self, host: Host, end: EndedRow, now: float, now_ms: int) -> None:
        """Fold in one end; the same end may come again from a later stream."""
        events.write(
            events.RUN_ENDED,
            task=end.task,
            attempt=end.attempt,
            host=host.name,
            ending=end.reason.value,
        )
        run = host.runs.get((end.task, end.attempt))
        if run is not None:
            self.ledger.release(run, now)
        try:
            task_id = parse_task_id(end.task)
        except ValueError:
            return
        job = self.jobs.get(task_id.job_id)
        task = job.task(task_id) if job is not None else None
        if task is None or job.state.final:
            return
        task.attempt = max(task.attempt, end.attempt)
        task.ended_attempt = max(task.ended_attempt, end.attempt)
        task.save(end.checkpoint, end.attempt)
        self.note_unstored(job)
        if run is not None:
            failed = end.reason is EndReason.FAILED
            host.health.note_end(failed, bool(task.failed_on - {host.name}), now)
        match end.reason:
            case EndReason.DONE if not task.step.lasting:
                self.take_done(job, task, now, now_ms)
            case EndReason.FAILED:
                self.take_failure(job, task, end.attempt, host, now, now_ms)

    def take_done(self, job: OwnedJob, task: Task, now: float, now_ms: int) -> None:
        """Mark a task as done and stop its other runs."""
        if not task.done:
            job.finish_task(task)
        for other in list(task.runs):
            self.ledger.stop(other, "done-elsewhere", now)
        if job.all_done():
            self.finish(job, JobState.COMPLETED, now, now_ms)

    def take_failure(
        self,
        job: OwnedJob,
        task: Task,
        attempt: int,
        host: Host,
        now: float,
        now_ms: int,
    ) -> None:
        """Count a failed attempt; the job fails when a task has had all of them."""
        task.failed_on.add(host.name)
        if task.step.lasting:
            return
        task.failed_attempts.add(attempt)
        if len(task.failed_attempts) >= job.spec.queue.max_attempts:
            self.finish(job, JobState.FAILED, now, now_ms)

    def take_refused(
        self, host: Host, refused: messages.RunRefused, now: float
    ) -> None:
        """Place a run anew that an agent did not start."""
        run = host.runs.get((refused.task, refused.attempt))
        if run is not None:
            self.ledger.lose(run, refused.reason, now)

    # Placement

    def plan(self, now: float, now_ms: int) -> None:
        """Place every waiting task that there is room for."""
        hosts = list(self.ledger.hosts.values())
        for host in hosts:
            host.sharing = None
        waiting = [job for job in self.jobs.values() if not job.state.final]
        for job in by_urgency(waiting, now_ms):
            job.begin_due(now_ms)
            if job.inherited and not self.settled:
                continue
            for steps in job.ready_steps():
                if steps.spec.gang:
                    self.place_gang(job, steps, hosts, now)
                else:
                    self.place_tasks(job, steps, hosts, now)

    def place_tasks(
        self, job: OwnedJob, steps: StepTasks, hosts: list[Host], now: float
    ) -> None:
        """Place the waiting tasks of a step, one by one."""
        for task in steps.tasks:
            if not task.waits():
                continue
            host = choose_host(hosts, job, task, self.constraints, self.pressures, now)
            if host is None:
                self.note_wait(job, steps, task, hosts, now)
                return
            self.start(job, task, task.attempt + 1, host, now)
        steps.waits_since = None

    def note_wait(
        self,
        job: OwnedJob,
        steps: StepTasks,
        task: Task,
        hosts: list[Host],
        now: float,
    ) -> None:
        """Remember since when a step waits for room, and tell why now and then."""
        if steps.waits_since is None:
            steps.waits_since = now
        waited_s = now - steps.waits_since
        if min(waited_s, now - steps.wait_told_at) < TELL_WAIT_S:
            return
        steps.wait_told_at = now
        obstacles = count_obstacles(
            hosts, job, task, self.constraints, self.pressures, now
        )
        events.write(
            events.TASK_WAITS,
            task=str(task.id),
            waited_s=round(waited_s, 1),
            cpu=task.step.cpu,
            memory_mb=task.step.memory_mb,
            hosts=obstacles,
            epoch=self.epoch,
        )

    def place_gang(
        self, job: OwnedJob, steps: StepTasks, hosts: list[Host], now: float
    ) -> None:
        """Place all tasks of a gang, or none."""
        if any(task.runs for task in steps.tasks):
            return
        attempt = max(task.attempt for task in steps.tasks) + 1
        saved = next((task.saved for task in steps.tasks if task.saved), "")
        placed: list[tuple[Task, Host]] = []
        for task in steps.tasks:
            host = choose_host(hosts, job, task, self.constraints, self.pressures, now)
            if host is None:
                break
            placed.append((task, host))
            host.reserve(task.step, 1)
        for task, host in placed:
            host.reserve(task.step, -1)
        if len(placed) < len(steps.tasks):
            return
        for task, host in placed:
            task.saved = saved
            self.start(job, task, attempt, host, now)

    def start(
        self, job: OwnedJob, task: Task, attempt: int, host: Host, now: float
    ) -> None:
        """Order the start of a run."""
        task.attempt = attempt
        run = self.ledger.book(task, attempt, host, now)
        run.order_number = host.take_order_number()
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.note_unstored(job)
        order = messages.StartRun(
            run.order_number,
            str(task.id),
            attempt,
            job.spec.text,
            task.saved,
            task_facts(task.step),
            START_WITHIN_S,
        )
        self.ledger.send(host, order)
        events.write(
            events.RUN_PLACED,
            task=str(task.id),
            attempt=attempt,
            host=host.name,
            heard_s=round(now - host.heard_at, 3),
            epoch=self.epoch,
        )
