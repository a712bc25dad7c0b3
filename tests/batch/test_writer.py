from __future__ import annotations

import unittest
from random import Random

import trio
import trio.testing

from rattanwing.batch.ports import Stamp
from rattanwing.batch.writer import MAX_GROUP_BYTES, RecordWriter
from rattanwing.standin.keyed_store import StandinStore
from rattanwing.verdict import Verdict


class WriterTests(unittest.TestCase):
    def setUp(self):
        self.store = StandinStore()

    def play(self, scenario):
        async def main():
            client = self.store.client("entry")
            stamp = Stamp("entry-1", 1, 0)
            writer = RecordWriter(client, "work", stamp, trio.current_time, Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                await scenario(writer)
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)

    def keys(self):
        return [record.key for record in self.store.topic("work").records]

    def test_what_waits_goes_in_one_append(self):
        async def scenario(writer):
            async with trio.open_nursery() as nursery:
                for number in range(50):
                    record = [(f"k{number}", b"v")]
                    nursery.start_soon(writer.store_records, record, None)

        self.play(scenario)
        self.assertEqual(len(self.keys()), 50)
        self.assertLessEqual(self.store.appends, 3)

    def test_lost_answers_store_a_record_once(self):
        async def scenario(writer):
            for late_s in (0.0, 1.0, 3.0):
                self.store.late_s = late_s
                self.store.lose_answers = 4
                found = await writer.store_records([(f"k{late_s}", b"v")], None)
                self.assertIs(found, Verdict.RAN)
                await trio.sleep(5)

        self.play(scenario)
        self.assertEqual(self.keys(), ["k0.0", "k1.0", "k3.0"])

    def test_definite_failure_says_that_nothing_was_stored(self):
        async def scenario(writer):
            self.store.away.add("entry")
            expires_at = trio.current_time() + 1.0
            found = await writer.store_records([("k", b"v")], expires_at)
            self.assertIs(found, Verdict.NOT_RUN)
            self.assertLess(trio.current_time(), 2.5)
            self.store.away.clear()
            await trio.sleep(5)
            await writer.store_records([("later", b"v")], None)

        self.play(scenario)
        self.assertEqual(self.keys(), ["later"])

    def test_unknown_outcome_is_resolved_and_never_called_a_failure(self):
        async def scenario(writer):
            self.store.lose_answers = 1
            expires_at = trio.current_time() + 0.001
            found = await writer.store_records([("k", b"v")], expires_at)
            self.assertIs(found, Verdict.RAN)

        self.play(scenario)
        self.assertEqual(self.keys(), ["k"])

    def test_fenced_writer_stores_nothing_more(self):
        async def scenario(writer):
            topic = self.store.topic("work")
            topic.append([("claim", b"c")], Stamp("entry-1", 2, 5), None)
            found = await writer.store_records([("k", b"v")], None)
            self.assertIs(found, Verdict.NOT_RUN)
            found = await writer.store_records([("l", b"v")], None)
            self.assertIs(found, Verdict.NOT_RUN)

        self.play(scenario)
        self.assertEqual(self.keys(), ["claim"])

    def test_large_records_are_refused_and_large_groups_split(self):
        async def scenario(writer):
            found = await writer.store_records([("k", b"x" * 300_000)], None)
            self.assertIs(found, Verdict.NOT_RUN)
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    record = [(f"k{number}", b"x" * 150_000)]
                    nursery.start_soon(writer.store_records, record, None)

        self.play(scenario)
        self.assertEqual(len(self.keys()), 20)
        self.assertGreaterEqual(self.store.appends, 20 * 150_000 / MAX_GROUP_BYTES)
