"""A few proofs with real processes and real signals."""

from __future__ import annotations

import json
import signal
import threading
import unittest

from tests.processes import Deployment, call, wait_for

LONG_JOB = {
    "id": "overnight-1",
    "team": "lamps",
    "cpu": 2,
    "memory_mb": 512,
    "work": '{"run_s": 600}',
}
PATIENT = {"Rattanwing-Timeout-Ms": "10000"}


def running(tasks):
    """Return the attempts that run."""
    return [task["attempt"] for task in tasks if task["state"] == "running"]


class ProcessProofs(unittest.TestCase):
    """Promise 2, Promise 7 and Promise 9, with signals."""

    def setUp(self):
        self.deployment = Deployment(entries=2, agents=2)
        self.addCleanup(self.deployment.close)
        self.deployment.start_all()

    def tasks_of(self, worker_address):
        return json.loads(call(worker_address, "GET", "/tasks")[2])

    def idle(self, job):
        tasks = [
            task
            for _executor, worker in self.deployment.agents.values()
            for task in self.tasks_of(worker)
        ]
        return not any(t["job"] == job and t["state"] == "running" for t in tasks)

    def executions(self):
        return [
            line
            for executor, _worker in self.deployment.agents.values()
            for line in json.loads(call(executor, "GET", "/executions")[2])
        ]

    def send_in_background(self, entry, target, answers):
        def send():
            try:
                answers.append(self.deployment.call(entry, "POST", target, {}, PATIENT))
            except OSError as error:
                answers.append(error)

        thread = threading.Thread(target=send)
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def test_sigterm_cuts_no_request_of_entry_or_agent(self):
        for name in ("entry-1", "agent-1"):
            with self.subTest(name=name):
                answers = []
                marker = f"/work-{name}?delay_ms=1500"
                target = f"/services/collections{marker}"
                threads = [
                    self.send_in_background("entry-1", target, answers)
                    if name == "entry-1"
                    else self.send_in_background("entry-2", target, answers)
                    for _number in range(6)
                ]
                wait_for(
                    lambda marker=marker: (
                        self.executions().count(f"POST {marker}") == 6
                    ),
                    "all requests execute",
                )
                self.deployment.signal(name, signal.SIGTERM)
                self.assertEqual(self.deployment.wait(name), 0)
                for thread in threads:
                    thread.join()
                self.assertEqual([answer[0] for answer in answers], [200] * 6)

    def test_sigkill_of_the_owner_neither_loses_nor_doubles_a_job(self):
        deployment = self.deployment
        job = {**LONG_JOB, "work": '{"run_s": 3}'}
        self.assertEqual(deployment.call("entry-1", "POST", "/api/jobs", job)[0], 200)
        deployment.wait_for_job("entry-2", job["id"], "placed")
        deployment.signal("entry-1", signal.SIGKILL)
        deployment.wait("entry-1")
        deployment.wait_for_job("entry-2", job["id"], "finished")
        self.assertTrue(deployment.finished_without_rerun(job["id"]))

    def test_frozen_agent_wakes_after_its_lease(self):
        """The worker ends the task; the woken agent starts and keeps nothing."""
        deployment = self.deployment
        status = deployment.call("entry-1", "POST", "/api/jobs", LONG_JOB)[0]
        self.assertEqual(status, 200)
        row = deployment.wait_for_job("entry-1", LONG_JOB["id"], "placed")
        frozen = row["worker"]
        worker = deployment.agents[frozen][1]
        wait_for(lambda: self.tasks_of(worker), "the task runs")
        deployment.signal(frozen, signal.SIGSTOP)

        def second_attempt():
            job = deployment.job("entry-1", LONG_JOB["id"])
            return job if job["attempt"] == 2 else None

        job = wait_for(second_attempt, "attempt 2 is placed")
        self.assertNotEqual(job["worker"], frozen)
        first = [t for t in self.tasks_of(worker) if t["attempt"] == 1]
        self.assertTrue(all(task["state"] == "lapsed" for task in first), first)
        deployment.signal(frozen, signal.SIGCONT)
        deployment.wait_until_connected("entry-1", 2)
        other = deployment.agents[job["worker"]][1]
        wait_for(lambda: running(self.tasks_of(other)) == [2], "attempt 2 runs")
        self.assertEqual(running(self.tasks_of(worker)), [])
        target = f"/api/jobs/{LONG_JOB['id']}?author=ada"
        self.assertEqual(deployment.call("entry-1", "DELETE", target)[0], 200)
        deployment.wait_for_job("entry-1", LONG_JOB["id"], "cancelled")

    def test_frozen_owner_wakes_after_another_took_over(self):
        """Its late records and orders have no effect."""
        deployment = self.deployment
        job = {**LONG_JOB, "work": '{"run_s": 16}'}
        self.assertEqual(deployment.call("entry-2", "POST", "/api/jobs", job)[0], 200)
        deployment.wait_for_job("entry-2", job["id"], "placed")
        deployment.signal("entry-1", signal.SIGSTOP)
        wait_for(
            lambda: deployment.status("entry-2")["owned_shards"] == [0, 1, 2],
            "entry-2 owns every shard",
        )
        deployment.signal("entry-1", signal.SIGCONT)
        other = {**job, "id": "overnight-2", "work": '{"run_s": 1}'}
        self.assertEqual(deployment.call("entry-2", "POST", "/api/jobs", other)[0], 200)
        for name in (job["id"], other["id"]):
            deployment.wait_for_job("entry-2", name, "finished")
            wait_for(lambda name=name: self.idle(name), f"no worker runs {name}")
            self.assertTrue(deployment.finished_without_rerun(name))

    def test_sigkill_of_an_agent_never_runs_a_booking_twice(self):
        answers = []
        target = "/services/collections/booking?delay_ms=1000"
        for _number in range(8):
            self.send_in_background("entry-1", target, answers)
        wait_for(lambda: len(self.executions()) == 8, "all requests execute")
        self.deployment.signal("agent-1", signal.SIGKILL)
        wait_for(lambda: len(answers) == 8, "every caller has an answer")
        self.assertEqual(len(self.executions()), 8)
        verdicts = {answer[1]["rattanwing-verdict"] for answer in answers}
        self.assertLessEqual(verdicts, {"ran", "may-have-run"})


if __name__ == "__main__":
    unittest.main()
