"""Start orders that are refused."""

from __future__ import annotations

import unittest
from unittest import mock

import trio

from rattanwing.batch import messages
from rattanwing.batch.hosts import REFUSAL_MEMORY_S, REFUSAL_PAUSE_S
from rattanwing.batch.model import StepSpec
from rattanwing.batch.placement import STARVED_AFTER_S
from rattanwing.batch.ports import EndReason, OrderOutcome, OrderResult, RunningRow
from rattanwing.batch.scheduler import HARMLESS_REFUSALS
from rattanwing.standin.runs import StandinExecutorPort
from tests.batch.test_scheduler import SchedulerTestCase
from tests.batch.world import job, play

ONE_TASK = StepSpec(1, cpu=500, memory_mb=100)
TASK = "job-1.0.0.0"


class RepeatedRefusalTests(unittest.TestCase):
    """One of two executors refuses every start."""

    def count_starts(self, outcome, seconds):
        """Return the number of starts that were refused, and the world."""
        refused_at = []
        start = StandinExecutorPort.start

        async def scenario(world):
            first = world.executors[0]

            async def refuse_on_first(port, *args):
                if port.executor is not first:
                    return await start(port, *args)
                refused_at.append(trio.current_time())
                await trio.sleep(0.001)
                return OrderResult(outcome, first.clock_ms())

            await trio.sleep(3)
            with mock.patch.object(StandinExecutorPort, "start", refuse_on_first):
                await world.submit(job("job-1", steps=(ONE_TASK,)))
                await trio.sleep(seconds)

        world = play(scenario, entries=1, hosts=2, seed=1)
        return len(refused_at), world

    def test_host_that_refuses_starts_does_not_draw_all_of_them(self):
        """It looked the emptiest and got 300 orders in 3 s for one task."""
        refused, world = self.count_starts(OrderOutcome.UNHEALTHY, 3.0)
        self.assertEqual([run.task for run in world.history], [TASK])
        self.assertLess(refused, 5)

    def test_executor_that_takes_itself_for_another_is_not_called_at_once_again(self):
        refused, world = self.count_starts(OrderOutcome.OTHER_INCARNATION, 1.0)
        self.assertEqual([run.task for run in world.history], [TASK])
        self.assertLess(refused, 5)


class RefusalTests(SchedulerTestCase):
    def refuse(self, host, reason="unhealthy"):
        """Refuse every run of a host."""
        for task, attempt in list(host.runs):
            refused = messages.RunRefused(task, attempt, reason)
            self.scheduler.handle_refused(host, refused, self.now)

    def wait(self, seconds, *hosts):
        self.now += seconds
        for host in hosts:
            self.report(host)

    def test_another_host_is_used_after_a_refusal(self):
        """The host that refused the start has more free resources."""
        first, second = self.host("agent-1", cpu=8000), self.host("agent-2")
        self.add_job(job(steps=(ONE_TASK,)))
        self.assertEqual(self.place(), [("agent-1", TASK)])
        self.refuse(first)
        self.assertEqual(self.place(), [("agent-2", TASK)])
        self.wait(REFUSAL_PAUSE_S + 0.01, first)
        self.refuse(second)
        self.wait(1, first, second)
        self.add_job(job("job-2", steps=(ONE_TASK,)))
        self.add_job(job("job-3", steps=(ONE_TASK,)))
        self.assertEqual(len(self.place()), 3)

    def test_only_host_is_tried_again_after_pauses_that_grow(self):
        host = self.host("agent-1")
        self.add_job(job(steps=(ONE_TASK,)))
        tries = 0
        for _ in range(300):
            tries += len(self.place())
            self.refuse(host)
            self.wait(0.01, host)
        self.assertIn(tries, range(2, 5))
        self.wait(REFUSAL_PAUSE_S * 4, host)
        self.assertEqual(self.place(), [("agent-1", TASK)])

    def test_host_is_used_like_others_some_time_after_a_refusal(self):
        first, second = self.host("agent-1", cpu=8000), self.host("agent-2")
        self.add_job(job(steps=(ONE_TASK,)))
        self.place()
        self.refuse(first)
        self.place()
        self.wait(REFUSAL_PAUSE_S + REFUSAL_MEMORY_S + 0.1, first)
        self.report(second, runs=[RunningRow(TASK, 2, "", 10)])
        self.add_job(job("job-2", steps=(ONE_TASK,)))
        self.assertEqual(self.place(), [("agent-1", "job-2.0.0.0")])

    def test_refusal_of_an_executor_is_not_held_against_its_successor(self):
        host = self.host("agent-1")
        self.add_job(job(steps=(ONE_TASK,)))
        self.place()
        self.refuse(host, "other-incarnation")
        self.assertEqual(self.place(), [])
        self.report(host, incarnation="agent-1@2")
        self.assertEqual(self.place(), [("agent-1", TASK)])

    def test_order_that_came_too_late_does_not_tell_against_the_host(self):
        for reason in sorted(HARMLESS_REFUSALS):
            self.setUp()
            host = self.host("agent-1")
            self.add_job(job(steps=(ONE_TASK,)))
            self.place()
            self.refuse(host, reason)
            self.assertEqual(self.place(), [("agent-1", TASK)], reason)

    def test_job_whose_starts_are_all_refused_is_starved(self):
        """Each refused order counted as a run; the job never counted as starved."""
        host = self.host("agent-1")
        owned = self.add_job(job(steps=(ONE_TASK,)))
        for _ in range(15):
            self.place()
            # The agent lists a run already while it is starting it.
            rows = [RunningRow(*key, "", 0) for key in host.runs]
            self.report(host, runs=rows)
            self.refuse(host)
            self.wait(0.1, host)
        self.assertTrue(owned.is_starved(self.now, STARVED_AFTER_S))


class GangTests(SchedulerTestCase):
    """The members of a gang wait for each other, and end ``alone`` after a time."""

    def setUp(self):
        super().setUp()
        self.hosts = [self.host(f"agent-{i}", cpu=1000) for i in range(2)]
        self.add_job(job(steps=(StepSpec(2, cpu=1000, gang=True),)))
        self.assertEqual(len(self.place()), 2)
        self.spare = self.host("agent-2", cpu=1000)

    def orders(self, kind):
        """Run a round; return the host, task and attempt of each order of a kind."""
        self.place()
        return [
            (host.name, message.task, message.attempt)
            for host, message in self.scheduler.cluster.outbox
            if isinstance(message, kind)
        ]

    def check_placed_anew(self, other):
        """Check that the run on the other host is stopped, then all are placed."""
        ((task, _attempt),) = other.runs
        self.assertEqual(self.orders(messages.StopRun), [(other.name, task, 1)])
        self.assertEqual(self.orders(messages.StopRun), [])
        self.assertEqual(self.orders(messages.StartRun), [])
        self.end(other, task, reason=EndReason.STOPPED)
        placed = self.orders(messages.StartRun)
        self.assertEqual(
            sorted((task, attempt) for _host, task, attempt in placed),
            [("job-1.0.0.0", 2), ("job-1.0.0.1", 2)],
        )

    def test_members_are_stopped_when_one_is_refused(self):
        ((task, attempt),) = self.hosts[0].runs
        refused = messages.RunRefused(task, attempt, "unhealthy")
        self.scheduler.handle_refused(self.hosts[0], refused, self.now)
        self.check_placed_anew(self.hosts[1])

    def test_members_are_stopped_when_one_is_lost(self):
        self.report(self.hosts[1], incarnation="agent-1@2")
        self.check_placed_anew(self.hosts[0])

    def test_members_are_stopped_when_one_has_ended(self):
        ((task, _attempt),) = self.hosts[0].runs
        self.end(self.hosts[0], task, reason=EndReason.LAPSED)
        self.check_placed_anew(self.hosts[1])

    def test_complete_gang_is_not_stopped(self):
        for host in self.hosts:
            rows = [RunningRow(*key, "", 10) for key in host.runs]
            self.report(host, runs=rows)
        self.scheduler.jobs["job-1"].unsettled = True
        self.assertEqual(self.orders((messages.StopRun, messages.StartRun)), [])


if __name__ == "__main__":
    unittest.main()
