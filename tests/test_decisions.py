"""Scheduling decisions of one entry, with the real services on virtual time."""

from __future__ import annotations

import unittest
from unittest import mock

import trio

from rattanwing import events
from tests.history import find_violations
from tests.world import run_world

URGENT_LIMIT_S = 5.7
"""Seconds from submission in which an urgent job must start on full workers."""


async def start(world, agents=3, cpu=8.0):
    """Start one entry and some workers, and wait until their ramp-up is over."""
    world.start_entry("entry-1", "fd-1")
    for number in range(1, agents + 1):
        domain = f"fd-{number % 3 + 1}"
        world.start_agent(f"agent-{number}", domain, cpu, executor=False)
    await world.wait_ready(agents)
    await world.declare_organisation()
    await trio.sleep(25)


def run(scenario, **options):
    history = run_world(scenario, entries=1, **options)
    problems = [p for p in find_violations(history) if not p.startswith("3:")]
    assert problems == [], problems
    return history


class FailureTests(unittest.TestCase):
    def test_worker_that_fails_everything_is_quarantined(self):
        async def scenario(world):
            await start(world)
            world.workers["agent-1"].faults.fail_tasks = True
            for number in range(12):
                await world.submit("entry-1", f"j{number}", run_s=2)
            for number in range(12):
                await world.wait_for_state("entry-1", f"j{number}", "finished")
            quarantine = world.app("entry-1").get("quarantine")
            quarantined = [
                w for w in world.workers if quarantine.is_quarantined(w, 0.0)
            ]
            self.assertEqual(quarantined, ["agent-1"])

        history = run(scenario)
        failed = [r for r in history.runs if r.state == "failed"]
        self.assertEqual({r.worker for r in failed}, {"agent-1"})

    def test_job_that_fails_everywhere_is_held_without_quarantine(self):
        async def scenario(world):
            await start(world)
            await world.submit("entry-1", "bad", work='{"run_s": 1, "fail": true}')
            job = await world.wait_for_state("entry-1", "bad", "held")
            self.assertEqual(len(set(job.failed_workers)), 3)
            quarantine = world.app("entry-1").get("quarantine")
            self.assertFalse(
                any(quarantine.is_quarantined(w, 0.0) for w in world.workers)
            )
            await world.submit("entry-1", "good", run_s=1)
            await world.wait_for_state("entry-1", "good", "finished")

        run(scenario)

    def test_job_that_can_never_run_is_refused_with_the_reason(self):
        async def scenario(world):
            await start(world)
            self.assertEqual(await world.submit("entry-1", "big", cpu=9.0), 409)
            self.assertIsNone(world.job("entry-1", "big"))

        run(scenario)

    def test_overdue_job_is_reported_once(self):
        written = []
        real_write = events.write

        def record_event(event, **fields):
            written.append((event.number, fields.get("job")))
            real_write(event, **fields)

        async def scenario(world):
            await start(world, agents=1)
            await world.submit("entry-1", "slow", run_s=500, due_s=60)
            await trio.sleep(120)

        with mock.patch.object(events, "write", record_event):
            run(scenario)
        number = events.JOB_OVERDUE.number
        self.assertEqual(written.count((number, "slow")), 1)


class SharingTests(unittest.TestCase):
    async def fill(self, world, team, count, **fields):
        """Submit ``count`` jobs of one team and give them time to start."""
        for number in range(count):
            await world.submit(
                "entry-1", f"{team}-{number}", 300, team=team, cpu=2.0, **fields
            )
        await trio.sleep(10)

    def test_urgent_job_starts_in_time_on_full_workers(self):
        times = []

        async def scenario(world):
            await start(world)
            await self.fill(world, "claims", 20)
            for number in range(3):
                submitted = trio.current_time()
                name = f"urgent-{number}"
                await world.submit("entry-1", name, 5, cpu=4.0, urgency="urgent")
                await world.wait_for_state("entry-1", name, "finished")
                run = next(r for r in world.history.runs if r.job == name)
                times.append(run.start - submitted)

        history = run(scenario)
        self.assertLess(max(times), URGENT_LIMIT_S)
        stopped = [r for r in history.runs if r.state == "stopped"]
        self.assertLessEqual(len(stopped), 6)

    def test_team_within_its_quota_preempts_team_over_its_quota(self):
        async def scenario(world):
            await start(world)
            quota = {"cpu": 12, "memory_mb": 10_000}
            for team in ("claims", "lamps"):
                value = {"members": [], "quota": quota}
                await world.change("entry-1", "ada", [(f"teams/{team}", 0, value)])
            await self.fill(world, "claims", 12)
            used = world.app("entry-1").get("placed").granted_by_team
            self.assertEqual(used["claims"].cpu, 24.0)
            await self.fill(world, "lamps", 6)
            await trio.sleep(30)
            self.assertEqual(used["lamps"].cpu, 12.0)
            self.assertEqual(used["claims"].cpu, 12.0)

        run(scenario)

    def test_returning_failure_domain_ramps_up_slowly(self):
        async def scenario(world):
            await start(world, agents=2, cpu=32.0)
            await self.fill(world, "claims", 40)
            world.start_agent("agent-3", "fd-3", 32.0, executor=False)
            await trio.sleep(4)
            placed = world.app("entry-1").get("placed").granted_by_worker
            self.assertLess(placed["agent-3"].cpu, 20.0)
            await trio.sleep(25)
            self.assertEqual(placed["agent-3"].cpu, 16.0)

        run(scenario)

    def test_mass_cancellation_appends_no_extra_records(self):
        async def scenario(world):
            await start(world)
            await self.fill(world, "claims", 60)
            before = self.count_records(world)
            async with trio.open_nursery() as nursery:
                for number in range(60):
                    target = f"/api/jobs/claims-{number}?author=ada"
                    nursery.start_soon(world.http, "entry-1", "DELETE", target)
            await trio.sleep(5)
            added = self.count_records(world) - before
            # 60 cancellations, and the stops of the 12 jobs that were running.
            self.assertEqual(added, 60 + 12)
            await trio.sleep(1)
            states = {world.job("entry-1", f"claims-{n}").state for n in range(60)}
            self.assertEqual(states, {"cancelled"})

        run(scenario)

    def count_records(self, world):
        """Return the number of records in all shards except renewals."""
        return sum(
            b'"renew"' not in bytes(stored.record)
            for number in range(world.shards)
            for stored in world.log.streams[f"shard-{number}"]
        )
