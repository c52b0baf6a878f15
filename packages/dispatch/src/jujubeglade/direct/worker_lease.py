"""Worker leases: how long the worker runs its tasks without its agent.

The agent's calls extend the lease; when it expires, the worker ends what it runs. This
module tracks the worker's clock, chooses the end of each extension, and determines
when everything that ran on an unreachable worker has certainly ended.

A call without an answer may be executed late, and its time may count from then. It is
void once the worker has answered a call with a higher fencing token. Until then it may
extend the lease once more, just before it expires. That several such calls do so one
after the other, each within a lease, is not allowed for.
"""

import dataclasses

#: A worker's clock may run slow by up to this factor.
_SLOW_CLOCK_FACTOR = 1.02
#: The estimate of the worker's clock may be ahead by this much, as it is slow.
_CLOCK_ERROR_MS = 20
#: Time for a call in flight, and for the worker to end what it runs.
_END_MARGIN_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Extension:
    """An extension of the lease that a call contains.

    Attributes:
      until_ms: An integer, the end of the lease on the worker's clock.
      token: An integer, the fencing token of the call.
    """

    until_ms: int
    token: int


class WorkerLease:
    """The lease of one incarnation of a worker."""

    __slots__ = (
        "_answered_ms",
        "_clock_read_ms",
        "_clock_ms",
        "_expires_ms",
        "_extended_ms",
        "_lease_ms",
        "_open",
    )

    def __init__(self, lease_ms, now_ms):
        """Create the lease of a worker that has not reported its clock yet.

        Args:
          lease_ms: An integer, the longest lease.
          now_ms: A number, the monotonic clock.
        """
        self._lease_ms = lease_ms
        self._answered_ms = now_ms
        self._extended_ms = now_ms
        self._clock_ms = None
        self._clock_read_ms = now_ms
        # The Extensions whose calls have no answer and are not void.
        self._open = []
        # When it has expired at the latest; an earlier incarnation of this agent may
        # have extended it.
        self._expires_ms = now_ms + _longest_ms(lease_ms)

    @property
    def open_extensions(self):
        """Return the number of extensions that may still be executed."""
        return len(self._open)

    @property
    def answered_ms(self):
        """Return when the worker last answered a poll; first, when it was adopted."""
        return self._answered_ms

    def worker_clock_ms(self, now_ms):
        """Return the worker's clock now; None if it has not told it yet.

        Args:
          now_ms: A number, the monotonic clock.
        """
        if self._clock_ms is None:
            return None
        return self._clock_ms + now_ms - self._clock_read_ms

    def ages_ms(self, now_ms):
        """Return the ages of the last answer and of the last extension.

        Args:
          now_ms: A number, the monotonic clock.

        Returns:
          A pair of numbers.
        """
        return now_ms - self._answered_ms, now_ms - self._extended_ms

    def note_clock(self, clock_ms, now_ms):
        """Record the worker's clock from one of its answers.

        Args:
          clock_ms: A number, or None when the answer had none.
          now_ms: A number, the monotonic clock.
        """
        if clock_ms is not None:
            self._clock_ms = clock_ms
            self._clock_read_ms = now_ms

    def note_answer(self, now_ms, token):
        """Record that the worker has answered a poll.

        Args:
          now_ms: A number, the monotonic clock.
          token: An integer, the fencing token of the poll.
        """
        self._answered_ms = now_ms
        still_open = [extension for extension in self._open if extension.token >= token]
        if len(still_open) < len(self._open):
            # One that is void from now on may have been executed just before.
            latest_ms = now_ms + _longest_ms(self._lease_ms)
            self._expires_ms = max(self._expires_ms, latest_ms)
        self._open = still_open

    def close(self, extension):
        """Record that the call of an extension was answered, or was not sent.

        Args:
          extension: An Extension, or None.
        """
        if extension in self._open:
            self._open.remove(extension)

    def extend(self, now_ms, limit_ms, token):
        """Extend the lease with a call that is about to be sent.

        Args:
          now_ms: A number, the monotonic clock.
          limit_ms: A number, the time from now within which it must have expired.
          token: An integer, the fencing token of the call.

        Returns:
          An Extension, or None when the call must not extend it.
        """
        if self._clock_ms is None:
            return None
        lease_ms = min(self._lease_ms, limit_ms / _SLOW_CLOCK_FACTOR - _CLOCK_ERROR_MS)
        if lease_ms <= 0:
            return None
        self._extended_ms = now_ms
        self._expires_ms = max(self._expires_ms, now_ms + _longest_ms(lease_ms))
        until_ms = int(self.worker_clock_ms(now_ms) + lease_ms)
        extension = Extension(until_ms, token)
        self._open.append(extension)
        return extension

    def remaining_ms(self, now_ms):
        """Return for how long the worker may go on without another extension.

        Args:
          now_ms: A number, the monotonic clock.
        """
        return self._expires_ms - now_ms

    def has_lapsed(self, now_ms):
        """Return whether everything that the worker ran has certainly ended.

        Args:
          now_ms: A number, the monotonic clock.
        """
        late_ms = _longest_ms(self._lease_ms) if self._open else 0
        return self.remaining_ms(now_ms) + late_ms < -_END_MARGIN_MS


def _longest_ms(lease_ms):
    """Return how long a lease may last that is granted now."""
    return (lease_ms + _CLOCK_ERROR_MS) * _SLOW_CLOCK_FACTOR


def new_worker_lease(lease_ms, now_ms):
    """Make the lease of an incarnation of a worker that has just been reported.

    Args:
      lease_ms: An integer, the longest lease.
      now_ms: A number, the monotonic clock.

    Returns:
      A WorkerLease.
    """
    return WorkerLease(lease_ms, now_ms)
