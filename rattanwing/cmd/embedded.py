"""Runs all roles in one process, as ``make run`` does, and a short demo."""

from __future__ import annotations

import contextlib
import socket
import uuid
from typing import TYPE_CHECKING, Any

import trio

from rattanwing.cmd.daemon import run_applications
from rattanwing.deployment import make_application
from rattanwing.settings import (
    AgentSettings,
    EntrySettings,
    ExecutorSettings,
    PeerAddress,
    Settings,
    StandinExecutorSettings,
    StandinLogSettings,
    StandinWorkerSettings,
    WorkerSettings,
)
from rattanwing.util.address import split_address
from rattanwing.util.http_client import HttpCallError, HttpClient

if TYPE_CHECKING:
    from rattanwing.application import Application

LOOPBACK = "127.0.0.1"
POLL_S = 0.1
DEMO_TIMEOUT_S = 30.0
PLATFORM_ROLES = ("standin_log", "standin_executor", "standin_worker")
"""Stand-ins for the platform; started before the other roles and stopped after
them, because the other roles call them."""

SYSTEM_ROLES = ("entry", "agent")


def free_addresses(count: int) -> list[str]:
    """Return different unused loopback addresses.

    Another process may take a port before the caller binds it.
    """
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((LOOPBACK, 0))
        return [f"{LOOPBACK}:{probe.getsockname()[1]}" for probe in probes]


def embedded_settings(http: str | None) -> Settings:
    """Return settings with all roles on loopback addresses.

    :param http: address for callers and operators; ``None`` picks a free port.
    """
    free_http, peers, log, executor, worker = free_addresses(5)
    entries = [PeerAddress("embedded", peers)]
    return Settings(
        "embedded",
        "local",
        entry=EntrySettings(http or free_http, peers, log, entries, drain_s=0.0),
        agent=AgentSettings(
            entries,
            ExecutorSettings("collections", executor, cpu=2.0, memory_mb=2048),
            WorkerSettings(worker, "rack-1", 32.0, 128_000),
        ),
        standin_log=StandinLogSettings(log),
        standin_executor=StandinExecutorSettings(executor),
        standin_worker=StandinWorkerSettings(worker),
    )


async def call_until_ok(
    client: HttpClient, method: str, target: str, body: Any
) -> dict[str, Any]:
    """Repeat a call until the entry answers with status 200."""
    while True:
        try:
            status, answer = await client.call_json(method, target, body, 5.0)
        except HttpCallError:
            status, answer = 0, None
        if status == 200:
            return answer
        await trio.sleep(POLL_S)


async def run_demo(address: str) -> None:
    """Send one booking request, run one job, and print the results."""
    client = HttpClient(address, 4)
    booking = {"island": "via Roma 4", "tubes": 40}
    with trio.fail_after(DEMO_TIMEOUT_S):
        await call_until_ok(client, "GET", "/health", None)
        print(f"entry: http://{address}", flush=True)
        target = "/services/collections/bookings"
        answer = await call_until_ok(client, "POST", target, booking)
        print(f"booking answered: {answer}", flush=True)
        job = {
            "id": f"certificates-{uuid.uuid4().hex[:8]}",
            "team": "lamps",
            "cpu": 2,
            "memory_mb": 512,
            "work": '{"run_s": 1}',
        }
        await call_until_ok(client, "POST", "/api/jobs", job)
        target = f"/api/jobs/{job['id']}"
        while True:
            row = await call_until_ok(client, "GET", target, None)
            if row["state"] == "finished":
                break
            await trio.sleep(POLL_S)
        print(f"job {row['job']}: {row['state']} on {row['worker']}", flush=True)


async def run_embedded(http: str | None, once: bool) -> None:
    """Run all roles and the demo in this process.

    :param http: address for callers and operators; ``None`` picks a free port.
    :param once: stop after the demo.
    """
    settings = embedded_settings(http)
    platform = [make_application(settings, role) for role in PLATFORM_ROLES]
    system = [make_application(settings, role) for role in SYSTEM_ROLES]
    async with trio.open_nursery() as nursery:
        for app in platform:
            nursery.start_soon(app.get("lifecycle").run)
        for role in PLATFORM_ROLES:
            await wait_until_listening(getattr(settings, role).http)
        nursery.start_soon(run_demo_and_stop, settings.entry.http, once, system)
        await run_applications(system)
        for app in platform:
            app.get("lifecycle").stop()
        nursery.cancel_scope.cancel()


async def wait_until_listening(address: str) -> None:
    """Wait until an address accepts connections."""
    host, port = split_address(address)
    with trio.fail_after(DEMO_TIMEOUT_S):
        while True:
            try:
                stream = await trio.open_tcp_stream(host, port)
            except OSError:
                await trio.sleep(POLL_S / 10)
                continue
            await stream.aclose()
            return


async def run_demo_and_stop(
    address: str, once: bool, applications: list[Application]
) -> None:
    """Run the demo, then stop all applications if ``once`` is true."""
    await run_demo(address)
    if not once:
        print(
            f"running until Ctrl-C; try: rattanwing status --entry {address}",
            flush=True,
        )
        return
    for app in applications:
        app.get("lifecycle").stop()
