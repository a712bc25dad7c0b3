"""Reads the operators' configuration as they write it, for the check."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from rattanwing import events
from rattanwing.batch.configuration_check import (
    Finding,
    ProposedConfiguration,
    ProposedQueue,
    ProposedService,
    RequestLimits,
    Severity,
    find_faults,
)
from rattanwing.batch.model import Finite, Number
from rattanwing.errors import MalformedError
from rattanwing.platform.operator import Route, make_queue
from rattanwing.util.codec import MAX_DETAIL_CHARS, decode_json

MAX_LOGGED_FINDINGS = 20
"""Most findings that are logged for one configuration."""

BYTE_PATTERN = re.compile(r"\(byte (\d+)\)")
"""Position that the JSON decoder names in its errors."""


class CheckedRoute(Route):
    """A queue with the fields that only the check reads.

    :param timeout_ms: longest time that a call may take, in milliseconds.
    """

    timeout_ms: Finite = 0


class ServiceEntry(msgspec.Struct):
    """A service.

    :param standby: whether its hosts are switched off.
    """

    name: str
    standby: bool = False


class LimitsEntry(msgspec.Struct):
    """Limits of callers' requests, in bytes and milliseconds."""

    max_header_bytes: Finite | None = None
    max_body_bytes: Finite | None = None
    header_timeout_ms: Finite | None = None
    idle_timeout_ms: Finite | None = None


def read_configuration(
    data: bytes,
) -> tuple[ProposedConfiguration | None, list[Finding]]:
    """Return a configuration and one finding for each entry that can't be read.

    :param data: the JSON text of the configuration.
    :returns: ``None`` in place of the configuration if there is an error in its text
        or its version; entries that can't be read are missing from it.
    """
    findings: list[Finding] = []
    try:
        value = decode_json(data, dict[str, Any])
    except MalformedError as error:
        place = find_position(data, str(error))
        return None, [Finding(Severity.ERROR, place, "malformed", str(error))]
    version = read_entry(value.get("version"), Number, "version", findings)
    if version is None:
        return None, findings
    queues = [
        ProposedQueue(place, make_queue(route), route.timeout_ms)
        for place, route in read_list(value, "routes", CheckedRoute, findings)
    ]
    services = [
        ProposedService(place, service.name, service.standby)
        for place, service in read_list(value, "services", ServiceEntry, findings)
    ]
    limits = read_entry(value.get("limits", {}), LimitsEntry, "limits", findings)
    fields = msgspec.structs.asdict(limits or LimitsEntry())
    proposed = ProposedConfiguration(
        version, tuple(queues), tuple(services), RequestLimits(**fields)
    )
    return proposed, findings


def log_faults(data: bytes) -> None:
    """Log the faults of a configuration that was put in force.

    :param data: the JSON text of the configuration.
    """
    proposed, findings = read_configuration(data)
    if proposed is not None:
        findings += find_faults(proposed)
    for finding in findings[:MAX_LOGGED_FINDINGS]:
        events.write(
            events.CONFIG_FINDING,
            severity=finding.severity.value,
            place=finding.place,
            rule=finding.rule,
            detail=finding.detail,
            of=len(findings),
        )


def read_list(
    value: dict[str, Any], name: str, kind: type, findings: list[Finding]
) -> list[tuple[str, Any]]:
    """Return the readable entries of a list, each with its place.

    :param findings: receives an error for each of the others.
    """
    entries = value.get(name)
    if not isinstance(entries, list):
        detail = f"there is no list {name!r}"
        findings.append(Finding(Severity.ERROR, name, "malformed", detail))
        return []
    found = []
    for index, entry in enumerate(entries):
        place = f"{name}[{index}]"
        read = read_entry(entry, kind, place, findings)
        if read is not None:
            found.append((place, read))
    return found


def read_entry(value: Any, kind: Any, place: str, findings: list[Finding]) -> Any:
    """Return a value converted to a type, ``None`` if that is not possible.

    :param findings: receives the error.
    """
    try:
        return msgspec.convert(value, kind, strict=False)
    except msgspec.ValidationError as error:
        detail = str(error)[:MAX_DETAIL_CHARS]
        findings.append(Finding(Severity.ERROR, place, "malformed", detail))
        return None


def find_position(data: bytes, error: str) -> str:
    """Return the line and column that a JSON decoder's error names, else ``$``."""
    match = BYTE_PATTERN.search(error)
    if match is None:
        return "$"
    before = data[: int(match.group(1))]
    line = before.count(b"\n") + 1
    column = len(before) - before.rfind(b"\n")
    return f"line {line}, column {column}"
