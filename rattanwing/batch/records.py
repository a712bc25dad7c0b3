"""Records of the store's topics, which together are all that lasts.

Every record has a key; the store keeps the newest record of each key for ever
and the others for a short time. So the newest records are the state, and a
reader that was away for long starts from them again.
"""

from __future__ import annotations

import msgspec

from rattanwing.batch.model import JobSpec, JobState
from rattanwing.errors import RecordError

WORK_TOPIC = "work"
DIRECTORY_TOPIC = "directory"

JOB_PREFIX = "job/"
PROGRESS_PREFIX = "progress/"
CANCEL_PREFIX = "cancel/"
AGENT_PREFIX = "agent/"
ENTRY_PREFIX = "entry/"
OWNER_KEY = "owner"
INTERFERENCE_KEY = "pressures"


class Owner(msgspec.Struct, array_like=True):
    """Who schedules: a claim, a renewal or a resignation.

    :param epoch: rises with each claim.
    :param incarnation: unique to one run of the owner's process.
    :param resigned: the owner has stopped; anyone may claim at once.
    """

    epoch: int
    node: str
    incarnation: str
    resigned: bool = False


class Progress(msgspec.Struct, array_like=True):
    """How far a job is; written by the owner alone.

    Tasks are named ``occurrence.step.index``.

    :param epoch: of the owner that wrote it.
    :param done: by ``occurrence.step``, a bit map of the tasks that are done.
    :param failures: numbers of the failed attempts of unfinished tasks.
    :param attempts: highest attempt that was seen to end, of unfinished tasks.
    :param checkpoints: newest checkpoint of unfinished tasks.
    :param finished_at_ms: Unix time at which the state became final, else 0.
    """

    epoch: int
    state: JobState = JobState.QUEUED
    done: dict[str, bytes] = {}
    failures: dict[str, list[int]] = {}
    attempts: dict[str, int] = {}
    checkpoints: dict[str, str] = {}
    finished_at_ms: int = 0


class CancelRequest(msgspec.Struct, array_like=True):
    """A caller's wish that a job ends."""

    at_ms: int


class AgentAddress(msgspec.Struct, array_like=True):
    """Where an agent takes orders."""

    node: str
    address: str
    incarnation: str


class EntryAddress(msgspec.Struct, array_like=True):
    """Where an entry takes relayed calls of other entries."""

    node: str
    address: str


class InterferenceEstimates(msgspec.Struct, array_like=True):
    """What the owner has learnt of pairs of images, for the next owner.

    :param epoch: of the owner that wrote it.
    :param rows: serving image, filling image, the headroom that one core of the
        filler takes, and the squared cores of change by which that was seen.
    """

    epoch: int
    rows: list[tuple[str, str, float, float]]


_encoder = msgspec.msgpack.Encoder()
_decoders = {
    JOB_PREFIX: msgspec.msgpack.Decoder(JobSpec),
    PROGRESS_PREFIX: msgspec.msgpack.Decoder(Progress),
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
    """Return the record that stands under ``key``.

    :raises RecordError: when the key is of no known kind or the value is
        malformed.
    """
    prefix = key[: key.find("/") + 1] or key
    decoder = _decoders.get(prefix)
    if decoder is None:
        raise RecordError(f"no kind of record has the key {key!r}")
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordError(f"record {key!r} does not decode: {error}") from error
