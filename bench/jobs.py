"""Memory and time that an accepted job costs an entry, up to the largest one."""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING

from bench.rows import Row
from rattanwing.batch import records
from rattanwing.batch.jobs import OwnedJob
from rattanwing.batch.memory import TASK_BYTES, job_bytes
from rattanwing.batch.model import (
    MAX_STEPS,
    MAX_TASKS_PER_JOB,
    MAX_TASKS_PER_STEP,
    JobSpec,
    QueueRules,
    StepSpec,
    TaskId,
)
from rattanwing.batch.progress import progress_records
from rattanwing.batch.replica import JobView
from rattanwing.batch.writer import DEFAULT_LIMITS

if TYPE_CHECKING:
    from collections.abc import Callable

RULES = QueueRules("queue", "service", 0, 3, 2.0, 1000, "host", "/queue/")
NOW_MS = 10**9
STEP = StepSpec(MAX_TASKS_PER_STEP, cpu=480, memory_mb=960, estimate_ms=1_280)
ONE = StepSpec(1, cpu=100, memory_mb=10)
SAVED_TASKS = 3_500


def make_job(steps: tuple[StepSpec, ...], times: int = 0) -> JobSpec:
    """Return a job whose occurrences are all due."""
    return JobSpec("0123456789abcdef", RULES, "t" * 1_000, steps, 0, 1, 0, times)


SHAPES = {
    "largest_steps": make_job((STEP,) * (MAX_TASKS_PER_JOB // MAX_TASKS_PER_STEP)),
    "most_occurrences": make_job((ONE,), MAX_TASKS_PER_JOB),
    "most_steps": make_job((ONE,) * MAX_STEPS),
    "small": make_job((StepSpec(6, cpu=480),) * 2),
}
"""Jobs at the limits of what is accepted, and an ordinary one."""


def hold(encoded: bytes) -> tuple[JobView, OwnedJob]:
    """Return what an entry that is the owner holds of a job."""
    key = records.JOB_PREFIX + "0123456789abcdef"
    view = JobView(records.decode(key, encoded))
    owned = OwnedJob(view.spec, 0.0, False, 1)
    owned.restore(view.progress, NOW_MS)
    return view, owned


def measure_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that the result of a function holds."""
    make()
    tracemalloc.start()
    try:
        result = make()
        return tracemalloc.get_traced_memory()[0] if result is not None else 0
    finally:
        tracemalloc.stop()


def run() -> list[Row]:
    """Return bytes of each shape of job, bound by its estimate, and times a task."""
    rows = []
    for name, spec in SHAPES.items():
        encoded = records.encode(spec)
        used = measure_bytes(lambda data=encoded: hold(data))
        rows.append(Row(f"job_bytes_{name}", used, "B", bound=job_bytes(spec)))
        began_at = time.perf_counter()
        hold(encoded)
        spent_us = (time.perf_counter() - began_at) * 1e6
        tasks = spec.occurrence_count * sum(step.count for step in spec.steps)
        rows.append(Row(f"job_time_{name}", spent_us / tasks, "us/task"))
    return rows + run_saved()


def save_all() -> OwnedJob:
    """Return a job all of whose tasks have ended once, with a checkpoint."""
    spec = make_job((StepSpec(SAVED_TASKS, cpu=85, saves_checkpoints=True),))
    owned = OwnedJob(spec, 0.0, False, 1)
    owned.restore(records.Progress(0), NOW_MS)
    for index in range(SAVED_TASKS):
        owned.task(TaskId(spec.job_id, 0, 0, index)).record_end(1, f"{index:064x}")
    return owned


def run_saved() -> list[Row]:
    """Return what a task with a checkpoint holds, and what storing one more writes."""
    limit = DEFAULT_LIMITS.max_value_bytes
    used = measure_bytes(save_all) / SAVED_TASKS
    owned = save_all()
    progress_records(owned, 1, limit)
    owned.task(TaskId(owned.spec.job_id, 0, 0, 7)).record_end(2, "f" * 64)
    began_at = time.perf_counter()
    written = progress_records(owned, 1, limit)
    spent_us = (time.perf_counter() - began_at) * 1e6
    sizes = [len(value or b"") for _key, value in written]
    return [
        Row("saved_task_bytes", used, "B", bound=TASK_BYTES),
        Row("progress_of_one_end", sum(sizes), "B"),
        Row("progress_largest_record", max(sizes), "B", bound=limit),
        Row("progress_time_of_one_end", spent_us, "us"),
    ]
