"""Group commit, takeover and configuration changes at scale, on virtual time."""

from __future__ import annotations

import time
import uuid

import trio

from bench.rows import Row
from rattanwing import messages
from rattanwing.entry.agents import AgentHandle
from rattanwing.jobs.records import JobSpec, Submit, encode_record
from tests.world import run_world

START_RATE = 400
"""Peak rate of task starts, in starts a second."""

START_SECONDS = 5

APPENDS_LIMIT_S = 200
"""Bound of the appends to the log a second at that rate."""

OPEN_JOBS = 2000

TAKEOVER_LIMIT_S = 20.0
"""Bound in seconds until a new owner has confirmed all open jobs."""

AGENTS = 2200

MESSAGES_PER_AGENT = 1.0
"""Bound of the messages to each agent for one configuration change."""

BIG_WORKER_CPU = 10_000.0
BIG_WORKER_MB = 10_000_000


class AppendCounter:
    """Counts appends, records and bytes on their way to a stand-in log."""

    def __init__(self, log):
        self.appends = 0
        self.records = 0
        self.bytes = 0
        self.real_append = log.append

    async def append(self, stream, records):
        self.appends += 1
        self.records += len(records)
        self.bytes += sum(len(record) for record in records)
        return await self.real_append(stream, records)


def job_spec(number: int, run_s: float) -> JobSpec:
    """Return the specification of a small job."""
    work = f'{{"run_s": {run_s}}}'
    return JobSpec(f"job-{number}", "team", 0.1, 10, run_s=run_s, work=work)


async def append_submissions(world, first: int, count: int, run_s: float) -> None:
    """Append submissions to the log without counting them, as other entries would."""
    by_stream: dict[str, list[bytes]] = {}
    for number in range(first, first + count):
        spec = job_spec(number, run_s)
        shard = world.app("entry-1").get("shards").shard_of(spec.id).number
        record = Submit(f"submit-{uuid.uuid4().hex}", spec)
        by_stream.setdefault(f"shard-{shard}", []).append(encode_record(record))
    for stream, records in by_stream.items():
        await world.real_append(stream, records)


async def start_deployment(world, agents: int) -> AppendCounter:
    """Start the entries, and agents with workers that never run out of capacity."""
    counter = AppendCounter(world.log)
    world.real_append = world.log.append
    world.log = LogWithCounter(world.log, counter)
    for entry in world.entry_list:
        world.start_entry(entry.name)
    for number in range(agents):
        name = f"agent-{number}"
        world.start_agent(name, "fd-1", BIG_WORKER_CPU, BIG_WORKER_MB, executor=False)
    await world.wait_ready(agents)
    await trio.sleep(25)
    return counter


class LogWithCounter:
    """A log whose appends go through a counter."""

    def __init__(self, log, counter):
        self.inner = log
        self.counter = counter

    async def append(self, stream, records):
        return await self.counter.append(stream, records)

    def __getattr__(self, name):
        return getattr(self.inner, name)


def group_commit_rows() -> list[Row]:
    """Return the appends a second at the peak rate of starts."""
    result = {}

    async def scenario(world):
        counter = await start_deployment(world, 10)
        before = (counter.appends, counter.records, counter.bytes)
        cpu_start = time.process_time()
        for number in range(START_SECONDS * 10):
            count = START_RATE // 10
            await append_submissions(world, number * count, count, 30.0)
            await trio.sleep(0.1)
        await trio.sleep(2)
        total = START_RATE * START_SECONDS
        result["started"] = len(world.history.runs) / total
        result["appends"] = (counter.appends - before[0]) / START_SECONDS
        result["records"] = (counter.records - before[1]) / total
        result["bytes"] = (counter.bytes - before[2]) / total
        result["cpu_ms"] = (time.process_time() - cpu_start) * 1000 / total

    run_world(scenario, entries=1, shards=4)
    detail = {
        "records_per_start": round(result["records"], 2),
        "bytes_per_start": round(result["bytes"]),
        "cpu_ms_per_start_all_roles": round(result["cpu_ms"], 2),
    }
    return [
        Row(
            "appends_at_400_starts",
            result["appends"],
            "1/s",
            APPENDS_LIMIT_S,
            detail=detail,
        ),
        Row("started_in_time", result["started"], "share", 1.0, at_least=True),
    ]


def takeover_rows() -> list[Row]:
    """Return time and messages until a new owner has confirmed 2,000 open jobs."""
    result = {}

    async def scenario(world):
        await start_deployment(world, 20)
        await append_submissions(world, 0, OPEN_JOBS, 600.0)
        while len(world.history.runs) < OPEN_JOBS:
            await trio.sleep(0.1)
        await trio.sleep(5)
        owner = world.owner_of("job-0")
        other = next(e.name for e in world.entry_list if e.name != owner)
        agents = world.app(other).get("agents")
        before = sum(h.session.sent_messages for h in agents.connected_agents())
        world.kill(owner)
        killed_at = trio.current_time()
        cpu_start = time.process_time()
        reconciler = world.app(other).get("reconciler")
        while world.owner_of("job-0") != other or reconciler.unconfirmed:
            await trio.sleep(0.05)
        result["time"] = trio.current_time() - killed_at
        result["cpu"] = time.process_time() - cpu_start
        sent = sum(h.session.sent_messages for h in agents.connected_agents()) - before
        result["messages"] = sent
        await trio.sleep(20)
        result["evicted"] = len(world.history.runs) - OPEN_JOBS

    run_world(scenario, entries=2, shards=1)
    detail = {
        "messages": result["messages"],
        "cpu_s_all_roles": round(result["cpu"], 2),
    }
    return [
        Row(
            "takeover_of_2000_jobs",
            result["time"],
            "s (virtual)",
            TAKEOVER_LIMIT_S,
            detail=detail,
        ),
        Row("evicted_by_takeover", result["evicted"], "tasks", 0),
    ]


class CountingSession:
    """Replaces the stream to an agent and counts what is sent."""

    def __init__(self):
        self.lost = False
        self.sent_messages = 0
        self.sent_bytes = 0

    def send(self, message):
        self.sent_messages += 1
        self.sent_bytes += len(messages.encode(message))

    def close(self):
        self.lost = True


def make_agent_handle(number: int, domains: int, now: float) -> AgentHandle:
    """Return a connected agent with a worker and an executor."""
    hello = messages.Hello(
        f"agent-{number}",
        uuid.uuid4().hex,
        f"fd-{number % domains}",
        messages.ExecutorInfo("collections", 8, 64),
        messages.WorkerInfo(32.0, 125_000, 0, f"rack-{number // 3}"),
    )
    handle = AgentHandle(hello, now)
    handle.session = CountingSession()
    handle.heartbeat = messages.Heartbeat(
        now, free_cpu=32.0, free_memory_mb=125_000, accepts_tasks=True
    )
    return handle


def config_propagation_rows() -> list[Row]:
    """Return the messages that one entry sends for a change to 2,200 agents."""
    result = {}

    async def scenario(world):
        app = world.start_entry("entry-1")
        await world.wait_ready(0)
        directory = app.get("agents")
        for number in range(AGENTS):
            handle = make_agent_handle(number, 11, trio.current_time())
            directory.agents[handle.name] = handle
        cpu_start = time.process_time()
        await world.declare_organisation()
        result["cpu"] = time.process_time() - cpu_start
        sessions = [handle.session for handle in directory.agents.values()]
        result["messages"] = sum(s.sent_messages for s in sessions)
        result["bytes"] = sum(s.sent_bytes for s in sessions)

    run_world(scenario, entries=1, shards=1)
    detail = {
        "bytes_per_agent": round(result["bytes"] / AGENTS, 1),
        "cpu_ms": round(result["cpu"] * 1000, 1),
    }
    return [
        Row(
            "config_messages_per_agent",
            result["messages"] / AGENTS,
            "1 per stream",
            MESSAGES_PER_AGENT,
            detail=detail,
        )
    ]


def run() -> list[Row]:
    """Run the benchmarks of this module."""
    return group_commit_rows() + takeover_rows() + config_propagation_rows()
