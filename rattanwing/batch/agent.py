"""The agent: carries out the owner's orders and reports on its executor."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import trio

from rattanwing import events
from rattanwing.batch import messages, records
from rattanwing.batch.liveness import GENERATIONS_PER_INCARNATION, LATE_RUN_S
from rattanwing.batch.ports import AppendStamp
from rattanwing.batch.runs import ExecutorRuns
from rattanwing.batch.suspicion import SURVIVAL_S
from rattanwing.batch.timing import LEASE_MARGIN_S, TASK_LEASE_S
from rattanwing.errors import (
    LogConditionError,
    LogSequenceError,
    LogUnavailableError,
    PeerLostError,
    ProtocolError,
)
from rattanwing.peer.session import PeerSession

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from rattanwing.batch.ports import ExecutorPort, ExecutorView
    from rattanwing.batch.writer import RecordWriter
    from rattanwing.peer.stream import ByteMessageStream

REPORT_INTERVAL_S = 0.5
"""Longest time between two reports; the owner closes a stream that has been silent
for six of them."""

REGISTER_INTERVAL_S = 2.0
"""An agent that has not heard from an owner for this long writes its address again,
because its record may have been deleted. The interval is a little longer than
a change of owner usually takes."""

MAX_UNSTORED_CRASHES = 32
"""Most crashes of executors that may wait until the owner has stored them."""

MAX_SUSPECTS_LOGGED = 20
"""Most tasks that are named in the log line about a crash."""

UNREGISTER_TIMEOUT_S = 1.0
"""Longest wait for the store when an agent stops. If it does not answer, the owner
deletes the address later."""

UNREGISTER_RETRY_PAUSE_S = 0.05
"""Pause before a deletion that was not accepted is tried again; about ten round trips
to the store."""


class OwnerSession:
    """The stream from the owner whose orders this agent carries out.

    :param last_order: number of the last order received on the stream.
    :param generation: highest generation that was given to an incarnation on the
        stream; it never falls, so that each has a higher one than all before.
    """

    __slots__ = ("epoch", "fence", "session", "last_order", "generation")

    def __init__(self, epoch: int, fence: int) -> None:
        self.epoch = epoch
        self.fence = fence
        self.session: PeerSession | None = None
        self.last_order = 0
        self.generation = 0

    def rank(self) -> tuple[int, int]:
        """Return a sort key; the later of two owners' streams has the greater one."""
        return self.epoch, self.fence


class UnstoredCrash:
    """The crash of an incarnation that the owner has not stored yet.

    :param failed_at: time of the first call that it did not answer, or of its last
        answer if there was no such call.
    :param broken: whether that call lost its connection, as in a crash.
    :param sent: whether it was sent on the owner's current stream.
    """

    __slots__ = ("incarnation", "failed_at", "broken", "runs", "sent")

    def __init__(self, executor: ExecutorRuns) -> None:
        self.incarnation = executor.view.incarnation
        failed_at = executor.failed_at
        self.failed_at = executor.answered_at if failed_at is None else failed_at
        self.broken = failed_at is not None and executor.broken
        self.runs = executor.crashed_runs()
        self.sent = False


class BatchAgent:
    """Serves one owner and controls one executor at a time.

    :param connect: returns the client of an executor.
    :param started_at: when this agent's process started, on its clock.
    :param changed: set when a report should be sent at once.
    :param last_contact_at: when the owner last connected or sent a message.
    :param last_end_sent: highest number of an end that was sent on the owner's
        stream.
    :param executor_exited: whether an executor has announced its exit.
    :param departed: by id, the last incarnation of each other executor some of whose
        start calls may still be carried out.
    :param crashes: crashes that the owner has not stored yet, by incarnation.
    """

    __slots__ = (
        "clock",
        "connect",
        "executor",
        "owner",
        "started_at",
        "changed",
        "last_contact_at",
        "nursery",
        "last_end_sent",
        "executor_exited",
        "departed",
        "crashes",
    )

    def __init__(
        self,
        clock: Callable[[], float],
        connect: Callable[[ExecutorView], ExecutorPort],
    ) -> None:
        self.clock = clock
        self.connect = connect
        self.executor: ExecutorRuns | None = None
        self.owner: OwnerSession | None = None
        self.started_at = clock()
        self.changed = trio.Event()
        self.last_contact_at = 0.0
        self.nursery: trio.Nursery | None = None
        self.last_end_sent = 0
        self.executor_exited = False
        self.departed: dict[str, ExecutorRuns] = {}
        self.crashes: dict[str, UnstoredCrash] = {}

    def request_report(self) -> None:
        """Have the next report sent at once."""
        self.changed.set()

    def handle_announcement(self, view: ExecutorView) -> None:
        """Update the executor's description, or switch to its new incarnation.

        Only one incarnation runs on a machine, so the previous one has exited. An
        announcement alone does not show that; see
        :class:`rattanwing.batch.announcements.Announcements`.

        :param view: an executor that is there, or the first that was announced.
        """
        current = self.executor
        if current is not None and current.view.incarnation == view.incarnation:
            if current.view.draining != view.draining:
                events.write(
                    events.EXECUTOR_DRAINING,
                    executor=view.executor_id,
                    draining=view.draining,
                    remaining_ms=view.remaining_ms,
                )
                self.request_report()
            if view.capacity() != current.view.capacity():
                events.write(
                    events.EXECUTOR_CAPACITY_CHANGED,
                    executor=view.executor_id,
                    before=current.view.capacity(),
                    cpu=view.cpu,
                    memory_mb=view.memory_mb,
                    accelerators=view.accelerators,
                )
                self.request_report()
            if view.address != current.view.address and not current.listed_fence:
                current.executor = self.connect(view)
            current.view = view
            return
        if current is not None:
            current.exited = current.replaced = True
            current.restarted_under_id = current.view.executor_id == view.executor_id
            current.poll_scope.cancel()
            self.record_crash(current)
        leases_end_by = self.started_at + TASK_LEASE_S + LEASE_MARGIN_S
        self.executor = ExecutorRuns(
            view,
            self.connect(view),
            self.clock,
            leases_end_by,
            self.request_report,
            self.send_refusal,
        )
        self.last_end_sent = 0
        events.write(
            events.EXECUTOR_ANNOUNCED,
            executor=view.executor_id,
            incarnation=view.incarnation,
            cpu=view.cpu,
            memory_mb=view.memory_mb,
        )
        self.replace_executor(current, self.executor)
        if self.nursery is not None:
            self.nursery.start_soon(self.executor.poll_loop)
        self.request_report()

    def replace_executor(
        self, current: ExecutorRuns | None, executor: ExecutorRuns
    ) -> None:
        """Take over from earlier incarnations what may be running on a new one.

        Only an executor with the same id accepts calls that were meant for an earlier
        incarnation.

        :param current: the incarnation that was there until now, ``None`` if none was
            or if it has announced its exit.
        """
        if current is not None:
            executor.replaces_listed = (
                current.listed_fence > 0 or current.replaces_listed
            )
            self.departed[current.view.executor_id] = current
        owner = self.owner
        if owner is not None:
            owner.generation += GENERATIONS_PER_INCARNATION
            executor.set_fence(owner.fence, owner.generation)
        now = self.clock()
        previous = self.departed.pop(executor.view.executor_id, None)
        if previous is not None:
            executor.succeed(previous, now)
        self.departed = {
            executor_id: runs
            for executor_id, runs in self.departed.items()
            if runs.start_calls.outstanding(now, LATE_RUN_S)
        }
        if executor.has_generation():
            return
        executor.set_fence(0)
        if owner is not None and owner.session is not None:
            owner.session.close()

    def handle_exit(self, executor_id: str) -> bool:
        """Remove an executor that has announced its exit, and with it all its runs.

        An executor drains before it exits. If the current one does not, the exit is
        that of an earlier incarnation under its id, announced late.

        :returns: whether an executor was removed.
        """
        current = self.executor
        if current is None or current.view.executor_id != executor_id:
            return False
        if not current.view.draining:
            events.write(
                events.EXIT_IGNORED,
                executor=executor_id,
                incarnation=current.view.incarnation,
            )
            return False
        events.write(events.EXECUTOR_LEFT, executor=executor_id)
        current.exited = current.replaced = True
        current.poll_scope.cancel()
        self.departed[executor_id] = current
        self.executor = None
        self.executor_exited = True
        self.request_report()
        return True

    def record_crash(self, executor: ExecutorRuns) -> None:
        """Record the crash of an incarnation that ended without an announcement.

        One that has never answered a poll may not have been there at all.
        """
        view = executor.view
        if view.draining or executor.crash_recorded or not executor.may_have_run():
            return
        executor.crash_recorded = True
        crash = UnstoredCrash(executor)
        suspects = [run.task for run in crash.runs if run.survived_s < SURVIVAL_S]
        events.write(
            events.EXECUTOR_CRASHED,
            executor=view.executor_id,
            incarnation=view.incarnation,
            silent_s=round(self.clock() - executor.answered_at, 3),
            runs=len(crash.runs),
            just_started=len(suspects),
            tasks=suspects[:MAX_SUSPECTS_LOGGED],
        )
        self.crashes[view.incarnation] = crash
        if len(self.crashes) > MAX_UNSTORED_CRASHES:
            dropped = next(iter(self.crashes))
            del self.crashes[dropped]
            events.write(events.CRASH_DROPPED, incarnation=dropped)

    def send_crashes(self, now: float) -> None:
        """Send the owner the crashes that were not yet sent on its stream."""
        if self.executor is not None and self.executor.exited:
            self.record_crash(self.executor)
        for crash in self.crashes.values():
            if not crash.sent:
                failed_s = round(now - crash.failed_at, 3)
                crash.sent = self.send(
                    messages.ExecutorCrashed(
                        crash.incarnation, now, failed_s, crash.broken, crash.runs
                    )
                )

    async def run(self) -> None:
        """Poll the executor and send reports until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                if self.executor is not None:
                    nursery.start_soon(self.executor.poll_loop)
                await self.run_reports()
        finally:
            self.nursery = None

    async def run_reports(self) -> None:
        """Send a full report after each change, and at least at a fixed interval."""
        reported_at = 0.0
        while True:
            with trio.move_on_after(REPORT_INTERVAL_S):
                await self.changed.wait()
            self.changed = trio.Event()
            self.send_ends()
            reported_at = self.clock()
            self.send_crashes(reported_at)
            self.send_report(reported_at)

    def send_ends(self) -> None:
        """Send the owner the ends of runs that were not yet sent on its stream."""
        if self.executor is None:
            return
        ends = self.executor.ends.unstored
        unsent = sorted(number for number in ends if number > self.last_end_sent)
        if not unsent:
            return
        rows = [ends[number] for number in unsent]
        if self.send(messages.RunsEnded(self.executor.view.incarnation, rows)):
            self.last_end_sent = unsent[-1]

    def send_report(self, now: float) -> None:
        """Send the owner the full state of the executor.

        Without an executor that is known to be there only runs that late calls may have
        started are listed. The list is complete once the leases that may have been
        passed on have lapsed, or once the executor has announced its exit.
        """
        if self.owner is None:
            return
        executor = self.executor
        if executor is None or not executor.is_known():
            lapsed_at = self.started_at + TASK_LEASE_S + LEASE_MARGIN_S
            complete = self.executor_exited or now >= lapsed_at
            late_rows = []
            if executor is not None:
                complete = executor.is_complete(now)
                late_rows = executor.late_rows(now)
            report = messages.HostReport(
                now,
                self.owner.last_order,
                None,
                late_rows,
                complete,
                executor_unreachable=True,
                may_start_late=[True] * len(late_rows),
            )
        else:
            unreachable = executor.is_unreachable(now)
            lapsed = unreachable and now >= executor.leases_end_by
            late_rows = executor.late_rows(now) if lapsed else []
            report = messages.HostReport(
                now,
                self.owner.last_order,
                None if lapsed else executor.view,
                late_rows if lapsed else executor.running_rows(),
                executor.is_complete(now),
                executor.accepts_no_runs(now),
                None
                if executor.failed_at is None
                else round(now - executor.failed_at, 3),
                [] if lapsed else executor.survival_times_s(),
                [True] * len(late_rows) if lapsed else executor.report_late_starts(now),
            )
        self.send(report)

    def send_refusal(self, task: str, attempt: int, reason: str) -> None:
        """Send the owner the refusal of a start order."""
        self.send(messages.RunRefused(task, attempt, reason))

    def send(self, message: messages.Message) -> bool:
        """Send a message to the owner; return whether there is a stream to it."""
        if self.owner is None or self.owner.session is None:
            return False
        try:
            self.owner.session.send(message)
        except PeerLostError:
            return False
        return True

    async def accept(self, stream: ByteMessageStream) -> None:
        """Serve one owner's stream until it ends or a later owner's replaces it."""
        try:
            hello = messages.decode(await stream.receive())
            if not isinstance(hello, messages.OwnerHello):
                raise ProtocolError(
                    f"expected OwnerHello first, got {type(hello).__name__}"
                )
        except (PeerLostError, ProtocolError) as error:
            events.write(events.PEER_MESSAGE_REFUSED, error=error)
            return
        if self.owner and (hello.epoch, hello.fence) <= self.owner.rank():
            events.write(events.OWNER_REFUSED, epoch=hello.epoch, fence=hello.fence)
            with contextlib.suppress(PeerLostError):
                await stream.send(
                    messages.encode(messages.Superseded(self.owner.epoch))
                )
                # Keep the stream open until the other side closes it.
                await stream.receive()
            return
        previous = self.owner
        owner = self.owner = OwnerSession(hello.epoch, hello.fence)
        if previous is not None and previous.session is not None:
            previous.session.close()
        owner.session = PeerSession(
            stream,
            self.clock,
            lambda message: self.handle_message(owner, message),
            messages,
        )
        self.last_end_sent = 0
        for crash in self.crashes.values():
            crash.sent = False
        self.last_contact_at = self.clock()
        events.write(
            events.OWNER_ACCEPTED,
            owner=hello.owner,
            epoch=hello.epoch,
            fence=hello.fence,
        )
        if self.executor is not None:
            self.executor.set_fence(hello.fence)
        self.request_report()
        await owner.session.run()
        events.write(events.PEER_LOST, peer=hello.owner, epoch=hello.epoch)

    def handle_message(self, owner: OwnerSession, message: Any) -> None:
        """Handle one message of an owner; ignore it unless it is the current owner."""
        if owner is not self.owner:
            return
        self.last_contact_at = self.clock()
        executor = self.executor
        match message:
            case messages.LeaseRenewal() if executor is not None:
                executor.extend_lease(message.report_stamp + message.lease_s)
            case messages.StartRun():
                owner.last_order = message.number
                self.handle_start(message)
            case messages.StopRun():
                owner.last_order = message.number
                if executor is not None and self.nursery is not None:
                    self.nursery.start_soon(
                        executor.stop, message.task, message.attempt
                    )
            case messages.EndsStored() if executor is not None:
                if executor.view.incarnation == message.incarnation:
                    executor.ends.drop_stored(message.number)
            case messages.CrashStored():
                self.crashes.pop(message.incarnation, None)
            case messages.RunProperties() if executor is not None:
                run = executor.runs.get((message.task, message.attempt))
                if run is not None and run.properties is None:
                    run.properties = message.properties
            case messages.InterferenceEstimates() if executor is not None:
                executor.pacer.set_interference(message.rows)

    def handle_start(self, order: messages.StartRun) -> None:
        """Start a run in the background, or refuse the order at once."""
        if self.executor is None or self.nursery is None:
            self.send_refusal(order.task, order.attempt, "no-executor")
            return
        # The owner counts this run as lost once it hears of the new executor.
        if order.incarnation != self.executor.view.incarnation:
            self.executor.refuse(order, "other-executor")
            return
        if self.clock() >= order.start_before:
            self.executor.refuse(order, "expired")
            return
        run = self.executor.admit(order)
        if run is not None:
            self.nursery.start_soon(self.executor.start, order, run, order.start_before)


async def unregister(agent: BatchAgent, writer: RecordWriter, node: str) -> None:
    """Delete the agent's address before a stop, if its executor has exited.

    With the address left in the directory, a later owner would wait for this agent
    to connect. The store may carry the deletion out after the next process of the agent
    has registered; it is accepted only while the directory ends where it was read.
    """
    if agent.executor is not None or not agent.executor_exited:
        return
    stamp = AppendStamp(f"{writer.producer}-exit", 1, 1)
    deletion = [(records.AGENT_PREFIX + node, None)]
    topic = records.DIRECTORY_TOPIC
    failing = False
    with trio.move_on_after(UNREGISTER_TIMEOUT_S):
        while True:
            try:
                page = await writer.store.list_newest(topic, deletion[0][0])
                await writer.store.append(topic, deletion, stamp, page.end_offset)
                return
            except LogSequenceError:
                # An earlier attempt, whose answer was lost, was stored.
                return
            except LogConditionError:
                pass
            except LogUnavailableError as error:
                if not failing:
                    reason = f"deletion of the own address: {error}"
                    events.write(events.LOG_UNAVAILABLE, topic=topic, reason=reason)
                failing = True
            await trio.sleep(UNREGISTER_RETRY_PAUSE_S)


async def keep_registered(
    agent: BatchAgent,
    writer: RecordWriter,
    address: records.AgentAddress,
    random: Random,
    sleep: Callable[[float], Awaitable[None]] = trio.sleep,
) -> None:
    """Write the agent's address at the start, and again while no owner connects."""
    key = records.AGENT_PREFIX + address.node
    value = records.encode(address)
    await writer.store_records([(key, value)], None)
    while True:
        await sleep(REGISTER_INTERVAL_S * (1 + random.random()))
        if agent.clock() - agent.last_contact_at > REGISTER_INTERVAL_S:
            await writer.store_records([(key, value)], None)
