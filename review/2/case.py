"""The only entry left loses the answer to its claim of ownership."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment import Deployment, run  # noqa: E402
from standins import DROP, decode_records  # noqa: E402

OUTAGE_S = 4.5  # longest platform_down of the site's list of troubles
WAIT_S = 45.0
ONE_TASK = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}]


class Outage:
    """The store goes down right after it has carried out the survivor's claim."""

    def __init__(self, deployment, survivor):
        self.deployment = deployment
        self.survivor = survivor
        self.began_at = None

    def is_claim(self, request):
        if request.path != "/rattanwing/log-append" or "at" not in request.query:
            return False
        if request.query["topic"] != "keyed.work":
            return False
        return any(
            key == "owner" and value and self.survivor.encode() in value
            for key, value in decode_records(request.body)
        )

    def before(self, request):
        if self.began_at is None:
            return None
        if time.monotonic() - self.began_at < OUTAGE_S:
            return 503, {}
        return None

    def after(self, request, answer):
        if self.began_at is None and self.is_claim(request) and answer[0] == 200:
            self.began_at = time.monotonic()
            self.deployment.record(
                f"store: the claim of {self.survivor} is carried out, its answer is "
                f"lost; 503 for {OUTAGE_S} s"
            )
            return DROP
        return answer


async def main():
    deployment = Deployment(HERE / "record.txt")
    try:
        await deployment.start()
        owner = deployment.owner()
        survivor = next(name for name in deployment.entries if name != owner)
        deployment.record(f"the owner is {owner}; {survivor} will be left")
        outage = Outage(deployment, survivor)
        if deployment.trouble:
            deployment.store.before = outage.before
            deployment.store.after = outage.after
            for name in deployment.entries:
                if name != survivor:
                    deployment.record(f"{name} is removed for good")
                    await deployment.entries[name].kill()
            await deployment.until(
                lambda: past(outage), 30, "the claim of the entry that is left"
            )
            await asyncio.sleep(3.0)  # contact_ms: the core is stable again
        job = deployment.new_id()
        status = 0
        for _ in range(10):
            status = await deployment.submit(survivor, job, ONE_TASK, ms=300)
            if status == 200:
                break
            await asyncio.sleep(1.0)
        if status != 200:
            deployment.record("the job was never accepted")
            return False
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end:
            if await deployment.state(survivor, job) == (200, "completed"):
                return False
            await asyncio.sleep(1.0)
        deployment.record(
            f"{WAIT_S} s after its 200 the job has never had a run, while "
            f"{len(deployment.executors)} executors are idle"
        )
        return True
    finally:
        await deployment.close()


async def past(outage):
    began_at = outage.began_at
    return began_at is not None and time.monotonic() - began_at > OUTAGE_S


run(main)
