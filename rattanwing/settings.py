"""The settings of one process: JSON, checked against typed classes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Literal

import msgspec

from rattanwing.errors import SettingsError
from rattanwing.util.address import split_address
from rattanwing.util.schema import check

if TYPE_CHECKING:
    from pathlib import Path

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
NonNegative = Annotated[int, msgspec.Meta(ge=0)]


def address_problem(address: str) -> str | None:
    """Return what is wrong with an address, or ``None``."""
    try:
        split_address(address)
    except ValueError as error:
        return f"{error}; names are not resolved"
    return None


Address = Annotated[str, msgspec.Meta(extra={"check": address_problem})]


class LogSettings(msgspec.Struct):
    """How structured logs are written."""

    json: bool = False
    level: Literal["debug", "info", "warning", "error"] = "info"


class PeerAddress(msgspec.Struct):
    """Name and peer address of one entry."""

    name: Name
    address: Address


class EntrySettings(msgspec.Struct):
    """Settings of the role ``entry``.

    :param http: address for callers and operators.
    :param peers: address for agents and other entries.
    :param log: address of the platform's log.
    :param entries: every entry of the deployment, this one included.
    :param shards: number of job shards; the same at every entry.
    :param stop_grace_s: how long a planned stop waits for open requests.
    :param drain_s: how long health fails before the listener closes.
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
    """The executor beside an agent.

    :param cpu: processors kept for the executor, never granted to tasks.
    :param memory_mb: memory kept for the executor, in MiB.
    """

    service: Name
    address: Address
    slots: Count = 8
    connections: Count = 64
    queue: NonNegative = 16
    cpu: float = 0.0
    memory_mb: NonNegative = 0

    def problems(self) -> list[str]:
        """Return faults that the types do not show."""
        if self.connections < self.slots:
            return ["connections: fewer than slots"]
        return []


class WorkerSettings(msgspec.Struct):
    """The worker that an agent looks after."""

    address: Address
    rack: Name
    cpu: Positive
    memory_mb: Count
    accelerators: NonNegative = 0


class AgentSettings(msgspec.Struct):
    """Settings of the role ``agent``.

    :param http: address of metrics and health, or ``None`` for none.
    """

    entries: Annotated[list[PeerAddress], msgspec.Meta(min_length=1)]
    executor: ExecutorSettings | None = None
    worker: WorkerSettings | None = None
    http: Address | None = None
    stop_grace_s: Positive = 30.0

    def problems(self) -> list[str]:
        """Return faults that the types do not show."""
        found = []
        if self.executor is None and self.worker is None:
            found.append("executor: an agent needs an executor, a worker or both")
        if self.executor is None or self.worker is None:
            return found
        if self.executor.cpu > self.worker.cpu:
            found.append("executor.cpu: more than the worker has")
        if self.executor.memory_mb > self.worker.memory_mb:
            found.append("executor.memory_mb: more than the worker has")
        return found


class StandinLogSettings(msgspec.Struct):
    """Settings of the stand-in log."""

    http: Address
    retention: NonNegative = 0


class StandinExecutorSettings(msgspec.Struct):
    """Settings of the stand-in executor.

    :param service_ms: milliseconds that a request takes when it names none.
    """

    http: Address
    service_ms: float = 5.0


class StandinWorkerSettings(msgspec.Struct):
    """Settings of the stand-in worker."""

    http: Address
    cpu: Positive = 32.0
    memory_mb: Count = 128_000


class Settings(msgspec.Struct):
    """Settings of one process.

    :param name: unique name of the process.
    :param failure_domain: where the host stands.
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
        """Return the roles that these settings name."""
        names = ("standin_log", "standin_executor", "standin_worker", "entry", "agent")
        return [name for name in names if getattr(self, name) is not None]

    def problems(self) -> list[str]:
        """Return faults that the types do not show."""
        if not self.roles():
            return ["entry: settings name no role"]
        if self.entry is None:
            return []
        names = [entry.name for entry in self.entry.entries]
        found = []
        if self.name not in names:
            found.append(f"entry.entries: does not list this entry, {self.name!r}")
        if len(set(names)) != len(names):
            found.append("entry.entries: a name stands twice")
        return found


def parse_settings(data: bytes) -> Settings:
    """Return checked settings.

    :raises SettingsError: with every fault found.
    """
    try:
        value = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f".: not JSON: {error}"]) from error
    settings, problems = check(Settings, value)
    if problems:
        raise SettingsError(problems)
    return settings


def load_settings(path: Path) -> Settings:
    """Return the checked settings of a file.

    :raises SettingsError: when the file can't be read or has faults.
    """
    try:
        return parse_settings(path.read_bytes())
    except OSError as error:
        raise SettingsError([f".: {path}: {error.strerror}"]) from error
