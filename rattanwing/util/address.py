"""Addresses: an IP number and a port."""

from __future__ import annotations

import ipaddress


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of ``ip:port`` or ``[ip]:port``.

    :raises ValueError: when the host is a name or the port is no port.
    """
    host, separator, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{address!r} is not of the form ip:port")
    ipaddress.ip_address(host)
    return host, int(port)
