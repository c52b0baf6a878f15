"""Load shedding: which waiting jobs give way when not all can be in time.

This answers overload by jobs that differ in urgency, size and slack. The assignment of
the jobs in their order is simulated. When one would be late, the job that costs callers
least for the room that it frees is dropped from those up to the late one, until all
others are in time; this is the rule of Moore and Hodgson for the least number of late
jobs, with weights. Dropped jobs that turn out to fit are taken back.

A job of which an attempt was ever sent is never dropped: its refusal would not be true.

The starvation guard counts, with decay, how often each route and the largest jobs of
each route were accepted and refused, and protects those that fall behind.
"""

import dataclasses
import heapq
import math
import zlib

from jujubeglade.direct import delay_cost

#: The guard acts below this share of the service of all jobs. Callers need one half;
#: the margin covers the delay of the counts and the jobs refused by other decisions.
_PROTECTED_SHARE = 0.75
#: A priority is served worse than a lower one if its share is lower by this much.
_INVERSION_MARGIN = 0.01
#: Counts of the guard lose half their weight in this time: long enough for some tens
#: of the rarest jobs to be counted at each entry.
_COUNT_HALF_LIFE_MS = 20_000.0
#: The largest jobs of a route are this share of its jobs, by work.
_LARGEST_SHARE = 0.1
#: The step of the running estimate of the work above which a job is among the largest.
_QUANTILE_STEP = 0.2
#: At most so many assignments of tasks are simulated for one decision, so that it holds
#: up the event loop for a few ms. With longer queues fewer jobs are dropped at once, at
#: least one; after that the newcomer gives way if it would be late.
_MAX_SIMULATED_TASKS = 2_000
#: Callers that are refused return over at least this time: the header Retry-After tells
#: whole seconds, so a shorter spread would send all of them back together.
_MIN_SPREAD_MS = 1000.0
_MIN_RETRY_AFTER_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What an entry knows when it decides which jobs give way.

    Attributes:
      free_cpu: An integer, thousandths of a core that are free now.
      running: A tuple of Loads, tasks on workers, and the room expected from others.
      elsewhere: A tuple of Loads, the tasks of other entries ahead of the newcomer.
      waiting: A tuple of Claims, the jobs of this entry that wait, in order.
      newcomer: A Claim.
    """

    free_cpu: int
    running: tuple
    elsewhere: tuple
    waiting: tuple
    newcomer: delay_cost.Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Which jobs give way.

    Attributes:
      refused: A tuple of Claims, the newcomer or waiting jobs.
      late: An integer, the number of jobs that would have been late.
      end_ms: A number, the time until the newcomer would have ended.
      room_after_ms: A number, the time after which there will be room again.
    """

    refused: tuple
    late: int
    end_ms: float
    room_after_ms: float


def choose_refused(plan):
    """Choose the jobs that give way so that the others can be in time.

    Args:
      plan: A Plan.

    Returns:
      A Verdict.
    """
    order = sorted((*plan.waiting, plan.newcomer), key=_queue_position)
    ends = _ends_ms(plan, order)
    late = [claim for claim in order if _is_late(claim, ends)]
    newcomer_end_ms = ends[plan.newcomer.job_id]
    if not late:
        return Verdict((), 0, newcomer_end_ms, 0.0)
    kept, dropped = _drop_cheapest(plan, order)
    kept, dropped = _take_back(plan, kept, dropped)
    overrun_ms = max(ends[claim.job_id] - _bound_ms(claim) for claim in late)
    room_after_ms = max(_MIN_RETRY_AFTER_MS, overrun_ms)
    return Verdict(tuple(dropped), len(late), newcomer_end_ms, room_after_ms)


def spread_retry_ms(room_after_ms, job_id):
    """Spread the return of refused callers over a time after room is forecast.

    Args:
      room_after_ms: A number, the time after which there will be room.
      job_id: A string; each job has its own part of the spread.

    Returns:
      A number, the time after which the client may retry.
    """
    part = zlib.crc32(job_id.encode()) / 2**32
    return room_after_ms + part * max(_MIN_SPREAD_MS, room_after_ms)


def _queue_position(claim):
    """Return the sort key of a job in the order in which jobs get workers."""
    return claim.key, claim.arrived_ms


def _bound_ms(claim):
    """Return by when a job should end; one that needn't wait may always run."""
    return max(claim.due_in_ms, claim.alone_ms)


def _is_late(claim, ends):
    return ends[claim.job_id] > _bound_ms(claim)


def _drop_cheapest(plan, order):
    """Drop jobs until no job is late that a drop could help.

    Returns:
      A pair of lists of Claims, the kept and the dropped ones.
    """
    kept = list(order)
    dropped = []
    max_drops = _MAX_SIMULATED_TASKS // max(1, sum(len(claim.loads) for claim in order))
    while True:
        ends = _ends_ms(plan, kept)
        candidates = _droppable_before_late(kept, ends)
        if not candidates:
            return kept, dropped
        if len(dropped) >= max(1, max_drops):
            return _without_late_newcomer(plan, kept, dropped, ends)
        victim = min(candidates, key=_drop_order)
        kept.remove(victim)
        dropped.append(victim)


def _droppable_before_late(kept, ends):
    """List the jobs that may be dropped up to the first late job that this could help.

    Late jobs with none before them are passed over: their number adds no simulation.
    """
    candidates = []
    for claim in kept:
        if not claim.may_have_started and not claim.is_underserved:
            candidates.append(claim)
        if candidates and _is_late(claim, ends):
            return candidates
    return []


def _without_late_newcomer(plan, kept, dropped, ends):
    """Drop the newcomer if it is kept and late, and leave the others as they are."""
    newcomer = plan.newcomer
    if newcomer in kept and _is_late(newcomer, ends) and not newcomer.is_underserved:
        kept.remove(newcomer)
        dropped.append(newcomer)
    return kept, dropped


def _drop_order(claim):
    """Return the sort key of jobs to drop: cheapest first, then the last to arrive."""
    return delay_cost.relief_cost(claim), -claim.arrived_ms


def _take_back(plan, kept, dropped):
    """Take back dropped jobs that fit beside the kept ones, the costliest first."""
    rest = []
    late = _late_ids(plan, kept)
    for claim in sorted(dropped, key=_drop_order, reverse=True):
        trial = sorted((*kept, claim), key=_queue_position)
        if _late_ids(plan, trial) <= late:
            kept = trial
        else:
            rest.append(claim)
    return kept, rest


def _late_ids(plan, order):
    ends = _ends_ms(plan, order)
    return {claim.job_id for claim in order if _is_late(claim, ends)}


def _ends_ms(plan, order):
    """Simulate the assignment of the tasks of jobs in order as room becomes free.

    Returns:
      A dict from the ids of the jobs to the time until their last task ends.
    """
    free_cpu = plan.free_cpu
    busy = [(load.remaining_ms, load.cpu) for load in plan.running]
    heapq.heapify(busy)
    now_ms = 0.0
    ends = {}
    newcomer_position = _queue_position(plan.newcomer)
    elsewhere = plan.elsewhere
    for claim in order:
        end_ms = 0.0
        own = claim.loads
        others = ()
        if elsewhere and _queue_position(claim) >= newcomer_position:
            others, elsewhere = elsewhere, ()
        for number, load in enumerate((*others, *own)):
            while free_cpu < load.cpu and busy:
                now_ms, freed = heapq.heappop(busy)
                free_cpu += freed
            task_end_ms = now_ms + load.remaining_ms
            free_cpu -= load.cpu
            heapq.heappush(busy, (task_end_ms, load.cpu))
            if number >= len(others):
                end_ms = max(end_ms, task_end_ms)
        ends[claim.job_id] = end_ms
    return ends


class _Count:
    """How many jobs were accepted and refused lately."""

    __slots__ = ("accepted", "refused", "_at_ms")

    def __init__(self):
        self.accepted = 0.0
        self.refused = 0.0
        self._at_ms = 0.0

    def add(self, accepted, refused, now_ms):
        """Add to the decayed counts."""
        kept = 0.5 ** ((now_ms - self._at_ms) / _COUNT_HALF_LIFE_MS)
        self._at_ms = now_ms
        self.accepted = max(0.0, self.accepted * kept + accepted)
        self.refused = max(0.0, self.refused * kept + refused)

    @property
    def share(self):
        """Return the accepted share; 1 without any job."""
        total = self.accepted + self.refused
        return self.accepted / total if total else 1.0


class Guard:
    """The starvation guard of one entry: whom its refusals have hit too often lately.

    The counts are soft state; an entry that restarts begins with none.
    """

    __slots__ = ("_all", "_groups", "_large_work", "_priorities")

    def __init__(self):
        """Begin without counts."""
        self._all = _Count()
        # By route, and by pairs of a route and `large`.
        self._groups = {}
        self._priorities = {}
        # By route, the logarithm of the work above which a job is among the largest.
        self._large_work = {}

    def is_underserved(self, route):
        """Return whether the priority of a route was served worse than a lower one.

        Args:
          route: A Route.
        """
        own = self._priorities.get(route.priority)
        return own is not None and any(
            priority > route.priority and own.share < count.share - _INVERSION_MARGIN
            for priority, count in self._priorities.items()
        )

    def protects(self, route, work):
        """Return whether a job is to be spared, for its route or its size.

        Args:
          route: A Route.
          work: A number, in core-milliseconds.
        """
        bound = _PROTECTED_SHARE * self._all.share
        return any(
            group in self._groups and self._groups[group].share < bound
            for group in self._groups_of(route, work)
        )

    def note_arrival(self, route, work, now_ms):
        """Count a job as accepted; a refusal is noted by `note_refused`.

        Args:
          route: A Route.
          work: A number, in core-milliseconds.
          now_ms: A number, the monotonic clock.
        """
        self._add(route, work, 1, 0, now_ms)
        level = math.log(max(1.0, work))
        bound = self._large_work.setdefault(route.name, level)
        step = 1.0 - _LARGEST_SHARE if level > bound else -_LARGEST_SHARE
        self._large_work[route.name] = bound + _QUANTILE_STEP * step

    def note_refused(self, route, work, now_ms):
        """Count a job that was noted as accepted as refused instead.

        Args:
          route: A Route.
          work: A number, in core-milliseconds.
          now_ms: A number, the monotonic clock.
        """
        self._add(route, work, -1, 1, now_ms)

    def share(self, route):
        """Return the share of a route's jobs that were accepted lately.

        Args:
          route: A Route.
        """
        count = self._groups.get(route.name)
        return count.share if count is not None else 1.0

    def _add(self, route, work, accepted, refused, now_ms):
        self._all.add(accepted, refused, now_ms)
        count = self._priorities.setdefault(route.priority, _Count())
        count.add(accepted, refused, now_ms)
        for group in self._groups_of(route, work):
            count = self._groups.setdefault(group, _Count())
            count.add(accepted, refused, now_ms)

    def _groups_of(self, route, work):
        name = route.name
        bound = self._large_work.get(name, math.inf)
        is_large = math.log(max(1.0, work)) > bound
        return (name, (name, "large")) if is_large else (name,)
