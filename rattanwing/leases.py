"""Lease durations and age limits shared by entries and agents, in seconds.

Each process measures them on its own monotonic clock. ``TASK_LEASE_S`` is longer than
the sum of ``OWNER_LEASE_S``, ``CLOCK_MARGIN_S``, the time to claim a shard and one
heartbeat interval. Tasks therefore keep running while a new owner takes over a shard
whose owner has crashed.
"""

from __future__ import annotations

TASK_LEASE_S = 12.0
"""How long a task may run after the heartbeat whose answer last extended its lease."""

OWNER_LEASE_S = 5.0
"""How long an entry owns a shard without renewing its lease."""

CLOCK_MARGIN_S = 1.0
"""Largest difference, in seconds, that two hosts' clocks may accumulate during
``OWNER_LEASE_S`` plus ``TASK_LEASE_S``."""

MAX_CONFIG_AGE_S = 3.0
"""Age of an agent's configuration above which the agent starts no tasks."""

MAX_START_ORDER_AGE_S = 5.0
"""Age of the heartbeat echoed in a start order above which the order is refused."""
