"""Collects the history of one job from the structured logs of all processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from rattanwing import events

if TYPE_CHECKING:
    from collections.abc import Iterable

CONTEXT_EVENTS = {
    event.number
    for event in (
        events.OWNERSHIP_ACQUIRED,
        events.OWNERSHIP_LOST,
        events.TAKEOVER_COMPLETE,
        events.LOG_UNAVAILABLE,
        events.LOG_AVAILABLE,
    )
}
"""Events that can explain a delay of any job: a change of owner, or the
availability of the store."""

HOST_EVENTS = {
    event.number
    for event in (
        events.PEER_LOST,
        events.AGENT_REMOVED,
        events.EXECUTOR_SILENT,
        events.EXECUTOR_DRAINING,
        events.EXECUTOR_LEFT,
        events.PROCESS_STARTED,
    )
}
"""Events of a host that can explain why its runs were delayed or lost."""


def parse_lines(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the JSON log lines, sorted by time.

    Text before the JSON object, such as a prefix added by a log collector, is
    skipped.
    """
    parsed = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            value = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(value, dict) and "event" in value and "time" in value:
            parsed.append(value)
    return sorted(parsed, key=lambda line: line["time"])


def mentions(line: dict[str, Any], job_id: str) -> bool:
    """Return whether a line is about a job or one of its tasks."""
    task = str(line.get("task", ""))
    return line.get("job") == job_id or task.startswith(job_id + ".") or task == job_id


def explain(lines: Iterable[str], job_id: str) -> list[dict[str, Any]]:
    """Return the lines about a job, sorted by time.

    Lines about the owner, the store and the job's hosts are included if they were
    written between the first and the last line that mentions the job.
    """
    parsed = parse_lines(lines)
    job_lines = [line for line in parsed if mentions(line, job_id)]
    if not job_lines:
        return []
    first, last = job_lines[0]["time"], job_lines[-1]["time"]
    hosts = {line["host"] for line in job_lines if "host" in line}
    return [
        line
        for line in parsed
        if mentions(line, job_id)
        or (first <= line["time"] <= last and may_explain_delay(line, hosts))
    ]


def may_explain_delay(line: dict[str, Any], hosts: set[str]) -> bool:
    """Return whether a line that does not mention the job may explain its delay."""
    if line["event"] in CONTEXT_EVENTS:
        return True
    subjects = {line.get("peer"), line.get("process")}
    return line["event"] in HOST_EVENTS and bool(subjects & hosts)


def to_text(line: dict[str, Any]) -> str:
    """Return a line as text."""
    leading = ("time", "process", "event", "text", "level")
    rest = " ".join(f"{k}={v}" for k, v in line.items() if k not in leading)
    process = line.get("process", "-")
    return f"{line['time']} {process} [{line['event']}] {line['text']} {rest}".rstrip()
