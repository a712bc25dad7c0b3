"""One HTTP/1.1 connection of the server; ``httptools`` parses requests in C.

Load: clients that send more than they should, or read less. A request is refused as
soon as its head tells that it can't be served; its body is not kept then. Reading stops
while requests wait for their answers.
"""

from __future__ import annotations

import contextlib
import os
import time
import traceback
from collections import deque
from email.utils import formatdate
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools
import trio

from rattanwing import events
from rattanwing.errors import RejectedError
from rattanwing.util.admission import CONNECTION_BYTES, Cause, Phase
from rattanwing.util.blocks import BlockBuffer
from rattanwing.util.http_messages import (
    Request,
    Response,
    call_handler,
    error_response,
    make_request,
)

if TYPE_CHECKING:
    from rattanwing.util.admission import AddressGroup, Admission, Client
    from rattanwing.util.http_server import HttpServer, Route

READ_BYTES = 16 * 1024
"""Most bytes that one read returns."""

MAX_HEAD_BYTES = 16 * 1024
"""Longest head, and longest trailers of a body; one more read may belong to them."""

MAX_LENGTH_DIGITS = 20
"""Most digits of a body's length."""

MAX_HEADERS = 100

MAX_REQUESTS_AHEAD = 16
"""Most requests that are answered of one read; then the connection is closed."""

HEADER_BYTES = 256
"""Estimated memory of a header besides its text."""

VALUE_BYTES = 512
"""Estimated memory of a decoded value of a JSON body, with the copies made of it."""

SMALL_BODY_BYTES = 4 * 1024
"""Longest body whose decoded values are not counted."""

LINGER_S = 1.0
"""Time in seconds for which the rest of a refused body is read, so that the client
receives the refusal before the connection is reset."""

LINGER_BYTES = 256 * 1024
"""Most bytes that are read of it."""

RETRY_AFTER_S = 1
"""Seconds after which a client that was refused under pressure may return."""

REASONS = {status.value: status.phrase for status in HTTPStatus}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODY_HEAD = b"POST / HTTP/1.1\r\nconnection: close\r\n%b\r\n\r\n"
"""Head after which a parser reads a body; its only field is the body's framing."""

BODILESS_STATUSES = (204, 304)


class IncomingRequest:
    """A request while it is read.

    :param route: the route that answers it, once its head is complete.
    :param refusal: the answer to a request that is not carried out.
    :param body: the body so far.
    :param size: number of body bytes so far.
    :param framing: the header that tells that a body follows; empty without a body.
    :param expects_continue: whether the client waits before it sends the body.
    :param keeps_alive: whether the connection stays open after the answer.
    """

    __slots__ = (
        "target",
        "headers",
        "method",
        "request",
        "route",
        "refusal",
        "body",
        "size",
        "framing",
        "expects_continue",
        "keeps_alive",
    )

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.method = ""
        self.request: Request | None = None
        self.route: Route | None = None
        self.refusal: Response | None = None
        self.body = BlockBuffer()
        self.size = 0
        self.framing = b""
        self.expects_continue = False
        self.keeps_alive = True

    def max_body_bytes(self) -> int:
        """Return the longest body that is kept."""
        return 0 if self.route is None else self.route.max_body_bytes

    def refuse(self, status: int, rule: str, detail: str) -> None:
        """Refuse the request unless it has been refused, and drop its body."""
        if self.refusal is None:
            self.refusal = error_response(status, rule, detail)
        self.body.clear()


class RequestReader:
    """Collects requests from the parser's callbacks.

    :param complete: requests that wait for their answers.
    :param current: the request that is read now, if any.
    :param head_bytes: bytes of its head so far, or those after the last of its body.
    :param stopped: whether nothing more is taken from the connection.
    :param causes: limits that requests exceeded since the last look.
    """

    __slots__ = (
        "server",
        "parser",
        "complete",
        "current",
        "head_bytes",
        "stopped",
        "causes",
    )

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.complete: deque[IncomingRequest] = deque()
        self.current: IncomingRequest | None = None
        self.head_bytes = 0
        self.stopped = False
        self.causes: list[Cause] = []

    def feed(self, data: bytes) -> None:
        """Parse bytes; complete requests, and refused ones, go to ``complete``."""
        self.head_bytes += len(data)
        self.parse(data)
        incoming = self.current
        if incoming is None or self.stopped:
            return
        if incoming.refusal is None:
            route = incoming.route
            if self.head_bytes > MAX_HEAD_BYTES:
                incoming.refuse(431, "head-too-large", f"over {MAX_HEAD_BYTES} bytes")
                self.causes.append(Cause.TOO_LARGE)
            elif route is not None and route.check is not None:
                incoming.refusal = route.check(incoming.request)
        if incoming.refusal is not None:
            self.end_with(incoming.refusal)

    def parse(self, data: bytes) -> None:
        """Run the parser over bytes."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            incoming = self.current
            if incoming is None:
                # The bytes that follow belong to a protocol that is not served.
                self.end_with(None)
                return
            # The parser takes a request for an upgrade to have no body.
            self.parser = httptools.HttpRequestParser(self)
            (position,) = upgrade.args
            self.parse(BODY_HEAD % incoming.framing + data[position:])
        except httptools.HttpParserCallbackError:
            raise
        except httptools.HttpParserError as error:
            self.end_with(error_response(400, "malformed-request", str(error)))

    def end_with(self, refusal: Response | None) -> None:
        """Take nothing more; ``refusal`` answers the request that is incomplete."""
        if self.stopped:
            return
        self.stopped = True
        if refusal is not None:
            incoming = self.current or IncomingRequest()
            incoming.refusal = refusal
            incoming.body.clear()
            self.complete.append(incoming)
        if self.complete:
            self.complete[-1].keeps_alive = False
        self.current = None

    def drop(self) -> None:
        """Drop all requests, and the parser, which refers back to the reader.

        Memory of reference cycles is only freed by the next garbage collection.
        """
        self.stopped = True
        self.complete.clear()
        self.current = None
        self.parser = None

    def on_message_begin(self) -> None:
        """Begin a request, unless the body of the current one follows."""
        if self.stopped or self.current is not None:
            return
        if len(self.complete) >= MAX_REQUESTS_AHEAD:
            self.causes.append(Cause.AHEAD)
            self.end_with(None)
            return
        self.current = IncomingRequest()

    def on_url(self, data: bytes) -> None:
        """Collect the target."""
        if self.current is not None:
            self.current.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; those after the body are ignored."""
        incoming = self.current
        if incoming is None or incoming.request is not None:
            return
        if len(incoming.headers) < MAX_HEADERS:
            incoming.headers.append((name.lower(), value))
        elif incoming.refusal is None:
            self.causes.append(Cause.TOO_MANY_FIELDS)
            incoming.refuse(431, "too-many-headers", f"over {MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        """Find the route, and refuse what the head tells to be wrong."""
        incoming = self.current
        if incoming is None or incoming.request is not None:
            return
        self.head_bytes = 0
        version = self.parser.get_http_version()
        # Clients of HTTP/1.0 take a connection to be closed by default.
        incoming.keeps_alive = version == "1.1"
        method = incoming.method = self.parser.get_method().decode("ascii")
        try:
            request = make_request(method, incoming.target, incoming.headers, b"")
        except RejectedError as error:
            incoming.refuse(400, error.rule, error.detail)
            return
        incoming.request = request
        found = self.server.find(method, request.path)
        if isinstance(found, Response):
            incoming.refusal = incoming.refusal or found
            return
        incoming.route, request.match = found
        hosts = 0
        for name, value in incoming.headers:
            match name:
                case b"content-length":
                    incoming.framing = b"%b: %b" % (name, value)
                    self.check_length(incoming, value)
                case b"transfer-encoding":
                    incoming.framing = b"%b: %b" % (name, value)
                    if value.strip().lower() != b"chunked":
                        incoming.refuse(501, "unknown-transfer-encoding", "not chunked")
                case b"expect":
                    incoming.expects_continue = value.lower() == b"100-continue"
                case b"host":
                    hosts += 1
        if hosts != 1 and version == "1.1":
            incoming.refuse(400, "malformed-request", f"{hosts} Host headers")

    def check_length(self, incoming: IncomingRequest, value: bytes) -> None:
        """Refuse a body by its stated length, whose digits the parser has checked."""
        if len(value) > MAX_LENGTH_DIGITS:
            incoming.refuse(400, "malformed-request", "Content-Length has many digits")
        elif int(value) > incoming.max_body_bytes():
            self.refuse_body(incoming)

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        incoming = self.current
        if incoming is None or incoming.refusal is not None:
            return
        self.head_bytes = 0
        incoming.size += len(data)
        if incoming.size > incoming.max_body_bytes():
            self.refuse_body(incoming)
            return
        incoming.body.add(data)

    def refuse_body(self, incoming: IncomingRequest) -> None:
        """Refuse a request for the length of its body."""
        self.causes.append(Cause.TOO_LARGE)
        detail = f"body is over {incoming.max_body_bytes()} bytes"
        incoming.refuse(413, "body-too-large", detail)

    def on_message_complete(self) -> None:
        """Have the request answered."""
        incoming = self.current
        if incoming is None or self.has_body_after_upgrade(incoming):
            return
        self.current = None
        self.head_bytes = 0
        incoming.keeps_alive = incoming.keeps_alive and self.parser.should_keep_alive()
        self.check_values(incoming)
        self.complete.append(incoming)

    def has_body_after_upgrade(self, incoming: IncomingRequest) -> bool:
        """Return whether the parser leaves out the body, for an upgrade.

        The request is served without the upgrade.
        """
        upgrades = self.parser.should_upgrade() and incoming.method != "CONNECT"
        return upgrades and bool(incoming.framing)

    def check_values(self, incoming: IncomingRequest) -> None:
        """Refuse a body with more values than its handler decodes."""
        limit = None if incoming.route is None else incoming.route.max_values
        if limit is None or incoming.size <= SMALL_BODY_BYTES:
            return
        if count_values(incoming.body.blocks) > limit:
            self.causes.append(Cause.TOO_MANY_FIELDS)
            incoming.refuse(413, "too-many-fields", f"over {limit} values")


def count_values(blocks: list[bytearray]) -> int:
    """Return an upper bound of the number of values in a JSON document."""
    return 1 + sum(block.count(mark) for block in blocks for mark in (b",", b"[", b"{"))


class OpenConnections:
    """The open connections of one server.

    :param stopping: whether connections are closed after their next answer.
    """

    __slots__ = ("server", "admission", "group", "stopping", "connections")

    def __init__(
        self, server: HttpServer, admission: Admission, group: AddressGroup
    ) -> None:
        self.server = server
        self.admission = admission
        self.group = group
        self.stopping = False
        self.connections: set[Connection] = set()

    def stop(self) -> None:
        """Close the connections without a request, and all others when answered."""
        self.stopping = True
        for connection in self.connections:
            if connection.client.phase is Phase.IDLE:
                connection.stream.socket.close()


class Connection:
    """Reads requests and writes their answers, one after the other.

    :param client: the account of the connection.
    """

    __slots__ = ("opened", "stream", "reader", "client")

    client: Client

    def __init__(self, opened: OpenConnections, stream: trio.SocketStream) -> None:
        self.opened = opened
        self.stream = stream
        self.reader = RequestReader(opened.server)

    def close(self, cause: Cause) -> None:
        """Close at once; tell a client whose request is still read that it won't run.

        :param cause: the limit for which the connection is closed.
        """
        if self.client.phase is Phase.READING:
            detail = f"the request has not run: {cause.value}"
            response = error_response(503, "overloaded", detail)
            response.headers.append((b"retry-after", str(RETRY_AFTER_S).encode()))
            data = encode_response(response, "", keeps_alive=False)
            with contextlib.suppress(OSError):
                os.write(self.stream.socket.fileno(), data)
        self.reader.drop()
        self.stream.socket.close()

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        reader = self.reader
        while True:
            while reader.complete:
                if not await self.answer(reader.complete.popleft()):
                    return
            stopping = self.opened.stopping and reader.current is None
            if reader.stopped or stopping:
                return
            self.wait_for_request()
            await self.send_continue()
            data = await self.stream.receive_some(READ_BYTES)
            if not data:
                return
            if not self.client.closed:
                self.take(data, trio.current_time())
            if self.client.closed:
                return

    async def send_continue(self) -> None:
        """Ask for the body that a client holds back, after all earlier answers."""
        incoming = self.reader.current
        if incoming is not None and incoming.expects_continue and not incoming.size:
            incoming.expects_continue = False
            await self.stream.send_all(CONTINUE)

    def wait_for_request(self) -> None:
        """Note that nothing waits for an answer."""
        client = self.client
        if self.reader.current is None:
            self.opened.admission.release(client)
            client.enter(Phase.IDLE, trio.current_time())
        elif client.phase is not Phase.READING:
            client.enter(Phase.READING, trio.current_time())

    def take(self, data: bytes, now: float) -> None:
        """Parse bytes and count what is kept of them."""
        client, admission, reader = self.client, self.opened.admission, self.reader
        if client.phase is Phase.IDLE:
            client.enter(Phase.READING, now)
        client.moved += len(data)
        reader.feed(data)
        size = len(data)
        for incoming in reader.complete:
            size += HEADER_BYTES * len(incoming.headers)
            if incoming.size > SMALL_BODY_BYTES and incoming.body.size:
                size += incoming.size + self.decoded_bytes(incoming)
        if reader.causes:
            for cause in reader.causes:
                admission.count(cause)
            reader.causes.clear()
        admission.charge(client, size, now)

    def decoded_bytes(self, incoming: IncomingRequest) -> int:
        """Return the estimated memory of the decoded body."""
        if incoming.route is None or incoming.route.max_values is None:
            return 0
        return VALUE_BYTES * count_values(incoming.body.blocks)

    async def answer(self, incoming: IncomingRequest) -> bool:
        """Answer a request; return whether the connection stays open."""
        client, opened = self.client, self.opened
        client.enter(Phase.RUNNING, trio.current_time())
        response = incoming.refusal
        if response is None:
            incoming.request.body = incoming.body.take(incoming.body.size)
            response = await call_handler(incoming.route.handler, incoming.request)
            # The body is not kept while the answer is sent.
            incoming.request = None
        keeps_alive = (
            incoming.keeps_alive
            and not self.is_last()
            and (b"connection", b"close") not in response.headers
        )
        data = encode_response(response, incoming.method, keeps_alive)
        now = trio.current_time()
        if len(data) > CONNECTION_BYTES:
            opened.admission.charge(client, len(data), now)
        client.enter(Phase.SENDING, now, len(data))
        await self.stream.send_all(data)
        client.finished += 1
        if not keeps_alive and (self.reader.stopped or opened.stopping):
            await self.linger()
        return keeps_alive

    def is_last(self) -> bool:
        """Return whether the server stops and no other complete request waits."""
        return self.opened.stopping and not self.reader.complete

    async def linger(self) -> None:
        """Read what the client still sends, up to a limit.

        A connection that is closed with unread bytes is reset, and its answer lost.
        """
        self.opened.admission.release(self.client)
        self.client.enter(Phase.CLOSING, trio.current_time())
        await self.stream.send_eof()
        left = LINGER_BYTES
        with trio.move_on_after(LINGER_S):
            while left > 0:
                data = await self.stream.receive_some(READ_BYTES)
                if not data:
                    return
                left -= len(data)


async def serve_connection(opened: OpenConnections, stream: trio.SocketStream) -> None:
    """Serve one connection; no error of it reaches the other connections."""
    connection = Connection(opened, stream)
    now = trio.current_time()
    client = opened.admission.add(opened.group, connection.close, now)
    if client is None:
        stream.socket.close()
        return
    connection.client = client
    opened.connections.add(connection)
    try:
        await connection.serve()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The client has gone, or its connection was closed for a limit.
        return
    except Exception as error:
        detail = "".join(traceback.format_exception(error))
        events.write(events.REQUEST_FAILED, trace=detail)
    finally:
        opened.connections.discard(connection)
        opened.admission.remove(client)
        connection.reader.drop()
        stream.socket.close()


class DateHeader:
    """The ``Date`` header, which is encoded once a second.

    :param second: the second of Unix time that ``line`` states.
    """

    __slots__ = ("second", "line")

    def __init__(self) -> None:
        self.second = 0
        self.line = b""

    def render(self, now: float) -> bytes:
        """Return the header's line; ``now`` is the Unix time in seconds."""
        if int(now) != self.second:
            self.second = int(now)
            self.line = f"date: {formatdate(self.second, usegmt=True)}\r\n".encode()
        return self.line


date_header = DateHeader()


def encode_response(response: Response, method: str, keeps_alive: bool) -> bytes:
    """Return the bytes of a response.

    :param method: the method of the request, as ``HEAD`` is answered without a body.
    """
    status = response.status
    head = [f"HTTP/1.1 {status} {REASONS.get(status, '')}\r\n".encode()]
    closes = False
    for name, value in response.headers:
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding", b"date"):
            continue
        closes = closes or name == b"connection"
        head.append(b"%b: %b\r\n" % (name, value))
    if not keeps_alive and not closes:
        head.append(b"connection: close\r\n")
    head.append(date_header.render(time.time()))
    if status not in BODILESS_STATUSES:
        head.append(b"content-length: %d\r\n" % len(response.body))
    head.append(b"\r\n")
    if method != "HEAD" and status not in BODILESS_STATUSES:
        head.append(response.body)
    return b"".join(head)
