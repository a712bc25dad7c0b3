"""Durations that several processes must agree on, and clocks.

The leases are chosen together: a task's lease must outlive the silence after
which another entry claims the scheduling (``OWNER_TIMEOUT_S``) plus the time to
dial every agent, and may not exceed what executors grant.
"""

from __future__ import annotations

import time

TASK_LEASE_S = 9.0
"""Longest time that runs go on after the owner was last confirmed; executors
grant at most ``hold_max_ms`` (10 s)."""

CLOCK_DRIFT = 0.02
"""An executor's clock may be this much slow (the platform's bound)."""

LEASE_MARGIN_S = 0.4
"""Added to a lapsed lease: twice ``TASK_LEASE_S`` times ``CLOCK_DRIFT``, and a
little for the executor to kill what it ran."""

OWNER_TIMEOUT_S = 2.5
"""An owner that has written nothing for so long may be replaced; 2.5 renewals."""

OWNER_RENEWAL_INTERVAL_S = 1.0
"""An owner that wrote nothing for so long writes a renewal."""


def steady_clock() -> float:
    """Return monotonic seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_clock_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
