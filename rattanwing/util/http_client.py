"""HTTP/1.1 client whose errors say whether the request may have run.

A call costs a small host much of its processor time when a Python parser reads the
response; ``httptools`` parses it in C.
"""

from __future__ import annotations

import re
import select
from typing import TYPE_CHECKING

import httptools
import msgspec
import trio

from rattanwing.errors import MalformedError, RattanwingError
from rattanwing.util.address import split_address
from rattanwing.util.codec import decode_json
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from typing import Any

CONNECT_TIMEOUT_S = 1.0

KEEP_IDLE_S = 30.0
"""Time in seconds after which an idle connection is no longer used."""

READ_BYTES = 65_536
"""Most bytes that one read returns."""

MAX_RESPONSE_BYTES = 32 * 1024 * 1024
"""Longest response body that is read."""

BAD_TARGET = re.compile(r"[^\x21-\x7e]")
"""A character that may not stand in the target of a request."""

BAD_HEADER = re.compile(rb"[\r\n\x00]")
"""A byte that may not stand in a header."""


class HttpCallError(RattanwingError):
    """A call did not return a complete response.

    :param verdict: whether the server may have acted on the request.
    """

    def __init__(self, verdict: Verdict, detail: str) -> None:
        super().__init__(detail)
        self.verdict = verdict


class NoConnectionError(HttpCallError):
    """The server could not be reached."""


class NoListenerError(NoConnectionError):
    """The server's host refused the connection: no process listens at the address."""


class HttpResponse(msgspec.Struct):
    """A complete HTTP response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ResponseReader:
    """Collects one response from the parser's callbacks.

    :param complete: whether the response has been read to its end.
    :param sized: whether the response states where its body ends; otherwise it ends
        with the connection.
    :param surplus: whether more bytes than the response have arrived.
    :param reusable: whether the server keeps the connection open.
    """

    __slots__ = (
        "parser",
        "status",
        "headers",
        "parts",
        "size",
        "complete",
        "sized",
        "surplus",
        "reusable",
    )

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        self.size = 0
        self.complete = False
        self.sized = False
        self.surplus = False
        self.reusable = False

    def on_message_begin(self) -> None:
        """Note bytes after the end of the response."""
        self.surplus = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if self.complete:
            return
        self.headers.append((name, value))
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.sized = True

    def on_headers_complete(self) -> None:
        """Read the status."""
        if not self.complete:
            self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if self.complete:
            return
        self.size += len(data)
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Finish the response; an informational one precedes the actual one."""
        if 100 <= self.status < 200:
            self.headers.clear()
            return
        if not self.complete:
            self.reusable = self.parser.should_keep_alive()
        self.complete = True

    async def read(self, connection: trio.SocketStream) -> HttpResponse:
        """Read the response to its end.

        :raises HttpCallError: when it is incomplete, malformed or too long.
        """
        while not self.complete:
            data = await connection.receive_some(READ_BYTES)
            if not data:
                if not self.status or self.sized:
                    raise answer_lost("the connection has ended")
                self.complete = True
                break
            try:
                self.parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
                if not self.complete:
                    raise answer_lost(f"malformed response: {error}") from error
                self.surplus = True
            if self.size > MAX_RESPONSE_BYTES:
                raise answer_lost("the response is too long")
        return HttpResponse(self.status, self.headers, b"".join(self.parts))


class HttpClient:
    """A pool of connections to one server.

    :param address: ``ip:port`` of the server.
    :param connections: maximum number of open connections.
    :param idle: open connections without a request, and since when; the one used
        last comes last.
    """

    __slots__ = ("address", "slots", "idle")

    def __init__(self, address: str, connections: int) -> None:
        self.address = address
        self.slots = trio.Semaphore(connections)
        self.idle: list[tuple[trio.SocketStream, float]] = []

    async def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout_s: float,
    ) -> HttpResponse:
        """Send one request and read the complete response.

        :raises HttpCallError: with ``NOT_RUN`` if the request was not sent, because
            no connection was available or the request is malformed, otherwise with
            ``MAY_HAVE_RUN``.
        """
        request = encode_request(method, target, self.address, headers, body)
        sent = False
        try:
            with trio.fail_after(max(0.0, timeout_s)):
                async with self.slots:
                    connection = self.take_idle() or await self.connect()
                    sent = True
                    return await self.exchange(connection, request)
        except trio.TooSlowError as error:
            if sent:
                self.close_idle()
                raise answer_lost("no answer in time") from error
            raise HttpCallError(Verdict.NOT_RUN, "no free connection") from error

    async def probe(self) -> None:
        """Open a connection and keep it for a call.

        :raises NoConnectionError: when the server can't be reached.
        """
        async with self.slots:
            self.idle.append((await self.connect(), trio.current_time()))

    async def exchange(
        self, connection: trio.SocketStream, request: bytes
    ) -> HttpResponse:
        """Send a request and read its response; keep the connection if possible."""
        reader = ResponseReader()
        kept = False
        try:
            await connection.send_all(request)
            response = await reader.read(connection)
            kept = reader.reusable and not reader.surplus
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise answer_lost(str(error)) from error
        finally:
            if kept:
                self.idle.append((connection, trio.current_time()))
            else:
                connection.socket.close()
        return response

    def take_idle(self) -> trio.SocketStream | None:
        """Return an idle connection that is still open, ``None`` if there is none."""
        while self.idle:
            connection, since = self.idle.pop()
            fresh = trio.current_time() - since < KEEP_IDLE_S
            if fresh and not is_readable(connection):
                return connection
            connection.socket.close()
        return None

    def close_idle(self) -> None:
        """Close the idle connections.

        When a connection has gone silent, the others often have as well, while new
        ones work; each would cost a call its whole timeout.
        """
        for connection, _since in self.idle:
            connection.socket.close()
        self.idle.clear()

    async def connect(self) -> trio.SocketStream:
        """Open a connection.

        :raises NoListenerError: when the connection is refused.
        :raises NoConnectionError: when there is none within ``CONNECT_TIMEOUT_S``, the
            address is invalid or the process has no free file descriptor.
        """
        try:
            host, port = split_address(self.address)
            sock = trio.socket.socket()
        except (ValueError, OSError) as error:
            raise no_connection(error) from error
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await sock.connect((host, port))
        except ConnectionRefusedError as error:
            sock.close()
            detail = f"no connection: {error}"
            raise NoListenerError(Verdict.NOT_RUN, detail) from error
        except (OSError, trio.TooSlowError) as error:
            sock.close()
            raise no_connection(error) from error
        except trio.Cancelled:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def call_json(
        self, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, Any]:
        """Send a JSON body, if any, and return the status and the decoded body.

        :raises HttpCallError: if the response is incomplete or its body is not JSON.
        """
        content = b"" if body is None else msgspec.json.encode(body)
        headers = [(b"content-type", b"application/json")]
        response = await self.call(method, target, headers, content, timeout_s)
        if not response.body:
            return response.status, None
        try:
            return response.status, decode_json(response.body)
        except MalformedError as error:
            detail = f"answer is not JSON: {error}"
            raise HttpCallError(Verdict.MAY_HAVE_RUN, detail) from error


def no_connection(error: Exception) -> NoConnectionError:
    """Return the error of a call for which no connection could be opened."""
    return NoConnectionError(Verdict.NOT_RUN, f"no connection: {error}")


def answer_lost(detail: str) -> HttpCallError:
    """Return the error of a call whose request was sent."""
    return HttpCallError(Verdict.MAY_HAVE_RUN, f"answer lost: {detail}")


def is_readable(connection: trio.SocketStream) -> bool:
    """Return whether an idle connection has ended or has received stray bytes."""
    poll = select.poll()
    poll.register(connection.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def encode_request(
    method: str,
    target: str,
    host: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Return the bytes of a request.

    :raises HttpCallError: when the target or a header has a character that could end
        it early.
    """
    if BAD_TARGET.search(method + target):
        raise HttpCallError(Verdict.NOT_RUN, f"bad request: target {target!r}")
    lines = [f"{method} {target} HTTP/1.1".encode(), b"host: " + host.encode()]
    sized = False
    for name, value in headers:
        if BAD_HEADER.search(name + value):
            raise HttpCallError(Verdict.NOT_RUN, f"bad request: header {name!r}")
        sized = sized or name.lower() in (b"content-length", b"transfer-encoding")
        lines.append(name + b": " + value)
    if not sized:
        lines.append(b"content-length: " + str(len(body)).encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
