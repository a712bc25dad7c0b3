from __future__ import annotations

import unittest

import trio
import trio.testing

from rattanwing.batch import records
from rattanwing.batch.model import JobState
from rattanwing.batch.ports import AppendStamp, StoredRecord
from rattanwing.batch.replica import TopicReader, WorkReplica
from rattanwing.errors import LogSequenceError
from rattanwing.standin.keyed_store import StandinStore
from tests.batch.world import job

JOB = records.encode(job())
DONE = records.encode(records.Progress(1, JobState.COMPLETED, finished_at_ms=5))


def run_on_mock_clock(main):
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

        return run_on_mock_clock(main)

    def test_finished_job_that_is_submitted_again_stays_finished(self):
        """The newest record of the job has a higher offset than its progress.

        Applied in the order of offsets, the progress would precede its job and be
        ignored.
        """
        store = StandinStore()
        write(store, ("job/job-1", JOB), ("progress/job-1", DONE), ("job/job-1", JOB))
        replica = self.load(store)
        self.assertIs(replica.jobs["job-1"].state, JobState.COMPLETED)

    def test_cancellation_older_than_the_newest_record_of_its_job_applies(self):
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

    def test_progress_from_an_earlier_epoch_is_ignored(self):
        self.apply("job/job-1", JOB)
        self.apply("progress/job-1", records.encode(records.Progress(2)))
        self.apply("progress/job-1", DONE)
        self.assertIs(self.replica.jobs["job-1"].state, JobState.QUEUED)

    def test_claim_of_an_earlier_epoch_is_ignored(self):
        self.apply("owner", records.encode(records.Owner(4, "b", "b-1")))
        self.apply("owner", records.encode(records.Owner(3, "a", "a-1")))
        self.assertEqual(self.replica.owner.node, "b")

    def test_malformed_records_are_skipped(self):
        for key in ("job/x", "progress/x", "cancel/x", "owner", "other/x", "", "job"):
            for value in (b"", b"\xff", b"\x93\x01", b"{}"):
                self.apply(key, value)
        self.assertEqual(self.replica.jobs, {})
        self.assertIsNone(self.replica.owner)

    def test_job_is_removed_when_its_record_is_deleted(self):
        self.apply("job/job-1", JOB)
        self.apply("job/job-1", None)
        self.assertEqual(self.replica.jobs, {})


class ReaderTests(unittest.TestCase):
    def test_reader_reloads_after_its_offset_has_expired(self):
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
                topic.expire_records()
                topic.put("d", b"4")
                await trio.sleep(5)
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)
        self.assertEqual({record.key for record in seen}, {"a", "b", "c", "d"})

    def test_fresh_since_restarts_after_a_gap_in_reads(self):
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
                store.disconnected_clients.add("entry")
                await trio.sleep(5)
                self.assertFalse(reader.is_fresh(trio.current_time()))
                store.disconnected_clients.clear()
                await trio.sleep(2)
                self.assertGreater(reader.fresh_since, 14)
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)


class OddRecordTests(unittest.TestCase):
    def test_deeply_nested_record_is_skipped(self):
        """The decoder raises RecursionError for it, which ended the process."""
        store = StandinStore()
        # Arrays of up to 15 items start with one byte that counts the items.
        deep = bytes([JOB[0] + 1]) + JOB[1:] + b"\x91" * 100_000 + b"\x90"

        async def main():
            replica = WorkReplica(trio.current_time)
            reader = TopicReader(
                store.client("entry"), "work", trio.current_time, replica.apply
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reader.run)
                await trio.sleep(1)
                write(store, ("job/odd", deep), ("job/job-1", JOB))
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            return replica

        replica = run_on_mock_clock(main)
        self.assertEqual(set(replica.jobs), {"job-1"})


class StampTests(unittest.TestCase):
    def test_store_does_not_treat_the_claims_of_two_candidates_as_repeats(self):
        store = StandinStore()
        topic = store.topic("work")
        topic.append([("owner", b"a")], AppendStamp("owner", 2, 77), 0)
        with self.assertRaises(LogSequenceError):
            topic.append([("owner", b"b")], AppendStamp("owner", 2, 4711), 0)
