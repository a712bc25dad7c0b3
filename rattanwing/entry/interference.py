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
from rattanwing.entry.usage import GrantedResources

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.entry.agents import AgentHandle

INTERVAL_S = 1.0
LATENCY_WEIGHT = 0.2
MIN_SAMPLES = 5
STALE_AFTER_S = 5.0
DECAY_SHARE = 0.15
LEARNING_RATE = 0.2
MAX_INTERFERENCE = 50.0
REGULARIZATION = 0.01


class ClassLatency(msgspec.Struct):
    """Moving average of one executor's service time for one request class."""

    seconds: float
    samples: int
    updated_at: float


class InterferenceModel:
    """Slowness by executor and noise by task class.

    :param latencies: by agent and request class.
    :param slowness: by agent; 1 is as fast as the fastest.
    :param class_interference: by task class.
    """

    __slots__ = ("app", "latencies", "slowness", "class_interference", "ejected")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.latencies: dict[str, dict[str, ClassLatency]] = {}
        self.slowness: dict[str, float] = {}
        self.class_interference: dict[str, float] = {}
        self.ejected: set[str] = set()

    def record_latency(
        self, agent: str, request_class: str, seconds: float, now: float
    ) -> None:
        """Fold in the service time of one answer."""
        classes = self.latencies.setdefault(agent, {})
        average = classes.get(request_class)
        if average is None:
            classes[request_class] = ClassLatency(seconds, 1, now)
            return
        average.seconds += LATENCY_WEIGHT * (seconds - average.seconds)
        average.samples += 1
        average.updated_at = now

    def slowness_of(self, agent: str) -> float:
        """Return how slow an executor is against the fastest one."""
        return self.slowness.get(agent, 1.0)

    def interference_of(self, task_class: str) -> float:
        """Return the slowness that a worker full of a class would cause."""
        return self.class_interference.get(task_class, 0.0)

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
        baselines: dict[tuple[str, str], float] = {}
        for handle in handles:
            for name, latency in self.latencies.get(handle.name, {}).items():
                if latency.samples >= MIN_SAMPLES:
                    key = (handle.hello.executor.service, name)
                    baselines[key] = min(
                        baselines.get(key, latency.seconds), latency.seconds
                    )
        for handle in handles:
            self.update_agent(handle, baselines, now)
        self.report_ejected(handles)

    def report_ejected(self, handles: list[AgentHandle]) -> None:
        """Write an event for each executor that routing begins to leave out."""
        slow: set[str] = set()
        for service in {h.hello.executor.service for h in handles}:
            group = [h for h in handles if h.hello.executor.service == service]
            slow |= slow_executors(group, self)
        for name in sorted(slow - self.ejected):
            slowness = round(self.slowness_of(name), 2)
            events.write(events.EXECUTOR_EJECTED, agent=name, slowness=slowness)
        self.ejected = slow

    def update_agent(
        self, handle: AgentHandle, baselines: dict[tuple[str, str], float], now: float
    ) -> None:
        """Recompute one executor's slowness.

        Without fresh answers it drifts to what the tasks beside it foretell,
        so that a slow executor is tried again.
        """
        fresh = []
        for name, latency in self.latencies.get(handle.name, {}).items():
            baseline = baselines.get((handle.hello.executor.service, name))
            if baseline and now - latency.updated_at <= STALE_AFTER_S:
                fresh.append(latency.seconds / baseline)
        granted = self.app.get("placed").granted_by_worker.get(
            handle.name, GrantedResources()
        )
        cpu = handle.hello.worker.cpu if handle.hello.worker else 1.0
        if fresh:
            self.slowness[handle.name] = sum(fresh) / len(fresh)
            self.fit(granted, cpu, self.slowness[handle.name])
            return
        predicted = 1.0 + self.predict_slowdown(granted, cpu)
        old = self.slowness_of(handle.name)
        self.slowness[handle.name] = old + DECAY_SHARE * (predicted - old)

    def predict_slowdown(self, granted: GrantedResources, cpu: float) -> float:
        """Return by how much the tasks on a worker slow its service.

        :param cpu: processors of the worker.
        """
        return sum(
            self.interference_of(name) * class_cpu / cpu
            for name, class_cpu in granted.class_cpu.items()
        )

    def fit(self, granted: GrantedResources, cpu: float, slowness: float) -> None:
        """Fit the noise of the classes on a worker to one observation."""
        error = slowness - 1.0 - self.predict_slowdown(granted, cpu)
        shares = {name: used / cpu for name, used in granted.class_cpu.items()}
        power = sum(share * share for share in shares.values())
        for name, share in shares.items():
            step = LEARNING_RATE * error * share / (power + REGULARIZATION)
            self.class_interference[name] = min(
                max(0.0, self.interference_of(name) + step), MAX_INTERFERENCE
            )


def setup(app: Application) -> None:
    """Register the service ``interference`` and its task."""
    interference = InterferenceModel(app)
    app.add_service("interference", interference)
    app.add_task(interference.run)
