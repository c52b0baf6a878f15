"""Queueing: which waiting task is next.

Tasks wait at the home in lanes. All tasks of a lane may run on the same workers,
so that a lane without room is passed over as a whole. Within the lanes:

| choice    | order                                                              |
|-----------|--------------------------------------------------------------------|
| `fair`    | classes share the slots by weight, tenants within a class too      |
| `arrival` | urgent before normal before batch, each by arrival                 |

Within a tenant and class `fair` serves small jobs before large ones: a job counts as
if it had come later by five times what its work takes on all slots, so that a large
job waits longer, but not for ever. Of one job, the longest tasks start first, since
the last one to end decides.

`fair` is start-time fair queueing: each class and each tenant has a virtual time,
which rises with the expected run time of what it is given, divided by its weight,
and the lowest is next. Whoever had nothing waiting starts at the time of those that
had. A choice costs the lanes times the classes, and the logarithm of the tenants and
of the jobs.
"""

import collections
import heapq
import itertools

from jujubeglade.core import job, rules

CLASS_WEIGHTS = {
    job.Urgency.URGENT: 16.0,
    job.Urgency.NORMAL: 4.0,
    job.Urgency.BATCH: 1.0,
}
_SIZE_FACTOR = 5
_RANKS = {urgency: rank for rank, urgency in enumerate(job.Urgency)}


class Waiting:
    """The waiting tasks of one job in one lane."""

    __slots__ = ("flow", "indexes", "key", "known", "lane")

    def __init__(self, known, lane, flow, key):
        """Start without a task.

        Args:
          known: An OwnedJob.
          lane: A Lane.
          flow: A Flow.
          key: A number; the lowest of a flow is next.
        """
        self.key = key
        self.known = known
        self.lane = lane
        self.flow = flow
        self.indexes = collections.deque()


class Flow:
    """The waiting tasks of one tenant and class."""

    __slots__ = ("jobs", "queued", "queued_ms", "share", "time", "weight")

    def __init__(self, share):
        """Start without a task.

        Args:
          share: The Share of its class.
        """
        self.share = share
        self.weight = 1.0
        self.time = 0.0
        self.queued = 0
        self.queued_ms = 0.0
        # By lane, a heap of the Waiting of each job by its key; one whose tasks are
        # gone is dropped when it is met. A flow is in the heaps of these lanes.
        self.jobs = {}


class Share:
    """One class and its tenants."""

    __slots__ = ("base", "flows", "queued", "rank", "time", "weight")

    def __init__(self, urgency):
        """Start without a tenant.

        Args:
          urgency: An Urgency.
        """
        self.rank = _RANKS[urgency]
        self.weight = CLASS_WEIGHTS[urgency]
        self.time = 0.0
        # The virtual time of the tenant served last.
        self.base = 0.0
        self.queued = 0
        self.flows = {}


@rules.implements("queueing", "fair")
class Fair:
    """Share the slots among classes and tenants by weight."""

    def __init__(self, weight_of=lambda tenant: 1.0):
        """Start empty.

        Args:
          weight_of: A function from a tenant to its weight.
        """
        self._weight_of = weight_of
        self._shares = {urgency: Share(urgency) for urgency in job.Urgency}
        self._base = 0.0
        self._heaps = {}
        self._numbers = itertools.count()
        self._jobs = {}
        self._length = 0
        self.queued_ms = collections.Counter()

    def __len__(self):
        """Count the waiting tasks."""
        return self._length

    @property
    def lanes(self):
        """Return the lanes in which tasks wait."""
        return self._heaps.keys()

    def add(self, known, lane, indexes, first=False):
        """Queue tasks of a job.

        Args:
          known: An OwnedJob.
          lane: A Lane.
          indexes: A sequence of integers, the places of the tasks.
          first: A boolean; true for tasks that have waited before.
        """
        flow = self._flow(known.submission)
        held = self._jobs.setdefault(known.key, {})
        waiting = held.get(lane)
        if waiting is None:
            key = self._key(known, lane)
            waiting = held[lane] = Waiting(known, lane, flow, key)
            entry = (key, next(self._numbers), waiting)
            heapq.heappush(self._enter(flow, lane), entry)
        if first:
            waiting.indexes.extendleft(reversed(indexes))
        else:
            waiting.indexes.extend(self._ordered(known, indexes))
        self._activate(flow)
        for index in indexes:
            self._count(waiting, index, 1)

    def discard(self, known):
        """Take a job out, if it is in.

        Args:
          known: An OwnedJob.
        """
        for waiting in self._jobs.pop(known.key, {}).values():
            for index in waiting.indexes:
                self._count(waiting, index, -1)
            waiting.indexes.clear()

    def move_to(self, other):
        """Hand all waiting tasks to another queue.

        Args:
          other: An empty queue.
        """
        for held in self._jobs.values():
            for lane, waiting in held.items():
                other.add(waiting.known, lane, tuple(waiting.indexes))

    def head(self, lanes):
        """Find what is next in some lanes.

        Args:
          lanes: An iterable of Lanes.

        Returns:
          A Waiting, or None.
        """
        best = None
        for lane in list(lanes):
            for share, heap in self._heaps.get(lane, {}).items():
                flow = self._top(lane, heap)
                if flow is not None:
                    order = (self._order(share), flow.time)
                    if best is None or order < best[0]:
                        best = (order, flow.jobs[lane])
        return None if best is None else best[1][0][2]

    def take(self, waiting):
        """Take the next task out of what `head` found.

        Args:
          waiting: A Waiting.

        Returns:
          An integer, the place of the task in its job.
        """
        index = waiting.indexes.popleft()
        flow = waiting.flow
        self._count(waiting, index, -1)
        self._base = flow.share.time
        flow.share.base = flow.time
        cost_ms = waiting.known.tasks[index].expected_ms
        flow.time += cost_ms / flow.weight
        flow.share.time += cost_ms / flow.share.weight
        if not waiting.indexes:
            self._forget(waiting)
        return index

    def ahead_ms(self, submission):
        """Estimate the work that is served before a new job ends.

        Args:
          submission: A Submission.

        Returns:
          A number, the run time of the tasks that wait and are served before the
          last task of a job that came now.
        """
        flow = self._flow(submission)
        whole = sum(self.queued_ms.values())
        busy = [share for share in self._shares.values() if share.queued]
        if flow.share not in busy:
            busy.append(flow.share)
        weights = sum(share.weight for share in busy)
        tenants = sum(each.weight for each in flow.share.flows.values() if each.queued)
        tenants += 0 if flow.queued else flow.weight
        portion = flow.share.weight / weights * flow.weight / tenants
        return min(whole, flow.queued_ms / portion)

    def _order(self, share):
        return share.time

    def _key(self, known, lane):
        slots = sum(worker.slots for worker in lane.workers)
        return known.accepted_ms + _SIZE_FACTOR * known.work_ms / max(1, slots)

    def _ordered(self, known, indexes):
        tasks = known.tasks
        return sorted(indexes, key=lambda index: -tasks[index].expected_ms)

    def _tenant(self, submission):
        return submission.tenant

    def _flow(self, submission):
        share = self._shares[submission.urgency]
        tenant = self._tenant(submission)
        flow = share.flows.get(tenant)
        if flow is None:
            flow = share.flows[tenant] = Flow(share)
        flow.weight = self._weight_of(tenant)
        return flow

    def _enter(self, flow, lane):
        jobs = flow.jobs.get(lane)
        if jobs is None:
            jobs = flow.jobs[lane] = []
            heap = self._heaps.setdefault(lane, {}).setdefault(flow.share, [])
            heapq.heappush(heap, (flow.time, next(self._numbers), flow))
        return jobs

    def _activate(self, flow):
        share = flow.share
        if not flow.queued:
            flow.time = max(flow.time, share.base)
        if not share.queued:
            share.time = max(share.time, self._base)

    def _count(self, waiting, index, sign):
        expected_ms = waiting.known.tasks[index].expected_ms
        waiting.flow.queued += sign
        waiting.flow.queued_ms += sign * expected_ms
        waiting.flow.share.queued += sign
        self.queued_ms[waiting.lane.service] += sign * expected_ms
        self._length += sign

    def _top(self, lane, heap):
        """Find the flow with the lowest time; entries are put right when met."""
        while heap:
            time, _, flow = heap[0]
            if not _has_waiting(flow.jobs[lane]):
                heapq.heappop(heap)
                del flow.jobs[lane]
            elif time < flow.time:
                heapq.heapreplace(heap, (flow.time, next(self._numbers), flow))
            else:
                return flow
        return None

    def _forget(self, waiting):
        held = self._jobs[waiting.known.key]
        del held[waiting.lane]
        if not held:
            del self._jobs[waiting.known.key]

    def tidy(self):
        """Forget lanes and tenants without a waiting task."""
        for lane, heaps in list(self._heaps.items()):
            if all(self._top(lane, heap) is None for heap in heaps.values()):
                del self._heaps[lane]
        for share in self._shares.values():
            share.flows = {
                tenant: flow
                for tenant, flow in share.flows.items()
                if flow.jobs or flow.time > share.base
            }


@rules.implements("queueing", "arrival")
class Arrival(Fair):
    """Serve urgent jobs first, and jobs of one class as they came."""

    def ahead_ms(self, submission, _ideal_ms=0.0, _now_ms=0.0):
        """Estimate the work that is served before a new job; see `Fair`."""
        rank = _RANKS[submission.urgency]
        return sum(
            flow.queued_ms
            for share in self._shares.values()
            if share.rank <= rank
            for flow in share.flows.values()
        )

    def _order(self, share):
        return share.rank

    def _key(self, known, lane):
        return known.accepted_ms

    def _ordered(self, known, indexes):
        return indexes

    def _tenant(self, submission):
        return ""


def _has_waiting(jobs):
    """Drop jobs without a waiting task; tell whether one with some is left."""
    while jobs and not jobs[0][2].indexes:
        heapq.heappop(jobs)
    return bool(jobs)
