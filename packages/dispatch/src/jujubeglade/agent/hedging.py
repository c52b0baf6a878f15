"""Hedging: a second attempt of a repeatable task that is late.

Each class implements a choice of the rule `hedging`. `Late` records for each placed
task the time at which it will have taken longer than nearly all tasks of its service;
the scheduler starts a second attempt of the tasks that are due.
"""

import heapq
import itertools
import math

from jujubeglade.core import rules

_LATE_QUANTILE = 0.95
_MIN_DELAY_MS = 10


@rules.implements("hedging", "off")
class Off:
    """Never start a second attempt of a late task."""

    __slots__ = ()

    def placed(self, job, index, attempt, now_ms, run_times):
        """Record that a task was placed; see `Late.placed`."""

    def due(self, now_ms):
        """Return the late tasks: none.

        Args:
          now_ms: A number, the monotonic time.

        Returns:
          An empty list.
        """
        return []

    def next_due_ms(self):
        """Return when the next task will be late: never."""
        return math.inf


@rules.implements("hedging", "late")
class Late:
    """Start a second attempt after a quantile of the service's measured times."""

    __slots__ = ("_heap", "_sequence")

    def __init__(self):
        """Create an object without placed tasks."""
        self._heap = []
        self._sequence = itertools.count()

    def placed(self, job, index, attempt, now_ms, run_times):
        """Record that a task was placed.

        Args:
          job: An OwnedJob.
          index: An integer, the task's index.
          attempt: An integer.
          now_ms: A number, the monotonic time.
          run_times: A RunTimes.
        """
        task = job.tasks[index]
        ratio = run_times.ratio_quantile(task.task.service, _LATE_QUANTILE)
        if ratio is None or not task.task.repeatable:
            return
        due_ms = now_ms + max(_MIN_DELAY_MS, ratio * task.expected_ms)
        entry = (due_ms, next(self._sequence), job, index, attempt)
        heapq.heappush(self._heap, entry)

    def due(self, now_ms):
        """Return the tasks whose attempt is late and has not ended, each only once.

        Args:
          now_ms: A number, the monotonic time.

        Returns:
          A list of pairs of an OwnedJob and the index of a task.
        """
        late = []
        while self._heap and (
            self._heap[0][0] <= now_ms or _is_obsolete(self._heap[0])
        ):
            entry = heapq.heappop(self._heap)
            if not _is_obsolete(entry):
                late.append(entry[2:4])
        return late

    def next_due_ms(self):
        """Return when the next task will be late.

        Returns:
          A number, the monotonic time; infinity for never.
        """
        return self._heap[0][0] if self._heap else math.inf


def _is_obsolete(entry):
    _, _, job, index, attempt = entry
    return job.is_over or attempt not in job.tasks[index].attempts
