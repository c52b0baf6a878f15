"""Hedging: a second attempt of a repeatable task that is late.

Each class carries out a choice of the rule `hedging`. `Late` notes when each
placed task will be later than nearly all tasks of its service; the scheduler asks
for those that are due.
"""

import heapq
import itertools
import math

from jujubeglade.core import rules

_LATE_SHARE = 0.95
_LEAST_WAIT_MS = 10


@rules.implements("hedging", "off")
class Off:
    """Start no task twice because it is late."""

    __slots__ = ()

    def placed(self, known, index, attempt, now_ms, times):
        """Note that a task was placed; see `Late.placed`."""

    def due(self, now_ms):
        """List what is late: nothing.

        Args:
          now_ms: A number, the monotonic time.

        Returns:
          An empty list.
        """
        return []

    def next_ms(self):
        """Tell when the next task will be late: never."""
        return math.inf


@rules.implements("hedging", "late")
class Late:
    """Start a second attempt after a learnt quantile of the service's times."""

    __slots__ = ("_heap", "_numbers")

    def __init__(self):
        """Start with nothing placed."""
        self._heap = []
        self._numbers = itertools.count()

    def placed(self, known, index, attempt, now_ms, times):
        """Note that a task was placed.

        Args:
          known: An OwnedJob.
          index: An integer, the task's place.
          attempt: An integer.
          now_ms: A number, the monotonic time.
          times: A RunTimes.
        """
        task = known.tasks[index]
        ratio = times.late_ratio(task.task.service, _LATE_SHARE)
        if ratio is None or not task.task.repeatable:
            return
        due_ms = now_ms + max(_LEAST_WAIT_MS, ratio * task.expected_ms)
        entry = (due_ms, next(self._numbers), known, index, attempt)
        heapq.heappush(self._heap, entry)

    def due(self, now_ms):
        """List what is late and still out, each once.

        Args:
          now_ms: A number, the monotonic time.

        Returns:
          A list of pairs of an OwnedJob and an index.
        """
        found = []
        while self._heap and (self._heap[0][0] <= now_ms or _is_past(self._heap[0])):
            entry = heapq.heappop(self._heap)
            if not _is_past(entry):
                found.append(entry[2:4])
        return found

    def next_ms(self):
        """Tell when the next task will be late.

        Returns:
          A number, the monotonic time; infinity for never.
        """
        return self._heap[0][0] if self._heap else math.inf


def _is_past(entry):
    _, _, known, index, attempt = entry
    return known.is_over or attempt not in known.tasks[index].attempts
