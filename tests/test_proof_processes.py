"""Guarantees 2, 7 and 9, checked with separate processes that receive signals."""

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
LONG_TIMEOUT = {"Rattanwing-Timeout-Ms": "10000"}


def running_attempts(tasks):
    """Return the numbers of the running attempts of all jobs."""
    return [task["attempt"] for task in tasks if task["state"] == "running"]


class ProcessProofs(unittest.TestCase):
    """Guarantee 2, Guarantee 7, Guarantee 9, as processes stop, freeze or are killed.

    A job never runs in two places at once, a non-idempotent request runs at most once,
    and a planned stop interrupts no request in progress.
    """

    def setUp(self):
        self.deployment = Deployment(entries=2, agents=2)
        self.addCleanup(self.deployment.close)
        self.deployment.start_all()

    def list_tasks(self, worker_address):
        return json.loads(call(worker_address, "GET", "/tasks")[2])["tasks"]

    def is_not_running(self, job):
        tasks = [
            task
            for _executor, worker in self.deployment.agents.values()
            for task in self.list_tasks(worker)
        ]
        return not any(t["job"] == job and t["state"] == "running" for t in tasks)

    def list_executions(self):
        return [
            line
            for executor, _worker in self.deployment.agents.values()
            for line in json.loads(call(executor, "GET", "/executions")[2])
        ]

    def send_in_background(self, entry, target, responses):
        def send():
            try:
                responses.append(
                    self.deployment.call(entry, "POST", target, {}, LONG_TIMEOUT)
                )
            except OSError as error:
                responses.append(error)

        thread = threading.Thread(target=send)
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def test_sigterm_cuts_no_request_of_entry_or_agent(self):
        for name in ("entry-1", "agent-1"):
            with self.subTest(name=name):
                responses = []
                marker = f"/work-{name}?delay_ms=1500"
                target = f"/services/collections{marker}"
                threads = [
                    self.send_in_background("entry-1", target, responses)
                    if name == "entry-1"
                    else self.send_in_background("entry-2", target, responses)
                    for _number in range(6)
                ]
                wait_for(
                    lambda marker=marker: (
                        self.list_executions().count(f"POST {marker}") == 6
                    ),
                    "all requests execute",
                )
                self.deployment.signal(name, signal.SIGTERM)
                self.assertEqual(self.deployment.wait(name), 0)
                for thread in threads:
                    thread.join()
                self.assertEqual([response[0] for response in responses], [200] * 6)

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
        """An agent is stopped by SIGSTOP until its task's lease has expired.

        The worker ends the task by itself, so the job can start elsewhere. Once the
        agent continues, it must not start or keep the first attempt.
        """
        deployment = self.deployment
        status = deployment.call("entry-1", "POST", "/api/jobs", LONG_JOB)[0]
        self.assertEqual(status, 200)
        row = deployment.wait_for_job("entry-1", LONG_JOB["id"], "placed")
        frozen = row["worker"]
        worker = deployment.agents[frozen][1]
        wait_for(lambda: self.list_tasks(worker), "the task runs")
        deployment.signal(frozen, signal.SIGSTOP)

        def second_attempt():
            job = deployment.job("entry-1", LONG_JOB["id"])
            return job if job["attempt"] == 2 else None

        job = wait_for(second_attempt, "attempt 2 is placed")
        self.assertNotEqual(job["worker"], frozen)
        first = [t for t in self.list_tasks(worker) if t["attempt"] == 1]
        self.assertTrue(all(task["state"] == "lapsed" for task in first), first)
        deployment.signal(frozen, signal.SIGCONT)
        deployment.wait_until_connected("entry-1", 2)
        other = deployment.agents[job["worker"]][1]
        wait_for(
            lambda: running_attempts(self.list_tasks(other)) == [2], "attempt 2 runs"
        )
        self.assertEqual(running_attempts(self.list_tasks(worker)), [])
        target = f"/api/jobs/{LONG_JOB['id']}?author=ada"
        self.assertEqual(deployment.call("entry-1", "DELETE", target)[0], 200)
        deployment.wait_for_job("entry-1", LONG_JOB["id"], "cancelled")

    def test_frozen_owner_wakes_after_another_took_over(self):
        """An owner is stopped by SIGSTOP until another entry has claimed its shards.

        Once it continues, its records and orders must have no effect: both jobs finish
        once and no worker runs them afterwards.
        """
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
            wait_for(
                lambda name=name: self.is_not_running(name), f"no worker runs {name}"
            )
            self.assertTrue(deployment.finished_without_rerun(name))

    def test_sigkill_of_an_agent_never_runs_a_booking_twice(self):
        responses = []
        target = "/services/collections/booking?delay_ms=1000"
        for _number in range(8):
            self.send_in_background("entry-1", target, responses)
        wait_for(lambda: len(self.list_executions()) == 8, "all requests execute")
        self.deployment.signal("agent-1", signal.SIGKILL)
        wait_for(lambda: len(responses) == 8, "every caller has a response")
        self.assertEqual(len(self.list_executions()), 8)
        verdicts = {response[1]["rattanwing-verdict"] for response in responses}
        self.assertLessEqual(verdicts, {"ran", "may-have-run"})


if __name__ == "__main__":
    unittest.main()
