"""The types of the values that operators declare in the configuration tree."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec

from rattanwing.errors import RejectedError
from rattanwing.settings import Count, Name, NonNegative, Positive
from rattanwing.util.schema import convert

Month = Annotated[str, msgspec.Meta(pattern=r"^\d{4}-(0[1-9]|1[0-2])$")]


class Organisation(msgspec.Struct):
    """The operators who own the configuration, each for one month in rotation.

    The owner of the month may change every node, also one that has changed since the
    version that the owner read.

    :param owners: operators in the order of rotation.
    :param first_month: the month, as ``YYYY-MM``, in which the first operator of the
        list is the owner.
    """

    owners: Annotated[list[str], msgspec.Meta(min_length=1)]
    first_month: Month

    def owner_of(self, month: str) -> str:
        """Return the owner of a month, given as ``YYYY-MM``."""
        months = month_number(month) - month_number(self.first_month)
        return self.owners[months % len(self.owners)]


class Quota(msgspec.Struct):
    """The resources that a team is entitled to.

    :param cpu: number of processors.
    :param memory_mb: memory in MiB.
    :param accelerators: number of accelerators.
    """

    cpu: Positive
    memory_mb: Count
    accelerators: NonNegative = 0


class Team(msgspec.Struct):
    """A team.

    :param members: operators who may change the nodes below the team's node.
    """

    members: list[str]
    quota: Quota | None = None


class RequestClass(msgspec.Struct):
    """A class of requests of one service.

    :param prefix: the class contains the paths that start with this prefix, unless a
        longer prefix matches.
    :param priority: requests with a lower number are admitted first.
    :param timeout_ms: time allowed for a request whose caller gives no timeout, in
        milliseconds.
    """

    prefix: Annotated[str, msgspec.Meta(pattern="^/")]
    name: Name
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    timeout_ms: Count = 2000


class ServiceDeclaration(msgspec.Struct):
    """A service that callers may send requests to.

    :param classes: classes of requests; the longest prefix that matches a path decides.
    :param latency_target_ms: target for the 99th percentile of latency, in
        milliseconds; tasks on the same host are throttled or evicted to meet it.
    """

    classes: list[RequestClass] = []
    latency_target_ms: Positive = 200.0


class FailureDomain(msgspec.Struct):
    """Whether a failure domain is in use.

    :param state: ``in``, or ``out`` if no task may start there; running tasks are then
        stopped at once with a checkpoint.
    """

    state: Literal["in", "out"]


DECLARATION_TYPES: list[tuple[re.Pattern[str], Any]] = [
    (re.compile(r"organisation"), Organisation),
    (re.compile(r"failure-domains/[a-z0-9-]+"), FailureDomain),
    (re.compile(r"teams/[a-z0-9-]+"), Team),
    (re.compile(r"teams/[a-z0-9-]+/services/[a-z0-9-]+"), ServiceDeclaration),
]
"""The type of a node's value, by a pattern that the node's whole path matches."""


def month_number(month: str) -> int:
    """Return the number of months from the start of year 0 to a ``YYYY-MM`` month."""
    year, _, number = month.partition("-")
    return int(year) * 12 + int(number) - 1


def parse_declaration(path: str, value: Any) -> Any:
    """Return the typed value of one node.

    :param value: the value as decoded from JSON.
    :raises RejectedError: with the rule ``unknown-path`` if the tree can have no node
        at this path, or ``malformed-value`` if the value does not match its type.
    """
    for pattern, kind in DECLARATION_TYPES:
        if pattern.fullmatch(path) is None:
            continue
        declaration, problems = convert(kind, value, path)
        if problems:
            raise RejectedError("malformed-value", "; ".join(problems))
        return declaration
    raise RejectedError("unknown-path", f"{path!r} is no node of the tree")
