"""HTTP endpoints for the health and metrics of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.util.http_server import (
    HttpServer,
    Request,
    Response,
    error_response,
    json_response,
    metrics_response,
    serve_http,
)

if TYPE_CHECKING:
    from rattanwing.application import Application

STOP_GRACE_S = 1.0
"""How long requests in progress may take to finish at shutdown."""


def setup(app: Application) -> None:
    """Register the background task that serves health and metrics."""

    async def health(_request: Request) -> Response:
        if app.get("connector").leaving:
            return error_response(503, "stopping", "the agent is leaving")
        return json_response(200, {"status": "ok"})

    async def metrics(_request: Request) -> Response:
        return metrics_response(app.get("metrics").render())

    async def run() -> None:
        server = HttpServer()
        server.route("GET", "/health", health)
        server.route("GET", "/metrics", metrics)
        await serve_http(
            server,
            app.settings.agent.http,
            app.get("lifecycle").stop_requested.wait,
            STOP_GRACE_S,
        )

    app.add_task(run)
