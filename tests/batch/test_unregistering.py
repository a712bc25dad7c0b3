from __future__ import annotations

import unittest
from random import Random

import trio
import trio.testing

from rattanwing.batch import records
from rattanwing.batch.ports import AppendStamp, StoredRecord
from rattanwing.batch.replica import Directory
from rattanwing.batch.unregistering import AddressRemover
from rattanwing.errors import (
    LogConditionError,
    LogFencedError,
    LogSequenceError,
    LogUnavailableError,
)


class ScriptedStore:
    """Raises the scripted errors, one an append, and then stores.

    :param before: called before each append.
    """

    def __init__(self, errors, before=lambda: None):
        self.errors = list(errors)
        self.before = before
        self.calls = []

    async def append(self, _topic, deletions, stamp, expected_end):
        self.before()
        names = [key.removeprefix(records.AGENT_PREFIX) for key, _none in deletions]
        self.calls.append((names, stamp.sequence, expected_end))
        if self.errors:
            raise self.errors.pop(0)
        return expected_end


class Reader:
    end_offset = 7


class AddressRemoverTests(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        self.reader = Reader()

    def register(self, name):
        address = records.encode(records.AgentAddress(name, "10.0.0.1:8000", "i"))
        self.directory.apply(StoredRecord(records.AGENT_PREFIX + name, address, 0))

    def remove(self, *names, errors=(), before=lambda: None):
        """Remove agents and return the calls of the store."""
        store = ScriptedStore(errors, before)
        self.remover = AddressRemover(
            store, self.directory, self.reader, AppendStamp("owner", 3, 10), Random(1)
        )
        for name in names:
            self.remover.remove(name)

        async def main():
            with trio.move_on_after(10):
                await self.remover.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return store.calls

    def test_addresses_are_deleted_at_the_end_that_was_read(self):
        self.assertEqual(self.remove("b", "a"), [(["a", "b"], 11, 7)])
        self.assertEqual(self.remover.lost, set())

    def test_an_agent_that_has_registered_again_keeps_its_address(self):
        def come_back():
            self.register("a")
            self.reader.end_offset = 8

        calls = self.remove("a", errors=[LogConditionError("")], before=come_back)
        self.assertEqual(calls, [(["a"], 11, 7)])
        self.assertIn("a", self.directory.agents)

    def test_an_unanswered_deletion_is_repeated_unchanged(self):
        """Another name under its number would be taken for stored."""

        def lose_another():
            self.remover.lost.add("b")
            self.reader.end_offset = 9

        calls = self.remove("a", errors=[LogUnavailableError("")], before=lose_another)
        self.assertEqual(calls[:2], [(["a"], 11, 7)] * 2)
        self.assertEqual(calls[2], (["b"], 12, 9))

    def test_the_number_that_the_store_expects_is_used(self):
        calls = self.remove("a", errors=[LogSequenceError(21)])
        self.assertEqual(calls, [(["a"], 11, 7), (["a"], 21, 7)])

    def test_a_repeat_that_was_stored_is_not_deleted_again(self):
        errors = [LogUnavailableError(""), LogSequenceError(12)]
        self.assertEqual(self.remove("a", errors=errors), [(["a"], 11, 7)] * 2)

    def test_a_later_owner_ends_the_deletions(self):
        calls = self.remove("a", errors=[LogFencedError("")])
        self.assertEqual(calls, [(["a"], 11, 7)])
        self.assertEqual(self.remover.lost, {"a"})
