"""Quarantine of workers on which many different jobs fail.

Counts failed jobs, not failures, to tell a faulty worker from a faulty job.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events

if TYPE_CHECKING:
    from rattanwing.application import Application

QUARANTINE_FAILURES = 3
"""Different jobs that must fail on a worker, without a success, to quarantine it."""

QUARANTINE_S = 300.0
"""Seconds for which a worker is quarantined."""

NEVER = float("-inf")


class WorkerFailures:
    """Recent failures on one worker, and its quarantine.

    :param failed_jobs: jobs that failed there since the last success. Each counts
        once, so that one faulty job can't quarantine a worker.
    :param quarantined_until: end of the latest quarantine.
    """

    __slots__ = ("failed_jobs", "quarantined_until")

    def __init__(self) -> None:
        self.failed_jobs: set[str] = set()
        self.quarantined_until = NEVER


class Quarantine:
    """Quarantines workers on which many different jobs failed."""

    __slots__ = ("workers",)

    def __init__(self) -> None:
        self.workers: dict[str, WorkerFailures] = {}

    def record_result(self, worker: str, job: str, ok: bool, now: float) -> None:
        """Record whether a job's attempt on a worker succeeded."""
        failures = self.workers.setdefault(worker, WorkerFailures())
        if ok:
            failures.failed_jobs.clear()
            return
        failures.failed_jobs.add(job)
        if len(failures.failed_jobs) < QUARANTINE_FAILURES:
            return
        failures.failed_jobs.clear()
        failures.quarantined_until = now + QUARANTINE_S
        events.write(events.WORKER_QUARANTINED, worker=worker)

    def is_quarantined(self, worker: str, now: float) -> bool:
        """Return whether a worker is quarantined at ``now``."""
        failures = self.workers.get(worker)
        return failures is not None and now < failures.quarantined_until


def setup(app: Application) -> None:
    """Register the service ``quarantine``."""
    app.add_service("quarantine", Quarantine())
