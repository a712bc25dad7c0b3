"""Choice of an executor: load and latency aware, by failure domain distance."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from rattanwing.entry.agents import AgentHandle

DISTANT_DOMAIN_PENALTY = 0.25
RAMP_UP_S = 10.0
RAMP_UP_START = 0.1
EJECT_FACTOR = 3.0
EJECT_FLOOR_S = 0.02
MAX_EJECTED_SHARE = 1 / 3
LATENCY_WEIGHT = 0.2


def load_of(handle: AgentHandle) -> float:
    """Return the executor's load in requests per slot.

    The announced load lags, so this entry's own open requests count at least.
    """
    announced = handle.heartbeat.busy + handle.heartbeat.queued
    return (max(announced, handle.in_flight) + 1) / handle.hello.executor.slots


def ramp_weight(handle: AgentHandle, now: float) -> float:
    """Return the share of its load that a newly connected executor may take."""
    age = now - handle.connected_at
    return min(1.0, RAMP_UP_START + (1 - RAMP_UP_START) * age / RAMP_UP_S)


def median_latency_s(handles: list[AgentHandle]) -> float:
    """Return the median of the latencies that are known, or 0."""
    known = sorted(h.latency_s for h in handles if h.latency_s > 0)
    return known[len(known) // 2] if known else 0.0


def slow_executors(handles: list[AgentHandle]) -> set[str]:
    """Return the names of executors that are far slower than the median.

    Never more than a third of a service, whatever the latencies say.
    """
    limit = max(EJECT_FACTOR * median_latency_s(handles), EJECT_FLOOR_S)
    slow = [h for h in handles if h.latency_s > limit]
    slow.sort(key=lambda h: -h.latency_s)
    most = int(len(handles) * MAX_EJECTED_SHARE)
    return {handle.name for handle in slow[:most]}


def score(handle: AgentHandle, domain: str, median_s: float, now: float) -> float:
    """Return the cost of one more request at an executor; less is better."""
    cost = load_of(handle) / ramp_weight(handle, now)
    if median_s > 0 and handle.latency_s > 0:
        cost *= (handle.latency_s / median_s) ** 0.5
    if handle.hello.failure_domain != domain:
        cost += DISTANT_DOMAIN_PENALTY
    return cost


def candidates(
    handles: list[AgentHandle], service: str, now: float
) -> list[AgentHandle]:
    """Return the executors of a service that take new requests."""
    return [
        handle
        for handle in handles
        if handle.hello.executor is not None
        and handle.hello.executor.service == service
        and handle.is_fresh(now)
        and not handle.heartbeat.leaving
    ]


def choose(
    handles: list[AgentHandle], domain: str, tried: set[str], now: float, random: Random
) -> AgentHandle | None:
    """Return the better of two random executors that were not tried yet.

    :param handles: the service's candidates.
    :param domain: failure domain of this entry.
    """
    slow = slow_executors(handles)
    left = [h for h in handles if h.name not in tried]
    if not left:
        return None
    preferred = [h for h in left if h.name not in slow] or left
    picked = random.sample(preferred, min(2, len(preferred)))
    median_s = median_latency_s(handles)
    return min(picked, key=lambda handle: score(handle, domain, median_s, now))


def note_latency(handle: AgentHandle, seconds: float) -> None:
    """Fold one service time into the executor's moving average."""
    if handle.latency_s == 0.0:
        handle.latency_s = seconds
        return
    handle.latency_s += LATENCY_WEIGHT * (seconds - handle.latency_s)
