"""Which queue a caller's request belongs to."""

import attrs

from amaranthspar.scheduling import jobs


@attrs.frozen(slots=True)
class Route:
    """A place at which callers find a queue.

    Attributes:
        host: Host name that callers use.
        prefix: Beginning of the path.
        queue: Queue found there.
    """

    host: str
    prefix: str
    queue: jobs.Queue


class Table:
    """All routes of one version of the routing document.

    Args:
        version: Version of the document.
        found: Routes in any order.
    """

    def __init__(self, version: int, found: list[Route]) -> None:
        self.version = version
        self._by_host: dict[str, list[Route]] = {}
        for route in found:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, nothing if none fits.

        Args:
            host: Host name, with or without a port.
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
