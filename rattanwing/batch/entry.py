"""One entry of the batch engine: creates and runs its components."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing.batch import records
from rattanwing.batch.configuration import CurrentConfiguration
from rattanwing.batch.freshness import StartGate
from rattanwing.batch.locality import NearPlaces
from rattanwing.batch.memory import make_memory_limits
from rattanwing.batch.owner import OwnerLoop
from rattanwing.batch.ownership import Candidate
from rattanwing.batch.ports import AppendStamp
from rattanwing.batch.relay import RelayingService
from rattanwing.batch.replica import Directory, TopicReader, WorkReplica
from rattanwing.batch.service import JobService
from rattanwing.batch.store_speed import StoreSpeed
from rattanwing.batch.writer import AppendLimits, RecordWriter

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from rattanwing.batch.connections import Dial
    from rattanwing.batch.ports import KeyedStore
    from rattanwing.batch.settings import BatchSettings

RESIGN_TIMEOUT_S = 1.0
"""Longest wait for the resignation to be stored. If none is stored, another entry
claims ownership once the owner has been silent for ``OWNER_TIMEOUT_S``."""

REGISTRATION_CHECK_S = 2.0
"""Interval in seconds at which an entry looks for its own address in the directory."""

SUCCESSOR_CHECK_INTERVAL_S = 0.05
"""Interval at which a stopping owner looks for another entry."""


class BatchEntry:
    """Reads the store, answers callers, and schedules while it is the owner.

    :param store: the platform's store.
    :param clock: returns monotonic seconds.
    :param wall_ms: returns the Unix time in milliseconds.
    :param dial: opens streams to agents and other entries.
    :param incarnation: unique to this start of the process.
    :param append_limits: sizes that the store accepts.
    :param limits: what the memory of the process suffices for.
    :param local_service: serves callers from this entry alone.
    :param relaying_service: serves callers, also through other entries.
    :param owner_loop: ``None`` unless this entry is the owner.
    """

    __slots__ = (
        "settings",
        "incarnation",
        "store",
        "clock",
        "wall_ms",
        "random",
        "dial",
        "configuration",
        "append_limits",
        "limits",
        "replica",
        "store_speed",
        "reader",
        "directory",
        "directory_reader",
        "writer",
        "directory_writer",
        "local_service",
        "relaying_service",
        "candidate",
        "owner_loop",
    )

    def __init__(
        self,
        settings: BatchSettings,
        store: KeyedStore,
        clock: Callable[[], float],
        wall_ms: Callable[[], int],
        random: Random,
        dial: Dial,
    ) -> None:
        self.settings = settings
        self.incarnation = f"{settings.name}-{random.getrandbits(64):016x}"
        self.store = store
        self.clock = clock
        self.wall_ms = wall_ms
        self.random = random
        self.dial = dial
        self.configuration = CurrentConfiguration()
        self.append_limits = AppendLimits(settings.record_bytes, settings.call_bytes)
        self.limits = make_memory_limits(settings.memory_mb)
        self.replica = WorkReplica(clock)
        self.store_speed = StoreSpeed()
        self.reader = TopicReader(
            store,
            records.WORK_TOPIC,
            clock,
            self.replica.apply,
            load_order=self.replica.load_order,
            speed=self.store_speed,
        )
        self.reader.on_loaded = self.replica.drop_deleted
        self.directory = Directory()
        self.directory_reader = TopicReader(
            store,
            records.DIRECTORY_TOPIC,
            clock,
            self.directory.apply,
            speed=self.store_speed,
        )
        self.writer = self.make_writer(records.WORK_TOPIC)
        self.directory_writer = self.make_writer(records.DIRECTORY_TOPIC)
        self.local_service = JobService(
            self.configuration,
            self.limits,
            lambda: len(self.directory.entries),
            self.replica,
            self.reader,
            self.writer,
            self.store_speed,
            clock,
        )
        self.relaying_service = RelayingService(
            settings.name,
            self.local_service,
            self.directory,
            clock,
            random,
            dial,
        )
        self.candidate = Candidate(
            settings.name,
            self.incarnation,
            store,
            self.replica,
            self.reader,
            clock,
            random,
            self.schedule_epoch,
            self.directory,
            settings.cpu,
            self.append_limits,
        )
        self.owner_loop: OwnerLoop | None = None

    def make_writer(self, topic: str) -> RecordWriter:
        """Return a writer that appends to a topic under this entry's producer name."""
        stamp = AppendStamp(self.incarnation, 1, 0)
        return RecordWriter(
            self.store,
            topic,
            stamp,
            self.clock,
            self.random,
            self.store_speed,
            self.append_limits,
        )

    def is_ready(self, now: float) -> bool:
        """Return whether callers may be sent to this entry.

        It must have a configuration and a fresh copy of the store, and not be stopping.
        """
        return (
            not self.candidate.stopping
            and self.configuration.version > 0
            and self.reader.is_fresh(now)
        )

    def handle_configuration_change(self) -> None:
        """Start a new round of decisions, if this entry is the owner."""
        if self.owner_loop is not None:
            self.owner_loop.wake()

    async def run(self) -> None:
        """Read the store and be a candidate for ownership until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.reader.run)
            nursery.start_soon(self.directory_reader.run)
            nursery.start_soon(self.writer.run)
            nursery.start_soon(self.directory_writer.run)
            nursery.start_soon(self.candidate.run)
            nursery.start_soon(self.keep_registered)

    async def keep_registered(self) -> None:
        """Keep the address at which this entry accepts relayed calls in the directory.

        The deletion by an earlier process may be carried out late.
        """
        if self.settings.peers_address is None:
            return
        settings = self.settings
        address = records.EntryAddress(
            settings.name, settings.peers_address, settings.cpu
        )
        key = records.ENTRY_PREFIX + address.node
        value = records.encode(address)
        while not self.candidate.stopping:
            await self.directory_writer.store_records([(key, value)], None)
            await trio.sleep(REGISTRATION_CHECK_S)
            while self.is_registered():
                await trio.sleep(REGISTRATION_CHECK_S)

    def is_registered(self) -> bool:
        """Return whether this entry is listed, as far as its copy can tell."""
        if not self.directory_reader.is_fresh(self.clock()):
            return True
        return self.settings.name in self.directory.entries

    async def schedule_epoch(self, _epoch: int, writer: RecordWriter) -> None:
        """Schedule as the owner of one epoch until cancelled."""
        self.owner_loop = OwnerLoop(
            self.settings.name,
            writer,
            self.replica,
            self.directory,
            self.directory_reader,
            self.configuration,
            self.clock,
            self.wall_ms,
            self.random,
            self.dial,
            self.settings.retention_s,
            self.candidate.keeps_ownership_until,
            StartGate(
                self.settings.domain_bound_s,
                self.settings.cancel_bound_s,
                lambda: self.configuration.read_sent_at(),
                lambda: self.reader.read_sent_at,
            ),
            NearPlaces(self.settings.far_factor),
            self.limits.held_tasks,
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.resign_on_request, self.owner_loop)
                await self.owner_loop.run()
        finally:
            self.owner_loop = None

    async def resign_on_request(self, loop: OwnerLoop) -> None:
        """Resign temporarily when the owner loop requests it."""
        await loop.resignation_requested.wait()
        await self.candidate.resign_temporarily()

    async def resign_for_shutdown(self, hold_s: float) -> None:
        """Resign ownership before a planned stop, and delete the relay address.

        All entries may be restarted in turn, each before the one before is back. An
        owner that is the last one left goes on scheduling until another has started.

        :param hold_s: longest time in seconds for which it does so.
        """
        self.candidate.stopping = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.unregister)
            with trio.move_on_after(hold_s):
                while self.owner_loop is not None and not self.has_successor():
                    await trio.sleep(SUCCESSOR_CHECK_INTERVAL_S)
            await self.candidate.resign_for_shutdown(RESIGN_TIMEOUT_S)

    def has_successor(self) -> bool:
        """Return whether another entry is registered and could become the owner."""
        return any(name != self.settings.name for name in self.directory.entries)

    async def unregister(self) -> None:
        """Delete the address at which this entry accepts relayed calls."""
        key = records.ENTRY_PREFIX + self.settings.name
        with trio.move_on_after(RESIGN_TIMEOUT_S):
            expires_at = self.clock() + RESIGN_TIMEOUT_S
            await self.directory_writer.store_records([(key, None)], expires_at)
