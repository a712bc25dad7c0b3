"""Creates the applications of one process from its settings."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from rattanwing.application import Application

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.settings import Settings


def make_application(
    settings: Settings, role: str, clock: Callable[[], float] = time.monotonic
) -> Application:
    """Return the application of one role, importing only the modules it needs."""
    app = Application(settings, clock)
    app.setup_extension("rattanwing.lifecycle")
    match role:
        case "entry":
            add_entry(app)
        case "agent":
            add_agent(app)
        case _:
            from rattanwing.standin import services

            getattr(services, f"setup_{role}")(app)
    return app


def add_entry(app: Application) -> None:
    """Set up an entry with the platform's log, HTTP and gRPC."""
    from rattanwing.log.client import HttpLog
    from rattanwing.peer.grpc import dial_peer, serve_peers
    from rattanwing.util.http_server import serve_http

    settings = app.settings.entry
    app.add_service("serve_http", serve_http)
    app.add_service("wall_clock", time.time)
    app.add_service("log", HttpLog(settings.log))
    app.add_service("dial", dial_peer)
    app.setup_extension("rattanwing.entry")
    accept = app.get("peers").accept
    app.add_task(partial(serve_peers, settings.peers, accept))


def add_agent(app: Application) -> None:
    """Set up an agent that connects to the entries over gRPC."""
    from rattanwing.peer.grpc import dial_peer

    app.add_service("dial", dial_peer)
    app.setup_extension("rattanwing.agent")


def make_applications(settings: Settings) -> list[Application]:
    """Return one application for each role in the settings."""
    return [make_application(settings, role) for role in settings.roles()]


def to_json(settings: Any) -> bytes:
    """Return settings as the JSON that :func:`parse_settings` reads."""
    return msgspec.json.encode(settings)
