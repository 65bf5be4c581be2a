"""Selection of the route of a request, from the configuration in force. No I/O."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from granitewell.domain.configuration import Configuration, Route


def host_name(header: str) -> str:
    """Return the host of a `Host` header: lower case, without the port."""
    host = header.strip().lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def path_of(target: str) -> str:
    """Return the path of a request target, without query and fragment, as it was sent."""
    end = len(target)
    for mark in "?#":
        at = target.find(mark, 0, end)
        end = at if at >= 0 else end
    return target[:end]


class _Host:
    """Routes of one host by path prefix, and the lengths of the prefixes, longest first."""

    __slots__ = ("by_prefix", "lengths")

    def __init__(self, by_prefix: dict[str, Route]) -> None:
        self.by_prefix = by_prefix
        self.lengths = sorted({len(prefix) for prefix in by_prefix}, reverse=True)


class RouteTable:
    """Routes of one configuration, matched by host and then by the longest path prefix."""

    def __init__(self, configuration: Configuration) -> None:
        hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes.values():
            hosts.setdefault(host_name(route.host), {})[route.prefix] = route
        self._hosts = {host: _Host(by_prefix) for host, by_prefix in hosts.items()}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host (see host_name) and a path (see path_of)."""
        routes = self._hosts.get(host)
        if routes is None:
            return None
        for length in routes.lengths:
            route = routes.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


def choose_service(route: Route, rng: Random) -> str:
    """Return one of a route's services, at random by weight. Draws only if there are several."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    sums = list(accumulate(max(s.weight, 0.0) for s in services))
    if sums[-1] <= 0.0:
        return services[0].service
    return services[min(bisect(sums, rng.random() * sums[-1]), len(services) - 1)].service
