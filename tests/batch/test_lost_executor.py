from __future__ import annotations

import unittest
from random import Random

import trio

from rattanwing.batch.model import StepSpec
from rattanwing.batch.runs import CONFIRMED_FOR_S, ExecutorRuns
from rattanwing.batch.timing import CLOCK_DRIFT
from rattanwing.standin.runs import StandinBatchExecutor
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

SLOW_ANSWER_S = 0.3
LONG_RUN_S = 10.7
"""Longer than the longest lease, so that the run lasts as long as its lease."""


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


class SuccessorAnswerTests(unittest.TestCase):
    """An executor starts again under its id, and answers a start for its predecessor.

    The agent has not noticed that yet. The deadline of the start is on the clock of the
    predecessor, so the successor grants the run the longest lease that it can.
    """

    def play_restart(self, cut_after_s, disturb):
        """Play such a start, and check that no other run of its task overlaps.

        :param cut_after_s: time after the start at which ``disturb`` is called.
        """

        async def scenario(world):
            await trio.sleep(5)
            world.durations = lambda _task: LONG_RUN_S
            executor = world.executors[0]
            executor.call_delays = lambda: (0.001, SLOW_ANSWER_S)
            await trio.sleep(self.after_poll_s)
            executor.crash()
            executor.restart(same_id=True)
            await world.submit(job(steps=(StepSpec(3, cpu=1500, memory_mb=100),)))
            while not executor.running:
                await trio.sleep(0.005)
            await trio.sleep(cut_after_s)
            disturb(world, executor)
            await trio.sleep(25)

        for self.after_poll_s in (0.1, 0.25, 0.4, 0.55):
            with self.subTest(after_poll_s=self.after_poll_s):
                world = play(scenario, hosts=3, entries=1)
                self.assertEqual(world.overlaps(), [])

    def make_unreachable(self, _world, executor):
        executor.reachable = False

    def cut_off_agent(self, world, _executor):
        world.disconnected.add("agent-0")

    def test_successor_that_can_not_be_reached_afterwards(self):
        """Its run counted as lost with the lease on the clock of the predecessor."""
        self.play_restart(SLOW_ANSWER_S + 0.05, self.make_unreachable)

    def test_agent_that_is_cut_off_after_it_has_reported_the_run(self):
        self.play_restart(SLOW_ANSWER_S + 0.05, self.cut_off_agent)

    def test_agent_that_is_cut_off_before_it_has_reported_the_run(self):
        """Breaks, see KNOWN-RED.txt."""
        self.play_restart(SLOW_ANSWER_S / 3, self.cut_off_agent)

    def make_runs(self):
        executor = StandinBatchExecutor("executor-0", "a", [], lambda _task: 1.0)
        view = executor.view()
        return ExecutorRuns(view, None, lambda: 0.0, 0.0, lambda: None, lambda *_: None)

    def test_clock_of_the_same_incarnation_is_never_behind(self):
        """Answers overtake each other, and the clock may be slow."""
        random = Random(1)
        for _ in range(2000):
            rate = random.uniform(1 - CLOCK_DRIFT, 1.0)
            age_s = random.uniform(0.0, 500.0)
            runs = self.make_runs()
            calls = []
            for sent_at in (0.0, random.expovariate(1.0)):
                executed_at = sent_at + random.expovariate(4.0)
                clock_ms = int((age_s + executed_at * rate) * 1000) + 1
                answered_at = executed_at + random.expovariate(4.0)
                calls.append((answered_at, sent_at, clock_ms))
            (sampled_at, _, sample_ms), (_, sent_at, clock_ms) = sorted(calls)
            runs.clock_sample = (sample_ms, sampled_at)
            self.assertFalse(runs.is_clock_behind(clock_ms, sent_at))

    def test_clock_of_the_next_incarnation_is_behind(self):
        random = Random(2)
        for _ in range(2000):
            runs = self.make_runs()
            lived_s = random.uniform(0.5, 500.0)
            runs.clock_sample = (int(lived_s * 1000) + 1, 0.0)
            sent_at = random.uniform(0.0, CONFIRMED_FOR_S)
            born_at = random.uniform(0.0, sent_at)
            clock_ms = int((sent_at - born_at) * 1000) + 1
            self.assertTrue(runs.is_clock_behind(clock_ms, sent_at))
