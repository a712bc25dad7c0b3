"""The platform's settings file (TOML) as the product's settings."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

import msgspec

from rattanwing.batch.settings import BatchSettings
from rattanwing.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

PATH_VARIABLE = "RATTANWING_CONFIG"


class Listen(msgspec.Struct):
    """Addresses that the process serves.

    :param control: the executor on this machine announces itself here.
    """

    front: str = ""
    ready: str = ""
    control: str = ""


class Bounds(msgspec.Struct):
    """Bounds of the platform's rules, those that a process uses.

    :param status_s: how long the state of a finished job stays readable.
    """

    grace_s: float = 6.0
    status_s: float = 120.0


class Store(msgspec.Struct):
    """Where the platform's store is."""

    addr: str


class SettingsFile(msgspec.Struct):
    """The fields of the settings file that are used; others are left out."""

    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    platform: Store
    listen: Listen = msgspec.field(default_factory=Listen)
    bounds: Bounds = msgspec.field(default_factory=Bounds)


def parse_settings(data: bytes) -> BatchSettings:
    """Return the product's settings.

    :raises SettingsError: when the file is no TOML or lacks what is needed.
    """
    try:
        value = tomllib.loads(data.decode())
        found = msgspec.convert(value, SettingsFile, strict=False)
    except (ValueError, msgspec.ValidationError) as error:
        raise SettingsError([f".: {error}"]) from error
    return BatchSettings(
        found.node,
        found.zone,
        found.platform.addr,
        found.bounds.status_s,
        found.bounds.grace_s,
        found.listen.front or None,
        found.listen.ready or None,
        f"{found.ip}:{found.port_range[0]}",
        found.listen.control or None,
    )


def load_settings(path: Path) -> BatchSettings:
    """Return the settings of a file.

    :raises SettingsError: when it can't be read or used.
    """
    try:
        return parse_settings(path.read_bytes())
    except OSError as error:
        raise SettingsError([f".: {path}: {error.strerror}"]) from error
