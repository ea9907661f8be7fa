"""Counters and gauges by StatsD."""

import statsd


class StatsdReporter:
    """Sends the growth of a process's counters.

    Args:
        process: Process name, the prefix of each metric.
        address: StatsD address; empty to send nothing.
    """

    def __init__(self, process: str, address: str) -> None:
        self._sent: dict[str, int] = {}
        self._client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            prefix = f"amaranthspar.{process}"
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def report(self, counts: dict[str, int]) -> None:
        """Send what the counters have grown by since the last report.

        Args:
            counts: Totals by metric name.
        """
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, total in counts.items():
                growth = total - self._sent.get(name, 0)
                if growth:
                    pipe.incr(name, growth)
                self._sent[name] = total
