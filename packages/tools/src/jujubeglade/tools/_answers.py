"""The records that an entry's answers become.

Whatever an entry sends is checked before it is believed; what doesn't fit is a
Problem, never half a record.
"""

import dataclasses
import json

import result

from jujubeglade.core import problem

_DAMAGED_HEADER = "Jujubeglade-Damaged"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskAnswer:
    """What became of one task.

    Attributes:
      outcome: A string: ran, not_run or may_have_run.
      result: A JSON value, or None.
      error: A string, empty when the task succeeded.
    """

    outcome: str
    result: object
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnswer:
    """What became of a job.

    Attributes:
      id: A string, the id of the submission.
      state: A string: running, complete or failed.
      reason: A string, why the job failed.
      tasks: A tuple of TaskAnswers; empty while the job runs.
    """

    id: str
    state: str
    reason: str
    tasks: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class CommandAnswer:
    """What became of an operator's command.

    Attributes:
      id: A string, the id of the command.
      status: A string, for example accepted, in_force or recorded.
      revision: An integer, the revision of the configuration.
      lines: A tuple of strings, the answer as text.
    """

    id: str
    status: str
    revision: int
    lines: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class AuditAnswer:
    """The audit records that the store holds.

    Attributes:
      records: Bytes for `journal.unpack`.
      damaged: A tuple of strings, a line for each segment that can't be read.
    """

    records: bytes
    damaged: tuple


def read_audit(response):
    """Read the answer to a request for audit records.

    Args:
      response: A Response.

    Returns:
      An AuditAnswer.
    """
    header = response.headers.get(_DAMAGED_HEADER, "[]")
    try:
        damaged = tuple(_typed(line, str) for line in json.loads(header))
    except (ValueError, TypeError):
        # Which ones can't be told, but that there are some can.
        damaged = ("segments that the entry could not name",)
    return AuditAnswer(response.body, damaged)


def read_tickets(value):
    """Read the answer to a request for tickets.

    Args:
      value: A JSON value.

    Returns:
      A tuple of strings.

    Raises:
      TypeError, KeyError: The value is something else.
    """
    return tuple(_typed(ticket, str) for ticket in _typed(value["tickets"], list))


def read_job(value):
    """Read the answer of a job.

    Args:
      value: A JSON value.

    Returns:
      A JobAnswer.

    Raises:
      TypeError, KeyError: The value is something else.
    """
    tasks = _typed(value.get("tasks", []), list)
    return JobAnswer(
        _typed(value["id"], str),
        _typed(value["state"], str),
        _text(value, "reason"),
        tuple(_read_task(task) for task in tasks),
    )


def read_command(value):
    """Read the answer to a command.

    Args:
      value: A JSON value.

    Returns:
      A CommandAnswer.

    Raises:
      TypeError, KeyError: The value is something else.
    """
    lines = _typed(value.get("lines", []), list)
    return CommandAnswer(
        _typed(value["id"], str),
        _typed(value["status"], str),
        _typed(value.get("revision", 0), int),
        tuple(_typed(line, str) for line in lines),
    )


def read_body(body, read):
    """Read the body of a successful answer.

    Args:
      body: Bytes.
      read: One of the functions above.

    Returns:
      A Result of what `read` returns, or of a Problem.
    """
    try:
        return result.Ok(read(json.loads(body)))
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        return result.Err(_unreadable("the entry's answer can't be read"))


def read_refusal(status, body):
    """Read the body of a refusal.

    Args:
      status: An integer, the HTTP status.
      body: Bytes.

    Returns:
      A Problem: the entry's own, or one that names the status.
    """
    try:
        value = json.loads(body)
        return problem.Problem(
            problem.Kind(value["kind"]),
            _typed(value["message"], str),
            _typed(value["remedy"], str),
            _text(value, "place"),
            problem.Outcome(value["outcome"]),
            _typed(value.get("retry_after_ms", 0), int),
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        return _unreadable(f"HTTP status {status} without a refusal")


def _read_task(value):
    return TaskAnswer(
        _typed(value["outcome"], str), value.get("result"), _text(value, "error")
    )


def _text(value, name):
    found = value.get(name)
    return "" if found is None else _typed(found, str)


def _typed(value, kind):
    """Check the type of a value."""
    if type(value) is not kind:
        raise TypeError(f"{kind.__name__} expected")
    return value


def _unreadable(message):
    return problem.Problem(
        problem.Kind.INTERNAL,
        message,
        "check that --entry names an entry, and its release",
        outcome=problem.Outcome.UNKNOWN,
    )
