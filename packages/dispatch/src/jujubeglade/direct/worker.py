"""Workers: the program beside an agent that runs tasks.

This module is the interface that a driver of the platform implements. An agent has
one worker at a time; each life of it is an `Instance`. A worker runs tasks only while
they are held: every hold and every start sets how long the worker goes on by itself.

No call throws. A call whose answer is lost may be carried out later; a fencing token
above that of the call makes sure that it is not.
"""

import abc
import dataclasses
import enum

from jujubeglade.direct import job


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One life of a worker.

    Attributes:
      name: A string, the worker's own id.
      started_ms: An integer, when it started; 0 if it does not say.
    """

    name: str
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a worker says of itself.

    Attributes:
      instance: An Instance.
      sequence: An integer, rising with each report of the life.
      service: A string.
      labels: A tuple of strings.
      total: A Resources, all it can run at a time.
      draining: A boolean, whether it is about to leave.
    """

    instance: Instance
    sequence: int
    service: str
    labels: tuple
    total: job.Resources
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What all calls to a worker carry.

    Attributes:
      instance: An Instance, the life that is meant; another one refuses.
      token: An integer, the fencing token.
    """

    instance: Instance
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A task to start.

    Attributes:
      task: A TaskName.
      run: An integer.
      spec: A string.
      lease_until_ms: An integer, on the worker's clock.
    """

    task: job.TaskName
    run: int
    spec: str
    lease_until_ms: int


class Answer(enum.StrEnum):
    """What became of a call."""

    OK = "ok"
    FENCED = "fenced"
    OUTDATED_RUN = "outdated_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    REJECTED = "rejected"
    OTHER_INSTANCE = "other_instance"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a start or a stop.

    Attributes:
      answer: An Answer. Only `UNKNOWN` leaves open whether the call was or will be
        carried out; after `UNREACHABLE` it was not sent.
      clock_ms: A number, the worker's clock; None when it did not say.
    """

    answer: Answer
    clock_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The end of an attempt, as the worker lists it.

    Attributes:
      number: An integer, counting the ends of this life from 1.
      task: A TaskName.
      run: An integer.
      how: A string, a contract.End.
    """

    number: int
    task: job.TaskName
    run: int
    how: str


@dataclasses.dataclass(frozen=True, slots=True)
class PollReply:
    """The answer to a hold.

    Attributes:
      answer: An Answer.
      clock_ms: A number, the worker's clock; None when it did not say.
      running: A tuple of pairs of a TaskName and a run.
      finished: A tuple of Finished, those above the cursor, in order.
      is_partial: A boolean, whether more ends are there than are listed.
      started_ms: An integer, the start of the life that answered; 0 if it did not say.
    """

    answer: Answer
    clock_ms: float | None = None
    running: tuple = ()
    finished: tuple = ()
    is_partial: bool = False
    started_ms: int = 0


class WorkerClient(abc.ABC):
    """The way to the worker beside this agent."""

    __slots__ = ()

    @abc.abstractmethod
    async def open(self, listener):
        """Begin to take the worker's reports.

        Args:
          listener: An object with `on_report(report)` and `on_left(name)`.
        """

    @abc.abstractmethod
    async def start(self, target, start):
        """Start a task.

        Args:
          target: A Target.
          start: A Start.

        Returns:
          A Reply.
        """

    @abc.abstractmethod
    async def stop(self, target, task, run):
        """Stop an attempt; it has ended when a hold lists it as finished.

        Args:
          target: A Target.
          task: A TaskName.
          run: An integer.

        Returns:
          A Reply.
        """

    @abc.abstractmethod
    async def poll(self, target, cursor, lease_until_ms, wait_ms):
        """Keep what runs alive, and ask for ends.

        Args:
          target: A Target.
          cursor: An integer, the number of the last end taken note of.
          lease_until_ms: An integer on the worker's clock; None extends nothing.
          wait_ms: An integer, how long the answer may wait for an end.

        Returns:
          A PollReply.
        """

    @abc.abstractmethod
    async def close(self):
        """Close the connections."""
