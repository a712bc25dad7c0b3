from __future__ import annotations

import unittest

import trio
import trio.testing

from rattanwing.batch.ports import OrderOutcome, PollResult
from rattanwing.standin.runs import StandinBatchExecutor


class RestartTests(unittest.TestCase):
    def poll_earlier_incarnation(self, **options):
        """Return the answer to a poll for the life before a restart, and its clock."""

        async def poll():
            executor = StandinBatchExecutor("executor-0", "domain-a", [], lambda _: 1.0)
            port = executor.port(executor.view())
            await trio.sleep(5)
            executor.crash()
            executor.restart(**options)
            self.executor_id = executor.view().executor_id
            return await port.poll(1, 0, None, 0.0)

        return trio.run(poll, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_calls_for_an_earlier_life_under_the_same_id_are_accepted(self):
        answer = self.poll_earlier_incarnation(same_id=True)
        self.assertIsInstance(answer, PollResult)
        self.assertEqual(self.executor_id, "executor-0")
        self.assertEqual(answer.incarnation, "executor-0@2")
        self.assertLess(answer.clock_ms, 100)

    def test_calls_for_an_earlier_life_under_another_id_are_refused(self):
        answer = self.poll_earlier_incarnation()
        self.assertNotEqual(self.executor_id, "executor-0")
        self.assertIs(answer.outcome, OrderOutcome.OTHER_INCARNATION)
