"""Makes the scheduling decisions of the owner.

The scheduler does no input or output. Its caller sends the messages that collect in
the outbox of the cluster state, stores the progress of the jobs in ``unstored``, and
acknowledges the ends of runs in ``unacked`` once that progress is stored.
"""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.cluster import ClusterState, task_properties
from rattanwing.batch.crashes import Crash, CrashTracker
from rattanwing.batch.freshness import has_time_to_start
from rattanwing.batch.interference import InterferenceModel
from rattanwing.batch.jobs import OwnedJob, Task
from rattanwing.batch.liveness import may_outlive_lease
from rattanwing.batch.locality import NearPlaces, NearWait
from rattanwing.batch.model import JobState, parse_task_id
from rattanwing.batch.moves import choose_moves
from rattanwing.batch.placement import (
    Constraints,
    OpenHosts,
    count_rejections,
    lacks_alike,
)
from rattanwing.batch.ports import EndedRow, EndReason, RunningRow
from rattanwing.batch.start_budget import DEFAULT_MAX_HELD_TASKS, StartBudget
from rattanwing.batch.stopping import find_departing_runs, find_stalled_runs
from rattanwing.batch.suspicion import SURVIVAL_S, has_survived
from rattanwing.batch.timing import LEASE_MARGIN_S, TASK_LEASE_S
from rattanwing.batch.urgency import sort_by_urgency

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Host, Run
    from rattanwing.batch.jobs import StepTasks
    from rattanwing.batch.replica import JobView

START_WITHIN_S = 2.0
"""Time in seconds after which a start order is void, so that a delayed order does not
start a run despite a later evacuation, drain or cancellation."""

INTERFERENCE_INTERVAL_S = 1.0
"""Time in seconds between two updates of the interference estimates, which are then
sent to the agents. The model's decay factor applies once per update."""

WAIT_LOG_INTERVAL_S = 2.0
"""Time in seconds that a step waits for a host before the wait is logged, and between
two such log lines. Hosts that are full for half a minute cause about a hundred
lines."""

RECHECK_INTERVAL_S = 0.25
"""Time in seconds after which a step that found no host is compared with all hosts
again. It bounds how late changes that free no host are noticed, such as a lower use of
CPU, better estimates or a reopened failure domain."""

STALL_CHECK_INTERVAL_S = 0.5
"""Time in seconds between two searches for stalled runs."""

MOVE_INTERVAL_S = 0.5
"""Time in seconds between two searches for throttled runs to move; agents report the
CPU use of runs as often."""

FAILED_JOB_PAUSE_S = 2.0
"""Time in seconds for which a job is passed over after its placement has failed with
an unexpected error."""

HARMLESS_REFUSALS = frozenset(
    {"executor-gone", "expired", "no-executor", "other-executor"}
)
"""Reasons of refusals that don't tell against the host: the order came too late, or
its executor has been replaced."""

STOP_RETRY_S = 2.0
"""Time in seconds after which a stop is ordered again if the run is still reported."""


class Scheduler:
    """The scheduling decisions of one epoch of ownership.

    :param claimed_at: time when this owner sent its claim of ownership.
    :param unstored: jobs whose progress must be stored, by id.
    :param unacked: by host, the executor incarnation and number of the newest end
        of a run that may be acknowledged once the jobs' progress is stored.
    :param unacked_crashes: by executor incarnation, the host of each crash that may be
        acknowledged once the jobs' progress is stored.
    :param crashes: recent crashes of executors, and the decisions about them.
    :param takeover_complete: whether tasks of inherited jobs may be started; see
        :meth:`check_takeover`.
    :param directory_known: whether every registered agent is in ``cluster``.
    :param starts_end_at: time from which no task may start by what has been read.
    :param near_places: the decisions about waits for near places.
    :param budget: limits the tasks that are held, and the starts in one round.
    """

    __slots__ = (
        "epoch",
        "claimed_at",
        "jobs",
        "cluster",
        "constraints",
        "starts_end_at",
        "unstored",
        "unacked",
        "unacked_crashes",
        "crashes",
        "takeover_complete",
        "directory_known",
        "interference",
        "interference_sent_at",
        "stalls_checked_at",
        "moves_checked_at",
        "near_places",
        "budget",
    )

    def __init__(
        self,
        epoch: int,
        claimed_at: float,
        near_places: NearPlaces | None = None,
        max_held_tasks: int = DEFAULT_MAX_HELD_TASKS,
    ) -> None:
        self.epoch = epoch
        self.claimed_at = claimed_at
        self.jobs: dict[str, OwnedJob] = {}
        self.cluster = ClusterState(claimed_at)
        self.constraints = Constraints()
        self.starts_end_at = float("inf")
        self.unstored: dict[str, OwnedJob] = {}
        self.unacked: dict[str, tuple[str, int]] = {}
        self.unacked_crashes: dict[str, str] = {}
        self.crashes = CrashTracker(self.cluster, epoch, claimed_at)
        self.takeover_complete = False
        self.directory_known = False
        self.interference = InterferenceModel()
        self.interference_sent_at = claimed_at
        self.stalls_checked_at = claimed_at
        self.moves_checked_at = claimed_at
        self.near_places = near_places or NearPlaces()
        self.budget = StartBudget(max_held_tasks, claimed_at)

    # Jobs

    def update_job(
        self, view: JobView, now: float, now_ms: int, inherited: bool = False
    ) -> None:
        """Add a new job, or apply a cancellation.

        :param view: the job as read from the store.
        """
        job = self.jobs.get(view.spec.job_id)
        if job is None:
            if view.progress.state.final:
                return
            job = OwnedJob(view.spec, now, inherited, self.epoch)
            job.restore(view.progress, now_ms, view.parts)
            self.jobs[view.spec.job_id] = job
            if job.all_done():
                self.finish_job(job, JobState.COMPLETED, now, now_ms)
        if view.cancelled and not job.state.final:
            self.finish_job(job, JobState.CANCELLED, now, now_ms)

    def finish_job(
        self, job: OwnedJob, state: JobState, now: float, now_ms: int
    ) -> None:
        """Set the final state of a job and stop its runs."""
        job.state = state
        job.finished_at_ms = now_ms
        self.mark_unstored(job)
        events.write(
            events.JOB_FINISHED,
            job=job.spec.job_id,
            state=state.name.lower(),
            epoch=self.epoch,
        )
        for task in list(job.tasks_held()):
            for run in list(task.runs):
                self.cluster.stop(run, "job-final", now)

    def mark_unstored(self, job: OwnedJob) -> None:
        """Mark the progress of a job as not stored yet."""
        self.unstored[job.spec.job_id] = job

    def drop_finished_jobs(self, views: dict[str, JobView]) -> None:
        """Drop jobs in a final state that have no runs.

        :param views: the jobs of this entry's replica. A job is kept until the
            replica has read its final state from the store: an older record that is
            read later would otherwise bring it back as unfinished.
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

    def drop_lapsed_hosts(self, now: float) -> list[str]:
        """Mark the runs of hosts whose lease has lapsed as lost, and remove the hosts.

        A host stays while one of its runs may still be started there.

        :returns: the names of the removed hosts.
        """
        lapsed = []
        for host in list(self.cluster.hosts.values()):
            if not host.has_lapsed(now):
                continue
            for run in list(host.runs.values()):
                if not may_outlive_lease(run, now):
                    self.cluster.mark_lost(run, "lapsed", now)
            if host.runs:
                continue
            lapsed.append(host.name)
            del self.cluster.hosts[host.name]
        return lapsed

    def check_takeover(self, now: float) -> None:
        """Complete the takeover once tasks of inherited jobs may be started.

        An earlier owner may have started any of these tasks. The takeover is complete
        when every agent has reported its runs, or when every lease that an earlier
        owner could have granted has lapsed.
        """
        if self.takeover_complete or not self.directory_known:
            return
        lapsed = now >= self.claimed_at + TASK_LEASE_S + LEASE_MARGIN_S
        unreported = [
            h.name for h in self.cluster.hosts.values() if not h.fully_reported
        ]
        if unreported and not lapsed:
            return
        self.takeover_complete = True
        events.write(
            events.TAKEOVER_COMPLETE,
            epoch=self.epoch,
            after_s=round(now - self.claimed_at, 3),
            silent=unreported,
        )

    def handle_report(
        self, host: Host, report: messages.HostReport, now: float, now_ms: int
    ) -> None:
        """Apply an agent's report of its executor and the runs there."""
        was_open = host.accepts_starts(now)
        host.last_heard_at = now
        host.report_stamp = report.stamp
        host.executor_unreachable = report.executor_unreachable
        host.colocation = None
        host.record_stamp(report.stamp, now)
        host.failed_at = None
        if report.failed_s is not None:
            host.failed_at = report.stamp + host.clock_offset - report.failed_s
        executor = report.executor
        previous = host.executor
        # A report without an executor shows that the previous one is gone only if the
        # report is complete.
        replaced = previous is not None and (
            executor.incarnation != previous.incarnation
            if executor
            else report.complete
        )
        listed = {(row.task, row.attempt): row for row in report.runs}
        if replaced:
            if executor is not None and not previous.draining:
                self.suspect_forgotten_runs(host, previous.incarnation, now, now_ms)
            for key, run in list(host.runs.items()):
                if key not in listed:
                    self.cluster.mark_lost(run, "executor-gone", now)
            host.health.forget_refusals()
        if executor is not None or report.complete:
            host.executor = executor
        grown = (
            previous is not None
            and executor is not None
            and any(
                after > before
                for after, before in zip(
                    executor.capacity(), previous.capacity(), strict=True
                )
            )
        )
        first_complete = report.complete and not host.fully_reported
        host.fully_reported = host.fully_reported or report.complete
        host.unknown_runs = 0
        survived = dict(zip(listed, report.survival_times_s, strict=False))
        late = dict(zip(listed, report.may_start_late, strict=False))
        for key, row in listed.items():
            run = host.runs.get(key) or self.adopt(host, row, now)
            if run is not None:
                run.may_start_late = late.get(key, False)
                self.update_run(run, row, survived.get(key, 0.0), now)
            else:
                host.unknown_runs += 1
        if report.complete:
            for key, run in list(host.runs.items()):
                if key not in listed and run.order_number <= report.last_order:
                    self.cluster.mark_lost(run, "not-reported", now)
        if first_complete:
            self.cluster.send_properties(list(host.runs.values()))
        host.freed = host.freed or not was_open or replaced or grown
        self.interference.observe(list(host.runs.values()), now)
        if executor is not None and executor.draining:
            for run in find_departing_runs(host, executor.remaining_ms):
                self.cluster.stop(run, "draining", now)

    def update_run(
        self, run: Run, row: RunningRow, survived_s: float, now: float
    ) -> None:
        """Apply the reported state of a run, and repeat a stop that had no effect."""
        if row.progress_percent != run.progress_percent or not run.reported:
            run.progressed_at = now
        run.reported = True
        run.progress_percent = row.progress_percent
        run.record_use(row.measurement, now)
        run.checkpoint = row.checkpoint or run.checkpoint
        if not run.proven and has_survived(survived_s, row.progress_percent):
            self.handle_survival(run)
        if (
            run.last_stop_ordered_at is not None
            and now - run.last_stop_ordered_at > STOP_RETRY_S
        ):
            self.cluster.stop(run, "again", now)

    def adopt(self, host: Host, row: RunningRow, now: float) -> Run | None:
        """Record a run that was started by an earlier owner or on an earlier stream.

        :returns: ``None`` for a run of an unknown task, which is ordered to stop, and
            for a run with a malformed task id.
        """
        try:
            task_id = parse_task_id(row.task)
        except ValueError:
            events.write(events.RUN_UNKNOWN, host=host.name, task=row.task)
            return None
        job = self.jobs.get(task_id.job_id)
        task = job.task(task_id) if job is not None else None
        if task is None:
            events.write(events.RUN_UNKNOWN, host=host.name, task=row.task)
            self.cluster.send_stop(host, row.task, row.attempt)
            return None
        run = self.cluster.add_run(task, row.attempt, host, now)
        self.cluster.send_properties([run])
        task.attempt = max(task.attempt, row.attempt)
        if task.done or job.state.final or row.attempt < task.attempt:
            self.cluster.stop(run, "superseded", now)
        elif job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.mark_unstored(job)
        return run

    def stop_stalled_runs(self, now: float) -> None:
        """Stop stalled runs, so that their tasks are placed again."""
        if now - self.stalls_checked_at < STALL_CHECK_INTERVAL_S:
            return
        self.stalls_checked_at = now
        for run in find_stalled_runs(self.cluster.hosts.values(), now):
            run.host.health.record_stall(now)
            self.cluster.stop(run, "stalled", now)

    def send_interference(self, now: float) -> None:
        """Update the interference estimates and send them to agents once a second."""
        if now - self.interference_sent_at < INTERFERENCE_INTERVAL_S:
            return
        self.interference_sent_at = now
        self.interference.refit()
        for host in self.cluster.hosts.values():
            host.colocation = None
            host.headroom = None
        rows = self.interference.known_rows()
        if not rows:
            return
        for host in self.cluster.hosts.values():
            if host.connected and host.reserved_best_effort_cpu:
                self.cluster.send(host, messages.InterferenceEstimates(rows))

    # Runs

    def handle_ends(
        self, host: Host, message: messages.RunsEnded, now: float, now_ms: int
    ) -> None:
        """Apply the ends of runs that an executor lists, each once.

        All of them are acknowledged: an end that comes again was stored, but its
        acknowledgement may have been lost with an earlier stream.
        """
        if message.incarnation != host.ends_incarnation:
            host.ends_incarnation = message.incarnation
            host.last_end_number = 0
        for end in message.ends:
            if end.number <= host.last_end_number:
                continue
            host.last_end_number = end.number
            self.handle_end(host, end, now, now_ms)
        if message.ends:
            self.unacked[host.name] = (message.incarnation, host.last_end_number)

    def handle_end(self, host: Host, end: EndedRow, now: float, now_ms: int) -> None:
        """Apply the end of a run; a later stream may report the same end again."""
        events.write(
            events.RUN_ENDED,
            task=end.task,
            attempt=end.attempt,
            host=host.name,
            ending=end.reason.value,
        )
        run = host.runs.get((end.task, end.attempt))
        if run is not None:
            self.cluster.release(run, now, has_run=True)
            done = end.reason is EndReason.DONE
            self.near_places.record_end(run, done, now)
        try:
            task_id = parse_task_id(end.task)
        except ValueError:
            return
        job = self.jobs.get(task_id.job_id)
        task = job.task(task_id) if job is not None else None
        if task is None or job.state.final:
            return
        task.record_end(end.attempt, end.checkpoint)
        self.mark_unstored(job)
        if run is not None:
            failed = end.reason is EndReason.FAILED
            host.health.record_end(failed, bool(task.failed_on - {host.name}), now)
        match end.reason:
            case EndReason.DONE if not task.step.long_running:
                self.handle_done(job, task, now, now_ms)
            case EndReason.FAILED:
                self.handle_failure(job, task, end.attempt, host, now, now_ms)

    def handle_done(self, job: OwnedJob, task: Task, now: float, now_ms: int) -> None:
        """Mark a task as done and stop its other runs."""
        if not task.done:
            job.finish_task(task)
        for other in list(task.runs):
            self.cluster.stop(other, "done-elsewhere", now)
        if job.all_done():
            self.finish_job(job, JobState.COMPLETED, now, now_ms)

    def handle_failure(
        self,
        job: OwnedJob,
        task: Task,
        attempt: int,
        host: Host,
        now: float,
        now_ms: int,
    ) -> None:
        """Record a failed attempt; the job fails after ``max_attempts`` of one task."""
        task.failed_on |= {host.name}
        if task.step.long_running:
            return
        task.failed_attempts |= {attempt}
        if len(task.failed_attempts) >= job.spec.queue.max_attempts:
            self.finish_job(job, JobState.FAILED, now, now_ms)

    def handle_refused(
        self, host: Host, refused: messages.RunRefused, now: float
    ) -> None:
        """Release a run that its agent refused to start, so that it is placed again.

        Other hosts are then preferred for the task, and the host gets no starts for
        a short time, unless the reason does not tell against the host.
        """
        run = host.runs.get((refused.task, refused.attempt))
        if run is None:
            return
        self.cluster.mark_lost(run, refused.reason, now, refused=True)
        if refused.reason not in HARMLESS_REFUSALS:
            run.task.refused_on |= {host.name}
            host.health.record_refusal(now)

    # Crashes

    def handle_crash(
        self, host: Host, report: messages.ExecutorCrashed, now: float, now_ms: int
    ) -> None:
        """Apply the crash of an executor; the agent may report it on several streams.

        Its runs are lost. The tasks that it had just started are suspected of having
        crashed it.
        """
        self.unacked_crashes[report.incarnation] = host.name
        host.record_stamp(report.stamp, now)
        crash = self.crashes.record(host, report, now)
        started = []
        for row in report.runs:
            run = host.runs.get((row.task, row.attempt))
            if run is not None and row.ended:
                self.cluster.mark_lost(run, "executor-crashed", now)
            task = self.find_task(row.task)
            if task is not None:
                task.record_attempt(row.attempt)
                if row.survived_s < SURVIVAL_S:
                    started.append((task, row.begun and row.noticed_s < SURVIVAL_S))
        if crash is not None:
            self.suspect(started, crash, now, now_ms)

    def suspect_forgotten_runs(
        self, host: Host, incarnation: str, now: float, now_ms: int
    ) -> None:
        """Suspect runs of an earlier stream whose executor was replaced.

        An agent that was restarted meanwhile does not report the crash; any other agent
        reports it before the next executor.
        """
        if incarnation in self.crashes.crashes:
            return
        started = [
            (run.task, False)
            for run in host.runs.values()
            if run.order_number == 0 and run.reported and not run.proven
        ]
        crash = Crash(incarnation, host.name, now, only_suspect=False, isolated=False)
        self.suspect(started, crash, now, now_ms)

    def find_task(self, name: str) -> Task | None:
        """Return the task of a reported name; ``None`` if there is none."""
        try:
            task_id = parse_task_id(name)
        except ValueError:
            return None
        job = self.jobs.get(task_id.job_id)
        return job.task(task_id) if job is not None else None

    def suspect(
        self, started: list[tuple[Task, bool]], crash: Crash, now: float, now_ms: int
    ) -> None:
        """Suspect tasks that an executor started just before it crashed.

        The job of a task is given up if the task is found to crash executors.

        :param started: tasks, and whether a run of each is known to have begun.
        """
        for task, begun in started:
            job = task.job
            if job.state.final or not self.crashes.suspect(task, crash, begun, now):
                continue
            self.mark_unstored(job)
            if self.crashes.gives_up(task, now):
                self.finish_job(job, JobState.FAILED, now, now_ms)

    def handle_survival(self, run: Run) -> None:
        """Clear the task of a run that has not crashed its executor."""
        if self.crashes.record_survival(run):
            self.mark_unstored(run.task.job)

    # Placement

    def place_waiting_tasks(self, now: float, now_ms: int) -> None:
        """Place waiting tasks on hosts, in the order of urgency of their jobs.

        A step that found no host is compared with all hosts again only after
        ``RECHECK_INTERVAL_S``, and until then with those that have been freed.
        """
        for job in self.jobs.values():
            if job.occurrences_begun < job.spec.occurrence_count:
                job.create_due_occurrences(now_ms)
        waiting = [
            job
            for job in self.jobs.values()
            if job.unsettled
            and not job.state.final
            and now >= job.skipped_until
            and (self.takeover_complete or not job.inherited)
        ]
        if not has_time_to_start(self.starts_end_at, now):
            return
        held_tasks = sum(job.held_tasks for job in self.jobs.values())
        self.budget.begin_round(held_tasks, now)
        open_hosts = OpenHosts(self.cluster.hosts.values(), self.constraints, now)
        self.near_places.begin_round(open_hosts, now, now_ms)
        for job in sort_by_urgency(waiting, now_ms):
            try:
                job.unsettled = not self.place_job(job, open_hosts, now)
            except Exception as error:
                job.skipped_until = now + FAILED_JOB_PAUSE_S
                detail = "".join(traceback.format_exception(error))
                events.write(
                    events.JOB_PLACEMENT_FAILED, job=job.spec.job_id, trace=detail
                )

    def move_throttled_runs(self, now: float) -> None:
        """Stop throttled best-effort runs that would be at work on other hosts.

        Their tasks are placed again with their newest checkpoint once the runs have
        ended, which for tasks of inherited jobs needs a complete takeover.
        """
        if not self.takeover_complete or now - self.moves_checked_at < MOVE_INTERVAL_S:
            return
        self.moves_checked_at = now
        hosts = self.cluster.hosts.values()
        for run, _target in choose_moves(
            hosts, self.constraints, self.interference, now
        ):
            run.task.moves += 1
            self.cluster.stop(run, "throttled", now)

    def place_job(self, job: OwnedJob, open_hosts: OpenHosts, now: float) -> bool:
        """Place the waiting tasks of a job.

        :returns: whether no task of the job is left waiting.
        """
        settled = True
        ready = job.ready_steps()
        job.tests_suspects = job.has_suspects_to_test(ready, now)
        full: set[int] = set()
        for step in ready:
            if step.number in full and lacks_alike(step.spec) and not job.suspects:
                settled = False
                continue
            everywhere = now - step.checked_at >= RECHECK_INTERVAL_S
            hosts = open_hosts.list(job.spec.queue.service, everywhere)
            if not hosts and not everywhere:
                settled = False
                continue
            place = self.place_gang if step.spec.gang else self.place_tasks
            if place(job, step, hosts, now):
                continue
            settled = False
            full.add(step.number)
            if everywhere:
                step.checked_at = now
        return settled

    def place_tasks(
        self, job: OwnedJob, step: StepTasks, hosts: list[Host], now: float
    ) -> bool:
        """Place the waiting tasks of a step until one finds no host.

        The others are still tried after a suspected task, which fits fewer hosts. Tasks
        that never had a run are alike: what holds one of them back holds all.

        :returns: whether no task of the step is left waiting.
        """
        placed = held_back = False
        unplaced: Task | None = None
        for task in step.waiting_tasks():
            if not job.may_start(task, now) or not self.crashes.may_test(task, now):
                held_back = True
                if step.holds(task):
                    continue
                break
            fresh = not step.holds(task)
            if not self.budget.allows(1, int(fresh)):
                held_back = True
                break
            host = self.near_places.choose(
                hosts, job, step, task, self.interference, now
            )
            if isinstance(host, NearWait):
                held_back = True
                if step.holds(task):
                    continue
                break
            if host is not None:
                self.start(job, task, task.next_attempt(), host, now)
                self.budget.spend(1, int(fresh))
                placed = True
                continue
            unplaced = unplaced or task
            if not task.is_suspect():
                break
        if unplaced is not None:
            self.record_wait(job, step, unplaced, now)
        elif placed or not held_back:
            step.waiting_since = None
        return unplaced is None and not held_back

    def record_wait(
        self,
        job: OwnedJob,
        step: StepTasks,
        task: Task,
        now: float,
    ) -> None:
        """Record that a step is waiting for a host; log the reasons at intervals."""
        if step.waiting_since is None:
            step.waiting_since = now
        waited_s = now - step.waiting_since
        if min(waited_s, now - step.wait_logged_at) < WAIT_LOG_INTERVAL_S:
            return
        step.wait_logged_at = now
        hosts = list(self.cluster.hosts.values())
        rejections = count_rejections(
            hosts, job, task, self.constraints, self.interference, now
        )
        events.write(
            events.TASK_UNPLACED,
            task=str(task.id),
            waited_s=round(waited_s, 1),
            cpu=task.step.cpu,
            memory_mb=task.step.memory_mb,
            hosts=rejections,
            epoch=self.epoch,
        )

    def place_gang(
        self, job: OwnedJob, step: StepTasks, hosts: list[Host], now: float
    ) -> bool:
        """Place all tasks of a gang, or none of them.

        Once a member has no run, because it was refused, lost or has ended, the others
        are stopped; the gang is placed again when all of them have ended.

        :returns: whether the gang was placed, or still has runs.
        """
        runs = [run for task in step.held.values() for run in task.runs]
        if runs:
            if step.count_waiting():
                for run in runs:
                    if run.last_stop_ordered_at is None:
                        self.cluster.stop(run, "gang-broken", now)
            return True
        members = [step.find(index) for index in range(step.spec.count)]
        if not any(job.may_start(task, now) for task in members):
            return False
        if not all(self.crashes.may_test(task, now) for task in members):
            return False
        fresh = step.spec.count - len(step.held)
        if not self.budget.allows(step.spec.count, fresh):
            return False
        attempt = max(task.next_attempt() for task in members)
        checkpoint = next((task.checkpoint for task in members if task.checkpoint), "")
        placed = self.near_places.choose_for_gang(
            hosts, job, step, self.interference, now
        )
        if isinstance(placed, NearWait):
            return False
        if not placed:
            self.record_wait(job, step, members[0], now)
            return False
        step.waiting_since = None
        for task, host in zip(members, placed, strict=True):
            task.checkpoint = checkpoint
            job.note_change(task)
            self.start(job, task, attempt, host, now)
        self.budget.spend(step.spec.count, fresh)
        return True

    def start(
        self, job: OwnedJob, task: Task, attempt: int, host: Host, now: float
    ) -> None:
        """Record a run and order its start."""
        task.attempt = attempt
        run = self.cluster.add_run(task, attempt, host, now)
        run.order_number = host.allocate_order_number()
        if task.is_suspect():
            self.crashes.hold(run, now)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.mark_unstored(job)
        order = messages.StartRun(
            run.order_number,
            str(task.id),
            attempt,
            host.executor.incarnation,
            job.spec.text,
            task.checkpoint,
            task_properties(task.step),
            host.report_stamp
            - host.last_heard_at
            + min(now + START_WITHIN_S, self.starts_end_at),
        )
        self.cluster.send(host, order)
        events.write(
            events.RUN_PLACED,
            task=str(task.id),
            attempt=attempt,
            host=host.name,
            incarnation=host.executor.incarnation,
            heard_s=round(now - host.last_heard_at, 3),
            epoch=self.epoch,
        )
