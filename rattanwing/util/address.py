"""Addresses that consist of an IP address and a port."""

from __future__ import annotations

import ipaddress


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``ip:port`` or ``[ip]:port``.

    :raises ValueError: if the IP address or the port is invalid, for instance if
        the address contains a host name.
    """
    host, separator, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{address!r} is not of the form ip:port")
    ipaddress.ip_address(host)
    return host, int(port)
