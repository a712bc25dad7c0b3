"""In-memory stand-in for the platform's store of keyed records.

It can simulate these faults: it is unreachable for some clients, gives some no answer,
is slow, loses answers to appends, appends take effect late, and records expire except
the newest of each key.
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
"""Simulated duration of a call."""

RECORD_BYTES = 262_144
"""Most bytes of a record that a topic accepts."""

CALL_BYTES = 2_097_152
"""Most bytes of the records of one call that a topic accepts."""

PAGE_RECORDS = 500
"""Number of records on a page of :meth:`StandinStoreClient.list_newest`."""

CALL_TIMEOUT_S = 1.5
"""Time in seconds after which a client gives up a call that has no answer."""

MAX_QUEUE_S = 2.0
"""Appends are refused while those that wait for a topic take longer than this."""

REMEMBERED_APPENDS = 5
"""Number of latest appends of each producer whose repeats are recognized."""


class ProducerState:
    """State by which a topic fences and deduplicates one producer's appends.

    :param epoch: highest epoch seen.
    :param sequence: sequence number of the last append.
    :param offset_by_sequence: first offset of each of the latest appends.
    """

    __slots__ = ("epoch", "sequence", "offset_by_sequence")

    def __init__(self, stamp: AppendStamp) -> None:
        self.epoch = stamp.epoch
        self.sequence = stamp.sequence - 1
        self.offset_by_sequence: dict[int, int] = {}


class Topic:
    """One topic with a single partition.

    :param records: the records that can be read, without gaps.
    :param first_offset: offset of the first of ``records``.
    :param newest: newest record of each key; deleted keys are left out.
    :param appended: set, and replaced by a new event, when a record is appended.
    :param free_at: when the appends that were received so far have been processed.
    """

    __slots__ = (
        "records",
        "first_offset",
        "newest",
        "producers",
        "appended",
        "free_at",
    )

    def __init__(self) -> None:
        self.records: list[StoredRecord] = []
        self.first_offset = 0
        self.newest: dict[str, StoredRecord] = {}
        self.producers: dict[str, ProducerState] = {}
        self.appended = trio.Event()
        self.free_at = 0.0

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    def append(
        self,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None,
    ) -> int:
        """Append records after the platform's checks and return the first offset.

        A repeated append returns the offset of the original one.

        :raises LogFencedError: when a higher epoch of the producer was seen.
        :raises LogSequenceError: when the sequence number is not the next one.
        :raises LogConditionError: when the topic does not end at ``expected_end``.
        """
        producer = self.producers.get(stamp.producer)
        if producer is None:
            producer = ProducerState(stamp)
        if stamp.epoch < producer.epoch:
            raise LogFencedError("the store has seen a higher epoch")
        if stamp.epoch > producer.epoch:
            producer = ProducerState(stamp)
        if stamp.sequence in producer.offset_by_sequence:
            return producer.offset_by_sequence[stamp.sequence]
        if stamp.sequence != producer.sequence + 1:
            raise LogSequenceError(producer.sequence + 1)
        if expected_end is not None and expected_end != self.end:
            raise LogConditionError("the topic does not end at the expected offset")
        sizes = [len(key) + len(value or b"") for key, value in records]
        if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > CALL_BYTES:
            raise LogUnavailableError("too large", may_have_applied=False)
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

    async def wait_for_turn(self, append_s: float) -> None:
        """Wait until the appends received before, and this one, have been processed.

        :param append_s: how long each takes, in seconds.
        :raises LogUnavailableError: when too many appends are waiting.
        """
        now = trio.current_time()
        if self.free_at - now > MAX_QUEUE_S:
            raise LogUnavailableError("too many appends", may_have_applied=False)
        self.free_at = max(now, self.free_at) + append_s
        await trio.sleep_until(self.free_at)

    def put(self, key: str, value: bytes | None) -> None:
        """Append one record without checks."""
        record = StoredRecord(key, value, self.end)
        self.records.append(record)
        if value is None:
            self.newest.pop(key, None)
        else:
            self.newest[key] = record
        self.appended.set()
        self.appended = trio.Event()

    def expire_records(self) -> None:
        """Drop all records; the newest record of each key can still be listed."""
        self.first_offset = self.end
        self.records.clear()


class StandinStore:
    """The store's topics and simulated faults.

    :param disconnected_clients: names of the clients whose calls fail.
    :param silent_to: names of clients whose calls have no effect and no answer.
    :param lose_answers: number of following appends that take effect but whose
        answers are lost.
    :param late_append_delay_s: delay in seconds before an append with a lost answer
        takes effect; 0 for none.
    :param slowdown: factor by which answers take longer. Above 1 a topic also processes
        its appends one at a time.
    :param append_calls: number of appends received.
    """

    __slots__ = (
        "slowdown",
        "topics",
        "disconnected_clients",
        "silent_to",
        "lose_answers",
        "late_append_delay_s",
        "append_calls",
    )

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.disconnected_clients: set[str] = set()
        self.silent_to: set[str] = set()
        self.lose_answers = 0
        self.late_append_delay_s = 0.0
        self.slowdown = 1.0
        self.append_calls = 0

    def topic(self, name: str) -> Topic:
        """Return a topic; create it if it does not exist."""
        return self.topics.setdefault(name, Topic())

    def client(self, name: str) -> StandinStoreClient:
        """Return a client of the store for the process ``name``."""
        return StandinStoreClient(self, name)


class StandinStoreClient:
    """One process's client of the store.

    Implements :class:`rattanwing.batch.ports.KeyedStore`.

    :param name: name of the process, by which it can be disconnected.
    """

    __slots__ = ("store", "name")

    def __init__(self, store: StandinStore, name: str) -> None:
        self.store = store
        self.name = name

    async def simulate_call(self) -> None:
        """Wait for the duration of a call.

        :raises LogUnavailableError: when this client is disconnected or gets no answer.
        """
        if self.name in self.store.silent_to:
            await trio.sleep(CALL_TIMEOUT_S)
            raise LogUnavailableError("no answer", may_have_applied=True)
        await trio.sleep(ANSWER_DELAY_S * self.store.slowdown)
        if self.name in self.store.disconnected_clients:
            raise LogUnavailableError(
                "the store is not reachable", may_have_applied=False
            )

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append records, or simulate a lost answer if that fault is set."""
        await self.simulate_call()
        self.store.append_calls += 1
        if self.store.slowdown > 1:
            append_s = ANSWER_DELAY_S * self.store.slowdown
            await self.store.topic(topic).wait_for_turn(append_s)
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
            raise LogUnavailableError("answer lost", may_have_applied=True)
        return self.store.topic(topic).append(records, stamp, expected_end)

    async def append_late(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None,
        after_s: float,
    ) -> None:
        """Append after a delay; the caller has already seen a lost answer.

        Refusals are ignored because no caller waits for them.
        """
        await trio.sleep(after_s)
        try:
            self.store.topic(topic).append(records, stamp, expected_end)
        except (LogConditionError, LogFencedError, LogSequenceError):
            return

    async def read(self, topic: str, offset: int, wait_s: float) -> ReadResult:
        """Return the records from an offset on, waiting ``wait_s`` for the first."""
        await self.simulate_call()
        stored_topic = self.store.topic(topic)
        if offset < stored_topic.first_offset:
            raise RecordExpiredError(stored_topic.first_offset)
        if offset >= stored_topic.end:
            with trio.move_on_after(wait_s):
                await stored_topic.appended.wait()
            await self.simulate_call()
        if offset < stored_topic.first_offset:
            raise RecordExpiredError(stored_topic.first_offset)
        return ReadResult(
            stored_topic.records[offset - stored_topic.first_offset :], stored_topic.end
        )

    async def list_newest(self, topic: str, after: str) -> NewestPage:
        """Return a page of newest records, by key, that starts after key ``after``."""
        await self.simulate_call()
        stored_topic = self.store.topic(topic)
        keys = sorted(key for key in stored_topic.newest if key > after)
        page = [stored_topic.newest[key] for key in keys[:PAGE_RECORDS]]
        return NewestPage(page, len(keys) > PAGE_RECORDS, stored_topic.end)
