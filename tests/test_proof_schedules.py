"""Random fault schedules on the whole system, from fixed seeds."""

from __future__ import annotations

import unittest

import trio

from tests.history import find_violations
from tests.schedules import DOMAINS, ENTRIES, Schedule
from tests.world import run_world

SEEDS = range(1, 9)
WORKER_RESTART_SEEDS = range(101, 105)
STEPS = 30
FINAL_STATES = ("finished", "cancelled", "held")


async def reopen_domains(world):
    for domain in DOMAINS:
        tree = world.app("entry-1").get("config").tree
        if domain in tree.domains_out():
            await world.set_domain("entry-1", domain, "in")


class ScheduleProofs(unittest.TestCase):
    """All ten guarantees under random faults; in the end each job is over or held."""

    def test_guarantees_hold_under_random_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def test_guarantees_hold_when_workers_restart_without_their_agents(self):
        for seed in WORKER_RESTART_SEEDS:
            with self.subTest(seed=seed):
                self.run_seed(seed, worker_restarts=True)

    def run_seed(self, seed, steps=STEPS, worker_restarts=False):
        unfinished = {}

        async def scenario(world):
            schedule = Schedule(world, seed, steps, worker_restarts)
            self.trace = schedule.trace
            await schedule.run()
            await reopen_domains(world)
            await trio.sleep(90)
            for job in schedule.jobs:
                row = world.job(ENTRIES[0], job)
                if row is None or row.state not in FINAL_STATES:
                    unfinished[job] = row and row.state

        history = run_world(scenario, seed, entries=3)
        self.assertEqual(find_violations(history), [], "\n".join(self.trace))
        self.assertEqual(unfinished, {}, "\n".join(self.trace))
        self.assertGreater(len(history.runs), 5)
        self.assertGreater(len(history.executions), 5)
