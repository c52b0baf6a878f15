"""Admission control: whether a job is accepted, decided when it arrives.

Admission limits the effect of bursts. A job that cannot be answered within its
objective, given the work queued ahead of it, is refused at once, so that its client
can still try elsewhere. The refusal includes the time after which there will be room.
"""

import dataclasses
import heapq

from jujubeglade.direct import policy, shedding

_MIN_RETRY_AFTER_MS = 100.0
#: Room from other entries is expected to become free in this many equal steps.
_SHARE_STEPS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load of one task in a forecast.

    Attributes:
      cpu: An integer, thousandths of a core.
      remaining_ms: A number, the run time of a waiting task, or the time that a running
        task still takes.
    """

    cpu: int
    remaining_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """What an entry predicts for a job that has just arrived.

    Attributes:
      free_cpu: An integer, thousandths of a core that are free now.
      running: A tuple of Loads, this entry's tasks on workers and the room expected
        from other entries.
      ahead: A tuple of Loads, the waiting tasks queued ahead of the job, in order.
      own: A tuple of Loads, the tasks of the job.
      objective_ms: A number, the time within which the job should be answered.
      timeout_ms: A number, the client timeout.
    """

    free_cpu: int
    running: tuple
    ahead: tuple
    own: tuple
    objective_ms: float
    timeout_ms: float

    def end_ms(self):
        """Return the expected time until the job's last task ends, in ms.

        Tasks are assigned in order as room becomes free. Tasks of other entries are not
        considered, apart from the room that they are expected to free.
        """
        return _last_end_ms(self.free_cpu, self.running, self.ahead, self.own)


def _last_end_ms(free_cpu, running, ahead, own):
    """Assign tasks in order, and return when the last of `own` ends."""
    ends = [(load.remaining_ms, load.cpu) for load in running]
    heapq.heapify(ends)
    now_ms = 0.0
    last_ms = 0.0
    for number, load in enumerate((*ahead, *own)):
        while free_cpu < load.cpu and ends:
            now_ms, freed = heapq.heappop(ends)
            free_cpu += freed
        end_ms = now_ms + load.remaining_ms
        free_cpu -= load.cpu
        heapq.heappush(ends, (end_ms, load.cpu))
        if number >= len(ahead):
            last_ms = max(last_ms, end_ms)
    return last_ms


def share_of_others(running, share_cpu, longest_ms):
    """Predict the room that other entries will free, up to a fair share of use.

    An entry that runs less than its share gets room as the tasks of other entries end.
    Their run times are unknown here and are assumed to be like those of the new job.

    Args:
      running: A tuple of Loads, this entry's tasks on workers.
      share_cpu: An integer, this entry's fair share of the cores in use.
      longest_ms: A number, the run time of the longest chain of the new job's tasks.

    Returns:
      A tuple of Loads that end at equal intervals.
    """
    missing_cpu = share_cpu - sum(load.cpu for load in running)
    if missing_cpu <= 0:
        return ()
    return tuple(
        Load(missing_cpu // _SHARE_STEPS, longest_ms * part / _SHARE_STEPS)
        for part in range(1, _SHARE_STEPS + 1)
    )


@policy.choice("admission", "in_time")
def in_time(forecast):
    """Accept a job that can be answered within its objective.

    Args:
      forecast: A Forecast.

    Returns:
      A number: 0 to accept the job, else the time in ms after which the client may
      retry.
    """
    return _retry_after_ms(forecast, forecast.objective_ms)


@policy.choice("admission", "patience")
def within_client_timeout(forecast):
    """Accept a job that can end within its client timeout: the baseline."""
    return _retry_after_ms(forecast, forecast.timeout_ms)


@policy.choice("admission", "least_cost")
def least_cost(plan):
    """Accept a job unless its refusal costs callers least, and choose who gives way.

    Args:
      plan: A Plan of `shedding`.

    Returns:
      A Verdict of `shedding`.
    """
    return shedding.choose_refused(plan)


def _retry_after_ms(forecast, bound_ms):
    alone_ms = max((load.remaining_ms for load in forecast.own), default=0)
    end_ms = forecast.end_ms()
    if end_ms <= bound_ms or end_ms <= alone_ms:
        # A job that needn't wait is accepted even if it is longer than the bound.
        return 0.0
    return max(_MIN_RETRY_AFTER_MS, end_ms - bound_ms)
