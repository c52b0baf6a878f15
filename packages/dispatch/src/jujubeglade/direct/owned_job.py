"""Owned jobs: the jobs that an entry has accepted and not answered yet."""

import asyncio
import collections
import dataclasses
import enum

from jujubeglade.direct import delay_cost, job, queueing

#: A task is not sent again when this many of its attempts have ended with their worker
#: or agent just after the start, also if it was not shown that the worker crashed.
_MAX_UNPROVEN_CRASHES = 4
#: How long a suspect waits to learn whether its worker has crashed.
_VERDICT_TIMEOUT_MS = 4000


class Phase(enum.Enum):
    """The progress of a task."""

    WAITING = enum.auto()
    SENT = enum.auto()
    DONE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What a suspect waits for whose worker went away while it was on probation.

    Attributes:
      worker: A Worker. It has crashed, or was only silent; once it accepts attempts
        again, this entry knows which.
      until_ms: A number, when it is no longer waited for, on the monotonic clock.
    """

    worker: object
    until_ms: float

    def is_open(self, now_ms):
        """Return whether it isn't known yet how the worker went away.

        Args:
          now_ms: A number, the monotonic clock.
        """
        return now_ms < self.until_ms and not self.worker.is_accepting


class OwnedTask:
    """One task of an owned job."""

    __slots__ = (
        "expected_ms",
        "failed_on",
        "failures",
        "name",
        "is_held",
        "is_suspect",
        "job",
        "losses",
        "phase",
        "run",
        "sent_ms",
        "step",
        "unproven_crashes",
        "verdict",
        "was_held",
        "worker",
    )

    def __init__(self, job, name, step):
        """Create a waiting task.

        Args:
          job: An OwnedJob.
          name: A TaskName.
          step: Its Step.
        """
        self.job = job
        self.name = name
        self.step = step
        self.phase = Phase.WAITING
        self.run = 1
        self.failures = 0
        #: The number of its attempts that ended with their worker.
        self.losses = 0
        #: Whether it may have crashed a worker, so that it starts on probation.
        self.is_suspect = False
        #: The number of its attempts that ended with their worker just after the start,
        #: whether or not it was shown that the worker crashed.
        self.unproven_crashes = 0
        #: The Verdict that it waits for; None if it may be sent.
        self.verdict = None
        #: The incarnations of the agents whose workers failed it.
        self.failed_on = set()
        self.sent_ms = 0.0
        #: Its expected run time on a worker of usual speed, as of its last attempt.
        self.expected_ms = step.estimate_ms
        self.worker = None
        #: Whether it waits for its rack and leaves room elsewhere to others; see
        #: `locality`.
        self.is_held = False
        #: Whether that was ever so.
        self.was_held = False

    @property
    def is_lost_too_often(self):
        """Return whether it is not to be sent again, as it was lost at each start."""
        return self.unproven_crashes >= _MAX_UNPROVEN_CRASHES

    @property
    def has_own_exclusions(self):
        """Return whether fewer workers may run it than others of its step."""
        return self.is_suspect or bool(self.failed_on)

    def await_verdict(self, worker, now_ms):
        """Hold it back, if it is a suspect, until it is known whether a worker crashed.

        Args:
          worker: A Worker.
          now_ms: A number, the monotonic clock.
        """
        if self.is_suspect:
            self.verdict = Verdict(worker, now_ms + _VERDICT_TIMEOUT_MS)

    def awaits_verdict(self, now_ms):
        """Return whether it is held back.

        Args:
          now_ms: A number, the monotonic clock.
        """
        return self.verdict is not None and self.verdict.is_open(now_ms)


class OwnedJob:
    """One job, from its acceptance to its answer."""

    __slots__ = (
        "answer",
        "callers",
        "deadline_ms",
        "due_ms",
        "may_have_started",
        "is_deferred",
        "is_underserved",
        "is_protected",
        "is_weighed",
        "key",
        "tasks_left",
        "ready",
        "route",
        "submission",
        "tasks",
        "accepted_ms",
        "timer",
        "was_disturbed",
        "was_offered",
    )

    def __init__(self, submission, route, now_ms):
        """Create a job of which all tasks wait.

        Args:
          submission: A Submission.
          route: Its Route.
          now_ms: A number, the monotonic clock.
        """
        self.submission = submission
        self.route = route
        self.accepted_ms = now_ms
        self.deadline_ms = now_ms + submission.timeout_ms
        longest_ms = longest_chain_ms(submission.steps)
        self.due_ms = now_ms + route.objective_ms(longest_ms)
        #: The key that determines its place in the queue; lower keys come first.
        self.key = 0.0
        #: Whether the starvation guard spares it (`shedding`).
        self.is_protected = False
        #: Whether it is accepted even if late, as its priority was served too seldom.
        self.is_underserved = False
        #: Whether it was weighed against other jobs, so that it goes by its key alone.
        self.is_weighed = False
        #: Whether one of its attempts failed, or was lost with its start or its worker.
        self.was_disturbed = False
        #: Whether it is late and has got a later key.
        self.is_deferred = False
        #: Whether a worker may have started one of its tasks.
        self.may_have_started = False
        self.answer = asyncio.get_running_loop().create_future()
        #: Whether its ready tasks were offered to the whole fleet since it was queued.
        self.was_offered = False
        #: The Callers that wait for the answer; some may have left.
        self.callers = []
        self.timer = None
        self.tasks = [
            [
                OwnedTask(self, job.TaskName(submission.job_id, number, index), step)
                for index in range(step.count)
            ]
            for number, step in enumerate(submission.steps)
        ]
        # The number of tasks of each step that are not done.
        self.tasks_left = [step.count for step in submission.steps]
        #: The tasks that may be sent, in order.
        self.ready = []
        for number, step in enumerate(submission.steps):
            if not step.after:
                self.ready.extend(self.tasks[number])

    @property
    def is_awaited(self):
        """Return whether a caller waits that had not left at the last look."""
        return any(not caller.has_departed for caller in self.callers)

    @property
    def is_done(self):
        """Return whether all tasks are done."""
        return not any(self.tasks_left)

    @property
    def is_held(self):
        """Return whether a ready task waits for its rack; see `locality`."""
        return any(task.is_held for task in self.ready)

    def forget_held(self):
        """Mark no ready task as waiting for its rack."""
        for task in self.ready:
            task.is_held = False

    @property
    def goes_first(self):
        """Return whether it gets workers before all jobs that have not started."""
        return self.may_have_started and not self.is_weighed

    def defer(self):
        """Order it by when its answer no longer helps, as it will be late."""
        objective_ms = self.due_ms - self.accepted_ms
        self.key += delay_cost.useful_ms(objective_ms) - objective_ms
        self.is_deferred = True

    @property
    def started_late(self):
        """Return whether a task got room too late for an answer in time.

        Tasks that were repeated after a lost or failed attempt don't count: these are
        late without any lack of room.
        """
        return any(
            task.run == 1 and task.sent_ms + task.expected_ms > self.due_ms
            for task in self.all_tasks()
        )

    @property
    def work(self):
        """Return what all its tasks need by their estimates, in core-milliseconds."""
        return sum(
            step.count * step.needs.cpu * step.estimate_ms / 1000
            for step in self.submission.steps
        )

    def arrival(self):
        """Return the Arrival from which a queueing policy computes the key."""
        longest_ms = longest_chain_ms(self.submission.steps)
        return queueing.Arrival(
            self.accepted_ms, self.due_ms, longest_ms, self.route.priority
        )

    def can_be_in_time(self, now_ms):
        """Return whether the job can still be answered within its objective.

        Args:
          now_ms: A number, the monotonic clock.
        """
        longest_ms = max((task.step.estimate_ms for task in self.ready), default=0)
        return now_ms + longest_ms <= self.due_ms

    def finish(self, task):
        """Mark a task as done, and make the steps ready that waited only for it.

        Args:
          task: An OwnedTask.
        """
        number = task.name.step
        task.phase = Phase.DONE
        self.tasks_left[number] -= 1
        if self.tasks_left[number]:
            return
        for later, step in enumerate(self.submission.steps):
            if number in step.after and not any(
                self.tasks_left[earlier] for earlier in step.after
            ):
                self.ready.extend(self.tasks[later])

    def full_workers(self, number):
        """List the agents that run the allowed maximum of a step's tasks.

        Args:
          number: An integer, the step's index.

        Returns:
          A frozenset of the agents' incarnations.
        """
        limit = self.submission.steps[number].max_per_worker
        counts = collections.Counter(
            task.worker.identity.incarnation
            for task in self.tasks[number]
            if task.phase is Phase.SENT
        )
        return frozenset(
            incarnation for incarnation, count in counts.items() if count >= limit
        )

    def all_tasks(self):
        """Return all tasks, as a list."""
        return [task for step in self.tasks for task in step]

    def sent_tasks(self):
        """List the tasks that a worker may be running."""
        return [task for task in self.all_tasks() if task.phase is Phase.SENT]


def longest_chain_ms(steps):
    """Return the run time of the longest chain of tasks, in ms.

    Args:
      steps: A tuple of Steps; each one depends on earlier steps only.
    """
    ends = []
    for step in steps:
        start = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(start + step.estimate_ms)
    return max(ends, default=0)
