"""The window: the owned jobs that may still be resubmitted.

A home removes jobs only by raising its floor, the issue time below which it refuses
tickets; otherwise the resubmission of a removed job would be accepted as a new job.
Results are kept up to a limit in bytes. Beyond it the oldest ones are dropped, and
their jobs are answered as failed from then on.
"""

_REMOVED_DIVISOR = 10


class Window:
    """The owned jobs of one home."""

    __slots__ = ("_retained_bytes", "floor_ms", "jobs")

    def __init__(self):
        """Create a window without jobs."""
        #: The jobs by key, in order of acceptance.
        self.jobs = {}
        #: The issue time below which tickets are refused.
        self.floor_ms = 0
        self._retained_bytes = 0

    def retain_results(self, job, max_bytes):
        """Keep the results of an answered job, and drop the oldest beyond the limit.

        Dropping continues until half the limit is reached.

        Args:
          job: An OwnedJob with its answer.
          max_bytes: An integer, the limit of all results.
        """
        self._retained_bytes += _result_bytes(job)
        if self._retained_bytes <= max_bytes:
            return
        for oldest in self.jobs.values():
            if self._retained_bytes <= max_bytes // 2:
                return
            if oldest.answer is not None:
                self._retained_bytes -= oldest.drop_bodies()

    def make_room(self, max_jobs):
        """Remove the oldest tenth of the jobs when the window is full.

        Args:
          max_jobs: An integer, the largest number of jobs.

        Returns:
          A boolean, whether there is room for another.
        """
        if len(self.jobs) >= max_jobs:
            issue_times = sorted(job.issued_ms for job in self.jobs.values())
            self.raise_floor(issue_times[len(issue_times) // _REMOVED_DIVISOR] + 1)
        return len(self.jobs) < max_jobs

    def raise_floor(self, floor_ms):
        """Remove the jobs that are over and whose tickets are older than the floor.

        Args:
          floor_ms: An integer, an issue time; one below the present floor is ignored.
        """
        if floor_ms <= self.floor_ms:
            return
        self.floor_ms = floor_ms
        expired_keys = [key for key, job in self.jobs.items() if self._is_expired(job)]
        for key in expired_keys:
            self._retained_bytes -= _result_bytes(self.jobs.pop(key))

    def _is_expired(self, job):
        return job.issued_ms < self.floor_ms and job.is_over


def _result_bytes(job):
    if job.answer is None:
        return 0
    return sum(len(task.result) for task in job.answer.tasks)
