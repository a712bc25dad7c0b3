"""Overhead of the request path and cost of an idle agent, in separate processes."""

from __future__ import annotations

import http.client
import json
import statistics
import threading
import time

from bench.procfs import cpu_s, resident_mb
from bench.rows import Row, quantile
from tests.processes import Deployment, call

REPETITIONS = 3
REQUESTS = 400
CLIENTS = 4

SERVICE_MS = 20
"""Execution time of each request, in milliseconds."""

IDLE_S = 10.0
"""Seconds for which the idle agent is measured."""

OVERHEAD_P50_LIMIT = 2.0
OVERHEAD_P99_LIMIT = 3.0
"""Bounds of the latency through an entry over that of a direct request."""

AGENT_MEMORY_MB = 32.0
"""Bound of an agent's resident memory, in MiB."""

AGENT_CPU_SHARE = 0.037
"""Bound of an idle agent's processor time, as a share of one core."""

AGENT_BYTES_S = 26_000
"""Bound of the bytes a second that an idle agent sends."""


def send_requests(address: str, target: str, count: int, out: list[float]) -> None:
    """Send requests one after the other on one connection.

    :param out: receives the latency in seconds of each request that returns status 200.
    """
    connection = http.client.HTTPConnection(address, timeout=20)
    for _number in range(count):
        started = time.perf_counter()
        connection.request("POST", target, b"{}")
        response = connection.getresponse()
        response.read()
        if response.status == 200:
            out.append(time.perf_counter() - started)
    connection.close()


def measure_latencies(address: str, target: str) -> list[float]:
    """Send ``REQUESTS`` requests from several clients; return latencies in seconds."""
    out: list[float] = []
    threads = [
        threading.Thread(
            target=send_requests, args=(address, target, REQUESTS // CLIENTS, out)
        )
        for _number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return out


def overhead_rows(deployment: Deployment) -> list[Row]:
    """Return the latency through an entry divided by that of direct requests.

    Direct and forwarded requests alternate, and each value is the median of the ratios.
    """
    query = f"?delay_ms={SERVICE_MS}"
    entry = deployment.entries["entry-1"][0]
    executor = deployment.agents["agent-1"][0]
    measure_latencies(entry, f"/services/collections/warm{query}")
    pairs = [
        (
            measure_latencies(executor, f"/straight{query}"),
            measure_latencies(entry, f"/services/collections/through{query}"),
        )
        for _number in range(REPETITIONS)
    ]
    rows = []
    for name, share, bound in (
        ("p50", 0.5, OVERHEAD_P50_LIMIT),
        ("p99", 0.99, OVERHEAD_P99_LIMIT),
    ):
        ratios = [quantile(t, share) / quantile(s, share) for s, t in pairs]
        detail = {
            "worst": round(max(ratios), 3),
            "straight_ms": [round(quantile(s, share) * 1000, 2) for s, _ in pairs],
            "through_ms": [round(quantile(t, share) * 1000, 2) for _, t in pairs],
            "answered": sum(len(t) for _, t in pairs),
        }
        median = statistics.median(ratios)
        rows.append(
            Row(f"entry_overhead_{name}", median, "ratio", bound, detail=detail)
        )
    return rows


def session_counters(deployment: Deployment, agent: str) -> tuple[float, float]:
    """Return the numbers of messages and bytes that an agent has sent to entries."""
    address = deployment.settings[agent]["agent"]["http"]
    text = call(address, "GET", "/metrics")[2].decode()
    values = dict(
        line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")
    )
    messages = float(values["rattanwing_peer_sent_messages"])
    return messages, float(values["rattanwing_peer_sent_bytes"])


def idle_rows(deployment: Deployment, agent: str) -> list[Row]:
    """Return the traffic, processor time and memory of an agent without work."""
    pid = deployment.processes[agent].pid
    messages, sent = session_counters(deployment, agent)
    cpu = cpu_s(pid)
    started = time.monotonic()
    time.sleep(IDLE_S)
    elapsed = time.monotonic() - started
    share = (cpu_s(pid) - cpu) / elapsed
    later_messages, later_sent = session_counters(deployment, agent)
    bytes_s = (later_sent - sent) / elapsed
    return [
        Row("idle_agent_messages", (later_messages - messages) / elapsed, "1/s"),
        Row("idle_agent_sent", bytes_s, "B/s", AGENT_BYTES_S),
        Row("idle_agent_cpu", share, "share of a core", AGENT_CPU_SHARE),
        Row("idle_agent_memory", resident_mb(pid), "MiB", AGENT_MEMORY_MB),
    ]


def run() -> list[Row]:
    """Run the benchmarks of this module."""
    deployment = Deployment(entries=2, agents=3)
    for number, name in enumerate(deployment.agents, 1):
        settings = deployment.settings[name]["agent"]
        settings["http"] = f"127.0.0.1:{21000 + number}"
    # Row agent_memory is for an agent without an HTTP interface.
    del deployment.settings["agent-3"]["agent"]["http"]
    try:
        deployment.start_all()
        rows = overhead_rows(deployment)
        rows += idle_rows(deployment, "agent-2")
        pid = deployment.processes["agent-3"].pid
        rows.append(Row("agent_memory", resident_mb(pid), "MiB", AGENT_MEMORY_MB))
        return rows
    finally:
        deployment.close()


if __name__ == "__main__":
    print(json.dumps([row.to_json() for row in run()], indent=1))
