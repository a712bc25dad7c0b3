"""Decides which runs are stopped so that their tasks run elsewhere.

Load: some executors accept runs that stand still there, and others leave while they run
tasks that have long to go.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattanwing.batch.hosts import Host, Run

STALL_LIMIT_S = 2.0
"""Time in seconds without a change of its progress after which a run counts as
stalled. Even the longest tasks change it several times a second, also on slow hosts."""


def find_stalled_runs(hosts: Iterable[Host], now: float) -> list[Run]:
    """Return the stalled runs on responsive hosts.

    Long-running tasks are left out; so are best-effort tasks, whose pace may be 0, and
    tasks of a gang, which may be waiting for a member.
    """
    found = []
    for host in hosts:
        if host.executor_unreachable or not host.accepts_starts(now):
            continue
        for run in host.runs.values():
            step = run.task.step
            if step.long_running or step.best_effort or step.gang:
                continue
            if not run.reported or run.last_stop_ordered_at is not None:
                continue
            if now - run.progressed_at > STALL_LIMIT_S:
                found.append(run)
    return found


def find_departing_runs(host: Host, remaining_ms: int) -> list[Run]:
    """Return the runs on a draining host that should continue on another host.

    These are the runs of long-running tasks, and the runs of tasks with checkpoints
    that can't finish before the executor leaves.

    :param remaining_ms: milliseconds until the executor leaves.
    """
    found = []
    for run in host.runs.values():
        if run.last_stop_ordered_at is not None:
            continue
        step = run.task.step
        needs_ms = step.estimate_ms * (100 - run.progress_percent) // 100
        resumes_elsewhere = step.saves_checkpoints and needs_ms > remaining_ms
        if step.long_running or resumes_elsewhere:
            found.append(run)
    return found
