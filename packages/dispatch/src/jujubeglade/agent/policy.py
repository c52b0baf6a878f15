"""Policies of a home: which worker takes a task, and which job is next.

Each policy carries out a choice of a rule (`jujubeglade.core.rules`); the plain
ones are kept to measure the others against.
"""

import collections

from jujubeglade.core import job, rules

MAX_ATTEMPTS = 3
_PIPELINED = 1


def placement(choice=rules.RULES["placement"].default):
    """Make a placement.

    Args:
      choice: A string, a choice of the rule `placement`.

    Returns:
      An object with `choose(workers, zone)`.
    """
    return rules.implementation("placement", choice)()


def queue(choice=rules.RULES["queueing"].default):
    """Make a queue of jobs.

    Args:
      choice: A string, a choice of the rule `queueing`.

    Returns:
      An object with `add`, `discard`, `jobs` and a length.
    """
    return rules.implementation("queueing", choice)()


@rules.implements("placement", "round_robin")
class RoundRobin:
    """Take the workers in turn, whether they are busy or not."""

    __slots__ = ("_turn",)

    def __init__(self):
        """Start with the first worker."""
        self._turn = 0

    def choose(self, workers, zone):
        """Choose a worker for one task.

        Args:
          workers: A list of Workers that may take it.
          zone: A string, the zone of the home.

        Returns:
          A Worker, or None.
        """
        if not workers:
            return None
        self._turn += 1
        return workers[self._turn % len(workers)]


@rules.implements("placement", "least_loaded")
class LeastLoaded:
    """Take the worker with the most room, the nearest of equals."""

    __slots__ = ()

    def choose(self, workers, zone):
        """Choose a worker for one task.

        Args:
          workers: A list of Workers that may take it.
          zone: A string, the zone of the home.

        Returns:
          A Worker with a free slot, or None.
        """
        free = [each for each in workers if each.backlog < each.slots + _PIPELINED]
        return min(free, key=lambda each: _cost(each, zone), default=None)


def _cost(worker, zone):
    return (worker.backlog / max(1, worker.slots), worker.member.zone != zone)


@rules.implements("queueing", "arrival")
class Arrival:
    """Serve urgent jobs first, and jobs of one class as they came."""

    __slots__ = ("_by_urgency",)

    def __init__(self):
        """Start empty."""
        self._by_urgency = {each: collections.OrderedDict() for each in job.Urgency}

    def __len__(self):
        """Count the jobs."""
        return sum(len(jobs) for jobs in self._by_urgency.values())

    def add(self, known):
        """Queue a job unless it is queued already.

        Args:
          known: An OwnedJob.
        """
        self._by_urgency[known.submission.urgency].setdefault(known.key, known)

    def discard(self, known):
        """Take a job out, if it is in.

        Args:
          known: An OwnedJob.
        """
        self._by_urgency[known.submission.urgency].pop(known.key, None)

    def jobs(self):
        """List the jobs in the order of service.

        Returns:
          A list of OwnedJobs.
        """
        return [known for jobs in self._by_urgency.values() for known in jobs.values()]
