from __future__ import annotations

from math import pi, sin
from unittest import mock

from rattanwing.batch import placement
from rattanwing.batch.headroom import expected_start_pace
from rattanwing.batch.model import StepSpec
from rattanwing.batch.pacing import (
    FULL_PERCENT,
    KEEP_HEADROOM,
    MEASURED_AFTER_S,
)
from rattanwing.batch.scheduler import INTERFERENCE_INTERVAL_S
from rattanwing.batch.timing import TASK_LEASE_S
from rattanwing.batch.urgency import completion_target_ms
from tests.batch.test_overload import (
    BATCH_CPU,
    BATCH_RUN_S,
    BATCH_TASKS,
    HOSTS,
    SIDES,
    InterferenceTestCase,
)
from tests.batch.test_scheduler import SchedulerTestCase
from tests.batch.world import job

TARGET_MS = 1000
SERVING = StepSpec(
    1, cpu=4000, long_running=True, image="watch", target_ms=TARGET_MS, label="kind-a"
)
BATCH = StepSpec(1, cpu=4000, best_effort=True, image="match")
LOSS_PER_CORE = 0.1
LOSS = LOSS_PER_CORE * BATCH.cpu / 1000


class StartPaceTests(SchedulerTestCase):
    """A host with one serving task, to which a batch task costs 0.4 of headroom."""

    def setUp(self):
        super().setUp()
        self.scheduler.directory_known = True
        self.interference = self.scheduler.interference
        self.interference.headroom_loss_per_core["watch", "match"] = LOSS_PER_CORE
        self.agent = self.host("agent-1", cpu=32_000)
        self.add_job(job("serving", [SERVING]))
        self.place()
        (self.serving,) = self.agent.runs.values()

    def hear(self):
        self.now += 0.5
        self.agent.last_heard_at = self.now
        self.agent.extend_lease(self.now, TASK_LEASE_S)

    def set_headroom(self, headroom):
        self.hear()
        self.serving.measurement = int(TARGET_MS / headroom)

    def pace(self, step=BATCH):
        return expected_start_pace(self.agent, step, self.interference)

    def add_batch_run(self, name="batch"):
        self.add_job(job(name, [BATCH]))
        return len(self.place())

    def test_pace_follows_the_reported_headroom(self):
        for spare, percent in ((LOSS, 100), (LOSS / 2, 50), (0.0, 0), (-0.5, 0)):
            with self.subTest(spare=spare):
                self.set_headroom(KEEP_HEADROOM + spare + 0.001)
                self.assertAlmostEqual(self.pace(), percent, delta=1)

    def test_tasks_known_not_to_interfere_need_no_headroom(self):
        self.interference.headroom_loss_per_core["watch", "match"] = 0.0
        self.set_headroom(1.2)
        self.assertEqual(self.pace(), FULL_PERCENT)

    def test_nothing_starts_while_a_serving_task_is_over_its_target(self):
        self.interference.headroom_loss_per_core["watch", "match"] = 0.0
        self.set_headroom(0.9)
        self.assertEqual(self.pace(), 0)

    def test_pace_follows_new_estimates_before_the_next_report(self):
        self.set_headroom(KEEP_HEADROOM + LOSS / 2)
        self.assertLess(self.pace(), FULL_PERCENT)
        self.interference.headroom_loss_per_core["watch", "match"] = 0.0
        self.now += INTERFERENCE_INTERVAL_S
        self.scheduler.send_interference(self.now)
        self.assertEqual(self.pace(), FULL_PERCENT)

    def test_runs_that_no_report_covers_take_headroom(self):
        self.set_headroom(KEEP_HEADROOM + LOSS + 0.1)
        self.assertEqual(self.add_batch_run(), 1)
        self.assertLess(self.pace(), 30)
        self.now += MEASURED_AFTER_S
        self.set_headroom(KEEP_HEADROOM + LOSS + 0.1)
        self.assertEqual(self.pace(), FULL_PERCENT)

    def test_tasks_start_slowly_beside_a_task_without_a_report(self):
        pairs = self.interference.headroom_loss_per_core
        for loss, percent in ((LOSS_PER_CORE, 25), (None, 25), (0.0, FULL_PERCENT)):
            with self.subTest(loss=loss):
                pairs.pop(("watch", "match"), None)
                if loss is not None:
                    pairs["watch", "match"] = loss
                self.hear()
                self.assertEqual(self.pace(), percent)

    def test_a_task_waits_for_headroom_until_its_job_is_neglected(self):
        self.set_headroom(KEEP_HEADROOM - 0.1)
        self.assertEqual(self.add_batch_run(), 0)
        self.now += placement.STARVED_AFTER_S + 0.1
        self.hear()
        self.assertEqual(len(self.place()), 1)

    def test_a_neglected_job_prefers_short_headroom_to_a_failing_host(self):
        failing = self.host("agent-2", cpu=32_000)
        failing.health.record_stall(self.now)
        self.set_headroom(KEEP_HEADROOM - 0.1)
        self.assertEqual(self.add_batch_run(), 0)
        self.now += placement.STARVED_AFTER_S + 0.1
        self.hear()
        self.report(failing, cpu=32_000)
        self.assertEqual([host for host, _task in self.place()], ["agent-1"])


class OpposedLoadTests(InterferenceTestCase):
    """The loads of the serving tasks of two halves of the hosts peak by turns.

    The only batch image interferes with all of them. The jobs ask for 0.6 of what half
    of the hosts can do.
    """

    PERIOD_S = 20.0
    LENGTH_S = 60.0
    LOSS_PER_CORE = 0.05
    INTERVAL_S = BATCH_TASKS * BATCH_RUN_S / (0.6 * HOSTS / 2 * 6)
    loss_per_core = dict.fromkeys(
        [(f"serve-{side}", "batch") for side in SIDES], LOSS_PER_CORE
    )

    def headroom(self, host, step):
        phase = pi * SIDES.index(step.label)
        load = 0.48 * (1 + 0.5 * sin(2 * pi * self.now / self.PERIOD_S + phase))
        loss = sum(
            self.LOSS_PER_CORE * BATCH_CPU / 1000 * self.paces.get(key, 100) / 100
            for key in self.batch_runs(host)
        )
        return max(0.1, 6 * (1 - load) - loss)

    def choose_image(self, _random):
        return "batch"

    def reported_tail_ms(self, host, step):
        return int(step.target_ms / self.headroom(host, step))

    def count_on_target(self, interval_s):
        """Return how many of the due jobs met their target, and how many were due."""
        self.play(self.LENGTH_S, interval_s)
        target_s = completion_target_ms(self.scheduler.jobs["batch-000"].spec) / 1000
        due = int((self.LENGTH_S - target_s) / interval_s)
        took_s = [
            self.finished_after_s.get(f"batch-{number:03}", self.LENGTH_S)
            for number in range(due)
        ]
        return sum(s <= target_s for s in took_s), due

    def test_jobs_meet_their_targets(self):
        on_target, due = self.count_on_target(self.INTERVAL_S)
        self.assertGreaterEqual(on_target, 0.8 * due)

    def test_fewer_when_tasks_start_regardless_of_the_present_headroom(self):
        with mock.patch.object(placement, "expected_start_pace", return_value=100):
            on_target, due = self.count_on_target(self.INTERVAL_S)
        self.assertLess(on_target, 0.8 * due)


del InterferenceTestCase
