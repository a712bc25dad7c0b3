from __future__ import annotations

import unittest

import trio

from rattanwing.batch.model import JobState, StepSpec
from tests.batch.world import job, play

KNOWN_WITHIN_S = 1.1
"""Time in seconds within which a change is announced and reported: a heartbeat of the
stand-in, and a message."""

FULL_CAPACITY = (4000, 8000)
CAPACITIES = ((800, 8000), (4000, 250), FULL_CAPACITY)
"""Thousandths of a core and megabytes of memory, one after the other."""

CAPACITY_FOR_S = 2.5
"""Time in seconds between two changes of one executor. It must be longer than
``KNOWN_WITHIN_S``, so that there are starts under each capacity once it is known."""

STEP = StepSpec(6, cpu=700, memory_mb=100)


def starts_beyond_capacity(world):
    """Return the runs that were started beyond a capacity known for long enough."""
    found = []
    for run in world.history:
        executor = next(e for e in world.executors if e.name == run.executor)
        known = [
            capacity
            for at, *capacity in executor.capacity_changes
            if at + KNOWN_WITHIN_S <= run.started_at
        ]
        recent = [
            capacity
            for at, *capacity in executor.capacity_changes
            if at <= run.started_at < at + KNOWN_WITHIN_S
        ]
        others = [
            other.task
            for other in world.history
            if other.executor == run.executor
            and other.started_at <= run.started_at
            and (other.ended_at is None or other.ended_at > run.started_at)
        ]
        possible = [known[-1] if known else FULL_CAPACITY, *recent]
        for number, reserved_by in enumerate((world.cpu_of, world.memory_of)):
            limit = max(capacity[number] for capacity in possible)
            used = sum(map(reserved_by, others))
            if used > limit:
                found.append((run.task, run.started_at, used, limit))
    return found


class CapacityChangeTests(unittest.TestCase):
    def test_capacity_that_shrinks_and_grows_is_kept_to(self):
        async def scenario(world):
            world.durations = lambda _task: 0.8
            world.nursery.start_soon(change_capacities, world)
            await trio.sleep(1)
            for number in range(24):
                await world.submit(job(f"job-{number}", steps=(STEP,)))
                await trio.sleep(0.3)
            for number in range(24):
                done = await world.wait_for_state(
                    f"job-{number}", JobState.COMPLETED, 60
                )
                self.assertTrue(done, number)

        world = play(scenario, hosts=4)
        self.assertEqual(starts_beyond_capacity(world), [])
        for run in world.history:
            reserved = (world.cpu_of(run.task), world.memory_of(run.task))
            self.assertEqual(reserved, (STEP.cpu, STEP.memory_mb))
        self.assertGreater(len(world.history), 24 * STEP.count - 1)
        self.assertEqual(world.overlaps(), [])


async def change_capacities(world):
    """Shrink and grow each executor again and again, while tasks run there."""
    for executor in world.executors:
        world.nursery.start_soon(change_capacity, executor)
        await trio.sleep(0.7)


async def change_capacity(executor):
    while True:
        for cpu, memory_mb in CAPACITIES:
            await trio.sleep(CAPACITY_FOR_S)
            executor.set_capacity(cpu, memory_mb)
