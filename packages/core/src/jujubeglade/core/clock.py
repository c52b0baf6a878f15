"""Time in milliseconds.

Every process uses the same clock type. Durations are differences of monotonic
readings; the wall clock serves only for times that people or other processes read.
Tests replace the clock by a `ManualClock`.
"""

import time

MILLISECONDS_PER_SECOND = 1000
_NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock:
    """The clock of this process."""

    __slots__ = ()

    def now_ms(self):
        """Read the monotonic clock.

        Returns:
          A float, milliseconds since an arbitrary start.
        """
        return time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND

    def elapsed_ms(self):
        """Read the monotonic clock that also counts while the VM is suspended.

        Returns:
          A float, milliseconds since an arbitrary start.
        """
        reading_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return reading_ns / _NANOSECONDS_PER_MILLISECOND

    def wall_ms(self):
        """Read the wall clock.

        Returns:
          An integer, milliseconds since 1970 in UTC.
        """
        return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


class ManualClock(Clock):
    """A clock that advances only when a test calls `advance`."""

    __slots__ = ("_now_ms",)

    def __init__(self, now_ms=0):
        """Make a clock with a given time.

        Args:
          now_ms: A number, the first reading of the monotonic and the wall clock.
        """
        self._now_ms = now_ms

    def advance(self, duration_ms):
        """Advance the clock.

        Args:
          duration_ms: A number of milliseconds.
        """
        self._now_ms += duration_ms

    def now_ms(self):
        """Return the current time of this clock."""
        return float(self._now_ms)

    def elapsed_ms(self):
        """Return the current time of this clock."""
        return float(self._now_ms)

    def wall_ms(self):
        """Return the current time of this clock, as an integer."""
        return int(self._now_ms)


def system_clock():
    """Make the clock of this process.

    Returns:
      A Clock.
    """
    return Clock()


def seconds(duration_ms):
    """Convert milliseconds to seconds, as asyncio expects them.

    Args:
      duration_ms: A number of milliseconds.

    Returns:
      A float, seconds.
    """
    return duration_ms / MILLISECONDS_PER_SECOND
