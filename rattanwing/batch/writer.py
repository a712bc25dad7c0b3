"""Appends records to a topic in groups, with one store call in flight at a time.

Records submitted during a call form the next group. A call whose answer was lost is
repeated with the same stamp, which the store uses to apply it only once; no later
group is sent until its outcome is known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing import events
from rattanwing.batch.ports import AppendStamp
from rattanwing.batch.store_speed import StoreSpeed
from rattanwing.errors import (
    LogFencedError,
    LogSequenceError,
    LogUnavailableError,
)
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from rattanwing.batch.ports import KeyedStore
    from rattanwing.batch.records import Records

MAX_GROUP_RECORDS = 200
"""Most records in one group, well below the store's limit for a call."""

MAX_KEY_BYTES = 512
"""Bytes of a record that are left for its key."""

MAX_PENDING_APPENDS = 2_000
"""Most appends waiting in the queue; further ones are refused at once."""

INITIAL_BACKOFF_S = 0.05
"""Mean wait after the first failure; about two round trips to the store."""

MAX_BACKOFF_S = 0.6
"""Largest mean wait between two attempts; keeps short the time until a store that
recovers is used again."""


class AppendLimits(msgspec.Struct, frozen=True):
    """Sizes in bytes that the store accepts, by the platform's settings.

    :param record_bytes: largest record, with its key.
    :param call_bytes: most bytes in one call.
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152

    @property
    def max_value_bytes(self) -> int:
        """Return the size of the largest value; larger ones are refused unsent."""
        return self.record_bytes - MAX_KEY_BYTES

    @property
    def max_group_bytes(self) -> int:
        """Return the most bytes of values in one group."""
        return self.call_bytes // 2


DEFAULT_LIMITS = AppendLimits()


class PendingAppend:
    """Records that wait to be stored.

    :param verdict: what is known about the append: ``RAN`` if the records were stored,
        ``NOT_RUN`` if they never will be, ``MAY_HAVE_RUN`` if the writer stopped before
        the outcome was known.
    :param expires_at: time after which the append is not retried if it is certain
        that it was not stored; ``None`` to retry without a limit.
    """

    __slots__ = ("records", "expires_at", "done", "verdict", "sent_at")

    def __init__(self, records: Records, expires_at: float | None) -> None:
        self.records = records
        self.expires_at = expires_at
        self.done = trio.Event()
        self.verdict = Verdict.MAY_HAVE_RUN
        self.sent_at = 0.0

    def finish(self, verdict: Verdict) -> None:
        """Set the verdict and wake the waiting task; later verdicts are ignored."""
        if self.done.is_set():
            return
        self.verdict = verdict
        self.done.set()


class RecordWriter:
    """Writes records to one topic as one producer.

    :param stamp: the producer, its epoch and the sequence number of its last append.
    :param fenced: whether the writer has stopped for good: the store has seen a
        higher epoch of the producer, or :meth:`fence` was called or :meth:`run` ended.
    :param failing_since: time of the first failure since the last success; ``None``
        after a success.
    :param last_failed_at: time of the newest failure.
    :param last_success_sent_at: time at which the newest successful append was sent,
        in the first attempt that may have stored it; the leases that an owner grants
        count from it.
    :param on_stored: called with the duration in seconds of each successful append.
    :param speed: told how long successful appends take.
    :param limits: sizes that the store accepts.
    """

    __slots__ = (
        "limits",
        "store",
        "topic",
        "producer",
        "epoch",
        "sequence",
        "clock",
        "random",
        "waiting",
        "wake",
        "fenced",
        "failing_since",
        "last_failed_at",
        "last_success_sent_at",
        "on_stored",
        "speed",
        "in_flight",
        "scope",
    )

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        stamp: AppendStamp,
        clock: Callable[[], float],
        random: Random,
        speed: StoreSpeed | None = None,
        limits: AppendLimits = DEFAULT_LIMITS,
    ) -> None:
        self.limits = limits
        self.store = store
        self.topic = topic
        self.producer = stamp.producer
        self.epoch = stamp.epoch
        self.sequence = stamp.sequence
        self.clock = clock
        self.random = random
        self.waiting: list[PendingAppend] = []
        self.wake = trio.Event()
        self.fenced = False
        self.failing_since: float | None = None
        self.last_failed_at = clock()
        self.last_success_sent_at = clock()
        self.on_stored: Callable[[float], None] | None = None
        self.speed = speed or StoreSpeed()
        self.in_flight: list[PendingAppend] = []
        self.scope = trio.CancelScope()

    def submit(self, records: Records, expires_at: float | None) -> PendingAppend:
        """Queue records and return their pending append."""
        pending = PendingAppend(records, expires_at)
        largest = max(len(value or b"") for _key, value in records)
        too_large = largest > self.limits.max_value_bytes
        if too_large:
            events.write(events.RECORD_TOO_LARGE, key=records[0][0], size=largest)
        full = self.fenced or len(self.waiting) >= MAX_PENDING_APPENDS
        if full or too_large:
            pending.finish(Verdict.NOT_RUN)
            return pending
        self.waiting.append(pending)
        self.wake.set()
        return pending

    async def store_records(
        self, records: Records, expires_at: float | None
    ) -> Verdict:
        """Append records and return whether they were stored.

        :returns: see ``verdict`` of :class:`PendingAppend`.
        """
        pending = self.submit(records, expires_at)
        await pending.done.wait()
        return pending.verdict

    async def run(self) -> None:
        """Append queued records until cancelled or fenced."""
        try:
            with self.scope:
                while not self.fenced:
                    await self.wake.wait()
                    self.in_flight = self.next_group()
                    if self.in_flight:
                        await self.write_group(self.in_flight)
        finally:
            self.fenced = True
            finish_all(self.in_flight, Verdict.MAY_HAVE_RUN)
            finish_all(self.waiting, Verdict.NOT_RUN)
            self.waiting.clear()

    def fence(self) -> None:
        """Stop writing; the outcome of an append in flight stays unknown."""
        self.fenced = True
        self.scope.cancel()

    def next_group(self) -> list[PendingAppend]:
        """Remove the next group of appends from the queue and return it."""
        group: list[PendingAppend] = []
        count = size = 0
        max_bytes = self.limits.max_group_bytes
        while self.waiting:
            head = self.waiting[0]
            count += len(head.records)
            size += sum(len(value or b"") for _key, value in head.records)
            if group and (count > MAX_GROUP_RECORDS or size > max_bytes):
                break
            group.append(self.waiting.pop(0))
        if not self.waiting:
            self.wake = trio.Event()
        return group

    async def write_group(self, group: list[PendingAppend]) -> None:
        """Append a group, and repeat the call until its outcome is known."""
        self.sequence += 1
        stamp = AppendStamp(self.producer, self.epoch, self.sequence)
        unanswered_at: float | None = None
        backoff_s = INITIAL_BACKOFF_S
        while True:
            sent_at = self.clock()
            try:
                records = [record for pending in group for record in pending.records]
                await self.store.append(self.topic, records, stamp)
            except LogFencedError:
                events.write(
                    events.WRITER_FENCED, producer=self.producer, epoch=self.epoch
                )
                self.fenced = True
                stored_maybe = unanswered_at is not None
                verdict = Verdict.MAY_HAVE_RUN if stored_maybe else Verdict.NOT_RUN
                finish_all(group, verdict)
                return
            except LogSequenceError as error:
                # The store expects a later number, so this group counts as stored.
                if error.expected > self.sequence:
                    finish_all(group, Verdict.RAN)
                    return
                self.sequence = error.expected
                stamp = AppendStamp(self.producer, self.epoch, self.sequence)
            except LogUnavailableError as error:
                if error.may_have_applied and unanswered_at is None:
                    unanswered_at = sent_at
                self.record_failure(error)
            else:
                self.record_success(
                    sent_at, sent_at if unanswered_at is None else unanswered_at
                )
                finish_all(group, Verdict.RAN)
                return
            if unanswered_at is None:
                group = drop_expired(group, self.clock())
                if not group:
                    self.sequence -= 1
                    return
            await trio.sleep(backoff_s * (0.5 + self.random.random()))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def record_failure(self, error: LogUnavailableError) -> None:
        """Record a failed append; the first one of an outage is logged."""
        self.last_failed_at = self.clock()
        if self.failing_since is None:
            self.failing_since = self.clock()
            events.write(events.LOG_UNAVAILABLE, topic=self.topic, reason=str(error))

    def record_success(self, sent_at: float, first_sent_at: float) -> None:
        """Record a successful append, which ends an outage.

        A candidate claims ownership only after it has read the records, and waits from
        its claim on for the leases that count from them. A repeat adds no record, so it
        may be sent after that claim.

        :param sent_at: when the attempt that was answered was sent.
        :param first_sent_at: when the first attempt that may have stored the records
            was sent.
        """
        self.last_success_sent_at = first_sent_at
        now = self.clock()
        self.speed.record(now - sent_at, now)
        if self.on_stored is not None:
            self.on_stored(now - sent_at)
        if self.failing_since is not None:
            outage_s = round(now - self.failing_since, 3)
            events.write(events.LOG_AVAILABLE, topic=self.topic, outage_s=outage_s)
            self.failing_since = None


def finish_all(group: list[PendingAppend], verdict: Verdict) -> None:
    """Finish every append of a group with the same verdict."""
    for pending in group:
        pending.finish(verdict)


def drop_expired(group: list[PendingAppend], now: float) -> list[PendingAppend]:
    """Finish the expired appends of a group that was not stored; return the others."""
    kept = []
    for pending in group:
        if pending.expires_at is not None and pending.expires_at <= now:
            pending.finish(Verdict.NOT_RUN)
            continue
        kept.append(pending)
    return kept
