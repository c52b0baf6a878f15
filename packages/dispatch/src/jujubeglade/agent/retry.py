"""Retries: how often a home starts a task again, and after which delay.

Retries and hedges of a home share one budget, a token bucket. It earns a tenth of a
start with each first start, and a fixed number of starts a second so that a home
with few tasks can retry too. When a whole service fails, the additional starts are
therefore bounded by the budget and not by the number of attempts that a task may
have. Only repeatable tasks are started again.
"""

MAX_FAILURES = 3
_EARNED_PER_START = 0.1
_EARNED_PER_S = 10
_MAX_TOKENS = 100
_MIN_DELAY_MS = 5
_MAX_DELAY_MS = 500
_JITTER = 0.5
_MILLISECONDS_PER_SECOND = 1000


class Budget:
    """A token bucket of the starts of a home beyond the first one of each task."""

    __slots__ = ("_refilled_ms", "_tokens")

    def __init__(self, now_ms):
        """Create a full bucket.

        Args:
          now_ms: A number, the monotonic time.
        """
        self._tokens = float(_MAX_TOKENS)
        self._refilled_ms = now_ms

    def earn(self):
        """Add the tokens that the first start of a task earns."""
        self._tokens = min(_MAX_TOKENS, self._tokens + _EARNED_PER_START)

    def take(self, now_ms):
        """Take one token, if there is one.

        Args:
          now_ms: A number, the monotonic time.

        Returns:
          A boolean, whether a start is allowed.
        """
        self._refill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def overdraw(self, now_ms):
        """Take one token even if there is none, which delays later starts.

        Args:
          now_ms: A number, the monotonic time.
        """
        self._refill(now_ms)
        self._tokens = max(-_MAX_TOKENS, self._tokens - 1)

    def _refill(self, now_ms):
        earned = (now_ms - self._refilled_ms) * _EARNED_PER_S / _MILLISECONDS_PER_SECOND
        self._tokens = min(_MAX_TOKENS, self._tokens + earned)
        self._refilled_ms = now_ms


def delay_ms(failures, random_value):
    """Return the delay before the next start of a failed task.

    Args:
      failures: An integer, how many of its attempts failed.
      random_value: A random number from 0 to 1.

    Returns:
      A number: exponential backoff with jitter.
    """
    full_delay_ms = min(_MAX_DELAY_MS, _MIN_DELAY_MS * 2 ** (failures - 1))
    return full_delay_ms * (1 - _JITTER * random_value)
