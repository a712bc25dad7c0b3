"""Tells workers that fail everything from jobs that fail everywhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events

if TYPE_CHECKING:
    from rattanwing.application import Application

QUARANTINE_FAILURES = 3
QUARANTINE_S = 300.0
NEVER = float("-inf")


class WorkerFailures:
    """How the tasks of different jobs fared on one worker.

    :param failed_jobs: jobs that failed there since the last success; each
        counts once, so one bad job does not condemn a worker.
    """

    __slots__ = ("failed_jobs", "quarantined_until")

    def __init__(self) -> None:
        self.failed_jobs: set[str] = set()
        self.quarantined_until = NEVER


class Quarantine:
    """Keeps tasks from workers on which many different jobs failed."""

    __slots__ = ("workers",)

    def __init__(self) -> None:
        self.workers: dict[str, WorkerFailures] = {}

    def record_result(self, worker: str, job: str, ok: bool, now: float) -> None:
        """Take note of the end of a task."""
        record = self.workers.setdefault(worker, WorkerFailures())
        if ok:
            record.failed_jobs.clear()
            return
        record.failed_jobs.add(job)
        if len(record.failed_jobs) < QUARANTINE_FAILURES:
            return
        record.failed_jobs.clear()
        record.quarantined_until = now + QUARANTINE_S
        events.write(events.WORKER_QUARANTINED, worker=worker)

    def is_quarantined(self, worker: str, now: float) -> bool:
        """Return whether a worker gets no tasks at ``now``."""
        record = self.workers.get(worker)
        return record is not None and now < record.quarantined_until


def setup(app: Application) -> None:
    """Register the service ``quarantine``."""
    app.add_service("quarantine", Quarantine())
