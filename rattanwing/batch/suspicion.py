"""Finds out which task crashes the executors that start it.

A crashing task ends every executor soon after its start, and with it all runs there.
A task is suspected after an executor has crashed soon after starting it, and cleared
once it has run for longer. Suspected tasks of different jobs never run on one host, and
a job with suspected tasks starts them one at a time, so that the next crash shows which
task is the cause. A task that has crashed several executors is started alone. Its job
is given up once its crashes are hardly due to chance, as often as executors crash by
themselves at present, or after a number of crashes of which one is clear.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

SURVIVAL_S = 0.25
"""Time in seconds for which an executor must have run a task for its crash not to be
due to the task."""

CLEARED_WITHOUT_PROGRESS_S = 3.0
"""Time in seconds after which a run that makes no progress clears its task too. The
run of a crashing task may stand still on a defective host."""

HOLD_S = 1.0
"""Longest time in seconds for which a host starts nothing beside a suspected task that
has just started there, so that only this task can be the cause of a crash."""

HELD_SHARE = 0.25
"""Largest share of the hosts that are held at the same time for tasks with one crash,
but at least one."""

SAME_TIME_S = 0.1
"""Crashes of executors that are no further apart than this, in seconds, may have one
cause outside the tasks."""

TEST_SPACING_S = 2 * SAME_TIME_S
"""Shortest time in seconds between the starts of two tasks that must start alone, so
that their crashes are told apart."""

COINCIDENCE_LIMIT = 0.002
"""Bound on the number of tasks without fault, among those suspected lately, that chance
makes look as suspicious as a task that is given up."""

MAX_CRASHES = 4
"""Number of crashes after which a task is given up however often executors crash by
themselves, if one of them is clear and the last has no other known cause."""

MAX_UNCLEAR_CRASHES = 5
"""Number of crashes after which a task is given up however they came about."""

MAX_CRASHES_INHERITED = 3
"""The same for a task that an earlier owner may have started, of whose crashes some may
not be known."""

ALONE_FROM_CRASHES = 2
"""Number of crashes from which a suspected task starts alone on its host, as its next
crash may end its job."""


def has_survived(survived_s: float, progress_percent: int) -> bool:
    """Return whether a run shows that its task is not a crashing one.

    :param survived_s: time for which the executor is known to have run it.
    """
    if progress_percent > 0:
        return survived_s >= SURVIVAL_S
    return survived_s >= CLEARED_WITHOUT_PROGRESS_S


def chance_of_crash(crashes: int, host_seconds: float) -> float:
    """Return how likely an executor crashes by itself within ``SURVIVAL_S``.

    :param crashes: number of recent crashes of such executors.
    :param host_seconds: time for which they were counted, times the number of hosts.
    """
    return min(1.0, crashes * SURVIVAL_S / max(host_seconds, SURVIVAL_S))


def expected_coincidences(suspects: int, chances: list[float]) -> float:
    """Return how many tasks without fault may be expected to look as if they had one.

    Executors that crash by themselves do so by chance soon after the start of a
    suspected task.

    :param suspects: number of tasks that were suspected lately.
    :param chances: for each start of the task as a suspect that a crash followed, how
        likely the crash is without the task.
    """
    return suspects * math.prod(chances)


def should_give_up(
    crashes: int, decides: bool, inherited: bool, coincidences: float
) -> bool:
    """Return whether a task is to be given up after a crash.

    :param crashes: number of executors that crashed soon after starting the task.
    :param decides: whether one of these crashes is clear, and the last has no other
        known cause.
    :param inherited: whether an earlier owner may have started it.
    :param coincidences: see :func:`expected_coincidences`.
    """
    if coincidences < COINCIDENCE_LIMIT:
        return True
    if inherited:
        return crashes >= MAX_CRASHES_INHERITED
    return crashes >= (MAX_CRASHES if decides else MAX_UNCLEAR_CRASHES)


def must_start_alone(crashes: int) -> bool:
    """Return whether a suspected task starts only where nothing has just started.

    :param crashes: number of executors that crashed soon after starting it.
    """
    return crashes >= ALONE_FROM_CRASHES


def may_hold(held: int, hosts: int, crashes: int) -> bool:
    """Return whether one more host may be held.

    :param held: number of hosts that are held now.
    :param hosts: number of all hosts.
    :param crashes: number of executors that crashed soon after starting the task to
        hold it for. The host of one that must start alone is always held.
    """
    return must_start_alone(crashes) or held < max(1, int(hosts * HELD_SHARE))


def is_isolated(crashed_at: float, others: Iterable[float]) -> bool:
    """Return whether a crash is apart from the failures of other executors.

    :param others: times at which other executors stopped answering.
    """
    return all(abs(at - crashed_at) > SAME_TIME_S for at in others)
