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

ANSWER_DELAY_S = 0.004
PAGE_RECORDS = 500
REMEMBERED_APPENDS = 5


class ProducerState:
    """What the store remembers of one producer in one topic."""

    __slots__ = ("epoch", "sequence", "offset_by_sequence")

    def __init__(self, stamp: AppendStamp) -> None:
        self.epoch = stamp.epoch
        self.sequence = stamp.sequence - 1
        self.offset_by_sequence: dict[int, int] = {}


class Topic:
    """One topic with a single partition."""

    __slots__ = ("records", "first_offset", "newest", "producers", "appended")

    def __init__(self) -> None:
        self.records: list[StoredRecord] = []
        self.first_offset = 0
        self.newest: dict[str, StoredRecord] = {}
        self.producers: dict[str, ProducerState] = {}
        self.appended = trio.Event()

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.first_offset + len(self.records)

    def append(
        self,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None,
    ) -> int:
        """Append records under the platform's rules."""
        producer = self.producers.get(stamp.producer)
        if producer is None:
            producer = ProducerState(stamp)
        if stamp.epoch < producer.epoch:
            raise LogFencedError("a higher epoch was seen")
        if stamp.epoch > producer.epoch:
            producer = ProducerState(stamp)
        if stamp.sequence in producer.offset_by_sequence:
            return producer.offset_by_sequence[stamp.sequence]
        if stamp.sequence != producer.sequence + 1:
            raise LogSequenceError(producer.sequence + 1)
        if expected_end is not None and expected_end != self.end:
            raise LogConditionError("the topic ends elsewhere")
        offset = self.end
        self.producers[stamp.producer] = producer
        producer.sequence = stamp.sequence
        producer.offset_by_sequence[stamp.sequence] = offset
        for old in [
            n
            for n in producer.offset_by_sequence
            if n <= stamp.sequence - REMEMBERED_APPENDS
        ]:
            del producer.offset_by_sequence[old]
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
        self.appended.set()
        self.appended = trio.Event()

    def expire_records(self) -> None:
        """Drop all records; the newest of each key can still be listed."""
        self.first_offset = self.end
        self.records.clear()


class StandinStore:
    """The store and its faults.

    :param disconnected_clients: names of the clients that it does not serve.
    :param lose_answers: so many appends take effect and are not answered.
    :param late_append_delay_s: so many seconds later the effect of a lost append comes.
    """

    __slots__ = (
        "topics",
        "disconnected_clients",
        "lose_answers",
        "late_append_delay_s",
        "append_calls",
    )

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.disconnected_clients: set[str] = set()
        self.lose_answers = 0
        self.late_append_delay_s = 0.0
        self.append_calls = 0

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

    async def simulate_call(self) -> None:
        """Take the time of an answer.

        :raises LogUnavailableError: when the store does not serve this client.
        """
        await trio.sleep(ANSWER_DELAY_S)
        if self.name in self.store.disconnected_clients:
            raise LogUnavailableError("away", applied=False)

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append records, with the faults that are set."""
        await self.simulate_call()
        self.store.append_calls += 1
        if self.store.lose_answers > 0:
            self.store.lose_answers -= 1
            if self.store.late_append_delay_s:
                trio.lowlevel.spawn_system_task(
                    self.append_late,
                    topic,
                    records,
                    stamp,
                    expected_end,
                    self.store.late_append_delay_s,
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
        await self.simulate_call()
        found = self.store.topic(topic)
        if offset < found.first_offset:
            raise RecordExpiredError(found.first_offset)
        if offset >= found.end:
            with trio.move_on_after(wait_s):
                await found.appended.wait()
            await self.simulate_call()
        if offset < found.first_offset:
            raise RecordExpiredError(found.first_offset)
        return ReadResult(found.records[offset - found.first_offset :], found.end)

    async def list_newest(self, topic: str, after: str) -> NewestPage:
        """Return a page of newest records."""
        await self.simulate_call()
        found = self.store.topic(topic)
        keys = sorted(key for key in found.newest if key > after)
        page = [found.newest[key] for key in keys[:PAGE_RECORDS]]
        return NewestPage(page, len(keys) > PAGE_RECORDS, found.end)
