"""Policies of a home: which worker takes a task, and which job is next.

Each policy is registered under a name that the settings choose by; the plain
ones are kept to measure the others against.
"""

import collections

from jujubeglade.core import job

MAX_ATTEMPTS = 3
_PIPELINED = 1

_placements = {}
_queues = {}


def register(registry, name):
    """Register a policy class.

    Args:
      registry: A dict, from names to classes.
      name: A string, as the settings give it.
    Returns:
      A decorator that returns the class.
    """

    def decorate(cls):
        registry[name] = cls
        return cls

    return decorate


def placement(settings):
    """Make the placement that the settings name.

    Args:
      settings: The Settings of the agent.
    Returns:
      An object with `choose(workers, zone)`.
    """
    return _placements[settings.limits.placement]()


def queue(settings):
    """Make the queue of jobs that the settings name.

    Args:
      settings: The Settings of the agent.
    Returns:
      An object with `add`, `discard`, `jobs` and a length.
    """
    return _queues[settings.limits.queue]()


@register(_placements, "round_robin")
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


@register(_placements, "least_loaded")
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


@register(_queues, "fifo")
class Fifo:
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
