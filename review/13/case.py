"""Hands in jobs of very many tasks and watches the entries' memory and other jobs."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

import trio

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage_3 import Deployment, main, new_id  # noqa: E402

MEMORY_MB = 300
LARGE_JOBS = 3
LARGE = [{"count": 10_000, "cpu": 480, "mem_mb": 960, "estimate_ms": 1_280}] * 10
SMALL = [{"count": 6, "cpu": 480, "mem_mb": 960, "estimate_ms": 1_280}]
ORDINARY = [{"count": 36, "cpu": 480, "mem_mb": 960, "estimate_ms": 1_280}]
WATCHED_S = 60.0
RESTART_S = 1.0


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes; 0 if it is gone."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except OSError:
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def case(trouble: bool) -> bool:
    """Return whether two entries ended three times each for their memory."""
    async with Deployment(FOLDER, 3, 3, MEMORY_MB).running() as deployment:
        record = deployment.record
        await trio.sleep(4.0)
        ends = dict.fromkeys(deployment.entries, 0)

        async def limit_memory(name: str) -> None:
            # The platform kills a process that exceeds its memory and restarts it.
            while True:
                process = deployment.processes[name]
                used_mb = memory_mb(process.pid)
                if used_mb > MEMORY_MB:
                    ends[name] += 1
                    record.write(f"{name} holds {used_mb:.0f} MB and is killed")
                    process.send_signal(signal.SIGKILL)
                    process.wait()
                    await trio.sleep(RESTART_S)
                    deployment.start(name)
                await trio.sleep(0.05)

        for name in deployment.entries:
            deployment.nursery.start_soon(limit_memory, name)
        steps = LARGE if trouble else ORDINARY
        for number in range(LARGE_JOBS):
            entry = deployment.entries[number % 3]
            await deployment.submit(entry, new_id(), "1.28", steps)
        began_at = record.now()
        small: dict[str, float] = {}
        while record.now() - began_at < WATCHED_S:
            entry = deployment.entries[len(small) % 3]
            job_id = new_id()
            if await deployment.submit(entry, job_id, "0.5", SMALL) == 200:
                small[job_id] = record.now()
            await trio.sleep(1.0)
        begun = {
            task.split(".")[0]
            for executor in deployment.executors.values()
            for task, _attempt, _at in executor.started
        }
        record.write(f"ends for memory: {ends}")
        record.write(
            f"{len(small)} small jobs accepted; {len(small.keys() & begun)} begun"
        )
        return sum(count >= 3 for count in ends.values()) >= 2


if __name__ == "__main__":
    sys.exit(main(case))
