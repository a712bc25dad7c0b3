"""Callers' operations on an entry: submit, find and cancel jobs, count queued ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.batch import records
from rattanwing.batch.memory import has_room, is_nearly_full, job_bytes
from rattanwing.batch.messages import Answer
from rattanwing.batch.model import JobState, check_job
from rattanwing.errors import RejectedError
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.batch.configuration import CurrentConfiguration
    from rattanwing.batch.memory import MemoryLimits
    from rattanwing.batch.model import JobSpec, QueueIdentity
    from rattanwing.batch.replica import JobView, TopicReader, WorkReplica
    from rattanwing.batch.store_speed import StoreSpeed
    from rattanwing.batch.writer import PendingAppend, RecordWriter

STORE_TIMEOUT_S = 1.5
"""An append that is known to have failed is not repeated after this time, and the call
is refused. Half of the time that callers usually wait."""

STORE_OUTAGE_AFTER_S = 0.4
"""Once appends have failed for this long, the store counts as unreachable and new
jobs are refused without an attempt to store them."""

CATCH_UP_TIMEOUT_S = 1.2
"""Longest wait of a request for an unknown job until the topic has been read again."""

POLL_INTERVAL_S = 0.01
"""Pause between two checks during that wait."""


class JobService:
    """Serves one entry's callers from its replica and the store.

    :param store_speed: what the calls of this entry show of the store.
    :param limits: what the memory of an entry suffices for.
    :param count_entries: returns the number of entries.
    :param pending_bytes: by job id, the estimated memory of each pending submission.
    :param pending_submissions: by job id, the append that stores the job; settled ones
        are dropped at the next submission.
    """

    __slots__ = (
        "configuration",
        "limits",
        "count_entries",
        "replica",
        "reader",
        "writer",
        "store_speed",
        "clock",
        "pending_submissions",
        "pending_bytes",
    )

    def __init__(
        self,
        configuration: CurrentConfiguration,
        limits: MemoryLimits,
        count_entries: Callable[[], int],
        replica: WorkReplica,
        reader: TopicReader,
        writer: RecordWriter,
        store_speed: StoreSpeed,
        clock: Callable[[], float],
    ) -> None:
        self.configuration = configuration
        self.limits = limits
        self.count_entries = count_entries
        self.replica = replica
        self.reader = reader
        self.writer = writer
        self.store_speed = store_speed
        self.clock = clock
        self.pending_submissions: dict[str, PendingAppend] = {}
        self.pending_bytes: dict[str, int] = {}

    async def submit(self, spec: JobSpec, wait_s: float) -> Answer:
        """Submit a job; submitting the same id again does not create a second job.

        :param wait_s: how long the caller waits for the answer.
        :raises RejectedError: when the job's steps are invalid.
        """
        job_id = spec.job_id
        if job_id in self.replica.jobs:
            return Answer.ACCEPTED
        check_job(spec)
        now = self.clock()
        if not self.reader.loaded.is_set():
            return Answer.NOT_READY
        if self.replica.is_cancelled_early(job_id, spec.queue.identity):
            return self.refuse(job_id, "cancelled")
        self.drop_settled()
        pending = self.pending_submissions.get(job_id)
        if pending is None or pending.verdict is Verdict.NOT_RUN:
            if self.are_appends_failing(now):
                return self.refuse(job_id, "store-away")
            size = job_bytes(spec)
            if not self.has_room(size):
                return self.refuse(job_id, "memory")
            key = records.JOB_PREFIX + job_id
            value = records.encode(spec)
            if len(value) > self.writer.limits.max_value_bytes:
                detail = f"{len(value)} bytes as stored"
                raise RejectedError("job-too-large", detail)
            pending = self.writer.submit([(key, value)], now + STORE_TIMEOUT_S)
            self.pending_submissions[job_id] = pending
            self.pending_bytes[job_id] = size
        with trio.move_on_after(wait_s):
            await pending.done.wait()
        if not pending.done.is_set():
            events.write(events.JOB_OUTCOME_UNKNOWN, job=job_id, waited_s=wait_s)
            return Answer.UNKNOWN_OUTCOME
        match pending.verdict:
            case Verdict.RAN:
                self.replica.add_stored_job(job_id, spec)
                events.write(
                    events.JOB_STORED,
                    job=job_id,
                    queue=spec.queue.name,
                    steps=len(spec.steps),
                    stored_s=round(self.clock() - now, 3),
                )
                return Answer.ACCEPTED
            case Verdict.NOT_RUN:
                return self.refuse(job_id, "not-stored")
            case Verdict.MAY_HAVE_RUN:
                return Answer.UNKNOWN_OUTCOME

    def may_be_stored(self, job_id: str) -> bool:
        """Return whether an earlier call's append of a job may still be carried out."""
        pending = self.pending_submissions.get(job_id)
        return pending is not None and pending.verdict is Verdict.MAY_HAVE_RUN

    def drop_settled(self) -> None:
        """Drop the submissions whose outcome is known, the oldest first.

        Their callers may have stopped waiting. A later call is decided anew.
        """
        while self.pending_submissions:
            job_id, pending = next(iter(self.pending_submissions.items()))
            if pending.verdict is Verdict.MAY_HAVE_RUN:
                return
            del self.pending_submissions[job_id]
            del self.pending_bytes[job_id]

    def has_room(self, size: int) -> bool:
        """Return whether all entries have the memory for one more job.

        :param size: estimated memory of the job, in bytes.
        """
        pending_bytes = sum(self.pending_bytes.values())
        entries = max(1, self.count_entries())
        held_bytes = self.replica.memory_bytes
        return has_room(self.limits, held_bytes, pending_bytes, entries, size)

    def is_nearly_full(self) -> bool:
        """Return whether a refused job should come back late rather than soon."""
        return is_nearly_full(self.limits, self.replica.memory_bytes)

    def refuse(self, job_id: str, reason: str) -> Answer:
        """Log the refusal of a job and return the answer for its caller."""
        events.write(events.JOB_REFUSED, job=job_id, reason=reason)
        return Answer.REFUSED

    async def find(self, job_id: str, queue: QueueIdentity) -> JobState | Answer:
        """Return the state of a job, asked for at a queue.

        Another entry may have accepted an unknown id a moment ago, so this waits
        for a read that was sent after the request before it answers that there is
        no such job.
        """
        view = self.replica.jobs.get(job_id)
        if view is None:
            asked_at = self.clock()
            with trio.move_on_after(CATCH_UP_TIMEOUT_S):
                while self.reader.read_sent_at <= asked_at:
                    await trio.sleep(POLL_INTERVAL_S)
                    if job_id in self.replica.jobs:
                        break
            view = self.replica.jobs.get(job_id)
            if view is None and self.reader.read_sent_at <= asked_at:
                return Answer.NOT_READY
        if view is None or not self.is_reached(view, queue):
            return Answer.NO_SUCH_JOB
        return view.state

    def is_reached(self, view: JobView, queue: QueueIdentity) -> bool:
        """Return whether callers of a queue reach a job by its id."""
        return self.configuration.reaches(queue, view.spec.queue.identity)

    async def cancel(self, job_id: str, queue: QueueIdentity, wait_s: float) -> Answer:
        """Cancel a job; a finished job keeps its state.

        An entry can't know whether another one still holds the submission of an unknown
        id. So its cancellation is stored as well, and the job is cancelled if it is
        stored later. Both take effect in the order in which the store has them.

        :param wait_s: how long the caller waits for the answer.
        """
        if not self.reader.loaded.is_set():
            return Answer.NOT_READY
        settled = self.cancellation_answer(job_id, queue)
        if settled is not None:
            return settled
        now = self.clock()
        key = records.CANCEL_PREFIX + job_id
        # All entries compare the stored queue with that of the job, whatever version
        # of the configuration they have.
        view = self.replica.jobs.get(job_id)
        stored = queue if view is None else view.spec.queue.identity
        request = records.CancelRequest(
            0, stored.name, stored.http_host, stored.path_prefix
        )
        value = records.encode(request)
        pending = self.writer.submit([(key, value)], now + STORE_TIMEOUT_S)
        with trio.move_on_after(wait_s):
            await pending.done.wait()
            if pending.verdict is Verdict.RAN:
                await self.read_cancellation(job_id, queue, stored)
        settled = self.cancellation_answer(job_id, queue)
        if pending.verdict is Verdict.RAN and settled is not None:
            if settled is Answer.ACCEPTED:
                events.write(events.JOB_CANCELLED, job=job_id)
            else:
                events.write(events.CANCELLED_EARLY, job=job_id, queue=queue.name)
            return settled
        if pending.done.is_set() and pending.verdict is Verdict.NOT_RUN:
            return Answer.REFUSED
        return Answer.UNKNOWN_OUTCOME

    async def read_cancellation(
        self, job_id: str, queue: QueueIdentity, stored: QueueIdentity
    ) -> None:
        """Wait until a stored cancellation shows in the replica.

        :param queue: the queue that the caller addressed.
        :param stored: the queue that was stored with the cancellation.
        """
        if job_id in self.replica.jobs:
            self.replica.apply_cancel(job_id, stored)
        while self.cancellation_answer(job_id, queue) is None:
            await trio.sleep(POLL_INTERVAL_S)

    def cancellation_answer(self, job_id: str, queue: QueueIdentity) -> Answer | None:
        """Return the answer to a cancellation; ``None`` if one has to be stored.

        A job of another queue is none of this one, whose queue has none of that id.
        """
        view = self.replica.jobs.get(job_id)
        if view is None:
            early = self.replica.is_cancelled_early(job_id, queue)
            return Answer.NO_SUCH_JOB if early else None
        if not self.is_reached(view, queue):
            return Answer.NO_SUCH_JOB
        return Answer.ACCEPTED if view.state.final else None

    def is_store_unreachable(self, now: float) -> bool:
        """Return whether appends fail here or the replica is out of date."""
        return self.are_appends_failing(now) or not self.reader.is_fresh(now)

    def are_appends_failing(self, now: float) -> bool:
        """Return whether appends have failed for longer than a short disturbance.

        A slow store refuses appends while too many wait, and takes them a little later.
        A successful read that was sent after the latest failure shows that the
        store answers again. Reads are used because jobs refused during an outage
        queue no append whose success could end it.
        """
        failing_since = self.writer.failing_since
        if failing_since is None or now - failing_since <= STORE_OUTAGE_AFTER_S:
            return False
        if self.store_speed.is_slow(now):
            return False
        return self.reader.read_sent_at <= self.writer.last_failed_at

    def outage_s(self, now: float) -> float:
        """Return for how long the store has been unreachable; 0 if it is reachable."""
        if not self.is_store_unreachable(now):
            return 0.0
        failing_since = self.writer.failing_since
        since = self.reader.read_sent_at if failing_since is None else failing_since
        return now - since

    def count_queued(self, queue: QueueIdentity) -> int:
        """Return how many accepted jobs of a queue have not started a task yet."""
        return sum(
            view.state is JobState.QUEUED
            and self.configuration.counts_for(queue, view.spec.queue.identity)
            for view in self.replica.jobs.values()
        )
