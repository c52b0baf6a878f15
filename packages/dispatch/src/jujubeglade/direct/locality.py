"""Locality: tasks run in the rack of their data while that helps their callers.

It answers a load in which many tasks name one rack while the workers of all racks are
busy: tasks that need no rack fill the rack that others need, and these then run
elsewhere, several times as long and too late. So tasks avoid the racks that others
lately asked for, and a task waits for its rack while it can be in time only there.

What an entry knows of its racks is in `rack_demand`; here are the decisions.
"""

import dataclasses
import math

from jujubeglade.direct import policy

#: Half of the demand for a rack is forgotten in this time, so that other tasks use its
#: room again soon after the last task that asked for it.
HALF_LIFE_MS = 1000.0
_MEAN_LIFE_MS = HALF_LIFE_MS / math.log(2)
#: Demand is compared in steps of this share of the capacity of a rack. With steps of
#: 0.25 and 0.5, fewer of the tasks that named a rack were in time.
_DEMAND_STEP = 0.1
#: Demand beyond this many times the capacity of a rack adds nothing to how strongly
#: it is avoided.
_MAX_DEMAND = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The work that lately asked for a rack, at one entry.

    Attributes:
      work: A number, in thousandths of a core times ms, decayed up to `at_ms`.
      at_ms: A number, the monotonic clock.
    """

    work: float = 0.0
    at_ms: float = 0.0

    def cpu(self, now_ms):
        """Return the thousandths of a core that would keep pace with it.

        Args:
          now_ms: A number, the monotonic clock.
        """
        return self._decayed(now_ms) / _MEAN_LIFE_MS

    def plus(self, work, now_ms):
        """Add the work of a job that arrives.

        Args:
          work: A number, in thousandths of a core times ms.
          now_ms: A number, the monotonic clock.

        Returns:
          A Demand.
        """
        return Demand(self._decayed(now_ms) + work, now_ms)

    def _decayed(self, now_ms):
        return self.work * 0.5 ** ((now_ms - self.at_ms) / HALF_LIFE_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class Rack:
    """A rack as an entry sees it.

    Attributes:
      demand_cpu: A number, the thousandths of a core that would keep pace with the
        demand at all entries.
      capacity_cpu: An integer, the thousandths of a core of its workers that accept
        attempts.
    """

    demand_cpu: float
    capacity_cpu: int

    @property
    def steps(self):
        """Return how strongly other tasks avoid it, as an integer; 0 for not at all."""
        if not self.capacity_cpu:
            return 0
        return int(min(_MAX_DEMAND, self.demand_cpu / self.capacity_cpu) / _DEMAND_STEP)


NO_RACK = Rack(0.0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """What decides whether a task waits for its full rack or uses room elsewhere.

    Attributes:
      slack_ms: A number, the time left for the task if its job is to be in time.
      inside_ms: A number, its expected run time on the fastest worker of its rack that
        could ever hold it; infinite if there is none.
      outside_ms: A number, its expected run time on the worker outside that was chosen.
    """

    slack_ms: float
    inside_ms: float
    outside_ms: float


@policy.choice("locality", "in_time")
def waits_in_time(wait):
    """Wait while the task can be in time in its rack and would be late elsewhere.

    Args:
      wait: A Wait.

    Returns:
      A boolean.
    """
    return wait.inside_ms <= wait.slack_ms < wait.outside_ms


@policy.choice("locality", "never_wait")
def never_waits(wait):
    """Run outside of the rack at once: the baseline."""
    return False


def acts(penalty, slack_factor):
    """Return whether the decisions of this module are taken for a route.

    Below its slack factor, a task that needn't wait is in time outside of its rack too.

    Args:
      penalty: A number, how many times longer a task runs outside of its rack.
      slack_factor: A number, that of the route.
    """
    return penalty > 1 and penalty > slack_factor


def is_outside(step, labels):
    """Return whether a worker is outside of the rack of a step's data.

    Args:
      step: A Step.
      labels: An iterable of strings, the labels of the worker, its rack among them.
    """
    return step.rack != "" and step.rack not in labels


def avoidance(racks, rack, labels):
    """Return how strongly a task avoids a worker, as an integer.

    Args:
      racks: A mapping from the names of the wanted racks to Racks.
      rack: A string, the rack of the task's data; empty for none.
      labels: An iterable of strings, the labels of the worker.
    """
    return max(
        (racks[label].steps for label in labels if label in racks and label != rack),
        default=0,
    )


def rest_ms(steps, number):
    """Return the run time of the longest chain of tasks after a step, in ms.

    Args:
      steps: A tuple of Steps; each one depends on earlier steps only.
      number: An integer, the index of the step.
    """
    longest_ms = {number: 0}
    for later, step in enumerate(steps):
        before = [longest_ms[at] for at in step.after if at in longest_ms]
        if before:
            longest_ms[later] = max(before) + step.estimate_ms
    return max(longest_ms.values())
