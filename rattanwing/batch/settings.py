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
    :param cpu: processor time that the host gives the process, in thousandths of a
        core; 0 if unknown.
    :param memory_mb: memory of the process, in megabytes; 0 if unknown.
    :param max_fds: number of descriptors that the process may open; 0 if unknown.
    :param callers_address: address on which callers are served; entries only.
    :param readiness_address: address on which the load balancer's readiness checks
        are answered; entries only.
    :param peers_address: address on which streams from entries are accepted.
    :param far_factor: factor of the run time of tasks away from their data, and of
        gangs that must share a rack and do not; 1.0 if nothing is known of it.
    :param domain_bound_s: time within which starts in a closed failure domain end, from
        the confirmation of the closing on.
    :param cancel_bound_s: time within which starts of a cancelled job end, likewise.
    :param record_bytes: size of the largest record that the store accepts.
    :param call_bytes: most bytes of records that the store accepts in one call.
    :param announcements_address: address on which the executor's announcements are
        received; agents only.
    """

    name: Name
    failure_domain: str
    store: Address
    retention_s: float
    grace_s: float
    callers_address: Address | None = None
    readiness_address: Address | None = None
    peers_address: Address | None = None
    announcements_address: Address | None = None
    cpu: int = 0
    far_factor: float = 1.0
    memory_mb: float = 0.0
    max_fds: int = 0
    domain_bound_s: float = 5.0
    cancel_bound_s: float = 3.0
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
