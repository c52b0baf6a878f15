"""Workers: the program beside an agent that runs tasks.

This module defines the interface that a platform adapter implements. An agent has one
worker at a time; each incarnation of it is an `Instance`. A worker runs tasks only
under a lease: each poll and each start sets until when it may run without its agent.

No call raises an exception. A call whose answer is lost may be carried out later,
unless the worker has since seen a higher fencing token than that of the call.
"""

import abc
import dataclasses
import enum

from jujubeglade.core import fields
from jujubeglade.direct import job


@fields.checked
class Instance:
    """One incarnation of a worker.

    Attributes:
      name: A string, the worker's own id.
      started_ms: An integer, when it started by its own clock, which may be set to any
        time; 0 if the worker does not report it.

    Raises:
      FieldError: A value has another type, or is out of range.
    """

    name: fields.Name
    started_ms: int


@fields.checked
class Report:
    """A worker's report about itself.

    Attributes:
      instance: An Instance.
      sequence: An integer, increasing with each report of the instance.
      service: A string.
      labels: A tuple of strings.
      total: A Resources, all that its tasks can use at a time.
      draining: A boolean, whether it is about to leave.
      clock_ms: A number, the worker's clock at the report; 0 if it doesn't tell.

    Raises:
      FieldError: A value has another type, or is out of range.
    """

    instance: Instance
    sequence: int
    service: str
    labels: tuple[str, ...]
    total: job.Capacity
    draining: bool
    clock_ms: fields.Amount = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The worker instance that a call is meant for, with the fencing token.

    Attributes:
      instance: An Instance; another instance refuses the call.
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
      lease_until_ms: An integer, the end of the lease on the worker's clock.
    """

    task: job.TaskName
    run: int
    spec: str
    lease_until_ms: int


class Answer(enum.StrEnum):
    """The result of a call."""

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


@fields.checked
class Reply:
    """The answer to a start or a stop.

    Attributes:
      answer: An Answer. Only `UNKNOWN` leaves open whether the call was or will be
        carried out; after `UNREACHABLE` it was not sent.
      clock_ms: A number, the worker's clock; None if the answer does not contain it.

    Raises:
      FieldError: A value has another type, or is out of range.
    """

    answer: Answer
    clock_ms: fields.Amount | None = None


@fields.checked
class Finished:
    """The end of an attempt, as the worker lists it.

    Attributes:
      number: An integer, counting the ends of this incarnation from 1.
      task: A TaskName.
      run: An integer.
      how: A string, a contract.End.

    Raises:
      FieldError: A value has another type, or is out of range.
    """

    number: fields.Count
    task: job.TaskName
    run: fields.Count
    how: str


@fields.checked
class PollReply:
    """The answer to a poll.

    Attributes:
      answer: An Answer.
      clock_ms: A number, the worker's clock; None if the answer does not contain it.
      running: A tuple of pairs of a TaskName and a run.
      finished: A tuple of Finished, those above the cursor, in order.
      is_partial: A boolean, whether there may be more ends than are listed.
      started_ms: An integer, when the instance that answered started; 0 if the answer
        does not contain it.

    Raises:
      FieldError: A value has another type, or is out of range.
    """

    answer: Answer
    clock_ms: fields.Amount | None = None
    running: tuple[tuple[job.TaskName, fields.Count], ...] = ()
    finished: tuple[Finished, ...] = ()
    is_partial: bool = False
    started_ms: int = 0


class WorkerClient(abc.ABC):
    """The client for the worker beside this agent."""

    __slots__ = ()

    @abc.abstractmethod
    async def open(self, listener):
        """Start to receive the worker's reports.

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
        """Stop an attempt; it has ended once a poll lists it as finished.

        Args:
          target: A Target.
          task: A TaskName.
          run: An integer.

        Returns:
          A Reply.
        """

    @abc.abstractmethod
    async def poll(self, target, cursor, lease_until_ms, wait_ms):
        """Extend the lease, and list the running and the finished attempts.

        Args:
          target: A Target.
          cursor: An integer, the number of the last end that was processed.
          lease_until_ms: An integer, the end of the lease on the worker's clock; None
            to leave the lease as it is.
          wait_ms: An integer, how long the answer may wait for an end.

        Returns:
          A PollReply.
        """

    @abc.abstractmethod
    async def close(self):
        """Close the connections."""
