"""A stand-in of the platform's store of keyed records, in memory.

It can be away for some clients, lose answers after the effect, carry an append
out late, and forget its history but the newest record of each key.
"""

from __future__ import annotations

import trio

from rattanwing.batch.ports import AppendStamp, NewestPage, ReadResult, StoredRecord
from rattanwing.errors import (
    LogConditionError,
    LogFencedError,
    LogSequenceError,
    LogUnavailableError,
    RecordExpiredError,
)

ANSWER_S = 0.004
PAGE_RECORDS = 500
REPEATS = 5


class Producer:
    """What the store remembers of one producer in one topic."""

    __slots__ = ("epoch", "sequence", "answers")

    def __init__(self, stamp: AppendStamp) -> None:
        self.epoch = stamp.epoch
        self.sequence = stamp.sequence - 1
        self.answers: dict[int, int] = {}


class Topic:
    """One topic with a single partition."""

    __slots__ = ("records", "first", "newest", "producers", "arrived")

    def __init__(self) -> None:
        self.records: list[StoredRecord] = []
        self.first = 0
        self.newest: dict[str, StoredRecord] = {}
        self.producers: dict[str, Producer] = {}
        self.arrived = trio.Event()

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.first + len(self.records)

    def append(
        self,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None,
    ) -> int:
        """Append records under the platform's rules."""
        producer = self.producers.get(stamp.producer)
        if producer is None:
            producer = Producer(stamp)
        if stamp.epoch < producer.epoch:
            raise LogFencedError("a higher epoch was seen")
        if stamp.epoch > producer.epoch:
            producer = Producer(stamp)
        if stamp.sequence in producer.answers:
            return producer.answers[stamp.sequence]
        if stamp.sequence != producer.sequence + 1:
            raise LogSequenceError(producer.sequence + 1)
        if expected_end is not None and expected_end != self.end:
            raise LogConditionError("the topic ends elsewhere")
        offset = self.end
        self.producers[stamp.producer] = producer
        producer.sequence = stamp.sequence
        producer.answers[stamp.sequence] = offset
        for old in [n for n in producer.answers if n <= stamp.sequence - REPEATS]:
            del producer.answers[old]
        for key, value in records:
            self.put(key, value)
        return offset

    def put(self, key: str, value: bytes | None) -> None:
        """Add one record."""
        record = StoredRecord(key, value, self.end)
        self.records.append(record)
        if value is None:
            self.newest.pop(key, None)
        else:
            self.newest[key] = record
        self.arrived.set()
        self.arrived = trio.Event()

    def forget_history(self) -> None:
        """Drop all records; the newest of each key can still be listed."""
        self.first = self.end
        self.records.clear()


class StandinStore:
    """The store and its faults.

    :param away: names of the clients that it does not serve.
    :param lose_answers: so many appends take effect and are not answered.
    :param late_s: so many seconds later the effect of a lost append comes.
    """

    __slots__ = ("topics", "away", "lose_answers", "late_s", "appends")

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.away: set[str] = set()
        self.lose_answers = 0
        self.late_s = 0.0
        self.appends = 0

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created at its first use."""
        return self.topics.setdefault(name, Topic())

    def client(self, name: str) -> StandinStoreClient:
        """Return the store as one process sees it."""
        return StandinStoreClient(self, name)


class StandinStoreClient:
    """One process's way to the store."""

    __slots__ = ("store", "name")

    def __init__(self, store: StandinStore, name: str) -> None:
        self.store = store
        self.name = name

    async def answer(self) -> None:
        """Take the time of an answer.

        :raises LogUnavailableError: when the store does not serve this client.
        """
        await trio.sleep(ANSWER_S)
        if self.name in self.store.away:
            raise LogUnavailableError("away", applied=False)

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append records, with the faults that are set."""
        await self.answer()
        self.store.appends += 1
        if self.store.lose_answers > 0:
            self.store.lose_answers -= 1
            if self.store.late_s:
                trio.lowlevel.spawn_system_task(
                    self.append_late,
                    topic,
                    records,
                    stamp,
                    expected_end,
                    self.store.late_s,
                )
            else:
                self.store.topic(topic).append(records, stamp, expected_end)
            raise LogUnavailableError("answer lost", applied=True)
        return self.store.topic(topic).append(records, stamp, expected_end)

    async def append_late(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None,
        after_s: float,
    ) -> None:
        """Append when nobody waits for the answer any more."""
        await trio.sleep(after_s)
        try:
            self.store.topic(topic).append(records, stamp, expected_end)
        except (LogConditionError, LogFencedError, LogSequenceError):
            return

    async def read(self, topic: str, offset: int, wait_s: float) -> ReadResult:
        """Return records from an offset on."""
        await self.answer()
        found = self.store.topic(topic)
        if offset < found.first:
            raise RecordExpiredError(found.first)
        if offset >= found.end:
            with trio.move_on_after(wait_s):
                await found.arrived.wait()
            await self.answer()
        if offset < found.first:
            raise RecordExpiredError(found.first)
        return ReadResult(found.records[offset - found.first :], found.end)

    async def list_newest(self, topic: str, after: str) -> NewestPage:
        """Return a page of newest records."""
        await self.answer()
        found = self.store.topic(topic)
        keys = sorted(key for key in found.newest if key > after)
        page = [found.newest[key] for key in keys[:PAGE_RECORDS]]
        return NewestPage(page, len(keys) > PAGE_RECORDS, found.end)
