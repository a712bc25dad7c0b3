from __future__ import annotations

import unittest

import trio
import trio.testing

from rattanwing.batch.shutdown import OpenRequests, StopTimes


class StopTimesTests(unittest.TestCase):
    def test_entry_exits_before_the_kill_at_any_grace_period(self):
        for grace_s in (0.0, 0.3, 1.0, 2.0, 3.0, 4.0, 6.0, 12.0, 60.0):
            with self.subTest(grace_s=grace_s):
                times = StopTimes(grace_s)
                self.assertLessEqual(times.answers_end_s, times.exit_s)
                self.assertGreaterEqual(times.answers_end_s, 0.0)
                margin_s = grace_s - times.exit_s
                self.assertGreaterEqual(margin_s + 1e-9, min(2.0, grace_s / 3))

    def test_requests_are_served_for_most_of_a_long_grace_period(self):
        self.assertGreater(StopTimes(12.0).answers_end_s, 9.0)
        self.assertGreater(StopTimes(6.0).answers_end_s, 3.5)


class OpenRequestsTests(unittest.TestCase):
    def test_requests_end_with_the_last_answers(self):
        async def wait_s(seconds):
            await trio.sleep(seconds)
            return seconds

        async def main():
            requests = OpenRequests()
            results = {}

            async def carry_out(seconds):
                results[seconds] = await requests.carry_out(lambda: wait_s(seconds))

            async with trio.open_nursery() as nursery:
                for seconds in (1, 9):
                    nursery.start_soon(carry_out, seconds)
                await trio.sleep(0.5)
                requests.end(trio.current_time() + 3)
                self.assertTrue(requests.accepts(trio.current_time()))
                nursery.start_soon(carry_out, 2)
                nursery.start_soon(carry_out, 8)
            self.assertEqual(results, {1: 1, 9: None, 2: 2, 8: None})
            self.assertEqual(trio.current_time(), 3.5)
            self.assertFalse(requests.accepts(trio.current_time()))
            self.assertEqual(requests.scopes, set())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
