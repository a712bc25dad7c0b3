from __future__ import annotations

import unittest
from random import Random

import trio
import trio.testing

from rattanwing.batch.ports import AppendStamp
from rattanwing.batch.writer import DEFAULT_LIMITS, RecordWriter
from rattanwing.standin.keyed_store import ANSWER_DELAY_S, StandinStore
from rattanwing.verdict import Verdict


class WriterTests(unittest.TestCase):
    def setUp(self):
        self.store = StandinStore()

    def run_scenario(self, scenario):
        async def main():
            client = self.store.client("entry")
            stamp = AppendStamp("entry-1", 1, 0)
            writer = RecordWriter(client, "work", stamp, trio.current_time, Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                await scenario(writer)
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)

    def keys(self):
        return [record.key for record in self.store.topic("work").records]

    def test_waiting_records_are_grouped_into_few_appends(self):
        async def scenario(writer):
            async with trio.open_nursery() as nursery:
                for number in range(50):
                    record = [(f"k{number}", b"v")]
                    nursery.start_soon(writer.store_records, record, None)

        self.run_scenario(scenario)
        self.assertEqual(len(self.keys()), 50)
        self.assertLessEqual(self.store.append_calls, 3)

    def test_record_is_stored_once_when_answers_are_lost(self):
        async def scenario(writer):
            for late_s in (0.0, 1.0, 3.0):
                self.store.late_append_delay_s = late_s
                self.store.lose_answers = 4
                verdict = await writer.store_records([(f"k{late_s}", b"v")], None)
                self.assertIs(verdict, Verdict.RAN)
                await trio.sleep(5)

        self.run_scenario(scenario)
        self.assertEqual(self.keys(), ["k0.0", "k1.0", "k3.0"])

    def test_success_of_a_repeat_counts_from_the_first_attempt(self):
        """The append may have been stored then; a later owner has waited since that
        time for the leases that count from it.
        """

        async def scenario(writer):
            self.store.lose_answers = 4
            stored_at = trio.current_time() + ANSWER_DELAY_S
            await writer.store_records([("k", b"v")], None)
            self.assertGreater(trio.current_time(), stored_at + 0.1)
            self.assertLessEqual(writer.last_success_sent_at, stored_at)

        self.run_scenario(scenario)

    def test_success_counts_from_the_attempt_after_those_that_stored_nothing(self):
        async def scenario(writer):
            self.store.disconnected_clients.add("entry")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.store_records, [("k", b"v")], None)
                await trio.sleep(2.0)
                self.store.disconnected_clients.clear()
            self.assertGreaterEqual(writer.last_success_sent_at, 2.0)

        self.run_scenario(scenario)

    def test_expired_append_that_was_not_stored_returns_not_run(self):
        async def scenario(writer):
            self.store.disconnected_clients.add("entry")
            expires_at = trio.current_time() + 1.0
            verdict = await writer.store_records([("k", b"v")], expires_at)
            self.assertIs(verdict, Verdict.NOT_RUN)
            self.assertLess(trio.current_time(), 2.5)
            self.store.disconnected_clients.clear()
            await trio.sleep(5)
            await writer.store_records([("later", b"v")], None)

        self.run_scenario(scenario)
        self.assertEqual(self.keys(), ["later"])

    def test_append_with_a_lost_answer_is_retried_after_its_expiry(self):
        async def scenario(writer):
            self.store.lose_answers = 1
            expires_at = trio.current_time() + 0.001
            verdict = await writer.store_records([("k", b"v")], expires_at)
            self.assertIs(verdict, Verdict.RAN)

        self.run_scenario(scenario)
        self.assertEqual(self.keys(), ["k"])

    def test_fenced_writer_refuses_further_records(self):
        async def scenario(writer):
            topic = self.store.topic("work")
            topic.append([("claim", b"c")], AppendStamp("entry-1", 2, 5), None)
            verdict = await writer.store_records([("k", b"v")], None)
            self.assertIs(verdict, Verdict.NOT_RUN)
            verdict = await writer.store_records([("l", b"v")], None)
            self.assertIs(verdict, Verdict.NOT_RUN)

        self.run_scenario(scenario)
        self.assertEqual(self.keys(), ["claim"])

    def test_oversized_records_are_refused_and_large_groups_are_split(self):
        async def scenario(writer):
            verdict = await writer.store_records([("k", b"x" * 300_000)], None)
            self.assertIs(verdict, Verdict.NOT_RUN)
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    record = [(f"k{number}", b"x" * 150_000)]
                    nursery.start_soon(writer.store_records, record, None)

        self.run_scenario(scenario)
        self.assertEqual(len(self.keys()), 20)
        self.assertGreaterEqual(
            self.store.append_calls, 20 * 150_000 / DEFAULT_LIMITS.max_group_bytes
        )
