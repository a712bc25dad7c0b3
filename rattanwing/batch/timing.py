"""Clocks, and the durations that several processes must agree on.

The durations depend on each other: a task's lease must be longer than the time
after which another entry claims ownership (``OWNER_TIMEOUT_S``) plus the time that
it needs to connect to every agent, and at most what executors grant.
"""

from __future__ import annotations

import time

TASK_LEASE_S = 9.0
"""Longest time for which runs continue after the store last confirmed the owner;
executors grant at most ``hold_max_ms`` (10 s)."""

CLOCK_DRIFT = 0.02
"""Largest fraction by which an executor's clock may run slow, as guaranteed by the
platform."""

LEASE_MARGIN_S = 0.4
"""Wait beyond a lease's end before its runs count as ended: twice ``TASK_LEASE_S``
times ``CLOCK_DRIFT``, and 40 ms for the executor to kill them."""

OWNER_TIMEOUT_S = 2.5
"""Time without a record from the owner after which another entry may claim
ownership; 2.5 renewal intervals."""

OWNER_RENEWAL_INTERVAL_S = 1.0
"""Time without a successful append after which the owner writes a renewal."""


def steady_clock() -> float:
    """Return monotonic seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_clock_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
