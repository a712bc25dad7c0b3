from __future__ import annotations

import unittest

import trio

from rattanwing.batch.model import JobState, StepSpec
from rattanwing.batch.ports import EndReason
from tests.batch.world import job, play

TASKS = 700
"""More tasks than an executor lists ends in one answer."""


class ManyEndsTests(unittest.TestCase):
    def play_outage(self, tasks, seed, restart_agent=False):
        """Have all tasks of a job end while the store is away; return the world."""

        async def scenario(world):
            await trio.sleep(5)
            world.durations = lambda _task: 3.0
            step = StepSpec(tasks, cpu=5, memory_mb=10, estimate_ms=3000)
            await world.submit(job("job-1", steps=(step,)))
            await trio.sleep(2)
            self.assertEqual(len(world.executors[0].running), tasks)
            world.store.disconnected_clients.add("entry-0")
            await trio.sleep(2.5)
            if restart_agent:
                world.kill("agent-0")
                await world.start_agent(0)
            await trio.sleep(2.5)
            world.store.disconnected_clients.clear()
            await world.wait_for_state("job-1", JobState.COMPLETED)

        return play(scenario, entries=1, hosts=1, seed=seed)

    def check_runs(self, world, tasks):
        """Check that each task has run once and is done."""
        done = {r.task for r in world.history if r.end_reason is EndReason.DONE}
        self.assertEqual(len(done), tasks)
        self.assertEqual(len(world.history), tasks)
        self.assertEqual(world.reruns(), [])

    def test_each_task_runs_once_when_an_answer_cannot_list_all_ends(self):
        """A run that was neither listed nor among the listed ends counted as lost."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.check_runs(self.play_outage(TASKS, seed), TASKS)

    def test_each_task_runs_once_when_the_agent_restarts_meanwhile(self):
        """The new process has not seen the runs whose ends are not listed yet."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                world = self.play_outage(TASKS, seed, restart_agent=True)
                self.check_runs(world, TASKS)

    def test_each_task_runs_once_when_an_answer_lists_all_ends(self):
        for restart_agent in (False, True):
            with self.subTest(restart_agent=restart_agent):
                self.check_runs(self.play_outage(400, 1, restart_agent), 400)
