"""Settings of a process that runs jobs of steps, whatever platform it is on."""

from __future__ import annotations

import msgspec

from rattanwing.settings import Address, Name  # noqa: TC001


class BatchSettings(msgspec.Struct):
    """Settings of one entry or agent.

    :param name: unique name of the process.
    :param store: address of the platform's store.
    :param callers: address for callers; entries only.
    :param readiness: address for the balancer's readiness checks; entries only.
    :param peers: address for the streams of entries.
    :param announcements: address for the executor's announcements; agents only.
    :param retention_s: how long a finished job's state stays readable.
    :param grace_s: from the request to stop until the process is killed.
    """

    name: Name
    failure_domain: str
    store: Address
    retention_s: float
    grace_s: float
    callers: Address | None = None
    readiness: Address | None = None
    peers: Address | None = None
    announcements: Address | None = None
