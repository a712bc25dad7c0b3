"""The durations that entries and agents must agree on, in seconds.

Only durations on each process's own monotonic clock count. ``CLOCK_MARGIN_S``
covers the drift of two clocks over the sum of both leases.
"""

from __future__ import annotations

TASK_LEASE_S = 8.0
OWNER_LEASE_S = 6.0
CLOCK_MARGIN_S = 1.0
FRESHNESS_S = 3.0
START_ORDER_MAX_AGE_S = 5.0
