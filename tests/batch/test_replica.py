from __future__ import annotations

import unittest

import trio
import trio.testing

from rattanwing.batch import records
from rattanwing.batch.model import JobState
from rattanwing.batch.ports import Stamp, StoredRecord
from rattanwing.batch.replica import TopicReader, WorkReplica
from rattanwing.errors import LogSequenceError
from rattanwing.standin.keyed_store import StandinStore
from tests.batch.world import job

JOB = records.encode(job())
DONE = records.encode(records.Progress(1, JobState.COMPLETED, finished_at_ms=5))


def run(main):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def write(store, *pairs):
    topic = store.topic(records.WORK_TOPIC)
    for key, value in pairs:
        topic.put(key, value)


class LoadTests(unittest.TestCase):
    def load(self, store):
        async def main():
            replica = WorkReplica(trio.current_time)
            reader = TopicReader(
                store.client("entry"),
                records.WORK_TOPIC,
                trio.current_time,
                replica.apply,
                load_order=replica.load_order,
            )
            await reader.load()
            return replica

        return run(main)

    def test_job_that_was_handed_in_again_after_its_end_stays_finished(self):
        """The newest record of the job is newer than that of its progress."""
        store = StandinStore()
        write(store, ("job/job-1", JOB), ("progress/job-1", DONE), ("job/job-1", JOB))
        replica = self.load(store)
        self.assertIs(replica.jobs["job-1"].state, JobState.COMPLETED)

    def test_cancellation_before_the_newest_record_of_its_job_counts(self):
        store = StandinStore()
        cancel = records.encode(records.CancelRequest(1))
        write(store, ("job/job-1", JOB), ("cancel/job-1", cancel), ("job/job-1", JOB))
        self.assertIs(self.load(store).jobs["job-1"].state, JobState.CANCELLED)


class FoldTests(unittest.TestCase):
    def setUp(self):
        self.replica = WorkReplica(lambda: 0.0)
        self.offset = 0

    def apply(self, key, value):
        self.offset += 1
        self.replica.apply(StoredRecord(key, value, self.offset))

    def test_progress_of_an_older_owner_changes_nothing(self):
        self.apply("job/job-1", JOB)
        self.apply("progress/job-1", records.encode(records.Progress(2)))
        self.apply("progress/job-1", DONE)
        self.assertIs(self.replica.jobs["job-1"].state, JobState.QUEUED)

    def test_older_claim_changes_nothing(self):
        self.apply("owner", records.encode(records.Owner(4, "b", "b-1")))
        self.apply("owner", records.encode(records.Owner(3, "a", "a-1")))
        self.assertEqual(self.replica.owner.node, "b")

    def test_records_that_do_not_decode_are_left_out(self):
        for key in ("job/x", "progress/x", "cancel/x", "owner", "other/x", "", "job"):
            for value in (b"", b"\xff", b"\x93\x01", b"{}"):
                self.apply(key, value)
        self.assertEqual(self.replica.jobs, {})
        self.assertIsNone(self.replica.owner)

    def test_dropped_job_is_forgotten(self):
        self.apply("job/job-1", JOB)
        self.apply("job/job-1", None)
        self.assertEqual(self.replica.jobs, {})


class ReaderTests(unittest.TestCase):
    def test_reader_goes_on_after_the_history_was_forgotten(self):
        store = StandinStore()
        seen = []

        async def main():
            reader = TopicReader(
                store.client("entry"), "work", trio.current_time, seen.append
            )
            topic = store.topic("work")
            topic.put("a", b"1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reader.run)
                await trio.sleep(1)
                topic.put("b", b"2")
                topic.put("c", b"3")
                topic.forget_history()
                topic.put("d", b"4")
                await trio.sleep(5)
                nursery.cancel_scope.cancel()

        run(main)
        self.assertEqual({record.key for record in seen}, {"a", "b", "c", "d"})

    def test_freshness_needs_reads_without_a_break(self):
        store = StandinStore()

        async def main():
            reader = TopicReader(
                store.client("entry"), "work", trio.current_time, lambda _r: None
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reader.run)
                await trio.sleep(10)
                self.assertTrue(reader.is_fresh(trio.current_time()))
                self.assertLess(reader.fresh_since, 1)
                store.away.add("entry")
                await trio.sleep(5)
                self.assertFalse(reader.is_fresh(trio.current_time()))
                store.away.clear()
                await trio.sleep(2)
                self.assertGreater(reader.fresh_since, 14)
                nursery.cancel_scope.cancel()

        run(main)


class StampTests(unittest.TestCase):
    def test_claims_of_two_candidates_are_not_taken_for_repeats(self):
        store = StandinStore()
        topic = store.topic("work")
        topic.append([("owner", b"a")], Stamp("owner", 2, 77), 0)
        with self.assertRaises(LogSequenceError):
            topic.append([("owner", b"b")], Stamp("owner", 2, 4711), 0)
