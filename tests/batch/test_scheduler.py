from __future__ import annotations

import unittest

import msgspec

from rattanwing.batch import messages
from rattanwing.batch.jobs import MAX_ATTEMPTS_PER_EPOCH
from rattanwing.batch.liveness import LATE_CALL_S, UNCONFIRMED_FOR_S
from rattanwing.batch.model import JobState, StepSpec
from rattanwing.batch.placement import MAX_STEP_SHARE, Constraints
from rattanwing.batch.ports import EndedRow, EndReason, ExecutorView, RunningRow
from rattanwing.batch.records import Progress
from rattanwing.batch.replica import JobView
from rattanwing.batch.scheduler import START_WITHIN_S, Scheduler
from rattanwing.batch.timing import LEASE_MARGIN_S, TASK_LEASE_S
from tests.batch.world import job

SMALL = StepSpec(2, cpu=500, memory_mb=100, estimate_ms=1000)


def executor_view(name, domain="domain-a", **changes):
    fields = {
        "incarnation": f"{name}@1",
        "executor_id": name,
        "service": "service-1",
        "address": "",
        "failure_domain": domain,
        "labels": ["kind-a", "rack-1"],
        "rack": "rack-1",
        "cpu": 4000,
        "memory_mb": 8000,
        "accelerators": 0,
    }
    return ExecutorView(**{**fields, **changes})


class CountingPairs(dict):
    """Interference estimates that record every lookup in ``lookups``."""

    def __init__(self, pairs, lookups):
        super().__init__(pairs)
        self.lookups = lookups

    def get(self, pair, default=None):
        self.lookups.append(pair)
        return super().get(pair, default)


class SchedulerTestCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.scheduler = Scheduler(3, self.now)

    def now_ms(self):
        return int(self.now * 1000)

    def host(self, name, **changes):
        cluster = self.scheduler.cluster
        host = cluster.add_host(name, self.now)
        cluster.begin_stream(host)
        self.report(host, **changes)
        return host

    def report(
        self,
        host,
        runs=(),
        last_order=None,
        complete=True,
        failed_s=None,
        survival_times_s=(),
        may_start_late=(),
        **changes,
    ):
        last_order = host.next_order - 1 if last_order is None else last_order
        executor = executor_view(host.name, **changes)
        report = messages.HostReport(
            self.now,
            last_order,
            executor,
            list(runs),
            complete,
            failed_s=failed_s,
            survival_times_s=list(survival_times_s),
            may_start_late=list(may_start_late),
        )
        self.scheduler.handle_report(host, report, self.now, self.now_ms())
        host.extend_lease(self.now, TASK_LEASE_S)

    def add_job(self, spec, inherited=False, progress=None):
        view = JobView(spec)
        view.progress = progress or view.progress
        self.scheduler.update_job(view, self.now, self.now_ms(), inherited)
        return self.scheduler.jobs.get(spec.job_id)

    def place(self):
        """Run one placement round; return the host and task of each start order."""
        self.scheduler.cluster.outbox.clear()
        self.scheduler.check_takeover(self.now)
        self.scheduler.place_waiting_tasks(self.now, self.now_ms())
        return [
            (host.name, message.task)
            for host, message in self.scheduler.cluster.outbox
            if isinstance(message, messages.StartRun)
        ]

    def end(
        self, host, task, attempt=1, reason=EndReason.DONE, checkpoint="", number=1
    ):
        message = messages.RunsEnded(
            host.executor.incarnation,
            [EndedRow(number, task, attempt, reason, checkpoint)],
        )
        self.scheduler.handle_ends(host, message, self.now, self.now_ms())


class TakeoverTests(SchedulerTestCase):
    def test_inherited_tasks_wait_for_every_agent(self):
        first = self.host("agent-1")
        second = self.scheduler.cluster.add_host("agent-2", self.now)
        self.add_job(job(steps=(SMALL,)), inherited=True)
        self.assertEqual(self.place(), [])
        self.scheduler.directory_known = True
        self.assertEqual(self.place(), [])
        self.scheduler.cluster.begin_stream(second)
        self.report(second, runs=[RunningRow("job-1.0.0.0", 1, "", 10)])
        self.assertEqual([task for _host, task in self.place()], ["job-1.0.0.1"])
        self.assertEqual(len(first.runs), 1)

    def test_new_jobs_do_not_wait_for_agents(self):
        self.host("agent-1")
        self.scheduler.cluster.add_host("agent-2", self.now)
        self.add_job(job(steps=(SMALL,)))
        self.assertEqual(len(self.place()), 2)

    def test_takeover_waits_one_lease_for_silent_agents(self):
        self.host("agent-1")
        self.scheduler.cluster.add_host("agent-2", self.now)
        self.scheduler.directory_known = True
        owned = self.add_job(job(steps=(SMALL,)), inherited=True)
        self.now += TASK_LEASE_S + LEASE_MARGIN_S - 0.1
        self.assertEqual(self.place(), [])
        self.now += 0.2
        self.report(self.scheduler.cluster.hosts["agent-1"])
        self.assertEqual(len(self.place()), 2)
        attempts = {task.attempt for task in owned.tasks()}
        self.assertEqual(attempts, {self.first_attempt()})

    def test_tasks_stored_as_done_are_not_run_again(self):
        self.host("agent-1")
        self.scheduler.directory_known = True
        done = Progress(2, JobState.RUNNING, {"0.0": b"\x01"}, {}, {"0.0.1": 4})
        owned = self.add_job(job(steps=(SMALL,)), inherited=True, progress=done)
        self.assertEqual(self.place(), [("agent-1", "job-1.0.0.1")])
        self.assertEqual(owned.tasks()[1].attempt, self.first_attempt())

    def first_attempt(self):
        """Return the first number that no earlier owner can have used."""
        return self.scheduler.epoch * MAX_ATTEMPTS_PER_EPOCH + 1

    def test_failures_of_attempts_of_two_owners_both_count(self):
        """The earlier owner's attempt 1 was lost and stored nowhere; its attempt 2
        failed on a host that was silent during the takeover. The new owner gave out 2
        again, and the two failures counted as one.
        """
        silent = self.scheduler.cluster.add_host("agent-1", self.now)
        self.scheduler.directory_known = True
        owned = self.add_job(job(steps=(SMALL,)), inherited=True)
        self.now += TASK_LEASE_S + LEASE_MARGIN_S + 0.1
        host = self.host("agent-2")
        self.place()
        task = owned.tasks()[0]
        (run,) = task.runs
        self.end(host, str(task.id), run.attempt, EndReason.FAILED)
        self.scheduler.cluster.begin_stream(silent)
        self.report(silent)
        self.end(silent, str(task.id), 2, EndReason.FAILED)
        self.assertEqual(task.failed_attempts, {2, run.attempt})
        self.assertNotEqual(run.attempt, 2)

    def test_attempts_rise_over_changes_of_owner(self):
        """Each owner knows of the earlier ones' attempts only what was stored."""
        attempts = []
        for epoch in range(1, 6):
            self.scheduler = Scheduler(epoch, self.now)
            self.scheduler.directory_known = True
            host = self.host("agent-1")
            self.add_job(job(steps=(StepSpec(1, cpu=500),)), inherited=epoch > 1)
            for _ in range(3):
                self.place()
                ((task, attempt),) = host.runs
                attempts.append(attempt)
                lost = messages.RunRefused(task, attempt, "expired")
                self.scheduler.handle_refused(host, lost, self.now)
        self.assertEqual(attempts, sorted(set(attempts)))
        self.assertEqual(attempts[:3], [1, 2, 3])

    def test_gang_of_an_earlier_owner_gets_one_new_attempt(self):
        self.host("agent-1")
        self.scheduler.directory_known = True
        stored = Progress(2, JobState.RUNNING, {}, {}, {"0.0.1": 7})
        gang = StepSpec(2, cpu=500, gang=True)
        owned = self.add_job(job(steps=(gang,)), inherited=True, progress=stored)
        self.assertEqual(len(self.place()), 2)
        attempts = {task.attempt for task in owned.tasks()}
        self.assertEqual(attempts, {self.first_attempt()})

    def test_end_that_an_earlier_owner_stored_counts_once(self):
        host = self.host("agent-1")
        stored = Progress(2, JobState.RUNNING, {}, {"0.0.0": [1, 2]}, {"0.0.0": 2})
        owned = self.add_job(job(steps=(SMALL,)), inherited=True, progress=stored)
        self.end(host, "job-1.0.0.0", 2, EndReason.FAILED)
        self.assertEqual(owned.tasks()[0].failed_attempts, {1, 2})
        self.assertIs(owned.state, JobState.RUNNING)
        self.end(host, "job-1.0.0.0", 3, EndReason.FAILED, number=2)
        self.assertIs(owned.state, JobState.FAILED)

    def test_failed_ends_count_in_any_order_of_reports(self):
        """After a takeover, agents may report the newest end first."""
        first, second = self.host("agent-1"), self.host("agent-2")
        owned = self.add_job(job(steps=(SMALL,)), inherited=True)
        self.end(first, "job-1.0.0.0", 3, EndReason.FAILED, number=1)
        self.end(second, "job-1.0.0.0", 1, EndReason.FAILED, number=1)
        self.assertIs(owned.state, JobState.QUEUED)
        self.end(second, "job-1.0.0.0", 2, EndReason.FAILED, number=2)
        self.assertIs(owned.state, JobState.FAILED)

    def test_counted_failures_are_stored(self):
        host = self.host("agent-1")
        owned = self.add_job(job(steps=(SMALL,)))
        self.end(host, "job-1.0.0.0", 2, EndReason.FAILED, number=1)
        self.end(host, "job-1.0.0.0", 4, EndReason.STOPPED, number=2)
        progress = owned.progress(3)
        self.assertEqual(progress.failures, {"0.0.0": [2]})
        self.assertEqual(progress.attempts, {"0.0.0": 4})


class RunTests(SchedulerTestCase):
    def started(self, **more):
        host = self.host("agent-1")
        owned = self.add_job(job(steps=(StepSpec(1, cpu=500, **more),)))
        self.place()
        return host, owned, owned.tasks()[0]

    def test_report_from_before_the_order_does_not_lose_the_run(self):
        host, _owned, task = self.started()
        self.report(host, last_order=0)
        self.assertEqual(len(task.runs), 1)
        self.report(host, last_order=1)
        self.assertEqual(task.runs, [])

    def test_silent_host_keeps_its_runs_until_the_lease_has_lapsed(self):
        host, _owned, task = self.started()
        host.extend_lease(self.now, TASK_LEASE_S)
        self.scheduler.cluster.end_stream(host)
        self.now += TASK_LEASE_S
        self.assertEqual(self.scheduler.drop_lapsed_hosts(self.now), [])
        self.now += LEASE_MARGIN_S
        self.assertEqual(self.scheduler.drop_lapsed_hosts(self.now), ["agent-1"])
        self.assertEqual(task.runs, [])

    def test_start_without_an_answer_outlives_the_lease(self):
        """An executor that had started again carried it out; its clock began anew, so
        that the deadline in the call did not prevent it. That a repeat of the call was
        answered, and the run listed, tells nothing of the call itself.
        """
        for survived_s in (0.0, 0.1):
            with self.subTest(survived_s=survived_s):
                self.setUp()
                host, _owned, task = self.started()
                (run,) = task.runs
                row = RunningRow(str(task.id), run.attempt, "", 0)
                self.report(
                    host, [row], survival_times_s=[survived_s], may_start_late=[True]
                )
                host.extend_lease(self.now, TASK_LEASE_S)
                self.scheduler.cluster.end_stream(host)
                self.now = run.placed_at + START_WITHIN_S + LATE_CALL_S + 10
                self.assertEqual(self.scheduler.drop_lapsed_hosts(self.now), [])
                self.assertEqual(task.runs, [run])
                self.now = run.placed_at + UNCONFIRMED_FOR_S
                self.assertEqual(
                    self.scheduler.drop_lapsed_hosts(self.now), ["agent-1"]
                )
                self.assertEqual(task.runs, [])

    def test_answered_start_ends_with_the_lease(self):
        """The task of a machine that was lost just after the start waited 28 s."""
        for survived_s in (0.0, 0.1):
            with self.subTest(survived_s=survived_s):
                self.setUp()
                host, _owned, task = self.started()
                (run,) = task.runs
                row = RunningRow(str(task.id), run.attempt, "", 0)
                for late in (True, False):
                    self.report(
                        host,
                        [row],
                        survival_times_s=[survived_s],
                        may_start_late=[late],
                    )
                host.extend_lease(self.now, TASK_LEASE_S)
                self.scheduler.cluster.end_stream(host)
                self.now += TASK_LEASE_S + LEASE_MARGIN_S
                self.assertEqual(
                    self.scheduler.drop_lapsed_hosts(self.now), ["agent-1"]
                )
                self.assertEqual(task.runs, [])

    def test_start_without_an_answer_is_settled_by_the_next_complete_report(self):
        host, _owned, task = self.started()
        (run,) = task.runs
        row = RunningRow(str(task.id), run.attempt, "", 0)
        self.report(host, [row], may_start_late=[True])
        host.extend_lease(self.now, TASK_LEASE_S)
        self.scheduler.cluster.end_stream(host)
        self.now += TASK_LEASE_S + LEASE_MARGIN_S
        self.scheduler.drop_lapsed_hosts(self.now)
        self.assertEqual(task.runs, [run])
        self.scheduler.cluster.begin_stream(host)
        self.report(host)
        self.assertEqual(task.runs, [])

    def test_restarted_executor_keeps_the_runs_that_its_agent_still_reports(self):
        """They were marked as lost and adopted again within one report."""
        host, _owned, task = self.started()
        (run,) = task.runs
        row = RunningRow(str(task.id), run.attempt, "", 0)
        self.report(host, [row], survival_times_s=[0.1])
        self.assertFalse(run.may_start_late)
        self.report(
            host,
            [row],
            may_start_late=[True],
            complete=False,
            incarnation="agent-1@2",
        )
        self.assertEqual(task.runs, [run])
        self.assertTrue(run.may_start_late)

    def test_restarted_executor_has_lost_its_runs(self):
        host, _owned, task = self.started()
        self.report(host, incarnation="agent-1@2")
        self.assertEqual(task.runs, [])

    def test_run_that_may_go_on_after_a_crash_is_not_started_again(self):
        """The executor's next incarnation, with the same id, may have started it."""
        host = self.host("agent-1")
        self.add_job(job(steps=(StepSpec(1, cpu=500, memory_mb=100),)))
        self.place()
        for ended, runs in ((False, 1), (True, 0)):
            row = messages.CrashedRun("job-1.0.0.0", 1, 0.0, ended)
            crash = messages.ExecutorCrashed(
                host.executor.incarnation, self.now, 0.1, True, [row]
            )
            self.scheduler.handle_crash(host, crash, self.now, self.now_ms())
            self.assertEqual(len(host.runs), runs)

    def test_newest_checkpoint_is_carried_to_the_next_attempt(self):
        host, _owned, task = self.started(saves_checkpoints=True)
        self.report(host, runs=[RunningRow("job-1.0.0.0", 1, "abc", 40)])
        self.report(host, incarnation="agent-1@2")
        self.place()
        order = self.scheduler.cluster.outbox[0][1]
        self.assertEqual((order.attempt, order.checkpoint), (2, "abc"))

    def test_resources_are_freed_only_when_the_end_is_listed(self):
        host = self.host("agent-1", cpu=500)
        first = self.add_job(job("job-1", steps=(StepSpec(1, cpu=500),)))
        self.place()
        self.scheduler.finish_job(first, JobState.CANCELLED, self.now, self.now_ms())
        self.add_job(job("job-2", steps=(StepSpec(1, cpu=500),)))
        self.assertEqual(self.place(), [])
        self.end(host, "job-1.0.0.0", reason=EndReason.STOPPED)
        self.assertEqual(self.place(), [("agent-1", "job-2.0.0.0")])

    def report_percent(self, host, percent, seconds):
        self.now += seconds
        row = RunningRow("job-1.0.0.0", 1, "", percent)
        self.report(host, runs=[row])
        self.scheduler.stop_stalled_runs(self.now)

    def test_stalled_task_is_moved(self):
        host, _owned, task = self.started()
        other = self.host("agent-2")
        self.report_percent(host, 30, 0.5)
        self.report_percent(host, 30, 1.0)
        self.assertIsNone(task.runs[0].last_stop_ordered_at)
        self.report_percent(host, 30, 1.2)
        self.assertIsNotNone(task.runs[0].last_stop_ordered_at)
        self.end(host, "job-1.0.0.0", reason=EndReason.STOPPED)
        self.report(other)
        self.assertEqual(self.place(), [("agent-2", "job-1.0.0.0")])

    def test_slow_task_is_not_moved(self):
        host, _owned, task = self.started()
        for percent in range(1, 9):
            self.report_percent(host, percent, 1.5)
        self.assertIsNone(task.runs[0].last_stop_ordered_at)

    def test_long_running_and_best_effort_tasks_do_not_count_as_stalled(self):
        for more in ({"long_running": True}, {"best_effort": True}):
            self.setUp()
            host, _owned, task = self.started(**more)
            for _ in range(4):
                self.report_percent(host, 100 if "long_running" in more else 0, 1.5)
            self.assertIsNone(task.runs[0].last_stop_ordered_at)

    def test_best_effort_tasks_of_one_round_share_the_unused_cpu(self):
        self.host("agent-1")
        best_effort = StepSpec(
            3, cpu=1800, memory_mb=10, best_effort=True, image="match"
        )
        self.add_job(job(steps=(best_effort,)))
        self.assertEqual(len(self.place()), 2)

    def test_cpu_of_throttled_runs_is_not_promised_to_others(self):
        """Tasks were placed on hosts where those before them stood still."""
        host = self.host("agent-1")
        step = StepSpec(4, cpu=1000, memory_mb=100, best_effort=True)
        self.add_job(job("first", [step]))
        self.assertEqual(len(self.place()), 4)
        self.now += 1
        rows = [RunningRow(*key, "", 10, 0) for key in host.runs]
        self.report(host, rows)
        self.add_job(job("second", [step]))
        self.assertEqual(self.place(), [])

    def test_cpu_of_runs_that_wait_for_headroom_is_offered_to_others(self):
        host = self.host("agent-1")
        serving = StepSpec(
            1, cpu=1000, memory_mb=100, long_running=True, target_ms=90, image="watch"
        )
        heavy = StepSpec(3, cpu=1000, memory_mb=100, best_effort=True, image="heavy")
        light = StepSpec(1, cpu=1000, memory_mb=100, best_effort=True, image="light")
        self.scheduler.interference.headroom_loss_per_core = {
            ("watch", "heavy"): 0.3,
            ("watch", "light"): 0.0,
        }
        self.add_job(job("serving", [serving]))
        self.add_job(job("first", [heavy]))
        self.assertEqual(len(self.place()), 4)
        self.now += 1
        rows = [RunningRow(*key, "", 10, 0) for key in host.runs]
        self.report(host, rows)
        self.add_job(job("second", [light]))
        self.assertEqual(self.place(), [("agent-1", "second.0.0.0")])

    def test_each_host_is_summarized_once_per_round(self):
        """Bounds the lookups of estimates while 20 steps wait for full hosts."""
        hosts, per_host, waiting = 4, 6, 20
        for number in range(hosts):
            self.host(f"agent-{number}", cpu=32000, memory_mb=128000)
        serving = StepSpec(
            hosts, cpu=20000, long_running=True, image="watch", target_ms=100
        )
        self.add_job(job("serving", steps=(serving,)))
        best_effort = StepSpec(
            hosts * per_host, cpu=3500, best_effort=True, image="match"
        )
        self.add_job(job("fillers", steps=(best_effort,)))
        self.place()
        self.now += 3
        for host in self.scheduler.cluster.hosts.values():
            host.last_heard_at = self.now
        for number in range(waiting):
            self.add_job(job(f"more-{number}", steps=(best_effort,)))
        lookups = []
        pairs = self.scheduler.interference.headroom_loss_per_core
        self.scheduler.interference.headroom_loss_per_core = CountingPairs(
            pairs, lookups
        )
        self.assertEqual(self.place(), [])
        summaries = hosts * per_host
        self.assertLessEqual(len(lookups), summaries + 2 * hosts * waiting)

    def test_strongly_interfering_task_goes_to_a_host_without_another(self):
        """Both hosts run a serving task, one also a task that interferes with it."""
        pairs = self.scheduler.interference.headroom_loss_per_core
        pairs["watch", "match"] = pairs["watch", "sort"] = 0.5
        serving = StepSpec(2, cpu=500, long_running=True, image="watch", target_ms=100)
        self.host("agent-1")
        self.host("agent-2")
        self.add_job(job("job-1", steps=(serving,)))
        self.assertEqual({host for host, _task in self.place()}, {"agent-1", "agent-2"})
        weak = StepSpec(1, cpu=1500, best_effort=True, image="match")
        self.add_job(job("job-2", steps=(weak,)))
        (first,) = self.place()
        strong = StepSpec(2, cpu=2000, best_effort=True, image="sort")
        self.add_job(job("job-3", steps=(strong,)))
        (second,) = self.place()
        self.assertNotEqual(second[0], first[0])

    def test_host_with_a_run_of_an_unknown_job_gets_no_starts(self):
        """The run uses unknown resources until it has stopped."""
        host = self.host("agent-1")
        self.add_job(job(steps=(SMALL,)))
        self.report(host, runs=[RunningRow("gone.0.0.0", 1, "", 10)])
        self.assertEqual(self.place(), [])
        self.report(host)
        self.assertEqual(len(self.place()), 2)

    def test_run_of_an_unknown_job_is_stopped(self):
        host = self.host("agent-1")
        self.scheduler.cluster.outbox.clear()
        self.report(host, runs=[RunningRow("other.0.0.0", 1, "", 5)])
        orders = [m for _h, m in self.scheduler.cluster.outbox]
        self.assertIn("other.0.0.0", [getattr(m, "task", "") for m in orders])

    def test_ends_of_an_incarnation_count_despite_higher_earlier_numbers(self):
        """Each executor incarnation numbers its ends from 1."""
        host, owned, _task = self.started()
        self.report(host, incarnation="agent-1@2")
        self.place()
        row = EndedRow(9, "other.0.0.0", 1, EndReason.DONE, "")
        late = messages.RunsEnded("agent-1@1", [row])
        self.scheduler.handle_ends(host, late, self.now, self.now_ms())
        self.end(host, "job-1.0.0.0", 2, number=1)
        self.assertIs(owned.state, JobState.COMPLETED)

    def test_ends_are_acknowledged_with_the_progress_that_covers_them(self):
        host, owned, _task = self.started()
        self.end(host, "job-1.0.0.0")
        self.assertIn("job-1", self.scheduler.unstored)
        self.assertEqual(self.scheduler.unacked["agent-1"][1], 1)
        self.assertIs(owned.progress(3).state, JobState.COMPLETED)

    def test_ends_whose_acknowledgement_was_lost_are_acknowledged_again(self):
        """The stream broke before EndsStored arrived; the next brings them again."""
        host, owned, task = self.started()
        self.end(host, "job-1.0.0.0", reason=EndReason.FAILED)
        self.end(host, "job-1.0.0.0", 2, EndReason.FAILED, number=2)
        self.scheduler.unacked.clear()
        self.scheduler.unstored.clear()
        self.scheduler.cluster.end_stream(host)
        self.scheduler.cluster.begin_stream(host)
        self.report(host)
        self.end(host, "job-1.0.0.0", reason=EndReason.FAILED)
        self.assertEqual(self.scheduler.unacked, {"agent-1": ("agent-1@1", 2)})
        self.assertEqual(self.scheduler.unstored, {})
        self.assertEqual(task.failed_attempts, {1, 2})
        self.assertIs(owned.state, JobState.RUNNING)

    def test_older_end_does_not_replace_a_newer_checkpoint(self):
        host, _owned, task = self.started(saves_checkpoints=True)
        self.end(host, "job-1.0.0.0", 2, EndReason.LAPSED, "new", 5)
        self.end(host, "job-1.0.0.0", 1, EndReason.STOPPED, "old", 6)
        self.assertEqual(task.checkpoint, "new")


class PlacementTests(SchedulerTestCase):
    def test_closed_domains_and_draining_hosts_get_no_starts(self):
        self.host("agent-1")
        self.host("agent-2", failure_domain="domain-b", draining=True)
        self.scheduler.constraints = Constraints(frozenset({"domain-a"}))
        self.add_job(job(steps=(SMALL,)))
        self.assertEqual(self.place(), [])

    def test_spread_limit_is_enforced(self):
        self.host("agent-1")
        self.host("agent-2")
        self.add_job(job(steps=(StepSpec(4, cpu=100, spread_limit=1),)))
        placed = self.place()
        self.assertEqual(sorted(name for name, _ in placed), ["agent-1", "agent-2"])

    def test_label_and_service_are_enforced(self):
        self.host("agent-1", labels=["kind-b", "rack-1"])
        self.host("agent-2", service="service-2")
        self.add_job(job(steps=(StepSpec(1, cpu=100, label="kind-a"),)))
        self.assertEqual(self.place(), [])

    def test_gang_starts_whole_or_not_at_all(self):
        host = self.host("agent-1", cpu=1000)
        self.add_job(job(steps=(StepSpec(3, cpu=500, gang=True),)))
        self.assertEqual(self.place(), [])
        self.assertEqual(host.reserved_cpu, 0)
        self.host("agent-2")
        self.assertEqual(len(self.place()), 3)

    def test_gang_is_done_when_one_member_is_done(self):
        host = self.host("agent-1")
        owned = self.add_job(job(steps=(StepSpec(3, cpu=500, gang=True),)))
        self.place()
        self.end(host, "job-1.0.0.1")
        self.assertIs(owned.state, JobState.COMPLETED)

    def test_occurrences_begin_when_they_are_due(self):
        self.host("agent-1")
        start_at_ms = self.now_ms() + 1000
        spec = job(steps=(SMALL,), start_at_ms=start_at_ms, period_ms=2000, times=2)
        self.add_job(spec)
        self.assertEqual(self.place(), [])
        self.now += 1.0
        self.report(self.scheduler.cluster.hosts["agent-1"])
        self.assertEqual(len(self.place()), 2)
        self.now += 2.0
        self.report(self.scheduler.cluster.hosts["agent-1"], last_order=0)
        found = [task for _host, task in self.place()]
        self.assertEqual(found, ["job-1.1.0.0", "job-1.1.0.1"])

    def test_lasting_tasks_are_spread_over_failure_domains(self):
        for number, domain in enumerate(("domain-a", "domain-b", "domain-c")):
            self.host(f"agent-{number}", failure_domain=domain)
            self.host(f"agent-{number}-x", failure_domain=domain)
        self.add_job(job(steps=(StepSpec(3, cpu=100, long_running=True),)))
        domains = {name[:7] for name, _ in self.place()}
        self.assertEqual(len(domains), 3)

    def test_orders_run_out_on_the_clock_of_the_agent(self):
        """An order counts from the agent's report, not from its arrival there."""
        host = self.host("agent-1")
        host.report_stamp = 7000.0
        self.now += 0.4
        self.add_job(job(steps=(SMALL,)))
        self.place()
        orders = [
            message
            for _host, message in self.scheduler.cluster.outbox
            if isinstance(message, messages.StartRun)
        ]
        for order in orders:
            self.assertAlmostEqual(order.start_before, 7000.4 + START_WITHIN_S)
        self.assertEqual(len(orders), 2)

    def test_serving_tasks_of_one_image_share_hosts(self):
        """Four images on sixteen hosts: batch tasks find hosts without a conflict."""
        for index in range(16):
            self.host(f"host-{index}", cpu=32_000, memory_mb=64_000)
        for number in range(8):
            step = StepSpec(
                12,
                cpu=3000,
                long_running=True,
                image=f"image-{number % 4}",
                target_ms=150,
            )
            self.add_job(job(f"serving-{number}", [step]))
        self.place()
        hosts = self.scheduler.cluster.hosts.values()
        images = [{run.task.step.image for run in h.runs.values()} for h in hosts]
        self.assertEqual(sum(len(host.runs) for host in hosts), 96)
        self.assertLess(sum(map(len, images)) / 16, 2)

    def test_a_host_runs_a_limited_share_of_a_serving_step(self):
        for index in range(8):
            self.host(f"host-{index}", cpu=64_000, memory_mb=64_000)
        step = StepSpec(24, cpu=2000, long_running=True, image="a", target_ms=150)
        self.add_job(job("serving", [step]))
        self.place()
        counts = [len(h.runs) for h in self.scheduler.cluster.hosts.values()]
        self.assertEqual(sum(counts), 24)
        self.assertLessEqual(max(counts), 24 * MAX_STEP_SHARE)

    def test_unknown_pairs_are_spread_over_hosts(self):
        for index in range(4):
            host = self.host(f"host-{index}", cpu=64_000, memory_mb=64_000)
            step = StepSpec(
                1, cpu=2000, long_running=True, image=f"i-{index}", target_ms=150
            )
            owned = self.add_job(job(f"serving-{index}", [step]))
            self.scheduler.cluster.add_run(owned.tasks()[0], 1, host, self.now)
        batch = StepSpec(12, cpu=3500, best_effort=True, image="new")
        self.add_job(job("batch", [batch]))
        self.assertEqual(len(self.place()), 12)
        counts = [len(h.runs) for h in self.scheduler.cluster.hosts.values()]
        self.assertEqual(counts, [4, 4, 4, 4])

    def test_starved_job_may_use_an_unsuitable_host(self):
        """Without this rule, best-effort tasks could wait for ever."""
        self.host("agent-1", cpu=1000)
        owned = self.add_job(job(steps=(StepSpec(2, cpu=4000, best_effort=True),)))
        self.assertEqual(self.place(), [])
        self.now += 1.3
        self.report(self.scheduler.cluster.hosts["agent-1"])
        self.assertEqual(len(self.place()), 1)
        self.assertEqual(owned.running, 1)


class OrderTests(SchedulerTestCase):
    def test_more_urgent_jobs_come_first(self):
        self.host("agent-1", cpu=500)
        step = StepSpec(1, cpu=500, estimate_ms=1000)
        longer = StepSpec(1, cpu=500, estimate_ms=60_000)
        for spec in (job("long", steps=(longer,)), job("short", steps=(step,))):
            self.add_job(msgspec.structs.replace(spec, accepted_at_ms=self.now_ms()))
        self.assertEqual(self.place(), [("agent-1", "short.0.0.0")])


class ChangingCapacityTests(SchedulerTestCase):
    def setUp(self):
        super().setUp()
        self.only_host = self.host("agent-1")
        self.add_job(job(steps=(StepSpec(8, cpu=1000, memory_mb=100),)))

    def list_runs(self):
        return [
            RunningRow(str(run.task.id), run.attempt, "", 10)
            for run in self.only_host.runs.values()
        ]

    def test_nothing_is_started_beyond_a_shrunk_capacity(self):
        self.assertEqual(len(self.place()), 4)
        self.report(self.only_host, self.list_runs(), cpu=2500)
        for task in ("job-1.0.0.0", "job-1.0.0.1"):
            self.end(self.only_host, task, number=int(task[-1]) + 1)
            self.now += 1
            self.report(self.only_host, self.list_runs(), cpu=2500)
            self.assertEqual(self.place(), [])
        self.assertEqual(len(self.only_host.runs), 2)
        self.end(self.only_host, "job-1.0.0.2", number=3)
        self.report(self.only_host, self.list_runs(), cpu=2500)
        self.assertEqual(len(self.place()), 1)

    def test_runs_beyond_a_shrunk_capacity_go_on(self):
        self.place()
        self.report(self.only_host, self.list_runs(), cpu=500, memory_mb=50)
        self.place()
        stops = [
            message
            for _host, message in self.scheduler.cluster.outbox
            if isinstance(message, messages.StopRun)
        ]
        self.assertEqual((stops, len(self.only_host.runs)), ([], 4))

    def test_run_that_is_being_stopped_counts_against_a_shrunk_capacity(self):
        self.place()
        run = next(iter(self.only_host.runs.values()))
        self.scheduler.cluster.stop(run, "test", self.now)
        self.report(self.only_host, self.list_runs(), cpu=4000)
        self.assertEqual(self.place(), [])

    def test_host_that_has_grown_takes_waiting_tasks_at_once(self):
        self.place()
        self.assertEqual(self.place(), [])
        self.report(self.only_host, self.list_runs(), cpu=6000)
        self.assertEqual(len(self.place()), 2)
