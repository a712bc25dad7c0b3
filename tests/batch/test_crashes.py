from __future__ import annotations

import unittest

import trio

from rattanwing.batch.messages import Answer
from rattanwing.batch.model import JobState, StepSpec
from tests.batch.world import job, play

START_LIMIT = 3
"""A task must not be started this often after three executors have crashed under it."""

WIDE = StepSpec(4, cpu=600, memory_mb=100)
DEADLY = "job-deadly.0.0.0"


def starts_of(world, task):
    return [run for run in world.history if run.task == task]


def starts_after_three_crashes(world, task):
    """Return the number of starts of a task after three executors crashed under it."""
    crashed_at = sorted(run.ended_at for run in starts_of(world, task) if run.crashed)
    if len(crashed_at) < START_LIMIT:
        return 0
    third = crashed_at[START_LIMIT - 1]
    return sum(run.started_at > third for run in starts_of(world, task))


def make_deadly(world, *tasks):
    for executor in world.executors:
        executor.is_crashing = lambda task: task in tasks


async def submit(world, spec):
    """Submit a job until an entry has accepted it."""
    while True:
        for entry in list(world.entries.values()):
            with trio.move_on_after(2):
                if await world.submit(spec, entry) is Answer.ACCEPTED:
                    return
        await trio.sleep(0.2)


async def submit_others(world, count, interval_s=0.3):
    """Submit jobs without deadly tasks; return their ids."""
    ids = [f"job-{number}" for number in range(count)]
    for job_id in ids:
        await submit(world, job(job_id, steps=(WIDE,)))
        await trio.sleep(interval_s)
    return ids


class DeadlyTaskTests(unittest.TestCase):
    """A task that crashes each executor which starts it was started for ever."""

    def check_given_up(self, world, others, deadly=(DEADLY,)):
        for task in deadly:
            self.assertGreater(len(starts_of(world, task)), 1)
            self.assertLess(starts_after_three_crashes(world, task), START_LIMIT)
        for job_id in others:
            self.assertIs(self.states[job_id], JobState.COMPLETED, job_id)
        self.assertEqual(world.overlaps(), [])
        self.assertEqual(world.reruns(), [])

    async def finish(self, world, others, deadly_jobs=("job-deadly",)):
        """Wait until the deadly jobs have failed and the others are completed."""
        for job_id in deadly_jobs:
            await world.wait_for_state(job_id, JobState.FAILED, 60)
        for job_id in others:
            await world.wait_for_state(job_id, JobState.COMPLETED, 60)
        await trio.sleep(10)
        views = next(iter(world.entries.values())).replica.jobs
        self.states = {
            job_id: views[job_id].state for job_id in (*others, *deadly_jobs)
        }
        for job_id in deadly_jobs:
            self.assertIs(self.states[job_id], JobState.FAILED, job_id)

    def test_deadly_task_is_given_up_and_its_neighbours_complete(self):
        for keeps_id in (False, True):
            with self.subTest(keeps_id=keeps_id):
                others = []

                async def scenario(world, keeps_id=keeps_id, others=others):
                    make_deadly(world, DEADLY)
                    for executor in world.executors:
                        executor.keeps_id = keeps_id
                    await trio.sleep(1)
                    await submit(world, job("job-deadly", steps=(WIDE,)))
                    others += await submit_others(world, 8)
                    await self.finish(world, others)

                self.check_given_up(play(scenario, hosts=4), others)

    def test_all_tasks_of_a_job_are_deadly(self):
        deadly = [f"job-deadly.0.0.{index}" for index in range(4)]

        async def scenario(world):
            make_deadly(world, *deadly)
            await trio.sleep(1)
            await submit(world, job("job-deadly", steps=(WIDE,)))
            await self.finish(world, [])

        world = play(scenario, hosts=6)
        for task in deadly:
            self.assertLess(starts_after_three_crashes(world, task), START_LIMIT)
        # The first starts of all tasks, and one or two more by which one is found out.
        self.assertLessEqual(sum(run.crashed for run in world.history), 4 + 2)

    def test_several_deadly_jobs_do_not_condemn_others(self):
        deadly = [f"job-deadly-{number}.0.0.1" for number in range(3)]
        others = []

        async def scenario(world):
            make_deadly(world, *deadly)
            await trio.sleep(1)
            for number in range(3):
                await submit(world, job(f"job-deadly-{number}", steps=(WIDE,)))
            others.extend(await submit_others(world, 12, 0.15))
            await self.finish(world, others, [task[:12] for task in deadly])

        self.check_given_up(play(scenario, hosts=6), others, deadly)

    def test_deadly_long_running_task_is_given_up(self):
        async def scenario(world):
            make_deadly(world, DEADLY)
            world.durations = lambda _task: 60.0
            await trio.sleep(1)
            steps = (StepSpec(3, cpu=600, memory_mb=100, long_running=True),)
            await submit(world, job("job-deadly", steps=steps))
            await self.finish(world, [])

        self.check_given_up(play(scenario, hosts=4), [])

    def test_deadly_task_that_uses_idle_cpu_is_given_up(self):
        async def scenario(world):
            make_deadly(world, DEADLY)
            await trio.sleep(1)
            steps = (StepSpec(3, cpu=600, memory_mb=100, best_effort=True),)
            await submit(world, job("job-deadly", steps=steps))
            await self.finish(world, [])

        self.check_given_up(play(scenario, hosts=4), [])

    def test_deadly_task_of_a_second_occurrence_is_given_up(self):
        async def scenario(world):
            make_deadly(world, "job-deadly.1.0.0")
            await trio.sleep(1)
            spec = job(
                "job-deadly", steps=(WIDE,), start_at_ms=2000, period_ms=2000, times=3
            )
            await submit(world, spec)
            await self.finish(world, [])

        world = play(scenario, hosts=4)
        self.check_given_up(world, [], ["job-deadly.1.0.0"])

    def test_crashes_are_counted_across_owners(self):
        """Each owner dies just after a crash, before or after it has heard of it."""
        for delay_s in (0.02, 1.0, 3.1, 3.5):
            with self.subTest(delay_s=delay_s):
                others, killed = [], []

                async def scenario(
                    world, delay_s=delay_s, others=others, killed=killed
                ):
                    make_deadly(world, DEADLY)
                    world.nursery.start_soon(
                        kill_owner_after_crashes, world, delay_s, killed
                    )
                    await trio.sleep(1)
                    await submit(world, job("job-deadly", steps=(WIDE,)))
                    others += await submit_others(world, 4)
                    await self.finish(world, others)

                self.check_given_up(play(scenario, hosts=4), others)
                self.assertGreater(len(killed), 0)

    def test_crashes_are_counted_although_all_processes_die(self):
        for delay_s in (0.02, 1.0, 3.5):
            with self.subTest(delay_s=delay_s):
                others = []

                async def scenario(world, delay_s=delay_s, others=others):
                    make_deadly(world, DEADLY)
                    world.nursery.start_soon(kill_all_after_crash, world, delay_s)
                    await trio.sleep(1)
                    await submit(world, job("job-deadly", steps=(WIDE,)))
                    others += await submit_others(world, 2)
                    await self.finish(world, others)

                self.check_given_up(play(scenario, hosts=4), others)


class CrashWithoutDeadlyTaskTests(unittest.TestCase):
    """Executors that crash by themselves fail no job."""

    def test_repeated_crashes_fail_no_job(self):
        for gap_s in (1.5, 4.0, 6.0):
            with self.subTest(gap_s=gap_s):
                ids = []

                async def scenario(world, gap_s=gap_s, ids=ids):
                    world.nursery.start_soon(crash_half, world, gap_s)
                    await trio.sleep(1)
                    ids += await submit_others(world, 60, 0.25)
                    for job_id in ids:
                        await world.wait_for_state(job_id, JobState.COMPLETED, 60)
                    self.views = next(iter(world.entries.values())).replica.jobs

                world = play(scenario, hosts=6)
                self.assertGreater(sum(run.crashed for run in world.history), 10)
                for job_id in ids:
                    state = self.views[job_id].state
                    self.assertIs(state, JobState.COMPLETED, job_id)


async def kill_owner_after_crashes(world, delay_s, killed, times=3):
    """Kill the owner after each crash, and start it again.

    :param killed: gets the name of each owner that is killed.
    """
    seen = 0
    while times:
        await trio.sleep(0.005)
        crashes = sum(run.crashed and run.task == DEADLY for run in world.history)
        if crashes == seen:
            continue
        seen = crashes
        await trio.sleep(delay_s)
        owner = world.owner()
        if owner is None or owner.settings.name not in world.scopes:
            continue
        world.kill(owner.settings.name)
        killed.append(owner.settings.name)
        times -= 1
        await trio.sleep(1.0)
        await world.start_entry(owner.settings.name)


async def kill_all_after_crash(world, delay_s):
    """Kill all processes once after the first crash, and start them again."""
    while not any(run.crashed for run in world.history):
        await trio.sleep(0.005)
    await trio.sleep(delay_s)
    for name in list(world.scopes):
        world.kill(name)
    await trio.sleep(1.0)
    for index in range(len(world.executors)):
        await world.start_agent(index)
    for name in world.entry_names:
        await world.start_entry(name)


async def crash_half(world, gap_s, times=4):
    """Crash half of the executors at once, several times."""
    await trio.sleep(3)
    for turn in range(times):
        crashed = [e for e in world.executors if e.up][turn % 2 :: 2]
        for executor in crashed:
            executor.crash()
        await trio.sleep(gap_s)
        for executor in crashed:
            executor.restart()
        await trio.sleep(gap_s)
