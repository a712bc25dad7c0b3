"""The life of one job from the structured logs of all processes."""

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
"""Events that explain delays of any job: who schedules, and whether the store is
there."""

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
"""Events of a host that explain what became of the runs on it."""


def parse_lines(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines that are JSON objects, whatever stands before them."""
    found = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            value = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(value, dict) and "event" in value and "time" in value:
            found.append(value)
    return sorted(found, key=lambda line: line["time"])


def mentions(line: dict[str, Any], job_id: str) -> bool:
    """Return whether a line is about a job or one of its tasks."""
    task = str(line.get("task", ""))
    return line.get("job") == job_id or task.startswith(job_id + ".") or task == job_id


def explain(lines: Iterable[str], job_id: str) -> list[dict[str, Any]]:
    """Return the lines that tell a job's life, in the order of their time.

    Lines about the owner, the store and the job's hosts are added for the span of
    time in which the job is mentioned.
    """
    parsed = parse_lines(lines)
    own = [line for line in parsed if mentions(line, job_id)]
    if not own:
        return []
    first, last = own[0]["time"], own[-1]["time"]
    hosts = {line["host"] for line in own if "host" in line}
    return [
        line
        for line in parsed
        if mentions(line, job_id)
        or (first <= line["time"] <= last and may_explain_delay(line, hosts))
    ]


def may_explain_delay(line: dict[str, Any], hosts: set[str]) -> bool:
    """Return whether a line about something else may explain a delay."""
    if line["event"] in CONTEXT_EVENTS:
        return True
    about = {line.get("peer"), line.get("process")}
    return line["event"] in HOST_EVENTS and bool(about & hosts)


def to_text(line: dict[str, Any]) -> str:
    """Return a line for people."""
    named = ("time", "process", "event", "text", "level")
    rest = " ".join(f"{k}={v}" for k, v in line.items() if k not in named)
    process = line.get("process", "-")
    return f"{line['time']} {process} [{line['event']}] {line['text']} {rest}".rstrip()
