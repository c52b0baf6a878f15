"""Retries: how often a home starts a task again, and after how long.

Retries and hedges share one budget a home. It earns a tenth of a start with each
first start, and a floor a second so that a quiet home can retry too. When a
whole service fails, the starts therefore rise by the budget and not by the
number of attempts a task may have. Only repeatable tasks are started again.
"""

MAX_FAILURES = 3
_PER_START = 0.1
_FLOOR_PER_S = 10
_CAPACITY = 100
_FIRST_DELAY_MS = 5
_LAST_DELAY_MS = 500
_SPREAD = 0.5
_MILLISECONDS_PER_SECOND = 1000


class Budget:
    """The starts that a home may spend beyond the first one of each task."""

    __slots__ = ("_at_ms", "_tokens")

    def __init__(self, now_ms):
        """Start full.

        Args:
          now_ms: A number, the monotonic time.
        """
        self._tokens = float(_CAPACITY)
        self._at_ms = now_ms

    def earn(self):
        """Count a first start."""
        self._tokens = min(_CAPACITY, self._tokens + _PER_START)

    def take(self, now_ms):
        """Spend one start if there is one.

        Args:
          now_ms: A number, the monotonic time.

        Returns:
          A boolean.
        """
        self._refill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def owe(self, now_ms):
        """Spend one start in any case; later ones wait until it is earned.

        Args:
          now_ms: A number, the monotonic time.
        """
        self._refill(now_ms)
        self._tokens = max(-_CAPACITY, self._tokens - 1)

    def _refill(self, now_ms):
        earned = (now_ms - self._at_ms) * _FLOOR_PER_S / _MILLISECONDS_PER_SECOND
        self._tokens = min(_CAPACITY, self._tokens + earned)
        self._at_ms = now_ms


def delay_ms(failures, draw):
    """Tell how long a failed task rests before its next start.

    Args:
      failures: An integer, how many of its attempts failed.
      draw: A number from 0 to 1, drawn at random.

    Returns:
      A number.
    """
    whole = min(_LAST_DELAY_MS, _FIRST_DELAY_MS * 2 ** (failures - 1))
    return whole * (1 - _SPREAD * draw)
