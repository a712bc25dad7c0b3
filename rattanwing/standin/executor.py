"""Stand-in for an executor: the served system of a host."""

from __future__ import annotations

import trio

from rattanwing.util.http_server import HttpServer, Request, Response, json_response

MAX_DELAY_MS = 60_000


class StandinExecutor:
    """Answers any path after a delay and counts what it has run.

    A caller's query may name ``delay_ms``; ``/executions`` lists what ran.

    :param service_ms: delay of a request that names none, in milliseconds.
    """

    __slots__ = ("service_ms", "executions")

    def __init__(self, service_ms: float) -> None:
        self.service_ms = service_ms
        self.executions: list[str] = []

    def make_server(self) -> HttpServer:
        """Return the HTTP face."""
        server = HttpServer()
        server.route("GET", "/executions", self.list_executions)
        server.route("*", "/.*", self.execute)
        return server

    async def list_executions(self, _request: Request) -> Response:
        """Return the targets of all executed requests."""
        return json_response(200, self.executions)

    async def execute(self, request: Request) -> Response:
        """Run one request."""
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
