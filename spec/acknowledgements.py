"""Model of an acknowledgement without an answer, on an executor that starts again.

The executor keeps its id, so that it accepts the acknowledgement whenever it arrives,
and numbers its ends anew. An acknowledgement drops the ends up to its number that exist
when it is carried out; its number is higher here than that of any end. It may be
carried out at any time, however late.

A run whose start is on its way to an earlier incarnation is not in this model; see
:mod:`spec.restarts`.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

MAX_INCARNATIONS = 3

RULES = (
    # The fence of calls to each incarnation is higher than to the one before.
    "fence-per-incarnation",
    # An incarnation starts no run before it has answered a poll under its own fence.
    "listing-before-start",
    # Ends are acknowledged once the owner has stored them.
    "stored-before-acknowledged",
)
"""Rules of the protocol; without any one of them, an end is lost."""


class State(NamedTuple):
    """State of the model.

    :param incarnation: number of the executor's incarnation, from 1.
    :param fence: highest fence that it has seen, as the number of an incarnation.
    :param polled: incarnation that has answered a poll under its own fence; 0 for none.
    :param running: whether a run is there.
    :param end: whether its end is there and not acknowledged.
    :param stored: whether the owner has stored that end.
    :param sent: the incarnations for which an acknowledgement without an answer is on
        its way.
    :param lost: whether an end that the owner has not stored was dropped.
    """

    incarnation: int = 1
    fence: int = 0
    polled: int = 0
    running: bool = False
    end: bool = False
    stored: bool = False
    sent: frozenset[int] = frozenset()
    lost: bool = False


def executor_steps(state: State) -> list[tuple[str, State]]:
    """Return the steps of the executor."""
    steps = []
    if state.incarnation < MAX_INCARNATIONS:
        after = state._replace(
            incarnation=state.incarnation + 1,
            fence=0,
            running=False,
            end=False,
            stored=False,
        )
        steps.append(("executor_starts_again", after))
    if state.running:
        steps.append(("run_ends", state._replace(running=False, end=True)))
    for fence in state.sent:
        after = state._replace(sent=state.sent - {fence})
        if fence >= state.fence:
            dropped = state.end and not state.stored
            after = after._replace(
                fence=fence, end=False, stored=False, lost=state.lost or dropped
            )
        steps.append((f"executor_receives_acknowledgement_{fence}", after))
    return steps


def agent_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of the agent; all of its polls have an answer."""
    steps = []
    fence = 1 if removed == "fence-per-incarnation" else state.incarnation
    polled = state.polled == state.incarnation
    after = state._replace(fence=max(state.fence, fence), polled=state.incarnation)
    steps.append(("agent_polls", after))
    if polled and state.end:
        steps.append(("owner_stores_end", state._replace(stored=True)))
    may_acknowledge = state.stored or removed == "stored-before-acknowledged"
    if polled and state.end and may_acknowledge:
        after = state._replace(sent=state.sent | {fence})
        steps.append(("agent_acknowledges", after))
    may_start = polled or removed == "listing-before-start"
    if may_start and not (state.running or state.end):
        steps.append(("agent_starts_run", state._replace(running=True)))
    return steps


def make_protocol(removed: str = "") -> Protocol:
    """Return the model; without the rule ``removed``, if given."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = executor_steps(state) + agent_steps(state, removed)
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="acknowledgements",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"no_end_lost": lambda state: not state["lost"]},
    )
