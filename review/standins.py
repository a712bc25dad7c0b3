"""Stand-ins for the platform's store and for executors, as the users' pages tell.

Standard library only. Both run inside the process of a script, on loopback addresses.
"""

import asyncio
import base64
import contextlib
import heapq
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

DROP = object()
"""Answer of a handler that closes the connection without a response."""

REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


class Request:
    def __init__(self, method, target, headers, body, peer):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body
        self.peer = peer


async def read_message(reader):
    """Return the first line, headers and body of an HTTP message; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if not header:
            return None
        if header in (b"\r\n", b"\n"):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return line.decode("latin-1").strip(), headers, body


class HttpServer:
    """Serves HTTP/1.1 with keep-alive; ``handle`` returns (status, body) or DROP."""

    def __init__(self, host, port, handle):
        self.host = host
        self.port = port
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 22
        )

    async def stop(self, abort=True):
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if abort:
                writer.transport.abort()
            else:
                writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        peer = writer.get_extra_info("peername")
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _version = line.split(" ", 2)
                answer = await self.handle(Request(method, target, headers, body, peer))
                if answer is DROP:
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
                head += "content-type: application/json\r\n"
                head += f"content-length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()


class Producer:
    def __init__(self, epoch):
        self.epoch = epoch
        self.seq = None
        self.answers = {}


class Store:
    """The platform's store: keyed topics with one partition.

    :param before: called with each request; returns None to go on, or an answer.
    :param after: called with each request and its answer; returns the answer to give.
    """

    def __init__(self, host, port, append_s=0.004):
        self.topics = {}
        self.append_s = append_s
        self.server = HttpServer(host, port, self.handle)
        self.before = lambda _request: None
        self.after = lambda _request, answer: answer

    @property
    def addr(self):
        return f"{self.server.host}:{self.server.port}"

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        """Append one record, as the operator does."""
        self.add(self.topic(name), [(key, value)])

    def add(self, topic, pairs):
        for key, value in pairs:
            offset = len(topic.records)
            topic.records.append((key, value))
            if value:
                topic.newest[key] = (value, offset)
            else:
                topic.newest.pop(key, None)
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def handle(self, request):
        answer = self.before(request)
        if answer is not None:
            return answer
        if request.path == "/rattanwing/log-append":
            answer = await self.append(request)
        elif request.path == "/rattanwing/log-read":
            answer = await self.read(request)
        elif request.path == "/rattanwing/log-newest":
            answer = await self.list_newest(request)
        else:
            answer = 404, {}
        return self.after(request, answer)

    async def append(self, request):
        query = request.query
        topic = self.topic(query["topic"])
        pairs = decode_records(request.body)
        async with topic.lock:
            await asyncio.sleep(self.append_s)
            producer = None
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                producer = topic.producers.get(query["producer"])
                if producer is None or epoch > producer.epoch:
                    producer = Producer(epoch)
                elif epoch < producer.epoch:
                    return 409, {"reason": "fenced"}
                elif producer.seq is not None:
                    if seq in producer.answers:
                        return 200, producer.answers[seq]
                    if seq != producer.seq + 1:
                        return 409, {"reason": "seq", "expected": producer.seq + 1}
            if "at" in query and int(query["at"]) != len(topic.records):
                return 412, {"end": len(topic.records)}
            answer = {"offset": len(topic.records)}
            self.add(topic, pairs)
            answer["end"] = len(topic.records)
            if producer is not None:
                topic.producers[query["producer"]] = producer
                if pairs:
                    producer.seq = seq
                    producer.answers[seq] = answer
                    for old in sorted(producer.answers)[:-5]:
                        del producer.answers[old]
            return 200, answer

    async def read(self, request):
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while len(topic.records) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except TimeoutError:
                break
        await asyncio.sleep(0.004)
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        limit = int(request.query.get("max_kb", "1024")) * 1024
        for key, value in topic.records[start:]:
            record = encode_record(key, value)
            size += len(record)
            if size > limit and len(parts) > 1:
                break
            parts.append(record)
        return 200, b"".join(parts)

    async def list_newest(self, request):
        topic = self.topic(request.query["topic"])
        await asyncio.sleep(0.004)
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            value, offset = topic.newest[key]
            size += len(value)
            if items and size > 1 << 20:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        body = {"items": items, "end": len(topic.records)}
        if len(items) < len(keys):
            body["has_more"] = True
        return 200, body


def encode_record(key, value):
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return struct.pack(">I", len(content)) + content


def decode_records(data):
    pairs, position = [], 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        content = data[position + 4 : position + 4 + length]
        position += 4 + length
        size = content[0]
        key = content[1 : 1 + size].decode()
        pairs.append((key, content[1 + size :] or None))
    return pairs


class TaskRun:
    def __init__(self, task, attempt, ends_at, began_at, saved):
        self.task = task
        self.attempt = attempt
        self.began_at = began_at
        self.ends_at = ends_at
        self.saved = saved


class Executor:
    """An executor beside one agent; a task's ``spec`` is JSON with ``ms``.

    :param record: called with one line for each start and each end.
    :param before: called with each request; returns None to go on, or an answer.
    """

    HOLD_MAX_S = 10.0
    KILL_GRACE_S = 0.05

    def __init__(self, name, host, port, control, backend, zone, record, **options):
        self.name = name
        self.host = host
        self.port = port
        self.control = control
        self.backend = backend
        self.zone = zone
        self.record = record
        self.labels = options.get("labels", ["a", "r1-1"])
        self.cpu = options.get("cpu", 32000)
        self.mem_mb = options.get("mem_mb", 128000)
        self.checkpoint_s = options.get("checkpoint_s", 0.0)
        self.checkpoint_chars = options.get("checkpoint_chars", 16)
        self.before = lambda _request: None
        self.state = "ready"
        self.up = False
        self.tasks = set()
        self.server = None
        self.reset()

    def reset(self):
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.fence = 0
        self.seq = 0
        self.runs = {}
        self.due = []
        self.ended = []
        self.next_end = 1
        self.acked = 0
        self.over = {}
        self.lease_until = 0.0
        self.changed = asyncio.Event()

    async def start(self, first=None):
        """Start a new incarnation.

        :param first: an earlier start order that it carries out before all others.
        """
        self.reset()
        if first is not None:
            self.fence = first["fence_token"]
            self.start_run(first)
        self.server = HttpServer(self.host, self.port, self.handle)
        await self.server.start()
        self.up = True
        self.tasks.add(asyncio.create_task(self.beat()))
        self.tasks.add(asyncio.create_task(self.work()))

    async def crash(self):
        """End at once, with everything that runs here."""
        self.up = False
        for run in list(self.runs.values()):
            self.record(f"gone task={run.task} run={run.attempt} on={self.name}")
        self.runs.clear()
        await self.server.stop()
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000)

    async def beat(self):
        while True:
            self.seq += 1
            body = {
                "backend": self.backend,
                "addr": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": self.labels,
                "clock_ms": self.clock_ms(),
                "seq": self.seq,
                "born": self.born,
            }
            target = f"/rattanwing/instances/{self.name}"
            try:
                await call(self.control, "PUT", target, body, timeout=1.0)
            except (TimeoutError, OSError, ValueError):
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(1.5)

    async def work(self):
        while True:
            now = time.monotonic()
            if self.runs and now >= self.lease_until:
                for key in list(self.runs):
                    self.finish(key, "lapsed")
            while self.due and self.due[0][0] <= now:
                _, key = heapq.heappop(self.due)
                if key in self.runs:
                    self.finish(key, "done")
            await asyncio.sleep(0.01)

    def finish(self, key, how):
        run = self.runs.pop(key)
        row = [self.next_end, run.task, run.attempt, how, run.saved]
        self.next_end += 1
        self.ended.append(row)
        self.over[run.task] = max(self.over.get(run.task, 0), run.attempt)
        self.record(f"end task={run.task} run={run.attempt} how={how} on={self.name}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        answer = self.before(request)
        if asyncio.iscoroutine(answer):
            answer = await answer
        if answer is not None:
            return answer
        if request.headers.get("rattanwing-expect-instance") not in (None, self.name):
            return 421, {}
        body = json.loads(request.body or b"{}")
        fence = body.get("fence_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        match request.path:
            case "/rattanwing/run-start":
                status, answer = self.start_run(body)
            case "/rattanwing/run-stop":
                status, answer = self.stop_run(body)
            case "/rattanwing/hold":
                status, answer = await self.hold(body)
            case "/rattanwing/pace":
                status, answer = 200, {}
            case _:
                status, answer = 404, {}
        return status, {**answer, "clock_ms": self.clock_ms(), "born": self.born}

    def extend(self, body):
        deadline = body.get("deadline_ms")
        if deadline is None:
            return
        left = min(deadline / 1000 - (time.monotonic() - self.born_at), self.HOLD_MAX_S)
        self.lease_until = max(self.lease_until, time.monotonic() + left)

    def start_run(self, body):
        key = body["task"], body["attempt"]
        if key in self.runs:
            return 200, {}
        if self.over.get(body["task"], 0) >= body["attempt"]:
            self.extend(body)
            return 409, {"reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body)
        now = time.monotonic()
        work_s = json.loads(body["spec"])["ms"] / 1000
        run = TaskRun(*key, now + work_s, now, body.get("saved", ""))
        self.runs[key] = run
        heapq.heappush(self.due, (run.ends_at, key))
        self.record(f"start task={run.task} run={run.attempt} on={self.name}")
        return 200, {}

    def stop_run(self, body):
        key = body["task"], body["attempt"]
        if key in self.runs:
            self.finish(key, "stopped")
        self.over[body["task"]] = max(self.over.get(body["task"], 0), body["attempt"])
        return 200, {}

    def checkpoint_name(self, run):
        name = f"{self.name}/{run.task}/{run.attempt}"
        return name.ljust(self.checkpoint_chars, "0")

    async def hold(self, body):
        self.extend(body)
        acked = body.get("ack_offset", 0)
        if acked > self.acked:
            self.acked = acked
            self.record(f"noted up_to={acked} on={self.name}")
        self.ended = [row for row in self.ended if row[0] > acked]
        wait_s = body.get("wait_ms", 0) / 1000
        if wait_s and not self.ended:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        running = []
        for run in self.runs.values():
            spent = time.monotonic() - run.began_at
            if self.checkpoint_s and spent >= self.checkpoint_s and not run.saved:
                run.saved = self.checkpoint_name(run)
            percent = int(100 * spent / max(0.001, run.ends_at - run.began_at))
            running.append([run.task, run.attempt, run.saved, min(99, percent), 0])
        return 200, {"running": running, "ended": self.ended[:500]}


async def call(address, method, target, body=None, host=None, timeout=3.0):
    """Make one HTTP call on a connection of its own; return status and JSON body."""

    async def exchange():
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            content = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {target} HTTP/1.1\r\nhost: {host or address}\r\n"
            head += f"rattanwing-deadline-ms: {int(timeout * 1000)}\r\n"
            head += "content-type: application/json\r\n"
            head += f"content-length: {len(content)}\r\n\r\n"
            writer.write(head.encode() + content)
            message = await read_message(reader)
        finally:
            writer.transport.abort()
        if message is None:
            raise ConnectionResetError("no answer")
        line, _headers, data = message
        return int(line.split(" ")[1]), json.loads(data) if data else None

    return await asyncio.wait_for(exchange(), timeout)
