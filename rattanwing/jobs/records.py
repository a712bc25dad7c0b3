"""The records that are stored in a shard's stream, encoded as JSON."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from rattanwing.settings import Count, Name, NonNegative, Positive

JobId = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,79}$")]


class JobSpec(msgspec.Struct, frozen=True):
    """A job as submitted by a team.

    :param id: chosen by the client; a second submission with this id and an equal
        specification has no further effect.
    :param cpu: declared number of processors.
    :param memory_mb: declared memory in MiB.
    :param run_s: declared run time in seconds.
    :param accelerators: declared number of accelerators.
    :param task_class: name of a group of jobs that slow the services on their host
        by a similar amount.
    :param work: passed to the worker unchanged.
    :param repeatable: whether the job may be executed more than once.
    :param urgency: ``urgent`` jobs are placed before ``batch`` jobs and may preempt
        them.
    :param due_s: seconds after submission from which the job counts as overdue.
    """

    id: JobId
    team: Name
    cpu: Positive
    memory_mb: Count
    run_s: Positive = 60.0
    accelerators: NonNegative = 0
    task_class: Name = "default"
    work: str = ""
    repeatable: bool = True
    urgency: Literal["urgent", "batch"] = "batch"
    due_s: Positive = 12 * 3600.0


class Record(msgspec.Struct, tag_field="kind"):
    """Base of a shard's records.

    :param id: unique id; a record that is appended twice takes effect once.
    """

    id: str


class Claim(Record, tag="claim"):
    """An entry claims the shard.

    The offset of an accepted claim becomes the shard's epoch.

    :param owner: id of the claiming entry's process.
    :param expected: the epoch that the claim replaces.
    :param heard: offset of the latest record of an owner that the claiming entry has
        read. If a later one precedes the claim, the claim is refused, because the owner
        was still alive.
    """

    owner: str
    expected: int
    heard: int


class Renew(Record, tag="renew"):
    """The owner renews its lease on the shard."""

    epoch: int


class Release(Record, tag="release"):
    """The owner gives up the shard; a claim need not wait for its lease to end."""

    epoch: int


class Submit(Record, tag="submit"):
    """A job is submitted; any entry may append this record."""

    spec: JobSpec


class Cancel(Record, tag="cancel"):
    """The cancellation of a job is requested; any entry may append this record.

    :param job: id of the job.
    :param author: the operator who requests the cancellation.
    """

    job: str
    author: str


class Place(Record, tag="place"):
    """The owner places an attempt of a job on a worker, which may then start it.

    :param worker: name of the worker's agent.
    :param incarnation: id of the agent process that may start the attempt.
    :param cpu: number of processors granted, at most the declared number; 0 stands for
        the declared number.
    """

    epoch: int
    job: str
    attempt: int
    worker: str
    incarnation: str
    cpu: float = 0.0


class Stop(Record, tag="stop"):
    """An attempt ended, or was never started, before the job was done.

    :param reason: why the attempt ended.
    :param ran: whether the attempt may have run.
    :param checkpoint: the state from which the next attempt resumes, if one was saved.
    :param progress_s: seconds of work that the checkpoint contains.
    """

    epoch: int
    job: str
    attempt: int
    reason: str
    ran: bool
    checkpoint: str | None = None
    progress_s: float = 0.0


class Finish(Record, tag="finish"):
    """The task of an attempt has ended by itself.

    The task is what the worker runs for the attempt.

    :param ok: whether the task succeeded.
    :param detail: what the worker reported about the end.
    """

    epoch: int
    job: str
    attempt: int
    ok: bool
    detail: str = ""


class Resume(Record, tag="resume"):
    """An operator lets a held job run again.

    :param job: id of the job.
    """

    job: str
    author: str


class Job(msgspec.Struct):
    """The state of one job.

    :param submitted_at: when the log appended the submission, in seconds since the
        Unix epoch.
    :param state: ``pending``, ``placed``, ``held`` (waits for an operator),
        ``finished`` or ``cancelled``. ``failed`` is not used.
    :param attempt: number of the latest attempt, 0 before the first.
    :param worker: the worker of the latest attempt.
    :param incarnation: id of the agent process that may start the latest attempt.
    :param placed_epoch: epoch of the owner that placed the latest attempt.
    :param granted_cpu: number of processors granted to the latest attempt.
    :param checkpoint: the state from which the next attempt resumes, if one was saved.
    :param progress_s: seconds of work that the checkpoint contains.
    :param reason: why the latest attempt ended.
    :param failures: number of attempts whose task failed, since an operator last
        resumed the job.
    :param failed_attempt: number of the latest attempt whose failure was counted.
    :param failed_workers: the workers of all attempts whose task failed.
    :param ended_at: when the log appended the record that ended the job, in seconds
        since the Unix epoch; 0 for an open job.
    :param cancel_asked: whether cancellation was requested.
    """

    spec: JobSpec
    submitted_at: float
    state: str = "pending"
    attempt: int = 0
    worker: str = ""
    incarnation: str = ""
    placed_epoch: int = 0
    granted_cpu: float = 0.0
    checkpoint: str | None = None
    progress_s: float = 0.0
    reason: str = ""
    failures: int = 0
    failed_workers: list[str] = []
    ended_at: float = 0.0
    cancel_asked: bool = False
    failed_attempt: int = 0


class ShardSnapshot(Record, tag="snapshot"):
    """The whole state of a shard.

    :param upto: offset of the first record that the state does not include.
    :param heard: offset of the latest accepted record of an owner.
    :param jobs: the open jobs and the ended jobs that are still kept.
    """

    upto: int
    epoch: int
    owner: str
    heard: int
    released: bool
    jobs: list[Job]


AnyRecord = (
    Claim
    | Renew
    | Release
    | Submit
    | Cancel
    | Place
    | Stop
    | Finish
    | Resume
    | ShardSnapshot
)


def encode_record(record: Record) -> bytes:
    """Return the JSON form of a record."""
    return msgspec.json.encode(record)
