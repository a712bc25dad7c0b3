"""Lets executors crash one after the other under a job with many checkpoints."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage_3 import Deployment, main, new_id  # noqa: E402

AGENTS = 11
CRASHES = 10
DOWN_S = 2.0
BETWEEN_S = 2.0
ACK_S = 4.0
"""``ack_ms``."""

LARGE = [
    {
        "count": 3_500,
        "cpu": 85,
        "mem_mb": 100,
        "estimate_ms": 150_000,
        "checkpoint": True,
    }
]
SMALL = [{"count": 4, "cpu": 100, "mem_mb": 100, "estimate_ms": 300}]


async def case(trouble: bool) -> bool:
    """Return whether over a fifth of the listed ends are not acknowledged in time."""
    async with Deployment(FOLDER, 2, AGENTS).running() as deployment:
        record = deployment.record
        await trio.sleep(4.0)
        if await deployment.submit("front-1", new_id(), "150 saves", LARGE) != 200:
            raise RuntimeError("the large job was not accepted")
        jobs: list[str] = []

        async def hand_in_jobs() -> None:
            while True:
                job_id = new_id()
                entry = deployment.entries[len(jobs) % 2]
                if await deployment.submit(entry, job_id, "0.3", SMALL) == 200:
                    jobs.append(job_id)
                await trio.sleep(0.25)

        await trio.sleep(15.0)
        executors = list(deployment.executors.values())
        record.write(f"{sum(len(e.running) for e in executors)} runs")
        for executor in executors[:CRASHES]:
            if trouble:
                await executor.crash(DOWN_S)
            await trio.sleep(BETWEEN_S)
        # One task of the large job fails by its own fault, as some always do.
        key, executor = next(
            (key, e) for e in executors for key in e.running if key in e.saves
        )
        executor.end(key, "failed")
        calm_from = record.now()
        record.write("no further disruption")
        deployment.nursery.start_soon(hand_in_jobs)
        await trio.sleep(25.0)
        listed_at = [at for e in executors for at in e.unacknowledged.values()]
        late = sum(record.now() - at > ACK_S for at in listed_at)
        ended = sum(e.end_count for e in executors)
        states = [await deployment.state("front-1", job) for job in jobs[-12:-4]]
        record.write(f"runs: {sum(len(e.running) for e in executors)}")
        record.write(f"{ended} ends, {late} of them listed for over {ACK_S} s")
        record.write(f"states of eight small jobs of the calm time: {states}")
        recent = sum(at > calm_from for at in listed_at)
        record.write(f"{recent} ends of the calm time are not acknowledged")
        return late * 5 > max(ended, 1)


if __name__ == "__main__":
    sys.exit(main(case))
