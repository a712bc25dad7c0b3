"""The state of one shard, folded from its stream: ownership, jobs and attempts."""

from __future__ import annotations

import zlib

import msgspec

from rattanwing.errors import MalformedError, RecordError, RejectedError
from rattanwing.jobs import records
from rattanwing.jobs.records import Job
from rattanwing.log.stream import Outcome
from rattanwing.util.codec import decode

MAX_KEPT_ENDED_JOBS = 2000
"""Ended jobs that a shard keeps; a further one drops the job that ended first."""

MAX_FAILURES = 3
"""Failed attempts of a repeatable job after which the job is held."""

ENDED_STATES = ("finished", "failed", "cancelled")
"""States of a job that will not run again; ``failed`` is not used."""

NO_EPOCH = -1
"""Epoch of a shard that no entry has claimed; no record has this offset."""

OWNER_RECORDS = (
    records.Claim,
    records.Renew,
    records.Release,
    records.Place,
    records.Stop,
    records.Finish,
)
"""Claims, and the records that only the owner of a shard appends."""

_decoder = msgspec.json.Decoder(records.AnyRecord)


class ShardState:
    """Ownership and jobs of a shard; the same in every process.

    The epoch is the offset of the latest accepted claim. Records of an owner carry its
    epoch and are refused if it is not the current one, which fences the late appends of
    an earlier owner.

    :param owner: id of the owner's process; empty before the first claim.
    :param last_owner_offset: offset of the latest accepted record of an owner.
    :param released: whether the owner has given up the shard.
    :param jobs: the open jobs, by id.
    :param jobs_by_state: the open jobs, by state and id.
    :param ended: the ended jobs that are still kept, by id, in the order of their ends.
    """

    __slots__ = (
        "epoch",
        "owner",
        "last_owner_offset",
        "released",
        "jobs",
        "jobs_by_state",
        "ended",
    )

    def __init__(self) -> None:
        self.epoch = NO_EPOCH
        self.owner = ""
        self.last_owner_offset = NO_EPOCH
        self.released = False
        self.jobs: dict[str, Job] = {}
        self.jobs_by_state: dict[str, dict[str, Job]] = {}
        self.ended: dict[str, Job] = {}

    def apply(self, offset: int, time: float, record: bytes) -> Outcome:
        """Apply one record; see :class:`rattanwing.log.stream.Fold`."""
        decoded = decode_record(record)
        try:
            self.apply_decoded(offset, time, decoded)
        except RejectedError as error:
            return Outcome(decoded.id, offset, error.rule, error.detail)
        if isinstance(decoded, OWNER_RECORDS):
            self.last_owner_offset = offset
        return Outcome(decoded.id, offset, None, job=record_job_id(decoded))

    def apply_decoded(self, offset: int, time: float, record: records.Record) -> None:
        """Apply one decoded record.

        :raises RejectedError: when a rule refuses the record.
        """
        match record:
            case records.Claim():
                self.apply_claim(offset, record)
            case records.Renew(epoch=epoch):
                self.check_epoch(epoch)
            case records.Release(epoch=epoch):
                self.check_epoch(epoch)
                self.released = True
            case records.Submit(spec=spec):
                self.apply_submit(time, spec)
            case records.Cancel(job=job):
                self.apply_cancel(time, job)
            case records.Place():
                self.apply_place(record)
            case records.Stop():
                self.apply_stop(time, record)
            case records.Finish():
                self.apply_finish(time, record)
            case records.Resume(job=job):
                self.apply_resume(job)
            case records.ShardSnapshot():
                pass

    def apply_claim(self, offset: int, claim: records.Claim) -> None:
        """Give the shard to the claiming entry and start a new epoch.

        Of several claims that expect the same epoch, the one with the lowest offset is
        accepted. A claim is also refused if its author has not read the owner's latest
        record, because the owner was then still alive.

        :raises RejectedError: with the rule ``epoch-conflict`` or ``owner-alive``.
        """
        if claim.expected != self.epoch:
            raise RejectedError("epoch-conflict", f"the epoch is {self.epoch}")
        if claim.heard != self.last_owner_offset:
            raise RejectedError(
                "owner-alive", f"the owner wrote at {self.last_owner_offset}"
            )
        self.epoch = offset
        self.owner = claim.owner
        self.released = False

    def check_epoch(self, epoch: int) -> None:
        """Refuse a record of an owner that was replaced or has released the shard.

        :raises RejectedError: with the rule ``stale-epoch``.
        """
        if epoch != self.epoch or self.released:
            raise RejectedError("stale-epoch", f"the epoch is {self.epoch}")

    def apply_submit(self, time: float, spec: records.JobSpec) -> None:
        """Add a job; a repeated submission of the same job changes nothing.

        :raises RejectedError: with the rule ``job-exists`` if the id belongs to a job
            with another specification.
        """
        existing = self.find(spec.id)
        if existing is None:
            self.add_open_job(Job(spec, time))
            return
        if existing.spec != spec:
            raise RejectedError("job-exists", f"another job is named {spec.id}")

    def apply_cancel(self, time: float, job_id: str) -> None:
        """Cancel a job, or mark a placed one so that the owner stops it first."""
        job = self.get_open_job(job_id)
        job.cancel_asked = True
        if job.state in ("pending", "held"):
            self.end_job(job, "cancelled", time)

    def apply_place(self, place: records.Place) -> None:
        """Place the next attempt of a pending job.

        :raises RejectedError: with the rule ``stale-attempt`` if the job is not pending
            or the attempt's number is not the next one.
        """
        self.check_epoch(place.epoch)
        job = self.get_open_job(place.job)
        if job.state != "pending" or place.attempt != job.attempt + 1:
            detail = f"{job.state} at attempt {job.attempt}"
            raise RejectedError("stale-attempt", detail)
        self.set_state(job, "placed")
        job.attempt = place.attempt
        job.worker = place.worker
        job.incarnation = place.incarnation
        job.placed_epoch = place.epoch
        job.granted_cpu = place.cpu or job.spec.cpu

    def apply_stop(self, time: float, stop: records.Stop) -> None:
        """End the latest attempt and make the job pending, held or cancelled.

        A stop with a checkpoint is accepted even if the attempt was recorded as stopped
        before, as long as no later attempt was placed. A job that must not run twice is
        held if the attempt may have run and left no checkpoint.
        """
        self.check_epoch(stop.epoch)
        has_checkpoint = stop.checkpoint is not None
        states = ("placed", "held", "pending") if has_checkpoint else ("placed",)
        job = self.get_job_at_attempt(stop.job, stop.attempt, states)
        job.reason = stop.reason
        if stop.checkpoint is not None:
            job.checkpoint = stop.checkpoint
            job.progress_s = stop.progress_s
        if job.cancel_asked:
            return self.end_job(job, "cancelled", time)
        uncertain = stop.ran and stop.checkpoint is None
        if uncertain and not job.spec.repeatable:
            return self.set_state(job, "held")
        return self.set_state(job, "pending")

    def apply_finish(self, time: float, finish: records.Finish) -> None:
        """Finish the job, or count a failure and make it pending, held or cancelled.

        The record is accepted even if the attempt was recorded as stopped before, as
        long as no later attempt was placed. A failed job is held if it must not run
        twice or has failed ``MAX_FAILURES`` times. A failure counts once.

        :raises RejectedError: with the rule ``stale-attempt``.
        """
        self.check_epoch(finish.epoch)
        states = ("placed", "held", "pending")
        job = self.get_job_at_attempt(finish.job, finish.attempt, states)
        if not finish.ok and job.failed_attempt == finish.attempt:
            raise RejectedError("stale-attempt", f"attempt {finish.attempt} has failed")
        job.reason = finish.detail
        if finish.ok:
            return self.end_job(job, "finished", time)
        job.failed_attempt = finish.attempt
        job.failures += 1
        job.failed_workers = [*job.failed_workers, job.worker]
        if job.cancel_asked:
            return self.end_job(job, "cancelled", time)
        if not job.spec.repeatable or job.failures >= MAX_FAILURES:
            return self.set_state(job, "held")
        return self.set_state(job, "pending")

    def apply_resume(self, job_id: str) -> None:
        """Make a held job pending and reset its count of failures.

        :raises RejectedError: with the rule ``not-held`` if the job is in another
            state.
        """
        job = self.get_open_job(job_id)
        if job.state != "held":
            raise RejectedError("not-held", f"the job is {job.state}")
        self.set_state(job, "pending")
        job.failures = 0

    def get_open_job(self, job_id: str) -> Job:
        """Return the open job with this id.

        :raises RejectedError: with the rule ``job-ended`` or ``unknown-job``.
        """
        if job_id in self.ended:
            raise RejectedError("job-ended", f"{job_id} has ended")
        if job_id not in self.jobs:
            raise RejectedError("unknown-job", f"there is no job {job_id}")
        return self.jobs[job_id]

    def get_job_at_attempt(
        self, job_id: str, attempt: int, states: tuple[str, ...]
    ) -> Job:
        """Return an open job if its latest attempt and its state match.

        :param attempt: number that the latest attempt must have.
        :param states: the states that the job may be in.
        :raises RejectedError: with the rule ``stale-attempt`` if one does not match.
        """
        job = self.get_open_job(job_id)
        if job.attempt != attempt or job.state not in states:
            detail = f"{job.state} at attempt {job.attempt}"
            raise RejectedError("stale-attempt", detail)
        return job

    def end_job(self, job: Job, state: str, time: float) -> None:
        """Move an open job to an ended state and drop the oldest ended job if needed.

        :param time: when the job ended, in seconds since the Unix epoch.
        """
        del self.jobs_by_state[job.state][job.spec.id]
        del self.jobs[job.spec.id]
        job.state = state
        job.ended_at = time
        self.ended[job.spec.id] = job
        if len(self.ended) > MAX_KEPT_ENDED_JOBS:
            del self.ended[next(iter(self.ended))]

    def add_open_job(self, job: Job) -> None:
        """Add an open job to the indexes."""
        self.jobs[job.spec.id] = job
        self.jobs_by_state.setdefault(job.state, {})[job.spec.id] = job

    def set_state(self, job: Job, state: str) -> None:
        """Move an open job to another open state."""
        del self.jobs_by_state[job.state][job.spec.id]
        job.state = state
        self.jobs_by_state.setdefault(state, {})[job.spec.id] = job

    def find(self, job_id: str) -> Job | None:
        """Return an open or ended job, or ``None`` if it is not known."""
        return self.jobs.get(job_id) or self.ended.get(job_id)

    def jobs_in_state(self, state: str) -> list[Job]:
        """Return the open jobs in one state."""
        return list(self.jobs_by_state.get(state, {}).values())

    def snapshot_offset(self, record: bytes) -> int | None:
        """Return a snapshot's ``upto``, or ``None`` for a record of another kind."""
        if b'"snapshot"' not in record[:64]:
            return None
        decoded = decode_record(record)
        return decoded.upto if isinstance(decoded, records.ShardSnapshot) else None

    def load_snapshot(self, record: bytes) -> None:
        """Replace the state with the content of a snapshot record."""
        snapshot = decode_record(record)
        self.epoch = snapshot.epoch
        self.owner = snapshot.owner
        self.last_owner_offset = snapshot.heard
        self.released = snapshot.released
        jobs = {job.spec.id: job for job in snapshot.jobs}
        self.jobs = {}
        self.jobs_by_state = {}
        for job in jobs.values():
            if job.state not in ENDED_STATES:
                self.add_open_job(job)
        self.ended = {k: v for k, v in jobs.items() if v.state in ENDED_STATES}

    def make_snapshot(self, record_id: str, end_offset: int) -> bytes:
        """Return a snapshot record of the state.

        :param end_offset: offset of the first record that the state does not include.
        """
        jobs = [*self.jobs.values(), *self.ended.values()]
        snapshot = records.ShardSnapshot(
            record_id,
            end_offset,
            self.epoch,
            self.owner,
            self.last_owner_offset,
            self.released,
            jobs,
        )
        return records.encode_record(snapshot)


def record_job_id(record: records.Record) -> str | None:
    """Return the id of the job that a record changes, or ``None``."""
    if isinstance(record, records.Submit):
        return record.spec.id
    return getattr(record, "job", None)


def decode_record(record: bytes) -> records.Record:
    """Decode a record of a shard's stream.

    :raises RecordError: when the record does not parse.
    """
    try:
        return decode(_decoder, record)
    except MalformedError as error:
        raise RecordError(str(error)) from error


def shard_of(job_id: str, shards: int) -> int:
    """Return the number of the shard that holds a job.

    CRC-32 gives the same result in every process, unlike ``hash``.

    :param shards: number of shards.
    """
    return zlib.crc32(job_id.encode()) % shards
