from __future__ import annotations

import unittest

import trio

from rattanwing.batch.model import StepSpec
from tests.batch.world import job, play

STEP = StepSpec(6, cpu=500, memory_mb=100, long_running=True)
ANSWER_TIMEOUT_S = 0.8
"""How long the agent waits for the answer to a start in this world, in seconds."""

STANDSTILL_LIMIT_S = 22.0
"""Longest time in seconds from a start without an answer until its task runs again.
Such a start is carried out 12 s late at most, and 10 s later each task that lasts must
run."""

LOST_AT_S = 3.0
PLAYED_S = 34.0


class LostExecutorTests(unittest.TestCase):
    """An executor is lost whose starts had an answer only when they were repeated."""

    def play_loss(self, late_s=11.9, back_after_s=None, reachable=True):
        """Play the loss of an executor; return the runs that it lost.

        :param late_s: time until the starts without an answer are carried out.
        :param back_after_s: time after which the executor starts again under its id;
            ``None`` if it doesn't.
        :param reachable: whether the agent can reach it from then on.
        """

        async def scenario(world):
            await trio.sleep(2)
            world.durations = lambda _task: 1e9
            for executor in world.executors:
                executor.late_starts.count = 2
                executor.late_starts.delay_s = late_s
            await world.submit(job(steps=(STEP,)))
            await trio.sleep(LOST_AT_S)
            lost = world.executors[0]
            self.lost_runs = list(lost.running.values())
            lost.crash()
            lost.reachable = reachable
            left_s = PLAYED_S
            if back_after_s is not None:
                await trio.sleep(back_after_s)
                lost.restart(same_id=True)
                left_s -= back_after_s
            await trio.sleep(left_s)

        self.world = play(scenario, hosts=3, entries=1)
        self.assertNotEqual(self.lost_runs, [])
        self.assertEqual(self.world.overlaps(), [])

    def running_tasks(self):
        return sorted(r.task for r in self.world.history if r.ended_at is None)

    def test_tasks_run_elsewhere_soon_after_the_last_late_start(self):
        """They stood still for 26 s after the call, whose repeat was answered."""
        self.play_loss()
        self.assertEqual(len(self.running_tasks()), STEP.count)
        for lost in self.lost_runs:
            sent_at = lost.started_at - ANSWER_TIMEOUT_S
            later = [
                run.started_at
                for run in self.world.history
                if run.task == lost.task and run.attempt > lost.attempt
            ]
            self.assertLess(min(later) - sent_at, STANDSTILL_LIMIT_S)

    def test_executor_that_starts_again_runs_no_task_beside_another_run(self):
        """Its return at any time before or after the tasks are started elsewhere."""
        for late_s in (11.9, 14.5):
            for back_after_s in (0.05, 6, 9, 11, 13, 16, 20):
                with self.subTest(late_s=late_s, back_after_s=back_after_s):
                    self.play_loss(late_s, back_after_s)
                    self.assertEqual(len(self.running_tasks()), STEP.count)

    def test_executor_that_starts_again_just_before_a_late_start(self):
        """The start may be carried out before the agent has polled the executor."""
        for late_s in (11.9, 14.5):
            for early_ms in range(0, 320, 40):
                back_after_s = late_s - LOST_AT_S - early_ms / 1000
                with self.subTest(late_s=late_s, early_ms=early_ms):
                    self.play_loss(late_s, back_after_s)
                    self.assertEqual(len(self.running_tasks()), STEP.count)

    def test_executor_that_can_not_be_reached_is_not_taken_for_absent(self):
        """It has started again out of reach, and carries the late starts out."""
        self.play_loss(14.5, 6, reachable=False)
        late = [r for r in self.world.history if r.started_at > LOST_AT_S + 10]
        self.assertIn(self.world.executors[0].name, {run.executor for run in late})
