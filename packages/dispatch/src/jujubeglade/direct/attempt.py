"""Attempts: the runs of tasks that an agent has admitted and that may still run."""

import enum


class Phase(enum.Enum):
    """The state of an attempt, as far as the worker has confirmed it."""

    #: The start has not been answered yet.
    STARTING = enum.auto()
    #: The worker has confirmed that it runs.
    RUNNING = enum.auto()
    #: The answer to the start was lost; it may run, or start later.
    UNRESOLVED = enum.auto()


class Attempt:
    """One attempt to run a task."""

    __slots__ = (
        "begin",
        "confirmed_ms",
        "end_by_ms",
        "halted_ms",
        "has_survived",
        "_alive_ms",
        "is_listed",
        "owner",
        "owner_silence_ms",
        "phase",
        "report_age_ms",
        "started_ms",
        "stop_calls",
        "token",
    )

    def __init__(self, owner, begin, now_ms, token):
        """Create an attempt that is about to start.

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
        #: When the worker confirmed that it runs; None before.
        self.confirmed_ms = None
        self.end_by_ms = now_ms + begin.left_ms
        #: When its stop was first requested; None before.
        self.halted_ms = None
        # When the owner was last known to be alive before that; None before.
        self._alive_ms = None
        #: The number of stops that the worker was sent for it.
        self.stop_calls = 0
        #: Whether the worker still ran it at the end of its probation; see `crashes`.
        self.has_survived = False
        #: The age of the worker's report when it was admitted.
        self.report_age_ms = 0.0
        #: For how long the owner had been silent when it sent this attempt.
        self.owner_silence_ms = owner.silence_ms
        #: Whether the worker incarnation that it was sent to has listed it. The answer
        #: to its start is no proof, as it may come from another incarnation.
        self.is_listed = False

    @property
    def halted(self):
        """Return whether it is to be stopped."""
        return self.halted_ms is not None

    @property
    def is_on_probation(self):
        """Return whether it is a suspect that has not survived its probation."""
        return self.begin.is_suspect and not self.has_survived

    @property
    def owner_alive_ms(self):
        """Return when its owner, still waiting for it, was last known to be alive.

        Its client may submit the job again from then on, on the clock that also counts
        while this VM is suspended.
        """
        return self.owner.alive_ms if self._alive_ms is None else self._alive_ms

    @property
    def task(self):
        """Return the task's TaskName."""
        return self.begin.task

    @property
    def run(self):
        """Return the run, the number of the attempt."""
        return self.begin.run

    @property
    def key(self):
        """Return the pair of the task and the run, which identifies the attempt."""
        return (self.begin.task, self.begin.run)

    def halt(self, now_ms):
        """Record that it is to be stopped.

        Args:
          now_ms: A number, the monotonic clock.
        """
        self.halted_ms = now_ms
        self._alive_ms = self.owner.alive_ms

    def confirm(self, now_ms):
        """Record that the worker runs it.

        Args:
          now_ms: A number, the monotonic clock.
        """
        self.phase = Phase.RUNNING
        self.confirmed_ms = now_ms


def new_attempt(owner, begin, now_ms, token):
    """Make the attempt that a Begin asks for.

    Args:
      owner: An Owner.
      begin: A Begin.
      now_ms: A number, the monotonic clock.
      token: An integer, the fencing token of its start.

    Returns:
      An Attempt.
    """
    return Attempt(owner, begin, now_ms, token)
