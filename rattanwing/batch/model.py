"""Jobs, steps and tasks, as the product describes them.

A job is a list of steps; a step is a number of equal tasks; a task runs in
numbered attempts. A scheduled job runs its steps once for each occurrence.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from rattanwing.errors import RejectedError

MAX_STEPS = 64
MAX_TASKS_PER_STEP = 10_000


class JobState(IntEnum):
    """The life of a job; the last three are final."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def final(self) -> bool:
        """Return whether the state never changes again."""
        return self >= JobState.COMPLETED


class StepSpec(msgspec.Struct, array_like=True, frozen=True):
    """A step: equal tasks that may run side by side.

    :param count: number of tasks.
    :param cpu: thousandths of a core for each task.
    :param estimate_ms: rough run time of one task, in milliseconds.
    :param after: numbers of the steps whose tasks must all be done before.
    :param checkpoint: tasks save their progress.
    :param gang: tasks work only while all of them run.
    :param same_rack: a gang is slower when it spans racks.
    :param label: label that the host must have; empty for any.
    :param data_rack: rack that holds the data; empty for none.
    :param spread_limit: most tasks of the step on one host; 0 for no limit.
    :param speculative: copies may run in parallel.
    :param lasting: tasks run until the job is cancelled.
    :param image: what the tasks run; tasks of one image behave alike.
    :param target_ms: bound on the tail latency of a serving task; 0 for none.
    :param fills: takes what other tasks leave, outside the host's capacity.
    :param may_miss: tasks of a lasting step that may be away at once; -1 for any.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = -1


class QueueRules(msgspec.Struct, array_like=True, frozen=True):
    """What the configuration says of a queue.

    :param service: the executors' service that runs the queue's tasks.
    :param priority: 0 comes first.
    :param max_attempts: failed attempts of a task after which its job fails.
    :param stretch: the objective as a multiple of the longest chain of work.
    :param target_latency_ms: added to the objective.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """A job as it was handed in.

    :param text: passed to each of its tasks.
    :param accepted_at_ms: Unix time of acceptance.
    :param start_at_ms: Unix time of the first occurrence, for scheduled jobs.
    :param times: number of occurrences; 0 for a job that runs once, at once.
    """

    job_id: str
    queue: QueueRules
    text: str
    steps: tuple[StepSpec, ...]
    accepted_at_ms: int
    start_at_ms: int = 0
    period_ms: int = 0
    times: int = 0

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return self.times or 1


class TaskId(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Names one task: job, occurrence, step and index in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_id(text: str) -> TaskId:
    """Return the task that ``text`` names.

    :raises ValueError: when it is not of the form ``job.occurrence.step.index``.
    """
    job_id, occurrence, step, index = text.rsplit(".", 3)
    return TaskId(job_id, int(occurrence), int(step), int(index))


def check_steps(steps: tuple[StepSpec, ...]) -> None:
    """Refuse steps that no schedule could honour.

    :raises RejectedError: with the first fault.
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


def longest_chain_ms(steps: tuple[StepSpec, ...]) -> int:
    """Return the estimated run time of the longest chain of steps."""
    finish: list[int] = []
    for step in steps:
        begun = max((finish[earlier] for earlier in step.after), default=0)
        finish.append(begun + step.estimate_ms)
    return max(finish, default=0)
