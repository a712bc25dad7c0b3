"""Splits the progress of a job into records that the store accepts.

Load: jobs of many tasks whose runs end, fail or are lost, each with a checkpoint. The
progress of a small job is one record. Beyond ``INLINE_BYTES`` that record keeps only
which tasks are done, and what is known of the others goes into parts of up to
``PART_TASKS`` tasks. A change of one task then writes its part anew, not all of them.

A part is one record or, if its checkpoints are long, several numbered ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events
from rattanwing.batch import records
from rattanwing.batch.jobs import add_details
from rattanwing.batch.progress_parts import part_name
from rattanwing.batch.records import PROGRESS_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from rattanwing.batch.jobs import OwnedJob, Task
    from rattanwing.batch.progress_parts import PartKey

INLINE_BYTES = 32_000
"""Size in bytes from which on the progress of a job is stored in parts."""

ROW_BYTES = 96
"""Estimated size in bytes of what a part holds of a task, without the strings and the
numbers of its attempts; the task's key stands in up to five maps."""

NUMBER_BYTES = 9
"""Size in bytes of the largest number in a record."""


def details_bytes(task: Task) -> int:
    """Return an upper bound of the size of what a part holds of a task, in bytes."""
    names = sum(map(len, task.crashed_on)) + sum(map(len, task.clear_crashes))
    size = ROW_BYTES + NUMBER_BYTES * len(task.failed_attempts) + 2 * names
    return size + len(task.checkpoint.encode())


def progress_records(
    job: OwnedJob, epoch: int, max_record_bytes: int
) -> records.Records:
    """Return the records to store for a job whose progress has changed.

    Those that hold what is known of tasks come first. A reader that gets only some of
    them sees newer details of tasks, but no task as done too early.

    :param max_record_bytes: largest value of a record that the store accepts.
    """
    key = PROGRESS_PREFIX + job.spec.job_id
    if job.state.final:
        changes: records.Records = [(key, records.encode(job.progress(epoch)))]
        for part in list(job.part_counts):
            changes += delete_part(job, part, 0)
        job.part_counts = {}
        job.detailed.clear()
        return changes
    if not job.part_counts:
        inline = records.encode(job.progress(epoch))
        if len(inline) <= INLINE_BYTES:
            job.changed_parts.clear()
            return [(key, inline)]
        job.changed_parts.update(job.detailed)
    changes = []
    for part in sorted(job.changed_parts):
        changes += store_part(job, part, epoch, max_record_bytes)
    job.changed_parts.clear()
    main = records.encode(job.progress_without_details(epoch))
    return [*changes, (key, main)]


def store_part(
    job: OwnedJob, part: PartKey, epoch: int, max_record_bytes: int
) -> records.Records:
    """Return the records of one part, with deletions of those that it had before."""
    tasks = sorted(job.detailed.get(part, ()), key=lambda task: task.id.index)
    if not tasks:
        job.detailed.pop(part, None)
    changes: records.Records = []
    for number, group in enumerate(group_tasks(tasks, max_record_bytes)):
        value = records.ProgressPart(epoch)
        add_details(value, group)
        changes.append(
            (part_name(job.spec.job_id, part, number), records.encode(value))
        )
    changes += delete_part(job, part, len(changes))
    return changes


def delete_part(job: OwnedJob, part: PartKey, kept: int) -> records.Records:
    """Return the deletions of the records of a part from a number on.

    :param kept: number of its records that are kept.
    """
    before = job.part_counts.pop(part, 0)
    if kept:
        job.part_counts[part] = kept
    return [
        (part_name(job.spec.job_id, part, number), None)
        for number in range(kept, before)
    ]


def group_tasks(tasks: list[Task], max_record_bytes: int) -> Iterator[list[Task]]:
    """Group tasks so that what is known of each group fits one record.

    A checkpoint that fits no record is kept in memory only: without it, a task whose
    owner changes starts from its beginning.
    """
    group: list[Task] = []
    total = 0
    for task in tasks:
        size = details_bytes(task)
        if size > max_record_bytes:
            events.write(events.CHECKPOINT_TOO_LARGE, task=str(task.id), size=size)
            task.checkpoint = ""
            size = details_bytes(task)
        if group and total + size > max_record_bytes:
            yield group
            group, total = [], 0
        group.append(task)
        total += size
    if group:
        yield group


def group_records(
    jobs: Iterable[records.Records], max_records: int, max_bytes: int
) -> Iterator[records.Records]:
    """Group records into appends, those of one job together if they fit one.

    :param jobs: the records of each job, in the order in which they are stored.
    :param max_records: most records of an append.
    :param max_bytes: most bytes of the values of an append.
    """
    group: records.Records = []
    size = 0
    for changes in jobs:
        needed = sum(len(value or b"") for _key, value in changes)
        if group and (
            len(group) + len(changes) > max_records or size + needed > max_bytes
        ):
            yield group
            group, size = [], 0
        for key, value in changes:
            length = len(value or b"")
            if group and (len(group) >= max_records or size + length > max_bytes):
                yield group
                group, size = [], 0
            group.append((key, value))
            size += length
    if group:
        yield group
