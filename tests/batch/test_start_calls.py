from __future__ import annotations

import unittest
from itertools import permutations, product

import trio
import trio.testing

from rattanwing.batch.liveness import LATE_RUN_S, StartCall, StartCalls
from rattanwing.batch.ports import OrderOutcome, OrderResult, PollResult, RunningRow
from rattanwing.batch.runs import ExecutorRuns
from rattanwing.standin.runs import StandinBatchExecutor
from rattanwing.util.http_client import HttpCallError
from rattanwing.verdict import Verdict
from tests.batch.test_agent import start_order

KEY = ("job-1.0.0.0", 1)


def clock_ms():
    """Return the clock of an executor that ran for a second before the test."""
    return 1000 + int(trio.current_time() * 1000)


class ScriptedPort:
    """Answers start calls from a script and polls with an empty listing.

    :param starts: outcomes, errors, or coroutine functions that return an answer.
    """

    def __init__(self, starts):
        self.starts = list(starts)
        self.stops = []

    async def start(self, *_order):
        answer = self.starts.pop(0)
        if isinstance(answer, Exception):
            raise answer
        if callable(answer):
            return await answer()
        return OrderResult(answer, clock_ms())

    async def stop(self, task, attempt, _fence):
        self.stops.append((task, attempt))
        return OrderResult(OrderOutcome.ACCEPTED, clock_ms())

    async def poll(self, *_call):
        await trio.sleep(0.01)
        return PollResult(clock_ms(), [], [])


class UnsettledCallTests(unittest.TestCase):
    def test_calls_that_can_not_take_effect_any_more_are_dropped(self):
        """Those whose repeat was answered stayed until the executor exited."""
        calls = StartCalls()
        for number in range(1000):
            calls.send((f"job-{number}.0.0.0", 1), StartCall(None, float(number)))
            self.assertLessEqual(len(calls.calls), LATE_RUN_S + 1)
        self.assertEqual(len(calls.outstanding(999.0, LATE_RUN_S)), LATE_RUN_S + 1)

    def test_answer_settles_its_own_call(self):
        """That to an earlier call settled the newest one."""
        key = ("job-1.0.0.0", 1)
        for answered in product((True, False), repeat=3):
            for order in permutations(range(3)):
                with self.subTest(answered=answered, order=order):
                    calls = StartCalls()
                    sent = [StartCall(None, float(number)) for number in range(3)]
                    for call in sent:
                        calls.send(key, call)
                    for number in order:
                        if answered[number]:
                            calls.settle(key, sent[number])
                    unsettled = [
                        c for c, a in zip(sent, answered, strict=True) if not a
                    ]
                    self.assertEqual(
                        calls.outstanding(3.0),
                        {key: unsettled[-1]} if unsettled else {},
                    )


class StartCallTests(unittest.TestCase):
    """The start calls of one order, and their answers."""

    def carry_out(self, starts):
        """Carry out a start order; return the refusals and the stopped runs."""
        refused = []
        port = ScriptedPort(starts)

        async def main():
            view = StandinBatchExecutor("executor-0", "a", [], lambda _t: 1.0).view()
            runs = self.runs = ExecutorRuns(
                view,
                port,
                trio.current_time,
                0.0,
                lambda: None,
                lambda *refusal: refused.append(refusal),
            )
            runs.set_fence(1)
            runs.record_clock(clock_ms(), trio.current_time())
            runs.extend_lease(trio.current_time() + 9)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(runs.poll_loop)
                await trio.sleep(0.1)
                order = start_order()
                run = runs.admit(order)
                await runs.start(order, run, trio.current_time() + 2)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return refused, port.stops

    def check_stopped(self, outcome):
        unanswered = HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time")
        refused, stops = self.carry_out([unanswered, outcome])
        self.assertEqual((refused, stops), ([], [KEY]))

    def test_only_a_start_without_an_answer_is_reported_as_late(self):
        """Its run is kept beyond the lease of a machine that is lost."""
        unanswered = HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time")
        unsent = HttpCallError(Verdict.NOT_RUN, "no connection")
        accepted = OrderOutcome.ACCEPTED
        for starts, late in (
            ([accepted], False),
            ([unsent, accepted], False),
            ([unanswered, accepted], True),
            ([unanswered, unsent, accepted], True),
            ([unanswered, OrderOutcome.OLD_ATTEMPT], True),
        ):
            with self.subTest(starts=starts):
                self.carry_out(starts)
                self.assertEqual(self.runs.report_late_starts(0.0), [late])

    def test_start_is_reported_as_late_while_its_call_waits(self):
        flags = []

        async def report_and_answer():
            flags.extend(self.runs.report_late_starts(trio.current_time()))
            return OrderResult(OrderOutcome.ACCEPTED, clock_ms())

        self.carry_out([report_and_answer])
        self.assertEqual(flags, [True])

    def test_start_that_was_not_called_yet_is_reported_as_late(self):
        """Its call followed the report, and its agent was killed before the next."""

        async def accept():
            return OrderResult(OrderOutcome.ACCEPTED, clock_ms())

        self.carry_out([accept])
        self.runs.clock = lambda: 0.0
        self.runs.runs.clear()
        self.runs.admit(start_order())
        self.assertEqual(self.runs.report_late_starts(0.0), [True])

    def test_change_of_a_late_start_is_reported_at_once(self):
        requests = []

        def count_requests():
            self.runs.on_change = lambda: requests.append(trio.current_time())

        async def fail():
            count_requests()
            raise HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time")

        async def accept():
            count_requests()
            return OrderResult(OrderOutcome.ACCEPTED, clock_ms())

        async def report_and_accept():
            self.runs.report_late_starts(trio.current_time())
            return await accept()

        for starts, count in (
            ([accept], 0),
            ([report_and_accept], 1),
            ([fail, report_and_accept], 1),
        ):
            with self.subTest(starts=starts):
                requests.clear()
                self.carry_out(starts)
                self.assertEqual(len(requests), count)

    def test_refused_repeat_of_an_unanswered_call_is_stopped(self):
        """The unanswered call may take effect later; the task ran twice."""
        self.check_stopped(OrderOutcome.UNHEALTHY)

    def test_repeat_without_room_after_an_unanswered_call_is_stopped(self):
        self.check_stopped(OrderOutcome.NO_ROOM)

    def test_answer_under_an_earlier_fence_leaves_a_listed_run(self):
        """The unanswered call had started it, as the next stream's listing shows."""
        unanswered = HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time")

        async def refuse_after_listing():
            now = trio.current_time()
            self.runs.set_fence(2)
            self.runs.listed_fence = 2
            listing = PollResult(clock_ms(), [RunningRow(*KEY, "", 10)], [])
            self.runs.apply_listing(listing, now, now)
            self.listed = dict(self.runs.runs)
            return OrderResult(OrderOutcome.FENCED, clock_ms())

        refused, stops = self.carry_out([unanswered, refuse_after_listing])
        self.assertEqual((refused, stops), ([], []))
        self.assertIn(KEY, self.listed)
        self.assertIs(self.runs.runs.get(KEY), self.listed[KEY])
