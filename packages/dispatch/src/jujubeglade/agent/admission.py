"""Admission: whether a home takes a job, decided at once.

Each class carries out a choice of the rule `admission`. `Deadline` estimates when
a job would end, from the work that is served before it and the slots in service,
and refuses what would end too late, before anything of it has started. A refusal
says when to come back, which is when that much work will have been done.

A tenant's quota is what is always admitted: jobs within `starts_per_s` are taken
however long the queue is. Beyond it a tenant has its share of what is left.
"""

import dataclasses

from jujubeglade.core import problem, rules

_LEAST_RETRY_MS = 50
_BURST_S = 1.0
_MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What a home expects of a job it might take.

    Attributes:
      end_ms: A number, the time from now to the expected end of the job.
      least_ms: A number, the shortest time its longest task can take.
      tasks: An integer, how many tasks it has.
      queued: An integer, the tasks that wait already.
      rate: A number, the tasks that are ended in a millisecond.
    """

    end_ms: float
    least_ms: float
    tasks: int
    queued: int
    rate: float


class _Bucket:
    """The starts that a tenant may still have within its quota."""

    __slots__ = ("_at_ms", "_tokens")

    def __init__(self, now_ms):
        self._tokens = None
        self._at_ms = now_ms

    def fill(self, starts_per_s, now_ms):
        most = starts_per_s * _BURST_S
        passed_s = (now_ms - self._at_ms) / _MILLISECONDS_PER_SECOND
        held = most if self._tokens is None else self._tokens
        self._tokens = min(most, held + passed_s * starts_per_s)
        self._at_ms = now_ms

    def take(self, count):
        # A job larger than the bucket is taken when the bucket is full, on credit.
        if self._tokens <= 0:
            return False
        self._tokens -= count
        return True


class Quotas:
    """The quotas of the tenants, as the configuration sets them."""

    __slots__ = ("_buckets", "_document")

    def __init__(self):
        """Start without a quota."""
        self._document = {}
        self._buckets = {}

    def configure(self, quotas):
        """Apply the quotas of a configuration.

        Args:
          quotas: A dict from tenant to a dict of `starts_per_s` and `weight`.
        """
        self._document = quotas
        self._buckets = {
            tenant: held for tenant, held in self._buckets.items() if tenant in quotas
        }

    def weight(self, tenant):
        """Tell a tenant's share of what is left.

        Args:
          tenant: A string.

        Returns:
          A number above 0; 1 without a quota.
        """
        return self._document.get(tenant, {}).get("weight") or 1.0

    def limits(self, tenant):
        """Tell whether a tenant has a quota.

        Args:
          tenant: A string.
        """
        return tenant in self._document

    def take(self, tenant, count, now_ms):
        """Take starts out of a tenant's quota if they are within it.

        Args:
          tenant: A string.
          count: An integer.
          now_ms: A number, the monotonic time.

        Returns:
          A boolean.
        """
        starts_per_s = self._document.get(tenant, {}).get("starts_per_s", 0)
        if not starts_per_s:
            return False
        bucket = self._buckets.setdefault(tenant, _Bucket(now_ms))
        bucket.fill(starts_per_s, now_ms)
        return bucket.take(count)


@rules.implements("admission", "always")
class Always:
    """Take every job that the queue has room for."""

    __slots__ = ()

    def refusal(self, submission, outlook, limits):
        """Tell why a job is not taken.

        Args:
          submission: A Submission.
          outlook: An Outlook.
          limits: A pair of the most tasks that may wait and whether the tenant
            is beyond its quota.

        Returns:
          A Problem, or None when it is taken.
        """
        return _overload(outlook, limits)


@rules.implements("admission", "deadline")
class Deadline:
    """Refuse at once what can't meet its deadline."""

    __slots__ = ()

    def refusal(self, submission, outlook, limits):
        """Tell why a job is not taken; see `Always.refusal`."""
        if submission.deadline_ms < outlook.least_ms:
            return _never(submission, outlook)
        return _overload(outlook, limits) or _late(submission, outlook, limits)


def _never(submission, outlook):
    return problem.Problem(
        kind=problem.Kind.NEVER_RUNNABLE,
        message=f"the deadline of {submission.deadline_ms} ms is shorter than the"
        f" {outlook.least_ms:.0f} ms that its longest task takes at least",
        remedy="submit with a later deadline",
        place="deadline_ms",
    )


def _overload(outlook, limits):
    max_tasks, beyond_quota = limits
    excess = outlook.queued + outlook.tasks - max_tasks
    if excess <= 0:
        return None
    if outlook.tasks > max_tasks:
        return problem.Problem(
            kind=problem.Kind.NEVER_RUNNABLE,
            message=f"{outlook.tasks} tasks are more than the queue's {max_tasks}",
            remedy="split the job, or raise the limit max_queue_tasks",
            place="tasks",
        )
    kind = problem.Kind.QUOTA if beyond_quota else problem.Kind.OVERLOADED
    return problem.Problem(
        kind=kind,
        message=f"{outlook.queued} tasks wait, of {max_tasks} that may",
        remedy="come back after the time given, with the same id",
        retry_after_ms=_after(excess / outlook.rate),
    )


def _late(submission, outlook, limits):
    excess_ms = outlook.end_ms - submission.deadline_ms
    if excess_ms <= 0:
        return None
    kind = problem.Kind.QUOTA if limits[1] else problem.Kind.DEADLINE
    return problem.Problem(
        kind=kind,
        message=f"the job would take {outlook.end_ms:.0f} ms, and its deadline is"
        f" {submission.deadline_ms} ms",
        remedy="come back after the time given, or submit with a later deadline",
        place="deadline_ms",
        retry_after_ms=_after(excess_ms),
    )


def _after(wait_ms):
    return max(_LEAST_RETRY_MS, int(wait_ms) + 1)
