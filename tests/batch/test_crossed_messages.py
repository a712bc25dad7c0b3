from __future__ import annotations

import unittest

import trio

from rattanwing.batch import messages
from rattanwing.batch.agent import BatchAgent, OwnerSession
from rattanwing.batch.model import StepSpec
from rattanwing.batch.replica import JobView
from rattanwing.batch.scheduler import Scheduler
from rattanwing.batch.timing import LEASE_MARGIN_S, TASK_LEASE_S
from rattanwing.standin.runs import StandinBatchExecutor
from tests.batch.test_agent import RecordingNursery, RecordingSession
from tests.batch.world import job

ONE_TASK = StepSpec(1, cpu=500, memory_mb=100)


class CrossedMessagesTests(unittest.TestCase):
    """An owner and an agent whose messages are delivered by hand."""

    def setUp(self):
        self.now = 100.0
        self.executor = StandinBatchExecutor(
            "executor-0", "domain-a", [], lambda _task: 1.0
        )
        self.agent = BatchAgent(lambda: self.now, self.executor.port)
        self.agent.nursery = RecordingNursery()
        self.owner = self.agent.owner = OwnerSession(1, 1)
        self.owner.session = RecordingSession()
        self.scheduler = Scheduler(1, self.now)
        self.host = self.scheduler.cluster.add_host("agent-0", self.now)
        self.scheduler.cluster.begin_stream(self.host)
        self.announce()
        self.deliver_reports()

    def announce(self):
        """Announce the executor to its agent, and let it list its runs."""
        self.agent.handle_announcement(self.executor.view())
        self.agent.executor.listed_fence = 1
        self.agent.executor.confirmed_at = self.now
        self.agent.nursery.tasks.clear()

    def deliver_reports(self):
        """Deliver to the owner what the agent has sent, and a report made now."""
        self.agent.send_report(self.now)
        sent, self.owner.session.sent = self.owner.session.sent, []
        for message in sent:
            match message:
                case messages.HostReport():
                    self.scheduler.handle_report(
                        self.host, message, self.now, int(self.now * 1000)
                    )
                case messages.RunRefused():
                    self.scheduler.handle_refused(self.host, message, self.now)

    def place(self):
        """Run a round of placement and return the messages to the agent."""
        self.scheduler.cluster.outbox.clear()
        self.scheduler.place_waiting_tasks(self.now, int(self.now * 1000))
        return [message for _host, message in self.scheduler.cluster.outbox]

    def deliver_orders(self, orders):
        """Deliver orders to the agent and carry out the starts that it admits."""

        async def carry_out():
            self.agent.executor.record_clock(self.executor.clock_ms(), self.now)
            self.agent.executor.extend_lease(self.now + 9)
            async with trio.open_nursery() as self.executor.nursery:
                for order in orders:
                    self.agent.handle_message(self.owner, order)
                for task, args in self.agent.nursery.tasks:
                    await task(*args)
                self.agent.nursery.tasks.clear()
                self.executor.nursery.cancel_scope.cancel()

        trio.run(carry_out)

    def replace_executor(self):
        self.executor.crash()
        self.executor.restart()
        self.announce()

    def test_order_for_the_previous_executor_is_not_started_on_its_successor(self):
        """The owner takes such a run for lost with the previous executor."""
        self.scheduler.update_job(JobView(job(steps=(ONE_TASK,))), self.now, 0)
        crossing = self.place()
        self.replace_executor()
        self.deliver_reports()
        self.deliver_orders([*crossing, *self.place()])
        self.assertEqual(
            [(run.task, run.attempt) for run in self.executor.history],
            [("job-1.0.0.0", 2)],
        )

    def test_order_for_an_executor_that_has_left_is_not_started_on_its_successor(self):
        self.scheduler.update_job(JobView(job(steps=(ONE_TASK,))), self.now, 0)
        crossing = self.place()
        self.executor.draining = True
        self.announce()
        self.assertTrue(self.agent.handle_exit(self.executor.name))
        self.executor.draining = False
        self.deliver_reports()
        self.replace_executor()
        self.deliver_orders(crossing)
        self.assertEqual(self.executor.history, [])

    def test_refused_order_for_the_previous_executor_is_placed_again(self):
        self.scheduler.update_job(JobView(job(steps=(ONE_TASK,))), self.now, 0)
        crossing = self.place()
        self.replace_executor()
        self.deliver_orders(crossing)
        self.deliver_reports()
        self.deliver_orders(self.place())
        self.assertEqual([run.attempt for run in self.executor.history], [2])

    def test_answered_start_on_a_machine_that_is_lost_ends_with_the_lease(self):
        """Its task was started again 28 s after the placement."""
        self.scheduler.update_job(JobView(job(steps=(ONE_TASK,))), self.now, 0)
        self.deliver_orders(self.place())
        self.assertEqual(len(self.executor.history), 1)
        self.deliver_reports()
        self.host.extend_lease(self.now, TASK_LEASE_S)
        (run,) = self.host.runs.values()
        self.scheduler.cluster.end_stream(self.host)
        self.now += TASK_LEASE_S + LEASE_MARGIN_S
        self.scheduler.drop_lapsed_hosts(self.now)
        self.assertEqual(run.task.runs, [])
