"""Decides how many jobs and tasks an entry has the memory for.

Load: callers submit more work than the hosts can run, in jobs of very many tasks or
steps, or in very many jobs. Every entry holds all jobs, as any of them may become the
owner, and the owner also holds the tasks that have or had a run. Both have a share of
the memory of a process. A job beyond it is refused; a task beyond it waits until others
are done.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from rattanwing.batch.model import MAX_OPEN_STEPS

if TYPE_CHECKING:
    from rattanwing.batch.model import JobSpec

JOBS_SHARE = 0.25
"""Share of the memory of an entry that the jobs of all queues may take."""

TASKS_SHARE = 0.2
"""Share of the memory of an entry that tasks with a run or a checkpoint may take."""

DEFAULT_MEMORY_MB = 256
"""Memory in megabytes of an entry whose settings do not name it."""

JOB_BYTES = 4_000
"""Estimated memory of a job, in bytes: as stored, as read and as scheduled."""

STEP_BYTES = 1_200
"""Estimated memory of a step of a job, in bytes."""

OPEN_STEP_BYTES = 600
"""Estimated memory of a step of one occurrence, in bytes."""

DONE_COPIES = 4
"""Copies of the bit map of done tasks: scheduled, stored, sent and read."""

FINISHED_JOB_BYTES = 1_500
"""Estimated memory of a finished job whose state can still be read, in bytes."""

TASK_BYTES = 2_500
"""Estimated memory of a task with a run, in bytes, with the messages about it."""


class MemoryLimits(msgspec.Struct, frozen=True):
    """What the memory of an entry suffices for.

    :param jobs_bytes: memory that the jobs of all queues may take.
    :param held_tasks: number of tasks that the owner may hold.
    """

    jobs_bytes: int
    held_tasks: int


def make_memory_limits(memory_mb: float) -> MemoryLimits:
    """Return the limits of an entry.

    :param memory_mb: its memory, in megabytes; 0 if unknown.
    """
    total = int((memory_mb or DEFAULT_MEMORY_MB) * 1024 * 1024)
    return MemoryLimits(int(total * JOBS_SHARE), int(total * TASKS_SHARE) // TASK_BYTES)


def job_bytes(spec: JobSpec) -> int:
    """Return the estimated memory of an unfinished job, in bytes."""
    steps = len(spec.steps)
    open_steps = min(steps * spec.occurrence_count, max(MAX_OPEN_STEPS, steps))
    tasks = spec.occurrence_count * sum(step.count for step in spec.steps)
    texts = len(spec.text) + sum(
        len(step.label) + len(step.data_rack) + len(step.image) for step in spec.steps
    )
    return (
        JOB_BYTES
        + STEP_BYTES * steps
        + OPEN_STEP_BYTES * open_steps
        + DONE_COPIES * tasks // 8
        + 2 * texts
    )


def has_room(
    limits: MemoryLimits, held_bytes: int, pending_bytes: int, entries: int, size: int
) -> bool:
    """Return whether a further job fits the memory of every entry.

    Jobs that are being stored are not known to the other entries, each of which may be
    storing as much as this one.

    :param held_bytes: memory of the jobs that all entries have read.
    :param pending_bytes: memory of those that this entry is storing.
    :param entries: number of entries.
    :param size: memory of the further job, in bytes.
    """
    return held_bytes + pending_bytes * entries + size <= limits.jobs_bytes


def is_nearly_full(limits: MemoryLimits, held_bytes: int) -> bool:
    """Return whether a refused job should come back late rather than soon."""
    return held_bytes * 2 >= limits.jobs_bytes
