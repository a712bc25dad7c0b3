"""What the batch engine needs from outside, as interfaces.

The platform's adapter and the stand-ins implement them.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec


class StoredRecord(msgspec.Struct, frozen=True):
    """One record of a topic; ``value`` is ``None`` where the key was dropped."""

    key: str
    value: bytes | None
    offset: int


class NewestPage(msgspec.Struct):
    """A part of the newest records of a topic.

    :param end: offset after the last record when the page was read.
    """

    records: list[StoredRecord]
    has_more: bool
    end: int


class ReadResult(msgspec.Struct):
    """Records read from an offset on; ``end`` is the offset to read next."""

    records: list[StoredRecord]
    end: int


class AppendStamp(msgspec.Struct, frozen=True):
    """Identity of one append, so that a repeat has no second effect.

    :param producer: unique name of the writer, shared by successive owners.
    :param epoch: an append of a lower epoch than the highest seen is refused.
    :param sequence: follows that of the writer's last append.
    """

    producer: str
    epoch: int
    sequence: int


class KeyedStore(Protocol):
    """The platform's store of keyed records.

    Every call raises :class:`rattanwing.errors.LogUnavailableError` when it got
    no answer or a refusal, with a verdict whether it may have had its effect.
    """

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append records, all or none, and return the offset of the first.

        :param expected_end: append only if the topic ends at this offset.
        :raises LogConditionError: when it ends elsewhere.
        :raises LogFencedError: when a higher epoch was seen.
        """

    async def read(self, topic: str, offset: int, wait_s: float) -> ReadResult:
        """Return records from ``offset`` on, waiting for one at most ``wait_s``.

        :raises RecordExpiredError: when they are no longer kept.
        """

    async def list_newest(self, topic: str, after: str) -> NewestPage:
        """Return newest records whose keys follow ``after``."""


class EndReason(Enum):
    """Why a run ended, as its executor lists it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRow(msgspec.Struct, array_like=True):
    """A run that an executor lists as running.

    :param usage: tail latency in ms of a serving task, else thousandths of a
        core in use; a rough figure for the last half second.
    """

    task: str
    attempt: int
    checkpoint: str
    percent: int
    usage: int = 0


class EndedRow(msgspec.Struct, array_like=True):
    """A run that an executor lists as ended, by its number in the list."""

    number: int
    task: str
    attempt: int
    reason: EndReason
    checkpoint: str


class HoldResult(msgspec.Struct):
    """Everything that an executor runs and what has ended there.

    :param clock_ms: the executor's clock when it answered.
    """

    clock_ms: int
    running: list[RunningRow]
    ended: list[EndedRow]


class OrderOutcome(Enum):
    """What an executor said to an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OLD_ATTEMPT = "old-attempt"
    LATE = "late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other-incarnation"


class OrderResult(msgspec.Struct):
    """Answer to a start, stop or pace; ``clock_ms`` is 0 where none was given."""

    outcome: OrderOutcome
    clock_ms: int = 0


class ExecutorPort(Protocol):
    """One incarnation of the executor on the agent's machine.

    Every call raises :class:`rattanwing.util.http_client.HttpCallError` when no
    whole answer came; then it may take effect seconds later.
    """

    async def start(
        self,
        task: str,
        attempt: int,
        text: str,
        checkpoint: str,
        ticket: str,
        deadline_ms: int,
        fence: int,
    ) -> OrderResult:
        """Start a run; accepted also if it is there already."""

    async def stop(self, task: str, attempt: int, fence: int) -> OrderResult:
        """Stop a run; one that is not there will never start."""

    async def set_pace(
        self, task: str, attempt: int, percent: int, fence: int
    ) -> OrderResult:
        """Let a run work at a share of its speed."""

    async def hold(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> HoldResult | OrderResult:
        """Extend the lease, forget acknowledged ends and list everything.

        Returns an :class:`OrderResult` when the executor refused.
        """


class ExecutorView(msgspec.Struct, array_like=True):
    """What an executor says of itself.

    :param incarnation: unique to one life of the executor.
    :param cpu: thousandths of a core.
    :param labels: kind and rack among them.
    :param rack: empty where it is unknown.
    :param remaining_ms: least time left, while it drains; else 0.
    """

    incarnation: str
    executor_id: str
    service: str
    address: str
    failure_domain: str
    labels: list[str]
    rack: str
    cpu: int
    memory_mb: int
    accelerators: int
    draining: bool = False
    remaining_ms: int = 0
    cold_left_ms: int = 0
