"""Checks a configuration: faults within it, and differences from the one in force.

Operators write a configuration as a whole, with hundreds of queues. The store accepts
it if it is well-formed. A queue that no request reaches, or a service that does not
exist, shows only when callers are refused or their jobs wait.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import msgspec

from rattanwing.batch.configuration import Queue  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_JOB_TEXT_BYTES = 4_000
"""Longest payload of a job, in bytes; a body limit below it refuses valid jobs."""

JOB_ID_START = re.compile(r"[0-9a-f]{1,16}")
"""What a longer prefix may add to another one to match part of its job ids."""


class Severity(StrEnum):
    """How a finding affects the configuration.

    An error makes an entry useless, a warning may be intended, and a change is a
    difference from the configuration in force.
    """

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


class Finding(msgspec.Struct, frozen=True):
    """One result of the check.

    :param place: path of the entry in the checked file.
    :param rule: short name of the kind of finding.
    :param detail: one sentence.
    """

    severity: Severity
    place: str
    rule: str
    detail: str


class ProposedQueue(msgspec.Struct, frozen=True):
    """A queue with the settings that only the check reads.

    :param place: path of the entry in the checked file.
    :param timeout_ms: longest time that a call may take, in milliseconds; 0 if it is
        not limited.
    """

    place: str
    queue: Queue
    timeout_ms: float = 0


class ProposedService(msgspec.Struct, frozen=True):
    """A service that queues may name.

    :param place: path of the entry in the checked file.
    :param standby: whether its hosts are switched off.
    """

    place: str
    name: str
    standby: bool = False


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits of callers' requests; ``None`` where the configuration has none.

    :param header_timeout_ms: longest time for the head of a request, in milliseconds.
    :param idle_timeout_ms: longest time without a request on a connection, in
        milliseconds.
    """

    max_header_bytes: float | None = None
    max_body_bytes: float | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


class ProposedConfiguration(msgspec.Struct, frozen=True):
    """A complete configuration as an operator has written it."""

    version: int
    queues: tuple[ProposedQueue, ...]
    services: tuple[ProposedService, ...]
    limits: RequestLimits


def find_faults(proposed: ProposedConfiguration) -> Iterator[Finding]:
    """Yield the errors and warnings of a configuration, in the order of its entries."""
    yield from find_unreachable_queues(proposed.queues)
    yield from find_contradictions(proposed.queues)
    yield from find_service_faults(proposed.queues, proposed.services)
    yield from find_limit_faults(proposed.limits)


def find_unreachable_queues(queues: tuple[ProposedQueue, ...]) -> Iterator[Finding]:
    """Yield the queues that no request, or not every job id, can reach."""
    names: set[str] = set()
    places: dict[tuple[str, str], str] = {}
    for entry in queues:
        queue = entry.queue
        key = queue.http_host, queue.path_prefix
        if queue.rules.name in names:
            detail = f"the name {queue.rules.name!r} is used twice"
            yield Finding(Severity.ERROR, entry.place, "duplicate-name", detail)
        if not is_reachable_host(queue.http_host):
            detail = f"{queue.http_host!r} is not a lower-case name without a port"
            yield Finding(Severity.ERROR, entry.place, "host-never-matches", detail)
        if not queue.path_prefix.startswith("/"):
            detail = f"the prefix {queue.path_prefix!r} does not begin with a slash"
            yield Finding(Severity.ERROR, entry.place, "path-never-matches", detail)
        if key in places:
            detail = f"{places[key]} has the same host and prefix"
            yield Finding(Severity.ERROR, entry.place, "hidden", detail)
        names.add(queue.rules.name)
        places.setdefault(key, entry.place)
    for (host, prefix), place in places.items():
        for length in range(1, min(16, len(prefix)) + 1):
            hidden = places.get((host, prefix[:-length]))
            if hidden is None or not JOB_ID_START.fullmatch(prefix[-length:]):
                continue
            detail = f"job ids that begin with {prefix[-length:]!r} go to {place}"
            yield Finding(Severity.WARNING, hidden, "partly-hidden", detail)


def is_reachable_host(host: str) -> bool:
    """Return whether the host of a request, in lower case, may equal it."""
    return bool(host) and host == host.lower() and not re.search(r"[:/\s]", host)


def find_contradictions(queues: tuple[ProposedQueue, ...]) -> Iterator[Finding]:
    """Yield the rules of queues under which jobs fail or can't be on time."""
    for entry in queues:
        rules = entry.queue.rules
        if rules.max_attempts < 1:
            detail = "a job fails before its first attempt"
            yield Finding(Severity.ERROR, entry.place, "no-attempts", detail)
        if rules.stretch < 1:
            detail = f"stretch {rules.stretch:g} allows less time than the tasks run"
            yield Finding(Severity.ERROR, entry.place, "target-too-short", detail)
        if rules.target_latency_ms < 0:
            detail = f"the target of {rules.target_latency_ms} ms is negative"
            yield Finding(Severity.ERROR, entry.place, "target-too-short", detail)
        if 0 < entry.timeout_ms < rules.target_latency_ms:
            detail = (
                f"calls end after {entry.timeout_ms:g} ms, before the target of "
                f"{rules.target_latency_ms} ms"
            )
            yield Finding(Severity.WARNING, entry.place, "timeout-under-target", detail)


def find_service_faults(
    queues: tuple[ProposedQueue, ...], services: tuple[ProposedService, ...]
) -> Iterator[Finding]:
    """Yield the queues without a usable service, and the services without a queue."""
    by_name: dict[str, ProposedService] = {}
    for service in services:
        if service.name in by_name:
            detail = f"the name {service.name!r} is used twice"
            yield Finding(Severity.ERROR, service.place, "duplicate-name", detail)
        by_name[service.name] = service
    used = set()
    for entry in queues:
        name = entry.queue.rules.service
        used.add(name)
        if name not in by_name:
            detail = f"no service is named {name!r}; jobs wait for ever"
            yield Finding(Severity.ERROR, entry.place, "unknown-service", detail)
        elif by_name[name].standby:
            detail = f"the hosts of {name!r} are switched off; jobs wait for ever"
            yield Finding(Severity.ERROR, entry.place, "standby-service", detail)
    for service in services:
        if service.name not in used and not service.standby:
            detail = f"no queue uses {service.name!r}"
            yield Finding(Severity.WARNING, service.place, "unused-service", detail)


def find_limit_faults(limits: RequestLimits) -> Iterator[Finding]:
    """Yield limits that refuse every request or contradict each other."""
    for name, value in msgspec.structs.asdict(limits).items():
        if value is not None and value <= 0:
            detail = f"a limit of {value:g} refuses every request"
            yield Finding(Severity.ERROR, f"limits.{name}", "no-room", detail)
    body = limits.max_body_bytes
    if body is not None and 0 < body < MAX_JOB_TEXT_BYTES:
        detail = f"jobs may have {MAX_JOB_TEXT_BYTES} bytes of text alone"
        yield Finding(Severity.ERROR, "limits.max_body_bytes", "body-under-job", detail)
    head, idle = limits.header_timeout_ms, limits.idle_timeout_ms
    if head is not None and idle is not None and 0 < idle < head:
        detail = f"connections end after {idle:g} ms, heads may take {head:g} ms"
        yield Finding(
            Severity.WARNING, "limits.idle_timeout_ms", "idle-under-head", detail
        )


def find_changes(
    proposed: ProposedConfiguration, current: ProposedConfiguration
) -> Iterator[Finding]:
    """Yield the differences of a configuration from the one in force."""
    if proposed.version <= current.version:
        detail = f"version {current.version} is in force; this one has no effect"
        yield Finding(Severity.ERROR, "version", "version-not-newer", detail)
    before = {entry.queue.rules.name: flatten(entry) for entry in current.queues}
    after = {entry.queue.rules.name: flatten(entry) for entry in proposed.queues}
    yield from compare("queue", before, after)
    before = {service.name: flatten(service) for service in current.services}
    after = {service.name: flatten(service) for service in proposed.services}
    yield from compare("service", before, after)
    limits = {"limits": flatten(current.limits)}
    yield from compare("limits", limits, {"limits": flatten(proposed.limits)})


def flatten(value: msgspec.Struct) -> dict[str, Any]:
    """Return the fields of a struct and of nested structs, without places."""
    fields: dict[str, Any] = {}
    for name, field in msgspec.structs.asdict(value).items():
        if isinstance(field, msgspec.Struct):
            fields |= flatten(field)
        elif name != "place":
            fields[name] = field
    return fields


def compare(
    kind: str, before: dict[str, dict[str, Any]], after: dict[str, dict[str, Any]]
) -> Iterator[Finding]:
    """Yield the entries that were added, removed or changed.

    :param kind: what the entries are.
    :param before: fields by name of the entry, in the configuration in force.
    """
    for name in sorted(before.keys() - after.keys()):
        yield Finding(Severity.CHANGE, name, "removed", f"{kind} {name} is removed")
    for name, fields in after.items():
        old = before.get(name)
        if old is None:
            yield Finding(Severity.CHANGE, name, "added", f"{kind} {name} is added")
            continue
        changed = [
            f"{field} {old[field]} -> {value}"
            for field, value in fields.items()
            if old[field] != value
        ]
        if changed:
            detail = f"{kind} {name}: {', '.join(changed)}"
            yield Finding(Severity.CHANGE, name, "changed", detail)
