"""A small router and HTTP/1.1 server that runs on trio."""

from __future__ import annotations

import re
import socket
from collections.abc import Awaitable, Callable  # noqa: TC003
from functools import partial
from typing import Any

import msgspec
import trio

from rattanwing import events
from rattanwing.util.address import split_address
from rattanwing.util.admission import (
    AddressGroup,
    Admission,
    Cause,
    descriptor_limit,
    make_limits,
)
from rattanwing.util.http_connection import OpenConnections, serve_connection
from rattanwing.util.http_messages import (
    Request,
    Response,
    call_handler,
    error_response,
    json_response,
    metrics_response,
)

__all__ = [
    "HttpServer",
    "Request",
    "Response",
    "Route",
    "call_handler",
    "enforce_limits",
    "error_response",
    "json_response",
    "metrics_response",
    "serve_http",
]

MAX_BODY_BYTES = 1024 * 1024
BACKLOG = 100

ENFORCE_INTERVAL_S = 1.0
"""Interval at which slow and idle connections are closed, and refusals logged."""


class Route(msgspec.Struct):
    """Requests that one handler answers.

    :param method: an HTTP method, or ``*`` for all methods.
    :param pattern: matches the complete path.
    :param check: returns the refusal of a request whose body has not been read, or
        ``None`` to read it.
    :param max_values: most values of a JSON body that the handler decodes; ``None`` if
        it does not decode the body.
    :param max_body_bytes: longest body.
    """

    method: str
    pattern: re.Pattern[str]
    handler: Callable[[Request], Awaitable[Response]]
    check: Callable[[Request], Response | None] | None = None
    max_values: int | None = None
    max_body_bytes: int = MAX_BODY_BYTES


class HttpServer:
    """Routes requests by method and path pattern."""

    __slots__ = ("routes",)

    def __init__(self) -> None:
        self.routes: list[Route] = []

    def route(
        self, method: str, pattern: str, handler: Callable[..., Any], **options: Any
    ) -> None:
        """Route requests to ``handler``.

        :param method: an HTTP method, or ``*`` for all methods.
        :param pattern: regular expression that matches the complete path.
        :param options: further fields of :class:`Route`.
        """
        self.routes.append(Route(method, re.compile(pattern), handler, **options))

    def find(self, method: str, path: str) -> tuple[Route, dict[str, str]] | Response:
        """Return the first route that matches and its groups, or a refusal."""
        known_path = False
        for route in self.routes:
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            known_path = True
            if route.method in ("*", method):
                return route, match.groupdict()
        if known_path:
            return error_response(405, "method-not-allowed", method)
        return error_response(404, "unknown-path", path)

    async def respond(self, request: Request) -> Response:
        """Return the response of the first route that matches the request."""
        found = self.find(request.method, request.path)
        if isinstance(found, Response):
            return found
        route, request.match = found
        return await call_handler(route.handler, request)


async def serve_http(
    server: HttpServer,
    address: str,
    wait_for_stop: Callable[[], Awaitable[None]],
    grace_s: float,
    admission: Admission | None = None,
    group: AddressGroup = AddressGroup.REQUESTS,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_for_stop`` returns, then finish the open requests.

    :param grace_s: maximum time in seconds to wait for open requests.
    :param admission: the connections of the process, whose limits
        :func:`enforce_limits` enforces; by default, the server has limits of its own.
    :param group: the group that the address belongs to.
    :param task_status: receives the list of the URLs that are served.
    """
    async with trio.open_nursery() as helpers:
        if admission is None:
            admission = Admission(make_limits(0, descriptor_limit()))
            helpers.start_soon(enforce_limits, admission)
        opened = OpenConnections(server, admission, group)
        connection = partial(serve_connection, opened)
        async with trio.open_nursery() as connections:
            listener = open_listener(address)
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    partial(
                        trio.serve_listeners,
                        connection,
                        [listener],
                        handler_nursery=connections,
                    )
                )
                task_status.started([listening_url(listener)])
                await wait_for_stop()
                accepting.cancel_scope.cancel()
            opened.stop()
            connections.cancel_scope.deadline = trio.current_time() + grace_s
        helpers.cancel_scope.cancel()


async def enforce_limits(admission: Admission) -> None:
    """Close slow and idle connections, and log refusals, until cancelled."""
    logged: dict[Cause, int] = {}
    while True:
        await trio.sleep(ENFORCE_INTERVAL_S)
        admission.close_expired(trio.current_time())
        for cause, count in admission.closed_counts.items():
            new = count - logged.get(cause, 0)
            if new and cause is not Cause.IDLE:
                events.write(
                    events.CLIENTS_REFUSED,
                    outcome=cause.value,
                    refused=new,
                    held_bytes=admission.held_bytes,
                    connections={
                        group.value: len(clients)
                        for group, clients in admission.clients.items()
                    },
                )
            logged[cause] = count


def open_listener(address: str) -> trio.SocketListener:
    """Listen at an address, given as ``ip:port``.

    :raises OSError: when that is not possible.
    """
    sock = socket.create_server(split_address(address), backlog=BACKLOG)
    sock.setblocking(False)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


def listening_url(listener: trio.SocketListener) -> str:
    """Return the URL that a listener serves."""
    host, port, *_ = listener.socket.getsockname()
    return f"http://{host}:{port}"
