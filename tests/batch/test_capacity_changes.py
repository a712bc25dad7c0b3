from __future__ import annotations

import unittest

import trio

from rattanwing.batch.model import JobState, StepSpec
from tests.batch.world import job, play

KNOWN_WITHIN_S = 1.1
"""Time in seconds within which a change is announced and reported: a heartbeat of the
stand-in, and a message."""

STEP = StepSpec(6, cpu=700, memory_mb=100)


def starts_beyond_capacity(world):
    """Return the runs that were started beyond a capacity known for long enough."""
    found = []
    for run in world.history:
        executor = next(e for e in world.executors if e.name == run.executor)
        known = [
            cpu
            for at, cpu, _memory_mb in executor.capacity_changes
            if at + KNOWN_WITHIN_S <= run.started_at
        ]
        recent = [
            cpu
            for at, cpu, _memory_mb in executor.capacity_changes
            if at <= run.started_at < at + KNOWN_WITHIN_S
        ]
        limit = max([known[-1] if known else 4000, *recent])
        used = sum(
            world.cpu_of(other.task)
            for other in world.history
            if other.executor == run.executor
            and other.started_at <= run.started_at
            and (other.ended_at is None or other.ended_at > run.started_at)
        )
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
        self.assertGreater(len(world.history), 24 * STEP.count - 1)
        self.assertEqual(world.overlaps(), [])


async def change_capacities(world):
    """Shrink and grow each executor in turn while it runs."""
    while True:
        for executor in world.executors:
            for cpu in (800, 4000):
                await trio.sleep(0.9)
                executor.set_capacity(cpu, 8000)
