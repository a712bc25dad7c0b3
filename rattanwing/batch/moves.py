"""Chooses the throttled best-effort runs to move to another host.

Agents slow down best-effort runs that interfere with serving tasks, often to a pace
of 0 for as long as the load of a serving task is high. Many of these runs were placed
before it was known which images interfere. A step is done only with its last task, so
one such run holds up its whole job, while other hosts may have unused CPU and serving
tasks with headroom for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.batch.colocation import summarize_colocation
from rattanwing.batch.headroom import expected_start_pace
from rattanwing.batch.placement import (
    count_runs_on,
    rejection_reason,
    unsuitable_reason,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattanwing.batch.hosts import Host, Run
    from rattanwing.batch.interference import InterferenceModel
    from rattanwing.batch.placement import Constraints

MOVE_AFTER_S = 1.5
"""Time in seconds for which a run must have been throttled; longer than the short
peaks of load of serving tasks."""

MOVE_TO_PERCENT = 75
"""Lowest pace in percent at which a moved run must be able to start."""

MAX_LOST_PERCENT = 20
"""Progress in percent up to which a run without checkpoints may be moved, although it
starts again from the beginning."""

MAX_MOVES = 16
"""Largest number of moves in one round of decisions."""

MAX_MOVES_PER_TASK = 2
"""Largest number of moves of one task; a task that is throttled everywhere stays."""


def choose_moves(
    hosts: Iterable[Host],
    constraints: Constraints,
    interference: InterferenceModel,
    now: float,
) -> list[tuple[Run, Host]]:
    """Return the runs to move, each with a host where it would be at work at once.

    Runs that have been throttled for the longest come first. A host is named at most
    once, as its room is not reserved.
    """
    hosts = list(hosts)
    throttled = [
        run
        for host in hosts
        if host.accepts_starts(now)
        for run in host.runs.values()
        if is_movable(run, now)
    ]
    if not throttled:
        return []
    throttled.sort(key=lambda run: run.throttled_since)
    targets = list_by_room(hosts, interference, now)
    moves: list[tuple[Run, Host]] = []
    for run in throttled:
        target = find_target(run, targets, constraints, interference, now)
        if target is None:
            continue
        targets = [(room, host) for room, host in targets if host is not target]
        moves.append((run, target))
        if len(moves) >= MAX_MOVES:
            break
    return moves


def is_movable(run: Run, now: float) -> bool:
    """Return whether a run is throttled and loses little work when it is moved."""
    if run.throttled_since is None or now - run.throttled_since < MOVE_AFTER_S:
        return False
    if run.last_stop_ordered_at is not None or not run.reported:
        return False
    task, step = run.task, run.task.step
    if step.gang or step.long_running or task.is_suspect():
        return False
    if task.moves >= MAX_MOVES_PER_TASK:
        return False
    return step.saves_checkpoints or run.progress_percent <= MAX_LOST_PERCENT


def list_by_room(
    hosts: list[Host], interference: InterferenceModel, now: float
) -> list[tuple[int, Host]]:
    """Return the hosts with CPU for best-effort tasks, and how much; most first."""
    rooms = [
        (summarize_colocation(host, interference).best_effort_cpu_available, host)
        for host in hosts
        if host.accepts_starts(now)
        and not host.health.is_failing(now)
        and not host.is_held(now)
    ]
    rooms = [(room, host) for room, host in rooms if room > 0]
    rooms.sort(key=lambda pair: pair[0], reverse=True)
    return rooms


def find_target(
    run: Run,
    targets: list[tuple[int, Host]],
    constraints: Constraints,
    interference: InterferenceModel,
    now: float,
) -> Host | None:
    """Return the host with the most unused CPU on which a run would be at work at once.

    :param targets: hosts with their unused CPU, most first.
    """
    task, step = run.task, run.task.step
    for room, host in targets:
        if room < step.cpu:
            return None
        if host is run.host or host.name in task.failed_on:
            continue
        if expected_start_pace(host, step, interference) < MOVE_TO_PERCENT:
            continue
        if rejection_reason(host, task.job, step, constraints, now):
            continue
        if unsuitable_reason(host, step, interference, now):
            continue
        if 0 < step.spread_limit <= count_runs_on(host, task):
            continue
        return host
    return None
