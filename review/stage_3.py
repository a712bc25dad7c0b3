"""Stand-ins and processes for the scripts of the third review.

The store, the executors and the clients are small stand-ins that follow the platform's
pages. The entries and agents are the project's own programs, started with the commands
of the deploy file on loopback addresses.
"""

from __future__ import annotations

import base64
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import trio
from rattanwing.util.http_client import HttpCallError, HttpClient
from rattanwing.util.http_server import HttpServer, Response, json_response, serve_http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
STORE_PORT, APP_PORT = 8169, 8165
FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT = 8161, 8167, 8166, 9464
PEER_PORTS = (7720, 7735)
ALL_PORTS = (FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, PEER_PORTS[0])

HEARTBEAT_S = 1.5
KILL_GRACE_S = 0.2
CHECKPOINT_S = 2.0
MAX_LEASE_MS = 10_000
MAX_LISTED_ENDS = 500
PAGE_RECORDS = 500
APPEND_S = 0.004
REMEMBERED_APPENDS = 5

HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "raccolta"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "queue-1",
            "host": HOST,
            "path_prefix": PREFIX,
            "backend": SERVICE,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 1.5,
            "target_latency_ms": 250,
            "timeout_ms": 3000,
        }
    ],
    "services": [{"name": SERVICE, "rejects_overload": False}],
    "limits": {},
}

SETTINGS = """
node = "{name}"
role = "{role}"
machine_class = "{machine_class}"
ip = "{ip}"
zone = "{zone}"
region = "nord-it"
port_range = [7720,7735]
bootstrap = true
heartbeat_ms = 1500
orders = "request"
[listen]
{listen}
[limits]
cpu_share = {cpu_share}
cores = 1
memory_mb = {memory_mb}
max_fds = 4096
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
grace_s = 6
config_apply_ms = 2000
cancel_ms = 3000
visible_ms = 3000
contact_ms = 3000
hold_max_ms = 10000
kill_grace_ms = 200
status_s = 120
far_factor = 1.5
[platform]
addr = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
append_ms = 4.0
keep_s = 20
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.began_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Topic:
    """One topic of the store, with a single partition."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, dict] = {}
        self.appended = trio.Event()
        self.lock = trio.Lock()

    def put(self, key: str, value: bytes) -> None:
        """Append one record."""
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.appended.set()
        self.appended = trio.Event()


class Store:
    """The platform's metadata store, as far as the project uses it."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.server = HttpServer()
        self.server.route("POST", "/rattanwing/log-append", self.append)
        self.server.route("GET", "/rattanwing/log-read", self.read)
        self.server.route("GET", "/rattanwing/log-newest", self.list_newest)

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    async def append(self, request) -> Response:
        """Append the records of a call all or nothing."""
        query = request.query
        topic = self.topic(query["topic"])
        epoch, seq = int(query["epoch"]), int(query["seq"])
        async with topic.lock:
            await trio.sleep(APPEND_S)
            state = topic.producers.get(query["producer"])
            if state is not None and epoch < state["epoch"]:
                return json_response(409, {"reason": "fenced"})
            if state is not None and epoch == state["epoch"]:
                if seq in state["answers"]:
                    return json_response(200, state["answers"][seq])
                if seq != state["seq"] + 1:
                    answer = {"reason": "seq", "expected": state["seq"] + 1}
                    return json_response(409, answer)
            if "at" in query and int(query["at"]) != len(topic.records):
                return json_response(412, {"end": len(topic.records)})
            if state is None or epoch > state["epoch"]:
                state = topic.producers[query["producer"]] = {"answers": {}}
            offset = len(topic.records)
            for key, value in split_records(request.body):
                topic.put(key, value)
            answer = {"offset": offset, "end": len(topic.records)}
            state["epoch"], state["seq"] = epoch, seq
            state["answers"][seq] = answer
            state["answers"].pop(seq - REMEMBERED_APPENDS, None)
            return json_response(200, answer)

    async def read(self, request) -> Response:
        """Return the records from an offset on, as soon as there is one."""
        query = request.query
        topic, offset = self.topic(query["topic"]), int(query["from"])
        if offset >= len(topic.records):
            with trio.move_on_after(int(query.get("wait_ms", 0)) / 1000):
                await topic.appended.wait()
        body = [len(topic.records).to_bytes(8, "big"), bytes(8)]
        size = 0
        for key, value in topic.records[offset:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            size += len(content) + 4
            if size > 1024 * 1024:
                break
            body.append(len(content).to_bytes(4, "big") + content)
        return Response(200, [], b"".join(body))

    async def list_newest(self, request) -> Response:
        """Return a page of the newest record of each key."""
        topic, after = self.topic(request.query["topic"]), request.query.get("after")
        keys = sorted(key for key in topic.newest if after is None or key > after)
        page = keys[:PAGE_RECORDS]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in page
        ]
        end = len(topic.records)
        more = len(keys) > len(page)
        return json_response(200, {"items": items, "has_more": more, "end": end})


def split_records(body: bytes) -> list[tuple[str, bytes]]:
    """Return the keys and values of the records in the body of an append."""
    found, position = [], 0
    while position < len(body):
        length = int.from_bytes(body[position : position + 4], "big")
        content = body[position + 4 : position + 4 + length]
        size = content[0]
        found.append((content[1 : 1 + size].decode(), content[1 + size :]))
        position += 4 + length
    return found


class StoreDoor:
    """The address at which one machine reaches the store.

    :param rejects: whether the store turns this machine away with 503.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.rejects = False
        self.server = HttpServer()
        self.server.route("*", r".*", self.respond)

    async def respond(self, request) -> Response:
        """Pass a call on to the store, or turn it away and do nothing."""
        if self.rejects:
            return Response(503, [], b"")
        response = await self.store.server.respond(request)
        if self.rejects and request.method == "GET":
            # The store turns away the machine whose read has waited as well.
            return Response(503, [], b"")
        return response


class Executor:
    """An application executor on the host of one agent.

    :param durations: returns the seconds of work of a task of a given text.
    :param sheds: whether it answers starts with 503 and does nothing.
    :param started: task, attempt and time of each start.
    """

    def __init__(self, name, ip, zone, rack, record, nursery, cpu, mem_mb) -> None:
        self.name, self.ip, self.zone, self.rack = name, ip, zone, rack
        self.record, self.nursery = record, nursery
        self.cpu, self.mem_mb = cpu, mem_mb
        self.durations = lambda text: float(text.split()[0])
        self.sheds = False
        self.started: list[tuple[str, int, float]] = []
        self.scope = trio.CancelScope()
        self.server = HttpServer()
        self.server.route("POST", "/rattanwing/run-start", self.start)
        self.server.route("POST", "/rattanwing/run-stop", self.stop)
        self.server.route("POST", "/rattanwing/pace", self.pace)
        self.server.route("POST", "/rattanwing/hold", self.hold)
        self.begin_life()

    def begin_life(self) -> None:
        """Begin an incarnation, which runs and knows nothing."""
        self.up = True
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.fence = 0
        self.deadline_ms = 0
        self.running: dict[tuple[str, int], tuple[float, float]] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list] = []
        self.end_count = 0
        self.end_added = trio.Event()
        self.saves: set[tuple[str, int]] = set()
        self.unacknowledged: dict[int, float] = {}

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve the calls of the agent until the process ends."""
        with trio.CancelScope() as self.scope:
            await serve_http(
                self.server,
                f"{self.ip}:{APP_PORT}",
                trio.sleep_forever,
                0.0,
                task_status=task_status,
            )

    async def crash(self, down_s: float) -> None:
        """End the process with all that runs, and start another one later."""
        self.record.write(f"{self.name} executor {self.id} crashes")
        self.up = False
        self.running.clear()
        self.scope.cancel()
        await trio.sleep(down_s)
        self.begin_life()
        await self.nursery.start(self.serve)
        self.record.write(f"{self.name} executor {self.id} has started")

    def saved(self, key: tuple[str, int]) -> str:
        """Return the newest checkpoint of a run, a SHA-256 digest in hexadecimal."""
        if key not in self.saves or key not in self.running:
            return ""
        steps = int((time.monotonic() - self.running[key][0]) / CHECKPOINT_S)
        if not steps:
            return ""
        name = f"{key[0]}/{key[1]}/{steps}"
        return hashlib.sha256(name.encode()).hexdigest()

    def clock_ms(self) -> int:
        """Return the executor's clock."""
        return int((time.monotonic() - self.born_at) * 1000) + 1

    def answer(self, status: int = 200, **fields) -> Response:
        """Return an answer with the clock."""
        fields = {"clock_ms": self.clock_ms(), "born": self.born, **fields}
        return json_response(status, fields)

    def refusal(self, request, order: dict) -> Response | None:
        """Return the refusal of a call for another executor or an earlier holder."""
        if request.header(b"rattanwing-expect-instance") not in (None, self.id):
            return self.answer(421)
        if order.get("fence_token", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = order.get("fence_token", 0)
        return None

    def extend(self, deadline_ms: int | None) -> None:
        """Extend the lease; it never shortens."""
        if deadline_ms is not None:
            limit = min(deadline_ms, self.clock_ms() + MAX_LEASE_MS)
            self.deadline_ms = max(self.deadline_ms, limit)

    async def start(self, request) -> Response:
        """Start a run."""
        order = json.loads(request.body)
        key = order["task"], order["attempt"]
        if self.sheds:
            self.record.write(f"{self.name} run-start {key} -> 503, nothing done")
            return self.answer(503)
        refusal = self.refusal(request, order)
        if refusal is not None:
            return refusal
        if key in self.running:
            return self.answer()
        if key[1] <= self.highest.get(key[0], 0):
            self.extend(order["deadline_ms"])
            return self.answer(409, reason="old")
        if order["deadline_ms"] < self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(order["deadline_ms"])
        self.highest[key[0]] = key[1]
        if "saves" in order["spec"]:
            self.saves.add(key)
        work_s = self.durations(order["spec"])
        self.running[key] = time.monotonic(), work_s
        self.started.append((*key, self.record.now()))
        self.record.write(f"{self.name} run-start {key} -> 200, begun")
        self.nursery.start_soon(self.work, key, work_s)
        return self.answer()

    async def work(self, key: tuple[str, int], work_s: float) -> None:
        """Do the work of a run."""
        await trio.sleep(work_s)
        self.end(key, "done")

    def end(self, key: tuple[str, int], how: str) -> None:
        """End a run."""
        saved = self.saved(key)
        if self.running.pop(key, None) is None:
            return
        self.end_count += 1
        self.ended.append([self.end_count, *key, how, saved])
        self.end_added.set()
        self.end_added = trio.Event()
        self.record.write(f"{self.name} run {key} ended {how}")

    async def stop(self, request) -> Response:
        """Stop a run."""
        order = json.loads(request.body)
        refusal = self.refusal(request, order)
        if refusal is not None:
            return refusal
        key = order["task"], order["attempt"]
        self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
        if key in self.running:
            self.nursery.start_soon(self.stop_later, key)
        return self.answer()

    async def stop_later(self, key: tuple[str, int]) -> None:
        """End a stopped run."""
        await trio.sleep(KILL_GRACE_S / 2)
        self.end(key, "stopped")

    async def pace(self, request) -> Response:
        """Accept any pace."""
        return self.refusal(request, json.loads(request.body)) or self.answer()

    async def hold(self, request) -> Response:
        """Extend the lease, drop acknowledged ends, and list runs and ends."""
        order = json.loads(request.body)
        refusal = self.refusal(request, order)
        if refusal is not None:
            return refusal
        self.extend(order.get("deadline_ms"))
        self.ended = [end for end in self.ended if end[0] > order["ack_offset"]]
        if not self.ended and order.get("wait_ms"):
            with trio.move_on_after(order["wait_ms"] / 1000):
                await self.end_added.wait()
        now = time.monotonic()
        for number in [n for n in self.unacknowledged if n <= order["ack_offset"]]:
            del self.unacknowledged[number]
        for end in self.ended[:MAX_LISTED_ENDS]:
            self.unacknowledged.setdefault(end[0], self.record.now())
        running = [
            [*key, self.saved(key), min(99, int(100 * (now - begun_at) / work_s)), 100]
            for key, (begun_at, work_s) in self.running.items()
        ]
        return self.answer(running=running, ended=self.ended[:MAX_LISTED_ENDS])

    async def run(self) -> None:
        """Send heartbeats and end what is beyond the lease, until cancelled."""
        self.nursery.start_soon(self.lapse)
        client = HttpClient(f"{self.ip}:{CONTROL_PORT}", 2)
        while True:
            if not self.up:
                await trio.sleep(0.1)
                continue
            self.seq += 1
            body = {
                "backend": SERVICE,
                "addr": f"{self.ip}:{APP_PORT}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": ["a", self.rack],
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "seq": self.seq,
            }
            target = f"/rattanwing/instances/{self.id}"
            answered = False
            try:
                await client.call_json("PUT", target, body, 1.0)
                answered = True
            except HttpCallError:
                pass
            await trio.sleep(HEARTBEAT_S if answered else 0.2)

    async def lapse(self) -> None:
        """End all runs when the lease has expired."""
        while True:
            await trio.sleep(0.02)
            if self.running and self.clock_ms() > self.deadline_ms:
                for key in list(self.running):
                    self.end(key, "lapsed")


class QueueClient(HttpClient):
    """A client of one entry, which sends the queue's host name."""

    __slots__ = ("entry",)

    def __init__(self, entry: str) -> None:
        super().__init__(HOST, 64)
        self.entry = HttpClient(entry, 64)

    async def connect(self) -> trio.SocketStream:
        """Open a connection to the entry."""
        return await self.entry.connect()


class Deployment:
    """Entries and agents as processes, with their store and executors.

    :param entries: number of entries, one a zone in turn.
    :param agents: number of agents, one a zone in turn.
    """

    def __init__(
        self, folder: Path, entries: int, agents: int, memory_mb: int = 300
    ) -> None:
        self.record = Record(folder)
        self.entries = [f"front-{n}" for n in range(1, entries + 1)]
        self.agents = [f"side-{n}" for n in range(1, agents + 1)]
        self.memory_mb = memory_mb
        self.processes: dict[str, subprocess.Popen] = {}
        self.executors: dict[str, Executor] = {}
        self.store = Store()
        self.doors = {name: StoreDoor(self.store) for name in self.entries}
        self.temporary = tempfile.TemporaryDirectory()
        self.clients: dict[str, HttpClient] = {}
        names = [*self.entries, *self.agents, "store"]
        names += [f"store of {name}" for name in self.entries]
        self.ips = free_addresses(names)

    def zone(self, name: str) -> str:
        """Return the zone of a machine."""
        return f"zone-{'abc'[int(name.rpartition('-')[2]) % 3]}"

    def store_address(self, name: str) -> str:
        """Return the address at which a machine reaches the store."""
        door = f"store of {name}" if name in self.doors else "store"
        return f"{self.ips[door]}:{STORE_PORT}"

    def start(self, name: str) -> None:
        """Start the process of a machine."""
        role = "entry" if name in self.entries else "agent"
        ip = self.ips[name]
        listen = f'control = "{ip}:{CONTROL_PORT}"'
        if role == "entry":
            listen = f'front = "{ip}:{FRONT_PORT}"\nready = "{ip}:{READY_PORT}"'
        path = Path(self.temporary.name) / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                machine_class="front" if role == "entry" else "side",
                ip=ip,
                zone=self.zone(name),
                listen=listen,
                cpu_share=0.43 if role == "entry" else 0.645,
                memory_mb=self.memory_mb if role == "entry" else 168,
                store=self.store_address(name),
            )
        )
        log = (Path(self.temporary.name) / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "rattanwing.platform", role],
            cwd=ROOT,
            env={
                "RATTANWING_CONFIG": str(path),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PATH": os.environ.get("PATH", ""),
            },
            stdout=log,
            stderr=log,
        )
        self.record.write(f"{name} started")

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Deployment]:
        """Start everything and wait until the entries are ready; end it all."""
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                await self.start_all()
                yield self
                nursery.cancel_scope.cancel()
        finally:
            self.end_processes()
            self.record.file.close()
            self.temporary.cleanup()

    async def start_all(self) -> None:
        """Start the stand-ins and the processes."""
        config = json.dumps(CONFIG).encode()
        self.store.topic("keyed.op").put("config", config)
        await self.serve(self.store.server, f"{self.ips['store']}:{STORE_PORT}")
        for name, door in self.doors.items():
            await self.serve(door.server, self.store_address(name))
        for number, name in enumerate(self.agents):
            executor = Executor(
                name,
                self.ips[name],
                self.zone(name),
                f"r{number // 3}",
                self.record,
                self.nursery,
                32_000,
                128_000,
            )
            self.executors[name] = executor
            await self.nursery.start(executor.serve)
        for name in [*self.entries, *self.agents]:
            self.start(name)
        for executor in self.executors.values():
            self.nursery.start_soon(executor.run)
        for name in self.entries:
            self.clients[name] = QueueClient(f"{self.ips[name]}:{FRONT_PORT}")
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until a first job has completed through each entry."""
        with trio.fail_after(25):
            for name in self.entries:
                job_id = new_id()
                while await self.submit(name, job_id, "0.05", [{"cpu": 100}]) != 200:
                    await trio.sleep(0.3)
                while await self.state(name, job_id) != "completed":
                    await trio.sleep(0.2)

    async def serve(self, server: HttpServer, address: str) -> None:
        """Serve at an address until the end."""
        await self.nursery.start(serve_http, server, address, trio.sleep_forever, 0.0)

    async def call(self, entry: str, method: str, target: str, body=None):
        """Send a client's request; return status and body, or 0 without an answer."""
        content = b"" if body is None else json.dumps(body).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"Rattanwing-Deadline-Ms", b"3000"),
        ]
        try:
            answer = await self.clients[entry].call(
                method, target, headers, content, 3.0
            )
        except HttpCallError as error:
            self.record.write(f"client {method} {target} at {entry} -> {error}")
            return 0, {}
        value = json.loads(answer.body) if answer.body else {}
        self.record.write(
            f"client {method} {target} at {entry} -> {answer.status} {value}"
        )
        return answer.status, value

    async def submit(self, entry: str, job_id: str, text: str, steps: list) -> int:
        """Hand in a job and return the status."""
        job = {"spec": text, "steps": steps}
        return (await self.call(entry, "POST", PREFIX + job_id, job))[0]

    async def state(self, entry: str, job_id: str) -> str:
        """Return the state of a job; the status if there is none."""
        status, value = await self.call(entry, "GET", PREFIX + job_id)
        return value.get("state", str(status))

    def end_processes(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()


def new_id() -> str:
    """Return a new job id."""
    return f"{random.getrandbits(64):016x}"


def free_addresses(names: list[str]) -> dict[str, str]:
    """Return a loopback address for each name, all of whose ports are free."""
    for _ in range(50):
        subnet = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        ips = {name: f"{subnet}.{n}" for n, name in enumerate(names, 1)}
        if all(is_free(ip) for ip in ips.values()):
            return ips
    raise OSError("no free loopback addresses")


def is_free(ip: str) -> bool:
    """Return whether the ports of a machine are free at an address."""
    for port in (*ALL_PORTS, STORE_PORT, APP_PORT):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def main(case: Callable[[bool], Awaitable[bool]]) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param case: an async function of the disruption's presence.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A script that is terminated ends its processes as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        return trio.run(run_limited, case, trouble)
    except BaseException as error:
        print(f"could not run: {error!r}")
        return 2


async def run_limited(case: Callable[[bool], Awaitable[bool]], trouble: bool) -> int:
    """Run a case for at most 115 seconds."""
    with trio.fail_after(115):
        return 1 if await case(trouble) else 0
