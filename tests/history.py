"""The history of a run, and the one checker that judges it."""

from __future__ import annotations

from dataclasses import dataclass, field

DOMAIN_OUT_LIMIT_S = 5.0
LEAVING_LIMIT_S = 3.0
CONFIG_LIMIT_S = 8.0
TOLERANCE = 1e-6


@dataclass
class Run:
    """One attempt on a worker."""

    job: str
    attempt: int
    worker: str
    domain: str
    cpu: float
    memory_mb: int
    from_checkpoint: str | None
    start: float
    end: float | None = None
    state: str = "running"
    progress_s: float = 0.0


@dataclass
class Call:
    """One request of a caller and what became of it."""

    marker: str
    idempotent: bool
    verdict: str | None = None
    status: int = 0
    body: bytes = b""
    interrupted: bool = False  # a planned stop ended it without an answer
    key: str | None = None


@dataclass
class Execution:
    """One execution on an executor."""

    marker: str
    agent: str
    started_at: float


@dataclass
class AppliedVersion:
    """A configuration version came into force in one process."""

    process: str
    version: int
    at: float
    first: bool = False  # the first one of a new process without state


@dataclass
class History:
    """All that was observed at the interfaces."""

    capacity: dict[str, tuple[float, int]] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    calls: dict[str, Call] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    domain_changes: list[tuple[float, str, str]] = field(default_factory=list)
    left_at: dict[str, float] = field(default_factory=dict)
    applied: list[AppliedVersion] = field(default_factory=list)
    accepted_versions: list[tuple[int, float]] = field(default_factory=list)
    recorded_checkpoints: set[tuple[str, int]] = field(default_factory=set)
    lost_attempts: set[tuple[str, int]] = field(default_factory=set)
    repeatable: set[str] = field(default_factory=set)
    cancelled: set[str] = field(default_factory=set)
    host_failures: dict[str, list[float]] = field(default_factory=dict)
    undisturbed_since: dict[str, float] = field(default_factory=dict)
    only_planned_stops: bool = False
    end: float = 0.0


def check_overcommit(history):
    """Guarantee 1: the granted limits never exceed a host's capacity."""
    problems = []
    for worker, (cpu, memory_mb) in history.capacity.items():
        runs = [run for run in history.runs if run.worker == worker]
        for moment in sorted({run.start for run in runs}):
            live = [r for r in runs if r.start <= moment and ends_after(r, moment)]
            if sum(r.cpu for r in live) > cpu + TOLERANCE:
                problems.append(f"{worker} has too many processors granted at {moment}")
            if sum(r.memory_mb for r in live) > memory_mb:
                problems.append(f"{worker} has too much memory granted at {moment}")
    return problems


def ends_after(run, moment):
    return run.end is None or run.end > moment + TOLERANCE


def check_one_place(history):
    """Guarantee 2: a task never runs in two places at once."""
    problems = []
    for job in {run.job for run in history.runs}:
        runs = sorted(runs_of_job(history, job), key=lambda run: run.start)
        for earlier, later in zip(runs, runs[1:], strict=False):
            if ends_after(earlier, later.start):
                problems.append(f"{job} runs twice from {later.start}")
    return problems


def runs_of_job(history, job):
    return [run for run in history.runs if run.job == job]


def check_resumed_once(history):
    """Guarantee 3: evicted work resumes exactly once, from its checkpoint."""
    problems = []
    for stopped in [run for run in history.runs if run.state == "stopped"]:
        if stopped.job in history.cancelled or was_checkpoint_lost(history, stopped):
            continue
        later = [
            run
            for run in runs_of_job(history, stopped.job)
            if run.attempt > stopped.attempt
        ]
        if not later and was_later_attempt_lost(history, stopped):
            continue
        if not later:
            problems.append(f"{stopped.job} was not resumed")
            continue
        following = min(later, key=lambda run: run.attempt)
        if following.from_checkpoint != str(stopped.progress_s):
            problems.append(f"{stopped.job} did not resume from its checkpoint")
    for job in {run.job for run in history.runs}:
        numbers = [run.attempt for run in runs_of_job(history, job)]
        if len(set(numbers)) != len(numbers):
            problems.append(f"{job} ran an attempt twice")
        problems += check_no_repeated_work(history, job)
    return problems


def check_no_repeated_work(history, job):
    """No work is done twice, save that of a repeatable attempt that was lost."""
    problems = []
    runs = sorted(runs_of_job(history, job), key=lambda run: run.attempt)
    for earlier, later in zip(runs, runs[1:], strict=False):
        if earlier.state == "failed" and job in history.repeatable:
            continue
        if later.from_checkpoint == str(earlier.progress_s):
            continue
        lost = (job, earlier.attempt) in history.lost_attempts
        if not lost or job not in history.repeatable:
            problems.append(f"{job} did work again after attempt {earlier.attempt}")
    return problems


def was_later_attempt_lost(history, run):
    """Return whether a later attempt may have run on a host that was lost.

    A job that must not repeat is then held for its operator.
    """
    later = [a for j, a in history.lost_attempts if j == run.job and a > run.attempt]
    return bool(later) and run.job not in history.repeatable


def was_checkpoint_lost(history, run):
    """Return whether the host died before its checkpoint was on the log."""
    deaths = history.host_failures.get(run.worker, ())
    recorded = (run.job, run.attempt) in history.recorded_checkpoints
    return not recorded and any(at >= run.end for at in deaths)


def check_domain_out(history):
    """Guarantee 4: no start in a domain more than 5 s after it was taken out."""
    problems = []
    for run in history.runs:
        state, since = "in", 0.0
        for at, domain, new_state in history.domain_changes:
            if domain == run.domain and at <= run.start:
                state, since = new_state, at
        if state == "out" and run.start - since > DOMAIN_OUT_LIMIT_S:
            late = run.start - since
            problems.append(f"{run.job} started {late:.1f} s after {run.domain} out")
    return problems


def check_answers(history):
    """Guarantee 5: each caller gets the whole answer to its own request."""
    return [
        f"{call.marker} got {call.body!r}"
        for call in history.calls.values()
        if call.verdict == "ran" and call.body != expected_body(call.marker)
    ]


def expected_body(marker):
    return f"answer to {marker}".encode()


def check_not_run_answers(history):
    """Guarantee 6: a refusal that says not-run is true."""
    executed = {execution.marker for execution in history.executions}
    return [
        f"{call.marker} ran though its refusal says not-run"
        for call in history.calls.values()
        if call.verdict == "not-run" and call.marker in executed
    ]


def check_at_most_once(history):
    """Guarantee 7: a non-idempotent request runs at most once."""
    problems = []
    counts = {}
    for execution in history.executions:
        counts[execution.marker] = counts.get(execution.marker, 0) + 1
    for call in history.calls.values():
        if not call.idempotent and counts.get(call.marker, 0) > 1:
            problems.append(f"{call.marker} ran {counts[call.marker]} times")
    return problems


def check_leaving(history):
    """Guarantee 8: a leaving target gets no new work after a few seconds."""
    problems = []
    for execution in history.executions:
        left_at = history.left_at.get(execution.agent)
        if left_at is not None and execution.started_at > left_at + LEAVING_LIMIT_S:
            problems.append(f"{execution.agent} got {execution.marker} after it left")
    for run in history.runs:
        left_at = history.left_at.get(run.worker)
        if left_at is not None and run.start > left_at + LEAVING_LIMIT_S:
            problems.append(f"{run.worker} got {run.job} after it left")
    return problems


def check_planned_stops(history):
    """Guarantee 9: a planned stop cuts no request in progress."""
    calls = list(history.calls.values())
    problems = [f"{call.marker} was cut" for call in calls if call.interrupted]
    if history.only_planned_stops:
        problems += [
            f"{call.marker} may have run though all stops were planned"
            for call in calls
            if call.verdict == "may-have-run"
        ]
    return problems


def check_config(history):
    """Guarantee 10: an accepted configuration spreads and never reverts."""
    problems = []
    newest = {}
    for applied in history.applied:
        if applied.first:
            newest.pop(applied.process, None)
        if applied.version < newest.get(applied.process, -1):
            problems.append(f"{applied.process} went back to {applied.version}")
        newest[applied.process] = applied.version
    for version, accepted_at in history.accepted_versions:
        for process in newest:
            since = max(accepted_at, history.undisturbed_since.get(process, 0.0))
            if since + CONFIG_LIMIT_S > history.end:
                continue
            times = [
                a.at
                for a in history.applied
                if a.process == process and a.version >= version
            ]
            if not times or min(times) > since + CONFIG_LIMIT_S:
                problems.append(f"{process} had version {version} too late")
    return problems


CHECKS = {
    1: check_overcommit,
    2: check_one_place,
    3: check_resumed_once,
    4: check_domain_out,
    5: check_answers,
    6: check_not_run_answers,
    7: check_at_most_once,
    8: check_leaving,
    9: check_planned_stops,
    10: check_config,
}


def find_violations(history):
    """Return every broken guarantee as ``number: problem``."""
    return [
        f"{number}: {problem}"
        for number, check in CHECKS.items()
        for problem in check(history)
    ]
