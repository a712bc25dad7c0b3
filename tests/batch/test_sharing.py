from __future__ import annotations

import unittest
from math import pi, sin
from random import Random

from rattanwing.batch.pacing import (
    KEEP_HEADROOM,
    SLOW_BELOW,
    STEP_INTERVAL_S,
    Filler,
    FillerPacer,
    ServingLoad,
)
from rattanwing.batch.pressure import Look, PressureModel

TARGET_MS = 24
IDLE_HEADROOM = 6.0
HARM_S = 4.0
"""The platform's bound on a serving task's time over its target, on end."""


class SharedTask:
    """A serving task whose own load swings; its headroom falls with the idle share."""

    def __init__(self, image, random):
        self.image = image
        self.phase = random.uniform(0, 2 * pi)

    def headroom(self, now, pressed):
        load = 0.48 * (1 + 0.5 * sin(2 * pi * now / 20 + self.phase))
        return max(0.1, IDLE_HEADROOM * (1 - load - pressed))


class PressureTests(unittest.TestCase):
    def learn(self, seconds, seed=1):
        """Two serving images and three fillers; one pair presses hard."""
        random = Random(seed)
        model = PressureModel()
        tasks = [SharedTask(i, random) for i in ("watch", "board") * 8]
        looks = dict.fromkeys(tasks)
        for second in range(seconds):
            for task in tasks:
                use = {
                    filler: random.uniform(2, 8)
                    for filler in ("light", "heavy", "other")
                    if random.random() < 0.4
                }
                pressed = 0.025 * use.get("heavy", 0) if task.image == "watch" else 0
                headroom = task.headroom(second, pressed) * random.uniform(0.9, 1.1)
                look = Look(float(second), headroom, use)
                looks[task] = model.compare(task.image, looks[task], look)
            model.refit()
        return model

    def test_the_pair_that_presses_is_told_from_the_others(self):
        for seed in range(5):
            model = self.learn(20, seed)
            self.assertGreater(model.pressure("watch", "heavy", 5000), 0.5)
            for pair in (("watch", "light"), ("board", "heavy"), ("board", "other")):
                self.assertEqual(model.pressure(*pair, 5000), 0.0)

    def test_a_tasks_own_swing_is_not_blamed_on_a_filler(self):
        """The filler comes as the task's own load rises, and stays."""
        model = PressureModel()
        task = SharedTask("watch", Random(1))
        task.phase = 0.0
        look = None
        for second in range(40):
            use = {"light": 6.0 if second % 20 < 10 else 0.0}
            seen = Look(float(second), task.headroom(second, 0.0), use)
            look = model.compare("watch", look, seen)
            model.refit()
        self.assertEqual(model.pressure("watch", "light", 6000), 0.0)

    def test_pairs_are_known_only_after_evidence(self):
        model = PressureModel()
        look = model.compare("watch", None, Look(0.0, 3.0, {}))
        model.compare("watch", look, Look(1.0, 1.0, {"heavy": 5.0}))
        model.refit()
        self.assertEqual(model.known_rows(), [])
        known = {row[:2] for row in self.learn(20).known_rows()}
        self.assertIn(("watch", "heavy"), known)

    def test_what_was_learnt_outlives_the_owner(self):
        before = self.learn(20)
        after = PressureModel()
        after.restore(before.evidence())
        pressing = before.pressure("watch", "heavy", 5000)
        self.assertAlmostEqual(
            after.pressure("watch", "heavy", 5000), pressing, delta=0.05
        )
        for _ in range(10):
            after.refit()
        self.assertGreater(after.pressure("watch", "heavy", 5000), pressing * 0.8)

    def test_looks_too_close_or_too_far_apart_are_not_compared(self):
        model = PressureModel()
        first = Look(0.0, 3.0, {})
        close, far = Look(0.5, 1.0, {"heavy": 5.0}), Look(9.0, 1.0, {"heavy": 5.0})
        self.assertIs(model.compare("watch", first, close), first)
        self.assertIs(model.compare("watch", first, far), far)
        self.assertEqual(model.fits, {})

    def test_saturated_tails_do_not_outweigh_the_others(self):
        model = PressureModel()
        look = None
        for second in range(30):
            headroom = 0.02 if second == 15 else 2.5
            use = {"light": 4.0 * (second % 2), "other": 4.0 * (second % 3 == 0)}
            look = model.compare("watch", look, Look(float(second), headroom, use))
            model.refit()
        self.assertLess(model.pressure("watch", "light", 4000), 0.2)


class PacingTests(unittest.TestCase):
    """The heavy filler takes 0.6 of headroom at full pace, the light one nothing."""

    def setUp(self):
        self.pacer = FillerPacer()
        rows = [("watch", "light", 0.01), ("watch", "heavy", 0.1)]
        self.pacer.take_pressures(rows)
        self.fillers = {
            "l": Filler("light", 6000, 100),
            "h": Filler("heavy", 6000, 100),
            "u": Filler("unseen", 6000, 100),
        }
        self.now = 100.0

    def step(self, *headrooms):
        self.now += STEP_INTERVAL_S + 0.01
        serving = [ServingLoad("watch", int(9600 / h), 9600) for h in headrooms]
        paces = self.pacer.decide(serving, self.fillers, self.now)
        for key, percent in paces.items():
            self.fillers[key].percent = percent
        return {key: filler.percent for key, filler in self.fillers.items()}

    def test_pressing_fillers_give_back_what_is_missing(self):
        low = SLOW_BELOW - 0.01
        paces = self.step(low)
        given = (100 - paces["h"]) / 100 * 0.6
        self.assertAlmostEqual(given, KEEP_HEADROOM - low, delta=0.01)
        self.assertEqual((paces["l"], paces["u"]), (100, 100))

    def test_nothing_is_slowed_above_the_limit(self):
        paces = self.step(SLOW_BELOW + 0.01)
        self.assertEqual(paces, {"l": 100, "h": 100, "u": 100})

    def test_unknown_fillers_are_slowed_where_that_is_not_enough(self):
        self.fillers["h"].percent = 0
        self.assertEqual(self.step(1.01), {"l": 100, "h": 0, "u": 50})
        self.assertEqual(self.step(1.01), {"l": 100, "h": 0, "u": 25})
        self.assertEqual(self.step(1.01), {"l": 100, "h": 0, "u": 0})

    def test_all_stop_beside_a_task_that_stays_over_its_target(self):
        """Within half of the 4 s after which harm counts."""
        began = self.now
        while self.step(0.6) != {"l": 0, "h": 0, "u": 0}:
            pass
        self.assertLessEqual(self.now - began, 2.5)
        self.assertEqual(self.step(0.6), {"l": 0, "h": 0, "u": 0})

    def test_fillers_work_on_while_tails_are_low(self):
        self.assertEqual(self.step(4.0), {"l": 100, "h": 100, "u": 100})

    def test_pace_comes_back_as_far_as_the_headroom_bears(self):
        for filler in self.fillers.values():
            filler.percent = 0
        paces = self.step(KEEP_HEADROOM + 2, KEEP_HEADROOM + 0.4)
        self.assertEqual((paces["l"], paces["u"]), (100, 25))
        self.assertAlmostEqual(paces["h"], 66, delta=1)
        for _ in range(3):
            paces = self.step(KEEP_HEADROOM + 2)
        self.assertEqual(paces, {"l": 100, "h": 100, "u": 100})

    def test_a_pressing_filler_waits_until_its_step_is_borne(self):
        self.fillers["h"].percent = 0
        self.assertEqual(self.step(KEEP_HEADROOM - 0.01)["h"], 0)

    def test_two_pressing_fillers_share_the_headroom(self):
        self.fillers = {
            "a": Filler("heavy", 6000, 0),
            "b": Filler("heavy", 6000, 0),
        }
        paces = self.step(KEEP_HEADROOM + 0.4)
        self.assertLessEqual(sum(paces.values()) / 100 * 0.6, 0.41)
        self.assertGreater(sum(paces.values()) / 100 * 0.6, 0.35)

    def test_new_fillers_are_paced_before_a_figure_shows_them(self):
        """Three that press start together; the limit between steps does not count."""
        self.step(KEEP_HEADROOM + 0.6)
        new = {n: Filler("heavy", 6000, 100, 0.0, is_new=True) for n in ("a", "b", "c")}
        self.fillers |= new
        self.now -= STEP_INTERVAL_S
        paces = self.step(KEEP_HEADROOM + 0.6)
        self.assertAlmostEqual(sum(paces[n] for n in new), 100, delta=1)
        self.fillers["h"].percent = 100
        for name in new:
            self.fillers[name].is_new = False
        self.fillers["d"] = Filler("heavy", 6000, 100, 0.0, is_new=True)
        self.assertEqual(self.step(KEEP_HEADROOM + 0.6)["d"], 0)

    def test_new_fillers_of_which_nothing_is_known_begin_slowly(self):
        self.fillers = {"n": Filler("unseen", 6000, 100, 0.0, is_new=True)}
        self.assertEqual(self.step(KEEP_HEADROOM + 1), {"n": 25})

    def test_figures_are_acted_on_once(self):
        before = self.step(1.01)
        self.now -= STEP_INTERVAL_S / 2
        self.assertEqual(self.step(1.01), before)


class StoppingPacer:
    """Baseline: halves every filler at a high tail, and brings it back in steps."""

    def decide(self, serving, fillers, _now):
        high = any(load.tail_ms > 0.7 * load.target_ms for load in serving)
        low = all(load.tail_ms < 0.6 * load.target_ms for load in serving)
        paces = {}
        for key, filler in fillers.items():
            if high:
                paces[key] = filler.percent // 2 if filler.percent > 39 else 0
            elif low:
                paces[key] = min(100, filler.percent + 20)
        return paces


class IdlePacer:
    """Baseline: leaves every filler at full pace."""

    def decide(self, _serving, _fillers, _now):
        return {}


class ReplayTests(unittest.TestCase):
    """A minute of hosts with four serving tasks and five fillers, two of which press.

    The figures lag by half a second.
    """

    SHARES = {("watch", "heavy"): 0.15, ("board", "large"): 0.18}
    IMAGES = ("heavy", "large", "light", "other", "plain")

    def play(self, pacer, seed):
        """Return the fillers' core-seconds, and the task-seconds over the target.

        The latter in all, and the longest of one task on end.
        """
        random = Random(seed)
        tasks = [SharedTask(i, random) for i in ("watch", "board", "map", "lamp")]
        fillers = {image: Filler(image, 7000, 100) for image in self.IMAGES}
        loads = [ServingLoad(task.image, 1, TARGET_MS) for task in tasks]
        work = over = 0.0
        on_end = [0.0] * len(tasks)
        longest = 0.0
        for step in range(600):
            now = step / 10
            if step % 5 == 0:
                for key, pace in pacer.decide(loads, fillers, now).items():
                    fillers[key].percent = pace
            cores = {i: f.cpu * f.percent / 100_000 for i, f in fillers.items()}
            work += sum(cores.values()) / 10
            for number, task in enumerate(tasks):
                shares = [
                    self.SHARES.get((task.image, i), 0) * c for i, c in cores.items()
                ]
                headroom = task.headroom(now, sum(shares) / IDLE_HEADROOM)
                on_end[number] = on_end[number] + 0.1 if headroom < 1 else 0.0
                over += 0.1 if headroom < 1 else 0.0
                if step % 5 == 4:
                    tail_ms = int(TARGET_MS / headroom)
                    loads[number] = ServingLoad(task.image, tail_ms, TARGET_MS)
            longest = max(longest, *on_end)
        return work, over, longest

    def test_more_work_without_more_harm_than_stopping_everything(self):
        for seed in range(5):
            pacer = FillerPacer()
            known = {
                (task, filler): self.SHARES.get((task, filler), 0.0)
                for task in ("watch", "board", "map", "lamp")
                for filler in self.IMAGES
            }
            pacer.take_pressures([(*pair, share) for pair, share in known.items()])
            work, over, longest = self.play(pacer, seed)
            stopped_work, _, _ = self.play(StoppingPacer(), seed)
            _, idle_over, idle_longest = self.play(IdlePacer(), seed)
            self.assertGreater(work, stopped_work)
            self.assertLess(over, idle_over / 4)
            self.assertLess(longest, HARM_S / 2)
            self.assertGreater(idle_longest, HARM_S)
