"""The compared policies: the project's own, baselines and ablations.

A baseline or ablation is a set of patches on the project's own policy.
"""

from __future__ import annotations

import contextlib
from unittest import mock

from rattanwing.agent import colocation
from rattanwing.agent.colocation import Evict, NoChange, select_eviction
from rattanwing.agent.gate import FreshnessGate
from rattanwing.entry import placement
from rattanwing.entry.estimates import UsageEstimates
from rattanwing.entry.interference import InterferenceModel


def first_fit(job, cpu, cluster, now, _interference=0.0):
    """Return the first worker in name order that has free capacity."""
    workers = sorted(cluster.workers, key=lambda worker: worker.name)
    fitting = (w for w in workers if placement.fits(job.spec, cpu, w, now))
    return next(fitting, None)


def random_fit(job, cpu, cluster, now, _interference=0.0):
    """Return a random worker that has free capacity."""
    fitting = [w for w in cluster.workers if placement.fits(job.spec, cpu, w, now)]
    return cluster.random.choice(fitting) if fitting else None


def never_act(_state, _latency_ratio, _tasks, _now):
    """Neither throttle nor evict tasks."""
    return NoChange()


def evict_over_target(_state, latency_ratio, tasks, _now):
    """Evict a task whenever the target is missed, without hysteresis or throttling."""
    if latency_ratio > 1.0 and tasks:
        return Evict(select_eviction(tasks).job)
    return NoChange()


def patch_placement(function):
    """Return a patch that replaces the choice of a worker."""
    return mock.patch.object(placement, "choose_worker", function)


def patch_colocation(function):
    """Return a patch that replaces the reaction to missed latency targets."""
    return mock.patch.object(colocation, "decide", function)


def without_estimates():
    """Return a patch that grants the declared processors instead of estimated use."""
    return mock.patch.object(
        UsageEstimates, "cpu_to_grant", lambda _self, spec: spec.cpu
    )


@contextlib.contextmanager
def without_interference():
    """Ignore the estimated interference of task classes and slowness of executors."""
    with (
        mock.patch.object(
            InterferenceModel, "interference_of", lambda _self, _name: 0.0
        ),
        mock.patch.object(InterferenceModel, "slowness_of", lambda _self, _name: 1.0),
    ):
        yield


def without_gate():
    """Return a patch that allows starts on old configuration.

    Only a domain that is known to be out refuses starts.
    """
    return mock.patch.object(
        FreshnessGate,
        "refusal_reason",
        lambda gate, _now: "domain-out" if gate.is_domain_out() else None,
    )


POLICIES = {
    "ours": lambda: [],
    "first_fit": lambda: [
        patch_placement(first_fit),
        patch_colocation(never_act),
        without_estimates(),
    ],
    "random": lambda: [
        patch_placement(random_fit),
        patch_colocation(never_act),
        without_estimates(),
    ],
    "threshold": lambda: [patch_colocation(evict_over_target)],
    "no_estimates": lambda: [without_estimates()],
    "previous": lambda: [without_interference(), without_estimates()],
    "no_interference": lambda: [without_interference()],
    "no_gate": lambda: [without_gate()],
    "no_colocation": lambda: [patch_colocation(never_act)],
}


@contextlib.contextmanager
def apply_policy(name: str):
    """Apply a policy of :data:`POLICIES` within the ``with`` block."""
    with contextlib.ExitStack() as stack:
        for patch in POLICIES[name]():
            stack.enter_context(patch)
        yield
