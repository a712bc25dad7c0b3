from __future__ import annotations

import unittest
from math import pi, sin

from rattanwing.batch.model import StepSpec
from rattanwing.batch.placement import unsuitable_reason
from rattanwing.batch.serving_load import (
    ASSUMED_LOAD,
    IDLE_HEADROOM,
    ServingLoad,
)
from tests.batch.test_scheduler import SchedulerTestCase
from tests.batch.world import job

SERVING = StepSpec(
    2, cpu=10_000, long_running=True, image="watch", target_ms=1000, label="kind-a"
)


def headroom_at(load):
    return IDLE_HEADROOM * (1 - load)


class ServingLoadTests(unittest.TestCase):
    def test_mean_of_oscillating_loads_is_learned_within_seconds(self):
        load = ServingLoad()
        self.assertEqual(load.mean, ASSUMED_LOAD)
        for step in range(20):
            for task in range(20):
                swing = sin(2 * pi * (step / 40 + task / 20))
                load.observe(headroom_at(0.48 + 0.12 * swing))
            if step % 2:
                load.decay()
        self.assertAlmostEqual(load.mean, 0.48, delta=0.03)


class RoomTests(SchedulerTestCase):
    """A host of 20 cores with two serving tasks that declare 10 cores each."""

    def setUp(self):
        super().setUp()
        self.scheduler.directory_known = True
        self.interference = self.scheduler.interference
        self.interference.headroom_loss_per_core["watch", "match"] = 0.0
        self.agent = self.host("agent-1", cpu=20_000)
        self.add_job(job("serving", [SERVING]))
        self.place()

    def report_load(self, load):
        for run in self.agent.runs.values():
            run.measurement = int(SERVING.target_ms / headroom_at(load))
        for _ in range(200):
            self.interference.serving_load.observe(headroom_at(0.5))
        self.now += 0.5
        self.agent.last_heard_at = self.now

    def fits(self, cpu):
        step = StepSpec(1, cpu=cpu, best_effort=True, image="match")
        return not unsuitable_reason(self.agent, step, self.interference, self.now)

    def test_the_assumed_load_applies_before_the_first_report(self):
        room = int(20_000 * (1 - ASSUMED_LOAD))
        self.assertTrue(self.fits(room))
        self.assertFalse(self.fits(room + 100))

    def test_room_follows_the_mean_load_and_higher_present_loads(self):
        for load, expected in ((0.4, 0.5), (0.7, 0.6)):
            with self.subTest(load=load):
                self.report_load(load)
                room = 20_000 * (1 - expected)
                self.assertTrue(self.fits(int(room - 500)))
                self.assertFalse(self.fits(int(room + 500)))
