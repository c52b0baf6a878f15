"""Health: the recent failures and run times of a worker, as one entry sees them.

It covers two faults: a worker that fails every task, and one that runs tasks more
slowly than others. A worker that fails repeatedly gets no tasks for a pause that
doubles with each further failure; then it is tried again.
"""

#: Consecutive failures that are attributed to the tasks, not to the worker.
_MAX_FAILURES_WITHOUT_PAUSE = 2
_MIN_PAUSE_MS = 250.0
_MAX_PAUSE_MS = 4000.0
#: The weight of the latest run in a worker's slowdown, once there were many runs.
_MIN_RUN_WEIGHT = 0.1
#: The highest ratio of run time to estimate that is counted for a run.
_MAX_SLOWDOWN = 8.0
#: A slowdown decays towards 1 with this half-life, so that a worker that was slow is
#: tried again.
_SLOWDOWN_HALF_LIFE_MS = 3000.0


class Health:
    """The health of one worker."""

    __slots__ = (
        "_failures",
        "_slowdown",
        "_slowdown_updated_ms",
        "_paused_until_ms",
        "_runs",
    )

    def __init__(self):
        """Create the health of a worker without runs."""
        self._failures = 0
        self._slowdown = 1.0
        self._slowdown_updated_ms = 0.0
        self._paused_until_ms = 0.0
        self._runs = 0

    def slowdown(self, now_ms):
        """Return how many times longer than estimated its recent runs took.

        Args:
          now_ms: A number, the monotonic clock.
        """
        passed_ms = now_ms - self._slowdown_updated_ms
        return 1.0 + (self._slowdown - 1.0) * 0.5 ** (
            passed_ms / _SLOWDOWN_HALF_LIFE_MS
        )

    def is_paused(self, now_ms):
        """Return whether the worker gets no tasks for now.

        Args:
          now_ms: A number, the monotonic clock.
        """
        return now_ms < self._paused_until_ms

    def note_done(self, ran_ms, estimate_ms, now_ms):
        """Record a run that succeeded.

        Args:
          ran_ms: A number.
          estimate_ms: A number; 0 without an estimate.
          now_ms: A number, the monotonic clock.
        """
        self._failures = 0
        self._note_slowdown(ran_ms, estimate_ms, now_ms)

    def _note_slowdown(self, ran_ms, estimate_ms, now_ms):
        if estimate_ms <= 0:
            return
        self._runs += 1
        ratio = min(_MAX_SLOWDOWN, ran_ms / estimate_ms)
        weight = max(_MIN_RUN_WEIGHT, 1.0 / self._runs)
        self._slowdown = self.slowdown(now_ms)
        self._slowdown += (ratio - self._slowdown) * weight
        self._slowdown_updated_ms = now_ms

    def note_failed(self, now_ms):
        """Record a run that failed, or a start that the worker refused.

        Args:
          now_ms: A number, the monotonic clock.
        """
        self._failures += 1
        excess = self._failures - _MAX_FAILURES_WITHOUT_PAUSE
        if excess > 0:
            pause_ms = min(_MAX_PAUSE_MS, _MIN_PAUSE_MS * 2 ** (excess - 1))
            self._paused_until_ms = now_ms + pause_ms


def new_health():
    """Make the health of a worker that has not run anything.

    Returns:
      A Health.
    """
    return Health()
