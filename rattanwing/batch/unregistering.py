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
    LogConditionError,
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


class Deletion:
    """One append that deletes addresses.

    :param expected_end: end of the directory at which the append is accepted.
    """

    __slots__ = ("names", "stamp", "expected_end")

    def __init__(self, names: list[str], stamp: AppendStamp, expected_end: int) -> None:
        self.names = names
        self.stamp = stamp
        self.expected_end = expected_end


class AddressRemover:
    """Deletes addresses under an owner's epoch.

    :param reader: reads the directory.
    :param stamp: the producer, its epoch and the sequence number of its last append.
    :param lost: names of the agents whose addresses are to be deleted.
    :param unresolved: a deletion that may have been stored or may yet be; it is
        repeated unchanged until the store answers.
    """

    __slots__ = (
        "store",
        "directory",
        "reader",
        "stamp",
        "random",
        "lost",
        "unresolved",
        "wake",
    )

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
        self.unresolved: Deletion | None = None
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
            deletion = self.next_deletion()
            if deletion is None:
                self.wake = trio.Event()
                continue
            try:
                await self.delete(deletion)
            except LogFencedError:
                events.write(
                    events.WRITER_FENCED,
                    producer=self.stamp.producer,
                    epoch=self.stamp.epoch,
                )
                return
            except LogUnavailableError as error:
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

    def next_deletion(self) -> Deletion | None:
        """Return the next append, ``None`` if all lost agents are deleted or back."""
        if self.unresolved is not None:
            return self.unresolved
        self.lost -= self.directory.agents.keys()
        if not self.lost:
            return None
        stamp = self.with_sequence(self.stamp.sequence + 1)
        return Deletion(sorted(self.lost), stamp, self.reader.end_offset)

    async def delete(self, deletion: Deletion) -> None:
        """Try to store a deletion once.

        It is not stored, and will not be, if the directory has changed since it was
        read; the reader is given time to follow before the next one.

        :raises LogUnavailableError: when it was not stored or may not have been.
        :raises LogFencedError: when a later owner has taken over.
        """
        records_deleted = [(records.AGENT_PREFIX + n, None) for n in deletion.names]
        self.unresolved = None
        try:
            await self.store.append(
                records.DIRECTORY_TOPIC,
                records_deleted,
                deletion.stamp,
                deletion.expected_end,
            )
        except LogConditionError:
            await trio.sleep(RETRY_PAUSE_S * (0.5 + self.random.random()))
        except LogSequenceError as error:
            if error.expected == deletion.stamp.sequence + 1:
                self.lost.difference_update(deletion.names)
            self.stamp = self.with_sequence(error.expected - 1)
        except LogUnavailableError as error:
            if error.may_have_applied:
                self.unresolved = deletion
            raise
        else:
            self.stamp = deletion.stamp
            self.lost.difference_update(deletion.names)

    def with_sequence(self, sequence: int) -> AppendStamp:
        """Return the stamp with another sequence number."""
        return AppendStamp(self.stamp.producer, self.stamp.epoch, sequence)
