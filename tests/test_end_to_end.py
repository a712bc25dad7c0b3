from __future__ import annotations

import json
import unittest

from tests.processes import Deployment, call, wait_for

JOB = {
    "id": "certificates-1",
    "team": "lamps",
    "cpu": 2,
    "memory_mb": 512,
    "work": '{"run_s": 1}',
}


class EndToEndTests(unittest.TestCase):
    """Requests and a job in a deployment of separate processes."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(entries=2, agents=3)
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start_all()

    def test_booking_is_answered_whole_through_each_entry(self):
        for entry in self.deployment.entries:
            status, headers, body = self.deployment.call(
                entry, "POST", "/services/collections/bookings?x=1", {"tubes": 40}
            )
            self.assertEqual(status, 200)
            self.assertEqual(headers["rattanwing-verdict"], "ran")
            self.assertEqual(
                json.loads(body),
                {"ran": "/bookings?x=1", "method": "POST", "body": '{"tubes": 40}'},
            )

    def test_job_is_accepted_placed_finished_and_reported(self):
        status, _headers, _body = self.deployment.call(
            "entry-1", "POST", "/api/jobs", JOB
        )
        self.assertEqual(status, 200)
        for entry in self.deployment.entries:
            row = self.deployment.wait_for_job(entry, JOB["id"], "finished")
            self.assertIn(row["worker"], self.deployment.agents)
        self.assertTrue(self.deployment.finished_without_rerun(JOB["id"]))

    def test_key_runs_once_through_two_entries(self):
        headers = {"Idempotency-Key": "pickup-77"}
        responses = [
            self.deployment.call(
                entry, "POST", "/services/collections/keyed", {"a": 1}, headers
            )
            for entry in ("entry-1", "entry-2", "entry-1")
        ]
        self.assertEqual([response[0] for response in responses], [200, 200, 200])
        self.assertEqual(len({response[2] for response in responses}), 1)
        self.assertEqual(self.count_executions("POST /keyed"), 1)

    def count_executions(self, request_line):
        return sum(
            json.loads(call(executor, "GET", "/executions")[2]).count(request_line)
            for executor, _worker in self.deployment.agents.values()
        )

    def test_every_shard_has_one_owner(self):
        def each_shard_is_owned_once():
            shards = [
                shard
                for entry in self.deployment.entries
                for shard in self.deployment.status(entry)["owned_shards"]
            ]
            return sorted(shards) == [0, 1, 2]

        wait_for(each_shard_is_owned_once, "each shard has one owner")
