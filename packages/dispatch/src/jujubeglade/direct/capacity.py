"""Capacity: the free and the reserved resources of a worker.

Everything that might still run counts. An attempt reserves its resources before its
start is sent, and keeps them until it has ended or certainly never starts.
"""

from jujubeglade.direct import job


class Capacity:
    """The resources of one worker."""

    __slots__ = ("_reservations", "_total", "_used")

    def __init__(self):
        """Create the capacity of a worker that can run nothing."""
        self._total = job.NOTHING
        self._used = job.NOTHING
        self._reservations = {}

    @property
    def total(self):
        """Return all resources of the worker, as a Resources."""
        return self._total

    @property
    def free(self):
        """Return the free resources, as a Resources; parts may be below 0."""
        return self._total.minus(self._used)

    def resize(self, total):
        """Set the resources of the worker.

        Args:
          total: A Resources.
        """
        self._total = total

    def reserve(self, key, needs):
        """Reserve resources if they are free.

        Args:
          key: A hashable that names the attempt.
          needs: A Resources.

        Returns:
          A boolean, whether they were reserved.
        """
        if key in self._reservations or not self.free.covers(needs):
            return False
        self._reservations[key] = needs
        self._used = self._used.plus(needs)
        return True

    def release(self, key):
        """Release reserved resources; a key without a reservation changes nothing.

        Args:
          key: A hashable.
        """
        needs = self._reservations.pop(key, None)
        if needs is not None:
            self._used = self._used.minus(needs)


def new_capacity():
    """Make the capacity of a worker that has not reported yet.

    Returns:
      A Capacity.
    """
    return Capacity()
