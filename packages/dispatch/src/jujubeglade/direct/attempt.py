"""Attempts: the runs of tasks that an agent has in hand."""

import enum


class Phase(enum.Enum):
    """How much is known of an attempt."""

    #: Its start is on its way.
    STARTING = enum.auto()
    #: The worker said that it runs.
    RUNNING = enum.auto()
    #: The answer to its start was lost; it may run, or start later.
    UNRESOLVED = enum.auto()


class Attempt:
    """One run of one task."""

    __slots__ = (
        "begin",
        "confirmed_ms",
        "end_by_ms",
        "halted",
        "is_listed",
        "owner",
        "phase",
        "started_ms",
        "token",
    )

    def __init__(self, owner, begin, now_ms, token):
        """Begin with a start on its way.

        Args:
          owner: An Owner.
          begin: A Begin.
          now_ms: A number, the monotonic clock.
          token: An integer, the fencing token of its start.
        """
        self.owner = owner
        self.begin = begin
        self.phase = Phase.STARTING
        self.token = token
        self.started_ms = now_ms
        #: When the worker said that it runs; None before.
        self.confirmed_ms = None
        self.end_by_ms = now_ms + begin.left_ms
        self.halted = False
        #: Whether the life of the worker that it was sent to has listed it; an answer
        #: to its start does not say which life gave it.
        self.is_listed = False

    @property
    def task(self):
        """Return the task's TaskName."""
        return self.begin.task

    @property
    def run(self):
        """Return the number of the run."""
        return self.begin.run

    @property
    def key(self):
        """Return the pair that names the attempt."""
        return (self.begin.task, self.begin.run)

    def confirm(self, now_ms):
        """Note that the worker runs it.

        Args:
          now_ms: A number, the monotonic clock.
        """
        self.phase = Phase.RUNNING
        self.confirmed_ms = now_ms


def new_attempt(owner, begin, now_ms, token):
    """Make the attempt that a message asks for.

    Args:
      owner: An Owner.
      begin: A Begin.
      now_ms: A number, the monotonic clock.
      token: An integer, the fencing token of its start.

    Returns:
      An Attempt.
    """
    return Attempt(owner, begin, now_ms, token)
