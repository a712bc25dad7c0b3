"""Counts the verdicts of requests during a fixed schedule of failures."""

from __future__ import annotations

import trio

from bench.rows import Row
from tests.history import find_violations
from tests.world import run_world

SLOTS = 8
"""Requests that one killed process may leave with an unknown outcome."""

REQUESTS_PER_S = 100
SECONDS = 40


async def inject_failures(world) -> int:
    """Kill two agents and an entry, cut a link and stop an agent gracefully.

    :returns: number of processes killed.
    """
    await trio.sleep(5)
    world.kill("agent-1")
    await trio.sleep(4)
    world.start_agent("agent-1", "fd-1")
    await trio.sleep(4)
    world.network.cut("entry-2", "agent-3")
    await trio.sleep(6)
    world.network.heal()
    await trio.sleep(4)
    world.kill("agent-4")
    await trio.sleep(4)
    world.kill("entry-2")
    await trio.sleep(2)
    await world.stop("agent-5")
    return 3


def run() -> list[Row]:
    """Run the schedule and return the count of requests with an unknown outcome.

    The second row counts violations of the guarantees in :mod:`tests.history`.
    """
    result = {}

    async def load(world):
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS_PER_S * SECONDS):
                live = [
                    e.name
                    for e in world.entry_list
                    if not world.processes[e.name].ended.is_set()
                ]
                entry = live[number % len(live)]
                nursery.start_soon(world.request, entry, f"r{number}")
                await trio.sleep(1 / REQUESTS_PER_S)

    async def scenario(world):
        world.start_entry("entry-1", "fd-1")
        world.start_entry("entry-2", "fd-2")
        for number in range(1, 12):
            world.start_agent(f"agent-{number}", f"fd-{number % 3 + 1}")
        await world.wait_ready(11)
        await world.wait_ready(11, "entry-2")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load, world)
            result["killed"] = await inject_failures(world)

    history = run_world(scenario, seed=3)
    verdicts = [call.verdict for call in history.calls.values()]
    counts = {v: verdicts.count(v) for v in ("ran", "not-run", "may-have-run", None)}
    bound = result["killed"] * SLOTS
    detail = {
        "ran": counts["ran"],
        "not_run": counts["not-run"],
        "caller_lost_its_entry": counts[None],
        "killed": result["killed"],
    }
    problems = find_violations(history)
    return [
        Row(
            "may_have_run_in_schedule",
            counts["may-have-run"],
            "requests",
            bound,
            detail=detail,
        ),
        Row("broken_promises_in_schedule", len(problems), "count", 0),
    ]
