"""The settings of one process, read from JSON and validated by typed classes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Literal

import msgspec

from rattanwing.errors import MalformedError, SettingsError
from rattanwing.util.address import split_address
from rattanwing.util.codec import decode_json
from rattanwing.util.schema import convert

if TYPE_CHECKING:
    from pathlib import Path

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
NonNegative = Annotated[int, msgspec.Meta(ge=0)]


def address_problem(address: str) -> str | None:
    """Return why an address is invalid, or ``None`` if it is valid."""
    try:
        split_address(address)
    except ValueError as error:
        return f"{error}; use an IP address and a port, not a host name"
    return None


Address = Annotated[str, msgspec.Meta(extra={"check": address_problem})]


class LogSettings(msgspec.Struct):
    """Format and level of the log lines."""

    json: bool = False
    level: Literal["debug", "info", "warning", "error"] = "info"


class PeerAddress(msgspec.Struct):
    """Name and peer address of one entry."""

    name: Name
    address: Address


class EntrySettings(msgspec.Struct):
    """Settings of the role ``entry``.

    :param http: address that callers and operators connect to.
    :param peers: address that agents and other entries connect to.
    :param log: address of the platform's log.
    :param entries: every entry of the deployment, including this one.
    :param shards: number of job shards; must be the same at every entry.
    :param stop_grace_s: seconds that a graceful stop waits for open requests.
    :param drain_s: seconds between the first failing health check of a stopping
        entry and the close of its listener.
    :param snapshot_interval_s: seconds between two snapshots of a log stream.
    """

    http: Address
    peers: Address
    log: Address
    entries: list[PeerAddress]
    shards: Count = 3
    stop_grace_s: Positive = 30.0
    drain_s: Annotated[float, msgspec.Meta(ge=0)] = 2.0
    snapshot_interval_s: Positive = 600.0


class ExecutorSettings(msgspec.Struct):
    """The executor on the host of an agent.

    :param slots: number of requests that the executor handles at once.
    :param connections: maximum number of open connections to the executor.
    :param queue: maximum number of requests that wait for a slot.
    :param cpu: processors reserved for the executor and never granted to tasks.
    :param memory_mb: memory in MiB reserved for the executor.
    """

    service: Name
    address: Address
    slots: Count = 8
    connections: Count = 64
    queue: NonNegative = 16
    cpu: float = 0.0
    memory_mb: NonNegative = 0

    def problems(self) -> list[str]:
        """Return problems that the types can't express."""
        if self.connections < self.slots:
            return ["connections: fewer than slots"]
        return []


class WorkerSettings(msgspec.Struct):
    """The worker on the host of an agent."""

    address: Address
    rack: Name
    cpu: Positive
    memory_mb: Count
    accelerators: NonNegative = 0


class AgentSettings(msgspec.Struct):
    """Settings of the role ``agent``.

    :param http: address that serves metrics and health, or ``None`` to serve neither.
    """

    entries: Annotated[list[PeerAddress], msgspec.Meta(min_length=1)]
    executor: ExecutorSettings | None = None
    worker: WorkerSettings | None = None
    http: Address | None = None
    stop_grace_s: Positive = 30.0

    def problems(self) -> list[str]:
        """Return problems that the types can't express."""
        problems = []
        if self.executor is None and self.worker is None:
            problems.append("executor: an agent needs an executor, a worker or both")
        if self.executor is None or self.worker is None:
            return problems
        if self.executor.cpu > self.worker.cpu:
            problems.append("executor.cpu: more than the worker has")
        if self.executor.memory_mb > self.worker.memory_mb:
            problems.append("executor.memory_mb: more than the worker has")
        return problems


class StandinLogSettings(msgspec.Struct):
    """Settings of the stand-in for the platform's log.

    :param retention: number of records that a stream keeps, or 0 for all.
    """

    http: Address
    retention: NonNegative = 0


class StandinExecutorSettings(msgspec.Struct):
    """Settings of the stand-in for the platform's executor.

    :param service_ms: service time in milliseconds of a request that sets none.
    """

    http: Address
    service_ms: float = 5.0


class StandinWorkerSettings(msgspec.Struct):
    """Settings of the stand-in for the platform's worker."""

    http: Address
    cpu: Positive = 32.0
    memory_mb: Count = 128_000


class Settings(msgspec.Struct):
    """Settings of one process.

    :param name: unique name of the process.
    :param failure_domain: failure domain of the host.
    """

    name: Name
    failure_domain: Name
    logging: LogSettings = msgspec.field(default_factory=LogSettings)
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    standin_log: StandinLogSettings | None = None
    standin_executor: StandinExecutorSettings | None = None
    standin_worker: StandinWorkerSettings | None = None

    def roles(self) -> list[str]:
        """Return the roles that have settings, the platform's stand-ins first."""
        names = ("standin_log", "standin_executor", "standin_worker", "entry", "agent")
        return [name for name in names if getattr(self, name) is not None]

    def problems(self) -> list[str]:
        """Return problems that the types can't express."""
        if not self.roles():
            return [
                "entry: no role is set; give at least one of entry, agent, "
                "standin_log, standin_executor and standin_worker"
            ]
        if self.entry is None:
            return []
        names = [entry.name for entry in self.entry.entries]
        problems = []
        if self.name not in names:
            problems.append(f"entry.entries: does not list this entry, {self.name!r}")
        if len(set(names)) != len(names):
            problems.append("entry.entries: a name is listed twice")
        return problems


def parse_settings(data: bytes) -> Settings:
    """Return the validated settings.

    :raises SettingsError: with every problem found.
    """
    try:
        value = decode_json(data)
    except MalformedError as error:
        raise SettingsError([f".: not JSON: {error}"]) from error
    settings, problems = convert(Settings, value)
    if problems:
        raise SettingsError(problems)
    return settings


def load_settings(path: Path) -> Settings:
    """Return the validated settings of a file.

    :raises SettingsError: if the file can't be read or is invalid.
    """
    try:
        return parse_settings(path.read_bytes())
    except OSError as error:
        raise SettingsError([f".: {path}: {error.strerror}"]) from error
