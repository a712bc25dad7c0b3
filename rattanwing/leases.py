"""The durations that entries and agents must agree on, in seconds.

Only durations on each process's own monotonic clock count. ``CLOCK_MARGIN_S``
covers the drift of two clocks over the sum of both leases. The task lease is
longer than an owner's lease with the margin, the claim and one heartbeat, so
that tasks outlive the death of their shard's owner.
"""

from __future__ import annotations

TASK_LEASE_S = 12.0
OWNER_LEASE_S = 5.0
CLOCK_MARGIN_S = 1.0
MAX_CONFIG_AGE_S = 3.0
MAX_START_ORDER_AGE_S = 5.0
