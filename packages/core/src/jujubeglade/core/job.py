"""Jobs: the submissions of clients and the answers to them.

A submission is a ticket and a list of tasks. Its answer is either complete, with
the result of every task, or failed, with the outcome of every task; there is no
partial answer. Payloads and results are JSON texts in bytes, which the system
passes on without parsing them.
"""

import dataclasses
import enum

from jujubeglade.core import message


class State(enum.StrEnum):
    """The state of a job, as its client sees it."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


class TaskOutcome(enum.StrEnum):
    """Whether a task ran, as far as the system can prove it."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Urgency(enum.StrEnum):
    """The class of a job; urgent jobs are served first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


@message.register(10)
class Task:
    """One task of a submission.

    Attributes:
      service: A string, the service of the upstreams that may run it.
      payload: Bytes, a JSON text.
      repeatable: A boolean; a task that is not repeatable starts at most once.
      run_ms: An integer, the declared run time; 0 when not declared.
    """

    service: str
    payload: bytes
    repeatable: bool
    run_ms: int


@message.register(11)
class Submission:
    """A job as submitted.

    Attributes:
      ticket: A string, the text of the ticket.
      tenant: A string.
      urgency: A string, an Urgency.
      deadline_ms: An integer, the time allowed, counted from acceptance.
      tasks: A tuple of Tasks.
    """

    ticket: str
    tenant: str
    urgency: str
    deadline_ms: int
    tasks: tuple[Task, ...]


@message.register(12)
class TaskAnswer:
    """The answer of one task.

    Attributes:
      outcome: A string, a TaskOutcome.
      result: Bytes, a JSON text; empty unless the task succeeded.
      error: A string, empty when the task succeeded.
    """

    outcome: str
    result: bytes
    error: str


@message.register(13)
class Answer:
    """The answer of a job.

    Attributes:
      key: A string, the job key.
      state: A string, a State.
      reason: A string, why the job failed.
      retry_after_ms: An integer, when to submit again; 0 means not to retry.
      tasks: A tuple of TaskAnswers; empty while the job runs.
    """

    key: str
    state: str
    reason: str = ""
    retry_after_ms: int = 0
    tasks: tuple[TaskAnswer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TaskId:
    """The id of one attempt of one task, as the upstream receives it.

    Attributes:
      key: A string, the job key.
      index: An integer, the task's place in its job.
      attempt: An integer, unique for the task.
    """

    key: str
    index: int
    attempt: int

    def __str__(self):
        """Render as `KEY-INDEX.ATTEMPT`."""
        return f"{self.key}-{self.index}.{self.attempt}"


def running(key):
    """Make the answer of a job that still runs.

    Args:
      key: A string, the job key.

    Returns:
      An Answer.
    """
    return Answer(key, State.RUNNING)
