"""Starts by an owner that the store turns away."""

from __future__ import annotations

import unittest

import trio

from rattanwing.batch.freshness import CALL_MARGIN_S, MIN_START_TIME_S, StartGate
from rattanwing.batch.messages import Answer, StartRun
from rattanwing.batch.model import StepSpec
from rattanwing.batch.ports import AppendStamp
from rattanwing.batch.replica import TopicReader
from rattanwing.platform.operator import OPERATOR_TOPIC, OperatorRecords
from tests.batch.test_scheduler import SMALL, SchedulerTestCase
from tests.batch.world import QUEUE, job, play

DOMAIN_BOUND_S = 5.0
CANCEL_BOUND_S = 3.0
DOMAIN = "domain-a"
MANY = (StepSpec(2_000, cpu=1000, memory_mb=10),)


def spread_duration_s(task):
    """Return durations of which some end at any time, so that starts never pause."""
    return 0.48 + 0.12 * (int(task.rpartition(".")[2]) % 7)


class Operator:
    """Writes operators' records, which every entry reads like the platform's."""

    def __init__(self, world):
        self.world = world
        self.client = world.store.client("operator")
        self.sequence = 0
        for entry in world.entries.values():
            operator = OperatorRecords(
                entry.configuration, entry.handle_configuration_change
            )
            store = world.store.client(entry.settings.name)
            reader = TopicReader(store, OPERATOR_TOPIC, world.now, operator.apply)
            reader.on_loaded = operator.handle_loaded
            entry.configuration.read_sent_at = lambda reader=reader: reader.read_sent_at
            world.nursery.start_soon(reader.run)

    async def close_domain(self):
        """Close a failure domain; return when that was confirmed."""
        self.sequence += 1
        stamp = AppendStamp("operator", 1, self.sequence)
        key = f"evacuate/{DOMAIN}"
        await self.client.append(OPERATOR_TOPIC, [(key, b"{}")], stamp)
        return self.world.now()


class TurnedAwayTests(unittest.TestCase):
    """Guards against starts by facts that the owner has read too long ago."""

    def check_domain(self, turned_away, closed_after_s=0.1, away_s=9.0):
        """Close a domain while the store turns entries away.

        :param turned_away: returns the names of these entries.
        """

        async def scenario(world):
            operator = Operator(world)
            world.durations = lambda _task: 0.4
            await trio.sleep(3)
            self.assertIs(await world.submit(job(steps=MANY)), Answer.ACCEPTED)
            await trio.sleep(2)
            world.store.disconnected_clients.update(turned_away(world))
            await trio.sleep(closed_after_s)
            closed_at = await operator.close_domain()
            await trio.sleep(away_s)
            world.store.disconnected_clients.clear()
            back_at = world.now()
            await trio.sleep(4)
            inside = {e.name for e in world.executors if e.failure_domain == DOMAIN}
            starts = [(r.started_at, r.executor) for r in world.history]
            late = [
                at
                for at, name in starts
                if name in inside and at > closed_at + DOMAIN_BOUND_S
            ]
            self.assertEqual(late, [])
            self.assertTrue([at for at, name in starts if name in inside])
            self.assertTrue([at for at, _name in starts if at > back_at])

        play(scenario, hosts=6)

    def test_no_entry_is_served(self):
        for closed_after_s in (0.1, 0.6, 1.1):
            with self.subTest(closed_after_s=closed_after_s):
                self.check_domain(lambda world: world.entry_names, closed_after_s)

    def test_the_owner_is_not_served(self):
        self.check_domain(lambda world: [world.owner().settings.name])

    def test_cancellation_at_another_entry(self):
        """The other entries are on weak hosts, and take over a little later."""

        async def scenario(world):
            Operator(world)
            world.durations = spread_duration_s
            await trio.sleep(3)
            await world.submit(job(steps=MANY))
            await trio.sleep(2)
            owner = world.owner().settings.name
            other = next(e for n, e in world.entries.items() if n != owner)
            world.store.disconnected_clients.add(owner)
            await trio.sleep(0.05)
            answer = await other.relaying_service.cancel("job-1", QUEUE, 2.7)
            self.assertIs(answer, Answer.ACCEPTED)
            cancelled_at = world.now()
            await trio.sleep(9)
            late = [
                r.started_at - cancelled_at
                for r in world.history
                if r.started_at > cancelled_at + CANCEL_BOUND_S
            ]
            self.assertEqual(late, [])

        for seed in (1, 2, 3, 4):
            with self.subTest(seed=seed):
                play(
                    scenario,
                    hosts=6,
                    seed=seed,
                    entry_cpu={"entry-0": 1000, "entry-1": 400, "entry-2": 400},
                )


class GateTests(unittest.TestCase):
    def test_the_older_fact_decides(self):
        read_at = {"domains": 10.0, "jobs": 10.0}
        gate = StartGate(
            DOMAIN_BOUND_S,
            CANCEL_BOUND_S,
            lambda: read_at["domains"],
            lambda: read_at["jobs"],
        )
        self.assertEqual(gate.check(10.0), 10.0 + CANCEL_BOUND_S - CALL_MARGIN_S)
        read_at["jobs"] = 14.0
        self.assertEqual(gate.check(14.0), 10.0 + DOMAIN_BOUND_S - CALL_MARGIN_S)

    def test_it_closes_and_opens(self):
        read_at = [0.0]
        gate = StartGate(5.0, 3.0, lambda: float("inf"), lambda: read_at[0])
        gate.check(1.0)
        self.assertIsNone(gate.closed_since)
        gate.check(3.0)
        self.assertEqual(gate.closed_since, 3.0)
        read_at[0] = 3.5
        gate.check(3.6)
        self.assertIsNone(gate.closed_since)


class OrderTests(SchedulerTestCase):
    def test_order_expires_with_what_it_rests_on(self):
        """Also if it waits in a stream, or its sender is paused before it is sent."""
        host = self.host("agent-1")
        self.add_job(job(steps=(SMALL,)))
        self.scheduler.starts_end_at = self.now + 0.7
        self.place()
        orders = [m for _h, m in self.scheduler.cluster.outbox]
        limits = {m.start_before for m in orders if isinstance(m, StartRun)}
        self.assertEqual(len(limits), 1)
        self.assertAlmostEqual(limits.pop(), host.report_stamp + 0.7)

    def test_no_order_without_time_to_arrive(self):
        self.host("agent-1")
        self.add_job(job(steps=(SMALL,)))
        self.scheduler.starts_end_at = self.now + MIN_START_TIME_S / 2
        self.assertEqual(self.place(), [])
        self.scheduler.starts_end_at = self.now + 1.0
        self.assertEqual(len(self.place()), 2)
