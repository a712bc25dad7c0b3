"""Orders waiting jobs by urgency.

Short jobs and large batch jobs wait for the same hosts, and more batch work may
arrive than the hosts can run. Callers estimate the run times; the real run time is
often twice the estimate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.batch.model import longest_chain_ms

if TYPE_CHECKING:
    from rattanwing.batch.jobs import OwnedJob
    from rattanwing.batch.model import JobSpec

LATE_FACTOR = 3
"""Multiple of a job's completion-time target after which its result is of little use to
the caller; a job that finishes late, but before that, still has some value."""


def completion_target_ms(spec: JobSpec) -> float:
    """Return the completion-time target of a job, in milliseconds."""
    chain_ms = longest_chain_ms(spec.steps)
    return spec.queue.stretch * chain_ms + spec.queue.target_latency_ms


def urgency(job: OwnedJob, now_ms: int) -> tuple[int, bool, float, str]:
    """Return the sort key of a job; the lowest comes first.

    Jobs are ordered by priority and, within a priority, by the time left until their
    completion-time target. Jobs that are too late to be useful come last in their
    priority; the limit is twice ``LATE_FACTOR`` because run times are often
    underestimated.
    """
    spec = job.spec
    age_ms = now_ms - max(spec.accepted_at_ms, spec.start_at_ms)
    too_late = age_ms > 2 * LATE_FACTOR * job.target_ms
    return spec.queue.priority, too_late, job.target_ms - age_ms, spec.job_id


def sort_by_urgency(jobs: list[OwnedJob], now_ms: int) -> list[OwnedJob]:
    """Return jobs in the order in which they are placed."""
    return sorted(jobs, key=lambda job: urgency(job, now_ms))
