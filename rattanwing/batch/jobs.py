"""The owner's view of unfinished jobs: their tasks and the progress of each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.batch.model import JobState, TaskId
from rattanwing.batch.records import Progress
from rattanwing.batch.urgency import completion_target_ms

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Run
    from rattanwing.batch.model import JobSpec, StepSpec

MAX_ATTEMPTS_PER_EPOCH = 1 << 20
"""Most attempts of a task in one epoch of ownership. The attempts of an inherited task
are numbered from the epoch times this number, above those of all earlier epochs: the
store does not hold every attempt that an earlier owner has ordered."""


SUSPECT_WAIT_S = 3.0
"""Time in seconds for which suspected tasks that find no host hold up the other tasks
of their job."""


class Task:
    """One task of an unfinished job.

    :param attempt: highest attempt that was ordered or reported.
    :param ended_attempt: highest attempt whose end was processed.
    :param failed_attempts: attempts that failed because of the task or its executor.
        This is a set because an end may be reported twice and in any order.
    :param checkpoint: newest checkpoint, saved by ``checkpoint_attempt``; empty if
        there is none.
    :param saved_percent: progress of the last run that ended, as last reported; what a
        checkpoint keeps of it.
    :param runs: attempts that may be running.
    :param failed_on: names of the hosts on which the task has failed.
    :param refused_on: names of the hosts that have refused its start since its last
        run.
    :param crashed_on: incarnations of executors that crashed soon after starting the
        task, which is suspected of having caused it; empty once it is cleared.
    :param clear_crashes: those of them that followed a start as a suspected task and
        have no other known cause.
    :param last_crash_explained: whether the last crash that was recorded has another
        known cause.
    :param moves: how often this owner has stopped a run to move it to another host.
    """

    __slots__ = (
        "job",
        "id",
        "step",
        "attempt",
        "ended_attempt",
        "failed_attempts",
        "checkpoint",
        "checkpoint_attempt",
        "saved_percent",
        "done",
        "runs",
        "failed_on",
        "refused_on",
        "crashed_on",
        "clear_crashes",
        "last_crash_explained",
        "moves",
    )

    def __init__(self, job: OwnedJob, task_id: TaskId, step: StepSpec) -> None:
        self.job = job
        self.id = task_id
        self.step = step
        self.attempt = 0
        self.ended_attempt = 0
        self.failed_attempts: set[int] = set()
        self.checkpoint = ""
        self.checkpoint_attempt = 0
        self.saved_percent = 0
        self.done = False
        self.runs: list[Run] = []
        self.failed_on: set[str] = set()
        self.refused_on: set[str] = set()
        self.crashed_on: set[str] = set()
        self.clear_crashes: set[str] = set()
        self.last_crash_explained = False
        self.moves = 0

    @property
    def key(self) -> str:
        """Return the task's key in the progress record of its job."""
        return f"{self.id.occurrence}.{self.id.step}.{self.id.index}"

    def keep_checkpoint(self, checkpoint: str, attempt: int) -> None:
        """Keep a checkpoint unless a later attempt has saved one."""
        if checkpoint and attempt >= self.checkpoint_attempt:
            self.checkpoint = checkpoint
            self.checkpoint_attempt = attempt

    def next_attempt(self) -> int:
        """Return the number of the next attempt, which no owner has used."""
        return max(self.attempt, self.job.earlier_attempts) + 1

    def is_waiting(self) -> bool:
        """Return whether the task is waiting for a run."""
        return not self.done and not self.runs

    def is_suspect(self) -> bool:
        """Return whether the task is suspected of crashing executors."""
        return bool(self.crashed_on)


class StepTasks:
    """The tasks of one step in one occurrence.

    :param number: index of the step in its job.
    :param unfinished: number of tasks that are not done.
    :param waiting_since: time since which a task has been waiting for a host, ``None``
        if none is.
    :param wait_logged_at: time when that wait was last logged.
    :param checked_at: time when last no host at all could run one of its tasks.
    """

    __slots__ = (
        "spec",
        "occurrence",
        "number",
        "tasks",
        "unfinished",
        "waiting_since",
        "wait_logged_at",
        "checked_at",
    )

    def __init__(
        self, job: OwnedJob, occurrence: int, number: int, spec: StepSpec
    ) -> None:
        self.spec = spec
        self.occurrence = occurrence
        self.number = number
        self.tasks = [
            Task(job, TaskId(job.spec.job_id, occurrence, number, index), spec)
            for index in range(spec.count)
        ]
        self.unfinished = spec.count
        self.waiting_since: float | None = None
        self.wait_logged_at = 0.0
        self.checked_at = float("-inf")

    @property
    def key(self) -> str:
        """Return the step's key in the progress record of its job."""
        return f"{self.occurrence}.{self.number}"

    def has_waited_long(self, now: float) -> bool:
        """Return whether a task has found no host for ``SUSPECT_WAIT_S``."""
        return (
            self.waiting_since is not None and now - self.waiting_since > SUSPECT_WAIT_S
        )

    def bitmap(self) -> bytes:
        """Return a little-endian bitmap of the tasks that are done."""
        value = sum(1 << i for i, task in enumerate(self.tasks) if task.done)
        return value.to_bytes((len(self.tasks) + 7) // 8, "little")

    def restore(self, bitmap: bytes) -> None:
        """Restore from a stored bitmap which tasks are done."""
        value = int.from_bytes(bitmap, "little")
        for index, task in enumerate(self.tasks):
            task.done = bool(value >> index & 1)
        self.unfinished = sum(not task.done for task in self.tasks)


class OwnedJob:
    """An unfinished job that this owner schedules.

    :param steps_by_occurrence: the steps of each occurrence that has begun, by number.
    :param occurrences_begun: number of occurrences that have begun.
    :param inherited: whether the job was accepted before this owner's claim, so that
        an earlier owner may have started its tasks.
    :param earlier_attempts: bound of the attempts of one task that earlier owners may
        have ordered.
    :param last_run_ended_at: time of the last end of a run that had been started;
        before the first, the time when the owner received the job.
    :param unsettled: whether a task may be waiting for a run; a job whose tasks all
        run or depend on others is looked at again only after one of them has ended.
    :param target_ms: completion-time target, in milliseconds.
    :param skipped_until: time until which the job is passed over, because its
        placement has failed with an unexpected error.
    :param running: number of runs of its tasks.
    :param stored: progress that an earlier owner stored, ``None`` if there is none.
    :param suspects: its tasks that are suspected of crashing executors.
    :param tests_suspects: whether it starts nothing but suspects at present.
    :param suspicions: number of times that an executor crashed soon after starting one
        of its tasks, as far as this owner knows.
    :param stored_suspicions: value of ``suspicions`` that its stored progress covers.
    """

    __slots__ = (
        "spec",
        "state",
        "steps_by_occurrence",
        "occurrences_begun",
        "inherited",
        "earlier_attempts",
        "unsettled",
        "skipped_until",
        "target_ms",
        "finished_at_ms",
        "last_run_ended_at",
        "running",
        "stored",
        "suspects",
        "tests_suspects",
        "suspicions",
        "stored_suspicions",
    )

    def __init__(
        self, spec: JobSpec, received_at: float, inherited: bool, epoch: int
    ) -> None:
        self.spec = spec
        self.state = JobState.QUEUED
        self.steps_by_occurrence: dict[int, list[StepTasks]] = {}
        self.occurrences_begun = 0
        self.inherited = inherited
        self.earlier_attempts = epoch * MAX_ATTEMPTS_PER_EPOCH if inherited else 0
        self.unsettled = True
        self.skipped_until = 0.0
        self.target_ms = completion_target_ms(spec)
        self.finished_at_ms = 0
        self.last_run_ended_at = received_at
        self.running = 0
        self.stored: Progress | None = None
        self.suspects: set[Task] = set()
        self.tests_suspects = False
        self.suspicions = 0
        self.stored_suspicions = 0

    def create_due_occurrences(self, now_ms: int) -> None:
        """Create the tasks of every occurrence that is due."""
        while self.occurrences_begun < self.spec.occurrence_count:
            due_at_ms = (
                self.spec.start_at_ms + self.occurrences_begun * self.spec.period_ms
            )
            if self.spec.times and now_ms < due_at_ms:
                return
            self.steps_by_occurrence[self.occurrences_begun] = [
                StepTasks(self, self.occurrences_begun, number, step)
                for number, step in enumerate(self.spec.steps)
            ]
            if self.stored is not None:
                self.restore_occurrence(self.occurrences_begun, self.stored)
            self.occurrences_begun += 1
            self.unsettled = True

    def restore(self, progress: Progress, now_ms: int) -> None:
        """Restore the progress that an earlier owner stored."""
        self.state = progress.state
        self.stored = progress
        self.create_due_occurrences(now_ms)

    def restore_occurrence(self, occurrence: int, progress: Progress) -> None:
        """Restore the stored progress of one occurrence."""
        for step in self.steps_by_occurrence[occurrence]:
            step.restore(progress.done.get(step.key, b""))
            for task in step.tasks:
                task.failed_attempts = set(progress.failures.get(task.key, ()))
                task.ended_attempt = progress.attempts.get(task.key, 0)
                task.attempt = task.ended_attempt
                task.checkpoint = progress.checkpoints.get(task.key, "")
                task.checkpoint_attempt = task.ended_attempt
                clear = progress.clear_crashes.get(task.key, ())
                for incarnation in progress.crashes.get(task.key, ()):
                    self.suspect(task, incarnation, incarnation in clear)
        self.stored_suspicions = self.suspicions

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task, ``None`` if the job has no task of that id."""
        steps = self.steps_by_occurrence.get(task_id.occurrence, [])
        if not 0 <= task_id.step < len(steps):
            return None
        tasks = steps[task_id.step].tasks
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def ready_steps(self) -> list[StepTasks]:
        """Return the unfinished steps whose preceding steps are done."""
        return [
            step
            for occurrence in self.steps_by_occurrence.values()
            for step in occurrence
            if step.unfinished
            and all(occurrence[earlier].unfinished == 0 for earlier in step.spec.after)
        ]

    def all_done(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return self.occurrences_begun == self.spec.occurrence_count and not any(
            step.unfinished
            for steps in self.steps_by_occurrence.values()
            for step in steps
        )

    def count_run(self, change: int, now: float, has_run: bool) -> None:
        """Record the order (``change`` 1) or end (-1) of a run.

        :param has_run: whether a run that ends has been started.
        """
        self.running += change
        if has_run:
            self.last_run_ended_at = now
        if change < 0:
            self.unsettled = True

    def is_starved(self, now: float, limit_s: float) -> bool:
        """Return whether the job has had no run for more than ``limit_s``."""
        return self.running == 0 and now - self.last_run_ended_at > limit_s

    def suspect(self, task: Task, incarnation: str, clear: bool = False) -> None:
        """Record that an executor crashed soon after starting a task.

        :param clear: whether it was a suspected task before, and no other cause is
            known.
        """
        task.crashed_on.add(incarnation)
        if clear:
            task.clear_crashes.add(incarnation)
        self.suspects.add(task)
        self.suspicions += 1

    def record_stored_suspicions(self, count: int) -> bool:
        """Record that the first ``count`` suspicions are stored.

        :returns: whether more of them are stored than before; the suspected tasks may
            then be started.
        """
        if count <= self.stored_suspicions:
            return False
        self.stored_suspicions = count
        for task in self.suspects:
            step = self.steps_by_occurrence[task.id.occurrence][task.id.step]
            step.checked_at = float("-inf")
        return True

    def clear(self, task: Task) -> None:
        """Clear a task of the suspicion of crashing executors."""
        task.crashed_on.clear()
        task.clear_crashes.clear()
        self.suspects.discard(task)
        self.unsettled = True

    def has_suspects_to_test(self, ready: list[StepTasks], now: float) -> bool:
        """Return whether suspects are to be started before all other tasks.

        Suspects that find no host, or whose step is not ready, do not hold up the rest
        of the job.

        :param ready: the steps that are ready.
        """
        return any(
            not step.has_waited_long(now) and not self.suspects.isdisjoint(step.tasks)
            for step in (ready if self.suspects else ())
        )

    def may_start(self, task: Task, now: float) -> bool:
        """Return whether a suspicion of other tasks lets a waiting task start.

        A job starts its suspected tasks before all others, and one at a time. Each
        waits until the crashes so far are stored, so that no later owner starts the
        count again.
        """
        if task in self.suspects:
            stored = self.stored_suspicions == self.suspicions
            return stored and not self.has_unproven_run(now)
        return not self.tests_suspects

    def has_unproven_run(self, now: float) -> bool:
        """Return whether a task has a run that may still crash its executor.

        A run that is kept beyond the lease of its host does not hold up others.
        """
        return any(
            not run.proven and not run.host.has_lapsed(now)
            for task in self.tasks()
            for run in task.runs
        )

    def finish_task(self, task: Task) -> None:
        """Mark a task as done, and with it all tasks of its gang."""
        step = self.steps_by_occurrence[task.id.occurrence][task.id.step]
        finished = step.tasks if task.step.gang else [task]
        for member in finished:
            if not member.done:
                member.done = True
                step.unfinished -= 1
            self.clear(member)
        self.unsettled = True

    def tasks(self) -> list[Task]:
        """Return all tasks of the occurrences that have begun."""
        return [
            task
            for steps in self.steps_by_occurrence.values()
            for step in steps
            for task in step.tasks
        ]

    def progress(self, epoch: int) -> Progress:
        """Return the progress record to store for the job."""
        done, failures, attempts, checkpoints = {}, {}, {}, {}
        crashes, clear_crashes = {}, {}
        for steps in self.steps_by_occurrence.values():
            for step in steps:
                if step.unfinished < len(step.tasks):
                    done[step.key] = step.bitmap()
                for task in step.tasks:
                    if task.done or self.state.final:
                        continue
                    if task.failed_attempts:
                        failures[task.key] = sorted(task.failed_attempts)
                    if task.ended_attempt:
                        attempts[task.key] = task.ended_attempt
                    if task.checkpoint:
                        checkpoints[task.key] = task.checkpoint
                    if task.crashed_on:
                        crashes[task.key] = sorted(task.crashed_on)
                    if task.clear_crashes:
                        clear_crashes[task.key] = sorted(task.clear_crashes)
        return Progress(
            epoch,
            self.state,
            done,
            failures,
            attempts,
            checkpoints,
            self.finished_at_ms,
            crashes,
            clear_crashes,
        )
