from __future__ import annotations

import unittest

import trio

from tests.world import run_world


class WorkerRestartTests(unittest.TestCase):
    def test_jobs_go_on_after_a_worker_restarts_without_its_agent(self):
        """The agent took the worker's tasks for running for ever."""
        unfinished = []

        async def scenario(world):
            world.start_entry("entry-1", "fd-1")
            world.start_agent("agent-1", "fd-1", executor=False)
            world.start_agent("agent-2", "fd-2", executor=False)
            await world.wait_ready(2)
            await world.declare_organisation()
            await world.submit("entry-1", "job-1", run_s=3.0)
            await trio.sleep(2)
            for worker in world.workers.values():
                worker.tasks.clear()
                worker.started_keys.clear()
                worker.session = ""
            await trio.sleep(1)
            await world.submit("entry-1", "job-2", run_s=1.0)
            await trio.sleep(60)
            for name in ("job-1", "job-2"):
                with trio.move_on_after(30) as scope:
                    await world.wait_for_state("entry-1", name, "finished")
                if scope.cancelled_caught:
                    unfinished.append(name)

        run_world(scenario)
        self.assertEqual(unfinished, [])
