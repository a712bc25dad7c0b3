"""One stream of the log: tail it, fold it, and append to it in groups."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from rattanwing import events
from rattanwing.errors import (
    LogError,
    LogUnavailableError,
    RecordError,
    RecordExpiredError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.log.client import Log, StoredRecord

TAIL_WAIT_S = 0.5
RETRY_DELAY_S = 0.25
APPEND_INTERVAL_S = 0.02
MAX_GROUP_RECORDS = 500
SNAPSHOT_INTERVAL_S = 600.0
MAX_RECORDS_BETWEEN_SNAPSHOTS = 2000
SNAPSHOT_CHECK_INTERVAL_S = 1.0


class Outcome(msgspec.Struct):
    """What the fold decided on one record.

    :param rule: the rule that refused it, or ``None`` if it was accepted.
    :param job: the job that the record is about, if there is one.
    """

    record_id: str
    offset: int
    rule: str | None
    detail: str = ""
    job: str | None = None

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return self.rule is None


class Fold(Protocol):
    """A state computed from a stream, the same in every process."""

    def apply(self, offset: int, time: float, record: bytes) -> Outcome:
        """Apply one record.

        :raises RecordError: when the record does not parse.
        """

    def snapshot_offset(self, record: bytes) -> int | None:
        """Return the offset from which to fold on after a snapshot record.

        :returns: ``None`` when the record is no snapshot.
        :raises RecordError: when the record does not parse.
        """

    def load_snapshot(self, record: bytes) -> None:
        """Replace the state by a snapshot record."""

    def make_snapshot(self, record_id: str, end_offset: int) -> bytes:
        """Return a snapshot record of the state as folded before ``end_offset``."""


class PendingRecord:
    """A record that waits for its read-back."""

    __slots__ = ("record_id", "payload", "sent", "done", "outcome")

    def __init__(self, record_id: str, payload: bytes) -> None:
        self.record_id = record_id
        self.payload = payload
        self.sent = False
        self.done = trio.Event()
        self.outcome: Outcome | None = None


class LogStream:
    """A folded view of one stream, with appends confirmed by reading back.

    An append whose answer was lost is resolved by reading to the end of the
    stream: only a record that is not there is sent again, and each fold
    ignores a record id that it has already seen.

    :param log: the platform's log.
    :param name: name of the stream.
    :param fold: the state that the records are folded into.
    :param clock: returns monotonic seconds.
    :param snapshot_interval_s: seconds after which the next snapshot is due,
        well below the log's retention.
    """

    __slots__ = (
        "log",
        "name",
        "fold",
        "clock",
        "next_offset",
        "oldest_offset",
        "confirmed_at",
        "available",
        "available_since",
        "pending",
        "records_queued",
        "read_done",
        "on_applied",
        "snapshot_interval_s",
        "last_snapshot_at",
        "last_snapshot_offset",
        "records_after_gap",
    )

    def __init__(
        self,
        log: Log,
        name: str,
        fold: Fold,
        clock: Callable[[], float],
        snapshot_interval_s: float = SNAPSHOT_INTERVAL_S,
    ) -> None:
        self.log = log
        self.name = name
        self.fold = fold
        self.clock = clock
        self.next_offset = 0
        self.oldest_offset = 0
        self.confirmed_at = float("-inf")
        self.available = True
        self.available_since = clock()
        self.pending: dict[str, PendingRecord] = {}
        self.records_queued = trio.Event()
        self.read_done = trio.Event()
        self.on_applied: list[Callable[[Outcome, float, bytes], None]] = []
        self.snapshot_interval_s = snapshot_interval_s
        self.last_snapshot_at = clock()
        self.last_snapshot_offset = 0
        self.records_after_gap: list[StoredRecord] | None = None

    async def run(self) -> None:
        """Tail the stream and flush appends until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.tail)
            nursery.start_soon(self.flush)
            nursery.start_soon(self.write_snapshots)

    async def commit(self, record_id: str, payload: bytes, timeout_s: float) -> Outcome:
        """Append a record and wait until it was read back and folded.

        :raises LogUnavailableError: when it was not read back in time; it may
            still take effect later.
        """
        pending = self.enqueue(record_id, payload)
        with trio.move_on_after(timeout_s):
            await pending.done.wait()
        if pending.outcome is not None:
            return pending.outcome
        if self.pending.get(record_id) is pending:
            del self.pending[record_id]
        raise LogUnavailableError(f"record {record_id} was not confirmed in time")

    def enqueue(self, record_id: str, payload: bytes) -> PendingRecord:
        """Queue a record for the next group append."""
        pending = self.pending.get(record_id)
        if pending is None:
            pending = PendingRecord(record_id, payload)
            self.pending[record_id] = pending
            self.records_queued.set()
        return pending

    async def flush(self) -> None:
        """Append queued records in groups, with a pause between two groups.

        What arrives during the pause goes together, so the log sees a bounded
        number of appends a second however many records there are.
        """
        while True:
            await self.records_queued.wait()
            self.records_queued = trio.Event()
            while group := self.next_group():
                started_at = self.clock()
                await self.append_group(group)
                left_s = started_at + APPEND_INTERVAL_S - self.clock()
                await trio.sleep(max(0.0, left_s))

    def next_group(self) -> list[PendingRecord]:
        """Return the next group of records to append."""
        group = [p for p in self.pending.values() if not p.sent]
        return group[:MAX_GROUP_RECORDS]

    async def append_group(self, group: list[PendingRecord]) -> None:
        """Append one group; after a failure decide by reading what is missing."""
        for pending in group:
            pending.sent = True
        try:
            await self.log.append(self.name, [p.payload for p in group])
        except LogUnavailableError as error:
            self.update_availability(False, error)
            await self.wait_until_caught_up()
            for pending in group:
                pending.sent = pending.done.is_set()
        except LogError as error:
            events.write(events.RECORD_REFUSED, stream=self.name, error=error)
            for pending in group:
                self.pending.pop(pending.record_id, None)

    async def wait_until_caught_up(self) -> None:
        """Wait until the stream was read to its end after this moment."""
        asked_at = self.clock()
        while self.confirmed_at <= asked_at:
            await self.read_done.wait()

    async def tail(self) -> None:
        """Read and fold records for ever."""
        while True:
            asked_at = self.clock()
            try:
                result = await self.log.read(self.name, self.next_offset, TAIL_WAIT_S)
            except RecordExpiredError as error:
                self.skip_expired(error.first)
                continue
            except LogError as error:
                self.update_availability(False, error)
                await trio.sleep(RETRY_DELAY_S)
                continue
            self.update_availability(True, None)
            self.oldest_offset = result.first
            self.apply_records(result.records)
            if self.next_offset >= result.end:
                self.confirm(asked_at)
            self.signal_read_done()

    def skip_expired(self, first: int) -> None:
        """Go on at the oldest kept record and wait there for a snapshot."""
        events.write(events.LOG_GAP, stream=self.name, first=first)
        self.next_offset = first
        self.oldest_offset = first
        self.records_after_gap = []

    def apply_records(self, records: list[StoredRecord]) -> None:
        """Fold records in the order of their offsets."""
        for stored in records:
            if stored.offset < self.next_offset:
                continue
            self.next_offset = stored.offset + 1
            try:
                self.apply_or_buffer(stored)
            except RecordError as error:
                events.write(
                    events.RECORD_MALFORMED,
                    stream=self.name,
                    offset=stored.offset,
                    error=error,
                )

    def apply_or_buffer(self, stored: StoredRecord) -> None:
        """Fold one record, or keep it while a snapshot is missing.

        :raises RecordError: when the record does not parse.
        """
        payload = bytes(stored.record)
        end_offset = self.fold.snapshot_offset(payload)
        if end_offset is not None:
            self.last_snapshot_at = self.clock()
            self.last_snapshot_offset = end_offset
        if self.records_after_gap is None:
            return self.apply_record(stored.offset, stored.time, payload)
        self.records_after_gap.append(stored)
        if end_offset is None or end_offset < self.oldest_offset:
            return None
        return self.restore_snapshot(end_offset, payload)

    def restore_snapshot(self, end_offset: int, snapshot: bytes) -> None:
        """Load a snapshot and fold the records after it."""
        kept, self.records_after_gap = self.records_after_gap or [], None
        self.fold.load_snapshot(snapshot)
        for stored in kept:
            if stored.offset >= end_offset:
                self.apply_record(stored.offset, stored.time, bytes(stored.record))

    def adopt_snapshot(self, end_offset: int, snapshot: bytes) -> bool:
        """Take a state that another process has folded, if it is ahead.

        :param end_offset: offset up to which it was folded.
        :returns: whether it was taken.
        """
        if self.records_after_gap is not None and end_offset >= self.oldest_offset:
            self.restore_snapshot(end_offset, snapshot)
            self.next_offset = max(self.next_offset, end_offset)
            return True
        if end_offset <= self.next_offset:
            return False
        self.fold.load_snapshot(snapshot)
        self.next_offset = end_offset
        return True

    def confirm(self, at: float) -> None:
        """Take another process's word that the state was complete at ``at``."""
        if self.records_after_gap is None:
            self.confirmed_at = max(self.confirmed_at, at)

    def apply_record(self, offset: int, time: float, payload: bytes) -> None:
        """Fold one record and tell all who wait for it."""
        outcome = self.fold.apply(offset, time, payload)
        self.complete_pending(outcome)
        for listener in self.on_applied:
            listener(outcome, time, payload)

    async def write_snapshots(self) -> None:
        """Append a snapshot when one is due and there is anything to keep."""
        while True:
            await trio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            if not self.is_snapshot_due(self.clock()):
                continue
            end_offset = self.next_offset
            record_id = f"snapshot-{self.name}-{end_offset}"
            payload = self.fold.make_snapshot(record_id, end_offset)
            try:
                await self.commit(record_id, payload, self.snapshot_interval_s)
            except LogUnavailableError:
                continue
            events.write(events.SNAPSHOT_WRITTEN, stream=self.name, upto=end_offset)

    def is_snapshot_due(self, now: float) -> bool:
        """Return whether the state should be written again."""
        if self.records_after_gap is not None or self.next_offset == 0:
            return False
        if (
            self.next_offset - self.last_snapshot_offset
            >= MAX_RECORDS_BETWEEN_SNAPSHOTS
        ):
            return True
        return now - self.last_snapshot_at >= self.snapshot_interval_s

    def complete_pending(self, outcome: Outcome) -> None:
        """Wake the task that waits for this record, if there is one."""
        pending = self.pending.pop(outcome.record_id, None)
        if pending is None:
            return
        pending.outcome = outcome
        pending.done.set()

    def signal_read_done(self) -> None:
        """Wake all that wait for news of this stream."""
        self.read_done.set()
        self.read_done = trio.Event()

    def update_availability(self, available: bool, error: LogError | None) -> None:
        """Write an event when the log goes away or returns."""
        if available == self.available:
            return
        self.available = available
        self.available_since = self.clock()
        event = events.LOG_AVAILABLE if available else events.LOG_UNAVAILABLE
        events.write(event, stream=self.name, error=error or "")
