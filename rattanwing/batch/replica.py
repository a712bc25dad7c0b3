"""Each entry's copy of the work topic: every job with its progress."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from rattanwing import events
from rattanwing.batch import records
from rattanwing.batch.model import JobSpec, JobState
from rattanwing.errors import LogUnavailableError, RecordError, RecordExpiredError

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.batch.ports import KeyedStore, StoredRecord

READ_WAIT_S = 1.0
"""Longest wait of one read: a silent connection shows within about twice this."""

READ_PAUSE_S = 0.03
"""Pause between two reads: calls are priced, and a job's states may lag a little."""

RETRY_PAUSE_S = 0.2
"""Pause after a failed read."""

STALE_AFTER_S = 2.5
"""A topic of which no read succeeded that was sent this long ago or later is not
answered from; two longest waits and a round trip."""


def by_offset(record: StoredRecord) -> int:
    """Return the order in which records were written."""
    return record.offset


class JobView:
    """What the records say of one job."""

    __slots__ = ("spec", "progress", "cancelled")

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        self.progress = records.Progress(0)
        self.cancelled = False

    @property
    def state(self) -> JobState:
        """Return the state as callers may be told it."""
        if self.progress.state.final:
            return self.progress.state
        return JobState.CANCELLED if self.cancelled else self.progress.state


class TopicReader:
    """Follows one topic: its newest records first, then each new one.

    :param apply: called with each record, in the order of offsets.
    :param read_at: when the newest successful read was sent.
    :param end: offset after the last record that was taken.
    :param load_order: sort key of the newest records when they are loaded.
    """

    __slots__ = (
        "store",
        "topic",
        "clock",
        "apply",
        "end",
        "loaded",
        "read_at",
        "fresh_since",
        "pause_s",
        "on_loaded",
        "load_order",
    )

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        clock: Callable[[], float],
        apply: Callable[[StoredRecord], None],
        pause_s: float = READ_PAUSE_S,
        load_order: Callable[[StoredRecord], Any] = by_offset,
    ) -> None:
        self.store = store
        self.topic = topic
        self.clock = clock
        self.apply = apply
        self.end = 0
        self.loaded = trio.Event()
        self.read_at = -STALE_AFTER_S
        self.fresh_since = 0.0
        self.pause_s = pause_s
        self.on_loaded: Callable[[set[str]], None] | None = None
        self.load_order = load_order

    def is_fresh(self, now: float) -> bool:
        """Return whether the topic was read to its end lately."""
        return self.loaded.is_set() and now - self.read_at <= STALE_AFTER_S

    async def run(self) -> None:
        """Follow the topic until cancelled."""
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
                events.write(events.LOG_AVAILABLE, topic=self.topic, end=self.end)
                failing = False
            await trio.sleep(self.pause_s)

    async def load(self) -> None:
        """Take the newest record of each key.

        Pages are no snapshot, so reading goes on from the end of the first one.
        """
        sent_at = self.clock()
        after = ""
        found: list[StoredRecord] = []
        end: int | None = None
        while True:
            page = await self.store.newest(self.topic, after)
            end = page.end if end is None else end
            found += page.records
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        if self.on_loaded is not None:
            self.on_loaded({record.key for record in found})
        for record in sorted(found, key=self.load_order):
            self.apply(record)
        self.end = end
        self.record_read(sent_at)
        self.loaded.set()
        events.write(
            events.TOPIC_LOADED, topic=self.topic, records=len(found), end=self.end
        )

    async def read_once(self) -> None:
        """Take the records that came since the last read."""
        sent_at = self.clock()
        batch = await self.store.read(self.topic, self.end, READ_WAIT_S)
        for record in batch.records:
            self.apply(record)
        self.end = batch.end
        self.record_read(sent_at)

    def record_read(self, sent_at: float) -> None:
        """Remember when the topic was read, and since when without a break."""
        if sent_at - self.read_at > STALE_AFTER_S:
            self.fresh_since = self.clock()
        self.read_at = sent_at


class WorkReplica:
    """Folds the work topic.

    :param on_job: called with the id of each job that is new or has changed.
    :param owner_seen_at: when the owner's newest record was read.
    :param interference: what an owner has last stored of pairs of images.
    """

    __slots__ = (
        "clock",
        "jobs",
        "owner",
        "owner_seen_at",
        "interference",
        "on_job",
        "on_owner",
    )

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.jobs: dict[str, JobView] = {}
        self.owner: records.Owner | None = None
        self.owner_seen_at = clock()
        self.interference = records.InterferenceEstimates(0, [])
        self.on_job: Callable[[str], None] = ignore
        self.on_owner: Callable[[records.Owner], None] = ignore

    @staticmethod
    def load_order(record: StoredRecord) -> tuple[bool, int]:
        """Return the order of newest records: jobs first.

        A job that was handed in again has a newer record than its progress.
        """
        return not record.key.startswith(records.JOB_PREFIX), record.offset

    def apply(self, record: StoredRecord) -> None:
        """Fold one record; one that does not decode is left out."""
        if record.value is None:
            self.apply_deletion(record.key)
            return
        try:
            value = records.decode(record.key, record.value)
        except RecordError as error:
            events.write(events.RECORD_MALFORMED, offset=record.offset, error=error)
            return
        job_id = record.key.partition("/")[2]
        match value:
            case JobSpec():
                self.apply_job(job_id, value)
            case records.Progress():
                self.apply_progress(job_id, value)
            case records.CancelRequest():
                self.apply_cancel(job_id)
            case records.Owner():
                self.apply_owner(value)
            case records.InterferenceEstimates() if (
                value.epoch >= self.interference.epoch
            ):
                self.interference = value

    def apply_job(self, job_id: str, spec: JobSpec) -> None:
        """Add a job; a second record of the same job changes nothing."""
        if job_id in self.jobs:
            return
        self.jobs[job_id] = JobView(spec)
        self.on_job(job_id)

    def apply_progress(self, job_id: str, progress: records.Progress) -> None:
        """Replace a job's progress unless it was written by an older owner."""
        self.record_owner_activity(progress.epoch)
        view = self.jobs.get(job_id)
        if view is None or progress.epoch < view.progress.epoch:
            return
        view.progress = progress
        self.on_job(job_id)

    def apply_cancel(self, job_id: str) -> None:
        """Take note of a cancellation."""
        view = self.jobs.get(job_id)
        if view is None or view.cancelled:
            return
        view.cancelled = True
        self.on_job(job_id)

    def apply_owner(self, owner: records.Owner) -> None:
        """Take note of a claim, a renewal or a resignation."""
        if self.owner is not None and owner.epoch < self.owner.epoch:
            return
        self.owner = owner
        self.owner_seen_at = self.clock()
        self.on_owner(owner)

    def record_owner_activity(self, epoch: int) -> None:
        """Take any record of the owner as a sign that it lives."""
        if self.owner is not None and epoch == self.owner.epoch:
            self.owner_seen_at = self.clock()

    def apply_deletion(self, key: str) -> None:
        """Forget a job whose record was dropped."""
        prefix, _, job_id = key.partition("/")
        if prefix + "/" == records.JOB_PREFIX:
            self.jobs.pop(job_id, None)


def ignore(_value: object) -> None:
    """Stand in for a listener."""


class Directory:
    """Folds the directory topic: where agents and entries are reached.

    :param on_agent: called with the name of each agent that came or changed.
    """

    __slots__ = ("agents", "entries", "on_agent")

    def __init__(self) -> None:
        self.agents: dict[str, records.AgentAddress] = {}
        self.entries: dict[str, records.EntryAddress] = {}
        self.on_agent: Callable[[str], None] = ignore

    def apply(self, record: StoredRecord) -> None:
        """Fold one record; one that does not decode is left out."""
        name = record.key.partition("/")[2]
        if record.value is None:
            known = self.addresses_for(record.key)
            known.pop(name, None)
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
        """Return the addresses among which a key stands."""
        return self.entries if key.startswith(records.ENTRY_PREFIX) else self.agents
