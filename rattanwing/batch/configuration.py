"""The operators' configuration as the batch engine uses it."""

from __future__ import annotations

import msgspec

from rattanwing.batch.model import QueueRules  # noqa: TC001


class Queue(msgspec.Struct, frozen=True):
    """Where callers reach a queue.

    :param path_prefix: ends with a slash; job ids follow it.
    """

    host: str
    path_prefix: str
    rules: QueueRules


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    version: int
    queues: tuple[Queue, ...]


class CurrentConfiguration:
    """The newest configuration and the failure domains that are being emptied."""

    __slots__ = ("configuration", "queues_by_host", "closed_domains")

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.queues_by_host: dict[str, list[Queue]] = {}
        self.closed_domains: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Return the version in force; 0 for none."""
        return self.configuration.version if self.configuration else 0

    def apply(self, configuration: Configuration) -> bool:
        """Put a version in force unless it is older; return whether it was."""
        if self.configuration and configuration.version <= self.version:
            return False
        by_host: dict[str, list[Queue]] = {}
        for queue in configuration.queues:
            by_host.setdefault(queue.host, []).append(queue)
        for queues in by_host.values():
            queues.sort(key=lambda queue: len(queue.path_prefix), reverse=True)
        self.configuration = configuration
        self.queues_by_host = by_host
        return True

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of a path."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def close_domain(self, name: str) -> None:
        """Start nothing more in a failure domain."""
        self.closed_domains |= {name}

    def open_domain(self, name: str) -> None:
        """Use a failure domain again."""
        self.closed_domains -= {name}

    def reopen_domains_except(self, names: set[str]) -> None:
        """Open every failure domain that is not named."""
        self.closed_domains &= names
