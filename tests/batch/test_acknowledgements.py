from __future__ import annotations

import unittest
from unittest import mock

import trio
import trio.testing

from rattanwing.batch import messages
from rattanwing.batch.agent import BatchAgent, OwnerSession
from rattanwing.batch.liveness import LATE_CALL_S, call_fence
from rattanwing.batch.ports import EndReason
from rattanwing.batch.runs import ExecutorRuns
from rattanwing.standin.runs import StandinBatchExecutor

FIRST = "executor-0@1"
SECOND = "executor-0@2"
ACKNOWLEDGEMENT_DELAY_S = 0.3
ACKNOWLEDGED_WITHIN_S = 4.0
RUN_S = 0.5
BETWEEN_POLLS_S = 0.0005
"""Less than a call takes, so that the second of two ends falls between two polls."""


class RecordingSession:
    """Records the messages that the agent sends."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def close(self):
        """Close nothing."""


class SlowAcknowledgementPort:
    """Delays the first poll that acknowledges ends, and records all polls.

    :param polls: number of the acknowledged end and wait in seconds of each poll.
    """

    def __init__(self, port, sent, polls):
        self.port = port
        self.sent = sent
        self.polls = polls
        self.start = port.start
        self.stop = port.stop
        self.set_pace = port.set_pace

    async def poll(self, fence, acknowledged, deadline_ms, wait_s):
        self.polls.append((acknowledged, wait_s))
        if acknowledged and not self.sent.is_set():
            self.sent.set()
            await trio.sleep(ACKNOWLEDGEMENT_DELAY_S)
        return await self.port.poll(fence, acknowledged, deadline_ms, wait_s)


class SlowStartPort(SlowAcknowledgementPort):
    """Also delays the start of each task but those of the first job."""

    def __init__(self, port, sent, polls):
        super().__init__(port, sent, polls)
        self.start = self.delay_start

    async def delay_start(self, task, *order):
        if not task.startswith("job-1."):
            await trio.sleep(ACKNOWLEDGEMENT_DELAY_S)
        return await self.port.start(task, *order)


class AgentFixture:
    """An agent and its executor, which starts again under its id."""

    port_class = SlowAcknowledgementPort

    def play(self, scenario):
        """Run a scenario while an acknowledgement of two ends is on its way."""

        async def main():
            self.history = []
            self.executor = StandinBatchExecutor(
                "executor-0", "domain-a", self.history, self.duration
            )
            self.sent = trio.Event()
            self.polls = []
            self.orders = 0
            self.agent = BatchAgent(
                trio.current_time,
                lambda view: self.port_class(
                    self.executor.port(view), self.sent, self.polls
                ),
            )
            self.owner = self.agent.owner = OwnerSession(1, 1)
            self.owner.session = RecordingSession()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.executor.run)
                nursery.start_soon(self.agent.run)
                await trio.sleep(0)
                self.agent.handle_announcement(self.executor.view())
                nursery.start_soon(self.renew_leases)
                await trio.sleep(0.1)
                self.order("job-1.0.0.0", FIRST)
                self.order("job-1.0.0.1", FIRST)
                await trio.sleep(RUN_S + 0.1)
                await scenario()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def duration(self, task):
        return RUN_S + BETWEEN_POLLS_S * int(task[-1])

    async def renew_leases(self):
        while True:
            self.tell(messages.LeaseRenewal(trio.current_time(), 9.0))
            await trio.sleep(0.1)

    def tell(self, message):
        self.agent.handle_message(self.owner, message)

    def order(self, task, incarnation):
        """Order a start."""
        self.orders += 1
        properties = messages.TaskProperties(100, 10, 0, False, 0, "")
        start_before = trio.current_time() + 2
        self.tell(
            messages.StartRun(
                self.orders, task, 1, incarnation, "text", "", properties, start_before
            )
        )

    def lost_ends(self):
        """Return the done tasks whose end is not known to the owner."""
        told = {
            end.task
            for message in self.owner.session.sent
            if isinstance(message, messages.RunsEnded)
            for end in message.ends
        }
        return [
            run.task
            for run in self.history
            if run.end_reason is EndReason.DONE and run.task not in told
        ]

    def last_report(self):
        return [
            message
            for message in self.owner.session.sent
            if isinstance(message, messages.HostReport)
        ][-1]


class AcknowledgementTests(AgentFixture, unittest.TestCase):
    def test_no_start_follows_an_acknowledgement_without_an_answer(self):
        """Both reached the next incarnation, which dropped the end of the run."""

        async def order_during_the_acknowledgement():
            self.tell(messages.EndsStored(FIRST, 2))
            await self.sent.wait()
            self.executor.crash()
            self.executor.restart(same_id=True)
            self.order("job-2.0.0.0", FIRST)
            await trio.sleep(2)
            self.agent.handle_announcement(self.executor.view())
            await trio.sleep(2)

        self.play(order_during_the_acknowledgement)
        self.assertEqual(self.lost_ends(), [])

    def test_start_waits_until_an_acknowledgement_is_answered(self):
        async def order_during_the_acknowledgement():
            self.tell(messages.EndsStored(FIRST, 2))
            await self.sent.wait()
            self.order("job-2.0.0.0", FIRST)
            self.ordered_at = trio.current_time()
            await trio.sleep(2)

        self.play(order_during_the_acknowledgement)
        self.assertEqual(len(self.history), 3)
        waited_s = self.history[2].started_at - self.ordered_at
        self.assertGreaterEqual(waited_s, ACKNOWLEDGEMENT_DELAY_S)
        self.assertLess(waited_s, ACKNOWLEDGEMENT_DELAY_S + 0.05)
        self.assertEqual(self.lost_ends(), [])

    def test_polls_that_wait_acknowledge_nothing(self):
        async def acknowledge():
            self.tell(messages.EndsStored(FIRST, 2))
            await trio.sleep(2)
            self.assertEqual(self.executor.unacknowledged, {})

        self.play(acknowledge)
        numbers = [(number, wait_s) for number, wait_s in self.polls if number]
        self.assertEqual(numbers, [(2, 0.0)])

    def test_incarnation_after_an_acknowledgement_without_an_answer_is_in_use(self):
        """It got no starts for its life, and jobs that need it waited for ever."""

        async def restart_during_the_acknowledgement():
            self.tell(messages.EndsStored(FIRST, 2))
            await self.sent.wait()
            self.executor.crash()
            self.executor.restart(same_id=True)
            await trio.sleep(1)
            self.agent.handle_announcement(self.executor.view())
            await trio.sleep(0.5)
            reports.append(self.last_report())
            self.order("job-2.0.0.0", SECOND)
            self.order("job-2.0.0.1", SECOND)
            await trio.sleep(2)

        reports = []
        self.play(restart_during_the_acknowledgement)
        self.assertEqual(self.lost_ends(), [])
        self.assertFalse(reports[0].executor_unreachable)
        self.assertEqual(reports[0].executor.incarnation, SECOND)
        done = sorted(r.task for r in self.history if r.end_reason is EndReason.DONE)
        self.assertEqual(done[2:], ["job-2.0.0.0", "job-2.0.0.1"])

    def test_late_acknowledgement_drops_no_end_of_the_next_incarnation(self):
        """It arrives at any time, also when there are ends that are not stored."""
        for delay_s in (0.05, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 5.0, LATE_CALL_S):
            with self.subTest(delay_s=delay_s):
                self.check_late_acknowledgement(delay_s)

    def check_late_acknowledgement(self, delay_s):
        async def acknowledge_late():
            await trio.sleep(delay_s)
            first = self.executor.first_incarnation
            if self.executor.up and first == 1:
                await self.executor.poll(fence, 2, None, 0.0)

        async def restart_after_the_acknowledgement():
            nonlocal fence
            fence = call_fence(self.owner.fence, self.agent.executor.generation)
            self.tell(messages.EndsStored(FIRST, 2))
            await self.sent.wait()
            trio.lowlevel.spawn_system_task(acknowledge_late)
            self.executor.crash()
            await trio.sleep(0.2)
            self.executor.restart(same_id=True)
            await trio.sleep(0.5)
            self.agent.handle_announcement(self.executor.view())
            for number in range(3):
                await trio.sleep(0.5)
                self.order(f"job-2.0.0.{number}", SECOND)
            await trio.sleep(LATE_CALL_S + 1)

        fence = 0
        self.play(restart_after_the_acknowledgement)
        self.assertEqual(len(self.history), 5)
        self.assertEqual(self.lost_ends(), [])

    def test_announcement_while_the_acknowledgement_has_no_answer(self):
        """It was carried out, and its call was cancelled only after the switch."""

        async def announce_before_the_answer():
            self.tell(messages.EndsStored(FIRST, 2))
            await self.sent.wait()
            self.executor.crash()
            self.executor.restart(same_id=True)
            call_delays = self.executor.call_delays
            self.executor.call_delays = lambda: (0.0, 0.5)
            await trio.sleep(ACKNOWLEDGEMENT_DELAY_S + 0.1)
            self.executor.call_delays = call_delays
            self.agent.handle_announcement(self.executor.view())
            await trio.sleep(0.2)
            self.order("job-2.0.0.0", SECOND)
            self.order("job-2.0.0.1", SECOND)
            await trio.sleep(2)

        self.play(announce_before_the_answer)
        self.assertEqual(self.lost_ends(), [])
        self.assertEqual(len(self.history), 4)
        self.assertFalse(self.last_report().executor_unreachable)

    def test_answered_acknowledgement_leaves_the_next_incarnation_in_use(self):
        async def restart_after_the_acknowledgement():
            self.tell(messages.EndsStored(FIRST, 2))
            await trio.sleep(2)
            self.executor.crash()
            self.executor.restart(same_id=True)
            await trio.sleep(0.5)
            self.agent.handle_announcement(self.executor.view())
            await trio.sleep(0.5)
            self.order("job-2.0.0.0", SECOND)
            await trio.sleep(2)

        self.play(restart_after_the_acknowledgement)
        self.assertFalse(self.last_report().executor_unreachable)
        self.assertEqual(len(self.history), 3)
        self.assertEqual(self.lost_ends(), [])

    def test_incarnation_that_began_after_all_late_acknowledgements_is_in_use(self):
        """Its machine was off; its clock shows that it began later."""

        async def restart_after_a_while():
            self.tell(messages.EndsStored(FIRST, 2))
            await self.sent.wait()
            call_delays = self.executor.call_delays
            self.executor.call_delays = lambda: (0.0, 0.2)
            await trio.sleep(ACKNOWLEDGEMENT_DELAY_S + 0.1)
            self.executor.call_delays = call_delays
            self.executor.crash()
            await trio.sleep(LATE_CALL_S + 5)
            self.executor.restart(same_id=True)
            await trio.sleep(1)
            self.agent.handle_announcement(self.executor.view())
            await trio.sleep(0.5)
            self.order("job-2.0.0.0", SECOND)
            await trio.sleep(2)

        self.play(restart_after_a_while)
        self.assertFalse(self.last_report().executor_unreachable)
        self.assertEqual(len(self.history), 3)
        self.assertEqual(self.lost_ends(), [])


class SlowStartTests(AgentFixture, unittest.TestCase):
    """Start calls that take long."""

    port_class = SlowStartPort

    def test_acknowledgement_waits_until_starts_are_answered(self):
        """A start reached the next incarnation just before the acknowledgement."""

        async def acknowledge_during_a_start():
            self.order("job-2.0.0.0", FIRST)
            await trio.sleep(0.01)
            self.tell(messages.EndsStored(FIRST, 2))
            await trio.sleep(0.1)
            self.executor.crash()
            self.executor.restart(same_id=True)
            await trio.sleep(2)
            self.agent.handle_announcement(self.executor.view())
            await trio.sleep(2)

        self.play(acknowledge_during_a_start)
        self.assertEqual(self.lost_ends(), [])

    def test_paces_are_set_while_an_acknowledgement_waits_for_a_start(self):
        """They stood still, whatever the tails of the serving tasks."""
        paced = []

        async def pace(_runs):
            paced.append(trio.current_time())

        async def acknowledge_during_a_start():
            self.order("job-2.0.0.0", FIRST)
            await trio.sleep(0.01)
            self.tell(messages.EndsStored(FIRST, 2))
            await trio.sleep(0.05)
            paced.clear()
            await trio.sleep(ACKNOWLEDGEMENT_DELAY_S - 0.1)
            self.assertNotEqual(paced, [])

        with mock.patch.object(ExecutorRuns, "pace_best_effort_runs", pace):
            self.play(acknowledge_during_a_start)


class ManyStartsTests(AgentFixture, unittest.TestCase):
    """Starts follow each other so closely that one is always on its way."""

    port_class = SlowStartPort

    def test_ends_are_acknowledged_in_time(self):
        async def order_runs():
            for number in range(100):
                self.order(f"job-2.0.0.{number}", FIRST)
                await trio.sleep(ACKNOWLEDGEMENT_DELAY_S / 3)
                if self.agent.executor.ends.unstored:
                    number = max(self.agent.executor.ends.unstored)
                    self.tell(messages.EndsStored(FIRST, number))
            self.ended_at = trio.current_time()

        self.play(order_runs)
        waits = [
            (run.acknowledged_at or self.ended_at) - run.ended_at
            for run in self.history
            if run.ended_at is not None
        ]
        self.assertGreater(len(waits), 90)
        self.assertLess(max(waits), ACKNOWLEDGED_WITHIN_S)
        self.assertEqual(self.lost_ends(), [])
