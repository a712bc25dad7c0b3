"""The owner's main loop: handles agents' messages, decides, and stores progress."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from rattanwing import events
from rattanwing.batch import messages, records
from rattanwing.batch.connections import AgentConnections
from rattanwing.batch.ownership import FIRST_SEQUENCE_LIMIT, OWNER_PRODUCER
from rattanwing.batch.placement import Constraints
from rattanwing.batch.ports import AppendStamp
from rattanwing.batch.progress import group_records, progress_records
from rattanwing.batch.replica import RETRY_PAUSE_S
from rattanwing.batch.scheduler import Scheduler
from rattanwing.batch.start_budget import DEFAULT_MAX_HELD_TASKS
from rattanwing.batch.timing import TASK_LEASE_S
from rattanwing.batch.unregistering import AddressRemover
from rattanwing.batch.writer import MAX_GROUP_RECORDS
from rattanwing.errors import LogError
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from rattanwing.batch.configuration import CurrentConfiguration
    from rattanwing.batch.connections import Dial
    from rattanwing.batch.freshness import StartGate
    from rattanwing.batch.hosts import Host
    from rattanwing.batch.locality import NearPlaces
    from rattanwing.batch.replica import Directory, TopicReader, WorkReplica
    from rattanwing.batch.writer import RecordWriter
    from rattanwing.peer.session import PeerSession

MAX_ROUND_INTERVAL_S = 0.25
"""Longest wait for a change before the next round of decisions; bounds how late a
lapsed lease, a due occurrence or a completed takeover is noticed."""

MIN_ROUND_PAUSE_S = 0.01
"""Shortest pause between two rounds, so that changes that arrive almost together are
handled in one round."""

PAUSE_FACTOR = 2
"""Pause after a round as a multiple of the round's duration; leaves two thirds of a
slow processor to callers and agents while the queue is long."""

UNREACHABLE_LIMIT_S = 2.0
"""Time for which fewer than half of the agents are connected, after which the owner
resigns. A stream counts as lost after 3 s of silence, so this happens within the
9 s of a lease."""

INTERFERENCE_STORE_INTERVAL_S = 5.0
"""Interval at which changed interference estimates are stored. An estimate takes at
least ten seconds to form, and a record is below 2 KB."""

STORE_RETRY_PAUSE_S = 1.0
"""Pause before records that were not stored are tried again. The writer repeats what
the store refuses for the moment; what is left is unexpected."""

CLEANUP_INTERVAL_S = 5.0
"""Interval at which finished jobs are checked for the end of their retention."""

CLEANUP_RECORDS = 180
"""Most records deleted in one append, well below what the store accepts in a call."""


class OwnerLoop:
    """Runs the scheduler during one epoch of ownership.

    :param writer: writer of the owner's records in the work topic.
    :param current: the operators' configuration in force.
    :param wall_ms: returns the Unix time in milliseconds.
    :param retention_s: how long the state of a finished job stays readable.
    :param wakeup: set to start a round of decisions.
    :param store_needed: set when there is progress to store or an end to acknowledge.
    :param keeps_ownership_until: time until which an owner that reaches any agent does
        not resign because it does not reach most of them.
    :param gate: limits the age of what this owner has read when tasks start.
    :param near_places: decides about waits for near places in this epoch.
    :param max_held_tasks: number of tasks that the owner may hold.
    :param last_reachable_at: when at least half of the agents were last connected.
    :param resignation_requested: set when this entry should resign temporarily.
    """

    __slots__ = (
        "epoch",
        "writer",
        "replica",
        "directory",
        "address_remover",
        "current",
        "clock",
        "wall_ms",
        "retention_s",
        "scheduler",
        "connections",
        "wakeup",
        "store_needed",
        "keeps_ownership_until",
        "gate",
        "last_reachable_at",
        "resignation_requested",
    )

    def __init__(
        self,
        node: str,
        writer: RecordWriter,
        replica: WorkReplica,
        directory: Directory,
        directory_reader: TopicReader,
        current: CurrentConfiguration,
        clock: Callable[[], float],
        wall_ms: Callable[[], int],
        random: Random,
        dial: Dial,
        retention_s: float,
        keeps_ownership_until: float,
        gate: StartGate,
        near_places: NearPlaces | None = None,
        max_held_tasks: int = DEFAULT_MAX_HELD_TASKS,
    ) -> None:
        self.epoch = writer.epoch
        self.writer = writer
        self.replica = replica
        self.directory = directory
        self.address_remover = AddressRemover(
            writer.store,
            directory,
            directory_reader,
            AppendStamp(
                OWNER_PRODUCER, writer.epoch, random.randrange(1, FIRST_SEQUENCE_LIMIT)
            ),
            random,
        )
        self.current = current
        self.clock = clock
        self.wall_ms = wall_ms
        self.retention_s = retention_s
        self.scheduler = Scheduler(
            writer.epoch, writer.last_success_sent_at, near_places, max_held_tasks
        )
        self.connections = AgentConnections(
            node,
            writer.epoch,
            self.scheduler.cluster,
            directory,
            self.address_remover,
            clock,
            random,
            dial,
            self.handle_message,
        )
        self.wakeup = trio.Event()
        self.store_needed = trio.Event()
        self.keeps_ownership_until = keeps_ownership_until
        self.gate = gate
        self.last_reachable_at = clock()
        self.resignation_requested = trio.Event()

    def wake(self) -> None:
        """Start a round of decisions soon."""
        self.wakeup.set()

    async def run(self) -> None:
        """Schedule until cancelled."""
        now, now_ms = self.clock(), self.wall_ms()
        for view in self.replica.jobs.values():
            self.scheduler.update_job(view, now, now_ms, inherited=True)
        self.scheduler.interference.restore(self.replica.interference.rows)
        self.replica.on_job = self.handle_job_change
        try:
            async with trio.open_nursery() as nursery:
                self.connections.nursery = nursery
                self.directory.on_agent = self.connections.keep_connected
                for name in list(self.directory.agents):
                    self.connections.keep_connected(name)
                nursery.start_soon(self.load_directory)
                nursery.start_soon(self.address_remover.run)
                nursery.start_soon(self.store_progress)
                nursery.start_soon(self.delete_expired_jobs)
                nursery.start_soon(self.store_interference)
                await self.run_decisions()
        finally:
            self.replica.on_job = lambda _job_id: None
            self.directory.on_agent = lambda _name: None

    def handle_job_change(self, job_id: str) -> None:
        """Pass a new or changed job to the scheduler."""
        view = self.replica.jobs[job_id]
        self.scheduler.update_job(view, self.clock(), self.wall_ms())
        self.wake()

    async def load_directory(self) -> None:
        """Read the directory until it lists every agent that an earlier owner used.

        Only a listing requested after the claim is certain to contain all of them, so
        the read is retried until it succeeds. Each agent that is read is connected.
        """
        while not self.scheduler.directory_known:
            try:
                await self.read_directory()
            except LogError as error:
                events.write(
                    events.LOG_UNAVAILABLE,
                    topic=records.DIRECTORY_TOPIC,
                    reason=str(error),
                )
                await trio.sleep(RETRY_PAUSE_S)
        self.wake()

    async def read_directory(self) -> None:
        """Read the newest record of every agent.

        An empty append first fences the earlier owner's writer of this topic. Without
        it, that owner could delete the addresses of agents that it considers lost
        because they have switched to this owner.
        """
        store = self.writer.store
        await store.append(records.DIRECTORY_TOPIC, [], self.address_remover.stamp)
        after = ""
        while True:
            page = await store.list_newest(records.DIRECTORY_TOPIC, after)
            for record in page.records:
                self.directory.apply(record)
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        self.scheduler.directory_known = True

    # Decisions

    async def run_decisions(self) -> None:
        """Run a round of decisions after each change, and at a fixed interval."""
        while True:
            with trio.move_on_after(MAX_ROUND_INTERVAL_S):
                await self.wakeup.wait()
            self.wakeup = trio.Event()
            began_at = self.clock()
            self.decide(began_at, self.wall_ms())
            spent_s = self.clock() - began_at
            await trio.sleep(max(MIN_ROUND_PAUSE_S, spent_s * PAUSE_FACTOR))

    def decide(self, now: float, now_ms: int) -> None:
        """Run one round of decisions and send the resulting orders.

        A later claim that has been read ends the decisions at once: jobs whose records
        follow it belong to the later owner.
        """
        owner = self.replica.owner
        if owner is not None and owner.epoch > self.epoch:
            return
        scheduler = self.scheduler
        scheduler.constraints = Constraints(self.current.closed_domains)
        scheduler.starts_end_at = self.gate.check(now)
        for name in scheduler.drop_lapsed_hosts(now):
            self.connections.remove_agent(name)
        scheduler.check_takeover(now)
        scheduler.stop_stalled_runs(now)
        self.check_reachability(now)
        scheduler.place_waiting_tasks(now, now_ms)
        scheduler.move_throttled_runs(now)
        scheduler.send_interference(now)
        self.send_orders()
        if scheduler.unstored or scheduler.unacked or scheduler.unacked_crashes:
            self.store_needed.set()

    def check_reachability(self, now: float) -> None:
        """Request a resignation once most agents have been disconnected for some time.

        Another entry may be able to reach them. If none of them claims ownership,
        this entry claims it again. If the owner before has resigned for the same
        reason, the agents may be gone, and only an owner that waits for their leases to
        lapse can go on without them.
        """
        hosts = self.scheduler.cluster.hosts.values()
        connected = sum(host.connected for host in hosts)
        keeps = connected > 0 and now < self.keeps_ownership_until
        if keeps or not hosts or connected * 2 >= len(hosts):
            self.last_reachable_at = now
            return
        if now - self.last_reachable_at > UNREACHABLE_LIMIT_S:
            events.write(
                events.OWNER_STEPPING_DOWN,
                epoch=self.epoch,
                connected=connected,
                hosts=len(hosts),
            )
            self.last_reachable_at = now
            self.resignation_requested.set()

    def send_orders(self) -> None:
        """Send the scheduler's messages.

        Messages to hosts without a stream are dropped; the scheduler sends what is
        still needed after the host has connected and reported again.
        """
        cluster = self.scheduler.cluster
        outbox, cluster.outbox = cluster.outbox, []
        for host, message in outbox:
            self.connections.send(host.name, message)

    # Stored records

    async def store_progress(self) -> None:
        """Store progress, then acknowledge the ends of runs that it covers.

        An executor lists the end of a run until this acknowledgement.
        """
        while True:
            await self.store_needed.wait()
            self.store_needed = trio.Event()
            jobs, self.scheduler.unstored = self.scheduler.unstored, {}
            acks, self.scheduler.unacked = self.scheduler.unacked, {}
            crashes, self.scheduler.unacked_crashes = self.scheduler.unacked_crashes, {}
            limits = self.writer.limits
            changed = [
                progress_records(job, self.epoch, limits.max_value_bytes)
                for job in jobs.values()
            ]
            suspicions = [(job, job.suspicions) for job in jobs.values()]
            for group in group_records(
                changed, MAX_GROUP_RECORDS, limits.max_group_bytes
            ):
                if not await self.store_surely(group):
                    return
            for name, (incarnation, number) in acks.items():
                self.connections.send(name, messages.EndsStored(incarnation, number))
            for job, count in suspicions:
                if job.record_stored_suspicions(count):
                    self.wake()
            for incarnation, name in crashes.items():
                self.connections.send(name, messages.CrashStored(incarnation))
            self.scheduler.drop_finished_jobs(self.replica.jobs)

    async def store_surely(self, changes: records.Records) -> bool:
        """Store records, and try it again until it is done or this epoch has ended.

        :returns: whether they were stored.
        """
        while True:
            verdict = await self.writer.store_records(changes, None)
            if verdict is Verdict.RAN:
                return True
            if self.writer.fenced:
                return False
            events.write(
                events.PROGRESS_NOT_STORED,
                epoch=self.epoch,
                key=changes[0][0],
                records=len(changes),
                outcome=verdict.name,
            )
            await trio.sleep(STORE_RETRY_PAUSE_S)

    async def store_interference(self) -> None:
        """Store interference estimates that have changed, for the next owner."""
        stored: list[tuple[str, str, float, float]] = []
        while True:
            await trio.sleep(INTERFERENCE_STORE_INTERVAL_S)
            rows = self.scheduler.interference.stored_rows()
            if rows == stored:
                continue
            value = records.encode(records.InterferenceEstimates(self.epoch, rows))
            if not await self.store_surely([(records.INTERFERENCE_KEY, value)]):
                return
            stored = rows

    async def delete_expired_jobs(self) -> None:
        """Delete the records of finished jobs and early cancellations in time."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            limit_ms = self.wall_ms() - int(self.retention_s * 1000)
            expired = self.replica.expired_cancels(self.clock(), self.retention_s)
            deletions: list[tuple[str, bytes | None]] = [
                (records.CANCEL_PREFIX + job_id, None) for job_id in expired
            ]
            for job_id, view in self.replica.jobs.items():
                finished_at_ms = view.progress.finished_at_ms
                if finished_at_ms and finished_at_ms < limit_ms:
                    deletions += [(key, None) for key in view.parts]
                    deletions.append((records.JOB_PREFIX + job_id, None))
                    deletions.append((records.PROGRESS_PREFIX + job_id, None))
                    deletions.append((records.CANCEL_PREFIX + job_id, None))
            for start in range(0, len(deletions), CLEANUP_RECORDS):
                group = deletions[start : start + CLEANUP_RECORDS]
                await self.writer.store_records(group, None)

    # Agents

    def handle_message(self, host: Host, session: PeerSession, message: Any) -> None:
        """Handle one message from an agent, and start a round of decisions."""
        now, now_ms = self.clock(), self.wall_ms()
        match message:
            case messages.HostReport():
                self.scheduler.handle_report(host, message, now, now_ms)
                self.answer_report(host, session, message, now)
            case messages.RunsEnded():
                self.scheduler.handle_ends(host, message, now, now_ms)
            case messages.ExecutorCrashed():
                self.scheduler.handle_crash(host, message, now, now_ms)
            case messages.Superseded():
                self.handle_superseded(session, message.epoch)
            case messages.RunRefused():
                self.scheduler.handle_refused(host, message, now)
        self.wake()

    def handle_superseded(self, session: PeerSession, epoch: int) -> None:
        """End this epoch if an agent has seen a later one.

        This also stops an owner that cannot read the later claim from the store.
        """
        session.close()
        if epoch <= self.epoch:
            return
        events.write(events.OWNER_SUPERSEDED, epoch=self.epoch, by=epoch)
        self.writer.fence()

    def answer_report(
        self,
        host: Host,
        session: PeerSession,
        report: messages.HostReport,
        now: float,
    ) -> None:
        """Extend the lease of a host's runs in answer to its report.

        The lease counts from this owner's last successful append, so that a later
        owner only has to wait for the leases that began before its own claim.
        """
        lease_s = TASK_LEASE_S - (now - self.writer.last_success_sent_at)
        if lease_s <= 0:
            return
        host.extend_lease(now, lease_s)
        session.send(messages.LeaseRenewal(report.stamp, lease_s))
