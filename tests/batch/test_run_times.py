from __future__ import annotations

import unittest
from math import exp, log
from random import Random

from rattanwing.batch.model import StepSpec
from rattanwing.batch.ports import RunningRow
from rattanwing.batch.run_times import HALF_LIFE_S, MAX_KEYS, RunTimes
from tests.batch.test_scheduler import SchedulerTestCase
from tests.batch.world import job


def step(estimate_ms=1000, image="resize"):
    return StepSpec(1, cpu=1000, estimate_ms=estimate_ms, image=image)


class RunTimeTests(unittest.TestCase):
    def setUp(self):
        self.random = Random(1)
        self.times = RunTimes()

    def learn(self, runs, estimate_error, slow_share=0.0):
        """Record runs, and return the mean error of the expectation and the estimate.

        Errors are those of the logarithm, for tasks that are not slow.
        """
        errors, caller_errors = [], []
        for number in range(runs):
            typical_ms = exp(self.random.gauss(log(2000), 0.4))
            error = self.random.uniform(1 - estimate_error, 1 + estimate_error)
            spec = step(max(1, int(typical_ms * error)))
            slow = self.random.random() < slow_share
            if not slow and number >= runs // 2:
                errors.append(abs(log(self.times.expected_ms(spec) / typical_ms)))
                caller_errors.append(abs(log(spec.estimate_ms / typical_ms)))
            self.times.record(spec, typical_ms * (7 if slow else 1), number * 0.1)
        return sum(errors) / len(errors), sum(caller_errors) / len(caller_errors)

    def test_estimate_counts_while_nothing_is_known(self):
        self.assertEqual(self.times.expected_ms(step(700)), 700)
        self.assertEqual(self.times.expected_ms(step(0)), 0)

    def test_estimates_off_by_nine_tenths_are_corrected(self):
        learned, caller = self.learn(400, 0.9, slow_share=0.03)
        self.assertLess(learned, 0.75 * caller)

    def test_good_estimates_are_kept_despite_slow_tasks(self):
        learned, caller = self.learn(400, 0.2, slow_share=0.03)
        self.assertLess(learned, 1.25 * caller)

    def test_estimates_that_are_always_half_are_doubled(self):
        for number in range(50):
            self.times.record(step(1000), 2000.0, number)
        self.assertAlmostEqual(self.times.expected_ms(step(1000)), 2000, delta=200)
        self.assertAlmostEqual(self.times.expected_ms(step(3000)), 6000, delta=1500)

    def test_one_slow_run_changes_little(self):
        for number in range(20):
            self.times.record(step(1000), 1000.0, number)
        self.times.record(step(1000), 50_000.0, 20)
        self.assertLess(self.times.expected_ms(step(1000)), 1200)

    def test_old_runs_lose_weight(self):
        for number in range(20):
            self.times.record(step(1000), 4000.0, number)
        for number in range(5):
            self.times.record(step(1000), 1000.0, 20 + 10 * HALF_LIFE_S + number)
        self.assertLess(self.times.expected_ms(step(1000)), 1300)

    def test_images_do_not_affect_each_other(self):
        for number in range(20):
            self.times.record(step(1000, "slow"), 4000.0, number)
        self.assertEqual(self.times.expected_ms(step(1000, "other")), 1000)

    def test_memory_is_bounded(self):
        for number in range(2 * MAX_KEYS):
            self.times.record(step(image=f"image-{number}"), 1000.0, number)
        self.assertEqual(len(self.times.fits), MAX_KEYS)


class RepresentativeRunTests(SchedulerTestCase):
    """Ends of runs of a best-effort task that takes 4 s, estimated at 1 s."""

    STEP = StepSpec(1, cpu=1000, estimate_ms=1000, best_effort=True, image="resize")

    def setUp(self):
        super().setUp()
        self.scheduler.near_places.far_factor = 2.0
        self.only_host = self.host("agent-1")
        self.owned = self.add_job(job(steps=(self.STEP,)))

    def learned_ms(self, cpu_used=1000):
        """Run the task and return what is expected of the next one."""
        self.place()
        self.now += 2.0
        row = RunningRow("job-1.0.0.0", 1, "", 50, cpu_used)
        self.report(self.only_host, [row])
        self.now += 2.0
        self.end(self.only_host, "job-1.0.0.0")
        return self.scheduler.near_places.run_times.expected_ms(self.STEP)

    def test_whole_run_at_full_pace_counts(self):
        self.assertGreater(self.learned_ms(), 1000)

    def test_slowed_run_does_not_count(self):
        self.assertEqual(self.learned_ms(cpu_used=500), 1000)

    def test_run_from_a_checkpoint_does_not_count(self):
        self.owned.tasks()[0].keep_checkpoint("half", 0)
        self.assertEqual(self.learned_ms(), 1000)

    def test_run_that_began_before_this_stream_does_not_count(self):
        self.place()
        self.scheduler.cluster.begin_stream(self.only_host)
        self.end(self.only_host, "job-1.0.0.0")
        self.assertEqual(
            self.scheduler.near_places.run_times.expected_ms(self.STEP), 1000
        )
