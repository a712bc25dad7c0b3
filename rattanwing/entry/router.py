"""Choice of a request's executor by load, slowness and failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from rattanwing.entry.agents import AgentHandle
    from rattanwing.entry.interference import InterferenceModel

DISTANT_DOMAIN_PENALTY = 0.05
"""Cost added for an executor in another failure domain than this entry; without load
the fastest executor costs 1."""

RAMP_UP_S = 10.0
"""Seconds after connecting until an executor gets its full share of requests."""

RAMP_UP_INITIAL_WEIGHT = 0.1
"""Weight of an executor that has just connected: its load counts ten times."""

EJECTION_SLOWNESS_RATIO = 3.0
"""An executor whose slowness is above the median by more than this factor may be
ejected: it then gets new requests only when no other executor is left to try."""

MAX_EJECTED_FRACTION = 1 / 3
"""Largest fraction of a service's executors that is ejected at one time."""

SAMPLE_SIZE = 5
"""Number of random executors whose costs are compared for one request."""


def load_per_slot(handle: AgentHandle) -> float:
    """Return the executor's requests per slot, counting one more request.

    The reported load lags behind, so it counts as no less than the number of this
    entry's open requests there.
    """
    reported = handle.heartbeat.busy + handle.heartbeat.queued
    return (max(reported, handle.in_flight) + 1) / handle.hello.executor.slots


def ramp_weight(handle: AgentHandle, now: float) -> float:
    """Return the weight of an executor, below 1 while it ramps up."""
    age = now - handle.connected_at
    return min(
        1.0, RAMP_UP_INITIAL_WEIGHT + (1 - RAMP_UP_INITIAL_WEIGHT) * age / RAMP_UP_S
    )


def ejected_executors(
    handles: list[AgentHandle], interference: InterferenceModel
) -> set[str]:
    """Return the names of the agents whose executors are ejected.

    These are the slowest of the executors above ``EJECTION_SLOWNESS_RATIO``, at most
    ``MAX_EJECTED_FRACTION`` of the handles.
    """
    values = sorted(interference.slowness_of(h.name) for h in handles)
    limit = EJECTION_SLOWNESS_RATIO * values[len(values) // 2] if values else 0.0
    slow = [h for h in handles if interference.slowness_of(h.name) > limit]
    slow.sort(key=lambda h: -interference.slowness_of(h.name))
    max_ejected = int(len(handles) * MAX_EJECTED_FRACTION)
    return {handle.name for handle in slow[:max_ejected]}


def cost(
    handle: AgentHandle, domain: str, interference: InterferenceModel, now: float
) -> float:
    """Return the cost of sending one more request to an executor; lower is better.

    The cost grows with slowness, which stands for service time, and with the square
    of the load, which stands for queueing.

    :param domain: failure domain of this entry.
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
    """Return the executors of a service that accept new requests.

    Executors in failure domains that are taken out are returned only when there
    are no others.
    """
    serving = [
        handle
        for handle in handles
        if handle.hello.executor is not None
        and handle.hello.executor.service == service
        and handle.is_responsive(now)
        and handle.heartbeat.executor_reachable
        and not handle.heartbeat.leaving
    ]
    in_service = [h for h in serving if h.hello.failure_domain not in domains_out]
    return in_service or serving


def choose(
    handles: list[AgentHandle],
    domain: str,
    tried: set[str],
    interference: InterferenceModel,
    now: float,
    random: Random,
) -> AgentHandle | None:
    """Return the cheapest executor in a random sample, or ``None`` if all were tried.

    Ejected executors are sampled only when no other is left.

    :param handles: the service's candidates.
    :param domain: failure domain of this entry.
    :param tried: names of agents that already had an attempt at the request.
    """
    untried = [h for h in handles if h.name not in tried]
    if not untried:
        return None
    ejected = ejected_executors(handles, interference)
    preferred = [h for h in untried if h.name not in ejected] or untried
    sample = random.sample(preferred, min(SAMPLE_SIZE, len(preferred)))
    return min(sample, key=lambda handle: cost(handle, domain, interference, now))
