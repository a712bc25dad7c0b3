"""The typed values that operators declare in the configuration tree."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec

from rattanwing.errors import RejectedError
from rattanwing.settings import Count, Name, NonNegative, Positive
from rattanwing.util.schema import check

Month = Annotated[str, msgspec.Meta(pattern=r"^\d{4}-(0[1-9]|1[0-2])$")]


class Organisation(msgspec.Struct):
    """Who holds the final say, month by month.

    :param owners: operators who take turns in this order.
    :param first_month: the month of the first owner's turn, ``YYYY-MM``.
    """

    owners: Annotated[list[str], msgspec.Meta(min_length=1)]
    first_month: Month

    def owner_of(self, month: str) -> str:
        """Return the owner whose turn ``month`` (``YYYY-MM``) is."""
        turns = month_number(month) - month_number(self.first_month)
        return self.owners[turns % len(self.owners)]


class Quota(msgspec.Struct):
    """The share of the workers that a team may count on."""

    cpu: Positive
    memory_mb: Count
    accelerators: NonNegative = 0


class Team(msgspec.Struct):
    """A team and the operators who may change its branch."""

    members: list[str]
    quota: Quota | None = None


class RequestClass(msgspec.Struct):
    """A class of requests of one service.

    :param prefix: paths that start so belong to the class.
    :param priority: lower numbers go first.
    :param timeout_ms: deadline when the caller names none.
    """

    prefix: Annotated[str, msgspec.Meta(pattern="^/")]
    name: Name
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    timeout_ms: Count = 2000


class ServiceDeclaration(msgspec.Struct):
    """A service that callers may reach.

    :param classes: the longest prefix that fits a path decides.
    :param latency_target_ms: p99 that colocation protects.
    """

    classes: list[RequestClass] = []
    latency_target_ms: Positive = 200.0


class FailureDomain(msgspec.Struct):
    """Whether tasks may start in a failure domain.

    When it is taken out, running tasks stop with a checkpoint at once.
    """

    state: Literal["in", "out"]


DECLARATION_TYPES: list[tuple[re.Pattern[str], Any]] = [
    (re.compile(r"organisation"), Organisation),
    (re.compile(r"failure-domains/[a-z0-9-]+"), FailureDomain),
    (re.compile(r"teams/[a-z0-9-]+"), Team),
    (re.compile(r"teams/[a-z0-9-]+/services/[a-z0-9-]+"), ServiceDeclaration),
]


def month_number(month: str) -> int:
    """Return the count of months since year zero."""
    year, _, number = month.partition("-")
    return int(year) * 12 + int(number) - 1


def parse_declaration(path: str, value: Any) -> Any:
    """Return the typed value of one node.

    :raises RejectedError: when the path or the value is not known.
    """
    for pattern, kind in DECLARATION_TYPES:
        if pattern.fullmatch(path) is None:
            continue
        made, problems = check(kind, value, path)
        if problems:
            raise RejectedError("malformed-value", "; ".join(problems))
        return made
    raise RejectedError("unknown-path", f"{path!r} is no node of the tree")
