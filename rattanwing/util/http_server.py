"""A small ASGI router that runs on hypercorn and trio."""

from __future__ import annotations

import re
import traceback
from functools import partial
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import hypercorn
import msgspec
import trio
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import repr_socket_addr, wrap_app

from rattanwing import events
from rattanwing.errors import RejectedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hypercorn.typing import AppWrapper

MAX_BODY_BYTES = 1024 * 1024
KEEP_ALIVE_S = 75.0
HEADERS_JSON = [(b"content-type", b"application/json")]


class Request(msgspec.Struct):
    """A complete HTTP request.

    :param raw_target: path and query as sent, not percent-decoded.
    :param match: values of the named groups in the route's pattern.
    """

    method: str
    path: str
    raw_target: str
    query: dict[str, str]
    headers: list[tuple[bytes, bytes]]
    body: bytes
    match: dict[str, str]

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, given its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


class Response(msgspec.Struct):
    """A complete HTTP response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class BodyTooLargeError(RejectedError):
    """A request body is longer than ``MAX_BODY_BYTES``."""


class BodyIncompleteError(RejectedError):
    """The caller disconnected before it had sent the complete body."""


def json_response(status: int, value: Any) -> Response:
    """Return a response with a JSON body."""
    return Response(status, list(HEADERS_JSON), msgspec.json.encode(value))


def metrics_response(text: str) -> Response:
    """Return a response with metrics in the Prometheus text format."""
    headers = [(b"content-type", b"text/plain; version=0.0.4")]
    return Response(200, headers, text.encode())


def error_response(status: int, rule: str, detail: str) -> Response:
    """Return an error response with the common JSON body for errors."""
    return json_response(status, {"error": rule, "detail": detail})


class HttpServer:
    """ASGI application that routes requests by method and path pattern."""

    __slots__ = ("routes",)

    def __init__(self) -> None:
        self.routes: list[tuple[str, re.Pattern[str], Callable[..., Any]]] = []

    def route(self, method: str, pattern: str, handler: Callable[..., Any]) -> None:
        """Route requests to ``handler``.

        :param method: an HTTP method, or ``*`` for all methods.
        :param pattern: regular expression that matches the complete path.
        """
        self.routes.append((method, re.compile(pattern), handler))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI connection scope."""
        if scope["type"] != "http":
            return
        response = await self.respond(scope, receive)
        length = str(len(response.body)).encode()
        headers = [h for h in response.headers if h[0].lower() != b"content-length"]
        headers.append((b"content-length", length))
        start = {"type": "http.response.start", "status": response.status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": response.body})

    async def respond(self, scope: Any, receive: Any) -> Response:
        """Return the response of the first route that matches the request."""
        path = scope["path"]
        known_path = False
        for method, pattern, handler in self.routes:
            match = pattern.fullmatch(path)
            if match is None:
                continue
            known_path = True
            if method not in ("*", scope["method"]):
                continue
            try:
                body = await read_body(receive)
            except BodyTooLargeError as error:
                return error_response(413, error.rule, error.detail)
            except BodyIncompleteError as error:
                return error_response(400, error.rule, error.detail)
            return await call_handler(
                handler, make_request(scope, body, match.groupdict())
            )
        if known_path:
            return error_response(405, "method-not-allowed", scope["method"])
        return error_response(404, "unknown-path", path)


async def call_handler(
    handler: Callable[[Request], Awaitable[Response]], request: Request
) -> Response:
    """Return the handler's response, or status 500 after an unexpected error."""
    try:
        return await handler(request)
    except Exception as error:
        detail = "".join(traceback.format_exception(error))
        events.write(events.REQUEST_FAILED, path=request.path, trace=detail)
        return error_response(500, "internal-error", "see the log of this process")


def make_request(scope: Any, body: bytes, match: dict[str, str]) -> Request:
    """Return the request described by an ASGI scope."""
    raw = scope.get("raw_path") or scope["path"].encode()
    query = scope["query_string"]
    target = raw + b"?" + query if query else raw
    return Request(
        scope["method"],
        scope["path"],
        target.decode("latin-1"),
        dict(parse_qsl(query.decode("latin-1"))),
        [(bytes(k).lower(), bytes(v)) for k, v in scope["headers"]],
        body,
        match,
    )


async def read_body(receive: Any) -> bytes:
    """Return the complete request body.

    :raises BodyTooLargeError: if it is longer than ``MAX_BODY_BYTES``.
    :raises BodyIncompleteError: if the caller disconnects before its end.
    """
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise BodyIncompleteError("body-incomplete", "the caller went away")
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > MAX_BODY_BYTES:
            detail = f"body is over {MAX_BODY_BYTES} bytes"
            raise BodyTooLargeError("body-too-large", detail)
        if not message.get("more_body"):
            return b"".join(parts)


async def serve_http(
    server: HttpServer,
    address: str,
    wait_for_stop: Callable[[], Awaitable[None]],
    grace_s: float,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_for_stop`` returns, then finish the open requests.

    :param grace_s: maximum time in seconds to wait for open requests.
    :param task_status: receives the list of the URLs that are served.
    """
    config = hypercorn.Config()
    config.bind = [address]
    config.errorlog = None
    config.accesslog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.include_server_header = False
    app = wrap_app(server, config.wsgi_max_body_size, "asgi")
    context = WorkerContext(None)
    connection = partial(serve_connection, app, config, context)
    async with trio.open_nursery() as connections:
        listeners = open_listeners(config)
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    connection,
                    listeners,
                    handler_nursery=connections,
                )
            )
            task_status.started([listening_url(listener) for listener in listeners])
            await wait_for_stop()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + grace_s


def open_listeners(config: hypercorn.Config) -> list[trio.SocketListener]:
    """Listen at the addresses of the configuration."""
    listeners = []
    for sock in config.create_sockets().insecure_sockets:
        sock.listen(config.backlog)
        listeners.append(trio.SocketListener(trio.socket.from_stdlib_socket(sock)))
    return listeners


def listening_url(listener: trio.SocketListener) -> str:
    """Return the URL that a listener serves."""
    sock = listener.socket
    return f"http://{repr_socket_addr(sock.family, sock.getsockname())}"


async def serve_connection(
    app: AppWrapper,
    config: hypercorn.Config,
    context: WorkerContext,
    stream: trio.SocketStream,
) -> None:
    """Serve one connection; no error of it reaches the other connections.

    hypercorn's own server ends with any error of its protocol classes, and there are
    requests that cause one.
    """
    try:
        await TCPServer(app, config, context, ConnectionState({}), stream)
    except* Exception as errors:
        detail = "".join(traceback.format_exception(errors))
        events.write(events.REQUEST_FAILED, trace=detail)
