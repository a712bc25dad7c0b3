"""Rounds of placement while many jobs wait for full hosts."""

from __future__ import annotations

from unittest import mock

from rattanwing.batch import locality, placement, scheduler
from rattanwing.batch.model import StepSpec
from rattanwing.batch.placement import Constraints
from rattanwing.batch.scheduler import RECHECK_INTERVAL_S
from tests.batch.test_scheduler import SchedulerTestCase
from tests.batch.world import job

HOSTS = 16
WAITING_JOBS = 40
HOST_CPU = 4000
TASK = StepSpec(1, cpu=HOST_CPU, memory_mb=100, estimate_ms=1000)


class BacklogTests(SchedulerTestCase):
    """A burst of jobs on full hosts, while running tasks end one by one."""

    def setUp(self):
        super().setUp()
        self.hosts = [self.host(f"agent-{i:02}") for i in range(HOSTS)]
        self.add_job(job("running", [StepSpec(HOSTS, cpu=HOST_CPU, memory_mb=100)]))
        self.assertEqual(len(self.place()), HOSTS)
        for number in range(WAITING_JOBS):
            self.add_job(job(f"waiting-{number:02}", [TASK]))
        self.place()

    def count_comparisons(self):
        """Run a round; return how often a task was compared with a host."""
        real = placement.shortage
        with mock.patch.object(placement, "shortage", side_effect=real) as compared:
            self.started = self.place()
        return compared.call_count

    def end_run_on(self, host):
        (task, attempt) = next(iter(host.runs))
        self.end(host, task, attempt)

    def test_a_round_without_a_freed_host_compares_nothing(self):
        self.now += 0.05
        self.assertEqual(self.count_comparisons(), 0)

    def test_a_freed_host_is_used_in_the_next_round(self):
        self.now += 0.05
        self.end_run_on(self.hosts[3])
        self.assertLessEqual(self.count_comparisons(), WAITING_JOBS)
        self.assertEqual([host for host, _task in self.started], ["agent-03"])

    def test_a_host_freed_while_no_task_waited_is_used_later(self):
        for number in range(WAITING_JOBS):
            del self.scheduler.jobs[f"waiting-{number:02}"]
        self.end_run_on(self.hosts[5])
        self.place()
        self.now += 0.05
        self.add_job(job("late", [TASK]))
        self.assertEqual(self.place(), [("agent-05", "late.0.0.0")])

    def test_changes_that_free_no_host_are_noticed_after_the_interval(self):
        self.end_run_on(self.hosts[0])
        self.scheduler.constraints = Constraints(frozenset({"domain-a"}))
        self.assertEqual(self.place(), [])
        self.scheduler.constraints = Constraints()
        self.now += RECHECK_INTERVAL_S + 0.01
        self.assertEqual(len(self.place()), 1)

    def test_a_host_that_reports_again_after_silence_is_used(self):
        host = self.hosts[7]
        self.end_run_on(host)
        host.connected = False
        self.now += 0.05
        self.assertEqual(self.place(), [])
        self.now += 0.05
        self.scheduler.cluster.begin_stream(host)
        self.report(host)
        self.assertEqual([host for host, _task in self.place()], ["agent-07"])

    def test_jobs_whose_tasks_all_run_are_passed_over(self):
        self.assertFalse(self.scheduler.jobs["running"].unsettled)
        self.end_run_on(self.hosts[2])
        self.assertTrue(self.scheduler.jobs["running"].unsettled)

    def test_an_error_in_placing_one_job_leaves_the_others(self):
        """It took the owner down, and each later owner as well."""
        self.end_run_on(self.hosts[4])
        real = locality.choose_host

        def fail_on_first(hosts, job, *more):
            if job.spec.job_id == "waiting-00":
                raise ZeroDivisionError("an unexpected error")
            return real(hosts, job, *more)

        with mock.patch.object(locality, "choose_host", fail_on_first):
            self.assertEqual(self.place(), [("agent-04", "waiting-01.0.0.0")])
        self.end_run_on(self.hosts[4])
        self.now += scheduler.FAILED_JOB_PAUSE_S + 0.1
        self.report(self.hosts[4])
        self.assertEqual(self.place(), [("agent-04", "waiting-00.0.0.0")])

    def test_a_step_is_placed_once_the_step_before_it_has_ended(self):
        for number in range(WAITING_JOBS):
            del self.scheduler.jobs[f"waiting-{number:02}"]
        self.end_run_on(self.hosts[2])
        first = StepSpec(1, cpu=HOST_CPU, memory_mb=100)
        second = StepSpec(1, cpu=HOST_CPU, memory_mb=100, after=(0,))
        self.add_job(job("chain", [first, second]))
        self.assertEqual(self.place(), [("agent-02", "chain.0.0.0")])
        self.place()
        self.assertFalse(self.scheduler.jobs["chain"].unsettled)
        self.end(self.hosts[2], "chain.0.0.0", number=2)
        self.assertEqual(self.place(), [("agent-02", "chain.0.1.0")])
