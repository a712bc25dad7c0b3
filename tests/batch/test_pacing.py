from __future__ import annotations

import unittest

import trio

from rattanwing.batch import messages
from rattanwing.batch.liveness import LATE_CALL_S
from rattanwing.batch.pacing import (
    ADJUSTMENT_INTERVAL_S,
    BestEffortPacer,
    BestEffortRun,
    ServingLatency,
)
from rattanwing.batch.ports import OrderOutcome, OrderResult, PollResult, RunningRow
from rattanwing.batch.runs import ExecutorRuns
from rattanwing.standin.runs import StandinBatchExecutor
from rattanwing.util.http_client import HttpCallError
from rattanwing.verdict import Verdict
from tests.batch.paced_host import HARM_S, simulate

TARGET_MS = 1000
UNANSWERED = HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time")


class OverTargetTests(unittest.TestCase):
    """Decisions while a serving task is over its target, or has just been.

    The estimates say that the run "light" does not interfere.
    """

    def setUp(self):
        self.pacer = BestEffortPacer()
        self.pacer.set_interference([("watch", "light", 0.0), ("watch", "heavy", 0.1)])
        self.runs = {}
        self.now = 100.0

    def add_run(self, name, image, pace_percent=100, is_new=False):
        self.runs[name] = BestEffortRun(image, 6000, pace_percent, is_new=is_new)

    def decide(self, *headrooms, after_s=ADJUSTMENT_INTERVAL_S + 0.01):
        """Apply one decision; return the paces by name."""
        self.now += after_s
        serving = [
            ServingLatency("watch", int(TARGET_MS / headroom), TARGET_MS)
            for headroom in headrooms
        ]
        paces = self.pacer.decide(serving, self.runs, self.now)
        for name, run in self.runs.items():
            run.pace_percent = paces.get(name, run.pace_percent)
            run.is_new = False
        return {name: run.pace_percent for name, run in self.runs.items()}

    def test_no_run_is_sped_up_while_a_serving_task_is_over_its_target(self):
        self.add_run("l", "light", 20)
        self.add_run("h", "heavy", 100)
        self.add_run("u", "unseen", 100)
        paces = self.decide(5.0, 0.5)
        self.assertLessEqual(paces["l"], 20)
        self.assertLess(paces["h"], 100)
        self.assertLess(paces["u"], 100)

    def test_every_run_is_slowed_while_a_serving_task_is_over_its_target(self):
        """The run without an estimate is slowed, and that may not be enough."""
        for name, image in (("l", "light"), ("h", "heavy"), ("u", "unseen")):
            self.add_run(name, image, 100)
        paces = self.decide(5.0, 0.2)
        self.assertEqual(paces["h"], 0)
        self.assertEqual((paces["l"], paces["u"]), (50, 50))

    def test_run_that_starts_beside_a_task_over_its_target_waits(self):
        """It starts at an adjustment and between two adjustments."""
        self.add_run("h", "heavy", 100)
        self.add_run("l", "light", 100, is_new=True)
        self.assertEqual(self.decide(0.5)["l"], 0)
        self.add_run("m", "light", 100, is_new=True)
        self.assertEqual(self.decide(0.5, after_s=0.1)["m"], 0)

    def test_runs_that_waited_start_once_the_target_is_met(self):
        self.add_run("l", "light", 100, is_new=True)
        self.decide(0.5)
        for _ in range(12):
            paces = self.decide(5.0)
        self.assertEqual(paces, {"l": 100})


class PacePort:
    """Records pace calls.

    :param paces: the paces that the executor has applied, by task.
    :param unanswered: number of calls to come that take effect without an answer.
    :param refused: number of calls to come that are not carried out.
    :param delayed: number of calls to come that have no answer and are not carried out
        for now.
    """

    def __init__(self, paces):
        self.paces = dict(paces)
        self.calls = []
        self.unanswered = 0
        self.refused = 0
        self.delayed = 0

    async def set_pace(self, task, _attempt, pace_percent, _fence):
        self.calls.append((task, pace_percent))
        if self.refused > 0:
            self.refused -= 1
            raise HttpCallError(Verdict.NOT_RUN, "connection refused")
        if self.delayed > 0:
            self.delayed -= 1
            raise UNANSWERED
        self.paces[task] = pace_percent
        if self.unanswered > 0:
            self.unanswered -= 1
            raise UNANSWERED
        return OrderResult(OrderOutcome.ACCEPTED, 1000)


class PaceCallTests(unittest.TestCase):
    """An agent and the pace calls of one serving task and one best-effort run.

    The best-effort image is not known to the agent, so that it is slowed when the
    serving task's headroom is short.
    """

    def setUp(self):
        self.now = 100.0
        view = StandinBatchExecutor("executor-0", "a", [], lambda _t: 1.0).view()
        self.port = PacePort({"fill": 100})
        self.runs = ExecutorRuns(
            view, self.port, lambda: self.now, 0.0, lambda: None, lambda *_: None
        )
        self.runs.set_fence(1)

    def list_runs(self):
        """Apply a listing of runs that an earlier process of the agent started."""
        rows = [RunningRow("serve", 1, "", 0), RunningRow("fill", 1, "", 0)]
        self.runs.apply_listing(PollResult(1000, rows, []), self.now, self.now)
        for name, target_ms in (("serve", TARGET_MS), ("fill", 0)):
            self.runs.runs[name, 1].properties = messages.TaskProperties(
                10, 10, 0, target_ms == 0, target_ms, name
            )

    def adjust(self, headroom):
        """Pace the runs at a headroom; return the pace in force at the executor."""
        self.now += ADJUSTMENT_INTERVAL_S + 0.01
        self.runs.runs["serve", 1].measurement = int(TARGET_MS / headroom)
        trio.run(self.runs.pace_best_effort_runs)
        return self.port.paces["fill"]

    def test_run_that_an_earlier_process_of_the_agent_slowed_returns_to_full_pace(self):
        self.port.paces["fill"] = 0
        self.list_runs()
        self.assertEqual(self.adjust(5.0), 100)

    def test_unanswered_lower_pace_is_raised_again(self):
        """The call takes effect, and the next decision is the pace before it."""
        self.list_runs()
        self.adjust(5.0)
        self.port.unanswered = 1
        self.assertLess(self.adjust(1.2), 100)
        paces = [self.adjust(5.0) for _ in range(5)]
        self.assertEqual(paces[-1], 100)

    def test_unanswered_higher_pace_is_lowered_again(self):
        """The call takes effect, and a serving task is then over its target."""
        self.list_runs()
        while self.adjust(0.6) > 0:
            pass
        self.port.unanswered = 1
        self.assertGreater(self.adjust(5.0), 0)
        for _ in range(3):
            self.adjust(0.6)
        self.assertEqual(self.port.paces["fill"], 0)

    def test_pace_is_set_again_while_an_unanswered_call_may_be_carried_out(self):
        """A late call stopped the run for good, after a later one was answered."""
        self.list_runs()
        self.adjust(5.0)
        self.port.delayed = 1
        self.adjust(1.2)
        self.assertEqual([self.adjust(5.0) for _ in range(5)][-1], 100)
        self.port.paces["fill"] = 0
        self.assertEqual(self.adjust(5.0), 100)
        self.now += LATE_CALL_S
        self.adjust(5.0)
        calls = len(self.port.calls)
        self.adjust(5.0)
        self.assertEqual(len(self.port.calls), calls)

    def test_call_that_was_not_carried_out_leaves_the_pace_as_it_is(self):
        self.list_runs()
        self.adjust(5.0)
        self.port.refused = 1
        self.assertEqual(self.adjust(1.2), 100)
        calls = len(self.port.calls)
        self.adjust(5.0)
        self.assertEqual(len(self.port.calls), calls)

    def test_answered_paces_are_not_set_again(self):
        self.list_runs()
        for _ in range(5):
            self.adjust(5.0)
        calls = len(self.port.calls)
        for _ in range(5):
            self.adjust(5.0)
        self.assertEqual(len(self.port.calls), calls)
        self.assertLessEqual(calls, 1)


class SimulatedHostTests(unittest.TestCase):
    """A minute of a host on which runs of nine images start beside serving tasks.

    Half of the estimates are missing, too low or 0.
    """

    def check_seeds(self, seeds, *troubles):
        for seed in seeds:
            with self.subTest(seed=seed):
                host = simulate(seed, *troubles)
                self.assertEqual(host.harms, 0)
                self.assertLess(host.longest_s, HARM_S)
                self.assertGreater(host.finished, 0)

    def test_no_serving_task_is_harmed(self):
        self.check_seeds((301, 302, 303, 304))

    def test_no_serving_task_is_harmed_when_calls_fail_and_the_agent_restarts(self):
        self.check_seeds((301, 302, 303, 351), "unanswered", "silent", "restart")
