"""In which order waiting tasks get room.

Load: quick bookings and large batch jobs wait for the same hosts, and more batch
work may come at once than there is room for. Run times are estimated by the
callers, often by half too little.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.batch.model import longest_chain_ms

if TYPE_CHECKING:
    from rattanwing.batch.jobs import OwnedJob
    from rattanwing.batch.model import JobSpec

LATE_FACTOR = 3
"""A job that takes this many times its objective is of little use to its caller;
until then a late end is worth something."""


def objective_ms(spec: JobSpec) -> float:
    """Return how long a job may take to meet its objective."""
    chain_ms = longest_chain_ms(spec.steps)
    return spec.queue.stretch * chain_ms + spec.queue.target_latency_ms


def urgency(job: OwnedJob, now_ms: int) -> tuple[int, bool, float, str]:
    """Return the sort key of a job.

    By priority; then jobs that can no longer be of use come last, and the others
    by the end of their objective. The limit is generous, for the estimate may be
    too low.
    """
    spec = job.spec
    allowed_ms = objective_ms(spec)
    age_ms = now_ms - max(spec.accepted_at_ms, spec.start_at_ms)
    useless = age_ms > 2 * LATE_FACTOR * allowed_ms
    return spec.queue.priority, useless, allowed_ms - age_ms, spec.job_id


def by_urgency(jobs: list[OwnedJob], now_ms: int) -> list[OwnedJob]:
    """Return jobs in the order in which they get room."""
    return sorted(jobs, key=lambda job: urgency(job, now_ms))
