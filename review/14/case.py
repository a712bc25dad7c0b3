"""Evacuates a zone while the store turns the entries away."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage_3 import Deployment, main, new_id  # noqa: E402

ZONE = "zone-a"
EVAC_S = 5.0
"""``evac_ms``."""

REJECTED_S = 9.0
STEPS = [{"count": 2_500, "cpu": 8_000, "mem_mb": 256, "estimate_ms": 500}]


async def case(trouble: bool) -> bool:
    """Return whether a task was started in the zone later than ``evac_ms``."""
    async with Deployment(FOLDER, 3, 11).running() as deployment:
        record = deployment.record
        await trio.sleep(4.0)
        if await deployment.submit("front-1", new_id(), "0.5", STEPS) != 200:
            raise RuntimeError("the job was not accepted")
        await trio.sleep(3.0)
        for door in deployment.doors.values():
            door.rejects = trouble
        if trouble:
            record.write(f"the store turns the 3 entries away for {REJECTED_S} s")
        await trio.sleep(0.1)
        deployment.store.topic("keyed.op").put(f"evacuate/{ZONE}", b"{}")
        evacuated_at = record.now()
        record.write(f"the operator's evacuation of {ZONE} is acknowledged")
        await trio.sleep(REJECTED_S - 0.1)
        for door in deployment.doors.values():
            door.rejects = False
        record.write("the store serves all machines")
        await trio.sleep(3.0)
        late = [
            (at, task, executor.name)
            for executor in deployment.executors.values()
            if executor.zone == ZONE
            for task, _attempt, at in executor.started
            if at > evacuated_at + EVAC_S
        ]
        record.write(
            f"{len(late)} starts in {ZONE} later than {EVAC_S} s after its evacuation"
        )
        if late:
            record.write(f"the last one {max(late)[0] - evacuated_at:.3f} s after it")
        return bool(late)


if __name__ == "__main__":
    sys.exit(main(case))
