"""The parts in which the progress of a job of many tasks is stored: keys, and merging.

See :mod:`rattanwing.batch.progress` for how they are written.
"""

from __future__ import annotations

import msgspec

from rattanwing import events
from rattanwing.batch import records
from rattanwing.errors import RecordError

PartKey = tuple[int, int, int]
"""Occurrence, step, and index of the first task divided by ``PART_TASKS``."""

PART_TASKS = 128
"""Most tasks in one part."""

DETAILS = ("failures", "attempts", "checkpoints", "crashes", "clear_crashes")
"""Fields that hold what is known of tasks which are not done, by key of the task."""


def part_name(job_id: str, part: PartKey, number: int) -> str:
    """Return the key of a record of a part."""
    occurrence, step, chunk = part
    return f"{records.PART_PREFIX}{job_id}/{occurrence}.{step}.{chunk}.{number}"


def parse_part_name(key: str) -> tuple[PartKey, int]:
    """Return the part and the number of a record.

    :raises ValueError: for a malformed key.
    """
    occurrence, step, chunk, number = key.rpartition("/")[2].split(".")
    return (int(occurrence), int(step), int(chunk)), int(number)


def count_parts(parts: dict[str, bytes]) -> dict[PartKey, int]:
    """Return the number of stored records of each part; malformed keys are ignored."""
    counts: dict[PartKey, int] = {}
    for key in parts:
        try:
            part, number = parse_part_name(key)
        except ValueError:
            continue
        counts[part] = max(counts.get(part, 0), number + 1)
    return counts


def merge_parts(
    progress: records.Progress, parts: dict[str, bytes]
) -> records.Progress:
    """Return the progress of a job together with what its parts hold."""
    merged = msgspec.structs.replace(
        progress, **{name: dict(getattr(progress, name)) for name in DETAILS}
    )
    for key, value in parts.items():
        try:
            part = records.decode(key, value)
        except RecordError as error:
            events.write(events.RECORD_MALFORMED, key=key, error=error)
            continue
        for name in DETAILS:
            getattr(merged, name).update(getattr(part, name))
    return merged


def index_tasks(progress: records.Progress) -> dict[tuple[int, int], list[int]]:
    """Return the indexes of the tasks that have details, by occurrence and step.

    Keys that are not of a task are ignored.
    """
    keys = {key for name in DETAILS for key in getattr(progress, name)}
    found: dict[tuple[int, int], list[int]] = {}
    for key in keys:
        try:
            occurrence, step, index = map(int, key.split("."))
        except ValueError:
            continue
        found.setdefault((occurrence, step), []).append(index)
    for indexes in found.values():
        indexes.sort()
    return found
