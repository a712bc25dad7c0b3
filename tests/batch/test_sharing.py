from __future__ import annotations

import unittest
from math import pi, sin
from random import Random

from rattanwing.batch.interference import (
    MAX_LOSS_PER_CORE,
    HeadroomSample,
    InterferenceModel,
)
from rattanwing.batch.pacing import (
    ADJUSTMENT_INTERVAL_S,
    KEEP_HEADROOM,
    SLOW_BELOW,
    BestEffortPacer,
    BestEffortRun,
    ServingLatency,
)

TARGET_MS = 24
IDLE_HEADROOM = 6.0
HARM_S = 4.0
"""The platform's limit on the uninterrupted time that a serving task may exceed its
target, in seconds."""


class SimulatedServingTask:
    """A serving task whose load oscillates; its headroom follows the idle CPU share."""

    def __init__(self, image, random):
        self.image = image
        self.phase = random.uniform(0, 2 * pi)

    def headroom(self, now, loss):
        load = 0.48 * (1 + 0.5 * sin(2 * pi * now / 20 + self.phase))
        return max(0.1, IDLE_HEADROOM * (1 - load - loss))


class InterferenceTests(unittest.TestCase):
    def learn(self, seconds, seed=1):
        """Fit two serving and three best-effort images; one pair interferes."""
        random = Random(seed)
        model = InterferenceModel()
        tasks = [SimulatedServingTask(i, random) for i in ("watch", "board") * 8]
        samples = dict.fromkeys(tasks)
        for second in range(seconds):
            for task in tasks:
                use = {
                    image: random.uniform(2, 8)
                    for image in ("light", "heavy", "other")
                    if random.random() < 0.4
                }
                loss = 0.025 * use.get("heavy", 0) if task.image == "watch" else 0
                headroom = task.headroom(second, loss) * random.uniform(0.9, 1.1)
                sample = HeadroomSample(float(second), headroom, use)
                samples[task] = model.add_sample(task.image, samples[task], sample)
            model.refit()
        return model

    def test_the_interfering_pair_is_distinguished_from_others(self):
        for seed in range(5):
            model = self.learn(20, seed)
            self.assertGreater(model.headroom_loss("watch", "heavy", 5000), 0.5)
            for pair in (("watch", "light"), ("board", "heavy"), ("board", "other")):
                self.assertEqual(model.headroom_loss(*pair, 5000), 0.0)

    def test_a_tasks_own_load_is_not_attributed_to_a_best_effort_task(self):
        """The best-effort task starts while the serving task's own load rises."""
        model = InterferenceModel()
        task = SimulatedServingTask("watch", Random(1))
        task.phase = 0.0
        sample = None
        for second in range(40):
            use = {"light": 6.0 if second % 20 < 10 else 0.0}
            current = HeadroomSample(float(second), task.headroom(second, 0.0), use)
            sample = model.add_sample("watch", sample, current)
            model.refit()
        self.assertEqual(model.headroom_loss("watch", "light", 6000), 0.0)

    def test_pairs_are_known_only_after_enough_samples(self):
        model = InterferenceModel()
        sample = model.add_sample("watch", None, HeadroomSample(0.0, 3.0, {}))
        model.add_sample("watch", sample, HeadroomSample(1.0, 1.0, {"heavy": 5.0}))
        model.refit()
        self.assertEqual(model.known_rows(), [])
        known = {row[:2] for row in self.learn(20).known_rows()}
        self.assertIn(("watch", "heavy"), known)

    def test_estimates_are_restored_by_the_next_owner(self):
        before = self.learn(20)
        after = InterferenceModel()
        after.restore(before.stored_rows())
        loss = before.headroom_loss("watch", "heavy", 5000)
        self.assertAlmostEqual(
            after.headroom_loss("watch", "heavy", 5000), loss, delta=0.05
        )
        for _ in range(10):
            after.refit()
        self.assertGreater(after.headroom_loss("watch", "heavy", 5000), loss * 0.8)

    def test_samples_too_close_or_too_far_apart_are_not_compared(self):
        model = InterferenceModel()
        first = HeadroomSample(0.0, 3.0, {})
        close, far = (
            HeadroomSample(0.5, 1.0, {"heavy": 5.0}),
            HeadroomSample(9.0, 1.0, {"heavy": 5.0}),
        )
        self.assertIs(model.add_sample("watch", first, close), first)
        self.assertIs(model.add_sample("watch", first, far), far)
        self.assertEqual(model.fits, {})

    def test_saturated_tails_do_not_outweigh_the_others(self):
        model = InterferenceModel()
        sample = None
        for second in range(30):
            headroom = 0.02 if second == 15 else 2.5
            use = {"light": 4.0 * (second % 2), "other": 4.0 * (second % 3 == 0)}
            sample = model.add_sample(
                "watch", sample, HeadroomSample(float(second), headroom, use)
            )
            model.refit()
        self.assertLess(model.headroom_loss("watch", "light", 4000), 0.2)


class PacingTests(unittest.TestCase):
    """The heavy run costs 0.6 of headroom at full pace, the light run costs none."""

    def setUp(self):
        self.pacer = BestEffortPacer()
        rows = [("watch", "light", 0.01), ("watch", "heavy", 0.1)]
        self.pacer.set_interference(rows)
        self.runs = {
            "l": BestEffortRun("light", 6000, 100),
            "h": BestEffortRun("heavy", 6000, 100),
            "u": BestEffortRun("unseen", 6000, 100),
        }
        self.now = 100.0

    def adjust(self, *headrooms):
        self.now += ADJUSTMENT_INTERVAL_S + 0.01
        serving = [ServingLatency("watch", int(9600 / h), 9600) for h in headrooms]
        paces = self.pacer.decide(serving, self.runs, self.now)
        for key, percent in paces.items():
            self.runs[key].pace_percent = percent
        return {key: run.pace_percent for key, run in self.runs.items()}

    def test_interfering_runs_are_slowed_by_the_missing_headroom(self):
        low = SLOW_BELOW - 0.01
        paces = self.adjust(low)
        given = (100 - paces["h"]) / 100 * 0.6
        self.assertAlmostEqual(given, KEEP_HEADROOM - low, delta=0.01)
        self.assertEqual((paces["l"], paces["u"]), (100, 100))

    def test_nothing_is_slowed_above_the_limit(self):
        paces = self.adjust(SLOW_BELOW + 0.01)
        self.assertEqual(paces, {"l": 100, "h": 100, "u": 100})

    def test_unknown_runs_are_slowed_when_that_is_not_enough(self):
        self.runs["h"].pace_percent = 0
        self.assertEqual(self.adjust(1.01), {"l": 100, "h": 0, "u": 50})
        self.assertEqual(self.adjust(1.01), {"l": 100, "h": 0, "u": 25})
        self.assertEqual(self.adjust(1.01), {"l": 100, "h": 0, "u": 0})

    def test_all_runs_stop_when_a_serving_task_stays_over_its_target(self):
        """All runs stop within about half of ``HARM_S``."""
        began = self.now
        while self.adjust(0.6) != {"l": 0, "h": 0, "u": 0}:
            pass
        self.assertLessEqual(self.now - began, 2.5)
        self.assertEqual(self.adjust(0.6), {"l": 0, "h": 0, "u": 0})

    def test_runs_keep_full_pace_while_tail_latencies_are_low(self):
        self.assertEqual(self.adjust(4.0), {"l": 100, "h": 100, "u": 100})

    def test_pace_rises_as_far_as_the_headroom_allows(self):
        for run in self.runs.values():
            run.pace_percent = 0
        paces = self.adjust(KEEP_HEADROOM + 2, KEEP_HEADROOM + 0.4)
        self.assertEqual((paces["l"], paces["u"]), (100, 25))
        self.assertAlmostEqual(paces["h"], 66, delta=1)
        for _ in range(3):
            paces = self.adjust(KEEP_HEADROOM + 2)
        self.assertEqual(paces, {"l": 100, "h": 100, "u": 100})

    def test_interfering_run_waits_until_there_is_spare_headroom(self):
        self.runs["h"].pace_percent = 0
        self.assertEqual(self.adjust(KEEP_HEADROOM - 0.01)["h"], 0)

    def test_two_interfering_runs_share_the_headroom(self):
        self.runs = {
            "a": BestEffortRun("heavy", 6000, 0),
            "b": BestEffortRun("heavy", 6000, 0),
        }
        paces = self.adjust(KEEP_HEADROOM + 0.4)
        self.assertLessEqual(sum(paces.values()) / 100 * 0.6, 0.41)
        self.assertGreater(sum(paces.values()) / 100 * 0.6, 0.35)

    def test_new_runs_are_paced_before_latencies_show_them(self):
        """Three interfering runs start together, between two regular adjustments."""
        self.adjust(KEEP_HEADROOM + 0.6)
        new = {
            n: BestEffortRun("heavy", 6000, 100, 0.0, is_new=True)
            for n in ("a", "b", "c")
        }
        self.runs |= new
        self.now -= ADJUSTMENT_INTERVAL_S
        paces = self.adjust(KEEP_HEADROOM + 0.6)
        self.assertAlmostEqual(sum(paces[n] for n in new), 100, delta=1)
        self.runs["h"].pace_percent = 100
        for name in new:
            self.runs[name].is_new = False
        self.runs["d"] = BestEffortRun("heavy", 6000, 100, 0.0, is_new=True)
        self.assertEqual(self.adjust(KEEP_HEADROOM + 0.6)["d"], 0)

    def test_new_unknown_runs_start_at_a_low_pace(self):
        self.runs = {"n": BestEffortRun("unseen", 6000, 100, 0.0, is_new=True)}
        self.assertEqual(self.adjust(KEEP_HEADROOM), {"n": 25})

    def test_unknown_runs_start_at_the_pace_that_the_headroom_bears(self):
        """Their largest possible loss is 1.5 of headroom at full pace."""
        largest = MAX_LOSS_PER_CORE * 6
        for spare, pace in ((1.0, int(100 / largest)), (largest, 100), (0.2, 25)):
            self.runs = {"n": BestEffortRun("unseen", 6000, 100, 0.0, is_new=True)}
            self.assertEqual(self.adjust(KEEP_HEADROOM + spare), {"n": pace})

    def test_unknown_runs_that_start_together_share_the_headroom(self):
        self.runs = {
            n: BestEffortRun("unseen", 6000, 100, 0.0, is_new=True)
            for n in ("a", "b", "c")
        }
        paces = self.adjust(KEEP_HEADROOM + 1)
        lost = sum(paces.values()) / 100 * MAX_LOSS_PER_CORE * 6
        self.assertLessEqual(lost, 1 + 2 * 0.25 * MAX_LOSS_PER_CORE * 6)

    def test_paces_leave_the_serving_tasks_their_cpu(self):
        """Five light runs would use all 32 cores while serving tasks are at a peak."""
        self.pacer.set_interference([("watch", "light", 0.0)])
        self.runs = {str(i): BestEffortRun("light", 4000, 100) for i in range(5)}
        self.now += ADJUSTMENT_INTERVAL_S + 0.01
        peak = ServingLatency("watch", 89, 150, cpu=6400)
        paces = self.pacer.decide([peak] * 4, self.runs, self.now, cpu=32_000)
        used = sum(
            run.cpu * paces.get(key, run.pace_percent) / 100
            for key, run in self.runs.items()
        )
        self.assertLessEqual(used + 4 * peak.used_cpu, 32_000 * 0.95)
        self.assertGreater(used + 4 * peak.used_cpu, 32_000 * 0.9)
        self.assertGreater(peak.used_cpu, 6400 * 0.7)

    def test_cpu_is_not_limited_where_it_suffices_or_nothing_is_served(self):
        self.pacer.set_interference([("watch", "light", 0.0)])
        self.runs = {str(i): BestEffortRun("light", 4000, 100) for i in range(5)}
        calm = ServingLatency("watch", 42, 150, cpu=6400)
        for serving, cpu in (([calm], 32_000), ([], 10_000)):
            self.now += ADJUSTMENT_INTERVAL_S + 0.01
            self.assertEqual(self.pacer.decide(serving, self.runs, self.now, cpu), {})

    def test_the_cause_of_a_lower_pace_is_named(self):
        self.adjust(SLOW_BELOW - 0.01)
        self.assertEqual(self.pacer.causes, {"h": "headroom"})
        self.pacer.set_interference([("watch", "light", 0.0)])
        self.runs = {str(i): BestEffortRun("light", 4000, 100) for i in range(5)}
        self.now += ADJUSTMENT_INTERVAL_S + 0.01
        peak = ServingLatency("watch", 89, 150, cpu=6400)
        paces = self.pacer.decide([peak] * 4, self.runs, self.now, cpu=32_000)
        self.assertEqual(self.pacer.causes, dict.fromkeys(paces, "cpu"))

    def test_the_same_figures_cause_one_adjustment(self):
        before = self.adjust(1.01)
        self.now -= ADJUSTMENT_INTERVAL_S / 2
        self.assertEqual(self.adjust(1.01), before)


class HalvingPacer:
    """Baseline: halves all paces at a high tail latency, raises them in steps."""

    def decide(self, serving, runs, _now):
        high = any(load.tail_ms > 0.7 * load.target_ms for load in serving)
        low = all(load.tail_ms < 0.6 * load.target_ms for load in serving)
        paces = {}
        for key, run in runs.items():
            if high:
                paces[key] = run.pace_percent // 2 if run.pace_percent > 39 else 0
            elif low:
                paces[key] = min(100, run.pace_percent + 20)
        return paces


class FullPacePacer:
    """Baseline: leaves every run at full pace."""

    def decide(self, _serving, _runs, _now):
        return {}


class SimulationTests(unittest.TestCase):
    """Simulates a minute of a host with four serving tasks and five best-effort runs.

    Two of the runs interfere. Reported latencies lag by half a second.
    """

    LOSS_PER_CORE = {("watch", "heavy"): 0.15, ("board", "large"): 0.18}
    IMAGES = ("heavy", "large", "light", "other", "plain")

    def simulate(self, pacer, seed):
        """Return the best-effort work and the time that tasks exceed their target.

        :returns: core-seconds of the best-effort runs, task-seconds over the target,
            and the longest uninterrupted time of one task over it, in seconds.
        """
        random = Random(seed)
        tasks = [
            SimulatedServingTask(i, random) for i in ("watch", "board", "map", "lamp")
        ]
        runs = {image: BestEffortRun(image, 7000, 100) for image in self.IMAGES}
        loads = [ServingLatency(task.image, 1, TARGET_MS) for task in tasks]
        work = over = 0.0
        over_for = [0.0] * len(tasks)
        longest = 0.0
        for step in range(600):
            now = step / 10
            if step % 5 == 0:
                for key, pace in pacer.decide(loads, runs, now).items():
                    runs[key].pace_percent = pace
            cores = {i: r.cpu * r.pace_percent / 100_000 for i, r in runs.items()}
            work += sum(cores.values()) / 10
            for number, task in enumerate(tasks):
                losses = [
                    self.LOSS_PER_CORE.get((task.image, i), 0) * c
                    for i, c in cores.items()
                ]
                headroom = task.headroom(now, sum(losses) / IDLE_HEADROOM)
                over_for[number] = over_for[number] + 0.1 if headroom < 1 else 0.0
                over += 0.1 if headroom < 1 else 0.0
                if step % 5 == 4:
                    tail_ms = int(TARGET_MS / headroom)
                    loads[number] = ServingLatency(task.image, tail_ms, TARGET_MS)
            longest = max(longest, *over_for)
        return work, over, longest

    def test_more_work_than_halving_all_paces_and_bounded_harm(self):
        for seed in range(5):
            pacer = BestEffortPacer()
            known = {
                (task, image): self.LOSS_PER_CORE.get((task, image), 0.0)
                for task in ("watch", "board", "map", "lamp")
                for image in self.IMAGES
            }
            pacer.set_interference([(*pair, loss) for pair, loss in known.items()])
            work, over, longest = self.simulate(pacer, seed)
            halving_work, _, _ = self.simulate(HalvingPacer(), seed)
            _, unpaced_over, unpaced_longest = self.simulate(FullPacePacer(), seed)
            self.assertGreater(work, halving_work)
            self.assertLess(over, unpaced_over / 4)
            self.assertLess(longest, HARM_S / 2)
            self.assertGreater(unpaced_longest, HARM_S)
