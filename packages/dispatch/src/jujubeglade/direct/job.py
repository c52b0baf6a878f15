"""Jobs: what a client hands in, and what becomes of it.

A direct job lives as long as the request that brought it: the response tells how
it ended. Nothing of it is stored, so the entry that took it owns it alone.
"""

import dataclasses
import enum

from jujubeglade.core import message


@message.register(80)
class Resources:
    """An amount of what a VM offers to tasks.

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
        """Take another amount away; parts may become negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def covers(self, other):
        """Tell whether another amount fits into this one."""
        return (
            self.cpu >= other.cpu
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


NOTHING = Resources(0, 0, 0)


@message.register(81)
class TaskName:
    """The name of one task.

    Attributes:
      job_id: A string, chosen by the client.
      step: An integer, counted from 0.
      index: An integer, counted from 0 within the step.
    """

    job_id: str
    step: int
    index: int

    def __str__(self):
        """Render the name as log lines show it."""
        return f"{self.job_id}.{self.step}.{self.index}"


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A number of tasks that are alike.

    Attributes:
      count: An integer, the tasks.
      needs: A Resources, of each task.
      estimate_ms: An integer, the client's rough guess at a task's run time; 0 when
        it gave none.
      after: A tuple of integers, the steps whose tasks all come before.
      label: A string that the worker must carry; empty for any worker.
      rack: A string, the rack near the data; empty for none.
      most_per_worker: An integer, tasks of the step on one worker; 0 for no bound.
    """

    count: int
    needs: Resources
    estimate_ms: int
    after: tuple = ()
    label: str = ""
    rack: str = ""
    most_per_worker: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job as a client hands it in.

    Attributes:
      job_id: A string, chosen by the client.
      route: A string, the name of the route.
      spec: A string that workers understand.
      steps: A tuple of Steps.
      timeout_ms: A number, how long the client waits for the response.
    """

    job_id: str
    route: str
    spec: str
    steps: tuple
    timeout_ms: float


class State(enum.StrEnum):
    """How a request ends for its client."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNFINISHED = "unfinished"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What the client is told.

    Attributes:
      state: A State. `REFUSED` says that no task of this submission has started.
      reason: A string.
      retry_after_ms: A number, when to come back; 0 when that would not help.
    """

    state: State
    reason: str = ""
    retry_after_ms: float = 0
