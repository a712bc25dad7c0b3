"""Simulates a host whose agent paces best-effort runs beside serving tasks.

The runs start, are polled and paced through
:class:`~rattanwing.batch.runs.ExecutorRuns` on virtual time. A serving task's
headroom follows its own load and the runs that interfere with it; the reported tail
latencies cover the last half second. Run as a script, it prints totals over seeds::

    python -m tests.batch.paced_host FIRST LAST [unanswered] [silent] [restart]
"""

from __future__ import annotations

import sys
from collections import deque
from math import pi, sin
from random import Random

import trio
import trio.testing

from rattanwing.batch import messages
from rattanwing.batch.ports import (
    EndedRow,
    ExecutorView,
    OrderOutcome,
    OrderResult,
    PollResult,
    RunningRow,
)
from rattanwing.batch.runs import ExecutorRuns
from rattanwing.util.http_client import HttpCallError
from rattanwing.verdict import Verdict

HARM_S = 4.0
"""The platform's limit on the uninterrupted time that a serving task may exceed its
target because of best-effort runs that make progress, in seconds."""

STEP_S = 0.05
LENGTH_S = 60.0
FIGURES_COVER_S = 0.5
PACE_DELAY_S = 0.1
CPU = 64_000
SERVING_CPU = 13_000
SERVING_TASKS = 4
IDLE_HEADROOM = 6.0
LEAST_HEADROOM = 0.09
TARGET_MS = 24
LOAD, LOAD_SWING, LOAD_PERIOD_S = 0.48, 0.5, 10.0
MAX_BEST_EFFORT_RUNS = 12
HEAVY_LOSS, LIGHT_LOSS = (0.04, 0.25), (0.0, 0.02)
UNANSWERED_SHARE = 0.15
SILENCE_EVERY_S, SILENCE_S = 9.0, 1.5
RESTART_EVERY_S, PROPERTIES_AFTER_S = 12.0, 0.3
SERVING_IMAGES = ("watch", "board", "map", "lamp")
BEST_EFFORT_IMAGES = tuple(f"fit-{number}" for number in range(9))


class HostedTask:
    """A task on the simulated host.

    :param pace: share of its full speed at which it works.
    :param work: core-seconds that remain; ``None`` for a serving task.
    """

    def __init__(self, image, cpu, target_ms=0, work=None, phase=0.0):
        self.properties = messages.TaskProperties(
            cpu, 10, 0, target_ms == 0, target_ms, image
        )
        self.pace = 1.0
        self.work = work
        self.phase = phase
        self.started = False
        self.recent = deque(maxlen=round(FIGURES_COVER_S / STEP_S))
        self.over_s = 0.0

    @property
    def cores(self):
        return self.properties.cpu / 1000

    def own_headroom(self, now):
        load = LOAD * (1 + LOAD_SWING * sin(2 * pi * now / LOAD_PERIOD_S + self.phase))
        return IDLE_HEADROOM * (1 - load)


class PacedHost:
    """The executor of one host, and the totals over the simulated time.

    :param troubles: of ``unanswered``: some pace calls are not answered, half of them
        take effect; ``silent``: the executor stops answering now and then;
        ``restart``: so does the agent's process, and forgets all paces.
    :param harms: number of uninterrupted times over the target of ``HARM_S``.
    :param longest_s: the longest such time, in seconds.
    :param over_s: seconds over the target, summed over the serving tasks.
    :param work: core-seconds done by best-effort runs.
    """

    def __init__(self, seed, troubles=(), losses=None, known=None):
        self.random = random = Random(seed)
        self.troubles = troubles
        self.tasks = {}
        self.next_end = 1
        self.ends = {}
        self.harms = self.finished = 0
        self.longest_s = self.over_s = self.work = 0.0
        pairs = [(s, b) for s in SERVING_IMAGES for b in BEST_EFFORT_IMAGES]
        if losses is None:
            losses = {
                pair: random.uniform(
                    *(HEAVY_LOSS if random.random() < 0.4 else LIGHT_LOSS)
                )
                for pair in pairs
            }
        if known is None:
            known = {
                pair: max(0.0, losses[pair] * random.uniform(0.0, 1.1) - 0.03)
                for pair in pairs
                if random.random() < 0.6
            }
        self.losses = losses
        self.known = known

    # The executor, as its agent calls it.

    def is_silent(self):
        if "silent" not in self.troubles:
            return False
        return trio.current_time() % SILENCE_EVERY_S > SILENCE_EVERY_S - SILENCE_S

    async def answer(self, unanswered_share=0.0):
        """Take the time of a call; return whether its answer is lost."""
        await trio.sleep(self.random.uniform(0.001, 0.004))
        if self.is_silent():
            await trio.sleep(0.5)
            raise HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time")
        return self.random.random() < unanswered_share

    async def start(self, task, *_order):
        await self.answer()
        self.tasks[task].started = True
        return OrderResult(OrderOutcome.ACCEPTED, self.clock_ms())

    async def poll(self, _fence, stored, _deadline, wait_s):
        await self.answer()
        with trio.move_on_after(wait_s):
            while not any(number > stored for number in self.ends):
                await trio.sleep(STEP_S)
        for number in [n for n in self.ends if n <= stored]:
            del self.ends[number]
        running = [
            RunningRow(name, 1, "", 0, self.figure(task))
            for name, task in self.tasks.items()
            if task.started
        ]
        return PollResult(self.clock_ms(), running, list(self.ends.values()))

    async def set_pace(self, task, _attempt, pace_percent, _fence):
        share = UNANSWERED_SHARE if "unanswered" in self.troubles else 0.0
        lost = await self.answer(share)
        if task not in self.tasks:
            return OrderResult(OrderOutcome.OLD_ATTEMPT, self.clock_ms())
        if not lost or self.random.random() < 0.5:
            self.nursery.start_soon(self.apply_pace, task, pace_percent)
        if lost:
            raise HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time")
        return OrderResult(OrderOutcome.ACCEPTED, self.clock_ms())

    async def apply_pace(self, task, pace_percent):
        await trio.sleep(PACE_DELAY_S)
        if task in self.tasks:
            self.tasks[task].pace = pace_percent / 100

    def clock_ms(self):
        return int(trio.current_time() * 1000) + 1000

    def figure(self, task):
        if not task.recent:
            return 0
        mean = sum(task.recent) / len(task.recent)
        if task.work is not None:
            return int(mean * 1000)
        return max(1, int(TARGET_MS / mean * self.random.uniform(0.93, 1.07)))

    # The simulation.

    def step(self, now):
        """Advance by ``STEP_S``."""
        running = {n: t for n, t in self.tasks.items() if t.started}
        fills = {n: t for n, t in running.items() if t.work is not None}
        serving = [t for t in running.values() if t.work is None]
        loads = sum(
            t.cores * (1 - t.own_headroom(now) / IDLE_HEADROOM) for t in serving
        )
        wanted = sum(t.cores * t.pace for t in fills.values())
        share = min(1.0, (CPU / 1000 - loads) / wanted) if wanted else 1.0
        for task in serving:
            lost = sum(
                self.losses[task.properties.image, fill.properties.image]
                * fill.cores
                * fill.pace
                for fill in fills.values()
            )
            own = task.own_headroom(now)
            headroom = LEAST_HEADROOM if share < 1 else max(LEAST_HEADROOM, own - lost)
            task.recent.append(headroom)
            harmed = headroom < 1 <= own and wanted > 0
            if harmed:
                task.over_s += STEP_S
                self.over_s += STEP_S
                self.longest_s = max(self.longest_s, task.over_s)
                if task.over_s - STEP_S < HARM_S <= task.over_s:
                    self.harms += 1
            else:
                task.over_s = 0.0
        for name, task in fills.items():
            cores = task.cores * task.pace * share
            task.recent.append(cores)
            task.work -= cores * STEP_S
            self.work += cores * STEP_S
            if task.work <= 0:
                del self.tasks[name]
                self.finished += 1
                self.ends[self.next_end] = EndedRow(self.next_end, name, 1, "done", "")
                self.next_end += 1

    async def simulate(self):
        """Run the host for ``LENGTH_S``."""
        async with trio.open_nursery() as self.nursery:
            self.started_at = trio.current_time()
            self.fence = 0
            await self.start_agent()
            for number, image in enumerate(SERVING_IMAGES[:SERVING_TASKS]):
                phase = self.random.uniform(0, 2 * pi)
                task = HostedTask(image, SERVING_CPU, TARGET_MS, None, phase)
                self.order_start(f"serving-{number}", task)
            self.nursery.start_soon(self.submit_jobs)
            self.nursery.start_soon(self.restart_agent)
            while trio.current_time() - self.started_at < LENGTH_S:
                await trio.sleep(STEP_S)
                self.step(trio.current_time())
            self.nursery.cancel_scope.cancel()

    async def start_agent(self):
        """Start an agent that has heard of its owner, but of no run."""
        self.fence += 1
        view = ExecutorView(
            "executor-0@1", "executor-0", "", "", "a", [], "", CPU, 256_000, 0
        )
        self.runs = runs = ExecutorRuns(
            view, self, trio.current_time, 0.0, self.store_ends, lambda *_refusal: None
        )
        runs.set_fence(self.fence)
        runs.record_clock(self.clock_ms(), trio.current_time())
        runs.extend_lease(trio.current_time() + 1000)
        runs.pacer.set_interference(
            [(*pair, loss) for pair, loss in self.known.items()]
        )
        self.agent_scope = trio.CancelScope()
        self.nursery.start_soon(self.poll_loop, runs, self.agent_scope)
        await trio.sleep(STEP_S)

    async def poll_loop(self, runs, scope):
        with scope:
            await runs.poll_loop()

    def store_ends(self):
        self.runs.ends.drop_stored(max(self.runs.ends.unstored, default=0))

    async def restart_agent(self):
        while "restart" in self.troubles:
            await trio.sleep(RESTART_EVERY_S * self.random.uniform(0.7, 1.3))
            self.agent_scope.cancel()
            await trio.sleep(self.random.uniform(0.3, 1.0))
            await self.start_agent()
            await trio.sleep(PROPERTIES_AFTER_S)
            for (name, _attempt), run in self.runs.runs.items():
                if name in self.tasks and run.properties is None:
                    run.properties = self.tasks[name].properties

    def order_start(self, name, task):
        self.tasks[name] = task
        order = messages.StartRun(
            1, name, 1, "executor-0@1", "", "", task.properties, 1e9
        )
        run = self.runs.admit(order)
        if run is None:
            del self.tasks[name]
            return
        self.nursery.start_soon(self.runs.start, order, run, 1e9)

    async def submit_jobs(self):
        """Start jobs of a few runs of one image, as far as the host has room."""
        number = 0
        await trio.sleep(2.0)
        while True:
            await trio.sleep(self.random.expovariate(1 / 1.5))
            image = self.random.choice(BEST_EFFORT_IMAGES)
            for _ in range(self.random.randint(1, 12)):
                if len(self.tasks) >= SERVING_TASKS + MAX_BEST_EFFORT_RUNS:
                    break
                number += 1
                cpu = int(min(14_000, max(2000, self.random.gauss(5500, 2000))))
                work = cpu / 1000 * min(4.3, self.random.expovariate(1 / 1.7) + 0.3)
                self.order_start(f"fill-{number}", HostedTask(image, cpu, 0, work))
                await trio.sleep(self.random.uniform(0.0, 0.6))


def simulate(seed, *troubles, **options):
    """Return the simulated host of a seed after ``LENGTH_S``."""
    host = PacedHost(seed, troubles, **options)
    # Without these, the order in which ready tasks run varies between two runs.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    trio.run(host.simulate, clock=trio.testing.MockClock(autojump_threshold=0))
    return host


def main(argv):
    """Print the totals over the seeds ``FIRST`` to ``LAST``."""
    first, last, *troubles = argv
    hosts = {s: simulate(s, *troubles) for s in range(int(first), int(last) + 1)}
    harmed = [seed for seed, host in hosts.items() if host.harms]
    print(f"{len(harmed)} of {len(hosts)} seeds with harm: {harmed}")
    longest_s = max(host.longest_s for host in hosts.values())
    print(f"longest time over the target: {longest_s:.2f} s")
    print(f"over the target: {sum(h.over_s for h in hosts.values()):.0f} task-seconds")
    print(f"work done: {sum(h.work for h in hosts.values()):.0f} core-seconds")
    print(f"runs finished: {sum(h.finished for h in hosts.values())}")


if __name__ == "__main__":
    main(sys.argv[1:])
