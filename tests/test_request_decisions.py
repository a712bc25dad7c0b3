"""Decisions about requests: routing, admission and the retry budget."""

from __future__ import annotations

import random
import unittest

import trio
import trio.testing

from bench.recovery import make_agent_handle
from rattanwing import messages
from rattanwing.agent.admission import Admission
from rattanwing.entry import router
from rattanwing.entry.dispatch import RETRY_BUDGET_MAX, RetryBudget
from rattanwing.errors import RejectedError

NOW = 100.0


class FixedSlowness:
    """Gives fixed slowness values in place of the learned ones."""

    def __init__(self, values):
        self.values = values

    def slowness_of(self, agent):
        return self.values.get(agent, 1.0)


class RouterTests(unittest.TestCase):
    def setUp(self):
        self.handles = [make_agent_handle(n, 3, 0.0) for n in range(11)]
        for handle in self.handles:
            handle.last_heard_at = NOW

    def choose_many(self, slowness, count=600, domain="fd-0"):
        chosen = {}
        source = random.Random(1)
        interference = FixedSlowness(slowness)
        for _number in range(count):
            handle = router.choose(
                self.handles, domain, set(), interference, NOW, source
            )
            chosen[handle.name] = chosen.get(handle.name, 0) + 1
        return chosen

    def test_slow_executors_are_left_out_but_never_most_of_a_service(self):
        slow = {f"agent-{n}": 10.0 for n in range(3)}
        self.assertFalse(set(slow) & set(self.choose_many(slow)))
        very_slow = {f"agent-{n}": 10.0 + n for n in range(5)}
        ejected = router.ejected_executors(self.handles, FixedSlowness(very_slow))
        self.assertEqual(len(ejected), 3)

    def test_load_and_distance_decide(self):
        for handle in self.handles[1:]:
            handle.in_flight = 8
        self.assertGreater(self.choose_many({})["agent-0"], 200)
        self.setUp()
        chosen = self.choose_many({})
        near = sum(n for name, n in chosen.items() if int(name[6:]) % 3 == 0)
        self.assertGreater(near, 500)

    def test_returning_executor_is_ramped_up(self):
        for handle in self.handles:
            handle.heartbeat = messages.Heartbeat(0.0, busy=2)
        self.handles[0].connected_at = NOW - 0.5
        self.handles[0].heartbeat = messages.Heartbeat(0.0)
        self.assertNotIn("agent-0", self.choose_many({}))
        self.handles[0].connected_at = NOW - 60
        self.assertIn("agent-0", self.choose_many({}))

    def test_candidates_leave_out_silent_leaving_and_taken_out(self):
        self.handles[0].last_heard_at = NOW - 60
        self.handles[1].heartbeat.leaving = True
        self.handles[2].session.close()
        names = {
            h.name
            for h in router.candidates(self.handles, "collections", ["fd-0"], NOW)
        }
        self.assertEqual(
            names, {"agent-4", "agent-5", "agent-7", "agent-8", "agent-10"}
        )
        all_domains = ["fd-0", "fd-1", "fd-2"]
        remaining = router.candidates(self.handles, "collections", all_domains, NOW)
        self.assertEqual(len(remaining), 8)
        self.assertEqual(router.candidates(self.handles, "none", [], NOW), [])


class RetryBudgetTests(unittest.TestCase):
    def test_retries_are_a_share_of_first_attempts(self):
        budget = RetryBudget()
        self.assertEqual(
            sum(budget.try_withdraw() for _n in range(500)), RETRY_BUDGET_MAX
        )
        for _number in range(102):
            budget.deposit()
        self.assertEqual(sum(budget.try_withdraw() for _n in range(500)), 20)


class AdmissionTests(unittest.TestCase):
    def run_queue(self, arrivals, slots=2, limit=4):
        """Admit each ``(name, priority, deadline)`` arrival.

        :returns: names in the order of admission, and refusing rules by name.
        """
        order, refused = [], {}

        async def serve(admission, name, priority, deadline):
            try:
                await admission.acquire(priority, trio.current_time(), deadline)
            except RejectedError as error:
                refused[name] = error.rule
                return
            order.append(name)
            await trio.sleep(1)
            admission.release(priority)

        async def main():
            admission = Admission(slots, limit)
            async with trio.open_nursery() as nursery:
                for name, priority, deadline in arrivals:
                    nursery.start_soon(serve, admission, name, priority, deadline)
                    await trio.sleep(0.01)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return order, refused

    def test_booking_does_not_wait_behind_certificates(self):
        certificates = [(f"c{n}", 7, 100.0) for n in range(5)]
        order, refused = self.run_queue([*certificates, ("b", 0, 100.0)])
        self.assertEqual(order[:2], ["c0", "b"])
        self.assertEqual(refused, {})

    def test_full_queue_gives_way_to_the_more_urgent(self):
        certificates = [(f"c{n}", 7, 100.0 + n) for n in range(5)]
        bookings = [(f"b{n}", 0, 100.0) for n in range(4)]
        _order, refused = self.run_queue([*certificates, *bookings])
        self.assertEqual(set(refused.values()), {"queue-full"})
        self.assertTrue(all(name.startswith("c") for name in refused))

    def test_deadline_orders_a_class_and_passes_in_the_queue(self):
        arrivals = [("a", 0, 100.0), ("b", 0, 100.0)]
        arrivals += [("late", 0, 50.0), ("soon", 0, 9.0), ("missed", 0, 0.5)]
        order, refused = self.run_queue(arrivals)
        self.assertEqual(order, ["a", "b", "soon", "late"])
        self.assertEqual(refused, {"missed": "deadline"})
