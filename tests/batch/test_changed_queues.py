"""Jobs whose queue changes its name or address in the configuration while they run."""

from __future__ import annotations

import json
import unittest

import msgspec
import trio

from rattanwing.batch import records
from rattanwing.batch.configuration import Configuration
from rattanwing.batch.model import JobState
from rattanwing.platform.callers import CallerRoutes
from rattanwing.platform.operator import Route, make_queue
from rattanwing.util.http_server import Request
from tests.batch.world import job, play

HOST = "queue.example"
ID = "5c0e7a21d94b36f8"
LASTING = json.dumps({"spec": "t", "steps": [{"cpu": 500, "perpetual": True}]})
STUCK = json.dumps({"spec": "t", "steps": [{"cpu": 500, "constraints": "no-host"}]})
CANCEL_S = 3.0


def route(name, path_prefix, service="service-1"):
    return Route(name, HOST, path_prefix, service, 0, 3)


def configure(entry, version, *routes):
    queues = tuple(make_queue(one) for one in routes)
    entry.configuration.apply(Configuration(version, queues))


async def call(entry, method, path, body=""):
    """Send a caller's request; return the status and the decoded body."""
    routes = CallerRoutes(entry.relaying_service, entry.configuration)
    headers = [(b"host", HOST.encode())]
    response = await routes.handle(
        Request(method, path, path, {}, headers, body.encode(), {})
    )
    return response.status, json.loads(response.body or b"null")


class ChangedQueueTests(unittest.TestCase):
    """Guards against 410 for a running job whose queue has another name or address."""

    def play_change(self, after, path, job_text=LASTING, check=None):
        """Submit a job at ``/a/``, change the configuration and check the job.

        :param after: the routes of the new version.
        :param path: prefix at which callers address the job then.
        :param check: further check, given the world and its first entry.
        """

        async def scenario(world):
            for entry in world.entries.values():
                configure(entry, 2, route("queue-a", "/a/"))
            await trio.sleep(2)
            first, *others = world.entries.values()
            status, _ = await call(first, "POST", "/a/" + ID, job_text)
            self.assertEqual(status, 200)
            await trio.sleep(2)
            for entry in world.entries.values():
                configure(entry, 3, *after)
            for entry in world.entries.values():
                status, value = await call(entry, "GET", path + ID)
                self.assertEqual(status, 200, value)
            if check is not None:
                await check(world, first)
            status, _ = await call(others[0], "DELETE", path + ID)
            self.assertEqual(status, 200)
            cancelled_at = trio.current_time()
            await trio.sleep(CANCEL_S + 2)
            late = [
                r.task for r in world.history if r.started_at > cancelled_at + CANCEL_S
            ]
            self.assertEqual(late, [])
            self.assertFalse([r.task for r in world.history if r.ended_at is None])
            for entry in world.entries.values():
                self.assertIs(entry.replica.jobs[ID].state, JobState.CANCELLED)

        play(scenario)

    def test_renamed_queue(self):
        self.play_change([route("queue-b", "/a/")], "/a/")

    def test_renamed_queue_of_another_service(self):
        self.play_change([route("queue-b", "/a/", "service-2")], "/a/")

    def test_moved_queue(self):
        self.play_change([route("queue-a", "/b/")], "/b/")

    def test_moved_queue_whose_address_is_taken_over(self):
        after = [route("queue-a", "/b/"), route("queue-c", "/a/")]
        self.play_change(after, "/b/")
        self.play_change(after, "/a/")

    def test_renamed_and_moved_queue(self):
        self.play_change([route("queue-b", "/b/")], "/b/")

    def test_queues_that_exchange_their_names(self):
        after = [route("queue-b", "/a/"), route("queue-a", "/b/")]
        self.play_change(after, "/a/")

    def test_queue_split_by_a_longer_prefix(self):
        after = [route("queue-b", "/a/"), route("queue-a", "/a/more/")]
        self.play_change(after, "/a/")

    def test_waiting_jobs_of_a_renamed_queue_are_counted_once(self):
        async def check(_world, entry):
            self.assertEqual(await call(entry, "GET", "/a/"), (200, {"pending": 1}))
            self.assertEqual(await call(entry, "GET", "/c/"), (200, {"pending": 0}))

        after = [route("queue-b", "/a/"), route("queue-c", "/c/")]
        self.play_change(after, "/a/", STUCK, check)

    def test_waiting_jobs_of_a_moved_queue_are_counted_once(self):
        async def check(_world, entry):
            self.assertEqual(await call(entry, "GET", "/b/"), (200, {"pending": 1}))
            self.assertEqual(await call(entry, "GET", "/c/"), (200, {"pending": 0}))

        after = [route("queue-a", "/b/"), route("queue-c", "/c/")]
        self.play_change(after, "/b/", STUCK, check)

    def test_removed_queue_that_is_taken_back(self):
        async def check(world, entry):
            for number, routes in ((4, ()), (5, (route("queue-a", "/a/"),))):
                for each in world.entries.values():
                    configure(each, number, *routes)
            status, _ = await call(entry, "GET", "/a/" + ID)
            self.assertEqual(status, 200)

        self.play_change([route("queue-a", "/a/")], "/a/", check=check)

    def test_entries_with_different_versions(self):
        """One entry cancels with the new name what another knows by the old one."""

        async def check(world, _entry):
            last = list(world.entries.values())[-1]
            last.configuration.configuration = None
            configure(last, 1, route("queue-a", "/a/"))

        self.play_change([route("queue-b", "/a/")], "/a/", check=check)

    def test_job_of_another_queue_in_force_is_not_found(self):
        async def check(_world, entry):
            for method in ("GET", "DELETE"):
                status, _ = await call(entry, method, "/c/" + ID)
                self.assertEqual(status, 410)

        after = [route("queue-b", "/a/"), route("queue-c", "/c/")]
        self.play_change(after, "/a/", check=check)


class EarlierRecordTests(unittest.TestCase):
    """Jobs and cancellations stored by builds that did not store a queue's address."""

    def check_stored(self, queue_name, path):
        async def scenario(world):
            for entry in world.entries.values():
                configure(entry, 2, route(queue_name, path))
            await trio.sleep(2)
            first, *others = world.entries.values()
            await world.submit(job(ID, times=100, period_ms=1000))
            for entry in world.entries.values():
                status, _ = await call(entry, "GET", path + ID)
                self.assertEqual(status, 200)
            self.assertEqual((await call(others[0], "DELETE", path + ID))[0], 200)
            found = await world.wait_for_state(ID, JobState.CANCELLED, 3.0)
            self.assertTrue(found)

        play(scenario)

    def test_job_without_an_address(self):
        self.check_stored("queue-1", "/a/")

    def test_job_without_an_address_whose_queue_was_renamed(self):
        self.check_stored("queue-2", "/a/")

    def test_records_are_read_by_the_build_before(self):
        """That build reads the same arrays up to the fields that it knows."""

        class EarlierRules(msgspec.Struct, array_like=True):
            name: str
            service: str
            priority: int
            max_attempts: int
            stretch: float
            target_latency_ms: int

        class EarlierCancel(msgspec.Struct, array_like=True):
            at_ms: int
            queue: str = ""

        rules = records.encode(make_queue(route("queue-a", "/a/")).rules)
        found = msgspec.msgpack.decode(rules, type=EarlierRules)
        self.assertEqual((found.name, found.service), ("queue-a", "service-1"))
        cancel = records.encode(records.CancelRequest(0, "queue-a", HOST, "/a/"))
        self.assertEqual(
            msgspec.msgpack.decode(cancel, type=EarlierCancel).queue, "queue-a"
        )
