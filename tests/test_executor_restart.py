from __future__ import annotations

import threading
import unittest

import trio

from tests.history import find_violations
from tests.processes import Deployment
from tests.world import run_world


class ExecutorRestartTests(unittest.TestCase):
    def run_requests(self, scenario):
        """Run a scenario and return the verdicts of its requests, by marker."""
        history = run_world(scenario)
        self.assertEqual(find_violations(history), [])
        return {marker: call.verdict for marker, call in history.calls.items()}

    async def start(self, world, agents):
        world.start_entry("entry-1", "fd-1")
        for number in range(1, agents + 1):
            world.start_agent(f"agent-{number}", "fd-1")
        await world.wait_ready(agents)

    def test_requests_avoid_an_executor_that_refuses_connections(self):
        """Its quick refusals made it look idle and used up the retries."""

        async def scenario(world):
            await self.start(world, 2)
            world.executors["agent-1"].down = True
            for number in range(600):
                world.nursery.start_soon(world.request, "entry-1", f"m{number}")
                await trio.sleep(0.02)
            await trio.sleep(3)

        verdicts = self.run_requests(scenario)
        self.assertEqual(len(verdicts), 600)
        self.assertEqual(set(verdicts.values()), {"ran"})

    def test_executor_gets_requests_again_after_its_restart(self):
        async def scenario(world):
            await self.start(world, 2)
            world.executors["agent-1"].down = True
            for number in range(20):
                await world.request("entry-1", f"first-{number}")
            world.executors["agent-1"].down = False
            world.executors["agent-2"].down = True
            await trio.sleep(2)
            for number in range(20):
                await world.request("entry-1", f"second-{number}")

        self.assertEqual(set(self.run_requests(scenario).values()), {"ran"})

    def test_requests_wait_for_the_restart_of_the_only_executor(self):
        async def scenario(world):
            await self.start(world, 1)
            world.executors["agent-1"].down = True
            await world.request("entry-1", "notices", timeout_ms=500)
            world.nursery.start_soon(world.request, "entry-1", "waits")
            await trio.sleep(1)
            world.executors["agent-1"].down = False
            await trio.sleep(2)

        verdicts = self.run_requests(scenario)
        self.assertEqual(verdicts, {"notices": "not-run", "waits": "ran"})


class ExecutorStartTests(unittest.TestCase):
    def test_request_waits_for_an_executor_that_starts_after_its_agent(self):
        deployment = Deployment(entries=1, agents=1)
        self.addCleanup(deployment.close)
        for name in deployment.settings:
            if name != "executor-1":
                deployment.start(name)
        deployment.wait_until_connected("entry-1", 1)
        starter = threading.Timer(1.0, deployment.start, ["executor-1"])
        starter.start()
        self.addCleanup(starter.join)
        status, headers, body = deployment.call(
            "entry-1",
            "GET",
            "/services/collections/y",
            headers={"Rattanwing-Timeout-Ms": "30000"},
        )
        verdict = headers["rattanwing-verdict"]
        self.assertEqual((status, verdict), (200, "ran"), body)
