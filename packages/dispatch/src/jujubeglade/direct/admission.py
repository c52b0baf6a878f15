"""Admission: whether a job is taken, decided at once when it arrives.

It answers bursts: once a job can't be answered within its objective behind the work
that goes before it, it is refused while its client can still go elsewhere, with the
time after which there will be room.
"""

import dataclasses
import heapq

from jujubeglade.direct import policy

_LEAST_RETRY_MS = 100.0
#: In so many parts the room of other entries is expected.
_PARTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """One task, as the outlook counts it.

    Attributes:
      cpu: An integer, thousandths of a core.
      ms: A number: how long it takes, or until when it runs from now.
    """

    cpu: int
    ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What an entry expects of a job that has just arrived.

    Attributes:
      free_cpu: An integer, thousandths of a core that are free now.
      running: A tuple of Loads, this entry's tasks on workers.
      ahead: A tuple of Loads, the tasks that wait and go before it, in order.
      own: A tuple of Loads, its own tasks.
      objective_ms: A number, the time within which it should be answered.
      timeout_ms: A number, the time for which its client waits.
    """

    free_cpu: int
    running: tuple
    ahead: tuple
    own: tuple
    objective_ms: float
    timeout_ms: float

    def end_ms(self):
        """Return the expected time until its last task ends, in ms.

        The tasks are dealt out in order as room becomes free. What other entries have
        running is left out on both sides: the room that it gives and what it asks for.
        """
        return _last_end_ms(self.free_cpu, self.running, self.ahead, self.own)


def _last_end_ms(free_cpu, running, ahead, own):
    """Deal tasks out in order, and return when the last of `own` ends."""
    ends = [(load.ms, load.cpu) for load in running]
    heapq.heapify(ends)
    now_ms = 0.0
    last_ms = 0.0
    for number, load in enumerate((*ahead, *own)):
        while free_cpu < load.cpu and ends:
            now_ms, freed = heapq.heappop(ends)
            free_cpu += freed
        end_ms = now_ms + load.ms
        free_cpu -= load.cpu
        heapq.heappush(ends, (end_ms, load.cpu))
        if number >= len(ahead):
            last_ms = max(last_ms, end_ms)
    return last_ms


def share_of_others(running, share_cpu, longest_ms):
    """Expect room of other entries, up to a fair share of what is in use.

    An entry that has little running gets room as the others' tasks end; when they do it
    can't know, and takes them to be like the job at hand.

    Args:
      running: A tuple of Loads, this entry's tasks on workers.
      share_cpu: An integer, a fair share of what is in use.
      longest_ms: A number, the run time of the job at hand.

    Returns:
      A tuple of Loads, which end one after the other.
    """
    missing_cpu = share_cpu - sum(load.cpu for load in running)
    if missing_cpu <= 0:
        return ()
    return tuple(
        Load(missing_cpu // _PARTS, longest_ms * part / _PARTS)
        for part in range(1, _PARTS + 1)
    )


@policy.choice("admission", "in_time")
def in_time(outlook):
    """Take what can be answered within its objective.

    Args:
      outlook: An Outlook.

    Returns:
      A number: 0 to take the job, else after how many ms the client may come back.
    """
    return _retry_after_ms(outlook, outlook.objective_ms)


@policy.choice("admission", "patience")
def patience(outlook):
    """Take what can end while its client waits: the baseline."""
    return _retry_after_ms(outlook, outlook.timeout_ms)


def _retry_after_ms(outlook, bound_ms):
    alone_ms = max((load.ms for load in outlook.own), default=0)
    end_ms = outlook.end_ms()
    if end_ms <= bound_ms or end_ms <= alone_ms:
        # Without a wait it is taken, however long it runs.
        return 0.0
    return max(_LEAST_RETRY_MS, end_ms - bound_ms)
