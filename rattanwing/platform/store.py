"""The platform's store: a log with topics that keep the newest record of a key."""

from __future__ import annotations

import base64
import struct
from urllib.parse import quote

import msgspec

from rattanwing.batch.ports import AppendStamp, NewestPage, ReadResult, StoredRecord
from rattanwing.errors import (
    LogConditionError,
    LogFencedError,
    LogSequenceError,
    LogUnavailableError,
    RecordExpiredError,
)
from rattanwing.util.http_client import HttpCallError, HttpClient
from rattanwing.verdict import Verdict

KEYED_TOPIC_PREFIX = "keyed."
APPEND_PATH = "/rattanwing/log-append"
READ_PATH = "/rattanwing/log-read"
NEWEST_PATH = "/rattanwing/log-newest"
PARTITION = 0

CALL_TIMEOUT_S = 1.5
"""The store answers within 4 ms, and up to 85 times slower in its slow phases."""

MAX_CONNECTIONS = 8
"""One for each topic read and each writer, and some to spare."""

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
NOT_APPLIED_STATUSES = {400, 403, 404, 413, 429, 503, 507}


class AppendAnswer(msgspec.Struct):
    """Answer to an append.

    :param offset: of the first record.
    :param expected: sequence number that the store wants.
    """

    offset: int = 0
    reason: str = ""
    seq: int = 0
    expected: int = 0


class NewestItem(msgspec.Struct):
    """A newest record; ``value`` is base64."""

    key: str
    value: str
    offset: int


class NewestAnswer(msgspec.Struct):
    """A page of newest records."""

    items: list[NewestItem]
    end: int
    has_more: bool = False


class ExpiredAnswer(msgspec.Struct):
    """The oldest offset that is kept."""

    first: int = 0


class PlatformStore:
    """Calls the store; implements :class:`rattanwing.batch.ports.KeyedStore`."""

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
        """Append records and return the offset of the first."""
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
            raise LogConditionError("the topic ends elsewhere")
        if status == 409:
            answer = decode(AppendAnswer, data)
            if answer.reason == "fenced":
                raise LogFencedError("a higher epoch was seen")
            raise LogSequenceError(answer.expected or answer.seq)
        raise LogUnavailableError(
            f"append: status {status}", status not in NOT_APPLIED_STATUSES
        )

    async def read(self, topic: str, offset: int, wait_s: float) -> ReadResult:
        """Return records from an offset on."""
        target = (
            f"{READ_PATH}?topic={KEYED_TOPIC_PREFIX}{topic}&part={PARTITION}"
            f"&from={offset}&wait_ms={int(wait_s * 1000)}"
        )
        status, data = await self.call("GET", target, b"", CALL_TIMEOUT_S + wait_s)
        if status == 410:
            raise RecordExpiredError(decode(ExpiredAnswer, data).first)
        if status != 200:
            raise LogUnavailableError(f"read: status {status}", applied=False)
        return decode_read(data, offset)

    async def list_newest(self, topic: str, after: str) -> NewestPage:
        """Return a page of newest records."""
        target = f"{NEWEST_PATH}?topic={KEYED_TOPIC_PREFIX}{topic}&part={PARTITION}"
        if after:
            target += f"&after={quote(after, safe='')}"
        status, data = await self.call("GET", target, b"", CALL_TIMEOUT_S)
        if status != 200:
            raise LogUnavailableError(f"newest: status {status}", applied=False)
        answer = decode(NewestAnswer, data)
        records = [
            StoredRecord(item.key, base64.b64decode(item.value) or None, item.offset)
            for item in answer.items
        ]
        return NewestPage(records, answer.has_more, answer.end)

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Call the store.

        :raises LogUnavailableError: when there was no whole answer.
        """
        headers = [(b"content-type", b"application/octet-stream")] if body else []
        try:
            answer = await self.client.call(method, target, headers, body, timeout_s)
        except HttpCallError as error:
            applied = error.verdict is not Verdict.NOT_RUN
            raise LogUnavailableError(str(error), applied) from error
        return answer.status, answer.body


def decode(kind: type[msgspec.Struct], data: bytes) -> msgspec.Struct:
    """Return a typed answer.

    :raises LogUnavailableError: when it does not decode.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise LogUnavailableError(f"answer does not decode: {error}") from error


def encode_record(key: str, value: bytes | None) -> bytes:
    """Return the wire form of a record of a keyed topic."""
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return RECORD_LENGTH.pack(len(content)) + content


def decode_read(data: bytes, offset: int) -> ReadResult:
    """Return the records of a read.

    :raises LogUnavailableError: when the bytes are cut short.
    """
    if len(data) < READ_HEADER.size:
        raise LogUnavailableError("a read was cut short", applied=False)
    records = []
    at = READ_HEADER.size
    while at + RECORD_LENGTH.size <= len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, at)
        at += RECORD_LENGTH.size
        content = data[at : at + length]
        if len(content) < length:
            raise LogUnavailableError("a read was cut short", applied=False)
        at += length
        records.append(decode_record(content, offset + len(records)))
    return ReadResult(records, offset + len(records))


def decode_record(content: bytes, offset: int) -> StoredRecord:
    """Return one record; undecodable keys are kept visibly, for the reader's log."""
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "backslashreplace")
    return StoredRecord(key, content[1 + size :] or None, offset)
