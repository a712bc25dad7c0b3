"""Client of the platform's store: topics that keep the newest record of each key."""

from __future__ import annotations

import struct
from urllib.parse import quote

import msgspec

from rattanwing import events
from rattanwing.batch.model import Number  # noqa: TC001
from rattanwing.batch.ports import AppendStamp, NewestPage, ReadResult, StoredRecord
from rattanwing.errors import (
    LogConditionError,
    LogFencedError,
    LogSequenceError,
    LogUnavailableError,
    MalformedError,
    RecordError,
    RecordExpiredError,
)
from rattanwing.util.codec import decode_json
from rattanwing.util.http_client import HttpCallError, HttpClient
from rattanwing.verdict import Verdict

KEYED_TOPIC_PREFIX = "keyed."
APPEND_PATH = "/rattanwing/log-append"
READ_PATH = "/rattanwing/log-read"
NEWEST_PATH = "/rattanwing/log-newest"
PARTITION = 0
"""Keyed topics have a single partition."""

CALL_TIMEOUT_S = 1.5
"""Time limit of a call. The store normally answers within 4 ms, and takes up to 85
times as long in its slow phases."""

MAX_CONNECTIONS = 8
"""Limit of concurrent calls: one for each topic that is read and one for each
writer, plus a reserve."""

RECORD_LENGTH = struct.Struct(">I")
"""Length in bytes of the record that follows."""

READ_HEADER = struct.Struct(">QQ")
"""Two numbers at the head of the answer to a read; they are skipped."""

NOT_APPLIED_STATUSES = {400, 403, 404, 413, 429, 503, 507}
"""Statuses with which the store refuses an append without storing anything."""


class AppendAnswer(msgspec.Struct):
    """Answer to an append.

    :param offset: offset of the first appended record.
    :param reason: reason of a refusal with status 409; ``fenced`` if the store has
        seen a higher epoch.
    :param seq: sequence number that the store expects, if ``expected`` is 0.
    :param expected: sequence number that the store expects.
    """

    offset: Number = 0
    reason: str = ""
    seq: Number = 0
    expected: Number = 0


class NewestItem(msgspec.Struct):
    """The newest record of a key.

    :param value: the value, base64 in the answer.
    """

    key: str
    value: bytes
    offset: Number


class NewestAnswer(msgspec.Struct):
    """One page of the newest record of each key of a topic.

    :param end: end offset of the topic when the page was read.
    :param has_more: whether records with greater keys follow on another page.
    """

    items: list[NewestItem]
    end: Number
    has_more: bool = False


class ExpiredAnswer(msgspec.Struct):
    """Answer to a read of records that are no longer kept.

    :param first: oldest offset that the store still keeps.
    """

    first: Number = 0


class PlatformStore:
    """Calls the store over HTTP.

    Implements :class:`rattanwing.batch.ports.KeyedStore`.
    """

    __slots__ = ("client",)

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address, MAX_CONNECTIONS)

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        stamp: AppendStamp,
        expected_end: int | None = None,
    ) -> int:
        """Append all records atomically and return the offset of the first.

        :raises LogConditionError: when the topic does not end at ``expected_end``.
        :raises LogFencedError: when the store has seen a higher epoch.
        :raises LogSequenceError: when the store expects another sequence number.
        """
        target = (
            f"{APPEND_PATH}?topic={KEYED_TOPIC_PREFIX}{topic}&part={PARTITION}"
            f"&producer={quote(stamp.producer, safe='')}"
            f"&epoch={stamp.epoch}&seq={stamp.sequence}"
        )
        if expected_end is not None:
            target += f"&at={expected_end}"
        body = b"".join(encode_record(key, value) for key, value in records)
        status, data = await self.call("POST", target, body, CALL_TIMEOUT_S)
        if status == 200:
            return decode(AppendAnswer, data).offset
        if status == 412:
            raise LogConditionError("the topic does not end at the expected offset")
        if status == 409:
            answer = decode(AppendAnswer, data)
            if answer.reason == "fenced":
                raise LogFencedError("the store has seen a higher epoch")
            raise LogSequenceError(answer.expected or answer.seq)
        raise LogUnavailableError(
            f"append: status {status}", status not in NOT_APPLIED_STATUSES
        )

    async def read(self, topic: str, offset: int, wait_s: float) -> ReadResult:
        """Return the records from an offset on, waiting ``wait_s`` for the first.

        :raises RecordExpiredError: when the store no longer keeps that offset.
        """
        target = (
            f"{READ_PATH}?topic={KEYED_TOPIC_PREFIX}{topic}&part={PARTITION}"
            f"&from={offset}&wait_ms={int(wait_s * 1000)}"
        )
        status, data = await self.call("GET", target, b"", CALL_TIMEOUT_S + wait_s)
        if status == 410:
            raise RecordExpiredError(decode(ExpiredAnswer, data).first)
        if status != 200:
            raise LogUnavailableError(f"read: status {status}", may_have_applied=False)
        return decode_read(data, offset)

    async def list_newest(self, topic: str, after: str) -> NewestPage:
        """Return a page of newest records, by key, that starts after key ``after``."""
        target = f"{NEWEST_PATH}?topic={KEYED_TOPIC_PREFIX}{topic}&part={PARTITION}"
        if after:
            target += f"&after={quote(after, safe='')}"
        status, data = await self.call("GET", target, b"", CALL_TIMEOUT_S)
        if status != 200:
            raise LogUnavailableError(
                f"newest: status {status}", may_have_applied=False
            )
        answer = decode(NewestAnswer, data)
        records = [
            StoredRecord(item.key, item.value or None, item.offset)
            for item in answer.items
        ]
        return NewestPage(records, answer.has_more, answer.end)

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the answer.

        :raises LogUnavailableError: when there is no complete answer.
        """
        headers = [(b"content-type", b"application/octet-stream")] if body else []
        try:
            answer = await self.client.call(method, target, headers, body, timeout_s)
        except HttpCallError as error:
            may_have_applied = error.verdict is not Verdict.NOT_RUN
            raise LogUnavailableError(str(error), may_have_applied) from error
        return answer.status, answer.body


def decode(kind: type[msgspec.Struct], data: bytes) -> msgspec.Struct:
    """Decode the JSON body of an answer.

    :raises LogUnavailableError: when the body is malformed.
    """
    try:
        return decode_json(data, kind)
    except MalformedError as error:
        raise LogUnavailableError(
            f"malformed answer from the store: {error}"
        ) from error


def encode_record(key: str, value: bytes | None) -> bytes:
    """Encode a record of a keyed topic.

    The format is the record's length, the length of the key in one byte, the key and
    the value. An empty value deletes the key.
    """
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return RECORD_LENGTH.pack(len(content)) + content


def decode_read(data: bytes, offset: int) -> ReadResult:
    """Decode the answer to a read; a malformed record is logged and skipped.

    :param offset: offset of the first record.
    :raises LogUnavailableError: when the answer is truncated.
    """
    if len(data) < READ_HEADER.size:
        raise LogUnavailableError(
            "the answer to a read is truncated", may_have_applied=False
        )
    records = []
    end_offset = offset
    position = READ_HEADER.size
    while position + RECORD_LENGTH.size <= len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        content = data[position : position + length]
        if len(content) < length:
            raise LogUnavailableError(
                "the answer to a read is truncated", may_have_applied=False
            )
        position += length
        try:
            records.append(decode_record(content, end_offset))
        except RecordError as error:
            events.write(events.RECORD_MALFORMED, offset=end_offset, error=error)
        end_offset += 1
    return ReadResult(records, end_offset)


def decode_record(content: bytes, offset: int) -> StoredRecord:
    """Decode a record.

    Bytes of the key that are not valid UTF-8 become escape sequences, so that the
    reader can log the key.

    :raises RecordError: when the record is shorter than its key.
    """
    size = content[0] if content else 0
    if len(content) <= size:
        raise RecordError(f"the record of {len(content)} bytes is shorter than its key")
    key = content[1 : 1 + size].decode("utf-8", "backslashreplace")
    return StoredRecord(key, content[1 + size :] or None, offset)
