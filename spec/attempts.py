"""Model of the attempts of one job: placement, fencing and lost start orders.

The ownership of the job's shard passes from entry 1 to entry 2. Entry 1 may be paused
and learn of this late, so that both act as owner for a while. Each owner appends
placements with its epoch to the log and orders its worker to start them. The model has
no time; :mod:`spec.ownership` covers leases.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

MAX_ATTEMPT = 2
RULES = (
    # The state of a shard accepts a placement only of a pending job, with the next
    # attempt number and from the owner of the newest epoch.
    "fold-admits-one-placement",
    # An owner orders a start only after it has read the accepted placement.
    "start-after-reading-placement",
    # An agent starts no attempt up to the highest that it has started or reported as
    # unknown, so that a late order has no effect.
    "agent-refuses-seen-attempts",
)
"""Rules of the protocol; without any one of them, an invariant must fail."""


class State(NamedTuple):
    """State of the model; owner 1 uses worker 1, owner 2 worker 2.

    :param epoch: the entry whose claim of the shard is the newest.
    :param believes1: whether owner 1 has not yet read the claim of owner 2.
    :param append1: attempt in owner 1's append in flight; 0 for none.
    :param append2: the same for owner 2.
    :param placed: attempt that is placed according to the log; 0 while pending.
    :param worker: worker of that attempt.
    :param number: highest attempt ever placed.
    :param order1: attempt in a start order in flight to worker 1; 0 for none.
    :param order2: the same to worker 2.
    :param seen1: highest attempt that worker 1's agent refuses to start.
    :param seen2: the same for worker 2's agent.
    :param starts1: number of starts of attempt 1, at most 2; ``starts2``: of attempt 2.
    :param misplaced: whether an attempt started on a worker other than its own.
    """

    epoch: int = 1
    believes1: bool = True
    append1: int = 0
    append2: int = 0
    placed: int = 0
    worker: int = 0
    number: int = 0
    order1: int = 0
    order2: int = 0
    seen1: int = 0
    seen2: int = 0
    starts1: int = 0
    starts2: int = 0
    misplaced: bool = False


def fold_place(state: State, owner: int, attempt: int, removed: str) -> State:
    """Apply a placement from the log; if it counts, its owner orders the start."""
    fits = state.placed == 0 and attempt == state.number + 1
    current = owner == state.epoch
    if not (fits and current) and removed != "fold-admits-one-placement":
        return state
    number = max(state.number, attempt)
    after = state._replace(placed=attempt, worker=owner, number=number)
    return with_order(after, owner, attempt)


def with_order(state: State, worker: int, attempt: int) -> State:
    """Put a start order in flight; attempt 0 removes it."""
    if worker == 1:
        return state._replace(order1=attempt)
    return state._replace(order2=attempt)


def with_seen(state: State, worker: int, attempt: int) -> State:
    """Make a worker's agent refuse this attempt and all lower ones."""
    if worker == 1:
        return state._replace(seen1=max(state.seen1, attempt))
    return state._replace(seen2=max(state.seen2, attempt))


def start(state: State, worker: int, attempt: int, removed: str) -> State:
    """Apply a start order at an agent, which may refuse it."""
    seen = state.seen1 if worker == 1 else state.seen2
    if attempt <= seen and removed != "agent-refuses-seen-attempts":
        return state
    misplaced = (attempt, worker) != (state.placed, state.worker)
    after = with_seen(state, worker, attempt)._replace(
        misplaced=state.misplaced or misplaced
    )
    if attempt == 1:
        return after._replace(starts1=min(state.starts1 + 1, 2))
    return after._replace(starts2=min(state.starts2 + 1, 2))


def owner_steps(state: State, owner: int, removed: str) -> list[tuple[str, State]]:
    """Return the steps of one owner and of its append in flight."""
    steps = []
    believes = state.believes1 if owner == 1 else state.epoch == 2
    append = state.append1 if owner == 1 else state.append2
    field = f"append{owner}"
    attempt = state.number + 1
    if believes and state.placed == 0 and attempt <= MAX_ATTEMPT and not append:
        after = state._replace(**{field: attempt})
        if removed == "start-after-reading-placement":
            after = with_order(after, owner, attempt)
        steps.append((f"owner_{owner}_appends", after))
    if append:
        after = fold_place(state._replace(**{field: 0}), owner, append, removed)
        steps.append((f"log_appends_{owner}", after))
    return steps


def ownership_steps(state: State) -> list[tuple[str, State]]:
    """Return the steps by which the ownership passes to entry 2."""
    if state.epoch == 1:
        return [("owner_2_claims", state._replace(epoch=2))]
    if state.believes1:
        return [("owner_1_reads_claim", state._replace(believes1=False))]
    return []


def agent_steps(state: State, worker: int, removed: str) -> list[tuple[str, State]]:
    """Return the steps of an order in flight, which may be lost or arrive twice."""
    attempt = state.order1 if worker == 1 else state.order2
    if not attempt:
        return []
    after = start(state, worker, attempt, removed)
    return [
        (f"agent_{worker}_receives_order", with_order(after, worker, 0)),
        (f"order_{worker}_is_duplicated", after),
        (f"order_{worker}_is_lost", with_order(state, worker, 0)),
    ]


def record_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps that record the placed attempt as ended.

    An agent that never got the start order reports the attempt as unknown.
    """
    if not state.placed:
        return []
    stopped = state._replace(placed=0, worker=0)
    started = state.starts1 if state.placed == 1 else state.starts2
    if started:
        return [("stop_is_recorded", stopped)]
    if removed != "agent-refuses-seen-attempts":
        stopped = with_seen(stopped, state.worker, state.placed)
    return [("agent_reports_unknown", stopped)]


def make_protocol(removed: str = "") -> Protocol:
    """Return the model; without the rule ``removed``, if given."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = ownership_steps(state) + record_steps(state, removed)
        for number in (1, 2):
            steps += owner_steps(state, number, removed)
            steps += agent_steps(state, number, removed)
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="attempts",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "each_attempt_starts_once": lambda s: s["starts1"] < 2 and s["starts2"] < 2,
            "only_placed_attempts_start": lambda s: not s["misplaced"],
        },
    )
