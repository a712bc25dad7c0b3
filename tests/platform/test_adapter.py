from __future__ import annotations

import json
import unittest

import msgspec
import trio

from rattanwing.batch.agent import BatchAgent
from rattanwing.batch.configuration import Configuration, CurrentConfiguration
from rattanwing.batch.messages import Answer
from rattanwing.batch.model import JobState, QueueRules
from rattanwing.batch.ports import EndReason, OrderOutcome, StoredRecord
from rattanwing.errors import SettingsError
from rattanwing.platform.callers import CallerRoutes, wait_limit_s
from rattanwing.platform.executor import (
    AnnouncementRoutes,
    ExecutorClient,
    parse_order_answer,
)
from rattanwing.platform.operator import OperatorRecords
from rattanwing.platform.settings import parse_settings
from rattanwing.util.http_client import HttpCallError, HttpResponse
from rattanwing.util.http_server import Request

SETTINGS = b"""
node = "side-1"
ip = "10.1.0.14"
zone = "zone-a"
port_range = [7720,7735]
new_field = {a = 1}
[listen]
control = "10.1.0.14:8166"
[bounds]
grace_s = 6
status_s = 120
[platform]
addr = "10.200.1.7:8169"
"""
ROUTE = {
    "name": "r-1",
    "host": "h.example",
    "path_prefix": "/q/",
    "backend": "svc",
    "priority": 2,
    "max_attempts": 4,
    "stretch": 1.5,
    "target_latency_ms": 250,
}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [], "limits": {}}
JOB_ID = "5c0e7a21d94b36f8"
ANNOUNCEMENT = {
    "backend": "svc",
    "addr": "10.1.0.14:8165",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq": 4,
    "born": 1000,
}


def request(method, path, body=b"", headers=(), match=None):
    return Request(method, path, path, {}, list(headers), body, match or {})


class SettingsTests(unittest.TestCase):
    def test_settings_are_decoded_and_unknown_fields_ignored(self):
        settings = parse_settings(SETTINGS)
        self.assertEqual(settings.name, "side-1")
        self.assertEqual(settings.failure_domain, "zone-a")
        self.assertEqual(settings.peers_address, "10.1.0.14:7720")
        self.assertEqual(settings.announcements_address, "10.1.0.14:8166")
        self.assertIsNone(settings.callers_address)
        self.assertEqual(settings.far_factor, 1.0)
        with_factor = SETTINGS.replace(b"status_s", b"far_factor = 3\nstatus_s")
        self.assertEqual(parse_settings(with_factor).far_factor, 3.0)

    def test_invalid_settings_are_refused(self):
        for data in (b"\xff", b"node = ", b"", SETTINGS.replace(b"7720", b'"x"')):
            with self.subTest(data=data[:20]), self.assertRaises(SettingsError):
                parse_settings(data)


class OperatorTests(unittest.TestCase):
    def setUp(self):
        self.configuration = CurrentConfiguration()
        self.changes = 0
        self.records = OperatorRecords(self.configuration, self.count_change)

    def count_change(self):
        self.changes += 1

    def apply(self, key, value):
        data = value if value is None or isinstance(value, bytes) else None
        data = msgspec.json.encode(value) if data is None and value else data
        self.records.apply(StoredRecord(key, data, 1))

    def test_configuration_is_replaced_only_by_newer_versions(self):
        self.apply("config", CONFIG)
        self.apply("config", {**CONFIG, "version": 5, "routes": []})
        self.assertEqual(self.configuration.version, 7)
        queue = self.configuration.find_queue("h.example", "/q/abc")
        self.assertEqual(
            queue.rules, QueueRules("r-1", "svc", 2, 4, 1.5, 250, "h.example", "/q/")
        )
        self.assertIsNone(self.configuration.find_queue("h.example", "/other/abc"))
        self.assertEqual(self.changes, 1)

    def test_longest_prefix_wins(self):
        longer = {**ROUTE, "name": "r-2", "path_prefix": "/q/more/"}
        self.apply("config", {**CONFIG, "routes": [ROUTE, longer]})
        found = self.configuration.find_queue("h.example", "/q/more/x")
        self.assertEqual(found.rules.name, "r-2")

    def test_malformed_configuration_changes_nothing(self):
        self.apply("config", CONFIG)
        for data in (b"\xff", b"{", b'{"version":9}', b'{"version":9,"routes":[1]}'):
            self.apply("config", data)
        self.assertEqual(self.configuration.version, 7)

    def test_evacuation_closes_a_failure_domain_until_it_is_deleted(self):
        self.apply("evacuate/zone-a", b"{}")
        self.assertEqual(self.configuration.closed_domains, {"zone-a"})
        self.apply("evacuate/zone-a", None)
        self.assertEqual(self.configuration.closed_domains, frozenset())

    def test_loading_reopens_failure_domains_without_an_evacuation(self):
        self.apply("evacuate/zone-a", b"{}")
        self.apply("evacuate/zone-b", b"{}")
        self.records.handle_loaded({"config", "evacuate/zone-b"})
        self.assertEqual(self.configuration.closed_domains, {"zone-b"})


class FakeService:
    """Records submitted jobs and returns a preset answer."""

    def __init__(self):
        self.jobs = []
        self.answer = Answer.ACCEPTED

    def retry_after_s(self):
        return 3

    async def submit(self, spec, wait_s):
        self.jobs.append((spec, wait_s))
        return self.answer

    async def find(self, job_id, queue):
        return self.answer

    async def cancel(self, job_id, queue, wait_s):
        return self.answer

    def count_queued(self, queue):
        return 12


class CallerTests(unittest.TestCase):
    def setUp(self):
        self.service = FakeService()
        self.configuration = CurrentConfiguration()
        self.routes = CallerRoutes(self.service, self.configuration)

    def configure(self):
        records = OperatorRecords(self.configuration, lambda: None)
        data = msgspec.json.encode(CONFIG)
        records.apply(StoredRecord("config", data, 1))

    def call(self, method, path, body=b""):
        headers = [(b"host", b"H.example:80"), (b"rattanwing-deadline-ms", b"2000")]
        return trio.run(self.routes.handle, request(method, path, body, headers))

    def test_requests_are_refused_without_a_configuration(self):
        response = self.call("POST", f"/q/{JOB_ID}", b"{}")
        self.assertEqual(response.status, 503)
        self.assertEqual(dict(response.headers)[b"retry-after"], b"3")

    def test_job_is_decoded(self):
        self.configure()
        body = (
            b'{"spec":"t","steps":[{"count":4,"cpu":500,"mem_mb":256,'
            b'"estimate_ms":900,"affinity":"r1-3"},{"count":2,"cpu":2000,"after":[0],'
            b'"checkpoint":true,"perpetual":true,"anti_affinity":1,"new":1}]}'
        )
        self.assertEqual(self.call("POST", f"/q/{JOB_ID}", body).status, 200)
        spec, wait_s = self.service.jobs[0]
        self.assertEqual(spec.job_id, JOB_ID)
        self.assertEqual(spec.steps[0].data_rack, "r1-3")
        self.assertEqual(spec.steps[0].memory_mb, 256)
        self.assertTrue(spec.steps[1].long_running)
        self.assertEqual(spec.steps[1].spread_limit, 1)
        self.assertEqual(spec.steps[1].after, (0,))
        self.assertAlmostEqual(wait_s, 1.7)

    def test_wait_limit_ends_before_the_deadline(self):
        for deadline_ms, wait_s in ((b"3000", 2.7), (b"500", 0.35), (b"x", 2.7)):
            made = request("GET", "/", b"", [(b"rattanwing-deadline-ms", deadline_ms)])
            self.assertAlmostEqual(wait_limit_s(made), wait_s)

    def test_malformed_jobs_are_refused(self):
        self.configure()
        for body in (b"", b"{}", b"\xff", b'{"steps":1}', b'{"steps":[{"cpu":"x"}]}'):
            with self.subTest(body=body):
                self.assertEqual(self.call("POST", f"/q/{JOB_ID}", body).status, 400)
        self.assertEqual(self.service.jobs, [])

    def test_unknown_paths_and_methods_are_refused(self):
        self.configure()
        for path in ("/", "/other/x", "/q/short", f"/q/{JOB_ID}/more"):
            with self.subTest(path=path):
                self.assertEqual(self.call("POST", path).status, 404)
        self.assertEqual(self.call("PATCH", f"/q/{JOB_ID}").status, 405)

    def test_count_of_pending_jobs_is_returned(self):
        self.configure()
        self.assertEqual(self.call("GET", "/q/").body, b'{"pending":12}')

    def test_answers_map_to_http_statuses(self):
        self.configure()
        statuses = {
            Answer.ACCEPTED: 200,
            Answer.REFUSED: 503,
            Answer.NOT_READY: 503,
            Answer.NO_SUCH_JOB: 410,
            Answer.UNKNOWN_OUTCOME: 504,
        }
        for answer, status in statuses.items():
            self.service.answer = answer
            with self.subTest(answer=answer):
                self.assertEqual(self.call("DELETE", f"/q/{JOB_ID}").status, status)

    def test_job_state_is_returned_in_wire_format(self):
        self.configure()
        self.service.answer = JobState.COMPLETED
        response = self.call("GET", f"/q/{JOB_ID}")
        self.assertEqual(response.body, b'{"state":"completed"}')

    def test_answers_close_connections_while_the_entry_stops(self):
        self.configure()
        self.routes.requests.end(1e9)
        response = self.call("GET", "/q/")
        self.assertEqual(response.status, 200)
        self.assertEqual(dict(response.headers)[b"connection"], b"close")

    def test_requests_after_the_last_answers_are_refused(self):
        self.configure()
        self.routes.requests.end(0.0)
        response = self.call("POST", f"/q/{JOB_ID}", b'{"steps":[{}]}')
        self.assertEqual(response.status, 503)
        self.assertIn(b"retry-after", dict(response.headers))


class FakeHttp:
    """Records a call and returns a preset answer."""

    def __init__(self, status, body):
        self.answer = HttpResponse(status, [], body)

    async def call(self, method, target, headers, body, timeout_s):
        self.headers = headers
        self.body = msgspec.json.decode(body)
        return self.answer


class ExecutorTests(unittest.TestCase):
    def make_agent(self):
        return BatchAgent(lambda: 0.0, lambda _view: None)

    def announce(self, routes, **changes):
        body = msgspec.json.encode({**ANNOUNCEMENT, **changes})
        made = request("PUT", "/x", body, match={"executor_id": "i-1"})
        return trio.run(routes.handle_announcement, made).status

    def test_announcement_is_decoded(self):
        agent = self.make_agent()
        self.assertEqual(self.announce(AnnouncementRoutes(agent)), 200)
        view = agent.executor.view
        self.assertEqual((view.cpu, view.memory_mb, view.rack), (16000, 32768, "r1-3"))
        self.assertFalse(view.draining)

    def test_announcements_older_than_the_newest_are_ignored(self):
        agent = self.make_agent()
        routes = AnnouncementRoutes(agent)
        self.announce(routes, born=2000, seq=1)
        self.announce(routes, born=1000, seq=90)
        self.announce(routes, born=2000, seq=0, state="draining")
        self.assertEqual(agent.executor.view.incarnation, "i-1@2000")
        self.assertFalse(agent.executor.view.draining)

    def test_malformed_announcements_are_refused(self):
        agent = self.make_agent()
        routes = AnnouncementRoutes(agent)
        self.assertEqual(self.announce(routes, capacity="much"), 400)
        self.assertEqual(self.announce(routes, seq=None), 400)
        self.assertIsNone(agent.executor)

    def client(self, status, body):
        agent = self.make_agent()
        self.announce(AnnouncementRoutes(agent))
        client = ExecutorClient(agent.executor.view)
        client.client = FakeHttp(status, body)
        return client

    def test_hold_is_decoded(self):
        body = (
            b'{"clock_ms":482113,"running":[["j.0.1.17",2,"s",41],["j.0.1.2",1,"",0,77]],'
            b'"ended":[[58,"j.0.1.9",1,"done",""]]}'
        )
        client = self.client(200, body)
        result = trio.run(client.poll, 7, 57, 486000, 1.0)
        self.assertEqual(result.running[1].measurement, 77)
        self.assertIs(result.ended[0].reason, EndReason.DONE)
        sent = client.client.body
        self.assertEqual(sent["wait_ms"], 1000)
        self.assertEqual(sent["ack_offset"], 57)
        self.assertIn((b"rattanwing-expect-instance", b"i-1"), client.client.headers)

    def test_full_page_of_ends_may_not_list_all(self):
        for count, complete in ((0, True), (499, True), (500, False)):
            with self.subTest(count=count):
                ended = [[n, f"j.0.1.{n}", 1, "done", ""] for n in range(1, count + 1)]
                body = json.dumps({"clock_ms": 1, "running": [], "ended": ended})
                result = trio.run(self.client(200, body.encode()).poll, 7, 0, None, 0.0)
                self.assertIs(result.lists_all_ends, complete)

    def test_malformed_hold_answers_raise_a_call_error(self):
        for body in (
            b'{"clock_ms":1,"running":[[1]],"ended":[]}',
            b'{"clock_ms":1,"running":[],"ended":[[1,"t",1,"vanished",""]]}',
            b"{}",
            b"\xff",
        ):
            with self.subTest(body=body), self.assertRaises(HttpCallError):
                trio.run(self.client(200, body).poll, 7, 57, None, 0.0)

    def test_order_answers_map_to_outcomes(self):
        cases = {
            (409, b'{"reason":"fence"}'): OrderOutcome.FENCED,
            (409, b'{"reason":"old"}'): OrderOutcome.OLD_ATTEMPT,
            (409, b'{"reason":"late"}'): OrderOutcome.LATE,
            (409, b'{"reason":"room"}'): OrderOutcome.NO_ROOM,
            (421, b""): OrderOutcome.OTHER_INCARNATION,
            (503, b""): OrderOutcome.UNHEALTHY,
            (400, b""): OrderOutcome.MALFORMED,
        }
        for (status, body), outcome in cases.items():
            self.assertIs(parse_order_answer(status, body).outcome, outcome)
        with self.assertRaises(HttpCallError):
            parse_order_answer(409, b'{"reason":"whatever"}')


class ConfigurationTests(unittest.TestCase):
    def test_repeated_version_is_not_applied(self):
        current = CurrentConfiguration()
        self.assertTrue(current.apply(Configuration(3, ())))
        self.assertFalse(current.apply(Configuration(3, ())))
