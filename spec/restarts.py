"""Model of a start call without an answer, on an executor that starts again.

The executor keeps its id, so that it accepts the call whenever it arrives; its clock
and its fence begin anew, and it has forgotten its runs. The agent counts the
executor's incarnations in the fence of its calls. The owner may start the task's next
attempt elsewhere once the first is lost. ``tick`` lets one unit of time pass; the call
is not carried out later than ``LATE_CALL`` units after it was sent.

The executor starts again at most ``MAX_RESTARTS`` times, and not after the first
attempt is lost: a call could then be carried out before the next incarnation's first
poll, and nothing but the wait for all late calls would prevent two runs.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

LATE_CALL = 3
LEASE = 1
MAX_RESTARTS = 2

RULES = (
    # The fence of calls to each incarnation is higher than to the one before.
    "fence-per-incarnation",
    # A run whose start had no answer is reported until the incarnation that is there
    # has listed its runs under its own fence.
    "listing-before-loss",
    # The end of the lease does not prove that a start without an answer is void; only
    # the time after which no call is carried out does, and the lease that follows.
    "unconfirmed-outlives-lease",
)
"""Rules of the protocol; without any one of them, an invariant must fail."""


class State(NamedTuple):
    """State of the model.

    :param incarnation: number of the executor's incarnation, from 1.
    :param fence: highest fence that it has seen, as the number of an incarnation.
    :param call: time for which the start call may still be carried out; -1 for none.
    :param lease: time left of the run's lease at the executor.
    :param owner_lease: time until the owner takes a host out of reach for lapsed.
    :param late_run: time until no run by a late call can exist.
    :param listed: incarnation that has listed its runs to the agent; 0 for none.
    :param lost: whether the owner has taken the first attempt for lost.
    :param running1: whether the first attempt runs; ``running2``: the second.
    """

    incarnation: int = 1
    fence: int = 1
    call: int = LATE_CALL
    lease: int = 0
    owner_lease: int = LEASE
    late_run: int = LATE_CALL + LEASE
    listed: int = 0
    lost: bool = False
    running1: bool = False
    running2: bool = False


def tick(state: State) -> State:
    """Let one unit of time pass."""
    lease = max(state.lease - 1, 0)
    return state._replace(
        call=max(state.call - 1, -1),
        lease=lease,
        owner_lease=max(state.owner_lease - 1, 0),
        late_run=max(state.late_run - 1, 0),
        running1=state.running1 and lease > 0,
    )


def executor_steps(state: State) -> list[tuple[str, State]]:
    """Return the steps of the executor."""
    steps = []
    if state.incarnation <= MAX_RESTARTS and not state.lost:
        after = state._replace(
            incarnation=state.incarnation + 1, fence=0, lease=0, running1=False
        )
        steps.append(("executor_starts_again", after))
    if state.call >= 0:
        after = state._replace(call=-1)
        # The deadline in the call is on the clock of the first incarnation.
        if state.fence <= 1:
            after = after._replace(running1=True, lease=LEASE)
        steps.append(("executor_receives_call", after))
    return steps


def agent_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of the agent: its polls of the incarnation that is there."""
    if state.lost:
        return []
    fence = 1 if removed == "fence-per-incarnation" else state.incarnation
    after = state._replace(fence=max(state.fence, fence), listed=state.incarnation)
    return [("agent_polls", after)]


def owner_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of the owner."""
    steps = []
    listed = state.listed == state.incarnation and state.incarnation > 1
    if removed == "listing-before-loss":
        listed = state.incarnation > 1
    lapsed = state.late_run == 0
    if removed == "unconfirmed-outlives-lease":
        lapsed = state.owner_lease == 0
    gone = listed and not state.running1
    if not state.lost and (gone or lapsed):
        steps.append(("owner_takes_run_for_lost", state._replace(lost=True)))
    if state.lost and not state.running2:
        steps.append(("owner_starts_next_attempt", state._replace(running2=True)))
    return steps


def make_protocol(removed: str = "") -> Protocol:
    """Return the model; without the rule ``removed``, if given."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = [("tick", tick(state))]
        steps += executor_steps(state)
        steps += agent_steps(state, removed)
        steps += owner_steps(state, removed)
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="restarts",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"one_place": lambda s: not (s["running1"] and s["running2"])},
    )
