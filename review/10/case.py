"""Tasks that last stand still for half a minute after the loss of one executor."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage_2 import TROUBLE, Executor, NoAnswerError, new_job, run_case

LATE_SHARE = 0.5
LATE_S = (2.0, 12.0)
LATE_FOR_S = 5.5
"""Which share of the orders is carried out how late, and for how long that lasts."""

CONTACT_S = 3.0
CALM_S = 4.0
IDLE_S = 3.0
AFTER_RUN_S = 6.0
"""``contact_ms``, and the times of the rule: the span in which a task doesn't run, the
calm span before it, and the time after its last run."""

EXECUTORS = 11
JOBS = 8
TASKS = 6
WATCH = {
    "spec": "x",
    "steps": [
        {
            "count": TASKS,
            "cpu": 2000,
            "mem_mb": 2000,
            "estimate_ms": 500,
            "perpetual": True,
        }
    ],
}


async def play(stage):
    late = False
    unanswered = set()

    def hook(executor):
        def on_call(path, order):
            starts = path == "/rattanwing/run-start"
            if late and starts and random.random() < LATE_SHARE:
                unanswered.add((executor, order["task"], order["attempt"]))
                stage.spawn(carry_out_late(stage, executor, path, order))
                raise NoAnswerError

        return on_call

    def make(number):
        executor = Executor(
            stage, number, ["a", f"r1-{(number + 2) // 3}"], lambda _task: 1e9
        )
        executor.on_call = hook(executor)
        return executor

    await stage.start(make)
    await asyncio.sleep(2)
    began_at = stage.now()
    late = TROUBLE
    stage.record(f"{LATE_SHARE} of the starts are carried out late: {TROUBLE}")
    jobs = []
    for number in range(JOBS):
        jobs.append(new_job())
        await stage.submit(1 + number % 3, jobs[-1], WATCH)
        await asyncio.sleep(0.4)
    await asyncio.sleep(began_at + LATE_FOR_S - stage.now())
    late = False
    stage.record("no further starts are late")
    if TROUBLE:
        lost = max(
            stage.executors.values(),
            key=lambda e: sum((e, *key) in unanswered for key in e.running),
        )
        await lost.crash()
        stage.record(f"{lost.name} is lost for good")
    calm_from = began_at + LATE_FOR_S + LATE_S[1] + CONTACT_S + CALM_S
    await asyncio.sleep(calm_from + IDLE_S - stage.now())
    broken = idle_tasks(stage, jobs, calm_from)
    stage.record(f"{len(broken)} tasks have not run for {IDLE_S} s")
    await asyncio.sleep(8)
    running = sum(len(executor.running) for executor in stage.executors.values())
    stage.record(f"{running} of {JOBS * TASKS} tasks are running")
    return broken


async def carry_out_late(stage, executor, path, order):
    """Carry an order out late, if the executor is there then."""
    await asyncio.sleep(random.uniform(*LATE_S))
    if executor.up:
        status, value = await executor.carry_out(path, order)
        stage.record(
            f"{executor.name}: late start of {order['task']} attempt "
            f"{order['attempt']}: {status} {value.get('reason', '')}"
        )


def idle_tasks(stage, jobs, since):
    """Return a line for each task that has not run since a time, with room for it."""
    used = sum(2000 * len(e.running) for e in stage.executors.values() if e.up)
    room = sum(e.cpu for e in stage.executors.values() if e.up)
    if used * 2 >= room:
        return []
    running = {run.task for e in stage.executors.values() for run in e.running.values()}
    broken = []
    for job in jobs:
        for index in range(TASKS):
            task = f"{job}.0.0.{index}"
            ends = [row[0] for row in stage.ends if row[2] == task]
            starts = [row[0] for row in stage.starts if row[2] == task]
            ended_at = max(ends, default=0.0)
            if task in running or max(starts, default=0.0) > since:
                continue
            if starts and ended_at + AFTER_RUN_S < since and ended_at < since:
                broken.append(
                    f"{task} last ran at {ended_at:.3f} and does not run at "
                    f"{stage.now():.3f}; {used / 1000:.0f} of {room / 1000:.0f} cores "
                    f"are in use"
                )
    return broken


run_case(Path(__file__).parent, play, executors=EXECUTORS)
