"""Replaces a route by one of another name while a job of it runs, and looks for it."""

from __future__ import annotations

import copy
import json
import sys
from pathlib import Path

import trio

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage_3 import CONFIG, PREFIX, Deployment, main, new_id  # noqa: E402

VISIBLE_S = 3.0
CONFIG_APPLY_S = 2.0
CANCEL_S = 3.0
STEPS = [{"count": 600, "cpu": 8_000, "mem_mb": 256, "estimate_ms": 500}]


async def case(trouble: bool) -> bool:
    """Return whether an accepted job is answered 410, or runs on after its cancel."""
    async with Deployment(FOLDER, 2, 3).running() as deployment:
        record = deployment.record
        await trio.sleep(4.0)
        job_id = new_id()
        if await deployment.submit("front-1", job_id, "0.5", STEPS) != 200:
            raise RuntimeError("the job was not accepted")
        accepted_at = record.now()
        await trio.sleep(3.0)
        config = copy.deepcopy(CONFIG)
        config["version"] = 8
        if trouble:
            config["routes"][0]["name"] = "queue-2"
        else:
            config["routes"][0]["timeout_ms"] = 2_500
        deployment.store.topic("keyed.op").put("config", json.dumps(config).encode())
        record.write(f"the operator's version 8 is acknowledged: {config['routes']}")
        await trio.sleep(CONFIG_APPLY_S + 1.0)
        broken = False
        for entry in deployment.entries:
            state = await deployment.state(entry, job_id)
            waited_s = record.now() - accepted_at
            record.write(f"{entry} says {state}, {waited_s:.1f} s after the 200")
            if state == "410" and waited_s > VISIBLE_S:
                record.write("LOST: an accepted job that nobody has cancelled")
                broken = True
        status, _value = await deployment.call("front-1", "DELETE", PREFIX + job_id)
        cancelled_at = record.now()
        await trio.sleep(CANCEL_S + 3.0)
        late = [
            at
            for executor in deployment.executors.values()
            for task, _attempt, at in executor.started
            if task.startswith(job_id) and at > cancelled_at + CANCEL_S
        ]
        record.write(f"{len(late)} starts later than {CANCEL_S} s after the {status}")
        if late and (status == 410 or 200 <= status < 300):
            record.write("UNASKED: its cancelling was acknowledged")
            broken = True
        return broken


if __name__ == "__main__":
    sys.exit(main(case))
