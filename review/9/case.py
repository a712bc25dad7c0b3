"""A cancel that was acknowledged with 410 does not stop the job that it names."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage_2 import TROUBLE, Executor, new_job, run_case

AWAY_S = 3.0
"""For how long the store turns one entry away; the pages allow 9 s."""

LEAVES_AFTER_S = 0.125
"""Half of the objective of 250 ms, as for the clients that give up."""

CANCEL_S = 3.0
"""``cancel_ms``."""

CONTACT_S = 3.0
"""``contact_ms``: machines are in touch this long after the end of a disruption."""

JOBS = 4
BOOKING = {
    "spec": "van",
    "steps": [
        {"count": 1, "cpu": 480, "mem_mb": 960, "estimate_ms": 4000},
        {"count": 1, "cpu": 480, "mem_mb": 960, "estimate_ms": 4000, "after": [0]},
        {"count": 1, "cpu": 480, "mem_mb": 960, "estimate_ms": 4000, "after": [1]},
        {"count": 1, "cpu": 480, "mem_mb": 960, "estimate_ms": 4000, "after": [2]},
    ],
}
SMALL = {
    "spec": "x",
    "steps": [{"count": 2, "cpu": 480, "mem_mb": 960, "estimate_ms": 200}],
}


async def play(stage):
    bookings = {}

    def duration_s(task):
        return 4.0 if task.split(".")[0] in bookings else 0.2

    await stage.start(
        lambda number: Executor(stage, number, ["a", f"r1-{number}"], duration_s)
    )
    others = [n for n in range(1, 4) if f"entry-{n}" != stage.owner()]
    away, calm = others
    stage.record(f"the owner is {stage.owner()}")
    stage.spawn(usual_load(stage, calm))
    await asyncio.sleep(3)
    if TROUBLE:
        stage.record(f"the store turns entry-{away} away")
        stage.doors[f"entry-{away}"].closed = True
    await asyncio.gather(
        *(book_and_cancel(stage, away, calm, bookings, 0.3 * n) for n in range(JOBS))
    )
    await asyncio.sleep(max(0.0, AWAY_S - 1.5))
    stage.doors[f"entry-{away}"].closed = False
    stage.record(f"the store serves entry-{away} again")
    in_touch_from = stage.now() + CONTACT_S
    await asyncio.sleep(16)
    for job in bookings:
        await stage.call(calm, "GET", job)
    return [
        f"{task} starts {at - bookings[task.split('.')[0]]:.3f} s after its job's "
        f"cancel was acknowledged"
        for at, _executor, task, _attempt in stage.starts
        if at > bookings.get(task.split(".")[0], at) + CANCEL_S and at > in_touch_from
    ]


async def usual_load(stage, entry):
    """Hand in small jobs all the while."""
    while True:
        stage.spawn(stage.call(entry, "POST", new_job(), SMALL))
        await asyncio.sleep(0.12)


async def book_and_cancel(stage, away, calm, bookings, after_s):
    """Hand a job in, leave early, and cancel it until that is acknowledged."""
    await asyncio.sleep(after_s)
    job = new_job()
    await stage.call(away, "POST", job, BOOKING, limit_s=LEAVES_AFTER_S)
    while True:
        status, _value = await stage.call(calm, "DELETE", job)
        if status in (200, 410):
            bookings[job] = stage.now()
            return
        await asyncio.sleep(0.1)


run_case(Path(__file__).parent, play)
