"""The window: the owned jobs that a resubmission may still ask for.

A home forgets a job only by raising its floor on the issue time of tickets, below
which it refuses them, so that a forgotten job is never taken for a new one. Results
are held up to a bound in bytes; beyond it the oldest are dropped, and their jobs are
answered as failed from then on.
"""

_FORGOTTEN_SHARE = 10


class Window:
    """The owned jobs of one home."""

    __slots__ = ("_held_bytes", "floor_ms", "jobs")

    def __init__(self):
        """Start with no job."""
        #: The jobs by key, in the order of their acceptance.
        self.jobs = {}
        #: The issue time below which tickets are refused.
        self.floor_ms = 0
        self._held_bytes = 0

    def hold(self, known, most_bytes):
        """Count the results of a job that was answered, and bound them all.

        Args:
          known: An OwnedJob with its answer.
          most_bytes: An integer, the bound of all results.
        """
        self._held_bytes += _result_bytes(known)
        if self._held_bytes <= most_bytes:
            return
        for oldest in self.jobs.values():
            if self._held_bytes <= most_bytes // 2:
                return
            if oldest.answer is not None:
                self._held_bytes -= oldest.drop_bodies()

    def make_room(self, most_jobs):
        """Forget the oldest tenth of the jobs when there are too many.

        Args:
          most_jobs: An integer, the bound of the jobs.

        Returns:
          A boolean, whether there is room for another.
        """
        if len(self.jobs) >= most_jobs:
            issued = sorted(known.issued_ms for known in self.jobs.values())
            self.raise_floor(issued[len(issued) // _FORGOTTEN_SHARE] + 1)
        return len(self.jobs) < most_jobs

    def raise_floor(self, floor_ms):
        """Forget the jobs that are over and whose tickets are older.

        Args:
          floor_ms: An integer, an issue time; a lower one than before is ignored.
        """
        if floor_ms <= self.floor_ms:
            return
        self.floor_ms = floor_ms
        passed = [key for key, known in self.jobs.items() if self._is_past(known)]
        for key in passed:
            self._held_bytes -= _result_bytes(self.jobs.pop(key))

    def _is_past(self, known):
        return known.issued_ms < self.floor_ms and known.is_over


def _result_bytes(known):
    if known.answer is None:
        return 0
    return sum(len(task.result) for task in known.answer.tasks)
