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

    __slots__ = ("configuration", "on_change")

    def __init__(
        self, configuration: CurrentConfiguration, on_change: Callable[[], None]
    ) -> None:
        self.configuration = configuration
        self.on_change = on_change

    def apply(self, record: StoredRecord) -> None:
        """Fold one record; one that does not decode changes nothing."""
        if record.key == CONFIG_KEY and record.value is not None:
            self.apply_configuration(record)
        elif record.key.startswith(EVACUATE_PREFIX):
            self.apply_evacuation(record)

    def apply_configuration(self, record: StoredRecord) -> None:
        """Put a configuration in force unless a newer one is."""
        try:
            found = msgspec.json.decode(record.value, type=ConfigRecord, strict=False)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            events.write(events.RECORD_MALFORMED, key=record.key, error=error)
            return
        queues = tuple(make_queue(route) for route in found.routes)
        if self.configuration.apply(Configuration(found.version, queues)):
            events.write(
                events.CONFIG_APPLIED,
                version=found.version,
                offset=record.offset,
                queues=len(queues),
            )
            self.on_change()

    def apply_evacuation(self, record: StoredRecord) -> None:
        """Close a failure domain, or open it again."""
        domain = record.key.removeprefix(EVACUATE_PREFIX)
        if record.value is None:
            self.configuration.open_domain(domain)
        else:
            self.configuration.close_domain(domain)
        events.write(
            events.DOMAIN_CHANGED,
            failure_domain=domain,
            closed=record.value is not None,
            offset=record.offset,
        )
        self.on_change()

    def handle_loaded(self, keys: set[str]) -> None:
        """Open failure domains whose record is gone since the last read."""
        closed = {
            key.removeprefix(EVACUATE_PREFIX)
            for key in keys
            if key.startswith(EVACUATE_PREFIX)
        }
        self.configuration.reopen_domains_except(closed)


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
