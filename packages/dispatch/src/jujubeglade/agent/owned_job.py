"""Owned jobs: the record that the owner of a job keeps of it."""

import collections
import dataclasses

from jujubeglade.core import job

_ATTEMPTS_PER_GENERATION = 1000


def split_attempt(attempt):
    """Tell which owner made an attempt.

    Args:
      attempt: An integer, the number of an attempt among all generations.

    Returns:
      A pair of integers, the generation and the attempt's number in it.
    """
    return divmod(attempt, _ATTEMPTS_PER_GENERATION)


class OwnedTask:
    """One task of an owned job."""

    __slots__ = (
        "answer",
        "attempts",
        "attempts_made",
        "avoid",
        "evidence",
        "expected_ms",
        "failures",
        "holder",
        "placed_ms",
        "rejects",
        "task",
    )

    def __init__(self, task):
        """Start with no attempt.

        Args:
          task: A Task.
        """
        self.task = task
        # The attempts that are out, by number, with the worker that holds each.
        self.attempts = {}
        self.attempts_made = 0
        # The Member that the last attempt was placed on.
        self.holder = None
        self.rejects = 0
        # The attempts that were started and failed, and the workers they failed on.
        self.failures = 0
        self.avoid = set()
        self.expected_ms = 1.0
        self.placed_ms = 0.0
        self.answer = None
        # What earlier attempts prove: a TaskOutcome, or None when nothing started.
        self.evidence = None


class OwnedJob:
    """One job and what its owner knows."""

    __slots__ = (
        "_waiters",
        "accepted_ms",
        "answer",
        "deadline_handle",
        "ending",
        "failed_on",
        "generation",
        "key",
        "moved_to",
        "submission",
        "tasks",
        "ticket",
        "unfinished",
        "work_ms",
        "workers",
    )

    def __init__(self, submission, ticket, generation, accepted_ms):
        """Take over a submission.

        Args:
          submission: A Submission.
          ticket: Its Ticket.
          generation: An integer, of this owner.
          accepted_ms: A number, the monotonic time.
        """
        self.submission = submission
        self.ticket = ticket
        self.key = ticket.key
        self.generation = generation
        self.accepted_ms = accepted_ms
        self.tasks = [OwnedTask(task) for task in submission.tasks]
        self.unfinished = len(self.tasks)
        # The expected run times of its tasks, added up.
        self.work_ms = 0.0
        self.workers = ()
        self.ending = False
        # The failures of its tasks that were held against workers, by Worker.
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
        """Tell whether nothing more is done for the job here."""
        return self.ending or self.moved_to is not None or self.answer is not None

    def next_attempt(self, index):
        """Draw the number of a new attempt.

        Args:
          index: An integer, the task's place.

        Returns:
          An integer that no generation draws twice for the task.
        """
        self.tasks[index].attempts_made += 1
        return self.last_attempt(index)

    def last_attempt(self, index):
        """Tell the number of the last attempt that this owner made of a task.

        Args:
          index: An integer, the task's place.

        Returns:
          An integer; 0 when there was none.
        """
        made = self.tasks[index].attempts_made
        return made and self.generation * _ATTEMPTS_PER_GENERATION + made

    def is_latest(self, index, attempt):
        """Tell whether an attempt is the last one drawn for a task.

        Args:
          index: An integer, the task's place.
          attempt: An integer.
        """
        return attempt % _ATTEMPTS_PER_GENERATION == self.tasks[index].attempts_made

    def add_waiter(self, waiter):
        """Have a future resolved when the job is over.

        Args:
          waiter: An asyncio.Future.
        """
        self._waiters.append(waiter)

    def wake(self):
        """Resolve all waiting futures."""
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
        """Free payloads and results, keeping what became of each task.

        Returns:
          An integer, the bytes freed.
        """
        freed = sum(len(task.result) for task in self.answer.tasks)
        kept = tuple(
            job.TaskAnswer(task.outcome, b"", "the result is no longer held")
            for task in self.answer.tasks
        )
        reason = "the results are no longer held"
        self.answer = job.Answer(self.key, job.State.FAILED, reason, 0, kept)
        return freed
