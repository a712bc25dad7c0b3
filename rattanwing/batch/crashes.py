"""Keeps the crashes of executors and decides which tasks are found to cause them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events
from rattanwing.batch.model import parse_task_id
from rattanwing.batch.suspicion import (
    HOLD_S,
    SURVIVAL_S,
    is_isolated,
    may_hold,
    should_give_up,
)

if TYPE_CHECKING:
    from rattanwing.batch import messages
    from rattanwing.batch.cluster import ClusterState
    from rattanwing.batch.hosts import Host, Run
    from rattanwing.batch.jobs import Task

CRASH_MEMORY_S = 30.0
"""Time in seconds for which crashes of executors are remembered, so that others are
compared with them."""


class Crash:
    """The crash of one incarnation of an executor.

    :param at: time of the first call that the executor did not answer.
    :param only_suspect: whether it had just started tasks of one job only.
    :param isolated: whether its time is exact and no other executor is known to have
        failed at about the same time.
    """

    __slots__ = ("incarnation", "at", "only_suspect", "isolated")

    def __init__(
        self, incarnation: str, at: float, only_suspect: bool, isolated: bool
    ) -> None:
        self.incarnation = incarnation
        self.at = at
        self.only_suspect = only_suspect
        self.isolated = isolated


class CrashTracker:
    """The recent crashes that one owner knows of, and its decisions about them.

    :param cluster: the owner's view of the hosts.
    :param epoch: the owner's epoch, for log lines.
    :param crashes: recent crashes that agents reported, by executor incarnation.
    """

    __slots__ = ("cluster", "epoch", "crashes")

    def __init__(self, cluster: ClusterState, epoch: int) -> None:
        self.cluster = cluster
        self.epoch = epoch
        self.crashes: dict[str, Crash] = {}

    def record(
        self, host: Host, report: messages.ExecutorCrashed, now: float
    ) -> Crash | None:
        """Record a reported crash; ``None`` if it was reported before.

        An agent reports a crash on each stream until it is acknowledged.
        """
        at = report.stamp + host.clock_offset - report.failed_s
        resent = report.incarnation in self.crashes
        self.crashes = {
            incarnation: crash
            for incarnation, crash in self.crashes.items()
            if now - crash.at < CRASH_MEMORY_S and incarnation != report.incarnation
        }
        others = [crash.at for crash in self.crashes.values()]
        others += [
            other.failed_at
            for other in self.cluster.hosts.values()
            if other is not host and other.failed_at is not None
        ]
        started_jobs = {
            job_of(row.task) for row in report.runs if row.survived_s < SURVIVAL_S
        }
        crash = self.crashes[report.incarnation] = Crash(
            report.incarnation,
            at,
            len(started_jobs) == 1,
            report.broken and is_isolated(at, others),
        )
        return None if resent else crash

    def suspect(self, task: Task, crash: Crash, begun: bool) -> bool:
        """Suspect a task that an executor had just started when it crashed.

        :param begun: whether the executor is known to have begun a run of the task.
        :returns: whether this crash of the task was not known.
        """
        if task.done or any(run.proven for run in task.runs):
            return False
        if crash.incarnation in task.crashed_on:
            return False
        task.job.suspect(task, crash.incarnation)
        events.write(
            events.TASK_SUSPECTED,
            task=str(task.id),
            incarnation=crash.incarnation,
            crashes=len(task.crashed_on),
            only_suspect=crash.only_suspect,
            isolated=crash.isolated,
            begun=begun,
            epoch=self.epoch,
        )
        return True

    def finds_guilty(self, task: Task, crash: Crash, begun: bool) -> bool:
        """Return whether a task is found to crash executors, after its latest crash.

        :param begun: see :meth:`suspect`.
        """
        clear = crash.only_suspect and crash.isolated and begun
        if not should_give_up(len(task.crashed_on), clear):
            return False
        events.write(
            events.JOB_GIVEN_UP,
            job=task.job.spec.job_id,
            task=str(task.id),
            crashed=sorted(task.crashed_on),
            epoch=self.epoch,
        )
        return True

    def hold(self, run: Run, now: float) -> None:
        """Keep other starts off a host where a suspected task starts, if possible."""
        hosts = self.cluster.hosts.values()
        run.host.suspect_run = run
        if may_hold(sum(host.is_held(now) for host in hosts), len(hosts)):
            run.host.held_until = now + HOLD_S

    def record_survival(self, run: Run) -> bool:
        """Record that a run has not crashed its executor.

        :returns: whether its task was suspected, and is cleared.
        """
        run.proven = True
        run.host.freed = run.host.freed or run.host.suspect_run is run
        task = run.task
        if not task.is_suspect():
            return False
        task.job.clear(task)
        events.write(events.TASK_CLEARED, task=str(task.id), host=run.host.name)
        return True


def job_of(task: str) -> str:
    """Return the job id in a reported task id, or a malformed task id itself."""
    try:
        return parse_task_id(task).job_id
    except ValueError:
        return task
