"""Command line entry point of the platform's roles ``entry`` and ``agent``."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import trio

from rattanwing import events
from rattanwing.batch import records
from rattanwing.batch.shutdown import SEND_TIME_S, StopTimes
from rattanwing.batch.timing import steady_clock, wall_clock_ms
from rattanwing.errors import SettingsError
from rattanwing.logs import configure_bounded
from rattanwing.metrics import Metrics
from rattanwing.platform.settings import PATH_VARIABLE, parse_settings, read_settings
from rattanwing.platform.store import PlatformStore
from rattanwing.util.address import split_address
from rattanwing.util.admission import (
    AddressGroup,
    Admission,
    descriptor_limit,
    make_limits,
)
from rattanwing.util.http_server import (
    HttpServer,
    Response,
    enforce_limits,
    metrics_response,
    serve_http,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rattanwing.batch.settings import BatchSettings

EXIT_BAD_SETTINGS = 2
READY_PATH = "/rattanwing/ready"
METRICS_PATH = "/metrics"
METRICS_PORT = 9464
"""Port of the metrics page. It is outside the platform's port range and must match
the deploy file."""

ROLES = ("entry", "agent")

MAX_VALUES = 20_000
"""Most values of a JSON body that is decoded; a job of the most steps has about 5,000,
and its text may look like 4,000."""

MAX_NO_BODY_BYTES = 4 * 1024
"""Longest body of a request that needs none."""

SETTINGS_POLL_INTERVAL_S = 1.0
"""Interval between checks of the settings file, which may change without a signal."""


class StopSignal:
    """Events of an orderly stop.

    :param requested: set by the first SIGTERM or SIGINT.
    :param servers_may_stop: set by an entry when its servers may send their last
        answers and stop; an agent never sets it.
    """

    __slots__ = ("requested", "servers_may_stop")

    def __init__(self) -> None:
        self.requested = trio.Event()
        self.servers_may_stop = trio.Event()

    async def watch(
        self,
        settings_path: Path,
        settings: BatchSettings,
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Handle signals until cancelled; SIGHUP reloads the settings.

        No signal that follows the request to stop ends the process early.
        """
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with trio.open_signal_receiver(*numbers) as received:
            task_status.started()
            async for number in received:
                if number == signal.SIGHUP:
                    reload_settings(settings_path, settings, "signal")
                else:
                    self.requested.set()


def reload_settings(path: Path, settings: BatchSettings, cause: str) -> None:
    """Reload the grace period and the retention, which may change at run time.

    If the file is invalid, the current settings stay in force.

    :param cause: what triggered the reload, for the log.
    """
    try:
        found = parse_settings(read_settings(path))
    except SettingsError as error:
        events.write(events.SETTINGS_REFUSED, problem=str(error))
        return
    settings.grace_s = found.grace_s
    settings.retention_s = found.retention_s
    events.write(events.SETTINGS_RELOADED, cause=cause, name=found.name)


async def watch_settings(path: Path, settings: BatchSettings, before: bytes) -> None:
    """Poll the settings file and reload it when its content has changed.

    :param before: the content that ``settings`` was read from.
    """
    while True:
        await trio.sleep(SETTINGS_POLL_INTERVAL_S)
        try:
            data = path.read_bytes()
        except OSError as error:
            events.write(events.SETTINGS_REFUSED, problem=str(error))
            continue
        if data != before:
            before = data
            reload_settings(path, settings, "changed")


def make_admission(settings: BatchSettings) -> Admission:
    """Return the accepted connections of a process, with limits by its settings."""
    max_fds = settings.max_fds or descriptor_limit()
    return Admission(make_limits(settings.memory_mb, max_fds))


def make_random() -> Random:
    """Return a random generator that is seeded differently in each process."""
    return Random(os.urandom(16))


async def run_entry(settings: BatchSettings, stop: StopSignal) -> None:
    """Run an entry until a stop is requested and its requests have finished.

    To stop, the entry resigns and answers "not ready". It continues to serve until
    shortly before it exits, as callers may keep their connections until then.
    """
    from rattanwing.batch.entry import RESIGN_TIMEOUT_S, BatchEntry
    from rattanwing.batch.metrics import render_entry
    from rattanwing.batch.replica import TopicReader
    from rattanwing.peer.frames import dial_peer, serve_peers
    from rattanwing.platform.callers import CallerRoutes
    from rattanwing.platform.configuration_file import log_faults
    from rattanwing.platform.operator import OPERATOR_TOPIC, OperatorRecords

    store = PlatformStore(settings.store)
    entry = BatchEntry(
        settings, store, steady_clock, wall_clock_ms, make_random(), dial_peer
    )
    operator = OperatorRecords(entry.configuration, entry.handle_configuration_change)

    def check_applied(data: bytes) -> None:
        # One process is enough to log the findings, and every entry applies the record.
        if entry.owner_loop is not None:
            log_faults(data)

    operator.on_applied = check_applied
    operator_reader = TopicReader(store, OPERATOR_TOPIC, steady_clock, operator.apply)
    operator_reader.on_loaded = operator.handle_loaded
    entry.configuration.read_sent_at = lambda: operator_reader.read_sent_at
    callers = CallerRoutes(entry.relaying_service, entry.configuration)
    caller_server = HttpServer()
    caller_server.route(
        "*", r".*", callers.handle, check=callers.check, max_values=MAX_VALUES
    )
    readiness_server = HttpServer()

    async def answer_ready(_request: object) -> Response:
        ready = entry.is_ready(steady_clock())
        return Response(200 if ready else 503, [], b"")

    readiness_server.route(
        "GET", READY_PATH, answer_ready, max_body_bytes=MAX_NO_BODY_BYTES
    )
    admission = make_admission(settings)
    metrics = Metrics()
    entry.writer.on_stored = lambda s: metrics.add_latency("store", "append", s)
    metrics_server = make_metrics_server(
        lambda: render_entry(entry, admission, metrics, steady_clock())
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(enforce_limits, admission)
        nursery.start_soon(
            serve_until,
            metrics_server,
            metrics_address(settings),
            stop.servers_may_stop,
            admission,
            AddressGroup.METRICS,
        )
        await nursery.start(
            serve_peers,
            settings.peers_address,
            entry.relaying_service.accept,
            admission,
        )
        nursery.start_soon(entry.run)
        nursery.start_soon(operator_reader.run)
        nursery.start_soon(
            serve_until,
            readiness_server,
            settings.readiness_address,
            stop.servers_may_stop,
            admission,
            AddressGroup.READINESS,
        )
        nursery.start_soon(
            serve_until,
            caller_server,
            settings.callers_address,
            stop.servers_may_stop,
            admission,
            AddressGroup.REQUESTS,
        )
        await stop.requested.wait()
        stopping_at = trio.current_time()
        times = StopTimes(settings.grace_s)
        callers.requests.end(stopping_at + times.answers_end_s)
        hold_s = max(0.0, times.exit_s - RESIGN_TIMEOUT_S)
        nursery.start_soon(entry.resign_for_shutdown, hold_s)
        await trio.sleep_until(stopping_at + times.answers_end_s)
        stop.servers_may_stop.set()
        await trio.sleep_until(stopping_at + times.exit_s)
        nursery.cancel_scope.cancel()


async def run_agent(settings: BatchSettings, stop: StopSignal) -> None:
    """Run an agent until a stop is requested.

    Its runs continue on the executor while their lease lasts.
    """
    from rattanwing.batch.agent import BatchAgent, keep_registered, unregister
    from rattanwing.batch.metrics import render_agent
    from rattanwing.batch.ports import AppendStamp
    from rattanwing.batch.writer import RecordWriter
    from rattanwing.peer.frames import serve_peers
    from rattanwing.platform.executor import (
        ANNOUNCEMENT_PATH,
        AnnouncementRoutes,
        ExecutorClient,
    )

    random = make_random()
    incarnation = f"{settings.name}-{random.getrandbits(64):016x}"
    agent = BatchAgent(steady_clock, ExecutorClient)
    store = PlatformStore(settings.store)
    stamp = AppendStamp(incarnation, 1, 0)
    writer = RecordWriter(store, records.DIRECTORY_TOPIC, stamp, steady_clock, random)
    address = records.AgentAddress(settings.name, settings.peers_address, incarnation)
    routes = AnnouncementRoutes(agent)
    announcements = HttpServer()
    announcements.route(
        "PUT", ANNOUNCEMENT_PATH, routes.handle_announcement, max_values=MAX_VALUES
    )
    announcements.route("DELETE", ANNOUNCEMENT_PATH, routes.handle_departure)
    admission = make_admission(settings)
    metrics = Metrics()
    writer.on_stored = lambda s: metrics.add_latency("store", "append", s)
    metrics_server = make_metrics_server(
        lambda: render_agent(agent, admission, metrics, steady_clock())
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(enforce_limits, admission)
        nursery.start_soon(
            serve_until,
            metrics_server,
            metrics_address(settings),
            stop.servers_may_stop,
            admission,
            AddressGroup.METRICS,
        )
        nursery.start_soon(
            serve_until,
            announcements,
            settings.announcements_address,
            stop.servers_may_stop,
            admission,
            AddressGroup.REQUESTS,
        )
        await nursery.start(
            serve_peers, settings.peers_address, agent.accept, admission
        )
        nursery.start_soon(writer.run)
        nursery.start_soon(agent.run)
        nursery.start_soon(keep_registered, agent, writer, address, random)
        await stop.requested.wait()
        await unregister(agent, writer, settings.name)
        nursery.cancel_scope.cancel()


def make_metrics_server(render: Callable[[], str]) -> HttpServer:
    """Return an HTTP server for the metrics page.

    :param render: returns the text of the page.
    """
    server = HttpServer()

    async def answer(_request: object) -> Response:
        return metrics_response(render())

    server.route("GET", METRICS_PATH, answer, max_body_bytes=MAX_NO_BODY_BYTES)
    return server


def metrics_address(settings: BatchSettings) -> str:
    """Return the address of the metrics page: the host of the streams, another port."""
    host, _port = split_address(settings.peers_address)
    return f"{host}:{METRICS_PORT}"


async def serve_until(
    server: HttpServer,
    address: str,
    stop: trio.Event,
    admission: Admission,
    group: AddressGroup,
) -> None:
    """Serve HTTP until ``stop`` is set, then send the last answers."""
    events.write(events.LISTENING, address=address)
    await serve_http(
        server, address, stop.wait, SEND_TIME_S, admission=admission, group=group
    )


async def run(role: str, path: Path, data: bytes, settings: BatchSettings) -> None:
    """Run a role until it has stopped.

    :param path: the settings file, which is watched for changes.
    :param data: the content that ``settings`` was read from.
    """
    stop = StopSignal()
    programs: dict[str, Callable[..., Awaitable[None]]] = {
        "entry": run_entry,
        "agent": run_agent,
    }
    async with trio.open_nursery() as nursery:
        await nursery.start(stop.watch, path, settings)
        nursery.start_soon(watch_settings, path, settings, data)
        await programs[role](settings, stop)
        nursery.cancel_scope.cancel()


def main() -> int:
    """Run the role that the first argument names; return the exit code."""
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    path = Path(os.environ.get(PATH_VARIABLE, ""))
    if role not in ROLES:
        print(f"usage: python3 -m rattanwing.platform {'|'.join(ROLES)}")
        return EXIT_BAD_SETTINGS
    try:
        data = read_settings(path)
        settings = parse_settings(data)
    except SettingsError as error:
        configure_bounded(role, "info")
        for problem in error.problems:
            events.write(events.SETTINGS_REFUSED, problem=problem)
        return EXIT_BAD_SETTINGS
    configure_bounded(settings.name, "info")
    events.write(
        events.PROCESS_STARTED,
        roles=role,
        cpu_s=round(time.process_time(), 3),
    )
    trio.run(run, role, path, data, settings)
    events.write(events.PROCESS_STOPPED)
    return 0
