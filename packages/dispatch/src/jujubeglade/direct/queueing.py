"""Queueing: the order in which waiting jobs get workers.

A queueing policy gives each job a key when it arrives; lower keys come first. The order
matters when jobs with much and with little slack wait for the same workers.
"""

import bisect
import dataclasses
import math

from jujubeglade.direct import policy

#: How much later each further priority needs room. It exceeds the slack of the most
#: urgent jobs, about 130 ms, and that of the next ones, about 300 ms, so that those of
#: one priority seldom wait for jobs of a lower one.
_PRIORITY_DELAY_MS = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """The data of a new job from which a queueing policy computes its key.

    Attributes:
      at_ms: A number, when the job arrived.
      due_ms: A number, by when it should be answered.
      longest_ms: A number, the run time of its longest chain of tasks.
      priority: An integer, the priority of its route; 0 comes first.
    """

    at_ms: float
    due_ms: float
    longest_ms: float
    priority: int


@policy.choice("queueing", "latest_start")
def latest_start(arrival):
    """Order jobs by the latest time at which their tasks can start to be in time."""
    return arrival.due_ms - arrival.longest_ms


@policy.choice("queueing", "priority_start")
def priority_start(arrival):
    """Order jobs by their latest start, deferred by a time for each priority.

    Under overload the more urgent priorities go first. The key remains a time by which
    room is needed, so owners compare it when they share freed room (`sharing`), and a
    job of a low priority that has waited long enough goes before newer urgent ones.
    """
    return latest_start(arrival) + arrival.priority * _PRIORITY_DELAY_MS


@policy.choice("queueing", "arrival")
def first_come(arrival):
    """Order jobs by their arrival: the baseline."""
    return arrival.at_ms


class Queue:
    """Jobs in the order of their keys."""

    __slots__ = ("_jobs",)

    def __init__(self):
        """Create an empty queue."""
        self._jobs = []

    def ahead(self, key):
        """List the jobs ahead of a new job with a key."""
        return [job for job in self._jobs if job.goes_first or job.key <= key]

    def jobs(self):
        """List all jobs in the order of their keys."""
        return list(self._jobs)

    def first_key(self):
        """Return the lowest key; infinite when the queue is empty."""
        return self._jobs[0].key if self._jobs else math.inf

    def in_turn(self, now_ms):
        """List the jobs in the order in which they get workers.

        Jobs that have started go first, as their work so far is lost unless the rest
        runs too. Then come the jobs that can still be answered in time: a job that is
        already late would only make others late too.

        Jobs that were weighed against each other (`shedding`) go by their keys alone:
        under overload most jobs have sent an attempt that found no room, and would all
        go before more urgent ones. A started one that is late gets a later key, so that
        it claims no freed room before jobs that can be in time.

        Args:
          now_ms: A number, the monotonic clock.

        Returns:
          A pair of lists, the jobs that have started or can be in time, and those
          that are late and have not started.
        """
        started = []
        waiting = []
        late = []
        self._defer_late(now_ms)
        for job in self._jobs:
            if job.goes_first:
                started.append(job)
            elif job.is_deferred or job.can_be_in_time(now_ms):
                waiting.append(job)
            else:
                late.append(job)
        return started + waiting, late

    def _defer_late(self, now_ms):
        """Give the weighed jobs that have started and are late their later keys."""
        late = [
            job
            for job in self._jobs
            if job.is_weighed
            and job.may_have_started
            and not job.is_deferred
            and not job.can_be_in_time(now_ms)
        ]
        for job in late:
            job.defer()
        if late:
            self._jobs.sort(key=lambda queued: queued.key)

    def __len__(self):
        """Return the number of jobs."""
        return len(self._jobs)

    def add(self, job):
        """Add a job, unless it is already queued.

        Args:
          job: An OwnedJob with its key.
        """
        if job not in self._jobs:
            bisect.insort(self._jobs, job, key=lambda queued: queued.key)

    def remove(self, job):
        """Remove a job, if it is queued.

        Args:
          job: An OwnedJob.
        """
        if job in self._jobs:
            self._jobs.remove(job)
