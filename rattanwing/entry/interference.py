"""Learns how slow each executor is, and which task classes make it so.

The entry sees the service time of each answer, so it knows at once what the
workers' usage reports tell late. Slowness is relative to the fastest executor
of the same class of requests. The noise of a task class is the slowness that
a whole worker full of it would cause, fitted by least mean squares.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing import events
from rattanwing.entry.router import slow_executors
from rattanwing.entry.usage import Granted

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.entry.agents import AgentHandle

INTERVAL_S = 1.0
LATENCY_WEIGHT = 0.2
MIN_SAMPLES = 5
STALE_AFTER_S = 5.0
FORGET_SHARE = 0.15
LEARNING_RATE = 0.2
MAX_NOISE = 50.0
LEAST_POWER = 0.01


class ClassLatency(msgspec.Struct):
    """Moving average of one executor's service time for one request class."""

    seconds: float
    samples: int
    updated_at: float


class Interference:
    """Slowness by executor and noise by task class.

    :param latencies: by agent and request class.
    :param slowness: by agent; 1 is as fast as the fastest.
    :param noise: by task class.
    """

    __slots__ = ("app", "latencies", "slowness", "noise", "left_out")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.latencies: dict[str, dict[str, ClassLatency]] = {}
        self.slowness: dict[str, float] = {}
        self.noise: dict[str, float] = {}
        self.left_out: set[str] = set()

    def note(self, agent: str, request_class: str, seconds: float, now: float) -> None:
        """Fold in the service time of one answer."""
        classes = self.latencies.setdefault(agent, {})
        known = classes.get(request_class)
        if known is None:
            classes[request_class] = ClassLatency(seconds, 1, now)
            return
        known.seconds += LATENCY_WEIGHT * (seconds - known.seconds)
        known.samples += 1
        known.updated_at = now

    def slowness_of(self, agent: str) -> float:
        """Return how slow an executor is against the fastest one."""
        return self.slowness.get(agent, 1.0)

    def noise_of(self, task_class: str) -> float:
        """Return the slowness that a worker full of a class would cause."""
        return self.noise.get(task_class, 0.0)

    async def run(self) -> None:
        """Learn at a fixed interval until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self.update(self.app.now())

    def update(self, now: float) -> None:
        """Recompute the slowness of all executors and learn from it."""
        handles = [
            handle
            for handle in self.app.get("agents").connected_agents()
            if handle.hello.executor is not None
        ]
        bases: dict[tuple[str, str], float] = {}
        for handle in handles:
            for name, latency in self.latencies.get(handle.name, {}).items():
                if latency.samples >= MIN_SAMPLES:
                    key = (handle.hello.executor.service, name)
                    bases[key] = min(bases.get(key, latency.seconds), latency.seconds)
        for handle in handles:
            self.update_agent(handle, bases, now)
        self.report_left_out(handles)

    def report_left_out(self, handles: list[AgentHandle]) -> None:
        """Write an event for each executor that routing begins to leave out."""
        slow: set[str] = set()
        for service in {h.hello.executor.service for h in handles}:
            group = [h for h in handles if h.hello.executor.service == service]
            slow |= slow_executors(group, self)
        for name in sorted(slow - self.left_out):
            slowness = round(self.slowness_of(name), 2)
            events.write(events.EXECUTOR_EJECTED, agent=name, slowness=slowness)
        self.left_out = slow

    def update_agent(
        self, handle: AgentHandle, bases: dict[tuple[str, str], float], now: float
    ) -> None:
        """Recompute one executor's slowness.

        Without fresh answers it drifts to what the tasks beside it foretell,
        so that a slow executor is tried again.
        """
        fresh = []
        for name, latency in self.latencies.get(handle.name, {}).items():
            base = bases.get((handle.hello.executor.service, name))
            if base and now - latency.updated_at <= STALE_AFTER_S:
                fresh.append(latency.seconds / base)
        granted = self.app.get("placed").by_worker.get(handle.name, Granted())
        cpu = handle.hello.worker.cpu if handle.hello.worker else 1.0
        if fresh:
            self.slowness[handle.name] = sum(fresh) / len(fresh)
            self.learn(granted, cpu, self.slowness[handle.name])
            return
        foretold = 1.0 + self.foretell(granted, cpu)
        old = self.slowness_of(handle.name)
        self.slowness[handle.name] = old + FORGET_SHARE * (foretold - old)

    def foretell(self, granted: Granted, cpu: float) -> float:
        """Return by how much the tasks on a worker slow its service.

        :param cpu: processors of the worker.
        """
        return sum(
            self.noise_of(name) * class_cpu / cpu
            for name, class_cpu in granted.class_cpu.items()
        )

    def learn(self, granted: Granted, cpu: float, slowness: float) -> None:
        """Fit the noise of the classes on a worker to one observation."""
        error = slowness - 1.0 - self.foretell(granted, cpu)
        shares = {name: used / cpu for name, used in granted.class_cpu.items()}
        power = sum(share * share for share in shares.values())
        for name, share in shares.items():
            step = LEARNING_RATE * error * share / (power + LEAST_POWER)
            self.noise[name] = min(max(0.0, self.noise_of(name) + step), MAX_NOISE)


def setup(app: Application) -> None:
    """Register the service ``interference`` and its task."""
    interference = Interference(app)
    app.add_service("interference", interference)
    app.add_task(interference.run)
