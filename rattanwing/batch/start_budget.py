"""Limits how many tasks the owner holds, and how many it starts in one round.

Load: jobs of very many tasks that need little room, so that the hosts alone would let
all of them start at once.
"""

from __future__ import annotations

from rattanwing import events

DEFAULT_MAX_HELD_TASKS = 20_000
"""Number of tasks that the owner holds at most where its memory is not known."""

MAX_STARTS_PER_ROUND = 1_000
"""Most tasks that are started in one round of decisions. Their orders hold the text of
their job, and rounds are at most a quarter of a second apart."""

LOG_INTERVAL_S = 10.0
"""Shortest time in seconds between two log lines about the limit."""


class StartBudget:
    """The tasks that may still be held and started in a round.

    :param max_held_tasks: most tasks to hold: those that have or had a run, and are not
        done.
    :param logged_at: when the limit was last logged.
    """

    __slots__ = ("max_held_tasks", "held_tasks", "starts", "now", "logged_at")

    def __init__(self, max_held_tasks: int, now: float) -> None:
        self.max_held_tasks = max_held_tasks
        self.held_tasks = 0
        self.starts = 0
        self.now = now
        self.logged_at = float("-inf")

    def begin_round(self, held_tasks: int, now: float) -> None:
        """Begin a round.

        :param held_tasks: number of tasks that are held.
        """
        self.held_tasks = held_tasks
        self.starts = 0
        self.now = now

    def allows(self, starts: int, fresh: int) -> bool:
        """Return whether tasks may be started together.

        A gang beyond a limit may still be the first to start.

        :param fresh: how many of them have never had a run and are to be held.
        """
        if self.starts and self.starts + starts > MAX_STARTS_PER_ROUND:
            return False
        if not fresh or not self.held_tasks:
            return True
        if self.held_tasks + fresh <= self.max_held_tasks:
            return True
        if self.now - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = self.now
            events.write(events.TASKS_LIMITED, held=self.held_tasks)
        return False

    def spend(self, starts: int, fresh: int) -> None:
        """Count tasks that were started, like :meth:`allows`."""
        self.starts += starts
        self.held_tasks += fresh
