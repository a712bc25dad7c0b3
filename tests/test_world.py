"""Checks the simulated deployment itself, without faults."""

from __future__ import annotations

import unittest

import trio

from tests.history import find_violations
from tests.world import run_world


class WorldTests(unittest.TestCase):
    def test_request_and_job_without_faults(self):
        async def scenario(world):
            world.start_entry("entry-1")
            world.start_entry("entry-2", "fd-2")
            for number in (1, 2, 3):
                world.start_agent(f"agent-{number}", f"fd-{number}")
            await world.wait_ready(3)
            response = await world.request("entry-1", "m1")
            self.assertEqual(response.status, 200)
            self.assertEqual(await world.submit("entry-2", "j1"), 200)
            await world.wait_for_state("entry-1", "j1", "finished")
            await trio.sleep(30)

        history = run_world(scenario)
        self.assertEqual(find_violations(history), [])
        self.assertEqual(len(history.executions), 1)
        self.assertEqual([run.state for run in history.runs], ["finished"])
