"""Sets up the stand-ins as roles of a process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.standin.executor import StandinExecutor
from rattanwing.standin.log import MemoryLog, make_log_server
from rattanwing.standin.worker import MemoryWorker, make_worker_server
from rattanwing.util.http_server import HttpServer, serve_http

if TYPE_CHECKING:
    from rattanwing.application import Application

STOP_GRACE_S = 1.0
"""Time limit for the requests in progress when a server stops."""


def add_http_task(
    app: Application, role: str, server: HttpServer, address: str
) -> None:
    """Add a task that serves a stand-in over HTTP until the process stops."""

    async def run() -> None:
        stop = app.get("lifecycle").stop_requested
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_http, server, address, stop.wait, STOP_GRACE_S)
            events.write(events.LISTENING, role=role, http=address)

    app.add_task(run)


def setup_standin_log(app: Application) -> None:
    """Set up the role ``standin_log``."""
    settings = app.settings.standin_log
    log = MemoryLog(time.time, settings.retention)
    add_http_task(app, "standin_log", make_log_server(log), settings.http)


def setup_standin_executor(app: Application) -> None:
    """Set up the role ``standin_executor``."""
    settings = app.settings.standin_executor
    server = StandinExecutor(settings.service_ms).make_server()
    add_http_task(app, "standin_executor", server, settings.http)


def setup_standin_worker(app: Application) -> None:
    """Set up the role ``standin_worker``."""
    settings = app.settings.standin_worker
    server = make_worker_server(MemoryWorker(app.now))
    add_http_task(app, "standin_worker", server, settings.http)
