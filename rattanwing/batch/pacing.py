"""Sets the pace of the best-effort runs on a host to protect its serving tasks.

The tail latency of a serving task varies with its own load, and rises within
seconds when a best-effort run that interferes with it runs on the same host; the
reported tail latency lags by half a second. Most pairs of images do not interfere,
so slowing every best-effort run at each high tail latency would stop the batch work
without helping the serving tasks.

The pace of a run is the percentage of its full speed that it may reach. At pace 0, the
run makes no progress, but it stays on the host.

The headroom of a serving task is its target latency over its tail latency: 1 at the
target. Each core of an interfering run lowers it by the same amount
(:mod:`rattanwing.batch.interference`). When headroom is short, the runs known to
interfere are slowed until the missing headroom is restored, the run with the
largest loss first. Runs whose interference is unknown are slowed only when that is
not enough, and all other runs only while a serving task is over its target. During that
time no run is sped up, and new runs wait at pace 0.

The paces also keep the CPU use of the whole host below its capacity.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from rattanwing.batch.interference import (
    INTERFERES_ABOVE,
    MAX_LOSS_PER_CORE,
    MILLICORES_PER_CORE,
)

if TYPE_CHECKING:
    from collections.abc import Hashable

FULL_PERCENT = 100

SLOW_BELOW = 1.5
"""Headroom below which interfering runs are slowed: a tail latency of two thirds of
the target. It is above 1 because a new pace shows in the reported latencies a second
later, and a task's own load may lower its headroom by up to 0.4 in that time."""

KEEP_HEADROOM = 2.0
"""Headroom that slowing restores and that must remain when an interfering run is sped
up. The gap to ``SLOW_BELOW`` covers the change that a task's own load causes within
a second."""

UNKNOWN_SLOW_BELOW = 1.4
"""Headroom below which runs whose interference is unknown are slowed."""

UNKNOWN_KEEP_HEADROOM = 1.65
"""Headroom from which runs whose interference is unknown are sped up. A serving task
that shares its host with no best-effort run falls to 1.7 at its peak load, so runs of
unknown interference wait only while something interferes with the task."""

MEASURED_AFTER_S = 0.8
"""Age in seconds from which the reported tail latencies include the effect of a run:
the half second that they cover and one poll of the executor."""

UNKNOWN_SLOWDOWN_FACTOR = 0.5
"""Factor per adjustment by which a run that is not known to interfere is slowed."""

ZERO_BELOW_PERCENT = 15
"""A pace below this percentage is set to 0."""

UNKNOWN_SPEEDUP_PERCENT = 25
"""Percentage points added per adjustment to the pace of a run whose interference is
unknown."""

IDLE_HEADROOM = 6.0
"""Headroom of a serving task without load; its load is taken as the share of this that
is missing."""

MIN_LOAD, MAX_LOAD = 0.3, 0.75
"""Bounds of the load that is estimated for a serving task, as a share of its declared
CPU. Below the headroom at which the upper bound is reached, interference rather than
load explains the tail latency."""

CPU_MARGIN_SHARE = 0.05
"""Share of a host's CPU that best-effort runs leave unused. When the CPU is used up,
the tail latencies of serving tasks exceed their targets many times over."""

ADJUSTMENT_INTERVAL_S = 0.6
"""Time between two adjustments, in seconds. A pace takes effect after 0.1 s and the
reported latencies cover half a second; with a shorter interval, two adjustments
would respond to the same measurement."""

ZERO_ALL_AFTER_S = 1.8
"""Time in seconds for which serving tasks may exceed their targets before all
best-effort runs of their host are set to pace 0. It is below half of ``harm_ms``
(4 s), the platform's limit on uninterrupted time over the target, because reported
latencies lag."""


class ServingLatency(msgspec.Struct):
    """The newest tail latency of a serving task and its target, in milliseconds.

    :param cpu: thousandths of a core that the task declares.
    """

    image: str
    tail_ms: int
    target_ms: int
    cpu: int = 0

    @property
    def headroom(self) -> float:
        """Return the target over the tail latency, which counts as at least 1 ms."""
        return self.target_ms / max(1, self.tail_ms)

    @property
    def used_cpu(self) -> float:
        """Return the estimated CPU use, in thousandths of a core."""
        load = 1 - self.headroom / IDLE_HEADROOM
        return self.cpu * min(MAX_LOAD, max(MIN_LOAD, load))


class BestEffortRun(msgspec.Struct):
    """A run of a best-effort task.

    :param cpu: thousandths of a core that the run may use at full pace.
    :param pace_percent: its current pace.
    :param age_s: time since its start, in seconds.
    :param is_new: whether no pace has been set yet; the run is at full pace until
        then.
    :param pace_known: whether the executor is known to apply ``pace_percent``;
        otherwise it may apply a lower pace.
    """

    image: str
    cpu: int
    pace_percent: int
    age_s: float = MEASURED_AFTER_S
    is_new: bool = False
    pace_known: bool = True


class BestEffortPacer:
    """Decides the pace of each best-effort run on a host.

    :param headroom_loss_per_core: headroom lost per core, by serving and best-effort
        image; the interference of other pairs is unknown.
    :param over_since: time since which, at every adjustment, at least one serving task
        has exceeded its target; ``None`` if none does.
    :param causes: what reduced a run's pace in the last decision: ``headroom``, ``cpu``
        or ``over-target``.
    """

    __slots__ = ("headroom_loss_per_core", "last_adjusted_at", "over_since", "causes")

    def __init__(self) -> None:
        self.headroom_loss_per_core: dict[tuple[str, str], float] = {}
        self.last_adjusted_at = 0.0
        self.over_since: float | None = None
        self.causes: dict[Hashable, str] = {}

    def set_interference(self, rows: list[tuple[str, str, float]]) -> None:
        """Replace the known pairs.

        :param rows: serving image, best-effort image, headroom lost per core.
        """
        self.headroom_loss_per_core = {
            (serving, best_effort): loss for serving, best_effort, loss in rows
        }

    def headroom_loss(
        self, latency: ServingLatency, run: BestEffortRun
    ) -> float | None:
        """Return the headroom that a serving task loses to a run at full pace.

        :returns: 0 if the run does not interfere, ``None`` if that is unknown.
        """
        per_core = self.headroom_loss_per_core.get((latency.image, run.image))
        if per_core is None:
            return None
        loss = per_core * run.cpu / MILLICORES_PER_CORE
        return loss if loss > INTERFERES_ABOVE else 0.0

    def decide(
        self,
        serving: list[ServingLatency],
        runs: dict[Hashable, BestEffortRun],
        now: float,
        cpu: int | None = None,
    ) -> dict[Hashable, int]:
        """Return the new paces, in percent, of the runs whose pace changes.

        :param cpu: thousandths of a core that serving tasks and best-effort runs
            may use together; ``None`` for no limit.

        New runs get a pace without waiting for the next adjustment: several that start
        together could otherwise use up the headroom of a serving task before the
        reported latencies show it.
        """
        self.causes = {}
        new = {key for key, run in runs.items() if run.is_new}
        over = any(latency.headroom < 1 for latency in serving)
        if now - self.last_adjusted_at < ADJUSTMENT_INTERVAL_S:
            if not new:
                return {}
            paces = self.compute_paces(serving, runs, new, may_slow=False)
            if over:
                self.forbid_increases(runs, paces)
            self.limit_cpu(serving, runs, paces, cpu)
            return changed_paces(runs, paces)
        self.last_adjusted_at = now
        if not over:
            self.over_since = None
        elif self.over_since is None:
            self.over_since = now
        if over and now - self.over_since >= ZERO_ALL_AFTER_S:
            self.causes = dict.fromkeys(runs, "over-target")
            return changed_paces(runs, dict.fromkeys(runs, 0.0))
        paces = self.compute_paces(serving, runs, set(runs), may_slow=True)
        if over:
            self.forbid_increases(runs, paces)
        self.limit_cpu(serving, runs, paces, cpu)
        return changed_paces(runs, paces)

    def forbid_increases(
        self, runs: dict[Hashable, BestEffortRun], paces: dict[Hashable, float]
    ) -> None:
        """Keep runs from being sped up, and new runs at pace 0.

        It applies while a serving task is over its target, to runs that are not known
        to interfere as well: several of them together may.

        :param paces: new paces in percent, updated in place.
        """
        for key, pace in paces.items():
            run = runs[key]
            highest = 0 if run.is_new else run.pace_percent
            if pace > highest:
                paces[key] = float(highest)
                if run.is_new:
                    self.causes[key] = "over-target"

    def limit_cpu(
        self,
        serving: list[ServingLatency],
        runs: dict[Hashable, BestEffortRun],
        paces: dict[Hashable, float],
        cpu: int | None,
    ) -> None:
        """Reduce paces until all tasks fit into the host's CPU.

        Runs with the largest possible loss are reduced first.

        :param paces: new paces in percent, updated in place; other runs keep theirs.
        """
        if cpu is None or not serving:
            return
        used = cpu * CPU_MARGIN_SHARE + sum(latency.used_cpu for latency in serving)
        for key, run in runs.items():
            used += run.cpu * paces.get(key, run.pace_percent) / FULL_PERCENT
        order = sorted(
            paces, key=lambda key: self.largest_loss(serving, runs[key]), reverse=True
        )
        for key in order:
            if used <= cpu:
                return
            run_cpu = max(1, runs[key].cpu)
            reduction = min(paces[key], (used - cpu) / run_cpu * FULL_PERCENT)
            paces[key] -= reduction
            used -= run_cpu * reduction / FULL_PERCENT
            if reduction > 0:
                self.causes[key] = "cpu"

    def compute_paces(
        self,
        serving: list[ServingLatency],
        runs: dict[Hashable, BestEffortRun],
        chosen: set[Hashable],
        may_slow: bool,
    ) -> dict[Hashable, float]:
        """Return the pace of each chosen run until the next adjustment.

        :param chosen: keys of the runs whose pace may change.
        :param may_slow: whether runs may be slowed as well as sped up.
        """
        paces = {k: 0.0 if r.is_new else float(r.pace_percent) for k, r in runs.items()}
        slowed: set[Hashable] = set()
        for latency in serving if may_slow else ():
            if latency.headroom < SLOW_BELOW:
                slowed |= self.slow_down(latency, runs, paces)
        spare = {
            index: latency.headroom
            - KEEP_HEADROOM
            - self.unmeasured_loss(latency, runs)
            for index, latency in enumerate(serving)
        }
        order = sorted(
            (key for key in runs if key in chosen - slowed),
            key=lambda key: self.largest_loss(serving, runs[key]),
        )
        for key in order:
            paces[key] += self.allot_increase(serving, runs[key], paces[key], spare)
        for key in chosen:
            if paces[key] < runs[key].pace_percent:
                self.causes[key] = "headroom"
        return {key: paces[key] for key in runs if key in chosen}

    def unmeasured_loss(
        self, latency: ServingLatency, runs: dict[Hashable, BestEffortRun]
    ) -> float:
        """Return the headroom lost to recent starts that is not yet measured."""
        return sum(
            self.possible_loss(latency, run) * run.pace_percent / FULL_PERCENT
            for run in runs.values()
            if not run.is_new and run.age_s < MEASURED_AFTER_S
        )

    def possible_loss(self, latency: ServingLatency, run: BestEffortRun) -> float:
        """Return the headroom that a serving task may lose to a run at full pace."""
        loss = self.headroom_loss(latency, run)
        if loss is None:
            return MAX_LOSS_PER_CORE * run.cpu / MILLICORES_PER_CORE
        return loss

    def slow_down(
        self,
        latency: ServingLatency,
        runs: dict[Hashable, BestEffortRun],
        paces: dict[Hashable, float],
    ) -> set[Hashable]:
        """Reduce paces until the headroom of a serving task is restored.

        :param paces: paces in percent by run, updated in place.
        :returns: the keys of the runs that must not be sped up in this adjustment.
        """
        loss_by_run = {
            key: self.headroom_loss(latency, run) for key, run in runs.items()
        }
        interfering = [key for key in runs if loss_by_run[key]]
        missing = KEEP_HEADROOM - latency.headroom
        for key in sorted(interfering, key=lambda key: -loss_by_run[key]):
            reduction = min(paces[key], missing / loss_by_run[key] * FULL_PERCENT)
            paces[key] -= reduction
            missing -= reduction * loss_by_run[key] / FULL_PERCENT
            if missing <= 0:
                return set(interfering)
        if latency.headroom >= UNKNOWN_SLOW_BELOW:
            return set(interfering)
        others = [key for key in runs if loss_by_run[key] is None]
        if latency.headroom < 1:
            others = [key for key in runs if not loss_by_run[key]]
        for key in others:
            paces[key] = min(
                paces[key], runs[key].pace_percent * UNKNOWN_SLOWDOWN_FACTOR
            )
        return {*interfering, *others}

    def largest_loss(self, serving: list[ServingLatency], run: BestEffortRun) -> float:
        """Return the largest loss that a run causes; 1e9 if one is unknown."""
        losses = [self.headroom_loss(latency, run) for latency in serving]
        return max((1e9 if loss is None else loss for loss in losses), default=0.0)

    def allot_increase(
        self,
        serving: list[ServingLatency],
        run: BestEffortRun,
        pace: float,
        spare: dict[int, float],
    ) -> float:
        """Return the percentage points to add to a run's pace; reduce ``spare``.

        :param spare: headroom above ``KEEP_HEADROOM``, less the loss not yet measured,
            by index of the serving task; reduced by the loss that the higher pace
            causes.
        """
        added = FULL_PERCENT - pace
        losses = {
            i: self.headroom_loss(latency, run) for i, latency in enumerate(serving)
        }
        possible = {
            i: self.possible_loss(latency, run) for i, latency in enumerate(serving)
        }
        for i, loss in losses.items():
            if possible[i] <= 0:
                continue
            affordable = max(0.0, spare[i] / possible[i] * FULL_PERCENT)
            # The limit is ``UNKNOWN_KEEP_HEADROOM``, expressed as ``spare`` is.
            if loss is None and spare[i] >= UNKNOWN_KEEP_HEADROOM - KEEP_HEADROOM:
                affordable = max(affordable, UNKNOWN_SPEEDUP_PERCENT)
            added = min(added, affordable)
        for i, loss in possible.items():
            spare[i] -= loss * added / FULL_PERCENT
        return added


def changed_paces(
    runs: dict[Hashable, BestEffortRun], paces: dict[Hashable, float]
) -> dict[Hashable, int]:
    """Return the paces, in whole percent, that may differ from the ones in force."""
    rounded = {key: to_percent(pace) for key, pace in paces.items()}
    return {
        key: pace
        for key, pace in rounded.items()
        if pace != runs[key].pace_percent or not runs[key].pace_known
    }


def to_percent(pace: float) -> int:
    """Return a pace in whole percent, 0 below ``ZERO_BELOW_PERCENT``."""
    percent = min(FULL_PERCENT, int(pace))
    return percent if percent >= ZERO_BELOW_PERCENT else 0
