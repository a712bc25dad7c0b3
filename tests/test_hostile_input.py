"""Malformed input from peers and the log is logged and does not stop the work."""

from __future__ import annotations

import unittest
from unittest import mock

import trio

from rattanwing import events, messages
from rattanwing.entry.operators import OperatorInterface
from rattanwing.errors import LogUnavailableError
from rattanwing.log.client import HttpLog
from rattanwing.util.http_client import HttpResponse
from rattanwing.util.http_server import Request
from tests.history import find_violations
from tests.world import run_world

DEEP = b'{"odd":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


class FakeHttp:
    """Returns a preset answer."""

    def __init__(self, status, body):
        self.answer = HttpResponse(status, [], body)

    async def call(self, *_request):
        return self.answer


class HostileInputTests(unittest.TestCase):
    def run_with_events(self, scenario):
        written = []
        original_write = events.write

        def record_and_write(event, **fields):
            written.append(event.number)
            original_write(event, **fields)

        with mock.patch.object(events, "write", record_and_write):
            history = run_world(scenario, entries=1)
        self.assertEqual(find_violations(history), [])
        return written

    async def assert_work_continues(self, world):
        response = await world.request("entry-1", "after")
        self.assertEqual(response.status, 200)
        self.assertEqual(await world.submit("entry-1", "after", run_s=1), 200)
        await world.wait_for_state("entry-1", "after", "finished")

    def test_peer_with_malformed_or_unexpected_messages_is_disconnected(self):
        hello = messages.encode(messages.Hello("agent-9", "i", "fd-1", None, None))
        # Arrays of up to 15 items start with one byte that counts the items.
        deep = bytes([hello[0] + 1]) + hello[1:] + b"\x91" * 100_000 + b"\x90"
        cases = (
            [b"\xff\xff"],
            [b""],
            [deep],
            [messages.encode(messages.Heartbeat(0.0))],
            [hello, b"\x00garbage"],
            [hello, deep],
            [hello, messages.encode(messages.TaskReport(99, "j", 1, "running"))],
            [hello, messages.encode(messages.TaskList(0, 0, "i", []))],
        )

        async def scenario(world):
            world.start_entry("entry-1")
            world.start_agent("agent-1")
            await world.wait_ready(1)
            dial = world.make_dial("intruder")

            async def send_all(stream, frames):
                for frame in frames:
                    await stream.send(frame)
                await trio.sleep(2)

            for frames in cases:
                await dial("127.0.0.1:1", lambda s, frames=frames: send_all(s, frames))
            await self.assert_work_continues(world)

        written = self.run_with_events(scenario)
        refused = written.count(events.PEER_MESSAGE_REFUSED.number)
        self.assertGreaterEqual(refused, 6)
        self.assertNotIn(events.PEER_HANDLING_FAILED.number, written)

    def test_malformed_answers_of_the_log_count_as_no_answer(self):
        """Another error made the task that reads or appends fail."""
        for body in (b"", b"{", b"[]", b"{}", b"\xff", DEEP):
            for status, method, arguments in (
                (200, "append", ("config", [b"{}"])),
                (200, "read", ("config", 0, 0.0)),
                (410, "read", ("config", 0, 0.0)),
            ):
                log = HttpLog("127.0.0.1:1")
                log.client = FakeHttp(status, body)
                with (
                    self.subTest(body=body[:20], status=status, method=method),
                    self.assertRaises(LogUnavailableError),
                ):
                    trio.run(getattr(log, method), *arguments)

    def test_malformed_limits_are_refused(self):
        async def scenario(world):
            world.start_entry("entry-1")
            world.start_agent("agent-1")
            await world.wait_ready(1)
            operators = OperatorInterface(world.app("entry-1"))
            for limit in ("\u00b2", "9" * 5000, "-1", "x", ""):
                made = Request("GET", "/", "/", {"limit": limit}, [], b"", {})
                response = await operators.audit(made)
                self.assertEqual(response.status, 400)

        run_world(scenario, entries=1)

    def test_malformed_records_are_skipped(self):
        async def scenario(world):
            world.start_entry("entry-1")
            world.start_agent("agent-1")
            await world.wait_ready(1)
            for stream in ("config", "shard-0", "shard-1", "keys-0", "keys-1"):
                await world.log.append(stream, [b'{"kind":"nonsense"}', b"[1]", DEEP])
            await trio.sleep(2)
            await world.declare_organisation()
            await self.assert_work_continues(world)

        written = self.run_with_events(scenario)
        self.assertEqual(written.count(events.RECORD_MALFORMED.number), 15)
