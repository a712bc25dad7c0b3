"""A small deployment: the project's programs as processes, stand-ins around them."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from standins import Executor, Store, call

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("nord-it-mi", "nord-it-bg", "nord-it-bs")
HOST = "nony24.example"
PREFIX = "/lohu930/"
BACKEND = "huvo11a"
LIMIT_S = 115

SETTINGS = """
node = "{node}"
role = "{role}"
machine_class = "{kind}"
serves = ["{kind}"]
ip = "{ip}"
zone = "{zone}"
region = "nord-it"
port_range = [{first},{last}]
bootstrap = true
heartbeat_ms = 1500
orders = "request"
[listen]
{listen}
[limits]
cpu_share = 0.645
cores = 1
memory_mb = 300
[bounds]
grace_s = 6
hold_max_ms = 10000
status_s = 120
[platform]
addr = "{store}"
form = "log"
"""


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Node:
    """One program of the deploy file, as a process."""

    def __init__(self, name, role, ip, settings):
        self.name = name
        self.role = role
        self.ip = ip
        self.settings = settings
        self.process = None
        self.log = settings.with_suffix(".log")

    async def start(self):
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "RATTANWING_CONFIG": str(self.settings),
            "PYTHONPATH": "target/deps",
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "rattanwing.platform",
                self.role,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def text(self):
        return self.log.read_text(errors="replace")


class Deployment:
    """Entries, agents with an executor each, and the store.

    :param trouble: whether the disruption is to be brought about.
    """

    def __init__(self, record_path, entries=3, agents=3, store_kwargs=None, **executor):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began_at = time.monotonic()
        self.resources = contextlib.ExitStack()
        self.record_file = self.resources.enter_context(open(record_path, "w"))
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.subnet = self.find_subnet()
        self.port = self.find_ports()
        self.store = Store(self.ip(250), self.port, **(store_kwargs or {}))
        self.entries = {}
        self.agents = {}
        self.executors = {}
        for number in range(1, entries + 1):
            self.add_entry(number)
        for number in range(1, agents + 1):
            self.add_agent(number, executor)

    @staticmethod
    def find_subnet():
        for _ in range(50):
            subnet = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for last in (11, 12, 31, 32):
                    with socket.socket() as probe:
                        probe.bind((f"{subnet}.{last}", 9464))
            except OSError:
                continue
            return subnet
        raise CannotRun("no free loopback addresses")

    def find_ports(self):
        for _ in range(50):
            first = random.randrange(20000, 30000)
            try:
                for port in range(first, first + 24):
                    with socket.socket() as probe:
                        probe.bind((self.ip(250), port))
            except OSError:
                continue
            return first
        raise CannotRun("no free ports")

    def ip(self, last):
        return f"{self.subnet}.{last}"

    def write_settings(self, name, role, kind, ip, zone, listen):
        path = Path(self.folder.name) / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                node=name,
                role=role,
                kind=kind,
                ip=ip,
                zone=zone,
                first=self.port + 4,
                last=self.port + 19,
                listen=listen,
                store=self.store.addr,
            )
        )
        return path

    def add_entry(self, number):
        zone = ZONES[(number - 1) % 3]
        name, ip = f"front-{number}", self.ip(10 + number)
        listen = f'front = "{ip}:{self.port + 1}"\nready = "{ip}:{self.port + 2}"'
        path = self.write_settings(name, "entry", "front", ip, zone, listen)
        self.entries[name] = Node(name, "entry", ip, path)

    def add_agent(self, number, options):
        zone = ZONES[(number - 1) % 3]
        name, ip = f"side-{number}", self.ip(30 + number)
        control = f"{ip}:{self.port + 3}"
        listen = f'control = "{control}"'
        path = self.write_settings(name, "agent", "side", ip, zone, listen)
        self.agents[name] = Node(name, "agent", ip, path)
        self.executors[name] = Executor(
            f"i-{number:08x}",
            ip,
            self.port + 20,
            control,
            BACKEND,
            zone,
            self.record,
            **options,
        )

    # Record

    def record(self, line):
        stamp = time.monotonic() - self.began_at
        self.record_file.write(f"{stamp:9.3f} {line}\n")
        self.record_file.flush()

    # Start and end

    async def start(self, max_attempts=3):
        await self.store.server.start()
        route = {
            "name": "r-1",
            "host": HOST,
            "path_prefix": PREFIX,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 250,
            "priority": 0,
            "backend": BACKEND,
            "max_attempts": max_attempts,
            "stretch": 1.5,
        }
        service = {"name": BACKEND, "max_conns": 64, "rejects_overload": False}
        config = {"version": 7, "routes": [route], "services": [service], "limits": {}}
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        for node in (*self.entries.values(), *self.agents.values()):
            await node.start()
        for executor in self.executors.values():
            await executor.start()
        for name in self.entries:
            await self.until(lambda name=name: self.is_ready(name), 25, f"{name} ready")
        await self.until(self.work_flows, 30, "a first job to complete")

    async def close(self):
        for executor in self.executors.values():
            if executor.up:
                executor.record = lambda _line: None
                await executor.crash()
        for node in (*self.entries.values(), *self.agents.values()):
            await node.kill()
        await self.store.server.stop()
        if os.environ.get("KEEP_LOGS"):
            for path in Path(self.folder.name).glob("*.log"):
                Path(os.environ["KEEP_LOGS"], path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()
        self.resources.close()

    async def until(self, check, limit_s, what, pause_s=0.1):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await check():
                return
            await asyncio.sleep(pause_s)
        raise CannotRun(f"waited {limit_s} s for: {what}")

    async def is_ready(self, name):
        node = self.entries[name]
        if node.process.returncode is not None:
            raise CannotRun(f"{name} has ended: {node.text()[-800:]}")
        try:
            address = f"{node.ip}:{self.port + 2}"
            status, _ = await call(address, "GET", "/rattanwing/ready", timeout=1.0)
        except (TimeoutError, OSError, ValueError):
            return False
        return status == 200

    async def work_flows(self):
        """Run one job through; all agents must have their streams."""
        job = self.new_id()
        name = next(iter(self.entries))
        if await self.submit(name, job, [{"count": 1, "cpu": 100}], ms=50) != 200:
            return False
        for _ in range(50):
            if await self.state(name, job) == (200, "completed"):
                return True
            await asyncio.sleep(0.1)
        return False

    # Clients

    @staticmethod
    def new_id():
        return f"{random.getrandbits(64):016x}"

    async def request(self, name, method, job="", body=None, timeout=3.0):
        """Make a client's call; status 0 stands for no answer."""
        node = self.entries[name]
        address = f"{node.ip}:{self.port + 1}"
        try:
            status, content = await call(
                address, method, PREFIX + job, body, HOST, timeout
            )
        except (TimeoutError, OSError, ValueError) as error:
            status, content = 0, type(error).__name__
        self.record(f"client {method} {job or '(count)'} at {name}: {status} {content}")
        return status, content

    async def submit(self, name, job, steps, ms, **fields):
        body = {"spec": json.dumps({"ms": ms}), "steps": steps, **fields}
        status, _ = await self.request(name, "POST", job, body)
        return status

    async def state(self, name, job):
        status, content = await self.request(name, "GET", job)
        return status, (content or {}).get("state") if status == 200 else None

    def owner(self):
        """Return the name of the entry that wrote the newest owner record."""
        value = self.store.topic("keyed.work").newest["owner"][0]
        return next(name for name in self.entries if name.encode() in value)


def run(main, *args):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def limited():
        return await asyncio.wait_for(main(*args), LIMIT_S)

    try:
        broken = asyncio.run(limited())
    except (TimeoutError, CannotRun, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
