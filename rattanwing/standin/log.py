"""In-memory stand-in for the platform's append-only log, with simulated faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing.errors import LogError, LogUnavailableError, RecordExpiredError
from rattanwing.log.client import ReadResult, StoredRecord
from rattanwing.util.http_server import (
    HttpServer,
    Request,
    Response,
    error_response,
    json_response,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

READ_LIMIT = 1000
"""Largest number of records that one read returns."""


class LogFaults(msgspec.Struct):
    """Simulated faults of the log.

    :param down: all calls fail.
    :param delay_s: delay of each call, in seconds.
    :param lose_answers: number of following appends that take effect but whose
        answers are lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class MemoryLog:
    """Streams of records in memory.

    Implements :class:`rattanwing.log.client.Log`.

    :param wall_clock: returns the Unix time in seconds.
    :param retention: number of records that a stream keeps; 0 for all.
    :param first_offsets: oldest retained offset of each stream; 0 if absent.
    :param changed: set, and replaced by a new event, when records are appended or
        the faults change.
    """

    __slots__ = (
        "streams",
        "first_offsets",
        "wall_clock",
        "retention",
        "faults",
        "changed",
    )

    def __init__(self, wall_clock: Callable[[], float], retention: int = 0) -> None:
        self.streams: dict[str, list[StoredRecord]] = {}
        self.first_offsets: dict[str, int] = {}
        self.wall_clock = wall_clock
        self.retention = retention
        self.faults = LogFaults()
        self.changed = trio.Event()

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append all records atomically; see :class:`rattanwing.log.client.Log`."""
        await self.simulate_faults()
        if not records:
            raise LogError("an append needs at least one record")
        offset = self.end(stream)
        kept = self.streams.setdefault(stream, [])
        now = self.wall_clock()
        for number, record in enumerate(records):
            kept.append(StoredRecord(offset + number, now, msgspec.Raw(record)))
        self.apply_retention(stream)
        self.changed.set()
        self.changed = trio.Event()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise LogUnavailableError("the answer was lost")
        return offset

    async def read(self, stream: str, start: int, wait_s: float) -> ReadResult:
        """Return records from ``start``; see :class:`rattanwing.log.client.Log`."""
        await self.simulate_faults()
        with trio.move_on_after(wait_s):
            while start >= self.end(stream) and not self.faults.down:
                await self.changed.wait()
        await self.simulate_faults()
        first = self.first_offsets.get(stream, 0)
        if start < first:
            raise RecordExpiredError(first)
        begin = start - first
        records = self.streams.get(stream, [])[begin : begin + READ_LIMIT]
        return ReadResult(first, self.end(stream), records)

    async def simulate_faults(self) -> None:
        """Delay or fail a call according to the faults that are set.

        :raises LogUnavailableError: when the log is down.
        """
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise LogUnavailableError("the log is down")
        await trio.lowlevel.checkpoint()

    def end(self, stream: str) -> int:
        """Return the offset of the next record of a stream."""
        return self.first_offsets.get(stream, 0) + len(self.streams.get(stream, ()))

    def apply_retention(self, stream: str) -> None:
        """Drop the oldest records of a stream that exceed the retention."""
        excess = len(self.streams[stream]) - self.retention
        if not self.retention or excess <= 0:
            return
        del self.streams[stream][:excess]
        self.first_offsets[stream] = self.first_offsets.get(stream, 0) + excess


class AppendBody(msgspec.Struct):
    """Body of a request to append.

    :param records: the records, each a JSON value.
    """

    records: list[msgspec.Raw]


def make_log_server(log: MemoryLog) -> HttpServer:
    """Return an HTTP server for the stand-in log.

    ``PUT /faults`` replaces the faults that are set.
    """

    async def append(request: Request) -> Response:
        try:
            body = msgspec.json.decode(request.body, type=AppendBody)
            records = [bytes(record) for record in body.records]
            offset = await log.append(request.match["stream"], records)
        except msgspec.DecodeError as error:
            return error_response(400, "malformed-append", str(error))
        except LogUnavailableError as error:
            return error_response(503, "log-unavailable", str(error))
        except LogError as error:
            return error_response(400, "malformed-append", str(error))
        return json_response(200, {"first_offset": offset})

    async def read(request: Request) -> Response:
        try:
            start = int(request.query.get("from", "0"))
            wait_s = int(request.query.get("wait_ms", "0")) / 1000
            result = await log.read(request.match["stream"], start, wait_s)
        except ValueError as error:
            return error_response(400, "malformed-read", str(error))
        except LogUnavailableError as error:
            return error_response(503, "log-unavailable", str(error))
        except RecordExpiredError as error:
            return json_response(410, {"first": error.first})
        return json_response(200, result)

    async def set_faults(request: Request) -> Response:
        try:
            log.faults = msgspec.json.decode(request.body, type=LogFaults)
        except msgspec.DecodeError as error:
            return error_response(400, "malformed-faults", str(error))
        log.changed.set()
        log.changed = trio.Event()
        return json_response(200, log.faults)

    server = HttpServer()
    server.route("POST", r"/streams/(?P<stream>[\w.-]+)", append)
    server.route("GET", r"/streams/(?P<stream>[\w.-]+)", read)
    server.route("PUT", r"/faults", set_faults)
    return server
