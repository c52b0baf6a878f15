"""Delay cost: what it costs callers when a waiting job is turned away.

A job counts for its caller in proportion to its work, so within a route every
core-millisecond costs the same and large jobs are not singled out. Across routes, a
core-millisecond of a more urgent priority always costs more than one of a less urgent
priority, so that no priority is served worse than a lower one.

A job is also worth keeping only while its answer can still help its caller.
"""

import dataclasses

#: The cost of a core-millisecond falls by this factor from one priority to the next.
#: Only the order matters: costs are compared by core-millisecond.
_PRIORITY_RATIO = 4.0
#: The cost of a core-millisecond of a protected job, above that of any priority.
_PROTECTED_COST = 2.0
#: The cost of refusing a job without work, which frees nothing: above any other.
_FREES_NOTHING_COST = 4.0
#: An answer later than this many times the objective no longer helps the caller.
_USEFUL_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The claim of one job on the room of the workers.

    Attributes:
      job_id: A string.
      route: A string.
      priority: An integer; 0 comes first.
      key: A number, its place in the order in which jobs get workers.
      arrived_ms: A number, when it arrived, on the monotonic clock.
      due_in_ms: A number, the time left until it should be answered; may be negative.
      work: A number, what all its tasks need, in core-milliseconds.
      loads: A tuple of Loads, its tasks that have not been sent.
      may_have_started: A boolean, whether an attempt was ever sent.
      is_protected: A boolean, whether its route, or the largest jobs of it, were served
        too seldom lately.
      is_underserved: A boolean, whether its priority was served worse lately than a
        lower one, so that it is accepted even if it would be late.
    """

    job_id: str
    route: str
    priority: int
    key: float
    arrived_ms: float
    due_in_ms: float
    work: float
    loads: tuple
    may_have_started: bool
    is_protected: bool
    is_underserved: bool = False

    @property
    def alone_ms(self):
        """Return the longest run time of its tasks that have not been sent."""
        return max((load.remaining_ms for load in self.loads), default=0.0)


def relief_cost(claim):
    """Return the cost of refusing a job for each core-millisecond that it frees.

    Args:
      claim: A Claim.
    """
    return _cost_of_core_ms(claim) if claim.work else _FREES_NOTHING_COST


def useful_ms(objective_ms):
    """Return how long after its arrival the answer to a job helps its caller.

    Args:
      objective_ms: A number, the time within which it should be answered.
    """
    return _USEFUL_FACTOR * objective_ms


def helps_caller(waited_ms, objective_ms):
    """Return whether an answer can still help the caller.

    Args:
      waited_ms: A number, the time since the job arrived.
      objective_ms: A number, the time within which it should be answered.
    """
    return waited_ms <= useful_ms(objective_ms)


def _cost_of_core_ms(claim):
    cost = _PRIORITY_RATIO**-claim.priority
    return _PROTECTED_COST + cost if claim.is_protected else cost
