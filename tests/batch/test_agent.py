from __future__ import annotations

import contextlib
import unittest
from unittest import mock

import msgspec
import trio
import trio.testing

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.agent import MAX_UNSTORED_CRASHES, BatchAgent, OwnerSession
from rattanwing.batch.liveness import (
    GENERATIONS_PER_STREAM,
    LATE_CALL_S,
    StartCall,
    call_fence,
)
from rattanwing.batch.ports import (
    EndReason,
    OrderOutcome,
    OrderResult,
    PollResult,
    RunningRow,
)
from rattanwing.batch.runs import ExecutorRuns
from rattanwing.peer.stream import memory_stream_pair
from rattanwing.standin.runs import StandinBatchExecutor


class RecordingSession:
    """Records the messages that the agent sends."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def close(self):
        """Close nothing."""


class RecordingNursery:
    """Records tasks without running them, like a nursery between two checkpoints."""

    def __init__(self):
        self.tasks = []

    def start_soon(self, task, *args):
        self.tasks.append((task, args))


def start_order(number=1, cpu=100, start_before=12.0, accelerators=0):
    properties = messages.TaskProperties(cpu, 10, accelerators, False, 0, "")
    return messages.StartRun(
        number,
        "job-1.0.0.0",
        1,
        "executor-0@1",
        "text",
        "",
        properties,
        start_before,
    )


class ReportTests(unittest.TestCase):
    def setUp(self):
        self.executor = executor = StandinBatchExecutor(
            "executor-0", "domain-a", [], lambda _task: 1.0
        )
        self.now = 10.0
        self.agent = BatchAgent(lambda: self.now, executor.port)
        self.agent.nursery = RecordingNursery()
        self.owner = self.agent.owner = OwnerSession(1, 1)
        self.owner.session = RecordingSession()
        self.agent.handle_announcement(executor.view())
        self.agent.executor.listed_fence = 1

    def report(self):
        self.agent.send_report(self.now)
        return self.owner.session.sent[-1]

    def test_report_lists_a_run_before_its_start_is_called(self):
        """An owner that misses the run in a report would mark it as lost."""
        self.agent.handle_message(self.owner, start_order())
        report = self.report()
        self.assertEqual(report.last_order, 1)
        self.assertEqual([row.task for row in report.runs], ["job-1.0.0.0"])

    def test_orders_beyond_the_capacity_are_refused(self):
        self.agent.handle_message(self.owner, start_order(cpu=4001))
        self.assertEqual(self.owner.session.sent[-1].reason, "no-cpu")
        self.assertEqual(self.report().runs, [])

    def test_orders_beyond_the_accelerators_are_refused(self):
        self.agent.handle_message(self.owner, start_order(accelerators=1))
        self.assertEqual(self.owner.session.sent[-1].reason, "no-accelerator")
        self.assertEqual(self.report().runs, [])

    def test_change_of_capacity_is_reported_at_once_and_limits_starts(self):
        """The owner learned of it up to half a second later."""
        for cpu, memory_mb in ((4000, 5), (50, 5), (4000, 8000)):
            with self.subTest(cpu=cpu, memory_mb=memory_mb):
                self.agent.changed = trio.Event()
                self.executor.cpu = cpu
                self.executor.memory_mb = memory_mb
                self.agent.handle_announcement(self.executor.view())
                self.assertTrue(self.agent.changed.is_set())
                view = self.report().executor
                self.assertEqual((view.cpu, view.memory_mb), (cpu, memory_mb))
                self.agent.changed = trio.Event()
                self.agent.handle_announcement(self.executor.view())
                self.assertFalse(self.agent.changed.is_set())
                self.agent.handle_message(self.owner, start_order())
                fits = memory_mb == 8000
                self.assertEqual(len(self.agent.executor.runs), int(fits))

    def test_start_is_refused_while_a_run_of_unknown_size_is_listed(self):
        """After a restart an agent gets its runs' properties from the owner, but not
        those of a run whose job was cancelled in the meantime.
        """
        row = RunningRow("job-0.0.0.0", 1, "", 10)
        executor = self.agent.executor
        executor.apply_listing(PollResult(1, [row], []), self.now, self.now)
        self.agent.handle_message(self.owner, start_order())
        self.assertEqual(self.owner.session.sent[-1].reason, "unknown-room")
        properties = messages.TaskProperties(3950, 10, 0, False, 0, "")
        self.agent.handle_message(
            self.owner, messages.RunProperties("job-0.0.0.0", 1, properties)
        )
        self.agent.handle_message(self.owner, start_order(number=2))
        self.assertEqual(self.owner.session.sent[-1].reason, "no-cpu")

    def test_an_order_that_waited_while_the_agent_was_paused_is_refused(self):
        """The agent counted the order's time from the moment at which it read it."""
        self.now += 4
        self.agent.handle_message(self.owner, start_order())
        self.assertEqual(self.owner.session.sent[-1].reason, "expired")
        self.assertEqual(self.report().runs, [])

    def test_messages_of_a_superseded_owner_are_ignored(self):
        older = OwnerSession(0, 9)
        self.agent.handle_message(older, start_order())
        self.assertEqual(self.report().runs, [])

    def test_order_received_during_a_stop_is_refused(self):
        """Streams stay open for a few scheduler steps after the agent's tasks end."""

        async def start_and_stop():
            with trio.move_on_after(0.1):
                await self.agent.run()

        trio.run(start_and_stop)
        self.agent.handle_message(self.owner, start_order())
        self.assertEqual(self.owner.session.sent[-1].reason, "no-executor")
        self.assertEqual(self.agent.executor.running_rows(), [])

    def test_stream_ends_when_its_generations_are_used_up(self):
        """The fence of the next generation would be that of a later stream."""
        self.owner.session.close = mock.Mock()
        for generation, fence, closed in (
            (GENERATIONS_PER_STREAM - 4, 1, 0),
            (GENERATIONS_PER_STREAM - 3, 0, 1),
        ):
            self.agent.executor.generation = generation
            view = msgspec.structs.replace(
                self.executor.view(), incarnation=f"executor-0@{generation}"
            )
            self.agent.handle_announcement(view)
            self.assertEqual(self.agent.executor.fence, fence)
            self.assertEqual(self.owner.session.close.call_count, closed)

    def test_refusal_by_another_incarnation_completes_no_report(self):
        """A late announcement of an earlier incarnation reached a new process of the
        agent; the runs that the earlier process had started were reported as gone.
        """
        refusal = OrderResult(OrderOutcome.OTHER_INCARNATION)
        self.agent.executor.handle_poll_refusal(refusal)
        self.assertFalse(self.report().complete)


class SlowStartPort:
    """Answers the first start call only when released, and then that it is fenced."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.released = trio.Event()
        self.calls = 0

    async def poll(self, *_order):
        return PollResult(1, [], [], self.incarnation)

    async def start(self, *_order):
        self.calls += 1
        if self.calls > 1:
            return OrderResult(OrderOutcome.ACCEPTED, 1)
        await self.released.wait()
        return OrderResult(OrderOutcome.FENCED, 1)


class RepeatedOrderTests(unittest.TestCase):
    def test_late_answer_to_an_earlier_owners_order_of_the_same_attempt(self):
        """The run that the later owner had started was reported as refused, and the
        owner started the next attempt on another host.
        """
        refused = []

        async def start_for_two_owners():
            executor = StandinBatchExecutor("executor-0", "domain-a", [], lambda _: 9.0)
            view = executor.view()
            port = SlowStartPort(view.incarnation)
            runs = ExecutorRuns(
                view,
                port,
                trio.current_time,
                0.0,
                lambda: None,
                lambda *refusal: refused.append(refusal),
            )
            runs.extend_lease(trio.current_time() + 9)
            order = start_order(start_before=trio.current_time() + 2)
            async with trio.open_nursery() as nursery:
                for fence in (1, 2):
                    runs.set_fence(fence)
                    await trio.sleep(0.1)
                    await runs.poll(trio.current_time(), fence)
                    run = runs.admit(order)
                    nursery.start_soon(runs.start, order, run, order.start_before)
                    await trio.sleep(0.1)
                port.released.set()
            return runs.running_rows()

        clock = trio.testing.MockClock(autojump_threshold=0)
        rows = trio.run(start_for_two_owners, clock=clock)
        self.assertEqual([row.task for row in rows], ["job-1.0.0.0"])
        self.assertEqual(refused, [])


FENCE = call_fence(1, 0)


class SameIdRestartTests(unittest.TestCase):
    def run_with_executor(self, scenario):
        """Run a scenario with an executor and the agent's view of it."""

        async def main():
            executor = StandinBatchExecutor("executor-0", "domain-a", [], lambda _: 9.0)
            view = executor.view()
            runs = ExecutorRuns(
                view,
                executor.port(view),
                trio.current_time,
                0.0,
                lambda: None,
                lambda *_refusal: None,
            )
            runs.set_fence(1)
            runs.extend_lease(trio.current_time() + 9)
            await runs.poll(trio.current_time(), 1)
            await scenario(executor, runs)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_answer_to_a_stop_by_the_next_incarnation_is_no_sign_of_life(self):
        """It hid for how long the earlier incarnation had been gone."""

        async def stop_after_restart(executor, runs):
            answered_at = runs.answered_at
            await trio.sleep(1)
            executor.crash()
            await runs.poll(trio.current_time(), 1)
            failed_at = runs.failed_at
            executor.restart(same_id=True)
            await runs.stop("job-1.0.0.0", 1)
            self.assertEqual(
                (runs.answered_at, runs.failed_at), (answered_at, failed_at)
            )

        self.run_with_executor(stop_after_restart)

    def test_run_that_the_next_incarnation_may_have_started_has_not_surely_ended(self):
        """With the crash the owner took it for lost and started the next attempt."""

        async def crash_after_a_start_call(_executor, runs):
            now = trio.current_time()
            run = runs.admit(start_order(start_before=now + 2))
            run.maybe_sent = True
            self.assertEqual([row.ended for row in runs.crashed_runs()], [True])
            runs.restarted_under_id = True
            self.assertEqual([row.ended for row in runs.crashed_runs()], [False])
            run.listed = True
            self.assertEqual([row.ended for row in runs.crashed_runs()], [True])

        self.run_with_executor(crash_after_a_start_call)

    def test_ends_of_the_next_incarnation_are_not_acknowledged_unseen(self):
        """It restarted between two polls; each of them acknowledged the ends that the
        earlier incarnation had listed, so the next one dropped its own.
        """

        async def restart_between_polls(executor, runs):
            async with trio.open_nursery() as executor.nursery:
                deadline_ms = executor.clock_ms() + 9000
                executor.start("job-1.0.0.0", 1, deadline_ms, FENCE)
                executor.end_run(("job-1.0.0.0", 1), EndReason.DONE)
                await runs.poll(trio.current_time(), 1)
                runs.ends.drop_stored(1)
                while executor.ended:
                    await runs.poll(trio.current_time(), 1)
                executor.crash()
                executor.restart(same_id=True)
                await runs.poll(trio.current_time(), 1)
                executor.nursery.cancel_scope.cancel()
            self.assertEqual(executor.acknowledged, 0)

        self.run_with_executor(restart_between_polls)

    def test_poll_sent_before_a_failed_call_confirms_nothing(self):
        """Its answer allowed starts although a later call had failed."""

        async def fail_during_poll(executor, runs):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(runs.poll, trio.current_time(), 1)
                await trio.sleep(0.1)
                runs.record_unconfirmed()
            self.assertFalse(runs.is_confirmed(trio.current_time()))

        self.run_with_executor(fail_during_poll)

    def succeed(self, executor, previous):
        """Return the agent's view of the next incarnation."""
        view = executor.view()
        runs = ExecutorRuns(
            view,
            executor.port(view),
            trio.current_time,
            trio.current_time() + 9,
            lambda: None,
            lambda *_refusal: None,
        )
        runs.set_fence(1)
        runs.succeed(previous, trio.current_time())
        return runs

    def start_late(self, executor):
        """Carry out a start call that was sent to the first incarnation."""
        deadline_ms = executor.clock_ms() + 9000
        return executor.start("job-1.0.0.0", 1, deadline_ms, FENCE).outcome

    def test_unanswered_start_is_refused_by_each_later_incarnation(self):
        """It was stopped there, which a late start could precede."""

        async def restart_twice(executor, runs):
            call = StartCall(None, trio.current_time())
            runs.start_calls.send(("job-1.0.0.0", 1), call)
            previous = runs
            for _restart in range(2):
                executor.crash()
                executor.restart(same_id=True)
                following = self.succeed(executor, previous)
                rows = following.running_rows()
                self.assertEqual([row.task for row in rows], ["job-1.0.0.0"])
                self.assertFalse(following.is_complete(trio.current_time()))
                await following.poll(trio.current_time(), 1)
                self.assertEqual(following.running_rows(), [])
                self.assertIs(self.start_late(executor), OrderOutcome.FENCED)
                previous = following

        self.run_with_executor(restart_twice)

    def test_start_that_the_next_incarnation_carried_out_first_is_found_there(self):
        async def restart(executor, runs):
            call = StartCall(None, trio.current_time())
            runs.start_calls.send(("job-1.0.0.0", 1), call)
            executor.crash()
            executor.restart(same_id=True)
            async with trio.open_nursery() as executor.nursery:
                self.assertIs(self.start_late(executor), OrderOutcome.ACCEPTED)
                following = self.succeed(executor, runs)
                await following.poll(trio.current_time(), 1)
                await following.poll(trio.current_time(), 1)
                executor.nursery.cancel_scope.cancel()
            run = following.runs["job-1.0.0.0", 1]
            self.assertTrue(run.listed)

        self.run_with_executor(restart)

    def test_incarnation_that_has_not_announced_itself_refuses_earlier_starts(self):
        """Announcements may be lost or late; until one came, the next incarnation
        carried out starts that were meant for the earlier one.
        """

        async def restart_unannounced(executor, runs):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(runs.poll_loop)
                await trio.sleep(0.1)
                executor.crash()
                executor.restart(same_id=True)
                await trio.sleep(1)
                self.assertTrue(runs.exited)
                self.assertIs(self.start_late(executor), OrderOutcome.FENCED)
                self.assertTrue(runs.restarted_under_id)
                executor.crash()
                await trio.sleep(1)
                executor.restart()
                await trio.sleep(1)
                self.assertFalse(runs.restarted_under_id)
                nursery.cancel_scope.cancel()

        self.run_with_executor(restart_unannounced)

    def test_unanswered_start_is_reported_after_the_leases_have_lapsed(self):
        """The lapse says nothing of an executor whose clock has begun anew."""

        async def lose_contact(_executor, runs):
            now = trio.current_time()
            runs.admit(start_order(start_before=now + 2))
            key = ("job-1.0.0.0", 1)
            runs.start_calls.send(key, StartCall(None, now))
            await trio.sleep(LATE_CALL_S + 10)
            rows = runs.late_rows(trio.current_time())
            self.assertEqual([(row.task, row.attempt) for row in rows], [key])
            runs.record_exit()
            self.assertEqual(runs.late_rows(trio.current_time()), [])
            runs.restarted_under_id = True
            self.assertEqual(len(runs.late_rows(trio.current_time())), 1)
            await trio.sleep(2)
            self.assertEqual(runs.late_rows(trio.current_time()), [])

        self.run_with_executor(lose_contact)

    def test_run_that_a_late_call_may_start_again_has_not_surely_ended(self):
        """The repeat of the call was answered and the run listed, but the first call
        had no answer; the owner took the run for lost with the crash.
        """

        async def crash_after_a_repeated_start(_executor, runs):
            now = trio.current_time()
            run = runs.admit(start_order(start_before=now + 2))
            run.maybe_sent = run.listed = runs.restarted_under_id = True
            key = ("job-1.0.0.0", 1)
            runs.start_calls.send(key, StartCall(run.properties, now))
            repeat = StartCall(run.properties, now)
            runs.start_calls.send(key, repeat)
            runs.start_calls.settle(key, repeat)
            self.assertEqual([row.ended for row in runs.crashed_runs()], [False])
            await trio.sleep(LATE_CALL_S + 1)
            self.assertEqual([row.ended for row in runs.crashed_runs()], [True])

        self.run_with_executor(crash_after_a_repeated_start)

    def announce_next(self, agent, executor):
        """Restart the executor under its id, and have its agent control it."""
        executor.crash()
        executor.restart(same_id=True)
        agent.handle_announcement(executor.view())
        return agent.executor

    def run_with_agent(self, scenario):
        """Run a scenario with an executor and an agent that has an owner."""

        async def main():
            executor = StandinBatchExecutor("executor-0", "domain-a", [], lambda _: 9.0)
            agent = BatchAgent(trio.current_time, executor.port)
            agent.nursery = RecordingNursery()
            agent.owner = OwnerSession(1, 1)
            agent.owner.session = RecordingSession()
            agent.handle_announcement(executor.view())
            await agent.executor.poll(trio.current_time(), 1)
            await scenario(agent, executor)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def check_refused_after_exit(self, agent, executor, between):
        """Check that the next incarnation after an exit refuses an earlier start."""
        runs = agent.executor
        call = StartCall(None, trio.current_time())
        runs.start_calls.send(("job-1.0.0.0", 1), call)
        fence = call_fence(runs.fence, runs.generation)
        agent.handle_exit(executor.name)
        between()
        following = self.announce_next(agent, executor)
        rows = following.running_rows()
        self.assertEqual([row.task for row in rows], ["job-1.0.0.0"])
        await following.poll(trio.current_time(), 1)
        self.assertEqual(following.listed_fence, 1)
        deadline_ms = executor.clock_ms() + 9000
        answer = executor.start("job-1.0.0.0", 1, deadline_ms, fence)
        self.assertIs(answer.outcome, OrderOutcome.FENCED)

    def test_start_before_an_announced_exit_is_refused_afterwards(self):
        async def exit_and_restart(agent, executor):
            await self.check_refused_after_exit(agent, executor, lambda: None)

        self.run_with_agent(exit_and_restart)

    def test_start_is_refused_after_another_executor_was_there(self):
        for exits in (True, False):

            async def restart_with_another_between(agent, executor, exits=exits):
                def replace():
                    other = StandinBatchExecutor("other-0", "domain-a", [], None)
                    agent.handle_announcement(other.view())
                    if exits:
                        agent.handle_exit("other-0")

                await self.check_refused_after_exit(agent, executor, replace)

            with self.subTest(exits=exits):
                self.run_with_agent(restart_with_another_between)

    def test_late_start_does_not_shut_out_the_agent_after_an_exit(self):
        """The start had a higher fence than the polls of the rest of the stream."""

        async def exit_after_a_restart(agent, executor):
            runs = self.announce_next(agent, executor)
            await runs.poll(trio.current_time(), 1)
            fence = call_fence(runs.fence, runs.generation)
            agent.handle_exit(executor.name)
            executor.crash()
            executor.restart(same_id=True)
            deadline_ms = executor.clock_ms() + 9000
            async with trio.open_nursery() as executor.nursery:
                executor.start("job-1.0.0.0", 1, deadline_ms, fence)
                agent.handle_announcement(executor.view())
                await agent.executor.poll(trio.current_time(), 1)
                executor.nursery.cancel_scope.cancel()
            self.assertEqual(agent.executor.listed_fence, 1)

        self.run_with_agent(exit_after_a_restart)

    def test_generation_never_falls_on_one_stream(self):
        async def use_up_generations(agent, executor):
            with mock.patch.object(agent.owner.session, "close") as close:
                agent.owner.generation = GENERATIONS_PER_STREAM - 4
                for fence in (1, 0, 0):
                    agent.handle_exit(executor.name)
                    runs = self.announce_next(agent, executor)
                    self.assertEqual(runs.fence, fence)
                    self.assertEqual(close.called, fence == 0)
                self.assertGreater(agent.owner.generation, GENERATIONS_PER_STREAM)

        self.run_with_agent(use_up_generations)

    def test_next_stream_is_requested_when_its_generations_are_used_up(self):
        async def restart_often(executor, runs):
            runs.generation = GENERATIONS_PER_STREAM - 4
            following = self.succeed(executor, runs)
            self.assertEqual(following.generation, GENERATIONS_PER_STREAM - 2)
            runs.generation = GENERATIONS_PER_STREAM - 3
            self.assertTrue(following.has_generation())
            following.succeed(runs, trio.current_time())
            self.assertFalse(following.has_generation())

        self.run_with_executor(restart_often)

    def test_lease_on_the_clock_of_the_earlier_incarnation(self):
        """The clock starts anew, so the deadline was far beyond the owner's lease."""

        async def poll_across_restart():
            executor = StandinBatchExecutor("executor-0", "domain-a", [], lambda _: 9.0)
            await trio.sleep(30)
            view = executor.view()
            runs = ExecutorRuns(
                view,
                executor.port(view),
                trio.current_time,
                0.0,
                lambda: None,
                lambda *_refusal: None,
            )
            runs.set_fence(1)
            runs.extend_lease(trio.current_time() + 2)
            await runs.poll(trio.current_time(), 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(runs.poll, trio.current_time(), 1)
                await trio.sleep(0.1)
                executor.crash()
            executor.restart(same_id=True)
            await runs.poll(trio.current_time(), 1)
            return executor.deadline_ms - executor.clock_ms()

        clock = trio.testing.MockClock(autojump_threshold=0)
        remaining_ms = trio.run(poll_across_restart, clock=clock)
        self.assertLessEqual(remaining_ms, 2000)


INCARNATION = "executor-0@1"


class CrashReportTests(unittest.TestCase):
    """An owner that died with what it knew of a crash let the count start again."""

    def setUp(self):
        self.executor = StandinBatchExecutor(
            "executor-0", "domain-a", [], lambda _task: 1.0
        )
        self.now = 10.0
        self.agent = BatchAgent(lambda: self.now, self.executor.port)
        self.agent.nursery = RecordingNursery()
        self.owner = self.agent.owner = OwnerSession(1, 1)
        self.owner.session = RecordingSession()
        self.agent.handle_announcement(self.executor.view())
        self.agent.executor.listed_fence = 1
        self.agent.handle_message(self.owner, start_order())
        self.run = self.agent.executor.runs["job-1.0.0.0", 1]

    def replace_executor(self):
        self.executor.restart()
        self.agent.handle_announcement(self.executor.view())

    async def receive_as_next_owner(self, epoch):
        """Return what the agent sends a new owner of crashes, with two reports."""
        near_side, far_side = memory_stream_pair()
        hello = messages.OwnerHello(epoch, epoch, f"entry-{epoch}")
        await near_side.send(messages.encode(hello))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.agent.accept, far_side)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.agent.owner.epoch, epoch)
            for _ in range(2):
                self.agent.send_crashes(self.now)
            await trio.testing.wait_all_tasks_blocked()
            received = []
            with contextlib.suppress(trio.WouldBlock):
                while True:
                    data = near_side.incoming.receive_nowait()
                    received.append(messages.decode(data))
            nursery.cancel_scope.cancel()
        return received

    def crashes(self):
        """Return the crashes that the agent sends with its next report."""
        self.owner.session.sent.clear()
        self.agent.send_crashes(self.now)
        return self.owner.session.sent

    def test_crash_lists_runs_with_the_time_that_they_survived(self):
        """A break that was noticed late made a crashing task seem to have survived."""
        self.run.maybe_sent = True
        self.run.confirm(10.0)
        self.agent.executor.answered_at = 10.2
        self.agent.executor.record_failure(10.4, broken=True)
        self.now = 13.0
        self.replace_executor()
        row = messages.CrashedRun("job-1.0.0.0", 1, 0.2, noticed_s=0.4)
        crash = messages.ExecutorCrashed("executor-0@1", 13.0, 2.6, True, [row])
        self.assertEqual(self.crashes(), [crash])

    def test_crash_that_is_found_by_a_timeout_proves_no_longer_survival(self):
        self.run.maybe_sent = True
        self.run.confirm(10.0)
        self.agent.executor.answered_at = 10.2
        self.agent.executor.record_failure(11.4, broken=False)
        self.now = 13.0
        self.replace_executor()
        row = messages.CrashedRun("job-1.0.0.0", 1, 0.2)
        crash = messages.ExecutorCrashed("executor-0@1", 13.0, 1.6, False, [row])
        self.assertEqual(self.crashes(), [crash])

    def test_crash_at_time_zero_is_sent_with_its_time(self):
        """The time of the last answer was sent in its place."""
        self.run.maybe_sent = True
        self.agent.executor.failed_at = 0.0
        self.agent.executor.broken = True
        self.replace_executor()
        (crash,) = self.crashes()
        self.assertEqual((crash.failed_s, crash.broken), (10.0, True))

    def test_crash_tells_whether_a_start_was_answered(self):
        self.run.maybe_sent = True
        self.agent.executor.record_failure(10.4, broken=True)
        rows = self.agent.executor.crashed_runs()
        self.assertEqual([row.begun for row in rows], [False])
        self.run.confirm(10.2)
        rows = self.agent.executor.crashed_runs()
        self.assertEqual([row.begun for row in rows], [True])

    def test_oldest_crash_is_dropped_with_a_log_line(self):
        """Its tasks were suspected by no owner, and no line said so."""
        written = []

        def capture(event, **fields):
            written.append((event.number, fields.get("incarnation")))

        with mock.patch.object(events, "write", capture):
            for _ in range(MAX_UNSTORED_CRASHES + 1):
                self.replace_executor()
        self.assertEqual(
            [row for row in written if row[0] == 621], [(621, "executor-0@1")]
        )
        self.assertEqual(len(self.crashes()), MAX_UNSTORED_CRASHES)

    def test_crash_is_sent_to_each_owner_until_it_is_stored(self):
        self.run.maybe_sent = True
        self.replace_executor()
        self.assertEqual(len(self.crashes()), 1)
        self.assertEqual(self.crashes(), [])

        async def meet_next_owners():
            for epoch in (2, 3):
                received = await self.receive_as_next_owner(epoch)
                self.assertEqual(
                    [crash.incarnation for crash in received], [INCARNATION]
                )

        trio.run(meet_next_owners)
        self.agent.handle_message(self.agent.owner, messages.CrashStored(INCARNATION))
        self.assertEqual(self.agent.crashes, {})
        self.assertEqual(trio.run(self.receive_as_next_owner, 4), [])

    def test_crash_is_reported_once_until_the_next_executor_announces_itself(self):
        self.run.maybe_sent = True
        self.agent.executor.exited = True
        self.assertEqual(len(self.crashes()), 1)
        self.agent.handle_message(self.owner, messages.CrashStored("executor-0@1"))
        self.assertEqual(self.crashes(), [])
        self.replace_executor()
        self.assertEqual(self.crashes(), [])

    def test_run_whose_start_was_never_called_is_not_part_of_a_crash(self):
        self.replace_executor()
        self.assertEqual([crash.runs for crash in self.crashes()], [[]])

    def test_crash_without_runs_is_sent(self):
        """A crash at the same time on another host then seemed to be isolated."""
        del self.agent.executor.runs["job-1.0.0.0", 1]
        self.agent.executor.failed_at = 9.5
        self.agent.executor.broken = True
        self.replace_executor()
        crash = messages.ExecutorCrashed("executor-0@1", 10.0, 0.5, True, [])
        self.assertEqual(self.crashes(), [crash])
        self.agent.handle_message(self.owner, messages.CrashStored("executor-0@1"))
        self.assertEqual(self.agent.crashes, {})

    def test_executor_that_drained_did_not_crash(self):
        self.run.maybe_sent = True
        self.executor.draining = True
        self.agent.handle_announcement(self.executor.view())
        self.replace_executor()
        self.assertEqual(self.crashes(), [])
