"""Election of the entry that owns scheduling.

An entry becomes the owner by one conditional append of a claim to the work topic.
Each claim has a higher epoch than the one before. The store then refuses the appends
of the previous owner, and agents refuse its orders once they know the new epoch.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.batch import records
from rattanwing.batch.ports import AppendStamp
from rattanwing.batch.timing import (
    LEASE_MARGIN_S,
    OWNER_RENEWAL_INTERVAL_S,
    OWNER_TIMEOUT_S,
    TASK_LEASE_S,
)
from rattanwing.batch.writer import DEFAULT_LIMITS, AppendLimits, RecordWriter
from rattanwing.errors import (
    LogConditionError,
    LogFencedError,
    LogSequenceError,
    LogUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable
    from random import Random

    from rattanwing.batch.ports import KeyedStore
    from rattanwing.batch.replica import Directory, TopicReader, WorkReplica

OWNER_PRODUCER = "owner"
CLAIM_JITTER_S = 0.6
"""Largest random delay that a candidate adds to the owner's timeout: a few round trips
to the store, so that most candidates read another's claim before they make one."""

CLAIM_CHECK_INTERVAL_S = 0.1
"""Interval at which an entry checks its copy of the topic for an owner or for a later
claim; a tenth of the owner's renewal interval."""

CLAIM_ATTEMPTS = 6
"""Attempts to append one claim, after which the candidate waits for the topic to show
whether it was stored."""

CLAIM_HOLD_OFF_S = 3.0
"""Time for which an owner that resigned temporarily does not claim ownership. It covers
several of the other entries' checks; if none of them claims, this one does."""

WEAK_CLAIM_DELAY_S = 0.8
"""Time by which an entry on a weak host delays its claim while an entry on a strong
host is registered: more than ``CLAIM_JITTER_S`` and a round trip to the store, so
that a strong entry claims first if one is up."""

WEAK_FACTOR = 2
"""An entry is weak if another entry's host gives it at least this multiple of its
processor time."""

FIRST_SEQUENCE_LIMIT = 1 << 31
"""Upper bound of the random sequence number of a claim. Random numbers keep the store
from treating the claims of two candidates as repeats of one append."""


def claim_delay_s(cpu: int, entries: Iterable[records.EntryAddress]) -> float:
    """Return by how many seconds an entry delays its claims.

    One entry schedules for all hosts, and the hosts of entries differ severalfold in
    power; on a weak one, decisions wait for the processor.

    :param cpu: this entry's processor time in thousandths of a core; 0 if unknown.
    :param entries: the registered entries, which may include this one.
    """
    strongest = max((entry.cpu for entry in entries), default=0)
    return WEAK_CLAIM_DELAY_S if 0 < cpu * WEAK_FACTOR <= strongest else 0.0


class Candidate:
    """Claims, renews and resigns ownership on behalf of one entry.

    :param schedule: schedules until cancelled; called when this entry has become the
        owner, with the epoch and the writer of the owner's records.
    :param cpu: processor time of this entry in thousandths of a core; 0 if unknown.
    :param append_limits: sizes that the store accepts.
    :param writer: the writer of the owner's records while this entry is the owner.
    :param stopping: whether the process is about to stop; it then claims nothing.
    :param may_claim_from: time before which this entry does not claim ownership.
    :param keeps_ownership_until: time until which this entry, as the owner, does not
        resign for lack of agents while it reaches any.
    """

    __slots__ = (
        "node",
        "incarnation",
        "store",
        "replica",
        "reader",
        "clock",
        "random",
        "schedule",
        "directory",
        "cpu",
        "append_limits",
        "writer",
        "stopping",
        "may_claim_from",
        "keeps_ownership_until",
    )

    def __init__(
        self,
        node: str,
        incarnation: str,
        store: KeyedStore,
        replica: WorkReplica,
        reader: TopicReader,
        clock: Callable[[], float],
        random: Random,
        schedule: Callable[[int, RecordWriter], Awaitable[None]],
        directory: Directory,
        cpu: int,
        append_limits: AppendLimits = DEFAULT_LIMITS,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.store = store
        self.replica = replica
        self.reader = reader
        self.clock = clock
        self.random = random
        self.schedule = schedule
        self.directory = directory
        self.cpu = cpu
        self.append_limits = append_limits
        self.writer: RecordWriter | None = None
        self.stopping = False
        self.may_claim_from = clock()
        self.keeps_ownership_until = float("-inf")

    def may_claim(self, now: float, jitter_s: float) -> bool:
        """Return whether this entry, while it does not schedule, may claim ownership.

        The owner's silence is counted from its last record or from the start of this
        entry's current uninterrupted series of reads, whichever is later: during an
        outage of the store nobody can write, and the owner continues to schedule.

        :param jitter_s: random delay beyond the owner's timeout.
        """
        if self.stopping or now < self.may_claim_from:
            return False
        if not self.reader.is_fresh(now):
            return False
        owner = self.replica.owner
        delay_s = claim_delay_s(self.cpu, self.directory.entries.values())
        if owner is None:
            return now - self.reader.fresh_since >= delay_s
        if owner.resigned:
            return now - self.replica.owner_seen_at >= delay_s
        # As this entry does not schedule, nobody acts on a claim of its name: an
        # earlier process made it, no answer said that it was stored, or its epoch has
        # ended without a resignation.
        if owner.node == self.node:
            return True
        silent_since = max(self.replica.owner_seen_at, self.reader.fresh_since)
        return now - silent_since > OWNER_TIMEOUT_S + jitter_s + delay_s

    async def run(self) -> None:
        """Claim ownership whenever there is no owner, and schedule while it lasts."""
        await self.reader.loaded.wait()
        while True:
            jitter_s = self.random.random() * CLAIM_JITTER_S
            while not self.may_claim(self.clock(), jitter_s):
                await trio.sleep(CLAIM_CHECK_INTERVAL_S)
            writer = await self.claim()
            if writer is None:
                await trio.sleep(self.random.random() * CLAIM_CHECK_INTERVAL_S)
                continue
            await self.run_epoch(writer)

    async def claim(self) -> RecordWriter | None:
        """Try to become the owner.

        :returns: the writer of the owner's records; ``None`` if the claim was not
            stored or its outcome stayed unknown.
        """
        owner = self.replica.owner
        epoch = owner.epoch + 1 if owner else 1
        sequence = self.random.randrange(1, FIRST_SEQUENCE_LIMIT)
        stamp = AppendStamp(OWNER_PRODUCER, epoch, sequence)
        lacks_agents = owner is not None and owner.lacks_agents
        claim = records.Owner(
            epoch, self.node, self.incarnation, lacks_agents=lacks_agents
        )
        claim_records = [(records.OWNER_KEY, records.encode(claim))]
        end_offset = self.reader.end_offset
        # A repeat may be answered although the first attempt was stored.
        sent_at = self.clock()
        for _ in range(CLAIM_ATTEMPTS):
            try:
                await self.store.append(
                    records.WORK_TOPIC, claim_records, stamp, expected_end=end_offset
                )
            except (LogConditionError, LogFencedError, LogSequenceError):
                return None
            except LogUnavailableError as error:
                if not error.may_have_applied:
                    return None
                await trio.sleep(CLAIM_CHECK_INTERVAL_S)
                continue
            writer = RecordWriter(
                self.store,
                records.WORK_TOPIC,
                stamp,
                self.clock,
                self.random,
                limits=self.append_limits,
            )
            writer.last_success_sent_at = sent_at
            self.keeps_ownership_until = float("-inf")
            if lacks_agents:
                # The hosts of agents that are gone are removed in this time.
                lapsed_at = sent_at + TASK_LEASE_S + LEASE_MARGIN_S
                self.keeps_ownership_until = lapsed_at
            return writer
        return None

    async def run_epoch(self, writer: RecordWriter) -> None:
        """Schedule until this entry's writer is fenced or a later claim is read."""
        self.writer = writer
        self.replica.apply_owner(
            records.Owner(writer.epoch, self.node, self.incarnation)
        )
        events.write(events.OWNERSHIP_ACQUIRED, epoch=writer.epoch, node=self.node)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.renew, writer)
            nursery.start_soon(self.schedule, writer.epoch, writer)
            nursery.start_soon(
                self.cancel_when_superseded, writer, nursery.cancel_scope
            )
            await writer.run()
            nursery.cancel_scope.cancel()
        self.writer = None
        events.write(events.OWNERSHIP_LOST, epoch=writer.epoch, node=self.node)

    async def renew(self, writer: RecordWriter) -> None:
        """Store a renewal whenever no other record was stored for a while."""
        while True:
            if self.clock() - writer.last_success_sent_at >= OWNER_RENEWAL_INTERVAL_S:
                await self.write_owner(writer, resigned=False)
            await trio.sleep(OWNER_RENEWAL_INTERVAL_S / 4)

    async def cancel_when_superseded(
        self, writer: RecordWriter, scope: trio.CancelScope
    ) -> None:
        """Cancel ``scope``, which ends the epoch, once a later claim is read."""
        while self.replica.owner is None or self.replica.owner.epoch <= writer.epoch:
            await trio.sleep(CLAIM_CHECK_INTERVAL_S)
        scope.cancel()

    async def write_owner(
        self, writer: RecordWriter, resigned: bool, lacks_agents: bool = False
    ) -> None:
        """Store an owner record of this epoch."""
        lacks_agents = lacks_agents or self.clock() < self.keeps_ownership_until
        owner = records.Owner(
            writer.epoch, self.node, self.incarnation, resigned, lacks_agents
        )
        value = records.encode(owner)
        await writer.store_records([(records.OWNER_KEY, value)], None)

    async def resign_temporarily(self) -> None:
        """Resign for lack of agents, and claim again only after ``CLAIM_HOLD_OFF_S``.

        The other entries may claim at once.
        """
        if self.writer is None:
            return
        self.may_claim_from = self.clock() + CLAIM_HOLD_OFF_S
        await self.write_owner(self.writer, resigned=True, lacks_agents=True)
        if self.writer is not None:
            self.writer.fence()

    async def resign_for_shutdown(self, limit_s: float) -> None:
        """Resign before a planned stop of the process, and never claim again.

        :param limit_s: longest wait for the resignation to be stored.
        """
        self.stopping = True
        if self.writer is None:
            return
        with trio.move_on_after(limit_s):
            await self.write_owner(self.writer, resigned=True)
        if self.writer is not None:
            self.writer.fence()
