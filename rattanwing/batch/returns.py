"""Decides when refused callers should return.

An entry refuses jobs while the store is unreachable. Callers return a few times only,
so a fixed short pause uses up their attempts within an outage of some seconds, and they
all come back in the same moment. How long an outage lasts is not known in advance; one
that has lasted for some time is expected to last about as long again.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

MIN_RETRY_AFTER_S = 1
"""Shortest pause that callers are asked for, in seconds."""

MAX_RETRY_AFTER_S = 5
"""Longest pause that callers are asked for, in seconds; a job that is handed in later
is usually late."""


def retry_after_s(outage_s: float, random: Random) -> int:
    """Return the whole seconds after which a refused caller should return.

    :param outage_s: for how long the store has been unreachable; 0 if it is reachable.
    :param random: spreads the callers of one moment over a second.
    """
    pause_s = ceil(outage_s + random.random() - 0.5)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, pause_s))
