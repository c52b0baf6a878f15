"""Typed records decoded from an entry's answers.

The type of every field that an entry sends is checked. An answer that doesn't fit
becomes a Problem, never a partly filled record.
"""

import dataclasses
import json

import result

from jujubeglade.core import problem

_DAMAGED_HEADER = "Jujubeglade-Damaged"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskAnswer:
    """The outcome of one task.

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
    """The state of a job, and the outcomes of its tasks.

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
    """The answer to an operator's command.

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


def decode_audit(response):
    """Decode the answer to a request for audit records.

    Args:
      response: A Response.

    Returns:
      An AuditAnswer.
    """
    header = response.headers.get(_DAMAGED_HEADER, "[]")
    try:
        damaged = tuple(_check_type(line, str) for line in json.loads(header))
    except (ValueError, TypeError):
        # The header shows that some segments are damaged, though not which.
        damaged = ("segments whose names can't be read from the entry's answer",)
    return AuditAnswer(response.body, damaged)


def decode_tickets(value):
    """Decode the answer to a request for tickets.

    Args:
      value: A JSON value.

    Returns:
      A tuple of strings.

    Raises:
      TypeError, KeyError: The value is not such an answer.
    """
    return tuple(
        _check_type(ticket, str) for ticket in _check_type(value["tickets"], list)
    )


def decode_job(value):
    """Decode the answer of a job.

    Args:
      value: A JSON value.

    Returns:
      A JobAnswer.

    Raises:
      TypeError, KeyError: The value is not such an answer.
    """
    tasks = _check_type(value.get("tasks", []), list)
    return JobAnswer(
        _check_type(value["id"], str),
        _check_type(value["state"], str),
        _optional_text(value, "reason"),
        tuple(_decode_task(task) for task in tasks),
    )


def decode_command(value):
    """Decode the answer to a command.

    Args:
      value: A JSON value.

    Returns:
      A CommandAnswer.

    Raises:
      TypeError, KeyError: The value is not such an answer.
    """
    lines = _check_type(value.get("lines", []), list)
    return CommandAnswer(
        _check_type(value["id"], str),
        _check_type(value["status"], str),
        _check_type(value.get("revision", 0), int),
        tuple(_check_type(line, str) for line in lines),
    )


def decode_body(body, decode):
    """Decode the body of a successful answer.

    Args:
      body: Bytes.
      decode: One of the functions above for a JSON value, such as `decode_job`.

    Returns:
      A Result of what `decode` returns, or of a Problem.
    """
    try:
        return result.Ok(decode(json.loads(body)))
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        return result.Err(_unreadable("the entry's answer can't be read"))


def decode_refusal(status, body):
    """Decode the body of a refusal.

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
            _check_type(value["message"], str),
            _check_type(value["remedy"], str),
            _optional_text(value, "place"),
            problem.Outcome(value["outcome"]),
            _check_type(value.get("retry_after_ms", 0), int),
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        return _unreadable(f"HTTP status {status} without a refusal")


def _decode_task(value):
    return TaskAnswer(
        _check_type(value["outcome"], str),
        value.get("result"),
        _optional_text(value, "error"),
    )


def _optional_text(value, name):
    text = value.get(name)
    return "" if text is None else _check_type(text, str)


def _check_type(value, expected):
    """Return a value whose type is the expected one, or raise TypeError."""
    if type(value) is not expected:
        raise TypeError(f"{expected.__name__} expected")
    return value


def _unreadable(message):
    return problem.Problem(
        problem.Kind.INTERNAL,
        message,
        "check that --entry names an entry, and its release",
        outcome=problem.Outcome.UNKNOWN,
    )
