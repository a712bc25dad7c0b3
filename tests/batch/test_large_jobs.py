"""Jobs of very many tasks, steps or occurrences."""

from __future__ import annotations

import tracemalloc
import unittest

import trio

from rattanwing.batch import records
from rattanwing.batch.jobs import OwnedJob
from rattanwing.batch.messages import Answer
from rattanwing.batch.model import (
    MAX_TASKS_PER_JOB,
    MAX_TASKS_PER_STEP,
    JobState,
    StepSpec,
    TaskId,
)
from rattanwing.batch.ports import StoredRecord
from rattanwing.batch.records import Progress
from rattanwing.batch.replica import WorkReplica
from tests.batch.world import job, play

MEMORY_BYTES = 300 * 1024 * 1024
"""Memory of an entry."""

LARGEST_STEPS = (StepSpec(MAX_TASKS_PER_STEP, cpu=480, memory_mb=960),) * 10
TINY = StepSpec(1, cpu=100, memory_mb=10)


def owned_job(spec, progress=None, now_ms=10**9):
    owned = OwnedJob(spec, 0.0, progress is not None, 1)
    owned.restore(progress or Progress(0), now_ms)
    return owned


class MemoryTests(unittest.TestCase):
    """Guards against owners that exceed their memory by jobs which hardly run."""

    def check_memory(self, specs):
        tracemalloc.start()
        try:
            held = [owned_job(spec) for spec in specs]
            used, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(max(used, peak), MEMORY_BYTES / 4, len(held))

    def test_three_jobs_of_the_most_tasks(self):
        self.check_memory([job(steps=LARGEST_STEPS)] * 3)

    def test_three_jobs_of_the_most_occurrences_that_are_all_due(self):
        spec = job(steps=(TINY,), times=MAX_TASKS_PER_JOB, period_ms=1)
        self.check_memory([spec] * 3)


class SubmissionTests(unittest.TestCase):
    """Guards against accepted jobs whose sum exceeds the memory of an entry."""

    STEPS = (StepSpec(10, cpu=100, memory_mb=10, label="no-host"),) * 64

    async def fill(self, world, prefix):
        """Submit jobs without a host at all entries in turn until one is refused."""
        accepted = []
        while len(accepted) < 200:
            number = len(accepted)
            entry = list(world.entries.values())[number % len(world.entries)]
            spec = job(f"{prefix}-{number}", self.STEPS)
            answer = await entry.relaying_service.submit(spec, 2.0)
            if answer is Answer.REFUSED:
                return accepted
            self.assertIs(answer, Answer.ACCEPTED)
            accepted.append(spec.job_id)
            await trio.sleep(0.2)
        raise AssertionError("200 jobs of 640 tasks were accepted by entries of 8 MB")

    def test_jobs_beyond_the_memory_are_refused_until_others_are_done(self):
        async def scenario(world):
            await trio.sleep(2)
            accepted = await self.fill(world, "a")
            self.assertGreater(len(accepted), 5)
            for entry in world.entries.values():
                spec = job("late", self.STEPS)
                answer = await entry.relaying_service.submit(spec, 2.0)
                self.assertIs(answer, Answer.REFUSED)
                self.assertGreater(entry.relaying_service.retry_after_s(), 1)
            world.kill(world.owner().settings.name)
            await trio.sleep(15)
            self.assertIsNotNone(world.owner())
            for entry in world.entries.values():
                spec = job("late", self.STEPS)
                answer = await entry.relaying_service.submit(spec, 2.0)
                self.assertIs(answer, Answer.REFUSED)
                self.assertNotIn("late", entry.replica.jobs)
            entry = next(iter(world.entries.values()))
            for job_id in accepted[:4]:
                queue = job().queue.identity
                answer = await entry.relaying_service.cancel(job_id, queue, 2.0)
                self.assertIs(answer, Answer.ACCEPTED)
            await trio.sleep(2)
            answer = await entry.relaying_service.submit(spec, 2.0)
            self.assertIs(answer, Answer.ACCEPTED)

        play(scenario, memory_mb=8)

    def test_jobs_that_are_handed_in_at_the_same_time_are_bounded_together(self):
        async def scenario(world):
            await trio.sleep(2)
            answers = []

            async def submit(entry, number):
                spec = job(f"job-{number}", self.STEPS)
                answers.append(await entry.local_service.submit(spec, 2.0))

            async with trio.open_nursery() as nursery:
                for number in range(120):
                    entry = list(world.entries.values())[number % 3]
                    nursery.start_soon(submit, entry, number)
            entry = next(iter(world.entries.values()))
            limit = entry.limits.jobs_bytes
            self.assertIn(Answer.REFUSED, answers)
            self.assertGreater(answers.count(Answer.ACCEPTED), 5)
            self.assertLessEqual(entry.replica.memory_bytes, limit)

        play(scenario, memory_mb=8)

    def test_memory_of_jobs_is_given_back(self):
        async def scenario(world):
            await trio.sleep(2)
            for entry in world.entries.values():
                entry.settings.retention_s = 5.0
            world.owner().owner_loop.retention_s = 5.0
            for number in range(5):
                await world.submit(job(f"job-{number}", (TINY,)))
            await trio.sleep(25)
            for entry in world.entries.values():
                self.assertEqual(
                    (entry.replica.jobs, entry.replica.memory_bytes), ({}, 0)
                )

        play(scenario)


class MissedDeletionTests(unittest.TestCase):
    """Guards against jobs that count for ever as their deletion was not read."""

    def test_jobs_that_the_topic_no_longer_holds_are_dropped(self):
        replica = WorkReplica(lambda: 0.0)
        for offset, job_id in enumerate(("kept", "deleted")):
            value = records.encode(job(job_id))
            replica.apply(StoredRecord(f"job/{job_id}", value, offset))
        replica.add_stored_job("unread", job("unread"))
        one = replica.jobs["kept"].memory_bytes
        replica.drop_deleted({"job/kept"})
        self.assertEqual(sorted(replica.jobs), ["kept", "unread"])
        self.assertEqual(replica.memory_bytes, 2 * one)


class HeldTaskTests(unittest.TestCase):
    """Guards against starting more tasks than the owner can hold."""

    def test_tasks_without_a_size_start_as_others_are_done(self):
        async def scenario(world):
            world.durations = lambda _task: 3.0
            await trio.sleep(2)
            limit = next(iter(world.entries.values())).limits.held_tasks
            count = 3 * limit
            await world.submit(job(steps=(StepSpec(count),)))
            done = await world.wait_for_state("job-1", JobState.COMPLETED, 60.0)
            self.assertTrue(done)
            times = sorted(
                [(run.started_at, 1) for run in world.history]
                + [(run.ended_at, -1) for run in world.history]
            )
            running = most = 0
            for _at, change in times:
                running += change
                most = max(most, running)
            self.assertLessEqual(most, limit)
            self.assertEqual(len(world.history), count)

        play(scenario, memory_mb=1, hosts=2)


class HoldingTests(unittest.TestCase):
    """The tasks that are held, and those of which one bit is left."""

    def test_tasks_that_never_ran_are_not_held(self):
        owned = owned_job(job(steps=LARGEST_STEPS))
        self.assertEqual(owned.held_tasks, 0)
        step = owned.steps_by_occurrence[0][0]
        self.assertEqual(step.count_waiting(), MAX_TASKS_PER_STEP)
        self.assertEqual(next(step.waiting_tasks()).id, TaskId("job-1", 0, 0, 0))
        self.assertEqual(owned.held_tasks, 0)

    def test_what_is_known_of_a_task_is_held_until_it_is_done(self):
        owned = owned_job(job(steps=(StepSpec(5),)))
        task = owned.task(TaskId("job-1", 0, 0, 3))
        task.record_end(1, "half")
        self.assertIs(owned.task(task.id), task)
        step = owned.steps_by_occurrence[0][0]
        self.assertEqual([t.id.index for t in step.waiting_tasks()], [3, 0, 1, 2, 4])
        owned.finish_task(task)
        self.assertEqual(owned.held_tasks, 0)
        self.assertTrue(owned.task(task.id).done)
        self.assertEqual([t.id.index for t in step.waiting_tasks()], [0, 1, 2, 4])
        self.assertEqual(step.count_waiting(), 4)

    def test_tasks_that_were_done_under_an_earlier_owner(self):
        owned = owned_job(job(steps=(StepSpec(5),)))
        for index in (0, 2):
            owned.finish_task(owned.task(TaskId("job-1", 0, 0, index)))
        owned.task(TaskId("job-1", 0, 0, 4)).record_end(7, "half")
        stored = records.encode(owned.progress(1))
        key = records.PROGRESS_PREFIX + "job-1"
        later = owned_job(job(steps=(StepSpec(5),)), records.decode(key, stored))
        step = later.steps_by_occurrence[0][0]
        self.assertEqual([t.id.index for t in step.waiting_tasks()], [4, 1, 3])
        self.assertEqual(later.task(TaskId("job-1", 0, 0, 4)).checkpoint, "half")
        self.assertEqual(step.unfinished, 3)
        self.assertEqual(records.encode(later.progress(1)), stored)

    def test_stored_keys_that_name_no_task_are_ignored(self):
        odd = {"0.0.-1": "a", "0.0.9": "b", "0.7.0": "c", "x": "d", "9.0.0": "e"}
        owned = owned_job(job(steps=(StepSpec(5),)), Progress(1, checkpoints=odd))
        self.assertEqual(owned.held_tasks, 0)

    def test_a_run_of_a_time_that_is_not_due_opens_nothing(self):
        owned = owned_job(job(steps=(TINY,), times=9, period_ms=1000), now_ms=2500)
        self.assertIsNone(owned.task(TaskId("job-1", 3, 0, 0)))
        self.assertIsNotNone(owned.task(TaskId("job-1", 2, 0, 0)))
        self.assertEqual(owned.occurrences_begun, 3)


class OccurrenceTests(unittest.TestCase):
    """Occurrences open as earlier ones are done, under any owner."""

    def test_many_due_occurrences_are_done_once_each_under_two_owners(self):
        times = 5_000

        async def scenario(world):
            world.durations = lambda _task: 0.2
            await trio.sleep(2)
            spec = job(steps=(StepSpec(1, cpu=10, memory_mb=1),), times=times)
            await world.submit(spec)
            await trio.sleep(1)
            world.kill(world.owner().settings.name)
            done = await world.wait_for_state("job-1", JobState.COMPLETED, 60.0)
            self.assertTrue(done)
            started = {run.task for run in world.history}
            self.assertEqual(len(started), times)
            self.assertEqual((world.overlaps(), world.reruns()), ([], []))

        play(scenario)

    def test_occurrences_that_an_earlier_owner_has_begun_are_known(self):
        spec = job(steps=(TINY,), times=20_000)
        earlier = owned_job(spec)
        begun = earlier.occurrences_begun
        self.assertLess(begun, 20_000)
        stored = earlier.progress(1)
        for occurrence in range(300):
            earlier.finish_task(earlier.task(TaskId("job-1", occurrence, 0, 0)))
        earlier.create_due_occurrences(10**9)
        newest = TaskId("job-1", earlier.occurrences_begun - 1, 0, 0)
        later = owned_job(spec, stored)
        self.assertEqual(later.occurrences_begun, begun)
        self.assertIsNotNone(later.task(newest))

    def test_progress_of_very_many_occurrences_stays_small(self):
        spec = job(steps=(TINY,), times=MAX_TASKS_PER_JOB)
        owned = owned_job(spec)
        for occurrence in range(50_000):
            if occurrence == owned.occurrences_begun:
                owned.create_due_occurrences(10**9)
            owned.finish_task(owned.task(TaskId("job-1", occurrence, 0, 0)))
        owned.create_due_occurrences(10**9)
        progress = owned.progress(1)
        self.assertLess(len(records.encode(progress)), 200_000)
        later = owned_job(spec, progress)
        self.assertEqual(later.occurrences_done, 50_000)
        self.assertIsNone(later.task(TaskId("job-1", 49_999, 0, 0)))
        self.assertFalse(later.task(TaskId("job-1", 50_000, 0, 0)).done)
