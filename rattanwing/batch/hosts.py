"""The owner's view of each host: its executor, runs, resources and health."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from rattanwing.batch.timing import LEASE_MARGIN_S, TASK_LEASE_S

if TYPE_CHECKING:
    from rattanwing.batch.colocation import ColocationSummary
    from rattanwing.batch.headroom import HostHeadroom
    from rattanwing.batch.interference import HeadroomSample
    from rattanwing.batch.jobs import OwnedJob, Task
    from rattanwing.batch.model import StepSpec
    from rattanwing.batch.ports import ExecutorView

LONG_RUNNING_USE_SHARE = 0.6
"""Share of the CPU declared by long-running tasks that they are assumed to use; the
rest is available to best-effort tasks. Their CPU use is not reported; their loads
vary around half of what they declare, and some peak together."""

SILENT_AFTER_S = 2.0
"""Time in seconds without a message from the agent after which its host gets no new
runs; agents report every 0.5 s."""


OFFSET_WINDOW_S = 10.0
"""Time in seconds for which a message counts towards the offset of an agent's clock."""

THROTTLED_FACTOR = 4
"""A best-effort run counts as throttled while this multiple of the CPU that it uses is
below the CPU of its task."""


MEASURED_AFTER_S = 1.0
"""Age in seconds from which the reported CPU use of a run tells its pace: the half
second that a report covers, and the time until the next report."""

FULL_PACE_SHARE = 0.9
"""Share of its declared CPU from which a best-effort run counts as at full pace."""


class Run:
    """One attempt of a task on one host.

    :param attempt: number of the attempt.
    :param placed_at: time when the owner recorded the run.
    :param progressed_at: time of the last change of its progress.
    :param order_number: number of the start order on the current stream; 0 for a run
        started on an earlier stream or by an earlier owner.
    :param reported: whether the agent has reported the run.
    :param may_start_late: whether a start call without an answer may take effect late,
        by the newest report.
    :param last_stop_ordered_at: time of the last stop order, ``None`` before the first.
    :param progress_percent: last reported progress.
    :param checkpoint: newest reported checkpoint, empty if there is none.
    :param measurement: last reported measurement: for a serving task its tail latency
        in milliseconds, for other tasks their CPU use in thousandths of a core.
    :param last_sample: for a serving task, the sample to compare the next one with.
    :param proven: whether it has run for long enough to show that its task does not
        crash executors.
    :param resumed: whether it continues from a checkpoint.
    :param slowed: whether a best-effort task has been seen at less than its full pace.
    :param throttled_since: for a best-effort task, the time since which it has used
        less than a quarter of its CPU; ``None`` if it uses more.
    """

    __slots__ = (
        "task",
        "attempt",
        "host",
        "placed_at",
        "progressed_at",
        "order_number",
        "reported",
        "may_start_late",
        "last_stop_ordered_at",
        "progress_percent",
        "checkpoint",
        "measurement",
        "last_sample",
        "proven",
        "resumed",
        "slowed",
        "throttled_since",
    )

    def __init__(self, task: Task, attempt: int, host: Host, now: float) -> None:
        self.task = task
        self.attempt = attempt
        self.host = host
        self.placed_at = now
        self.progressed_at = now
        self.order_number = 0
        self.reported = False
        self.may_start_late = False
        self.last_stop_ordered_at: float | None = None
        self.progress_percent = 0
        self.checkpoint = ""
        self.measurement = 0
        self.last_sample: HeadroomSample | None = None
        self.proven = False
        self.resumed = bool(task.checkpoint)
        self.slowed = False
        self.throttled_since: float | None = None

    def record_use(self, measurement: int, now: float) -> None:
        """Record the reported measurement."""
        self.measurement = measurement
        step = self.task.step
        if now - self.placed_at > MEASURED_AFTER_S and step.best_effort:
            self.slowed |= measurement < FULL_PACE_SHARE * step.cpu
        if not step.best_effort or measurement * THROTTLED_FACTOR >= step.cpu:
            self.throttled_since = None
        elif self.throttled_since is None:
            self.throttled_since = now


class Host:
    """An agent and the executor on its host.

    :param name: the agent's name.
    :param executor: the executor as last reported, ``None`` if there is none.
    :param executor_unreachable: whether the agent has no executor, or gets no answer
        from it.
    :param fully_reported: whether the agent has sent a complete list of runs on the
        current stream.
    :param last_heard_at: time of the last report from the agent.
    :param report_stamp: the agent's clock when it sent that report.
    :param failed_at: time of the first call that the executor did not answer, ``None``
        if it answers.
    :param clock_offsets: time of receipt and clock offset of recent messages of the
        current stream, oldest first; each offset is smaller than those that follow.
    :param leased_until: time on the owner's clock at which the lease of the host's
        runs lapses unless it is extended.
    :param next_order: number of the next order on the current stream.
    :param last_end_number: highest number of an end that was processed, among those
        of the executor incarnation ``ends_incarnation``. Each incarnation numbers its
        ends from 1.
    :param unknown_runs: number of reported runs that belong to no known task. They are
        being stopped, and the resources that they use are unknown.
    :param colocation: cached summary, ``None`` after the runs have changed.
    :param headroom: cached headroom of the serving tasks, ``None`` after the runs or
        the interference estimates have changed.
    :param freed: whether the host may be able to run more than at the last round of
        placement.
    :param suspect_run: the last run of a suspected task that was started here.
    :param held_until: time until which nothing else is started beside that run.
    """

    __slots__ = (
        "name",
        "executor",
        "runs",
        "connected",
        "executor_unreachable",
        "fully_reported",
        "last_heard_at",
        "report_stamp",
        "failed_at",
        "clock_offsets",
        "leased_until",
        "next_order",
        "reserved_cpu",
        "reserved_long_running_cpu",
        "reserved_best_effort_cpu",
        "reserved_memory_mb",
        "reserved_accelerators",
        "health",
        "last_end_number",
        "ends_incarnation",
        "unknown_runs",
        "colocation",
        "headroom",
        "freed",
        "suspect_run",
        "held_until",
    )

    def __init__(self, name: str, leased_until: float) -> None:
        self.name = name
        self.executor: ExecutorView | None = None
        self.runs: dict[tuple[str, int], Run] = {}
        self.connected = False
        self.executor_unreachable = False
        self.fully_reported = False
        self.last_heard_at = 0.0
        self.report_stamp = 0.0
        self.failed_at: float | None = None
        self.clock_offsets: deque[tuple[float, float]] = deque()
        self.leased_until = leased_until
        self.next_order = 1
        self.reserved_cpu = 0
        self.reserved_long_running_cpu = 0
        self.reserved_best_effort_cpu = 0
        self.reserved_memory_mb = 0
        self.reserved_accelerators = 0
        self.health = HostHealth()
        self.last_end_number = 0
        self.ends_incarnation = ""
        self.unknown_runs = 0
        self.colocation: ColocationSummary | None = None
        self.headroom: HostHeadroom | None = None
        self.freed = True
        self.suspect_run: Run | None = None
        self.held_until = 0.0

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[(str(run.task.id), run.attempt)] = run
        self.reserve(run.task.step, 1)

    def remove(self, run: Run) -> None:
        """Remove a run that has ended and release its resources."""
        if self.runs.pop((str(run.task.id), run.attempt), None) is not None:
            self.reserve(run.task.step, -1)
            self.freed = True

    def record_stamp(self, stamp: float, now: float) -> None:
        """Record the agent's clock reading in a message received at ``now``."""
        offset = now - stamp
        offsets = self.clock_offsets
        while offsets and offsets[-1][1] >= offset:
            offsets.pop()
        offsets.append((now, offset))
        while now - offsets[0][0] > OFFSET_WINDOW_S:
            offsets.popleft()

    @property
    def clock_offset(self) -> float:
        """Return the owner's clock less the agent's, in seconds.

        It is taken from the recent message that arrived fastest; at least one must have
        been recorded.
        """
        return self.clock_offsets[0][1]

    def tests_suspect(self) -> bool:
        """Return whether a run here may show that its task crashes executors."""
        run = self.suspect_run
        return (
            run is not None
            and not run.proven
            and run.task.is_suspect()
            and (str(run.task.id), run.attempt) in self.runs
        )

    def is_held(self, now: float) -> bool:
        """Return whether nothing is started here beside a suspected task."""
        return now < self.held_until and self.tests_suspect()

    def runs_suspect_of_other_job(self, job: OwnedJob) -> bool:
        """Return whether a suspected task of another job runs here."""
        return any(
            run.task.is_suspect() and run.task.job is not job
            for run in self.runs.values()
        )

    def count_unproven(self) -> int:
        """Return the number of runs that started here a short time ago."""
        return sum(not run.proven for run in self.runs.values())

    def allocate_order_number(self) -> int:
        """Return the number of the next order on this host's stream."""
        number = self.next_order
        self.next_order += 1
        return number

    def reserve(self, step: StepSpec, sign: int) -> None:
        """Reserve (``sign`` 1) or release (-1) the resources of one task."""
        self.colocation = None
        self.headroom = None
        if step.best_effort:
            self.reserved_best_effort_cpu += sign * step.cpu
        else:
            self.reserved_cpu += sign * step.cpu
            self.reserved_long_running_cpu += (
                sign * step.cpu if step.long_running else 0
            )
        self.reserved_memory_mb += sign * step.memory_mb
        self.reserved_accelerators += sign * step.accelerators

    def free_cpu(self) -> int:
        """Return the capacity less the declared CPU of all runs.

        :returns: thousandths of a core; negative if best-effort runs, which are
            included, exceed the capacity.
        """
        if self.executor is None:
            return 0
        return self.executor.cpu - self.reserved_cpu - self.reserved_best_effort_cpu

    def unused_cpu(self, interfering: set[str]) -> int:
        """Return the CPU that best-effort tasks could use, beyond what they use now.

        :param interfering: best-effort images that are known to interfere with a
            serving task of the host.
        :returns: thousandths of a core. Long-running tasks count with the share of
            their declared CPU that they are assumed to use, and all others with their
            declared CPU. Throttled runs of interfering images count with their last
            reported use, as they wait for headroom. Other throttled runs wait for CPU:
            a job is done only with its last task, so tasks that wait in the order of
            urgency finish more jobs than tasks that all begin and share a host.
        """
        if self.executor is None:
            return 0
        serving = int(self.reserved_long_running_cpu * LONG_RUNNING_USE_SHARE)
        others = self.reserved_cpu - self.reserved_long_running_cpu
        used = sum(
            run.measurement
            if run.throttled_since is not None and run.task.step.image in interfering
            else run.task.step.cpu
            for run in self.runs.values()
            if run.task.step.best_effort
        )
        return self.executor.cpu - serving - others - used

    def accepts_starts(self, now: float) -> bool:
        """Return whether new runs may be started on the host."""
        return (
            self.executor is not None
            and self.connected
            and self.fully_reported
            and not self.executor_unreachable
            and self.failed_at is None
            and not self.unknown_runs
            and not self.executor.draining
            and now - self.last_heard_at <= SILENT_AFTER_S
        )

    def has_lapsed(self, now: float) -> bool:
        """Return whether the host is disconnected and its lease has lapsed.

        No run of the host continues then.
        """
        return not self.connected and now >= self.leased_until + LEASE_MARGIN_S

    def extend_lease(self, now: float, lease_s: float) -> None:
        """Record a lease of ``lease_s`` from now, capped at ``TASK_LEASE_S``."""
        end = now + min(lease_s, TASK_LEASE_S)
        self.leased_until = max(self.leased_until, end)


HEALTH_WINDOW = 12
"""Number of recent ends from which the health of a host is computed."""

MIN_FAILURES = 3
"""Number of failed ends from which a host may count as failing; fewer may be due to
faulty jobs."""

FAILING_SHARE = 0.6
"""Share of failed ends above which a host counts as failing."""

FAILING_FOR_S = 6.0
"""Time in seconds for which new runs avoid a failing host, about as long as the
longest time for which the platform's hosts keep failing runs."""


REFUSAL_PAUSE_S = 0.5
"""Time in seconds for which a host gets no starts after it has refused one."""

MAX_REFUSAL_PAUSE_S = 2.0
"""Longest such pause; it doubles each time that the host refuses starts again."""

REFUSAL_MEMORY_S = 3.0
"""Time in seconds after a pause for which other hosts are preferred and a further
refusal counts as a repeated one."""


class HostHealth:
    """Detects hosts on which runs fail or stall, or that refuse starts.

    Failures of tasks that fail on other hosts as well are not counted.

    :param ends: whether each of the recent ends was a failure, oldest first.
    :param refusing_until: time until which the host gets no starts, because it has
        refused some.
    :param refusal_pause_s: length of the last such pause.
    """

    __slots__ = (
        "ends",
        "failing_until",
        "stalled_until",
        "refusing_until",
        "refusal_pause_s",
    )

    def __init__(self) -> None:
        self.ends: list[bool] = []
        self.failing_until = 0.0
        self.stalled_until = 0.0
        self.refusing_until = float("-inf")
        self.refusal_pause_s = 0.0

    def record_end(self, failed: bool, fails_elsewhere: bool, now: float) -> None:
        """Record the end of a run.

        :param fails_elsewhere: whether the task has also failed on another host.
        """
        if failed and fails_elsewhere:
            return
        self.ends.append(failed)
        del self.ends[:-HEALTH_WINDOW]
        failures = sum(self.ends)
        if failures >= MIN_FAILURES and failures / len(self.ends) > FAILING_SHARE:
            self.failing_until = now + FAILING_FOR_S
            self.ends.clear()

    def record_stall(self, now: float) -> None:
        """Record that a run on the host made no progress."""
        self.stalled_until = now + FAILING_FOR_S

    def record_refusal(self, now: float) -> None:
        """Record that the host refused a start."""
        if self.is_refusing(now):
            return
        pause_s = REFUSAL_PAUSE_S
        if self.has_refused_lately(now):
            pause_s = min(2 * self.refusal_pause_s, MAX_REFUSAL_PAUSE_S)
        self.refusal_pause_s = pause_s
        self.refusing_until = now + pause_s

    def forget_refusals(self) -> None:
        """Forget the refusals of an executor that has been replaced."""
        self.refusing_until = float("-inf")

    def is_refusing(self, now: float) -> bool:
        """Return whether the host gets no starts because it has refused some."""
        return now < self.refusing_until

    def has_refused_lately(self, now: float) -> bool:
        """Return whether other hosts are preferred because this one refused starts."""
        return now < self.refusing_until + REFUSAL_MEMORY_S

    def is_failing(self, now: float) -> bool:
        """Return whether new runs should avoid the host."""
        return now < self.failing_until or now < self.stalled_until
