from __future__ import annotations

import base64
import struct
import unittest

import msgspec
import trio

from rattanwing.batch.ports import AppendStamp
from rattanwing.errors import (
    LogConditionError,
    LogFencedError,
    LogSequenceError,
    LogUnavailableError,
    RecordExpiredError,
)
from rattanwing.platform.store import PlatformStore, decode_read, encode_record
from rattanwing.util.http_client import HttpCallError, HttpResponse
from rattanwing.verdict import Verdict

STAMP = AppendStamp("a b", 7, 12)


class FakeClient:
    """Records a call and returns a preset answer or raises a preset error."""

    def __init__(self, status, body=b"", error=None):
        self.answer = HttpResponse(status, [], body)
        self.error = error

    async def call(self, method, target, headers, body, timeout_s):
        self.method, self.target, self.body = method, target, body
        if self.error:
            raise self.error
        return self.answer


def store_with(status, body=b"", error=None):
    store = PlatformStore("127.0.0.1:1")
    store.client = FakeClient(status, body, error)
    return store


def append(store, expected_end=None):
    return trio.run(
        store.append, "work", [("k", b"v"), ("gone", None)], STAMP, expected_end
    )


class AppendTests(unittest.TestCase):
    def test_append_is_encoded_in_the_wire_format(self):
        store = store_with(200, b'{"offset":840,"end":842}')
        self.assertEqual(append(store, expected_end=840), 840)
        self.assertEqual(
            store.client.target,
            "/rattanwing/log-append?topic=keyed.work&part=0"
            "&producer=a%20b&epoch=7&seq=12&at=840",
        )
        expected = struct.pack(">I", 3) + b"\x01kv" + struct.pack(">I", 5) + b"\x04gone"
        self.assertEqual(store.client.body, expected)

    def test_refusals_map_to_errors(self):
        cases = (
            (412, b'{"end":9}', LogConditionError),
            (409, b'{"reason":"fenced"}', LogFencedError),
            (409, b'{"reason":"seq","expected":4}', LogSequenceError),
        )
        for status, body, error in cases:
            with self.subTest(status=status, body=body), self.assertRaises(error):
                append(store_with(status, body))

    def test_failed_append_is_not_applied_only_if_refused_or_not_connected(self):
        lost = HttpCallError(Verdict.MAY_HAVE_RUN, "lost")
        refused = HttpCallError(Verdict.NOT_RUN, "no connection")
        cases = (
            (store_with(503), False),
            (store_with(429), False),
            (store_with(507), False),
            (store_with(500), True),
            (store_with(200, b"{"), True),
            (store_with(0, error=lost), True),
            (store_with(0, error=refused), False),
        )
        for store, may_have_applied in cases:
            with self.assertRaises(LogUnavailableError) as caught:
                append(store)
            self.assertEqual(caught.exception.may_have_applied, may_have_applied)


class ReadTests(unittest.TestCase):
    def test_read_records_have_consecutive_offsets(self):
        data = struct.pack(">QQ", 42, 3) + encode_record("a", b"1")
        data += encode_record("b", None)
        result = decode_read(data, 40)
        self.assertEqual(result.end_offset, 42)
        found = [(r.key, r.value, r.offset) for r in result.records]
        self.assertEqual(found, [("a", b"1", 40), ("b", None, 41)])

    def test_truncated_answers_are_refused_at_every_length(self):
        data = struct.pack(">QQ", 1, 0) + encode_record("key", b"value")
        for length in [*range(16), *range(20, len(data))]:
            with self.subTest(length=length), self.assertRaises(LogUnavailableError):
                decode_read(data[:length], 0)

    def test_record_shorter_than_its_key_is_skipped(self):
        """It counted as the deletion of the part of the key that is there."""
        data = struct.pack(">QQ", 43, 40) + encode_record("job/a", b"1")
        for content in (b"\x09job/a", b"\xff", b""):
            data += struct.pack(">I", len(content)) + content
        data += encode_record("job/b", b"2")
        result = decode_read(data, 40)
        self.assertEqual(result.end_offset, 45)
        found = [(record.key, record.offset) for record in result.records]
        self.assertEqual(found, [("job/a", 40), ("job/b", 44)])

    def test_expired_offset_raises_with_the_oldest_kept_offset(self):
        store = store_with(410, b'{"first":17}')
        with self.assertRaises(RecordExpiredError) as caught:
            trio.run(store.read, "work", 3, 1.0)
        self.assertEqual(caught.exception.first, 17)

    def test_newest_records_are_decoded(self):
        value = base64.b64encode(b"\x00x").decode()
        body = msgspec.json.encode(
            {
                "items": [{"key": "job/1", "value": value, "offset": 4}],
                "has_more": False,
                "end": 6,
            }
        )
        store = store_with(200, body)
        page = trio.run(store.list_newest, "work", "job/0 ä")
        self.assertEqual(page.records[0].value, b"\x00x")
        self.assertEqual(page.end_offset, 6)
        self.assertIn("after=job%2F0%20%C3%A4", store.client.target)

    def test_malformed_pages_are_refused(self):
        for body in (b"", b"[]", b'{"items":[{"key":1}],"end":0}', b"\xff"):
            with self.subTest(body=body), self.assertRaises(LogUnavailableError):
                trio.run(store_with(200, body).list_newest, "work", "")
