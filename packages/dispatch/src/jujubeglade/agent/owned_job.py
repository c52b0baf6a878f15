"""Owned jobs: the state that the owner of a job keeps of it."""

import collections
import dataclasses

from jujubeglade.core import job as jobs

_ATTEMPTS_PER_GENERATION = 1000


def split_attempt(attempt):
    """Split the number of an attempt into its generation and its number there.

    Args:
      attempt: An integer, the number of an attempt among all generations.

    Returns:
      A pair of integers, the generation and the attempt's number within it.
    """
    return divmod(attempt, _ATTEMPTS_PER_GENERATION)


class OwnedTask:
    """One task of an owned job."""

    __slots__ = (
        "answer",
        "attempts",
        "attempts_made",
        "avoided_workers",
        "expected_ms",
        "failures",
        "last_member",
        "placed_ms",
        "prior_outcome",
        "rejects",
        "task",
    )

    def __init__(self, task):
        """Create a task without attempts.

        Args:
          task: A Task.
        """
        self.task = task
        # The attempts that have not ended, by number, with the Worker of each.
        self.attempts = {}
        self.attempts_made = 0
        # The Member that the last attempt was placed on.
        self.last_member = None
        self.rejects = 0
        # The number of attempts that were started and failed, and the Workers on which
        # they failed.
        self.failures = 0
        self.avoided_workers = set()
        self.expected_ms = 1.0
        self.placed_ms = 0.0
        self.answer = None
        # A TaskOutcome, what is known from earlier attempts; None when none started.
        self.prior_outcome = None


class OwnedJob:
    """One job of this owner, and its progress."""

    __slots__ = (
        "_waiters",
        "accepted_ms",
        "answer",
        "deadline_handle",
        "ending",
        "expected_work_ms",
        "failed_on",
        "generation",
        "key",
        "moved_to",
        "submission",
        "tasks",
        "ticket",
        "unfinished",
        "workers",
    )

    def __init__(self, submission, ticket, generation, accepted_ms):
        """Create the state of an accepted submission.

        Args:
          submission: A Submission.
          ticket: Its Ticket.
          generation: An integer, the generation of this owner.
          accepted_ms: A number, the monotonic time of the acceptance.
        """
        self.submission = submission
        self.ticket = ticket
        self.key = ticket.key
        self.generation = generation
        self.accepted_ms = accepted_ms
        self.tasks = [OwnedTask(task) for task in submission.tasks]
        self.unfinished = len(self.tasks)
        # The sum of the expected run times of its tasks.
        self.expected_work_ms = 0.0
        self.workers = ()
        self.ending = False
        # The failures of its tasks that count against the health of Workers, by Worker.
        self.failed_on = collections.Counter()
        self.moved_to = None
        self.answer = None
        self.deadline_handle = None
        self._waiters = []

    @property
    def issued_ms(self):
        """Return when the ticket was issued."""
        return self.ticket.issued_ms

    @property
    def deadline_ms(self):
        """Return the monotonic time of the deadline."""
        return self.accepted_ms + self.submission.deadline_ms

    @property
    def is_over(self):
        """Return whether the job is answered, ending, or moved to another owner."""
        return self.ending or self.moved_to is not None or self.answer is not None

    def next_attempt(self, index):
        """Assign the number of a new attempt.

        Args:
          index: An integer, the task's index.

        Returns:
          An integer that is unique for the task among all generations.
        """
        self.tasks[index].attempts_made += 1
        return self.last_attempt(index)

    def last_attempt(self, index):
        """Return the number of the last attempt that this owner made of a task.

        Args:
          index: An integer, the task's index.

        Returns:
          An integer; 0 when there was none.
        """
        attempts_made = self.tasks[index].attempts_made
        return (
            attempts_made and self.generation * _ATTEMPTS_PER_GENERATION + attempts_made
        )

    def is_latest(self, index, attempt):
        """Return whether an attempt is the last one made of a task.

        Args:
          index: An integer, the task's index.
          attempt: An integer.
        """
        return attempt % _ATTEMPTS_PER_GENERATION == self.tasks[index].attempts_made

    def add_waiter(self, waiter):
        """Register a future that is resolved when the job is over.

        Args:
          waiter: An asyncio.Future.
        """
        self._waiters.append(waiter)

    def notify_waiters(self):
        """Resolve all registered futures."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def shrink(self):
        """Keep only what a resubmission of an ended job needs."""
        self.deadline_handle.cancel()
        self.deadline_handle = None
        self.tasks = ()
        self.workers = ()
        self.failed_on = None
        self.submission = dataclasses.replace(self.submission, ticket="", tasks=())
        self.ticket = dataclasses.replace(self.ticket, group=(), text="")

    def drop_bodies(self):
        """Free the results and keep the outcome of each task.

        Returns:
          An integer, the bytes freed.
        """
        freed_bytes = sum(len(task.result) for task in self.answer.tasks)
        answers = tuple(
            jobs.TaskAnswer(task.outcome, b"", "the result is no longer stored")
            for task in self.answer.tasks
        )
        reason = "the results are no longer stored"
        self.answer = jobs.Answer(self.key, jobs.State.FAILED, reason, 0, answers)
        return freed_bytes
