from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from rattanwing.cmd.cli import make_application
from tests.processes import Deployment, call

ORGANISATION = {"owners": ["ada", "bea"], "first_month": "2026-12"}
TEAM = {"members": ["carl"], "quota": {"cpu": 20, "memory_mb": 50000}}
SERVICE = {"classes": [{"prefix": "/b", "name": "booking", "priority": 0}]}


class CommandLineTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(entries=1, agents=1)
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start_all()
        cls.entry = cls.deployment.entries["entry-1"][0]
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        cls.application = make_application()

    def run_command(self, line, entry=None):
        name, _, arguments = line.partition(" | ")
        tester = CommandTester(self.application.find(name))
        code = tester.execute(f"{arguments} --entry {entry or self.entry}")
        return code, tester.io.fetch_output() + tester.io.fetch_error()

    def run_json(self, line):
        code, output = self.run_command(f"{line} --format json")
        return code, json.loads(output)

    def write(self, name, value):
        path = Path(self.folder.name) / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return path

    def test_declarations_from_plan_to_audit(self):
        self.write("good/organisation.json", ORGANISATION)
        self.write("good/teams/lamps.json", TEAM)
        self.write("good/teams/lamps/services/collections.json", SERVICE)
        good = Path(self.folder.name) / "good"
        code, rows = self.run_json(f"plan | {good}")
        self.assertEqual((code, [r["action"] for r in rows]), (0, ["create"] * 3))
        code, result = self.run_json(f"apply | {good} --author ada")
        self.assertEqual((code, result["edits"]), (0, 3))
        code, result = self.run_json(f"apply | {good} --author ada")
        self.assertEqual((code, result["version"]), (0, None))

        code, output = self.run_command("domain out | fd-9 --author zoe")
        self.assertEqual(code, 1)
        self.assertIn("not-permitted", output)
        code, result = self.run_json("domain out | fd-9 --author bea")
        self.assertEqual((code, result["state"]), (0, "out"))
        code, result = self.run_json("domain in | fd-9 --author ada")
        self.assertEqual((code, result["state"]), (0, "in"))
        code, rows = self.run_json("domain list | ")
        states = {row["failure_domain"]: row["state"] for row in rows}
        self.assertEqual(states, {"fd-1": "in", "fd-9": "in"})

        code, rows = self.run_json("audit | --limit 100")
        verdicts = [(r["author"], r["path"], r["rule"]) for r in rows[-3:]]
        path = "failure-domains/fd-9"
        self.assertEqual(
            verdicts,
            [("zoe", path, "not-permitted"), ("bea", path, None), ("ada", path, None)],
        )
        code, output = self.run_command("audit | ")
        self.assertEqual(code, 0)
        self.assertIn("accepted", output)

    def test_faults_are_told_all_at_once(self):
        self.write("bad/organisation.json", "{")
        self.write("bad/teams/x.json", {"members": "carl", "colour": 1})
        self.write("bad/elsewhere.json", {})
        bad = Path(self.folder.name) / "bad"
        code, output = self.run_command(f"apply | {bad} --author ada")
        self.assertEqual(code, 2)
        for part in ("not JSON", "members", "colour", "no node of the tree"):
            self.assertIn(part, output)
        code, output = self.run_command("apply | nowhere")
        self.assertEqual(code, 2)
        self.assertIn("--author", output)

    def test_jobs_from_submission_to_the_end(self):
        job = {"id": "j-1", "team": "lamps", "cpu": 1, "memory_mb": 10}
        path = self.write("job.json", {**job, "work": '{"run_s": 0.2}'})
        code, result = self.run_json(f"job submit | {path}")
        self.assertEqual((code, result["accepted"]), (0, True))
        code, result = self.run_json(f"job submit | {path}")
        self.assertEqual(code, 0)
        self.deployment.wait_for_job("entry-1", "j-1", "finished")
        code, row = self.run_json("job show | j-1")
        self.assertEqual((code, row["state"]), (0, "finished"))
        code, rows = self.run_json("job list | --state finished --team lamps")
        self.assertEqual([r["job"] for r in rows], ["j-1"])

        other = self.write("other.json", {**job, "cpu": 2})
        code, output = self.run_command(f"job submit | {other}")
        self.assertEqual((code, "job-exists" in output), (1, True))
        huge = self.write("huge.json", {**job, "id": "j-2", "cpu": 9999})
        code, output = self.run_command(f"job submit | {huge}")
        self.assertEqual((code, "never-fits" in output), (1, True))
        wrong = self.write("wrong.json", {**job, "id": "j 3", "cpu": -1})
        code, output = self.run_command(f"job submit | {wrong}")
        self.assertEqual(code, 1)
        self.assertIn("id: ", output)
        self.assertIn("cpu: ", output)
        code, output = self.run_command("job cancel | nope --author ada")
        self.assertEqual((code, "unknown-job" in output), (1, True))
        code, output = self.run_command("job resume | j-1 --author ada")
        self.assertEqual((code, "job-ended" in output), (1, True))

    def test_cancel_stops_a_running_job(self):
        job = {"id": "long", "team": "lamps", "cpu": 1, "memory_mb": 10}
        path = self.write("long.json", {**job, "work": '{"run_s": 600}'})
        self.run_json(f"job submit | {path}")
        self.deployment.wait_for_job("entry-1", "long", "placed")
        self.assertEqual(self.run_command("job cancel | long --author ada")[0], 0)
        self.deployment.wait_for_job("entry-1", "long", "cancelled")

    def test_listings(self):
        code, rows = self.run_json("worker list | ")
        self.assertEqual((code, rows[0]["worker"]), (0, "agent-1"))
        code, rows = self.run_json("service list | ")
        executor = rows[0]["executors"][0]
        self.assertEqual((executor["agent"], executor["reachable"]), ("agent-1", True))
        code, status = self.run_json("status | ")
        self.assertEqual(status["owned_shards"], [0, 1, 2])
        for line in ("worker list | ", "service list | ", "status | ", "job list | "):
            self.assertEqual(self.run_command(line)[0], 0)

    def test_unreachable_entry(self):
        code, output = self.run_command("status | ", entry="127.0.0.1:1")
        self.assertEqual((code, "unreachable" in output), (4, True))

    def test_settings_check(self):
        bad = self.write("entry.json", {"name": "x", "entry": {"http": "a:1"}})
        code, output = self.run_command(f"settings check | {bad}")
        self.assertEqual(code, 2)
        for part in ("failure_domain: missing", "entry.http", "entry.log: missing"):
            self.assertIn(part, output)

    def test_bad_requests_get_clear_errors(self):
        service = "/services/collections/x"
        cases = [
            ("GET", "/nowhere", None, {}, 404),
            ("PUT", "/api/jobs", None, {}, 405),
            ("POST", "/api/jobs", b"{", {}, 400),
            ("POST", "/api/config", b"[]", {}, 400),
            ("GET", "/api/audit?limit=x", None, {}, 400),
            ("GET", "/api/jobs/none", None, {}, 404),
            ("GET", "/services/none/x", None, {}, 404),
            ("POST", service, b"x" * 1_100_000, {}, 413),
            (
                "GET",
                "/services/collections/x",
                None,
                {"Rattanwing-Timeout-Ms": "0"},
                400,
            ),
            ("POST", "/services/collections/x", None, {"Idempotency-Key": ""}, 400),
        ]
        for method, target, body, headers, status in cases:
            with self.subTest(target=target):
                answer = call(self.entry, method, target, body, headers)
                self.assertEqual(answer[0], status, answer[2])
        status, headers, body = call(self.entry, "GET", "/services/collections/y")
        verdict = headers["rattanwing-verdict"]
        self.assertEqual((status, verdict), (200, "ran"), body)
        text = call(self.entry, "GET", "/metrics")[2].decode()
        self.assertIn('rattanwing_requests_total{kind="ran"}', text)


class UnconfirmedTests(unittest.TestCase):
    def test_submission_during_an_outage_is_unconfirmed(self):
        deployment = Deployment(entries=1, agents=1)
        self.addCleanup(deployment.close)
        deployment.start_all()
        call(deployment.log, "PUT", "/faults", {"down": True})
        job = {"id": "j", "team": "t", "cpu": 1, "memory_mb": 1}
        status, _headers, body = deployment.call("entry-1", "POST", "/api/jobs", job)
        self.assertEqual((status, json.loads(body)["error"]), (504, "unconfirmed"))
        headers = {"Idempotency-Key": "k", "Rattanwing-Timeout-Ms": "1500"}
        status, headers, _body = deployment.call(
            "entry-1", "POST", "/services/collections/x", {}, headers
        )
        self.assertEqual((status, headers["rattanwing-verdict"]), (503, "not-run"))
        status, headers, _body = deployment.call(
            "entry-1", "POST", "/services/collections/x", {}
        )
        self.assertEqual((status, headers["rattanwing-verdict"]), (200, "ran"))
        call(deployment.log, "PUT", "/faults", {"down": False})
        status, _headers, _body = deployment.call("entry-1", "POST", "/api/jobs", job)
        self.assertEqual(status, 200)
        deployment.wait_for_job("entry-1", "j", "finished")
