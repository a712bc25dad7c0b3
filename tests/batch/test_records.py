from __future__ import annotations

import math
import unittest

from rattanwing.batch import records
from rattanwing.batch.model import StepSpec
from rattanwing.batch.ports import StoredRecord
from rattanwing.batch.replica import WorkReplica
from rattanwing.batch.scheduler import Scheduler
from rattanwing.errors import RecordError
from tests.batch.world import job


class OddRecordTests(unittest.TestCase):
    """Records of the right types whose values ended the entries that read them."""

    def check_refused(self, key, value):
        with self.assertRaises(RecordError):
            records.decode(key, records.encode(value))

    def test_job_that_no_entry_accepts(self):
        for step in (
            StepSpec(1, after=(1,)),
            StepSpec(1, after=(-1,)),
            StepSpec(0),
            StepSpec(10**9),
            StepSpec(1, cpu=-1),
        ):
            with self.subTest(step=step):
                self.check_refused("job/job-1", job(steps=(StepSpec(1), step)))
        self.check_refused("job/job-1", job(steps=()))
        self.check_refused("job/job-1", job(times=2**60))

    def test_job_under_the_key_of_another(self):
        self.check_refused("job/job-2", job("job-1"))

    def test_epoch_beyond_the_range_of_fences(self):
        for epoch in (-1, 2**44, 2**63):
            with self.subTest(epoch=epoch):
                self.check_refused("owner", records.Owner(epoch, "odd", "odd"))
                self.check_refused("progress/job-1", records.Progress(epoch))
                self.check_refused(
                    "pressures", records.InterferenceEstimates(epoch, [])
                )

    def test_progress_with_numbers_that_executors_do_not_list(self):
        for number in (-1, 2**60):
            for progress in (
                records.Progress(1, attempts={"0.0.0": number}),
                records.Progress(1, failures={"0.0.0": [number]}),
                records.Progress(1, finished_at_ms=number),
            ):
                with self.subTest(progress=progress):
                    self.check_refused("progress/job-1", progress)

    def test_interference_that_is_no_number(self):
        for loss, squares in (
            (math.nan, 1.0),
            (math.inf, 1.0),
            (1.0, math.nan),
            (1.0, -11.0),
        ):
            with self.subTest(loss=loss, squares=squares):
                rows = [("serving", "batch", loss, squares)]
                value = records.InterferenceEstimates(1, rows)
                self.check_refused("pressures", value)

    def test_scheduler_goes_on_after_an_odd_job(self):
        replica = WorkReplica(lambda: 0.0)
        scheduler = Scheduler(1, 0.0)
        replica.on_job = lambda job_id: scheduler.update_job(
            replica.jobs[job_id], 0.0, 0
        )
        odd = job("odd", steps=(StepSpec(1, after=(7,)),))
        for offset, spec in enumerate((odd, job("job-1"))):
            key = f"job/{spec.job_id}"
            replica.apply(StoredRecord(key, records.encode(spec), offset))
        scheduler.place_waiting_tasks(0.0, 0)
        self.assertEqual(set(scheduler.jobs), {"job-1"})
