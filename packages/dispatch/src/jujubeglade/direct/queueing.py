"""Queueing: the order in which waiting jobs get workers.

A choice gives each job a key when it arrives; lower keys come first. It answers a
queue in which jobs with much and with little slack wait for the same workers.
"""

import bisect
import dataclasses
import math

from jujubeglade.direct import policy


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """What a key may be made of.

    Attributes:
      at_ms: A number, when the job arrived.
      due_ms: A number, by when it should be answered.
      longest_ms: A number, the run time of its longest chain of tasks.
      priority: An integer, of its route; 0 comes first.
    """

    at_ms: float
    due_ms: float
    longest_ms: float
    priority: int


@policy.choice("queueing", "latest_start")
def latest_start(arrival):
    """Put the job first whose tasks have to start soonest."""
    return arrival.due_ms - arrival.longest_ms


@policy.choice("queueing", "arrival")
def first_come(arrival):
    """Put the job first that came first: the baseline."""
    return arrival.at_ms


class Queue:
    """Jobs in the order of their keys."""

    __slots__ = ("_jobs",)

    def __init__(self):
        """Start empty."""
        self._jobs = []

    def ahead(self, key):
        """List the jobs that go before a new one of a key."""
        return [each for each in self._jobs if each.is_touched or each.key <= key]

    def first_key(self):
        """Return the lowest key; infinite without jobs."""
        return self._jobs[0].key if self._jobs else math.inf

    def in_turn(self, now_ms):
        """List the jobs in the order in which they get workers.

        What has begun goes first, as its work so far is lost unless the rest of it runs
        too. Then comes what can still be answered in time: a job that is late already
        would only make others late too.

        Args:
          now_ms: A number, the monotonic clock.

        Returns:
          A pair of lists, the jobs that have begun or can be in time, and those that
          are late before they could begin.
        """
        begun = []
        timely = []
        late = []
        for waiting in self._jobs:
            if waiting.is_touched:
                begun.append(waiting)
            elif waiting.can_be_timely(now_ms):
                timely.append(waiting)
            else:
                late.append(waiting)
        return begun + timely, late

    def __len__(self):
        """Count the jobs."""
        return len(self._jobs)

    def add(self, waiting):
        """Add a job, if it is not there.

        Args:
          waiting: An object with a `key`.
        """
        if waiting not in self._jobs:
            bisect.insort(self._jobs, waiting, key=lambda each: each.key)

    def remove(self, waiting):
        """Remove a job, if it is there.

        Args:
          waiting: An object that was added.
        """
        if waiting in self._jobs:
            self._jobs.remove(waiting)
