"""Model of shard ownership, task leases and the second placement of a job.

Entry A owns the shard and has placed attempt 1 on worker W1; entry B may claim the
shard and place attempt 2 on W2. Any step may be delayed for any time, which covers
pauses and lost messages. ``tick`` lets one unit of time pass for all. A timer holds the
time that is left, so the lease time in a message decreases while it is in flight.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

OWNER_LEASE = 2
TASK_LEASE = 2
CLAIM_AFTER_SILENCE = OWNER_LEASE + 1
"""Time without a record of A after which B may claim the shard."""

RULES = (
    # A claim names the last record of the owner that the claimant has read. It has no
    # effect if the log holds a newer one.
    "claim-names-last-read-record",
    # A claimant that has granted a deferral does not claim until it ends, and adds the
    # rest of it to the wait after a takeover.
    "claimant-honors-deferral",
    # A new owner waits until task leases granted by the old one have ended.
    "takeover-waits-for-leases",
    # The owner's lease counts from the sending of its renewal, or from the granting of
    # the deferral.
    "owner-lease-counts-from-send",
    # A task's lease counts from the sending of the heartbeat that extends it.
    "task-lease-counts-from-send",
    # The owner grants task leases and records stops only during its own lease.
    "owner-checks-lease",
    # The owner records a silent worker's attempt as stopped only after its lease.
    "stop-waits-for-task-lease",
    # A worker stops its task when the task's lease ends.
    "worker-stops-at-lease-end",
)
"""Rules of the protocol; without any one of them, an invariant must fail."""


class State(NamedTuple):
    """State of the model.

    :param log_up: whether the log can be reached.
    :param epoch: 1 while A owns the shard, 2 after B's claim.
    :param attempt: latest attempt placed in the log; ``stopped``: whether the log says
        that attempt 1 has ended.
    :param owner_lease_a: time left of A's ownership lease.
    :param renewal: lease time that A's renewal in flight would give; -1 for none.
    :param renewed: the same for a renewal in the log that A has not read.
    :param deferral: the same for B's deferral in flight to A.
    :param task_lease_end_a: time until A may assume that W1's lease has ended.
    :param silence: time since B last read a record of A.
    :param unread: whether the log holds a record of A that B has not read.
    :param stop_a: whether A's record that attempt 1 has ended is in flight.
    :param claim: B's claim in flight: ``none``, ``current`` when it names A's
        newest record, or ``outdated``.
    :param deferring: time until the deferral that B has granted ends.
    :param task_lease_end_b: time until B may assume that W1's lease has ended; -1
        before its claim.
    :param heartbeat: lease time that W1's heartbeat in flight would give; -1 for none.
    :param ack: lease time that the answer in flight gives; -1 for none.
    :param lease: time left of the task's lease at W1.
    :param running1: whether attempt 1 runs at W1; ``running2``: attempt 2 at W2.
    """

    log_up: bool = True
    epoch: int = 1
    attempt: int = 1
    stopped: bool = False
    owner_lease_a: int = OWNER_LEASE
    renewal: int = -1
    renewed: int = -1
    deferral: int = -1
    task_lease_end_a: int = TASK_LEASE
    silence: int = 0
    unread: bool = False
    stop_a: bool = False
    claim: str = "none"
    deferring: int = 0
    task_lease_end_b: int = -1
    heartbeat: int = -1
    ack: int = -1
    lease: int = TASK_LEASE
    running1: bool = True
    running2: bool = False


def decrement(value: int) -> int:
    """Return a timer after one unit of time; a negative one is not running."""
    return max(value - 1, 0) if value >= 0 else value


def tick(state: State, removed: str) -> State:
    """Let one unit of time pass."""
    lease = decrement(state.lease)
    ends = lease == 0 and removed != "worker-stops-at-lease-end"
    owner_lease_from_send = removed != "owner-lease-counts-from-send"
    task_lease_from_send = removed != "task-lease-counts-from-send"
    return state._replace(
        owner_lease_a=decrement(state.owner_lease_a),
        renewal=decrement(state.renewal) if owner_lease_from_send else state.renewal,
        renewed=decrement(state.renewed) if owner_lease_from_send else state.renewed,
        deferral=decrement(state.deferral) if owner_lease_from_send else state.deferral,
        task_lease_end_a=decrement(state.task_lease_end_a),
        silence=min(state.silence + 1, CLAIM_AFTER_SILENCE),
        deferring=decrement(state.deferring),
        task_lease_end_b=decrement(state.task_lease_end_b),
        heartbeat=decrement(state.heartbeat)
        if task_lease_from_send
        else state.heartbeat,
        ack=decrement(state.ack) if task_lease_from_send else state.ack,
        lease=lease,
        running1=state.running1 and not ends,
    )


def owner_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of entry A."""
    steps = []
    may_act = state.owner_lease_a > 0 or removed == "owner-checks-lease"
    if state.renewal < 0 and state.renewed < 0:
        steps.append(("a_sends_renewal", state._replace(renewal=OWNER_LEASE)))
    if state.renewal >= 0 and state.log_up:
        after = state._replace(renewal=-1)
        if state.epoch == 1:
            claim = "none" if state.claim == "none" else "outdated"
            after = after._replace(renewed=state.renewal, unread=True, claim=claim)
        steps.append(("log_appends_renewal", after))
    if state.renewed >= 0 and state.log_up:
        valid = max(state.owner_lease_a, state.renewed)
        steps.append(
            ("a_reads_renewal", state._replace(renewed=-1, owner_lease_a=valid))
        )
    if state.deferral >= 0:
        valid = max(state.owner_lease_a, state.deferral)
        steps.append(
            ("a_receives_deferral", state._replace(deferral=-1, owner_lease_a=valid))
        )
    if state.heartbeat >= 0 and may_act:
        after = state._replace(
            heartbeat=-1, ack=state.heartbeat, task_lease_end_a=TASK_LEASE
        )
        steps.append(("a_answers_heartbeat", after))
    lapsed = state.task_lease_end_a == 0 or removed == "stop-waits-for-task-lease"
    if may_act and lapsed and not state.stopped and not state.stop_a:
        steps.append(("a_sends_stop", state._replace(stop_a=True)))
    if state.stop_a and state.log_up:
        after = state._replace(stop_a=False, stopped=state.stopped or state.epoch == 1)
        steps.append(("log_appends_stop", after))
    return steps


def claimant_steps(state: State, removed: str) -> list[tuple[str, State]]:
    """Return the steps of entry B."""
    steps = []
    if state.unread and state.log_up:
        steps.append(("b_reads_log", state._replace(unread=False, silence=0)))
    silent = state.silence >= CLAIM_AFTER_SILENCE
    deferred = state.deferring > 0 and removed != "claimant-honors-deferral"
    if state.epoch == 1 and silent and state.claim == "none" and not deferred:
        claim = "outdated" if state.unread else "current"
        steps.append(("b_sends_claim", state._replace(claim=claim)))
    if state.claim != "none" and state.log_up:
        is_current = (
            state.claim == "current" or removed == "claim-names-last-read-record"
        )
        after = state._replace(claim="none")
        if is_current and state.epoch == 1:
            wait = TASK_LEASE
            if removed != "claimant-honors-deferral":
                wait += state.deferring
            if removed == "takeover-waits-for-leases":
                wait = 0
            after = after._replace(epoch=2, task_lease_end_b=wait)
        steps.append(("log_appends_claim", after))
    if state.claim == "none" and state.epoch == 1 and state.deferral < 0:
        after = state._replace(deferring=OWNER_LEASE, deferral=OWNER_LEASE)
        steps.append(("b_grants_deferral", after))
    if state.epoch == 2 and state.task_lease_end_b == 0 and not state.stopped:
        steps.append(("b_records_stop", state._replace(stopped=True)))
    if state.epoch == 2 and state.heartbeat >= 0 and not state.stopped:
        after = state._replace(heartbeat=-1, ack=state.heartbeat)
        after = after._replace(task_lease_end_b=max(state.task_lease_end_b, TASK_LEASE))
        steps.append(("b_answers_heartbeat", after))
    return steps


def workers_steps(state: State) -> list[tuple[str, State]]:
    """Return the steps of W1 and W2."""
    steps = []
    if state.heartbeat < 0 and state.ack < 0 and state.running1:
        steps.append(("w1_sends_heartbeat", state._replace(heartbeat=TASK_LEASE)))
    if state.ack >= 0:
        after = state._replace(ack=-1)
        if state.running1:
            after = after._replace(lease=max(state.lease, state.ack))
        steps.append(("w1_receives_ack", after))
    if state.stopped and state.attempt == 1 and state.log_up:
        after = state._replace(attempt=2, running2=True)
        steps.append(("owner_places_and_starts_attempt_2", after))
    return steps


def make_protocol(removed: str = "") -> Protocol:
    """Return the model; without the rule ``removed``, if given."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = owner_steps(state, removed)
        steps += claimant_steps(state, removed)
        steps += workers_steps(state)
        steps.append(("tick", tick(state, removed)))
        steps.append(("log_fails_or_returns", state._replace(log_up=not state.log_up)))
        return [(label, tuple(after)) for label, after in steps]

    return Protocol(
        name="ownership",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"one_place": lambda s: not (s["running1"] and s["running2"])},
    )
