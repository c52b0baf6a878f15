"""Admission: decides at once whether a home accepts a job.

Each class implements a choice of the rule `admission`. `Deadline` estimates when a
job would end, from the work that is served before it and the slots in service, and
refuses a job that would end too late before any of its tasks has started. A refusal
tells the client to retry after the time in which the excess work will have been done.

Jobs within a tenant's quota (`starts_per_s`) are always accepted, however long the
queue is. Beyond its quota a tenant gets a share of the remaining capacity by weight.
"""

import dataclasses

from jujubeglade.core import problem, rules

_MIN_RETRY_MS = 50
_BURST_S = 1.0
_MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """The expected course of a job that a home might accept.

    Attributes:
      end_ms: A number, the time from now to the expected end of the job.
      min_run_ms: A number, the shortest time that its longest task can take.
      task_count: An integer, the number of its tasks.
      queued_tasks: An integer, the number of tasks that wait already.
      tasks_per_ms: A number, the number of tasks that end in a millisecond.
    """

    end_ms: float
    min_run_ms: float
    task_count: int
    queued_tasks: int
    tasks_per_ms: float


class _Bucket:
    """A token bucket of the starts that a tenant has left within its quota."""

    __slots__ = ("_filled_ms", "_tokens")

    def __init__(self, now_ms):
        self._tokens = None
        self._filled_ms = now_ms

    def fill(self, starts_per_s, now_ms):
        max_tokens = starts_per_s * _BURST_S
        passed_s = (now_ms - self._filled_ms) / _MILLISECONDS_PER_SECOND
        tokens = max_tokens if self._tokens is None else self._tokens
        self._tokens = min(max_tokens, tokens + passed_s * starts_per_s)
        self._filled_ms = now_ms

    def take(self, count):
        # The token count may go below zero, or a job larger than the bucket would never
        # be within the quota.
        if self._tokens <= 0:
            return False
        self._tokens -= count
        return True


class Quotas:
    """The quotas of the tenants, as set in the configuration."""

    __slots__ = ("_buckets", "_document")

    def __init__(self):
        """Create an object without quotas."""
        self._document = {}
        self._buckets = {}

    def configure(self, quotas):
        """Apply the quotas of a configuration.

        Args:
          quotas: A dict from tenants to dicts of `starts_per_s` and `weight`.
        """
        self._document = quotas
        self._buckets = {
            tenant: bucket
            for tenant, bucket in self._buckets.items()
            if tenant in quotas
        }

    def weight(self, tenant):
        """Return a tenant's weight in sharing the remaining capacity.

        Args:
          tenant: A string.

        Returns:
          A number above 0; 1 without a quota.
        """
        return self._document.get(tenant, {}).get("weight") or 1.0

    def has_quota(self, tenant):
        """Return whether a tenant has a quota.

        Args:
          tenant: A string.
        """
        return tenant in self._document

    def take(self, tenant, count, now_ms):
        """Take starts out of a tenant's quota, if it has some left.

        Args:
          tenant: A string.
          count: An integer, the number of starts.
          now_ms: A number, the monotonic time.

        Returns:
          A boolean, whether the starts were taken.
        """
        starts_per_s = self._document.get(tenant, {}).get("starts_per_s", 0)
        if not starts_per_s:
            return False
        bucket = self._buckets.setdefault(tenant, _Bucket(now_ms))
        bucket.fill(starts_per_s, now_ms)
        return bucket.take(count)


@rules.implements("admission", "always")
class Always:
    """Accept every job that the queue has room for."""

    __slots__ = ()

    def refusal(self, submission, forecast, limits):
        """Return why a job is refused.

        Args:
          submission: A Submission.
          forecast: A Forecast.
          limits: A pair of the largest number of tasks that may wait, and of a
            boolean, whether the tenant is beyond its quota.

        Returns:
          A Problem, or None when the job is accepted.
        """
        return _queue_refusal(forecast, limits)


@rules.implements("admission", "deadline")
class Deadline:
    """Refuse jobs that can't meet their deadline."""

    __slots__ = ()

    def refusal(self, submission, forecast, limits):
        """Return why a job is refused; see `Always.refusal`."""
        if submission.deadline_ms < forecast.min_run_ms:
            return _deadline_too_short(submission, forecast)
        return _queue_refusal(forecast, limits) or _deadline_refusal(
            submission, forecast, limits
        )


def _deadline_too_short(submission, forecast):
    return problem.Problem(
        kind=problem.Kind.NEVER_RUNNABLE,
        message=f"the deadline of {submission.deadline_ms} ms is shorter than the"
        f" {forecast.min_run_ms:.0f} ms that its longest task takes at least",
        remedy="submit with a later deadline",
        place="deadline_ms",
    )


def _queue_refusal(forecast, limits):
    max_queue_tasks, beyond_quota = limits
    excess_tasks = forecast.queued_tasks + forecast.task_count - max_queue_tasks
    if excess_tasks <= 0:
        return None
    if forecast.task_count > max_queue_tasks:
        return problem.Problem(
            kind=problem.Kind.NEVER_RUNNABLE,
            message=f"the job has {forecast.task_count} tasks, and the queue takes at"
            f" most {max_queue_tasks}",
            remedy="split the job, or raise the limit max_queue_tasks",
            place="tasks",
        )
    kind = problem.Kind.QUOTA if beyond_quota else problem.Kind.OVERLOADED
    return problem.Problem(
        kind=kind,
        message=f"the queue is full: {forecast.queued_tasks} tasks wait, and at most"
        f" {max_queue_tasks} may wait",
        remedy="submit again with the same id after the time given",
        retry_after_ms=_retry_after_ms(excess_tasks / forecast.tasks_per_ms),
    )


def _deadline_refusal(submission, forecast, limits):
    excess_ms = forecast.end_ms - submission.deadline_ms
    if excess_ms <= 0:
        return None
    kind = problem.Kind.QUOTA if limits[1] else problem.Kind.DEADLINE
    return problem.Problem(
        kind=kind,
        message=f"the job would take {forecast.end_ms:.0f} ms, and its deadline is"
        f" {submission.deadline_ms} ms",
        remedy="submit again after the time given, or with a later deadline",
        place="deadline_ms",
        retry_after_ms=_retry_after_ms(excess_ms),
    )


def _retry_after_ms(wait_ms):
    return max(_MIN_RETRY_MS, int(wait_ms) + 1)
