"""The interface of the platform's log, and its HTTP client."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from rattanwing.errors import LogError, LogUnavailableError, RecordExpiredError
from rattanwing.util.http_client import HttpCallError, HttpClient

if TYPE_CHECKING:
    from collections.abc import Sequence

APPEND_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 2.0
LOG_CONNECTIONS = 32


class StoredRecord(msgspec.Struct):
    """One record as the log holds it.

    :param time: seconds since the epoch, as the log stamped it.
    """

    offset: int
    time: float
    record: msgspec.Raw


class ReadResult(msgspec.Struct):
    """A slice of one stream.

    :param first: the oldest offset still kept.
    :param end: the offset that the next append will get.
    """

    first: int
    end: int
    records: list[StoredRecord]


class Log(Protocol):
    """What rattanwing asks of the platform's log."""

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append JSON records together and return the first one's offset.

        :raises LogUnavailableError: the append may still take effect.
        """

    async def read(self, stream: str, start: int, wait_s: float) -> ReadResult:
        """Return records from ``start``, waiting for one if there is none.

        :raises LogUnavailableError: when no answer came in time.
        :raises RecordExpiredError: when ``start`` is no longer kept.
        """


class HttpLog:
    """The platform's log over HTTP.

    :param address: ``ip:port`` of the log service.
    """

    __slots__ = ("client",)

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address, LOG_CONNECTIONS)

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append JSON records together; see :class:`Log`."""
        body = b'{"records":[' + b",".join(records) + b"]}"
        answer = await self.call("POST", f"/streams/{stream}", body, APPEND_TIMEOUT_S)
        return msgspec.json.decode(answer, type=AppendResponse).first_offset

    async def read(self, stream: str, start: int, wait_s: float) -> ReadResult:
        """Return records from ``start``; see :class:`Log`."""
        wait_ms = int(wait_s * 1000)
        target = f"/streams/{stream}?from={start}&wait_ms={wait_ms}"
        answer = await self.call("GET", target, b"", wait_s + READ_TIMEOUT_S)
        return msgspec.json.decode(answer, type=ReadResult)

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Any:
        """Return the body of a successful answer."""
        headers = [(b"content-type", b"application/json")]
        try:
            answer = await self.client.call(method, target, headers, body, timeout_s)
        except HttpCallError as error:
            raise LogUnavailableError(str(error)) from error
        if answer.status == 410:
            expired = msgspec.json.decode(answer.body, type=ExpiredResponse)
            raise RecordExpiredError(expired.first)
        if answer.status >= 500:
            raise LogUnavailableError(f"the log answered {answer.status}")
        if answer.status != 200:
            raise LogError(f"the log answered {answer.status}: {answer.body[:200]!r}")
        return answer.body


class AppendResponse(msgspec.Struct):
    """The log's answer to an append."""

    first_offset: int


class ExpiredResponse(msgspec.Struct):
    """The log's answer to a read before the oldest kept record."""

    first: int
