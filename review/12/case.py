"""Asks for the pending jobs while the only host with room refuses starts with 503."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage_3 import PREFIX, Deployment, main, new_id  # noqa: E402

AGENTS = 11
JOBS = 20
SHED_S = 6.5
WAITED_S = 5.0
"""``visible_ms`` and 2 s."""

FULL_HOST = [
    {"count": AGENTS - 1, "cpu": 32_000, "mem_mb": 1_000, "estimate_ms": 40_000}
]


async def case(trouble: bool) -> bool:
    """Return whether an entry gave under half of the jobs that waited."""
    async with Deployment(FOLDER, 2, AGENTS).running() as deployment:
        record = deployment.record
        await trio.sleep(4.0)
        job_id = new_id()
        if await deployment.submit("front-1", job_id, "40", FULL_HOST) != 200:
            raise RuntimeError("the job that fills the hosts was not accepted")
        free = [e for e in deployment.executors.values() if not e.running]
        with trio.fail_after(10):
            while len(free) != 1:
                await trio.sleep(0.1)
                free = [e for e in deployment.executors.values() if not e.running]
        record.write(f"all hosts but {free[0].name} are full")
        free[0].sheds = trouble
        shed_until = record.now() + SHED_S
        if trouble:
            record.write(f"{free[0].name} answers starts with 503 for {SHED_S} s")
        accepted: dict[str, float] = {}

        async def submit(entry: str) -> None:
            job_id = new_id()
            step = [{"cpu": 500, "mem_mb": 256, "estimate_ms": 3_000}]
            if await deployment.submit(entry, job_id, "3", step) == 200:
                accepted[job_id] = record.now()

        async with trio.open_nursery() as nursery:
            for number in range(JOBS):
                nursery.start_soon(submit, deployment.entries[number % 2])
        broken = False
        while record.now() < shed_until - 0.1:
            for entry in deployment.entries:
                asked_at = record.now()
                begun = jobs_begun(deployment)
                waiting = [
                    job
                    for job, at in accepted.items()
                    if job not in begun and asked_at - at > WAITED_S
                ]
                status, value = await deployment.call(entry, "GET", PREFIX)
                if status != 200 or not waiting:
                    continue
                record.write(
                    f"{entry} says {value['pending']} jobs are pending; {len(waiting)}"
                    f" that were accepted over {WAITED_S} s before haven't begun"
                )
                broken |= value["pending"] < len(waiting) / 2
            await trio.sleep(0.25)
        free[0].sheds = False
        record.write(f"{free[0].name} starts runs again")
        await trio.sleep(8.0)
        late = accepted.keys() - jobs_begun(deployment)
        record.write(f"{len(late)} of {len(accepted)} jobs haven't begun at the end")
        record.write("rule broken" if broken else "rule held")
        return broken


def jobs_begun(deployment: Deployment) -> set[str]:
    """Return the ids of the jobs of which a task has started."""
    return {
        task.split(".")[0]
        for executor in deployment.executors.values()
        for task, _attempt, _at in executor.started
    }


if __name__ == "__main__":
    sys.exit(main(case))
