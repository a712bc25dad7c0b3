from __future__ import annotations

import unittest
from unittest import mock

import msgspec
import trio

from rattanwing.agent.reports import RESEND_INTERVAL_S, ReportOutbox
from rattanwing.messages import ReportAck
from tests.world import run_world

FAILING_WORK = msgspec.json.encode({"run_s": 2.0, "fail": True}).decode()


class LostAcknowledgementTests(unittest.TestCase):
    def test_failure_that_is_reported_again_counts_once(self):
        """The acknowledgement of the first report is lost, so the agent repeats it."""
        lost = []
        handle_message = ReportOutbox.handle_message

        def lose_first(outbox, entry, message):
            if isinstance(message, ReportAck) and not lost:
                lost.append(message)
                return
            handle_message(outbox, entry, message)

        async def scenario(world):
            world.start_entry("entry-1", "fd-1")
            world.start_agent("agent-1", "fd-1")
            await world.wait_ready(1)
            await world.declare_organisation()
            await world.submit("entry-1", "j1", run_s=2.0, work=FAILING_WORK)
            await world.wait_for_state("entry-1", "j1", "placed")
            while world.job("entry-1", "j1").state == "placed":
                await trio.sleep(0.05)
            # No other attempt is placed meanwhile.
            await world.set_domain("entry-1", "fd-1", "out")
            await trio.sleep(2 * RESEND_INTERVAL_S)
            job = world.job("entry-1", "j1")
            self.assertEqual((job.state, job.attempt), ("pending", 1))
            self.assertEqual(job.failures, 1)
            self.assertEqual(world.app("agent-1").get("reports").pending, {})

        with mock.patch.object(ReportOutbox, "handle_message", lose_first):
            run_world(scenario)
        self.assertEqual(len(lost), 1)
