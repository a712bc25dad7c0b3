from __future__ import annotations

import unittest
from random import Random

import trio
import trio.testing

from rattanwing.batch import records
from rattanwing.batch.agent import BatchAgent, keep_registered, unregister
from rattanwing.batch.model import StepSpec
from rattanwing.batch.ports import AppendStamp
from rattanwing.batch.writer import RecordWriter
from rattanwing.standin.keyed_store import StandinStore
from rattanwing.standin.runs import StandinBatchExecutor
from tests.batch.world import job, play

NODE = "agent-1"


class RegistrationTests(unittest.TestCase):
    def setUp(self):
        self.store = StandinStore()

    def addresses(self):
        return list(self.store.topic(records.DIRECTORY_TOPIC).newest)

    async def run_agent(self, incarnation, duration_s):
        """Run a process of the agent without executor, and stop it in an orderly way.

        An owner is connected all the time.
        """
        executor = StandinBatchExecutor("executor-0", "domain-a", [], lambda _task: 1.0)
        agent = BatchAgent(trio.current_time, executor.port)
        agent.executor_exited = True
        agent.last_contact_at = float("inf")
        writer = RecordWriter(
            self.store.client(NODE),
            records.DIRECTORY_TOPIC,
            AppendStamp(incarnation, 1, 0),
            trio.current_time,
            Random(1),
        )
        address = records.AgentAddress(NODE, "10.0.0.1:8000", incarnation)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            nursery.start_soon(keep_registered, agent, writer, address, Random(2))
            await trio.sleep(duration_s)
            await unregister(agent, writer, NODE)
            nursery.cancel_scope.cancel()

    def play(self, scenario):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scenario, clock=clock)

    def test_an_agent_that_stops_without_executor_deletes_its_address(self):
        async def scenario():
            await self.run_agent("agent-1-a", 1.0)

        self.play(scenario)
        self.assertEqual(self.addresses(), [])

    def test_a_late_deletion_spares_the_address_of_the_next_process(self):
        """A later owner did not know of the agent and started its tasks again."""

        async def scenario():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.run_agent, "agent-1-a", 1.0)
                await trio.sleep(0.9)
                self.store.lose_answers = 1000
                self.store.late_append_delay_s = 3.0
                await trio.sleep(1.3)
            self.store.lose_answers = 0
            with trio.move_on_after(10.0):
                await self.run_agent("agent-1-b", 60.0)

        self.play(scenario)
        self.assertEqual(self.addresses(), [records.AGENT_PREFIX + NODE])


class TakeoverTests(unittest.TestCase):
    def test_a_later_owner_knows_of_an_agent_whose_deletion_was_late(self):
        """It started the tasks that ran there a second time, beside the first runs."""

        async def scenario(world):
            name = "agent-0"
            executor = world.executors[0]
            await trio.sleep(5)
            executor.draining = True
            await trio.sleep(1.5)
            executor.crash()
            agent = world.agents[name]
            self.assertTrue(agent.handle_exit(executor.executor_id()))
            writer = RecordWriter(
                world.store.client(name),
                records.DIRECTORY_TOPIC,
                AppendStamp("agent-0-stopping", 1, 0),
                world.now,
                Random(1),
            )
            world.store.lose_answers = 1000
            world.store.late_append_delay_s = 6.0
            with trio.move_on_after(1.2):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(writer.run)
                    nursery.start_soon(unregister, agent, writer, name)
            world.store.lose_answers = 0
            world.kill(name)
            await trio.sleep(0.8)
            executor.draining = False
            executor.restart()
            await world.start_agent(0)
            await trio.sleep(2.5)
            world.durations = lambda _task: 30.0
            await world.submit(
                job(
                    "job-1",
                    steps=(StepSpec(16, cpu=500, memory_mb=10, estimate_ms=30_000),),
                )
            )
            await trio.sleep(2.5)
            self.assertTrue(executor.running)
            world.kill(world.owner().settings.name)
            await trio.sleep(8)

        for seed in range(1, 6):
            with self.subTest(seed=seed):
                world = play(scenario, seed=seed)
                self.assertEqual(world.overlaps(), [])
