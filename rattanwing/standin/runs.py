"""A stand-in executor that runs tasks under leases and fences, in memory.

It can crash, be born again, carry orders out late without an answer, let tasks
stand still or fail, and drain.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing.batch.ports import (
    EndedRow,
    EndReason,
    ExecutorView,
    HoldResult,
    OrderOutcome,
    OrderResult,
    RunningRow,
)
from rattanwing.util.http_client import HttpCallError
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

HOLD_MAX_MS = 10_000
KILL_GRACE_S = 0.2


class RunRecord:
    """One run in the history that tests judge.

    :param ended_at: ``None`` while it runs.
    :param noted_at: when its end was acknowledged, else ``None``.
    """

    __slots__ = (
        "task",
        "attempt",
        "executor",
        "began_at",
        "ended_at",
        "ending",
        "noted_at",
    )

    def __init__(self, task: str, attempt: int, executor: str, now: float) -> None:
        self.task = task
        self.attempt = attempt
        self.executor = executor
        self.began_at = now
        self.ended_at: float | None = None
        self.ending: EndReason | None = None
        self.noted_at: float | None = None


class LateOrders:
    """How many of the next orders are carried out late, and by how much."""

    __slots__ = ("count", "delay_s")

    def __init__(self) -> None:
        self.count = 0
        self.delay_s = 3.0


class StandinExecutor:
    """One machine's executor, through its lives.

    :param durations: returns how many seconds a run of a task takes.
    :param history: every run of the whole deployment.
    :param lapses: when the lease has lapsed.
    """

    __slots__ = (
        "name",
        "failure_domain",
        "service",
        "cpu",
        "memory_mb",
        "durations",
        "history",
        "life",
        "up",
        "fence",
        "deadline_ms",
        "born_at",
        "running",
        "ended",
        "unnoted",
        "stopped",
        "number",
        "acknowledged",
        "late",
        "failing",
        "draining",
        "news",
        "nursery",
        "reachable",
        "lapses",
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
        self.life = 0
        self.up = False
        self.reachable = True
        self.late = LateOrders()
        self.failing = False
        self.draining = False
        self.nursery: trio.Nursery | None = None
        self.lapses: list[float] = []
        self.begin_life()

    def begin_life(self) -> None:
        """Start with nothing known and nothing running."""
        self.life += 1
        self.up = True
        self.fence = 0
        self.born_at = 0.0
        self.deadline_ms = 0
        self.running: dict[tuple[str, int], RunRecord] = {}
        self.ended: list[EndedRow] = []
        self.unnoted: dict[int, RunRecord] = {}
        self.stopped: dict[str, int] = {}
        self.number = 0
        self.acknowledged = 0
        self.news = trio.Event()

    def crash(self) -> None:
        """End everything without a word."""
        for record in self.running.values():
            record.ended_at = trio.current_time()
            record.ending = EndReason.LAPSED
        self.running = {}
        self.up = False

    def view(self) -> ExecutorView:
        """Return what the executor announces."""
        return ExecutorView(
            f"{self.name}@{self.life}",
            self.name,
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
        """Return the executor's clock, which starts anew with each life."""
        return int((trio.current_time() - self.born_at) * 1000) + 1

    def port(self, view: ExecutorView) -> StandinPort:
        """Return the port to one life."""
        return StandinPort(self, int(view.incarnation.rpartition("@")[2]))

    async def live(self) -> None:
        """Let tasks end and leases lapse."""
        async with trio.open_nursery() as self.nursery:
            while True:
                await trio.sleep(0.02)
                if self.deadline_ms == 0 or self.clock_ms() <= self.deadline_ms:
                    continue
                self.lapses.append(trio.current_time())
                self.deadline_ms = 0
                for key in list(self.running):
                    self.end(key, EndReason.LAPSED)

    async def finish_later(self, key: tuple[str, int], life: int) -> None:
        """End a run when its work is done."""
        await trio.sleep(self.durations(key[0]))
        if life == self.life and key in self.running:
            self.end(key, EndReason.FAILED if self.failing else EndReason.DONE)

    def end(self, key: tuple[str, int], ending: EndReason) -> None:
        """List the end of a run."""
        record = self.running.pop(key)
        record.ended_at = trio.current_time()
        record.ending = ending
        self.number += 1
        self.unnoted[self.number] = record
        self.ended.append(EndedRow(self.number, key[0], key[1], ending, ""))
        self.news.set()
        self.news = trio.Event()

    def percent(self, record: RunRecord) -> int:
        """Return how much of a run's work is done."""
        share = (trio.current_time() - record.began_at) / self.durations(record.task)
        return min(99, int(100 * share))

    def take_fence(self, fence: int) -> bool:
        """Return whether an order's fence is high enough."""
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def result(self, outcome: OrderOutcome) -> OrderResult:
        """Return an answer with the clock."""
        return OrderResult(outcome, self.clock_ms())

    def start(
        self, task: str, attempt: int, deadline_ms: int, fence: int
    ) -> OrderResult:
        """Start a run under the platform's rules."""
        if not self.take_fence(fence):
            return self.result(OrderOutcome.FENCED)
        key = (task, attempt)
        if key in self.running:
            return self.result(OrderOutcome.ACCEPTED)
        if attempt <= self.stopped.get(task, 0):
            return self.result(OrderOutcome.OLD_ATTEMPT)
        if self.clock_ms() > deadline_ms:
            return self.result(OrderOutcome.LATE)
        self.deadline_ms = max(
            self.deadline_ms, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
        )
        record = RunRecord(task, attempt, self.name, trio.current_time())
        self.history.append(record)
        self.running[key] = record
        self.stopped[task] = max(attempt, self.stopped.get(task, 0))
        self.nursery.start_soon(self.finish_later, key, self.life)
        return self.result(OrderOutcome.ACCEPTED)

    async def stop(self, task: str, attempt: int, fence: int) -> OrderResult:
        """Stop a run."""
        if not self.take_fence(fence):
            return self.result(OrderOutcome.FENCED)
        self.stopped[task] = max(attempt, self.stopped.get(task, 0))
        if (task, attempt) in self.running:
            await trio.sleep(KILL_GRACE_S)
            if (task, attempt) in self.running:
                self.end((task, attempt), EndReason.STOPPED)
        return self.result(OrderOutcome.ACCEPTED)

    async def hold(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> HoldResult | OrderResult:
        """Extend the lease and list everything."""
        if not self.take_fence(fence):
            return self.result(OrderOutcome.FENCED)
        if deadline_ms is not None:
            limit = self.clock_ms() + HOLD_MAX_MS
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.ended = [row for row in self.ended if row.number > self.acknowledged]
        for number in [n for n in self.unnoted if n <= self.acknowledged]:
            self.unnoted.pop(number).noted_at = trio.current_time()
        if not self.ended and wait_s:
            with trio.move_on_after(wait_s):
                await self.news.wait()
        rows = [
            RunningRow(record.task, record.attempt, "", self.percent(record))
            for record in self.running.values()
        ]
        return HoldResult(self.clock_ms(), rows, list(self.ended))


class StandinPort:
    """The port of an agent to one life of an executor."""

    __slots__ = ("executor", "life")

    def __init__(self, executor: StandinExecutor, life: int) -> None:
        self.executor = executor
        self.life = life

    async def reach(self) -> OrderResult | None:
        """Take the time of a call; return a refusal of another life, if it is one."""
        await trio.sleep(0.001)
        if not self.executor.up or not self.executor.reachable:
            raise HttpCallError(Verdict.NOT_RUN, "no connection")
        if self.life != self.executor.life:
            return OrderResult(OrderOutcome.OTHER_INCARNATION)
        return None

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
        """Start a run, late if that fault is set."""
        other = await self.reach()
        if other is not None:
            return other
        late = self.executor.late
        if late.count > 0:
            late.count -= 1
            trio.lowlevel.spawn_system_task(
                self.start_late, late.delay_s, task, attempt, deadline_ms, fence
            )
            await trio.sleep(0.8)
            raise HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time")
        return self.executor.start(task, attempt, deadline_ms, fence)

    async def start_late(
        self, delay_s: float, task: str, attempt: int, deadline_ms: int, fence: int
    ) -> None:
        """Carry a start out that nobody waits for any more."""
        await trio.sleep(delay_s)
        if self.executor.up and self.life == self.executor.life:
            self.executor.start(task, attempt, deadline_ms, fence)

    async def stop(self, task: str, attempt: int, fence: int) -> OrderResult:
        """Stop a run."""
        return await self.reach() or await self.executor.stop(task, attempt, fence)

    async def set_pace(
        self, task: str, attempt: int, percent: int, fence: int
    ) -> OrderResult:
        """Accept any pace."""
        return await self.reach() or self.executor.result(OrderOutcome.ACCEPTED)

    async def hold(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> HoldResult | OrderResult:
        """Extend the lease and list everything."""
        other = await self.reach()
        if other is not None:
            return other
        result = await self.executor.hold(fence, acknowledged, deadline_ms, wait_s)
        if not self.executor.up or self.life != self.executor.life:
            raise HttpCallError(Verdict.MAY_HAVE_RUN, "the executor died")
        return result
