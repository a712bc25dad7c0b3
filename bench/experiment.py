"""Simulates service requests and batch jobs on shared hosts, on virtual time.

The scheduler, agents and entries are the real services. Simulated are the processor use
of tasks, which workers report with a delay, and the slowdown of requests by tasks on
the same host.
"""

from __future__ import annotations

import contextlib
import math
import random
import uuid
from dataclasses import dataclass, field

import msgspec
import trio

from bench.rows import quantile
from rattanwing.errors import LogUnavailableError
from rattanwing.jobs.records import JobSpec, Stop, Submit, encode_record
from rattanwing.jobs.shard import decode_record
from tests.history import check_overcommit
from tests.world import SERVICE, run_world

AGENTS = 11
DOMAINS = ("fd-1", "fd-2", "fd-3")

WARM_UP_S = 30.0
"""Seconds at the start that do not count for the result."""

WAVES = ((50.0, 80.0), (110.0, 140.0))
"""Start and end in seconds of the spans in which high-interference jobs arrive."""

END_S = 160.0
"""Length of a run, in seconds."""

PENDING_JOBS = 60
"""Number of low-interference jobs that are kept waiting for a worker."""

REFILL_INTERVAL_S = 1.0
BOOKING = "/bookings"
CERTIFICATE = "/certificates"
BOOKING_SHARE = 0.7

SLOWDOWN_BY_CLASS = {"match": 0.3, "archive": 0.6, "shred": 7.0}
"""Addition to a request's duration, as a factor, if a class used all of a host."""

USED_CPU_SHARE = {"match": 0.5, "archive": 0.7, "shred": 0.6}
"""Processors that a task uses, as a share of those that it declares."""

LOW_INTERFERENCE_CLASSES = ("match", "archive")
HIGH_INTERFERENCE_CLASS = "shred"
HIGH_INTERFERENCE_JOBS_PER_S = 5
EVICTION_REASONS = ("evicted", "preempted")


@dataclass(frozen=True)
class Site:
    """Sizes of one deployment.

    :param cpu: processors of a worker; ``memory_mb``: its memory in MB.
    :param delay_s: transmission time between two processes, in seconds.
    :param rate: requests a second.
    :param booking_s: mean duration of a booking request, in seconds.
    :param certificate_s: mean duration of a certificate request, in seconds.
    :param target_ms: latency target of the service, in milliseconds.
    """

    name: str
    cpu: float
    memory_mb: int
    delay_s: float
    rate: float
    booking_s: float
    certificate_s: float
    target_ms: float


LUCEGIRO = Site("lucegiro", 32.0, 125_000, 0.003, 60.0, 0.25, 0.8, 900.0)
OLRHAIN = Site("olrhain", 64.0, 250_000, 0.005, 60.0, 0.25, 0.8, 900.0)


@dataclass
class Result:
    """Measurements of one run.

    :param bookings: start and latency of each booking request, in seconds.
    :param certificates: the same for certificate requests.
    :param refused: requests that failed or timed out.
    :param work_cpu_s: useful processor seconds of batch work after the warm-up.
    :param work_by_time: time and useful processor seconds until then.
    """

    bookings: list[tuple[float, float]] = field(default_factory=list)
    certificates: list[tuple[float, float]] = field(default_factory=list)
    refused: int = 0
    work_cpu_s: float = 0.0
    work_by_time: list[tuple[float, float]] = field(default_factory=list)
    evictions: int = 0
    overcommits: int = 0

    def p99_s(self, start: float = 0.0, end: float = math.inf) -> float:
        """Return the 99th percentile latency of bookings that began in a span."""
        return quantile([s for at, s in self.bookings if start <= at < end], 0.99)

    def work_between(self, start: float, end: float) -> float:
        """Return the useful processor seconds of batch work in a span."""
        inside = [done for at, done in self.work_by_time if start <= at <= end]
        return inside[-1] - inside[0]

    def wave_p99_s(self) -> float:
        """Return the 99th percentile latency of bookings begun in :data:`WAVES`."""
        inside = [s for at, s in self.bookings if any(a <= at < b for a, b in WAVES)]
        return quantile(inside, 0.99)


class Experiment:
    """Loads one simulated deployment and measures it.

    :param script: optional coroutine that changes the deployment during the run.
    :param waves: spans in which high-interference jobs arrive.
    """

    def __init__(self, site: Site, seed: int, script=None, waves=WAVES) -> None:
        self.site = site
        self.waves = waves
        self.random = random.Random(seed)
        self.script = script
        self.result = Result()
        self.jobs = 0
        self.started_at = 0.0

    async def run(self, world) -> None:
        """Start the deployment, run the load and complete the result."""
        world.network.delay_s = self.site.delay_s
        for entry, domain in zip(world.entry_list, DOMAINS, strict=False):
            world.start_entry(entry.name, domain)
        for number in range(AGENTS):
            self.start_agent(world, number)
        await world.wait_ready(AGENTS)
        await self.declare_configuration(world)
        self.started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.refill_queue, world)
            nursery.start_soon(self.send_requests, world, nursery)
            nursery.start_soon(self.sample_work, world)
            if self.script is not None:
                nursery.start_soon(self.script, self, world)
            await trio.sleep(END_S)
            nursery.cancel_scope.cancel()
        self.complete_result(world)

    def start_agent(self, world, number: int) -> None:
        """Start one agent with executor and worker."""
        name = f"agent-{number}"
        domain = DOMAINS[number % 3]
        site = self.site
        world.start_agent(
            name, domain, site.cpu, site.memory_mb, executor_cpu=site.cpu / 8
        )
        world.executors[name].duration = lambda target: self.request_duration(
            world, name, target
        )

    async def declare_configuration(self, world) -> None:
        """Declare the organisation, a team and its service."""
        await world.declare_organisation()
        service = {
            "latency_target_ms": self.site.target_ms,
            "classes": [
                {"prefix": BOOKING, "name": "booking", "priority": 0},
                {"prefix": CERTIFICATE, "name": "certificate", "priority": 7},
            ],
        }
        edits = [
            ("teams/lamps", 0, {"members": ["carl"]}),
            (f"teams/lamps/services/{SERVICE}", 0, service),
        ]
        await world.change("entry-1", "ada", edits)

    # Services.

    def request_duration(self, world, agent: str, target: str) -> float:
        """Return a random duration in seconds, longer with other tasks on the host."""
        mean_s = self.site.booking_s
        if CERTIFICATE in target:
            mean_s = self.site.certificate_s
        return mean_s * self.random.lognormvariate(0, 0.3) * self.slowdown(world, agent)

    def slowdown(self, world, agent: str) -> float:
        """Return the factor by which the tasks on a host slow its requests down."""
        worker = world.workers[agent]
        worker.advance()
        factor = 1.0
        for task in worker.tasks.values():
            if task.state == "running":
                used = task.used_cpu(worker.share) / self.site.cpu
                factor += SLOWDOWN_BY_CLASS[task.order.task_class] * used
        return factor

    async def send_requests(self, world, nursery) -> None:
        """Send requests at random times with a fixed mean rate."""
        number = 0
        while True:
            await trio.sleep(self.random.expovariate(self.site.rate))
            number += 1
            prefix = BOOKING if self.random.random() < BOOKING_SHARE else CERTIFICATE
            entry = world.entry_list[number % len(world.entry_list)].name
            nursery.start_soon(self.send_request, world, entry, f"r{number}", prefix)

    async def send_request(self, world, entry: str, marker: str, prefix: str) -> None:
        """Send one request and record its latency, or its timeout if it fails."""
        started = trio.current_time()
        timeout_ms = 10_000
        await world.request(entry, marker, timeout_ms=timeout_ms, prefix=prefix)
        call = world.history.calls[marker]
        elapsed = trio.current_time() - started
        if call.verdict != "ran":
            self.result.refused += 1
            elapsed = timeout_ms / 1000
        series = self.result.bookings
        if prefix == CERTIFICATE:
            series = self.result.certificates
        at = started - self.started_at
        if at >= WARM_UP_S:
            series.append((at, elapsed))

    # Batch work.

    async def refill_queue(self, world) -> None:
        """Keep low-interference jobs pending; submit others during the waves."""
        while True:
            await trio.sleep(REFILL_INTERVAL_S)
            if world.log.faults.down:
                continue
            shards = world.app("entry-1").get("shards").shards
            pending = sum(
                job.spec.task_class in LOW_INTERFERENCE_CLASSES
                for shard in shards
                for job in shard.state.jobs_in_state("pending")
            )
            for _number in range(PENDING_JOBS - pending):
                await self.submit(world, self.random.choice(LOW_INTERFERENCE_CLASSES))
            at = trio.current_time() - self.started_at
            if any(start <= at < end for start, end in self.waves):
                for _number in range(HIGH_INTERFERENCE_JOBS_PER_S):
                    await self.submit(world, HIGH_INTERFERENCE_CLASS)

    async def submit(self, world, task_class: str) -> None:
        """Append one job of a class to its shard of the log."""
        cpu = self.random.choice([2.0, 4.0, 6.0]) * self.site.cpu / 32
        run_s = self.random.uniform(8, 25)
        work = {"run_s": run_s, "use_cpu": cpu * USED_CPU_SHARE[task_class]}
        self.jobs += 1
        spec = JobSpec(
            f"job-{self.jobs}",
            "lamps",
            cpu,
            int(cpu * 1000),
            run_s=run_s,
            task_class=task_class,
            work=msgspec.json.encode(work).decode(),
        )
        shard = world.app("entry-1").get("shards").shard_of(spec.id).number
        record = encode_record(Submit(f"submit-{uuid.uuid4().hex}", spec))
        with contextlib.suppress(LogUnavailableError):
            await world.log.append(f"shard-{shard}", [record])

    async def sample_work(self, world) -> None:
        """Record the useful work done so far, once a second."""
        while True:
            done = self.count_useful_work(world)
            at = trio.current_time() - self.started_at
            self.result.work_by_time.append((at, done))
            await trio.sleep(1.0)

    def count_useful_work(self, world) -> float:
        """Return the useful processor seconds so far; repeated work counts once."""
        best: dict[str, float] = {}
        use: dict[str, float] = {}
        for worker in world.workers.values():
            worker.advance()
            for task in worker.tasks.values():
                job = task.order.job
                best[job] = max(best.get(job, 0.0), task.progress_s)
                use[job] = task.work.use_cpu
        for run in world.history.runs:
            if run.state in ("finished", "stopped"):
                best[run.job] = max(best.get(run.job, 0.0), run.progress_s)
        for job in best:
            if job not in use:
                use[job] = self.cpu_use(world, job)
        return sum(progress * use[job] for job, progress in best.items())

    def cpu_use(self, world, job: str) -> float:
        """Return the number of processors that a job uses."""
        found = world.job("entry-1", job)
        if found is None:
            return 0.0
        return msgspec.json.decode(found.spec.work)["use_cpu"]

    def complete_result(self, world) -> None:
        """Add the work, evictions and violations of host capacity to the result."""
        result = self.result
        warm = [done for at, done in result.work_by_time if at >= WARM_UP_S]
        result.work_cpu_s = warm[-1] - warm[0]
        for name, stored in world.log.streams.items():
            if not name.startswith("shard-"):
                continue
            for line in stored:
                record = decode_record(bytes(line.record))
                if isinstance(record, Stop) and record.reason in EVICTION_REASONS:
                    result.evictions += 1
        result.overcommits = len(check_overcommit(world.finish()))


def run_experiment(site: Site, seed: int, script=None, waves=WAVES) -> Result:
    """Run one experiment and return its result."""
    experiment = Experiment(site, seed, script, waves)
    run_world(experiment.run, seed, entries=2, shards=2)
    return experiment.result
