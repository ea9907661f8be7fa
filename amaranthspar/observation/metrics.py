"""Export of counters to StatsD."""

import statsd


class StatsdReporter:
    """Sends the increases of a process's counters to StatsD.

    Args:
        process: Process name; part of the prefix of each metric.
        address: StatsD address as HOST:PORT; empty to send nothing.
    """

    def __init__(self, process: str, address: str) -> None:
        self._reported: dict[str, int] = {}
        self._client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            prefix = f"amaranthspar.{process}"
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def report(self, counts: dict[str, int]) -> None:
        """Send the increase of each counter since the last report.

        Args:
            counts: Current total by metric name.
        """
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, total in counts.items():
                increase = total - self._reported.get(name, 0)
                if increase:
                    pipe.incr(name, increase)
                self._reported[name] = total
