"""Takeover of the scheduling of jobs of steps, where starts have no record.

Entry A schedules; entry B may claim at any moment. A task that was accepted before
the claim may be started by A on host W1, and by B on host W2. Every message may be
delayed for any time, and a call to an executor may take effect long after it was
given up; ``tick`` lets one unit of time pass for all. A timer holds the time that is
left, so a message in flight carries a value that shrinks.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

TASK_LEASE = 2

RULES = (
    "lease-counts-from-confirmation",
    "takeover-waits-for-leases",
    "fence-before-report",
    "start-carries-deadline",
    "executor-stops-at-lease-end",
    "agent-obeys-highest-epoch",
)


class State(NamedTuple):
    """Everything that the takeover depends on.

    :param claimed: whether the store has taken B's claim.
    :param lease_a: time left of the lease that A may grant.
    :param order: lease time of A's order on its way to W1's agent; -1 for none.
    :param call: the same for the agent's call on its way to the executor.
    :param lease: time left of the lease at the executor of W1.
    :param agent: epoch that W1's agent obeys; ``fence``: that of its executor.
    :param leases_end: time until B may take every lease of A as lapsed; -1 before.
    :param report: the report that nothing runs on W1: none, in flight or read.
    :param running1: whether the task runs on W1; ``running2``: on W2.
    """

    claimed: bool = False
    lease_a: int = TASK_LEASE
    order: int = -1
    call: int = -1
    lease: int = 0
    agent: int = 1
    fence: int = 1
    leases_end: int = -1
    report: str = "none"
    running1: bool = False
    running2: bool = False


def decrement(value: int) -> int:
    """Return a timer after one unit of time."""
    return max(value - 1, 0) if value >= 0 else value


def tick(state: State, removed: str) -> State:
    """Let one unit of time pass."""
    lease = decrement(state.lease)
    ends = lease == 0 and removed != "executor-stops-at-lease-end"
    return state._replace(
        lease_a=decrement(state.lease_a),
        order=decrement(state.order),
        call=decrement(state.call),
        lease=lease,
        leases_end=decrement(state.leases_end),
        running1=state.running1 and not ends,
    )


def first_owner_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of A, who may not have heard of the claim."""
    steps = []
    if not state.claimed:
        steps.append(("a_is_confirmed", state._replace(lease_a=TASK_LEASE)))
    free = removed == "lease-counts-from-confirmation"
    granted = TASK_LEASE if free else state.lease_a
    if granted > 0 and state.order < 0:
        steps.append(("a_orders", state._replace(order=granted)))
    return steps


def host_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of W1's agent and executor."""
    steps = []
    if state.order >= 0:
        obeys = state.agent == 1 or removed == "agent-obeys-highest-epoch"
        after = state._replace(order=-1)
        if obeys and state.order > 0:
            after = after._replace(call=max(state.call, state.order))
        steps.append(("agent_receives_order", after))
    if state.call >= 0:
        carried = state.call if removed != "start-carries-deadline" else TASK_LEASE
        fence = state.agent if removed == "agent-obeys-highest-epoch" else 1
        after = state._replace(call=-1)
        if carried > 0 and state.fence <= fence:
            after = after._replace(running1=True, lease=max(state.lease, carried))
        steps.append(("executor_receives_call", after))
    if state.claimed and state.agent == 1:
        steps.append(("agent_learns_of_b", state._replace(agent=2)))
    if state.agent == 2 and state.fence == 1:
        steps.append(("executor_receives_fence", state._replace(fence=2)))
    certain = state.fence == 2 or removed == "fence-before-report"
    if state.agent == 2 and certain and not state.running1 and state.report == "none":
        steps.append(("agent_reports", state._replace(report="in-flight")))
    return steps


def second_owner_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of B."""
    steps = []
    if not state.claimed:
        after = state._replace(claimed=True, leases_end=TASK_LEASE)
        steps.append(("b_claims", after))
    if state.report == "in-flight":
        steps.append(("b_reads_report", state._replace(report="read")))
    may_start = state.report == "read" or state.leases_end == 0
    if removed == "takeover-waits-for-leases":
        may_start = state.claimed
    if may_start and not state.running2:
        steps.append(("b_starts", state._replace(running2=True)))
    return steps


def make_protocol(removed: str = "") -> Protocol:
    """Return the specification, without the rule named ``removed``."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = [("tick", tick(state, removed))]
        steps += first_owner_steps(state, removed)
        steps += host_steps(state, removed)
        steps += second_owner_steps(state, removed)
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="takeover",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"one_place": lambda s: not (s["running1"] and s["running2"])},
    )
