"""Jobs: the submissions of clients and their outcomes.

A direct job exists as long as the request that submitted it, and the response reports
its outcome. It is not stored, so the entry that accepted it is its only owner.
"""

import dataclasses
import enum
import typing

from jujubeglade.core import fields, message


@message.register(80)
class Resources:
    """An amount of the resources that a VM offers to tasks.

    Attributes:
      cpu: An integer, thousandths of a core.
      memory_mb: An integer.
      gpus: An integer.
    """

    cpu: int
    memory_mb: int
    gpus: int

    def plus(self, other):
        """Add another amount."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other):
        """Subtract another amount; parts may become negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def maximum(self, other):
        """Return the larger amount of each resource."""
        return Resources(
            max(self.cpu, other.cpu),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )

    def covers(self, other):
        """Return whether another amount fits into this one."""
        return (
            self.cpu >= other.cpu
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


NOTHING = Resources(0, 0, 0)


_MOST = Resources(fields.MAX_WHOLE, fields.MAX_WHOLE, fields.MAX_WHOLE)


def _is_capacity(resources):
    return resources.covers(NOTHING) and _MOST.covers(resources)


#: Resources that a worker may report.
Capacity = typing.Annotated[Resources, _is_capacity]


@message.register(81)
class TaskName:
    """The name of one task.

    Attributes:
      job_id: A string, chosen by the client.
      step: An integer, counted from 0.
      index: An integer, counted from 0 within the step.
    """

    job_id: str
    step: fields.Count
    index: fields.Count

    def __str__(self):
        """Format the name for log lines."""
        return f"{self.job_id}.{self.step}.{self.index}"


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A number of identical tasks of a job.

    Attributes:
      count: An integer, the number of tasks.
      needs: A Resources, the needs of each task.
      estimate_ms: An integer, the client's estimate of a task's run time; 0 without
        an estimate.
      after: A tuple of integers, the steps whose tasks must all be done before.
      label: A string, the label that the worker must have; empty for any worker.
      rack: A string, the rack near the data; empty for none.
      max_per_worker: An integer, the most tasks of the step that one worker may run at
        a time; 0 for no limit.
    """

    count: int
    needs: Resources
    estimate_ms: int
    after: tuple = ()
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job as submitted by a client.

    Attributes:
      job_id: A string, chosen by the client.
      route: A string, the name of the route.
      spec: A string, passed to the worker unchanged.
      steps: A tuple of Steps.
      timeout_ms: A number, the client timeout: how long the client waits for the
        response.
    """

    job_id: str
    route: str
    spec: str
    steps: tuple
    timeout_ms: float


class State(enum.StrEnum):
    """How a job ends for its client."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNFINISHED = "unfinished"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a job, as reported to its client.

    Attributes:
      state: A State. `REFUSED` means that no task of this submission has started.
      reason: A string.
      retry_after_ms: A number, the time after which to retry; 0 when a retry would not
        help.
    """

    state: State
    reason: str = ""
    retry_after_ms: float = 0
