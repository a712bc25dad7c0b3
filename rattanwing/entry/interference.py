"""Estimates how slow each executor is and which task classes slow it down.

The entry sees the service time of each answer at once, whereas the usage reports of
workers arrive late. The slowness of an executor is its service time over that of the
fastest executor for the same class of requests. The interference of a task class is
what it would add to the slowness if its tasks were granted all processors of the
host; it is fitted by least mean squares. A slowdown is a slowness minus 1: the share
by which the service time is longer than that of the fastest executor.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing import events
from rattanwing.entry.router import ejected_executors
from rattanwing.entry.usage import GrantedResources

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.entry.agents import AgentHandle

INTERVAL_S = 1.0
"""Seconds between two updates of the model."""

SERVICE_TIME_WEIGHT = 0.2
"""Weight of a new service time in the moving average."""

MIN_SAMPLES = 5
"""Answers needed before an executor's average can become a baseline."""

STALE_AFTER_S = 5.0
"""Seconds since its last answer after which an average is ignored."""

DECAY_SHARE = 0.15
"""Without recent answers, each update moves an executor's slowness towards its
prediction by this share of the difference."""

LEARNING_RATE = 0.2
"""Share of the prediction error that one update corrects."""

MAX_INTERFERENCE = 50.0
"""Upper bound of the interference of a task class."""

REGULARIZATION = 0.01
"""Keeps the step small while tasks use only a small share of a host's processors."""


class ServiceTimeAverage(msgspec.Struct):
    """Moving average of one executor's service time for one request class.

    :param seconds: the average.
    :param samples: number of answers.
    :param updated_at: when the last answer came.
    """

    seconds: float
    samples: int
    updated_at: float


class InterferenceModel:
    """Estimates of executors' slowness and of task classes' interference.

    :param service_times: average service times, by agent and request class.
    :param slowness: by agent; 1 is as fast as the fastest executor.
    :param task_class_interference: interference by task class.
    :param ejected: names of the agents whose executors are ejected, see
        :func:`~rattanwing.entry.router.ejected_executors`.
    """

    __slots__ = (
        "app",
        "service_times",
        "slowness",
        "task_class_interference",
        "ejected",
    )

    def __init__(self, app: Application) -> None:
        self.app = app
        self.service_times: dict[str, dict[str, ServiceTimeAverage]] = {}
        self.slowness: dict[str, float] = {}
        self.task_class_interference: dict[str, float] = {}
        self.ejected: set[str] = set()

    def record_service_time(
        self, agent: str, request_class: str, seconds: float, now: float
    ) -> None:
        """Add the service time of one answer to its moving average."""
        classes = self.service_times.setdefault(agent, {})
        average = classes.get(request_class)
        if average is None:
            classes[request_class] = ServiceTimeAverage(seconds, 1, now)
            return
        average.seconds += SERVICE_TIME_WEIGHT * (seconds - average.seconds)
        average.samples += 1
        average.updated_at = now

    def slowness_of(self, agent: str) -> float:
        """Return an executor's slowness, 1 if none was observed."""
        return self.slowness.get(agent, 1.0)

    def interference_of(self, task_class: str) -> float:
        """Return the interference of a task class, 0 if none was observed."""
        return self.task_class_interference.get(task_class, 0.0)

    async def run(self) -> None:
        """Update the model at a fixed interval until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self.update(self.app.now())

    def update(self, now: float) -> None:
        """Recompute every executor's slowness and refit the interference."""
        handles = [
            handle
            for handle in self.app.get("agents").connected_agents()
            if handle.hello.executor is not None
        ]
        baselines: dict[tuple[str, str], float] = {}
        for handle in handles:
            for name, average in self.service_times.get(handle.name, {}).items():
                if average.samples >= MIN_SAMPLES:
                    key = (handle.hello.executor.service, name)
                    baselines[key] = min(
                        baselines.get(key, average.seconds), average.seconds
                    )
        for handle in handles:
            self.update_agent(handle, baselines, now)
        self.report_ejected(handles)

    def report_ejected(self, handles: list[AgentHandle]) -> None:
        """Write an event for each executor that is newly ejected."""
        ejected: set[str] = set()
        for service in {h.hello.executor.service for h in handles}:
            group = [h for h in handles if h.hello.executor.service == service]
            ejected |= ejected_executors(group, self)
        for name in sorted(ejected - self.ejected):
            slowness = round(self.slowness_of(name), 2)
            events.write(events.EXECUTOR_EJECTED, agent=name, slowness=slowness)
        self.ejected = ejected

    def update_agent(
        self, handle: AgentHandle, baselines: dict[tuple[str, str], float], now: float
    ) -> None:
        """Recompute one executor's slowness.

        Without recent answers it moves towards the prediction for the tasks on its
        host, so that an ejected executor is tried again.

        :param baselines: lowest average, by service and request class.
        """
        ratios = []
        for name, average in self.service_times.get(handle.name, {}).items():
            baseline = baselines.get((handle.hello.executor.service, name))
            if baseline and now - average.updated_at <= STALE_AFTER_S:
                ratios.append(average.seconds / baseline)
        granted = self.app.get("placed").granted_by_worker.get(
            handle.name, GrantedResources()
        )
        cpu = handle.hello.worker.cpu if handle.hello.worker else 1.0
        if ratios:
            self.slowness[handle.name] = sum(ratios) / len(ratios)
            self.fit(granted, cpu, self.slowness[handle.name])
            return
        predicted = 1.0 + self.predict_slowdown(granted, cpu)
        old = self.slowness_of(handle.name)
        self.slowness[handle.name] = old + DECAY_SHARE * (predicted - old)

    def predict_slowdown(self, granted: GrantedResources, cpu: float) -> float:
        """Return the predicted slowdown of a worker's executor by the tasks there.

        :param granted: resources that were granted to the tasks.
        :param cpu: processors of the worker.
        """
        return sum(
            self.interference_of(name) * task_class_cpu / cpu
            for name, task_class_cpu in granted.task_class_cpu.items()
        )

    def fit(self, granted: GrantedResources, cpu: float, slowness: float) -> None:
        """Fit the interference of the classes on a worker to one observation.

        :param granted: resources that were granted to the tasks there.
        :param cpu: processors of the worker.
        :param slowness: observed slowness of the executor on the same host.
        """
        error = slowness - 1.0 - self.predict_slowdown(granted, cpu)
        shares = {name: used / cpu for name, used in granted.task_class_cpu.items()}
        power = sum(share * share for share in shares.values())
        for name, share in shares.items():
            step = LEARNING_RATE * error * share / (power + REGULARIZATION)
            self.task_class_interference[name] = min(
                max(0.0, self.interference_of(name) + step), MAX_INTERFERENCE
            )


def setup(app: Application) -> None:
    """Register the service ``interference`` and its background task."""
    interference = InterferenceModel(app)
    app.add_service("interference", interference)
    app.add_task(interference.run)
