"""Model of a start call without an answer, on an executor that starts again.

The executor keeps its id, so that it accepts the call whenever it arrives; its clock
and its fence begin anew, and it has forgotten its runs. The agent counts the
executor's incarnations in the fence of its calls. The owner may start the task's next
attempt elsewhere once the first is lost. ``tick`` lets one unit of time pass; the call
is not carried out later than ``LATE_CALL`` units after it was sent.

The executor starts again at most ``MAX_RESTARTS`` times. There are three variants:

* By default it does not start again after the first attempt is lost, and the start is
  not repeated. ``RULES`` then keep the task in one place.
* With ``any_restart`` it may start again at any time, and the agent may repeat the
  start, whose run may end. The call may then be carried out before the next
  incarnation's first poll: the task may run in two places, and again after its end.
  What holds is that no incarnation starts it from its first poll on.
* With ``waits`` as well, the run is taken for lost, and the start repeated, only once
  the call can have no effect any more. This rule alone keeps the task in one place and
  keeps it from running after its end, and it delays each task whose start had no
  answer. It is not part of the protocol.

The wait for the call, and for the lease of a run that it may have started, ends early
if the agent finds that nothing listens at the executor's address once the call can't be
carried out any more.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

LATE_CALL = 3
LEASE = 2
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
    # That nothing listens proves that no run exists; but before the end of that time,
    # the call may still be carried out after the executor has started again.
    "absence-after-late-calls",
)
"""Rules of the protocol; without any one of them, an invariant must fail."""


class State(NamedTuple):
    """State of the model.

    :param incarnation: number of the executor's incarnation, from 1.
    :param up: whether the executor is there.
    :param fence: highest fence that it has seen, as the number of an incarnation.
    :param call: time for which the start call may still be carried out; -1 for none.
    :param lease: time left of the run's lease at the executor.
    :param owner_lease: time until the owner takes a host out of reach for lapsed.
    :param late_call: time until the call can't be carried out any more.
    :param late_run: time until no run by a late call can exist.
    :param listed: incarnation that has listed its runs to the agent; 0 for none.
    :param lost: whether the owner has taken the first attempt for lost.
    :param running1: whether the first attempt runs; ``running2``: the second.
    :param known: whether this incarnation has run the first attempt, so that it refuses
        to start it once more.
    :param ended: whether an attempt has ended, and its end is stored.
    :param unpolled: whether the call was carried out by a later incarnation before that
        one's first poll.
    :param again: whether the call was carried out after an attempt had ended.
    """

    incarnation: int = 1
    up: bool = True
    fence: int = 1
    call: int = LATE_CALL
    lease: int = 0
    owner_lease: int = LEASE
    late_call: int = LATE_CALL + 1
    late_run: int = LATE_CALL + LEASE
    listed: int = 0
    lost: bool = False
    running1: bool = False
    running2: bool = False
    known: bool = False
    ended: bool = False
    unpolled: bool = False
    again: bool = False


def tick(state: State) -> State:
    """Let one unit of time pass."""
    lease = max(state.lease - 1, 0)
    return state._replace(
        call=max(state.call - 1, -1),
        lease=lease,
        owner_lease=max(state.owner_lease - 1, 0),
        late_call=max(state.late_call - 1, 0),
        late_run=max(state.late_run - 1, 0),
        running1=state.running1 and lease > 0,
    )


def executor_steps(state: State, any_restart: bool) -> list[tuple[str, State]]:
    """Return the steps of the executor."""
    steps = []
    may_restart = any_restart or not state.lost
    if state.up:
        after = state._replace(up=False, lease=0, running1=False, known=False)
        steps.append(("executor_crashes", after))
    elif state.incarnation <= MAX_RESTARTS and may_restart:
        after = state._replace(up=True, incarnation=state.incarnation + 1, fence=0)
        steps.append(("executor_starts_again", after))
    if state.up and state.call >= 0:
        after = state._replace(call=-1)
        # The deadline in the call is on the clock of the first incarnation.
        if state.fence <= 1 and not state.known:
            after = after._replace(
                running1=True,
                known=True,
                lease=LEASE,
                unpolled=state.incarnation > 1 and state.fence == 0,
                again=state.ended,
            )
        steps.append(("executor_receives_call", after))
    if any_restart and state.running1:
        after = state._replace(running1=False, ended=True)
        steps.append(("first_attempt_ends", after))
    if any_restart and state.running2:
        after = state._replace(running2=False, ended=True)
        steps.append(("second_attempt_ends", after))
    return steps


def agent_steps(
    state: State, removed: str, any_restart: bool, waits: bool
) -> list[tuple[str, State]]:
    """Return the steps of the agent: its polls, and the repeat of its start call.

    The repeat has an answer. It is sent while the first incarnation is there and the
    order has not expired, or with ``waits`` once the call can have no effect.
    """
    steps = []
    if not state.up:
        if state.late_call == 0 or removed == "absence-after-late-calls":
            steps.append(("agent_finds_no_listener", state._replace(late_run=0)))
        return steps
    if any_restart or not state.lost:
        fence = 1 if removed == "fence-per-incarnation" else state.incarnation
        after = state._replace(fence=max(state.fence, fence), listed=state.incarnation)
        steps.append(("agent_polls", after))
    listed = state.listed == state.incarnation
    may_repeat = listed and state.incarnation == 1 and not (state.known or state.lost)
    is_time = state.late_run == 0 if waits else state.late_run > LEASE
    if any_restart and may_repeat and is_time:
        late_run = max(state.late_run, LEASE)
        after = state._replace(
            running1=True, known=True, lease=LEASE, late_run=late_run
        )
        steps.append(("agent_repeats_start", after))
    return steps


def owner_steps(state: State, removed: str, waits: bool) -> list[tuple[str, State]]:
    """Return the steps of the owner."""
    steps = []
    listed = state.listed == state.incarnation and state.incarnation > 1
    if removed == "listing-before-loss":
        listed = state.incarnation > 1
    lapsed = state.late_run == 0
    if removed == "unconfirmed-outlives-lease":
        lapsed = state.owner_lease == 0
    gone = listed and not state.running1
    if waits:
        gone = lapsed = state.late_run == 0 and not state.running1
    if not (state.lost or state.ended) and (gone or lapsed):
        steps.append(("owner_takes_run_for_lost", state._replace(lost=True)))
    if state.lost and not (state.running2 or state.ended):
        steps.append(("owner_starts_next_attempt", state._replace(running2=True)))
    return steps


def is_in_one_place(state: dict) -> bool:
    """Return whether at most one attempt runs."""
    return not (state["running1"] and state["running2"])


def make_protocol(
    removed: str = "", any_restart: bool = False, waits: bool = False
) -> Protocol:
    """Return the model; without the rule ``removed``, if given.

    :param any_restart: whether the executor may start again at any time, and the agent
        may repeat the start.
    :param waits: whether owner and agent wait until the call can have no effect.
    """

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = [("tick", tick(state))]
        steps += executor_steps(state, any_restart)
        steps += agent_steps(state, removed, any_restart, waits)
        steps += owner_steps(state, removed, waits)
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="restarts",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "one_place": is_in_one_place,
            "no_start_after_end": lambda s: not s["again"],
            "only_before_first_poll": lambda s: (
                s["unpolled"] or (is_in_one_place(s) and not s["again"])
            ),
        },
    )
