"""Reads the platform's settings file (TOML)."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Annotated

import msgspec

from rattanwing.batch.model import NonNegative  # noqa: TC001
from rattanwing.batch.settings import BatchSettings
from rattanwing.errors import SettingsError
from rattanwing.util.address import split_address

if TYPE_CHECKING:
    from pathlib import Path

PATH_VARIABLE = "RATTANWING_CONFIG"
"""Environment variable with the path of the settings file."""


StoreBytes = Annotated[int, msgspec.Meta(ge=4096)]
"""A size in bytes that the records of ordinary jobs fit."""


class Listen(msgspec.Struct):
    """Addresses on which the process serves HTTP; an empty one is not served.

    :param front: address for callers; entries only.
    :param ready: address for readiness checks; entries only.
    :param control: address for the announcements of the executor on this host;
        agents only.
    """

    front: str = ""
    ready: str = ""
    control: str = ""


class Bounds(msgspec.Struct):
    """The platform's bounds that a process needs; times are in seconds, or in
    milliseconds where the name says so.

    :param grace_s: time from the request to stop until the process is killed.
    :param status_s: how long the state of a finished job stays readable.
    :param far_factor: factor of the run time of tasks away from their data or group.
    :param evac_ms: time until no task starts in a closed failure domain.
    :param cancel_ms: time until no task of a cancelled job starts.
    """

    grace_s: NonNegative = 6.0
    status_s: NonNegative = 120.0
    far_factor: NonNegative = 1.0
    evac_ms: NonNegative = 5_000.0
    cancel_ms: NonNegative = 3_000.0


class Limits(msgspec.Struct):
    """The share of its host that a process gets; 0 for what is not known.

    :param cpu_share: processor time, as a share of ``cores``.
    :param cores: speed of the host's processor, as a multiple of a common core.
    :param memory_mb: memory of the process, in megabytes.
    :param max_fds: number of descriptors that the process may open.
    """

    cpu_share: NonNegative = 0.0
    cores: NonNegative = 1.0
    memory_mb: NonNegative = 0.0
    max_fds: NonNegative = 0.0

    @property
    def cpu(self) -> int:
        """Return the processor time in thousandths of a common core."""
        return int(self.cpu_share * self.cores * 1000)


class Store(msgspec.Struct):
    """The platform's store.

    :param addr: its address, as ``ip:port``.
    :param record_bytes: size of the largest record that it accepts.
    :param call_bytes: most bytes of records that it accepts in one call.
    """

    addr: str
    record_bytes: StoreBytes = 262_144
    call_bytes: StoreBytes = 2_097_152


class SettingsFile(msgspec.Struct):
    """The settings file; fields that are not listed here are ignored.

    :param node: unique name of the process.
    :param ip: address of this host.
    :param zone: failure domain in which the process runs.
    :param port_range: first and last port for this process; streams from entries are
        accepted on the first.
    """

    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    platform: Store
    listen: Listen = msgspec.field(default_factory=Listen)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Limits = msgspec.field(default_factory=Limits)


def parse_settings(data: bytes) -> BatchSettings:
    """Convert the content of a settings file.

    :raises SettingsError: when it is not valid TOML, or a field is missing, has the
        wrong type or is out of range.
    """
    try:
        value = tomllib.loads(data.decode())
        found = msgspec.convert(value, SettingsFile, strict=False)
        listen = found.listen
        peers_address = f"{found.ip}:{found.port_range[0]}"
        addresses = [found.platform.addr, peers_address]
        addresses += filter(None, (listen.front, listen.ready, listen.control))
        for address in addresses:
            split_address(address)
    except (ValueError, RecursionError) as error:
        raise SettingsError([f".: {error}"]) from error
    return BatchSettings(
        found.node,
        found.zone,
        found.platform.addr,
        found.bounds.status_s,
        found.bounds.grace_s,
        listen.front or None,
        listen.ready or None,
        peers_address,
        listen.control or None,
        found.limits.cpu,
        found.bounds.far_factor,
        found.limits.memory_mb,
        int(found.limits.max_fds),
        found.bounds.evac_ms / 1000,
        found.bounds.cancel_ms / 1000,
        found.platform.record_bytes,
        found.platform.call_bytes,
    )


def read_settings(path: Path) -> bytes:
    """Return the content of a settings file.

    :raises SettingsError: when the file can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise SettingsError([f".: {path}: {error.strerror}"]) from error
