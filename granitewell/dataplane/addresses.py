"""Addresses of the form `ip:port`. No I/O."""

from __future__ import annotations


def host_and_port(address: str) -> tuple[str, int]:
    """Return the parts of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
