"""A small deployment on loopback addresses for the cases of the second review.

The programs of the deploy file run as processes of their own. The store, the executors
and the clients are stand-ins in the process of the case; they follow the pages of the
platform and use the standard library only. Times in the record are seconds since the
start of the stage, on the steady clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_LIMIT_S = 115.0

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

ENTRY_PORT, READY_PORT, CONTROL_PORT, APP_PORT, STORE_PORT = (
    8161,
    8167,
    8166,
    8165,
    8169,
)
PEER_PORTS = [7720, 7735]
METRICS_PORT = 9464

BOUNDS = """
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
evac_ms = 5000
hold_max_ms = 10000
kill_grace_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
checkpoint_s = 2
restore_ms = 600
lease_ms = 3000
"""


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


# HTTP


async def read_message(reader):
    """Read the head and the body of a request or response; ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


class NoAnswerError(Exception):
    """Raised by a handler that leaves its call unanswered; the connection stays."""


class BreakConnectionError(Exception):
    """Raised by a handler that ends the connection without an answer."""


class HttpServer:
    """Answers HTTP/1.1 calls; ``handle(method, target, headers, body)`` decides.

    It returns a status and a body. Open connections end with :meth:`stop`.
    """

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, host, port):
        """Listen; a port that was just used may be used again."""
        self.server = await asyncio.start_server(
            self.serve, host, port, reuse_address=True, limit=2**24
        )

    async def stop(self):
        """Stop listening and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _version = message[0].split(" ", 2)
                try:
                    status, body = await self.handle(
                        method, target, message[1], message[2]
                    )
                except NoAnswerError:
                    await reader.read()
                    return
                except BreakConnectionError:
                    writer.transport.abort()
                    return
                writer.write(
                    f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()


def to_json(value):
    """Return the JSON body of an answer."""
    return json.dumps(value).encode()


# The store


class Topic:
    """One partition of a topic."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()


class Store:
    """The platform's store: a log whose keyed topics keep the newest record of a key.

    :param on_append: awaited with the caller's address, the topic and the keys before
        an append is carried out. It may raise ``NoAnswerError`` or
        ``BreakConnectionError``, or return seconds by which the append is late: then
        it gets no answer.
    :param turned_away: addresses of machines that get no answer at all.
    """

    def __init__(self, stage):
        self.stage = stage
        self.topics = {}
        self.lock = asyncio.Lock()
        self.on_append = None
        self.turned_away = set()
        self.server = HttpServer(self.handle)

    def topic(self, name):
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def write(self, name, rows, at=None, producer=None, epoch=0, seq=0):
        """Append records; return the status and the value of the answer."""
        topic = self.topic(name)
        end = len(topic.records)
        if producer:
            known = topic.producers.get(producer)
            if known is not None:
                if epoch < known["epoch"]:
                    return 409, {"reason": "fenced"}
                if epoch == known["epoch"]:
                    if seq in known["answers"]:
                        return 200, known["answers"][seq]
                    if rows and seq != known["seq"] + 1:
                        return 409, {"reason": "seq", "expected": known["seq"] + 1}
        if at is not None and at != end:
            return 412, {"end": end}
        for key, value in rows:
            topic.newest.pop(key, None)
            if value:
                topic.newest[key] = (value, len(topic.records))
            topic.records.append((key, value))
        answer = {"offset": end, "end": len(topic.records)}
        if producer:
            known = topic.producers.get(producer)
            if known is None or epoch > known["epoch"]:
                known = {"epoch": epoch, "seq": seq, "answers": {}}
                topic.producers[producer] = known
            if rows:
                known["seq"] = seq
                known["answers"][seq] = answer
                for old in sorted(known["answers"])[:-5]:
                    del known["answers"][old]
        if rows:
            topic.grown.set()
            topic.grown = asyncio.Event()
        return 200, answer

    async def handle(self, method, target, headers, body):
        """Answer a call of a process."""
        path, _, query_text = target.partition("?")
        query = {k: v[0] for k, v in parse_qs(query_text).items()}
        caller = headers.get("x-from", "")
        if path == "/rattanwing/log-append":
            return await self.append(query, body, caller)
        if path == "/rattanwing/log-read":
            return await self.read(query)
        if path == "/rattanwing/log-newest":
            return self.list_newest(query)
        return 404, b"{}"

    async def append(self, query, body, caller):
        """Answer an append."""
        rows, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            key_size = content[0]
            rows.append((content[1 : 1 + key_size].decode(), content[1 + key_size :]))
        name = unquote(query["topic"])
        arguments = (
            name,
            rows,
            int(query["at"]) if "at" in query else None,
            query.get("producer"),
            int(query.get("epoch", "0")),
            int(query.get("seq", "0")),
        )
        if self.on_append is not None:
            late_s = await self.on_append(
                query.get("producer", ""), name, [key for key, _value in rows]
            )
            if late_s:
                loop = asyncio.get_running_loop()
                loop.call_later(late_s, lambda: self.write(*arguments))
                raise NoAnswerError
        async with self.lock:
            await asyncio.sleep(0.004)
        status, answer = self.write(*arguments)
        return status, to_json(answer)

    async def read(self, query):
        """Answer a read, at once if there is a record."""
        topic = self.topic(unquote(query["topic"]))
        start = int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        await asyncio.sleep(0.002)
        if start >= len(topic.records) and wait_s:
            grown = topic.grown
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(grown.wait(), wait_s)
        parts, size = [struct.pack(">QQ", len(topic.records), 0)], 0
        for key, value in topic.records[start:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            size += len(content) + 4
            if size > 1024 * 1024:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)

    def list_newest(self, query):
        """Answer with a page of the newest record of each key."""
        topic = self.topic(unquote(query["topic"]))
        after = unquote(query.get("after", ""))
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][0]).decode(),
                "offset": topic.newest[key][1],
            }
            for key in keys[:500]
        ]
        page = {
            "items": items,
            "has_more": len(keys) > 500,
            "end": len(topic.records),
        }
        return 200, to_json(page)


class StoreDoor:
    """The store's address as one machine of the system reaches it.

    It forwards bytes, or gives no answer while ``closed`` is set: open connections go
    silent, and new ones are accepted and left unanswered.
    """

    def __init__(self, stage, host):
        self.stage = stage
        self.host = host
        self.closed = False
        self.tasks = set()

    async def start(self):
        """Listen at the address of the door."""
        self.server = await asyncio.start_server(self.serve, self.host, STORE_PORT)

    async def serve(self, reader, writer):
        """Forward one connection."""
        try:
            store_reader, store_writer = await asyncio.open_connection(
                self.stage.ip(1), STORE_PORT
            )
        except OSError:
            writer.close()
            return
        tasks = [
            asyncio.create_task(self.forward(reader, store_writer)),
            asyncio.create_task(self.forward(store_reader, writer)),
        ]
        self.tasks.update(tasks)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
            self.tasks.discard(task)
        writer.close()
        store_writer.close()

    async def forward(self, reader, writer):
        """Forward bytes of one direction; those that arrive while closed are lost."""
        silent = False
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                return
            if not data:
                return
            silent = silent or self.closed
            if not silent:
                writer.write(data)


# Executors


class Run:
    """A run on an executor."""

    def __init__(self, task, attempt, spec, saved, began_at, needs_s):
        self.task = task
        self.attempt = attempt
        self.spec = spec
        self.saved = saved
        self.began_at = began_at
        self.needs_s = needs_s


class Executor:
    """An executor on a host, through all its lives.

    :param duration_s: returns how long a run of a task works, in seconds.
    :param on_call: called with the path and the body before a call is carried out; it
        may raise ``NoAnswerError`` or return a status and a body as the answer.
    """

    def __init__(self, stage, number, labels, duration_s):
        self.stage = stage
        self.number = number
        self.host = stage.ip(100 + number)
        self.labels = labels
        self.duration_s = duration_s
        self.on_call = None
        self.id = f"i-{random.getrandbits(32):08x}"
        self.cpu, self.memory_mb = 32000, 128000
        self.up = False
        self.lives = 0

    @property
    def name(self):
        """Return the name in the record."""
        return f"executor-{self.number}"

    @property
    def life(self):
        """Return the name with the number of the life."""
        return f"{self.name}, life {self.lives}"

    async def start(self, new_id=False):
        """Start a life with empty state, under the same id unless told otherwise."""
        if new_id:
            self.id = f"i-{random.getrandbits(32):08x}"
        self.lives += 1
        self.up = True
        self.born = time.time_ns() // 1_000_000
        self.started_at = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.seq = 0
        self.running = {}
        self.ended = []
        self.end_number = 0
        self.last_attempt = {}
        self.end_added = asyncio.Event()
        self.server = HttpServer(self.handle)
        await self.server.start(self.host, APP_PORT)
        self.stage.record(f"{self.name} is up, id {self.id}, life {self.lives}")
        self.stage.spawn(self.beat(self.lives))
        self.stage.spawn(self.work(self.lives))

    async def crash(self):
        """End at once: connections are reset, runs end unlisted."""
        self.up = False
        for run in self.running.values():
            self.stage.ended(self, run, "crash")
        self.running = {}
        await self.server.stop()
        self.stage.record(f"{self.name} has crashed")

    def clock_ms(self):
        """Return the executor's clock in milliseconds."""
        return int((time.monotonic() - self.started_at) * 1000) + 1

    async def beat(self, life):
        """Send heartbeats to the agent of the host."""
        while self.up and self.lives == life:
            self.seq += 1
            body = {
                "backend": self.stage.service,
                "addr": f"{self.host}:{APP_PORT}",
                "zone": self.stage.zones[self.number % len(self.stage.zones)],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.memory_mb, "gpu": 0},
                "labels": self.labels,
                "clock_ms": self.clock_ms(),
                "seq": self.seq,
                "born": self.born,
            }
            status = None
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                status, _body = await request(
                    self.host,
                    CONTROL_PORT,
                    "PUT",
                    f"/rattanwing/instances/{self.id}",
                    body,
                    1.0,
                )
            await asyncio.sleep(1.5 if status == 200 else 0.3)

    async def work(self, life):
        """End runs that are done, and all runs when the lease has lapsed."""
        while self.up and self.lives == life:
            now = time.monotonic()
            lapsed = self.running and self.clock_ms() > self.deadline_ms
            for key, run in list(self.running.items()):
                if lapsed:
                    self.end(key, "lapsed")
                elif now - run.began_at >= run.needs_s:
                    self.end(key, "done")
            await asyncio.sleep(0.01)

    def end(self, key, how):
        """End a run and list its end."""
        run = self.running.pop(key)
        self.end_number += 1
        self.ended.append([self.end_number, run.task, run.attempt, how, ""])
        self.stage.ended(self, run, how)
        self.end_added.set()
        self.end_added = asyncio.Event()

    async def handle(self, _method, target, headers, body):
        """Answer a call of the agent."""
        if headers.get("rattanwing-expect-instance", self.id) != self.id:
            return 421, to_json({"clock_ms": self.clock_ms()})
        order = json.loads(body) if body else {}
        life = self.lives
        if self.on_call is not None:
            answer = self.on_call(target, order)
            if answer is not None:
                return answer
        status, value = await self.carry_out(target, order)
        if not self.up or self.lives != life:
            raise BreakConnectionError
        return status, to_json({"clock_ms": self.clock_ms(), **value})

    async def carry_out(self, target, order):
        """Carry out an order; return a status and the value of the answer."""
        fence = order.get("fence_token", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        key = (order.get("task"), order.get("attempt"))
        match target:
            case "/rattanwing/run-start":
                return self.start_run(key, order)
            case "/rattanwing/run-stop":
                if key in self.running:
                    self.end(key, "stopped")
                self.last_attempt[key[0]] = max(
                    key[1], self.last_attempt.get(key[0], 0)
                )
                return 200, {}
            case "/rattanwing/pace":
                return 200, {}
            case "/rattanwing/hold":
                return await self.hold(order)
        return 400, {}

    def extend(self, deadline_ms):
        """Extend the lease."""
        limit = self.clock_ms() + 10_000
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def start_run(self, key, order):
        """Start a run."""
        if key in self.running:
            self.extend(order["deadline_ms"])
            return 200, {}
        if key[1] <= self.last_attempt.get(key[0], 0):
            self.extend(order["deadline_ms"])
            return 409, {"reason": "old"}
        if order["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(order["deadline_ms"])
        self.last_attempt[key[0]] = key[1]
        run = Run(
            key[0],
            key[1],
            order.get("spec", ""),
            order.get("saved", ""),
            time.monotonic(),
            self.duration_s(key[0]),
        )
        self.running[key] = run
        self.stage.started(self, run)
        return 200, {}

    async def hold(self, order):
        """Extend the lease, forget acknowledged ends and list runs and ends."""
        acknowledged = order.get("ack_offset", 0)
        for end in [end for end in self.ended if end[0] <= acknowledged]:
            self.ended.remove(end)
            self.stage.acknowledged(self, end)
        if "deadline_ms" in order:
            self.extend(order["deadline_ms"])
        wait_s = min(order.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self.ended:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.end_added.wait(), wait_s)
        now = time.monotonic()
        running = [
            [
                run.task,
                run.attempt,
                run.saved,
                min(100, int(100 * (now - run.began_at) / run.needs_s)),
                500,
            ]
            for run in self.running.values()
        ]
        return 200, {
            "running": running,
            "ended": self.ended[:500],
            "born": self.born,
        }


# Clients


async def request(host, port, method, path, body, limit_s, headers=()):
    """Make one call on a connection of its own; return the status and the body.

    :raises OSError: when the connection fails or ends without an answer.
    :raises asyncio.TimeoutError: when there is no answer in time.
    """
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            content = b"" if body is None else to_json(body)
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(content)}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name.lower() == "host" for name, _value in headers):
                lines.append(f"host: {host}")
            if body is not None:
                lines.append("content-type: application/json")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            message = await read_message(reader)
            if message is None:
                raise ConnectionResetError("no answer")
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.close()


# The stage


class Stage:
    """The machines of a small deployment, and the record of what happens.

    :param starts: time, life of an executor, task and attempt of each start of a run.
    :param ends: time, life, task, attempt and kind of each end of a run.
    :param acks: time, life, task, attempt and kind of each acknowledged end.
    :param counted: ids of jobs whose runs are counted in the record, not listed.
    """

    host_name = "jobs.example"
    prefix = "/bookings/"

    def __init__(self, folder, entries=3, executors=3):
        self.folder = Path(folder).resolve()
        self.began_at = time.monotonic()
        self.lines = []
        self.tasks = set()
        self.processes = {}
        self.starts = []
        self.ends = []
        self.acks = []
        self.counted = set()
        self.counts = {}
        self.entries = entries
        self.agents = executors
        self.service = "raccolta"
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.network = ""
        self.work_folder = None
        self.store = Store(self)
        self.doors = {}
        self.executors = {}
        self.version = 0

    def now(self):
        """Return the seconds since the start of the stage."""
        return time.monotonic() - self.began_at

    def record(self, text):
        """Add a line to the record."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def ip(self, number):
        """Return an address of the deployment's network."""
        return f"127.{self.network}.{number}"

    def spawn(self, coroutine):
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def started(self, executor, run):
        """Record the start of a run."""
        self.starts.append((self.now(), executor.life, run.task, run.attempt))
        if not self.count(run, "started"):
            self.record(f"{executor.name} starts {run.task} attempt {run.attempt}")

    def ended(self, executor, run, how):
        """Record the end of a run."""
        self.ends.append((self.now(), executor.life, run.task, run.attempt, how))
        if not self.count(run, how):
            self.record(f"{executor.name} ends {run.task} attempt {run.attempt}: {how}")

    def acknowledged(self, executor, end):
        """Record that the end of a run was acknowledged."""
        self.acks.append((self.now(), executor.life, end[1], end[2], end[3]))
        if end[1].split(".")[0] not in self.counted:
            self.record(f"{executor.name}: end of {end[1]} attempt {end[2]} is acked")

    def count(self, run, what):
        """Count a start or an end of a job in ``counted``; return whether it is one."""
        job = run.task.split(".")[0]
        if job not in self.counted:
            return False
        if not self.counts:
            asyncio.get_running_loop().call_later(1.0, self.record_counts)
        self.counts[job, what] = self.counts.get((job, what), 0) + 1
        return True

    def record_counts(self):
        """Record the counts of the last second."""
        for (job, what), number in self.counts.items():
            self.record(f"in the last second: {job} {what}: {number} runs")
        self.counts = {}

    def choose_network(self):
        """Choose loopback addresses whose ports are free."""
        for _ in range(50):
            self.network = f"{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            numbers = [1, 2, 11, 101, 100 + self.agents]
            ports = [ENTRY_PORT, STORE_PORT, METRICS_PORT, PEER_PORTS[0], APP_PORT]
            try:
                for number in numbers:
                    for port in ports:
                        with socket.socket() as probe:
                            probe.bind((self.ip(number), port))
            except OSError:
                continue
            return
        raise CannotRunError("no free loopback addresses")

    async def start(self, make_executor):
        """Start the store, the processes and the executors; wait until they are ready.

        :param make_executor: returns the executor of a number, from 1.
        """
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build")
        self.choose_network()
        self.work_folder = tempfile.TemporaryDirectory(prefix="review-")
        await self.store.server.start(self.ip(1), STORE_PORT)
        self.configure()
        for number in range(1, self.entries + 1):
            await self.start_node("entry", number)
        for number in range(1, self.agents + 1):
            await self.start_node("agent", number)
            executor = self.executors[number] = make_executor(number)
            await executor.start()
        deadline = self.now() + 25
        while self.now() < deadline:
            if await self.all_ready():
                self.record("all entries are ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the entries did not become ready")

    def configure(self, **changes):
        """Write the next version of the configuration."""
        self.version += 3
        route = {
            "name": "r-bookings",
            "host": self.host_name,
            "path_prefix": self.prefix,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 250,
            "priority": 0,
            "backend": self.service,
            "max_attempts": 4,
            "stretch": 1.5,
        }
        route.update(changes)
        service = {
            "name": self.service,
            "health_path": "/health",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 0.0,
            "cold_per_s": 0.0,
            "rejects_overload": False,
            "standby": False,
        }
        value = {
            "version": self.version,
            "routes": [route],
            "services": [service],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        }
        self.store.write("keyed.op", [("config", to_json(value))])

    async def start_node(self, role, number):
        """Start one program of the deploy file."""
        name = f"{role}-{number}"
        host = self.ip((10 if role == "entry" else 100) + number)
        door = self.doors.get(name)
        if door is None:
            door = self.doors[name] = StoreDoor(
                self, self.ip((150 if role == "entry" else 200) + number)
            )
            await door.start()
        path = Path(self.work_folder.name) / f"{name}.toml"
        path.write_text(self.settings(role, number, name, host, door.host))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["RATTANWING_CONFIG"] = str(path)
        environment["PYTHONPATH"] = "target/deps"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(Path(self.work_folder.name) / f"{name}.log", "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "rattanwing.platform",
            role,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        log.close()
        self.record(f"{name} started")

    def settings(self, role, number, name, host, store_host):
        """Return the text of a settings file."""
        zone = self.zones[number % len(self.zones)]
        if role == "entry":
            place = "front"
            listen = f'front = "{host}:{ENTRY_PORT}"\nready = "{host}:{READY_PORT}"\n'
            limits = "cpu_share = 0.43\ncores = 1\nmemory_mb = 300\n"
        else:
            place = "side"
            listen = f'control = "{host}:{CONTROL_PORT}"\n'
            limits = "cpu_share = 0.645\ncores = 1\nmemory_mb = 168\n"
        return (
            f'node = "{name}"\nrole = "{role}"\nmachine_class = "{place}"\n'
            f'serves = ["{place}"]\nip = "{host}"\nzone = "{zone}"\n'
            f'region = "region-1"\nport_range = {PEER_PORTS}\nseeds = []\n'
            f"bootstrap = true\nheartbeat_ms = 1500\n"
            f'contracts = ["base", "drain", "config", "cost", "recover", "sched"]\n'
            f'orders = "request"\napp = "{host}:{APP_PORT}"\n'
            f"[listen]\n{listen}[limits]\n{limits}[bounds]\n{BOUNDS}"
            f'[platform]\naddr = "{store_host}:{STORE_PORT}"\nform = "log"\n'
            f"writes_per_s = 800\nreads_per_s = 2000\nkeep_s = 300\n"
        )

    async def all_ready(self):
        """Return whether all entries are ready and an owner knows all executors."""
        for number in range(1, self.entries + 1):
            try:
                status, _body = await request(
                    self.ip(10 + number),
                    READY_PORT,
                    "GET",
                    "/rattanwing/ready",
                    None,
                    1,
                )
            except (TimeoutError, OSError):
                return False
            if status != 200:
                return False
        return "owner" in self.store.topic("keyed.work").newest

    def owner(self):
        """Return the name of the entry that the store's newest claim names."""
        value = self.store.topic("keyed.work").newest["owner"][0]
        names = [f"entry-{n}" for n in range(1, self.entries + 1)]
        return next(name for name in names if name.encode() in value)

    def kill(self, name, number=signal.SIGKILL):
        """Send a signal to a process that this stage has started."""
        self.record(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    async def call(self, entry, method, rest, body=None, limit_s=3.0, headers=()):
        """Call an entry as a client; return the status, or a word for no answer.

        The second result is the decoded body, ``None`` without one.
        """
        path = self.prefix + rest
        sent_at = self.now()
        try:
            status, data = await request(
                self.ip(10 + entry),
                ENTRY_PORT,
                method,
                path,
                body,
                limit_s,
                [
                    ("Host", self.host_name),
                    ("Rattanwing-Deadline-Ms", "3000"),
                    *headers,
                ],
            )
        except TimeoutError:
            status, data = "left", b""
        except OSError as error:
            status, data = f"broken ({error})", b""
        value = None
        if data:
            try:
                value = json.loads(data)
            except ValueError:
                value = None
        shown = "" if value is None else f" {json.dumps(value)[:90]}"
        self.record(
            f"client -> entry-{entry} {method} {rest or '(queue)'} at "
            f"{sent_at:.3f}: {status}{shown}"
        )
        return status, value

    async def submit(self, entry, job, body, tries=5):
        """Hand a job in until it is accepted; return the time, ``None`` if it isn't."""
        for turn in range(tries):
            number = (entry + turn - 1) % self.entries + 1
            status, _value = await self.call(number, "POST", job, body)
            if status == 200:
                return self.now()
            await asyncio.sleep(0.3)
        return None

    async def stop(self):
        """End everything that this stage has started, and write the record."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for task in list(self.tasks):
            task.cancel()

    def failures(self):
        """Return lines of the processes' logs that tell of unexpected errors."""
        found = []
        for path in sorted(Path(self.work_folder.name).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if "Traceback" in line or "trace" in line.lower():
                    found.append(f"{path.stem}: {line[:300]}")
        return found[:20]


def new_job():
    """Return a job id: 16 hexadecimal digits."""
    return f"{random.getrandbits(64):016x}"


def run_case(folder, play, **options):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param play: coroutine function that gets the stage and returns a list of lines,
        each of which says how the rule was broken.
    """

    async def run():
        stage = Stage(folder, **options)
        outcome, broken = COULD_NOT_RUN, []
        loop, main = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, main.cancel)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                broken = await play(stage)
            outcome = BROKEN if broken else HELD
        except CannotRunError as error:
            stage.record(f"could not run: {error}")
        except TimeoutError:
            stage.record("could not run: the time limit was reached")
        finally:
            await stage.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep and stage.work_folder is not None:
            target = Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for path in Path(stage.work_folder.name).glob("*.log"):
                (target / path.name).write_bytes(path.read_bytes())
        for line in broken:
            stage.record(f"BROKEN: {line}")
        if outcome == HELD:
            stage.record("HELD")
        text = "\n".join([f"TROUBLE={int(TROUBLE)}", *stage.lines]) + "\n"
        (stage.folder / "record.txt").write_text(text)
        print("\n".join(stage.lines[-12:]))
        if stage.work_folder is not None:
            stage.work_folder.cleanup()
        return outcome

    sys.exit(asyncio.run(run()))
