"""Report ages: how long ago a worker made the report on which its agent relies.

A worker's resources may shrink while it runs. Its last report allows starts only for a
limited time, so that an agent that was suspended or restarted, or that gets no reports,
doesn't go on using resources that the worker no longer has.
"""

import math

from jujubeglade.direct import report_cache


class ReportAge:
    """The age of the last report of one worker."""

    __slots__ = ("_arrived_ms", "_clock_ms")

    def __init__(self):
        """Create the age of a report that has not arrived."""
        # When it arrived, on the clock that also counts while the VM is suspended;
        # None for a report from the store.
        self._arrived_ms = None
        # When it was made, on the worker's clock; 0 if it doesn't tell.
        self._clock_ms = 0

    def note(self, report, now_ms):
        """Record a report.

        Args:
          report: A Report.
          now_ms: A number, the clock that also counts while the VM is suspended.
        """
        is_stored = report.sequence == report_cache.STORED_SEQUENCE
        self._arrived_ms = None if is_stored else now_ms
        self._clock_ms = report.clock_ms

    def age_ms(self, now_ms, worker_clock_ms):
        """Return the age of the report.

        A report may have been under way for long, and one from the store says nothing
        of when it arrived; the worker's own clock tells the age of either.

        Args:
          now_ms: A number, the clock that also counts while the VM is suspended.
          worker_clock_ms: A number, the worker's clock now; None if it isn't known.

        Returns:
          A number; infinite if the age isn't known.
        """
        ages_ms = []
        if self._arrived_ms is not None:
            ages_ms.append(now_ms - self._arrived_ms)
        if self._clock_ms and worker_clock_ms is not None:
            ages_ms.append(worker_clock_ms - self._clock_ms)
        return max(ages_ms, default=math.inf)
