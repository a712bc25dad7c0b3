"""Decides until when tasks may start by what the owner has read from the store.

Load: the store serves operators and other entries, but not the owner. Operators close
a failure domain, or callers cancel a job at another entry, and the owner does not read
it. It can't tell this from an outage in which nobody is served. So each fact counts for
a limited time from the read that confirmed it, and so does an order that rests on it.

What the owner has read is complete up to the time at which its newest successful read
was sent. A start that the executor gets within the bound of the platform after that
time is in time, whatever the owner has not read yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events

if TYPE_CHECKING:
    from collections.abc import Callable

CALL_MARGIN_S = 0.3
"""Time in seconds that is left for the call from the agent to the executor."""

MIN_START_TIME_S = 0.1
"""Shortest time in seconds that an order to start has to reach the executor; with less
left, none is given."""


class StartGate:
    """Limits the age of what the owner has read when tasks start.

    :param domain_bound_s: time within which starts in a closed failure domain end, from
        the confirmation of the closing on.
    :param cancel_bound_s: time within which starts of a cancelled job end, likewise.
    :param domains_read_at: returns when the newest successful read of the operators'
        records was sent.
    :param jobs_read_at: returns the same for the records of jobs.
    :param closed_since: when the gate closed; ``None`` while it is open.
    """

    __slots__ = (
        "domain_bound_s",
        "cancel_bound_s",
        "domains_read_at",
        "jobs_read_at",
        "closed_since",
    )

    def __init__(
        self,
        domain_bound_s: float,
        cancel_bound_s: float,
        domains_read_at: Callable[[], float],
        jobs_read_at: Callable[[], float],
    ) -> None:
        self.domain_bound_s = domain_bound_s
        self.cancel_bound_s = cancel_bound_s
        self.domains_read_at = domains_read_at
        self.jobs_read_at = jobs_read_at
        self.closed_since: float | None = None

    def ends_at(self) -> float:
        """Return the time from which no task may start without a further read."""
        domains_end_at = self.domains_read_at() + self.domain_bound_s
        jobs_end_at = self.jobs_read_at() + self.cancel_bound_s
        return min(domains_end_at, jobs_end_at) - CALL_MARGIN_S

    def check(self, now: float) -> float:
        """Return :meth:`ends_at`, and log when the gate closes or opens."""
        ends_at = self.ends_at()
        is_open = has_time_to_start(ends_at, now)
        if is_open and self.closed_since is not None:
            events.write(
                events.STARTS_RESUMED, after_s=round(now - self.closed_since, 3)
            )
            self.closed_since = None
        elif not is_open and self.closed_since is None:
            events.write(
                events.STARTS_SUSPENDED,
                domains_age_s=round(now - self.domains_read_at(), 3),
                jobs_age_s=round(now - self.jobs_read_at(), 3),
            )
            self.closed_since = now
        return ends_at


def has_time_to_start(ends_at: float, now: float) -> bool:
    """Return whether an order that is given now can reach its executor in time."""
    return now + MIN_START_TIME_S <= ends_at
