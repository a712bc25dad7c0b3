"""The owner's view of unfinished jobs: which tasks are ready, running, done."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.batch.model import JobState, TaskId
from rattanwing.batch.records import Progress

if TYPE_CHECKING:
    from rattanwing.batch.hosts import Run
    from rattanwing.batch.model import JobSpec, StepSpec


class Task:
    """One task of an unfinished job.

    :param attempt: highest attempt that was ever ordered or reported.
    :param ended_attempt: highest attempt whose listed end was taken.
    :param failed_attempts: attempts that ended through the task's or the executor's
        fault; ends may be told twice and in any order.
    :param saved: newest checkpoint; ``saved_attempt`` left it.
    :param runs: attempts that are, or may be, running.
    """

    __slots__ = (
        "job",
        "id",
        "step",
        "attempt",
        "ended_attempt",
        "failed_attempts",
        "saved",
        "saved_attempt",
        "done",
        "runs",
        "failed_on",
    )

    def __init__(self, job: OwnedJob, task_id: TaskId, step: StepSpec) -> None:
        self.job = job
        self.id = task_id
        self.step = step
        self.attempt = 0
        self.ended_attempt = 0
        self.failed_attempts: set[int] = set()
        self.saved = ""
        self.saved_attempt = 0
        self.done = False
        self.runs: list[Run] = []
        self.failed_on: set[str] = set()

    @property
    def key(self) -> str:
        """Return the task's name inside its job's progress record."""
        return f"{self.id.occurrence}.{self.id.step}.{self.id.index}"

    def save(self, saved: str, attempt: int) -> None:
        """Keep a checkpoint unless a later attempt has left one."""
        if saved and attempt >= self.saved_attempt:
            self.saved = saved
            self.saved_attempt = attempt

    def waits(self) -> bool:
        """Return whether the task needs a run."""
        return not self.done and not self.runs


class StepTasks:
    """The tasks of one step in one occurrence.

    :param waits_since: since when a task of it has found no host, else ``None``.
    :param wait_told_at: when the log was last told so.
    """

    __slots__ = (
        "spec",
        "occurrence",
        "number",
        "tasks",
        "left",
        "waits_since",
        "wait_told_at",
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
        self.left = spec.count
        self.waits_since: float | None = None
        self.wait_told_at = 0.0

    @property
    def key(self) -> str:
        """Return the step's name inside its job's progress record."""
        return f"{self.occurrence}.{self.number}"

    def bitmap(self) -> bytes:
        """Return one bit for each task that is done."""
        value = sum(1 << i for i, task in enumerate(self.tasks) if task.done)
        return value.to_bytes((len(self.tasks) + 7) // 8, "little")

    def restore(self, bitmap: bytes) -> None:
        """Mark the tasks of a stored bitmap as done."""
        value = int.from_bytes(bitmap, "little")
        for index, task in enumerate(self.tasks):
            task.done = bool(value >> index & 1)
        self.left = sum(not task.done for task in self.tasks)


class OwnedJob:
    """An unfinished job of the owner.

    :param inherited: accepted before this owner's claim, so that an earlier
        owner may have started its tasks.
    """

    __slots__ = (
        "spec",
        "state",
        "occurrences",
        "due",
        "inherited",
        "dirty",
        "finished_at_ms",
        "idle_since",
        "running",
        "stored",
    )

    def __init__(self, spec: JobSpec, received_at: float, inherited: bool) -> None:
        self.spec = spec
        self.state = JobState.QUEUED
        self.occurrences: dict[int, list[StepTasks]] = {}
        self.due = 0
        self.inherited = inherited
        self.dirty = False
        self.finished_at_ms = 0
        self.idle_since = received_at
        self.running = 0
        self.stored: Progress | None = None

    def begin_due(self, now_ms: int) -> None:
        """Create the tasks of every occurrence whose time has come."""
        while self.due < self.spec.occurrences:
            due_at_ms = self.spec.start_at_ms + self.due * self.spec.period_ms
            if self.spec.times and now_ms < due_at_ms:
                return
            self.occurrences[self.due] = [
                StepTasks(self, self.due, number, step)
                for number, step in enumerate(self.spec.steps)
            ]
            if self.stored is not None:
                self.restore_occurrence(self.due, self.stored)
            self.due += 1

    def restore(self, progress: Progress, now_ms: int) -> None:
        """Take over what an earlier owner stored."""
        self.state = progress.state
        self.stored = progress
        self.begin_due(now_ms)

    def restore_occurrence(self, occurrence: int, progress: Progress) -> None:
        """Mark what was done of one occurrence."""
        for steps in self.occurrences[occurrence]:
            steps.restore(progress.done.get(steps.key, b""))
            for task in steps.tasks:
                task.failed_attempts = set(progress.failures.get(task.key, ()))
                task.ended_attempt = progress.attempts.get(task.key, 0)
                task.attempt = task.ended_attempt
                task.saved = progress.checkpoints.get(task.key, "")
                task.saved_attempt = task.ended_attempt

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task, or ``None`` where the job has none of that name."""
        steps = self.occurrences.get(task_id.occurrence, [])
        if not 0 <= task_id.step < len(steps):
            return None
        tasks = steps[task_id.step].tasks
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def ready_steps(self) -> list[StepTasks]:
        """Return the unfinished steps whose predecessors are all done."""
        return [
            steps
            for occurrence in self.occurrences.values()
            for steps in occurrence
            if steps.left
            and all(occurrence[earlier].left == 0 for earlier in steps.spec.after)
        ]

    def all_done(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return self.due == self.spec.occurrences and not any(
            steps.left
            for steps_list in self.occurrences.values()
            for steps in steps_list
        )

    def note_run(self, change: int, now: float) -> None:
        """Count a run that began (1) or ended (-1)."""
        self.running += change
        self.idle_since = now

    def is_starved(self, now: float, limit_s: float) -> bool:
        """Return whether nothing of the job has run for a while."""
        return self.running == 0 and now - self.idle_since > limit_s

    def finish_task(self, task: Task) -> None:
        """Mark a task as done; a gang is done as a whole."""
        steps = self.occurrences[task.id.occurrence][task.id.step]
        finished = steps.tasks if task.step.gang else [task]
        for member in finished:
            if not member.done:
                member.done = True
                steps.left -= 1
        self.dirty = True

    def tasks(self) -> list[Task]:
        """Return all tasks of the occurrences that have begun."""
        return [
            task
            for steps_list in self.occurrences.values()
            for steps in steps_list
            for task in steps.tasks
        ]

    def progress(self, epoch: int) -> Progress:
        """Return the record of how far the job is."""
        done, failures, attempts, saved = {}, {}, {}, {}
        for steps_list in self.occurrences.values():
            for steps in steps_list:
                if steps.left < len(steps.tasks):
                    done[steps.key] = steps.bitmap()
                for task in steps.tasks:
                    if task.done or self.state.final:
                        continue
                    if task.failed_attempts:
                        failures[task.key] = sorted(task.failed_attempts)
                    if task.ended_attempt:
                        attempts[task.key] = task.ended_attempt
                    if task.saved:
                        saved[task.key] = task.saved
        return Progress(
            epoch, self.state, done, failures, attempts, saved, self.finished_at_ms
        )
