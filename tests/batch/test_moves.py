from __future__ import annotations

import msgspec

from rattanwing.batch.model import StepSpec
from rattanwing.batch.moves import MAX_MOVES_PER_TASK, MOVE_AFTER_S, choose_moves
from rattanwing.batch.ports import EndReason, RunningRow
from tests.batch.test_scheduler import SchedulerTestCase
from tests.batch.world import job

HOST_CPU = 16_000
SERVING = StepSpec(1, cpu=4000, long_running=True, image="watch", target_ms=150)
BATCH = StepSpec(1, cpu=3000, best_effort=True, image="match", saves_checkpoints=True)


class MoveTests(SchedulerTestCase):
    """A batch run beside a serving task that it interferes with, found out later."""

    def setUp(self):
        super().setUp()
        self.scheduler.directory_known = True
        self.busy = self.host("busy", cpu=HOST_CPU)
        self.add_job(job("serving", [SERVING]))
        self.place()
        self.add_job(job("batch", [BATCH]))
        self.place()
        (self.run,) = [
            run for run in self.busy.runs.values() if run.task.step.best_effort
        ]
        self.free = self.host("free", cpu=HOST_CPU)
        self.learn(0.2)

    def learn(self, loss):
        pairs = self.scheduler.interference.headroom_loss_per_core
        pairs["watch", "match"] = loss

    def throttle(self, used=0, checkpoint="half", percent=50):
        """Report the batch run's CPU use until it may be moved."""
        for _ in range(2):
            rows = [
                RunningRow(
                    str(run.task.id),
                    run.attempt,
                    checkpoint if run is self.run else "",
                    percent,
                    used if run is self.run else 40,
                )
                for run in self.busy.runs.values()
            ]
            self.report(self.busy, rows, last_order=99, cpu=HOST_CPU)
            self.report(self.free, (), cpu=HOST_CPU)
            self.now += MOVE_AFTER_S + 0.1
        self.report(self.free, (), cpu=HOST_CPU)

    def moves(self):
        hosts = list(self.scheduler.cluster.hosts.values())
        scheduler = self.scheduler
        return choose_moves(
            hosts, scheduler.constraints, scheduler.interference, self.now
        )

    def test_a_throttled_run_moves_to_a_host_without_conflict(self):
        self.throttle()
        self.assertEqual(self.moves(), [(self.run, self.free)])
        self.scheduler.move_throttled_runs(self.now)
        self.assertIsNotNone(self.run.last_stop_ordered_at)
        self.assertEqual(self.moves(), [])
        task = str(self.run.task.id)
        self.end(self.busy, task, reason=EndReason.STOPPED, checkpoint="half")
        self.place()
        (later,) = self.run.task.runs
        self.assertIs(later.host, self.free)
        self.assertEqual(later.task.checkpoint, "half")

    def test_a_run_at_work_stays(self):
        self.throttle(used=2500)
        self.assertEqual(self.moves(), [])

    def test_a_run_stays_while_it_was_throttled_only_for_a_moment(self):
        self.throttle()
        self.now = self.run.throttled_since + MOVE_AFTER_S - 0.1
        self.assertEqual(self.moves(), [])

    def test_a_run_stays_where_no_host_is_better(self):
        """The other host serves an image that suffers, or may suffer."""
        self.throttle()
        for image in ("watch", "unseen"):
            with self.subTest(image=image):
                step = StepSpec(
                    1, cpu=4000, long_running=True, image=image, target_ms=150
                )
                owned = self.add_job(job(f"more-{image}", [step]))
                run = self.scheduler.cluster.add_run(
                    owned.tasks()[0], 1, self.free, self.now
                )
                self.assertEqual(self.moves(), [])
                self.scheduler.cluster.release(run, self.now, has_run=True)
                self.assertEqual(self.moves(), [(self.run, self.free)])

    def test_a_run_stays_where_other_hosts_would_not_be_given_its_task(self):
        """Headroom is left there, but best-effort runs may take no more of it."""
        self.learn(0.15)
        self.throttle()
        owned = self.add_job(job("more", [SERVING]))
        add_run = self.scheduler.cluster.add_run
        run = add_run(owned.tasks()[0], 1, self.free, self.now)
        run.measurement = SERVING.target_ms // 6
        first, second = self.add_job(
            job("others", [msgspec.structs.replace(BATCH, count=2)])
        ).tasks()
        add_run(first, 1, self.free, self.now)
        self.assertEqual(self.moves(), [(self.run, self.free)])
        add_run(second, 1, self.free, self.now)
        self.assertEqual(self.moves(), [])

    def test_a_full_or_draining_host_takes_no_moved_run(self):
        self.throttle()
        self.report(self.free, (), cpu=2000)
        self.assertEqual(self.moves(), [])
        self.report(self.free, (), cpu=HOST_CPU, draining=True)
        self.assertEqual(self.moves(), [])

    def test_work_without_a_checkpoint_is_not_thrown_away(self):
        self.run.task.step = msgspec.structs.replace(BATCH, saves_checkpoints=False)
        self.throttle(percent=50)
        self.assertEqual(self.moves(), [])
        self.throttle(percent=10)
        self.assertEqual(self.moves(), [(self.run, self.free)])

    def test_a_task_is_not_moved_for_ever(self):
        self.throttle()
        self.run.task.moves = MAX_MOVES_PER_TASK
        self.assertEqual(self.moves(), [])
