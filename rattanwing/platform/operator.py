"""What operators write into the platform's store, as the product's configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from rattanwing import events
from rattanwing.batch.configuration import Configuration, Queue
from rattanwing.batch.model import QueueRules

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.batch.configuration import CurrentConfiguration
    from rattanwing.batch.ports import StoredRecord

OPERATOR_TOPIC = "op"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"


class Route(msgspec.Struct):
    """A route, which is a queue.

    :param backend: the service whose executors run its tasks.
    """

    name: str
    host: str
    path_prefix: str
    backend: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0


class ConfigRecord(msgspec.Struct):
    """A whole configuration."""

    version: int
    routes: list[Route]


class OperatorRecords:
    """Folds the operators' topic into the current configuration.

    :param on_change: called after each change.
    """

    __slots__ = ("current", "on_change")

    def __init__(
        self, current: CurrentConfiguration, on_change: Callable[[], None]
    ) -> None:
        self.current = current
        self.on_change = on_change

    def take(self, record: StoredRecord) -> None:
        """Fold one record; one that does not decode changes nothing."""
        if record.key == CONFIG_KEY and record.value is not None:
            self.take_config(record)
        elif record.key.startswith(EVACUATE_PREFIX):
            self.take_evacuation(record)

    def take_config(self, record: StoredRecord) -> None:
        """Put a configuration in force unless a newer one is."""
        try:
            found = msgspec.json.decode(record.value, type=ConfigRecord, strict=False)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            events.write(events.RECORD_MALFORMED, key=record.key, error=error)
            return
        queues = tuple(make_queue(route) for route in found.routes)
        if self.current.apply(Configuration(found.version, queues)):
            events.write(
                events.CONFIG_APPLIED,
                version=found.version,
                offset=record.offset,
                queues=len(queues),
            )
            self.on_change()

    def take_evacuation(self, record: StoredRecord) -> None:
        """Close a failure domain, or open it again."""
        domain = record.key.removeprefix(EVACUATE_PREFIX)
        if record.value is None:
            self.current.open_domain(domain)
        else:
            self.current.close_domain(domain)
        events.write(
            events.DOMAIN_CHANGED,
            failure_domain=domain,
            closed=record.value is not None,
            offset=record.offset,
        )
        self.on_change()

    def take_loaded(self, keys: set[str]) -> None:
        """Open failure domains whose record is gone since the last read."""
        closed = {
            key.removeprefix(EVACUATE_PREFIX)
            for key in keys
            if key.startswith(EVACUATE_PREFIX)
        }
        self.current.reopen_domains_except(closed)


def make_queue(route: Route) -> Queue:
    """Return the queue that a route describes."""
    rules = QueueRules(
        route.name,
        route.backend,
        route.priority,
        route.max_attempts,
        route.stretch,
        int(route.target_latency_ms),
    )
    return Queue(route.host, route.path_prefix, rules)
