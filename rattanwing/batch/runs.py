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

HOLD_WAIT_S = 0.5
"""Longest wait of one look: the lease is extended at least twice a second."""

RETRY_PAUSE_S = 0.15
"""Pause after an unanswered call on the same machine."""

REPEATED_LOOK_PAUSE_S = 0.03
"""Pause after a look that brought nothing new at once."""

MISSING_AFTER_S = 1.5
"""An executor that has not answered for so long gets no new runs."""

RunKey = tuple[str, int]


class RunState:
    """A run that is, or may be, on the executor.

    :param fence: under which it was ordered.
    :param listed_after: looks sent before this time may not list it yet.
    :param sure: the executor has answered for it.
    :param began_at: when the agent first knew of it.
    :param is_paced: a pace was decided for it; of a filler.
    """

    __slots__ = (
        "facts",
        "fence",
        "saved",
        "percent",
        "usage",
        "pace",
        "listed_after",
        "sure",
        "began_at",
        "is_paced",
    )

    def __init__(
        self, facts: messages.TaskProperties | None, fence: int, now: float, sure: bool
    ) -> None:
        self.facts = facts
        self.fence = fence
        self.saved = ""
        self.percent = 0
        self.usage = 0
        self.pace = FULL_PERCENT
        self.listed_after = now
        self.sure = sure
        self.began_at = now
        self.is_paced = False


class ExecutorRuns:
    """Carries out orders on one incarnation of an executor.

    :param lease_until: runs may go on until then, on the agent's clock.
    :param lapse_bound: by then everything that was ever allowed has lapsed.
    :param on_change: called when ends or the set of runs have changed.
    """

    __slots__ = (
        "view",
        "port",
        "clock",
        "fence",
        "clean_fence",
        "lease_until",
        "lapse_bound",
        "clock_sample",
        "runs",
        "stored_number",
        "ends",
        "answered_at",
        "gone",
        "on_change",
        "on_refused",
        "pacer",
        "look_scope",
        "silent",
    )

    def __init__(
        self,
        view: ExecutorView,
        port: ExecutorPort,
        clock: Callable[[], float],
        lapse_bound: float,
        on_change: Callable[[], None],
        on_refused: Callable[[str, int, str], None],
    ) -> None:
        self.view = view
        self.port = port
        self.clock = clock
        self.fence = 0
        self.clean_fence = 0
        self.lease_until = 0.0
        self.lapse_bound = lapse_bound
        self.clock_sample: tuple[int, float] | None = None
        self.runs: dict[RunKey, RunState] = {}
        self.stored_number = 0
        self.ends: dict[int, EndedRow] = {}
        self.answered_at = clock()
        self.gone = False
        self.on_change = on_change
        self.on_refused = on_refused
        self.pacer = FillerPacer()
        self.look_scope = trio.CancelScope()
        self.silent = False

    def raise_fence(self, fence: int) -> None:
        """Use a higher fence; whatever was sent under a lower one is void."""
        self.fence = fence
        self.look_scope.cancel()

    def grant(self, until: float) -> None:
        """Let runs go on until ``until``, as far as the executor hears of it."""
        self.lease_until = max(self.lease_until, until)

    def is_certain(self, now: float) -> bool:
        """Return whether nothing runs here but what ``runs`` holds."""
        if self.gone or now >= self.lapse_bound:
            return True
        return self.fence > 0 and self.clean_fence == self.fence

    def is_missing(self, now: float) -> bool:
        """Return whether the executor does not answer."""
        return self.gone or now - self.answered_at > MISSING_AFTER_S

    def deadline_ms(self) -> int | None:
        """Return the lease's end on the executor's clock, to be sent to it.

        It is surely not later than the lease. A call that is not answered may yet
        extend the lease.
        """
        if self.clock_sample is None:
            return None
        clock_ms, at = self.clock_sample
        self.lapse_bound = max(self.lapse_bound, self.lease_until + LEASE_MARGIN_S)
        return clock_ms + int((self.lease_until - at) * (1 - CLOCK_DRIFT) * 1000)

    def note_clock(self, clock_ms: int, now: float) -> None:
        """Remember what the executor's clock showed at the latest ``now``."""
        if clock_ms > 0:
            self.clock_sample = (clock_ms, now)
        self.answered_at = now
        self.silent = False

    def used(self) -> tuple[int, int]:
        """Return the thousandths of a core and the MiB that runs take up."""
        known = [run.facts for run in self.runs.values() if run.facts is not None]
        cpu = sum(facts.cpu for facts in known if not facts.best_effort)
        return cpu, sum(facts.memory_mb for facts in known)

    def rows(self) -> list[RunningRow]:
        """Return everything that runs or may yet run."""
        return [
            RunningRow(task, attempt, run.saved, run.percent, run.usage)
            for (task, attempt), run in self.runs.items()
        ]

    def forget_stored(self, number: int) -> None:
        """Drop ends that are stored."""
        self.stored_number = max(self.stored_number, number)
        for listed in [n for n in self.ends if n <= self.stored_number]:
            del self.ends[listed]

    async def look_on(self) -> None:
        """Look at the executor again and again, until it is gone."""
        while not self.gone:
            if self.fence == 0:
                await trio.sleep(REPEATED_LOOK_PAUSE_S)
                continue
            sent_at = self.clock()
            sent_fence = self.fence
            with trio.CancelScope() as self.look_scope:
                news = await self.look(sent_at, sent_fence)
                if not news and self.clock() - sent_at < REPEATED_LOOK_PAUSE_S:
                    await trio.sleep(REPEATED_LOOK_PAUSE_S)

    async def look(self, sent_at: float, fence: int) -> bool:
        """Extend the lease and fold in what the executor lists.

        :returns: whether anything was new.
        """
        wait_s = HOLD_WAIT_S if self.clean_fence == fence else 0.0
        deadline_ms = None if self.is_missing(sent_at) else self.deadline_ms()
        try:
            result = await self.port.hold(
                fence, self.stored_number, deadline_ms, wait_s
            )
        except HttpCallError as error:
            if not self.silent:
                self.silent = True
                events.write(
                    events.EXECUTOR_SILENT, executor=self.view.executor_id, error=error
                )
            await trio.sleep(RETRY_PAUSE_S)
            return False
        if isinstance(result, OrderResult):
            self.take_refusal(result)
            await trio.sleep(RETRY_PAUSE_S)
            return False
        first = self.clean_fence != fence and fence == self.fence
        if fence == self.fence:
            self.clean_fence = fence
        news = self.fold(result, sent_at, self.clock())
        await self.pace_fillers()
        if news or first:
            self.on_change()
        return news

    def take_refusal(self, result: OrderResult) -> None:
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

    def fold(self, result: HoldResult, sent_at: float, now: float) -> bool:
        """Fold in a list of runs and ends; return whether ends are new."""
        self.note_clock(result.clock_ms, now)
        news = False
        for end in result.ended:
            if end.number > self.stored_number and end.number not in self.ends:
                self.ends[end.number] = end
                news = True
            self.runs.pop((end.task, end.attempt), None)
        listed = {(row.task, row.attempt): row for row in result.running}
        for key, row in listed.items():
            run = self.runs.setdefault(key, RunState(None, self.fence, now, sure=True))
            run.sure = True
            run.saved, run.percent, run.usage = row.saved, row.percent, row.usage
        for key, run in list(self.runs.items()):
            resolved = run.sure or run.fence < self.clean_fence
            if key not in listed and resolved and run.listed_after < sent_at:
                del self.runs[key]
                news = True
        return news

    def accept(self, order: messages.StartRun) -> RunState | None:
        """Count a run as possibly running from the moment its order came.

        A report that is made before the executor was called must list it.

        :returns: ``None`` where the order is refused.
        """
        reason = self.refusal(order)
        if reason:
            self.refuse(order, reason)
            return None
        run = RunState(order.properties, self.fence, self.clock(), sure=False)
        self.runs[(order.task, order.attempt)] = run
        return run

    async def start(
        self, order: messages.StartRun, run: RunState, expires_at: float
    ) -> None:
        """Start an accepted run, or make sure that it never starts."""
        key = (order.task, order.attempt)
        fence = run.fence
        maybe_sent = False
        while fence == self.fence and not self.gone and not run.sure:
            deadline_ms = self.deadline_ms()
            if self.clock() >= expires_at or deadline_ms is None:
                await self.give_up(order, maybe_sent)
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
            self.note_clock(result.clock_ms, self.clock())
            if result.outcome is OrderOutcome.ACCEPTED:
                run.listed_after = self.clock()
                run.sure = True
                if order.properties.best_effort:
                    await self.pace_fillers()
                return
            if self.took_effect_before(result, key, maybe_sent):
                return
            self.runs.pop(key, None)
            self.refuse(order, result.outcome.value)
            return

    def took_effect_before(
        self, result: OrderResult, key: RunKey, maybe_sent: bool
    ) -> bool:
        """Return whether a refused repeat shows that an earlier try had run."""
        if result.outcome is not OrderOutcome.OLD_ATTEMPT or not maybe_sent:
            return False
        if key in self.runs:
            self.runs[key].sure = True
            self.runs[key].listed_after = self.clock()
        return True

    def refusal(self, order: messages.StartRun) -> str:
        """Return why a start must not be sent; empty if it may."""
        if (order.task, order.attempt) in self.runs:
            return "known"
        if self.clean_fence != self.fence:
            return "unclean"
        if any(run.facts is None for run in self.runs.values()):
            return "unknown-room"
        cpu, memory_mb = self.used()
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

    async def give_up(self, order: messages.StartRun, maybe_sent: bool) -> None:
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
            self.note_clock(result.clock_ms, self.clock())
            if result.outcome is OrderOutcome.ACCEPTED:
                run = self.runs.get((task, attempt))
                if run is not None and not run.sure:
                    run.sure = True
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

    async def pace_fillers(self) -> None:
        """Slow fillers, or speed them up, by the tails of the serving tasks."""
        known = [(key, run) for key, run in self.runs.items() if run.facts and run.sure]
        serving = [
            ServingLoad(run.facts.image, run.usage, run.facts.target_ms)
            for _key, run in known
            if run.facts.target_ms > 0
        ]
        now = self.clock()
        fillers = {
            key: Filler(
                run.facts.image,
                run.facts.cpu,
                run.pace,
                now - run.began_at,
                is_new=not run.is_paced,
            )
            for key, run in known
            if run.facts.best_effort
        }
        paces = self.pacer.decide(serving, fillers, now)
        for key in fillers:
            self.runs[key].is_paced = True
        for key, percent in paces.items():
            await self.pace(key, percent, serving)

    async def pace(self, key: RunKey, percent: int, serving: list[ServingLoad]) -> None:
        """Give one filler a pace."""
        task, attempt = key
        try:
            result = await self.port.pace(task, attempt, percent, self.fence)
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
