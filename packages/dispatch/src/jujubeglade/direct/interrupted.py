"""Interrupted attempts: those that ran when their worker stopped answering.

They end for their owners when the lease has expired, which is before the agent knows
whether the worker was only silent or has crashed. They are kept until that is known: a
worker that answers again was silent, and another incarnation proves a crash.
"""

import dataclasses

from jujubeglade.direct import job


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """An attempt that ran when its worker stopped answering.

    Attributes:
      task: A TaskName.
      run: An integer.
      has_survived: A boolean, whether it had survived its probation; see `crashes`.
      is_on_probation: A boolean, whether it was a suspect that had not.
      age_ms: A number, its age when the worker last answered a poll; 0 if it was sent
        since.
    """

    task: job.TaskName
    run: int
    has_survived: bool
    is_on_probation: bool
    age_ms: float


class InterruptedAttempts:
    """The interrupted attempts of one incarnation of a worker."""

    __slots__ = ("_by_task", "_instance")

    def __init__(self):
        """Create the attempts of a worker that answers."""
        self._by_task = {}
        self._instance = None

    @property
    def instance(self):
        """Return the Instance that stopped answering; None while the worker answers."""
        return self._instance

    @property
    def attempts(self):
        """Return the attempts, as a tuple of Interrupted."""
        return tuple(self._by_task.values())

    def add(self, instance, attempt, answered_ms):
        """Add an attempt that ends although the worker has not listed its end.

        Args:
          instance: An Instance, the one that ran it.
          attempt: An Attempt.
          answered_ms: A number, when the instance last answered a poll, on the
            monotonic clock.
        """
        self._instance = instance
        age_ms = max(0, answered_ms - attempt.started_ms)
        self._by_task[attempt.task] = Interrupted(
            attempt.task,
            attempt.run,
            attempt.has_survived,
            attempt.is_on_probation,
            age_ms,
        )

    def clear(self):
        """Forget the attempts, as it is known how they ended."""
        self._by_task.clear()
        self._instance = None


def new_interrupted_attempts():
    """Make the interrupted attempts of a worker that answers.

    Returns:
      An InterruptedAttempts.
    """
    return InterruptedAttempts()
