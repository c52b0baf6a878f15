"""Owned jobs: the jobs that an entry has taken and not answered yet."""

import asyncio
import collections
import enum

from jujubeglade.direct import job, queueing


class Phase(enum.Enum):
    """How far a task has come."""

    WAITING = enum.auto()
    SENT = enum.auto()
    DONE = enum.auto()


class OwnedTask:
    """One task of an owned job."""

    __slots__ = (
        "failed_on",
        "failures",
        "name",
        "owner",
        "phase",
        "run",
        "sent_ms",
        "step",
        "worker",
    )

    def __init__(self, owner, name, step):
        """Begin with a task that waits.

        Args:
          owner: An OwnedJob.
          name: A TaskName.
          step: Its Step.
        """
        self.owner = owner
        self.name = name
        self.step = step
        self.phase = Phase.WAITING
        self.run = 1
        self.failures = 0
        #: The agents' incarnations where it has failed.
        self.failed_on = set()
        self.sent_ms = 0.0
        self.worker = None


class OwnedJob:
    """One job, from its acceptance to its answer."""

    __slots__ = (
        "answer",
        "deadline_ms",
        "due_ms",
        "is_touched",
        "key",
        "left",
        "ready",
        "route",
        "submission",
        "tasks",
        "taken_ms",
        "timer",
        "was_offered",
        "watchers",
    )

    def __init__(self, submission, route, now_ms):
        """Begin with all tasks waiting.

        Args:
          submission: A Submission.
          route: Its Route.
          now_ms: A number, the monotonic clock.
        """
        self.submission = submission
        self.route = route
        self.taken_ms = now_ms
        self.deadline_ms = now_ms + submission.timeout_ms
        longest_ms = longest_chain_ms(submission.steps)
        self.due_ms = now_ms + route.objective_ms(longest_ms)
        #: Its place in the queue.
        self.key = 0.0
        #: Whether a worker may have started something of it.
        self.is_touched = False
        self.answer = asyncio.get_running_loop().create_future()
        #: Whether the whole fleet has been asked for room since it began to wait.
        self.was_offered = False
        #: How many requests wait for the answer.
        self.watchers = 0
        self.timer = None
        self.tasks = [
            [
                OwnedTask(self, job.TaskName(submission.job_id, number, index), step)
                for index in range(step.count)
            ]
            for number, step in enumerate(submission.steps)
        ]
        # The tasks of each step that are not done.
        self.left = [step.count for step in submission.steps]
        #: The tasks that may be sent, in order.
        self.ready = []
        for number, step in enumerate(submission.steps):
            if not step.after:
                self.ready.extend(self.tasks[number])

    @property
    def is_done(self):
        """Tell whether all tasks are done."""
        return not any(self.left)

    def arrival(self):
        """Describe the job to the queue, as an Arrival."""
        longest_ms = longest_chain_ms(self.submission.steps)
        return queueing.Arrival(
            self.taken_ms, self.due_ms, longest_ms, self.route.priority
        )

    def can_be_timely(self, now_ms):
        """Tell whether it can still be answered within its objective.

        Args:
          now_ms: A number, the monotonic clock.
        """
        longest_ms = max((task.step.estimate_ms for task in self.ready), default=0)
        return now_ms + longest_ms <= self.due_ms

    def finish(self, task):
        """Note that a task is done, and let the steps after it begin.

        Args:
          task: An OwnedTask.
        """
        number = task.name.step
        task.phase = Phase.DONE
        self.left[number] -= 1
        if self.left[number]:
            return
        for other, step in enumerate(self.submission.steps):
            if number in step.after and not any(self.left[each] for each in step.after):
                self.ready.extend(self.tasks[other])

    def full_workers(self, number):
        """List the agents that run as many tasks of a step as they may.

        Args:
          number: An integer, the step.

        Returns:
          A frozenset of incarnations.
        """
        most = self.submission.steps[number].most_per_worker
        counts = collections.Counter(
            task.worker.identity.incarnation
            for task in self.tasks[number]
            if task.phase is Phase.SENT
        )
        return frozenset(each for each, count in counts.items() if count >= most)

    def sent(self):
        """List the tasks that a worker may run."""
        return [
            task for step in self.tasks for task in step if task.phase is Phase.SENT
        ]


def longest_chain_ms(steps):
    """Return the run time of the longest chain of tasks, in ms.

    Args:
      steps: A tuple of Steps; each names earlier ones only.
    """
    ends = []
    for step in steps:
        begin = max((ends[each] for each in step.after), default=0)
        ends.append(begin + step.estimate_ms)
    return max(ends, default=0)
