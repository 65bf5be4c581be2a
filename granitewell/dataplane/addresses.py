"""Addresses of the form `ip:port`. Pure."""

from __future__ import annotations


def host_and_port(address: str) -> tuple[str, int]:
    """The parts of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
