"""In which order waiting tasks get room.

Load: quick bookings and large batch jobs wait for the same hosts; more of either
may arrive at once than there is room for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.batch.jobs import OwnedJob


def urgency(job: OwnedJob) -> tuple[int, int, str]:
    """Return the sort key of a job: priority, then the order of acceptance."""
    return job.spec.queue.priority, job.spec.accepted_at_ms, job.spec.job_id


def by_urgency(jobs: list[OwnedJob]) -> list[OwnedJob]:
    """Return jobs in the order in which they get room."""
    return sorted(jobs, key=urgency)
