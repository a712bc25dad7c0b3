"""Mutated bodies raise the declared errors only, whatever they hold."""

from __future__ import annotations

import math
import unittest
from random import Random
from unittest import mock

import msgspec
import trio

from rattanwing import events, settings
from rattanwing.batch import messages, records
from rattanwing.batch.agent import BatchAgent
from rattanwing.batch.configuration import CurrentConfiguration
from rattanwing.batch.model import StepSpec
from rattanwing.batch.ports import EndedRow, EndReason, RunningRow, StoredRecord
from rattanwing.config import tree
from rattanwing.entry import keys
from rattanwing.errors import (
    LogError,
    ProtocolError,
    RecordError,
    SettingsError,
)
from rattanwing.jobs import shard
from rattanwing.jobs.records import JobSpec, Submit
from rattanwing.platform.executor import AnnouncementRoutes, parse_order_answer
from rattanwing.platform.operator import OperatorRecords
from rattanwing.platform.settings import parse_settings
from rattanwing.platform.store import decode_read, encode_record
from rattanwing.util.http_client import HttpCallError
from tests.batch.world import job
from tests.platform.test_adapter import ANNOUNCEMENT, CONFIG, SETTINGS, request
from tests.platform.test_odd_input import NOW_MS, make_client, submit
from tests.platform.test_store import append, store_with

SEED = 20261205
MUTATIONS = 300
"""Mutations of each body."""

ODD_VALUES = (
    None,
    True,
    -1,
    0,
    0.5,
    1e300,
    2**63,
    2**64 - 1,
    "",
    "x",
    "1",
    "\ud7ff\u2028\0",
    "k" * 70_000,
    "10.0.0.1:70000",
    [],
    {},
    [[]],
    {"": {}},
    [None] * 1000,
)
ODD_JSON_VALUES = (*ODD_VALUES, 10**30, -(10**30))
ODD_MESSAGEPACK_VALUES = (*ODD_VALUES, math.nan, math.inf, -math.inf, b"\xff")
ODD_BYTES = (
    b"",
    b"\xff",
    b"\0",
    b"[" * 100_000,
    b'{"":' * 100_000,
    b"\x91" * 100_000,
    b"\x81\xa0" * 100_000,
    b"9" * 5000,
    b"1e999",
    b"-",
    b"\\ud800",
    b"NaN",
)


def paths(value, path=()):
    """Return the path of each value in a document."""
    found = [path]
    if isinstance(value, dict):
        for key, item in value.items():
            found += paths(item, (*path, key))
    elif isinstance(value, list | tuple):
        for index, item in enumerate(value):
            found += paths(item, (*path, index))
    return found


def replace(value, path, new):
    """Return a copy of a document with another value at a path."""
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace(copy[path[0]], path[1:], new)
    return copy


def mutate_bytes(random, body):
    """Return the body with some bytes cut, replaced or inserted."""
    start = random.randrange(len(body) + 1)
    end = min(len(body), start + random.choice((0, 0, 1, 1, 2, 10, 10**6)))
    new = random.choice((*ODD_BYTES, random.randbytes(random.randrange(1, 5))))
    return body[:start] + new + body[end:]


def mutate_value(random, body, codec, odd_values):
    """Return the body with one value replaced, removed or put into a new field."""
    value = codec.decode(body)
    path = random.choice(paths(value))
    odd = random.choice(odd_values)
    if random.random() < 0.2 and isinstance(value, dict):
        return codec.encode({**value, "odd": odd})
    if random.random() < 0.2 and isinstance(value, list):
        return codec.encode([*value, odd])
    return codec.encode(replace(value, path, odd))


def mutations(body, codec=None):
    """Return mutations of a body, the same ones in each run.

    :param codec: msgspec's module for the body's encoding, ``None`` for another one.
    """
    random = Random(SEED)
    odd_values = ODD_JSON_VALUES if codec is msgspec.json else ODD_MESSAGEPACK_VALUES
    for number in range(MUTATIONS):
        if codec is None or number % 2:
            yield mutate_bytes(random, body)
        else:
            yield mutate_value(random, body, codec, odd_values)


class FuzzedInputTests(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(events, "write", lambda _event, **_fields: None)
        patch.start()
        self.addCleanup(patch.stop)

    def check(self, body, codec, read, *errors):
        """Read a body, which must succeed, and then its mutations.

        :param errors: the declared errors.
        """
        read(body)
        refused = 0
        for number, mutated in enumerate(mutations(body, codec)):
            with self.subTest(number=number, mutated=mutated[:200]):
                try:
                    read(mutated)
                except errors:
                    refused += 1
        self.assertGreater(refused, 0)

    def check_can_be_sent(self, message):
        messages.decode(messages.encode(message))

    def test_announcements(self):
        body = msgspec.json.encode({**ANNOUNCEMENT, "remaining_ms": 5})

        def read(data):
            agent = BatchAgent(lambda: 0.0, lambda _view: None)
            routes = AnnouncementRoutes(agent, lambda: NOW_MS)
            made = request("PUT", "/x", data, match={"executor_id": "i-1"})
            status = trio.run(routes.handle_announcement, made).status
            if status == 400:
                self.assertIsNone(agent.executor)
                raise ProtocolError("refused")
            self.assertEqual(status, 200)
            view = agent.executor.view
            self.check_can_be_sent(messages.HostReport(1.0, 0, view, [], True))

        self.check(body, msgspec.json, read, ProtocolError)

    def test_lists_of_runs(self):
        body = msgspec.json.encode(
            {
                "clock_ms": 482113,
                "running": [["j.0.1.17", 2, "s", 41], ["j.0.1.2", 1, "", 0, 77]],
                "ended": [[58, "j.0.1.9", 1, "done", ""]],
            }
        )

        def read(data):
            result = trio.run(make_client(200, data).poll, 7, 57, None, 0.0)
            report = messages.HostReport(1.0, 0, None, result.running, True)
            self.check_can_be_sent(report)
            self.check_can_be_sent(messages.RunsEnded("i", result.ended))

        self.check(body, msgspec.json, read, HttpCallError)

    def test_answers_to_orders(self):
        body = msgspec.json.encode({"clock_ms": 482113, "reason": "fence"})
        self.check(
            body,
            msgspec.json,
            lambda data: parse_order_answer(409, data),
            HttpCallError,
        )

    def test_answers_of_the_store(self):
        item = {"key": "job/1", "value": "AAA=", "offset": 4}
        page = msgspec.json.encode({"items": [item], "has_more": True, "end": 6})

        def read_page(data):
            trio.run(store_with(200, data).list_newest, "work", "")

        self.check(page, msgspec.json, read_page, LogError)
        stored = msgspec.json.encode({"offset": 840, "end": 842})
        self.check(
            stored, msgspec.json, lambda data: append(store_with(200, data)), LogError
        )
        log = b"\0" * 16 + encode_record("job/1", b"value") + encode_record("k", None)
        self.check(log, None, lambda data: decode_read(data, 0), LogError)

    def test_configurations(self):
        def read(data):
            configuration = CurrentConfiguration()
            found = OperatorRecords(configuration, lambda: None)
            found.apply(StoredRecord("config", data, 1))
            if not configuration.version:
                raise RecordError("refused")
            for queues in configuration.queues_by_http_host.values():
                for queue in queues:
                    msgspec.msgpack.encode(queue.rules)

        self.check(msgspec.json.encode(CONFIG), msgspec.json, read, RecordError)

    def test_jobs_of_callers(self):
        step = {"count": 4, "cpu": 500, "estimate_ms": 900, "affinity": "r1-3"}
        later = {"count": 2, "after": [0], "checkpoint": True, "may_miss": 1}
        body = msgspec.json.encode({"spec": "t", "steps": [step, later], "times": 2})

        def read(data):
            status = submit(data)
            if status == 400:
                raise RecordError("refused")
            self.assertEqual(status, 200)

        self.check(body, msgspec.json, read, RecordError)

    def test_settings(self):
        self.check(SETTINGS, None, parse_settings, SettingsError)

    def test_stored_records(self):
        steps = (StepSpec(2, cpu=500), StepSpec(1, after=(0,), image="a"))
        values = {
            "job/job-1": job(steps=steps),
            "progress/job-1": records.Progress(
                1, done={"0.0": b"\3"}, failures={"0.1.0": [1]}, attempts={"0.1.0": 1}
            ),
            "cancel/job-1": records.CancelRequest(0),
            "agent/side-1": records.AgentAddress("side-1", "10.0.0.1:7720", "i"),
            "entry/front-1": records.EntryAddress("front-1", "10.0.0.1:7720", 500),
            "owner": records.Owner(3, "front-1", "i"),
            "pressures": records.InterferenceEstimates(3, [("a", "b", 0.1, 70.0)]),
        }
        for key, value in values.items():
            self.check(
                records.encode(value),
                msgspec.msgpack,
                lambda data, key=key: records.decode(key, data),
                RecordError,
            )

    def test_messages_between_entries_and_agents(self):
        properties = messages.TaskProperties(100, 10, 0, False, 0, "")
        for message in (
            messages.OwnerHello(1, 1 << 20, "front-1"),
            messages.LeaseRenewal(1.0, 3.0),
            messages.StartRun(1, "t", 1, "i", "text", "", properties, 2.0),
            messages.HostReport(1.0, 1, None, [RunningRow("t", 1, "", 0)], True),
            messages.RunsEnded("i", [EndedRow(1, "t", 1, EndReason.DONE, "")]),
            messages.InterferenceEstimates([("a", "b", 0.1)]),
            messages.RelayedSubmit(job(), 1.0),
            messages.RelayedAnswer(messages.Answer.ACCEPTED),
        ):
            self.check(
                messages.encode(message),
                msgspec.msgpack,
                messages.decode,
                ProtocolError,
            )

    def test_records_of_the_log(self):
        spec = JobSpec("job-1", "team-1", cpu=1, memory_mb=1)
        for body, decode in (
            (msgspec.json.encode(Submit("r-1", spec)), shard.decode_record),
            (
                msgspec.json.encode(
                    tree.ChangeRecord("c-1", "a", [tree.Edit("teams/a", 0, {})])
                ),
                tree.decode_record,
            ),
            (
                msgspec.json.encode(keys.KeyBegin("b-1", "key", "digest")),
                keys.decode_record,
            ),
        ):
            self.check(body, msgspec.json, decode, RecordError)

    def test_settings_of_own_deployments(self):
        with open("examples/lucegiro/entry-1.json", "rb") as file:
            body = file.read()
        self.check(body, msgspec.json, settings.parse_settings, SettingsError)
