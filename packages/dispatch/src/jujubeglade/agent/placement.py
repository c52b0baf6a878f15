"""Placement: which worker takes the next task.

Each class carries out a choice of the rule `placement`. All are given the
workers that may take the task, and choose none when it should wait.
"""

import dataclasses

from jujubeglade.core import rules

_PIPELINED = 1
_TOLERATED_SLOWNESS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """What a placement is told of the next task.

    Attributes:
      zone: A string, the zone of the home.
      service: A string, of the task.
      repeatable: A boolean.
      patience: A number, the expected time until a task that waits now has ended
        on a usual worker, in expected run times of the service.
      now_ms: A number, the monotonic time.
    """

    zone: str
    service: str
    repeatable: bool
    patience: float
    now_ms: float


@rules.implements("placement", "round_robin")
class RoundRobin:
    """Take the workers in turn, whether they are busy or not."""

    __slots__ = ("_turn",)

    def __init__(self):
        """Start with the first worker."""
        self._turn = 0

    def choose(self, workers, query):
        """Choose a worker for one task.

        Args:
          workers: A list of Workers that may take it.
          query: A Query.

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

    def choose(self, workers, query):
        """Choose a worker for one task; see `RoundRobin.choose`."""
        return min(
            (each for each in workers if has_room(each)),
            key=lambda each: (_share(each), each.member.zone != query.zone),
            default=None,
        )


@rules.implements("placement", "least_delay")
class LeastDelay:
    """Take the worker that is expected to end the task first.

    A worker's load is weighed by how slow its tasks of the service were lately.
    A slow worker is left idle while waiting for a usual one is quicker.
    """

    __slots__ = ()

    def choose(self, workers, query):
        """Choose a worker for one task; see `RoundRobin.choose`."""
        now_ms = query.now_ms
        pace = {each: each.slowness(query.service, now_ms) for each in workers}
        usual = min(pace.values(), default=1.0)
        most = usual * max(_TOLERATED_SLOWNESS, query.patience)
        return min(
            (each for each in workers if has_room(each) and pace[each] <= most),
            key=lambda each: (
                _band(_share(each), pace[each] / usual),
                each.member.zone != query.zone,
            ),
            default=None,
        )


def has_room(worker):
    """Tell whether a worker has a free slot, or its next task would wait for it.

    Args:
      worker: A Worker.
    """
    return worker.backlog < worker.slots + _PIPELINED


def has_free_slot(worker):
    """Tell whether a worker would start a task at once.

    Args:
      worker: A Worker.
    """
    return worker.backlog < worker.slots


def _share(worker):
    return (worker.backlog + 1) / max(1, worker.slots)


def _band(share, slowness):
    """Weigh load by slowness; small differences of pace are no reason to prefer."""
    return share * (slowness if slowness > _TOLERATED_SLOWNESS else 1.0)
