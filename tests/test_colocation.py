from __future__ import annotations

import unittest

from rattanwing.agent.colocation import (
    MAX_EVICTIONS_PER_HOUR,
    MIN_SHARE,
    WINDOWS_BEFORE_EVICTION,
    WINDOWS_BEFORE_RAISE,
    ColocationState,
    Evict,
    NoChange,
    SetShare,
    decide,
    tail_latency_ratio,
)
from rattanwing.agent.tasks import Task


def make_task(job, progress_s, cpu=1.0):
    return Task(job, 1, 0, "match", cpu, 100, 0, 99.0, "running", progress_s)


class ColocationTests(unittest.TestCase):
    def setUp(self):
        self.state = ColocationState()
        self.tasks = [
            make_task("old", 50.0),
            make_task("young", 2.0),
            make_task("wide", 30.0, 20.0),
        ]

    def run_windows(self, latency_ratio, count, start=0.0):
        return [
            decide(self.state, latency_ratio, self.tasks, start + n)
            for n in range(count)
        ]

    def test_throttles_first_then_evicts_the_least_progress_per_cpu(self):
        actions = self.run_windows(1.5, 2 + WINDOWS_BEFORE_EVICTION)
        self.assertEqual(actions[:2], [SetShare(0.5), SetShare(MIN_SHARE)])
        self.assertEqual(actions[2:-1], [NoChange()] * (WINDOWS_BEFORE_EVICTION - 1))
        self.assertEqual(actions[-1], Evict("wide"))

    def test_relaxes_the_throttle_in_steps_after_consecutive_low_windows(self):
        self.run_windows(1.5, 2)
        actions = self.run_windows(0.2, WINDOWS_BEFORE_RAISE)
        self.assertEqual(
            actions, [NoChange()] * (WINDOWS_BEFORE_RAISE - 1) + [SetShare(0.3125)]
        )
        self.run_windows(0.2, WINDOWS_BEFORE_RAISE - 1)
        self.assertEqual(self.run_windows(0.8, 1), [NoChange()])
        self.assertEqual(
            self.run_windows(0.2, WINDOWS_BEFORE_RAISE - 1), [NoChange()] * 5
        )

    def test_evictions_per_hour_are_limited(self):
        actions = self.run_windows(2.0, 200)
        evictions = [a for a in actions if isinstance(a, Evict)]
        self.assertEqual(len(evictions), MAX_EVICTIONS_PER_HOUR)
        later = self.run_windows(2.0, 20, start=4000.0)
        self.assertTrue(any(isinstance(action, Evict) for action in later))

    def test_no_change_without_tasks_and_zero_ratio_without_samples(self):
        self.tasks = []
        self.assertEqual(self.run_windows(5.0, 3), [NoChange()] * 3)
        self.assertEqual(tail_latency_ratio([0.1] * 4, 50.0), 0.0)
        self.assertEqual(tail_latency_ratio([0.1] * 9, None), 0.0)
        self.assertAlmostEqual(tail_latency_ratio([0.1] * 9, 50.0), 2.0)
