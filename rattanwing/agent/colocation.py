"""Protects the latency of the executor's service from tasks on the same host.

When the tail latency exceeds its target, the tasks are throttled; if that does not
help, tasks are evicted one by one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing import events
from rattanwing.agent.worker import WorkerError

if TYPE_CHECKING:
    from rattanwing.agent.tasks import Task
    from rattanwing.application import Application

WINDOW_S = 0.5
"""Length of a measurement window."""

MAX_LATENCY_RATIO = 1.0
"""Latency ratio above which tasks are throttled or evicted."""

RAISE_LATENCY_RATIO = 0.6
"""Latency ratio below which the tasks' share may be raised.

The gap to ``MAX_LATENCY_RATIO`` provides hysteresis.
"""

THROTTLE_FACTOR = 0.5
"""Factor by which each throttling step reduces the tasks' share."""

RAISE_FACTOR = 1.25
"""Factor by which each step raises the tasks' share."""

MIN_SHARE = 0.25
"""Smallest share to which tasks are throttled."""

WINDOWS_BEFORE_EVICTION = 6
"""Consecutive windows over the target at ``MIN_SHARE`` before a task is evicted."""

WINDOWS_BEFORE_RAISE = 6
"""Consecutive windows below ``RAISE_LATENCY_RATIO`` before each raise."""

MAX_EVICTIONS_PER_HOUR = 6
HOUR_S = 3600.0

MIN_LATENCY_SAMPLES = 5
"""Samples in a window below which the latency ratio counts as unknown."""

TAIL_QUANTILE = 0.95
"""Quantile of a window's latencies that is used as the tail latency.

It is compared with the service's target for the p99 latency, although it is a lower
quantile.
"""


class NoChange(msgspec.Struct):
    """Leave the tasks as they are."""


class SetShare(msgspec.Struct):
    """Limit all tasks to a share of their granted processors.

    :param share: 1.0 removes the limit.
    """

    share: float


class Evict(msgspec.Struct):
    """Checkpoint and stop the task of one job."""

    job: str


class ColocationState(msgspec.Struct):
    """State of the policy, carried from one window to the next.

    :param share: share of their granted processors that tasks may use.
    :param windows_over_target: consecutive windows above ``MAX_LATENCY_RATIO`` at
        ``MIN_SHARE``.
    :param windows_below_raise_ratio: consecutive windows below ``RAISE_LATENCY_RATIO``.
    :param evictions: times of the evictions that count for the hourly limit.
    """

    share: float = 1.0
    windows_over_target: int = 0
    windows_below_raise_ratio: int = 0
    evictions: list[float] = []


def decide(
    state: ColocationState, latency_ratio: float, tasks: list[Task], now: float
) -> NoChange | SetShare | Evict:
    """Return the action for one measurement window and update the state.

    :param latency_ratio: tail latency divided by its target; 0 when unknown.
    :param now: current time in seconds on a monotonic clock.
    """
    if latency_ratio > MAX_LATENCY_RATIO and tasks:
        state.windows_below_raise_ratio = 0
        return throttle_or_evict(state, tasks, now)
    state.windows_over_target = 0
    if latency_ratio >= RAISE_LATENCY_RATIO or state.share >= 1.0:
        state.windows_below_raise_ratio = 0
        return NoChange()
    state.windows_below_raise_ratio += 1
    if state.windows_below_raise_ratio < WINDOWS_BEFORE_RAISE:
        return NoChange()
    state.windows_below_raise_ratio = 0
    state.share = min(1.0, state.share * RAISE_FACTOR)
    return SetShare(state.share)


def throttle_or_evict(
    state: ColocationState, tasks: list[Task], now: float
) -> NoChange | SetShare | Evict:
    """Reduce the share; at ``MIN_SHARE``, evict after several windows over the target.

    At most ``MAX_EVICTIONS_PER_HOUR`` tasks are evicted per hour.
    """
    if state.share > MIN_SHARE:
        state.share = max(MIN_SHARE, state.share * THROTTLE_FACTOR)
        return SetShare(state.share)
    state.windows_over_target += 1
    if state.windows_over_target < WINDOWS_BEFORE_EVICTION:
        return NoChange()
    state.evictions = [at for at in state.evictions if now - at < HOUR_S]
    if len(state.evictions) >= MAX_EVICTIONS_PER_HOUR:
        return NoChange()
    state.windows_over_target = 0
    state.evictions.append(now)
    return Evict(select_eviction(tasks).job)


def select_eviction(tasks: list[Task]) -> Task:
    """Return the task to evict.

    It frees the most processors per second of lost progress; ties go by job name.
    """
    return min(tasks, key=lambda task: (task.progress_s / task.cpu, task.job))


def tail_latency_ratio(latencies: list[float], target_ms: float | None) -> float:
    """Return the tail latency divided by its target; 0 when unknown.

    :param latencies: in seconds.
    """
    if target_ms is None or len(latencies) < MIN_LATENCY_SAMPLES:
        return 0.0
    ordered = sorted(latencies)
    tail_s = ordered[int(len(ordered) * TAIL_QUANTILE)]
    return tail_s * 1000 / target_ms


class ColocationController:
    """Applies the policy to the latencies measured on this host.

    :param latency_ratio: tail latency of the last window divided by its target; sent
        with each heartbeat.
    """

    __slots__ = ("app", "state", "latency_ratio")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.state = ColocationState()
        self.latency_ratio = 0.0

    async def run(self) -> None:
        """Apply the policy once per window until cancelled.

        The share is set again while the worker applies another one, as after a restart
        of the worker or of this agent, or after a call that failed.
        """
        while True:
            await trio.sleep(WINDOW_S)
            self.measure()
            tasks = self.app.get("tasks")
            running = [t for t in tasks.tasks.values() if t.state == "running"]
            match decide(self.state, self.latency_ratio, running, self.app.now()):
                case SetShare(share=share):
                    await self.set_share(share)
                case Evict(job=job):
                    events.write(
                        events.TASK_EVICTED, job=job, pressure=self.latency_ratio
                    )
                    self.app.get("metrics").count("evictions")
                    tasks.stop_in_background(tasks.tasks[job], "evicted")
                case NoChange() if tasks.worker_share != self.state.share:
                    await self.set_share(self.state.share)

    def measure(self) -> None:
        """Set the latency ratio from the last window's latencies, then clear them."""
        latencies = self.app.get("requests").latencies
        service = self.app.settings.agent.executor.service
        target_ms = self.app.get("gate").view.latency_targets_ms.get(service)
        self.latency_ratio = tail_latency_ratio(list(latencies), target_ms)
        latencies.clear()

    async def set_share(self, share: float) -> None:
        """Limit the worker's tasks to a share of their granted processors."""
        events.write(events.TASK_THROTTLED, share=share, pressure=self.latency_ratio)
        try:
            await self.app.get("worker").set_share(share)
        except WorkerError as error:
            events.write(events.WORKER_UNREACHABLE, error=error)
            return
        self.app.get("tasks").worker_share = share


def setup(app: Application) -> None:
    """Register the service ``colocation`` and its background task."""
    colocation = ColocationController(app)
    app.add_service("colocation", colocation)
    app.add_task(colocation.run)
