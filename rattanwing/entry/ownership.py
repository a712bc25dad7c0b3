"""Ownership of shards: claims, renewals, and deferrals while the log is down.

An entry claims a shard by appending a claim record to the shard's stream; of
competing claims the one with the lowest offset wins. The owner's lease counts from
just before it sent the last claim or renewal that the log accepted. While the log
does not answer, no entry can claim a shard; the owner then goes on to act only if
every other entry defers, that is, promises not to claim the shard for one lease.
"""

from __future__ import annotations

import contextlib
import uuid
import zlib
from typing import TYPE_CHECKING

import trio

from rattanwing import events, messages
from rattanwing.errors import LogUnavailableError, PeerLostError
from rattanwing.jobs import records
from rattanwing.jobs.shard import NO_EPOCH
from rattanwing.leases import CLOCK_MARGIN_S, OWNER_LEASE_S, TASK_LEASE_S

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.entry.shards import Shard
    from rattanwing.log.stream import Outcome
    from rattanwing.peer.session import PeerSession

RENEW_INTERVAL_S = 1.5
"""Seconds between two renewals, and the timeout of each."""

CLAIM_STAGGER_S = 1.0
"""Seconds that each rank waits longer than the one before, to avoid rival claims."""

CHECK_INTERVAL_S = 0.25
"""Seconds between two checks whether to claim or renew."""

MAX_READ_AGE_S = 2.0
"""Largest age in seconds of the last confirmed read of the stream at which this entry
may claim the shard."""

NEVER = float("-inf")
"""A time before all others."""


class ShardOwnership:
    """Claims one shard for this entry and tracks who owns it.

    All times are seconds on this entry's monotonic clock.

    :param owner_id: name of this entry and a random part, new in each process.
    :param rank: place of this entry in the order in which entries claim the shard.
    :param epoch: epoch under which this entry owns the shard, else ``NO_EPOCH``.
    :param valid_until: end of this entry's lease.
    :param prior_leases_end_at: latest end of a task lease of an earlier owner.
    :param deferring_until: end of the promise not to claim the shard.
    :param owner_heard_at: when the last record of the owner was read.
    :param claiming: whether a claim is being appended.
    :param renewed_at: when the last claim or renewal was sent.
    :param deferrals: by entry, when the promise that it gave was requested.
    :param deferral_epoch: not used.
    """

    __slots__ = (
        "app",
        "shard",
        "owner_id",
        "rank",
        "epoch",
        "valid_until",
        "prior_leases_end_at",
        "deferring_until",
        "owner_heard_at",
        "claiming",
        "renewed_at",
        "deferrals",
        "deferral_epoch",
    )

    def __init__(self, app: Application, shard: Shard) -> None:
        self.app = app
        self.shard = shard
        self.owner_id = f"{app.settings.name}/{uuid.uuid4().hex[:12]}"
        self.rank = claim_rank(app, shard.number)
        self.epoch = NO_EPOCH
        self.valid_until = NEVER
        self.prior_leases_end_at = NEVER
        self.deferring_until = NEVER
        self.owner_heard_at = app.now()
        self.claiming = False
        self.renewed_at = NEVER
        self.deferrals: dict[str, float] = {}
        shard.stream.on_applied.append(self.handle_outcome)

    def is_owner(self, now: float) -> bool:
        """Return whether this entry may act for the shard at ``now``."""
        state = self.shard.state
        return self.holds_epoch() and not state.released and now < self.valid_until

    def holds_epoch(self) -> bool:
        """Return whether this entry made the newest claim that was read."""
        return self.epoch != NO_EPOCH and self.epoch == self.shard.state.epoch

    def handle_outcome(self, outcome: Outcome, _time: float, _payload: bytes) -> None:
        """Record that the owner is alive, and detect that ownership was lost."""
        if self.shard.state.last_owner_offset == outcome.offset:
            self.owner_heard_at = self.app.now()
        if self.epoch != NO_EPOCH and not self.holds_epoch():
            events.write(events.SHARD_LOST, shard=self.shard.number, epoch=self.epoch)
            self.epoch = NO_EPOCH
            self.valid_until = NEVER

    async def run(self) -> None:
        """Claim the shard when it has no owner, and renew ownership of it."""
        while True:
            now = self.app.now()
            if self.holds_epoch() and not self.shard.state.released:
                if now - self.renewed_at >= RENEW_INTERVAL_S:
                    await self.renew()
            elif self.may_claim(now):
                await self.claim()
            await trio.sleep(CHECK_INTERVAL_S)

    def may_claim(self, now: float) -> bool:
        """Return whether the shard seems to have no live owner.

        Returns false while the last confirmed read of the stream is too old or this
        entry defers to the owner.
        """
        stream = self.shard.stream
        if now - stream.confirmed_at > MAX_READ_AGE_S or now < self.deferring_until:
            return False
        state = self.shard.state
        stagger = self.rank * CLAIM_STAGGER_S
        if state.epoch == NO_EPOCH or state.released:
            return now - stream.available_since >= stagger
        last_heard_at = max(self.owner_heard_at, stream.available_since)
        return now - last_heard_at > OWNER_LEASE_S + CLOCK_MARGIN_S + stagger

    async def claim(self) -> None:
        """Append a claim; if it is read back as accepted, start to act as owner."""
        sent_at = self.app.now()
        state = self.shard.state
        record = records.Claim(
            f"claim-{uuid.uuid4().hex}",
            self.owner_id,
            state.epoch,
            state.last_owner_offset,
        )
        self.claiming = True
        try:
            outcome = await self.shard.commit(record, OWNER_LEASE_S)
        except LogUnavailableError:
            return
        finally:
            self.claiming = False
        if not outcome.accepted:
            return
        self.epoch = outcome.offset
        self.renewed_at = sent_at
        self.valid_until = sent_at + OWNER_LEASE_S
        now = self.app.now()
        self.prior_leases_end_at = (
            max(now, self.deferring_until) + TASK_LEASE_S + CLOCK_MARGIN_S
        )
        events.write(events.SHARD_CLAIMED, shard=self.shard.number, epoch=self.epoch)
        self.app.emit("shard-claimed", self.shard)

    async def renew(self) -> None:
        """Append a renewal; if the log does not answer, request deferrals."""
        sent_at = self.app.now()
        self.renewed_at = sent_at
        record = records.Renew(f"renew-{uuid.uuid4().hex}", self.epoch)
        try:
            outcome = await self.shard.commit(record, RENEW_INTERVAL_S)
        except LogUnavailableError:
            self.request_deferrals()
            return
        if outcome.accepted:
            self.valid_until = max(self.valid_until, sent_at + OWNER_LEASE_S)

    async def release(self) -> None:
        """Append a release, so that another entry can claim the shard at once."""
        if not self.is_owner(self.app.now()):
            return
        record = records.Release(f"release-{uuid.uuid4().hex}", self.epoch)
        with contextlib.suppress(LogUnavailableError):
            await self.shard.commit(record, RENEW_INTERVAL_S)
        self.valid_until = NEVER

    def request_deferrals(self) -> None:
        """Ask every other entry not to claim the shard for one lease."""
        peers = self.app.get("peers")
        now = self.app.now()
        self.deferrals = {}
        others = peers.other_entries()
        if not others:
            self.extend_lease(now)
        query = messages.DeferQuery(self.shard.number, self.epoch, now)
        for entry in others:
            session = peers.sessions.get(entry.name)
            if session is None:
                return
            try:
                session.send(query)
            except PeerLostError:
                return

    def handle_deferral(self, name: str, reply: messages.DeferReply) -> None:
        """Extend the lease once every other entry has agreed to defer."""
        if not reply.granted or reply.epoch != self.epoch:
            return
        self.deferrals[name] = reply.echo
        others = {entry.name for entry in self.app.get("peers").other_entries()}
        if others <= set(self.deferrals):
            self.extend_lease(min(self.deferrals.values()))

    def extend_lease(self, asked_at: float) -> None:
        """Extend the lease to one lease duration after the request for deferrals.

        :param asked_at: when the earliest of the deferrals was requested.
        """
        if self.holds_epoch():
            self.valid_until = max(self.valid_until, asked_at + OWNER_LEASE_S)

    def grant_deferral(self, query: messages.DeferQuery, now: float) -> bool:
        """Promise the owner not to claim the shard for one lease.

        Refuses while a claim of this entry may still take effect, and if it has read
        a newer epoch than the owner's.

        :returns: whether the promise was given.
        """
        state = self.shard.state
        if self.claiming or self.has_unresolved_claim() or state.epoch > query.epoch:
            return False
        self.deferring_until = now + OWNER_LEASE_S + CLOCK_MARGIN_S
        return True

    def has_unresolved_claim(self) -> bool:
        """Return whether a claim of this entry may still take effect."""
        pending = self.shard.stream.pending
        return any(record_id.startswith("claim-") for record_id in pending)


class OwnershipService:
    """Ownership of all shards, and messages about it between entries."""

    __slots__ = ("app", "shards")

    def __init__(self, app: Application) -> None:
        self.app = app
        shards = app.get("shards").shards
        self.shards = [ShardOwnership(app, shard) for shard in shards]
        app.connect("peer-entry-message", self.handle_message)

    def owned_leases(self, now: float) -> list[messages.OwnedShard]:
        """Return the number and epoch of each shard that this entry owns."""
        return [
            messages.OwnedShard(ownership.shard.number, ownership.epoch)
            for ownership in self.shards
            if ownership.is_owner(now)
        ]

    def handle_message(
        self, name: str, session: PeerSession, message: messages.Message
    ) -> None:
        """Answer another entry's deferral request, or handle its answer."""
        match message:
            case messages.DeferQuery(shard=shard) if 0 <= shard < len(self.shards):
                now = self.app.now()
                granted = self.shards[shard].grant_deferral(message, now)
                session.send(
                    messages.DeferReply(shard, message.epoch, message.sent_at, granted)
                )
            case messages.DeferReply(shard=shard) if 0 <= shard < len(self.shards):
                self.shards[shard].handle_deferral(name, message)

    async def release_all(self) -> None:
        """Release every owned shard before a planned stop."""
        async with trio.open_nursery() as nursery:
            for ownership in self.shards:
                nursery.start_soon(ownership.release)


def claim_rank(app: Application, shard: int) -> int:
    """Return this entry's place, from 0, in the order of claimants of a shard.

    The order differs between shards, so that they spread over the entries.
    """
    names = [entry.name for entry in app.settings.entry.entries]
    ordered = sorted(names, key=lambda name: zlib.crc32(f"{name}/{shard}".encode()))
    return ordered.index(app.settings.name)


def setup(app: Application) -> None:
    """Register the service ``ownership`` and one task for each shard."""
    service = OwnershipService(app)
    app.add_service("ownership", service)
    for ownership in service.shards:
        app.add_task(ownership.run)
