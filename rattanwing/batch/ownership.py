"""Which entry schedules: a claim in the work topic, by one conditional append.

The claim names a higher epoch. From then on the store refuses the appends of
the previous owner, and every agent refuses its orders.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.batch import records
from rattanwing.batch.ports import Stamp
from rattanwing.batch.timing import OWNER_RENEWAL_INTERVAL_S, OWNER_TIMEOUT_S
from rattanwing.batch.writer import RecordWriter
from rattanwing.errors import (
    LogConditionError,
    LogFencedError,
    LogSequenceError,
    LogUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from rattanwing.batch.ports import KeyedStore
    from rattanwing.batch.replica import TopicReader, WorkReplica

OWNER_PRODUCER = "owner"
CLAIM_JITTER_S = 0.6
"""Spread of the candidates' claims, some round trips, so that most find one."""

CLAIM_CHECK_INTERVAL_S = 0.1
"""How often a candidate looks; a tenth of the owner's renewal."""

CLAIM_ATTEMPTS = 6
"""Tries of one claim before the candidate reads on."""

CLAIM_HOLD_OFF_S = 3.0
"""How long an owner that gave way leaves the claim to others: several of their
looks at the topic; where nobody claims, it claims again."""

FIRST_SEQUENCE_LIMIT = 1 << 31
"""Claims begin at a random sequence number below this, so that the claims of
two candidates are never taken for repeats of one append."""


class Candidate:
    """One entry's part in the ownership.

    :param serve: runs while this entry owns the scheduling; gets the epoch and
        the writer of the owner's records.
    """

    __slots__ = (
        "node",
        "incarnation",
        "store",
        "replica",
        "reader",
        "clock",
        "random",
        "serve",
        "writer",
        "stopping",
        "may_claim_from",
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
        serve: Callable[[int, RecordWriter], Awaitable[None]],
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.store = store
        self.replica = replica
        self.reader = reader
        self.clock = clock
        self.random = random
        self.serve = serve
        self.writer: RecordWriter | None = None
        self.stopping = False
        self.may_claim_from = clock()

    def may_claim(self, now: float, jitter_s: float) -> bool:
        """Return whether the scheduling has no living owner.

        Silence counts only while this entry reads the store without a break: in
        an outage nobody can write, and the owner goes on.
        """
        if self.stopping or now < self.may_claim_from:
            return False
        if not self.reader.is_fresh(now):
            return False
        owner = self.replica.owner
        if owner is None or owner.resigned:
            return True
        if owner.node == self.node:
            return owner.incarnation != self.incarnation
        heard_at = max(self.replica.owner_seen_at, self.reader.fresh_since)
        return now - heard_at > OWNER_TIMEOUT_S + jitter_s

    async def run(self) -> None:
        """Claim the scheduling whenever it has no owner, and serve it."""
        await self.reader.loaded.wait()
        while True:
            jitter_s = self.random.random() * CLAIM_JITTER_S
            while not self.may_claim(self.clock(), jitter_s):
                await trio.sleep(CLAIM_CHECK_INTERVAL_S)
            claimed = await self.claim()
            if claimed is None:
                await trio.sleep(self.random.random() * CLAIM_CHECK_INTERVAL_S)
                continue
            await self.serve_epoch(claimed)

    async def claim(self) -> RecordWriter | None:
        """Try to become the owner; return the owner's writer."""
        owner = self.replica.owner
        epoch = owner.epoch + 1 if owner else 1
        sequence = self.random.randrange(1, FIRST_SEQUENCE_LIMIT)
        stamp = Stamp(OWNER_PRODUCER, epoch, sequence)
        claim = records.Owner(epoch, self.node, self.incarnation)
        claimed = [(records.OWNER_KEY, records.encode(claim))]
        end = self.reader.end
        for _ in range(CLAIM_ATTEMPTS):
            sent_at = self.clock()
            try:
                await self.store.append(records.WORK_TOPIC, claimed, stamp, at=end)
            except (LogConditionError, LogFencedError, LogSequenceError):
                return None
            except LogUnavailableError as error:
                if not error.applied:
                    return None
                await trio.sleep(CLAIM_CHECK_INTERVAL_S)
                continue
            writer = RecordWriter(
                self.store, records.WORK_TOPIC, stamp, self.clock, self.random
            )
            writer.confirmed_at = sent_at
            return writer
        return None

    async def serve_epoch(self, writer: RecordWriter) -> None:
        """Schedule until another entry has taken over."""
        self.writer = writer
        self.replica.apply_owner(
            records.Owner(writer.epoch, self.node, self.incarnation)
        )
        events.write(events.OWNERSHIP_TAKEN, epoch=writer.epoch, node=self.node)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.renew, writer)
            nursery.start_soon(self.serve, writer.epoch, writer)
            nursery.start_soon(
                self.cancel_when_superseded, writer, nursery.cancel_scope
            )
            await writer.run()
            nursery.cancel_scope.cancel()
        self.writer = None
        events.write(events.OWNERSHIP_LOST, epoch=writer.epoch, node=self.node)

    async def renew(self, writer: RecordWriter) -> None:
        """Write a sign of life when nothing else was written."""
        while True:
            if self.clock() - writer.confirmed_at >= OWNER_RENEWAL_INTERVAL_S:
                await self.write_owner(writer, resigned=False)
            await trio.sleep(OWNER_RENEWAL_INTERVAL_S / 4)

    async def cancel_when_superseded(
        self, writer: RecordWriter, scope: trio.CancelScope
    ) -> None:
        """End the epoch once a later claim was read."""
        while self.replica.owner is None or self.replica.owner.epoch <= writer.epoch:
            await trio.sleep(CLAIM_CHECK_INTERVAL_S)
        scope.cancel()

    async def write_owner(self, writer: RecordWriter, resigned: bool) -> None:
        """Append the owner's record."""
        owner = records.Owner(writer.epoch, self.node, self.incarnation, resigned)
        value = records.encode(owner)
        await writer.store_records([(records.OWNER_KEY, value)], None)

    async def step_down(self) -> None:
        """Resign, and leave the claim to others for a while."""
        if self.writer is None:
            return
        self.may_claim_from = self.clock() + CLAIM_HOLD_OFF_S
        await self.write_owner(self.writer, resigned=True)
        if self.writer is not None:
            self.writer.fence()

    async def resign(self, limit_s: float) -> None:
        """Give the scheduling up before a planned stop."""
        self.stopping = True
        if self.writer is None:
            return
        with trio.move_on_after(limit_s):
            await self.write_owner(self.writer, resigned=True)
        if self.writer is not None:
            self.writer.fence()
