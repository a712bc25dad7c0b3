"""Metrics of entries and agents in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events

if TYPE_CHECKING:
    from rattanwing.batch.agent import BatchAgent
    from rattanwing.batch.entry import BatchEntry
    from rattanwing.metrics import Metrics
    from rattanwing.util.admission import Admission


def render_events() -> list[str]:
    """Return a counter per event and outcome.

    Events whose log lines were not written are counted as well.
    """
    lines = ["# TYPE rattanwing_events_total counter"]
    for (number, kind), count in sorted(events.counts.outcomes.items()):
        lines.append(
            f'rattanwing_events_total{{event="{number}",kind="{kind}"}} {count}'
        )
    return lines


def render_admission(admission: Admission) -> list[str]:
    """Return the accepted connections, what they hold, and the refusals by cause."""
    lines = ["# TYPE rattanwing_connections gauge"]
    for group, clients in admission.clients.items():
        lines.append(f'rattanwing_connections{{group="{group.value}"}} {len(clients)}')
    lines.append(f"rattanwing_connections_held_bytes {admission.held_bytes}")
    budget = admission.limits.budget_bytes
    lines.append(f"rattanwing_connections_budget_bytes {budget}")
    lines.append("# TYPE rattanwing_refused_clients_total counter")
    for cause, count in sorted(
        admission.closed_counts.items(), key=lambda item: item[0].value
    ):
        lines.append(
            f'rattanwing_refused_clients_total{{kind="{cause.value}"}} {count}'
        )
    return lines


def render_entry(
    entry: BatchEntry, admission: Admission, metrics: Metrics, now: float
) -> str:
    """Return an entry's metrics page; ``now`` is on the entry's clock."""
    gauges = metrics.gauges
    gauges["config_version"] = entry.configuration.version
    gauges["work_read_age_seconds"] = max(0.0, now - entry.reader.read_sent_at)
    gauges["directory_read_age_seconds"] = max(
        0.0, now - entry.directory_reader.read_sent_at
    )
    failing_since = entry.writer.failing_since
    gauges["store_failing_seconds"] = (
        0 if failing_since is None else now - failing_since
    )
    gauges["jobs_known"] = len(entry.replica.jobs)
    gauges["appends_waiting"] = len(entry.writer.waiting)
    loop = entry.owner_loop
    gauges["owner_epoch"] = 0 if loop is None else loop.epoch
    if loop is not None:
        jobs = [job for job in loop.scheduler.jobs.values() if not job.state.final]
        hosts = loop.scheduler.cluster.hosts.values()
        gauges["jobs_unfinished"] = len(jobs)
        gauges["jobs_without_run"] = sum(job.running == 0 for job in jobs)
        gauges["oldest_idle_seconds"] = max(
            (now - job.last_run_ended_at for job in jobs if job.running == 0),
            default=0.0,
        )
        gauges["runs"] = sum(len(host.runs) for host in hosts)
        gauges["near_waits"] = len(loop.scheduler.near_places.waits)
        gauges["hosts_connected"] = sum(host.connected for host in hosts)
        gauges["owner_confirmed_age_seconds"] = now - loop.writer.last_success_sent_at
    lines = [*render_events(), *render_admission(admission)]
    return metrics.render() + "\n".join(lines) + "\n"


def render_agent(
    agent: BatchAgent, admission: Admission, metrics: Metrics, now: float
) -> str:
    """Return an agent's metrics page; ``now`` is on the agent's clock."""
    gauges = metrics.gauges
    gauges["owner_epoch"] = agent.owner.epoch if agent.owner else 0
    gauges["owner_contact_age_seconds"] = now - agent.last_contact_at
    executor = agent.executor
    gauges["executor_known"] = int(executor is not None)
    if executor is not None:
        gauges["executor_answer_age_seconds"] = now - executor.answered_at
        gauges["lease_left_seconds"] = executor.lease_until - now
        gauges["runs"] = len(executor.runs)
        gauges["ends_unstored"] = len(executor.ends.unstored)
    lines = [*render_events(), *render_admission(admission)]
    return metrics.render() + "\n".join(lines) + "\n"
