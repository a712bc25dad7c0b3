"""One heartbeat of another writer names a service that no configuration has."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment import CannotRun, Deployment, run  # noqa: E402
from standins import call  # noqa: E402

JOBS = 6
TASK_MS = 6000
ONE_TASK = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": TASK_MS}]
AGENT = "side-1"


class Runs:
    """What executors began and ended, from their record."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record
        self.running = {}
        self.broken = []
        deployment.record = self.take
        for executor in deployment.executors.values():
            executor.record = self.take

    def take(self, line):
        self.record(line)
        kind, *words = line.split()
        if kind not in ("start", "end", "gone"):
            return
        row = dict(word.split("=") for word in words)
        places = self.running.setdefault(row["task"], set())
        place = (row["run"], row["on"])
        if kind != "start":
            places.discard(place)
            return
        places.add(place)
        if len(places) > 1:
            self.broken.append(row["task"])
            self.record(f"TWICE: {row['task']} runs at the same time as {places}")


def odd_heartbeat(deployment):
    """Return a heartbeat of another writer; its service isn't in the configuration."""
    return {
        "backend": "elsewhere",
        "addr": f"{deployment.ip(240)}:{deployment.port + 20}",
        "zone": deployment.executors[AGENT].zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": 32000, "mem_mb": 128000, "gpu": 0},
        "labels": ["a", "r1-1"],
        "clock_ms": 100,
        "seq": 1,
        "born": int(time.time() * 1000),
    }


async def main():
    deployment = Deployment(HERE / "record.txt")
    runs = Runs(deployment)
    try:
        await deployment.start()
        await asyncio.sleep(3.5)  # contact_ms without any disruption
        for _ in range(JOBS):
            job = deployment.new_id()
            if await deployment.submit("front-1", job, ONE_TASK, ms=TASK_MS) != 200:
                raise CannotRun("a job was not accepted")
        await asyncio.sleep(1.0)
        executor = deployment.executors[AGENT]
        if not executor.runs:
            raise CannotRun(f"nothing runs at {AGENT}")
        if deployment.trouble:
            body = odd_heartbeat(deployment)
            target = "/rattanwing/instances/i-other"
            status, _ = await call(executor.control, "PUT", target, body)
            deployment.record(
                f"heartbeat of another writer at {AGENT}: service "
                f"{body['backend']!r}, answered {status}"
            )
        await asyncio.sleep(TASK_MS / 1000 + 8)
        return bool(runs.broken)
    finally:
        await deployment.close()


run(main)
