"""A simulated deployment of the batch engine on virtual time, with faults."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from random import Random

import trio
import trio.testing

from rattanwing.batch import records
from rattanwing.batch.agent import BatchAgent, keep_registered
from rattanwing.batch.announcements import Announcements
from rattanwing.batch.configuration import Configuration, Queue
from rattanwing.batch.entry import BatchEntry
from rattanwing.batch.model import JobSpec, QueueRules, StepSpec, parse_task_id
from rattanwing.batch.ports import AppendStamp, EndReason
from rattanwing.batch.settings import BatchSettings
from rattanwing.batch.writer import RecordWriter
from rattanwing.errors import PeerLostError
from rattanwing.peer.stream import memory_stream_pair
from rattanwing.standin.keyed_store import StandinStore
from rattanwing.standin.runs import StandinBatchExecutor
from tests.batch.latency import (
    MAX_NOTICE_S,
    Delays,
    ExecutorAnnouncements,
    delayed_stream_pair,
)

RULES = QueueRules("queue-1", "service-1", 0, 3, 2.0, 1000)
QUEUE = RULES.identity
DOMAINS = ("domain-a", "domain-b", "domain-c")


PAIR = StepSpec(2, cpu=1000, memory_mb=100)


def job(job_id="job-1", steps=(PAIR,), **more):
    """Return a job for the test queue."""
    return JobSpec(job_id, RULES, "text", tuple(steps), 0, **more)


class World:
    """Entries, agents, executors and a store in one trio run.

    :param history: every run of every executor.
    :param durations: returns how many seconds a run of a task takes.
    :param scopes: cancel scope of each running process, by name.
    :param disconnected: names of processes whose streams are interrupted.
    :param dial_delay_s: how long it takes to open a stream.
    :param entry_cpu: thousandths of a core of an entry's host, by name.
    :param far_factor: factor of the run time away from the data.
    :param latency: whether messages, calls and announcements take time, so that they
        cross, and announcements may be lost.
    :param announcements: the announcements that arrive at each agent, by its name.
    :param specs: jobs that the store has or had, by key of their record.
    :param memory_mb: memory of an entry, in megabytes; 0 if unknown.
    :param served: cancel scopes of the streams that each process has accepted, by
        name; used with latency.
    """

    def __init__(
        self,
        entries=3,
        hosts=4,
        seed=1,
        latency=False,
        far_factor=1.0,
        memory_mb=0,
        entry_cpu=None,
    ):
        self.random = Random(seed)
        self.latency = latency
        self.far_factor = far_factor
        self.memory_mb = memory_mb
        self.latency_random = Random(f"latency-{seed}")
        self.served = {}
        self.specs = {}
        self.announcements = {}
        self.store = StandinStore()
        self.history = []
        self.durations = lambda _task: 1.0
        self.executors = [
            StandinBatchExecutor(
                f"executor-{i}",
                DOMAINS[i % 3],
                self.history,
                lambda task: self.durations(task),
            )
            for i in range(hosts)
        ]
        self.entry_names = [f"entry-{i}" for i in range(entries)]
        self.entries = {}
        self.agents = {}
        self.scopes = {}
        self.disconnected = set()
        self.agent_starts = 0
        self.dial_delay_s = 0.01
        self.entry_cpu = entry_cpu or {}

    def now(self):
        return trio.current_time()

    def wall_ms(self):
        return int(self.now() * 1000)

    def owner(self):
        """Return the owner with the highest epoch, or None."""
        owners = [e for e in self.entries.values() if e.owner_loop is not None]
        return max(owners, key=lambda e: e.owner_loop.epoch, default=None)

    async def start_entry(self, name):
        settings = BatchSettings(
            name,
            "domain-a",
            "",
            120.0,
            6.0,
            peers_address=name,
            cpu=self.entry_cpu.get(name, 0),
            far_factor=self.far_factor,
            memory_mb=self.memory_mb,
        )
        entry = BatchEntry(
            settings,
            self.store.client(name),
            self.now,
            self.wall_ms,
            Random(self.random.random()),
            lambda address, handler: self.dial(name, address, handler),
        )
        queue = Queue("host", "/q/", RULES)
        entry.configuration.apply(Configuration(1, (queue,)))
        self.entries[name] = entry
        self.start_process(name, entry.run)

    async def start_agent(self, index):
        name = f"agent-{index}"
        executor = self.executors[index]
        agent = BatchAgent(self.now, executor.port)
        self.agents[name] = agent
        self.announcements[name] = Announcements(agent)
        self.agent_starts += 1
        incarnation = f"{name}-{self.agent_starts}"
        writer = RecordWriter(
            self.store.client(name),
            records.DIRECTORY_TOPIC,
            AppendStamp(incarnation, 1, 0),
            self.now,
            Random(self.random.random()),
        )
        address = records.AgentAddress(name, name, incarnation)
        tasks = [
            agent.run,
            writer.run,
            partial(keep_registered, agent, writer, address, self.random),
        ]
        if not self.latency:
            tasks.append(partial(self.announce, self.announcements[name], executor))
        self.start_process(name, *tasks)

    async def announce(self, announcements, executor):
        """Announce the executor to its agent at a fixed interval."""
        number = 0
        while True:
            number += 1
            if executor.up:
                announcements.receive(executor.view(), number)
            await trio.sleep(1.0)

    def deliver_announcement(self, name, view, number):
        """Pass an announcement to an agent if that is up."""
        if name in self.agents:
            self.announcements[name].receive(view, number)

    def start_latency(self):
        """Delay calls, and announce the executors with delays and losses."""
        for index, executor in enumerate(self.executors):
            delays = Delays(self.latency_random, means_s=(0.0005, 0.002))
            executor.call_delays = partial(draw_twice, delays)
            announcements = ExecutorAnnouncements(
                executor,
                self.latency_random,
                partial(self.deliver_announcement, f"agent-{index}"),
            )
            self.nursery.start_soon(announcements.run, self.nursery)

    def start_process(self, name, *tasks):
        """Run the tasks of one process; killing it cancels all of them."""
        scope = self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self.run_process, scope, tasks)

    async def run_process(self, scope, tasks):
        with scope:
            async with trio.open_nursery() as nursery:
                for task in tasks:
                    nursery.start_soon(task)

    def kill(self, name):
        """Kill a process."""
        self.scopes.pop(name).cancel()
        for scope in self.served.pop(name, ()):
            scope.cancel()
        self.entries.pop(name, None)
        self.agents.pop(name, None)

    async def dial(self, caller, address, handler):
        """Open an in-memory stream; disconnecting or killing a side closes it."""
        agent = self.agents.get(address) or self.entries.get(address)
        if agent is None or {caller, address} & self.disconnected:
            await trio.sleep(0.5)
            raise PeerLostError("no connection")
        await trio.sleep(self.dial_delay_s)
        scope = self.scopes.get(address)
        if scope is None:
            raise PeerLostError("the process was killed while it was dialled")
        if self.latency:
            await self.open_delayed_stream(caller, address, agent, handler)
            return
        near_side, far_side = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            accept = getattr(agent, "relaying_service", agent).accept
            nursery.start_soon(self.serve_side, scope, accept, far_side)
            nursery.start_soon(self.watch_connection, caller, address, agent, nursery)
            await handler(near_side)
            nursery.cancel_scope.cancel()

    async def serve_side(self, scope, accept, stream):
        if scope.cancel_called:
            return
        await accept(stream)

    async def watch_connection(self, caller, address, agent, nursery):
        """Close a stream whose side is disconnected or has been killed."""
        while True:
            await trio.sleep(0.05)
            current = self.agents.get(address) or self.entries.get(address)
            if current is not agent or caller not in self.entries:
                nursery.cancel_scope.cancel()
            if {caller, address} & self.disconnected:
                nursery.cancel_scope.cancel()

    async def open_delayed_stream(self, caller, address, agent, handler):
        """Open a stream with delays; each side notices its end at its own time."""
        near_side, far_side, link = delayed_stream_pair(self.latency_random)
        scope = trio.CancelScope()
        self.served.setdefault(address, set()).add(scope)
        accept = getattr(agent, "relaying_service", agent).accept
        self.nursery.start_soon(self.serve_delayed, address, scope, accept, far_side)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self.cut_when_disconnected,
                {caller, address},
                link,
                (scope, nursery.cancel_scope),
            )
            try:
                await handler(near_side)
            finally:
                await near_side.aclose()
            nursery.cancel_scope.cancel()

    async def serve_delayed(self, address, scope, accept, stream):
        """Serve the accepting side of a stream, which outlives the dialling side."""
        with scope:
            await accept(stream)
        self.served.get(address, set()).discard(scope)
        await stream.aclose()

    async def cut_when_disconnected(self, names, link, scopes):
        """Cut a stream when a side is disconnected, and end each side later."""
        while not names & self.disconnected:
            await trio.sleep(0.01)
        link.cut = True
        for scope in scopes:
            delay_s = self.latency_random.uniform(0, MAX_NOTICE_S)
            self.nursery.start_soon(cancel_after, delay_s, scope)

    @asynccontextmanager
    async def running(self):
        """Run all processes while the body of the context runs."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for executor in self.executors:
                nursery.start_soon(executor.run)
            if self.latency:
                self.start_latency()
            for index in range(len(self.executors)):
                await self.start_agent(index)
            for name in self.entry_names:
                await self.start_entry(name)
            yield self
            nursery.cancel_scope.cancel()

    async def submit(self, spec, entry=None):
        """Submit a job to an entry, by default to the first."""
        entry = entry or next(iter(self.entries.values()))
        return await entry.relaying_service.submit(spec, 2.0)

    async def wait_for_state(self, job_id, state, limit_s=30.0):
        """Wait until every entry reports a job in a state; return whether they did."""
        with trio.move_on_after(limit_s):
            while True:
                views = [e.replica.jobs.get(job_id) for e in self.entries.values()]
                if views and all(v is not None and v.state is state for v in views):
                    return True
                await trio.sleep(0.05)
        return False

    def step_of(self, task):
        """Return the step of a task, ``None`` if the store never had its job.

        Entries drop the steps of finished jobs.
        """
        found = parse_task_id(task)
        key = records.JOB_PREFIX + found.job_id
        if key not in self.specs:
            for record in self.store.topic(records.WORK_TOPIC).records:
                if record.key == key and record.value is not None:
                    self.specs[key] = records.decode(key, record.value)
        spec = self.specs.get(key)
        return None if spec is None else spec.steps[found.step]

    def cpu_of(self, task):
        """Return the thousandths of a core that a task reserves on its host."""
        step = self.step_of(task)
        return 0 if step is None or step.best_effort else step.cpu

    def memory_of(self, task):
        """Return the megabytes of memory that a task reserves on its host."""
        step = self.step_of(task)
        return 0 if step is None else step.memory_mb

    def overlaps(self):
        """Return the tasks of which two runs overlapped in time."""
        found = []
        for one in self.history:
            for other in self.history:
                if one is other or one.task != other.task:
                    continue
                ended_at = one.ended_at if one.ended_at is not None else float("inf")
                if one.started_at <= other.started_at < ended_at:
                    found.append((one.task, one.attempt, other.attempt))
        return found

    def reruns(self):
        """Return the tasks that were started again after they were done.

        Only acknowledged ends count, and only if the executor's lease did not lapse
        between the end and its acknowledgement.
        """
        lapses = {executor.name: executor.lapse_times for executor in self.executors}
        return [
            later.task
            for later in self.history
            for run in self.history
            if run.task == later.task
            and run.end_reason is EndReason.DONE
            and run.acknowledged_at is not None
            and run.ended_at < later.started_at
            and not any(
                run.ended_at <= at <= run.acknowledged_at for at in lapses[run.executor]
            )
        ]


def draw_twice(delays):
    """Return the delays of a call and of its answer, in seconds."""
    return delays.draw(), delays.draw()


async def cancel_after(delay_s, scope):
    """Cancel a scope after a delay."""
    await trio.sleep(delay_s)
    scope.cancel()


def play(scenario, **options):
    """Run a scenario on virtual time and return its world.

    :param scenario: coroutine function that gets the world.
    """

    async def main():
        world = World(**options)
        async with world.running():
            await scenario(world)
        return world

    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(options.get("seed", 1))
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
