"""The interface of the platform's log, and its HTTP client."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from rattanwing.errors import (
    LogError,
    LogUnavailableError,
    MalformedError,
    RecordExpiredError,
)
from rattanwing.util.codec import decode_json
from rattanwing.util.http_client import HttpCallError, HttpClient

if TYPE_CHECKING:
    from collections.abc import Sequence

APPEND_TIMEOUT_S = 2.0
"""Seconds to wait for the response to an append."""

READ_TIMEOUT_S = 2.0
"""Seconds to wait for the response to a read, beyond the time that the read may wait
for a record."""

LOG_CONNECTIONS = 32
"""Largest number of connections to the log service."""


class StoredRecord(msgspec.Struct):
    """One record as stored in the log.

    :param time: when the log appended the record, in seconds since the Unix epoch by
        the log's clock.
    :param record: the JSON text of the record.
    """

    offset: int
    time: float
    record: msgspec.Raw


class ReadResult(msgspec.Struct):
    """Consecutive records of one stream.

    :param first: offset of the oldest record that the log still keeps.
    :param end: offset that the next appended record gets.
    """

    first: int
    end: int
    records: list[StoredRecord]


class Log(Protocol):
    """The operations of the platform's log that rattanwing uses."""

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append JSON records in one call and return the offset of the first one.

        :raises LogUnavailableError: when the log did not confirm the append in time;
            the append may still take effect.
        :raises LogError: when the log refused the records.
        """

    async def read(self, stream: str, start: int, wait_s: float) -> ReadResult:
        """Return records from offset ``start`` on.

        :param wait_s: seconds to wait for a record if there is none at ``start`` yet;
            the result is empty if none arrives.
        :raises LogUnavailableError: when the log did not respond in time.
        :raises RecordExpiredError: when the log no longer keeps the record at
            ``start``.
        """


class HttpLog:
    """HTTP client for the platform's log.

    :param address: ``ip:port`` of the log service.
    """

    __slots__ = ("client",)

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address, LOG_CONNECTIONS)

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append JSON records in one call; see :class:`Log`."""
        body = b'{"records":[' + b",".join(records) + b"]}"
        response = await self.call("POST", f"/streams/{stream}", body, APPEND_TIMEOUT_S)
        return decode(response, AppendResponse).first_offset

    async def read(self, stream: str, start: int, wait_s: float) -> ReadResult:
        """Return records from offset ``start`` on; see :class:`Log`."""
        wait_ms = int(wait_s * 1000)
        target = f"/streams/{stream}?from={start}&wait_ms={wait_ms}"
        response = await self.call("GET", target, b"", wait_s + READ_TIMEOUT_S)
        return decode(response, ReadResult)

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Any:
        """Send a request and return the body of the response.

        :param target: path and query of the request.
        :raises LogUnavailableError: when the call failed, the status is 500 or more, or
            the body is malformed.
        :raises RecordExpiredError: when the status is 410 (Gone).
        :raises LogError: when the status is another one than 200.
        """
        headers = [(b"content-type", b"application/json")]
        try:
            response = await self.client.call(method, target, headers, body, timeout_s)
        except HttpCallError as error:
            raise LogUnavailableError(str(error)) from error
        if response.status == 410:
            expired = decode(response.body, ExpiredResponse)
            raise RecordExpiredError(expired.first)
        if response.status >= 500:
            raise LogUnavailableError(f"the log returned HTTP status {response.status}")
        if response.status != 200:
            raise LogError(
                f"the log returned HTTP status {response.status}: "
                f"{response.body[:200]!r}"
            )
        return response.body


class AppendResponse(msgspec.Struct):
    """Response to an append.

    :param first_offset: offset of the first appended record.
    """

    first_offset: int


class ExpiredResponse(msgspec.Struct):
    """Response to a read from an offset that the log no longer keeps.

    :param first: offset of the oldest record that the log still keeps.
    """

    first: int


def decode(body: bytes, kind: Any) -> Any:
    """Return the decoded body of an answer.

    :raises LogUnavailableError: when it is malformed.
    """
    try:
        return decode_json(body, kind)
    except MalformedError as error:
        raise LogUnavailableError(f"malformed answer of the log: {error}") from error
