"""Runs a small deployment as separate operating-system processes on loopback."""

from __future__ import annotations

import http.client
import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

POLL_INTERVAL_S = 0.05
"""Seconds between two checks of a condition."""

WAIT_LIMIT_S = 60.0
"""Seconds after which a wait fails, so that a test does not hang."""

DESCRIBED_LINES = 12
"""Number of the last lines of a process's log that the message of a failure has."""


def free_address():
    """Return an ``ip:port`` on loopback that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def call(address, method, target, body=None, headers=None, timeout=20):
    """Send an HTTP request and return the status, headers and body of the response.

    :param body: bytes, or a value that is encoded as JSON, or ``None``.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body)
        connection.request(method, target, data, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_for(check, condition):
    """Poll until ``check`` returns a true value, and return that value.

    A refused or broken connection counts as false.

    :param condition: text that describes the condition, for the failure message.
    :raises AssertionError: when the condition did not hold within ``WAIT_LIMIT_S``.
    """
    end = time.monotonic() + WAIT_LIMIT_S
    while time.monotonic() < end:
        try:
            result = check()
        except (OSError, http.client.HTTPException):
            result = None
        if result:
            return result
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"condition not met in time: {condition}")


class Deployment:
    """One log, some entries, and agents with one executor and one worker each.

    :param entries: number of entries.
    :param agents: number of agents.
    :ivar holders: bound sockets that reserve the addresses of the processes.
    """

    def __init__(self, entries=2, agents=3):
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}
        self.holders = []
        self.log = self.reserve()
        self.entries = {
            f"entry-{n}": (self.reserve(), self.reserve())
            for n in range(1, entries + 1)
        }
        self.agents = {
            f"agent-{n}": (self.reserve(), self.reserve()) for n in range(1, agents + 1)
        }
        self.settings = {"log": self.standin("log", "standin_log", self.log)}
        for number, name in enumerate(self.entries, 1):
            self.settings[name] = self.entry_settings(name, number)
        for number, name in enumerate(self.agents, 1):
            executor, worker = self.agents[name]
            self.settings[f"executor-{number}"] = self.standin(
                f"executor-{number}", "standin_executor", executor
            )
            self.settings[f"worker-{number}"] = self.standin(
                f"worker-{number}", "standin_worker", worker
            )
            self.settings[name] = self.agent_settings(name, number)

    def reserve(self):
        """Return an address on loopback that nobody else gets until the close.

        A bound socket keeps the port. A process that knows the address may listen
        there, as it sets ``SO_REUSEADDR`` as well.
        """
        holder = socket.socket()
        self.holders.append(holder)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{holder.getsockname()[1]}"

    def standin(self, name, role, address):
        return {"name": name, "failure_domain": "fd-1", role: {"http": address}}

    def peer_list(self):
        return [{"name": n, "address": a[1]} for n, a in self.entries.items()]

    def entry_settings(self, name, number):
        http_address, peers = self.entries[name]
        return {
            "name": name,
            "failure_domain": f"fd-{number}",
            "entry": {
                "http": http_address,
                "peers": peers,
                "log": self.log,
                "entries": self.peer_list(),
                "drain_s": 0.2,
            },
        }

    def agent_settings(self, name, number):
        executor, worker = self.agents[name]
        return {
            "name": name,
            "failure_domain": f"fd-{number}",
            "agent": {
                "entries": self.peer_list(),
                "executor": {
                    "service": "collections",
                    "address": executor,
                    "cpu": 4,
                    "memory_mb": 4096,
                },
                "worker": {
                    "address": worker,
                    "rack": "rack-1",
                    "cpu": 32,
                    "memory_mb": 128000,
                },
            },
        }

    def start(self, name):
        path = Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        log = Path(self.folder.name) / f"{name}.log"
        with log.open("ab") as stderr:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "rattanwing.cmd.daemon", "--settings", path],
                stderr=stderr,
            )

    def start_all(self):
        for name in self.settings:
            self.start(name)
        for name in self.entries:
            self.wait_until_ready(name)

    def wait_until_ready(self, entry):
        """Wait until the entry has every agent and can reach every executor."""
        self.wait_until_connected(entry, len(self.agents))
        self.wait_until_executors_serve(entry)

    def wait_until_connected(self, entry, agents):
        def check():
            status = self.status(entry)
            return status["agents"] == agents and status["log_available"]

        self.wait_for(check, f"{entry} has {agents} agents")

    def wait_until_executors_serve(self, entry):
        """Wait until the entry sends requests to the executor of every agent."""

        def check():
            services = json.loads(self.call(entry, "GET", "/api/services")[2])
            executors = [e for service in services for e in service["executors"]]
            serving = [e for e in executors if e["connected"] and e["reachable"]]
            return len(serving) == len(self.agents)

        self.wait_for(check, f"{entry} can reach {len(self.agents)} executors")

    def wait_for(self, check, condition):
        """Poll as :func:`wait_for`; a failure tells the state of the processes."""
        try:
            return wait_for(check, condition)
        except AssertionError as error:
            states = [self.describe(name) for name in self.processes]
            raise AssertionError("\n".join([str(error), *states])) from error

    def describe(self, name):
        """Return whether a process runs, and the end of its log."""
        code = self.processes[name].poll()
        state = "runs" if code is None else f"ended with {code}"
        lines = self.log_text(name).splitlines()[-DESCRIBED_LINES:]
        return "\n  ".join([f"{name} {state}", *lines])

    def status(self, entry):
        return json.loads(self.call(entry, "GET", "/api/status")[2])

    def call(self, entry, method, target, body=None, headers=None):
        return call(self.entries[entry][0], method, target, body, headers)

    def job(self, entry, name):
        status, _headers, body = self.call(entry, "GET", f"/api/jobs/{name}")
        return json.loads(body) if status == 200 else None

    def wait_for_job(self, entry, name, state):
        def check():
            row = self.job(entry, name)
            return row if row and row["state"] == state else None

        return self.wait_for(check, f"job {name} is {state}")

    def finished_without_rerun(self, job):
        """Return whether the job ended once and none of its work was repeated.

        Reads the job's records from the log. Several attempts are allowed, because a
        start may be refused. Work was repeated if an attempt that may have run stopped
        without a checkpoint.
        """
        finishes = 0
        for shard in range(3):
            target = f"/streams/shard-{shard}?from=0"
            stored = json.loads(call(self.log, "GET", target)[2])["records"]
            for record in (item["record"] for item in stored):
                if record.get("job") != job:
                    continue
                finishes += record["kind"] == "finish"
                ran = record["kind"] == "stop" and record["ran"]
                if ran and record["checkpoint"] is None:
                    return False
        return finishes == 1

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def wait(self, name):
        return self.processes[name].wait(WAIT_LIMIT_S)

    def log_text(self, name):
        return (Path(self.folder.name) / f"{name}.log").read_text()

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(WAIT_LIMIT_S)
        for holder in self.holders:
            holder.close()
        self.folder.cleanup()
