"""A deployment in one process on virtual time.

The entries and agents are the real services. The log, the workers, the executors and
the streams between processes are fakes that can be made to fail.
"""

from __future__ import annotations

import contextlib
import random

import msgspec
import trio
import trio.testing

from rattanwing.application import Application
from rattanwing.errors import LogUnavailableError, PeerLostError, RecordError
from rattanwing.jobs.records import Cancel, Stop, Submit
from rattanwing.jobs.shard import decode_record
from rattanwing.peer.stream import memory_stream_pair
from rattanwing.settings import (
    AgentSettings,
    EntrySettings,
    ExecutorSettings,
    PeerAddress,
    Settings,
    WorkerSettings,
)
from rattanwing.standin.log import MemoryLog
from rattanwing.standin.worker import MemoryWorker
from rattanwing.util.http_client import (
    HttpCallError,
    HttpResponse,
    NoConnectionError,
)
from rattanwing.util.http_messages import make_request
from rattanwing.verdict import Verdict
from tests.history import AppliedVersion, Call, Execution, History, Run, expected_body

DIAL_TIMEOUT_S = 2.0
"""Seconds until a connection or log call over a cut link fails."""

WALL_CLOCK_START_S = 1_796_000_000.0
"""Wall clock time of the log, in seconds since 1970, when virtual time is 0."""

SERVICE = "collections"


class Network:
    """The cut links between processes.

    Messages on a cut link are dropped without an error to the sender.

    :ivar cut_links: ``(source, target)`` of each direction that is cut.
    :ivar delay_s: transmission time of every message, in seconds.
    """

    def __init__(self, world):
        self.world = world
        self.cut_links = set()
        self.delay_s = 0.002
        self.held = {}

    def cut(self, left, right):
        self.cut_links |= {(left, right), (right, left)}

    def cut_one_way(self, source, target):
        self.cut_links.add((source, target))

    def heal(self):
        self.cut_links.clear()
        self.world.restart_propagation_limits()

    def is_cut(self, source, target):
        return (source, target) in self.cut_links


class LinkStream:
    """One end of a memory stream that delays messages, or drops them on a cut link."""

    def __init__(self, network, inner, source, target):
        self.network = network
        self.inner = inner
        self.source = source
        self.target = target

    async def send(self, data):
        await trio.sleep(self.network.delay_s)
        if self.network.is_cut(self.source, self.target):
            return
        await self.inner.send(data)

    async def send_batch(self, batch):
        for data in batch:
            await self.send(data)

    async def receive(self):
        return await self.inner.receive()

    async def aclose(self):
        await self.inner.aclose()


class LinkedLog:
    """The log as seen by one process, whose link to it may be cut.

    A link to a single stream is named ``log/STREAM``. The link is checked before and
    after each call, so that an append may take effect although its caller gets an
    error.
    """

    def __init__(self, world, process):
        self.world = world
        self.process = process

    async def raise_if_cut(self, stream):
        network = self.world.network
        links = ("log", f"log/{stream}")
        if any(network.is_cut(self.process, link) for link in links):
            await trio.sleep(DIAL_TIMEOUT_S)
            raise LogUnavailableError("the log can't be reached")

    async def append(self, stream, records):
        await self.raise_if_cut(stream)
        offset = await self.world.log.append(stream, records)
        await self.raise_if_cut(stream)
        return offset

    async def read(self, stream, start, wait_s):
        await self.raise_if_cut(stream)
        result = await self.world.log.read(stream, start, wait_s)
        await self.raise_if_cut(stream)
        return result


class FakeExecutor:
    """Executes requests and adds them to the history.

    :param service_s: shortest duration of a request, in seconds.
    :param spread_s: longest random addition to ``service_s``.
    :param duration: optional function that returns the duration for a request's target.
    :param lose_answers: number of following requests that are executed but whose
        answers are lost.
    :param hang: whether requests wait until their timeout.
    :param down: whether connections are refused.
    """

    def __init__(self, world, agent):
        self.world = world
        self.agent = agent
        self.service_s = 0.05
        self.spread_s = 0.0
        self.duration = None
        self.lose_answers = 0
        self.hang = False
        self.down = False

    async def probe(self):
        await trio.sleep(0)
        if self.down:
            raise NoConnectionError(Verdict.NOT_RUN, "refused")

    async def call(self, method, target, headers, body, timeout_s):
        await self.probe()
        marker = target.rpartition("/")[2]
        self.world.history.executions.append(
            Execution(marker, self.agent, trio.current_time())
        )
        with trio.move_on_after(timeout_s) as scope:
            if self.hang:
                await trio.sleep_forever()
            await trio.sleep(self.pick_duration(target))
        if scope.cancelled_caught or self.lose_answers > 0:
            self.lose_answers = max(0, self.lose_answers - 1)
            raise HttpCallError(Verdict.MAY_HAVE_RUN, "answer lost")
        return HttpResponse(200, [], expected_body(marker))

    def pick_duration(self, target):
        if self.duration is not None:
            return self.duration(target)
        return self.service_s + self.world.random.uniform(0, self.spread_s)


class Process:
    """One running application.

    :param idle: set when an HTTP call ends.
    :param accepting: whether HTTP calls are accepted.
    :param configured: whether the process has applied a configuration since it started.
    """

    def __init__(self, app):
        self.app = app
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.server = None
        self.open_calls = 0
        self.idle = trio.Event()
        self.accepting = True
        self.killed = False
        self.configured = False

    async def run(self):
        with self.scope:
            await self.app.get("lifecycle").run()
        self.accepting = False
        self.ended.set()


class World:
    """A deployment on virtual time.

    :param seed: seed of all random choices.
    :param entries: number of entries that the settings list; none is started.
    :param shards: number of job shards.
    """

    def __init__(self, nursery, seed, entries=2, shards=2):
        self.nursery = nursery
        self.random = random.Random(seed)
        self.history = History()
        self.network = Network(self)
        self.log = MemoryLog(lambda: WALL_CLOCK_START_S + trio.current_time())
        self.entry_list = [
            PeerAddress(f"entry-{n}", f"127.0.0.1:{n}") for n in range(1, entries + 1)
        ]
        self.shards = shards
        self.processes = {}
        self.workers = {}
        self.executors = {}
        self.domains = {}

    # Processes.

    def make_app(self, settings):
        seed = self.random.random()
        app = Application(settings, trio.current_time, random.Random(seed))
        app.setup_extension("rattanwing.lifecycle")
        app.add_service("dial", self.make_dial(settings.name))
        return app

    def start_entry(self, name, domain="fd-1"):
        address = next(e.address for e in self.entry_list if e.name == name)
        settings = Settings(
            name,
            domain,
            entry=EntrySettings(
                "127.0.0.1:1",
                address,
                "127.0.0.1:2",
                self.entry_list,
                shards=self.shards,
                drain_s=0.5,
            ),
        )
        app = self.make_app(settings)
        app.add_service("log", LinkedLog(self, name))
        app.add_service("wall_clock", self.log.wall_clock)
        app.add_service("serve_http", self.make_serve_http(name))
        app.setup_extension("rattanwing.entry")
        app.connect("config-changed", lambda: self.record_configuration(name, app))
        self.run_process(name, app)
        return app

    def start_agent(
        self,
        name,
        domain="fd-1",
        cpu=8.0,
        memory_mb=8000,
        executor=True,
        executor_cpu=0.0,
    ):
        self.domains[name] = domain
        settings = Settings(
            name,
            domain,
            agent=AgentSettings(
                self.entry_list,
                ExecutorSettings(SERVICE, "127.0.0.1:3", cpu=executor_cpu)
                if executor
                else None,
                WorkerSettings("127.0.0.1:4", "rack-1", cpu, memory_mb),
            ),
        )
        app = self.make_app(settings)
        if name not in self.workers:
            observer = self.make_observer(name)
            self.workers[name] = MemoryWorker(trio.current_time, observer)
            self.executors[name] = FakeExecutor(self, name)
            self.history.capacity[name] = (cpu - executor_cpu, memory_mb)
        app.add_service("worker", self.workers[name])
        app.add_service("executor", self.executors[name])
        app.setup_extension("rattanwing.agent")
        app.connect("view-changed", lambda: self.record_view(name, app))
        self.run_process(name, app)
        return app

    def restart_propagation_limits(self):
        """Count the time limit for applying configuration changes from now on."""
        for name in self.processes:
            self.history.undisturbed_since[name] = trio.current_time()

    def restore_log(self):
        self.log.faults.down = False
        self.restart_propagation_limits()

    def run_process(self, name, app):
        self.history.undisturbed_since[name] = trio.current_time()
        process = Process(app)
        self.processes[name] = process
        self.nursery.start_soon(process.run)

    def kill(self, name):
        """End a process at once, as SIGKILL would."""
        self.processes[name].killed = True
        self.processes[name].scope.cancel()

    def kill_host(self, name):
        """End an agent, its worker and the tasks on it at once."""
        failures = self.history.host_failures.setdefault(name, [])
        failures.append(trio.current_time())
        self.kill(name)
        worker = self.workers.pop(name)
        worker.advance()
        for task in worker.tasks.values():
            if task.state == "running":
                task.state = "killed"
                worker.observer("end", task)

    async def stop(self, name):
        """Stop a process gracefully and wait until it has ended."""
        if name in self.workers:
            self.history.left_at[name] = trio.current_time()
        process = self.processes[name]
        process.app.get("lifecycle").stop()
        await process.ended.wait()

    def app(self, name):
        return self.processes[name].app

    # Streams.

    def make_dial(self, source):
        """Return a function that connects ``source`` to another process.

        A cut link fails after ``DIAL_TIMEOUT_S``, an ended process is refused at once.
        """

        async def dial(address, handler):
            target = next(e.name for e in self.entry_list if e.address == address)
            process = self.processes.get(target)
            if self.network.is_cut(source, target):
                await trio.sleep(DIAL_TIMEOUT_S)
                raise PeerLostError("no stream in time")
            if process is None or process.ended.is_set():
                await trio.sleep(0.01)
                raise PeerLostError("refused")
            left, right = memory_stream_pair()
            near = LinkStream(self.network, left, source, target)
            far = LinkStream(self.network, right, target, source)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.accept, process, far, right)
                try:
                    await handler(near)
                finally:
                    if not self.network.is_cut(source, target):
                        await left.aclose()
                    nursery.cancel_scope.cancel()

        return dial

    async def accept(self, process, stream, inner):
        """Run the accepting side of a stream until the stream or the process ends."""
        with trio.CancelScope() as scope:
            self.nursery.start_soon(cancel_after, process.ended, scope)
            await process.app.get("peers").accept(stream)
        await inner.aclose()

    # HTTP.

    def make_serve_http(self, name):
        """Return a replacement for the HTTP server that keeps the router."""

        async def serve(server, address, wait_for_stop, grace_s, task_status):
            process = self.processes[name]
            process.server = server
            task_status.started([address])
            await wait_for_stop()
            process.accepting = False
            with trio.move_on_after(grace_s):
                while process.open_calls:
                    process.idle = trio.Event()
                    await process.idle.wait()

        return serve

    async def http(self, entry, method, target, body=b"", headers=()):
        """Send one HTTP request to an entry through its router.

        :returns: the response, or ``None`` if the entry does not accept requests or
            ends during the call.
        """
        process = self.processes[entry]
        if not process.accepting or process.server is None:
            return None
        fields = [(k.encode().lower(), v.encode()) for k, v in headers]
        request = make_request(method, target.encode(), fields, body)
        process.open_calls += 1
        try:
            with trio.CancelScope() as scope_of_call:
                self.nursery.start_soon(cancel_after, process.ended, scope_of_call)
                return await process.server.respond(request)
            return None
        finally:
            process.open_calls -= 1
            process.idle.set()

    async def request(
        self, entry, marker, method="POST", timeout_ms=2000, key=None, prefix="/b"
    ):
        """Send a caller's request and add its outcome to the history.

        A later request with the same marker replaces the recorded outcome only while
        that is ``not-run``.
        """
        call = Call(marker, method == "GET", key=key)
        self.history.calls.setdefault(marker, call)
        headers = [("rattanwing-timeout-ms", str(timeout_ms))]
        if key is not None:
            headers.append(("idempotency-key", key))
        target = f"/services/{SERVICE}{prefix}/{marker}"
        process = self.processes[entry]
        accepted = process.accepting and process.server is not None
        response = await self.http(entry, method, target, b"", headers)
        if response is None:
            call.interrupted = accepted and not process.killed
            return None
        fields = dict(response.headers)
        call.verdict = fields[b"rattanwing-verdict"].decode()
        call.status, call.body = response.status, response.body
        if self.history.calls[marker].verdict == "not-run":
            self.history.calls[marker] = call
        return response

    async def change(self, entry, author, edits, settle=False, change_id=None):
        """Change the configuration.

        :param edits: list of ``(path, base version, new value)``.
        :returns: HTTP status and decoded response body.
        """
        body = {
            "id": change_id or f"change-{self.random.getrandbits(64):x}",
            "author": author,
            "edits": [{"path": p, "base": b, "value": v} for p, b, v in edits],
            "settle": settle,
        }
        response = await self.http(
            entry, "POST", "/api/config", msgspec.json.encode(body)
        )
        answer = msgspec.json.decode(response.body)
        if response.status == 200:
            self.history.accepted_versions.append(
                (answer["version"], trio.current_time())
            )
        return response.status, answer

    async def declare_organisation(self, entry="entry-1"):
        value = {"owners": ["ada", "bea"], "first_month": "2026-11"}
        status, answer = await self.change(entry, "ada", [("organisation", 0, value)])
        assert status == 200, answer

    async def set_domain(self, entry, domain, state, author="ada"):
        """Take a failure domain out of service or back in, and record the time."""
        path = f"failure-domains/{domain}"
        base = self.app(entry).get("config").tree.version(path)
        status, answer = await self.change(
            entry, author, [(path, base, {"state": state})]
        )
        assert status == 200, answer
        self.history.domain_changes.append((trio.current_time(), domain, state))

    async def submit(self, entry, job, run_s=5.0, **fields):
        """Submit a job; return the HTTP status, or 0 without a response."""
        spec = {
            "id": job,
            "team": "lamps",
            "cpu": 1.0,
            "memory_mb": 100,
            "run_s": run_s,
            "work": msgspec.json.encode({"run_s": run_s}).decode(),
        }
        spec |= fields
        response = await self.http(
            entry, "POST", "/api/jobs", msgspec.json.encode(spec)
        )
        return response.status if response else 0

    def job(self, entry, job):
        return self.app(entry).get("shards").find(job)

    async def wait_for_state(self, entry, job, state, limit_s=120.0):
        """Wait until a job is in a state; fail after ``limit_s`` of virtual time."""
        with trio.move_on_after(limit_s):
            while True:
                found = self.job(entry, job)
                if found is not None and found.state == state:
                    return found
                await trio.sleep(0.05)
        raise AssertionError(f"{job} is {found and found.state}, not {state}")

    async def wait_ready(self, agents, entry="entry-1"):
        """Wait until all shards have an owner and enough agents accept tasks.

        :param agents: number of agents that must be connected to ``entry``.
        """
        with trio.fail_after(60):
            while True:
                handles = self.app(entry).get("agents").connected_agents()
                ready = [h for h in handles if h.heartbeat.accepts_tasks]
                if len(ready) >= agents and self.owned_shards() >= self.shards:
                    return
                await trio.sleep(0.05)

    def owned_shards(self):
        now = trio.current_time()
        return sum(
            len(p.app.get("ownership").owned_leases(now))
            for name, p in self.processes.items()
            if name.startswith("entry") and not p.ended.is_set()
        )

    def owner_of(self, job):
        """Return the entry that owns a job's shard, or ``None``."""
        for name, process in self.processes.items():
            if not name.startswith("entry") or process.ended.is_set():
                continue
            number = process.app.get("shards").shard_of(job).number
            ownership = process.app.get("ownership").shards[number]
            if ownership.is_owner(trio.current_time()):
                return name
        return None

    # Observation.

    def apply_record(self, record):
        """Add one record of a job shard to the history."""
        match record:
            case Stop(job=job, attempt=attempt, checkpoint=str()):
                self.history.recorded_checkpoints.add((job, attempt))
            case Stop(job=job, attempt=attempt, ran=True):
                self.history.lost_attempts.add((job, attempt))
            case Submit(spec=spec) if spec.repeatable:
                self.history.repeatable.add(spec.id)
            case Cancel(job=job):
                self.history.cancelled.add(job)

    def make_observer(self, worker):
        """Return a callback that adds starts and ends of tasks to the history."""

        def observe(event, task):
            order = task.order
            if event == "start":
                self.history.runs.append(
                    Run(
                        order.job,
                        order.attempt,
                        worker,
                        self.domains[worker],
                        order.cpu,
                        order.memory_mb,
                        order.checkpoint,
                        task.updated_at,
                    )
                )
                return
            for run in self.history.runs:
                same = (run.job, run.attempt) == (order.job, order.attempt)
                if same and run.worker == worker and run.end is None:
                    run.end = task.updated_at
                    run.state = task.state
                    run.progress_s = task.progress_s

        return observe

    def record_configuration(self, name, app):
        version = app.get("config").tree.last_change_version
        self.record_applied(name, version)

    def record_view(self, name, app):
        self.record_applied(name, app.get("gate").view.version)

    def record_applied(self, name, version):
        process = self.processes[name]
        now = trio.current_time()
        first, process.configured = not process.configured, True
        self.history.applied.append(AppliedVersion(name, version, now, first))

    def finish(self):
        """Add the records of the log to the history and return it."""
        for worker in self.workers.values():
            worker.advance()
        for number in range(self.shards):
            for stored in self.log.streams.get(f"shard-{number}", ()):
                with contextlib.suppress(RecordError):
                    self.apply_record(decode_record(bytes(stored.record)))
        self.history.end = trio.current_time()
        return self.history


async def cancel_after(event, scope):
    await event.wait()
    scope.cancel()


def run_world(scenario, seed=1, **options):
    """Run ``scenario(world)`` on virtual time and return the history.

    The same seed gives the same run: trio schedules tasks in an order that depends on
    ``seed`` only.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery, seed, **options)
            await scenario(world)
            history = world.finish()
            nursery.cancel_scope.cancel()
        return history

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
