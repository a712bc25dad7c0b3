"""Model of the freshness gate: no task starts long after its domain was taken out.

An entry reads the configuration and acknowledges an agent's heartbeats. The agent
starts tasks only while its view of the configuration was confirmed recently, and gives
the worker a deadline after which the worker must not start the task. Times count units
of the model's ``tick``.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

FRESHNESS = 2
"""Longest age of a confirmed view with which an agent may start tasks."""

START_LIMIT = FRESHNESS
TOO_LATE = START_LIMIT + 1

RULES = (
    # The age of a view counts from the sending of the heartbeat whose answer
    # confirms it, not from the arrival of the answer.
    "age-counts-from-send",
    # An agent orders no start once its view is too old.
    "gate-closes-when-stale",
    # A worker refuses an order after its deadline.
    "worker-checks-start-deadline",
    # An agent orders no start while it knows that its domain is out.
    "agent-refuses-when-domain-out",
)
"""Rules of the protocol; without any one of them, an invariant must fail."""


class State(NamedTuple):
    """State of the model.

    :param out: whether the log says that the domain is out; ``since``: for how long.
    :param fresh_entry: time for which what the entry has read stays fresh.
    :param entry_out: whether the entry has read that the domain is out.
    :param heartbeat: time since the agent sent its heartbeat; -1 for none.
    :param ack: time for which the answer in flight confirms the view; -1 for none.
    :param ack_out: whether that answer says that the domain is out.
    :param gate: time for which the agent may still start tasks.
    :param agent_out: whether the agent knows that the domain is out.
    :param order: time until the deadline of the start order; -1 for none.
    :param late: whether a task started too long after the domain was taken out.
    """

    out: bool = False
    since: int = 0
    fresh_entry: int = FRESHNESS
    entry_out: bool = False
    heartbeat: int = -1
    ack: int = -1
    ack_out: bool = False
    gate: int = 0
    agent_out: bool = False
    order: int = -1
    late: bool = False


def decrement(value: int) -> int:
    """Return a timer after one unit of time; a negative one is not running."""
    return max(value - 1, 0) if value >= 0 else value


def tick(state: State, removed: str) -> State:
    """Let one unit of time pass."""
    heartbeat = state.heartbeat
    if heartbeat >= 0:
        heartbeat = min(heartbeat + 1, FRESHNESS)
    from_send = removed != "age-counts-from-send"
    return state._replace(
        since=min(state.since + 1, TOO_LATE) if state.out else 0,
        fresh_entry=decrement(state.fresh_entry),
        heartbeat=heartbeat,
        ack=decrement(state.ack) if from_send else state.ack,
        gate=decrement(state.gate),
        order=decrement(state.order)
        if removed != "worker-checks-start-deadline"
        else state.order,
    )


def entry_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of the operator and the entry."""
    steps = []
    if not state.out:
        steps.append(("domain_is_taken_out", state._replace(out=True, since=0)))
    reading = state._replace(fresh_entry=FRESHNESS, entry_out=state.out)
    steps.append(("entry_reads_configuration", reading))
    if state.heartbeat >= 0:
        age = 0 if removed == "age-counts-from-send" else state.heartbeat
        confirms = max(state.fresh_entry - age, 0)
        after = state._replace(heartbeat=-1, ack=confirms, ack_out=state.entry_out)
        steps.append(("entry_answers_heartbeat", after))
    return steps


def agent_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of the agent and its worker."""
    steps = []
    if state.heartbeat < 0 and state.ack < 0:
        steps.append(("agent_sends_heartbeat", state._replace(heartbeat=0)))
    if state.ack >= 0:
        after = state._replace(
            ack=-1,
            gate=max(state.gate, state.ack),
            agent_out=state.agent_out or state.ack_out,
        )
        steps.append(("agent_receives_ack", after))
    open_gate = state.gate > 0 or removed == "gate-closes-when-stale"
    refused = state.agent_out and removed != "agent-refuses-when-domain-out"
    if state.order < 0 and open_gate and not refused:
        lasts = FRESHNESS if removed == "gate-closes-when-stale" else state.gate
        steps.append(("agent_orders_start", state._replace(order=lasts)))
    if state.order > 0:
        late = state.late or state.since > START_LIMIT
        steps.append(("worker_starts_task", state._replace(order=-1, late=late)))
    if state.order == 0:
        steps.append(("worker_refuses_order", state._replace(order=-1)))
    return steps


def make_protocol(removed: str = "") -> Protocol:
    """Return the model; without the rule ``removed``, if given."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = entry_steps(state, removed) + agent_steps(state, removed)
        steps.append(("tick", tick(state, removed)))
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="freshness",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"no_late_start": lambda s: not s["late"]},
    )
