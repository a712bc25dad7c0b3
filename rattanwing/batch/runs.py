"""Control of one incarnation of an executor by its agent.

The agent is the only caller of the executor: every start, stop and lease extension
goes through this module. A call that was not answered may take effect seconds
later, so a run counts as possibly running until the executor answers or lists its runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.ends import ListedEnds
from rattanwing.batch.liveness import (
    GENERATIONS_PER_INCARNATION,
    GENERATIONS_PER_STREAM,
    LATE_CALL_S,
    LATE_RUN_S,
    RunKey,
    StartCall,
    StartCalls,
    call_fence,
)
from rattanwing.batch.pacing import (
    FULL_PERCENT,
    BestEffortPacer,
    BestEffortRun,
    ServingLatency,
)
from rattanwing.batch.ports import (
    ExecutorView,
    OrderOutcome,
    OrderResult,
    PollResult,
    RunningRow,
)
from rattanwing.batch.timing import CLOCK_DRIFT, LEASE_MARGIN_S
from rattanwing.util.http_client import HttpCallError, NoListenerError
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.batch.ports import ExecutorPort

POLL_WAIT_S = 0.5
"""Longest wait of one poll; each poll extends the lease, so that it is extended at
least twice a second."""

RETRY_PAUSE_S = 0.15
"""Pause before a call that was not answered is repeated; calls stay on one machine."""

POLL_PAUSE_S = 0.03
"""Pause after a poll that was answered at once and listed nothing new."""

UNREACHABLE_AFTER_S = 1.5
"""An executor that has not answered for this long counts as unreachable and gets no new
runs."""

CONFIRMED_FOR_S = 0.75
"""Time in seconds after the answer to a poll for which the same incarnation is taken to
be there; longer than a poll waits. A call that fails ends it at once."""

CLOCK_ROUNDING_MS = 2
"""Difference in milliseconds by which two readings of an executor's clock may be too
close or too far apart, as each is rounded down."""

BROKEN_WITHIN_S = 0.3
"""A poll that fails within this time in seconds after the end of its wait has lost its
connection; one that times out takes longer."""


class AgentRun:
    """A run that is, or may be, running on the executor, as its agent sees it.

    :param properties: properties of its task; ``None`` for a run that an earlier
        process of this agent started, until the owner has sent them.
    :param fence: the fence under which it was ordered.
    :param checkpoint: newest checkpoint that the executor has listed.
    :param measurement: see :class:`~rattanwing.batch.ports.RunningRow`.
    :param pace: percentage of its full speed that a best-effort run may reach.
    :param pace_known: whether the executor is known to apply ``pace``; otherwise it may
        apply a lower one.
    :param pace_may_change_until: time until which a pace call without an answer may
        take effect, also after later calls.
    :param may_be_unlisted_until: a poll sent up to this time may not list the run yet.
    :param known_to_executor: whether an answer or a listing of the executor has shown
        that it received the run's start or stop.
    :param maybe_sent: whether a call may have brought its start to an executor.
    :param listed: whether this incarnation of the executor has listed it.
    :param known_since: when the executor first answered that it runs, or listed it;
        ``None`` before.
    :param first_seen_at: when the agent first recorded it.
    :param pace_decided: whether a best-effort run has been given its first pace.
    """

    __slots__ = (
        "properties",
        "fence",
        "checkpoint",
        "progress_percent",
        "measurement",
        "pace",
        "pace_known",
        "pace_may_change_until",
        "may_be_unlisted_until",
        "known_to_executor",
        "maybe_sent",
        "listed",
        "known_since",
        "first_seen_at",
        "pace_decided",
    )

    def __init__(
        self,
        properties: messages.TaskProperties | None,
        fence: int,
        now: float,
        known_to_executor: bool,
    ) -> None:
        self.properties = properties
        self.fence = fence
        self.checkpoint = ""
        self.progress_percent = 0
        self.measurement = 0
        self.pace = FULL_PERCENT
        self.pace_known = not known_to_executor
        self.pace_may_change_until = now
        self.may_be_unlisted_until = now
        self.known_to_executor = known_to_executor
        self.maybe_sent = known_to_executor
        self.listed = False
        self.known_since: float | None = None
        self.first_seen_at = now
        self.pace_decided = False

    def confirm(self, now: float) -> None:
        """Record an answer which shows that the executor runs it."""
        self.known_to_executor = True
        if self.known_since is None:
            self.known_since = now

    def survived_s(self, last_up_at: float) -> float:
        """Return for how long the executor is known to have run it, in seconds.

        :param last_up_at: latest time at which the executor is known to have been up.
        """
        if self.known_since is None:
            return 0.0
        return max(0.0, last_up_at - self.known_since)


class ExecutorRuns:
    """Carries out orders on one incarnation of an executor.

    :param fence: the fence of the current owner's stream.
    :param generation: see :func:`~rattanwing.batch.liveness.call_fence`.
    :param listed_fence: the latest fence under which the executor has listed its
        runs; no order of an older fence can start a run after that.
    :param lease_until: end of the lease granted by the owner, on the agent's clock.
    :param leases_end_by: latest end of any lease on this executor, with margin.
    :param clock_sample: the executor's clock in milliseconds and the agent's clock
        when the answer with it arrived.
    :param ends: see :class:`~rattanwing.batch.ends.ListedEnds`.
    :param confirmed_at: when this incarnation last answered a poll; negative infinity
        after a call has failed.
    :param failed_call_at: when a call last failed.
    :param absent_at: when the last poll was sent that found no process listening at the
        executor's address; negative infinity if none did.
    :param start_calls: see :class:`~rattanwing.batch.liveness.StartCalls`.
    :param late_reported: runs that the newest report has marked as started by a call
        without an answer.
    :param failed_at: time of the first call that failed after the last answer, ``None``
        if there was none.
    :param broken: whether that call failed because its connection broke.
    :param exited: whether this incarnation of the executor has exited.
    :param replaced: whether another object controls the executor that is there now.
    :param restarted_under_id: whether an incarnation with the same id has taken its
        place.
    :param crash_recorded: whether its crash has been recorded for the owner.
    :param replaces_listed: whether it has replaced an incarnation that this process
        of the agent has had a listing of.
    :param on_change: called when runs have ended or the set of runs has changed.
    :param on_refused: called with task, attempt and reason of a refused start.
    :param silence_logged: whether the executor's current silence has been logged.
    """

    __slots__ = (
        "view",
        "executor",
        "clock",
        "fence",
        "generation",
        "listed_fence",
        "lease_until",
        "leases_end_by",
        "clock_sample",
        "runs",
        "ends",
        "answered_at",
        "confirmed_at",
        "failed_call_at",
        "absent_at",
        "start_calls",
        "late_reported",
        "failed_at",
        "broken",
        "exited",
        "replaced",
        "restarted_under_id",
        "crash_recorded",
        "replaces_listed",
        "on_change",
        "on_refused",
        "pacer",
        "poll_scope",
        "silence_logged",
    )

    def __init__(
        self,
        view: ExecutorView,
        executor: ExecutorPort,
        clock: Callable[[], float],
        leases_end_by: float,
        on_change: Callable[[], None],
        on_refused: Callable[[str, int, str], None],
    ) -> None:
        self.view = view
        self.executor = executor
        self.clock = clock
        self.fence = 0
        self.generation = 0
        self.listed_fence = 0
        self.lease_until = 0.0
        self.leases_end_by = leases_end_by
        self.clock_sample: tuple[int, float] | None = None
        self.runs: dict[RunKey, AgentRun] = {}
        self.ends = ListedEnds()
        self.answered_at = clock()
        self.confirmed_at = float("-inf")
        self.failed_call_at = float("-inf")
        self.absent_at = float("-inf")
        self.start_calls = StartCalls()
        self.late_reported: set[RunKey] = set()
        self.failed_at: float | None = None
        self.broken = False
        self.exited = False
        self.replaced = False
        self.restarted_under_id = False
        self.crash_recorded = False
        self.replaces_listed = False
        self.on_change = on_change
        self.on_refused = on_refused
        self.pacer = BestEffortPacer()
        self.poll_scope = trio.CancelScope()
        self.silence_logged = False

    def set_fence(self, fence: int, generation: int = 0) -> None:
        """Switch to a later owner's fence; the executor will refuse earlier ones."""
        self.fence = fence
        self.generation = generation
        self.poll_scope.cancel()

    def extend_lease(self, until: float) -> None:
        """Extend the lease; the next poll passes it on to the executor."""
        self.lease_until = max(self.lease_until, until)

    def is_complete(self, now: float) -> bool:
        """Return whether ``runs`` lists everything that may be running here.

        After an exit nothing is known of the executor that is there instead, until
        that one has announced itself.
        """
        if now >= self.leases_end_by:
            return True
        return not self.exited and self.fence > 0 and self.listed_fence == self.fence

    def is_known(self) -> bool:
        """Return whether the executor is known to be the one that is there."""
        return not self.exited and (self.listed_fence > 0 or self.replaces_listed)

    def may_have_run(self) -> bool:
        """Return whether an answer has shown this incarnation, or a run may have."""
        sent = any(run.maybe_sent for run in self.runs.values())
        return self.listed_fence > 0 or self.replaces_listed or sent

    def is_confirmed(self, now: float) -> bool:
        """Return whether calls surely reach this incarnation.

        An executor that starts again under its id accepts calls that are meant for its
        earlier incarnation. Its ends and its clock begin anew, so acknowledgements and
        deadlines are sent, and runs started, only after a poll has confirmed that this
        incarnation is there.
        """
        return now - self.confirmed_at <= CONFIRMED_FOR_S

    def record_unconfirmed(self) -> None:
        """Note after a failed call that the executor may have been replaced."""
        self.confirmed_at = float("-inf")
        self.failed_call_at = self.clock()

    def record_exit(self) -> None:
        """Note that another incarnation is there."""
        self.exited = True
        self.on_change()

    def has_generation(self) -> bool:
        """Return whether the stream's generations suffice for this incarnation.

        Otherwise nothing is called before the next stream.
        """
        return self.generation < GENERATIONS_PER_STREAM - 1

    def succeed(self, previous: ExecutorRuns, now: float) -> None:
        """Take over what calls for the previous incarnation may have started here.

        These runs are listed until this incarnation has answered a poll. Its fence is
        higher than that of any such call.

        :param previous: the earlier incarnation of an executor with the same id.
        """
        self.leases_end_by = max(self.leases_end_by, previous.leases_end_by)
        self.start_calls = previous.start_calls
        taken = {
            key: run.properties
            for key, run in previous.runs.items()
            if previous.may_outlive(key, run)
        }
        for key, call in self.start_calls.outstanding(now).items():
            taken.setdefault(key, call.properties)
        for key, properties in taken.items():
            run = AgentRun(properties, 0, now, known_to_executor=False)
            run.maybe_sent = True
            run.may_be_unlisted_until = float("-inf")
            self.runs[key] = run
        if previous.fence == self.fence:
            following = previous.generation + GENERATIONS_PER_INCARNATION
            self.generation = max(self.generation, following)

    def may_outlive(self, key: RunKey, run: AgentRun) -> bool:
        """Return whether the next incarnation under the same id may start a run."""
        if not run.maybe_sent:
            return False
        return not run.listed or key in self.start_calls.outstanding(self.clock())

    def accepts_no_runs(self, now: float) -> bool:
        """Return whether the owner must place no runs here, as it reports."""
        return self.is_unreachable(now) or self.listed_fence != self.fence

    def is_unreachable(self, now: float) -> bool:
        """Return whether the executor has exited or stopped answering."""
        return self.exited or now - self.answered_at > UNREACHABLE_AFTER_S

    def deadline_ms(self) -> int | None:
        """Return the lease's end on the executor's clock, in milliseconds.

        The remaining time is shortened by the greatest clock drift, so that a slow
        executor clock reaches the deadline before the lease ends. ``leases_end_by``
        is advanced here, because a call may take effect although it has no answer.

        :returns: ``None`` if the executor's clock is not known yet.
        """
        if self.clock_sample is None:
            return None
        clock_ms, at = self.clock_sample
        self.leases_end_by = max(self.leases_end_by, self.lease_until + LEASE_MARGIN_S)
        return clock_ms + int((self.lease_until - at) * (1 - CLOCK_DRIFT) * 1000)

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Record an answer received at ``now``, and its clock reading if it has one."""
        if clock_ms > 0:
            self.clock_sample = (clock_ms, now)
        self.answered_at = now
        self.silence_logged = False
        if self.failed_at is not None:
            self.failed_at = None
            self.on_change()

    def record_failure(self, now: float, broken: bool) -> None:
        """Record a call that failed; the first one since the last answer is reported.

        :param broken: whether its connection broke, as it does when the executor
            crashes.
        """
        if self.failed_at is None:
            self.failed_at = now
            self.broken = broken
            self.on_change()

    def record_order_answer(self, result: OrderResult, sent_at: float) -> None:
        """Record an answer to an order, if it surely comes from this incarnation.

        :param sent_at: time of the call.
        """
        now = self.clock()
        refused = result.outcome is OrderOutcome.OTHER_INCARNATION
        behind = self.is_clock_behind(result.clock_ms, sent_at)
        if not refused and not behind and self.is_confirmed(now):
            self.record_clock(result.clock_ms, now)

    def is_clock_behind(self, clock_ms: int, sent_at: float) -> bool:
        """Return whether an answer's clock is behind that of this incarnation.

        The next incarnation under the id has then answered, as its clock begins anew;
        answers to orders don't name theirs.

        :param clock_ms: the executor's clock in the answer; 0 if it is not known.
        :param sent_at: time of the call.
        """
        if self.clock_sample is None or clock_ms <= 0:
            return False
        known_ms, known_at = self.clock_sample
        since_s = sent_at - known_at
        slowest = 1 - CLOCK_DRIFT if since_s > 0 else 1.0
        return clock_ms < known_ms + since_s * slowest * 1000 - CLOCK_ROUNDING_MS

    def used_resources(self) -> tuple[int, int, int]:
        """Return the thousandths of a core, megabytes and accelerators in use.

        All runs reserve them, also those that are being stopped.

        Best-effort runs reserve memory, but no CPU.
        """
        known = [
            run.properties for run in self.runs.values() if run.properties is not None
        ]
        cpu = sum(properties.cpu for properties in known if not properties.best_effort)
        memory_mb = sum(properties.memory_mb for properties in known)
        accelerators = sum(properties.accelerators for properties in known)
        return cpu, memory_mb, accelerators

    def running_rows(self) -> list[RunningRow]:
        """Return a row for each run that is or may be running."""
        return [
            RunningRow(
                task,
                attempt,
                run.checkpoint,
                run.progress_percent,
                run.measurement,
            )
            for (task, attempt), run in self.runs.items()
        ]

    def late_rows(self, now: float) -> list[RunningRow]:
        """Return the rows of runs that may exist although every lease has lapsed.

        A late call may start them if the executor has started again under its id; one
        with another id refuses the call. Once the call can't be carried out any more,
        they exist only if the executor is there.
        """
        if self.exited and not self.restarted_under_id:
            return []
        late = {
            key
            for key, call in self.start_calls.outstanding(now, LATE_RUN_S).items()
            if not call.is_ruled_out(self.absent_at)
        }
        return [row for row in self.running_rows() if (row.task, row.attempt) in late]

    def report_late_starts(self, now: float) -> list[bool]:
        """Return for each row of :meth:`running_rows` whether it may start late.

        A run that is not known to the executor may: its first call may follow the
        report. What is returned is recorded as reported.
        """
        late = self.start_calls.outstanding(now, LATE_RUN_S)
        flags = [
            key in late or not run.known_to_executor for key, run in self.runs.items()
        ]
        self.late_reported = {
            key for key, flag in zip(self.runs, flags, strict=True) if flag
        }
        return flags

    def check_late_start(self, key: RunKey) -> None:
        """Request a report if the newest one is wrong about a start call."""
        if (key in self.start_calls.calls) != (key in self.late_reported):
            self.on_change()

    def survival_times_s(self) -> list[float]:
        """Return for each row of :meth:`running_rows` how long it is known to run."""
        return [
            round(run.survived_s(self.answered_at), 3) for run in self.runs.values()
        ]

    def crashed_runs(self) -> list[messages.CrashedRun]:
        """Return the runs that ended, or may have, if this incarnation has crashed."""
        broke = self.broken and self.failed_at is not None
        return [
            messages.CrashedRun(
                task,
                attempt,
                round(run.survived_s(self.answered_at), 3),
                not (
                    self.restarted_under_id and self.may_outlive((task, attempt), run)
                ),
                run.known_since is not None,
                round(run.survived_s(self.failed_at), 3) if broke else 0.0,
            )
            for (task, attempt), run in self.runs.items()
            if run.maybe_sent
        ]

    async def poll_loop(self) -> None:
        """Poll the executor until this incarnation has exited.

        One that has started again under its id is polled under the next fence until it
        has announced itself, so that it refuses the calls for this incarnation.
        """
        while not self.exited:
            if self.fence == 0:
                await trio.sleep(POLL_PAUSE_S)
                continue
            sent_at = self.clock()
            sent_fence = self.fence
            with trio.CancelScope() as self.poll_scope:
                changed = await self.poll(sent_at, sent_fence)
                at_once = changed or self.may_acknowledge()
                if not at_once and self.clock() - sent_at < POLL_PAUSE_S:
                    await trio.sleep(POLL_PAUSE_S)
        while self.restarted_under_id and not self.replaced:
            with trio.CancelScope() as self.poll_scope:
                await self.fence_successor()
                await trio.sleep(RETRY_PAUSE_S)

    async def fence_successor(self) -> None:
        """Raise the fence of the next incarnation, unless that has another id."""
        fence = call_fence(self.fence, self.generation + 1)
        sent_at = self.clock()
        try:
            result = await self.executor.poll(fence, 0, None, 0.0)
        except HttpCallError as error:
            self.record_absence(error, sent_at)
            self.log_silence(error)
            return
        self.silence_logged = False
        if isinstance(result, OrderResult):
            other = result.outcome is OrderOutcome.OTHER_INCARNATION
            self.restarted_under_id = not other

    def record_absence(self, error: HttpCallError, sent_at: float) -> None:
        """Record a poll if it found no process listening at the executor's address."""
        if isinstance(error, NoListenerError):
            self.absent_at = sent_at

    def log_silence(self, error: HttpCallError) -> None:
        """Log the first failed call after an answer."""
        if self.silence_logged:
            return
        self.silence_logged = True
        events.write(
            events.EXECUTOR_SILENT, executor=self.view.executor_id, error=error
        )

    def may_acknowledge(self) -> bool:
        """Return whether the next poll acknowledges ends, if it is confirmed.

        A start on its way may reach the next incarnation as well, and its run's end
        would be dropped there.
        """
        return self.ends.to_acknowledge > 0 and not self.start_calls.in_flight

    async def poll(self, sent_at: float, fence: int) -> bool:
        """Extend the lease and apply the executor's listing.

        Ends are acknowledged at once after a listing that contains them, and only then:
        an executor that has meanwhile started again under its id would drop its own
        ends of these numbers before they are listed.

        :param sent_at: time of the call.
        :param fence: the fence at that time.
        :returns: whether another poll follows at once: ends were added or acknowledged,
            or runs removed.
        """
        confirmed = self.is_confirmed(sent_at)
        acknowledges = self.may_acknowledge() and confirmed
        acknowledged = self.ends.take_acknowledgement() if acknowledges else 0
        can_wait = confirmed and not acknowledged and self.listed_fence == fence
        can_wait = can_wait and not self.ends.is_overdue(sent_at)
        wait_s = POLL_WAIT_S if can_wait else 0.0
        try:
            result = await self.call_poll(sent_at, fence, acknowledged, wait_s)
        except HttpCallError as error:
            self.record_absence(error, sent_at)
            self.record_unconfirmed()
            self.log_silence(error)
            now = self.clock()
            self.record_failure(now, now - sent_at <= wait_s + BROKEN_WITHIN_S)
            await trio.sleep(RETRY_PAUSE_S)
            return False
        if self.exited:
            return False
        if isinstance(result, OrderResult):
            self.handle_poll_refusal(result)
            await trio.sleep(RETRY_PAUSE_S)
            return False
        if self.is_from_another(result):
            self.restarted_under_id = True
            self.handle_poll_refusal(OrderResult(OrderOutcome.OTHER_INCARNATION))
            return False
        if sent_at > self.failed_call_at:
            self.confirmed_at = self.clock()
        current = fence == self.fence and result.lists_all_ends
        first = current and self.listed_fence != fence
        if current:
            self.listed_fence = fence
        changed = self.apply_listing(result, sent_at, self.clock())
        if not self.may_acknowledge():
            await self.pace_best_effort_runs()
        if changed or first:
            self.on_change()
        return changed or acknowledged > 0

    async def call_poll(
        self, sent_at: float, fence: int, acknowledged: int, wait_s: float
    ) -> PollResult | OrderResult:
        """Poll the executor; extend its lease if it is confirmed.

        :param acknowledged: ends up to this number are acknowledged; 0 for none.
        """
        deadline_ms = self.deadline_ms() if self.is_confirmed(sent_at) else None
        fence = call_fence(fence, self.generation)
        if not acknowledged:
            return await self.executor.poll(fence, 0, deadline_ms, wait_s)
        with self.ends.acknowledging():
            return await self.executor.poll(fence, acknowledged, deadline_ms, wait_s)

    def is_from_another(self, result: PollResult | OrderResult) -> bool:
        """Return whether another incarnation with the same id has answered a poll."""
        return isinstance(result, PollResult) and (
            result.incarnation not in ("", self.view.incarnation)
        )

    def handle_poll_refusal(self, result: OrderResult) -> None:
        """Handle a refused poll; ``OTHER_INCARNATION`` shows that this one exited."""
        now = self.clock()
        if result.outcome is OrderOutcome.OTHER_INCARNATION:
            self.record_exit()
        elif self.is_confirmed(now):
            self.answered_at = now
        events.write(
            events.ORDER_REFUSED,
            executor=self.view.executor_id,
            order="hold",
            fence=self.fence,
            outcome=result.outcome.value,
        )

    def apply_listing(self, result: PollResult, sent_at: float, now: float) -> bool:
        """Apply a listing; return whether ends were added or runs removed."""
        self.record_clock(result.clock_ms, now)
        changed = self.ends.apply_listing(result.ended, now)
        for end in result.ended:
            self.runs.pop((end.task, end.attempt), None)
        listed = {(row.task, row.attempt): row for row in result.running}
        for key, row in listed.items():
            run = self.runs.setdefault(
                key, AgentRun(None, self.fence, now, known_to_executor=True)
            )
            run.listed = run.maybe_sent = True
            run.confirm(now)
            run.checkpoint, run.progress_percent, run.measurement = (
                row.checkpoint,
                row.progress_percent,
                row.measurement,
            )
        if not result.lists_all_ends:
            return changed
        for key, run in list(self.runs.items()):
            resolved = run.known_to_executor or run.fence < self.listed_fence
            if key not in listed and resolved and run.may_be_unlisted_until < sent_at:
                del self.runs[key]
                changed = True
        return changed

    def admit(self, order: messages.StartRun) -> AgentRun | None:
        """Record a run as possibly running as soon as its order has arrived.

        A report sent before the executor has been called must already list the run.

        :returns: ``None`` if the order is refused.
        """
        reason = self.refusal_reason(order)
        if reason:
            self.refuse(order, reason)
            return None
        run = AgentRun(
            order.properties, self.fence, self.clock(), known_to_executor=False
        )
        self.runs[(order.task, order.attempt)] = run
        return run

    async def start(
        self, order: messages.StartRun, run: AgentRun, expires_at: float
    ) -> None:
        """Start an admitted run, or make sure that it never starts.

        :param expires_at: when the order expires, on the agent's clock.
        """
        key = (order.task, order.attempt)
        fence = run.fence
        while fence == self.fence and not self.exited and not run.known_to_executor:
            now = self.clock()
            if now >= expires_at:
                await self.abandon_start(order, run.maybe_sent)
                return
            if not self.ends.answered.is_set():
                await self.ends.answered.wait()
                continue
            if self.ends.is_overdue(now):
                await trio.sleep(POLL_PAUSE_S)
                continue
            deadline_ms = self.deadline_ms() if self.is_confirmed(now) else None
            if deadline_ms is None:
                await trio.sleep(POLL_PAUSE_S)
                continue
            sent_before = run.maybe_sent
            run.maybe_sent = True
            call = StartCall(order.properties, now)
            self.start_calls.send(key, call)
            try:
                with self.start_calls.sending():
                    result = await self.executor.start(
                        order.task,
                        order.attempt,
                        order.text,
                        order.checkpoint,
                        order.ticket,
                        deadline_ms,
                        call_fence(fence, self.generation),
                    )
            except HttpCallError as error:
                self.record_unconfirmed()
                if error.verdict is Verdict.NOT_RUN:
                    run.maybe_sent = sent_before
                    self.start_calls.settle(key, call)
                self.check_late_start(key)
                await trio.sleep(RETRY_PAUSE_S)
                continue
            if self.is_clock_behind(result.clock_ms, now):
                # Its lease is on another clock, and may be longer than is known here.
                events.write(
                    events.ANSWER_OF_SUCCESSOR,
                    task=order.task,
                    attempt=order.attempt,
                    incarnation=self.view.incarnation,
                    clock_ms=result.clock_ms,
                    outcome=result.outcome.value,
                )
                self.record_unconfirmed()
                self.check_late_start(key)
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self.start_calls.settle(key, call)
            self.check_late_start(key)
            self.record_order_answer(result, now)
            if fence != self.fence or self.runs.get(key) is not run:
                return
            if result.outcome is OrderOutcome.ACCEPTED:
                run.may_be_unlisted_until = self.clock()
                run.confirm(self.clock())
                events.write(
                    events.EXECUTOR_STARTED_RUN,
                    task=order.task,
                    attempt=order.attempt,
                    incarnation=self.view.incarnation,
                    order_number=order.number,
                    fence=fence,
                )
                if order.properties.best_effort:
                    await self.pace_best_effort_runs()
                return
            if self.is_settled_by_earlier_try(result, run, sent_before):
                return
            if sent_before and result.outcome is not OrderOutcome.OTHER_INCARNATION:
                # The unanswered call may take effect after this refusal.
                await self.stop(order.task, order.attempt)
                return
            self.runs.pop(key, None)
            self.refuse(order, result.outcome.value)
            if result.outcome is OrderOutcome.OTHER_INCARNATION:
                self.record_exit()
            return
        if self.exited and fence == self.fence and not run.maybe_sent:
            self.refuse(order, "executor-gone")

    def is_settled_by_earlier_try(
        self, result: OrderResult, run: AgentRun, sent_before: bool
    ) -> bool:
        """Return whether an earlier try, which was not answered, has settled the start.

        The executor then refuses the repeat with ``OLD_ATTEMPT``; its next listing
        shows whether the run has started.
        """
        if result.outcome is not OrderOutcome.OLD_ATTEMPT or not sent_before:
            return False
        run.known_to_executor = True
        run.may_be_unlisted_until = self.clock()
        return True

    def refusal_reason(self, order: messages.StartRun) -> str:
        """Return the reason to refuse a start order; empty if there is none."""
        if (order.task, order.attempt) in self.runs:
            return "known"
        if self.listed_fence != self.fence:
            return "unclean"
        if any(run.properties is None for run in self.runs.values()):
            return "unknown-room"
        cpu, memory_mb, accelerators = self.used_resources()
        if (
            not order.properties.best_effort
            and cpu + order.properties.cpu > self.view.cpu
        ):
            return "no-cpu"
        if memory_mb + order.properties.memory_mb > self.view.memory_mb:
            return "no-memory"
        if accelerators + order.properties.accelerators > self.view.accelerators:
            return "no-accelerator"
        return ""

    def refuse(self, order: messages.StartRun, reason: str) -> None:
        """Log the refusal of a start order and report it to the owner."""
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
        """Give up a start that was not answered before its order expired.

        If a call may have reached the executor, the run is stopped.
        """
        if maybe_sent:
            await self.stop(order.task, order.attempt)
            return
        self.runs.pop((order.task, order.attempt), None)
        self.refuse(order, "unanswered")

    async def stop(self, task: str, attempt: int) -> None:
        """Stop a run; repeat the call until the executor has accepted or fenced it."""
        fence = self.fence
        while fence == self.fence and not self.exited:
            sent_at = self.clock()
            try:
                result = await self.executor.stop(
                    task, attempt, call_fence(fence, self.generation)
                )
            except HttpCallError:
                self.record_unconfirmed()
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self.record_order_answer(result, sent_at)
            if result.outcome is OrderOutcome.ACCEPTED:
                run = self.runs.get((task, attempt))
                if run is not None and not run.known_to_executor:
                    run.known_to_executor = True
                    run.may_be_unlisted_until = self.clock()
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
            if result.outcome is OrderOutcome.OTHER_INCARNATION:
                self.record_exit()
            await trio.sleep(RETRY_PAUSE_S)

    async def pace_best_effort_runs(self) -> None:
        """Set the paces of best-effort runs from the serving tasks' tail latencies."""
        known = [
            (key, run)
            for key, run in self.runs.items()
            if run.properties and run.known_to_executor
        ]
        serving = [
            ServingLatency(
                run.properties.image,
                run.measurement,
                run.properties.target_ms,
                run.properties.cpu,
            )
            for _key, run in known
            if run.properties.target_ms > 0
        ]
        now = self.clock()
        best_effort = {
            key: BestEffortRun(
                run.properties.image,
                run.properties.cpu,
                run.pace,
                now - run.first_seen_at,
                is_new=not run.pace_decided,
                pace_known=run.pace_known,
            )
            for key, run in known
            if run.properties.best_effort
        }
        others_cpu = sum(
            run.properties.cpu
            for _key, run in known
            if not run.properties.best_effort and run.properties.target_ms <= 0
        )
        cpu = self.view.cpu - others_cpu
        paces = self.pacer.decide(serving, best_effort, now, cpu)
        causes = self.pacer.causes
        for key in best_effort:
            self.runs[key].pace_decided = True
        for key, percent in paces.items():
            await self.set_pace(key, percent, serving, causes.get(key, ""))

    async def set_pace(
        self,
        key: RunKey,
        pace_percent: int,
        serving: list[ServingLatency],
        cause: str,
    ) -> None:
        """Set the pace of one best-effort run.

        :param cause: what reduced the pace, empty if nothing did.
        """
        task, attempt = key
        try:
            result = await self.executor.set_pace(
                task, attempt, pace_percent, call_fence(self.fence, self.generation)
            )
        except HttpCallError as error:
            self.record_unconfirmed()
            events.write(events.EXECUTOR_SILENT, task=task, error=error)
            run = self.runs.get(key)
            if run is not None and error.verdict is not Verdict.NOT_RUN:
                run.pace = max(run.pace, pace_percent)
                run.pace_known = False
                run.pace_may_change_until = self.clock() + LATE_CALL_S
            return
        run = self.runs.get(key)
        if result.outcome is not OrderOutcome.ACCEPTED or run is None:
            return
        if run.pace != pace_percent or not run.pace_known:
            events.write(
                events.RUN_PACE_CHANGED,
                task=task,
                attempt=attempt,
                before=run.pace,
                percent=pace_percent,
                cause=cause,
                tails=[(load.tail_ms, load.target_ms) for load in serving],
            )
        run.pace = pace_percent
        run.pace_known = self.clock() >= run.pace_may_change_until
