"""What happened in a run of the system, and the checks of its ten guarantees.

The history holds what can be observed from outside: runs on workers, requests and
their answers, and configuration versions. All times are in seconds of virtual time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DOMAIN_OUT_LIMIT_S = 5.0
"""Seconds after which no task may start in a domain that is out of service."""

LEAVING_LIMIT_S = 3.0
"""Seconds after which an agent that is stopping may get no new work."""

CONFIG_LIMIT_S = 8.0
"""Seconds within which every process applies an accepted configuration version."""

TOLERANCE = 1e-6
"""Rounding error that comparisons of processors and of times allow for."""


@dataclass
class Run:
    """One attempt of a job on a worker.

    :param from_checkpoint: checkpoint at which the attempt started, if any.
    :param progress_s: seconds of work done when the attempt ended.
    """

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
    """One request of a caller and its outcome.

    :param marker: text in the path that identifies the request.
    :param interrupted: whether the entry stopped gracefully without answering.
    :param key: idempotency key.
    """

    marker: str
    idempotent: bool
    verdict: str | None = None
    status: int = 0
    body: bytes = b""
    interrupted: bool = False
    key: str | None = None


@dataclass
class Execution:
    """One execution of a request by an executor."""

    marker: str
    agent: str
    started_at: float


@dataclass
class AppliedVersion:
    """A configuration version that one process has applied.

    :param first: whether it is the first version since the process started.
    """

    process: str
    version: int
    at: float
    first: bool = False


@dataclass
class History:
    """All that was observed in a run.

    :param capacity: processors and memory in MB, by worker.
    :param calls: by marker.
    :param domain_changes: time, failure domain and new state (``in`` or ``out``).
    :param left_at: by agent, when its graceful stop began.
    :param accepted_versions: configuration version and when it was accepted.
    :param recorded_checkpoints: job and attempt of stops with a checkpoint in the log.
    :param lost_attempts: job and attempt of runs that ended without a checkpoint.
    :param repeatable: jobs whose work may be done again.
    :param cancelled: jobs for which a cancellation was requested.
    :param host_failures: by worker, when its host failed.
    :param undisturbed_since: by process, start of the time limit for configuration
        changes: the last start of the process or end of a fault.
    :param only_planned_stops: whether all processes that ended were stopped gracefully.
    :param end: end of the run.
    """

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
    """Guarantee 3: evicted work resumes exactly once, from its checkpoint.

    Cancelled jobs are exempt, and so are runs whose host failed before the checkpoint
    was in the log.
    """
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
            problems.append(f"{stopped.job} did not resume after its eviction")
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
    """Return problems of work that was done again without need.

    Only a repeatable job may do work again, after a failed or lost attempt.
    """
    problems = []
    runs = sorted(runs_of_job(history, job), key=lambda run: run.attempt)
    for earlier, later in zip(runs, runs[1:], strict=False):
        if earlier.state == "failed" and job in history.repeatable:
            continue
        if later.from_checkpoint == str(earlier.progress_s):
            continue
        lost = (job, earlier.attempt) in history.lost_attempts
        if not lost or job not in history.repeatable:
            problems.append(f"{job} repeated work after attempt {earlier.attempt}")
    return problems


def was_later_attempt_lost(history, run):
    """Return whether a later attempt of a non-repeatable job was lost.

    It may have run, so the job is held until an operator decides.
    """
    later = [a for j, a in history.lost_attempts if j == run.job and a > run.attempt]
    return bool(later) and run.job not in history.repeatable


def was_checkpoint_lost(history, run):
    """Return whether the host failed before the checkpoint was in the log."""
    failures = history.host_failures.get(run.worker, ())
    recorded = (run.job, run.attempt) in history.recorded_checkpoints
    return not recorded and any(at >= run.end for at in failures)


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
            problems.append(
                f"{run.job} started {late:.1f} s after {run.domain} was taken out"
            )
    return problems


def check_answers(history):
    """Guarantee 5: each caller gets the whole answer to its own request."""
    return [
        f"{call.marker} got the answer {call.body!r}"
        for call in history.calls.values()
        if call.verdict == "ran" and call.body != expected_body(call.marker)
    ]


def expected_body(marker):
    return f"answer to {marker}".encode()


def check_not_run_answers(history):
    """Guarantee 6: a request answered with not-run never reached an executor."""
    executed = {execution.marker for execution in history.executions}
    return [
        f"{call.marker} was executed although its answer is not-run"
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
    """Guarantee 8: an agent that is stopping gets no new work after 3 s."""
    problems = []
    for execution in history.executions:
        left_at = history.left_at.get(execution.agent)
        if left_at is not None and execution.started_at > left_at + LEAVING_LIMIT_S:
            problems.append(
                f"{execution.agent} got {execution.marker} too late in its stop"
            )
    for run in history.runs:
        left_at = history.left_at.get(run.worker)
        if left_at is not None and run.start > left_at + LEAVING_LIMIT_S:
            problems.append(f"{run.worker} got {run.job} too late in its stop")
    return problems


def check_planned_stops(history):
    """Guarantee 9: a planned stop interrupts no request in progress."""
    calls = list(history.calls.values())
    problems = [f"{call.marker} was interrupted" for call in calls if call.interrupted]
    if history.only_planned_stops:
        problems += [
            f"{call.marker} got may-have-run although all stops were planned"
            for call in calls
            if call.verdict == "may-have-run"
        ]
    return problems


def check_config(history):
    """Guarantee 10: processes apply accepted versions in time and never older ones."""
    problems = []
    newest = {}
    for applied in history.applied:
        if applied.first:
            newest.pop(applied.process, None)
        if applied.version < newest.get(applied.process, -1):
            problems.append(f"{applied.process} returned to version {applied.version}")
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
                problems.append(
                    f"{process} applied version {version} too late or never"
                )
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
    """Return every violation of a guarantee as ``number: problem``."""
    return [
        f"{number}: {problem}"
        for number, check in CHECKS.items()
        for problem in check(history)
    ]
