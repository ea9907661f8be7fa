"""Routing table that assigns requests to queues by host and path."""

import attrs

from amaranthspar.scheduling import jobs


@attrs.frozen(slots=True)
class Route:
    """Route from a host and a path prefix to a queue.

    Attributes:
        host: Host name of the request.
        prefix: Prefix of the path.
        queue: Queue for the jobs of matching requests.
    """

    host: str
    prefix: str
    queue: jobs.Queue


class Table:
    """Routing table of one version of the routing document.

    Args:
        version: Version of the document.
        entries: Routes in any order.
    """

    def __init__(self, version: int, entries: list[Route]) -> None:
        self.version = version
        self._by_host: dict[str, list[Route]] = {}
        for route in entries:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the matching route with the longest prefix; `None` if none matches.

        Args:
            host: Host name of the request, with or without a port.
            path: Path of the request.
        """
        name = host.partition(":")[0].lower()
        return next(
            (
                route
                for route in self._by_host.get(name, ())
                if path.startswith(route.prefix)
            ),
            None,
        )
