"""The owner's view of unfinished jobs: their tasks and the progress of each."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from rattanwing.batch.model import MAX_OPEN_STEPS, JobState, TaskId
from rattanwing.batch.progress_parts import (
    PART_TASKS,
    PartKey,
    count_parts,
    index_tasks,
    merge_parts,
)
from rattanwing.batch.records import Progress, ProgressPart
from rattanwing.batch.urgency import completion_target_ms

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from rattanwing.batch.hosts import Run
    from rattanwing.batch.model import JobSpec, StepSpec

MAX_ATTEMPTS_PER_EPOCH = 1 << 20
"""Most attempts of a task in one epoch of ownership. The attempts of an inherited task
are numbered from the epoch times this number, above those of all earlier epochs: the
store does not hold every attempt that an earlier owner has ordered."""

NONE: frozenset = frozenset()
"""Shared by all tasks that have nothing to remember of a kind."""

SUSPECT_WAIT_S = 3.0
"""Time in seconds for which suspected tasks that find no host hold up the other tasks
of their job."""


class Task:
    """One task of an unfinished job.

    The owner holds only those that have or had a run, see :class:`StepTasks`.

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
        self.failed_attempts: frozenset[int] = NONE
        self.checkpoint = ""
        self.checkpoint_attempt = 0
        self.saved_percent = 0
        self.done = False
        self.runs: list[Run] = []
        self.failed_on: frozenset[str] = NONE
        self.refused_on: frozenset[str] = NONE
        self.crashed_on: frozenset[str] = NONE
        self.clear_crashes: frozenset[str] = NONE
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
            self.job.note_change(self)

    def record_attempt(self, attempt: int) -> None:
        """Record that an attempt was reported."""
        self.attempt = max(self.attempt, attempt)
        if not self.done:
            self.job.hold(self)

    def record_end(self, attempt: int, checkpoint: str) -> None:
        """Record the end of an attempt, and the checkpoint that it left."""
        self.attempt = max(self.attempt, attempt)
        self.ended_attempt = max(self.ended_attempt, attempt)
        self.keep_checkpoint(checkpoint, attempt)
        self.refused_on = NONE
        self.job.note_change(self)

    @property
    def part(self) -> PartKey:
        """Return the part of the job's progress that holds the task."""
        return self.id.occurrence, self.id.step, self.id.index // PART_TASKS

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

    A job may have many more tasks than can run at a time. Tasks that have never had a
    run are all alike, and are created when they are placed; of those that are done one
    bit is left.

    :param number: index of the step in its job.
    :param held: the tasks that have or had a run and are not done, by index; also done
        ones whose other runs are still being stopped.
    :param done_bits: bit map of the tasks that are done.
    :param fresh_from: index below which every task is or was held, or is done.
    :param unfinished: number of tasks that are not done.
    :param waiting_since: time since which a task has been waiting for a host, ``None``
        if none is.
    :param wait_logged_at: time when that wait was last logged.
    :param checked_at: time when last no host at all could run one of its tasks.
    """

    __slots__ = (
        "job",
        "spec",
        "occurrence",
        "number",
        "held",
        "done_bits",
        "fresh_from",
        "unfinished",
        "waiting_since",
        "wait_logged_at",
        "checked_at",
    )

    def __init__(
        self, job: OwnedJob, occurrence: int, number: int, spec: StepSpec
    ) -> None:
        self.job = job
        self.spec = spec
        self.occurrence = occurrence
        self.number = number
        self.held: dict[int, Task] = {}
        self.done_bits = 0
        self.fresh_from = 0
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

    def is_done(self, index: int) -> bool:
        """Return whether a task is done."""
        return bool(self.done_bits >> index & 1)

    def find(self, index: int) -> Task:
        """Return a task; one that is not held is created, and stays unknown here."""
        task = self.held.get(index)
        if task is None:
            task_id = TaskId(self.job.spec.job_id, self.occurrence, self.number, index)
            task = Task(self.job, task_id, self.spec)
            task.done = self.is_done(index)
        return task

    def hold(self, task: Task) -> None:
        """Keep a task, which now has something that is to be remembered."""
        if task.id.index not in self.held:
            self.held[task.id.index] = task
            self.job.held_tasks += 1

    def release(self, task: Task) -> None:
        """Let go of a task that is done and has no runs any more."""
        if task.done and not task.runs and self.held.pop(task.id.index, None):
            self.job.held_tasks -= 1

    def holds(self, task: Task) -> bool:
        """Return whether a task has or had a run and is not done."""
        return task.id.index in self.held

    def hold_all(self) -> list[Task]:
        """Hold all tasks that are not done, and return all tasks in order.

        The tasks of a gang are placed together.
        """
        tasks = [self.find(index) for index in range(self.spec.count)]
        for task in tasks:
            if not task.done:
                self.hold(task)
        return tasks

    def finish(self, task: Task) -> None:
        """Mark a task as done."""
        task.done = True
        if not self.is_done(task.id.index):
            self.done_bits |= 1 << task.id.index
            self.unfinished -= 1
        self.release(task)

    def waiting_tasks(self) -> Iterator[Task]:
        """Iterate over the tasks that wait for a run; they may be started meanwhile.

        Those that had a run come before those that had none.
        """
        held = sorted(index for index, task in self.held.items() if task.is_waiting())
        return chain(map(self.held.__getitem__, held), self.fresh_tasks())

    def fresh_tasks(self) -> Iterator[Task]:
        """Iterate over the tasks that have never had a run."""
        for index in range(self.fresh_from, self.spec.count):
            if index not in self.held and not self.is_done(index):
                yield self.find(index)
            elif index == self.fresh_from:
                self.fresh_from += 1

    def count_waiting(self) -> int:
        """Return how many tasks wait for a run."""
        unfinished_held = sum(not task.done for task in self.held.values())
        waiting_held = sum(task.is_waiting() for task in self.held.values())
        return self.unfinished - unfinished_held + waiting_held

    def bitmap(self) -> bytes:
        """Return a little-endian bitmap of the tasks that are done."""
        return self.done_bits.to_bytes((self.spec.count + 7) // 8, "little")

    def restore(self, bitmap: bytes) -> None:
        """Restore from a stored bitmap which tasks are done."""
        valid = (1 << self.spec.count) - 1
        self.done_bits = int.from_bytes(bitmap, "little") & valid
        self.unfinished = self.spec.count - self.done_bits.bit_count()


class OwnedJob:
    """An unfinished job that this owner schedules.

    :param steps_by_occurrence: the steps of each open occurrence, by number.
    :param occurrences_begun: number of occurrences that have begun.
    :param occurrences_due: number of occurrences that are due, as last counted.
    :param occurrences_done: number of occurrences, from the first on, that are done and
        no longer open.
    :param held_tasks: number of tasks that are held.
    :param detailed: by part of the progress, the tasks with anything to store but that
        they are done.
    :param changed_parts: parts of the progress that have changed since they were last
        stored.
    :param part_counts: number of records of each part in the store; see
        :mod:`rattanwing.batch.progress`.
    :param stored_tasks: by occurrence and step, the indexes of the tasks that
        ``stored`` has details of.
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
        "occurrences_due",
        "occurrences_done",
        "held_tasks",
        "detailed",
        "changed_parts",
        "part_counts",
        "stored_tasks",
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
        self.occurrences_due = 0
        self.occurrences_done = 0
        self.held_tasks = 0
        self.detailed: dict[PartKey, set[Task]] = {}
        self.changed_parts: set[PartKey] = set()
        self.part_counts: dict[PartKey, int] = {}
        self.stored_tasks: dict[tuple[int, int], list[int]] = {}
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
        """Open the occurrences that are due, up to ``MAX_OPEN_STEPS``."""
        self.occurrences_due = self.count_due(now_ms)
        while self.occurrences_begun < self.occurrences_due:
            self.close_done_occurrences()
            open_steps = (len(self.steps_by_occurrence) + 1) * len(self.spec.steps)
            if open_steps > MAX_OPEN_STEPS and self.steps_by_occurrence:
                return
            self.begin_occurrence()

    def count_due(self, now_ms: int) -> int:
        """Return the number of occurrences that are due."""
        spec = self.spec
        if not spec.times:
            return 1
        if now_ms < spec.start_at_ms:
            return 0
        if not spec.period_ms:
            return spec.times
        return min(spec.times, (now_ms - spec.start_at_ms) // spec.period_ms + 1)

    def begin_occurrence(self) -> None:
        """Open the next occurrence."""
        occurrence = self.occurrences_begun
        self.steps_by_occurrence[occurrence] = [
            StepTasks(self, occurrence, number, step)
            for number, step in enumerate(self.spec.steps)
        ]
        if self.stored is not None:
            self.restore_occurrence(occurrence, self.stored)
        self.occurrences_begun += 1
        if self.occurrences_begun == self.spec.occurrence_count:
            self.stored = None
            self.stored_tasks = {}
        self.unsettled = True

    def close_done_occurrences(self) -> None:
        """Close the first open occurrences as far as they are done."""
        while steps := self.steps_by_occurrence.get(self.occurrences_done):
            if any(step.unfinished for step in steps):
                return
            del self.steps_by_occurrence[self.occurrences_done]
            self.held_tasks -= sum(len(step.held) for step in steps)
            self.occurrences_done += 1

    def restore(
        self, progress: Progress, now_ms: int, parts: dict[str, bytes] | None = None
    ) -> None:
        """Restore the progress that an earlier owner stored.

        :param parts: the stored parts of the progress, by key.
        """
        self.state = progress.state
        self.stored = progress
        if parts:
            self.stored = merge_parts(progress, parts)
            self.part_counts = count_parts(parts)
        if self.spec.times:
            done = min(progress.occurrences_done, self.spec.occurrence_count)
            self.occurrences_begun = self.occurrences_done = done
        self.stored_tasks = index_tasks(self.stored)
        self.create_due_occurrences(now_ms)
        self.changed_parts.clear()

    def restore_occurrence(self, occurrence: int, progress: Progress) -> None:
        """Restore the stored progress of one occurrence."""
        for step in self.steps_by_occurrence[occurrence]:
            step.restore(progress.done.get(step.key, b""))
            for index in self.stored_tasks.get((occurrence, step.number), ()):
                if not 0 <= index < step.spec.count or step.is_done(index):
                    continue
                task = step.find(index)
                task.failed_attempts = frozenset(progress.failures.get(task.key, ()))
                task.ended_attempt = progress.attempts.get(task.key, 0)
                task.attempt = task.ended_attempt
                task.checkpoint = progress.checkpoints.get(task.key, "")
                task.checkpoint_attempt = task.ended_attempt
                clear = progress.clear_crashes.get(task.key, ())
                for incarnation in progress.crashes.get(task.key, ()):
                    self.suspect(task, incarnation, incarnation in clear)
                self.note_change(task)
        self.stored_suspicions = self.suspicions

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task, ``None`` if the job has no open task of that id.

        An earlier owner may have begun more occurrences than this one.
        """
        occurrence = task_id.occurrence
        if occurrence < self.occurrences_due:
            while self.occurrences_begun <= occurrence:
                self.begin_occurrence()
        steps = self.steps_by_occurrence.get(occurrence, [])
        if not 0 <= task_id.step < len(steps):
            return None
        step = steps[task_id.step]
        return (
            step.find(task_id.index) if 0 <= task_id.index < step.spec.count else None
        )

    def step_of(self, task: Task) -> StepTasks | None:
        """Return the open step of a task; ``None`` if its occurrence is closed."""
        steps = self.steps_by_occurrence.get(task.id.occurrence)
        return steps[task.id.step] if steps else None

    def hold(self, task: Task) -> None:
        """Keep a task of an open step that has or had a run."""
        step = self.step_of(task)
        if step is not None:
            step.hold(task)

    def release(self, task: Task) -> None:
        """Let go of a task if it is done and has no runs."""
        step = self.step_of(task)
        if step is not None:
            step.release(task)

    def note_change(self, task: Task) -> None:
        """Note that what is to be stored of a task has changed, and hold it."""
        step = self.step_of(task)
        if step is None:
            return
        part = task.part
        self.changed_parts.add(part)
        tasks = self.detailed.setdefault(part, set())
        if task.done:
            tasks.discard(task)
        else:
            step.hold(task)
            tasks.add(task)
        if not tasks:
            del self.detailed[part]

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
        task.crashed_on |= {incarnation}
        if clear:
            task.clear_crashes |= {incarnation}
        self.suspects.add(task)
        self.suspicions += 1
        self.note_change(task)

    def record_stored_suspicions(self, count: int) -> bool:
        """Record that the first ``count`` suspicions are stored.

        :returns: whether more of them are stored than before; the suspected tasks may
            then be started.
        """
        if count <= self.stored_suspicions:
            return False
        self.stored_suspicions = count
        for task in self.suspects:
            self.step_of(task).checked_at = float("-inf")
        return True

    def clear(self, task: Task) -> None:
        """Clear a task of the suspicion of crashing executors."""
        task.crashed_on = NONE
        task.clear_crashes = NONE
        self.suspects.discard(task)
        self.note_change(task)
        self.unsettled = True

    def has_suspects_to_test(self, ready: list[StepTasks], now: float) -> bool:
        """Return whether suspects are to be started before all other tasks.

        Suspects that find no host, or whose step is not ready, do not hold up the rest
        of the job.

        :param ready: the steps that are ready.
        """
        return any(
            not step.has_waited_long(now)
            and not self.suspects.isdisjoint(step.held.values())
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
            for task in self.tasks_held()
            for run in task.runs
        )

    def finish_task(self, task: Task) -> None:
        """Mark a task as done, and with it all tasks of its gang."""
        step = self.step_of(task)
        if step is None:
            return
        finished = step.hold_all() if task.step.gang else [task]
        for member in finished:
            step.finish(member)
            self.clear(member)
        self.unsettled = True

    def tasks(self) -> list[Task]:
        """Hold and return all tasks of the open occurrences; for jobs of few tasks."""
        return [
            task
            for steps in self.steps_by_occurrence.values()
            for step in steps
            for task in step.hold_all()
        ]

    def tasks_held(self) -> Iterator[Task]:
        """Iterate over the tasks that have or had a run and are not done."""
        for steps in self.steps_by_occurrence.values():
            for step in steps:
                yield from step.held.values()

    def progress(self, epoch: int) -> Progress:
        """Return the progress of the job as one record."""
        progress = self.progress_without_details(epoch)
        if not self.state.final:
            tasks = chain.from_iterable(self.detailed.values())
            add_details(progress, sorted(tasks, key=lambda task: task.id))
        return progress

    def progress_without_details(self, epoch: int) -> Progress:
        """Return the progress of the job without what is known of unfinished tasks."""
        done = {}
        if self.occurrences_done * len(self.spec.steps) <= MAX_OPEN_STEPS:
            for occurrence in range(self.occurrences_done):
                for number, step in enumerate(self.spec.steps):
                    all_done = (1 << step.count) - 1
                    bitmap = all_done.to_bytes((step.count + 7) // 8, "little")
                    done[f"{occurrence}.{number}"] = bitmap
        for steps in self.steps_by_occurrence.values():
            for step in steps:
                if step.unfinished < step.spec.count:
                    done[step.key] = step.bitmap()
        return Progress(
            epoch,
            self.state,
            done,
            finished_at_ms=self.finished_at_ms,
            occurrences_done=self.occurrences_done,
        )


def add_details(target: Progress | ProgressPart, tasks: Iterable[Task]) -> None:
    """Add what is known of tasks that are not done."""
    for task in tasks:
        if task.done:
            continue
        key = task.key
        if task.failed_attempts:
            target.failures[key] = sorted(task.failed_attempts)
        if task.ended_attempt:
            target.attempts[key] = task.ended_attempt
        if task.checkpoint:
            target.checkpoints[key] = task.checkpoint
        if task.crashed_on:
            target.crashes[key] = sorted(task.crashed_on)
        if task.clear_crashes:
            target.clear_crashes[key] = sorted(task.clear_crashes)
