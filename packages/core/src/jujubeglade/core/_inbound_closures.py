"""Counts the connections that a process closes or refuses at a bound, and logs them."""

import collections

from jujubeglade.core import log, metrics

_LOG_INTERVAL_MS = 10_000

_log = log.get(__name__)


class Closures:
    """The connections closed at a bound, by listener and cause.

    A line is logged for the first one and then at most one in ten seconds, with the
    number of those since the last line.
    """

    __slots__ = ("_clock", "_logged_ms", "_metrics", "_unlogged")

    def __init__(self, process_metrics, process_clock):
        """Start with none.

        Args:
          process_metrics: A Metrics.
          process_clock: A Clock.
        """
        self._metrics = process_metrics
        self._clock = process_clock
        self._unlogged = collections.Counter()
        self._logged_ms = None

    def note(self, listener, cause):
        """Count a connection.

        Args:
          listener: A string, the name of the listener.
          cause: A string.
        """
        self._metrics.count(metrics.Counter.CLOSED, listener, cause)
        self._unlogged[f"{listener} {cause}"] += 1
        self.log()

    def log(self):
        """Log those that were not logged yet, unless a line was logged just before."""
        now_ms = self._clock.now_ms()
        if not self._unlogged or (
            self._logged_ms is not None and now_ms - self._logged_ms < _LOG_INTERVAL_MS
        ):
            return
        counts = ", ".join(
            f"{name} {count}" for name, count in sorted(self._unlogged.items())
        )
        _log.warning("connections closed at a bound", counts=counts)
        self._logged_ms = now_ms
        self._unlogged.clear()
