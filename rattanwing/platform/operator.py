"""Configuration and closed failure domains that operators write to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from rattanwing import events
from rattanwing.batch.configuration import Configuration, Queue
from rattanwing.batch.model import Finite, Number, QueueRules
from rattanwing.errors import MalformedError
from rattanwing.util.codec import decode

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.batch.configuration import CurrentConfiguration
    from rattanwing.batch.ports import StoredRecord

OPERATOR_TOPIC = "op"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"


class Route(msgspec.Struct):
    """The platform's description of a queue.

    :param name: name of the queue.
    :param host: host name in callers' requests to the queue.
    :param path_prefix: prefix of the path in callers' requests to the queue.
    :param backend: service whose executors run the queue's tasks.
    :param priority: jobs of lower values are placed first, from 0.
    :param max_attempts: number of failed attempts of a task after which its job fails.
    :param stretch: target for the time from submission to completion of a job, as a
        multiple of the estimated run time of its longest chain of steps.
    :param target_latency_ms: constant part of that target, in milliseconds.
    """

    name: str
    host: str
    path_prefix: str
    backend: str
    priority: Number = 0
    max_attempts: Number = 1
    stretch: Finite = 1.0
    target_latency_ms: Finite = 0


class ConfigRecord(msgspec.Struct):
    """Value of the record that holds the complete configuration.

    :param version: increases with each change.
    """

    version: Number
    routes: list[Route]


_decoder = msgspec.json.Decoder(ConfigRecord, strict=False)


class OperatorRecords:
    """Applies the records of the operators' topic to the current configuration.

    :param on_change: called after each change of the configuration or of the closed
        failure domains.
    :param on_applied: called with the text of each configuration that was put in force.
    """

    __slots__ = ("configuration", "on_change", "on_applied")

    def __init__(
        self, configuration: CurrentConfiguration, on_change: Callable[[], None]
    ) -> None:
        self.configuration = configuration
        self.on_change = on_change
        self.on_applied: Callable[[bytes], None] = lambda _data: None

    def apply(self, record: StoredRecord) -> None:
        """Apply a record: the configuration or a closed domain; others are ignored."""
        if record.key == CONFIG_KEY and record.value is not None:
            self.apply_configuration(record)
        elif record.key.startswith(EVACUATE_PREFIX):
            self.apply_domain_record(record)

    def apply_configuration(self, record: StoredRecord) -> None:
        """Put a configuration in force if its version is newer than the current one.

        A malformed record is logged and changes nothing.
        """
        try:
            found = decode(_decoder, record.value)
        except MalformedError as error:
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
            self.on_applied(record.value)

    def apply_domain_record(self, record: StoredRecord) -> None:
        """Close a failure domain; if the record deletes its key, reopen the domain."""
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
        """Reopen the failure domains whose record was deleted since the last read.

        :param keys: all keys that the topic holds.
        """
        closed = {
            key.removeprefix(EVACUATE_PREFIX)
            for key in keys
            if key.startswith(EVACUATE_PREFIX)
        }
        self.configuration.reopen_domains_except(closed)


def make_queue(route: Route) -> Queue:
    """Convert a route to a queue."""
    rules = QueueRules(
        route.name,
        route.backend,
        route.priority,
        route.max_attempts,
        route.stretch,
        int(route.target_latency_ms),
        route.host,
        route.path_prefix,
    )
    return Queue(route.host, route.path_prefix, rules)
