"""Record types of the store's topics, which hold all durable state.

The topics are compacted: the store keeps the newest record of each key
indefinitely and older ones for a short time only. The newest records form the
state, so a reader that falls behind the retained history reloads them.
"""

from __future__ import annotations

import msgspec

from rattanwing.batch.model import (
    Epoch,
    JobSpec,
    JobState,
    NonNegative,
    Number,
    QueueIdentity,
    check_job,
)
from rattanwing.errors import MalformedError, RecordError, RejectedError
from rattanwing.util.codec import decode as decode_value

Records = list[tuple[str, bytes | None]]
"""Keys and values of records to append; a record without a value deletes its key."""

WORK_TOPIC = "work"
"""Topic of jobs and their cancellations, which every entry writes, and of progress,
ownership and interference estimates, which only the owner writes. The owner also
deletes the records of finished jobs."""

DIRECTORY_TOPIC = "directory"
"""Topic of the addresses of agents and entries. Each process writes its own; the owner
also deletes those of agents whose host is lost."""

JOB_PREFIX = "job/"
PROGRESS_PREFIX = "progress/"
PART_PREFIX = "part/"
CANCEL_PREFIX = "cancel/"
AGENT_PREFIX = "agent/"
ENTRY_PREFIX = "entry/"
OWNER_KEY = "owner"
INTERFERENCE_KEY = "pressures"


class Owner(msgspec.Struct, array_like=True):
    """The entry that owns scheduling: a claim, a renewal or a resignation.

    :param epoch: increases with each claim.
    :param node: name of the owning entry's process.
    :param incarnation: unique to one start of the owner's process.
    :param resigned: the owner has given up ownership; any entry may claim it
        without waiting for the owner's timeout.
    :param lacks_agents: it has done so because it could not reach most agents, or
        follows such an owner and has not removed the agents that are gone yet.
    """

    epoch: Epoch
    node: str
    incarnation: str
    resigned: bool = False
    lacks_agents: bool = False


class Progress(msgspec.Struct, array_like=True):
    """Progress of a job; only the owner writes it.

    A run ends. A task is done once one of its runs has ended as done. A job is
    finished once it is completed, failed or cancelled; its state is then final.
    Tasks are keyed by ``occurrence.step.index``.

    :param epoch: epoch of the owner that wrote the record.
    :param done: bit map of the tasks that are done, by ``occurrence.step``.
    :param failures: numbers of the failed attempts, by task that is not done.
    :param attempts: highest number of an attempt that has ended, by task that is not
        done.
    :param checkpoints: newest checkpoint, by task that is not done.
    :param finished_at_ms: Unix time in ms at which the job finished, else 0.
    :param crashes: incarnations of executors that crashed soon after starting a task,
        by suspected task.
    :param clear_crashes: those of them that followed a start as a suspected task and
        have no other known cause.
    :param occurrences_done: number of occurrences, from the first on, that are done;
        ``done`` lists their steps as well unless there are very many.
    """

    epoch: Epoch
    state: JobState = JobState.QUEUED
    done: dict[str, bytes] = {}
    failures: dict[str, list[Number]] = {}
    attempts: dict[str, Number] = {}
    checkpoints: dict[str, str] = {}
    finished_at_ms: Number = 0
    crashes: dict[str, list[str]] = {}
    clear_crashes: dict[str, list[str]] = {}
    occurrences_done: Number = 0


class ProgressPart(msgspec.Struct, array_like=True):
    """What is known of some tasks that are not done, of a job of many tasks.

    Only the owner writes it. The fields are those of :class:`Progress`.
    """

    epoch: Epoch
    failures: dict[str, list[Number]] = {}
    attempts: dict[str, Number] = {}
    checkpoints: dict[str, str] = {}
    crashes: dict[str, list[str]] = {}
    clear_crashes: dict[str, list[str]] = {}


class CancelRequest(msgspec.Struct, array_like=True):
    """A caller's request to cancel a job.

    A job of another queue is not cancelled.

    :param at_ms: not used; always 0.
    :param queue: name of the job's queue or, for a job that was not known, of the one
        at which the request was made. Empty in records of builds that did not store it.
    :param http_host: HTTP host of that queue; empty if not known, like ``path_prefix``.
    """

    at_ms: int
    queue: str = ""
    http_host: str = ""
    path_prefix: str = ""

    @property
    def identity(self) -> QueueIdentity:
        """Return the name and the address of the queue."""
        return QueueIdentity(self.queue, self.http_host, self.path_prefix)


class AgentAddress(msgspec.Struct, array_like=True):
    """The address at which an agent accepts the owner's stream of orders.

    :param node: name of the agent's process.
    :param incarnation: unique to one start of the agent's process.
    """

    node: str
    address: str
    incarnation: str


class EntryAddress(msgspec.Struct, array_like=True):
    """The address at which an entry accepts calls relayed by other entries.

    :param node: name of the entry's process.
    :param cpu: processor time that its host gives it, in thousandths of a core; 0 if
        unknown.
    """

    node: str
    address: str
    cpu: Number = 0


class InterferenceEstimates(msgspec.Struct, array_like=True):
    """The owner's estimates of interference between images, for the next owner.

    :param epoch: epoch of the owner that wrote the record.
    :param rows: serving image, best-effort image, headroom lost per core of the
        best-effort image, and the weight of that estimate: the sum of the squared
        changes, in cores, that it was derived from.
    """

    epoch: Epoch
    rows: list[tuple[str, str, NonNegative, NonNegative]]


_encoder = msgspec.msgpack.Encoder()
_decoders = {
    JOB_PREFIX: msgspec.msgpack.Decoder(JobSpec),
    PROGRESS_PREFIX: msgspec.msgpack.Decoder(Progress),
    PART_PREFIX: msgspec.msgpack.Decoder(ProgressPart),
    CANCEL_PREFIX: msgspec.msgpack.Decoder(CancelRequest),
    AGENT_PREFIX: msgspec.msgpack.Decoder(AgentAddress),
    ENTRY_PREFIX: msgspec.msgpack.Decoder(EntryAddress),
    OWNER_KEY: msgspec.msgpack.Decoder(Owner),
    INTERFERENCE_KEY: msgspec.msgpack.Decoder(InterferenceEstimates),
}


def encode(value: msgspec.Struct) -> bytes:
    """Return the stored form of a record's value."""
    return _encoder.encode(value)


def decode(key: str, value: bytes) -> msgspec.Struct:
    """Decode the value of a record by the type that its key implies.

    :raises RecordError: when the key has no known prefix, the value is malformed, or
        a job can't be scheduled or has another id than the key.
    """
    prefix = key[: key.find("/") + 1] or key
    decoder = _decoders.get(prefix)
    if decoder is None:
        raise RecordError(f"unknown record type for key {key!r}")
    try:
        decoded = decode_value(decoder, value)
        if isinstance(decoded, JobSpec):
            check_job(decoded)
    except (MalformedError, RejectedError) as error:
        raise RecordError(f"cannot decode record {key!r}: {error}") from error
    if isinstance(decoded, JobSpec) and key != JOB_PREFIX + decoded.job_id:
        raise RecordError(f"record {key!r} holds another job, {decoded.job_id!r}")
    return decoded
