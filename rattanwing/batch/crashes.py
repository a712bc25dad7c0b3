"""Keeps the crashes of executors and decides which tasks are found to cause them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events
from rattanwing.batch.model import parse_task_id
from rattanwing.batch.suspicion import (
    HOLD_S,
    SURVIVAL_S,
    TEST_SPACING_S,
    chance_of_crash,
    expected_coincidences,
    is_isolated,
    may_hold,
    must_start_alone,
    should_give_up,
)

if TYPE_CHECKING:
    from rattanwing.batch import messages
    from rattanwing.batch.cluster import ClusterState
    from rattanwing.batch.hosts import Host, Run
    from rattanwing.batch.jobs import OwnedJob, Task

CRASH_MEMORY_S = 60.0
"""Time in seconds for which crashes of executors are remembered, so that others are
compared with them and their rate is known."""


class Crash:
    """The crash of one incarnation of an executor.

    :param host: name of its host.
    :param at: time of the first call that the executor did not answer.
    :param only_suspect: whether it had just started tasks of one job only.
    :param isolated: whether it broke a connection, and no other executor is known to
        have failed at about the same time.
    :param suspects: tasks that were suspected after it.
    :param explained: whether one of them is found to crash executors.
    """

    __slots__ = (
        "incarnation",
        "host",
        "at",
        "only_suspect",
        "isolated",
        "suspects",
        "explained",
    )

    def __init__(
        self,
        incarnation: str,
        host: str,
        at: float,
        only_suspect: bool,
        isolated: bool,
    ) -> None:
        self.incarnation = incarnation
        self.host = host
        self.at = at
        self.only_suspect = only_suspect
        self.isolated = isolated
        self.suspects: set[Task] = set()
        self.explained = False

    def may_be_due_to(self, job: OwnedJob) -> bool:
        """Return whether a task of a job is still suspected of this crash."""
        return any(
            task.job is job and self.incarnation in task.crashed_on
            for task in self.suspects
        )


class CrashTracker:
    """The recent crashes that one owner knows of, and its decisions about them.

    :param cluster: the owner's view of the hosts.
    :param epoch: the owner's epoch, for log lines.
    :param observed_since: time since which the owner hears of crashes.
    :param crashes: recent crashes that agents reported, by executor incarnation.
    :param tested_at: time of the last start of a task that must start alone.
    """

    __slots__ = ("cluster", "epoch", "observed_since", "crashes", "tested_at")

    def __init__(
        self, cluster: ClusterState, epoch: int, observed_since: float
    ) -> None:
        self.cluster = cluster
        self.epoch = epoch
        self.observed_since = observed_since
        self.crashes: dict[str, Crash] = {}
        self.tested_at = float("-inf")

    def record(
        self, host: Host, report: messages.ExecutorCrashed, now: float
    ) -> Crash | None:
        """Record a reported crash; ``None`` if it was reported before.

        An agent reports a crash on each stream until it is acknowledged.
        """
        at = report.stamp + host.clock_offset - report.failed_s
        known = self.crashes.get(report.incarnation)
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
        crash = Crash(
            report.incarnation,
            host.name,
            at,
            len(started_jobs) == 1,
            report.broken and is_isolated(at, others),
        )
        self.crashes[report.incarnation] = known or crash
        return None if known else crash

    def suspect(self, task: Task, crash: Crash, begun: bool, now: float) -> bool:
        """Suspect a task that an executor had just started when it crashed.

        :param begun: whether the executor is known to have begun a run of the task a
            short time before.
        :returns: whether this crash of the task was not known.
        """
        if task.done or any(run.proven for run in task.runs):
            return False
        crash.suspects.add(task)
        if crash.incarnation in task.crashed_on:
            return False
        # The first crash chose the task among all, and is no test of it.
        tested = task.is_suspect()
        explained = not (tested and crash.only_suspect and crash.isolated)
        task.job.suspect(task, crash.incarnation, clear=begun and not explained)
        task.last_crash_explained = explained
        events.write(
            events.TASK_SUSPECTED,
            task=str(task.id),
            incarnation=crash.incarnation,
            crashes=len(task.crashed_on),
            only_suspect=crash.only_suspect,
            isolated=crash.isolated,
            begun=begun,
            coincidences=round(self.expected_coincidences(task, now), 6),
            epoch=self.epoch,
        )
        return True

    def expected_coincidences(self, task: Task, now: float) -> float:
        """Return how many tasks without fault may be expected to look like a task.

        Crashes that may be due to another task of the same job do not tell how often
        executors crash by themselves; those that may be due to a task of another job
        do, until that one is found to have caused them. A test on a host that crashes
        more often than the others tells less.

        :returns: 1 while nothing tells against the task but its first crash, or crashes
            that may have another cause.
        """
        if not task.clear_crashes:
            return 1.0
        unexplained = [crash for crash in self.crashes.values() if not crash.explained]
        suspects = set().union(*(crash.suspects for crash in unexplained)) | {task}
        others = [crash for crash in unexplained if not crash.may_be_due_to(task.job)]
        observed_s = min(now - self.observed_since, CRASH_MEMORY_S)
        # One more crash than was seen, as those to come are not known.
        anywhere = chance_of_crash(
            len(others) + 1, len(self.cluster.hosts) * observed_s
        )
        chances = []
        for incarnation in task.clear_crashes:
            test = self.crashes.get(incarnation)
            here = [crash for crash in others if test and crash.host == test.host]
            chances.append(max(anywhere, chance_of_crash(len(here), observed_s)))
        return expected_coincidences(len(suspects), chances)

    def gives_up(self, task: Task, now: float) -> bool:
        """Return whether a task is found to crash executors, after its latest crash."""
        coincidences = self.expected_coincidences(task, now)
        crashes = len(task.crashed_on)
        decides = bool(task.clear_crashes) and not task.last_crash_explained
        if not should_give_up(crashes, decides, task.job.inherited, coincidences):
            return False
        for crash in self.crashes.values():
            if task in crash.suspects:
                crash.explained = True
        events.write(
            events.JOB_GIVEN_UP,
            job=task.job.spec.job_id,
            task=str(task.id),
            crashed=sorted(task.crashed_on),
            clear=sorted(task.clear_crashes),
            coincidences=round(coincidences, 6),
            epoch=self.epoch,
        )
        return True

    def may_test(self, task: Task, now: float) -> bool:
        """Return whether a task may start without regard to other suspected tasks.

        Two tests that end at the same time leave open whether they have one cause.
        """
        if not must_start_alone(len(task.crashed_on)):
            return True
        return now - self.tested_at >= TEST_SPACING_S

    def hold(self, run: Run, now: float) -> None:
        """Keep other starts off a host where a suspected task starts, if possible."""
        hosts = self.cluster.hosts.values()
        if must_start_alone(len(run.task.crashed_on)):
            self.tested_at = now
        run.host.suspect_run = run
        held = sum(host.is_held(now) for host in hosts)
        if may_hold(held, len(hosts), len(run.task.crashed_on)):
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
