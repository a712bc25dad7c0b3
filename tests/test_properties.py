"""Properties of the message codec, the folds and the settings, for random input."""

from __future__ import annotations

import copy
import json
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanwing import messages
from rattanwing.config.tree import ConfigTree
from rattanwing.errors import ProtocolError, RecordError, SettingsError
from rattanwing.jobs.shard import ShardState
from rattanwing.settings import parse_settings
from rattanwing.util.codec import MAX_MESSAGE_BYTES

SETTINGS = settings(derandomize=True, max_examples=300, deadline=None, database=None)
START = 1_796_000_000.0
AUTHORS = st.sampled_from(["ada", "bea", "carl", "zoe"])
PATHS = st.sampled_from(
    ["organisation", "teams/lamps", "failure-domains/fd-1", "teams/x/services/y", "q/r"]
)
VALUES = st.one_of(
    st.none(),
    st.just({"owners": ["ada", "bea"], "first_month": "2026-11"}),
    st.just({"members": ["carl"]}),
    st.just({"state": "out"}),
    st.just({}),
    st.integers(),
)
EDITS = st.builds(
    lambda path, base, value: {"path": path, "base": base, "value": value},
    PATHS,
    st.integers(0, 6),
    VALUES,
)
CHANGES = st.builds(
    lambda number, author, edits, settle: json.dumps(
        {
            "kind": "change",
            "id": f"c{number}",
            "author": author,
            "edits": edits,
            "settle": settle,
        }
    ).encode(),
    st.integers(0, 12),
    AUTHORS,
    st.lists(EDITS, max_size=3),
    st.booleans(),
)
JOB_SPEC = {"id": "a", "team": "t", "cpu": 1, "memory_mb": 1}
JOBS = st.sampled_from(["a", "b"])
ATTEMPTS = st.integers(0, 3)
EPOCHS = st.integers(-1, 8)
SHARD_RECORDS = st.one_of(
    st.builds(
        lambda e, h: {
            "kind": "claim",
            "id": "c",
            "owner": "e",
            "expected": e,
            "heard": h,
        },
        EPOCHS,
        EPOCHS,
    ),
    st.builds(lambda e: {"kind": "renew", "id": "r", "epoch": e}, EPOCHS),
    st.builds(
        lambda j: {
            "kind": "submit",
            "id": "s",
            "spec": {"id": j, "team": "t", "cpu": 1, "memory_mb": 1},
        },
        JOBS,
    ),
    st.builds(
        lambda e, j, a: {
            "kind": "place",
            "id": "p",
            "epoch": e,
            "job": j,
            "attempt": a,
            "worker": "w",
            "incarnation": "i",
        },
        EPOCHS,
        JOBS,
        ATTEMPTS,
    ),
    st.builds(
        lambda e, j, a, ran: {
            "kind": "stop",
            "id": "x",
            "epoch": e,
            "job": j,
            "attempt": a,
            "reason": "",
            "ran": ran,
        },
        EPOCHS,
        JOBS,
        ATTEMPTS,
        st.booleans(),
    ),
    st.builds(
        lambda e, j, a, ok: {
            "kind": "finish",
            "id": "f",
            "epoch": e,
            "job": j,
            "attempt": a,
            "ok": ok,
        },
        EPOCHS,
        JOBS,
        ATTEMPTS,
        st.booleans(),
    ),
    st.builds(lambda j: {"kind": "cancel", "id": "k", "job": j, "author": "ada"}, JOBS),
)


class CodecProperties(unittest.TestCase):
    @SETTINGS
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_decode_or_raise_protocol_error(self, data):
        try:
            message = messages.decode(data)
        except ProtocolError:
            return
        self.assertIsInstance(message, messages.Message)

    @SETTINGS
    @given(st.binary(min_size=1, max_size=40), st.integers(0, 60), st.integers(0, 255))
    def test_damaged_message_decodes_or_raises_protocol_error(
        self, body, position, byte
    ):
        request = messages.ServiceRequest("i", "s", 0, 1.0, "GET", "/", [], body)
        data = bytearray(messages.encode(request))
        self.assertEqual(messages.decode(bytes(data)), request)
        data[position % len(data)] = byte
        for damaged in (bytes(data), bytes(data[: position % len(data)])):
            try:
                messages.decode(damaged)
            except ProtocolError:
                continue

    def test_oversized_message_is_refused(self):
        with self.assertRaises(ProtocolError):
            messages.decode(b"\x00" * (MAX_MESSAGE_BYTES + 1))


class FoldProperties(unittest.TestCase):
    @SETTINGS
    @given(st.binary(max_size=120))
    def test_malformed_records_change_nothing(self, data):
        for fold in (ConfigTree(), ShardState()):
            before = fold.make_snapshot("s", 0)
            with self.assertRaises(RecordError):
                fold.snapshot_offset(data)
                fold.apply(0, START, data)
            self.assertEqual(fold.make_snapshot("s", 0), before)

    @SETTINGS
    @given(st.lists(CHANGES, max_size=12), st.integers(0, 12))
    def test_config_from_a_snapshot_equals_the_full_replay(self, changes, cut):
        cut = min(cut, len(changes))
        full, before_cut = ConfigTree(), ConfigTree()
        versions = []
        for offset, change in enumerate(changes):
            full.apply(offset, START, change)
            versions.append(full.last_change_version)
            if offset < cut:
                before_cut.apply(offset, START, change)
        restored = ConfigTree()
        restored.load_snapshot(before_cut.make_snapshot("s", cut))
        for offset, change in list(enumerate(changes))[cut:]:
            restored.apply(offset, START, change)
        self.assertEqual(restored.make_snapshot("x", 0), full.make_snapshot("x", 0))
        self.assertEqual(versions, sorted(versions))

    @SETTINGS
    @given(st.lists(CHANGES, min_size=1, max_size=8), st.data())
    def test_change_appended_twice_takes_effect_once(self, changes, data):
        tree = ConfigTree()
        for offset, change in enumerate(changes):
            tree.apply(offset, START, change)
        nodes = copy.deepcopy(tree.nodes)
        again = data.draw(st.sampled_from(changes))
        tree.apply(len(changes), START, again)
        self.assertEqual(tree.nodes, nodes)

    @SETTINGS
    @given(st.booleans(), st.booleans(), st.integers(0, 3))
    def test_job_record_appended_twice_takes_effect_once(self, ok, ran, again):
        ends = [
            {"kind": "finish", "ok": ok},
            {"kind": "stop", "reason": "", "ran": ran},
        ]
        for end in ends:
            records = [
                {"kind": "claim", "owner": "e", "expected": -1, "heard": -1},
                {"kind": "submit", "spec": JOB_SPEC},
                {"kind": "place", "attempt": 1, "worker": "w", "incarnation": "i"},
                {"attempt": 1, **end},
            ]
            records = [{"id": "r", "epoch": 0, "job": "a", **r} for r in records]
            state = ShardState()
            for offset, record in enumerate(records):
                state.apply(offset, START, json.dumps(record).encode())
            before = copy.deepcopy(state.find("a"))
            state.apply(len(records), START, json.dumps(records[again]).encode())
            self.assertEqual(state.find("a"), before)

    @SETTINGS
    @given(st.lists(SHARD_RECORDS, max_size=25), st.integers(0, 25))
    def test_shard_invariants_and_snapshot(self, records, cut):
        full, before_cut = ShardState(), ShardState()
        epoch, attempts = -1, {}
        for offset, record in enumerate(records):
            data = json.dumps(record).encode()
            full.apply(offset, START, data)
            if offset < cut:
                before_cut.apply(offset, START, data)
            self.assertGreaterEqual(full.epoch, epoch)
            epoch = full.epoch
            for name, job in {**full.jobs, **full.ended}.items():
                self.assertGreaterEqual(job.attempt, attempts.get(name, 0))
                attempts[name] = job.attempt
        restored = ShardState()
        restored.load_snapshot(before_cut.make_snapshot("s", cut))
        for offset, record in list(enumerate(records))[cut:]:
            restored.apply(offset, START, json.dumps(record).encode())
        self.assertEqual(restored.make_snapshot("x", 0), full.make_snapshot("x", 0))


class SettingsProperties(unittest.TestCase):
    JSON = st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda c: st.lists(c, max_size=3) | st.dictionaries(st.text(max_size=8), c),
        max_leaves=8,
    )

    @SETTINGS
    @given(JSON)
    def test_arbitrary_json_is_refused_with_the_path_of_each_problem(self, value):
        with self.assertRaises(SettingsError) as caught:
            parse_settings(msgspec.json.encode(value))
        self.assertTrue(all(": " in line for line in caught.exception.problems))

    def test_all_problems_are_reported_at_once(self):
        value = {
            "name": "Bad Name",
            "failure_domain": "fd-1",
            "colour": "red",
            "entry": {
                "http": "localhost:80",
                "peers": "10.0.0.1:70000",
                "log": "10.0.0.1:1",
                "entries": [{"name": "e", "address": "example.org:1"}],
                "shards": 0,
            },
        }
        with self.assertRaises(SettingsError) as caught:
            parse_settings(json.dumps(value).encode())
        paths = sorted({line.partition(":")[0] for line in caught.exception.problems})
        self.assertEqual(
            paths,
            [
                "colour",
                "entry.entries[0].address",
                "entry.http",
                "entry.peers",
                "entry.shards",
                "name",
            ],
        )
