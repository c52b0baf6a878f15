"""Queueing: decides which waiting task is placed next.

Tasks wait at the home in lanes. All tasks of a lane may run on the same workers, so
a lane whose workers have no room is skipped as a whole. The choices of the rule:

| choice    | order                                                              |
|-----------|--------------------------------------------------------------------|
| `fair`    | classes share the slots by weight, and so do tenants in a class    |
| `arrival` | urgent before normal before batch, each in order of arrival        |

Within a tenant and class `fair` serves small jobs before large ones: each job is
ordered as if it had arrived later by five times the time that its work takes on all
slots, so a large job waits longer, but not for ever. Within a job the longest tasks
start first, because the job ends with its last task.

`fair` is start-time fair queueing: each class and each tenant has a virtual time,
which rises by the expected run time of each task served, divided by the weight. The
lowest virtual time is next. A class or tenant that had no waiting task starts at the
virtual time of those that had. The cost of a choice is the number of lanes times the
number of classes, plus the logarithm of the number of tenants and of jobs.
"""

import collections
import heapq
import itertools

from jujubeglade.core import job as jobs
from jujubeglade.core import rules

CLASS_WEIGHTS = {
    jobs.Urgency.URGENT: 16.0,
    jobs.Urgency.NORMAL: 4.0,
    jobs.Urgency.BATCH: 1.0,
}
_SIZE_PENALTY_FACTOR = 5
_RANKS = {urgency: rank for rank, urgency in enumerate(jobs.Urgency)}


class WaitingTasks:
    """The waiting tasks of one job in one lane."""

    __slots__ = ("flow", "indexes", "job", "key", "lane")

    def __init__(self, job, lane, flow, key):
        """Create an entry without tasks.

        Args:
          job: An OwnedJob.
          lane: A Lane.
          flow: A Flow.
          key: A number; the job with the lowest key of a flow is next.
        """
        self.key = key
        self.job = job
        self.lane = lane
        self.flow = flow
        self.indexes = collections.deque()


class Flow:
    """The waiting tasks of one tenant and class."""

    __slots__ = (
        "job_heaps",
        "queued",
        "queued_ms",
        "urgency_class",
        "virtual_time",
        "weight",
    )

    def __init__(self, urgency_class):
        """Create a flow without tasks.

        Args:
          urgency_class: The UrgencyClass of its jobs.
        """
        self.urgency_class = urgency_class
        self.weight = 1.0
        self.virtual_time = 0.0
        self.queued = 0
        self.queued_ms = 0.0
        # For each lane, a heap of the WaitingTasks of each job, ordered by key. An
        # entry without tasks is removed when it reaches the top. The flow is in the
        # heaps of exactly these lanes.
        self.job_heaps = {}


class UrgencyClass:
    """One urgency class and its tenants."""

    __slots__ = (
        "flows",
        "last_served_time",
        "queued",
        "rank",
        "virtual_time",
        "weight",
    )

    def __init__(self, urgency):
        """Create a class without tenants.

        Args:
          urgency: An Urgency.
        """
        self.rank = _RANKS[urgency]
        self.weight = CLASS_WEIGHTS[urgency]
        self.virtual_time = 0.0
        # The virtual time of the tenant that was served last.
        self.last_served_time = 0.0
        self.queued = 0
        self.flows = {}


@rules.implements("queueing", "fair")
class Fair:
    """Share the slots among classes and tenants by weight."""

    def __init__(self, weight_of=lambda tenant: 1.0):
        """Create an empty queue.

        Args:
          weight_of: A function that returns the weight of a tenant.
        """
        self._weight_of = weight_of
        self._classes = {urgency: UrgencyClass(urgency) for urgency in jobs.Urgency}
        self._last_served_time = 0.0
        self._heaps = {}
        self._sequence = itertools.count()
        self._jobs = {}
        self._length = 0
        self.queued_ms = collections.Counter()

    def __len__(self):
        """Return the number of waiting tasks."""
        return self._length

    @property
    def lanes(self):
        """Return the lanes that have waiting tasks."""
        return self._heaps.keys()

    def add(self, job, lane, indexes, first=False):
        """Queue tasks of a job.

        Args:
          job: An OwnedJob.
          lane: A Lane.
          indexes: A sequence of integers, the indexes of the tasks.
          first: A boolean; true puts the tasks before the others of the job, because
            they have waited before.
        """
        flow = self._flow(job.submission)
        waiting_by_lane = self._jobs.setdefault(job.key, {})
        waiting = waiting_by_lane.get(lane)
        if waiting is None:
            key = self._sort_key(job, lane)
            waiting = waiting_by_lane[lane] = WaitingTasks(job, lane, flow, key)
            entry = (key, next(self._sequence), waiting)
            heapq.heappush(self._job_heap(flow, lane), entry)
        if first:
            waiting.indexes.extendleft(reversed(indexes))
        else:
            waiting.indexes.extend(self._start_order(job, indexes))
        self._advance_idle(flow)
        for index in indexes:
            self._adjust_totals(waiting, index, 1)

    def discard(self, job):
        """Remove a job from the queue, if it is there.

        Args:
          job: An OwnedJob.
        """
        for waiting in self._jobs.pop(job.key, {}).values():
            for index in waiting.indexes:
                self._adjust_totals(waiting, index, -1)
            waiting.indexes.clear()

    def move_to(self, other):
        """Add all waiting tasks to another queue.

        Args:
          other: An empty queue.
        """
        for waiting_by_lane in self._jobs.values():
            for lane, waiting in waiting_by_lane.items():
                other.add(waiting.job, lane, tuple(waiting.indexes))

    def head(self, lanes):
        """Return the job whose task is next in some lanes.

        Args:
          lanes: An iterable of Lanes.

        Returns:
          A WaitingTasks, or None.
        """
        best = None
        for lane in list(lanes):
            for urgency_class, heap in self._heaps.get(lane, {}).items():
                flow = self._lowest_flow(lane, heap)
                if flow is not None:
                    order = (self._class_order(urgency_class), flow.virtual_time)
                    if best is None or order < best[0]:
                        best = (order, flow.job_heaps[lane])
        return None if best is None else best[1][0][2]

    def take(self, waiting):
        """Remove the next task of the job that `head` returned.

        Args:
          waiting: A WaitingTasks.

        Returns:
          An integer, the index of the task in its job.
        """
        index = waiting.indexes.popleft()
        flow = waiting.flow
        self._adjust_totals(waiting, index, -1)
        self._last_served_time = flow.urgency_class.virtual_time
        flow.urgency_class.last_served_time = flow.virtual_time
        cost_ms = waiting.job.tasks[index].expected_ms
        flow.virtual_time += cost_ms / flow.weight
        flow.urgency_class.virtual_time += cost_ms / flow.urgency_class.weight
        if not waiting.indexes:
            self._remove(waiting)
        return index

    def ahead_ms(self, submission):
        """Estimate the waiting work that is served before a new job ends.

        Args:
          submission: A Submission.

        Returns:
          A number, the total run time of the waiting tasks that are served before
          the last task of a job that arrived now.
        """
        flow = self._flow(submission)
        total_ms = sum(self.queued_ms.values())
        busy_classes = [
            urgency_class
            for urgency_class in self._classes.values()
            if urgency_class.queued
        ]
        if flow.urgency_class not in busy_classes:
            busy_classes.append(flow.urgency_class)
        total_class_weight = sum(urgency_class.weight for urgency_class in busy_classes)
        total_tenant_weight = sum(
            other.weight for other in flow.urgency_class.flows.values() if other.queued
        )
        total_tenant_weight += 0 if flow.queued else flow.weight
        flow_portion = (
            flow.urgency_class.weight
            / total_class_weight
            * flow.weight
            / total_tenant_weight
        )
        return min(total_ms, flow.queued_ms / flow_portion)

    def _class_order(self, urgency_class):
        return urgency_class.virtual_time

    def _sort_key(self, job, lane):
        slots = sum(worker.slots for worker in lane.workers)
        return job.accepted_ms + _SIZE_PENALTY_FACTOR * job.expected_work_ms / max(
            1, slots
        )

    def _start_order(self, job, indexes):
        tasks = job.tasks
        return sorted(indexes, key=lambda index: -tasks[index].expected_ms)

    def _flow_key(self, submission):
        return submission.tenant

    def _flow(self, submission):
        urgency_class = self._classes[submission.urgency]
        key = self._flow_key(submission)
        flow = urgency_class.flows.get(key)
        if flow is None:
            flow = urgency_class.flows[key] = Flow(urgency_class)
        flow.weight = self._weight_of(key)
        return flow

    def _job_heap(self, flow, lane):
        job_heap = flow.job_heaps.get(lane)
        if job_heap is None:
            job_heap = flow.job_heaps[lane] = []
            flow_heap = self._heaps.setdefault(lane, {}).setdefault(
                flow.urgency_class, []
            )
            heapq.heappush(flow_heap, (flow.virtual_time, next(self._sequence), flow))
        return job_heap

    def _advance_idle(self, flow):
        urgency_class = flow.urgency_class
        if not flow.queued:
            flow.virtual_time = max(flow.virtual_time, urgency_class.last_served_time)
        if not urgency_class.queued:
            urgency_class.virtual_time = max(
                urgency_class.virtual_time, self._last_served_time
            )

    def _adjust_totals(self, waiting, index, sign):
        expected_ms = waiting.job.tasks[index].expected_ms
        waiting.flow.queued += sign
        waiting.flow.queued_ms += sign * expected_ms
        waiting.flow.urgency_class.queued += sign
        self.queued_ms[waiting.lane.service] += sign * expected_ms
        self._length += sign

    def _lowest_flow(self, lane, heap):
        """Return the flow with the lowest virtual time, or None.

        Heap entries that are out of date are corrected when they reach the top.
        """
        while heap:
            virtual_time, _, flow = heap[0]
            if not _has_waiting(flow.job_heaps[lane]):
                heapq.heappop(heap)
                del flow.job_heaps[lane]
            elif virtual_time < flow.virtual_time:
                heapq.heapreplace(heap, (flow.virtual_time, next(self._sequence), flow))
            else:
                return flow
        return None

    def _remove(self, waiting):
        waiting_by_lane = self._jobs[waiting.job.key]
        del waiting_by_lane[waiting.lane]
        if not waiting_by_lane:
            del self._jobs[waiting.job.key]

    def tidy(self):
        """Remove lanes and tenants without a waiting task."""
        for lane, heaps in list(self._heaps.items()):
            if all(self._lowest_flow(lane, heap) is None for heap in heaps.values()):
                del self._heaps[lane]
        for urgency_class in self._classes.values():
            urgency_class.flows = {
                key: flow
                for key, flow in urgency_class.flows.items()
                if flow.job_heaps or flow.virtual_time > urgency_class.last_served_time
            }


@rules.implements("queueing", "arrival")
class Arrival(Fair):
    """Serve urgent jobs first, and jobs of one class in order of arrival."""

    def ahead_ms(self, submission, _ideal_ms=0.0, _now_ms=0.0):
        """Estimate the work that is served before a new job; see `Fair`."""
        rank = _RANKS[submission.urgency]
        return sum(
            flow.queued_ms
            for urgency_class in self._classes.values()
            if urgency_class.rank <= rank
            for flow in urgency_class.flows.values()
        )

    def _class_order(self, urgency_class):
        return urgency_class.rank

    def _sort_key(self, job, lane):
        return job.accepted_ms

    def _start_order(self, job, indexes):
        return indexes

    def _flow_key(self, submission):
        return ""


def _has_waiting(job_heap):
    """Remove jobs without a waiting task from a heap; return whether any is left."""
    while job_heap and not job_heap[0][2].indexes:
        heapq.heappop(job_heap)
    return bool(job_heap)
