"""Decides which connections are served and which are closed under pressure.

Load: clients that nobody controls, many at once. They send bodies that never end, stop
half-way, send or read very slowly, or send requests ahead without reading answers, at
any address of the process. Together they would hold more memory and descriptors than
the process has, while every single one stays within the limits of a request.

All connections that a process accepts share one budget of bytes. Who holds most, and
has been there longest without finishing, is closed first. A client whose request is
being carried out is never closed, and each request that a client has finished counts in
its favour.
"""

from __future__ import annotations

import resource
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

BUDGET_SHARE = 0.2
"""Share of the memory of a process that its connections may hold; the rest is for the
interpreter, the state of the jobs and what the estimates of sizes leave out."""

DEFAULT_BUDGET_BYTES = 64 * 1024 * 1024
"""Budget where the settings do not name the memory of the process."""

BUDGET_GOAL_SHARE = 0.75
"""Share of the budget that is left in use when connections are closed for it, so that
not every further read closes another one."""

DEFAULT_DESCRIPTORS = 4096
"""Descriptors of a process where neither the settings nor the system limit them."""

CONNECTION_BYTES = 8 * 1024
"""Estimated memory of a connection without a request."""

OWN_DESCRIPTORS = 48
"""Least number of descriptors that are left to the process itself: files, listeners and
the connections that it opens."""

OWN_DESCRIPTOR_SHARE = 0.25
"""Share of the descriptors that is left to the process itself, if that is more."""

START_TIME_S = 15.0
"""Time in seconds for a head, a body or an answer, in addition to the time that its
bytes take at ``MIN_PACE_BYTES_S``; above the length of an outage of a client's link."""

MIN_PACE_BYTES_S = 32 * 1024
"""Pace in bytes a second below which a connection is closed after ``START_TIME_S``."""

IDLE_TIME_S = 75.0
"""Time in seconds after which a connection without a request is closed."""

MAX_FINISHED_COUNTED = 8
"""Most finished requests that count in favour of a client."""


class AddressGroup(Enum):
    """Groups of addresses with connections of their own.

    A crowd at one address leaves room for readiness checks, agents and other entries.
    """

    REQUESTS = "requests"
    PEERS = "peers"
    READINESS = "readiness"
    METRICS = "metrics"


CONNECTION_SHARES = {
    AddressGroup.REQUESTS: 0.625,
    AddressGroup.PEERS: 0.25,
    AddressGroup.READINESS: 0.0625,
    AddressGroup.METRICS: 0.0625,
}
"""Share of the accepted connections that each group may have."""


class Phase(Enum):
    """What a connection is waiting for."""

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"
    SENDING = "sending"
    CLOSING = "closing"


class Cause(Enum):
    """Why a connection is closed or a request refused."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    SLOW = "slow"
    IDLE = "idle"
    TOO_LARGE = "too-large"
    TOO_MANY_FIELDS = "too-many-fields"
    AHEAD = "requests-ahead"


class Limits(msgspec.Struct, frozen=True):
    """Limits of the connections that a process accepts.

    :param budget_bytes: memory that they may hold together.
    :param max_connections: how many may be open at a time.
    """

    budget_bytes: int
    max_connections: int

    def connections_at(self, group: AddressGroup) -> int:
        """Return how many connections may be open at a group of addresses."""
        return max(2, int(self.max_connections * CONNECTION_SHARES[group]))


def make_limits(memory_mb: float, max_fds: int) -> Limits:
    """Return the limits of a process.

    :param memory_mb: its memory, in megabytes; 0 if unknown.
    :param max_fds: number of descriptors that it may open.
    """
    budget = int(memory_mb * 1024 * 1024 * BUDGET_SHARE) or DEFAULT_BUDGET_BYTES
    own = max(OWN_DESCRIPTORS, int(max_fds * OWN_DESCRIPTOR_SHARE))
    return Limits(budget, max(8, max_fds - own))


def descriptor_limit() -> int:
    """Return how many descriptors the system lets this process open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return DEFAULT_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


class Client:
    """What one accepted connection holds.

    :param close: closes the connection at once.
    :param phase: what it is waiting for.
    :param since: when that began, in monotonic seconds.
    :param moved: bytes that were read, or are being sent, since then.
    :param held: bytes that are kept for it, as counted in the budget.
    :param finished: number of its requests that have been answered.
    :param closed: whether it has been closed for one of the limits.
    """

    __slots__ = (
        "group",
        "close",
        "phase",
        "since",
        "moved",
        "held",
        "finished",
        "closed",
    )

    def __init__(
        self, group: AddressGroup, close: Callable[[Cause], None], now: float
    ) -> None:
        self.group = group
        self.close = close
        self.phase = Phase.IDLE
        self.since = now
        self.moved = 0
        self.held = CONNECTION_BYTES
        self.finished = 0
        self.closed = False

    def enter(self, phase: Phase, now: float, moved: int = 0) -> None:
        """Begin to wait for something else."""
        self.phase = phase
        self.since = now
        self.moved = moved

    def cause_to_end(self, now: float) -> Cause | None:
        """Return why the connection is to be closed by its age, if it is."""
        age_s = now - self.since
        match self.phase:
            case Phase.RUNNING:
                return None
            case Phase.IDLE:
                return Cause.IDLE if age_s > IDLE_TIME_S else None
        slow = age_s > START_TIME_S + self.moved / MIN_PACE_BYTES_S
        return Cause.SLOW if slow else None

    def claim(self, now: float) -> float:
        """Return how much it holds for how long, less what it has brought."""
        counted = 1 + min(self.finished, MAX_FINISHED_COUNTED)
        # Idle connections come last, as closing them brings least.
        held = self.held - CONNECTION_BYTES + 1
        return held * (1.0 + now - self.since) / counted


class Admission:
    """The connections that a process has accepted, and their shared budget.

    :param held_bytes: what all connections hold together.
    :param closed_counts: number of connections closed and requests refused, by cause.
    """

    __slots__ = ("limits", "clients", "held_bytes", "closed_counts")

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.clients: dict[AddressGroup, set[Client]] = {
            group: set() for group in AddressGroup
        }
        self.held_bytes = 0
        self.closed_counts: dict[Cause, int] = {}

    def add(
        self, group: AddressGroup, close: Callable[[Cause], None], now: float
    ) -> Client | None:
        """Return the account of a new connection, ``None`` if there is no room.

        The connection that has been there longest without finishing anything is closed
        in its favour; connections whose requests are being carried out are kept.
        """
        clients = self.clients[group]
        if len(clients) >= self.limits.connections_at(group):
            leaving = [client for client in clients if can_leave(client)]
            if not leaving:
                self.count(Cause.CONNECTIONS)
                return None
            self.close(min(leaving, key=departure_order), Cause.CONNECTIONS)
        client = Client(group, close, now)
        clients.add(client)
        self.held_bytes += client.held
        self.make_room(now)
        return None if client.closed else client

    def remove(self, client: Client) -> None:
        """Forget a connection that has ended; repeated calls have no effect."""
        if client in self.clients[client.group]:
            self.clients[client.group].discard(client)
            self.held_bytes -= client.held
            client.held = 0

    def charge(self, client: Client, size: int, now: float) -> None:
        """Count bytes that an open connection holds from now on.

        Closes connections, possibly this one, if the budget is used up.
        """
        if client.closed:
            return
        client.held += size
        self.held_bytes += size
        if self.held_bytes > self.limits.budget_bytes:
            self.make_room(now)

    def release(self, client: Client) -> None:
        """Count that a connection holds no request or answer any more."""
        if client.closed:
            return
        self.held_bytes -= client.held - CONNECTION_BYTES
        client.held = CONNECTION_BYTES

    def make_room(self, now: float) -> None:
        """Close connections until the budget suffices, the largest claim first.

        Connections without a request are closed for the budget itself only, as requests
        that are carried out may hold most of it for long.
        """
        if self.held_bytes <= self.limits.budget_bytes:
            return
        goal = self.limits.budget_bytes * BUDGET_GOAL_SHARE
        leaving = [c for found in self.clients.values() for c in found if can_leave(c)]
        for client in sorted(leaving, key=lambda c: c.claim(now), reverse=True):
            enough = self.limits.budget_bytes if client.phase is Phase.IDLE else goal
            if self.held_bytes > enough:
                self.close(client, Cause.MEMORY)

    def close_expired(self, now: float) -> None:
        """Close the connections that are too slow or have been idle for too long."""
        for clients in self.clients.values():
            for client in list(clients):
                cause = client.cause_to_end(now)
                if cause is not None:
                    self.close(client, cause)

    def close(self, client: Client, cause: Cause) -> None:
        """Close a connection for one of the limits."""
        client.closed = True
        self.remove(client)
        self.count(cause)
        client.close(cause)

    def count(self, cause: Cause) -> None:
        """Count a closed connection or a refused request."""
        self.closed_counts[cause] = self.closed_counts.get(cause, 0) + 1


def can_leave(client: Client) -> bool:
    """Return whether closing a connection ends no request that is carried out."""
    return client.phase is not Phase.RUNNING


def departure_order(client: Client) -> tuple[bool, bool, float]:
    """Return the sort key by which connections make room for a new one."""
    idle = client.phase is Phase.IDLE
    return client.finished > 0, idle, client.since
