"""The route table: finds the route of a request.

A configuration may have thousands of routes, and every request needs one of them. The
table is built once for each configuration; the cost of a search depends on the number
of different lengths of prefixes on a host, not on the number of routes.
"""

import dataclasses

from jujubeglade.direct import route as route_


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """The route of a request.

    Attributes:
      route: A Route.
      rest: A string, the part of the path after the prefix.
    """

    route: route_.Route
    rest: str


class RouteTable:
    """The routes of one configuration, by host and prefix."""

    __slots__ = ("_lengths", "_routes")

    def __init__(self, configuration):
        """Index the routes of a configuration.

        Args:
          configuration: A Configuration. Of two routes with the same host and prefix,
            the first one counts.
        """
        # The routes by pairs of a host and a prefix.
        self._routes = {}
        lengths = {}
        for route in configuration.routes:
            self._routes.setdefault((route.host, route.prefix), route)
            lengths.setdefault(route.host, set()).add(len(route.prefix))
        # The lengths of the prefixes on each host, the longest first.
        self._lengths = {
            host: tuple(sorted(of_host, reverse=True))
            for host, of_host in lengths.items()
        }

    def find(self, host, path):
        """Find the route with the longest prefix of a path.

        Args:
          host: A string, the host name without a port.
          path: A string.

        Returns:
          A Match, or None.
        """
        for length in self._lengths.get(host, ()):
            route = self._routes.get((host, path[:length]))
            if route is not None:
                return Match(route, path[length:])
        return None


def new_table(configuration):
    """Make the table of a configuration.

    Args:
      configuration: A Configuration.

    Returns:
      A RouteTable.
    """
    return RouteTable(configuration)
