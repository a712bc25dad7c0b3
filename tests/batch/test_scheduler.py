from __future__ import annotations

import unittest

import msgspec

from rattanwing.batch import messages
from rattanwing.batch.model import JobState, StepSpec
from rattanwing.batch.placement import Constraints
from rattanwing.batch.ports import EndedRow, EndReason, ExecutorView, RunningRow
from rattanwing.batch.records import Progress
from rattanwing.batch.replica import JobView
from rattanwing.batch.scheduler import Scheduler
from rattanwing.batch.timing import LEASE_MARGIN_S, TASK_LEASE_S
from tests.batch.world import job

SMALL = StepSpec(2, cpu=500, memory_mb=100, estimate_ms=1000)


def view(name, domain="domain-a", **changes):
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


class CountedPairs(dict):
    """Learnt pairs that note each question."""

    def __init__(self, pairs, asked):
        super().__init__(pairs)
        self.asked = asked

    def get(self, pair, default=None):
        self.asked.append(pair)
        return super().get(pair, default)


class SchedulerTestCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.scheduler = Scheduler(3, self.now)

    def now_ms(self):
        return int(self.now * 1000)

    def host(self, name, **changes):
        ledger = self.scheduler.ledger
        host = ledger.add_host(name, self.now)
        ledger.host_connected(host)
        self.report(host, **changes)
        return host

    def report(self, host, runs=(), seen=None, certain=True, **changes):
        seen = host.next_order - 1 if seen is None else seen
        executor = view(host.name, **changes)
        report = messages.HostReport(self.now, seen, executor, list(runs), certain)
        self.scheduler.take_report(host, report, self.now, self.now_ms())

    def take(self, spec, inherited=False, progress=None):
        found = JobView(spec)
        found.progress = progress or found.progress
        self.scheduler.take_job(found, self.now, self.now_ms(), inherited)
        return self.scheduler.jobs.get(spec.job_id)

    def plan(self):
        """Return the orders of one round, by kind."""
        self.scheduler.ledger.outbox.clear()
        self.scheduler.check_settled(self.now)
        self.scheduler.plan(self.now, self.now_ms())
        return [
            (host.name, message.task)
            for host, message in self.scheduler.ledger.outbox
            if isinstance(message, messages.StartRun)
        ]

    def end(self, host, task, attempt=1, ending=EndReason.DONE, saved="", number=1):
        told = messages.RunsEnded(
            host.executor.incarnation, [EndedRow(number, task, attempt, ending, saved)]
        )
        self.scheduler.take_ends(host, told, self.now, self.now_ms())


class TakeoverTests(SchedulerTestCase):
    def test_inherited_tasks_wait_for_every_agent(self):
        first = self.host("agent-1")
        second = self.scheduler.ledger.add_host("agent-2", self.now)
        self.take(job(steps=(SMALL,)), inherited=True)
        self.assertEqual(self.plan(), [])
        self.scheduler.directory_known = True
        self.assertEqual(self.plan(), [])
        self.scheduler.ledger.host_connected(second)
        self.report(second, runs=[RunningRow("job-1.0.0.0", 1, "", 10)])
        self.assertEqual([task for _host, task in self.plan()], ["job-1.0.0.1"])
        self.assertEqual(len(first.runs), 1)

    def test_new_jobs_do_not_wait(self):
        self.host("agent-1")
        self.scheduler.ledger.add_host("agent-2", self.now)
        self.take(job(steps=(SMALL,)))
        self.assertEqual(len(self.plan()), 2)

    def test_silent_agents_are_waited_for_one_lease(self):
        self.host("agent-1")
        self.scheduler.ledger.add_host("agent-2", self.now)
        self.scheduler.directory_known = True
        owned = self.take(job(steps=(SMALL,)), inherited=True)
        self.now += TASK_LEASE_S + LEASE_MARGIN_S - 0.1
        self.assertEqual(self.plan(), [])
        self.now += 0.2
        self.report(self.scheduler.ledger.hosts["agent-1"])
        self.assertEqual(len(self.plan()), 2)
        attempts = {task.attempt for task in owned.tasks()}
        self.assertEqual(attempts, {2})

    def test_what_was_stored_is_not_run_again(self):
        self.host("agent-1")
        self.scheduler.directory_known = True
        done = Progress(2, JobState.RUNNING, {"0.0": b"\x01"}, {}, {"0.0.1": 4})
        owned = self.take(job(steps=(SMALL,)), inherited=True, progress=done)
        self.assertEqual(self.plan(), [("agent-1", "job-1.0.0.1")])
        self.assertEqual(owned.tasks()[1].attempt, 5)

    def test_end_that_an_earlier_owner_stored_counts_once(self):
        host = self.host("agent-1")
        stored = Progress(2, JobState.RUNNING, {}, {"0.0.0": [1, 2]}, {"0.0.0": 2})
        owned = self.take(job(steps=(SMALL,)), inherited=True, progress=stored)
        self.end(host, "job-1.0.0.0", 2, EndReason.FAILED)
        self.assertEqual(owned.tasks()[0].failed_attempts, {1, 2})
        self.assertIs(owned.state, JobState.RUNNING)
        self.end(host, "job-1.0.0.0", 3, EndReason.FAILED, number=2)
        self.assertIs(owned.state, JobState.FAILED)

    def test_failed_ends_count_in_whatever_order_agents_tell_them(self):
        """At a takeover, the newest end may be told first."""
        first, second = self.host("agent-1"), self.host("agent-2")
        owned = self.take(job(steps=(SMALL,)), inherited=True)
        self.end(first, "job-1.0.0.0", 3, EndReason.FAILED, number=1)
        self.end(second, "job-1.0.0.0", 1, EndReason.FAILED, number=1)
        self.assertIs(owned.state, JobState.QUEUED)
        self.end(second, "job-1.0.0.0", 2, EndReason.FAILED, number=2)
        self.assertIs(owned.state, JobState.FAILED)

    def test_counted_failures_are_stored(self):
        host = self.host("agent-1")
        owned = self.take(job(steps=(SMALL,)))
        self.end(host, "job-1.0.0.0", 2, EndReason.FAILED, number=1)
        self.end(host, "job-1.0.0.0", 4, EndReason.STOPPED, number=2)
        progress = owned.progress(3)
        self.assertEqual(progress.failures, {"0.0.0": [2]})
        self.assertEqual(progress.attempts, {"0.0.0": 4})


class RunTests(SchedulerTestCase):
    def started(self, **more):
        host = self.host("agent-1")
        owned = self.take(job(steps=(StepSpec(1, cpu=500, **more),)))
        self.plan()
        return host, owned, owned.tasks()[0]

    def test_report_from_before_the_order_does_not_lose_the_run(self):
        host, _owned, task = self.started()
        self.report(host, seen=0)
        self.assertEqual(len(task.runs), 1)
        self.report(host, seen=1)
        self.assertEqual(task.runs, [])

    def test_silent_host_keeps_its_runs_until_the_lease_has_lapsed(self):
        host, _owned, task = self.started()
        host.grant(self.now, TASK_LEASE_S)
        self.scheduler.ledger.host_lost(host)
        self.now += TASK_LEASE_S
        self.assertEqual(self.scheduler.check_lapses(self.now), [])
        self.now += LEASE_MARGIN_S
        self.assertEqual(self.scheduler.check_lapses(self.now), ["agent-1"])
        self.assertEqual(task.runs, [])

    def test_new_life_of_the_executor_has_lost_everything(self):
        host, _owned, task = self.started()
        self.report(host, incarnation="agent-1@2")
        self.assertEqual(task.runs, [])

    def test_newest_checkpoint_is_carried_to_the_next_attempt(self):
        host, _owned, task = self.started(checkpoint=True)
        self.report(host, runs=[RunningRow("job-1.0.0.0", 1, "abc", 40)])
        self.report(host, incarnation="agent-1@2")
        self.plan()
        order = self.scheduler.ledger.outbox[0][1]
        self.assertEqual((order.attempt, order.checkpoint), (2, "abc"))

    def test_room_is_free_only_when_the_end_is_listed(self):
        host = self.host("agent-1", cpu=500)
        first = self.take(job("job-1", steps=(StepSpec(1, cpu=500),)))
        self.plan()
        self.scheduler.finish(first, JobState.CANCELLED, self.now, self.now_ms())
        self.take(job("job-2", steps=(StepSpec(1, cpu=500),)))
        self.assertEqual(self.plan(), [])
        self.end(host, "job-1.0.0.0", ending=EndReason.STOPPED)
        self.assertEqual(self.plan(), [("agent-1", "job-2.0.0.0")])

    def report_percent(self, host, percent, seconds):
        self.now += seconds
        row = RunningRow("job-1.0.0.0", 1, "", percent)
        self.report(host, runs=[row])
        self.scheduler.check_stalls(self.now)

    def test_task_that_stands_still_is_moved(self):
        host, _owned, task = self.started()
        other = self.host("agent-2")
        self.report_percent(host, 30, 0.5)
        self.report_percent(host, 30, 1.0)
        self.assertIsNone(task.runs[0].stopping_since)
        self.report_percent(host, 30, 1.2)
        self.assertIsNotNone(task.runs[0].stopping_since)
        self.end(host, "job-1.0.0.0", ending=EndReason.STOPPED)
        self.report(other)
        self.assertEqual(self.plan(), [("agent-2", "job-1.0.0.0")])

    def test_task_that_goes_on_slowly_stays(self):
        host, _owned, task = self.started()
        for percent in range(1, 9):
            self.report_percent(host, percent, 1.5)
        self.assertIsNone(task.runs[0].stopping_since)

    def test_lasting_and_filling_tasks_do_not_count_as_standing_still(self):
        for more in ({"lasting": True}, {"fills": True}):
            self.setUp()
            host, _owned, task = self.started(**more)
            for _ in range(4):
                self.report_percent(host, 100 if "lasting" in more else 0, 1.5)
            self.assertIsNone(task.runs[0].stopping_since)

    def test_fillers_of_one_round_share_the_unused_room(self):
        self.host("agent-1")
        filler = StepSpec(3, cpu=1800, memory_mb=10, fills=True, image="match")
        self.take(job(steps=(filler,)))
        self.assertEqual(len(self.plan()), 2)

    def test_a_round_sums_up_each_host_once(self):
        """Counted by questions to what was learnt; 20 steps wait beside full hosts."""
        hosts, fillers, waiting = 4, 6, 20
        for number in range(hosts):
            self.host(f"agent-{number}", cpu=32000, memory_mb=128000)
        serving = StepSpec(hosts, cpu=20000, lasting=True, image="watch", target_ms=100)
        self.take(job("serving", steps=(serving,)))
        filler = StepSpec(hosts * fillers, cpu=3500, fills=True, image="match")
        self.take(job("fillers", steps=(filler,)))
        self.plan()
        self.now += 3
        for host in self.scheduler.ledger.hosts.values():
            host.heard_at = self.now
        for number in range(waiting):
            self.take(job(f"more-{number}", steps=(filler,)))
        asked = []
        learnt = self.scheduler.pressures.per_core
        self.scheduler.pressures.per_core = CountedPairs(learnt, asked)
        self.assertEqual(self.plan(), [])
        sums = hosts * fillers
        self.assertLessEqual(len(asked), sums + 2 * hosts * waiting)

    def test_a_filler_that_is_too_hard_beside_others_goes_where_it_is_alone(self):
        """Both hosts have a watcher, the first one also a filler that presses on it."""
        pairs = self.scheduler.pressures.per_core
        pairs["watch", "match"] = pairs["watch", "sort"] = 0.5
        serving = StepSpec(2, cpu=500, lasting=True, image="watch", target_ms=100)
        self.host("agent-1")
        self.host("agent-2")
        self.take(job("job-1", steps=(serving,)))
        self.assertEqual({host for host, _task in self.plan()}, {"agent-1", "agent-2"})
        light = StepSpec(1, cpu=1500, fills=True, image="match")
        self.take(job("job-2", steps=(light,)))
        (first,) = self.plan()
        hard = StepSpec(2, cpu=2000, fills=True, image="sort")
        self.take(job("job-3", steps=(hard,)))
        (second,) = self.plan()
        self.assertNotEqual(second[0], first[0])

    def test_nothing_starts_beside_a_run_of_an_unknown_job(self):
        """What is being stopped takes room, and nobody knows how much."""
        host = self.host("agent-1")
        self.take(job(steps=(SMALL,)))
        self.report(host, runs=[RunningRow("gone.0.0.0", 1, "", 10)])
        self.assertEqual(self.plan(), [])
        self.report(host)
        self.assertEqual(len(self.plan()), 2)

    def test_run_of_an_unknown_job_is_stopped(self):
        host = self.host("agent-1")
        self.scheduler.ledger.outbox.clear()
        self.report(host, runs=[RunningRow("other.0.0.0", 1, "", 5)])
        orders = [m for _h, m in self.scheduler.ledger.outbox]
        self.assertIn("other.0.0.0", [getattr(m, "task", "") for m in orders])

    def test_ends_of_a_life_count_whatever_was_told_of_the_life_before(self):
        """Each life numbers its ends from 1."""
        host, owned, _task = self.started()
        self.report(host, incarnation="agent-1@2")
        self.plan()
        row = EndedRow(9, "other.0.0.0", 1, EndReason.DONE, "")
        late = messages.RunsEnded("agent-1@1", [row])
        self.scheduler.take_ends(host, late, self.now, self.now_ms())
        self.end(host, "job-1.0.0.0", 2, number=1)
        self.assertIs(owned.state, JobState.COMPLETED)

    def test_ends_are_acknowledged_with_the_progress_that_covers_them(self):
        host, owned, _task = self.started()
        self.end(host, "job-1.0.0.0")
        self.assertIn("job-1", self.scheduler.unstored)
        self.assertEqual(self.scheduler.unacked["agent-1"][1], 1)
        self.assertIs(owned.progress(3).state, JobState.COMPLETED)

    def test_older_end_does_not_replace_a_newer_checkpoint(self):
        host, _owned, task = self.started(checkpoint=True)
        self.end(host, "job-1.0.0.0", 2, EndReason.LAPSED, "new", 5)
        self.end(host, "job-1.0.0.0", 1, EndReason.STOPPED, "old", 6)
        self.assertEqual(task.saved, "new")


class PlacementTests(SchedulerTestCase):
    def test_closed_domains_and_draining_hosts_get_nothing(self):
        self.host("agent-1")
        self.host("agent-2", failure_domain="domain-b", draining=True)
        self.scheduler.constraints = Constraints(frozenset({"domain-a"}))
        self.take(job(steps=(SMALL,)))
        self.assertEqual(self.plan(), [])

    def test_spread_limit_holds(self):
        self.host("agent-1")
        self.host("agent-2")
        self.take(job(steps=(StepSpec(4, cpu=100, spread_limit=1),)))
        placed = self.plan()
        self.assertEqual(sorted(name for name, _ in placed), ["agent-1", "agent-2"])

    def test_label_and_service_hold(self):
        self.host("agent-1", labels=["kind-b", "rack-1"])
        self.host("agent-2", service="service-2")
        self.take(job(steps=(StepSpec(1, cpu=100, label="kind-a"),)))
        self.assertEqual(self.plan(), [])

    def test_gang_starts_whole_or_not_at_all(self):
        host = self.host("agent-1", cpu=1000)
        self.take(job(steps=(StepSpec(3, cpu=500, gang=True),)))
        self.assertEqual(self.plan(), [])
        self.assertEqual(host.used_cpu, 0)
        self.host("agent-2")
        self.assertEqual(len(self.plan()), 3)

    def test_one_end_of_a_gang_ends_all(self):
        host = self.host("agent-1")
        owned = self.take(job(steps=(StepSpec(3, cpu=500, gang=True),)))
        self.plan()
        self.end(host, "job-1.0.0.1")
        self.assertIs(owned.state, JobState.COMPLETED)

    def test_occurrences_begin_when_they_are_due(self):
        self.host("agent-1")
        start_at_ms = self.now_ms() + 1000
        spec = job(steps=(SMALL,), start_at_ms=start_at_ms, period_ms=2000, times=2)
        self.take(spec)
        self.assertEqual(self.plan(), [])
        self.now += 1.0
        self.report(self.scheduler.ledger.hosts["agent-1"])
        self.assertEqual(len(self.plan()), 2)
        self.now += 2.0
        self.report(self.scheduler.ledger.hosts["agent-1"], seen=0)
        found = [task for _host, task in self.plan()]
        self.assertEqual(found, ["job-1.1.0.0", "job-1.1.0.1"])

    def test_lasting_tasks_are_spread_over_failure_domains(self):
        for number, domain in enumerate(("domain-a", "domain-b", "domain-c")):
            self.host(f"agent-{number}", failure_domain=domain)
            self.host(f"agent-{number}-x", failure_domain=domain)
        self.take(job(steps=(StepSpec(3, cpu=100, lasting=True),)))
        domains = {name[:7] for name, _ in self.plan()}
        self.assertEqual(len(domains), 3)

    def test_job_without_a_run_takes_any_host_that_has_the_room(self):
        """Nothing suits: fillers may not wait for ever."""
        self.host("agent-1", cpu=1000)
        owned = self.take(job(steps=(StepSpec(2, cpu=4000, fills=True),)))
        self.assertEqual(self.plan(), [])
        self.now += 1.3
        self.report(self.scheduler.ledger.hosts["agent-1"])
        self.assertEqual(len(self.plan()), 1)
        self.assertEqual(owned.running, 1)


class OrderTests(SchedulerTestCase):
    def test_more_urgent_jobs_come_first(self):
        self.host("agent-1", cpu=500)
        step = StepSpec(1, cpu=500, estimate_ms=1000)
        longer = StepSpec(1, cpu=500, estimate_ms=60_000)
        for spec in (job("long", steps=(longer,)), job("short", steps=(step,))):
            self.take(msgspec.structs.replace(spec, accepted_at_ms=self.now_ms()))
        self.assertEqual(self.plan(), [("agent-1", "short.0.0.0")])
