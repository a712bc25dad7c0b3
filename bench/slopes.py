"""Cost against size, for the capacity model in docs/CAPACITY.md.

``python -m bench slopes`` prints, for each cost, the measured points and the slope of
the line through them. No row has a bound.
"""

from __future__ import annotations

import gc
import json
import time
import tracemalloc

import trio
import trio_asyncio

from bench.path import send_requests
from bench.procfs import cpu_s, resident_mb
from bench.recovery import (
    append_submissions,
    job_spec,
    make_agent_handle,
    start_deployment,
)
from bench.rows import Row, slope
from rattanwing import messages
from rattanwing.config.tree import ConfigTree
from rattanwing.entry.peers import send_heartbeats
from rattanwing.entry.placement import ClusterView, choose_worker
from rattanwing.jobs.records import Job, Submit, encode_record
from rattanwing.jobs.shard import ShardState
from rattanwing.peer.grpc import dial_peer
from rattanwing.peer.session import PeerSession
from tests.processes import Deployment
from tests.world import run_world

WORKERS = (550, 1100, 2200)
JOBS = (5000, 15000, 45000)
TASKS = (10, 30, 90)
REQUESTS = (200, 400, 800)
CHANGES = (500, 1500, 3300)
LOG_RECORDS = (2000, 4000, 8000)

PENDING = 400
"""Placement decisions that are measured at each number of workers."""

STREAMS = (50, 100, 200)

STREAM_WARM_UP_S = 4.0
"""Seconds for connecting the streams before the measurement."""

STREAM_SECONDS = 6.0
"""Length of the measurement of streams, in seconds."""


def slope_rows(name: str, unit: str, points: list[tuple[float, float]]) -> list[Row]:
    """Return a row with the slope; its detail has the intercept and the points."""
    rise, start = slope(points)
    detail = {
        "intercept": round(start, 6),
        "points": [[x, round(y, 6)] for x, y in points],
    }
    return [Row(name, rise, unit, detail=detail)]


def entry_agents() -> list[Row]:
    """Entry: processor time and memory against connected agents."""
    cpu, memory, sent = [], [], []

    async def scenario(world):
        app = world.start_entry("entry-1")
        await world.wait_ready(0)
        directory = app.get("agents")
        for count in WORKERS:
            directory.agents.clear()
            gc.collect()
            tracemalloc.start()
            for number in range(count):
                handle = make_agent_handle(number, 11, trio.current_time())
                directory.agents[handle.name] = handle
            memory.append((count, tracemalloc.get_traced_memory()[0] / 1024))
            tracemalloc.stop()
            handles = list(directory.agents.values())
            started = time.process_time()
            for handle in handles:
                heartbeat = messages.Heartbeat(1.0, 3, 0, 20.0, 90_000, 0, 11.0, 0.2)
                data = messages.encode(heartbeat)
                directory.handle_message(handle, handle.session, messages.decode(data))
            cpu.append((count, (time.process_time() - started) * 1000))
            sent.append((count, sum(h.session.sent_bytes for h in handles)))

    run_world(scenario, entries=1, shards=1)
    return [
        *slope_rows("entry_cpu_ms_per_heartbeat", "ms per agent", cpu),
        *slope_rows("entry_memory_kb_per_agent", "KiB per agent", memory),
        *slope_rows("entry_bytes_per_heartbeat_ack", "B per agent", sent),
    ]


async def measure_streams(address: str, count: int, pid: int) -> tuple[float, float]:
    """Connect agents to an entry; return its processor share and memory in MiB."""
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(run_stream, address, number)
        await trio.sleep(STREAM_WARM_UP_S)
        before, started = cpu_s(pid), time.monotonic()
        await trio.sleep(STREAM_SECONDS)
        share = (cpu_s(pid) - before) / (time.monotonic() - started)
        memory = resident_mb(pid)
        nursery.cancel_scope.cancel()
    return share, memory


async def run_stream(address: str, number: int) -> None:
    """Connect as one agent and send its heartbeats until cancelled."""

    async def serve(stream):
        session = PeerSession(stream, trio.current_time, lambda _message: None)
        session.send(make_agent_handle(number, 11, 0.0).hello)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_heartbeats, session, trio.current_time)
            await session.run()

    await dial_peer(address, serve)


def entry_streams() -> list[Row]:
    """Entry: processor share and memory against agents connected over gRPC."""
    cpu, memory = [], []
    for count in STREAMS:
        deployment = Deployment(entries=1, agents=0)
        try:
            deployment.start_all()
            pid = deployment.processes["entry-1"].pid
            address = deployment.entries["entry-1"][1]
            share, resident = trio.run(measure_streams, address, count, pid)
        finally:
            deployment.close()
        cpu.append((count, share * 1000))
        memory.append((count, resident * 1024))
    return [
        *slope_rows("entry_cpu_ms_per_s_per_stream", "ms/s per stream", cpu),
        *slope_rows("entry_memory_kb_per_stream", "KiB per stream", memory),
    ]


def entry_jobs() -> list[Row]:
    """Entry: processor time, memory and snapshot size against open jobs."""
    cpu, memory, size = [], [], []
    for count in JOBS:
        state = ShardState()
        lines = [
            encode_record(Submit(f"submit-{n}", job_spec(n, 60.0)))
            for n in range(count)
        ]
        gc.collect()
        tracemalloc.start()
        for offset, line in enumerate(lines):
            state.apply(offset, 0.0, line)
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        fresh = ShardState()
        started = time.process_time()
        for offset, line in enumerate(lines):
            fresh.apply(offset, 0.0, line)
        cpu.append((count, (time.process_time() - started) * 1000))
        size.append((count, len(state.make_snapshot("s", count))))
    return [
        *slope_rows("entry_cpu_ms_per_record", "ms per record", cpu),
        *slope_rows("entry_memory_kb_per_job", "KiB per open job", memory),
        *slope_rows("snapshot_bytes_per_job", "B per open job", size),
    ]


def entry_placement() -> list[Row]:
    """Entry: processor time of placement decisions against workers."""
    views, decisions = [], []

    async def scenario(world):
        app = world.start_entry("entry-1")
        await world.wait_ready(0)
        directory, scheduler = app.get("agents"), app.get("scheduler")
        for count in WORKERS:
            directory.agents.clear()
            for number in range(count):
                handle = make_agent_handle(number, 11, trio.current_time() - 60)
                directory.agents[handle.name] = handle
            started = time.process_time()
            workers = scheduler.worker_views(trio.current_time())
            views.append((count, (time.process_time() - started) * 1000))
            cluster = ClusterView(workers, app.random)
            started = time.process_time()
            for number in range(PENDING):
                job = Job(job_spec(number, 60.0), 0.0)
                worker = choose_worker(job, 0.1, cluster, trio.current_time())
                cluster.reserve(worker, job.spec, 0.1)
            spent_ms = (time.process_time() - started) * 1000
            decisions.append((count, spent_ms / PENDING))

    run_world(scenario, entries=1, shards=1)
    return [
        *slope_rows("entry_cpu_ms_per_view", "ms per worker and round", views),
        *slope_rows(
            "entry_cpu_ms_per_decision", "ms per decision and worker", decisions
        ),
    ]


def config_changes() -> list[Row]:
    """Entry: processor time and memory against configuration changes."""
    cpu, memory = [], []
    organisation = {"owners": ["ada"], "first_month": "2026-01"}
    for count in CHANGES:
        records = [change_record(0, "organisation", organisation)]
        records += [
            change_record(n, f"teams/t{n % 60}", {"members": [f"m{n}"]})
            for n in range(1, count)
        ]
        tree = ConfigTree()
        gc.collect()
        tracemalloc.start()
        for offset, record in enumerate(records):
            tree.apply(offset, 1.8e9, record)
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        tree = ConfigTree()
        started = time.process_time()
        for offset, record in enumerate(records):
            tree.apply(offset, 1.8e9, record)
        cpu.append((count, (time.process_time() - started) * 1000))
    return [
        *slope_rows("entry_cpu_ms_per_change", "ms per change", cpu),
        *slope_rows("entry_memory_kb_per_change", "KiB per change", memory),
    ]


def change_record(number: int, path: str, value: dict) -> bytes:
    """Return the record of a configuration change to one node."""
    base = 0 if number <= 60 else number - 60 + 1
    edit = {"path": path, "base": base, "value": value}
    change = {"kind": "change", "id": f"c{number}", "author": "ada", "edits": [edit]}
    return json.dumps(change).encode()


def agent_tasks() -> list[Row]:
    """Agent: processor time a second of virtual time against running tasks.

    The whole system runs in one process. The slope covers all that grows with the
    tasks, also in the stand-in worker, so it is an upper bound for the agent.
    """
    cpu = []
    for count in TASKS:
        result = {}

        async def scenario(world, count=count, result=result):
            await start_deployment(world, 1)
            await append_submissions(world, 0, count, 10_000.0)
            while len(world.history.runs) < count:
                await trio.sleep(0.1)
            await trio.sleep(5)
            started = time.process_time()
            await trio.sleep(60)
            result["cpu"] = (time.process_time() - started) / 60

        run_world(scenario, entries=1, shards=1)
        cpu.append((count, result["cpu"] * 1000))
    return slope_rows("agent_cpu_ms_per_s_per_task", "ms/s per task", cpu)


def request_path() -> list[Row]:
    """Entry and agent: processor time against requests, in separate processes."""
    deployment = Deployment(entries=1, agents=1)
    points: dict[str, list[tuple[float, float]]] = {"entry-1": [], "agent-1": []}
    memory: dict[str, list[tuple[float, float]]] = {"entry-1": [], "agent-1": []}
    try:
        deployment.start_all()
        address = deployment.entries["entry-1"][0]
        target = "/services/collections/x?delay_ms=0"
        send_requests(address, target, 100, [])
        for count in REQUESTS:
            before = {n: cpu_s(deployment.processes[n].pid) for n in points}
            send_requests(address, target, count, [])
            for name, series in points.items():
                pid = deployment.processes[name].pid
                series.append((count, (cpu_s(pid) - before[name]) * 1000))
                memory[name].append((count, resident_mb(pid)))
    finally:
        deployment.close()
    rows = []
    for name, role in (("entry-1", "entry"), ("agent-1", "agent")):
        rows += slope_rows(f"{role}_cpu_ms_per_request", "ms per request", points[name])
        rows.append(Row(f"{role}_memory_after_requests", memory[name][-1][1], "MiB"))
    return rows


def log_records() -> list[Row]:
    """Stand-in log: processor time against records, appended in groups of ten."""
    from rattanwing.standin.log import MemoryLog

    cpu = []
    record = encode_record(Submit("submit-1", job_spec(1, 60.0)))
    for count in LOG_RECORDS:
        log = MemoryLog(time.time)

        async def fill(log=log, count=count):
            for _number in range(count // 10):
                await log.append("s", [record] * 10)

        started = time.process_time()
        trio.run(fill)
        cpu.append((count, (time.process_time() - started) * 1000))
    return slope_rows("log_cpu_ms_per_record", "ms per record", cpu)


def run() -> list[Row]:
    """Measure all slopes."""
    rows = (
        entry_agents()
        + entry_streams()
        + entry_jobs()
        + entry_placement()
        + config_changes()
    )
    return rows + agent_tasks() + request_path() + log_records()
