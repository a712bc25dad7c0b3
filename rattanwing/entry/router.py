"""Choice of an executor: load and slowness aware, by failure domain distance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from rattanwing.entry.agents import AgentHandle
    from rattanwing.entry.interference import InterferenceModel

DISTANT_DOMAIN_PENALTY = 0.05
RAMP_UP_S = 10.0
RAMP_UP_INITIAL_WEIGHT = 0.1
EJECTION_SLOWNESS_RATIO = 3.0
MAX_EJECTED_FRACTION = 1 / 3
SAMPLE_SIZE = 5


def load_per_slot(handle: AgentHandle) -> float:
    """Return the executor's load in requests per slot, one more included.

    The announced load lags, so this entry's own open requests count at least.
    """
    announced = handle.heartbeat.busy + handle.heartbeat.queued
    return (max(announced, handle.in_flight) + 1) / handle.hello.executor.slots


def ramp_weight(handle: AgentHandle, now: float) -> float:
    """Return the share of its load that a newly connected executor may take."""
    age = now - handle.connected_at
    return min(
        1.0, RAMP_UP_INITIAL_WEIGHT + (1 - RAMP_UP_INITIAL_WEIGHT) * age / RAMP_UP_S
    )


def slow_executors(
    handles: list[AgentHandle], interference: InterferenceModel
) -> set[str]:
    """Return the names of executors that are far slower than the median.

    Never more than a third of a service, whatever the latencies say.
    """
    values = sorted(interference.slowness_of(h.name) for h in handles)
    limit = EJECTION_SLOWNESS_RATIO * values[len(values) // 2] if values else 0.0
    slow = [h for h in handles if interference.slowness_of(h.name) > limit]
    slow.sort(key=lambda h: -interference.slowness_of(h.name))
    most = int(len(handles) * MAX_EJECTED_FRACTION)
    return {handle.name for handle in slow[:most]}


def cost(
    handle: AgentHandle, domain: str, interference: InterferenceModel, now: float
) -> float:
    """Return the cost of one more request at an executor; less is better.

    Service time grows with the slowness, and waiting with the square of the
    load; another failure domain costs its distance.
    """
    load = load_per_slot(handle) / ramp_weight(handle, now)
    slowness = interference.slowness_of(handle.name)
    distance = 0.0
    if handle.hello.failure_domain != domain:
        distance = DISTANT_DOMAIN_PENALTY
    return slowness * (1 + load * load) + distance


def candidates(
    handles: list[AgentHandle], service: str, domains_out: list[str], now: float
) -> list[AgentHandle]:
    """Return the executors of a service that take new requests.

    Those in a failure domain that is taken out serve only when no other does.
    """
    serving = [
        handle
        for handle in handles
        if handle.hello.executor is not None
        and handle.hello.executor.service == service
        and handle.is_responsive(now)
        and not handle.heartbeat.leaving
    ]
    inside = [h for h in serving if h.hello.failure_domain not in domains_out]
    return inside or serving


def choose(
    handles: list[AgentHandle],
    domain: str,
    tried: set[str],
    interference: InterferenceModel,
    now: float,
    random: Random,
) -> AgentHandle | None:
    """Return the cheapest of some random executors that were not tried yet.

    :param handles: the service's candidates.
    :param domain: failure domain of this entry.
    """
    left = [h for h in handles if h.name not in tried]
    if not left:
        return None
    slow = slow_executors(handles, interference)
    preferred = [h for h in left if h.name not in slow] or left
    picked = random.sample(preferred, min(SAMPLE_SIZE, len(preferred)))
    return min(picked, key=lambda handle: cost(handle, domain, interference, now))
