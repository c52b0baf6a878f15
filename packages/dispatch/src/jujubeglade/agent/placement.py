"""Placement: decides which worker runs the next task.

Each class implements a choice of the rule `placement`. It chooses one of the workers
that may run the task, or none when the task should wait.
"""

import dataclasses

from jujubeglade.core import rules

_PIPELINED_TASKS = 1
_TOLERATED_SLOWDOWN = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """The data of the next task that a placement decides by.

    Attributes:
      zone: A string, the zone of the home.
      service: A string, of the task.
      repeatable: A boolean.
      wait_ratio: A number, the expected time until a task that waits now has ended
        on a worker of usual speed, divided by the expected run time of the task.
      now_ms: A number, the monotonic time.
    """

    zone: str
    service: str
    repeatable: bool
    wait_ratio: float
    now_ms: float


@rules.implements("placement", "round_robin")
class RoundRobin:
    """Choose the workers in turn, whether they are busy or not."""

    __slots__ = ("_last_index",)

    def __init__(self):
        """Create a placement without earlier choices."""
        self._last_index = 0

    def choose(self, workers, query):
        """Choose a worker for one task.

        Args:
          workers: A list of Workers that may run the task.
          query: A Query.

        Returns:
          A Worker, or None.
        """
        if not workers:
            return None
        self._last_index += 1
        return workers[self._last_index % len(workers)]


@rules.implements("placement", "least_loaded")
class LeastLoaded:
    """Choose the worker with the most room; of equals, one in the home's zone."""

    __slots__ = ()

    def choose(self, workers, query):
        """Choose a worker for one task; see `RoundRobin.choose`."""
        return min(
            (worker for worker in workers if has_room(worker)),
            key=lambda worker: (
                _relative_load(worker),
                worker.member.zone != query.zone,
            ),
            default=None,
        )


@rules.implements("placement", "least_delay")
class LeastDelay:
    """Choose the worker that is expected to end the task first.

    A worker's load is weighted by the latest slowdown of its tasks of the service. A
    slow worker stays idle while it is quicker to wait for a worker of usual speed.
    """

    __slots__ = ()

    def choose(self, workers, query):
        """Choose a worker for one task; see `RoundRobin.choose`."""
        now_ms = query.now_ms
        slowdowns = {
            worker: worker.slowdown(query.service, now_ms) for worker in workers
        }
        usual_slowdown = min(slowdowns.values(), default=1.0)
        max_slowdown = usual_slowdown * max(_TOLERATED_SLOWDOWN, query.wait_ratio)
        return min(
            (
                worker
                for worker in workers
                if has_room(worker) and slowdowns[worker] <= max_slowdown
            ),
            key=lambda worker: (
                _weighted_load(
                    _relative_load(worker), slowdowns[worker] / usual_slowdown
                ),
                worker.member.zone != query.zone,
            ),
            default=None,
        )


def has_room(worker):
    """Return whether a worker may be given a task that starts at once or next.

    One task more than the slots is sent, so that a slot that becomes free does not
    stay idle until the home sends another.

    Args:
      worker: A Worker.
    """
    return worker.backlog < worker.slots + _PIPELINED_TASKS


def has_free_slot(worker):
    """Return whether a worker would start a task at once.

    Args:
      worker: A Worker.
    """
    return worker.backlog < worker.slots


def _relative_load(worker):
    return (worker.backlog + 1) / max(1, worker.slots)


def _weighted_load(relative_load, relative_slowdown):
    """Weight the load by the slowdown, unless the slowdown is small."""
    return relative_load * (
        relative_slowdown if relative_slowdown > _TOLERATED_SLOWDOWN else 1.0
    )
