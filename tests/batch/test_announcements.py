from __future__ import annotations

import unittest

import msgspec
import trio
import trio.testing

from rattanwing.batch import messages
from rattanwing.batch.agent import BatchAgent, OwnerSession
from rattanwing.platform.executor import AnnouncementRoutes
from rattanwing.standin.runs import StandinBatchExecutor
from rattanwing.util.http_client import HttpCallError
from rattanwing.util.http_server import Request
from rattanwing.verdict import Verdict
from tests.batch.test_agent import RecordingSession

FIRST = 1
"""Number of the first incarnation, which stands for the time of its start."""

INTERVAL_S = 1.5


class UnreachablePort:
    """The client of an executor that is not there."""

    async def poll(self, *_call):
        await trio.sleep(0.001)
        raise HttpCallError(Verdict.NOT_RUN, "no connection")


class HostFixture:
    """An agent with an owner, its executor, and what they are told."""

    def play(self, scenario, announced=True):
        async def main():
            self.executor = StandinBatchExecutor("i-1", "domain-a", [], lambda _: 30.0)
            self.agent = BatchAgent(trio.current_time, self.connect)
            self.owner = self.agent.owner = OwnerSession(1, 1)
            self.owner.session = RecordingSession()
            self.routes = AnnouncementRoutes(self.agent, lambda: 10**12)
            self.number = 0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.executor.run)
                nursery.start_soon(self.agent.run)
                nursery.start_soon(self.renew_leases)
                await trio.sleep(0)
                if announced:
                    await self.announce_executor()
                    await trio.sleep(0.3)
                    self.start("job-1.0.0.0")
                    await trio.sleep(0.3)
                    self.assertEqual(len(self.executor.running), 1)
                await scenario()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def connect(self, view):
        if view.executor_id.startswith("i-1"):
            return self.executor.port(view)
        return UnreachablePort()

    async def renew_leases(self):
        while True:
            renewal = messages.LeaseRenewal(trio.current_time(), 9.0)
            self.agent.handle_message(self.owner, renewal)
            await trio.sleep(0.1)

    def start(self, task):
        properties = messages.TaskProperties(100, 10, 0, False, 0, "")
        order = messages.StartRun(
            1,
            task,
            1,
            self.executor.incarnation_name(),
            "text",
            "",
            properties,
            trio.current_time() + 2,
        )
        self.agent.handle_message(self.owner, order)

    async def announce(self, executor_id, born, **changes):
        """Deliver one announcement to the agent."""
        self.number += 1
        announcement = {
            "backend": self.executor.service,
            "addr": "127.0.0.1:1",
            "zone": self.executor.failure_domain,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.executor.draining else "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 4000, "mem_mb": 8000},
            "labels": ["a", "rack-1"],
            "seq": self.number,
            "born": born,
            **changes,
        }
        body = msgspec.json.encode(announcement)
        match = {"executor_id": executor_id}
        made = Request("PUT", "/x", "/x", {}, [], body, match)
        response = await self.routes.handle_announcement(made)
        self.assertEqual(response.status, 200)

    async def announce_executor(self, **changes):
        """Deliver an announcement of the executor that is there."""
        await self.announce(
            self.executor.executor_id(), self.executor.incarnation, **changes
        )

    async def announce_other(self):
        """Deliver an announcement of an executor that is not there."""
        await self.announce("i-other", 10**9, backend="elsewhere", addr="127.0.0.9:1")

    def sent(self, kind):
        return [m for m in self.owner.session.sent if isinstance(m, kind)]

    def check_in_use(self, incarnation):
        report = self.sent(messages.HostReport)[-1]
        self.assertEqual(report.executor and report.executor.incarnation, incarnation)

    def check_nothing_lost(self):
        """Check that the executor and its run stay in use."""
        self.check_in_use(f"i-1@{FIRST}")
        report = self.sent(messages.HostReport)[-1]
        self.assertEqual([row.task for row in report.runs], ["job-1.0.0.0"])
        self.assertEqual(self.sent(messages.ExecutorCrashed), [])


class FalseAnnouncementTests(HostFixture, unittest.TestCase):
    def test_executor_of_an_unknown_service_displaces_none(self):
        """Guards against two runs of each task of a live executor at the same time."""

        async def announce_other():
            await self.announce_other()
            await trio.sleep(1)
            self.check_nothing_lost()

        self.play(announce_other)

    def test_executor_in_use_is_heard_after_a_false_announcement(self):
        """Guards against the loss of a host whose announcements count as old."""

        async def drain_after_a_false_announcement():
            await self.announce_other()
            await trio.sleep(1)
            self.executor.draining = True
            await self.announce_executor()
            self.assertTrue(self.agent.executor.view.draining)

        self.play(drain_after_a_false_announcement)

    def test_late_announcement_of_an_earlier_incarnation_displaces_none(self):
        """Guards against the loss of runs, also after the wall clock was set back."""

        async def announce_earlier():
            for executor_id, born in (("i-1", 0), ("i-1", 9), ("i-1-old", 9)):
                await self.announce(executor_id, born)
                await trio.sleep(1)
                self.check_nothing_lost()

        self.play(announce_earlier)

    def test_false_announcement_beside_a_silent_executor_displaces_none(self):
        """Guards against two runs at once: a silent executor may still be up."""

        async def announce_while_silent():
            self.executor.reachable = False
            await self.announce_other()
            await trio.sleep(4)
            self.assertEqual(self.sent(messages.ExecutorCrashed), [])
            self.executor.reachable = True
            await trio.sleep(1)
            self.check_nothing_lost()

        self.play(announce_while_silent)

    def test_false_announcement_before_the_first_one(self):
        """Guards against a host without work after the start of its agent."""

        async def announce_other_first():
            await self.announce_other()
            await trio.sleep(1)
            self.assertIsNone(self.sent(messages.HostReport)[-1].executor)
            await self.announce_executor()
            await trio.sleep(1)
            self.check_in_use(f"i-1@{FIRST}")
            self.assertEqual(self.sent(messages.ExecutorCrashed), [])

        self.play(announce_other_first, announced=False)

    def test_many_false_announcements(self):
        """Guards against checks that pile up, and the loss of the executor in use."""

        async def announce_many():
            self.executor.reachable = False
            for number in range(200):
                await self.announce(f"i-other-{number}", 10**9)
            self.assertLessEqual(len(self.routes.announcements.checks), 4)
            self.executor.reachable = True
            await trio.sleep(1)
            self.check_nothing_lost()
            for number in range(50):
                await self.announce(f"i-another-{number}", 10**9)
                await trio.sleep(0.1)
            await self.announce_executor(seq=1, state="draining")
            self.assertFalse(self.agent.executor.view.draining)

        self.play(announce_many)

    def test_other_service_under_the_identity_of_the_executor_in_use(self):
        """Guards against tasks that are placed on an executor of another service."""

        async def announce_other_service():
            await self.announce_executor(backend="elsewhere", seq=10**6)
            await trio.sleep(INTERVAL_S)
            self.check_nothing_lost()
            self.assertEqual(self.agent.executor.view.service, "service-1")
            self.executor.draining = True
            await self.announce_executor()
            self.assertTrue(self.agent.executor.view.draining)

        self.play(announce_other_service)

    def test_false_identity_of_two_incarnations(self):
        """Guards against one false announcement that confirms an earlier one."""

        async def announce_before_and_after_a_restart():
            await self.announce_executor(backend="elsewhere")
            self.executor.crash()
            self.executor.restart()
            await self.announce_executor()
            await trio.sleep(0.5)
            self.check_in_use(self.executor.incarnation_name())
            await self.announce_executor(backend="elsewhere")
            self.assertEqual(self.agent.executor.view.service, "service-1")

        self.play(announce_before_and_after_a_restart)

    def test_false_identity_before_the_first_announcement(self):
        """Guards against a host without work after the start of its agent."""

        async def announce_other_service_first():
            await self.announce_executor(backend="elsewhere")
            for _ in range(2):
                await self.announce_executor()
            self.assertEqual(self.agent.executor.view.service, "service-1")

        self.play(announce_other_service_first, announced=False)


class ReplacementTests(HostFixture, unittest.TestCase):
    def check_replaced(self, restart):
        """Check that the next incarnation is in use soon after its announcement."""

        async def restart_and_announce():
            self.executor.crash()
            await trio.sleep(1)
            restart()
            await self.announce_executor()
            await trio.sleep(0.2)
            self.check_in_use(self.executor.incarnation_name())
            crashes = self.sent(messages.ExecutorCrashed)
            self.assertEqual([c.incarnation for c in crashes], [f"i-1@{FIRST}"])
            self.start("job-2.0.0.0")
            await trio.sleep(0.2)
            self.assertEqual(len(self.executor.running), 1)

        self.play(restart_and_announce)

    def test_next_incarnation_is_used_soon(self):
        self.check_replaced(lambda: self.executor.restart())

    def test_next_incarnation_under_the_same_id_is_used_soon(self):
        self.check_replaced(lambda: self.executor.restart(same_id=True))

    def test_next_incarnation_with_an_earlier_start_is_used_soon(self):
        """Guards against the loss of a host whose wall clock was set back."""

        def restart_earlier():
            self.executor.restart()
            self.executor.incarnation = self.executor.first_incarnation = FIRST - 1

        self.check_replaced(restart_earlier)

    def test_next_incarnation_at_another_address(self):
        """The earlier address refuses connections."""
        connect = self.connect

        def connect_by_address(view):
            if view.address == "127.0.0.1:1" and self.executor.incarnation > FIRST:
                return UnreachablePort()
            return connect(view)

        async def restart_at_another_address():
            self.executor.crash()
            self.agent.executor.executor = UnreachablePort()
            self.executor.restart()
            await self.announce_executor(addr="127.0.0.1:2")
            await trio.sleep(0.5)
            self.check_in_use(self.executor.incarnation_name())

        self.connect = connect_by_address
        self.play(restart_at_another_address)

    def test_late_announcement_beside_the_next_incarnation(self):
        """Guards against an exited incarnation that is used again."""

        async def announce_late():
            self.executor.crash()
            self.executor.restart()
            await self.announce("i-1", FIRST)
            await trio.sleep(1)
            await self.announce_executor()
            await trio.sleep(0.2)
            await self.announce("i-1", FIRST)
            await trio.sleep(1)
            self.check_in_use(self.executor.incarnation_name())
            self.assertEqual(len(self.sent(messages.ExecutorCrashed)), 1)

        self.play(announce_late)
