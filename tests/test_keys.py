from __future__ import annotations

import unittest
from unittest import mock

import msgspec
import trio

from rattanwing.entry.keys import KeyBegin, KeyResult, KeyTable
from rattanwing.errors import LogUnavailableError
from rattanwing.standin.log import MemoryLog
from tests.world import run_world

LATE_S = 4.0


def encoded_begin(number):
    return msgspec.json.encode(KeyBegin(f"begin-{number}", "s/k", "digest"))


def encoded_result(number, verdict="not-run"):
    result = KeyResult(
        f"result-{number}", "s/k", f"begin-{number}", verdict, "", 0, [], b""
    )
    return msgspec.json.encode(result)


class ReleasedKeyTests(unittest.TestCase):
    """A begin record is appended after the result that releases its key."""

    def apply(self, *records):
        """Return the table and whether each record was accepted."""
        table = KeyTable()
        accepted = [
            table.apply(offset, 0.0, record).accepted
            for offset, record in enumerate(records)
        ]
        return table, accepted

    def test_second_append_does_not_take_the_key(self):
        begin = encoded_begin(1)
        _table, accepted = self.apply(begin, encoded_result(1), begin, encoded_begin(2))
        self.assertEqual(accepted, [True, True, False, True])

    def test_late_append_does_not_take_the_key(self):
        records = [encoded_result(1), encoded_begin(1), encoded_begin(2)]
        _table, accepted = self.apply(*records)
        self.assertEqual(accepted, [False, False, True])

    def test_snapshot_keeps_released_keys(self):
        table, _accepted = self.apply(encoded_begin(1), encoded_result(1))
        restored = KeyTable()
        restored.load_snapshot(table.make_snapshot("snapshot", 2))
        self.assertFalse(restored.apply(2, 0.0, encoded_begin(1)).accepted)

    def test_key_of_a_request_that_may_have_run_stays_taken(self):
        records = [encoded_begin(1), encoded_result(1, "may-have-run")]
        _table, accepted = self.apply(*records, encoded_begin(1), encoded_begin(2))
        self.assertEqual(accepted, [True, True, True, False])

    def test_request_runs_after_a_late_append(self):
        """Its key stayed taken: each resend got may-have-run at its deadline."""
        verdicts = []

        async def scenario(world):
            world.start_entry("entry-1", "fd-1")
            world.start_agent("agent-1", "fd-1")
            await world.wait_ready(1)
            append, late = MemoryLog.append, []

            async def append_later(*call):
                await trio.sleep(LATE_S)
                await append(*call)

            async def append_first_late(log, stream, records):
                if late or not any(b'"begin"' in record for record in records):
                    return await append(log, stream, records)
                late.append(records)
                world.nursery.start_soon(append_later, log, stream, records)
                await trio.sleep(1.0)
                raise LogUnavailableError("no answer")

            with mock.patch.object(MemoryLog, "append", append_first_late):
                for pause_s in (2 * LATE_S, 0.0):
                    await world.request("entry-1", "m1", timeout_ms=500, key="k")
                    verdicts.append(world.history.calls["m1"].verdict)
                    await trio.sleep(pause_s)

        run_world(scenario)
        self.assertEqual(verdicts, ["not-run", "ran"])
