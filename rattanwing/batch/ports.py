"""Interfaces between the batch engine and the platform that it runs on.

``rattanwing.platform`` implements them with calls to the platform, and
``rattanwing.standin`` in memory, for tests.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Protocol

import msgspec

from rattanwing.batch.model import MAX_NUMBER, Number


class StoredRecord(msgspec.Struct, frozen=True):
    """One record of a topic; ``value`` is ``None`` if the record deletes its key."""

    key: str
    value: bytes | None
    offset: int


class NewestPage(msgspec.Struct):
    """One page of the newest record of each key of a topic.

    :param has_more: whether records with greater keys follow on another page.
    :param end_offset: end offset of the topic when the page was read.
    """

    records: list[StoredRecord]
    has_more: bool
    end_offset: int


class ReadResult(msgspec.Struct):
    """Consecutive records of a topic; the next read starts at ``end_offset``."""

    records: list[StoredRecord]
    end_offset: int


class AppendStamp(msgspec.Struct, frozen=True):
    """Identity of one append, by which the store deduplicates repeats.

    :param producer: unique name of the writer; successive owners share one name.
    :param epoch: the store refuses an epoch below the producer's highest so far.
    :param sequence: the sequence number of the writer's previous append plus one.
    """

    producer: str
    epoch: int
    sequence: int


class KeyedStore(Protocol):
    """The platform's store: topics of keyed records.

    The errors are named after the platform's log, whose client
    (:mod:`rattanwing.log.client`) also raises some of them.
    Every call raises :class:`rattanwing.errors.LogUnavailableError` when the store
    does not answer or refuses the call; the error says whether an append may have
    taken effect.
    """

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append all records atomically and return the offset of the first.

        :param expected_end: append only if the topic ends at this offset.
        :raises LogConditionError: when the topic ends at another offset.
        :raises LogFencedError: when the store has seen a higher epoch.
        """

    async def read(self, topic: str, offset: int, wait_s: float) -> ReadResult:
        """Return the records from ``offset`` on.

        :param wait_s: how long to wait for a record if there is none yet.
        :raises RecordExpiredError: when the store no longer keeps that offset.
        """

    async def list_newest(self, topic: str, after: str) -> NewestPage:
        """Return a page of newest records, by key, that starts after key ``after``."""


class EndReason(Enum):
    """Why a run ended, as reported by its executor."""

    # The task is done.
    DONE = "done"
    # The task failed.
    FAILED = "failed"
    # The run was ordered to stop.
    STOPPED = "stopped"
    # The executor's lease on the run expired.
    LAPSED = "lapsed"
    # Another member of the run's gang ended.
    BROKEN = "broken"
    # The run waited too long for the other members of its gang.
    ALONE = "alone"


class RunningRow(msgspec.Struct, array_like=True):
    """A run that an executor lists as running.

    :param checkpoint: newest checkpoint; empty if there is none.
    :param progress_percent: progress of the run.
    :param measurement: for a serving task its tail latency in ms, for any other task
        the CPU that it uses in thousandths of a core; an estimate over the last half
        second.
    """

    task: str
    attempt: Number
    checkpoint: str
    progress_percent: Number
    measurement: Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)] = 0


class EndedRow(msgspec.Struct, array_like=True):
    """The end of a run, as an executor lists it.

    An executor numbers the ends of its runs, and lists each end until the agent has
    acknowledged it.

    :param number: number of the end; each incarnation of an executor counts from 1.
    :param checkpoint: newest checkpoint; empty if there is none.
    """

    number: Number
    task: str
    attempt: Number
    reason: EndReason
    checkpoint: str


class PollResult(msgspec.Struct):
    """An executor's answer to a poll: all running runs and unacknowledged ends.

    :param clock_ms: the executor's clock when it answered, in milliseconds.
    :param incarnation: the incarnation that answered; empty if it is not known.
    :param lists_all_ends: whether ``ended`` has all unacknowledged ends; otherwise
        later ones follow once these are acknowledged.
    """

    clock_ms: int
    running: list[RunningRow]
    ended: list[EndedRow]
    incarnation: str = ""
    lists_all_ends: bool = True


class OrderOutcome(Enum):
    """An executor's answer to an order."""

    ACCEPTED = "accepted"
    # The executor has seen a higher fence.
    FENCED = "fenced"
    # The executor has seen this attempt or a later one of the task.
    OLD_ATTEMPT = "old-attempt"
    # The order reached the executor after its deadline.
    LATE = "late"
    # The run does not fit into the executor's free resources.
    NO_ROOM = "no-room"
    # The step needs a ticket, and the order carried none that is valid.
    BAD_TICKET = "bad-ticket"
    MALFORMED = "malformed"
    # The executor answered that it is overloaded or unavailable.
    UNHEALTHY = "unhealthy"
    # The order was meant for an earlier incarnation of the executor.
    OTHER_INCARNATION = "other-incarnation"


class OrderResult(msgspec.Struct):
    """Answer to an order; ``clock_ms`` is 0 if the executor did not send its clock."""

    outcome: OrderOutcome
    clock_ms: int = 0


class ExecutorPort(Protocol):
    """Calls to one incarnation of the executor on the agent's machine.

    Every call raises :class:`rattanwing.util.http_client.HttpCallError` when there
    is no complete answer; the call may then still take effect seconds later.
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
        """Start a run.

        The executor also answers ``ACCEPTED`` if the run is already running.

        :param text: the job's payload, which the executor passes unchanged to the task.
        :param checkpoint: checkpoint to resume from; empty for none.
        :param ticket: token that allows a step's tasks to start; empty for none.
        :param deadline_ms: end of the lease, on the executor's clock.
        """

    async def stop(self, task: str, attempt: int, fence: int) -> OrderResult:
        """Stop a run; if it has not started, the executor will never start it."""

    async def set_pace(
        self, task: str, attempt: int, pace_percent: int, fence: int
    ) -> OrderResult:
        """Set the pace of a run: the percentage of its full speed that it may reach."""

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> PollResult | OrderResult:
        """Extend the lease, acknowledge ends and list the runs.

        :param acknowledged: highest number of an end that is stored; the executor
            may drop the ends up to it from its list.
        :param deadline_ms: new end of the lease, on the executor's clock; ``None``
            leaves the lease as it is.
        :param wait_s: longest time that the executor waits for a new end.
        :returns: an :class:`OrderResult` if the executor refuses the call.
        """


class ExecutorView(msgspec.Struct, array_like=True):
    """An executor as described by its own announcements.

    :param incarnation: unique to one start of the executor's process.
    :param service: the service whose queues it runs tasks for.
    :param cpu: capacity in thousandths of a core.
    :param labels: labels that steps may require; they include kind and rack.
    :param rack: empty if the rack is unknown.
    :param remaining_ms: while draining, the least time until the executor stops;
        else 0.
    :param warmup_remaining_ms: how much longer the executor stays slow after its own
        start, in milliseconds.
    """

    incarnation: str
    executor_id: str
    service: str
    address: str
    failure_domain: str
    labels: list[str]
    rack: str
    cpu: Number
    memory_mb: Number
    accelerators: Number
    draining: bool = False
    remaining_ms: Number = 0
    warmup_remaining_ms: Number = 0

    def identity(self) -> tuple[str, str, str]:
        """Return service, address and failure domain: an incarnation keeps them."""
        return self.service, self.address, self.failure_domain

    def capacity(self) -> tuple[int, int, int]:
        """Return thousandths of a core, megabytes of memory and accelerators."""
        return self.cpu, self.memory_mb, self.accelerators
