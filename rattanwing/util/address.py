"""Addresses that consist of an IP address and a port."""

from __future__ import annotations

import ipaddress
import re

MAX_PORT = 65535

PORT = re.compile(r"[0-9]{1,5}")
"""A port; longer numbers are too large."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``ip:port`` or ``[ip]:port``.

    :raises ValueError: if the IP address or the port is invalid, for instance if
        the address contains a host name.
    """
    host, separator, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not separator or not PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(f"{address!r} is not of the form ip:port")
    ipaddress.ip_address(host)
    return host, int(port)


def check_callable(address: str) -> None:
    """Check that a client can connect to an address.

    :raises ValueError: unless it consists of the IPv4 address of one host and a port
        other than 0.
    """
    host, port = split_address(address)
    ip = ipaddress.ip_address(host)
    if ip.version != 4 or ip.is_unspecified or ip.is_multicast or port == 0:
        raise ValueError(f"no connection can be made to {address!r}")
