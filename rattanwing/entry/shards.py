"""The job shards: their log streams, folded state and changes to jobs."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from rattanwing.errors import RejectedError
from rattanwing.jobs import records
from rattanwing.jobs.shard import ShardState, shard_of
from rattanwing.log.stream import LogStream

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rattanwing.application import Application
    from rattanwing.log.stream import Outcome

SUBMIT_TIMEOUT_S = 5.0
"""Seconds to wait until a record about a job has been read back from the log."""


class Shard:
    """One shard: its log stream and the state folded from it."""

    __slots__ = ("number", "state", "stream")

    def __init__(self, number: int, stream: LogStream, state: ShardState) -> None:
        self.number = number
        self.stream = stream
        self.state = state

    async def commit(self, record: records.Record, timeout_s: float) -> Outcome:
        """Append a record and wait until it was read back and folded.

        :raises LogUnavailableError: when it was not read back in time; it may
            still take effect later.
        """
        payload = records.encode_record(record)
        return await self.stream.commit(record.id, payload, timeout_s)


class ShardService:
    """All job shards; any entry may submit, cancel and resume jobs of any shard."""

    __slots__ = ("app", "shards")

    def __init__(self, app: Application) -> None:
        self.app = app
        count = app.settings.entry.shards
        self.shards = [self.make_shard(number) for number in range(count)]

    def make_shard(self, number: int) -> Shard:
        """Return a shard with an empty state."""
        state = ShardState()
        interval = self.app.settings.entry.snapshot_interval_s
        log = self.app.get("log")
        stream = LogStream(log, f"shard-{number}", state, self.app.now, interval)
        return Shard(number, stream, state)

    def shard_of(self, job_id: str) -> Shard:
        """Return the shard that holds a job."""
        return self.shards[shard_of(job_id, len(self.shards))]

    async def submit(self, spec: records.JobSpec) -> None:
        """Submit a job and return once its record was read back and accepted.

        :raises RejectedError: when the job can never run or its id is taken.
        :raises LogUnavailableError: when the record was not read back in time; the
            job may still be accepted later.
        """
        self.app.get("scheduler").check_feasible(spec)
        record = records.Submit(f"submit-{spec.id}-{uuid.uuid4().hex}", spec)
        await self.commit_or_reject(spec.id, record)

    async def cancel(self, job_id: str, author: str) -> None:
        """Request the cancellation of a job; see :meth:`submit` for the errors."""
        record_id = f"cancel-{uuid.uuid4().hex}"
        await self.commit_or_reject(job_id, records.Cancel(record_id, job_id, author))

    async def resume(self, job_id: str, author: str) -> None:
        """Let a held job run again; see :meth:`submit` for the errors."""
        record_id = f"resume-{uuid.uuid4().hex}"
        await self.commit_or_reject(job_id, records.Resume(record_id, job_id, author))

    async def commit_or_reject(self, job_id: str, record: records.Record) -> None:
        """Commit a record about a job to the job's shard.

        :raises RejectedError: when the fold refuses the record.
        :raises LogUnavailableError: see :meth:`Shard.commit`.
        """
        outcome = await self.shard_of(job_id).commit(record, SUBMIT_TIMEOUT_S)
        if not outcome.accepted:
            raise RejectedError(outcome.rule, outcome.detail)

    def find(self, job_id: str) -> records.Job | None:
        """Return an open or ended job, or ``None`` if it is not known."""
        return self.shard_of(job_id).state.find(job_id)

    def all_jobs(self) -> Iterator[records.Job]:
        """Yield the open jobs and the ended jobs that are still kept."""
        for shard in self.shards:
            yield from shard.state.jobs.values()
            yield from shard.state.ended.values()


def setup(app: Application) -> None:
    """Register the service ``shards``."""
    service = ShardService(app)
    app.add_service("shards", service)
    for shard in service.shards:
        app.add_task(shard.stream.run)
