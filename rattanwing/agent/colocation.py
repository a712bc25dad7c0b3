"""Protects the service beside the tasks: throttle first, then evict."""

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
MAX_LATENCY_RATIO = 1.0
RELEASE_LATENCY_RATIO = 0.6
THROTTLE_FACTOR = 0.5
RELEASE_FACTOR = 1.25
MIN_SHARE = 0.25
WINDOWS_BEFORE_EVICTION = 6
WINDOWS_BEFORE_RELEASE = 6
MAX_EVICTIONS_PER_HOUR = 6
HOUR_S = 3600.0
MIN_LATENCY_SAMPLES = 5
TAIL_QUANTILE = 0.95


class NoChange(msgspec.Struct):
    """Nothing changes."""


class SetShare(msgspec.Struct):
    """Throttle or release all tasks."""

    share: float


class Evict(msgspec.Struct):
    """Stop one task with a checkpoint."""

    job: str


class ColocationState(msgspec.Struct):
    """What the policy remembers between two windows.

    :param missed_windows: windows in a row with the target missed at the least share.
    :param low_windows: windows in a row well below the target.
    :param evictions: when tasks were evicted during the last hour.
    """

    share: float = 1.0
    missed_windows: int = 0
    low_windows: int = 0
    evictions: list[float] = []


def decide(
    state: ColocationState, latency_ratio: float, tasks: list[Task], now: float
) -> NoChange | SetShare | Evict:
    """Return what to do about one window, and update the state.

    :param latency_ratio: tail latency as a share of the target; 0 when unknown.
    """
    if latency_ratio > MAX_LATENCY_RATIO and tasks:
        state.low_windows = 0
        return throttle_or_evict(state, tasks, now)
    state.missed_windows = 0
    if latency_ratio >= RELEASE_LATENCY_RATIO or state.share >= 1.0:
        state.low_windows = 0
        return NoChange()
    state.low_windows += 1
    if state.low_windows < WINDOWS_BEFORE_RELEASE:
        return NoChange()
    state.low_windows = 0
    state.share = min(1.0, state.share * RELEASE_FACTOR)
    return SetShare(state.share)


def throttle_or_evict(
    state: ColocationState, tasks: list[Task], now: float
) -> NoChange | SetShare | Evict:
    """Throttle; evict only when the least share did not help for long."""
    if state.share > MIN_SHARE:
        state.share = max(MIN_SHARE, state.share * THROTTLE_FACTOR)
        return SetShare(state.share)
    state.missed_windows += 1
    if state.missed_windows < WINDOWS_BEFORE_EVICTION:
        return NoChange()
    state.evictions = [at for at in state.evictions if now - at < HOUR_S]
    if len(state.evictions) >= MAX_EVICTIONS_PER_HOUR:
        return NoChange()
    state.missed_windows = 0
    state.evictions.append(now)
    return Evict(select_eviction(tasks).job)


def select_eviction(tasks: list[Task]) -> Task:
    """Return the task whose eviction frees most per second of lost progress."""
    return min(tasks, key=lambda task: (task.progress_s / task.cpu, task.job))


def tail_latency_ratio(latencies: list[float], target_ms: float | None) -> float:
    """Return the tail latency as a share of its target; 0 when unknown."""
    if target_ms is None or len(latencies) < MIN_LATENCY_SAMPLES:
        return 0.0
    ordered = sorted(latencies)
    tail_s = ordered[int(len(ordered) * TAIL_QUANTILE)]
    return tail_s * 1000 / target_ms


class ColocationController:
    """Runs the policy on this host's own measurements.

    :param latency_ratio: of the last window, sent with each heartbeat.
    """

    __slots__ = ("app", "state", "latency_ratio")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.state = ColocationState()
        self.latency_ratio = 0.0

    async def run(self) -> None:
        """Decide once a window until cancelled."""
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

    def measure(self) -> None:
        """Compute the latency_ratio from the latencies of the last window."""
        latencies = self.app.get("requests").latencies
        service = self.app.settings.agent.executor.service
        target_ms = self.app.get("gate").view.latency_targets_ms.get(service)
        self.latency_ratio = tail_latency_ratio(list(latencies), target_ms)
        latencies.clear()

    async def set_share(self, share: float) -> None:
        """Throttle or release the worker's tasks."""
        events.write(events.TASK_THROTTLED, share=share, pressure=self.latency_ratio)
        try:
            await self.app.get("worker").set_share(share)
        except WorkerError as error:
            events.write(events.WORKER_UNREACHABLE, error=error)


def setup(app: Application) -> None:
    """Register the service ``colocation`` and its task."""
    colocation = ColocationController(app)
    app.add_service("colocation", colocation)
    app.add_task(colocation.run)
