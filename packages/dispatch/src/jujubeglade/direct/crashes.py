"""Crashes: which attempts a worker ran when it crashed, as its agent tells the entries.

A task may crash each worker that starts it, and end the attempts of other jobs there.
One crash doesn't tell which attempt was the cause. An attempt that the worker still ran
for some time after its start has survived its probation, and is a less likely cause
than one that has not. A task that was a likely cause before is a suspect: it starts on
probation, one at a time on each worker, so that another crash points at it alone.
"""

import collections

from jujubeglade.direct import contract

#: An attempt that the worker still runs at this age has survived its probation.
PROBATION_MS = 100
#: The crashes of its worker that an agent remembers.
_MAX_CRASHES = 8


class RecentCrashes:
    """The last crashes of the worker beside one agent."""

    __slots__ = ("_crashes",)

    def __init__(self):
        """Create the record of a worker that has not crashed."""
        self._crashes = collections.deque(maxlen=_MAX_CRASHES)

    def __iter__(self):
        """Iterate over the Crashes, the oldest first."""
        return iter(tuple(self._crashes))

    def add(self, crash):
        """Add a Crash, unless it is known."""
        if crash not in self._crashes:
            self._crashes.append(crash)


def new_crash(instance, interrupted):
    """Make the record of a crash.

    Args:
      instance: An Instance, the one that has crashed.
      interrupted: A tuple of Interrupted, what it ran.

    Returns:
      A Crash.
    """
    return contract.Crash(
        f"{instance.name}/{instance.started_ms}",
        tuple(attempt.task for attempt in interrupted),
        tuple(attempt.task for attempt in interrupted if not attempt.has_survived),
        tuple(attempt.task for attempt in interrupted if attempt.is_on_probation),
    )


def new_recent_crashes():
    """Make the record of a worker that has not crashed.

    Returns:
      A RecentCrashes.
    """
    return RecentCrashes()
