"""Defines jobs, steps and tasks.

A job is a list of steps, a step is a number of identical tasks, and a task runs in
numbered attempts; a run is one attempt on one host. A scheduled job runs its steps once
for each occurrence.

A run ends, whatever the reason. A task is done when one of its runs has done its work,
and a step when all its tasks are done. A job is finished when its state is final:
completed, failed or cancelled.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from rattanwing.errors import RejectedError

MAX_STEPS = 64
MAX_TASKS_PER_STEP = 10_000

MAX_TASKS_PER_JOB = 100_000
"""Most tasks of a job over all its occurrences."""

MAX_OPEN_STEPS = 1_024
"""Most steps of one job, counted once for each occurrence, that are open at a time.
Later occurrences begin when earlier ones are done; the owner looks at each open step in
a round of decisions."""

MAX_NUMBER = 2**53
"""Bound of the numbers in a job; larger ones can't be stored."""

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A number that every process can store and send."""

Epoch = Annotated[int, msgspec.Meta(ge=0, le=2**23)]
"""Epoch of an owner; the fences that are derived from it are within ``MAX_NUMBER``."""

Finite = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A number with a fraction that is neither infinite nor NaN."""

NonNegative = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class JobState(IntEnum):
    """The state of a job; the last three are final."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def final(self) -> bool:
        """Return whether the state can no longer change."""
        return self >= JobState.COMPLETED


class StepSpec(msgspec.Struct, array_like=True, frozen=True):
    """A step: identical tasks that may run in parallel.

    :param count: number of tasks.
    :param cpu: thousandths of a core for each task.
    :param memory_mb: memory for each task, in megabytes.
    :param accelerators: number of accelerators for each task.
    :param estimate_ms: estimated run time of one task, in milliseconds.
    :param after: numbers of the steps that must be done before this one starts.
    :param saves_checkpoints: whether tasks save their progress.
    :param gang: whether tasks make progress only while all of them run.
    :param same_rack: whether the gang is slower when it spans racks.
    :param label: label that a host must have; empty for any host.
    :param data_rack: rack that holds the data; empty if there is none.
    :param spread_limit: largest number of tasks of the step on one host; 0 for no
        limit.
    :param speculative: whether copies of a task may run in parallel; not used for
        scheduling.
    :param long_running: whether tasks run until the job is cancelled.
    :param image: program image of the tasks; tasks of one image behave alike.
    :param target_ms: target tail latency of a serving task, in milliseconds; 0 for
        other tasks.
    :param best_effort: whether tasks use the CPU that others leave idle; their CPU
        does not count against the declared capacity of the host.
    :param max_unavailable: number of tasks of a long-running step that may be down at
        the same time; -1 for any number. Not used for scheduling.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves_checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = -1


class QueueIdentity(msgspec.Struct, array_like=True, frozen=True):
    """What tells a queue from others: its name, and the address that callers use.

    Callers never see the name, and a configuration may change either of the two while
    jobs of the queue run.

    :param http_host: HTTP host of the queue; empty in records and calls of builds that
        did not store it, like ``path_prefix``.
    :param path_prefix: path up to the job id.
    """

    name: str
    http_host: str = ""
    path_prefix: str = ""

    @property
    def address(self) -> tuple[str, str]:
        """Return the address at which callers reach the queue."""
        return self.http_host, self.path_prefix

    def is_same_queue(self, other: QueueIdentity) -> bool:
        """Return whether the other queue has the same name or the same address."""
        if self.name == other.name:
            return True
        return self.path_prefix != "" and self.address == other.address


class QueueRules(msgspec.Struct, array_like=True, frozen=True):
    """The configured rules of a queue.

    :param service: service whose executors run the queue's tasks.
    :param priority: jobs of lower values are placed first, from 0.
    :param max_attempts: number of failed attempts of a task after which its job fails.
    :param stretch: multiple of the estimated run time of a job's longest chain of
        steps. Added to ``target_latency_ms``, it is the completion-time target: the
        time after acceptance, or after the first start time of a scheduled job,
        within which the job should complete.
    :param target_latency_ms: constant part of the completion-time target, in
        milliseconds.
    :param http_host: see :class:`QueueIdentity`, like ``path_prefix``.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    http_host: str = ""
    path_prefix: str = ""

    @property
    def identity(self) -> QueueIdentity:
        """Return the name and the address of the queue."""
        return QueueIdentity(self.name, self.http_host, self.path_prefix)


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """A job as it was submitted.

    :param text: payload of the job, passed unchanged to each of its tasks.
    :param accepted_at_ms: Unix time of acceptance, in milliseconds.
    :param start_at_ms: Unix time of the first occurrence of a scheduled job, in
        milliseconds.
    :param period_ms: time between two occurrences, in milliseconds.
    :param times: number of occurrences; 0 for a job that runs once, without delay.
    """

    job_id: str
    queue: QueueRules
    text: str
    steps: Annotated[tuple[StepSpec, ...], msgspec.Meta(max_length=MAX_STEPS)]
    accepted_at_ms: int
    start_at_ms: int = 0
    period_ms: int = 0
    times: int = 0

    @property
    def occurrence_count(self) -> int:
        """Return the number of times that the steps run."""
        return self.times or 1


class TaskId(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Identifies a task by job, occurrence, step and index in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_id(text: str) -> TaskId:
    """Parse a task id.

    :raises ValueError: unless the text has the form ``job.occurrence.step.index``.
    """
    job_id, occurrence, step, index = text.rsplit(".", 3)
    return TaskId(job_id, int(occurrence), int(step), int(index))


def check_job(spec: JobSpec) -> None:
    """Validate a job.

    :raises RejectedError: when the job can't be scheduled.
    """
    check_steps(spec.steps)
    if min(spec.times, spec.start_at_ms, spec.period_ms) < 0:
        raise RejectedError("bad-times", "a time or a number of times is negative")
    if max(spec.times, spec.start_at_ms, spec.period_ms) > MAX_NUMBER:
        raise RejectedError("bad-times", "a time or a number of times is too large")
    tasks = spec.occurrence_count * sum(step.count for step in spec.steps)
    if tasks > MAX_TASKS_PER_JOB:
        detail = f"{tasks} tasks; a job has at most {MAX_TASKS_PER_JOB}"
        raise RejectedError("too-many-tasks", detail)


def check_steps(steps: tuple[StepSpec, ...]) -> None:
    """Validate the steps of a job.

    :raises RejectedError: for the first step that can't be scheduled.
    """
    if not 1 <= len(steps) <= MAX_STEPS:
        raise RejectedError("bad-steps", f"a job has 1 to {MAX_STEPS} steps")
    for number, step in enumerate(steps):
        if not 1 <= step.count <= MAX_TASKS_PER_STEP:
            raise RejectedError("bad-count", f"step {number}: count {step.count}")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise RejectedError("bad-after", f"step {number}: after {step.after}")
        if min(step.cpu, step.memory_mb, step.accelerators, step.estimate_ms) < 0:
            raise RejectedError("bad-size", f"step {number}: a size is negative")
        sizes = (step.cpu, step.memory_mb, step.accelerators, step.estimate_ms)
        signed = (step.spread_limit, step.target_ms, step.max_unavailable)
        if max(*sizes, *map(abs, signed)) > MAX_NUMBER:
            raise RejectedError("bad-size", f"step {number}: a size is too large")


def longest_chain_ms(steps: tuple[StepSpec, ...]) -> int:
    """Return the estimated run time of the longest chain of steps."""
    finish: list[int] = []
    for step in steps:
        start = max((finish[earlier] for earlier in step.after), default=0)
        finish.append(start + step.estimate_ms)
    return max(finish, default=0)
