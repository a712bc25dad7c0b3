from __future__ import annotations

import unittest
from collections import Counter
from math import ceil, log2
from types import SimpleNamespace
from unittest import mock

import trio
import trio.testing  # noqa: F401

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.messages import Answer
from rattanwing.batch.model import JobState, StepSpec
from rattanwing.batch.relay import (
    MAX_PEERS,
    MAX_RESOLVE_PAUSE_S,
    NEXT_PEER_AFTER_S,
    RELAY_AFTER_S,
    RESOLVE_PAUSE_S,
)
from rattanwing.errors import RejectedError
from tests.batch.world import QUEUE, job, play

TASK = StepSpec(4, cpu=500, memory_mb=100)


class JobTests(unittest.TestCase):
    def test_job_of_two_steps_runs_in_order(self):
        async def scenario(world):
            await trio.sleep(2)
            steps = (TASK, StepSpec(2, cpu=500, after=(0,)))
            self.assertIs(await world.submit(job(steps=steps)), Answer.ACCEPTED)
            done = await world.wait_for_state("job-1", JobState.COMPLETED)
            self.assertTrue(done)

        world = play(scenario)
        first_ends = max(r.ended_at for r in world.history if ".0.0." in r.task)
        second_begins = min(r.started_at for r in world.history if ".0.1." in r.task)
        self.assertEqual(len(world.history), 6)
        self.assertLessEqual(first_ends, second_begins)

    def test_job_submitted_to_every_entry_runs_once(self):
        async def scenario(world):
            await trio.sleep(2)
            async with trio.open_nursery() as nursery:
                for entry in world.entries.values():
                    nursery.start_soon(world.submit, job(), entry)
            self.assertTrue(await world.wait_for_state("job-1", JobState.COMPLETED))
            await trio.sleep(5)

        world = play(scenario)
        self.assertEqual(len(world.history), 2)

    def test_finished_job_is_not_started_again(self):
        """An entry may read older records of a job after its completion is stored."""

        async def scenario(world):
            await trio.sleep(2)
            world.durations = lambda _task: 0.01
            for number in range(30):
                await world.submit(job(f"job-{number}"))
            for number in range(30):
                done = await world.wait_for_state(f"job-{number}", JobState.COMPLETED)
                self.assertTrue(done)
            await trio.sleep(2)

        world = play(scenario)
        self.assertEqual(world.reruns(), [])
        self.assertEqual(len(world.history), 60)

    def test_cancelled_job_stops_on_all_hosts(self):
        async def scenario(world):
            await trio.sleep(2)
            world.durations = lambda _task: 60.0
            await world.submit(job())
            await trio.sleep(1)
            entry = list(world.entries.values())[-1]
            answer = await entry.local_service.cancel("job-1", QUEUE, 2.0)
            self.assertIs(answer, Answer.ACCEPTED)
            await trio.sleep(1)
            running = [r for r in world.history if r.ended_at is None]
            self.assertEqual(running, [])
            self.assertTrue(await world.wait_for_state("job-1", JobState.CANCELLED))

        play(scenario)

    def test_long_running_tasks_are_restarted_when_they_end(self):
        async def scenario(world):
            await trio.sleep(2)
            long_running = StepSpec(2, cpu=100, long_running=True)
            await world.submit(job(steps=(long_running,)))
            await trio.sleep(6)

        world = play(scenario)
        self.assertGreaterEqual(len(world.history), 8)
        self.assertEqual(world.overlaps(), [])

    def test_job_fails_after_its_last_attempt(self):
        async def scenario(world):
            await trio.sleep(2)
            for executor in world.executors:
                executor.failing = True
            await world.submit(job(steps=(StepSpec(1, cpu=100),)))
            self.assertTrue(await world.wait_for_state("job-1", JobState.FAILED))
            await trio.sleep(3)

        world = play(scenario)
        self.assertEqual(len(world.history), 3)

    def test_host_that_joins_long_after_the_claim_is_used(self):
        """Executors may be replaced minutes after the owner's claim."""

        async def scenario(world):
            world.kill("agent-3")
            world.executors[3].crash()
            await trio.sleep(20)
            world.dial_delay_s = 0.4
            world.executors[3].restart()
            await world.start_agent(3)
            await trio.sleep(3)
            wide = StepSpec(16, cpu=900, memory_mb=100)
            await world.submit(job(steps=(wide,)))
            self.assertTrue(await world.wait_for_state("job-1", JobState.COMPLETED))

        world = play(scenario)
        used = {run.executor for run in world.history}
        self.assertEqual(used, {e.name for e in world.executors})

    def test_the_next_owner_inherits_interference_estimates(self):
        rows = [("watch", "heavy", 0.15, 900.0)]

        async def scenario(world):
            await trio.sleep(2)
            world.owner().owner_loop.scheduler.interference.restore(rows)
            await trio.sleep(6)
            for name in list(world.scopes):
                world.kill(name)
            for name in world.entry_names:
                await world.start_entry(name)
            await trio.sleep(6)
            model = world.owner().owner_loop.scheduler.interference
            self.assertGreater(model.headroom_loss("watch", "heavy", 4000), 0.4)

        play(scenario)

    def test_hosts_are_never_overcommitted(self):
        async def scenario(world):
            await trio.sleep(2)
            for number in range(12):
                big = StepSpec(3, cpu=1500, memory_mb=2000)
                await world.submit(job(f"job-{number}", steps=(big,)))
            for number in range(12):
                self.assertTrue(
                    await world.wait_for_state(f"job-{number}", JobState.COMPLETED)
                )

        world = play(scenario)
        for run in world.history:
            concurrent = [
                other
                for other in world.history
                if other.executor == run.executor
                and other.started_at <= run.started_at < other.ended_at
            ]
            self.assertLessEqual(len(concurrent) * 1500, 4000)


class FaultTests(unittest.TestCase):
    def check_no_duplicate_runs(self, world):
        self.assertEqual(world.overlaps(), [])
        self.assertEqual(world.reruns(), [])

    def run_jobs_through(self, fault, **options):
        """Submit jobs, inject a fault, and check that each is completed, once."""

        async def scenario(world):
            await trio.sleep(2)
            world.durations = lambda _task: 2.0
            for number in range(4):
                await world.submit(job(f"job-{number}", steps=(TASK,)))
            await trio.sleep(0.5)
            await fault(world)
            for number in range(4):
                done = await world.wait_for_state(f"job-{number}", JobState.COMPLETED)
                self.assertTrue(done, f"job-{number}")
            await trio.sleep(3)

        world = play(scenario, **options)
        self.check_no_duplicate_runs(world)
        return world

    def test_owner_dies(self):
        async def fault(world):
            name = world.owner().settings.name
            world.kill(name)
            await trio.sleep(1)
            await world.start_entry(name)

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 16)

    def test_all_processes_die(self):
        async def fault(world):
            names = list(world.scopes)
            for name in names:
                world.kill(name)
            await trio.sleep(1)
            for index in range(len(world.executors)):
                await world.start_agent(index)
            for name in world.entry_names:
                await world.start_entry(name)

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 16)

    def test_runs_continue_when_their_agent_dies(self):
        async def fault(world):
            world.kill("agent-0")
            await trio.sleep(2)
            await world.start_agent(0)

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 16)

    def test_agent_dies_for_good(self):
        async def fault(world):
            world.kill("agent-0")
            world.executors[0].crash()

        self.run_jobs_through(fault)

    def test_owner_and_a_host_die_together(self):
        async def fault(world):
            world.kill(world.owner().settings.name)
            world.kill("agent-0")

        self.run_jobs_through(fault)

    def test_executor_dies_and_its_agent_continues(self):
        """The owner still reaches the agent, but no poll extends the lease."""

        async def fault(world):
            executor = world.executors[0]
            executor.reachable = False
            executor.crash()
            began = trio.current_time()
            for number in range(4):
                done = await world.wait_for_state(f"job-{number}", JobState.COMPLETED)
                self.assertTrue(done)
            self.assertLess(trio.current_time() - began, 16)

        self.run_jobs_through(fault)

    def test_executor_restarts_under_its_old_name(self):
        async def fault(world):
            world.executors[0].crash()
            await trio.sleep(0.3)
            world.executors[0].restart()

        self.run_jobs_through(fault)

    def test_owner_loses_the_store(self):
        async def fault(world):
            name = world.owner().settings.name
            world.store.disconnected_clients.add(name)
            await trio.sleep(9)
            world.store.disconnected_clients.discard(name)

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 16)

    def test_store_is_unreachable_for_all(self):
        async def fault(world):
            world.store.disconnected_clients.update(world.scopes)
            await trio.sleep(6)
            world.store.disconnected_clients.clear()

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 16)

    def test_no_orders_while_the_owner_cannot_grant_a_lease(self):
        """Six tasks were ordered 1800 times in 3 s and refused as late each time."""
        placed = Counter()

        def count(event, **fields):
            placed[fields.get("task")] += event is events.RUN_PLACED

        async def scenario(world):
            world.durations = lambda _task: 60.0
            await trio.sleep(3)
            await world.submit(job(steps=(StepSpec(6, cpu=500, memory_mb=100),)))
            await trio.sleep(1)
            world.store.disconnected_clients.update(world.scopes)
            await trio.sleep(9.5)
            placed.clear()
            await trio.sleep(3)
            self.assertEqual(sum(placed.values()), 0)
            world.store.disconnected_clients.clear()
            await trio.sleep(6)

        with mock.patch.object(events, "write", count):
            world = play(scenario, entries=1, hosts=2, seed=1)
        self.assertEqual(world.overlaps(), [])
        self.assertEqual(sum(run.ended_at is None for run in world.history), 6)

    def test_store_loses_answers(self):
        async def fault(world):
            world.store.lose_answers = 6
            await trio.sleep(1)

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 16)

    def test_store_applies_appends_late(self):
        async def fault(world):
            world.store.late_append_delay_s = 2.0
            world.store.lose_answers = 6
            await trio.sleep(1)

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 16)

    def test_store_expires_its_history(self):
        async def fault(world):
            for topic in world.store.topics.values():
                topic.expire_records()

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 16)

    def test_host_is_disconnected_for_less_than_its_lease(self):
        async def fault(world):
            world.disconnected.add("agent-0")
            await trio.sleep(5)
            world.disconnected.clear()

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 16)

    def test_host_is_disconnected_for_longer_than_its_lease(self):
        async def fault(world):
            world.durations = lambda _task: 30.0
            await world.submit(job("job-0", steps=(TASK,)))
            world.disconnected.add("agent-0")
            await trio.sleep(20)
            world.disconnected.clear()

        self.run_jobs_through(fault)

    def test_executors_apply_orders_late(self):
        async def fault(world):
            for executor in world.executors:
                executor.late_starts.count = 3
            for number in range(4, 8):
                await world.submit(job(f"job-{number}", steps=(TASK,)))
            for number in range(4, 8):
                done = await world.wait_for_state(f"job-{number}", JobState.COMPLETED)
                self.assertTrue(done, f"job-{number}")

        self.run_jobs_through(fault)

    def test_agent_dies_while_its_order_is_applied_late(self):
        async def fault(world):
            for executor in world.executors:
                executor.late_starts.count = 2
                executor.late_starts.delay_s = 4.0
            await world.submit(job("job-4", steps=(TASK,)))
            await trio.sleep(0.3)
            for index in range(4):
                world.kill(f"agent-{index}")
                await world.start_agent(index)

        self.run_jobs_through(fault)

    def test_executor_drains_and_leaves(self):
        async def fault(world):
            executor = world.executors[0]
            executor.draining = True
            await trio.sleep(1.5)
            begun = len(world.history)
            await world.submit(job("job-4", steps=(TASK,)))
            await trio.sleep(2)
            new = [run.executor for run in world.history[begun:]]
            self.assertNotIn("executor-0", new)

        self.run_jobs_through(fault)

    def test_failure_domain_is_closed(self):
        async def fault(world):
            for entry in world.entries.values():
                entry.configuration.close_domain("domain-a")
                entry.handle_configuration_change()
            begun = len(world.history)
            await world.submit(job("job-4", steps=(TASK,)))
            self.assertTrue(await world.wait_for_state("job-4", JobState.COMPLETED))
            new = {run.executor for run in world.history[begun:]}
            self.assertFalse(new & {"executor-0", "executor-3"})

        self.run_jobs_through(fault)

    def test_owner_dies_after_a_host_has_left(self):
        """A new owner does not wait for a host whose executor announced its exit."""

        async def scenario(world):
            await trio.sleep(2)
            agent = world.agents["agent-0"]
            world.executors[0].draining = True
            agent.handle_announcement(world.executors[0].view())
            self.assertTrue(agent.handle_exit("executor-0"))
            world.executors[0].up = False
            await trio.sleep(1)
            world.kill("agent-0")
            await trio.sleep(1)
            world.durations = lambda _task: 0.5
            await world.submit(job("job-1", steps=(TASK, StepSpec(2, after=(0,)))))
            name = world.owner().settings.name
            world.kill(name)
            await world.start_entry(name)
            done = await world.wait_for_state("job-1", JobState.COMPLETED, 5.0)
            self.assertTrue(done)

        play(scenario)

    def test_address_of_an_agent_that_came_back_is_deleted_late(self):
        """The next owner knew nothing of the agent, and started its tasks again."""

        async def scenario(world):
            await trio.sleep(2)
            world.durations = lambda _task: 8.0
            world.kill("agent-0")
            await trio.sleep(7)
            names = {*world.entry_names, *world.agents}
            world.store.disconnected_clients |= names
            await trio.sleep(5)
            world.store.disconnected_clients.clear()
            await world.start_agent(0)
            await trio.sleep(4)
            await world.submit(job(steps=(TASK,)))
            await trio.sleep(1)
            world.kill(world.owner().settings.name)
            done = await world.wait_for_state("job-1", JobState.COMPLETED)
            self.assertTrue(done)

        self.check_no_duplicate_runs(play(scenario))

    def test_owner_that_reaches_no_agent_steps_down(self):
        """The owner reaches the store, so no other entry claims unless it resigns."""

        async def fault(world):
            name = world.owner().settings.name
            world.disconnected.add(name)
            await trio.sleep(6)
            self.assertNotEqual(world.owner().settings.name, name)
            await world.submit(job("job-4", steps=(TASK,)))
            done = await world.wait_for_state("job-4", JobState.COMPLETED, 6.0)
            self.assertTrue(done)
            world.disconnected.clear()

        world = self.run_jobs_through(fault)
        self.assertEqual(len(world.history), 20)

    def test_superseded_owner_learns_of_it_from_the_agents(self):
        """The owner can't read the later claim while the store is unreachable."""

        async def fault(world):
            name = world.owner().settings.name
            world.store.disconnected_clients.add(name)
            await trio.sleep(5)
            self.assertIsNone(world.entries[name].owner_loop)
            world.store.disconnected_clients.discard(name)

        self.run_jobs_through(fault)

    def test_superseded_owner_deletes_no_agent_address(self):
        """Its agents are not lost; they have switched to the new owner."""

        async def fault(world):
            name = world.owner().settings.name
            world.store.disconnected_clients.add(name)
            await trio.sleep(12)
            world.store.disconnected_clients.discard(name)
            await trio.sleep(1)
            known = world.store.topic("directory").newest
            agents = [key for key in known if key.startswith("agent/")]
            self.assertEqual(len(agents), 4)

        self.run_jobs_through(fault)

    def test_every_entry_accepts_jobs_soon_after_an_outage(self):
        """Refused jobs queue no append whose success could end the recorded outage."""

        async def scenario(world):
            await trio.sleep(2)
            world.store.disconnected_clients |= set(world.entry_names)
            for number, entry in enumerate(world.entries.values()):
                answer = await entry.local_service.submit(job(f"refused-{number}"), 2.0)
                self.assertIs(answer, Answer.REFUSED)
            await trio.sleep(3)
            world.store.disconnected_clients.clear()
            await trio.sleep(2)
            for number, entry in enumerate(world.entries.values()):
                self.assertFalse(entry.local_service.is_store_unreachable(world.now()))
                answer = await entry.local_service.submit(job(f"later-{number}"), 2.0)
                self.assertIs(answer, Answer.ACCEPTED)

        play(scenario)

    def test_callers_are_told_to_stay_away_longer_as_an_outage_lasts(self):
        async def scenario(world):
            await trio.sleep(2)
            (service,) = {e.relaying_service for e in world.entries.values()}
            self.assertEqual(service.retry_after_s(), 1)
            world.store.disconnected_clients |= set(world.entry_names)
            await service.submit(job("refused"), 2.0)
            await trio.sleep(3)
            self.assertGreaterEqual(service.retry_after_s(), 3)
            world.store.disconnected_clients.clear()
            await trio.sleep(2)
            self.assertEqual(service.retry_after_s(), 1)

        play(scenario, entries=1)


class SameIdRestartTests(unittest.TestCase):
    """Executors that start again under the id that they had.

    Such an executor accepts the calls that are meant for its earlier incarnation.
    """

    def restart(self, executor):
        """Restart an executor; its agent hears of it at the next full second."""
        executor.crash()
        executor.restart(same_id=True)

    def check(self, scenario):
        world = play(scenario)
        self.assertEqual(world.overlaps(), [])
        self.assertEqual(world.reruns(), [])

    def test_start_for_the_earlier_incarnation_is_carried_out_by_the_next(self):
        """The owner marked the run as lost, and started the next one beside it."""

        async def scenario(world):
            await trio.sleep(2.2)
            world.durations = lambda _task: 3.0
            self.restart(world.executors[0])
            world.executors[0].draining = True
            await world.submit(job(steps=(TASK,)))
            done = await world.wait_for_state("job-1", JobState.COMPLETED)
            self.assertTrue(done)

        self.check(scenario)

    def test_late_start_for_the_earlier_incarnation_reaches_the_next(self):
        """The fence of the agent's stream, unchanged, did not keep it out."""

        async def scenario(world):
            await trio.sleep(2.5)
            world.durations = lambda _task: 6.0
            executor = world.executors[0]
            executor.late_starts.count = 1
            executor.late_starts.delay_s = 2.0
            await world.submit(job(steps=(TASK,)))
            await trio.sleep(0.1)
            self.assertEqual(executor.late_starts.count, 0)
            self.restart(executor)
            executor.draining = True
            done = await world.wait_for_state("job-1", JobState.COMPLETED)
            self.assertTrue(done)

        self.check(scenario)

    def test_ends_of_the_next_incarnation_are_acknowledged_unseen(self):
        """The agent acknowledged them by the numbers of earlier ends."""

        async def scenario(world):
            await trio.sleep(2)
            world.durations = lambda _task: 0.1
            wide = StepSpec(12, cpu=500, memory_mb=100)
            await world.submit(job(steps=(wide,)))
            done = await world.wait_for_state("job-1", JobState.COMPLETED)
            self.assertTrue(done)
            await trio.sleep(3.05 - trio.current_time() % 1.0)
            for executor in world.executors:
                self.restart(executor)
            await world.submit(job("job-2", steps=(TASK,)))
            done = await world.wait_for_state("job-2", JobState.COMPLETED)
            self.assertTrue(done)

        self.check(scenario)


class RelayTests(unittest.TestCase):
    """An entry that can't reach the store relays calls to another entry."""

    def entry_without_store(self, world):
        """Disconnect an entry that is not the owner from the store, and return it."""
        owner = world.owner().settings.name
        name = next(name for name in world.entry_names if name != owner)
        world.store.disconnected_clients.add(name)
        return world.entries[name]

    def test_job_is_accepted_through_another_entry(self):
        async def scenario(world):
            await trio.sleep(2)
            entry = self.entry_without_store(world)
            for number in range(4):
                answer = await world.submit(job(f"job-{number}"), entry)
                self.assertIs(answer, Answer.ACCEPTED)
                await trio.sleep(1)
            state = await entry.relaying_service.find("job-0", QUEUE)
            self.assertIs(state, JobState.COMPLETED)
            answer = await entry.relaying_service.cancel("job-9", QUEUE, 2.0)
            self.assertIs(answer, Answer.NO_SUCH_JOB)

        world = play(scenario)
        self.assertEqual(len(world.history), 8)
        self.assertEqual(world.reruns(), [])

    def test_next_peer_is_asked_when_one_closes_its_stream(self):
        async def scenario(world):
            await trio.sleep(2)
            entry = self.entry_without_store(world)
            name = entry.settings.name
            closing = next(n for n in world.entry_names if n != name)

            async def close_stream(stream):
                await stream.aclose()

            world.entries[closing].relaying_service = SimpleNamespace(
                accept=close_stream
            )
            for number in range(8):
                answer = await world.submit(job(f"job-{number}"), entry)
                self.assertIs(answer, Answer.ACCEPTED)

        play(scenario)

    def test_silent_peer_does_not_delay_a_call(self):
        async def scenario(world):
            await trio.sleep(2)
            entry = self.entry_without_store(world)
            name = entry.settings.name
            silent = next(n for n in world.entry_names if n != name)

            async def keep_silent(_stream):
                await trio.sleep_forever()

            world.entries[silent].relaying_service = SimpleNamespace(accept=keep_silent)
            for number in range(8):
                began = trio.current_time()
                answer = await world.submit(job(f"job-{number}"), entry)
                self.assertIs(answer, Answer.ACCEPTED)
                self.assertLess(trio.current_time() - began, 1.1)

        play(scenario)

    def test_caller_with_no_time_left_gets_an_answer(self):
        async def scenario(world):
            await trio.sleep(2)
            entry = self.entry_without_store(world)
            for number, wait_s in enumerate((0.0, 0.2, 0.59)):
                spec = job(f"job-{number}")
                answer = await entry.relaying_service.submit(spec, wait_s)
                self.assertIn(answer, (Answer.UNKNOWN_OUTCOME, Answer.ACCEPTED))
                answer = await entry.relaying_service.cancel(
                    f"job-{number}", QUEUE, 0.0
                )
                self.assertIsInstance(answer, Answer)

        play(scenario)

    def test_peer_that_dies_with_the_job_leaves_the_outcome_unknown(self):
        """The peer may have stored the job, so the answer must not be a refusal."""

        async def scenario(world):
            await trio.sleep(2)
            entry = self.entry_without_store(world)
            name = entry.settings.name
            await trio.sleep(4)

            def closing_service(peer):
                async def submit_and_close(stream):
                    await peer.local_service.submit(job(), 2.0)
                    await stream.aclose()

                return SimpleNamespace(accept=submit_and_close)

            for other in world.entries.values():
                if other.settings.name != name:
                    other.relaying_service = closing_service(other)
            answer = await world.submit(job(), entry)
            self.assertIs(answer, Answer.UNKNOWN_OUTCOME)

        play(scenario)

    def test_outcome_is_resolved_when_a_peer_has_died_with_the_job(self):
        """It was left unknown at once, though the caller was still waiting."""

        async def scenario(world):
            await trio.sleep(2)
            entry = self.entry_without_store(world)
            name = entry.settings.name
            await trio.sleep(4)

            def closing_once(peer):
                service = peer.relaying_service
                calls = []

                async def close_first_stream(stream):
                    calls.append(stream)
                    if len(calls) > 1:
                        await service.accept(stream)
                        return
                    await stream.receive()
                    await stream.aclose()

                return SimpleNamespace(accept=close_first_stream)

            for other in world.entries.values():
                if other.settings.name != name:
                    other.relaying_service = closing_once(other)
            answer = await world.submit(job(), entry)
            self.assertIs(answer, Answer.ACCEPTED)
            await trio.sleep(3)

        world = play(scenario)
        self.assertEqual(len(world.history), 2)

    def test_job_is_refused_when_no_entry_reaches_the_store(self):
        async def scenario(world):
            await trio.sleep(2)
            world.store.disconnected_clients.update(world.entry_names)
            await trio.sleep(4)
            entry = self.entry_without_store(world)
            began = trio.current_time()
            answer = await world.submit(job(), entry)
            self.assertIn(answer, (Answer.NOT_READY, Answer.REFUSED))
            self.assertLess(trio.current_time() - began, 0.5)
            world.store.disconnected_clients.clear()
            await trio.sleep(5)

        world = play(scenario)
        self.assertEqual(world.history, [])


class SlowStoreTests(unittest.TestCase):
    """The store takes 57 times as long, and processes appends one at a time."""

    def test_entries_do_not_wait_for_the_appends_of_one_another(self):
        """Each stored its own jobs; most got no answer in time."""
        answers = []

        async def scenario(world):
            await trio.sleep(3)
            owner = world.owner().settings.name
            entries = [e for name, e in world.entries.items() if name != owner]

            async def submit(number):
                entry = entries[number % len(entries)]
                answers.append(await world.submit(job(f"job-{number}"), entry))

            world.store.slowdown = 57.0
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(submit, number)
                    await trio.sleep(0.1)
            world.store.slowdown = 1.0
            await trio.sleep(4)

        world = play(scenario, entries=16)
        self.assertEqual(Counter(answers), {Answer.ACCEPTED: 40})
        self.assertEqual(world.reruns(), [])

    def test_invalid_job_is_rejected_here(self):
        """The owner's answer was passed on as a refusal, after which callers return."""

        async def scenario(world):
            await trio.sleep(3)
            owner = world.owner()
            entry = next(e for e in world.entries.values() if e is not owner)
            world.store.slowdown = 57.0
            await trio.sleep(3)
            spec = job(steps=(StepSpec(0, cpu=500),))
            with self.assertRaises(RejectedError):
                await entry.relaying_service.submit(spec, 2.7)

        play(scenario)

    async def submit_all_the_time(self, world, answers):
        """Submit ten jobs a second through the entries in turn; add their answers."""

        async def submit(number, entry):
            answers[number] = await world.submit(job(f"job-{number}"), entry)

        for number in range(1000):
            entries = list(world.entries.values())
            entry = entries[number % len(entries)]
            world.nursery.start_soon(submit, number, entry)
            await trio.sleep(0.1)

    def test_owner_that_resigns_is_replaced(self):
        """Claims are refused as long as records are appended by others."""

        async def scenario(world):
            await trio.sleep(3)
            owner = world.owner()
            world.store.slowdown = 57.0
            world.nursery.start_soon(self.submit_all_the_time, world, {})
            await trio.sleep(1)
            world.nursery.start_soon(owner.resign_for_shutdown, 1.0)
            await trio.sleep(10)
            self.assertIsNot(world.owner(), owner)
            self.assertIsNotNone(world.owner())

        play(scenario)

    def test_jobs_are_accepted_when_the_owner_is_lost(self):
        """Each entry then stored its own jobs."""
        answers = {}

        async def scenario(world):
            await trio.sleep(3)
            world.store.slowdown = 57.0
            world.nursery.start_soon(self.submit_all_the_time, world, answers)
            await trio.sleep(1.5)
            world.kill(world.owner().settings.name)
            await trio.sleep(6)

        play(scenario, entries=10)
        # Calls in the first two seconds find out that the owner is lost.
        later = Counter(answer for number, answer in answers.items() if number >= 35)
        self.assertEqual(set(later), {Answer.ACCEPTED})

    def test_job_is_stored_here_when_the_owner_is_silent(self):
        async def scenario(world):
            await trio.sleep(3)
            owner = world.owner()

            async def keep_silent(_stream):
                await trio.sleep_forever()

            owner.relaying_service = SimpleNamespace(accept=keep_silent)
            world.store.slowdown = 57.0
            await trio.sleep(2)
            for entry in world.entries.values():
                if entry is owner:
                    continue
                spec = job(f"job-{entry.settings.name}")
                answer = await entry.relaying_service.submit(spec, 2.7)
                self.assertIs(answer, Answer.ACCEPTED)

        play(scenario)


class AbandonedSubmissionTests(unittest.TestCase):
    """Submissions whose callers stop waiting before the outcome is known."""

    def test_they_are_not_kept(self):
        async def scenario(world):
            await trio.sleep(3)
            service = world.entries["entry-0"].local_service
            for number in range(50):
                with trio.move_on_after(0.001):
                    await service.submit(job(f"job-{number}"), 2.0)
            await trio.sleep(5)
            self.assertIs(await service.submit(job("last"), 2.0), Answer.ACCEPTED)
            self.assertLessEqual(len(service.pending_submissions), 1)

        play(scenario)

    def test_refusal_that_nobody_waited_for_does_not_answer_a_later_call(self):
        async def scenario(world):
            await trio.sleep(3)
            service = world.entries["entry-0"].local_service
            world.store.disconnected_clients.update(world.entry_names)
            with trio.move_on_after(0.3):
                await service.submit(job(), 2.0)
            await trio.sleep(3)
            world.store.disconnected_clients.clear()
            await trio.sleep(30)
            self.assertIs(await service.submit(job(), 2.0), Answer.ACCEPTED)

        play(scenario)


class RepeatedSubmissionTests(unittest.TestCase):
    """A caller repeats a request that had no answer; the store goes away meanwhile.

    The append of the first request is carried out late.
    """

    async def leave_append_in_flight(self, world):
        """Submit a job without getting an answer, and return the entry."""
        await trio.sleep(3)
        owner = world.owner()
        entry = next(e for e in world.entries.values() if e is not owner)
        world.store.lose_answers = 1
        world.store.late_append_delay_s = 4.0
        with trio.move_on_after(0.02):
            await entry.local_service.submit(job(), 2.0)
        world.store.disconnected_clients.update(world.entry_names)
        await trio.sleep(1.5)
        return entry

    def test_repeat_is_not_refused(self):
        async def scenario(world):
            entry = await self.leave_append_in_flight(world)
            answer = await entry.relaying_service.submit(job(), 1.0)
            self.assertIs(answer, Answer.UNKNOWN_OUTCOME)
            await trio.sleep(2)
            world.store.disconnected_clients.clear()
            done = await world.wait_for_state("job-1", JobState.COMPLETED)
            self.assertTrue(done)

        play(scenario)

    def test_patient_caller_gets_an_answer_soon_after_an_outage(self):
        """Pauses that doubled without a limit outlasted the outage by as much."""

        async def scenario(world):
            entry = await self.leave_append_in_flight(world)
            answered = trio.Event()

            async def submit():
                answer = await entry.relaying_service.submit(job(), 600.0)
                self.assertIs(answer, Answer.ACCEPTED)
                answered.set()

            world.nursery.start_soon(submit)
            await trio.sleep(60)
            self.assertFalse(answered.is_set())
            world.store.disconnected_clients.clear()
            with trio.fail_after(2 * MAX_RESOLVE_PAUSE_S + 1.0):
                await answered.wait()

        play(scenario)

    def test_relays_grow_with_the_logarithm_of_the_wait(self):
        """All entries relayed each call to three others every 0.1 s."""
        relays = []

        async def scenario(world):
            entry = await self.leave_append_in_flight(world)
            dial = entry.relaying_service.dial

            async def count_and_dial(address, handler):
                relays.append(address)
                await dial(address, handler)

            entry.relaying_service.dial = count_and_dial
            await entry.relaying_service.submit(job(), 2.0)

        play(scenario, entries=6)
        rounds = 2 + ceil(log2(2.0 / RESOLVE_PAUSE_S))
        self.assertGreater(len(relays), 0)
        self.assertLessEqual(len(relays), MAX_PEERS * rounds)

    def test_relayed_repeat_is_not_refused(self):
        async def scenario(world):
            entry = await self.leave_append_in_flight(world)
            call = messages.RelayedSubmit(job(), 1.0)
            relayed = await entry.relaying_service.answer(call)
            self.assertIs(relayed.answer, Answer.UNKNOWN_OUTCOME)
            other = messages.RelayedSubmit(job("job-2"), 1.0)
            relayed = await entry.relaying_service.answer(other)
            self.assertIs(relayed.answer, Answer.NOT_READY)

        play(scenario)

    def test_repeat_is_accepted_when_the_store_comes_back(self):
        async def scenario(world):
            entry = await self.leave_append_in_flight(world)
            answers = []

            async def submit():
                answers.append(await entry.relaying_service.submit(job(), 2.7))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await trio.sleep(0.5)
                world.store.disconnected_clients.clear()
            self.assertEqual(answers, [Answer.ACCEPTED])

        play(scenario)


class StoreSpeedTests(unittest.TestCase):
    """What is taken for a slow store."""

    def test_calls_without_an_answer_do_not_show_a_slow_store(self):
        """While it counted as slow only the owner was called, cut off as well."""
        waited = []

        async def scenario(world):
            await trio.sleep(5)
            owner = world.owner().settings.name
            name, other = [n for n in world.entry_names if n != owner][:2]

            async def submit_elsewhere():
                for number in range(1000):
                    await world.submit(job(f"other-{number}"), world.entries[other])
                    await trio.sleep(0.1)

            async def submit(number):
                began = trio.current_time()
                entry = world.entries[name]
                answer = await entry.relaying_service.submit(job(f"job-{number}"), 2.7)
                self.assertIs(answer, Answer.ACCEPTED)
                waited.append(trio.current_time() - began)

            world.nursery.start_soon(submit_elsewhere)
            await trio.sleep(2)
            world.store.silent_to |= {owner, name}
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(submit, number)
                    await trio.sleep(0.25)

        play(scenario, entries=6)
        self.assertLess(max(waited), RELAY_AFTER_S + 2 * NEXT_PEER_AFTER_S)

    def test_wait_for_a_read_does_not_show_a_slow_store(self):
        async def scenario(world):
            await trio.sleep(3)
            owner = world.owner()
            entry = next(e for e in world.entries.values() if e is not owner)
            await entry.relaying_service.find("none", QUEUE)
            answer = await entry.relaying_service.cancel("none", QUEUE, 2.7)
            self.assertIs(answer, Answer.NO_SUCH_JOB)
            self.assertFalse(entry.store_speed.is_slow(trio.current_time()))

        play(scenario)


class RegistrationTests(unittest.TestCase):
    def test_late_deletion_does_not_hide_the_next_process_of_an_entry(self):
        """No other entry relayed to it until its next start."""

        async def scenario(world):
            await trio.sleep(2)
            name = next(n for n in world.entry_names if n != "entry-0")
            world.store.lose_answers = 1000
            world.store.late_append_delay_s = 3.0
            with trio.move_on_after(1.2):
                await world.entries[name].unregister()
            world.store.lose_answers = 0
            world.kill(name)
            await world.start_entry(name)
            await trio.sleep(1)
            other = world.entries["entry-0"].directory.entries
            self.assertIn(name, other)
            await trio.sleep(6)
            self.assertIn(name, other)

        play(scenario)
