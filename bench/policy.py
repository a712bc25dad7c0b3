"""Compares the project's scheduling policy with baselines and ablations.

The measures are tail latency, batch work done, evictions and overcommits, that is,
times at which more of a host was granted than it has. A ratio compares two runs with
the same seed; its row gives the median over the seeds, and the worst in the detail.
"""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor

import trio

from bench.experiment import AGENTS, LUCEGIRO, OLRHAIN, Result, run_experiment
from bench.policies import apply_policy
from bench.rows import Row

SEEDS = (1, 2, 3)
SITES = (LUCEGIRO, OLRHAIN)
BASELINES = ("first_fit", "random", "previous")
PROCESSES = 8
OUT_AT_S, IN_AT_S, MEASURED_UNTIL_S = 60.0, 100.0, 130.0
"""Times in seconds: a domain goes out, it comes back in, the measurement ends."""

OUTAGE_AT_S, OUTAGE_S = 60.0, 60.0
"""Start and length of the log outage, in seconds."""

WORKERS_OUT = 4
"""Workers in the failure domain that is taken out."""

P99_LIMIT = 0.5
"""Upper bound of the tail latency during waves, over that of ``first_fit``."""

WORK_LIMIT = 0.95
"""Lower bound of the batch work done, over that of ``first_fit``."""

EVICTION_LIMIT = 0.5
"""Upper bound of the evictions, over those of ``threshold``."""

DOMAIN_WORK_LIMIT = 0.9
"""Lower bound of the work while a domain is out, over the share of workers left."""

DOMAIN_P99_LIMIT = 1.5
"""Upper bound of the tail latency while a domain is out, over that without."""

NO_BOUND = None


async def close_and_reopen_domain(experiment, world) -> None:
    """Take one of three failure domains out of service and back in."""
    await trio.sleep(OUT_AT_S)
    await world.set_domain("entry-1", "fd-2", "out")
    await trio.sleep(IN_AT_S - OUT_AT_S)
    await world.set_domain("entry-1", "fd-2", "in")


async def log_outage(experiment, world) -> None:
    """Make the log unavailable for a minute."""
    await trio.sleep(OUTAGE_AT_S)
    world.log.faults.down = True
    await trio.sleep(OUTAGE_S)
    world.log.faults.down = False


SCRIPTS = {"none": None, "domain": close_and_reopen_domain, "outage": log_outage}


def run_case(case: tuple) -> tuple[tuple, Result]:
    """Run one case: site, policy, seed, script, whether there are waves."""
    site, name, seed, script, with_waves = case
    with apply_policy(name):
        if with_waves:
            return case, run_experiment(site, seed, SCRIPTS[script])
        return case, run_experiment(site, seed, SCRIPTS[script], waves=())


def all_cases() -> list[tuple]:
    """Return the cases that the rows need."""
    cases = []
    for site in SITES:
        for seed in SEEDS:
            for name in ("ours", *BASELINES, "threshold"):
                cases.append((site, name, seed, "none", True))
            cases.append((site, "ours", seed, "none", False))
            cases.append((site, "ours", seed, "domain", False))
    for seed in SEEDS:
        for name in ("no_estimates", "no_interference", "no_colocation"):
            cases.append((LUCEGIRO, name, seed, "none", True))
        cases.append((LUCEGIRO, "ours", seed, "outage", False))
        cases.append((LUCEGIRO, "no_gate", seed, "outage", False))
    return cases


def ratio_row(
    name: str, ratios: list[float], bound: float | None, at_least: bool = False
) -> Row:
    """Return a row with the median of ratios and their worst."""
    worst = min(ratios) if at_least else max(ratios)
    detail = {"worst": round(worst, 3), "seeds": len(ratios)}
    median = statistics.median(ratios)
    return Row(name, median, "ratio", bound, at_least, detail)


def comparison_rows(results: dict, site, other: str) -> list[Row]:
    """Return tail latency and work of the project's policy against another one."""
    bounds = (P99_LIMIT, WORK_LIMIT) if other == "first_fit" else (None, None)
    tails, work = [], []
    for seed in SEEDS:
        ours = results[site, "ours", seed, "none", True]
        theirs = results[site, other, seed, "none", True]
        tails.append(ours.wave_p99_s() / theirs.wave_p99_s())
        work.append(ours.work_cpu_s / theirs.work_cpu_s)
    prefix = f"{site.name}_vs_{other}"
    return [
        ratio_row(f"{prefix}_wave_p99", tails, bounds[0]),
        ratio_row(f"{prefix}_work", work, bounds[1], at_least=True),
    ]


def eviction_rows(results: dict, site) -> list[Row]:
    """Return the evictions against the threshold policy, and all overcommits."""
    ours = sum(results[site, "ours", s, "none", True].evictions for s in SEEDS)
    rule = sum(results[site, "threshold", s, "none", True].evictions for s in SEEDS)
    overcommits = sum(r.overcommits for case, r in results.items() if case[0] == site)
    detail = {"ours": ours, "threshold_rule": rule}
    value = ours / rule if rule else float(ours > 0)
    return [
        Row(f"{site.name}_evictions", value, "ratio", EVICTION_LIMIT, detail=detail),
        Row(f"{site.name}_overcommits", overcommits, "count", 0),
    ]


def domain_rows(results: dict, site) -> list[Row]:
    """Return work and tail latency while a failure domain is out, and just after.

    The work is compared with the share of the workers that are in service.
    """
    work, tails = [], []
    for seed in SEEDS:
        steady = results[site, "ours", seed, "none", False]
        changed = results[site, "ours", seed, "domain", False]
        full = steady.work_between(OUT_AT_S, MEASURED_UNTIL_S)
        out_share = (IN_AT_S - OUT_AT_S) / (MEASURED_UNTIL_S - OUT_AT_S)
        pro_rata = full * (1 - out_share * WORKERS_OUT / AGENTS)
        work.append(changed.work_between(OUT_AT_S, MEASURED_UNTIL_S) / pro_rata)
        span = (OUT_AT_S, MEASURED_UNTIL_S)
        tails.append(changed.p99_s(*span) / steady.p99_s(*span))
    return [
        ratio_row(f"{site.name}_domain_work", work, DOMAIN_WORK_LIMIT, at_least=True),
        ratio_row(f"{site.name}_domain_p99", tails, DOMAIN_P99_LIMIT),
    ]


def ablation_rows(results: dict) -> list[Row]:
    """Return the project's policy against itself without one of its mechanisms."""
    rows = []
    for name in ("no_estimates", "no_interference", "no_colocation"):
        rows += comparison_rows(results, LUCEGIRO, name)
    return rows


def outage_rows(results: dict) -> list[Row]:
    """Return the work during a log outage, against no outage and against no gate."""
    through, gate = [], []
    for seed in SEEDS:
        steady = results[LUCEGIRO, "ours", seed, "none", False]
        ours = results[LUCEGIRO, "ours", seed, "outage", False]
        open_gate = results[LUCEGIRO, "no_gate", seed, "outage", False]
        span = (OUTAGE_AT_S, OUTAGE_AT_S + OUTAGE_S)
        through.append(ours.work_between(*span) / steady.work_between(*span))
        gate.append(ours.work_between(*span) / open_gate.work_between(*span))
    return [
        ratio_row("work_in_outage_vs_steady", through, NO_BOUND, at_least=True),
        ratio_row("work_in_outage_vs_no_gate", gate, NO_BOUND, at_least=True),
    ]


def run() -> list[Row]:
    """Run all cases and return the rows."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = dict(pool.map(run_case, all_cases(), chunksize=1))
    rows = []
    for site in SITES:
        for other in BASELINES:
            rows += comparison_rows(results, site, other)
        rows += eviction_rows(results, site) + domain_rows(results, site)
    return rows + ablation_rows(results) + outage_rows(results)
