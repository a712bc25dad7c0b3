from __future__ import annotations

import math
import unittest

import trio
import trio.testing

from rattanwing.batch import messages
from rattanwing.batch.agent import BatchAgent, OwnerSession
from rattanwing.batch.ports import RunningRow
from rattanwing.errors import ProtocolError
from rattanwing.standin.runs import StandinBatchExecutor

PROPERTIES = messages.TaskProperties(100, 10, 0, False, 0, "")


class OddMessageTests(unittest.TestCase):
    """Messages of the right types whose values ended the process that read them."""

    def check_refused(self, message):
        with self.subTest(message=message), self.assertRaises(ProtocolError):
            messages.decode(messages.encode(message))

    def test_times_that_are_no_times(self):
        for value in (math.nan, math.inf, -math.inf, 1e300):
            self.check_refused(messages.LeaseRenewal(1.0, value))
            self.check_refused(messages.LeaseRenewal(value, 1.0))
            self.check_refused(messages.HostReport(value, 0, None, [], True))
            self.check_refused(messages.RelayedCancel("job-1", "queue-1", value))
            self.check_refused(
                messages.StartRun(1, "t", 1, "i", "", "", PROPERTIES, value)
            )

    def test_numbers_that_can_not_be_passed_on(self):
        for value in (-1, 2**63):
            self.check_refused(messages.OwnerHello(value, 1, "entry-1"))
            self.check_refused(messages.OwnerHello(1, value, "entry-1"))
            self.check_refused(messages.Superseded(value))
            self.check_refused(messages.EndsStored("i", value))
            self.check_refused(messages.StopRun(1, "t", value))
            self.check_refused(
                messages.StartRun(1, "t", value, "i", "", "", PROPERTIES, 1.0)
            )
            row = RunningRow("t", value, "", 0)
            self.check_refused(messages.HostReport(1.0, 0, None, [row], True))

    def test_agent_polls_on_after_a_lease_without_end(self):
        executor = StandinBatchExecutor("executor-0", "domain-a", [], lambda _task: 1.0)

        async def main():
            agent = BatchAgent(trio.current_time, executor.port)
            agent.handle_announcement(executor.view())
            owner = agent.owner = OwnerSession(1, 1)
            agent.executor.set_fence(1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(agent.run)
                await trio.sleep(1)
                renewal = messages.LeaseRenewal(1.0, math.inf)
                try:
                    decoded = messages.decode(messages.encode(renewal))
                except ProtocolError:
                    decoded = None
                agent.handle_message(owner, decoded)
                await trio.sleep(1)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
