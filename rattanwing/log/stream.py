"""Follows one stream of the log, folds its records into a state and appends to it."""

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
"""Seconds that a read at the end of the stream waits for a new record."""

RETRY_DELAY_S = 0.25
"""Seconds between a failed read and the next one."""

APPEND_INTERVAL_S = 0.02
"""Least number of seconds between the starts of two appends to the stream."""

MAX_GROUP_RECORDS = 500
"""Largest number of records in one append."""

SNAPSHOT_INTERVAL_S = 600.0
"""Default number of seconds between two snapshots."""

MAX_RECORDS_BETWEEN_SNAPSHOTS = 2000
"""Number of records after a snapshot at which the next one is due, even if the
interval has not passed."""

SNAPSHOT_CHECK_INTERVAL_S = 1.0
"""Seconds between two checks whether a snapshot is due."""


class Outcome(msgspec.Struct):
    """Result of applying one record to the state.

    :param rule: short name of the rule that refused the record, or ``None`` if the
        record was accepted.
    :param detail: why the record was refused, for people.
    :param job: id of the job that the record changes, if any.
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
    """A state computed from the records of a stream in the order of their offsets.

    The result depends on the records alone, so every process computes the same state.
    """

    def apply(self, offset: int, time: float, record: bytes) -> Outcome:
        """Apply one record to the state.

        :param time: when the log appended the record, in seconds since the Unix epoch.
        :raises RecordError: when the record does not parse.
        """

    def snapshot_offset(self, record: bytes) -> int | None:
        """Return the end offset of a snapshot record.

        :returns: offset of the first record that the snapshot does not include, or
            ``None`` when the record is of another kind.
        :raises RecordError: when the record does not parse.
        """

    def load_snapshot(self, record: bytes) -> None:
        """Replace the state with the content of a snapshot record."""

    def make_snapshot(self, record_id: str, end_offset: int) -> bytes:
        """Return a snapshot record of the current state.

        :param end_offset: offset of the first record that the state does not include.
        """


class PendingRecord:
    """A record that has been queued for an append but not yet read back.

    :param sent: whether the record has been passed to the log.
    :param done: set once the record was read back and applied.
    :param outcome: the result, from the time that ``done`` is set.
    """

    __slots__ = ("record_id", "payload", "sent", "done", "outcome")

    def __init__(self, record_id: str, payload: bytes) -> None:
        self.record_id = record_id
        self.payload = payload
        self.sent = False
        self.done = trio.Event()
        self.outcome: Outcome | None = None


class LogStream:
    """Keeps a state up to date with one stream and appends records to the stream.

    An append is confirmed by reading the records back. If the response to an append is
    lost, the stream is read to its end and only the records that are missing there are
    sent again. A record that is appended twice nevertheless takes effect once, because
    each fold ignores the repetition.

    If records expire before this process has read them, reading resumes at the oldest
    record that the log keeps. Records are then buffered until a snapshot restores the
    state.

    :param log: the platform's log.
    :param name: name of the stream.
    :param fold: the state that the records are applied to.
    :param clock: returns monotonic seconds.
    :param snapshot_interval_s: seconds between two snapshots; must be well below the
        log's retention, so that a snapshot is always available.
    :param next_offset: offset of the next record to read.
    :param oldest_offset: offset of the oldest record that the log keeps.
    :param confirmed_at: latest time, by ``clock``, at which the state is known to have
        included every record of the stream.
    :param available: false from a failed call to the log until the next successful
        read.
    :param available_since: when ``available`` last changed, by ``clock``.
    :param pending: records that were queued and not yet read back, by record id.
    :param records_queued: set when there are records to append.
    :param read_done: set after each successful read, then replaced by a new event.
    :param on_applied: functions to call after each applied record, with its outcome,
        the log's time of the record and its JSON text.
    :param last_snapshot_at: when the latest snapshot was read, by ``clock``.
    :param last_snapshot_offset: end offset of the latest snapshot that was read.
    :param records_after_gap: records buffered since records expired unread; ``None``
        while the state is complete.
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
        """Read the stream, append to it and write snapshots until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.tail)
            nursery.start_soon(self.flush)
            nursery.start_soon(self.write_snapshots)

    async def commit(self, record_id: str, payload: bytes, timeout_s: float) -> Outcome:
        """Append a record and wait until it was read back and applied.

        :returns: whether the record was accepted or refused.
        :raises LogUnavailableError: when the record was not read back within
            ``timeout_s``; it may still take effect later.
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
        """Queue a record for the next append, unless its id is already pending."""
        pending = self.pending.get(record_id)
        if pending is None:
            pending = PendingRecord(record_id, payload)
            self.pending[record_id] = pending
            self.records_queued.set()
        return pending

    async def flush(self) -> None:
        """Append queued records in groups, at most one per ``APPEND_INTERVAL_S``.

        Records that are queued during the pause go into the next group. This limits
        the number of appends per second whatever the number of records.
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
        """Return up to ``MAX_GROUP_RECORDS`` queued records that were not yet sent."""
        group = [p for p in self.pending.values() if not p.sent]
        return group[:MAX_GROUP_RECORDS]

    async def append_group(self, group: list[PendingRecord]) -> None:
        """Append one group of records.

        If the log does not respond, the append may have taken effect. The stream is
        then read to its end, and the records that are missing there are queued again.
        Records that the log refuses are dropped.
        """
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
        """Wait until a read that began after this call has reached the stream's end."""
        called_at = self.clock()
        while self.confirmed_at <= called_at:
            await self.read_done.wait()

    async def tail(self) -> None:
        """Read records and apply them until cancelled."""
        while True:
            read_started_at = self.clock()
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
                self.confirm(read_started_at)
            self.signal_read_done()

    def skip_expired(self, first: int) -> None:
        """Resume at the oldest kept record and buffer records until a snapshot.

        :param first: offset of the oldest record that the log keeps.
        """
        events.write(events.LOG_GAP, stream=self.name, first=first)
        self.next_offset = first
        self.oldest_offset = first
        self.records_after_gap = []

    def apply_records(self, records: list[StoredRecord]) -> None:
        """Apply records in the order of their offsets.

        Records that were applied before are skipped; a malformed record is logged and
        skipped.
        """
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
        """Apply one record, or buffer it until a snapshot restores the state.

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
        """Load a snapshot and apply the buffered records that it does not include.

        :param end_offset: offset of the first record that the snapshot does not
            include.
        """
        buffered, self.records_after_gap = self.records_after_gap or [], None
        self.fold.load_snapshot(snapshot)
        for stored in buffered:
            if stored.offset >= end_offset:
                self.apply_record(stored.offset, stored.time, bytes(stored.record))

    def adopt_snapshot(self, end_offset: int, snapshot: bytes) -> bool:
        """Load a snapshot made by another process if it is ahead of this state.

        :param end_offset: offset of the first record that the snapshot does not
            include.
        :returns: whether the snapshot was loaded.
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
        """Record that the state included every record of the stream at time ``at``.

        Ignored while the state waits for a snapshot.

        :param at: time by ``clock``.
        """
        if self.records_after_gap is None:
            self.confirmed_at = max(self.confirmed_at, at)

    def apply_record(self, offset: int, time: float, payload: bytes) -> None:
        """Apply one record, wake the task that committed it and call the listeners."""
        outcome = self.fold.apply(offset, time, payload)
        self.complete_pending(outcome)
        for listener in self.on_applied:
            listener(outcome, time, payload)

    async def write_snapshots(self) -> None:
        """Append a snapshot whenever one is due, until cancelled."""
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
        """Return whether the next snapshot is due.

        The state must be complete, and enough time or records must have followed the
        latest snapshot.
        """
        if self.records_after_gap is not None or self.next_offset == 0:
            return False
        if (
            self.next_offset - self.last_snapshot_offset
            >= MAX_RECORDS_BETWEEN_SNAPSHOTS
        ):
            return True
        return now - self.last_snapshot_at >= self.snapshot_interval_s

    def complete_pending(self, outcome: Outcome) -> None:
        """Wake the task that waits for the record with this outcome, if any."""
        pending = self.pending.pop(outcome.record_id, None)
        if pending is None:
            return
        pending.outcome = outcome
        pending.done.set()

    def signal_read_done(self) -> None:
        """Wake the tasks that wait for the next read of the stream."""
        self.read_done.set()
        self.read_done = trio.Event()

    def update_availability(self, available: bool, error: LogError | None) -> None:
        """Record whether the log responds, and write an event when that changes."""
        if available == self.available:
            return
        self.available = available
        self.available_since = self.clock()
        event = events.LOG_AVAILABLE if available else events.LOG_UNAVAILABLE
        events.write(event, stream=self.name, error=error or "")
