"""Due: which waiting task is next, by when it must start for its job to be in time.

`Due` carries out the choice `due` of the rule `queueing`. Each job has an ideal time,
the longest of its tasks or its work over all slots, whichever is more, and is due a
little later than that after it came. A task must start its own run time before that:

    key = came + slack * ideal + pushed - run time of the task

The lowest key is next, so that small jobs pass large ones, the longest task of a job
starts first, and nothing waits for ever, since keys do not move.

| class  | slack |
|--------|-------|
| urgent | 1.2   |
| normal | 2     |
| batch  | 10    |

A tenant whose waiting work would take its share of the slots longer than
`_ALLOWANCE_MS` is beyond it: its further jobs are pushed back by the excess, so that
a flood waits for itself and not others for it. Shares go by the weights of the
tenants that have tasks waiting.
"""

import collections
import heapq
import itertools

from jujubeglade.core import job, rules

_SLACK = {
    job.Urgency.URGENT: 1.2,
    job.Urgency.NORMAL: 2.0,
    job.Urgency.BATCH: 10.0,
}
_ALLOWANCE_MS = 250


class Waiting:
    """The waiting tasks of one job in one lane, the longest first."""

    __slots__ = ("due_ms", "indexes", "known", "lane", "queued_ms")

    def __init__(self, known, lane, due_ms):
        """Start without a task.

        Args:
          known: An OwnedJob.
          lane: A Lane.
          due_ms: A number, the monotonic time at which the job is due.
        """
        self.known = known
        self.lane = lane
        self.due_ms = due_ms
        self.queued_ms = 0.0
        self.indexes = collections.deque()

    @property
    def key(self):
        """Return by when the next task must start."""
        return self.due_ms - self.known.tasks[self.indexes[0]].expected_ms


@rules.implements("queueing", "due")
class Due:
    """Serve first what must start first."""

    def __init__(self, weight_of=lambda tenant: 1.0):
        """Start empty.

        Args:
          weight_of: A function from a tenant to its weight.
        """
        self._weight_of = weight_of
        # By lane, a heap of the jobs by their keys. A key that has risen since is
        # put right when it is met.
        self._heaps = {}
        self._numbers = itertools.count()
        self._jobs = {}
        self._length = 0
        self._tenants_ms = collections.Counter()
        self._tenants = collections.Counter()
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
        held = self._jobs.setdefault(known.key, {})
        waiting = held.get(lane)
        if waiting is None:
            due_ms = known.accepted_ms + self._allowed_ms(known, lane)
            waiting = held[lane] = Waiting(known, lane, due_ms)
        joined = [*waiting.indexes, *indexes]
        waiting.indexes.clear()
        waiting.indexes.extend(_longest_first(known, joined))
        for index in indexes:
            self._count(waiting, index, 1)
        self._push(waiting)

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
        tops = [self._top(lane) for lane in lanes if lane in self._heaps]
        waiting = [top for top in tops if top is not None]
        return min(waiting, key=lambda top: top.key, default=None)

    def take(self, waiting):
        """Take the next task out of what `head` found.

        Args:
          waiting: A Waiting.

        Returns:
          An integer, the place of the task in its job.
        """
        index = waiting.indexes.popleft()
        self._count(waiting, index, -1)
        if not waiting.indexes:
            held = self._jobs[waiting.known.key]
            del held[waiting.lane]
            if not held:
                del self._jobs[waiting.known.key]
        return index

    def ahead_ms(self, submission, ideal_ms, now_ms):
        """Estimate the work that is served before a new job ends.

        Args:
          submission: A Submission.
          ideal_ms: A number, the least time that the job takes.
          now_ms: A number, the monotonic time.

        Returns:
          A number, the run time of the waiting tasks that are due before the job.
        """
        due_ms = now_ms + _SLACK[submission.urgency] * ideal_ms
        due_ms += self._pushed_ms(submission.tenant, self._slots())
        return sum(
            waiting.queued_ms
            for held in self._jobs.values()
            for waiting in held.values()
            if waiting.due_ms <= due_ms
        )

    def tidy(self):
        """Forget lanes without a waiting task."""
        for lane in list(self._heaps):
            if self._top(lane) is None:
                del self._heaps[lane]

    def _allowed_ms(self, known, lane):
        """Tell how long after it came a job is due."""
        slots = max(1, sum(worker.slots for worker in lane.workers))
        longest_ms = max(task.expected_ms for task in known.tasks)
        ideal_ms = max(longest_ms, known.work_ms / slots)
        submission = known.submission
        pushed_ms = self._pushed_ms(submission.tenant, slots)
        return _SLACK[submission.urgency] * ideal_ms + pushed_ms

    def _pushed_ms(self, tenant, slots):
        """Tell how far a tenant's waiting work exceeds its allowance."""
        weights = {each: self._weight_of(each) for each in self._tenants}
        weight = weights.setdefault(tenant, self._weight_of(tenant))
        share = slots * weight / sum(weights.values())
        return max(0.0, self._tenants_ms[tenant] / share - _ALLOWANCE_MS)

    def _slots(self):
        lanes = list(self._heaps)
        workers = {worker for lane in lanes for worker in lane.workers}
        return max(1, sum(worker.slots for worker in workers))

    def _count(self, waiting, index, sign):
        expected_ms = waiting.known.tasks[index].expected_ms
        tenant = waiting.known.submission.tenant
        waiting.queued_ms += sign * expected_ms
        self._tenants_ms[tenant] += sign * expected_ms
        self._tenants[tenant] += sign
        if not self._tenants[tenant]:
            del self._tenants[tenant]
            del self._tenants_ms[tenant]
        self.queued_ms[waiting.lane.service] += sign * expected_ms
        self._length += sign

    def _push(self, waiting):
        heap = self._heaps.setdefault(waiting.lane, [])
        heapq.heappush(heap, (waiting.key, next(self._numbers), waiting))

    def _top(self, lane):
        """Find what is next in a lane; entries are put right when met."""
        heap = self._heaps[lane]
        while heap:
            key, _, waiting = heap[0]
            if not waiting.indexes:
                heapq.heappop(heap)
            elif waiting.key > key:
                entry = (waiting.key, next(self._numbers), waiting)
                heapq.heapreplace(heap, entry)
            else:
                return waiting
        return None


def _longest_first(known, indexes):
    return sorted(indexes, key=lambda index: -known.tasks[index].expected_ms)
