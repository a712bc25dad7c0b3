"""The platform's programs as processes on loopback, with a store and an executor."""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import trio

from rattanwing.batch.ports import AppendStamp
from rattanwing.errors import LogConditionError, LogFencedError, LogSequenceError
from rattanwing.platform.store import decode_read, encode_record
from rattanwing.standin.keyed_store import StandinStore
from rattanwing.util.http_server import HttpServer, Response, json_response, serve_http
from tests.platform.test_adapter import ANNOUNCEMENT, CONFIG
from tests.processes import call, wait_for

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = CONFIG["routes"][0]["host"]
PREFIX = CONFIG["routes"][0]["path_prefix"]
SERVICE = CONFIG["routes"][0]["backend"]
STORE_PORT, APP_PORT = 8169, 8165
PORTS = {"front": 8161, "ready": 8167, "control": 8166, "peers": 7720, "metrics": 9464}
BEAT_INTERVAL_S = 1.0

SETTINGS = """
node = "{name}"
ip = "{ip}"
zone = "zone-a"
port_range = [7720,7735]
[listen]
{listen}
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[platform]
addr = "{store}:8169"
"""


class HttpStore:
    """Serves a stand-in store of keyed records in the platform's format."""

    def __init__(self):
        self.store = StandinStore()
        self.server = HttpServer()
        self.server.route("POST", "/rattanwing/log-append", self.append)
        self.server.route("GET", "/rattanwing/log-read", self.read)
        self.server.route("GET", "/rattanwing/log-newest", self.list_newest)

    def topic(self, request):
        return self.store.topic(request.query["topic"].removeprefix("keyed."))

    async def append(self, request):
        query = request.query
        stamp = AppendStamp(query["producer"], int(query["epoch"]), int(query["seq"]))
        records = decode_read(bytes(16) + request.body, 0).records
        pairs = [(record.key, record.value) for record in records]
        expected = int(query["at"]) if "at" in query else None
        try:
            offset = self.topic(request).append(pairs, stamp, expected)
        except LogConditionError:
            return json_response(412, {"end": self.topic(request).end})
        except LogFencedError:
            return json_response(409, {"reason": "fenced"})
        except LogSequenceError as error:
            return json_response(409, {"reason": "seq", "expected": error.expected})
        return json_response(200, {"offset": offset})

    async def read(self, request):
        topic, offset = self.topic(request), int(request.query["from"])
        if offset >= topic.end:
            with trio.move_on_after(int(request.query["wait_ms"]) / 1000):
                await topic.appended.wait()
        records = topic.records[offset:]
        body = b"".join(encode_record(r.key, r.value) for r in records)
        return Response(200, [], topic.end.to_bytes(8, "big") + bytes(8) + body)

    async def list_newest(self, request):
        topic = self.topic(request)
        items = [
            {"key": k, "value": base64.b64encode(r.value).decode(), "offset": r.offset}
            for k, r in sorted(topic.newest.items())
        ]
        return json_response(200, {"items": items, "end": topic.end})


class HttpExecutor:
    """An executor whose tasks are done at once."""

    def __init__(self):
        self.ended = []
        self.ended_count = 0
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.server = HttpServer()
        self.server.route("POST", "/rattanwing/run-start", self.start)
        self.server.route("POST", "/rattanwing/run-stop", self.ignore)
        self.server.route("POST", "/rattanwing/pace", self.ignore)
        self.server.route("POST", "/rattanwing/hold", self.hold)

    def answer(self, **fields):
        clock_ms = int((time.monotonic() - self.started_at) * 1000)
        return json_response(200, {"clock_ms": clock_ms, "born": self.born, **fields})

    async def start(self, request):
        order = json.loads(request.body)
        self.ended_count += 1
        run = order["task"], order["attempt"], "done", ""
        self.ended.append([self.ended_count, *run])
        return self.answer()

    async def ignore(self, _request):
        return self.answer()

    async def hold(self, request):
        order = json.loads(request.body)
        self.ended = [end for end in self.ended if end[0] > order["ack_offset"]]
        if not self.ended:
            with trio.move_on_after(min(0.1, order.get("wait_ms", 0) / 1000)):
                await trio.sleep_forever()
        return self.answer(running=[], ended=self.ended)


class Programs:
    """One entry and one agent with an executor, and the store.

    :param limits: the settings ``memory_mb`` and ``max_fds`` of both programs.
    """

    def __init__(self, **limits):
        subnet = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.ips = {"entry": f"{subnet}.1", "agent": f"{subnet}.2"}
        self.store_ip = f"{subnet}.9"
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}
        self.stopping = False
        self.executor = HttpExecutor()
        listens = {
            "entry": 'front = "{0}:8161"\nready = "{0}:8167"',
            "agent": 'control = "{0}:8166"',
        }
        for role, ip in self.ips.items():
            listen = listens[role].format(ip)
            fields = {"name": f"{role}-1", "ip": ip, "listen": listen, **limits}
            text = SETTINGS.format(store=self.store_ip, **fields)
            self.settings_path(role).write_text(text)
        self.thread = threading.Thread(target=trio.run, args=(self.serve,))
        self.thread.start()
        try:
            for role in self.ips:
                self.start(role)
            wait_for(lambda: self.heartbeat() == 200, "the agent listens")
            wait_for(lambda: self.is_ready(), "the entry is ready")
            wait_for(lambda: self.submit_and_complete(), "a first job completes")
        except BaseException:
            self.close()
            raise

    def settings_path(self, role):
        return Path(self.folder.name) / f"{role}.toml"

    def start(self, role):
        log = Path(self.folder.name) / f"{role}.log"
        with log.open("ab") as output:
            self.processes[role] = subprocess.Popen(
                [sys.executable, "-m", "rattanwing.platform", role],
                cwd=ROOT,
                env={"RATTANWING_CONFIG": str(self.settings_path(role))},
                stdout=output,
                stderr=output,
            )

    async def serve(self):
        """Serve the store and the executor, and send the executor's heartbeats."""
        store = HttpStore()
        store.store.topic("op").put("config", json.dumps(CONFIG).encode())
        async with trio.open_nursery() as nursery:
            served = {
                f"{self.store_ip}:{STORE_PORT}": store.server,
                f"{self.ips['agent']}:{APP_PORT}": self.executor.server,
            }
            for address, server in served.items():
                await nursery.start(
                    serve_http, server, address, trio.sleep_forever, 0.0
                )
            while not self.stopping:
                await trio.to_thread.run_sync(self.heartbeat)
                await trio.sleep(BEAT_INTERVAL_S)
            nursery.cancel_scope.cancel()

    def heartbeat(self):
        """Send one heartbeat of the executor; return the status, 0 for no answer."""
        body = {
            **ANNOUNCEMENT,
            "backend": SERVICE,
            "addr": f"{self.ips['agent']}:{APP_PORT}",
            "born": self.executor.born,
            "seq": int((time.time() - self.executor.born / 1000) * 1000),
        }
        target = "/rattanwing/instances/i-1"
        try:
            return call(self.address("control"), "PUT", target, body, timeout=5)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def address(self, door, role=None):
        """Return the address of a door, which only one role has unless it is given."""
        if role is None:
            role = "agent" if door == "control" else "entry"
        return f"{self.ips[role]}:{PORTS[door]}"

    def is_ready(self):
        return call(self.address("ready"), "GET", "/rattanwing/ready")[0] == 200

    def submit_and_complete(self):
        """Submit a job; return whether it was taken, and wait until it completes."""
        target = f"{PREFIX}{random.getrandbits(64):016x}"
        headers = {"Host": HOST}
        front = self.address("front")
        job = {"spec": "x", "steps": [{"count": 2, "cpu": 100}]}
        if call(front, "POST", target, job, headers, timeout=10)[0] != 200:
            return False

        def is_completed():
            status, _, body = call(front, "GET", target, None, headers, timeout=10)
            return status == 200 and json.loads(body)["state"] == "completed"

        return wait_for(is_completed, "the job completes")

    def peak_rss_mb(self, role):
        """Return the largest resident memory of a process since the last reset."""
        status = Path(f"/proc/{self.processes[role].pid}/status").read_text()
        (line,) = [text for text in status.splitlines() if text.startswith("VmHWM")]
        return int(line.split()[1]) / 1024

    def reset_peak(self, role):
        Path(f"/proc/{self.processes[role].pid}/clear_refs").write_text("5")

    def count_descriptors(self, role):
        return len(os.listdir(f"/proc/{self.processes[role].pid}/fd"))

    def log_text(self, role):
        return (Path(self.folder.name) / f"{role}.log").read_text(errors="replace")

    def close(self):
        self.stopping = True
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
            process.wait()
        self.thread.join()
        self.folder.cleanup()
