"""The records of a shard's stream."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from rattanwing.settings import Count, Name, NonNegative, Positive

JobId = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,79}$")]


class JobSpec(msgspec.Struct, frozen=True):
    """What a team asks to be run.

    :param cpu: declared processors.
    :param memory_mb: declared memory in MiB.
    :param run_s: declared run time in seconds.
    :param task_class: jobs that behave alike beside services.
    :param work: passed to the worker as it stands.
    :param repeatable: whether a second execution does no harm.
    :param due_s: seconds after submission when the job counts as overdue.
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

    :param id: unique; a record that stands twice takes effect once.
    """

    id: str


class Claim(Record, tag="claim"):
    """An entry claims the shard; its offset becomes the epoch if accepted.

    :param expected: the epoch that the claim replaces.
    :param heard: offset of the owner's last record that the claimant read; a
        later one shows that the owner lives, and refuses the claim.
    """

    owner: str
    expected: int
    heard: int


class Renew(Record, tag="renew"):
    """The owner goes on."""

    epoch: int


class Release(Record, tag="release"):
    """The owner stops on purpose."""

    epoch: int


class Submit(Record, tag="submit"):
    """A job is asked for; any entry may append it."""

    spec: JobSpec


class Cancel(Record, tag="cancel"):
    """A job is to end; any entry may append it."""

    job: str
    author: str


class Place(Record, tag="place"):
    """An attempt may start at one worker.

    :param incarnation: the run of the agent that the attempt is meant for.
    :param cpu: processors granted, at most the declared ones.
    """

    epoch: int
    job: str
    attempt: int
    worker: str
    incarnation: str
    cpu: float = 0.0


class Stop(Record, tag="stop"):
    """An attempt is over without an end of the job.

    :param ran: whether the attempt may have run.
    :param checkpoint: where the next attempt resumes.
    """

    epoch: int
    job: str
    attempt: int
    reason: str
    ran: bool
    checkpoint: str | None = None
    progress_s: float = 0.0


class Finish(Record, tag="finish"):
    """An attempt ended its job.

    :param ok: false when the task itself failed.
    """

    epoch: int
    job: str
    attempt: int
    ok: bool
    detail: str = ""


class Resume(Record, tag="resume"):
    """An operator lets a held job run again."""

    job: str
    author: str


class Job(msgspec.Struct):
    """The state of one job.

    :param submitted_at: seconds since the epoch, by the log's stamp.
    :param attempt: number of the latest attempt, 0 before the first.
    :param granted_cpu: processors granted to the placed attempt.
    :param failures: attempts that the task itself failed.
    :param failed_workers: where those attempts ran.
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


class ShardSnapshot(Record, tag="snapshot"):
    """A shard's whole state as folded before ``upto``."""

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
