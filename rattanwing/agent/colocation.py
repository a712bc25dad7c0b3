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

INTERVAL_S = 0.5
HIGH_PRESSURE = 1.0
LOW_PRESSURE = 0.6
SHARE_STEP_DOWN = 0.5
SHARE_STEP_UP = 1.25
MIN_SHARE = 0.25
PATIENCE_WINDOWS = 6
CALM_WINDOWS = 6
MAX_EVICTIONS_PER_HOUR = 6
HOUR_S = 3600.0
MIN_SAMPLES = 5
TAIL_QUANTILE = 0.95


class Keep(msgspec.Struct):
    """Nothing changes."""


class SetShare(msgspec.Struct):
    """Throttle or release all tasks."""

    share: float


class Evict(msgspec.Struct):
    """Stop one task with a checkpoint."""

    job: str


class ColocationState(msgspec.Struct):
    """What the policy remembers between two windows.

    :param pressed: windows in a row with the target missed at the least share.
    :param calm: windows in a row well below the target.
    :param evictions: when tasks were evicted during the last hour.
    """

    share: float = 1.0
    pressed: int = 0
    calm: int = 0
    evictions: list[float] = []


def decide(
    state: ColocationState, pressure: float, tasks: list[Task], now: float
) -> Keep | SetShare | Evict:
    """Return what to do about one window, and update the state.

    :param pressure: tail latency as a share of the target; 0 when unknown.
    """
    if pressure > HIGH_PRESSURE and tasks:
        state.calm = 0
        return relieve(state, tasks, now)
    state.pressed = 0
    if pressure >= LOW_PRESSURE or state.share >= 1.0:
        state.calm = 0
        return Keep()
    state.calm += 1
    if state.calm < CALM_WINDOWS:
        return Keep()
    state.calm = 0
    state.share = min(1.0, state.share * SHARE_STEP_UP)
    return SetShare(state.share)


def relieve(
    state: ColocationState, tasks: list[Task], now: float
) -> Keep | SetShare | Evict:
    """Throttle; evict only when the least share did not help for long."""
    if state.share > MIN_SHARE:
        state.share = max(MIN_SHARE, state.share * SHARE_STEP_DOWN)
        return SetShare(state.share)
    state.pressed += 1
    if state.pressed < PATIENCE_WINDOWS:
        return Keep()
    state.evictions = [at for at in state.evictions if now - at < HOUR_S]
    if len(state.evictions) >= MAX_EVICTIONS_PER_HOUR:
        return Keep()
    state.pressed = 0
    state.evictions.append(now)
    return Evict(least_lost_progress(tasks).job)


def least_lost_progress(tasks: list[Task]) -> Task:
    """Return the task whose eviction frees most per second of lost progress."""
    return min(tasks, key=lambda task: (task.progress_s / task.cpu, task.job))


def tail_pressure(latencies: list[float], target_ms: float | None) -> float:
    """Return the tail latency as a share of its target; 0 when unknown."""
    if target_ms is None or len(latencies) < MIN_SAMPLES:
        return 0.0
    ordered = sorted(latencies)
    tail_s = ordered[int(len(ordered) * TAIL_QUANTILE)]
    return tail_s * 1000 / target_ms


class Colocation:
    """Runs the policy on this host's own measurements.

    :param pressure: of the last window, sent with each heartbeat.
    """

    __slots__ = ("app", "state", "pressure")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.state = ColocationState()
        self.pressure = 0.0

    async def run(self) -> None:
        """Decide once a window until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self.measure()
            tasks = self.app.get("tasks")
            running = [t for t in tasks.tasks.values() if t.state == "running"]
            match decide(self.state, self.pressure, running, self.app.now()):
                case SetShare(share=share):
                    await self.set_share(share)
                case Evict(job=job):
                    events.write(events.TASK_EVICTED, job=job, pressure=self.pressure)
                    self.app.get("metrics").count("evictions")
                    tasks.stop_soon(tasks.tasks[job], "evicted")

    def measure(self) -> None:
        """Compute the pressure from the latencies of the last window."""
        latencies = self.app.get("requests").latencies
        service = self.app.settings.agent.executor.service
        target_ms = self.app.get("gate").view.latency_targets_ms.get(service)
        self.pressure = tail_pressure(list(latencies), target_ms)
        latencies.clear()

    async def set_share(self, share: float) -> None:
        """Throttle or release the worker's tasks."""
        events.write(events.TASK_THROTTLED, share=share, pressure=self.pressure)
        try:
            await self.app.get("worker").set_share(share)
        except WorkerError as error:
            events.write(events.WORKER_UNREACHABLE, error=error)


def setup(app: Application) -> None:
    """Register the service ``colocation`` and its task."""
    colocation = Colocation(app)
    app.add_service("colocation", colocation)
    app.add_task(colocation.run)
