"""One incarnation of an executor, as its agent drives it.

The agent is the only caller of the executor: every start, stop and lease passes
here. A call without an answer may take effect seconds later, so a start stays
"possibly running" until the executor has answered for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.batch.pacing import FULL_PERCENT, Filler, FillerPacer, ServingLoad
from rattanwing.batch.ports import (
    EndedRow,
    ExecutorView,
    HoldResult,
    OrderOutcome,
    OrderResult,
    RunningRow,
)
from rattanwing.batch.timing import CLOCK_DRIFT, LEASE_MARGIN_S
from rattanwing.util.http_client import HttpCallError
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.batch import messages
    from rattanwing.batch.ports import ExecutorPort

POLL_WAIT_S = 0.5
"""Longest wait of one look: the lease is extended at least twice a second."""

RETRY_PAUSE_S = 0.15
"""Pause after an unanswered call on the same machine."""

POLL_PAUSE_S = 0.03
"""Pause after a look that brought nothing new at once."""

UNREACHABLE_AFTER_S = 1.5
"""An executor that has not answered for so long gets no new runs."""

RunKey = tuple[str, int]


class RunState:
    """A run that is, or may be, on the executor.

    :param fence: under which it was ordered.
    :param listed_after: looks sent before this time may not list it yet.
    :param confirmed: the executor has answered for it.
    :param first_seen_at: when the agent first knew of it.
    :param pace_decided: a pace was decided for it; of a filler.
    """

    __slots__ = (
        "properties",
        "fence",
        "checkpoint",
        "percent",
        "usage",
        "pace",
        "listed_after",
        "confirmed",
        "first_seen_at",
        "pace_decided",
    )

    def __init__(
        self,
        properties: messages.TaskProperties | None,
        fence: int,
        now: float,
        confirmed: bool,
    ) -> None:
        self.properties = properties
        self.fence = fence
        self.checkpoint = ""
        self.percent = 0
        self.usage = 0
        self.pace = FULL_PERCENT
        self.listed_after = now
        self.confirmed = confirmed
        self.first_seen_at = now
        self.pace_decided = False


class ExecutorRuns:
    """Carries out orders on one incarnation of an executor.

    :param lease_until: runs may go on until then, on the agent's clock.
    :param leases_end_by: by then everything that was ever allowed has lapsed.
    :param on_change: called when ends or the set of runs have changed.
    """

    __slots__ = (
        "view",
        "port",
        "clock",
        "fence",
        "listed_fence",
        "lease_until",
        "leases_end_by",
        "clock_sample",
        "runs",
        "stored_number",
        "ends",
        "answered_at",
        "gone",
        "on_change",
        "on_refused",
        "pacer",
        "poll_scope",
        "silence_logged",
    )

    def __init__(
        self,
        view: ExecutorView,
        port: ExecutorPort,
        clock: Callable[[], float],
        leases_end_by: float,
        on_change: Callable[[], None],
        on_refused: Callable[[str, int, str], None],
    ) -> None:
        self.view = view
        self.port = port
        self.clock = clock
        self.fence = 0
        self.listed_fence = 0
        self.lease_until = 0.0
        self.leases_end_by = leases_end_by
        self.clock_sample: tuple[int, float] | None = None
        self.runs: dict[RunKey, RunState] = {}
        self.stored_number = 0
        self.ends: dict[int, EndedRow] = {}
        self.answered_at = clock()
        self.gone = False
        self.on_change = on_change
        self.on_refused = on_refused
        self.pacer = FillerPacer()
        self.poll_scope = trio.CancelScope()
        self.silence_logged = False

    def set_fence(self, fence: int) -> None:
        """Use a higher fence; whatever was sent under a lower one is void."""
        self.fence = fence
        self.poll_scope.cancel()

    def extend_lease(self, until: float) -> None:
        """Let runs go on until ``until``, as far as the executor hears of it."""
        self.lease_until = max(self.lease_until, until)

    def is_complete(self, now: float) -> bool:
        """Return whether nothing runs here but what ``runs`` holds."""
        if self.gone or now >= self.leases_end_by:
            return True
        return self.fence > 0 and self.listed_fence == self.fence

    def is_unreachable(self, now: float) -> bool:
        """Return whether the executor does not answer."""
        return self.gone or now - self.answered_at > UNREACHABLE_AFTER_S

    def deadline_ms(self) -> int | None:
        """Return the lease's end on the executor's clock, to be sent to it.

        It is surely not later than the lease. A call that is not answered may yet
        extend the lease.
        """
        if self.clock_sample is None:
            return None
        clock_ms, at = self.clock_sample
        self.leases_end_by = max(self.leases_end_by, self.lease_until + LEASE_MARGIN_S)
        return clock_ms + int((self.lease_until - at) * (1 - CLOCK_DRIFT) * 1000)

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Remember what the executor's clock showed at the latest ``now``."""
        if clock_ms > 0:
            self.clock_sample = (clock_ms, now)
        self.answered_at = now
        self.silence_logged = False

    def used_resources(self) -> tuple[int, int]:
        """Return the thousandths of a core and the MiB that runs take up."""
        known = [
            run.properties for run in self.runs.values() if run.properties is not None
        ]
        cpu = sum(properties.cpu for properties in known if not properties.best_effort)
        return cpu, sum(properties.memory_mb for properties in known)

    def running_rows(self) -> list[RunningRow]:
        """Return everything that runs or may yet run."""
        return [
            RunningRow(task, attempt, run.checkpoint, run.percent, run.usage)
            for (task, attempt), run in self.runs.items()
        ]

    def drop_stored_ends(self, number: int) -> None:
        """Drop ends that are stored."""
        self.stored_number = max(self.stored_number, number)
        for listed in [n for n in self.ends if n <= self.stored_number]:
            del self.ends[listed]

    async def poll_loop(self) -> None:
        """Look at the executor again and again, until it is gone."""
        while not self.gone:
            if self.fence == 0:
                await trio.sleep(POLL_PAUSE_S)
                continue
            sent_at = self.clock()
            sent_fence = self.fence
            with trio.CancelScope() as self.poll_scope:
                news = await self.poll(sent_at, sent_fence)
                if not news and self.clock() - sent_at < POLL_PAUSE_S:
                    await trio.sleep(POLL_PAUSE_S)

    async def poll(self, sent_at: float, fence: int) -> bool:
        """Extend the lease and fold in what the executor lists.

        :returns: whether anything was new.
        """
        wait_s = POLL_WAIT_S if self.listed_fence == fence else 0.0
        deadline_ms = None if self.is_unreachable(sent_at) else self.deadline_ms()
        try:
            result = await self.port.hold(
                fence, self.stored_number, deadline_ms, wait_s
            )
        except HttpCallError as error:
            if not self.silence_logged:
                self.silence_logged = True
                events.write(
                    events.EXECUTOR_SILENT, executor=self.view.executor_id, error=error
                )
            await trio.sleep(RETRY_PAUSE_S)
            return False
        if isinstance(result, OrderResult):
            self.handle_hold_refusal(result)
            await trio.sleep(RETRY_PAUSE_S)
            return False
        first = self.listed_fence != fence and fence == self.fence
        if fence == self.fence:
            self.listed_fence = fence
        news = self.apply_listing(result, sent_at, self.clock())
        await self.pace_best_effort_runs()
        if news or first:
            self.on_change()
        return news

    def handle_hold_refusal(self, result: OrderResult) -> None:
        """Note a look that the executor refused."""
        self.answered_at = self.clock()
        if result.outcome is OrderOutcome.OTHER_INCARNATION:
            self.gone = True
            self.on_change()
        events.write(
            events.ORDER_REFUSED,
            executor=self.view.executor_id,
            order="hold",
            fence=self.fence,
            outcome=result.outcome.value,
        )

    def apply_listing(self, result: HoldResult, sent_at: float, now: float) -> bool:
        """Fold in a list of runs and ends; return whether ends are new."""
        self.record_clock(result.clock_ms, now)
        news = False
        for end in result.ended:
            if end.number > self.stored_number and end.number not in self.ends:
                self.ends[end.number] = end
                news = True
            self.runs.pop((end.task, end.attempt), None)
        listed = {(row.task, row.attempt): row for row in result.running}
        for key, row in listed.items():
            run = self.runs.setdefault(
                key, RunState(None, self.fence, now, confirmed=True)
            )
            run.confirmed = True
            run.checkpoint, run.percent, run.usage = (
                row.checkpoint,
                row.percent,
                row.usage,
            )
        for key, run in list(self.runs.items()):
            resolved = run.confirmed or run.fence < self.listed_fence
            if key not in listed and resolved and run.listed_after < sent_at:
                del self.runs[key]
                news = True
        return news

    def admit(self, order: messages.StartRun) -> RunState | None:
        """Count a run as possibly running from the moment its order came.

        A report that is made before the executor was called must list it.

        :returns: ``None`` where the order is refused.
        """
        reason = self.refusal_reason(order)
        if reason:
            self.refuse(order, reason)
            return None
        run = RunState(order.properties, self.fence, self.clock(), confirmed=False)
        self.runs[(order.task, order.attempt)] = run
        return run

    async def start(
        self, order: messages.StartRun, run: RunState, expires_at: float
    ) -> None:
        """Start an accepted run, or make sure that it never starts."""
        key = (order.task, order.attempt)
        fence = run.fence
        maybe_sent = False
        while fence == self.fence and not self.gone and not run.confirmed:
            deadline_ms = self.deadline_ms()
            if self.clock() >= expires_at or deadline_ms is None:
                await self.abandon_start(order, maybe_sent)
                return
            try:
                result = await self.port.start(
                    order.task,
                    order.attempt,
                    order.text,
                    order.checkpoint,
                    order.ticket,
                    deadline_ms,
                    fence,
                )
            except HttpCallError as error:
                maybe_sent = maybe_sent or error.verdict is not Verdict.NOT_RUN
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self.record_clock(result.clock_ms, self.clock())
            if result.outcome is OrderOutcome.ACCEPTED:
                run.listed_after = self.clock()
                run.confirmed = True
                if order.properties.best_effort:
                    await self.pace_best_effort_runs()
                return
            if self.earlier_try_started(result, key, maybe_sent):
                return
            self.runs.pop(key, None)
            self.refuse(order, result.outcome.value)
            return

    def earlier_try_started(
        self, result: OrderResult, key: RunKey, maybe_sent: bool
    ) -> bool:
        """Return whether a refused repeat shows that an earlier try had run."""
        if result.outcome is not OrderOutcome.OLD_ATTEMPT or not maybe_sent:
            return False
        if key in self.runs:
            self.runs[key].confirmed = True
            self.runs[key].listed_after = self.clock()
        return True

    def refusal_reason(self, order: messages.StartRun) -> str:
        """Return why a start must not be sent; empty if it may."""
        if (order.task, order.attempt) in self.runs:
            return "known"
        if self.listed_fence != self.fence:
            return "unclean"
        if any(run.properties is None for run in self.runs.values()):
            return "unknown-room"
        cpu, memory_mb = self.used_resources()
        if (
            not order.properties.best_effort
            and cpu + order.properties.cpu > self.view.cpu
        ):
            return "no-cpu"
        if memory_mb + order.properties.memory_mb > self.view.memory_mb:
            return "no-memory"
        return ""

    def refuse(self, order: messages.StartRun, reason: str) -> None:
        """Tell the owner that a run does not start here."""
        events.write(
            events.RUN_REFUSED,
            task=order.task,
            attempt=order.attempt,
            executor=self.view.executor_id,
            reason=reason,
            fence=self.fence,
        )
        self.on_refused(order.task, order.attempt, reason)

    async def abandon_start(self, order: messages.StartRun, maybe_sent: bool) -> None:
        """End a start that was not answered in time."""
        if maybe_sent:
            await self.stop(order.task, order.attempt)
            return
        self.runs.pop((order.task, order.attempt), None)
        self.refuse(order, "unanswered")

    async def stop(self, task: str, attempt: int) -> None:
        """Stop a run; repeat until the executor has answered."""
        fence = self.fence
        while fence == self.fence and not self.gone:
            try:
                result = await self.port.stop(task, attempt, fence)
            except HttpCallError:
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self.record_clock(result.clock_ms, self.clock())
            if result.outcome is OrderOutcome.ACCEPTED:
                run = self.runs.get((task, attempt))
                if run is not None and not run.confirmed:
                    run.confirmed = True
                    run.listed_after = self.clock()
                return
            events.write(
                events.ORDER_REFUSED,
                executor=self.view.executor_id,
                order="stop",
                task=task,
                attempt=attempt,
                fence=fence,
                outcome=result.outcome.value,
            )
            if result.outcome is OrderOutcome.FENCED:
                return
            await trio.sleep(RETRY_PAUSE_S)

    async def pace_best_effort_runs(self) -> None:
        """Slow fillers, or speed them up, by the tails of the serving tasks."""
        known = [
            (key, run)
            for key, run in self.runs.items()
            if run.properties and run.confirmed
        ]
        serving = [
            ServingLoad(run.properties.image, run.usage, run.properties.target_ms)
            for _key, run in known
            if run.properties.target_ms > 0
        ]
        now = self.clock()
        fillers = {
            key: Filler(
                run.properties.image,
                run.properties.cpu,
                run.pace,
                now - run.first_seen_at,
                is_new=not run.pace_decided,
            )
            for key, run in known
            if run.properties.best_effort
        }
        paces = self.pacer.decide(serving, fillers, now)
        for key in fillers:
            self.runs[key].pace_decided = True
        for key, percent in paces.items():
            await self.set_pace(key, percent, serving)

    async def set_pace(
        self, key: RunKey, percent: int, serving: list[ServingLoad]
    ) -> None:
        """Give one filler a pace."""
        task, attempt = key
        try:
            result = await self.port.set_pace(task, attempt, percent, self.fence)
        except HttpCallError as error:
            events.write(events.EXECUTOR_SILENT, task=task, error=error)
            return
        run = self.runs.get(key)
        if result.outcome is not OrderOutcome.ACCEPTED or run is None:
            return
        events.write(
            events.RUN_PACED,
            task=task,
            attempt=attempt,
            before=run.pace,
            percent=percent,
            tails=[(load.tail_ms, load.target_ms) for load in serving],
        )
        run.pace = percent
