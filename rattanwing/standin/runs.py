"""In-memory stand-in for an executor that runs batch tasks under leases and fences.

It can crash and restart under the same or another id, carry out starts late and without
an answer, fail tasks, become unreachable, drain, and change its capacity. Some tasks
can crash each executor that starts them.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from rattanwing.batch.ports import (
    EndedRow,
    EndReason,
    ExecutorView,
    OrderOutcome,
    OrderResult,
    PollResult,
    RunningRow,
)
from rattanwing.util.http_client import HttpCallError, NoListenerError
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_LEASE_MS = 10_000
"""Longest lease in milliseconds; a deadline further in the future is brought
forward."""

MAX_LISTED_ENDS = 500
"""Most ends in the answer to one poll, the oldest first."""

KILL_GRACE_S = 0.2
"""Time that a stopped run takes to end."""

CRASH_AFTER_S = 0.01
"""Time in seconds after which a crashing task ends the executor that has started
it."""

RESTART_AFTER_S = 3.0
"""Time in seconds after which an executor that a task has crashed starts again."""

CALL_DURATION_S = 0.001
"""Time that a call takes to reach the executor."""


class RunRecord:
    """A run in the history that tests check; times are in seconds of trio's clock.

    :param executor: name of the executor.
    :param ended_at: when it ended; ``None`` while it runs.
    :param end_reason: why it ended; ``None`` while it runs.
    :param acknowledged_at: when its end was acknowledged; ``None`` before.
    :param crashed: whether the executor crashed while it ran.
    """

    __slots__ = (
        "task",
        "attempt",
        "executor",
        "started_at",
        "ended_at",
        "end_reason",
        "acknowledged_at",
        "crashed",
    )

    def __init__(self, task: str, attempt: int, executor: str, now: float) -> None:
        self.task = task
        self.attempt = attempt
        self.executor = executor
        self.started_at = now
        self.ended_at: float | None = None
        self.end_reason: EndReason | None = None
        self.acknowledged_at: float | None = None
        self.crashed = False


class LateStarts:
    """Fault: starts are carried out late and without an answer.

    :param count: number of following starts that are affected.
    :param delay_s: delay until such a start takes effect, in seconds.
    """

    __slots__ = ("count", "delay_s")

    def __init__(self) -> None:
        self.count = 0
        self.delay_s = 3.0


class StandinBatchExecutor:
    """The executor of one host, through all of its incarnations.

    :param history: all runs of all executors of the deployment.
    :param durations: returns how many seconds a run of a task takes.
    :param incarnation: number of the current incarnation, from 1.
    :param first_incarnation: number of the first incarnation under the current id; a
        call for this one or a later one is accepted by the current one.
    :param incarnation_started: set, and replaced by a new event, when an incarnation
        starts.
    :param call_delays: returns how many seconds a call takes to reach the executor,
        and its answer to reach the caller.
    :param up: whether its process runs.
    :param reachable: whether calls get through to it.
    :param fence: highest fence of an order so far.
    :param deadline_ms: end of the lease, on the executor's clock; 0 for none.
    :param started_at: origin of the executor's clock, in seconds of trio's clock.
    :param running: record of each running run, by task and attempt.
    :param ended: ends that are not yet acknowledged, in order.
    :param unacknowledged: record of the run of each of these ends, by end number.
    :param last_attempts: highest attempt of each task that was started or stopped.
    :param last_end_number: number of the last end of this incarnation.
    :param acknowledged: highest end number that a call has acknowledged, whether or not
        there was such an end.
    :param late_starts: fault that affects the following starts.
    :param failing: whether runs fail when their work is done.
    :param draining: whether the executor announces that it will stop.
    :param end_added: set, and replaced by a new event, when a run ends.
    :param lapse_times: when leases lapsed, in seconds of trio's clock.
    :param checkpoints: returns the newest checkpoint of a task; empty for none.
    :param started_with: the checkpoint that each run was started with.
    :param is_crashing: returns whether a task crashes each executor that starts it.
    :param keeps_id: whether it has the same id after a task has crashed it.
    :param capacity_changes: time, thousandths of a core and megabytes of memory of
        each change of the capacity.
    """

    __slots__ = (
        "name",
        "failure_domain",
        "service",
        "cpu",
        "memory_mb",
        "durations",
        "history",
        "incarnation",
        "first_incarnation",
        "incarnation_started",
        "call_delays",
        "up",
        "fence",
        "deadline_ms",
        "started_at",
        "running",
        "ended",
        "unacknowledged",
        "last_attempts",
        "last_end_number",
        "acknowledged",
        "late_starts",
        "failing",
        "draining",
        "end_added",
        "nursery",
        "reachable",
        "lapse_times",
        "checkpoints",
        "started_with",
        "is_crashing",
        "keeps_id",
        "capacity_changes",
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        history: list[RunRecord],
        durations: Callable[[str], float],
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.service = "service-1"
        self.cpu = 4_000
        self.memory_mb = 8_000
        self.durations = durations
        self.history = history
        self.incarnation = 0
        self.first_incarnation = 1
        self.incarnation_started = trio.Event()
        self.call_delays = lambda: (CALL_DURATION_S, 0.0)
        self.up = False
        self.reachable = True
        self.late_starts = LateStarts()
        self.failing = False
        self.draining = False
        self.nursery: trio.Nursery | None = None
        self.lapse_times: list[float] = []
        self.checkpoints: Callable[[str], str] = lambda _task: ""
        self.started_with: dict[tuple[str, int], str] = {}
        self.is_crashing: Callable[[str], bool] = lambda _task: False
        self.keeps_id = False
        self.capacity_changes: list[tuple[float, int, int]] = []
        self.restart()

    def restart(self, same_id: bool = False) -> None:
        """Start a new incarnation, without runs and with empty state.

        :param same_id: whether it has the id of the previous one, and so accepts the
            calls that are meant for that one. Its clock then starts anew.
        """
        self.incarnation += 1
        if not same_id:
            self.first_incarnation = self.incarnation
        self.up = True
        self.fence = 0
        self.started_at = trio.current_time() if same_id else 0.0
        self.deadline_ms = 0
        self.running: dict[tuple[str, int], RunRecord] = {}
        self.ended: list[EndedRow] = []
        self.unacknowledged: dict[int, RunRecord] = {}
        self.last_attempts: dict[str, int] = {}
        self.last_end_number = 0
        self.acknowledged = 0
        self.end_added = trio.Event()
        self.incarnation_started.set()
        self.incarnation_started = trio.Event()

    def crash(self) -> None:
        """Stop the process at once; its runs end without being reported."""
        for record in self.running.values():
            record.ended_at = trio.current_time()
            record.end_reason = EndReason.LAPSED
            record.crashed = True
        self.running = {}
        self.up = False
        # A poll that waits for an end loses its connection at once.
        self.end_added.set()

    async def crash_later(self, incarnation: int) -> None:
        """Crash soon, as after the start of a crashing task, and start again later."""
        await trio.sleep(CRASH_AFTER_S)
        if not self.up or incarnation != self.incarnation:
            return
        self.crash()
        await trio.sleep(RESTART_AFTER_S)
        if not self.up:
            self.restart(same_id=self.keeps_id)

    def set_capacity(self, cpu: int, memory_mb: int) -> None:
        """Change the capacity while the executor runs; announcements then show it."""
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.capacity_changes.append((trio.current_time(), cpu, memory_mb))

    def executor_id(self) -> str:
        """Return the current id."""
        if self.first_incarnation == 1:
            return self.name
        return f"{self.name}-{self.first_incarnation}"

    def incarnation_name(self) -> str:
        """Return the name of the current incarnation."""
        return f"{self.executor_id()}@{self.incarnation}"

    def accepts_calls_for(self, incarnation: int) -> bool:
        """Return whether the executor accepts a call for one of its incarnations."""
        return self.first_incarnation <= incarnation <= self.incarnation

    def view(self) -> ExecutorView:
        """Return the description that the executor announces."""
        return ExecutorView(
            self.incarnation_name(),
            self.executor_id(),
            self.service,
            "127.0.0.1:1",
            self.failure_domain,
            ["kind-a", "rack-1"],
            "rack-1",
            self.cpu,
            self.memory_mb,
            0,
            self.draining,
        )

    def clock_ms(self) -> int:
        """Return the executor's clock: milliseconds since ``started_at``, plus one."""
        return int((trio.current_time() - self.started_at) * 1000) + 1

    def port(self, view: ExecutorView) -> StandinExecutorPort:
        """Return a port to the incarnation that ``view`` describes."""
        return StandinExecutorPort(self, int(view.incarnation.rpartition("@")[2]))

    async def run(self) -> None:
        """Simulate the runs until cancelled; end all of them when the lease lapses."""
        async with trio.open_nursery() as self.nursery:
            while True:
                await trio.sleep(0.02)
                if self.deadline_ms == 0 or self.clock_ms() <= self.deadline_ms:
                    continue
                self.lapse_times.append(trio.current_time())
                self.deadline_ms = 0
                for key in list(self.running):
                    self.end_run(key, EndReason.LAPSED)

    async def run_task(self, key: tuple[str, int], incarnation: int) -> None:
        """Wait until the work of a run is done, then end it if it is still running."""
        await trio.sleep(self.durations(key[0]))
        if incarnation == self.incarnation and key in self.running:
            self.end_run(key, EndReason.FAILED if self.failing else EndReason.DONE)

    def end_run(self, key: tuple[str, int], end_reason: EndReason) -> None:
        """End a run and add the end to the list of unacknowledged ends."""
        record = self.running.pop(key)
        record.ended_at = trio.current_time()
        record.end_reason = end_reason
        self.last_end_number += 1
        self.unacknowledged[self.last_end_number] = record
        self.ended.append(
            EndedRow(self.last_end_number, *key, end_reason, self.checkpoints(key[0]))
        )
        self.end_added.set()
        self.end_added = trio.Event()

    def percent(self, record: RunRecord) -> int:
        """Return the progress of a run in percent, at most 99."""
        share = (trio.current_time() - record.started_at) / self.durations(record.task)
        return min(99, int(100 * share))

    def accept_fence(self, fence: int) -> bool:
        """Return whether a fence is at least the highest so far, and record it."""
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def make_result(self, outcome: OrderOutcome) -> OrderResult:
        """Return an answer with the executor's clock."""
        return OrderResult(outcome, self.clock_ms())

    def start(
        self, task: str, attempt: int, deadline_ms: int, fence: int
    ) -> OrderResult:
        """Start a run, or refuse it by the platform's rules.

        A run that is already running is accepted again.
        """
        if not self.accept_fence(fence):
            return self.make_result(OrderOutcome.FENCED)
        key = (task, attempt)
        if key in self.running:
            return self.make_result(OrderOutcome.ACCEPTED)
        if attempt <= self.last_attempts.get(task, 0):
            return self.make_result(OrderOutcome.OLD_ATTEMPT)
        if self.clock_ms() > deadline_ms:
            return self.make_result(OrderOutcome.LATE)
        self.deadline_ms = max(
            self.deadline_ms, min(deadline_ms, self.clock_ms() + MAX_LEASE_MS)
        )
        record = RunRecord(task, attempt, self.name, trio.current_time())
        self.history.append(record)
        self.running[key] = record
        self.last_attempts[task] = max(attempt, self.last_attempts.get(task, 0))
        self.nursery.start_soon(self.run_task, key, self.incarnation)
        if self.is_crashing(task):
            self.nursery.start_soon(self.crash_later, self.incarnation)
        return self.make_result(OrderOutcome.ACCEPTED)

    async def stop(self, task: str, attempt: int, fence: int) -> OrderResult:
        """Stop a run, and refuse later starts of this and earlier attempts."""
        if not self.accept_fence(fence):
            return self.make_result(OrderOutcome.FENCED)
        self.last_attempts[task] = max(attempt, self.last_attempts.get(task, 0))
        if (task, attempt) in self.running:
            await trio.sleep(KILL_GRACE_S)
            if (task, attempt) in self.running:
                self.end_run((task, attempt), EndReason.STOPPED)
        return self.make_result(OrderOutcome.ACCEPTED)

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> PollResult | OrderResult:
        """Extend the lease, acknowledge ends and list all runs and the oldest ends.

        Only ends that exist when the call is carried out are dropped. If there is no
        unacknowledged end, wait up to ``wait_s`` for one.
        """
        if not self.accept_fence(fence):
            return self.make_result(OrderOutcome.FENCED)
        if deadline_ms is not None:
            limit = self.clock_ms() + MAX_LEASE_MS
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.ended = [row for row in self.ended if row.number > acknowledged]
        for number in [n for n in self.unacknowledged if n <= acknowledged]:
            self.unacknowledged.pop(number).acknowledged_at = trio.current_time()
        if not self.ended and wait_s:
            with trio.move_on_after(wait_s):
                await self.end_added.wait()
        rows = [
            RunningRow(
                record.task,
                record.attempt,
                self.checkpoints(record.task),
                self.percent(record),
            )
            for record in self.running.values()
        ]
        listed = self.ended[:MAX_LISTED_ENDS]
        return PollResult(
            self.clock_ms(),
            rows,
            listed,
            self.incarnation_name(),
            len(listed) == len(self.ended),
        )


class StandinExecutorPort:
    """An agent's calls to one incarnation of an executor.

    Implements :class:`rattanwing.batch.ports.ExecutorPort`. Like the platform, an
    executor refuses the calls for an incarnation that had another id.
    """

    __slots__ = ("executor", "incarnation")

    def __init__(self, executor: StandinBatchExecutor, incarnation: int) -> None:
        self.executor = executor
        self.incarnation = incarnation

    async def call(
        self, carry_out: Callable[[], Awaitable[OrderResult | PollResult]]
    ) -> OrderResult | PollResult:
        """Wait for the duration of a call, and carry it out unless it is refused.

        :raises HttpCallError: when the executor is down or unreachable, or ends before
            its answer has arrived.
        """
        executor = self.executor
        request_s, answer_s = executor.call_delays()
        await trio.sleep(request_s)
        if not executor.reachable:
            raise HttpCallError(Verdict.NOT_RUN, "no connection")
        if not executor.up:
            raise NoListenerError(Verdict.NOT_RUN, "connection refused")
        answering = executor.incarnation
        if not executor.accepts_calls_for(self.incarnation):
            return OrderResult(OrderOutcome.OTHER_INCARNATION)
        result = await carry_out()
        if answer_s:
            await trio.sleep(answer_s)
        if not executor.up or executor.incarnation != answering:
            raise HttpCallError(
                Verdict.MAY_HAVE_RUN, "the executor ended during the call"
            )
        return result

    async def start(
        self,
        task: str,
        attempt: int,
        text: str,
        checkpoint: str,
        ticket: str,
        deadline_ms: int,
        fence: int,
    ) -> OrderResult:
        """Start a run; simulate a late start if that fault is set."""

        async def start() -> OrderResult:
            late_starts = self.executor.late_starts
            if late_starts.count > 0:
                late_starts.count -= 1
                trio.lowlevel.spawn_system_task(
                    self.start_late,
                    late_starts.delay_s,
                    task,
                    attempt,
                    deadline_ms,
                    fence,
                )
                await trio.sleep(0.8)
                raise HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time")
            self.executor.started_with[task, attempt] = checkpoint
            return self.executor.start(task, attempt, deadline_ms, fence)

        return await self.call(start)

    async def start_late(
        self, delay_s: float, task: str, attempt: int, deadline_ms: int, fence: int
    ) -> None:
        """Start a run after a delay; the caller's call has already timed out."""
        await trio.sleep(delay_s)
        if self.executor.up and self.executor.accepts_calls_for(self.incarnation):
            self.executor.start(task, attempt, deadline_ms, fence)

    async def stop(self, task: str, attempt: int, fence: int) -> OrderResult:
        """Stop a run; see :class:`rattanwing.batch.ports.ExecutorPort`."""
        return await self.call(partial(self.executor.stop, task, attempt, fence))

    async def set_pace(
        self, task: str, attempt: int, pace_percent: int, fence: int
    ) -> OrderResult:
        """Accept any pace; the simulation ignores it."""

        async def accept() -> OrderResult:
            return self.executor.make_result(OrderOutcome.ACCEPTED)

        return await self.call(accept)

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> PollResult | OrderResult:
        """Extend the lease, acknowledge ends and list all runs."""
        return await self.call(
            partial(self.executor.poll, fence, acknowledged, deadline_ms, wait_s)
        )
