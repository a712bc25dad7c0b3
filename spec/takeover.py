"""Model of a takeover of batch scheduling, where the log has no record of starts.

Entry A schedules; entry B may claim the scheduling at any moment. A may start the same
task on host W1 and B on host W2. Any message may be delayed for any time, and a call to
an executor may take effect long after its caller has timed out. ``tick`` lets one unit
of time pass for all. A timer holds the time that is left, so the lease time in a
message decreases while it is in flight.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

TASK_LEASE = 2

RULES = (
    # A lease that A grants ends a fixed time after A was last confirmed as the owner.
    "lease-counts-from-confirmation",
    # B starts the task only after a report that nothing runs on W1, or after the end
    # of every lease that A can have granted.
    "takeover-waits-for-leases",
    # The agent reports to B only after its executor has accepted B's fence, so that no
    # earlier call can start a run after the report.
    "fence-before-report",
    # A start call carries the end of its lease, not a duration.
    "start-carries-deadline",
    # An executor ends its runs when their lease ends.
    "executor-stops-at-lease-end",
    # An agent refuses orders of a lower epoch than the highest that it knows.
    "agent-obeys-highest-epoch",
)
"""Rules of the protocol; without any one of them, an invariant must fail."""


class State(NamedTuple):
    """State of the model.

    :param claimed: whether the store holds B's claim.
    :param lease_a: longest lease time that A may grant now.
    :param order: lease time of A's start order in flight to W1's agent; -1 for none.
    :param call: the same for the agent's call in flight to the executor.
    :param lease: time left of the task's lease at W1's executor.
    :param agent: highest epoch that W1's agent knows; ``fence``: the same for its
        executor.
    :param leases_end: time until B may assume that every lease of A has ended; -1
        before its claim.
    :param report: state of the report that nothing runs on W1: ``none``,
        ``in-flight`` or ``read``.
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
    """Return a timer after one unit of time; a negative one is not running."""
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
    """Return the steps of A, which may not know of the claim yet."""
    steps = []
    if not state.claimed:
        steps.append(("a_is_confirmed", state._replace(lease_a=TASK_LEASE)))
    unlimited = removed == "lease-counts-from-confirmation"
    granted = TASK_LEASE if unlimited else state.lease_a
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
        granted = state.call if removed != "start-carries-deadline" else TASK_LEASE
        fence = state.agent if removed == "agent-obeys-highest-epoch" else 1
        after = state._replace(call=-1)
        if granted > 0 and state.fence <= fence:
            after = after._replace(running1=True, lease=max(state.lease, granted))
        steps.append(("executor_receives_call", after))
    if state.claimed and state.agent == 1:
        steps.append(("agent_learns_of_b", state._replace(agent=2)))
    if state.agent == 2 and state.fence == 1:
        steps.append(("executor_receives_fence", state._replace(fence=2)))
    fenced = state.fence == 2 or removed == "fence-before-report"
    if state.agent == 2 and fenced and not state.running1 and state.report == "none":
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
    """Return the model; without the rule ``removed``, if given."""

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
