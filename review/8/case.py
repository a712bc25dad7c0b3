"""An executor that has crashed gets no work again, and its jobs wait for ever."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage_2 import TROUBLE, Executor, NoAnswerError, new_job, run_case

HANGING_S = 5.5
HANGING_SHARE = 0.4
"""For how long one executor leaves which share of its calls unanswered."""

TIMES = 2
"""How often it does so."""

DOWN_S = 3.5
EXECUTORS = 11
FINISH_S = 14.0
SILENT_S = 50.0
"""For how long jobs are watched after the executor is back."""


def job(label):
    return {
        "spec": "x",
        "steps": [
            {
                "count": 1,
                "cpu": 480,
                "mem_mb": 960,
                "estimate_ms": 300,
                "constraints": label,
            }
        ],
    }


async def play(stage):
    hanging = False
    luck = random.Random(7)

    def hang(_path, _order):
        if hanging and luck.random() < HANGING_SHARE:
            raise NoAnswerError
        return

    def make(number):
        kind = "b" if number == EXECUTORS else "a"
        executor = Executor(
            stage, number, [kind, f"r1-{(number + 2) // 3}"], lambda _task: 0.3
        )
        if kind == "b":
            executor.on_call = hang
        return executor

    await stage.start(make)
    await asyncio.sleep(2)
    accepted = {}

    async def hand_in(entry, label):
        name = new_job()
        at = await stage.submit(entry, name, job(label))
        if at is not None:
            accepted[name] = at

    async def traffic(until):
        number = 0
        while stage.now() < until:
            number += 1
            stage.spawn(hand_in(1 + number % 3, "b" if number % 3 == 0 else "a"))
            await asyncio.sleep(0.1)

    begin = stage.now()
    load = stage.spawn(traffic(begin + 2 + TIMES * (HANGING_S + 0.5) + DOWN_S + 3))
    await asyncio.sleep(2)
    executor = stage.executors[EXECUTORS]
    if TROUBLE:
        for _ in range(TIMES):
            stage.record(f"{executor.name} leaves {HANGING_SHARE} of calls unanswered")
            hanging = True
            await asyncio.sleep(HANGING_S)
            hanging = False
            stage.record(f"{executor.name} answers all calls")
            await asyncio.sleep(0.5)
        await executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.start()
    await load
    stage.record("the traffic ends")
    back_at = stage.now()
    await asyncio.sleep(FINISH_S)
    unfinished = []
    for name in accepted:
        status, value = await stage.call(1, "GET", name)
        if status != 200 or value["state"] != "completed":
            unfinished.append(name)
    await asyncio.sleep(max(0.0, SILENT_S - (stage.now() - back_at)))
    broken = []
    for name in unfinished:
        _status, value = await stage.call(2, "GET", name)
        starts = [row for row in stage.starts if row[2].startswith(name)]
        if value != {"state": "completed"} and not any(
            row[0] > back_at for row in starts
        ):
            broken.append(
                f"{name} is {value} {stage.now() - back_at:.0f} s after the traffic; "
                f"nothing of it was started, and {executor.name} runs "
                f"{len(executor.running)} tasks"
            )
    return broken


run_case(Path(__file__).parent, play, executors=EXECUTORS)
