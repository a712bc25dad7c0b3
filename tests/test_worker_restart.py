from __future__ import annotations

import json
import signal
import unittest
from unittest import mock

import msgspec
import trio

from rattanwing.agent.colocation import MIN_SHARE
from rattanwing.agent.tasks import TaskManager
from rattanwing.agent.worker import TaskOrder, WorkerError
from rattanwing.messages import StartTask
from rattanwing.standin.worker import MemoryWorker
from tests.history import find_violations
from tests.processes import Deployment, call, wait_for
from tests.world import run_world


async def start_agents(world, agents=1, **options):
    """Start an entry and agents, each in a failure domain of its own."""
    world.start_entry("entry-1", "fd-1")
    for number in range(1, agents + 1):
        world.start_agent(f"agent-{number}", f"fd-{number}", **options)
    await world.wait_ready(agents)
    await world.declare_organisation()


async def wait_for_run(world, job):
    """Wait until a task of the job runs and return the name of its worker."""
    with trio.fail_after(30):
        while True:
            for run in world.history.runs:
                if run.job == job and run.end is None:
                    return run.worker
            await trio.sleep(0.01)


def runs_of(history, job):
    return [run for run in history.runs if run.job == job]


class WorkerRestartTests(unittest.TestCase):
    def check(self, history):
        self.assertEqual(find_violations(history), [])

    def test_jobs_go_on_after_a_worker_restarts_without_its_agent(self):
        """The agent took the worker's tasks for running for ever."""
        unfinished = []

        async def scenario(world):
            world.start_entry("entry-1", "fd-1")
            world.start_agent("agent-1", "fd-1", executor=False)
            world.start_agent("agent-2", "fd-2", executor=False)
            await world.wait_ready(2)
            await world.declare_organisation()
            await world.submit("entry-1", "job-1", run_s=3.0)
            await trio.sleep(2)
            for worker in world.workers.values():
                worker.tasks.clear()
                worker.started_keys.clear()
                worker.session = ""
            await trio.sleep(1)
            await world.submit("entry-1", "job-2", run_s=1.0)
            await trio.sleep(60)
            for name in ("job-1", "job-2"):
                with trio.move_on_after(30) as scope:
                    await world.wait_for_state("entry-1", name, "finished")
                if scope.cancelled_caught:
                    unfinished.append(name)

        run_world(scenario)
        self.assertEqual(unfinished, [])

    def test_running_job_is_placed_again_after_a_restart_of_its_worker(self):
        async def scenario(world):
            await start_agents(world, executor=False)
            await world.submit("entry-1", "job-1", run_s=5.0)
            worker = await wait_for_run(world, "job-1")
            await trio.sleep(2)
            world.workers[worker].restart()
            await world.wait_for_state("entry-1", "job-1", "finished", 30)

        history = run_world(scenario)
        self.check(history)
        states = [(run.attempt, run.state) for run in runs_of(history, "job-1")]
        self.assertEqual(states, [(1, "killed"), (2, "finished")])

    def test_job_that_must_not_repeat_is_held_and_its_resources_are_freed(self):
        async def scenario(world):
            await start_agents(world, executor=False)
            await world.submit(
                "entry-1", "job-1", run_s=60.0, cpu=8.0, repeatable=False
            )
            worker = await wait_for_run(world, "job-1")
            await trio.sleep(2)
            world.workers[worker].restart()
            await world.wait_for_state("entry-1", "job-1", "held", 30)
            await world.submit("entry-1", "job-2", run_s=1.0, cpu=8.0)
            await world.wait_for_state("entry-1", "job-2", "finished", 30)

        history = run_world(scenario)
        self.check(history)
        self.assertEqual(len(runs_of(history, "job-1")), 1)

    def test_job_goes_on_from_its_last_checkpoint_after_a_restart(self):
        async def scenario(world):
            await start_agents(world, 2, executor=False)
            await world.submit("entry-1", "job-1", run_s=20.0)
            worker = await wait_for_run(world, "job-1")
            await trio.sleep(5)
            await world.set_domain("entry-1", world.domains[worker], "out")
            await trio.sleep(3)
            second = await wait_for_run(world, "job-1")
            await trio.sleep(5)
            world.workers[second].restart()
            await world.wait_for_state("entry-1", "job-1", "finished", 60)

        history = run_world(scenario)
        self.check(history)
        first, second, third = runs_of(history, "job-1")
        self.assertEqual([first.attempt, second.attempt, third.attempt], [1, 2, 3])
        self.assertEqual(first.state, "stopped")
        self.assertEqual(second.from_checkpoint, str(first.progress_s))
        self.assertEqual(third.from_checkpoint, second.from_checkpoint)

    def test_idle_worker_gets_jobs_after_a_restart(self):
        async def scenario(world):
            await start_agents(world, executor=False)
            world.workers["agent-1"].restart()
            await trio.sleep(5)
            await world.submit("entry-1", "job-1", run_s=1.0)
            await world.wait_for_state("entry-1", "job-1", "finished", 30)

        self.check(run_world(scenario))

    def test_lost_answer_of_a_start_before_a_restart_is_not_taken_for_a_refusal(self):
        """The worker started the task; only the next incarnation does not know it."""

        async def scenario(world):
            await start_agents(world, 2, executor=False)
            for worker in world.workers.values():
                worker.faults.lose_answers = 1
            await world.submit("entry-1", "job-1", run_s=10.0, repeatable=False)
            worker = await wait_for_run(world, "job-1")
            world.workers[worker].restart()
            await world.wait_for_state("entry-1", "job-1", "held", 30)

        history = run_world(scenario)
        self.check(history)
        self.assertEqual(len(runs_of(history, "job-1")), 1)

    def test_late_start_is_not_carried_out_by_the_next_incarnation(self):
        opened = []

        async def scenario(world):
            await start_agents(world, executor=False)
            worker, manager = (
                world.workers["agent-1"],
                world.app("agent-1").get("tasks"),
            )
            await world.submit("entry-1", "other", run_s=60.0)
            await wait_for_run(world, "other")
            earlier = worker.session
            worker.faults.delay_s = 2.0
            await world.submit("entry-1", "job-1", run_s=5.0)
            with trio.fail_after(10):
                while "job-1" not in manager.tasks:
                    await trio.sleep(0.01)
            worker.faults.delay_s = 0.0
            worker.restart()
            await trio.sleep(1.8)
            opened.append(worker.session not in ("", earlier))
            self.assertIn("job-1", manager.tasks)
            await world.wait_for_state("entry-1", "job-1", "finished", 30)

        history = run_world(scenario)
        self.check(history)
        self.assertEqual(opened, [True])
        self.assertEqual([run.attempt for run in runs_of(history, "job-1")], [2])

    def test_worker_keeps_its_session_after_a_late_call_of_an_earlier_agent(self):
        async def scenario(world):
            await start_agents(world, executor=False)
            world.workers["agent-1"].session = "of-an-earlier-agent"
            await world.submit("entry-1", "job-1", run_s=1.0)
            await world.wait_for_state("entry-1", "job-1", "finished", 30)

        self.check(run_world(scenario))

    def test_start_without_a_session_is_refused(self):
        """A restarted worker has no session, and neither had the order."""

        async def scenario(world):
            await start_agents(world, executor=False)
            worker = world.workers["agent-1"]
            worker.restart()
            order = TaskOrder(
                "job-1", 1, 0, "c", 1.0, 1, 0, "", "", None, 1000.0, 1000.0
            )
            with self.assertRaisesRegex(WorkerError, "stale-session"):
                await worker.start(order)

        run_world(scenario)

    def test_session_that_is_lost_before_a_start_is_sent_voids_the_start(self):
        sent, lost = [], []

        async def scenario(world):
            await start_agents(world, executor=False)
            manager = world.app("agent-1").get("tasks")
            real_handle = manager.handle_start
            real_start = world.workers["agent-1"].start

            async def record(order):
                sent.append(order.session)
                await real_start(order)

            def lose_after(order):
                real_handle(order)
                if not lost:
                    lost.append(order.job)
                    manager.lose_session("")

            with (
                mock.patch.object(MemoryWorker, "start", lambda _self, o: record(o)),
                mock.patch.object(
                    TaskManager, "handle_start", lambda _self, o: lose_after(o)
                ),
            ):
                await world.submit("entry-1", "job-1", run_s=1.0)
                await world.wait_for_state("entry-1", "job-1", "finished", 30)
            self.assertNotIn("", sent)

        run_world(scenario)

    def test_worker_refuses_the_session_of_an_agent_that_was_replaced(self):
        async def scenario(world):
            await start_agents(world, executor=False)
            earlier = world.app("agent-1").get("tasks").started_at
            world.kill("agent-1")
            world.start_agent("agent-1", executor=False)
            await trio.sleep(2)
            worker = world.workers["agent-1"]
            session = worker.session
            with self.assertRaisesRegex(WorkerError, "stale-session"):
                await worker.open_session("of-an-earlier-agent", earlier)
            self.assertEqual(worker.session, session)

        run_world(scenario)


class ThrottlingTests(unittest.TestCase):
    """The worker's share is the one that the colocation policy has set."""

    async def start_throttled(self, world):
        """Throttle a host with a task; return the worker and the controller."""
        await start_agents(world)
        await world.submit("entry-1", "job-1", run_s=300.0)
        await wait_for_run(world, "job-1")
        colocation = world.app("agent-1").get("colocation")
        colocation.state.share = MIN_SHARE
        await colocation.set_share(MIN_SHARE)
        return world.workers["agent-1"], colocation

    def test_tasks_are_throttled_again_after_a_restart_of_the_worker(self):
        async def scenario(world):
            worker, colocation = await self.start_throttled(world)
            worker.restart()
            await world.submit("entry-1", "job-2", run_s=300.0)
            await trio.sleep(1.6)
            self.assertLess(colocation.state.share, 1.0)
            self.assertEqual(worker.share, colocation.state.share)

        run_world(scenario)

    def test_share_follows_the_policy_after_a_restart_of_the_agent(self):
        async def scenario(world):
            worker, _colocation = await self.start_throttled(world)
            world.kill("agent-1")
            await trio.sleep(1)
            world.start_agent("agent-1")
            await trio.sleep(8)
            colocation = world.app("agent-1").get("colocation")
            self.assertEqual(worker.share, colocation.state.share)

        run_world(scenario)

    def test_share_is_set_after_a_call_that_failed(self):
        async def scenario(world):
            await start_agents(world)
            await world.submit("entry-1", "job-1", run_s=300.0)
            await wait_for_run(world, "job-1")
            worker = world.workers["agent-1"]
            colocation = world.app("agent-1").get("colocation")
            colocation.state.share = MIN_SHARE
            worker.faults.down = True
            await colocation.set_share(MIN_SHARE)
            worker.faults.down = False
            await trio.sleep(1.6)
            self.assertLess(colocation.state.share, 1.0)
            self.assertEqual(worker.share, colocation.state.share)

        run_world(scenario)


class LostWorkerTests(unittest.TestCase):
    def test_job_goes_on_elsewhere_when_its_worker_stays_away(self):
        """Entries extend the lease of a task whose worker does not answer."""

        async def scenario(world):
            await start_agents(world, 2, executor=False)
            await world.submit("entry-1", "job-1", run_s=20.0)
            worker = await wait_for_run(world, "job-1")
            await trio.sleep(2)
            world.workers[worker].faults.down = True
            await world.wait_for_state("entry-1", "job-1", "finished", 90)

        self.assertEqual(find_violations(run_world(scenario)), [])

    def test_agent_that_has_not_adopted_its_tasks_does_not_deny_them(self):
        async def scenario(world):
            await start_agents(world, 2, executor=False)
            await world.submit("entry-1", "job-1", run_s=60.0)
            worker = await wait_for_run(world, "job-1")
            await trio.sleep(2)
            world.kill(worker)
            world.workers[worker].faults.down = True
            world.start_agent(worker, world.domains[worker], executor=False)
            await trio.sleep(20)
            world.workers[worker].faults.down = False
            await trio.sleep(30)

        self.assertEqual(find_violations(run_world(scenario)), [])

    def test_job_goes_on_when_an_agent_restarts_and_its_worker_stays_away(self):
        async def scenario(world):
            await start_agents(world, 2, executor=False)
            await world.submit("entry-1", "job-1", run_s=60.0)
            worker = await wait_for_run(world, "job-1")
            await trio.sleep(2)
            world.kill(worker)
            world.workers[worker].faults.down = True
            world.start_agent(worker, world.domains[worker], executor=False)
            await world.wait_for_state("entry-1", "job-1", "finished", 120)

        self.assertEqual(find_violations(run_world(scenario)), [])

    def test_stop_does_not_overtake_a_start_in_flight(self):
        async def scenario(world):
            await start_agents(world, 2, executor=False)
            for worker in world.workers.values():
                worker.faults.delay_s = 1.0
            await world.submit("entry-1", "job-1", run_s=60.0)
            managers = [world.app(name).get("tasks") for name in world.workers]
            with trio.fail_after(10):
                while not any(manager.tasks for manager in managers):
                    await trio.sleep(0.01)
            for worker in world.workers.values():
                worker.faults.delay_s = 0.0
            for manager in managers:
                for task in list(manager.tasks.values()):
                    manager.stop_in_background(task, "evicted")
            await trio.sleep(20)

        self.assertEqual(find_violations(run_world(scenario)), [])


class AgentRestartTests(unittest.TestCase):
    def test_heartbeat_of_the_earlier_incarnation_is_not_used(self):
        """Start orders would carry a time of another clock after a reboot."""

        async def scenario(world):
            await start_agents(world, executor=False)
            directory = world.app("entry-1").get("agents")
            hello = directory.agents["agent-1"].hello
            self.assertTrue(directory.attach(hello).heartbeat.accepts_tasks)
            hello = msgspec.structs.replace(hello, incarnation="next")
            self.assertFalse(directory.attach(hello).heartbeat.accepts_tasks)

        run_world(scenario)

    def test_order_with_a_time_in_the_future_is_refused(self):
        async def scenario(world):
            await start_agents(world, executor=False)
            manager = world.app("agent-1").get("tasks")
            incarnation = world.app("agent-1").get("connector").incarnation
            epoch = manager.epochs[0]
            for echo, job in ((trio.current_time() + 1000.0, "j1"), (0.5, "j2")):
                order = StartTask(
                    0, epoch, incarnation, echo, job, 1, "c", "t", 1.0, 1, 0, "", None
                )
                manager.handle_start(order)
            self.assertEqual(list(manager.tasks), ["j2"])

        run_world(scenario)


class WorkerProcessTests(unittest.TestCase):
    def test_job_is_run_again_after_the_worker_process_was_killed(self):
        deployment = Deployment(entries=1, agents=1)
        self.addCleanup(deployment.close)
        deployment.start_all()
        worker = deployment.agents["agent-1"][1]
        job = {"id": "job-1", "team": "lamps", "cpu": 1, "memory_mb": 10}
        work = '{"run_s": 3}'
        deployment.call("entry-1", "POST", "/api/jobs", {**job, "work": work})
        wait_for(lambda: running_tasks(worker), "the task runs")
        deployment.signal("worker-1", signal.SIGKILL)
        deployment.wait("worker-1")
        deployment.start("worker-1")
        row = deployment.wait_for_job("entry-1", "job-1", "finished")
        self.assertGreater(row["attempt"], 1)


def running_tasks(worker):
    """Return the keys of the tasks that run at a worker."""
    tasks = json.loads(call(worker, "GET", "/tasks")[2])["tasks"]
    return [t["job"] for t in tasks if t["state"] == "running"]
