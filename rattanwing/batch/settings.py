"""Platform-independent settings of the batch engine's processes."""

from __future__ import annotations

import msgspec

from rattanwing.settings import Address, Name  # noqa: TC001


class BatchSettings(msgspec.Struct):
    """Settings of one entry or agent.

    :param name: unique name of the process.
    :param failure_domain: failure domain in which the process runs.
    :param store: address of the platform's store.
    :param retention_s: how long the state of a finished job stays readable.
    :param grace_s: time from the request to stop until the process is killed.
    :param callers: address on which callers are served; entries only.
    :param readiness: address of the load balancer's readiness checks; entries only.
    :param peers: address on which streams from entries are accepted.
    :param announcements: address for the executor's announcements; agents only.
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
