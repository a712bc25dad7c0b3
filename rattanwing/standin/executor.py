"""Stand-in for an executor: the service on a host that handles requests."""

from __future__ import annotations

import trio

from rattanwing.util.http_server import HttpServer, Request, Response, json_response

MAX_DELAY_MS = 60_000
"""Limit of the delay that a request may ask for."""


class StandinExecutor:
    """Answers every request after a delay and records which requests it executed.

    The query parameter ``delay_ms`` sets the delay of one request.
    ``GET /executions`` returns the recorded requests.

    :param service_ms: delay of requests without ``delay_ms``, in milliseconds.
    :param executions: method and target of each executed request, in order.
    """

    __slots__ = ("service_ms", "executions")

    def __init__(self, service_ms: float) -> None:
        self.service_ms = service_ms
        self.executions: list[str] = []

    def make_server(self) -> HttpServer:
        """Return an HTTP server for this executor."""
        server = HttpServer()
        server.route("GET", "/executions", self.list_executions)
        server.route("*", "/.*", self.execute)
        return server

    async def list_executions(self, _request: Request) -> Response:
        """Return method and target of all executed requests."""
        return json_response(200, self.executions)

    async def execute(self, request: Request) -> Response:
        """Record a request and answer it after its delay."""
        self.executions.append(f"{request.method} {request.raw_target}")
        text = request.query.get("delay_ms", "")
        delay_ms = min(int(text), MAX_DELAY_MS) if text.isdigit() else self.service_ms
        await trio.sleep(delay_ms / 1000)
        return json_response(
            200,
            {
                "ran": request.raw_target,
                "method": request.method,
                "body": request.body.decode("utf-8", "replace"),
            },
        )
