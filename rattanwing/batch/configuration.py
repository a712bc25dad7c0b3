"""The batch engine's view of the operators' configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from rattanwing.batch.model import QueueIdentity, QueueRules  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Callable


class Queue(msgspec.Struct, frozen=True):
    """A queue of jobs, and the HTTP host and path at which callers reach it.

    :param path_prefix: path up to the job id, with a trailing slash.
    """

    http_host: str
    path_prefix: str
    rules: QueueRules


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]


class CurrentConfiguration:
    """The configuration in force, and the failure domains where no task may start.

    :param queue_names: names of the queues in force.
    :param queue_addresses: HTTP host and path prefix of each of them.
    :param read_sent_at: returns when the newest successful read of the operators'
        records was sent; infinite where nothing is read.
    """

    __slots__ = (
        "configuration",
        "queues_by_http_host",
        "queue_names",
        "queue_addresses",
        "closed_domains",
        "read_sent_at",
    )

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.queues_by_http_host: dict[str, list[Queue]] = {}
        self.queue_names: frozenset[str] = frozenset()
        self.queue_addresses: frozenset[tuple[str, str]] = frozenset()
        self.closed_domains: frozenset[str] = frozenset()
        self.read_sent_at: Callable[[], float] = lambda: float("inf")

    @property
    def version(self) -> int:
        """Return the version in force, or 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def apply(self, configuration: Configuration) -> bool:
        """Put a configuration in force if its version is newer than the current one.

        Returns whether it was put in force.
        """
        if self.configuration and configuration.version <= self.version:
            return False
        by_http_host: dict[str, list[Queue]] = {}
        for queue in configuration.queues:
            by_http_host.setdefault(queue.http_host, []).append(queue)
        for queues in by_http_host.values():
            queues.sort(key=lambda queue: len(queue.path_prefix), reverse=True)
        self.configuration = configuration
        self.queues_by_http_host = by_http_host
        self.queue_names = frozenset(q.rules.name for q in configuration.queues)
        self.queue_addresses = frozenset(
            (q.http_host, q.path_prefix) for q in configuration.queues
        )
        return True

    def find_queue(self, http_host: str, path: str) -> Queue | None:
        """Return the queue of ``http_host`` with the longest prefix of ``path``."""
        for queue in self.queues_by_http_host.get(http_host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def reaches(self, queue: QueueIdentity, job_queue: QueueIdentity) -> bool:
        """Return whether callers of a queue reach the jobs of another identity.

        They reach those of its name and of its address. A job whose queue is not in
        force any more, under either, is reached at any queue: one of them may be the
        same queue under a new name and address, and ids are unique among all queues.

        :param queue: the queue that the callers address.
        :param job_queue: the queue of a job at the time when it was submitted.
        """
        if queue.is_same_queue(job_queue):
            return True
        return (
            job_queue.name not in self.queue_names
            and job_queue.address not in self.queue_addresses
        )

    def counts_for(self, queue: QueueIdentity, job_queue: QueueIdentity) -> bool:
        """Return whether a job counts for a queue in force, and for no other one."""
        if job_queue.address in self.queue_addresses:
            return queue.address == job_queue.address
        return queue.name == job_queue.name

    def close_domain(self, name: str) -> None:
        """Stop starting tasks in a failure domain."""
        self.closed_domains |= {name}

    def open_domain(self, name: str) -> None:
        """Allow tasks to start in a failure domain again."""
        self.closed_domains -= {name}

    def reopen_domains_except(self, names: set[str]) -> None:
        """Reopen every closed failure domain that is not in ``names``."""
        self.closed_domains &= names
