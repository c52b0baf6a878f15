"""Executed jobs: the state that an executor keeps of the jobs in the window."""

from jujubeglade.core import contract
from jujubeglade.core import job as jobs


class ExecutedAttempt:
    """One attempt, from its acceptance to its end."""

    __slots__ = (
        "body",
        "body_retained",
        "entry",
        "state",
        "task_id",
        "upstream",
        "verdict",
    )

    def __init__(self, task_id, entry, state):
        """Create the state of an attempt.

        Args:
          task_id: A TaskId.
          entry: A StartTask, or None for an attempt that will never start.
          state: An AttemptState.
        """
        self.task_id = task_id
        self.entry = entry
        self.state = state
        self.upstream = None
        self.verdict = ""
        self.body = b""
        self.body_retained = True

    def report(self):
        """Describe the attempt to an owner.

        Returns:
          An Attempt.
        """
        return contract.Attempt(
            self.task_id.index,
            self.task_id.attempt,
            self.state,
            self.verdict,
            self.body,
            self.body_retained,
        )


class ExecutedJob:
    """The state of one job at this executor."""

    __slots__ = (
        "accepted_indexes",
        "attempts",
        "closed",
        "deadline_ms",
        "fence",
        "issued_ms",
        "key",
        "owner",
        "tenant",
        "urgency",
    )

    def __init__(self, key, issued_ms):
        """Create a job without attempts.

        Args:
          key: A string, the job key.
          issued_ms: An integer, when the ticket was issued.
        """
        self.key = key
        self.issued_ms = issued_ms
        self.fence = 0
        self.closed = False
        self.owner = None
        self.tenant = ""
        self.urgency = jobs.Urgency.NORMAL
        self.deadline_ms = 0.0
        self.attempts = {}
        # The indexes of the tasks that have an accepted attempt which was not rejected
        # later.
        self.accepted_indexes = set()
