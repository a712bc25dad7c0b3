"""An entry's in-memory copies of the store's topics: jobs with progress, addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from rattanwing import events
from rattanwing.batch import records
from rattanwing.batch.memory import FINISHED_JOB_BYTES, job_bytes
from rattanwing.batch.model import JobSpec, JobState
from rattanwing.batch.store_speed import StoreSpeed
from rattanwing.errors import LogUnavailableError, RecordError, RecordExpiredError

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.batch.model import QueueIdentity
    from rattanwing.batch.ports import KeyedStore, StoredRecord

READ_WAIT_S = 1.0
"""Longest time for which one read waits for new records; a dead connection is
detected within about twice this time."""

READ_PAUSE_S = 0.03
"""Pause between two reads, which limits the number of calls because each has a cost;
the copy may lag behind the topic by this time."""

RETRY_PAUSE_S = 0.2
"""Pause after a failed read."""

MAX_EARLY_CANCELS = 4_000
"""Most cancellations that are kept for jobs which are not stored yet. Callers can send
them for any id at will, so that the oldest are dropped."""

STALE_AFTER_S = 2.5
"""A copy of a topic is stale, and gives no answers, when its newest successful read was
sent longer ago than this: two read waits and a round trip."""


def by_offset(record: StoredRecord) -> int:
    """Return a record's offset, which sorts records in the order of writing."""
    return record.offset


class JobView:
    """A job's specification, progress and cancellation, as stored in the topic.

    :param parts: the parts of its progress by key, encoded: only the next owner needs
        them.
    :param memory_bytes: estimated memory of the job, in bytes.
    """

    __slots__ = ("spec", "progress", "parts", "cancelled", "memory_bytes")

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        self.progress = records.Progress(0)
        self.parts: dict[str, bytes] = {}
        self.memory_bytes = job_bytes(spec)
        self.cancelled = False

    @property
    def state(self) -> JobState:
        """Return the state that callers see.

        A cancellation takes effect here as soon as its record is read, before the
        owner has stored it as progress.
        """
        if self.progress.state.final:
            return self.progress.state
        return JobState.CANCELLED if self.cancelled else self.progress.state

    def drop_details(self) -> None:
        """Drop what is not needed of a finished job, whose state stays readable."""
        self.spec = msgspec.structs.replace(self.spec, text="", steps=())
        # The keys are kept until their deletion has been read.
        self.parts = dict.fromkeys(self.parts, b"")
        self.memory_bytes = FINISHED_JOB_BYTES


class EarlyCancel:
    """A cancellation that was stored before its job.

    :param queue: queue at which it was made.
    :param read_at: when this entry read it.
    """

    __slots__ = ("queue", "read_at")

    def __init__(self, queue: QueueIdentity, read_at: float) -> None:
        self.queue = queue
        self.read_at = read_at


class TopicReader:
    """Reads one topic: first the newest record of each key, then each new record.

    :param apply: called with each record, in the order of offsets after the load.
    :param pause_s: pause between two reads.
    :param load_order: sort key of the order in which loaded records are applied.
    :param speed: told how long reads take.
    :param end_offset: offset after the last record that was applied.
    :param read_sent_at: when the newest successful read was sent.
    :param fresh_since: start of the current uninterrupted series of reads; a series
        ends when no read succeeds for ``STALE_AFTER_S``.
    :param on_loaded: called before loaded records are applied, with all their keys.
    """

    __slots__ = (
        "store",
        "topic",
        "clock",
        "apply",
        "end_offset",
        "loaded",
        "read_sent_at",
        "fresh_since",
        "pause_s",
        "on_loaded",
        "load_order",
        "speed",
    )

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        clock: Callable[[], float],
        apply: Callable[[StoredRecord], None],
        pause_s: float = READ_PAUSE_S,
        load_order: Callable[[StoredRecord], Any] = by_offset,
        speed: StoreSpeed | None = None,
    ) -> None:
        self.store = store
        self.topic = topic
        self.clock = clock
        self.apply = apply
        self.end_offset = 0
        self.loaded = trio.Event()
        self.read_sent_at = -STALE_AFTER_S
        self.fresh_since = 0.0
        self.pause_s = pause_s
        self.on_loaded: Callable[[set[str]], None] | None = None
        self.load_order = load_order
        self.speed = speed or StoreSpeed()

    def is_fresh(self, now: float) -> bool:
        """Return whether the topic is loaded and its newest read is recent."""
        return self.loaded.is_set() and now - self.read_sent_at <= STALE_AFTER_S

    async def run(self) -> None:
        """Load the topic and apply new records until cancelled.

        Reads are retried while the store is unavailable; the topic is loaded again
        when the next records are no longer retained.
        """
        failing = False
        needs_load = True
        while True:
            try:
                if needs_load:
                    await self.load()
                    needs_load = False
                await self.read_once()
            except RecordExpiredError as error:
                events.write(events.LOG_GAP, topic=self.topic, first=error.first)
                needs_load = True
            except LogUnavailableError as error:
                if not failing:
                    events.write(
                        events.LOG_UNAVAILABLE, topic=self.topic, reason=str(error)
                    )
                failing = True
                await trio.sleep(RETRY_PAUSE_S)
                continue
            if failing:
                events.write(
                    events.LOG_AVAILABLE, topic=self.topic, end=self.end_offset
                )
                failing = False
            await trio.sleep(self.pause_s)

    async def load(self) -> None:
        """Apply the newest record of each key.

        The pages are read at different times and do not form a snapshot, so
        incremental reads continue from the end offset of the first page.
        """
        sent_at = self.clock()
        after = ""
        newest: list[StoredRecord] = []
        end_offset: int | None = None
        while True:
            page = await self.store.list_newest(self.topic, after)
            end_offset = page.end_offset if end_offset is None else end_offset
            newest += page.records
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        if self.on_loaded is not None:
            self.on_loaded({record.key for record in newest})
        for record in sorted(newest, key=self.load_order):
            self.apply(record)
        self.end_offset = end_offset
        self.record_read(sent_at)
        self.loaded.set()
        events.write(
            events.TOPIC_LOADED,
            topic=self.topic,
            records=len(newest),
            end=self.end_offset,
        )

    async def read_once(self) -> None:
        """Apply the records appended since the last read."""
        sent_at = self.clock()
        result = await self.store.read(self.topic, self.end_offset, READ_WAIT_S)
        if not result.records:
            # Only a read that finds no record is known to have waited to the end.
            now = self.clock()
            self.speed.record(now - sent_at - READ_WAIT_S, now)
        for record in result.records:
            self.apply(record)
        self.end_offset = result.end_offset
        self.record_read(sent_at)

    def record_read(self, sent_at: float) -> None:
        """Record a successful read, which starts a new series after an interruption."""
        if sent_at - self.read_sent_at > STALE_AFTER_S:
            self.fresh_since = self.clock()
        self.read_sent_at = sent_at


class WorkReplica:
    """State folded from the work topic: jobs, the owner and interference estimates.

    :param unread: ids of jobs that this entry has stored but not read yet.
    :param early_cancels: cancellations of jobs that are not known, by job id, the
        oldest first. The job may be on its way to the store.
    :param on_job: called with the id of each job that is new or has changed.
    :param on_owner: called with each owner record that was applied.
    :param memory_bytes: estimated memory of all jobs, in bytes.
    :param owner_seen_at: when the newest record of the current owner was read.
    :param interference: the newest stored interference estimates.
    """

    __slots__ = (
        "clock",
        "jobs",
        "unread",
        "early_cancels",
        "memory_bytes",
        "owner",
        "owner_seen_at",
        "interference",
        "on_job",
        "on_owner",
    )

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.jobs: dict[str, JobView] = {}
        self.unread: set[str] = set()
        self.early_cancels: dict[str, EarlyCancel] = {}
        self.memory_bytes = 0
        self.owner: records.Owner | None = None
        self.owner_seen_at = clock()
        self.interference = records.InterferenceEstimates(0, [])
        self.on_job: Callable[[str], None] = ignore
        self.on_owner: Callable[[records.Owner], None] = ignore

    @staticmethod
    def load_order(record: StoredRecord) -> tuple[bool, int]:
        """Return a sort key for loading that puts jobs before all other records.

        Progress and cancellations apply only to known jobs, but the record of a job
        that was submitted again is newer than they are.
        """
        return not record.key.startswith(records.JOB_PREFIX), record.offset

    def apply(self, record: StoredRecord) -> None:
        """Apply one record; a malformed one is logged and skipped."""
        if record.value is None:
            self.apply_deletion(record.key)
            return
        try:
            value = records.decode(record.key, record.value)
        except RecordError as error:
            events.write(events.RECORD_MALFORMED, offset=record.offset, error=error)
            return
        job_id = job_id_of(record.key)
        match value:
            case JobSpec():
                self.apply_job(job_id, value)
            case records.Progress():
                self.apply_progress(job_id, value)
            case records.ProgressPart():
                self.apply_part(record.key, record.value, value.epoch)
            case records.CancelRequest():
                self.apply_cancel(job_id, value.identity)
            case records.Owner():
                self.apply_owner(value)
            case records.InterferenceEstimates() if (
                value.epoch >= self.interference.epoch
            ):
                self.interference = value

    def add_stored_job(self, job_id: str, spec: JobSpec) -> None:
        """Add a job that this entry has stored, so that its callers find it.

        ``on_job`` is called once its record is read: a later claim of ownership may
        precede the record, and an owner must know of it before it starts the job.
        """
        if job_id not in self.jobs:
            self.add_view(job_id, spec)
            self.unread.add(job_id)

    def apply_job(self, job_id: str, spec: JobSpec) -> None:
        """Add a job; further records of the same job have no effect."""
        if job_id in self.jobs and job_id not in self.unread:
            return
        self.unread.discard(job_id)
        if job_id not in self.jobs:
            self.add_view(job_id, spec)
        self.early_cancels.pop(job_id, None)
        self.on_job(job_id)

    def add_view(self, job_id: str, spec: JobSpec) -> None:
        """Add a new job, which may have been cancelled already."""
        view = self.jobs[job_id] = JobView(spec)
        view.cancelled = self.is_cancelled_early(job_id, spec.queue.identity)
        self.memory_bytes += view.memory_bytes

    def is_cancelled_early(self, job_id: str, queue: QueueIdentity) -> bool:
        """Return whether a job of a queue that is not known was cancelled."""
        cancel = self.early_cancels.get(job_id)
        return cancel is not None and cancel.queue.is_same_queue(queue)

    def apply_progress(self, job_id: str, progress: records.Progress) -> None:
        """Replace a job's progress unless an earlier owner wrote the new record."""
        self.record_owner_activity(progress.epoch)
        view = self.jobs.get(job_id)
        if view is None or progress.epoch < view.progress.epoch:
            return
        view.progress = progress
        if progress.state.final:
            self.memory_bytes -= view.memory_bytes
            view.drop_details()
            self.memory_bytes += view.memory_bytes
        self.on_job(job_id)

    def apply_part(self, key: str, value: bytes, epoch: int) -> None:
        """Replace a part of a job's progress; the store refuses earlier owners' parts.

        :param value: the part, encoded.
        """
        self.record_owner_activity(epoch)
        view = self.jobs.get(job_id_of(key))
        if view is not None:
            view.parts[key] = value

    def apply_cancel(self, job_id: str, queue: QueueIdentity) -> None:
        """Mark a job as cancelled; if it is not known, as soon as it is read.

        :param queue: queue at which it was cancelled; its name is empty if that is not
            known.
        """
        view = self.jobs.get(job_id)
        if view is None:
            if queue.name:
                self.early_cancels.pop(job_id, None)
                self.early_cancels[job_id] = EarlyCancel(queue, self.clock())
            return
        if view.cancelled:
            return
        if queue.name and not queue.is_same_queue(view.spec.queue.identity):
            return
        view.cancelled = True
        self.on_job(job_id)

    def drop_deleted(self, keys: set[str]) -> None:
        """Drop jobs and early cancellations whose records the topic holds no more.

        Their deletion may have been among the records that this entry has missed.

        :param keys: all keys that the topic holds.
        """
        for job_id in list(self.early_cancels):
            if records.CANCEL_PREFIX + job_id not in keys:
                del self.early_cancels[job_id]
        for job_id in self.jobs.keys() - self.unread:
            if records.JOB_PREFIX + job_id not in keys:
                self.apply_deletion(records.JOB_PREFIX + job_id)

    def expired_cancels(self, now: float, kept_s: float) -> list[str]:
        """Return the ids of early cancellations that are not to be kept any longer.

        :param kept_s: time in seconds for which each is kept.
        """
        surplus = len(self.early_cancels) - MAX_EARLY_CANCELS
        return [
            job_id
            for index, (job_id, cancel) in enumerate(self.early_cancels.items())
            if index < surplus or now - cancel.read_at > kept_s
        ]

    def apply_owner(self, owner: records.Owner) -> None:
        """Apply a claim, renewal or resignation, unless it is of an earlier epoch."""
        if self.owner is not None and owner.epoch < self.owner.epoch:
            return
        self.owner = owner
        self.owner_seen_at = self.clock()
        self.on_owner(owner)

    def record_owner_activity(self, epoch: int) -> None:
        """Record that the current owner is alive, if ``epoch`` is its epoch."""
        if self.owner is not None and epoch == self.owner.epoch:
            self.owner_seen_at = self.clock()

    def apply_deletion(self, key: str) -> None:
        """Remove a job or early cancellation whose record was deleted."""
        prefix, _, job_id = key.partition("/")
        match prefix + "/":
            case records.PART_PREFIX:
                view = self.jobs.get(job_id_of(key))
                if view is not None:
                    view.parts.pop(key, None)
            case records.JOB_PREFIX:
                view = self.jobs.pop(job_id, None)
                self.memory_bytes -= 0 if view is None else view.memory_bytes
            case records.CANCEL_PREFIX:
                self.early_cancels.pop(job_id, None)


def job_id_of(key: str) -> str:
    """Return the job id in the key of a record."""
    return key.split("/")[1] if "/" in key else ""


def ignore(_value: object) -> None:
    """Do nothing; used as the callback until one is set."""


class Directory:
    """State folded from the directory topic: addresses of agents and entries.

    :param on_agent: called with the name of each agent whose address was added or
        replaced.
    """

    __slots__ = ("agents", "entries", "on_agent")

    def __init__(self) -> None:
        self.agents: dict[str, records.AgentAddress] = {}
        self.entries: dict[str, records.EntryAddress] = {}
        self.on_agent: Callable[[str], None] = ignore

    def apply(self, record: StoredRecord) -> None:
        """Apply one record; a malformed one is logged and skipped."""
        name = record.key.partition("/")[2]
        if record.value is None:
            addresses = self.addresses_for(record.key)
            addresses.pop(name, None)
            return
        try:
            value = records.decode(record.key, record.value)
        except RecordError as error:
            events.write(events.RECORD_MALFORMED, offset=record.offset, error=error)
            return
        match value:
            case records.AgentAddress():
                self.agents[name] = value
                self.on_agent(name)
            case records.EntryAddress():
                self.entries[name] = value

    def addresses_for(self, key: str) -> dict[str, Any]:
        """Return the map that holds the address stored under a key."""
        return self.entries if key.startswith(records.ENTRY_PREFIX) else self.agents
