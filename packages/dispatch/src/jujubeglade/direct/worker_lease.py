"""Holds: what an agent knows of the leases of the worker beside it.

A worker goes on by itself for a short time after the last call that held it. This
module keeps the worker's clock, the time up to which it is held, and the time from
which all that ran there has certainly ended.
"""

#: Holds are not extended once no answer has come for this long; the worker may be gone.
_EXTEND_WITHIN_MS = 800
#: A worker's clock may be this much slow.
_SLOW_CLOCK = 1.02
#: For a call that is on its way, and for the worker to end what it runs.
_MARGIN_MS = 100


class WorkerLease:
    """The leases of one life of a worker."""

    __slots__ = (
        "_answered_ms",
        "_clock_at_ms",
        "_clock_ms",
        "_extended_ms",
        "_hold_ms",
    )

    def __init__(self, hold_ms, now_ms):
        """Begin with a worker whose clock is not known.

        Args:
          hold_ms: An integer, the longest hold.
          now_ms: A number, the monotonic clock.
        """
        self._hold_ms = hold_ms
        self._answered_ms = now_ms
        self._extended_ms = now_ms
        self._clock_ms = None
        self._clock_at_ms = now_ms

    def note_clock(self, clock_ms, now_ms):
        """Take over the worker's clock from one of its answers.

        Args:
          clock_ms: A number, or None when the answer had none.
          now_ms: A number, the monotonic clock.
        """
        if clock_ms is not None:
            self._clock_ms = clock_ms
            self._clock_at_ms = now_ms

    def note_answer(self, now_ms):
        """Note that a hold was answered.

        Args:
          now_ms: A number, the monotonic clock.
        """
        self._answered_ms = now_ms

    def until_ms(self, now_ms):
        """Choose the end of the hold that a call asks for.

        Args:
          now_ms: A number, the monotonic clock.

        Returns:
          An integer on the worker's clock, or None when the call must not extend.
        """
        if self._clock_ms is None or now_ms - self._answered_ms > _EXTEND_WITHIN_MS:
            return None
        self._extended_ms = now_ms
        return int(self._clock_ms + now_ms - self._clock_at_ms) + self._hold_ms

    def has_lapsed(self, now_ms):
        """Tell whether all that the worker ran has certainly ended.

        Args:
          now_ms: A number, the monotonic clock.
        """
        most_ms = self._hold_ms * _SLOW_CLOCK + _MARGIN_MS
        return now_ms - self._extended_ms > most_ms


def new_worker_lease(hold_ms, now_ms):
    """Make the hold of a life that has just begun.

    Args:
      hold_ms: An integer, the longest hold.
      now_ms: A number, the monotonic clock.

    Returns:
      A WorkerLease.
    """
    return WorkerLease(hold_ms, now_ms)
