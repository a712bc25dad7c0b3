"""Deletes the addresses of lost agents from the directory.

A deletion that the store carries out late must not remove the address of an agent that
has come back: a later owner would not know of the agent and start its tasks again. So
each append is accepted only while the directory ends where this process has read it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.batch import records
from rattanwing.batch.ports import AppendStamp
from rattanwing.errors import (
    LogError,
    LogFencedError,
    LogSequenceError,
    LogUnavailableError,
)

if TYPE_CHECKING:
    from random import Random

    from rattanwing.batch.ports import KeyedStore
    from rattanwing.batch.replica import Directory, TopicReader

RETRY_PAUSE_S = 0.3
"""Mean pause before a deletion that was not accepted is tried again."""


class AddressRemover:
    """Deletes addresses under an owner's epoch.

    :param reader: reads the directory.
    :param stamp: the producer, its epoch and the sequence number of its last append.
    :param lost: names of the agents whose addresses are to be deleted.
    """

    __slots__ = ("store", "directory", "reader", "stamp", "random", "lost", "wake")

    def __init__(
        self,
        store: KeyedStore,
        directory: Directory,
        reader: TopicReader,
        stamp: AppendStamp,
        random: Random,
    ) -> None:
        self.store = store
        self.directory = directory
        self.reader = reader
        self.stamp = stamp
        self.random = random
        self.lost: set[str] = set()
        self.wake = trio.Event()

    def remove(self, name: str) -> None:
        """Delete an agent's address unless the agent registers before that."""
        self.directory.agents.pop(name, None)
        self.lost.add(name)
        self.wake.set()

    async def run(self) -> None:
        """Delete addresses until cancelled, or until a later owner has taken over.

        Of several failures in a row the first one is logged.
        """
        failing = False
        while True:
            await self.wake.wait()
            self.lost -= self.directory.agents.keys()
            if not self.lost:
                self.wake = trio.Event()
                continue
            names = sorted(self.lost)
            try:
                await self.delete(names)
            except LogFencedError:
                events.write(
                    events.WRITER_FENCED,
                    producer=self.stamp.producer,
                    epoch=self.stamp.epoch,
                )
                return
            except LogError as error:
                if not failing:
                    events.write(
                        events.LOG_UNAVAILABLE,
                        topic=records.DIRECTORY_TOPIC,
                        reason=f"deletion of an address: {error}",
                    )
                failing = True
                await trio.sleep(RETRY_PAUSE_S * (0.5 + self.random.random()))
            else:
                failing = False
                self.lost.difference_update(names)

    async def delete(self, names: list[str]) -> None:
        """Delete addresses if the directory has not changed since it was read.

        :raises LogError: when the addresses were not deleted, or may not have been.
        """
        deletions = [(records.AGENT_PREFIX + name, None) for name in names]
        following = self.with_sequence(self.stamp.sequence + 1)
        try:
            await self.store.append(
                records.DIRECTORY_TOPIC, deletions, following, self.reader.end_offset
            )
        except LogSequenceError as error:
            self.stamp = self.with_sequence(error.expected - 1)
            raise
        except LogUnavailableError as error:
            # A repeat under the same number would not be applied if other names were
            # added to it.
            if error.may_have_applied:
                self.stamp = following
            raise
        self.stamp = following

    def with_sequence(self, sequence: int) -> AppendStamp:
        """Return the stamp with another sequence number."""
        return AppendStamp(self.stamp.producer, self.stamp.epoch, sequence)
